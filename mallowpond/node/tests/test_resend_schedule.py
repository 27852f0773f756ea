"""When pieces of news are told, and how often."""

import asyncio

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.node.tests.fakes import FakeClock


def news_of(clock, max_batch=2):
    """Write a schedule of two tellings."""
    return ResendSchedule(clock=clock, delays=(0.1, 1.0), max_batch=max_batch)


def test_each_piece_is_told_once_a_pause():
    clock = FakeClock()
    news = news_of(clock)
    news.add("a")
    assert news.take_due() == []
    clock.time += 0.1
    assert news.take_due() == ["a"]
    assert news.take_due() == []
    clock.time += 1.0
    assert news.take_due() == ["a"]
    assert len(news) == 0


def test_what_is_dropped_is_told_no_more():
    clock = FakeClock()
    news = news_of(clock)
    news.add("a")
    news.drop("a")
    clock.time += 1.0
    assert news.take_due() == []


def test_what_is_told_at_once_is_bounded():
    clock = FakeClock()
    news = news_of(clock)
    for key in "abc":
        news.add(key)
    clock.time += 0.1
    assert news.take_due() == ["a", "b"]
    assert news.take_due() == ["c"]


async def test_the_loop_tells_what_is_due_and_waits_for_more():
    clock, told = FakeClock(), []
    news = news_of(clock)
    running = asyncio.create_task(news.run(lambda: told.extend(news.take_due())))
    for key in "ab":
        news.add(key)
        while len(news):
            await asyncio.sleep(0)
    assert told == ["a", "a", "b", "b"]
    await cancel_task(running)
