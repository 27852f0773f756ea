"""What a caller gets of a stream when groups fail."""

import asyncio
from dataclasses import replace

import pytest

from mallowpond.node.outcomes import Answered, CutOff, Reason, Refusal
from mallowpond.node.ports import TargetsRead
from mallowpond.node.streams import MAX_BACKOFF_SECONDS
from mallowpond.node.tests.fakes import (
    BROKEN,
    PROFILE,
    ROUTE,
    UNREACHABLE,
    FakeExchange,
    FakeResponse,
    answer,
    event,
    full,
    make_rig,
    misdirected,
)
from mallowpond.state.crash_ledger import CrashRecord, Ending
from mallowpond.state.fleet import Process
from mallowpond.transport.http_client import Chunk, End


def event_bytes(*numbers):
    """Return the bytes of these complete events."""
    return b"".join(event(number).data for number in numbers)


async def test_a_whole_answer_reaches_the_caller():
    rig = await make_rig("g")
    rig.targets.script("g0", answer(1, 2))
    exchange = FakeExchange()
    outcome = await rig.service.serve(rig.work(exchange))
    assert outcome == Answered(status=200, target="g0")
    assert exchange.body == event_bytes(1, 2)
    assert exchange.finished


async def test_a_broken_stream_goes_on_after_its_last_whole_event():
    """An event came twice, or half of one was in the answer.

    A group broke off in the middle of an event, and another one resumed elsewhere than
    after the last event that had been forwarded whole.
    """
    rig = await make_rig("a", "b")
    half = replace(event(3), data=b"id: 3\nda")
    broken = FakeResponse(script=[event(1), event(2), half, BROKEN])
    rig.targets.script("a0", broken)
    rig.targets.script("b0", answer(3, 4))
    exchange = FakeExchange()
    outcome = await rig.service.serve(rig.work(exchange))
    assert outcome == Answered(status=200, target="b0")
    assert rig.targets.sends == [("a0", None), ("b0", "2")]
    assert exchange.body == event_bytes(1, 2, 3, 4)


async def test_a_stream_that_cannot_be_resumed_is_sent_once():
    """A request that may run at most once ran twice.

    Its group broke off before the first event, and it was sent again although nothing
    proved that it had not run.
    """
    rig = await make_rig("a", "b")
    rig.targets.script("a0", BROKEN)
    rig.targets.script("b0", BROKEN)
    work = rig.work(FakeExchange(), replace(ROUTE, resumable=False))
    outcome = await rig.service.serve(work)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(rig.targets.sends) == 1


@pytest.mark.parametrize("status", [200, 202])
async def test_an_unsigned_success_never_reaches_the_caller(status):
    """Guards against an engine's answer to another request that ends a stream."""
    rig = await make_rig("a")
    late = FakeResponse(script=[event(1), End()], status=status, is_signed=False)
    rig.targets.script("a0", late)
    exchange = FakeExchange()
    work = rig.work(exchange, replace(ROUTE, resumable=False))
    outcome = await rig.service.serve(work)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert not exchange.started


async def test_an_event_without_an_end_breaks_the_stream_off():
    """Guards against a host whose memory an engine fills with bytes without end."""
    rig = await make_rig("a")
    endless = [event(1), *[Chunk(data=b"x" * 65536)] * 100, event(2), End()]
    rig.targets.script("a0", FakeResponse(script=endless))
    exchange = FakeExchange()
    outcome = await rig.service.serve(
        rig.work(exchange, replace(ROUTE, max_attempts=1))
    )
    assert isinstance(outcome, CutOff)
    assert exchange.body == event(1).data


async def test_a_proof_of_not_run_allows_another_send():
    rig = await make_rig("a", "b")
    refused = FakeResponse(script=[], status=503, headers={"not-run": "1"})
    rig.targets.script("a0", refused)
    rig.targets.script("b0", answer(1))
    work = rig.work(FakeExchange(), replace(ROUTE, resumable=False))
    outcome = await rig.service.serve(work)
    assert outcome == Answered(status=200, target="b0")


async def test_a_target_that_cannot_be_reached_did_not_run_the_request():
    rig = await make_rig("a", "b")
    rig.targets.script("a0", UNREACHABLE)
    rig.targets.script("b0", answer(1))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="b0")


async def test_no_more_engines_than_the_route_allows_run_a_request():
    rig = await make_rig("a", "b", "c")
    for group in "abc":
        rig.targets.script(f"{group}0", FakeResponse(script=[BROKEN]))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Refusal(status=502, reason=Reason.ATTEMPTS_USED)
    assert len(rig.targets.sends) == 2


async def test_an_answer_that_began_is_cut_and_never_ended_as_if_whole():
    rig = await make_rig("a")
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]))
    exchange = FakeExchange()
    work = rig.work(exchange, replace(ROUTE, max_attempts=1))
    outcome = await rig.service.serve(work)
    assert outcome == CutOff(reason=Reason.ATTEMPTS_USED)
    assert not exchange.finished


async def test_an_engines_own_failure_is_passed_on_unchanged():
    rig = await make_rig("a")
    failure = FakeResponse(script=[], status=500, headers={"stamp": "s"})
    rig.targets.script("a0", failure)
    exchange = FakeExchange()
    work = rig.work(exchange, replace(ROUTE, max_attempts=1))
    outcome = await rig.service.serve(work)
    assert outcome == Answered(status=500, target="a0")
    assert exchange.headers == (("stamp", "s"),)


async def test_a_suspected_group_loses_its_streams_only_if_they_can_go_on():
    """Streams were cut off although their group had only paused.

    Both groups that a stream may be sent to fell silent for a moment, and the stream
    was moved although it had used its attempts.
    """
    rig = await make_rig("a", "b")
    blocker = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        rig.targets.script(name, FakeResponse(script=[blocker]))
    route = replace(ROUTE, max_attempts=1)
    task = asyncio.create_task(rig.service.serve(rig.work(FakeExchange(), route)))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    (stream,) = rig.service.active
    assert not rig.service.can_move(stream)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_moved_stream_goes_on_elsewhere():
    rig = await make_rig("a", "b")
    blocker = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        rig.targets.script(name, FakeResponse(script=[event(1), blocker]), answer(2))
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    (stream,) = rig.service.active
    first = rig.targets.sends[0][0]
    other = {"a0": "b0", "b0": "a0"}[first]
    rig.targets.script(other, answer(2))
    assert rig.service.can_move(stream)
    stream.move(Reason.SILENT_GROUP)
    assert await task == Answered(status=200, target=other)
    assert exchange.body == event_bytes(1, 2)


async def test_a_stream_that_ran_long_waits_for_a_place_when_its_group_dies():
    """Answers were cut off in the middle although a slot came free soon.

    A stream had run for 2 s when its group broke off while the other groups were full;
    half a second later one had a slot. The caller's patience was counted from the start
    of the stream, so it was used up.
    """
    rig = await make_rig("a", "b")
    blocker = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), blocker, event(2), BROKEN]))
    rig.directory.loads.work(("b", 1)).running = 10
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    rig.clock.time += 2.0
    blocker.set_result(None)
    for _ in range(20):
        await asyncio.sleep(0)
    assert not task.done()
    rig.clock.time += 0.5
    rig.targets.script("b0", answer(3))
    rig.directory.loads.work(("b", 1)).running = 0
    rig.service.placement.wake_all()
    assert await task == Answered(status=200, target="b0")
    assert exchange.body == event_bytes(1, 2, 3)


async def test_the_work_on_a_group_is_counted_back_when_a_caller_leaves():
    rig = await make_rig("a")
    blocker = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), blocker]))
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    assert rig.directory.loads.work(("a", 1)).running == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert rig.directory.loads.work(("a", 1)).running == 0
    assert rig.directory.loads.work(("a", 1)).prefill_tokens == 0
    assert not rig.service.active


async def test_a_stopping_host_reckons_with_the_pace_that_its_groups_show():
    """A stream was cut off in the middle when its host shut down as planned.

    A stopping host accepts a stream if it can end before the shutdown. Its duration was
    predicted for the declared pace, so a host whose groups ran at a fifth of their pace
    accepted streams that took longer than it had.
    """
    rig = await make_rig("a")
    work = rig.work(FakeExchange())
    declared = rig.service.placement.longest_seconds(work)
    group_work = rig.directory.loads.work(("a", 1))
    group_work.slowness, group_work.last_event_at = 5.0, rig.clock.now()
    passes = declared - work.route.objective_seconds
    slow = rig.service.placement.longest_seconds(work)
    assert slow >= work.route.objective_seconds + 4.9 * passes


@pytest.mark.parametrize(("reserve", "is_sent"), [(0.5, False), (1.5, True)])
async def test_a_wait_for_a_slot_does_not_use_up_the_time_for_a_move(reserve, is_sent):
    """Guards against streams that a stopping host cuts after one short silence."""
    rig = await make_rig("a")
    rig.targets.script("a0", answer(1))
    work = rig.work(FakeExchange())
    placement = rig.service.placement
    longest = placement.longest_seconds(work)
    placement.shutdown_at = rig.clock.now() + longest + reserve
    outcome = await rig.service.serve(work)
    assert isinstance(outcome, Answered) is is_sent
    assert bool(rig.targets.sends) is is_sent


async def test_a_stopping_host_takes_no_stream_for_which_it_has_no_group():
    """A caller waited on a stopping host for a group, and its answer was cut off.

    The stream's duration was predicted as if a group served the model, although it was
    not known when one would.
    """
    rig = await make_rig()
    assert rig.service.placement.longest_seconds(rig.work(FakeExchange())) == float(
        "inf"
    )


async def test_a_head_that_says_it_is_not_the_one_gets_no_more_streams():
    """Streams were sent over and over to a head that ran none of them.

    The head restarted behind a network cut while the list still showed it open, and
    answered each stream that it holds no open group. That counted as the answer of a
    full head, with a short backoff; without streams it looked the least loaded.
    """
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(misdirected() for _ in range(9)))
    rig.targets.script("b0", *(answer(1) for _ in range(9)))
    rig.directory.loads.work(("b", 1)).running = 1
    for _ in range(3):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target="b0")
        rig.clock.time += 60.0
    assert [name for name, _ in rig.targets.sends].count("a0") == 1


async def test_a_full_head_gets_streams_again_after_a_moment():
    rig = await make_rig("a", "b")
    rig.targets.script("a0", full(), answer(1))
    rig.targets.script("b0", answer(1), answer(1))
    rig.directory.loads.work(("b", 1)).running = 1
    assert await rig.service.serve(rig.work(FakeExchange())) == Answered(
        status=200, target="b0"
    )
    rig.clock.time += 1.0
    assert await rig.service.serve(rig.work(FakeExchange())) == Answered(
        status=200, target="a0"
    )


@pytest.mark.parametrize("refusal", [full, misdirected])
async def test_refused_for_sure_and_no_budget_left_is_not_run(refusal):
    """Callers got 502 and gave up on streams that no engine ran.

    A head rejected a stream, and the retry budget was used up. The answer was the same
    whether the stream may have run or was proved not to have run.
    """
    rig = await make_rig("a", "b", slack=0.0)
    for name in ("a0", "b0"):
        rig.targets.script(name, refusal())
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert (outcome.status, outcome.reason) == (503, Reason.BUDGET_USED)
    assert outcome.retry_after > 0
    assert len(rig.targets.sends) == 1


async def test_a_used_budget_after_an_attempt_that_may_have_run_stays_unknown():
    rig = await make_rig("a", "b", "c", slack=2.5)
    rig.targets.script("a0", FakeResponse(script=[BROKEN]))
    for name in ("b0", "c0"):
        rig.targets.script(name, full())
    rig.directory.loads.work(("b", 1)).running = 1
    rig.directory.loads.work(("c", 1)).running = 1
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Refusal(status=502, reason=Reason.BUDGET_USED, retry_after=None)


@pytest.mark.parametrize("refusal", [full, misdirected])
async def test_a_stream_that_no_group_ran_until_its_deadline_is_not_run(refusal):
    """A caller that could have retried got a timeout.

    The only group rejected a stream just before the route's timeout. The answer was the
    same whether the stream may have run or was proved not to have run.
    """
    rig = await make_rig("a")
    refused = refusal()
    rig.targets.script("a0", refused)
    work = rig.work(FakeExchange())

    async def late(limit=0):
        rig.clock.time = work.deadline
        return b""

    refused.read = late
    outcome = await rig.service.serve(work)
    assert (outcome.status, outcome.reason) == (503, Reason.TIMEOUT)
    assert outcome.retry_after > 0


async def test_no_place_left_after_an_attempt_that_may_have_run_stays_unknown():
    """A caller got the answer that a stream did not run although it had.

    The only group broke off before the first event, and no other had a free slot. The
    end of the wait for a slot decided the answer for the whole request.
    """
    rig = await make_rig("a")
    rig.targets.script("a0", FakeResponse(script=[BROKEN]))
    work = rig.work(FakeExchange())
    work.deadline = rig.clock.now() + 0.1
    outcome = await rig.service.serve(work)
    assert (outcome.status, outcome.reason) == (502, Reason.OVERLOADED)


async def form_anew(rig, group):
    """Restart the members of a group and form it anew."""
    known = rig.directory.targets
    restarted = [
        replace(
            known[name],
            born=known[name].born + 1,
            membership=replace(known[name].membership, epoch=2),
        )
        for name in (f"{group}0", f"{group}1")
    ]
    revision = rig.directory.last_change + 1
    rig.directory.apply_change(
        TargetsRead(revision=revision, targets=tuple(restarted)), previous=revision - 1
    )


async def test_engines_that_started_again_do_not_count_as_attempts():
    """Streams were cut off although a group had a free slot for them.

    Two groups of a stream broke off as their engines crashed, and one was formed anew
    from the engines that restarted under their ids. Attempts and tried groups were
    counted by engine id instead of by process.
    """
    rig = await make_rig("a", "b")
    blocker = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]), answer(3))
    rig.targets.script("b0", FakeResponse(script=[event(2), blocker, BROKEN]))
    rig.directory.loads.work(("b", 1)).running = 1
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while len(rig.targets.sends) < 2:
        await asyncio.sleep(0)
    await form_anew(rig, "a")
    blocker.set_result(None)
    assert await task == Answered(status=200, target="a0")
    assert exchange.body == event_bytes(1, 2, 3)


async def test_a_stream_that_may_run_once_never_goes_to_the_later_process():
    """A request that may run at most once ran twice.

    Its head crashed before the first event, restarted under its id and held an open
    group when the connection broke. The request had never been sent to that process,
    so it counted as not run.
    """
    rig = await make_rig("a")
    blocker = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[blocker, BROKEN]), answer(1))
    work = rig.work(FakeExchange(), replace(ROUTE, resumable=False))
    task = asyncio.create_task(rig.service.serve(work))
    while not rig.targets.sends:
        await asyncio.sleep(0)
    await form_anew(rig, "a")
    blocker.set_result(None)
    assert await task == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(rig.targets.sends) == 1


async def test_a_head_that_cannot_be_reached_is_tried_less_and_less():
    """One crashed head used up the retry budget.

    Until the list showed the crash, a stream was sent there after each backoff, which
    was as short after the tenth rejection as after the first.
    """
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(UNREACHABLE for _ in range(99)))
    rig.targets.script("b0", *(answer(1) for _ in range(99)))
    rig.directory.loads.work(("b", 1)).running = 1
    for _ in range(20):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target="b0")
        rig.clock.time += 0.1
    assert [name for name, _ in rig.targets.sends].count("a0") <= 5


async def test_a_full_head_that_advances_is_left_for_a_moment_only():
    rig = await make_rig("a", "b")
    rig.targets.script("a0", full(), answer(1), full(), answer(1), full(), answer(1))
    rig.targets.script("b0", *(answer(1) for _ in range(9)))
    rig.directory.loads.work(("b", 1)).running = 1
    for _ in range(6):
        await rig.service.serve(rig.work(FakeExchange()))
        rig.clock.time += 0.1
    assert [name for name, _ in rig.targets.sends].count("a0") == 6


async def test_a_head_that_turned_streams_away_for_long_gets_one_again():
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(full() for _ in range(20)))
    rig.targets.script("b0", *(answer(1) for _ in range(99)))
    rig.directory.loads.work(("b", 1)).running = 1
    for _ in range(10):
        await rig.service.serve(rig.work(FakeExchange()))
        rig.clock.time += 0.2
    rig.targets.script("a0", answer(1))
    rig.clock.time += MAX_BACKOFF_SECONDS
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="a0")


async def test_the_place_of_a_woken_stream_that_leaves_goes_to_the_next():
    """A stream went on waiting although a slot was free.

    The slot was offered to the first stream in the queue, which wakes the next one when
    it is sent. Its caller left in the same loop iteration, and no stream was woken.
    """
    rig = await make_rig("a")
    rig.directory.loads.work(("a", 1)).running = PROFILE.slots + 1
    rig.targets.script("a0", answer(1))
    tasks = [
        asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
        for _ in range(2)
    ]
    for _ in range(5):
        await asyncio.sleep(0)
    rig.directory.loads.work(("a", 1)).running = 0
    rig.service.placement.wake_all()
    tasks[0].cancel()
    for _ in range(20):
        await asyncio.sleep(0)
    assert rig.targets.sends == [("a0", None)]
    assert await tasks[1] == Answered(status=200, target="a0")


def report_ended(rig, name):
    """Record another host's report that a group's head crashed under some request."""
    process = Process(id=f"{name}0", born=0)
    record = CrashRecord(request="bad", endings=(Ending(process=process, ran=0.1),))
    rig.service._quarantine.merge(record)


async def test_a_head_that_others_saw_end_gets_a_stream_only_if_no_other_has_a_place():
    """Streams must not be lost to heads that are known to be gone."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(BROKEN for _ in range(9)))
    rig.targets.script("b0", *(answer(1) for _ in range(9)))
    rig.directory.loads.work(("b", 1)).running = 1
    report_ended(rig, "a")
    route = replace(ROUTE, resumable=False)
    outcome = await rig.service.serve(rig.work(FakeExchange(), route))
    assert outcome == Answered(status=200, target="b0")


async def test_a_head_that_breaks_off_again_after_its_end_is_left_alone_for_a_while():
    """Streams must not be sent one after the other to a head that has ended."""
    rig = await make_rig("a")
    rig.targets.script("a0", *(FakeResponse(script=[BROKEN]) for _ in range(20)))
    report_ended(rig, "a")
    route = replace(ROUTE, resumable=False)
    rig.clock.time += 0.01
    outcome = await rig.service.serve(rig.work(FakeExchange(), route))
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert rig.directory.serving_groups("engines", "m") == []


async def test_a_stream_that_a_closing_group_ended_is_no_ending_of_its_process():
    """Guards against requests held back since their groups were formed anew.

    A head that is ordered to end its streams breaks them off as a crash does. Counted
    as crashes, three such ends would quarantine a request.
    """
    rig = await make_rig("a", "b")
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]))
    rig.targets.script("b0", answer(2))
    for group in rig.directory.groups.values():
        rig.directory.loads.work(group.key).closing_until = rig.clock.now() + 4.0
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="b0")
    assert rig.service._metrics.endings._value.get() == 0


def unframed(*script):
    """Return a response that ends with its connection."""
    return FakeResponse(script=list(script), has_marked_end=False)


async def test_an_unframed_stream_that_closes_after_an_event_is_whole():
    rig = await make_rig("a", "b")
    rig.targets.script("a0", unframed(event(1), event(2), End()))
    rig.targets.script("b0", unframed(event(1), event(2), End()))
    exchange = FakeExchange()
    outcome = await rig.service.serve(rig.work(exchange))
    assert isinstance(outcome, Answered) and exchange.finished


@pytest.mark.parametrize(
    "script",
    [(Chunk(data=b"id: 1\nda"), End()), (End(),), (event(1), BROKEN)],
    ids=["inside an event", "without an event", "reset"],
)
async def test_an_unframed_stream_that_breaks_off_is_resumed(script):
    """Guards against a crash of the target that looks like a complete answer."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", unframed(*script))
    rig.targets.script("b0", answer(2))
    rig.directory.loads.work(("b", 1)).running = 1
    exchange = FakeExchange()
    outcome = await rig.service.serve(rig.work(exchange))
    assert isinstance(outcome, Answered) and exchange.finished
    assert len(rig.targets.sends) == 2


async def test_an_unframed_stream_clears_no_part_that_it_had():
    """Guards against a target's crash that is taken for the answer of a deadly part."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", unframed(event(1), End()), answer(1))
    rig.targets.script("b0", unframed(event(1), End()), answer(1))
    quarantine, now = rig.service._quarantine, rig.clock.now()
    work = rig.work(FakeExchange())
    work.request = replace(work.request, shared_parts=("p",))
    process = Process(id="t", born=1)
    quarantine.record_ending("r", process, now - 0.3, parts=work.parts)
    await rig.service.serve(work)
    (ending,) = quarantine.record(work.parts[0]).endings
    assert not ending.refuted
