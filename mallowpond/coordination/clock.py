"""The real clock behind the `Clock` port."""

import asyncio
import random
import time

# Raster of the times at which longer sleeps end, in seconds: a node's ten loops that
# look at something a few times a second then wake it together, most ten times a second.
RASTER_SECONDS = 0.1


class MonotonicClock:
    """Read this host's monotonic clock."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)


class BootClock(MonotonicClock):
    """Read the clock that also counts the time in which the host was suspended.

    Ages of leases and confirmations are counted on it: on the plain monotonic clock
    a host that wakes after ten seconds would hold a lease that lapsed long ago.
    """

    def __init__(self) -> None:
        # Drawn: with one raster for all, 195 hosts would tell the readers their work in
        # the same millisecond.
        self._phase = random.random() * RASTER_SECONDS

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Wait; from the raster on, until the nearest time of this process's raster."""
        if seconds >= RASTER_SECONDS:
            now = self.now()
            seconds = nearest_tick(now + seconds, self._phase) - now
        await asyncio.sleep(max(0.0, seconds))


def nearest_tick(due: float, phase: float) -> float:
    """Return the time of a raster that is nearest to `due`."""
    return round((due - phase) / RASTER_SECONDS) * RASTER_SECONDS + phase
