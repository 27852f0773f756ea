"""Cancel background tasks, and sleep until a timeout or an event."""

import asyncio

from mallowpond.coordination.ports import Clock


async def cancel_task(task: asyncio.Future) -> None:
    """Cancel a task and wait until it has ended, ignoring how it ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def sleep_until_event(clock: Clock, seconds: float, event: asyncio.Event) -> None:
    """Sleep until the event is set, but no longer than `seconds`."""
    sleep = asyncio.ensure_future(clock.sleep(seconds))
    notified = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({sleep, notified}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleep.cancel()
        notified.cancel()
        await asyncio.gather(sleep, notified, return_exceptions=True)
