"""A limit counts the time in which an answer could have been seen."""

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
    """Symptom: hundreds of sound targets are taken for lost within a second.

    Sequence: a host asks; its loop stands still for longer than the limit, in which the
    answer arrives; the limit's timer and the answer are found together.
    Cause: the timer cancelled the wait before the answer was looked at.
    """
    near, far = socket.socketpair()
    left, _held = await asyncio.open_connection(sock=near)
    _held_too, right = await asyncio.open_connection(sock=far)
    async with lag_tolerant_timeout(0.05):
        right.write(b"answer")
        await right.drain()
        time.sleep(0.2)
        assert await left.readexactly(6) == b"answer"


async def test_a_loop_that_is_always_late_gives_up_in_the_end():
    turns = 0

    async def stand_still():
        nonlocal turns
        while True:
            turns += 1
            time.sleep(0.03)
            await asyncio.sleep(0)

    busy = asyncio.ensure_future(stand_still())
    with pytest.raises(TimeoutError):
        async with lag_tolerant_timeout(0.02):
            await asyncio.Event().wait()
    busy.cancel()
    await asyncio.gather(busy, return_exceptions=True)
    assert turns < 10 * MAX_EXTENSIONS


async def test_a_cancelled_wait_stays_cancelled():
    async def wait():
        async with lag_tolerant_timeout(5.0):
            await asyncio.Event().wait()

    task = asyncio.ensure_future(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
