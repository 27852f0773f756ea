"""Place streams by news of some age, in virtual time.

The pattern: many hosts get a few streams a second each and send them to the same
groups; what they know of each other's streams is some tenths of a second old, a group
opens empty, or all hosts start anew at once and their callers come back together.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from math import exp, log

from mallowpond.coordination.tasks import cancel_task
from mallowpond.emulator.engines import EmulatedGroup, EmulatedTargets
from mallowpond.emulator.virtual_time import VirtualClock, run_virtually
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Dispatcher
from mallowpond.node.messages import (
    PlaceAnswer,
    PlaceQuestion,
    Work,
    heartbeat_loads,
    loads_of,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Refusal
from mallowpond.node.place_asking import PlaceAsking
from mallowpond.node.ports import CallerRequest, TargetsRead
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.stream_work import StreamWork
from mallowpond.node.streams import StreamService
from mallowpond.state.fleet import (
    EngineProfile,
    GroupPhase,
    Membership,
    ModelSpec,
    Target,
)
from mallowpond.state.retry_window import RetryWindow
from mallowpond.state.site_configuration import Backend, Repeat, Route

Told = PlaceQuestion | PlaceAnswer | Work

SERVICE = "engines"
MODEL = "m"
# Hosts above which sums of work come from a reader, not from each host's heartbeats.
LARGE_FLEET = 12
HEARTBEAT_SECONDS = 0.1
DIGEST_SECONDS = 0.2
# Time that a datagram takes, and a request or an answer between host and engine.
WAY_SECONDS = 0.002
# Time after the start that does not count: the groups fill up.
LEAD_SECONDS = 2.0
LOOK_SECONDS = 0.02
MAX_RETRY_SHARE = 1 / 3


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Describe a load; rates are a second, times in seconds.

    With `restart_at` all hosts are gone from then on for `away`; who came meanwhile
    comes back while they start. With `replaced_every` a group closes and another one
    opens empty, after each such time.
    """

    name: str
    hosts: int
    groups: int
    rate: float
    seconds: float = 12.0
    prompt_tokens: float = 674.0
    prompt_spread: float = 0.89
    events: float = 28.0
    events_spread: float = 0.7
    most_events: int = 70
    restart_at: float | None = None
    away: float = 1.2
    replaced_every: float | None = None
    burst_at: float | None = None
    burst_x: float = 1.0
    dispatched: bool = True


PROFILE = EngineProfile(
    slots=10,
    models=(ModelSpec(name=MODEL, size=1, pace=0.6, share=1.0),),
    stride=6,
    step_seconds=0.0078,
    request_seconds=0.0000947,
    read_tokens_per_second=45_900.0,
    usual_prompt_tokens=674.0,
    usual_answer_tokens=168.0,
)
FIRST_EVENT_SECONDS = 0.11
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    repeat=Repeat.STREAM,
    backends=(Backend(service=SERVICE, weight=1),),
    timeout_seconds=6.0,
    objective_seconds=0.303,
    max_attempts=2,
    resumable=True,
    gap_seconds=0.2,
)


@dataclass(kw_only=True)
class Figures:
    """Count what became of the streams of one play."""

    streams: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    gaps: int = 0
    # Stream-seconds beyond the slots of groups, and those of them beside which a slot
    # was free on another group.
    beyond: float = 0.0
    beside: float = 0.0


class Exchange:
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


class Callers:
    """Pass no headers on."""

    def answer_headers(self, response: object) -> tuple[tuple[str, str], ...]:
        """Return no headers."""
        return ()


class Listing:
    """Hold the list of targets, one for each open group."""

    def __init__(self) -> None:
        self.targets_now: dict[str, Target] = {}
        self.revision = 1

    async def targets(self, since: int) -> TargetsRead:
        """Return the whole list."""
        return TargetsRead(
            revision=self.revision,
            targets=tuple(self.targets_now.values()),
            whole=True,
        )


class Datagrams:
    """Carry the messages of one host, each as long as a datagram takes."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self.on_place_question: list[Callable[[PlaceQuestion], None]] = []
        self.on_place_answer: list[Callable[[PlaceAnswer], None]] = []
        self.on_work: list[Callable[[Work], None]] = []

    def tell_nodes(self, message: Told, nodes: Iterable[str]) -> None:
        """Send a message to some hosts."""
        loop = asyncio.get_running_loop()
        for node in nodes:
            loop.call_later(WAY_SECONDS, self._fleet.deliver, node, message)

    def hear(self, message: Told) -> None:
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

    def __init__(self, *, fleet: "Fleet", number: int) -> None:
        self.name = f"n{number}"
        self._fleet = fleet
        clock = VirtualClock()
        self.directory = Directory(source=fleet.listing, clock=clock)
        budget = RetryWindow(ratio=0.2, slack=248.0, window_seconds=10.0)
        metrics = NodeMetrics()
        self.streams = StreamService(
            parts=ServingParts(
                directory=self.directory,
                targets=fleet.targets,
                callers=Callers(),
                clock=clock,
                metrics=metrics,
                budget=lambda service: budget,
                hosts=lambda: len(fleet.hosts) or 1,
                rng=random.Random(fleet.rng.random()),
                quarantine=Quarantine(clock=clock, metrics=metrics),
            )
        )
        self.datagrams = Datagrams(fleet)
        self.dispatcher = Dispatcher(
            name=self.name,
            peers=self.datagrams,
            directory=self.directory,
            choice=self.streams.placing.choice,
            clock=clock,
            shape_of=lambda service, model: (PROFILE, PROFILE.models[0]),
            is_dispatcher=lambda: fleet.dispatching_host() == self.name,
        )
        asking = PlaceAsking(
            name=self.name,
            peers=self.datagrams,
            directory=self.directory,
            dispatcher=self.dispatcher,
            clock=clock,
            dispatching_host=fleet.dispatching_host,
        )
        self.asking = asking
        if fleet.scenario.dispatched:
            self.streams.placing.asking = asking
            self.streams.on_end.append(self.tell_work)
            asking.on_unused.append(self.tell_work)
            self.datagrams.on_work.append(self._hear_work)

    def tell_work(self) -> None:
        """Tell the dispatcher this host's streams by group."""
        host = self._fleet.dispatching_host()
        if host is None or host == self.name:
            self.dispatcher.wake()
            return
        loads = self.directory.loads.own_loads()
        self.directory.loads.note_told(loads)
        work = Work(
            node=self.name, loads=heartbeat_loads(loads), granted=self.asking.granted
        )
        self.datagrams.tell_nodes(work, (host,))

    def _hear_work(self, work: Work) -> None:
        loads = self.directory.loads
        loads.note_peer(work.node, loads_of(work), work.granted)
        self.dispatcher.wake()


class Fleet:
    """Hold the hosts, the groups and the streams of one play."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.listing = Listing()
        self.groups: dict[str, EmulatedGroup] = {}
        self.targets = EmulatedTargets(groups=self.groups, way_seconds=WAY_SECONDS)
        self.hosts: list[Host] = []
        self.figures = Figures()
        self.serving: set[asyncio.Task[None]] = set()
        self.waiting_callers: deque[tuple[CallerRequest, float]] = deque()
        self._opened = 0
        self._asked = 0

    # -- groups and hosts ----------------------------------------------------

    def open_group(self) -> None:
        """Open one more group."""
        self._opened += 1
        name = f"g{self._opened}"
        self.groups[name] = EmulatedGroup(
            profile=PROFILE,
            model=PROFILE.models[0],
            first_event_seconds=FIRST_EVENT_SECONDS,
        )
        self.listing.targets_now[name] = Target(
            id=name,
            service=SERVICE,
            address=f"{name}:1",
            data_centre="a",
            slots=PROFILE.slots,
            domain="d",
            model=MODEL,
            born=0,
            membership=Membership(group=name, epoch=1, rank=0, phase=GroupPhase.OPEN),
        )
        self.listing.revision += 1

    async def replace_groups(self, seconds: float) -> None:
        """Close the oldest group and open an empty one, again and again."""
        while True:
            await asyncio.sleep(seconds)
            oldest = next(iter(self.listing.targets_now))
            del self.listing.targets_now[oldest]
            self.open_group()
            for host in list(self.hosts):
                await host.directory.refresh()

    async def start_hosts(self, within: float = 0.0) -> None:
        """Start all hosts, knowing nothing of each other's streams."""
        started = []
        for number in range(self.scenario.hosts):
            host = Host(fleet=self, number=number)
            await host.directory.refresh()
            started.append(host)
        self.rng.shuffle(started)
        for host in started:
            self.hosts.append(host)
            if within:
                await asyncio.sleep(within / len(started))

    async def restart(self) -> None:
        """Stop all hosts at once, and start them after a while."""
        await asyncio.sleep(self.scenario.restart_at)
        self.hosts = []
        for task in list(self.serving):
            task.cancel()
        await asyncio.sleep(self.scenario.away)
        back = asyncio.create_task(self.start_hosts(0.3))
        await asyncio.sleep(0.05)
        while self.waiting_callers:
            request, at = self.waiting_callers.popleft()
            self._begin(request, at)
            await asyncio.sleep(0.3 / (1 + len(self.waiting_callers)) / 10)
        await back

    def dispatching_host(self) -> str | None:
        """Return the host that counts places for all, None while none is known."""
        return self.hosts[0].name if self.hosts else None

    def deliver(self, node: str, message: Told) -> None:
        """Hand a message to a host that is up."""
        for host in self.hosts:
            if host.name == node:
                host.datagrams.hear(message)

    # -- news ----------------------------------------------------------------

    async def tell(self) -> None:
        """Let hosts hear of each other's streams, at the pace of their fleet."""
        if self.scenario.hosts > LARGE_FLEET:
            await self._tell_sums()
        while True:
            for host in self.hosts:
                loads = host.directory.loads.own_loads()
                for other in self.hosts:
                    if other is not host:
                        other.directory.loads.note_peer(
                            host.name, loads, host.asking.granted
                        )
            self._wake()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _tell_sums(self) -> None:
        """Tell a reader each host's work in turn, and all hosts the reader's sums."""
        turns = 10
        while True:
            for turn in range(turns):
                hosts = self.hosts
                reader = hosts[0] if hosts else None
                for host in hosts[1 + turn :: turns]:
                    loads = host.directory.loads.own_loads()
                    host.directory.loads.note_told(loads)
                    reader.directory.loads.note_peer(
                        host.name, loads, host.asking.granted
                    )
                await asyncio.sleep(DIGEST_SECONDS / turns)
            if self.hosts:
                reader = self.hosts[0].directory
                sums = reader.loads.all_loads(reader.groups)
                for host in self.hosts[1:]:
                    host.directory.loads.note_totals(sums)
                self._wake()

    def _wake(self) -> None:
        for host in self.hosts:
            host.streams.placing.wake_all()
            host.dispatcher.wake()

    # -- callers -------------------------------------------------------------

    async def call(self) -> None:
        """Let streams come at random."""
        scenario = self.scenario
        loop = asyncio.get_running_loop()
        while loop.time() < scenario.seconds:
            rate = scenario.rate
            if scenario.burst_at and loop.time() >= scenario.burst_at:
                rate *= scenario.burst_x
            await asyncio.sleep(self.rng.expovariate(rate))
            request = self._request()
            if self.hosts:
                self._begin(request, loop.time())
            else:
                self.waiting_callers.append((request, loop.time()))

    def _request(self) -> CallerRequest:
        scenario = self.scenario
        self._asked += 1
        return CallerRequest(
            id=str(self._asked),
            host="h",
            method="POST",
            target="/",
            body=str(self._asked).encode(),
            passed_headers=(),
            model=MODEL,
            prompt_tokens=int(
                self._draw(scenario.prompt_tokens, scenario.prompt_spread)
            ),
            answer_tokens=min(
                scenario.most_events,
                max(1, round(self._draw(scenario.events, scenario.events_spread))),
            ),
        )

    def _draw(self, mean: float, spread: float) -> float:
        """Draw from a log-normal distribution by its mean."""
        sigma2 = log(1.0 + spread**2)
        return mean * exp(self.rng.gauss(0.0, sigma2**0.5) - sigma2 / 2)

    def _begin(self, request: CallerRequest, at: float) -> None:
        task = asyncio.create_task(self._ask(request, at))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def _ask(self, request: CallerRequest, at: float) -> None:
        """Ask, and come back once after a refusal, as callers do."""
        loop = asyncio.get_running_loop()
        deadline = at + ROUTE.timeout_seconds
        for _ in range(2):
            work = StreamWork(
                request=request,
                route=ROUTE,
                service=SERVICE,
                profile=PROFILE,
                model=PROFILE.models[0],
                workspace="w",
                priority=1,
                deadline=deadline,
                exchange=Exchange(),
            )
            outcome = await self.rng.choice(self.hosts).streams.serve(work)
            match outcome:
                case Answered():
                    self._count(work, at)
                    return
                case Refusal(retry_after=after) if after is not None:
                    left = deadline - loop.time()
                    if after > MAX_RETRY_SHARE * left:
                        break
                    await asyncio.sleep(after)
        self._note(at, "unserved")

    def _count(self, work: StreamWork, at: float) -> None:
        first = (work.first_event_at or 0.0) - at
        is_late = first > ROUTE.objective_seconds
        is_gap = work.longest_gap > ROUTE.gap_seconds
        self._note(at, "late" if is_late else "gaps" if is_gap else "in_time")

    def _note(self, at: float, what: str) -> None:
        if at < LEAD_SECONDS:
            return
        self.figures.streams += 1
        setattr(self.figures, what, getattr(self.figures, what) + 1)

    # -- figures -------------------------------------------------------------

    async def look(self) -> None:
        """Add up what stands beyond the slots, and what was free beside it."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if asyncio.get_running_loop().time() < LEAD_SECONDS:
                continue
            open_groups = [self.groups[name] for name in self.listing.targets_now]
            beyond = sum(group.beyond for group in open_groups)
            free = sum(group.free for group in open_groups)
            self.figures.beyond += beyond * LOOK_SECONDS
            self.figures.beside += min(beyond, free) * LOOK_SECONDS

    async def play(self) -> Figures:
        """Play the scenario to its end."""
        scenario = self.scenario
        for _ in range(scenario.groups):
            self.open_group()
        await self.start_hosts()
        works = [self.tell(), self.look()]
        if scenario.restart_at is not None:
            works.append(self.restart())
        if scenario.replaced_every is not None:
            works.append(self.replace_groups(scenario.replaced_every))
        async with AsyncExitStack() as stack:
            for work in works:
                stack.push_async_callback(cancel_task, asyncio.ensure_future(work))
            await self.call()
            while self.serving:
                await asyncio.wait(self.serving)
        return self.figures


def play(scenario: Scenario, seed: int) -> Figures:
    """Play a scenario with a seed."""
    return run_virtually(Fleet(scenario, seed).play())
