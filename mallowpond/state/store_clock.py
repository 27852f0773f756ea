"""Tell when the store gave an answer, by its own steady clock.

An answer that waited at the store for news says what was newest as it left, not as it
was asked for; taken as of the question, a wait of two seconds would be two seconds
missing of the time for which keys may be used without the store. When it left is known
within the time of the fastest exchange so far: the store's clock stood at `now` in some
answer after that one's question was sent.
"""


class StoreClock:
    """Turn times of the store's clock into ones of this host's, never too late."""

    def __init__(self) -> None:
        self._offset = float("-inf")

    def record(self, *, asked_at: float, answered_at: float | None) -> None:
        """Take an answer's time by the store, in seconds of its clock."""
        if answered_at is not None:
            self._offset = max(self._offset, asked_at - answered_at)

    def reset(self) -> None:
        """Drop what was learnt: the store may be another process with another clock."""
        self._offset = float("-inf")

    def to_store_time(self, at: float) -> float | None:
        """Return this host's time on the store's clock, None while it is not known."""
        return None if self._offset == float("-inf") else at - self._offset

    def from_store_time(self, at: float) -> float | None:
        """Return a time of the store's clock on this host's, None if not known."""
        return None if self._offset == float("-inf") else at + self._offset

    def answered_at(
        self, *, asked_at: float, answered_at: float | None, received_at: float
    ) -> float:
        """Return a time on this host's clock at which the answer had not left yet.

        At the earliest that of the question, at the latest that of its arrival.
        """
        if answered_at is None:
            return asked_at
        return min(received_at, max(asked_at, answered_at + self._offset))
