"""Let streams wait for a place, in order, or refuse them at once.

The load pattern: a burst, or groups lost at once, fill every place for a second or
two. A stream that gets a place within its caller's patience is served late instead
of lost; one that would wait longer is refused while its caller can still come back.
"""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

# Share of a caller's patience that a stream may wait here for a place: the rest is
# for reading the prompt and the first pass.
WAIT_SHARE = 0.6
# Bounds of the time to come back, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 3.0
# Spread of the time to come back: callers refused together return apart.
RETRY_SPREAD = (0.6, 1.4)


def expected_wait(
    *, ahead: int, places: float, hold_seconds: float, hosts: int
) -> float:
    """Return the seconds until this host's next place, behind `ahead` others.

    Places free at `places / hold_seconds` a second; each host takes its part.
    """
    if places <= 0:
        return float("inf")
    return (ahead + 1) * hold_seconds * max(1, hosts) / places


def retry_after(wait_seconds: float, draw: float) -> float:
    """Return the time to come back after; `draw` is uniform in [0, 1)."""
    low, high = RETRY_SPREAD
    spread = low + (high - low) * draw
    bounded = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))
    return round(bounded * spread, 2)


@dataclass(kw_only=True)
class WaitingLine:
    """Wake waiting streams by priority, then by deadline."""

    _heap: list[tuple[int, float, int, asyncio.Future[None]]] = field(
        default_factory=list
    )
    _numbers: count = field(default_factory=count)

    def __len__(self) -> int:
        return sum(1 for entry in self._heap if not entry[3].done())

    def ahead_of(self, priority: int, deadline: float) -> int:
        """Return how many waiting streams would go first."""
        mine = (priority, deadline)
        return sum(1 for e in self._heap if e[:2] <= mine and not e[3].done())

    async def wait(self, priority: int, deadline: float, seconds: float) -> bool:
        """Wait for a turn; return False when it did not come in time."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._heap, (priority, deadline, next(self._numbers), turn))
        try:
            async with asyncio.timeout(seconds):
                await turn
        except TimeoutError:
            return False
        finally:
            turn.cancel()
        return True

    def wake(self, has_place: Callable[[], bool]) -> None:
        """Wake the first stream if there is a place; it wakes the next one."""
        while self._heap and self._heap[0][3].done():
            heapq.heappop(self._heap)
        if self._heap and has_place():
            entry = heapq.heappop(self._heap)
            entry[3].set_result(None)
