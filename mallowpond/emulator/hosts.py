"""Emulated entry hosts: the node's services for placing and serving streams."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from mallowpond.emulator.engines import EmulatedTargets
from mallowpond.emulator.scenario import ONE_WAY_SECONDS, PROFILE, Scenario
from mallowpond.emulator.virtual_time import VirtualClock
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Dispatcher
from mallowpond.node.dispatcher_client import DispatcherClient
from mallowpond.node.messages import (
    PlaceAnswer,
    PlaceQuestion,
    Work,
    decode_loads,
    decode_paces,
    encode_loads,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import TargetsRead
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.settings import NodeBounds
from mallowpond.node.streams import StreamService
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.state.fleet import Target
from mallowpond.state.host_registry import HostRegistry

PeerMessage = PlaceQuestion | PlaceAnswer | Work


class FleetContext(Protocol):
    """What an emulated host uses of its fleet."""

    scenario: Scenario
    rng: random.Random
    target_source: "EmulatedTargetSource"
    targets: EmulatedTargets
    hosts: list["Host"]

    def dispatching_host(self) -> str | None:
        """Return the name of the dispatcher's host, None while there is none."""

    def deliver(self, node: str, message: PeerMessage) -> None:
        """Deliver a message to a host if it is running."""


class DiscardingExchange:
    """HTTP exchange of a caller that discards the answer."""

    def __init__(self) -> None:
        self.started = False

    async def start(self, status: int, headers: object = ()) -> None:
        """Start the answer."""
        self.started = True

    async def send(self, data: bytes) -> None:
        """Discard a part of the body."""

    async def end(self) -> None:
        """End the answer."""


class EmptyCallerHeaders:
    """Caller protocol that passes no headers of an answer on."""

    def answer_headers(self, response: object) -> tuple[tuple[str, str], ...]:
        """Return no headers for the caller."""
        return ()


class EmulatedTargetSource:
    """In-memory list of targets, one for each open group."""

    def __init__(self) -> None:
        self.current_targets: dict[str, Target] = {}
        self.revision = 1

    async def targets(self, since: int) -> TargetsRead:
        """Return the whole list, regardless of `since`."""
        return TargetsRead(
            revision=self.revision,
            targets=tuple(self.current_targets.values()),
            whole=True,
        )


class EmulatedDatagrams:
    """Peer messages of one host, delivered after a fixed delay and without loss."""

    def __init__(self, fleet: FleetContext) -> None:
        self._fleet = fleet
        self.on_place_question: list[Callable[[PlaceQuestion], None]] = []
        self.on_place_answer: list[Callable[[PlaceAnswer], None]] = []
        self.on_work: list[Callable[[Work], None]] = []

    def send_to(self, message: PeerMessage, nodes: Iterable[str]) -> None:
        """Send a message to each of `nodes`."""
        loop = asyncio.get_running_loop()
        for node in nodes:
            loop.call_later(ONE_WAY_SECONDS, self._fleet.deliver, node, message)

    def on_message(self, message: PeerMessage) -> None:
        """Pass a received message to the handlers of its type."""
        match message:
            case PlaceQuestion():
                handlers = self.on_place_question
            case PlaceAnswer():
                handlers = self.on_place_answer
            case Work():
                handlers = self.on_work
        for handle in handlers:
            handle(message)


class EmulatedPeers:
    """The emulated hosts, all of which are at work."""

    def __init__(self, fleet: FleetContext) -> None:
        self._fleet = fleet

    @property
    def registry(self) -> HostRegistry:
        """Return a registry of all hosts but one."""
        now = VirtualClock().now()
        registry = HostRegistry()
        registry.record_rows({h.name: 1 for h in self._fleet.hosts[1:]}, now)
        registry.record_written(now)
        return registry


class Host:
    """One entry host that places and serves streams with the node's own services."""

    def __init__(self, *, fleet: FleetContext, number: int) -> None:
        self.name = f"n{number}"
        self._fleet = fleet
        clock = VirtualClock()
        self.directory = Directory(source=fleet.target_source, clock=clock)
        metrics = NodeMetrics()
        rate_limits = RateLimits(
            name=self.name, directory=self.directory, clock=clock, metrics=metrics
        )
        self.streams = StreamService(
            parts=ServingParts(
                directory=self.directory,
                targets=fleet.targets,
                callers=EmptyCallerHeaders(),
                clock=clock,
                metrics=metrics,
                budgets=RetryBudgets(
                    bounds=NodeBounds(retry_slack=248.0),
                    peers=EmulatedPeers(fleet),
                    clock=clock,
                    metrics=metrics,
                ),
                hosts=lambda: len(fleet.hosts) or 1,
                rng=random.Random(fleet.rng.random()),
                quarantine=Quarantine(clock=clock, metrics=metrics),
                availability=TargetAvailability(
                    rate_limits=rate_limits, directory=self.directory, clock=clock
                ),
            )
        )
        self.datagrams = EmulatedDatagrams(fleet)
        self.dispatcher = Dispatcher(
            name=self.name,
            peers=self.datagrams,
            directory=self.directory,
            selector=self.streams.placement.selector,
            clock=clock,
            find_model=lambda service, model: (PROFILE, PROFILE.models[0]),
            is_dispatcher=lambda: fleet.dispatching_host() == self.name,
        )
        dispatcher_client = DispatcherClient(
            name=self.name,
            peers=self.datagrams,
            directory=self.directory,
            dispatcher=self.dispatcher,
            clock=clock,
            dispatching_host=fleet.dispatching_host,
        )
        self.dispatcher_client = dispatcher_client
        if fleet.scenario.uses_dispatcher:
            self.streams.placement.dispatcher_client = dispatcher_client
            self.streams.on_end.append(self.report_loads)
            dispatcher_client.on_unused_grant.append(self.report_loads)
            self.datagrams.on_work.append(self._on_work)

    def report_loads(self) -> None:
        """Report this host's streams per group to the dispatcher."""
        host = self._fleet.dispatching_host()
        if host is None or host == self.name:
            self.dispatcher.wake()
            return
        loads = self.directory.loads.own_loads()
        self.directory.loads.record_published(loads)
        work = Work(
            node=self.name,
            loads=encode_loads(loads, self.directory.loads.own_paces()),
            grant_number=self.dispatcher_client.grant_number,
        )
        self.datagrams.send_to(work, (host,))

    def _on_work(self, work: Work) -> None:
        loads = self.directory.loads
        loads.record_peer_loads(work.node, decode_loads(work), work.grant_number)
        loads.record_peer_paces(work.node, decode_paces(work))
        self.dispatcher.wake()
