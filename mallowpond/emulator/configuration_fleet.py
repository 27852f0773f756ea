"""Simulation of hosts that follow the configuration of a store with faulty connections.

The hosts run the product's own election of readers, their questions and the sharing of
documents. Datagrams between them, and connections to the store, fail as told.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random

from mallowpond.coordination.ports import Unavailable
from mallowpond.coordination.tasks import cancel_task
from mallowpond.emulator.virtual_time import VirtualClock
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.configuration_sharing import ConfigurationSharing
from mallowpond.node.directory import Directory
from mallowpond.node.fanout import Fanout
from mallowpond.node.messages import Heartbeat, Message
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import ConfigurationRead, TargetsRead
from mallowpond.node.readers import Readers
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.site_configuration import SiteConfiguration

# Time for which a call waits beyond its wait at the store, unless it says otherwise, in
# seconds.
DEFAULT_TIMEOUT_SECONDS = 1.0
# Latency of an answer of the store, and of a datagram between hosts, in seconds.
STORE_SECONDS = 0.004
ONE_WAY_SECONDS = 0.001
# How far the clock of the store is ahead of those of the hosts, in seconds.
CLOCK_AHEAD_SECONDS = 1000.0
DATA_CENTRES = ("a", "b", "c")


@dataclass(kw_only=True)
class EmulatedConnection:
    """A connection to the store; a silent one delivers nothing any more."""

    is_silent: bool = False


@dataclass(kw_only=True)
class EmulatedStore:
    """A store that holds one configuration, and counts the reads of it."""

    version: int = 1
    is_down: bool = False
    is_unreadable: bool = False
    seconds: float = STORE_SECONDS
    reads_at: list[float] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def apply(self) -> int:
        """Accept a new version of the configuration, and return it."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def read(self, since: int, wait_seconds: float) -> ConfigurationRead:
        """Answer like the store: at once, or when the configuration has changed."""
        loop = asyncio.get_running_loop()
        self.reads_at.append(loop.time())
        limit = loop.time() + wait_seconds
        while since and self.version <= since and loop.time() < limit:
            try:
                async with asyncio.timeout_at(limit):
                    await self._changed.wait()
            except TimeoutError:
                break
        is_newer = self.version > since
        is_readable = is_newer and not self.is_unreadable
        answered_at = loop.time() + CLOCK_AHEAD_SECONDS
        await asyncio.sleep(self.seconds)
        return ConfigurationRead(
            revision=self.version,
            configuration=configuration_of(self.version) if is_readable else None,
            changed=is_newer,
            unreadable=is_newer and self.is_unreadable,
            answered_at=answered_at,
            document=str(self.version).encode() if is_newer else b"",
        )


def configuration_of(version: int) -> SiteConfiguration:
    """Return a configuration that differs from others only by its version."""
    return SiteConfiguration(version=version, routes=(), services={})


class EmulatedSource:
    """One host's connections to the store, which are reused as a client does."""

    def __init__(self, store: EmulatedStore) -> None:
        self._store = store
        self._idle: list[EmulatedConnection] = []
        self._open: set[int] = set()
        self._connections: dict[int, EmulatedConnection] = {}
        self.is_refused = False
        self.is_cut = False
        self.on_newer_era: list[Callable[[int], None]] = []

    def silence(self) -> None:
        """Let all open connections fall silent; new ones work."""
        for connection in (*self._idle, *self._connections.values()):
            connection.is_silent = True

    async def configuration(
        self,
        since: int,
        wait_seconds: float,
        *,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
        new_connection: bool = False,
    ) -> ConfigurationRead | Unavailable:
        """Read the configuration through a new or reused connection."""
        is_reused = bool(self._idle) and not new_connection
        connection = self._idle.pop() if is_reused else EmulatedConnection()
        self._connections[id(connection)] = connection
        if self.is_refused or self._store.is_down:
            await asyncio.sleep(STORE_SECONDS)
            self._drop(connection)
            return Unavailable(reason="refused")
        try:
            async with asyncio.timeout(wait_seconds + timeout_seconds):
                answer = await self._store.read(since, wait_seconds)
                if connection.is_silent or self.is_cut:
                    await asyncio.Event().wait()
        except TimeoutError:
            self._drop(connection)
            return Unavailable(reason="timeout", is_silent=True)
        except asyncio.CancelledError:
            self._drop(connection)
            raise
        del self._connections[id(connection)]
        self._idle.append(connection)
        return answer

    def _drop(self, connection: EmulatedConnection) -> None:
        """Drop a connection and the idle ones, which may have failed with it."""
        del self._connections[id(connection)]
        self._idle.clear()

    def parse_configuration(self, document: bytes) -> SiteConfiguration:
        """Return the configuration with this version."""
        return configuration_of(int(document))

    async def targets(self, since: int) -> TargetsRead:
        """Return an empty list of targets."""
        return TargetsRead(revision=1, targets=(), whole=True)


class EmulatedHost:
    """One host, which is `frozen` while its clock and its tasks stand still."""

    def __init__(
        self, fleet: "ConfigurationFleet", name: str, data_centre: str
    ) -> None:
        self._fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.is_alive = True
        self.is_isolated = False
        self.in_force_at: dict[int, float] = {}
        clock = VirtualClock()
        self.source = EmulatedSource(fleet.store)
        self.peers = PeerNetwork(
            name=name,
            incarnation="1",
            address=f"{name}:1",
            table=MemoryTable(),
            clock=clock,
            make_heartbeat=self._build_heartbeat,
        )
        self.peers._send = self._send
        self.configuration = fleet.build_follower(self.source, clock)
        self.directory = Directory(source=self.source, clock=clock)
        self.fanout = Fanout(
            name=name,
            data_centre=data_centre,
            peers=self.peers,
            readers=lambda: self.readers.names,
        )
        self.readers = Readers(
            name=name,
            peers=self.peers,
            configuration=self.configuration,
            directory=self.directory,
            clock=clock,
            is_stopping=lambda: False,
            is_planning=lambda: False,
            fanout=self.fanout,
        )
        self.sharing = ConfigurationSharing(
            name=name,
            peers=self.peers,
            readers=self.readers,
            fanout=self.fanout,
            configuration=self.configuration,
        )
        self.configuration.on_new_version.append(self._on_new_version)

    async def start(self) -> None:
        """Read the list of targets and start the loops of the host."""
        await self.directory.refresh()
        for work in (
            self.configuration.run(),
            self.readers.run(),
            self.peers.run_heartbeats(),
            self.peers.run_candidate_heartbeats(),
        ):
            self._fleet.stack.push_async_callback(
                cancel_task, asyncio.ensure_future(work)
            )

    def receive(self, message: Message) -> None:
        """Take a datagram of a peer."""
        if self.is_alive:
            self.peers._handle_message(message)

    def _send(self, message: Message, addresses: Iterable[str]) -> None:
        if not self.is_alive or self.is_isolated:
            return
        for address in list(addresses):
            self._fleet.deliver(message, address.partition(":")[0])

    def _on_new_version(self) -> None:
        version = self.configuration.configuration.version
        self.in_force_at[version] = asyncio.get_running_loop().time()
        # What `Node` does: all hosts of a small fleet, the readers of a large one.
        if not self.peers.is_large_fleet:
            self.peers.broadcast(self._build_heartbeat())
        elif self.readers.is_reader:
            self.readers.step()

    def _build_heartbeat(self) -> Heartbeat:
        known = self.configuration.configuration
        return Heartbeat(
            node=self.name,
            incarnation="1",
            address=f"{self.name}:1",
            version=known.version if known else 0,
            sure=self.configuration.is_confirmed,
            store=self.configuration.is_store_reachable,
            stopping=False,
            planning=0,
            interval=self.peers.interval,
            data_centre=self.data_centre,
        )


class ConfigurationFleet:
    """Hosts of one site, with a store and datagrams that are lost by a seed."""

    def __init__(
        self,
        *,
        host_count: int,
        build_follower: Callable[..., ConfigurationFollower],
        seed: int = 1,
    ) -> None:
        self.build_follower = build_follower
        self.store = EmulatedStore()
        self.stack = AsyncExitStack()
        self.rng = Random(seed)
        self.loss = 0.0
        self._host_count = host_count
        self._by_name: dict[str, EmulatedHost] = {}

    @property
    def hosts(self) -> list[EmulatedHost]:
        """Return all hosts, also those that ended or are cut off."""
        return list(self._by_name.values())

    @property
    def readers(self) -> list[EmulatedHost]:
        """Return the hosts that take themselves for readers now."""
        return [host for host in self.hosts if host.readers.is_reader]

    async def start(self) -> None:
        """Start all hosts, which know of each other."""
        for number in range(self._host_count):
            name = f"h{number}"
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self._by_name[name] = EmulatedHost(self, name, centre)
        for host in self.hosts:
            heartbeat = host._build_heartbeat()
            for other in self.hosts:
                other.receive(heartbeat)
        for host in self.hosts:
            await host.start()

    async def close(self) -> None:
        """Stop all hosts."""
        await self.stack.aclose()

    def deliver(self, message: Message, name: str) -> None:
        """Deliver a datagram to a host, unless it is lost or the host is cut off."""
        host = self._by_name.get(name)
        if host is None or host.is_isolated or self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_SECONDS, host.receive, message)

    def in_force_after(self, version: int, began_at: float) -> dict[str, float]:
        """Return for each live host how long after a time it had a version.

        Infinity for a host that does not have it or a newer one.
        """
        found: dict[str, float] = defaultdict(lambda: float("inf"))
        for host in self.hosts:
            if host.is_alive and not host.is_isolated:
                newer = [at for v, at in host.in_force_at.items() if v >= version]
                found[host.name] = min(newer, default=float("inf")) - began_at
        return found
