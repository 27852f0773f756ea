"""Sends of one stream of which several are in doubt."""

import asyncio
from dataclasses import replace

from structlog.testing import capture_logs

from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.streams import MOVE_PAUSE_SECONDS
from mallowpond.node.tests.fakes import (
    BROKEN,
    ROUTE,
    FakeExchange,
    FakeResponse,
    answer,
    event,
    make_rig,
)
from mallowpond.node.tests.test_silent_groups import (
    SilentStream,
    event_bytes,
    run_others,
    start_streams,
)
from mallowpond.node.tests.test_watch import advance_time, cancel, make_watch
from mallowpond.state.fleet import BreakCause
from mallowpond.transport.http_client import End


async def test_a_stream_leaves_a_second_group_that_is_dead_too():
    """Guards against streams that stay at two dead groups while a third is free."""
    rig = await make_rig("a", "b", "c")
    _, watch = make_watch(rig)
    silent = SilentStream(rig, route=replace(ROUTE, max_attempts=3))
    await silent.start()
    never = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    rig.targets.script("c0", answer(2, 3))
    rig.directory.loads.work(("c", 1)).running = 2
    for _ in range(200):
        # Other groups advance, so this is no common silence.
        rig.directory.loads.work(("c", 1)).last_event_at = rig.clock.time
        advance_time(rig, watch, 0.02)
        await run_others()
    sent = [name for name, _ in rig.targets.sends]
    await cancel(silent.task)
    assert "c0" in sent, (rig.clock.time, sent)


async def test_a_slow_group_is_watched_again_after_a_late_second_send():
    """Guards against streams that stay at a slow group that has died."""
    rig = await make_rig("a", "b")
    _, watch = make_watch(rig)
    loop = asyncio.get_running_loop()
    dies = loop.create_future()
    silent = SilentStream(rig, event(2), dies)
    stream = await silent.start()
    never = loop.create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    stream.move(Reason.SLOW_TARGET)
    await run_others()
    rig.clock.time += 3.0
    silent.wake()
    await run_others()
    assert silent.exchange.body == event_bytes(1, 2)
    await asyncio.sleep(2 * MOVE_PAUSE_SECONDS)
    reason = stream.move_reason
    await cancel(silent.task)
    assert reason is None, reason


class SlowExchange(FakeExchange):
    """An exchange whose caller does not read for a while."""

    def __init__(self):
        super().__init__()
        self.reads = asyncio.Event()
        self.reads.set()

    async def send(self, data):
        self.body += data
        await self.reads.wait()


async def test_no_event_comes_twice_if_the_caller_reads_late():
    rig = await make_rig("a", "b", "c")
    loop = asyncio.get_running_loop()
    wakes = [loop.create_future() for _ in range(3)]
    rig.targets.script(
        "a0",
        FakeResponse(
            script=[
                event(1),
                wakes[0],
                event(2),
                event(3),
                wakes[1],
                event(4),
                wakes[2],
            ]
        ),
    )
    breaks, delivers = loop.create_future(), loop.create_future()
    rig.targets.script("b0", FakeResponse(script=[breaks, BROKEN]))
    rig.targets.script("c0", FakeResponse(script=[delivers, event(5), End()]))
    rig.directory.loads.work(("c", 1)).running = 2
    exchange, route = SlowExchange(), replace(ROUTE, max_attempts=3)
    task = asyncio.create_task(rig.service.serve(rig.work(exchange, route)))
    while not exchange.body:
        await asyncio.sleep(0)
    (stream,) = rig.service.active
    stream.move(Reason.SLOW_TARGET)
    await run_others()
    wakes[0].set_result(None)
    await run_others()
    assert exchange.body == event_bytes(1)
    breaks.set_result(None)
    await run_others()
    await asyncio.sleep(2 * MOVE_PAUSE_SECONDS)
    assert stream.move_reason is None
    exchange.reads.clear()
    wakes[1].set_result(None)
    await run_others()
    stream.move(Reason.SLOW_TARGET)
    await run_others()
    exchange.reads.set()
    await run_others()
    delivers.set_result(None)
    await asyncio.gather(task, return_exceptions=True)
    assert rig.targets.sends == [("a0", None), ("b0", "1"), ("c0", "4")]
    assert exchange.body == event_bytes(1, 2, 3, 4, 5)


async def test_a_stream_is_told_of_a_restart_while_it_is_in_doubt():
    """Guards against streams that wait for a process that has ended."""
    rig = await make_rig("a", "b", "c")
    _, watch = make_watch(rig)
    silent = SilentStream(rig, route=replace(ROUTE, max_attempts=3))
    stream = await silent.start()
    never = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[never]))
    rig.targets.script("c0", answer(2, 3))
    rig.directory.loads.work(("c", 1)).running = 2
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    for name in "ab":
        group = rig.directory.groups[(name, 1)]
        rig.directory.mark_broken(group, BreakCause.RESTARTED)
    await run_others()
    await asyncio.sleep(2 * MOVE_PAUSE_SECONDS)
    await run_others()
    sent = [name for name, _ in rig.targets.sends]
    await cancel(silent.task)
    assert "c0" in sent, sent


async def test_a_common_silence_goes_on_after_its_streams_were_moved():
    rig = await make_rig("a", "b", "c")
    peers, watch = make_watch(rig)
    tasks, _ = await start_streams(rig, "abc")
    with capture_logs() as logs:
        for _ in range(150):
            advance_time(rig, watch, 0.02)
            await run_others()
    for task in tasks:
        await cancel(task)
    events = [e["event"] for e in logs if e["event"].startswith("groups")]
    assert "groups: heard again" not in events, events


async def test_no_grant_is_kept_if_a_caller_leaves():
    rig = await make_rig("a", "b")
    released = []
    rig.service.placement.release_grant = lambda: released.append(1)
    group = rig.directory.groups[("b", 1)]

    async def place(work):
        await granted.wait()
        return group

    granted = asyncio.Event()
    silent = SilentStream(rig)
    stream = await silent.start()
    rig.service.placement.place = place
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    granted.set()
    await asyncio.sleep(0)
    silent.task.cancel()
    await asyncio.gather(silent.task, return_exceptions=True)
    await run_others()
    assert released == [1] or len(rig.targets.sends) == 2
    for name in "ab":
        work = rig.directory.loads.work((name, 1))
        assert (work.running, work.prefill_tokens) == (0, 0)


async def test_a_last_event_does_not_give_up_the_second_group():
    """Guards against answers that end with a group that speaks once more."""
    rig = await make_rig("a", "b")
    silent = SilentStream(rig, event(2), BROKEN)
    stream = await silent.start()
    delivers = asyncio.get_running_loop().create_future()
    rig.targets.script("b0", FakeResponse(script=[delivers, event(2), event(3), End()]))
    stream.move(Reason.SILENT_GROUP)
    await run_others()
    silent.wake()
    await run_others()
    if not silent.task.done():
        delivers.set_result(None)
    assert await silent.task == Answered(status=200, target="b0")
    assert silent.exchange.body == event_bytes(1, 2, 3)
