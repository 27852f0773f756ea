"""Implementations of the `Clock` port on the clocks of this host."""

import asyncio
import random
import time

# Period of the ticks on which longer sleeps end, in seconds. A node's ten loops run a
# few times a second; on common ticks they wake it at most ten times a second.
TICK_SECONDS = 0.1


class MonotonicClock:
    """Clock on this host's monotonic time, which stops while the host is suspended."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""
        await asyncio.sleep(seconds)


class BootClock(MonotonicClock):
    """Clock that also counts the time while the host was suspended.

    Ages of leases and confirmations are measured on it: on the plain monotonic clock, a
    host that resumes after ten seconds would use a lease that expired long ago.
    """

    def __init__(self) -> None:
        # Random, as with one phase for all, 195 hosts would send their work to the
        # readers in the same millisecond.
        self._phase = random.random() * TICK_SECONDS

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Sleep; for a tick or longer, until the nearest tick of this process."""
        if seconds >= TICK_SECONDS:
            now = self.now()
            seconds = nearest_tick(now + seconds, self._phase) - now
        await asyncio.sleep(max(0.0, seconds))


def nearest_tick(due: float, phase: float) -> float:
    """Return the tick nearest to `due`; ticks are at `phase` plus whole periods."""
    return round((due - phase) / TICK_SECONDS) * TICK_SECONDS + phase
