"""Limit waits by time in which this process could have seen an answer.

A loop that stands still for longer than a limit finds the answer and the end of the
limit together, and the limit won: a host that was busy for a second took 852 sound
targets for silent, all of which had answered.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Delay of a timer from which the loop counts as having stood still, in seconds: several
# times the usual delay of a timer.
LAG_SECONDS = 0.01
# Times that a limit is put off by the loop's own delay, at most: a loop that is always
# late must still give up some time.
MOST_DELAYS = 3


@asynccontextmanager
async def answer_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError after `seconds`, put off by the time the loop stood still."""
    async with asyncio.timeout(None) as limit:
        watch = _LagWatch(limit=limit, seconds=seconds)
        try:
            yield
        finally:
            watch.close()


class _LagWatch:
    def __init__(self, *, limit: asyncio.Timeout, seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit = limit
        self._seconds = seconds
        self._delays = 0
        self._due_at = self._loop.time() + seconds
        self._timer = self._loop.call_at(self._due_at, self._look)

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _look(self) -> None:
        lag = self._loop.time() - self._due_at
        if lag > LAG_SECONDS and self._delays < MOST_DELAYS:
            self._delays += 1
            self._due_at = self._loop.time() + min(lag, self._seconds)
            self._timer = self._loop.call_at(self._due_at, self._look)
            return
        self._limit.reschedule(self._loop.time())
