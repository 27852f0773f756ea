"""What a caller sees of a stream when groups fail under it."""

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


def whole(*numbers):
    """Return the bytes of these events."""
    return b"".join(event(number).data for number in numbers)


async def test_a_whole_answer_reaches_the_caller():
    rig = await make_rig("g")
    rig.targets.script("g0", answer(1, 2))
    exchange = FakeExchange()
    outcome = await rig.service.serve(rig.work(exchange))
    assert outcome == Answered(status=200, target="g0")
    assert exchange.body == whole(1, 2)
    assert exchange.finished


async def test_a_broken_stream_goes_on_after_its_last_whole_event():
    """Symptom: an event comes twice, or half of one stands in the answer.

    Sequence: a group breaks off in the middle of an event; another one goes on.
    Cause: the resume began elsewhere than after the last event passed on whole.
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
    assert exchange.body == whole(1, 2, 3, 4)


async def test_a_stream_that_cannot_be_resumed_is_sent_once():
    """Symptom: a request that may run once at most runs twice.

    Sequence: the group breaks off before the first event.
    Cause: the send was repeated although nothing proved that it had not run.
    """
    rig = await make_rig("a", "b")
    rig.targets.script("a0", BROKEN)
    rig.targets.script("b0", BROKEN)
    work = rig.work(FakeExchange(), replace(ROUTE, resumable=False))
    outcome = await rig.service.serve(work)
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(rig.targets.sends) == 1


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
    """Symptom: streams are cut off although their group only paused.

    Sequence: both groups that a stream may be sent to fall silent for a moment.
    Cause: a stream that had used its attempts was moved all the same.
    """
    rig = await make_rig("a", "b")
    held = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        rig.targets.script(name, FakeResponse(script=[held]))
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
    held = asyncio.get_running_loop().create_future()
    for name in ("a0", "b0"):
        rig.targets.script(name, FakeResponse(script=[event(1), held]), answer(2))
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
    assert exchange.body == whole(1, 2)


async def test_a_stream_that_ran_long_waits_for_a_place_when_its_group_dies():
    """Symptom: answers are cut off in the middle, although a place frees soon.

    Sequence: a stream has run for 2 s; its group breaks off while the other groups
    are full; half a second later one has a place.
    Cause: the time that callers wait for an event was counted from the start of the
    stream, so it was over.
    """
    rig = await make_rig("a", "b")
    held = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), held, event(2), BROKEN]))
    rig.directory.loads.work(("b", 1)).running = 10
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    rig.clock.time += 2.0
    held.set_result(None)
    for _ in range(20):
        await asyncio.sleep(0)
    assert not task.done()
    rig.clock.time += 0.5
    rig.targets.script("b0", answer(3))
    rig.directory.loads.work(("b", 1)).running = 0
    rig.service.placement.wake_all()
    assert await task == Answered(status=200, target="b0")
    assert exchange.body == whole(1, 2, 3)


async def test_the_work_on_a_group_is_counted_back_when_a_caller_leaves():
    rig = await make_rig("a")
    held = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), held]))
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
    """A caller's stream was cut in the middle when its host ended after a planned stop.

    A host that stops takes a stream if the time that the stream may take is left
    to it. That time was of a sound group, so a host whose groups ran at a
    fifth of their pace took streams that needed longer than it had.
    """
    rig = await make_rig("a")
    work = rig.work(FakeExchange())
    sound = rig.service.placement.longest_seconds(work)
    group_work = rig.directory.loads.work(("a", 1))
    group_work.slowness, group_work.last_event_at = 5.0, rig.clock.now()
    passes = sound - work.route.objective_seconds
    slow = rig.service.placement.longest_seconds(work)
    assert slow >= work.route.objective_seconds + 4.9 * passes


async def test_a_stopping_host_takes_no_stream_for_which_it_has_no_group():
    """A caller waited on a stopping host for a group, and its answer was cut off.

    Nothing was known of when a group would serve, yet the stream's time was reckoned
    as if one did.
    """
    rig = await make_rig()
    assert rig.service.placement.longest_seconds(rig.work(FakeExchange())) == float(
        "inf"
    )


async def test_a_head_that_says_it_is_not_the_one_gets_no_more_streams():
    """Symptom: streams are sent to one head over and over, which runs none of them.

    Sequence: a head starts again behind a cut; the list still shows it open. It
    answers each stream that it holds no open group.
    Cause: the answer counted as that of a full head, which is left for a moment only;
    without streams it looked like the least loaded.
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
    """Symptom: callers are told 502, and give up, for streams that nobody ran.

    Sequence: a head turns a stream away; the repeats of this window are used up.
    Cause: the end of the budget was answered alike whether the stream may have run
    or was proved not to have.
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
    """Symptom: a caller that could come back is told that its time is over.

    Sequence: the only group turns a stream away, just before the route's timeout.
    Cause: the end of the time was answered alike whether the stream may have run or
    was proved not to have.
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
    """Symptom: a caller is promised that a stream did not run, and it had.

    Sequence: the only group breaks off before the first event; no other has a place.
    Cause: the end of the wait for a place spoke for the whole request.
    """
    rig = await make_rig("a")
    rig.targets.script("a0", FakeResponse(script=[BROKEN]))
    work = rig.work(FakeExchange())
    work.deadline = rig.clock.now() + 0.1
    outcome = await rig.service.serve(work)
    assert (outcome.status, outcome.reason) == (502, Reason.OVERLOADED)


async def formed_anew(rig, group):
    """Start the members of a group again, and form it anew."""
    known = rig.directory.targets
    anew = [
        replace(
            known[name],
            born=known[name].born + 1,
            membership=replace(known[name].membership, epoch=2),
        )
        for name in (f"{group}0", f"{group}1")
    ]
    revision = rig.directory.changed + 1
    rig.directory.apply_change(
        TargetsRead(revision=revision, targets=tuple(anew)), previous=revision - 1
    )


async def test_engines_that_started_again_do_not_count_as_attempts():
    """Symptom: streams are cut off although a group has a place for them.

    Sequence: two groups break off under a stream, as their engines crash; one is formed
    anew from the engines that started again under their ids.
    Cause: attempts and groups that were tried went by the engine's id.
    """
    rig = await make_rig("a", "b")
    held = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]), answer(3))
    rig.targets.script("b0", FakeResponse(script=[event(2), held, BROKEN]))
    rig.directory.loads.work(("b", 1)).running = 1
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while len(rig.targets.sends) < 2:
        await asyncio.sleep(0)
    await formed_anew(rig, "a")
    held.set_result(None)
    assert await task == Answered(status=200, target="a0")
    assert exchange.body == whole(1, 2, 3)


async def test_a_stream_that_may_run_once_never_goes_to_the_later_process():
    """Symptom: a request that may run once at most runs twice.

    Sequence: its head crashes before the first event, starts again under its id and
    holds an open group when the connection breaks.
    Cause: the request had never been sent to that process, so it counted as not run.
    """
    rig = await make_rig("a")
    held = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[held, BROKEN]), answer(1))
    work = rig.work(FakeExchange(), replace(ROUTE, resumable=False))
    task = asyncio.create_task(rig.service.serve(work))
    while not rig.targets.sends:
        await asyncio.sleep(0)
    await formed_anew(rig, "a")
    held.set_result(None)
    assert await task == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert len(rig.targets.sends) == 1


async def test_a_head_that_cannot_be_reached_is_tried_less_and_less():
    """Symptom: the repeats of a window are used up at one address.

    Sequence: a head crashes; until the list shows it, a stream is sent there each time
    that the pause after the last one is over.
    Cause: the pause was as short after the tenth refusal as after the first.
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
    """A stream waited on beside a free place.

    The place was offered to the first of the line, which wakes the next one when it is
    sent; its caller left in the same pass of the loop, and nobody was woken.
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


def ended(rig, name):
    """Let another host tell that a group's head ended under some request."""
    process = Process(id=f"{name}0", born=0)
    record = CrashRecord(request="bad", endings=(Ending(process=process, ran=0.1),))
    rig.service._quarantine.merge(record)


async def test_a_head_that_others_saw_end_gets_a_stream_only_if_no_other_has_a_place():
    """Guard against losing streams to heads that are known to be gone."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(BROKEN for _ in range(9)))
    rig.targets.script("b0", *(answer(1) for _ in range(9)))
    rig.directory.loads.work(("b", 1)).running = 1
    ended(rig, "a")
    route = replace(ROUTE, resumable=False)
    outcome = await rig.service.serve(rig.work(FakeExchange(), route))
    assert outcome == Answered(status=200, target="b0")


async def test_a_head_that_breaks_off_again_after_its_end_is_left_alone_for_a_while():
    """Guard against sending stream after stream to a head that has ended."""
    rig = await make_rig("a")
    rig.targets.script("a0", *(FakeResponse(script=[BROKEN]) for _ in range(20)))
    ended(rig, "a")
    route = replace(ROUTE, resumable=False)
    rig.clock.time += 0.01
    outcome = await rig.service.serve(rig.work(FakeExchange(), route))
    assert outcome == Refusal(status=502, reason=Reason.MAYBE_RUN)
    assert rig.directory.serving_groups("engines", "m") == []
