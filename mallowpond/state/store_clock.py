"""Estimate when an answer left the table service (the store), by its monotonic clock.

The answer to a long poll shows what was newest as it left the store, not as it was
asked for. If it counted from the time of the query, a wait of two seconds would be lost
from the time for which keys may be used without the store. The time at which it left is
known within the duration of the fastest exchange so far, as the store stamps an answer
after the query was sent.
"""


class StoreClock:
    """Converts times of the store's clock to this host's, never to a later time."""

    def __init__(self) -> None:
        self._offset = float("-inf")

    def record(self, *, asked_at: float, answered_at: float | None) -> None:
        """Refine the offset between the clocks by one exchange.

        `asked_at` is when the query was sent, in seconds of this host's clock;
        `answered_at` is the store's time in the answer, None if it has none.
        """
        if answered_at is not None:
            self._offset = max(self._offset, asked_at - answered_at)

    def reset(self) -> None:
        """Drop the offset, as the store may be a new process with another clock."""
        self._offset = float("-inf")

    def to_store_time(self, at: float) -> float | None:
        """Convert this host's time to the store's, None while no offset is known."""
        return None if self._offset == float("-inf") else at - self._offset

    def from_store_time(self, at: float) -> float | None:
        """Convert the store's time to this host's, None while no offset is known."""
        return None if self._offset == float("-inf") else at + self._offset

    def answered_at(
        self, *, asked_at: float, answered_at: float | None, received_at: float
    ) -> float:
        """Return a time on this host's clock at which the answer had not yet left.

        It is between the time of the query and the arrival of the answer.
        """
        if answered_at is None:
            return asked_at
        return min(received_at, max(asked_at, answered_at + self._offset))
