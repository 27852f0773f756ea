"""Leases that do not compare clocks across hosts.

The holder of leases increments a counter, its heartbeat. For an observer they have
expired once the counter has not changed for the lease time on the observer's own
monotonic clock. The holder counts the time from before it sent its last successful
renewal, so it stops first.
"""

from dataclasses import dataclass, field
from typing import Hashable


@dataclass(kw_only=True)
class ExpiryWatch:
    """Expiry of leases, by when each counter was last seen to change."""

    lease_seconds: float
    _seen: dict[Hashable, tuple[Hashable, float]] = field(default_factory=dict)

    def observe(self, key: Hashable, counter: Hashable, now: float) -> None:
        """Record the counter that was read for `key` at `now` (monotonic seconds)."""
        known = self._seen.get(key)
        if known is None or known[0] != counter:
            self._seen[key] = (counter, now)

    def postpone(self, seconds: float) -> None:
        """Extend every lease by a time in which no counter could be read.

        Without this, every lease would look expired at the first read after an outage
        of the table service, and all controllers would take over from each other at
        once.
        """
        self._seen = {k: (c, at + seconds) for k, (c, at) in self._seen.items()}

    def forget(self, key: Hashable) -> None:
        """Stop watching the counter of `key`."""
        self._seen.pop(key, None)

    def is_watched(self, key: Hashable) -> bool:
        """Return whether a counter has been read for `key`."""
        return key in self._seen

    def is_expired(self, key: Hashable, now: float) -> bool:
        """Return whether the counter of `key` has not changed for the lease time."""
        known = self._seen.get(key)
        return known is not None and now - known[1] >= self.lease_seconds


@dataclass(frozen=True, kw_only=True)
class HeldLease:
    """A lease that this process holds until a time on its own clock.

    `fence` is the fencing token, `version` the version of the stored row.
    """

    fence: int
    version: int
    valid_until: float

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may still act under this lease."""
        return now < self.valid_until
