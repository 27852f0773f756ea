"""Tests of the call gate: calls are admitted in order, and no admission is lost."""

import asyncio

from mallowpond.node.call_gate import CallGate
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.state.call_window import INITIAL_CALLS


async def call_until(gate, until, began):
    """Make a call that lasts until an event."""
    async with gate.admit():
        began.append(1)
        await until.wait()


async def test_no_more_calls_run_than_the_window_allows():
    gate, until, began = CallGate(clock=FakeClock()), asyncio.Event(), []
    calls = [asyncio.ensure_future(call_until(gate, until, began)) for _ in range(100)]
    for _ in range(5):
        await asyncio.sleep(0)
    assert len(began) == INITIAL_CALLS
    assert gate.waiting == 100 - INITIAL_CALLS
    until.set()
    await asyncio.gather(*calls)
    assert len(began) == 100


async def test_a_call_that_is_given_up_takes_no_turn():
    """A planner gave no more orders.

    Waiting calls were cancelled, some in the pass of the loop that admitted them. The
    admission stayed with a call that never began.
    """
    gate, until, began = CallGate(clock=FakeClock()), asyncio.Event(), []
    first = int(INITIAL_CALLS)
    calls = [
        asyncio.ensure_future(call_until(gate, until, began)) for _ in range(first + 8)
    ]
    await asyncio.sleep(0)
    calls[-1].cancel()
    await asyncio.sleep(0)
    until.set()
    await asyncio.sleep(0)
    for call in calls[first:-1]:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    later = [
        asyncio.ensure_future(call_until(gate, until, began)) for _ in range(first)
    ]
    await asyncio.wait_for(asyncio.gather(*later), 1.0)
    assert gate.waiting == 0
