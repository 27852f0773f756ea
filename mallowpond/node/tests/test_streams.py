"""What a caller sees of a stream when groups fail under it."""

import asyncio
from dataclasses import replace

from mallowpond.node.outcomes import Answered, CutOff, Reason, Refusal
from mallowpond.node.tests.fakes import (
    BROKEN,
    ROUTE,
    UNREACHABLE,
    FakeExchange,
    FakeResponse,
    answer,
    bench_of,
    event,
)


def whole(*numbers):
    """Return the bytes of these events."""
    return b"".join(event(number).data for number in numbers)


async def test_a_whole_answer_reaches_the_caller():
    bench = await bench_of("g")
    bench.targets.script("g0", answer(1, 2))
    exchange = FakeExchange()
    outcome = await bench.service.serve(bench.work(exchange))
    assert outcome == Answered(status=200, target="g0")
    assert exchange.body == whole(1, 2)
    assert exchange.finished


async def test_a_broken_stream_goes_on_after_its_last_whole_event():
    """Symptom: an event comes twice, or half of one stands in the answer.

    Sequence: a group breaks off in the middle of an event; another one goes on.
    Cause: the resume began elsewhere than after the last event passed on whole.
    """
    bench = await bench_of("a", "b")
    half = replace(event(3), data=b"id: 3\nda")
    broken = FakeResponse(script=[event(1), event(2), half, BROKEN])
    bench.targets.script("a0", broken)
    bench.targets.script("b0", answer(3, 4))
    exchange = FakeExchange()
    outcome = await bench.service.serve(bench.work(exchange))
    assert outcome == Answered(status=200, target="b0")
    assert bench.targets.sends == [("a0", None), ("b0", "2")]
    assert exchange.body == whole(1, 2, 3, 4)


async def test_a_stream_that_cannot_be_resumed_is_sent_once():
    """Symptom: a request that may run once at most runs twice.

    Sequence: the group breaks off before the first event.
    Cause: the send was repeated although nothing proved that it had not run.
    """
    bench = await bench_of("a", "b")
    bench.targets.script("a0", BROKEN)
    bench.targets.script("b0", BROKEN)
    work = bench.work(FakeExchange(), replace(ROUTE, resumable=False))
    outcome = await bench.service.serve(work)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(bench.targets.sends) == 1


async def test_a_proof_of_not_run_allows_another_send():
    bench = await bench_of("a", "b")
    refused = FakeResponse(script=[], status=503, headers={"not-run": "1"})
    bench.targets.script("a0", refused)
    bench.targets.script("b0", answer(1))
    work = bench.work(FakeExchange(), replace(ROUTE, resumable=False))
    outcome = await bench.service.serve(work)
    assert outcome == Answered(status=200, target="b0")


async def test_a_target_that_cannot_be_reached_did_not_run_the_request():
    bench = await bench_of("a", "b")
    bench.targets.script("a0", UNREACHABLE)
    bench.targets.script("b0", answer(1))
    outcome = await bench.service.serve(bench.work(FakeExchange()))
    assert outcome == Answered(status=200, target="b0")


async def test_no_more_engines_than_the_route_allows_run_a_request():
    bench = await bench_of("a", "b", "c")
    for group in "abc":
        bench.targets.script(f"{group}0", FakeResponse(script=[BROKEN]))
    outcome = await bench.service.serve(bench.work(FakeExchange()))
    assert outcome == Refusal(status=502, reason=Reason.ATTEMPTS_USED)
    assert len(bench.targets.sends) == 2


async def test_an_answer_that_began_is_cut_and_never_ended_as_if_whole():
    bench = await bench_of("a")
    bench.targets.script("a0", FakeResponse(script=[event(1), BROKEN]))
    exchange = FakeExchange()
    work = bench.work(exchange, replace(ROUTE, max_attempts=1))
    outcome = await bench.service.serve(work)
    assert outcome == CutOff(reason=Reason.ATTEMPTS_USED)
    assert not exchange.finished


async def test_an_engines_own_failure_is_passed_on_unchanged():
    bench = await bench_of("a")
    failure = FakeResponse(script=[], status=500, headers={"stamp": "s"})
    bench.targets.script("a0", failure)
    exchange = FakeExchange()
    work = bench.work(exchange, replace(ROUTE, max_attempts=1))
    outcome = await bench.service.serve(work)
    assert outcome == Answered(status=500, target="a0")
    assert exchange.headers == (("stamp", "s"),)


async def test_a_suspected_group_loses_its_streams_only_if_they_can_go_on():
    """Symptom: streams are cut off although their group only paused.

    Sequence: both groups that a stream may be sent to fall silent for a moment.
    Cause: a stream that had used its attempts was moved all the same.
    """
    bench = await bench_of("a", "b")
    held = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        bench.targets.script(name, FakeResponse(script=[held]))
    route = replace(ROUTE, max_attempts=1)
    task = asyncio.create_task(bench.service.serve(bench.work(FakeExchange(), route)))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    (stream,) = bench.service.active
    assert not bench.service.may_move(stream)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_moved_stream_goes_on_elsewhere():
    bench = await bench_of("a", "b")
    held = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        bench.targets.script(name, FakeResponse(script=[event(1), held]), answer(2))
    exchange = FakeExchange()
    task = asyncio.create_task(bench.service.serve(bench.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    (stream,) = bench.service.active
    first = bench.targets.sends[0][0]
    other = {"a0": "b0", "b0": "a0"}[first]
    bench.targets.script(other, answer(2))
    assert bench.service.may_move(stream)
    stream.move(Reason.SILENT_GROUP)
    assert await task == Answered(status=200, target=other)
    assert exchange.body == whole(1, 2)


async def test_the_work_on_a_group_is_counted_back_when_a_caller_leaves():
    bench = await bench_of("a")
    held = asyncio.get_running_loop().create_future()
    bench.targets.script("a0", FakeResponse(script=[event(1), held]))
    exchange = FakeExchange()
    task = asyncio.create_task(bench.service.serve(bench.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    assert bench.directory.work(("a", 1)).running == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert bench.directory.work(("a", 1)).running == 0
    assert bench.directory.work(("a", 1)).reading_tokens == 0
    assert not bench.service.active
