"""Decide when a group that is suspected again and again must be formed anew.

The members of a group that lost its fabric answer every probe, so that its suspicion is
cleared, and it sends no event all the same. So does a group whose engines pause for a
moment, which must not be taken apart: it goes on by itself.
"""

from dataclasses import dataclass, field

# Number of cleared suspicions, and the time over which they must go on, in seconds:
# longer than engines pause, and as long as callers wait without an event.
MIN_CLEARED = 4
MIN_SUSPECTED_SECONDS = 2.0
# Time without a suspicion after which a group counts as recovered, in seconds.
RECOVERED_SECONDS = 1.0


@dataclass(kw_only=True)
class ClearedSuspicions:
    """Suspicions of one group that were cleared since it last seemed sound."""

    _first_at: float = 0.0
    _last_at: float = field(default=float("-inf"))
    count: int = 0

    def record(self, now: float) -> None:
        """Record that a suspicion was cleared."""
        if now - self._last_at > RECOVERED_SECONDS:
            self._first_at, self.count = now, 0
        self._last_at = now
        self.count += 1

    def is_repeated(self, now: float) -> bool:
        """Return whether the group was suspected all the time for too long."""
        if now - self._last_at > RECOVERED_SECONDS or self.count < MIN_CLEARED:
            return False
        return self._last_at - self._first_at >= MIN_SUSPECTED_SECONDS
