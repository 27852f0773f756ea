"""Tests of the resend schedule: when keys are due, and how often."""

import asyncio

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.node.tests.fakes import FakeClock


def make_schedule(clock, max_batch=2):
    """Return a schedule of two sends for each key."""
    return ResendSchedule(clock=clock, delays=(0.1, 1.0), max_batch=max_batch)


def test_each_piece_is_told_once_a_pause():
    clock = FakeClock()
    schedule = make_schedule(clock)
    schedule.add("a")
    assert schedule.take_due() == []
    clock.time += 0.1
    assert schedule.take_due() == ["a"]
    assert schedule.take_due() == []
    clock.time += 1.0
    assert schedule.take_due() == ["a"]
    assert len(schedule) == 0


def test_what_is_dropped_is_told_no_more():
    clock = FakeClock()
    schedule = make_schedule(clock)
    schedule.add("a")
    schedule.drop("a")
    clock.time += 1.0
    assert schedule.take_due() == []


def test_what_is_told_at_once_is_bounded():
    clock = FakeClock()
    schedule = make_schedule(clock)
    for key in "abc":
        schedule.add(key)
    clock.time += 0.1
    assert schedule.take_due() == ["a", "b"]
    assert schedule.take_due() == ["c"]


async def test_the_loop_tells_what_is_due_and_waits_for_more():
    clock, sent = FakeClock(), []
    schedule = make_schedule(clock)
    running = asyncio.create_task(
        schedule.run(lambda: sent.extend(schedule.take_due()))
    )
    for key in "ab":
        schedule.add(key)
        while len(schedule):
            await asyncio.sleep(0)
    assert sent == ["a", "a", "b", "b"]
    await cancel_task(running)
