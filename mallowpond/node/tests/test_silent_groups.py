"""Streams whose groups are silent for a while and live on."""

import asyncio
from dataclasses import replace

import pytest

from mallowpond.node.messages import SilencesAnswer, Suspicion, WatchedSilence
from mallowpond.node.outcomes import Answered, CutOff, Reason
from mallowpond.node.tests.fakes import (
    BROKEN,
    ROUTE,
    FakeExchange,
    FakeResponse,
    answer,
    event,
    full,
    make_rig,
)
from mallowpond.node.tests.test_watch import advance_time, cancel, make_watch
from mallowpond.transport.http_client import End


def event_bytes(*numbers):
    """Return the bytes of these complete events."""
    return b"".join(event(number).data for number in numbers)


async def run_others():
    """Let the other tasks run until all of them wait."""
    for _ in range(30):
        await asyncio.sleep(0)


class SilentStream:
    """A stream of which group `a` sent one event before it fell silent."""

    def __init__(self, rig, *rest, route=ROUTE):
        self.rig, self.exchange, self.route = rig, FakeExchange(), route
        self.wakes = asyncio.get_running_loop().create_future()
        rig.targets.script("a0", FakeResponse(script=[event(1), self.wakes, *rest]))

    async def start(self):
        """Start it, and return its active send once the first event came."""
        work = self.rig.work(self.exchange, self.route)
        self.task = asyncio.create_task(self.rig.service.serve(work))
        while not self.exchange.body:
            await asyncio.sleep(0)
        (stream,) = self.rig.service.active
        return stream

    def wake(self):
        """Let the group go on, if its send is still in progress."""
        assert not self.wakes.cancelled(), "the send was given up"
        self.wakes.set_result(None)


async def test_a_stream_goes_on_at_a_silent_group_that_wakes_first():
    """Guards against answers that are given up before another engine delivers."""
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), End())
    stream = await silent.start()
    never = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    assert rig.targets.sends == [("a0", None), ("b0", "1")]
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")
    assert silent.exchange.body == event_bytes(1, 2)
    assert not rig.service.active
    for group in "ab":
        assert rig.directory.loads.work((group, 1)).running == 0


async def test_a_stream_goes_on_at_the_other_group_if_that_delivers_first():
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), End())
    stream = await silent.start()
    rig.targets.script("b0", answer(2, 3))
    stream.move(Reason.SILENT_GROUP)
    assert await silent.task == Answered(status=200, target="b0")
    assert silent.wakes.cancelled()
    assert silent.exchange.body == event_bytes(1, 2, 3)


@pytest.mark.parametrize(
    "refusal",
    [full, lambda: FakeResponse(script=[BROKEN])],
    ids=["full", "broken"],
)
async def test_a_stream_stays_if_the_other_group_does_not_serve_it(refusal):
    """Guards against answers that end with the failure of a second engine."""
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), End())
    stream = await silent.start()
    rig.targets.script("b0", *(refusal() for _ in range(9)))
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    assert not silent.task.done()
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")
    assert silent.exchange.body == event_bytes(1, 2)


async def test_a_stream_stays_without_a_retry_budget():
    """Guards against answers that end as the retry budget is used up."""
    rig = await make_rig("a", "b", slack=0.0)
    rig.targets.script("b0", answer(2))
    silent = SilentStream(rig, event(2), End())
    stream = await silent.start()
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    assert not silent.task.done()
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")
    assert len(rig.targets.sends) == 1


async def test_a_stream_stays_while_no_other_group_has_a_slot():
    """Guards against answers that end as their stream gets no slot elsewhere."""
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), End())
    stream = await silent.start()
    rig.directory.loads.work(("b", 1)).running = 10
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    rig.clock.time += 2.0
    rig.service.placement.end_waits()
    await run_others()
    assert not silent.task.done()
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")


async def test_a_stream_ends_only_when_both_engines_have_ended_it():
    rig = await make_rig("a", "b", "c")
    silent = SilentStream(rig, BROKEN)
    stream = await silent.start()
    ends = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[ends, BROKEN]))
    rig.targets.script("c0", answer(2))
    rig.directory.loads.work(("c", 1)).running = 2
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    silent.wake()
    await run_others()
    assert not silent.task.done()
    ends.set_result(None)
    assert await silent.task == CutOff(reason=Reason.ATTEMPTS_USED)
    assert [name for name, _ in rig.targets.sends] == ["a0", "b0"]


async def test_a_stream_leaves_a_slow_group_only_for_one_that_delivers():
    """Guards against answers that end as a slow group is left for a silent one."""
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), event(3), End())
    stream = await silent.start()
    never = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    stream.move(Reason.SLOW_TARGET)
    await run_others()
    rig.clock.time += 3.0
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")
    assert silent.exchange.body == event_bytes(1, 2, 3)


async def test_a_slow_group_does_not_keep_a_stream_from_a_faster_one():
    """Guards against streams that stay at a slow group as it sends an event first."""
    rig = await make_rig("a", "b")
    never = asyncio.get_running_loop().create_future()
    silent = SilentStream(rig, event(2), never)
    stream = await silent.start()
    delivers = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[delivers, event(2), event(3), End()]))
    stream.move(Reason.SLOW_TARGET)
    await run_others()
    silent.wake()
    await run_others()
    delivers.set_result(None)
    assert await silent.task == Answered(status=200, target="b0")
    assert silent.exchange.body == event_bytes(1, 2, 3)


async def test_a_request_that_may_run_once_waits_for_its_engine():
    rig = await make_rig("a", "b")
    route = replace(ROUTE, resumable=False)
    silent = SilentStream(rig, event(2), End(), route=route)
    stream = await silent.start()
    assert not rig.service.can_move(stream)
    silent.wake()
    assert await silent.task == Answered(status=200, target="a0")


async def start_streams(rig, groups):
    """Start a stream on each group, and wait until each has got an event."""
    tasks, wakes = [], []
    for name in groups:
        others = [rig.directory.loads.work((g, 1)) for g in groups if g != name]
        for work in others:
            work.running += 10
        wakes.append(asyncio.get_running_loop().create_future())
        first = FakeResponse(script=[event(1), wakes[-1], event(2), End()])
        never = asyncio.get_running_loop().create_future()
        silent = [FakeResponse(script=[never]) for _ in groups]
        rig.targets.script(f"{name}0", first, *silent)
        exchange = FakeExchange()
        tasks.append(asyncio.create_task(rig.service.serve(rig.work(exchange))))
        while not exchange.body:
            await asyncio.sleep(0)
        for work in others:
            work.running -= 10
    return tasks, wakes


async def test_a_silence_of_all_groups_is_held_against_none():
    """Guards against a whole fleet that is excluded as its engines pause together."""
    rig = await make_rig("a", "b", "c")
    peers, watch = make_watch(rig)
    tasks, wakes = await start_streams(rig, "abc")
    for _ in range(100):
        advance_time(rig, watch, 0.02)
        await run_others()
    assert peers.broadcasts == []
    assert len(rig.directory.serving_groups("engines", "m")) == 3
    for wake in wakes:
        wake.set_result(None)
    answered = await asyncio.gather(*tasks)
    assert {end.target for end in answered} == {"a0", "b0", "c0"}


async def test_a_group_that_stays_silent_when_the_others_wake_is_left():
    """Guards against a dead group that is kept as it fell silent with all others."""
    rig = await make_rig("a", "b", "c")
    peers, watch = make_watch(rig)
    tasks, _ = await start_streams(rig, "abc")
    advance_time(rig, watch, 0.6)
    assert peers.broadcasts == []
    for _ in range(20):
        for group in "bc":
            rig.directory.loads.work((group, 1)).last_event_at = rig.clock.time
        advance_time(rig, watch, 0.02)
    assert peers.broadcasts == [("a", 1)]
    for task in tasks:
        await cancel(task)


async def test_a_suspected_group_is_used_again_as_soon_as_it_speaks():
    """Guards against groups that are excluded for seconds although they deliver."""
    rig = await make_rig("a", "b")
    peers, watch = make_watch(rig)
    silent = SilentStream(rig, event(2), End())
    await silent.start()
    never = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    advance_time(rig, watch, 0.3)
    await run_others()
    assert peers.broadcasts == [("a", 1)]
    silent.wake()
    await silent.task
    advance_time(rig, watch, 0.02)
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    assert peers.cleared == [("a", 1)]


async def test_a_stream_leaves_a_connection_that_is_silent_in_an_advancing_group():
    """Guards against streams that hang as new ones show that their group lives."""
    rig = await make_rig("a", "b")
    peers, watch = make_watch(rig)
    silent = SilentStream(rig)
    stream = await silent.start()
    rig.targets.script("b0", answer(2))
    for _ in range(30):
        rig.directory.loads.work(("a", 1)).last_event_at = rig.clock.time
        advance_time(rig, watch, 0.02)
    assert stream.move_reason is Reason.SILENT_GROUP
    assert await silent.task == Answered(status=200, target="b0")
    assert peers.broadcasts == []


async def test_a_stream_whose_caller_does_not_read_is_not_taken_for_silent():
    rig = await make_rig("a", "b")
    _, watch = make_watch(rig)
    silent = SilentStream(rig)
    stream = await silent.start()
    stream.is_forwarding = True
    for _ in range(30):
        rig.directory.loads.work(("a", 1)).last_event_at = rig.clock.time
        advance_time(rig, watch, 0.02)
    assert stream.move_reason is None
    await cancel(silent.task)


async def test_a_host_with_few_streams_asks_others_for_the_silences_they_see():
    """Guards against hosts that judge the whole fleet by the few groups they use."""
    rig = await make_rig("a", "b", "c", "d")
    peers, watch = make_watch(rig)
    tasks, _ = await start_streams(rig, "a")
    (on_answer,) = peers.on_silences_answer

    def tell(seconds):
        silences = [WatchedSilence(group=g, epoch=1, silent=seconds) for g in "bcd"]
        on_answer(SilencesAnswer(node="n", silences=tuple(silences)))

    for number in range(20):
        tell(0.02 * number)
        advance_time(rig, watch, 0.02)
    assert peers.broadcasts == []
    for _ in range(20):
        tell(0.0)
        advance_time(rig, watch, 0.02)
    assert peers.broadcasts == [("a", 1)]
    for task in tasks:
        await cancel(task)


async def test_a_suspicion_that_includes_a_common_silence_is_ignored():
    """Guards against one late host whose suspicion all others adopt."""
    rig = await make_rig("a", "b", "c")
    peers, watch = make_watch(rig)
    tasks, _ = await start_streams(rig, "abc")
    advance_time(rig, watch, 0.6)
    for group in "bc":
        rig.directory.loads.work((group, 1)).last_event_at = rig.clock.time
    advance_time(rig, watch, 0.02)
    (on_suspicion,) = peers.on_suspicion
    on_suspicion(Suspicion(node="n", group="a", epoch=1, silent=0.5))
    assert len(rig.directory.serving_groups("engines", "m")) == 3
    advance_time(rig, watch, 0.06)
    on_suspicion(Suspicion(node="n", group="a", epoch=1, silent=0.05))
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    for task in tasks:
        await cancel(task)
