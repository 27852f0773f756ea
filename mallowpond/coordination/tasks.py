"""Wait in background tasks, and end them."""

import asyncio

from mallowpond.coordination.ports import Clock


async def cancel_task(task: asyncio.Future) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def sleep_until_event(clock: Clock, seconds: float, news: asyncio.Event) -> None:
    """Sleep for a time, or until there is news before that."""
    sleep = asyncio.ensure_future(clock.sleep(seconds))
    heard = asyncio.ensure_future(news.wait())
    try:
        await asyncio.wait({sleep, heard}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleep.cancel()
        heard.cancel()
        await asyncio.gather(sleep, heard, return_exceptions=True)
