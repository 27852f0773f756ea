"""Simulation of how hosts place streams on groups by outdated load reports.

Many hosts receive a few streams per second each and send them to the same groups. Each
host knows the streams of the others with a delay of up to one heartbeat, or of some
tenths of a second in a fleet above `LARGE_FLEET`. Alternatively a dispatcher grants the
slots. Groups may be replaced by empty ones. All hosts may stop at once: their streams
are cancelled, the starts are spread over `RESTART_SECONDS`, and the requests that
arrive during the outage are sent shortly after it.
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

# Number of hosts above which the others report their loads to one host, the reader,
# which publishes the totals in digests. Up to it each host reports its own loads to all
# others in heartbeats.
LARGE_FLEET = 12
HEARTBEAT_SECONDS = 0.1
DIGEST_SECONDS = 0.2
# Rounds between two digests; in each, a part of the hosts reports to the reader.
REPORT_ROUNDS = 10
# Warm-up at the start, which is not counted: the groups fill up, in seconds.
WARM_UP_SECONDS = 2.0
SAMPLE_SECONDS = 0.02
# Callers give up if a refusal asks them to wait longer than this share of the time left
# until their deadline.
MAX_RETRY_SHARE = 1 / 3
# Time over which the restarts of the hosts are spread, in seconds.
RESTART_SECONDS = 0.3
# Time from the first restart until callers reconnect, in seconds.
RECONNECT_SECONDS = 0.05
# Pause between the callers that reconnect one after the other, in seconds. It is
# divided by 1 plus the number of callers that have yet to reconnect.
RECONNECT_PAUSE_SECONDS = 0.03


class Fleet:
    """Hosts, groups and streams of one simulation run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.target_source = EmulatedTargetSource()
        self.groups: dict[str, EmulatedGroup] = {}
        self.targets = EmulatedTargets(
            groups=self.groups, one_way_seconds=ONE_WAY_SECONDS
        )
        self.hosts: list[Host] = []
        self.result = SimulationResult()
        self.serving: set[asyncio.Task[None]] = set()
        self.waiting_callers: deque[tuple[CallerRequest, float]] = deque()
        self._opened_groups = 0
        self._request_count = 0

    # -- groups and hosts ----------------------------------------------------

    def open_group(self) -> None:
        """Open an empty group; list its head, which takes requests, as a target."""
        self._opened_groups += 1
        name = f"g{self._opened_groups}"
        self.groups[name] = EmulatedGroup(
            profile=PROFILE,
            model=PROFILE.models[0],
            first_event_seconds=FIRST_EVENT_SECONDS,
        )
        self.target_source.current_targets[name] = Target(
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
        self.target_source.revision += 1

    async def replace_groups(self, seconds: float) -> None:
        """Replace the oldest group by an empty one every `seconds` seconds."""
        while True:
            await asyncio.sleep(seconds)
            oldest = next(iter(self.target_source.current_targets))
            del self.target_source.current_targets[oldest]
            self.open_group()
            for host in list(self.hosts):
                await host.directory.refresh()

    async def start_hosts(self, within: float = 0.0) -> None:
        """Start all hosts in random order, spread over `within` seconds.

        They know nothing of each other's streams.
        """
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
        """Stop all hosts at once and restart them after the outage."""
        await asyncio.sleep(self.scenario.restart_at)
        self.hosts = []
        for task in list(self.serving):
            task.cancel()
        await asyncio.sleep(self.scenario.outage_seconds)
        restarting = asyncio.create_task(self.start_hosts(RESTART_SECONDS))
        await asyncio.sleep(RECONNECT_SECONDS)
        while self.waiting_callers:
            request, arrived_at = self.waiting_callers.popleft()
            self._start_request(request, arrived_at)
            await asyncio.sleep(
                RECONNECT_PAUSE_SECONDS / (1 + len(self.waiting_callers))
            )
        await restarting

    def dispatching_host(self) -> str | None:
        """Return the name of the dispatcher's host, None while there is none."""
        return self.hosts[0].name if self.hosts else None

    def deliver(self, node: str, message: PeerMessage) -> None:
        """Deliver a message to the host named `node` if it is running."""
        for host in self.hosts:
            if host.name == node:
                host.datagrams.on_message(message)

    # -- load reports --------------------------------------------------------

    async def exchange_loads(self) -> None:
        """Exchange the hosts' loads by heartbeats or, in a large fleet, by digests.

        With its loads a host reports the number of its latest slot grant.
        """
        if self.scenario.hosts > LARGE_FLEET:
            await self._publish_totals()
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

    async def _publish_totals(self) -> None:
        """Report loads to a reader in rounds, and its totals to every host."""
        while True:
            for round_number in range(REPORT_ROUNDS):
                hosts = self.hosts
                reader = hosts[0] if hosts else None
                for host in hosts[1 + round_number :: REPORT_ROUNDS]:
                    loads = host.directory.loads.own_loads()
                    host.directory.loads.record_published(loads)
                    reader.directory.loads.record_peer_loads(
                        host.name, loads, host.dispatcher_client.grant_number
                    )
                await asyncio.sleep(DIGEST_SECONDS / REPORT_ROUNDS)
            if self.hosts:
                reader = self.hosts[0].directory
                totals = reader.loads.all_loads(reader.groups)
                for host in self.hosts[1:]:
                    host.directory.loads.record_totals(totals)
                self._wake()

    def _wake(self) -> None:
        for host in self.hosts:
            host.streams.placement.wake_all()
            host.dispatcher.wake()

    # -- callers -------------------------------------------------------------

    async def generate_requests(self) -> None:
        """Generate requests as a Poisson process until the scenario ends."""
        scenario = self.scenario
        loop = asyncio.get_running_loop()
        while loop.time() < scenario.seconds:
            await asyncio.sleep(self.rng.expovariate(scenario.rate))
            request = self._draw_request()
            if self.hosts:
                self._start_request(request, loop.time())
            else:
                self.waiting_callers.append((request, loop.time()))

    def _draw_request(self) -> CallerRequest:
        scenario = self.scenario
        self._request_count += 1
        return CallerRequest(
            id=str(self._request_count),
            host="h",
            method="POST",
            target="/",
            body=str(self._request_count).encode(),
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
        """Draw from a log-normal distribution by mean and coefficient of variation."""
        sigma2 = log(1.0 + spread**2)
        return mean * exp(self.rng.gauss(0.0, sigma2**0.5) - sigma2 / 2)

    def _start_request(self, request: CallerRequest, arrived_at: float) -> None:
        task = asyncio.create_task(self._serve_caller(request, arrived_at))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def _serve_caller(self, request: CallerRequest, arrived_at: float) -> None:
        """Send a request at most twice, and count its outcome.

        A refusal with a retry time delays the second send. Any other failure is
        followed by the second send at once.
        """
        loop = asyncio.get_running_loop()
        deadline = arrived_at + ROUTE.timeout_seconds
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
                    self._count_answer(work, arrived_at)
                    return
                case Refusal(retry_after=after) if after is not None:
                    left = deadline - loop.time()
                    if after > MAX_RETRY_SHARE * left:
                        break
                    await asyncio.sleep(after)
        self._count_outcome(arrived_at, "unserved")

    def _count_answer(self, work: StreamWork, arrived_at: float) -> None:
        first_event_seconds = (work.first_event_at or 0.0) - arrived_at
        is_late = first_event_seconds > ROUTE.objective_seconds
        has_long_gap = work.longest_gap > ROUTE.gap_objective_seconds
        self._count_outcome(
            arrived_at, "late" if is_late else "gaps" if has_long_gap else "in_time"
        )

    def _count_outcome(self, arrived_at: float, outcome_field: str) -> None:
        if arrived_at < WARM_UP_SECONDS:
            return
        self.result.streams += 1
        setattr(self.result, outcome_field, getattr(self.result, outcome_field) + 1)

    # -- result --------------------------------------------------------------

    async def sample_excess(self) -> None:
        """Sample how many streams exceed the slots of their group.

        Those for which other groups had free slots are counted as avoidable.
        """
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            if asyncio.get_running_loop().time() < WARM_UP_SECONDS:
                continue
            open_groups = [
                self.groups[name] for name in self.target_source.current_targets
            ]
            excess = sum(group.excess_streams for group in open_groups)
            free = sum(group.free_slots for group in open_groups)
            self.result.excess_seconds += excess * SAMPLE_SECONDS
            self.result.avoidable_excess_seconds += min(excess, free) * SAMPLE_SECONDS

    async def simulate(self) -> SimulationResult:
        """Run the scenario to its end and return the counts."""
        scenario = self.scenario
        for _ in range(scenario.groups):
            self.open_group()
        await self.start_hosts()
        background = [self.exchange_loads(), self.sample_excess()]
        if scenario.restart_at is not None:
            background.append(self.restart())
        if scenario.replacement_interval is not None:
            background.append(self.replace_groups(scenario.replacement_interval))
        async with AsyncExitStack() as stack:
            for coroutine in background:
                stack.push_async_callback(cancel_task, asyncio.ensure_future(coroutine))
            await self.generate_requests()
            while self.serving:
                await asyncio.wait(self.serving)
        return self.result


def simulate(scenario: Scenario, seed: int) -> SimulationResult:
    """Simulate a scenario; the same seed gives the same result."""
    return run_in_virtual_time(Fleet(scenario, seed).simulate())
