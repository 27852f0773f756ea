"""End background tasks."""

import asyncio


async def cancel_task(task: asyncio.Future) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
