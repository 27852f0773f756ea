"""The placement queue that sorts all streams at each grant, as a reference.

It knows no workspaces. The tests compare the order with it, the bench the cost.
"""

from mallowpond.state.placement_queue import AGED_SHARE


def rank(entry, number, now):
    """Return the sort key of the entry that was added as `number`, lowest first."""
    if entry.objective_deadline > now:
        return (not entry.has_begun, 1, entry.priority, -number)
    is_aged = entry.deadline - now <= AGED_SHARE * entry.patience
    return (not entry.has_begun, 0 if is_aged else 2, entry.priority, number)


class SortedQueue:
    """The waiting streams of one model, sorted when they are read."""

    def __init__(self):
        self._entries = {}
        self._next_number = 0

    def __len__(self):
        return len(self._entries)

    def add(self, asker, entry):
        """Add a stream; one that waits already keeps its entry and position."""
        if asker not in self._entries:
            self._entries[asker] = (self._next_number, entry)
            self._next_number += 1

    def discard(self, asker):
        """Remove a stream if it waits."""
        self._entries.pop(asker, None)

    def record_arrival(self, entry, now):
        """Count nothing."""

    def record_grant(self, entry):
        """Count nothing."""

    def entry_of(self, asker):
        """Return the entry of a stream that waits."""
        return self._entries[asker][1]

    def has_entry_ahead_of(self, entry, now):
        """Return whether some waiting stream goes before a new one."""
        new = rank(entry, self._next_number, now)
        return any(rank(e, n, now) < new for n, e in self._entries.values())

    def expired(self, now):
        """Return who asked for the streams whose deadline has passed."""
        return [a for a, (_, entry) in self._entries.items() if entry.deadline <= now]

    def ahead_of(self, entry):
        """Return how many streams would go before this one once it is late."""
        entries = (waiting for _, waiting in self._entries.values())
        if entry.has_begun:
            return sum(waiting.has_begun for waiting in entries)
        return sum(e.has_begun or e.priority <= entry.priority for e in entries)

    def in_order(self, now):
        """Yield who asked, in the order in which slots are granted."""

        def key(asker):
            number, entry = self._entries[asker]
            return rank(entry, number, now)

        yield from sorted(self._entries, key=key)

    def position_of(self, asker, now):
        """Return how many streams go before one that waits."""
        return list(self.in_order(now)).index(asker)
