"""Fakes of a node's ports: targets with scripted answers, a source to cut off."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import (
    CallerRequest,
    ConfigurationRead,
    EngineReport,
    OrderTaken,
    TargetsRead,
)
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.settings import NodeBounds
from mallowpond.node.stream_work import StreamWork
from mallowpond.node.streams import StreamService
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.state.fleet import (
    EngineProfile,
    GroupPhase,
    Membership,
    ModelSpec,
    Target,
)
from mallowpond.state.host_registry import HostRegistry
from mallowpond.state.retry_window import ARRIVAL_SECONDS
from mallowpond.state.site_configuration import (
    Backend,
    RepeatPolicy,
    Route,
    SiteConfiguration,
)
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import CallFailed, Chunk, End, FailurePhase

MODEL = ModelSpec(name="m", size=2)
PROFILE = EngineProfile(
    slots=4,
    models=(MODEL,),
    stride=7,
    step_seconds=0.006,
    prefill_tokens_per_second=50_000,
    typical_answer_tokens=100,
)
MISDIRECTED = 421
BROKEN = CallFailed(phase=FailurePhase.BODY, reason="closed early")
UNREACHABLE = CallFailed(phase=FailurePhase.CONNECT, reason="refused")


@dataclass(kw_only=True)
class FakeClock:
    """Clock that only tests and sleeps advance; a sleep also runs other tasks."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the fake time, in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Advance the time, and let other tasks run."""
        self.time += seconds
        await asyncio.sleep(0)


@dataclass(kw_only=True)
class FakeResponse:
    """Answer of scripted events; a future among them delays it until it is done."""

    script: list
    status: int = 200
    headers: dict = field(default_factory=dict)
    has_marked_end: bool = True
    is_signed: bool = True

    @property
    def header_list(self):
        """Return the headers in their order."""
        return tuple(self.headers.items())

    async def events(self, silence_seconds=None):
        """Yield the scripted events."""
        for event in self.script:
            if isinstance(event, asyncio.Future):
                await event
                continue
            yield event

    async def read(self, limit=0, hold=None):
        """Return the complete body, or the failure in the script."""
        body = b""
        for event in self.script:
            if isinstance(event, CallFailed):
                return event
            if isinstance(event, Chunk):
                body += event.data
        return body

    def close(self):
        """Do nothing, as there is no connection."""


@dataclass(kw_only=True)
class FakeTargets:
    """Targets that answer from a script each, and record every send and order."""

    answers: dict = field(default_factory=dict)
    sends: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    reports: dict = field(default_factory=dict)

    def script(self, target, *answers):
        """Set the answers of a target, in their order."""
        self.answers[target] = deque(answers)

    def use_connector(self, connector):
        """Do nothing, as no connection is opened."""

    async def send(
        self, target, request, *, workspace, seconds_left, last_event, **more
    ):
        """Record the send, and return the target's next answer."""
        self.sends.append((target.id, last_event))
        return self.answers[target.id].popleft()

    def is_not_run(self, response):
        """Return whether an answer proves that the request did not run."""
        return response.status == 421 or "not-run" in response.headers

    def is_signed(self, response):
        """Return whether the target signed an answer."""
        return response.is_signed

    def is_misdirected(self, response):
        """Return whether an answer comes from another engine than the one meant."""
        return response.status == 421

    def notice(self, response):
        """Return what an answer announces about the target itself."""
        limit, backoff = map(response.headers.get, ("limit", "backoff"))
        return TargetNotice(
            rate_limit=None if limit is None else float(limit),
            backoff_seconds=None if backoff is None else float(backoff),
            is_leaving="leaving" in response.headers,
        )

    async def order(self, step, *, fence, expected):
        """Record and accept every order."""
        self.orders.append((step, fence, expected))
        return OrderTaken(began=True)

    async def report(self, target):
        """Return the report set for a target, by default one without orders."""
        return self.reports.get(target.id, EngineReport(orders=0, target=target))

    async def is_healthy(self, target, path, on_cold=None):
        """Return that a target is healthy."""
        return True


class FakeCallers:
    """Decodes requests with fixed values, and passes on all headers of an answer."""

    def read(self, request):
        """Return a request without a model."""
        return CallerRequest(
            id="q1",
            host="h",
            method=request.method,
            target=request.target,
            body=request.body,
            forwarded_headers=(),
        )

    def answer_headers(self, response):
        """Return the answer's headers."""
        return response.header_list


@dataclass(kw_only=True)
class FakeSource:
    """Source of queued configurations and lists of targets, which can be cut off."""

    configurations: deque = field(default_factory=deque)
    reads: deque = field(default_factory=deque)
    listed: deque = field(default_factory=deque)
    is_cut_off: bool = False
    requested_revisions: list = field(default_factory=list)
    on_newer_era: list = field(default_factory=list)
    waits: list = field(default_factory=list)

    async def configuration(self, since, wait_seconds, **_):
        """Return the next queued answer or configuration."""
        self.waits.append(wait_seconds)
        if self.is_cut_off:
            return Unavailable(reason="cut off")
        if self.reads:
            return self.reads.popleft()
        if self.configurations:
            return ConfigurationRead(
                revision=since + 1,
                configuration=self.configurations.popleft(),
                changed=True,
            )
        return ConfigurationRead(revision=since + 1, configuration=None, changed=False)

    def parse_configuration(self, document):
        """Return a configuration whose version is the document."""
        number = int(document)
        return SiteConfiguration(version=number, routes=(), services={})

    async def targets(self, since):
        """Return the next queued list."""
        self.requested_revisions.append(since)
        if self.is_cut_off:
            return Unavailable(reason="cut off")
        return self.listed.popleft()


@dataclass(kw_only=True)
class FakeExchange:
    """Records what the caller received."""

    started: bool = False
    finished: bool = False
    status: int = 0
    body: bytes = b""
    headers: tuple = ()

    async def start(self, status, headers=()):
        """Start an answer."""
        self.started, self.status, self.headers = True, status, headers

    async def send(self, data):
        """Append a part of the body."""
        self.body += data

    async def end(self):
        """End the answer."""
        self.finished = True

    async def respond(self, status, body=b"", headers=(), content_type=None):
        """Send a complete answer."""
        self.started = self.finished = True
        self.status, self.body, self.headers = status, body, headers


def member(name, group, rank, phase=GroupPhase.READY, **more):
    """Return a target that is a member of a group."""
    return Target(
        id=name,
        service="engines",
        address=f"{name}:1",
        data_centre="a",
        slots=4,
        domain="d0",
        model="m",
        membership=Membership(group=group, epoch=1, rank=rank, phase=phase),
        **{"born": 0, **more},
    )


def open_group(name):
    """Return the head and the other member of an open group."""
    return [member(f"{name}0", name, 0, GroupPhase.OPEN), member(f"{name}1", name, 1)]


def listing(*targets, revision=1, removed=(), whole=True):
    """Return an answer to a read of the list of targets."""
    return TargetsRead(
        revision=revision, targets=tuple(targets), removed=removed, whole=whole
    )


def event(number):
    """Return one event of a stream."""
    return Chunk(data=f"id: {number}\ndata: x\n\n".encode())


def answer(*numbers, end=None):
    """Return an answer of complete events, which by default ends regularly."""
    return FakeResponse(script=[*map(event, numbers), End() if end is None else end])


ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    repeat=RepeatPolicy.STREAM,
    backends=(Backend(service="engines", weight=1),),
    timeout_seconds=5.0,
    objective_seconds=0.2,
    max_attempts=2,
    resumable=True,
    gap_objective_seconds=0.2,
)


@dataclass(kw_only=True)
class Rig:
    """A stream service over fakes."""

    clock: FakeClock
    targets: FakeTargets
    directory: Directory
    service: StreamService
    source: FakeSource

    def work(self, exchange, route=ROUTE):
        """Return the work of a new stream."""
        request = CallerRequest(
            id="q1",
            host="h",
            method="POST",
            target="/x",
            body=b"",
            forwarded_headers=(),
            model="m",
            prompt_tokens=100,
        )
        return StreamWork(
            request=request,
            route=route,
            service="engines",
            profile=PROFILE,
            model=MODEL,
            workspace="w",
            priority=1,
            deadline=self.clock.now() + 5.0,
            exchange=exchange,
        )


def misdirected():
    """Return the answer of another engine, or of one without an open group."""
    return FakeResponse(script=[], status=MISDIRECTED)


def full():
    """Return the answer of a head that has no free slot."""
    return FakeResponse(script=[], status=503, headers={"not-run": "1"})


def make_availability(directory, clock, **more):
    """Return the target availability of a host without peers."""
    limits = RateLimits(
        name="n0", directory=directory, clock=clock, metrics=NodeMetrics(), **more
    )
    return TargetAvailability(rate_limits=limits, directory=directory, clock=clock)


@dataclass(frozen=True, kw_only=True)
class LonePeers:
    """Peers of a host that is the only one."""

    registry: HostRegistry = field(default_factory=HostRegistry)


def make_budgets(clock, metrics, *, ratio=1.0, slack=100.0):
    """Return the retry budgets of a host without peers that started long ago."""
    peers, bounds = LonePeers(), NodeBounds(retry_ratio=ratio, retry_slack=slack)
    started_for = bounds.retry_window + ARRIVAL_SECONDS
    clock.time -= started_for
    budgets = RetryBudgets(bounds=bounds, peers=peers, clock=clock, metrics=metrics)
    clock.time += started_for
    peers.registry.record_written(clock.now())
    peers.registry.record_rows({}, clock.now())
    return budgets


async def make_rig(*groups, slack=100.0):
    """Return a stream service whose list has these open groups."""
    clock, targets = FakeClock(), FakeTargets()
    members = [target for group in groups for target in open_group(group)]
    source = FakeSource(listed=deque([listing(*members)]))
    directory = Directory(source=source, clock=clock)
    metrics = NodeMetrics()
    parts = ServingParts(
        directory=directory,
        targets=targets,
        callers=FakeCallers(),
        clock=clock,
        metrics=metrics,
        budgets=make_budgets(clock, metrics, slack=slack),
        hosts=lambda: 1,
        rng=random.Random(1),
        quarantine=Quarantine(clock=clock, metrics=metrics),
        availability=make_availability(directory, clock),
    )
    service = StreamService(parts=parts)
    await directory.refresh()
    return Rig(
        clock=clock,
        targets=targets,
        directory=directory,
        service=service,
        source=source,
    )
