"""A timeout is extended by the time in which the event loop was blocked."""

import asyncio
import socket
import time

import pytest

from mallowpond.transport.timeouts import MAX_EXTENSIONS, lag_tolerant_timeout


async def test_a_limit_ends_a_wait_that_nothing_answers():
    started = time.monotonic()
    with pytest.raises(TimeoutError):
        async with lag_tolerant_timeout(0.05):
            await asyncio.Event().wait()
    assert 0.04 < time.monotonic() - started < 0.5


async def test_an_answer_that_came_while_the_loop_stood_still_counts():
    """A blocked event loop must not make hundreds of healthy targets look lost.

    A host sends a request and its loop is blocked for longer than the timeout, during
    which the response arrives. The loop then finds the expired timer and the response
    together, and the timer used to cancel the wait before the response was read.
    """
    near, far = socket.socketpair()
    left, _left_writer = await asyncio.open_connection(sock=near)
    _right_reader, right = await asyncio.open_connection(sock=far)
    async with lag_tolerant_timeout(0.05):
        right.write(b"answer")
        await right.drain()
        time.sleep(0.2)
        assert await left.readexactly(6) == b"answer"


async def test_a_loop_that_is_always_late_gives_up_in_the_end():
    passes = 0

    async def block_loop():
        nonlocal passes
        while True:
            passes += 1
            time.sleep(0.03)
            await asyncio.sleep(0)

    busy = asyncio.ensure_future(block_loop())
    with pytest.raises(TimeoutError):
        async with lag_tolerant_timeout(0.02):
            await asyncio.Event().wait()
    busy.cancel()
    await asyncio.gather(busy, return_exceptions=True)
    assert passes < 10 * MAX_EXTENSIONS


async def test_a_cancelled_wait_stays_cancelled():
    async def wait():
        async with lag_tolerant_timeout(5.0):
            await asyncio.Event().wait()

    task = asyncio.ensure_future(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
