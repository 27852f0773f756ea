"""Congestion window for the concurrent calls of one host.

When a fleet starts or a domain is lost, the planner has orders or queries for hundreds
of targets at once. Sent together by a host with half a core, all of them were answered
but the host read none of the answers in time. As in TCP, the window grows by one for
each round of answers and shrinks by a factor when calls time out.
"""

# Bounds and initial size of the window, in calls. The minimum still queries a large
# silent domain within a second or two; the maximum bounds the connections that one host
# opens at once.
MIN_CALLS = 16.0
MAX_CALLS = 256.0
INITIAL_CALLS = 32.0
# Factor by which a timeout shrinks the window, and time in seconds in which further
# timeouts count as the same event: their calls were in flight together.
DECREASE_FACTOR = 0.7
DECREASE_PAUSE_SECONDS = 0.2


class CallWindow:
    """Additive-increase, multiplicative-decrease limit on concurrent calls."""

    def __init__(self) -> None:
        self._limit = INITIAL_CALLS
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Return how many calls may be in flight now."""
        return int(self._limit)

    def record_success(self) -> None:
        """Grow the window for a call that was answered in time."""
        self._limit = min(MAX_CALLS, self._limit + 1.0 / self._limit)

    def record_timeout(self, now: float) -> None:
        """Shrink the window for a call that was not answered in time."""
        if now - self._shrunk_at < DECREASE_PAUSE_SECONDS:
            return
        self._shrunk_at = now
        self._limit = max(MIN_CALLS, DECREASE_FACTOR * self._limit)
