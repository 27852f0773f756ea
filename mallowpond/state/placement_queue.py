"""Queue of the streams of a whole fleet that wait for a slot on a group.

A burst, or the loss of several groups at once, fills every slot for seconds. In
first-come order every stream waits for the whole queue, and once that takes longer than
the objective all of them are late. With the newest first, as many streams are on time
as there are slots. Late streams get the remaining slots, and go before all others once
most of their patience is used, so that they are served rather than lost.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

# Maximum number of streams in one queue: any more could not be served in time.
MAX_WAITING = 5_000
# Last part of a late stream's patience, as a share, in which it goes before others.
AGED_SHARE = 0.3

Asker = TypeVar("Asker")


@dataclass(frozen=True, kw_only=True)
class QueueEntry:
    """Priority and deadlines of a waiting stream, on the dispatcher's clock.

    A slot after `objective_deadline` is too late for the stream's objective; at
    `deadline` it stops waiting. A lower `priority` goes first. A stream that
    `has_begun` needs a slot only for the rest of its answer: behind new streams it
    would be cut off and the work on it lost. One that `has_place` came back at the time
    that it was told, and goes before new streams of its urgency and state. `tokens` is
    the work that its `workspace` asks for.
    """

    priority: int
    objective_deadline: float
    queued_at: float
    deadline: float
    has_begun: bool = False
    workspace: str = ""
    tokens: float = 0.0
    has_place: bool = False

    @property
    def patience(self) -> float:
        """Return the maximum waiting time in seconds."""
        return self.deadline - self.queued_at

    def rank(self, number: int, now: float) -> tuple[bool, int, int, bool, int]:
        """Return the sort key of the entry that was added as `number`, lowest first.

        Streams that have begun go first. Within these and within the others, those come
        first that are late with little patience left, then those that can be on time,
        the newest first, then the other late ones.
        """
        if self.objective_deadline > now:
            return (not self.has_begun, 1, self.priority, not self.has_place, -number)
        state = 0 if self.is_aged(now) else 2
        return (not self.has_begun, state, self.priority, not self.has_place, number)

    def is_aged(self, now: float) -> bool:
        """Return whether the stream is late and has little patience left."""
        is_late = self.objective_deadline <= now
        return is_late and self.deadline - now <= AGED_SHARE * self.patience


@dataclass(kw_only=True)
class PlacementQueue(Generic[Asker]):
    """The waiting streams of one model, keyed by who asked for a slot."""

    _entries: dict[Asker, tuple[int, QueueEntry]] = field(default_factory=dict)
    _next_number: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, asker: Asker) -> bool:
        return asker in self._entries

    def add(self, asker: Asker, entry: QueueEntry) -> None:
        """Add a stream; one that waits already keeps its entry and position."""
        if asker not in self._entries:
            self._entries[asker] = (self._next_number, entry)
            self._next_number += 1

    def has_entry_ahead_of(self, entry: QueueEntry, now: float) -> bool:
        """Return whether some waiting stream goes before a new one."""
        new = entry.rank(self._next_number, now)
        return any(e.rank(n, now) < new for n, e in self._entries.values())

    def discard(self, asker: Asker) -> None:
        """Remove a stream if it waits."""
        self._entries.pop(asker, None)

    def expired(self, now: float) -> list[Asker]:
        """Return who asked for the streams whose deadline has passed."""
        return [a for a, (_, entry) in self._entries.items() if entry.deadline <= now]

    def ahead_of(self, entry: QueueEntry) -> int:
        """Return how many streams would go before this one once it is late."""
        entries = (waiting for _, waiting in self._entries.values())
        if entry.has_begun:
            return sum(waiting.has_begun for waiting in entries)
        return sum(e.has_begun or e.priority <= entry.priority for e in entries)

    def position_of(self, asker: Asker, now: float) -> int:
        """Return how many waiting streams go before one that waits, as of now."""
        number, entry = self._entries[asker]
        own = entry.rank(number, now)
        return sum(e.rank(n, now) < own for n, e in self._entries.values())

    def record_grant(self, entry: QueueEntry) -> None:
        """Record that a stream got a slot."""

    def in_order(self, now: float) -> Iterator[Asker]:
        """Yield who asked, in the order in which slots are granted."""
        ranked = sorted(
            self._entries,
            key=lambda asker: self._entries[asker][1].rank(
                self._entries[asker][0], now
            ),
        )
        yield from ranked
