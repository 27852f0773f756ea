"""Settings of each program, read from TOML and checked as a whole."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from mallowpond.coordination.ports import Host
from mallowpond.protocol.declaration_file import Fault, Faults, structure_faults
from mallowpond.protocol.strict import strict_converter

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Choose how logs are written: ``console`` or ``json``."""

    format: str = "json"
    level: str = "info"


@dataclass(frozen=True, kw_only=True)
class ControllerTimings:
    """Hold a controller's intervals and limits, in seconds."""

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
class ControllerSettings:
    """Configure one controller; ports of 0 take any free one."""

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
    """Hold a gateway's intervals and limits, in seconds."""

    routes: float = 0.25
    permit: float = 4.0
    request: float = 60.0
    drain_limit: float = 120.0
    claim: float = 3.0
    connect: float = 1.0
    first_byte: float = 30.0
    between_chunks: float = 10.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Configure one gateway; `controllers` are tried in their order."""

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
    """Configure the platform's stand-in."""

    hosts: tuple[Host, ...]
    address: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True, kw_only=True)
class EngineStandinSettings:
    """Configure an engine's stand-in."""

    host: str
    incarnation: str = "1"
    address: str = "127.0.0.1"
    port: int = 0
    checks_fencing: bool = True
    step_seconds: float = 0.005


def parse_settings(text: str, kind: type[T]) -> T | Faults:
    """Return the settings written in a TOML text, or all its faults."""
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Faults(faults=(Fault(path="", message=f"not TOML: {error}"),))
    try:
        settings = strict_converter.structure(plain, kind)
    except Exception as error:
        return Faults(faults=structure_faults(error))
    faults = tuple(_range_faults(settings, ""))
    return Faults(faults=faults) if faults else settings


def load_settings(path: Path, kind: type[T]) -> T | Faults:
    """Read settings from a file."""
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
