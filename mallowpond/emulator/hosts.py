"""Run the product's placing and serving of single hosts on a virtual clock."""

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
    encode_loads,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import TargetsRead
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.streams import StreamService
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.state.fleet import Target
from mallowpond.state.retry_window import RetryWindow

PeerMessage = PlaceQuestion | PlaceAnswer | Work


class FleetContext(Protocol):
    """Give a host what it shares with the others of its fleet."""

    scenario: Scenario
    rng: random.Random
    listing: "EmulatedTargetSource"
    targets: EmulatedTargets
    hosts: list["Host"]

    def dispatching_host(self) -> str | None:
        """Return the host that counts places for all, None while none is known."""

    def deliver(self, node: str, message: PeerMessage) -> None:
        """Hand a message to a host that is up."""


class DiscardingExchange:
    """Take an answer as a caller does."""

    def __init__(self) -> None:
        self.started = False

    async def start(self, status: int, headers: object = ()) -> None:
        """Begin an answer."""
        self.started = True

    async def send(self, data: bytes) -> None:
        """Take a part."""

    async def end(self) -> None:
        """Take the end."""


class EmptyCallerHeaders:
    """Pass no headers on."""

    def answer_headers(self, response: object) -> tuple[tuple[str, str], ...]:
        """Return no headers."""
        return ()


class EmulatedTargetSource:
    """Hold the list of targets, one for each open group."""

    def __init__(self) -> None:
        self.current_targets: dict[str, Target] = {}
        self.revision = 1

    async def targets(self, since: int) -> TargetsRead:
        """Return the whole list."""
        return TargetsRead(
            revision=self.revision,
            targets=tuple(self.current_targets.values()),
            whole=True,
        )


class EmulatedDatagrams:
    """Carry the messages of one host, each as long as a datagram takes."""

    def __init__(self, fleet: FleetContext) -> None:
        self._fleet = fleet
        self.on_place_question: list[Callable[[PlaceQuestion], None]] = []
        self.on_place_answer: list[Callable[[PlaceAnswer], None]] = []
        self.on_work: list[Callable[[Work], None]] = []

    def send_to(self, message: PeerMessage, nodes: Iterable[str]) -> None:
        """Send a message to some hosts."""
        loop = asyncio.get_running_loop()
        for node in nodes:
            loop.call_later(ONE_WAY_SECONDS, self._fleet.deliver, node, message)

    def on_message(self, message: PeerMessage) -> None:
        """Take a message."""
        match message:
            case PlaceQuestion():
                listeners = self.on_place_question
            case PlaceAnswer():
                listeners = self.on_place_answer
            case Work():
                listeners = self.on_work
        for notify in listeners:
            notify(message)


class Host:
    """Run the product's placing and serving of one host."""

    def __init__(self, *, fleet: FleetContext, number: int) -> None:
        self.name = f"n{number}"
        self._fleet = fleet
        clock = VirtualClock()
        self.directory = Directory(source=fleet.listing, clock=clock)
        budget = RetryWindow(ratio=0.2, slack=248.0, window_seconds=10.0)
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
                budget=lambda service: budget,
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
            self.streams.on_end.append(self.tell_work)
            dispatcher_client.on_unused_grant.append(self.tell_work)
            self.datagrams.on_work.append(self._hear_work)

    def tell_work(self) -> None:
        """Tell the dispatcher this host's streams by group."""
        host = self._fleet.dispatching_host()
        if host is None or host == self.name:
            self.dispatcher.wake()
            return
        loads = self.directory.loads.own_loads()
        self.directory.loads.record_published(loads)
        work = Work(
            node=self.name,
            loads=encode_loads(loads),
            grant_number=self.dispatcher_client.grant_number,
        )
        self.datagrams.send_to(work, (host,))

    def _hear_work(self, work: Work) -> None:
        loads = self.directory.loads
        loads.record_peer_loads(work.node, decode_loads(work), work.grant_number)
        self.dispatcher.wake()
