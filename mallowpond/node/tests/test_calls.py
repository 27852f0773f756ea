"""Plain services: how often a request is sent, and what its caller is told."""

import random
from collections import deque
from dataclasses import replace

from mallowpond.node.calls import CallService, CallWork
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason, Refusal
from mallowpond.node.ports import CallerRequest
from mallowpond.node.tests.fakes import (
    BROKEN,
    UNREACHABLE,
    FakeCallers,
    FakeClock,
    FakeExchange,
    FakeResponse,
    FakeSource,
    FakeTargets,
    listing,
)
from mallowpond.state.fleet import Target
from mallowpond.state.retry_window import RetryWindow
from mallowpond.state.site_configuration import Backend, Repeat, Route
from mallowpond.transport.http_client import Chunk, End

ONCE = Route(
    name="r",
    host="h",
    prefix="/",
    repeat=Repeat.ONCE,
    backends=(Backend(service="plain", weight=1),),
    timeout_seconds=1.0,
    objective_seconds=0.2,
    max_attempts=2,
)
IDEMPOTENT = replace(ONCE, repeat=Repeat.IDEMPOTENT)


def plain(name, **more):
    """Write a target of a plain service."""
    return Target(
        id=name,
        service="plain",
        address=f"{name}:1",
        data_centre="a",
        slots=6,
        **more,
    )


def reply(status, body=b"ok", **headers):
    """Write a whole answer."""
    return FakeResponse(
        script=[Chunk(data=body), End()], status=status, headers=headers
    )


async def serve(route, *answers, targets=("a", "b", "c"), slack=100.0):
    """Serve one request whose sends get these answers in turn."""
    clock, fakes = FakeClock(), FakeTargets()
    left = deque(answers)
    source = FakeSource(listed=deque([listing(*map(plain, targets))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    budget = RetryWindow(ratio=0.0, slack=slack, window_seconds=10.0)

    async def send(target, request, *, workspace, seconds_left, last_event):
        fakes.sends.append(target.id)
        return left.popleft()

    fakes.send = send
    service = CallService(
        directory=directory,
        targets=fakes,
        callers=FakeCallers(),
        clock=clock,
        metrics=NodeMetrics(),
        budget=lambda service: budget,
        hosts=lambda: 1,
        rng=random.Random(1),
    )
    exchange = FakeExchange()
    request = CallerRequest(
        id="q", host="h", method="POST", target="/", body=b"", passed_headers=()
    )
    work = CallWork(
        request=request,
        route=route,
        service="plain",
        workspace="w",
        deadline=clock.now() + 1.0,
        exchange=exchange,
    )
    return await service.serve(work), fakes.sends, exchange


async def test_an_idempotent_request_is_sent_again_after_a_failure():
    outcome, sends, exchange = await serve(IDEMPOTENT, reply(500), reply(200))
    assert isinstance(outcome, Answered)
    assert len(set(sends)) == 2
    assert exchange.status == 200


async def test_the_last_failure_is_passed_on_when_the_attempts_are_used():
    outcome, sends, exchange = await serve(
        IDEMPOTENT, reply(500), reply(500, b"second", stamp="s")
    )
    assert len(sends) == 2
    assert (exchange.status, exchange.body) == (500, b"second")
    assert exchange.headers == (("stamp", "s"),)


async def test_a_request_that_may_run_once_is_not_sent_again():
    """Symptom: one record is written twice.

    Sequence: the target runs the request and its answer is lost.
    Cause: no answer was taken for not run.
    """
    outcome, sends, _ = await serve(ONCE, BROKEN)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(sends) == 1


async def test_a_spoilt_answer_of_a_request_that_may_run_once_is_no_refusal():
    spoilt = FakeResponse(script=[Chunk(data=b"x"), BROKEN])
    outcome, sends, _ = await serve(ONCE, spoilt)
    assert outcome.status == 502
    assert len(sends) == 1


async def test_a_proof_of_not_run_allows_another_target():
    full = reply(503, **{"not-run": "1"})
    outcome, sends, _ = await serve(ONCE, full, UNREACHABLE, reply(200))
    assert isinstance(outcome, Answered)
    assert len(set(sends)) == 3


async def test_refused_everywhere_is_not_run_and_says_when_to_come_back():
    full = [reply(503, **{"not-run": "1"}) for _ in range(8)]
    outcome, _, _ = await serve(ONCE, *full, targets=("a",))
    assert outcome.status == 503
    assert outcome.retry_after > 0


async def test_without_targets_the_caller_is_told_to_come_back():
    outcome, sends, _ = await serve(ONCE, targets=())
    assert (outcome.status, outcome.reason) == (503, Reason.NO_TARGET)
    assert outcome.retry_after > 0
    assert sends == []


async def test_a_used_budget_ends_the_repeats():
    outcome, sends, exchange = await serve(
        IDEMPOTENT, reply(500), reply(200), slack=0.0
    )
    assert len(sends) == 1
    assert exchange.status == 500
