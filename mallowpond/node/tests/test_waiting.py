"""The order in which waiting streams are woken, and how waits end."""

import asyncio

from mallowpond.node.waiting import WaitQueue


async def wake_order(queue, now, *streams):
    """Return the order in which waiting streams get slots that come free one by one."""
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
    """In a burst every stream was late although half could have been on time.

    More streams came than there were slots, and the queue took longer than the
    objective. Slots went by arrival, so each stream waited for the whole queue.
    """
    order = await wake_order(
        WaitQueue(), 10.0, ("late", 1, 9.0), ("fresh", 1, 10.2), ("second", 1, 10.3)
    )
    assert order == ["fresh", "second", "late"]


async def test_a_more_urgent_stream_goes_before_an_equal_one():
    order = await wake_order(WaitQueue(), 10.0, ("low", 2, 11.0), ("high", 0, 11.0))
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
    """Answers were cut off in the middle while new ones began.

    A group died while all slots were taken, and new streams got the slots that came
    free: a stream that had begun counted as late, and late ones went last.
    """
    order = await wake_order(
        WaitQueue(), 10.0, ("fresh", 0, 10.2), ("begun", 1, 8.0, True)
    )
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
    """The group watch ended for good, and no stream was moved any more.

    A caller left, or a wait timed out, in the same iteration of the event loop in which
    a slot was found for its stream. The stream stayed in the queue until its task ran
    again, so it was woken although its wait had ended. That raised in the waking task:
    the group watch, or another stream that ended.
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
    """A stream was refused although a slot was found in the same loop iteration."""
    queue = WaitQueue()
    waiting = asyncio.create_task(
        queue.wait(priority=0, objective_deadline=0.0, seconds=0.0)
    )
    await asyncio.sleep(0)
    queue.wake(lambda: True, 1.0)
    assert await waiting
