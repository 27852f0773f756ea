"""Who gets the next place, and who is told to come back."""

import asyncio

from mallowpond.node.waiting import WaitQueue


async def served(queue, now, *streams):
    """Let streams wait, free one place after the other, return their order."""
    order = []

    async def wait(name, priority, objective_deadline, has_begun=False):
        if await queue.wait(
            priority=priority,
            objective_deadline=objective_deadline,
            seconds=60.0,
            has_begun=has_begun,
        ):
            order.append(name)

    tasks = [asyncio.create_task(wait(*stream)) for stream in streams]
    await asyncio.sleep(0)
    for _ in streams:
        queue.wake(lambda: True, now)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    await asyncio.gather(*tasks)
    return order


async def test_streams_that_can_be_on_time_go_first():
    """Symptom: in a burst every stream is late, although half could be on time.

    Sequence: more streams come than there are places; the queue grows past the
    objective.
    Cause: places went by arrival, so each one waited as long as the queue was.
    """
    order = await served(
        WaitQueue(), 10.0, ("late", 1, 9.0), ("fresh", 1, 10.2), ("second", 1, 10.3)
    )
    assert order == ["fresh", "second", "late"]


async def test_a_more_urgent_stream_goes_before_an_equal_one():
    order = await served(WaitQueue(), 10.0, ("low", 2, 11.0), ("high", 0, 11.0))
    assert order == ["high", "low"]


async def test_a_stream_that_gives_up_leaves_the_line():
    queue = WaitQueue()
    task = asyncio.create_task(
        queue.wait(priority=1, objective_deadline=1.0, seconds=60.0)
    )
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert len(queue) == 0


async def test_a_stream_whose_group_died_goes_before_newcomers():
    """Symptom: answers are cut off in the middle while new ones begin.

    Sequence: a group dies under its streams at a time when all places are taken; a
    place frees, and a newcomer gets it, and the next one too.
    Cause: the begun stream counted as late, and late ones went last.
    """
    order = await served(WaitQueue(), 10.0, ("fresh", 0, 10.2), ("begun", 1, 8.0, True))
    assert order == ["begun", "fresh"]


async def test_a_begun_stream_waits_behind_begun_ones_only():
    queue = WaitQueue()
    waiters = [
        asyncio.create_task(
            queue.wait(
                priority=1, objective_deadline=1.0, seconds=60.0, has_begun=begun
            )
        )
        for begun in (False, False, True)
    ]
    await asyncio.sleep(0)
    assert queue.ahead_of(1, has_begun=True) == 1
    assert queue.ahead_of(1) == 3
    for waiter in waiters:
        waiter.cancel()
    await asyncio.gather(*waiters, return_exceptions=True)


async def test_a_stream_that_leaves_the_line_as_a_place_frees_harms_no_other():
    """The look at the groups ended for good, and no stream was moved any more.

    A caller left, or a wait ran out, in the very pass of the loop in which a place was
    found for its stream. The stream stood in the queue until its own next step, so it
    was woken although its wait had ended, which failed in whoever was waking: the look
    at the groups, or the end of another stream.
    """
    queue = WaitQueue()

    def wait():
        return asyncio.create_task(
            queue.wait(priority=0, objective_deadline=0.0, seconds=5.0)
        )

    leaving, staying = wait(), wait()
    while len(queue) < 2:
        await asyncio.sleep(0)
    leaving.cancel()
    queue.wake(lambda: True, 1.0)
    assert await staying
    assert len(queue) == 0


async def test_a_turn_that_comes_as_the_time_runs_out_has_come():
    """A stream was refused although a place had been found for it in the same pass."""
    queue = WaitQueue()
    waiting = asyncio.create_task(
        queue.wait(priority=0, objective_deadline=0.0, seconds=0.0)
    )
    await asyncio.sleep(0)
    queue.wake(lambda: True, 1.0)
    assert await waiting
