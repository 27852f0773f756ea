"""Fakes at a node's ports: targets with scripted answers, a source to cut off."""

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
from mallowpond.node.serving_parts import ServingParts
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
from mallowpond.state.retry_window import RetryWindow
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
    """Stand at a time that only tests move; sleeping lets others run."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the time."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Move the time on."""
        self.time += seconds
        await asyncio.sleep(0)


@dataclass(kw_only=True)
class FakeResponse:
    """Play an answer's events; a future among them holds it until it is done."""

    script: list
    status: int = 200
    headers: dict = field(default_factory=dict)

    @property
    def header_list(self):
        """Return the headers in their order."""
        return tuple(self.headers.items())

    async def events(self, silence_seconds=None):
        """Yield the events."""
        for event in self.script:
            if isinstance(event, asyncio.Future):
                await event
                continue
            yield event

    async def read(self, limit=0):
        """Return the whole body."""
        body = b""
        for event in self.script:
            if isinstance(event, CallFailed):
                return event
            if isinstance(event, Chunk):
                body += event.data
        return body

    def close(self):
        """Drop the connection."""


@dataclass(kw_only=True)
class FakeTargets:
    """Answer sends from a script for each target; remember every send."""

    answers: dict = field(default_factory=dict)
    sends: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    reports: dict = field(default_factory=dict)

    def script(self, target, *answers):
        """Say what a target answers, one after the other."""
        self.answers[target] = deque(answers)

    async def send(self, target, request, *, workspace, seconds_left, last_event):
        """Answer a request."""
        self.sends.append((target.id, last_event))
        return self.answers[target.id].popleft()

    def is_not_run(self, response):
        """Tell whether an answer proves that the request did not run."""
        return response.status == 421 or "not-run" in response.headers

    def is_misdirected(self, response):
        """Tell whether an answer says that another engine was meant."""
        return response.status == 421

    def notice(self, response):
        """Return what an answer says of the target itself."""
        limit, backoff = map(response.headers.get, ("limit", "backoff"))
        return TargetNotice(
            rate_limit=None if limit is None else float(limit),
            backoff_seconds=None if backoff is None else float(backoff),
            is_leaving="leaving" in response.headers,
        )

    async def order(self, step, *, fence, expected):
        """Take every order."""
        self.orders.append((step, fence, expected))
        return OrderTaken(began=True)

    async def report(self, target):
        """Tell what a target holds."""
        return self.reports.get(target.id, EngineReport(orders=0, target=target))

    async def is_healthy(self, target, path):
        """Tell that a target is healthy."""
        return True


class FakeCallers:
    """Read requests as they are, and pass all headers of an answer on."""

    def read(self, request):
        """Return a request of no model."""
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
    """Hold a configuration and targets; cut off, it answers nothing."""

    configurations: deque = field(default_factory=deque)
    reads: deque = field(default_factory=deque)
    listed: deque = field(default_factory=deque)
    is_cut_off: bool = False
    requested_revisions: list = field(default_factory=list)
    waits: list = field(default_factory=list)

    async def configuration(self, since, wait_seconds):
        """Answer with the next configuration."""
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
        """Decode a configuration that is its version."""
        number = int(document)
        return SiteConfiguration(version=number, routes=(), services={})

    async def targets(self, since):
        """Answer with the next list."""
        self.requested_revisions.append(since)
        if self.is_cut_off:
            return Unavailable(reason="cut off")
        return self.listed.popleft()


@dataclass(kw_only=True)
class FakeExchange:
    """Remember what the caller got."""

    started: bool = False
    finished: bool = False
    status: int = 0
    body: bytes = b""
    headers: tuple = ()

    async def start(self, status, headers=()):
        """Begin an answer."""
        self.started, self.status, self.headers = True, status, headers

    async def send(self, data):
        """Pass a part on."""
        self.body += data

    async def end(self):
        """End the answer."""
        self.finished = True

    async def respond(self, status, body=b"", headers=(), content_type=None):
        """Answer whole."""
        self.started = self.finished = True
        self.status, self.body, self.headers = status, body, headers


def member(name, group, rank, phase=GroupPhase.READY, **more):
    """Write a member of a group."""
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
    """Write an open group of two."""
    return [member(f"{name}0", name, 0, GroupPhase.OPEN), member(f"{name}1", name, 1)]


def listing(*targets, revision=1, removed=(), whole=True):
    """Write an answer to a read of the list."""
    return TargetsRead(
        revision=revision, targets=tuple(targets), removed=removed, whole=whole
    )


def event(number):
    """Write one event of a stream."""
    return Chunk(data=f"id: {number}\ndata: x\n\n".encode())


def answer(*numbers, end=None):
    """Write an answer of whole events; by default it ends as it should."""
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
    """Hold a stream service over fakes."""

    clock: FakeClock
    targets: FakeTargets
    directory: Directory
    service: StreamService
    source: FakeSource

    def work(self, exchange, route=ROUTE):
        """Write a stream to serve."""
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
    """Write the answer of an engine that is not the one, or holds no open group."""
    return FakeResponse(script=[], status=MISDIRECTED)


def full():
    """Write the answer of a head that has no place."""
    return FakeResponse(script=[], status=503, headers={"not-run": "1"})


def make_availability(directory, clock, **more):
    """Build what a host knows of the work that targets want."""
    limits = RateLimits(
        name="n0", directory=directory, clock=clock, metrics=NodeMetrics(), **more
    )
    return TargetAvailability(rate_limits=limits, directory=directory, clock=clock)


async def make_rig(*groups, slack=100.0):
    """Build a stream service whose list holds these open groups."""
    clock, targets = FakeClock(), FakeTargets()
    members = [target for group in groups for target in open_group(group)]
    source = FakeSource(listed=deque([listing(*members)]))
    directory = Directory(source=source, clock=clock)
    budget = RetryWindow(ratio=1.0, slack=slack, window_seconds=10.0)
    metrics = NodeMetrics()
    parts = ServingParts(
        directory=directory,
        targets=targets,
        callers=FakeCallers(),
        clock=clock,
        metrics=metrics,
        budget=lambda service: budget,
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
