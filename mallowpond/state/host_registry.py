"""Count the hosts that may be at work, whether this one hears of them or not.

What all hosts share without asking each other is divided by their number. A host that
is cut off may still take its part, so it is counted for longer than it may take it.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

# Interval between two writes of a host's row, the age of the last write from which the
# host takes no part any more, and the time for which others count a host after the last
# sign of it, all in seconds.
RENEW_SECONDS = 600.0
REGISTERED_SECONDS = 1200.0
COUNTED_SECONDS = 1800.0


@dataclass(kw_only=True)
class HostRegistry:
    """The other hosts of which a sign was seen lately, and this host's registration.

    A sign is a heartbeat, or a row that has changed or is read for the first time.
    """

    _seen_at: dict[str, float] = field(default_factory=dict)
    _row_versions: dict[str, int] = field(default_factory=dict)
    _written_at: float = float("-inf")
    _is_read: bool = False

    def record_heard(self, name: str, now: float) -> None:
        """Record a heartbeat of a host."""
        self._seen_at[name] = now

    def record_rows(self, versions: dict[str, int], now: float) -> None:
        """Record the versions of the other hosts' rows, which were all read."""
        for name, version in versions.items():
            if self._row_versions.get(name) != version:
                self._seen_at[name] = now
        self._row_versions = versions
        self._is_read = True

    def record_written(self, sent_at: float) -> None:
        """Record that this host's own row was written, by a call sent at a time."""
        self._written_at = sent_at

    def is_renewal_due(self, now: float) -> bool:
        """Return whether this host must write its row again."""
        return now - self._written_at >= RENEW_SECONDS

    def is_registered(self, now: float) -> bool:
        """Return whether all others count this host, and it knows of them."""
        return self._is_read and now - self._written_at < REGISTERED_SECONDS

    def count(self, now: float) -> int:
        """Return the number of hosts that may be at work, this one included."""
        return 1 + sum(now - at < COUNTED_SECONDS for at in self._seen_at.values())

    def take_stale(self, now: float) -> Collection[str]:
        """Return and forget the hosts that are no longer counted."""
        stale = [n for n, at in self._seen_at.items() if now - at >= COUNTED_SECONDS]
        for name in stale:
            del self._seen_at[name]
        return stale
