"""Start nodes, and stand-ins of the store and the engines, as processes on loopback.

Stop and restart them. The nodes run the real program. The store is a stand-in of the
Observatory store.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from typing import Any

from mallowpond.platform.early_listener import SETTINGS_VARIABLE
from mallowpond.standins.free_ports import free_ports
from mallowpond.standins.observatory_engine import new_engine_id
from mallowpond.standins.observatory_operator import (
    ObservatoryOperator,
    SoakSettings,
    soak_configuration,
)
from mallowpond.transport.http_client import HttpClient
from soak.judge import APPLY_SECONDS, GROUP_SIZE, REVOKE_SECONDS, WORKSPACES
from soak.proxy import LinkMode, Proxy
from soak.records import EngineEnd

ROOT = Path(__file__).resolve().parent.parent
GRACE_SECONDS = 8.0
RESTART_SECONDS = 0.3
LOAD_SECONDS = 0.3
# Time of one event of a stream by the timing in the configuration, in seconds.
EVENT_SECONDS = 0.02
# Domains and plain engines are spread over these data centres in turn.
DATA_CENTRES = ("a", "b")
# Each node has a loopback address of its own, by which links tell its connections from
# those of other nodes. The first one has this number.
FIRST_NODE_ADDRESS = 11
# Requests a second that a cold engine tolerates; the bound on those in any one second
# is COLD_RATIO times as many plus COLD_SLACK.
COLD_PER_SECOND = 2.0
COLD_RATIO = 1.5
COLD_SLACK = 1.0
# Interval of the polls for the end of a killed process, in seconds.
KILL_POLL_SECONDS = 0.005


@dataclass(frozen=True, kw_only=True)
class FleetShape:
    """Number of processes, and the speed of engines.

    Groups form within a failure domain. Plain engines join no group and run no model.
    `slowness` is the actual time of an event, as a multiple of the configured one.
    """

    nodes: int = 3
    domains: int = 2
    engines_per_domain: int = 4
    plain_engines: int = 2
    slowness: float = 1.0
    # Time for which a stopping engine announces its stop only in its answers and not
    # yet in the store, in seconds.
    unannounced_seconds: float | None = None
    # Time for which a draining engine serves, in seconds, and whether its answers say
    # that it stops, too.
    drain_seconds: float = 2.0
    names_leaving: bool = True
    # Time for which an engine is cold after its start, and the time after its start at
    # which it is cold again, in seconds. With `limits_cold` the nodes know the bound.
    cold_seconds: float = 0.0
    cold_again_after: float | None = None
    limits_cold: bool = True
    # Memory above which a node is killed, in units of 10^6 bytes, and its descriptors:
    # those of the smallest hosts that the users have.
    memory_mb: float = 152.0
    descriptors: int = 2870


@dataclass(kw_only=True)
class ManagedProcess:
    """One process, with what is needed to restart it.

    `options` is set for engines only.
    """

    name: str
    arguments: tuple[str, ...]
    environment: dict[str, str]
    log: Path
    options: dict[str, Any] | None = None
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = True
    stopping_since: float | None = None
    # Number of pauses that hold each process.
    _pauses: Counter[subprocess.Popen[bytes]] = field(default_factory=Counter)

    def start(self) -> None:
        """Start the process; append its output to its log."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "mallowpond", *self.arguments],
                cwd=ROOT,
                env={**os.environ, **self.environment},
                stdout=log,
                stderr=log,
            )
        self.stopping_since = None

    @property
    def id(self) -> str:
        """Return the engine id; empty for other processes."""
        return (self.options or {}).get("id", "")

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running and self.process is not None:
            self.process.send_signal(number)

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Pause the current process until the last of its pauses has ended."""
        process = self.process
        if process is None:
            yield
            return
        self._pauses[process] += 1
        process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self._pauses[process] -= 1
            if not self._pauses[process]:
                del self._pauses[process]
                process.send_signal(signal.SIGCONT)


@dataclass(kw_only=True)
class Fleet:
    """A store, engines and nodes as processes, and the proxies between them."""

    folder: Path
    unused_ports: Iterator[int] = field(default_factory=free_ports)
    shape: FleetShape = FleetShape()
    nodes: list[ManagedProcess] = field(default_factory=list)
    engines: list[ManagedProcess] = field(default_factory=list)
    store_links: list[Proxy] = field(default_factory=list)
    engine_links: list[Proxy] = field(default_factory=list)
    engine_store_links: list[Proxy] = field(default_factory=list)
    node_ports: list[tuple[int, int]] = field(default_factory=list)
    node_addresses: list[str] = field(default_factory=list)
    # Ports of the peers, for tunnels too, and of the metrics, at these addresses.
    node_side_ports: list[tuple[int, int]] = field(default_factory=list)
    version: int = 0
    active_keys: set[str] = field(default_factory=lambda: set(WORKSPACES))
    settings: SoakSettings = SoakSettings()
    engine_ends: list[EngineEnd] = field(default_factory=list)
    _store: ManagedProcess | None = None
    _store_port: int = 0
    _http: HttpClient = field(default_factory=HttpClient)
    _operator: ObservatoryOperator = field(init=False)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> None:
        """Start all processes and wait until all groups are open.

        Raises TimeoutError if the store or the groups do not come up in time.
        """
        self._stack.push_async_callback(self._http.close)
        self._store_port = next(self.unused_ports)
        address = f"127.0.0.1:{self._store_port}"
        self._operator = ObservatoryOperator(http=self._http, address=address)
        options = {"host": "127.0.0.1", "port": self._store_port}
        self._store = self._new_standin("store", "observatory-store", options)
        self._store.start()
        await self._wait_for(lambda: self.configure(), "the store")
        for number in range(self.grouped_engine_count + self.shape.plain_engines):
            await self._add_engine(number)
        for number in range(self.shape.nodes):
            await self._add_node(number)
        for managed in (*self.engines, *self.nodes):
            managed.start()
        await self._wait_for(self._is_serving, "open groups")

    async def close(self) -> None:
        """Kill the processes of this fleet and close the proxies."""
        processes = [*self.nodes, *self.engines]
        if self._store is not None:
            processes.append(self._store)
        for managed in processes:
            managed.should_run = False
            managed.signal(signal.SIGCONT)
            managed.signal(signal.SIGKILL)
        for managed in processes:
            if managed.process is not None:
                managed.process.wait()
        await self._stack.aclose()

    async def run_restarts(self) -> None:
        """Restart ended processes, and kill those that outlive their grace period.

        Runs until cancelled. A restarted engine gets a new id.
        """
        while True:
            await asyncio.sleep(RESTART_SECONDS)
            for managed in (*self.nodes, *self.engines):
                since = managed.stopping_since
                if since is not None and time.monotonic() - since > GRACE_SECONDS:
                    managed.signal(signal.SIGKILL)
                if managed.should_run and not managed.is_running:
                    if managed.options is not None:
                        self._record_end(managed)
                        self._write_options(managed, {"id": new_engine_id()})
                    managed.start()

    async def restart(self, engine: ManagedProcess) -> None:
        """Kill an engine and restart it at once with the same id."""
        process = engine.process
        engine.should_run = False
        engine.signal(signal.SIGKILL)
        while process is not None and process.poll() is None:
            await asyncio.sleep(KILL_POLL_SECONDS)
        # Another fault may have restarted it already; two processes would share a port.
        if engine.process is process:
            self._record_end(engine)
            engine.start()
        engine.should_run = True

    def _record_end(self, engine: ManagedProcess) -> None:
        self.engine_ends.append(EngineEnd(engine=engine.id, at=time.monotonic()))

    @property
    def grouped_engine_count(self) -> int:
        """Return the number of engines that may join groups; plain ones follow."""
        return self.shape.domains * self.shape.engines_per_domain

    def stop(self, managed: ManagedProcess) -> None:
        """Send SIGTERM to a process, once."""
        if managed.stopping_since is None:
            managed.stopping_since = time.monotonic()
            managed.signal(signal.SIGTERM)

    async def configure(self) -> bool:
        """Write a configuration with the active keys; return whether it is accepted."""
        self.version += 1
        document = soak_configuration(
            self.version,
            group_size=GROUP_SIZE,
            load_seconds=LOAD_SECONDS,
            workspaces={
                name: key if key in self.active_keys else None
                for key, name in WORKSPACES.items()
            },
            cold=self._cold_fields(),
            settings=self.settings,
        )
        return await self._operator.configure(document)

    def _cold_fields(self) -> dict[str, float] | None:
        if not self.shape.cold_seconds:
            return None
        return {"cold_s": self.shape.cold_seconds, "cold_per_s": COLD_PER_SECOND}

    async def drop_history(self) -> bool:
        """Make the store discard its history of changes; return whether it did.

        Afterwards readers cannot continue from an earlier version.
        """
        return await self._operator.drop_history()

    async def restore_store(
        self, *, age: float, away_seconds: float, rewrite_seconds: float
    ) -> bool:
        """Let the store come back from a copy; return whether it accepted that."""
        return await self._operator.restore(
            age=age, away_seconds=away_seconds, rewrite_seconds=rewrite_seconds
        )

    async def evacuate(self, data_centre: str) -> bool:
        """Evacuate a data centre; return whether the store accepted it."""
        return await self._operator.evacuate(data_centre)

    async def end_evacuation(self, data_centre: str) -> bool:
        """End an evacuation; return whether the store accepted it."""
        return await self._operator.end_evacuation(data_centre)

    async def engine_entries(self) -> dict[str, dict[str, Any]]:
        """Return the store entries with a valid group, by engine id.

        Foreign entries with such a group are included. Empty if the read fails.
        """
        return await self._operator.entries()

    async def write_foreign(self, key: str, value: bytes, seconds: float) -> bool:
        """Make the store hold a foreign engine entry under a key for some seconds.

        Such an entry was not written by the engine with this id, or there is no such
        engine. Return whether the store accepted it.
        """
        return await self._operator.write_foreign(key, value, seconds)

    async def planner(self) -> int | None:
        """Return the number of the node that plans groups, None if unknown."""
        name = await self._operator.planner()
        return None if name is None else int(name.removeprefix("node-"))

    def cut_engine_links(self, nodes: Iterable[int], mode: LinkMode) -> None:
        """Set the mode of the links from these nodes to all engines."""
        for number in nodes:
            for link in self.engine_links:
                link.set_mode(mode, self.node_addresses[number])

    def signal_store(self, number: signal.Signals) -> None:
        """Send a signal to the store."""
        if self._store is not None:
            self._store.signal(number)

    async def _is_serving(self) -> bool:
        groups = self.shape.engines_per_domain // GROUP_SIZE * self.shape.domains
        return await self._operator.count_open_groups() >= groups

    async def _wait_for(self, condition: Any, what: str, seconds: float = 90.0) -> None:
        limit = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > limit:
                raise TimeoutError(f"{what} did not come up")
            await asyncio.sleep(0.1)

    async def _add_engine(self, number: int) -> None:
        port = next(self.unused_ports)
        link = await self._add_link(port)
        store_link = await self._add_link(self._store_port)
        is_plain = number >= self.grouped_engine_count
        place = number if is_plain else number // self.shape.engines_per_domain
        # staged_file: keeps the model staged on local disk across restarts.
        name = f"engine{number}"
        options = {
            "host": "127.0.0.1",
            "port": port,
            "advertised": f"127.0.0.1:{link.port}",
            "store": f"127.0.0.1:{store_link.port}",
            "service": "plain" if is_plain else "engines",
            "domain": "" if is_plain else f"d{number // self.shape.engines_per_domain}",
            "data_centre": DATA_CENTRES[place % len(DATA_CENTRES)],
            "journal": str(self.folder / f"{name}.journal"),
            "staged_file": str(self.folder / f"{name}.staged"),
            "id": new_engine_id(),
            "event_seconds": EVENT_SECONDS * self.shape.slowness,
            "drain_seconds": self.shape.drain_seconds,
            "names_leaving": self.shape.names_leaving,
        }
        if self.shape.cold_seconds:
            options["cold_seconds"] = self.shape.cold_seconds
        if self.shape.cold_again_after is not None:
            options["cold_again_after"] = self.shape.cold_again_after
        if self.shape.unannounced_seconds is not None:
            options["unannounced_seconds"] = self.shape.unannounced_seconds
        if not is_plain:
            options["models"] = {"m": LOAD_SECONDS}
        managed = self._new_standin(name, "observatory-engine", options)
        managed.options = options
        self.engines.append(managed)
        self.engine_links.append(link)
        self.engine_store_links.append(store_link)

    async def _add_node(self, number: int) -> None:
        callers, readiness, peers, metrics = islice(self.unused_ports, 4)
        link = await self._add_link(self._store_port)
        # revoke: limit until a revoked API key stops working. stall: time after which a
        # group without progress is reported as failed. Both in seconds.
        path = self.folder / f"node{number}.toml"
        address = f"127.0.0.{FIRST_NODE_ADDRESS + number}"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        path.write_text(
            f'name = "node-{number}"\ndata_centre = "{data_centre}"\n'
            f'address = "{address}"\nbinds_source = true\n'
            f'callers = "127.0.0.1:{callers}"\nreadiness = "127.0.0.1:{readiness}"\n'
            f"peer_port = {peers}\nmetrics_port = {metrics}\n"
            f'store = "127.0.0.1:{link.port}"\n'
            'guarantees = ["tenants"]\n'
            f"memory_mb = {self.shape.memory_mb}\n"
            f"descriptors = {self.shape.descriptors}\n"
            f"[bounds]\napply = {APPLY_SECONDS}\nrevoke = {REVOKE_SECONDS}\n"
            f"grace = {GRACE_SECONDS}\n"
            "stall = 1.0\nchecks_fencing = true\n" + self._cold_bounds()
        )
        self.nodes.append(
            ManagedProcess(
                name=f"node{number}",
                arguments=("node",),
                environment={SETTINGS_VARIABLE: str(path)},
                log=self.folder / f"node{number}.log",
            )
        )
        self.store_links.append(link)
        self.node_ports.append((callers, readiness))
        self.node_addresses.append(address)
        self.node_side_ports.append((peers, metrics))

    def _cold_bounds(self) -> str:
        if not (self.shape.cold_seconds and self.shape.limits_cold):
            return ""
        return f"cold_ratio = {COLD_RATIO}\ncold_slack = {COLD_SLACK}\n"

    async def _add_link(self, port: int) -> Proxy:
        link = Proxy(target_port=port)
        await link.start()
        self._stack.push_async_callback(link.close)
        return link

    def _new_standin(
        self, name: str, program: str, options: dict[str, Any]
    ) -> ManagedProcess:
        path = self.folder / f"{name}.toml"
        path.write_text(_format_toml(options))
        return ManagedProcess(
            name=name,
            arguments=("standin", program, "--config", str(path)),
            environment={},
            log=self.folder / f"{name}.log",
        )

    def _write_options(self, engine: ManagedProcess, change: dict[str, Any]) -> None:
        engine.options = {**(engine.options or {}), **change}
        path = self.folder / f"{engine.name}.toml"
        path.write_text(_format_toml(engine.options))


def _format_toml(options: dict[str, Any]) -> str:
    lines = [f"{k} = {json.dumps(v)}" for k, v in options.items() if k != "models"]
    if "models" in options:
        lines.append("[models]")
        lines += [f"{name} = {value}" for name, value in options["models"].items()]
    return "\n".join(lines) + "\n"
