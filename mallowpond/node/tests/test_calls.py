"""Tests of plain services: how often a request is sent, and what its caller gets."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest

from mallowpond.gateway.tests.virtual_clock import VirtualClock, run_with_clock
from mallowpond.node.calls import CallService, CallWork
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason, Refusal
from mallowpond.node.ports import CallerRequest
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.serving_parts import ServingParts
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
    make_availability,
    make_budgets,
)
from mallowpond.state.crash_ledger import ENDINGS_TO_QUARANTINE, CrashRecord, Ending
from mallowpond.state.fleet import Process, Target
from mallowpond.state.site_configuration import Backend, RepeatPolicy, Route
from mallowpond.transport.http_client import Chunk, End

ONCE = Route(
    name="r",
    host="h",
    prefix="/",
    repeat=RepeatPolicy.ONCE,
    backends=(Backend(service="plain", weight=1),),
    timeout_seconds=1.0,
    objective_seconds=0.2,
    max_attempts=2,
)
IDEMPOTENT = replace(ONCE, repeat=RepeatPolicy.IDEMPOTENT)


def plain(name, **more):
    """Return a target of a plain service."""
    return Target(
        id=name,
        service="plain",
        address=f"{name}:1",
        data_centre="a",
        slots=6,
        **more,
    )


def reply(status, body=b"ok", **headers):
    """Return a complete answer."""
    return FakeResponse(
        script=[Chunk(data=body), End()], status=status, headers=headers
    )


def make_call_service(directory, fakes, clock, budgets):
    """Return a service for calls over fakes."""
    metrics = NodeMetrics()
    parts = ServingParts(
        directory=directory,
        targets=fakes,
        callers=FakeCallers(),
        clock=clock,
        metrics=metrics,
        budgets=budgets,
        hosts=lambda: 1,
        rng=random.Random(1),
        quarantine=Quarantine(clock=clock, metrics=metrics),
        availability=make_availability(directory, clock),
    )
    return CallService(parts=parts)


def make_work(clock, route, exchange):
    """Return the work of a new request."""
    request = CallerRequest(
        id="q", host="h", method="POST", target="/", body=b"", forwarded_headers=()
    )
    return CallWork(
        request=request,
        route=route,
        service="plain",
        workspace="w",
        deadline=clock.now() + 1.0,
        exchange=exchange,
    )


async def serve(route, *answers, targets=("a", "b", "c"), slack=100.0):
    """Serve one request whose sends get these answers in their order."""
    clock, fakes = FakeClock(), FakeTargets()
    remaining = deque(answers)
    source = FakeSource(listed=deque([listing(*map(plain, targets))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=slack)

    async def send(target, request, *, workspace, seconds_left, last_event, **more):
        fakes.sends.append(target.id)
        return remaining.popleft()

    fakes.send = send
    service = make_call_service(directory, fakes, clock, budgets)
    exchange = FakeExchange()
    work = make_work(clock, route, exchange)
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
    """A record was written twice.

    The target ran the request and its answer was lost. A missing answer was taken as
    proof that the request had not run.
    """
    outcome, sends, _ = await serve(ONCE, BROKEN)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(sends) == 1


async def test_a_spoilt_answer_of_a_request_that_may_run_once_is_no_refusal():
    spoilt = FakeResponse(script=[Chunk(data=b"x"), BROKEN])
    outcome, sends, _ = await serve(ONCE, spoilt)
    assert outcome.status == 502
    assert len(sends) == 1


async def test_an_unsigned_success_of_a_call_never_reaches_the_caller():
    """Guards against an answer to another request that counts as the call's own."""
    late = replace(reply(202), is_signed=False)
    outcome, sends, exchange = await serve(ONCE, late)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert not exchange.started
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


async def test_a_target_that_says_it_is_another_gets_no_more_requests():
    """Requests were rejected at one address over and over.

    A target had ended and another one used its address, but the list still had the old
    entry. The answer counted as that of a full target, which is tried again after all
    others.
    """
    answers = [reply(421) for _ in range(8)]
    outcome, sends, _ = await serve(ONCE, *answers, targets=("a", "b"))
    assert (outcome.status, outcome.reason) == (503, Reason.NO_TARGET)
    assert outcome.retry_after > 0
    assert sorted(sends) == ["a", "b"]


async def test_what_a_target_did_before_it_started_again_is_forgotten():
    """A target that had just started got no requests.

    It had failed a request and was restarted under its id. Failures were recorded by
    id, not by process.
    """
    clock, fakes = FakeClock(), FakeTargets()
    a, b = plain("a"), plain("b")
    source = FakeSource(listed=deque([listing(a)]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=9.0)
    service = make_call_service(directory, fakes, clock, budgets)
    fakes.script("a", BROKEN, reply(200))
    outcome = await service.serve(make_work(clock, ONCE, FakeExchange()))
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    restarted = replace(a, born=1)
    directory.apply_change(listing(restarted, b, revision=2, whole=False), previous=1)
    service._records[b.process].in_flight = 1
    outcome = await service.serve(make_work(clock, ONCE, FakeExchange()))
    assert outcome == Answered(status=200, target="a")
    assert a.process not in service._records


async def test_a_call_that_may_run_once_never_goes_to_the_later_process():
    """A record was written twice.

    A target crashed while it ran a request, and was restarted under its id before the
    connection broke. The request had never been sent to the new process, so it counted
    as not run.
    """
    clock, fakes = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(plain("a"))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=9.0)
    service = make_call_service(directory, fakes, clock, budgets)
    sends = []

    async def crash(target, request, **more):
        sends.append(target.process)
        restarted = replace(target, born=1)
        directory.apply_change(listing(restarted, revision=2, whole=False), previous=1)
        return BROKEN

    fakes.send = crash
    outcome = await service.serve(make_work(clock, ONCE, FakeExchange()))
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(sends) == 1


async def test_a_call_that_ends_its_targets_is_refused_and_not_sent():
    """One request crashed a target of a plain service each time its caller retried it.

    It may not be repeated, so each time it was sent once; three targets ended. A limit
    on the sends of one request does not bound the retries of its caller.
    """
    clock, fakes = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*map(plain, "abcd"))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    for name in "abcd":
        fakes.script(name, BROKEN)
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=9.0)
    service = make_call_service(directory, fakes, clock, budgets)
    ends = []
    for _ in range(ENDINGS_TO_QUARANTINE + 1):
        clock.time += 0.5
        ends.append(await service.serve(make_work(clock, ONCE, FakeExchange())))
    assert [end.status for end in ends] == [502] * ENDINGS_TO_QUARANTINE + [503]
    assert ends[-1].reason is Reason.HELD_BACK
    assert len(fakes.sends) == ENDINGS_TO_QUARANTINE


async def test_a_call_goes_to_a_target_that_nobody_saw_end():
    """Guards against sending a call to a target whose end another host observed."""
    clock, fakes = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*map(plain, "abcd"))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    for name in "abc":
        fakes.script(name, BROKEN)
    fakes.script("d", *(reply(200) for _ in range(9)))
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=9.0)
    service = make_call_service(directory, fakes, clock, budgets)
    endings = (Ending(process=Process(id=n, born=None), ran=0.1) for n in "abc")
    record = CrashRecord(request="bad", endings=tuple(endings))
    service._quarantine.merge(record)
    outcomes = [
        await service.serve(make_work(clock, ONCE, FakeExchange())) for _ in range(9)
    ]
    assert [outcome.target for outcome in outcomes] == ["d"] * 9


async def test_an_unframed_answer_to_a_call_is_whole_unless_it_is_reset():
    """Guards against a part of an answer without a length that is taken as whole."""
    whole = FakeResponse(script=[Chunk(data=b"ok"), End()], has_marked_end=False)
    outcome, _, exchange = await serve(ONCE, whole)
    assert isinstance(outcome, Answered) and exchange.body == b"ok"
    reset = FakeResponse(script=[Chunk(data=b"o"), BROKEN], has_marked_end=False)
    outcome, _, _ = await serve(ONCE, reset)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    outcome, sends, exchange = await serve(IDEMPOTENT, reset, reply(200))
    assert (exchange.body, len(sends)) == (b"ok", 2)


async def test_a_call_whose_connection_was_not_opened_takes_no_repeat():
    """Guards against a retry budget that hosts without links to targets use up."""
    outcome, sends, _ = await serve(ONCE, UNREACHABLE, reply(200), slack=0.0)
    assert isinstance(outcome, Answered) and len(sends) == 2
    outcome, sends, _ = await serve(IDEMPOTENT, BROKEN, reply(200), slack=0.0)
    assert isinstance(outcome, Refusal) and len(sends) == 1


NEVER = 1000.0


@dataclass(kw_only=True)
class TimedTargets(FakeTargets):
    """Targets that answer the sends in their order, each after a time in seconds."""

    clock: VirtualClock
    timed: deque
    began: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)

    async def send(self, target, request, **more):
        """Wait for as long as the script says, and return its answer."""
        seconds, answer = self.timed.popleft()
        self.sends.append(target.id)
        self.began.append(round(self.clock.now() - self.clock.start, 2))
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled.append(target.id)
            raise
        return answer


@dataclass(kw_only=True)
class TimedCall:
    """One call to targets that take their time, and what came of it."""

    clock: VirtualClock
    fakes: TimedTargets
    service: CallService
    exchange: FakeExchange = field(default_factory=FakeExchange)
    outcome: object = None
    seconds: float = 0.0

    @property
    def running(self):
        """Return how many sends count as in flight."""
        return sum(record.in_flight for record in self.service._records.values())

    def record(self, name):
        """Return the record of a target."""
        return self.service._records[Process(id=name, born=None)]


class StartedClock(VirtualClock):
    """A virtual clock that knows when it began."""

    start = VirtualClock.time


def call_timed(route, *timed, targets="abc", slack=100.0, during=None):
    """Serve one call with a second to its deadline, on virtual time."""
    clock = StartedClock()
    calls = []

    async def run():
        fakes = TimedTargets(clock=clock, timed=deque(timed))
        source = FakeSource(listed=deque([listing(*map(plain, targets))]))
        directory = Directory(source=source, clock=clock)
        await directory.refresh()
        budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=slack)
        service = make_call_service(directory, fakes, clock, budgets)
        call = TimedCall(clock=clock, fakes=fakes, service=service)
        calls.append(call)
        serving = asyncio.create_task(
            service.serve(make_work(clock, route, call.exchange))
        )
        if during is not None:
            await during(call, serving)
        (call.outcome,) = await asyncio.gather(serving, return_exceptions=True)
        call.seconds = round(clock.now() - clock.start, 2)

    run_with_clock(clock, run())
    return calls[0]


@pytest.mark.parametrize("lacking", ["budget", "target", "attempt"])
def test_a_silent_target_answers_when_no_other_may_be_asked(lacking):
    """Guards against answers that are given up before another target is asked."""
    route = replace(IDEMPOTENT, max_attempts=1 if lacking == "attempt" else 2)
    call = call_timed(
        route,
        (0.8, reply(200)),
        targets="a" if lacking == "target" else "abc",
        slack=0.0 if lacking == "budget" else 100.0,
    )
    assert isinstance(call.outcome, Answered)
    assert (call.seconds, len(call.fakes.sends)) == (0.8, 1)
    assert call.running == 0


def test_the_first_target_answers_while_the_second_is_silent():
    """Guards against answers that are given up before another target delivers."""
    call = call_timed(IDEMPOTENT, (0.6, reply(200, b"first")), (NEVER, None))
    assert call.outcome == Answered(status=200, target=call.fakes.sends[0])
    assert (call.seconds, call.exchange.body) == (0.6, b"first")
    assert call.fakes.began == [0.0, 0.45]
    assert call.fakes.cancelled == call.fakes.sends[1:]
    assert call.running == 0


def test_the_second_target_answers_while_the_first_is_silent():
    """Guards against a target that is taken for ended as another one answered."""
    call = call_timed(IDEMPOTENT, (NEVER, None), (0.1, reply(200, b"second")))
    first, second = call.fakes.sends
    assert call.outcome == Answered(status=200, target=second)
    assert (call.seconds, call.exchange.body) == (0.55, b"second")
    assert call.fakes.cancelled == [first]
    assert call.running == 0
    assert not call.service._quarantine.has_ended(Process(id=first, born=None))


@pytest.mark.parametrize(
    "failure",
    [reply(500), BROKEN, reply(503, **{"not-run": "1"}), UNREACHABLE],
    ids=["failed", "broken", "not_run", "unreached"],
)
def test_the_first_target_answers_after_the_second_has_failed(failure):
    """Guards against calls that end with the failure of a second target."""
    failures = [(0.01, failure)] * 9
    call = call_timed(IDEMPOTENT, (0.8, reply(200, b"first")), *failures)
    assert call.outcome == Answered(status=200, target=call.fakes.sends[0])
    assert (call.seconds, call.exchange.body) == (0.8, b"first")
    assert call.running == 0


@pytest.mark.parametrize("failure", [reply(500), BROKEN], ids=["failed", "broken"])
def test_the_second_target_answers_after_the_first_has_failed(failure):
    """Guards against calls that end while their second target is at work."""
    call = call_timed(IDEMPOTENT, (0.5, failure), (0.2, reply(200, b"second")))
    assert (call.seconds, call.exchange.body) == (0.65, b"second")
    first = Process(id=call.fakes.sends[0], born=None)
    assert call.service._quarantine.has_ended(first) is (failure is BROKEN)
    assert call.running == 0


def test_a_kept_failure_is_delivered_when_both_targets_fail():
    """Guards against a failure that is told as another target's."""
    call = call_timed(IDEMPOTENT, (0.5, reply(500, b"first")), (0.2, BROKEN))
    assert call.outcome == Answered(status=500, target=call.fakes.sends[0])
    assert (call.seconds, call.exchange.body) == (0.65, b"first")
    assert len(call.fakes.sends) == 2


def test_a_call_whose_targets_are_all_silent_ends_at_its_deadline():
    call = call_timed(IDEMPOTENT, (NEVER, None), (NEVER, None))
    assert call.outcome == Refusal(status=504, reason=Reason.TIMEOUT)
    assert (call.seconds, len(call.fakes.sends)) == (1.0, 2)
    assert call.running == 0


def test_a_call_that_may_run_once_waits_for_its_silent_target():
    call = call_timed(ONCE, (0.9, reply(200)))
    assert isinstance(call.outcome, Answered)
    assert (call.seconds, len(call.fakes.sends)) == (0.9, 1)


def test_both_sends_end_when_the_caller_leaves():
    """Guards against targets that go on for a caller who left."""

    async def leave(call, serving):
        await asyncio.sleep(0.6)
        assert call.running == 2
        serving.cancel()

    call = call_timed(IDEMPOTENT, (NEVER, None), (NEVER, None), during=leave)
    assert isinstance(call.outcome, asyncio.CancelledError)
    assert (call.seconds, call.running) == (0.6, 0)
    assert sorted(call.fakes.cancelled) == sorted(call.fakes.sends)


def test_a_silent_target_is_chosen_last_until_it_answers():
    """Guards against calls to a target that does not answer, while others do."""
    chosen = []

    async def choose(call, serving):
        for wait in (asyncio.sleep(0.5), serving):
            await wait
            first, second = call.fakes.sends
            work = make_work(call.clock, IDEMPOTENT, FakeExchange())
            work.sent_to.append(Process(id=second, born=None))
            (busy,) = set("abc") - {first, second}
            call.record(busy).in_flight = 5
            chosen.append(call.service._choose_target(work).id == first)
            call.record(busy).in_flight = 0

    call_timed(IDEMPOTENT, (0.6, reply(200)), (NEVER, None), during=choose)
    assert chosen == [False, True]
