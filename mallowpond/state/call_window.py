"""Bound the calls that one host has under way by what it gets answered in time.

The load pattern: a fleet starts, or a domain is lost, and the planner has an order or a
question for hundreds of targets at once. Given out together by a host with half of a
core they were all answered, and none was read in time. As for congestion on a link, the
bound grows by one for each round of answers and shrinks when calls end late.
"""

# Bounds of the window, in calls: the least still asks a large silent domain within a
# second or two; the most bounds the connections that one host opens together.
MIN_CALLS = 16.0
MAX_CALLS = 256.0
INITIAL_CALLS = 32.0
# What is left of the window after a late answer, and the pause in which others that are
# late with it count as the same event, in seconds: calls that were under way together.
LATE_SHARE = 0.7
DECREASE_PAUSE_SECONDS = 0.2


class CallWindow:
    """Tell how many calls may be under way."""

    def __init__(self) -> None:
        self._limit = INITIAL_CALLS
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Return how many calls may be under way now."""
        return int(self._limit)

    def record_success(self) -> None:
        """Count a call that was answered in time."""
        self._limit = min(MAX_CALLS, self._limit + 1.0 / self._limit)

    def record_timeout(self, now: float) -> None:
        """Count a call that no answer came to in time."""
        if now - self._shrunk_at < DECREASE_PAUSE_SECONDS:
            return
        self._shrunk_at = now
        self._limit = max(MIN_CALLS, LATE_SHARE * self._limit)
