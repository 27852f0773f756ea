"""The real clock behind the `Clock` port."""

import asyncio
import time


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

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
