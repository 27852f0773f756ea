"""Let calls wait for their turn while as many are under way as this host can read."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mallowpond.coordination.ports import Clock
from mallowpond.state.call_window import CallWindow


class CallGate:
    """Admit calls in their order, as many at once as the window allows."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._window = CallWindow()
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        """Return how many calls wait for their turn."""
        return len(self._waiting)

    @asynccontextmanager
    async def admit(self) -> AsyncIterator[None]:
        """Wait for a turn and hold it."""
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
        """Count how a call ended."""
        if answered:
            self._window.record_success()
        else:
            self._window.record_timeout(self._clock.now())

    async def _wait(self) -> None:
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                # The turn was given just before: it goes to the next one.
                self._running -= 1
                self._admit_waiting()
            raise

    def _admit_waiting(self) -> None:
        while self._waiting and self._running < self._window.limit:
            turn = self._waiting.popleft()
            if not turn.done():
                self._running += 1
                turn.set_result(None)
