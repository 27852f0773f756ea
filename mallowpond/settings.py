"""Settings of each program: read from TOML, with all faults reported at once."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from mallowpond.coordination.ports import Host
from mallowpond.protocol.declaration_file import Fault, Faults, faults_from_error
from mallowpond.protocol.strict import strict_converter
from mallowpond.state.process_limits import ProcessLimits, divide_limits

T = TypeVar("T")
MEGABYTE = 10**6


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Format (``console`` or ``json``) and lowest level of the log lines."""

    format: str = "json"
    level: str = "info"


@dataclass(frozen=True, kw_only=True)
class ProcessResources:
    """What a process may use.

    memory_mb: memory above which it is killed, in units of 10^6 bytes.
    descriptors: number of descriptors that it may have open.
    """

    memory_mb: float = 300.0
    descriptors: int = 1024

    @property
    def process_limits(self) -> ProcessLimits:
        """Return what the process may hold and have open."""
        return divide_limits(
            memory_bytes=MEGABYTE * self.memory_mb, descriptors=self.descriptors
        )


@dataclass(frozen=True, kw_only=True)
class ControllerTimings:
    """Intervals and timeouts of a controller, in seconds.

    Intervals: `heartbeat` of membership, table reads and planning, `watch` of engine
    polls, `host_list` of reads of the host list. `lease` is the duration of the
    membership lease. An engine without an answer for `silent` counts as lost. A
    configuration version counts as current for `assurance` after the read that
    confirmed it, and a proposal open for `abort` is withdrawn. A draining group drains
    for at least `drain_settle`, in which the gateways learn of it, and for at most
    `drain_limit`. `forming_limit` is the time in which a group's members must have
    loaded. `table_timeout` and `engine_timeout` bound single calls.
    """

    heartbeat: float = 0.5
    lease: float = 3.0
    watch: float = 0.5
    silent: float = 2.0
    host_list: float = 1.0
    assurance: float = 4.0
    abort: float = 10.0
    drain_settle: float = 2.0
    drain_limit: float = 120.0
    forming_limit: float = 60.0
    table_timeout: float = 2.0
    engine_timeout: float = 1.0


@dataclass(frozen=True, kw_only=True)
class ControllerSettings(ProcessResources):
    """Settings of one controller; port 0 takes a free port.

    `cell` names the controllers of its data centre. `platform` is the IP:PORT of the
    platform's table service and host list, `host` its own host's name in that list.
    """

    name: str
    cell: str
    platform: str
    host: str = ""
    address: str = "127.0.0.1"
    peer_port: int = 0
    operator_port: int = 0
    max_loading_hosts: int = 64
    timings: ControllerTimings = field(default_factory=ControllerTimings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True)
class GatewayTimings:
    """Intervals and timeouts of a gateway, in seconds.

    `routes` is the interval of route requests. A group may be sent work for `permit`
    after all its members last confirmed it. `request` is the default timeout of a
    caller's request. A stopping gateway waits up to `drain_limit` for requests in
    progress.
    `claim` bounds claim and quota calls, and `connect` connecting. A target counts as
    silent after a wait of `first_byte` for a response's head and of `between_chunks`
    for more of its body. Another one may then be asked beside it; it is given up only
    if it is silent for so long when the caller's time is over.
    """

    routes: float = 0.25
    permit: float = 4.0
    request: float = 60.0
    drain_limit: float = 120.0
    claim: float = 3.0
    connect: float = 1.0
    first_byte: float = 30.0
    between_chunks: float = 10.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings(ProcessResources):
    """Settings of one gateway; it tries `controllers` in the order given."""

    name: str
    controllers: tuple[str, ...]
    address: str = "127.0.0.1"
    port: int = 0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16384
    receive_seconds: float = 10.0
    timings: GatewayTimings = field(default_factory=GatewayTimings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True)
class PlatformStandinSettings:
    """Settings of the stand-in for the platform's table service and host list."""

    hosts: tuple[Host, ...]
    address: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True, kw_only=True)
class EngineStandinSettings:
    """Settings of the stand-in for an engine.

    `step_seconds` is the time that it takes for each word of an answer.
    """

    host: str
    incarnation: str = "1"
    address: str = "127.0.0.1"
    port: int = 0
    checks_fencing: bool = True
    step_seconds: float = 0.005


def parse_settings(text: str, kind: type[T]) -> T | Faults:
    """Return the settings in a TOML text, or all its faults."""
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Faults(faults=(Fault(path="", message=f"not TOML: {error}"),))
    try:
        settings = strict_converter.structure(plain, kind)
    except Exception as error:
        return Faults(faults=faults_from_error(error))
    faults = tuple(_range_faults(settings, ""))
    return Faults(faults=faults) if faults else settings


def load_settings(path: Path, kind: type[T]) -> T | Faults:
    """Return the settings in a TOML file, or all its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Faults(faults=(Fault(path=str(path), message=str(error)),))
    return parse_settings(text, kind)


def _range_faults(settings: object, path: str) -> list[Fault]:
    faults = []
    for name, value in vars(settings).items():
        here = f"{path}{name}"
        if name.endswith("port") and not 0 <= value < 65536:
            faults.append(Fault(path=here, message=f"{value} is no port"))
        elif isinstance(value, float) and value <= 0:
            faults.append(Fault(path=here, message=f"{value} is not above 0"))
        elif name == "controllers" and not value:
            faults.append(Fault(path=here, message="name at least one controller"))
        elif name in ("timings", "log"):
            faults += _range_faults(value, f"{here}.")
        elif name == "format" and value not in ("console", "json"):
            faults.append(Fault(path=here, message="write 'console' or 'json'"))
        elif name == "level" and value not in ("debug", "info", "warning", "error"):
            message = "write 'debug', 'info', 'warning' or 'error'"
            faults.append(Fault(path=here, message=message))
    if isinstance(settings, ControllerTimings):
        faults += _timing_faults(settings, path)
    return faults


def _timing_faults(timings: ControllerTimings, path: str) -> list[Fault]:
    faults = []
    if timings.lease < 3 * timings.heartbeat:
        message = "a lease lasts three heartbeats or more"
        faults.append(Fault(path=path + "lease", message=message))
    if timings.assurance < 2 * timings.heartbeat:
        message = "an assurance lasts two heartbeats or more"
        faults.append(Fault(path=path + "assurance", message=message))
    return faults
