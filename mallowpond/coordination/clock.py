"""Implementations of the `Clock` port on the clocks of this host."""

import asyncio
import random
import time

# Period of the ticks on which longer sleeps end, in seconds. About ten periodic tasks
# of a node run a few times a second each; on common ticks they wake its process at most
# ten times a second together.
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

    Leases expire by it, and so do confirmations that a configuration version is still
    the newest: on the plain monotonic clock, a host that resumes after ten seconds
    would use a lease that expired long ago.
    """

    def __init__(self) -> None:
        # Random: ticks of equal phase coincide between hosts that share a boot clock,
        # as on one machine. With one phase for all, a fleet of 195 such hosts would
        # send all its load reports to the readers (the hosts that read the store for
        # the others) in the same millisecond.
        self._phase = random.random() * TICK_SECONDS

    def now(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Sleep; a time of at least one tick is rounded to end on a tick.

        The nearest tick may be up to half a period earlier or later.
        """
        if seconds >= TICK_SECONDS:
            now = self.now()
            seconds = nearest_tick(now + seconds, self._phase) - now
        await asyncio.sleep(max(0.0, seconds))


def nearest_tick(due: float, phase: float) -> float:
    """Return the tick nearest to `due`, of those at `phase` plus whole periods."""
    return round((due - phase) / TICK_SECONDS) * TICK_SECONDS + phase
