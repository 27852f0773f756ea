"""Requests whose targets are silent for a while and live on."""

import asyncio
import random
from collections import Counter, deque
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import pytest

from mallowpond.gateway.dispatch import Attempt, ResponseTimeout
from mallowpond.gateway.metrics import GatewayMetrics
from mallowpond.gateway.pools import ServicePool
from mallowpond.gateway.quarantine import GatewayQuarantine
from mallowpond.gateway.serving import (
    RefusedRequest,
    RequestExecution,
    Served,
    StreamBroken,
)
from mallowpond.gateway.tests.virtual_clock import VirtualClock, run_with_clock
from mallowpond.state.balancer import Balancer
from mallowpond.state.declarations import PlainService
from mallowpond.state.retry import RetryBudget
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.tests.scripted import read_request, scripted_server

FIRST_BYTE_SECONDS = 5.0
SILENCE_SECONDS = 2.0
DEADLINE_SECONDS = 20.0
NEVER = 1000.0
CUT = None
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
DONE = b"0\r\n\r\n"


def event(number):
    """Return the chunk that carries one event of a stream."""
    data = b"data: %d\n\n" % number
    return b"%x\r\n%s\r\n" % (len(data), data)


def events(*numbers):
    """Return what the caller receives of these events."""
    return b"".join(b"data: %d\n\n" % number for number in numbers)


def whole(body, status=200):
    """Return a complete answer that is not streamed."""
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


@dataclass(kw_only=True)
class CallerSide:
    """Records what the caller received."""

    started: bool = False
    finished: bool = False
    status: int = 0
    body: bytes = b""

    async def start(self, status, headers=()):
        """Start an answer."""
        self.started, self.status = True, status

    async def send(self, data):
        """Append a part of the body."""
        self.body += data

    async def end(self):
        """End the answer."""
        self.finished = True

    async def respond(self, status, body=b"", headers=(), content_type=None):
        """Send a complete answer."""
        self.started = self.finished = True
        self.status, self.body = status, body


@dataclass(kw_only=True)
class Run:
    """One request, the sends that it took, and what came of it.

    resumed_after: for each send, the events that the target was told to leave out.
    given_up: the numbers of the sends whose connection the gateway closed.
    """

    clock: VirtualClock
    exchange: CallerSide = field(default_factory=CallerSide)
    failures: Counter = field(default_factory=Counter)
    reports: list = field(default_factory=list)
    began: list = field(default_factory=list)
    resumed_after: list = field(default_factory=list)
    given_up: list = field(default_factory=list)
    result: object = None
    seconds: float = 0.0
    running: int = 0


def run_request(*scripts, targets=2, stream=True, repeatable=True, **more):
    """Run one request; each send gets the next script of delays and bytes."""
    run = Run(clock=VirtualClock())
    run_with_clock(
        run.clock, _run(run, deque(scripts), targets, stream, repeatable, **more)
    )
    return run


async def _run(run, scripts, targets, stream, repeatable, burst=9.0, during=None):
    clock, started_at = run.clock, run.clock.now()

    async def answer(reader, writer):
        request = (await read_request(reader)).lower()
        number, steps = len(run.began), scripts.popleft()
        run.began.append(round(clock.now() - started_at, 1))
        _, _, rest = request.partition(b"mallowpond-resume-after: ")
        run.resumed_after.append(int(rest.partition(b"\r")[0] or 0))
        closed = asyncio.ensure_future(reader.read())
        for seconds, data in steps:
            ended, _ = await asyncio.wait({closed}, timeout=seconds)
            if ended:
                run.given_up.append(number)
                return
            if data is CUT:
                return
            writer.write(data)
        await closed

    async with AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(scripted_server(answer))
            for _ in range(targets)
        ]
        http = HttpClient()
        stack.push_async_callback(http.close)
        balancer = Balancer(rng=random.Random(1))
        pool = ServicePool(
            service=PlainService(name="s", path="/", targets=tuple(addresses)),
            balancer=balancer,
            http=http,
            clock=clock,
            response_timeout=ResponseTimeout(
                clock=clock,
                deadline=started_at + DEADLINE_SECONDS,
                first_byte_seconds=FIRST_BYTE_SECONDS,
            ),
            failure_counts=run.failures,
        )
        execution = RequestExecution(
            pool=pool,
            attempt=Attempt(
                request_id="r",
                path="/",
                body=b"",
                content_type="text/plain",
                repeatable=repeatable,
            ),
            fingerprint="f",
            parts=(),
            quarantine=GatewayQuarantine(clock=clock, report=run.reports.append),
            exchange=run.exchange,
            stream=stream,
            resumable=stream and repeatable,
            clock=clock,
            budget=RetryBudget(burst=burst),
            metrics=GatewayMetrics(),
            silence_seconds=SILENCE_SECONDS,
            answer_headers=(),
        )
        serving = asyncio.create_task(execution.run(await pool.acquire(frozenset())))
        if during is not None:
            await during(serving)
        (run.result,) = await asyncio.gather(serving, return_exceptions=True)
        run.seconds = round(clock.now() - started_at, 1)
        run.running = sum(balancer.load(address).own for address in addresses)
        # Lets the targets see which connections were closed.
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("lacking", ["budget", "target", "permission"])
def test_a_silent_stream_goes_on_if_no_other_target_may_run_it(lacking):
    """Guards against streams that end while their engine lives."""
    run = run_request(
        [(0.1, HEAD + event(1)), (6.0, event(2)), (6.0, event(3) + DONE)],
        targets=1 if lacking == "target" else 2,
        repeatable=lacking != "permission",
        burst=0.0 if lacking == "budget" else 9.0,
    )
    assert run.result == Served()
    assert run.exchange.body == events(1, 2, 3)
    assert (len(run.began), run.running) == (1, 0)
    assert not run.failures and not run.reports


def test_a_stream_goes_on_at_a_silent_target_that_wakes_first():
    """Guards against streams that are given up before another target delivers."""
    run = run_request(
        [(0.1, HEAD + event(1)), (4.0, event(2)), (0.1, event(3) + DONE)],
        [(0.1, HEAD), (NEVER, DONE)],
    )
    assert run.result == Served()
    assert run.exchange.body == events(1, 2, 3)
    assert (run.began, run.given_up) == ([0.0, 2.1], [1])
    assert run.running == 0
    assert not run.failures and not run.reports


def test_a_stream_goes_on_at_the_other_target_that_delivers_first():
    """Guards against a target that is blamed as another one was faster."""
    run = run_request(
        [(0.1, HEAD + event(1)), (NEVER, DONE)],
        [(0.5, HEAD + event(2)), (0.1, event(3) + DONE)],
    )
    assert run.result == Served()
    assert run.exchange.body == events(1, 2, 3)
    assert (run.resumed_after, run.given_up) == ([0, 1], [0])
    assert (run.seconds, run.running) == (2.7, 0)
    assert not run.failures and not run.reports


@pytest.mark.parametrize(
    "failure",
    [[(0.1, CUT)], [(0.1, HEAD), (0.1, CUT)], [(0.1, whole(b"no", status=500))]],
    ids=["cut_before_head", "cut_body", "failed"],
)
def test_a_stream_stays_if_the_other_target_does_not_serve_it(failure):
    """Guards against streams that end with the failure of a second target."""
    run = run_request(
        [(0.1, HEAD + event(1)), (10.0, event(2) + DONE)], failure, failure, failure
    )
    assert run.result == Served()
    assert run.exchange.body == events(1, 2)
    assert run.running == 0


def test_a_stream_goes_on_at_the_other_target_after_the_first_has_ended():
    """Guards against streams that end while their second target is at work."""
    run = run_request(
        [(0.1, HEAD + event(1)), (3.0, CUT)],
        [(2.0, HEAD + event(2)), (0.1, DONE)],
    )
    assert run.result == Served()
    assert run.exchange.body == events(1, 2)
    assert (len(run.began), run.running) == (2, 0)
    assert sum(run.failures.values()) == 1


@pytest.mark.parametrize("first", [True, False])
def test_a_whole_answer_comes_from_the_target_that_gives_it_first(first):
    """Guards against answers that are given up before another target delivers."""
    run = run_request(
        [(7.0 if first else NEVER, whole(b"first"))],
        [(NEVER if first else 1.0, whole(b"second"))],
        stream=False,
    )
    assert run.result == Served()
    assert run.exchange.body == (b"first" if first else b"second")
    assert run.began == [0.0, FIRST_BYTE_SECONDS]
    assert run.seconds == (7.0 if first else FIRST_BYTE_SECONDS + 1.0)
    assert (run.given_up, run.running) == ([1 if first else 0], 0)


def test_a_failure_is_delivered_only_if_the_other_target_gives_no_answer():
    run = run_request(
        [(7.0, whole(b"first"))], [(0.1, whole(b"no", status=500))], stream=False
    )
    assert (run.exchange.status, run.exchange.body) == (200, b"first")
    run = run_request([(7.0, CUT)], [(0.1, whole(b"no", status=500))], stream=False)
    assert (run.exchange.status, run.exchange.body) == (500, b"no")


def test_an_answer_that_may_be_given_once_is_waited_for():
    """Guards against answers to requests that run once and are given up."""
    half, rest = b"HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\nab", b"cd"
    run = run_request([(8.0, half), (8.0, rest)], stream=False, repeatable=False)
    assert (run.result, run.exchange.body) == (Served(), b"abcd")
    assert (run.seconds, len(run.began)) == (16.0, 1)


def test_silence_ends_a_stream_at_its_deadline():
    silent = [(0.1, HEAD + event(1)), (NEVER, DONE)]
    run = run_request(silent, burst=0.0)
    assert run.result == StreamBroken(reason="silent")
    assert run.seconds == DEADLINE_SECONDS
    run = run_request(silent, [(NEVER, HEAD)])
    assert isinstance(run.result, StreamBroken)
    assert run.seconds == DEADLINE_SECONDS
    assert sorted(run.given_up) == [0, 1]
    assert not run.failures and not run.reports


def test_silence_ends_a_whole_answer_at_its_deadline():
    run = run_request([(NEVER, HEAD)], [(NEVER, HEAD)], stream=False)
    assert isinstance(run.result, RefusedRequest) and run.result.may_have_run
    assert (run.seconds, len(run.began)) == (DEADLINE_SECONDS, 2)


def test_a_stream_that_advances_goes_on_after_its_deadline():
    late = [(0.1, HEAD + event(1)), *[(1.9, event(n)) for n in range(2, 16)]]
    run = run_request([*late, (0.1, DONE)])
    assert (run.result, run.exchange.body) == (Served(), events(*range(1, 16)))
    run = run_request([*late, (NEVER, DONE)])
    assert run.result == StreamBroken(reason="silent")
    assert run.seconds == 28.7


def test_both_sends_end_when_the_caller_leaves():
    """Guards against targets that go on for a caller who left."""

    async def leave(serving):
        await asyncio.sleep(3.0)
        serving.cancel()

    run = run_request(
        [(0.1, HEAD + event(1)), (NEVER, DONE)], [(NEVER, HEAD)], during=leave
    )
    assert isinstance(run.result, asyncio.CancelledError)
    assert (sorted(run.given_up), run.running) == ([0, 1], 0)
