"""Order the streams of a whole fleet that wait for a place.

The load pattern: a burst, or groups lost at once, fill every place for seconds. In a
first-come order every stream waits as long as the line is, and once that passes the
objective all of them are late. With the newest first, as many are on time as there are
places. Those that have become late get what is left, and go before all others once
most of their patience is used, so that they are served rather than lost.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

# Streams that wait in one line, at most: beyond them nobody could be served in time.
MAX_WAITING = 5_000
# Share of its patience, the last part, in which a late stream goes before others.
AGED_SHARE = 0.3

Asker = TypeVar("Asker")


@dataclass(frozen=True, kw_only=True)
class QueueEntry:
    """Say what a waiting stream is owed; times are of the dispatcher's clock.

    One that `has_begun` needs a place for its rest only, and its caller has part of
    the answer: behind newcomers it would be cut off and its work lost.
    """

    priority: int
    objective_deadline: float
    queued_at: float
    deadline: float
    has_begun: bool = False

    @property
    def patience(self) -> float:
        """Return for how many seconds it waits at most."""
        return self.deadline - self.queued_at

    def rank(self, number: int, now: float) -> tuple[bool, int, int, int]:
        """Return the order of who came as `number`, lower first.

        Begun; late with little patience left; on time, the newest first; late.
        """
        if self.objective_deadline > now:
            return (not self.has_begun, 1, self.priority, -number)
        is_aged = self.deadline - now <= AGED_SHARE * self.patience
        return (not self.has_begun, 0 if is_aged else 2, self.priority, number)


@dataclass(kw_only=True)
class PlacementQueue(Generic[Asker]):
    """Hold the streams of one model that wait, each by whom to tell."""

    _claims: dict[Asker, tuple[int, QueueEntry]] = field(default_factory=dict)
    _next_number: int = 0

    def __len__(self) -> int:
        return len(self._claims)

    def __contains__(self, asker: Asker) -> bool:
        return asker in self._claims

    def join(self, asker: Asker, claim: QueueEntry) -> None:
        """Let a stream wait, or wait on where it stands."""
        if asker not in self._claims:
            self._claims[asker] = (self._next_number, claim)
            self._next_number += 1

    def goes_before(self, claim: QueueEntry, now: float) -> bool:
        """Tell whether some stream that waits goes before a new one."""
        new = claim.rank(self._next_number, now)
        return any(known.rank(n, now) < new for n, known in self._claims.values())

    def leave(self, asker: Asker) -> None:
        """Take a stream out of the line, if it stands there."""
        self._claims.pop(asker, None)

    def over(self, now: float) -> list[Asker]:
        """Return those whose time is over."""
        return [a for a, (_, claim) in self._claims.items() if claim.deadline <= now]

    def ahead_of(self, claim: QueueEntry) -> int:
        """Return how many streams go before one that would be late."""
        claims = (known for _, known in self._claims.values())
        if claim.has_begun:
            return sum(known.has_begun for known in claims)
        return sum(c.has_begun or c.priority <= claim.priority for c in claims)

    def in_order(self, now: float) -> Iterator[Asker]:
        """Yield who waits, the first first."""
        ranked = sorted(
            self._claims,
            key=lambda asker: self._claims[asker][1].rank(self._claims[asker][0], now),
        )
        yield from ranked
