"""Timeouts that don't expire because this process's own event loop was blocked.

When the event loop is blocked for longer than a timeout, it finds the response and the
expired timer in the same pass, and a plain timeout wins: a host that was busy for a
second declared 852 healthy targets silent, all of which had answered.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Delay of a timer above which the loop counts as blocked, in seconds: several times the
# usual delay of a timer.
MIN_LAG_SECONDS = 0.01
# Largest number of extensions of one timeout: a wait must also end on an event loop
# that is always late.
MAX_EXTENSIONS = 3


@asynccontextmanager
async def lag_tolerant_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError after `seconds`, extended by the time the loop was blocked."""
    async with asyncio.timeout(None) as limit:
        watch = _LagWatch(limit=limit, seconds=seconds)
        try:
            yield
        finally:
            watch.close()


class _LagWatch:
    """Expires a timeout, or extends it when its timer fires late."""

    def __init__(self, *, limit: asyncio.Timeout, seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit = limit
        self._seconds = seconds
        self._extensions = 0
        self._due_at = self._loop.time() + seconds
        self._timer = self._loop.call_at(self._due_at, self._on_timer)

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _on_timer(self) -> None:
        lag = self._loop.time() - self._due_at
        if lag > MIN_LAG_SECONDS and self._extensions < MAX_EXTENSIONS:
            self._extensions += 1
            self._due_at = self._loop.time() + min(lag, self._seconds)
            self._timer = self._loop.call_at(self._due_at, self._on_timer)
            return
        self._limit.reschedule(self._loop.time())
