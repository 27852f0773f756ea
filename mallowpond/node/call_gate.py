"""Limit the planner's concurrent calls to engines to what this host can handle.

Above the limit, answers arrive in time, but the busy event loop reads them too late.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mallowpond.coordination.ports import Clock
from mallowpond.state.call_window import CallWindow


class CallGate:
    """Admits calls in order of arrival, as many at once as the window allows."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._window = CallWindow()
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        """Return how many calls wait for admission."""
        return len(self._waiting)

    @asynccontextmanager
    async def admit(self) -> AsyncIterator[None]:
        """Wait until the call is admitted, and count it until the context ends."""
        if self._waiting or self._running >= self._window.limit:
            await self._wait()
        else:
            self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._admit_waiting()

    def record_result(self, *, answered: bool) -> None:
        """Grow the window for an answered call, shrink it for an unanswered one."""
        if answered:
            self._window.record_success()
        else:
            self._window.record_timeout(self._clock.now())

    async def _wait(self) -> None:
        admitted = asyncio.get_running_loop().create_future()
        self._waiting.append(admitted)
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted in self._waiting:
                self._waiting.remove(admitted)
            elif admitted.done() and not admitted.cancelled():
                # Admitted just before it was cancelled: the next call takes its place.
                self._running -= 1
                self._admit_waiting()
            raise

    def _admit_waiting(self) -> None:
        while self._waiting and self._running < self._window.limit:
            admitted = self._waiting.popleft()
            if not admitted.done():
                self._running += 1
                admitted.set_result(None)
