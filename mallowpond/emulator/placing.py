"""Place streams by news of some age, in virtual time.

The pattern: many hosts get a few streams a second each and send them to the same
groups; what they know of each other's streams is some tenths of a second old, a group
opens empty, or all hosts start anew at once and their callers come back together.
"""

import asyncio
import random
from collections import deque
from contextlib import AsyncExitStack
from math import exp, log

from mallowpond.coordination.tasks import cancel_task
from mallowpond.emulator.engines import EmulatedGroup, EmulatedTargets
from mallowpond.emulator.hosts import (
    DiscardingExchange,
    EmulatedTargetSource,
    Host,
    PeerMessage,
)
from mallowpond.emulator.scenario import (
    FIRST_EVENT_SECONDS,
    MODEL,
    ONE_WAY_SECONDS,
    PROFILE,
    ROUTE,
    SERVICE,
    Scenario,
    SimulationResult,
)
from mallowpond.emulator.virtual_time import run_in_virtual_time
from mallowpond.node.outcomes import Answered, Refusal
from mallowpond.node.ports import CallerRequest
from mallowpond.node.stream_work import StreamWork
from mallowpond.state.fleet import GroupPhase, Membership, Target

# Hosts above which sums of work come from a reader, not from each host's heartbeats.
LARGE_FLEET = 12
HEARTBEAT_SECONDS = 0.1
DIGEST_SECONDS = 0.2
# Tellings of work to the reader between two digests, by a part of the hosts each.
TELLING_TURNS = 10
# Time after the start that does not count: the groups fill up.
LEAD_SECONDS = 2.0
LOOK_SECONDS = 0.02
# Share of the time left after which callers do not come back any more.
MAX_RETRY_SHARE = 1 / 3
# Time in which hosts that start anew do so one after the other, and time after the
# first until callers find them, in seconds.
START_SECONDS = 0.3
FOUND_SECONDS = 0.05
# Pause between two callers that come back then, by how many still wait, in seconds.
RETURN_SECONDS = 0.03


class Fleet:
    """Hold the hosts, the groups and the streams of one play."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.listing = EmulatedTargetSource()
        self.groups: dict[str, EmulatedGroup] = {}
        self.targets = EmulatedTargets(
            groups=self.groups, one_way_seconds=ONE_WAY_SECONDS
        )
        self.hosts: list[Host] = []
        self.figures = SimulationResult()
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
        self.listing.current_targets[name] = Target(
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
            oldest = next(iter(self.listing.current_targets))
            del self.listing.current_targets[oldest]
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
        await asyncio.sleep(self.scenario.outage_seconds)
        back = asyncio.create_task(self.start_hosts(START_SECONDS))
        await asyncio.sleep(FOUND_SECONDS)
        while self.waiting_callers:
            request, at = self.waiting_callers.popleft()
            self._begin(request, at)
            await asyncio.sleep(RETURN_SECONDS / (1 + len(self.waiting_callers)))
        await back

    def dispatching_host(self) -> str | None:
        """Return the host that counts places for all, None while none is known."""
        return self.hosts[0].name if self.hosts else None

    def deliver(self, node: str, message: PeerMessage) -> None:
        """Hand a message to a host that is up."""
        for host in self.hosts:
            if host.name == node:
                host.datagrams.on_message(message)

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
                        other.directory.loads.record_peer_loads(
                            host.name, loads, host.dispatcher_client.grant_number
                        )
            self._wake()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _tell_sums(self) -> None:
        """Tell a reader each host's work in turn, and all hosts the reader's sums."""
        while True:
            for turn in range(TELLING_TURNS):
                hosts = self.hosts
                reader = hosts[0] if hosts else None
                for host in hosts[1 + turn :: TELLING_TURNS]:
                    loads = host.directory.loads.own_loads()
                    host.directory.loads.record_published(loads)
                    reader.directory.loads.record_peer_loads(
                        host.name, loads, host.dispatcher_client.grant_number
                    )
                await asyncio.sleep(DIGEST_SECONDS / TELLING_TURNS)
            if self.hosts:
                reader = self.hosts[0].directory
                sums = reader.loads.all_loads(reader.groups)
                for host in self.hosts[1:]:
                    host.directory.loads.record_totals(sums)
                self._wake()

    def _wake(self) -> None:
        for host in self.hosts:
            host.streams.placement.wake_all()
            host.dispatcher.wake()

    # -- callers -------------------------------------------------------------

    async def call(self) -> None:
        """Let streams come at random."""
        scenario = self.scenario
        loop = asyncio.get_running_loop()
        while loop.time() < scenario.seconds:
            await asyncio.sleep(self.rng.expovariate(scenario.rate))
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
            forwarded_headers=(),
            model=MODEL,
            prompt_tokens=int(
                self._draw(scenario.prompt_tokens, scenario.prompt_spread)
            ),
            answer_tokens=min(
                scenario.max_events,
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
                exchange=DiscardingExchange(),
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
        is_gap = work.longest_gap > ROUTE.gap_objective_seconds
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
            open_groups = [self.groups[name] for name in self.listing.current_targets]
            beyond = sum(group.beyond for group in open_groups)
            free = sum(group.free for group in open_groups)
            self.figures.excess_seconds += beyond * LOOK_SECONDS
            self.figures.avoidable_excess_seconds += min(beyond, free) * LOOK_SECONDS

    async def simulate(self) -> SimulationResult:
        """Play the scenario to its end."""
        scenario = self.scenario
        for _ in range(scenario.groups):
            self.open_group()
        await self.start_hosts()
        works = [self.tell(), self.look()]
        if scenario.restart_at is not None:
            works.append(self.restart())
        if scenario.replacement_interval is not None:
            works.append(self.replace_groups(scenario.replacement_interval))
        async with AsyncExitStack() as stack:
            for work in works:
                stack.push_async_callback(cancel_task, asyncio.ensure_future(work))
            await self.call()
            while self.serving:
                await asyncio.wait(self.serving)
        return self.figures


def simulate(scenario: Scenario, seed: int) -> SimulationResult:
    """Play a scenario with a seed."""
    return run_in_virtual_time(Fleet(scenario, seed).simulate())
