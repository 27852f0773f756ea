"""Leases that compare no clocks across hosts.

A lease row carries a counter. An observer calls the lease lapsed when the counter
has stood still for the lease time on the observer's own monotonic clock. The holder
counts from before it sent its last successful renewal, so it stops first.
"""

from dataclasses import dataclass, field
from typing import Hashable


@dataclass(kw_only=True)
class ExpiryWatch:
    """Remember when each watched counter was last seen to move."""

    lease_seconds: float
    _seen: dict[Hashable, tuple[Hashable, float]] = field(default_factory=dict)

    def observe(self, key: Hashable, counter: Hashable, now: float) -> None:
        """Note the counter read for `key` at `now` (monotonic seconds)."""
        known = self._seen.get(key)
        if known is None or known[0] != counter:
            self._seen[key] = (counter, now)

    def postpone(self, seconds: float) -> None:
        """Move every deadline out by time in which nothing could be observed.

        While the table service is dark no counter can be seen to move. Without
        this every lease would look lapsed at the first read after an outage, and
        all controllers would take over from each other at once.
        """
        self._seen = {k: (c, at + seconds) for k, (c, at) in self._seen.items()}

    def forget(self, key: Hashable) -> None:
        """Drop what is known of `key`."""
        self._seen.pop(key, None)

    def is_watched(self, key: Hashable) -> bool:
        """Tell whether anything was observed of `key`."""
        return key in self._seen

    def is_expired(self, key: Hashable, now: float) -> bool:
        """Tell whether the counter of `key` has stood still for the lease time."""
        known = self._seen.get(key)
        return known is not None and now - known[1] >= self.lease_seconds


@dataclass(frozen=True, kw_only=True)
class HeldLease:
    """Know a lease that this process holds, up to a time on its own clock."""

    fence: int
    version: int
    valid_until: float

    def is_valid(self, now: float) -> bool:
        """Tell whether the holder may still act under this lease."""
        return now < self.valid_until
