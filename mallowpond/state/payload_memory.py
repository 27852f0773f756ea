"""Bound the bytes of requests and answers that a process holds at one time.

The load pattern: many clients send bodies of the allowed size at once, also after other
hosts were lost; targets answer with large bodies, and clients read them slowly. Each
body stays within its own limit, but together they exceed the memory of the process,
which is then killed with all requests in progress.
"""

from dataclasses import dataclass, field
from math import inf

# Number of times that a body is in memory: as it was received, and in a send buffer.
COPIES = 2
# Bodies up to the first size may use all of the memory, larger ones a share of it, so
# that a few large ones, or many of middle size, do not have the usual ones refused.
USUAL_BODY_BYTES = 4 * 1024
SMALL_BODY_BYTES = 64 * 1024
SMALL_BODY_SHARE = 0.9375
LARGE_BODY_SHARE = 0.75
# Shares of the memory by size, and the part that larger bodies may not use, with zero
# for the largest.
SHARES = (1.0, SMALL_BODY_SHARE, LARGE_BODY_SHARE)
OWN_SHARES = (1.0 - SMALL_BODY_SHARE, SMALL_BODY_SHARE - LARGE_BODY_SHARE, 0.0)
LARGE = len(SHARES) - 1
# Time without progress after which a request that arrives makes room for others, in
# seconds.
STALLED_SECONDS = 0.5
# Time after its first byte from which the pace of a body is judged, in seconds, and the
# factor by which its forecast may exceed its limit: the pace of a link varies.
MIN_PACE_SECONDS = 0.5
HOPELESS_FACTOR = 1.5
# Time after its first byte from which a body may be late, in seconds, and the share of
# its limit that its forecast then exceeds.
MIN_LATE_SECONDS = 0.1
LATE_SHARE = 0.5
# Weight of the last hold in the mean time from the receipt of a body to its release,
# and that time before any was seen, in seconds.
MEAN_WEIGHT = 0.1
DEFAULT_SERVED_SECONDS = 0.5


@dataclass(kw_only=True, eq=False)
class Hold:
    """The memory of one request: its body, and an answer that is kept for it.

    began_at: when its first byte arrived.
    limit_seconds: time within which the body must arrive.
    size: bytes of bodies; announced: length of the body, 0 if it is not known.
    head_bytes: what its head takes, as so many bytes of a body.
    """

    memory: "PayloadMemory"
    began_at: float
    limit_seconds: float = inf
    announced: int = 0
    head_bytes: int = 0
    size: int = field(default=0, init=False)
    _received: int = field(default=0, init=False)
    _received_at: float | None = field(default=None, init=False)

    def try_reserve(self, size: int) -> bool:
        """Reserve memory for `size` bytes in all; return whether there is room."""
        more = size - self.size
        if more <= 0:
            return True
        return self.memory.try_add(self, more)

    def record_begin(self, now: float) -> None:
        """Record that the first byte has arrived."""
        self.began_at = now

    def record_received(self, size: int) -> None:
        """Record how many bytes of the body have arrived."""
        self._received = size

    def record_end(self, now: float) -> None:
        """Record that the whole body has arrived."""
        self._received_at = now

    def release(self, now: float) -> None:
        """Release all memory: the request has been answered."""
        if self.size:
            served = None if self._received_at is None else now - self._received_at
            self.memory.remove(self, served_seconds=served)
            self.size = 0

    def expected_end(self, now: float, *, served_seconds: float) -> float:
        """Return when the memory is expected to be released, by the pace of the body.

        served_seconds: mean time from the receipt of a body to its release.
        """
        if self._received_at is not None:
            return max(now, self._received_at + served_seconds)
        limit = self.began_at + self.limit_seconds
        return max(now, min(limit, now + self._seconds_left(now) + served_seconds))

    def is_late(self, now: float, missing: int) -> bool:
        """Return whether `missing` bytes more would take much of the time left."""
        elapsed = now - self.began_at
        if elapsed < MIN_LATE_SECONDS:
            return False
        forecast = elapsed + missing * elapsed / max(1, self._received)
        return forecast > LATE_SHARE * self.limit_seconds

    def is_hopeless(self, now: float) -> bool:
        """Return whether the body arrives too slowly to be whole by its limit."""
        if self._received_at is not None or now - self.began_at < MIN_PACE_SECONDS:
            return False
        forecast = now - self.began_at + self._seconds_left(now)
        return forecast > HOPELESS_FACTOR * self.limit_seconds

    def _seconds_left(self, now: float) -> float:
        """Return the time that the rest of the body takes at the pace seen so far."""
        missing = max(0, self.announced - self._received)
        if not missing:
            return 0.0
        return missing * (now - self.began_at) / max(1, self._received)


class PayloadMemory:
    """Counts the bytes that are held, and admits further ones."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._served_seconds = DEFAULT_SERVED_SECONDS
        # Holds of large bodies, in the order of their start.
        self._large: dict[Hold, None] = {}
        # Bytes held by bodies of each size.
        self._bytes_by_size = [0] * len(SHARES)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held now, with their copies."""
        return self._held_bytes

    @property
    def max_bytes(self) -> int:
        """Return the bytes that may be held."""
        return self._max_bytes

    @property
    def max_body_bytes(self) -> int:
        """Return the size of a body that takes all of the memory."""
        return self._max_bytes // COPIES

    def open(
        self, *, now: float, limit_seconds: float = inf, announced: int = 0
    ) -> Hold:
        """Return an empty hold of a request."""
        return Hold(
            memory=self,
            began_at=now,
            limit_seconds=limit_seconds,
            announced=announced,
        )

    def try_add(self, hold: Hold, size: int) -> bool:
        """Count `size` more bytes of a hold; return whether there is room.

        The oldest large body is always admitted, as its own limit holds and others wait
        for it; smaller ones beside it have the memory that larger ones may not use.
        """
        before, after = _size_class(hold.size), _size_class(hold.size + size)
        if not self._has_room(hold, before, after, size):
            return False
        self._bytes_by_size[before] -= COPIES * hold.size
        hold.size += size
        self._bytes_by_size[after] += COPIES * hold.size
        if after == LARGE:
            self._large[hold] = None
        self._held_bytes += COPIES * size
        return True

    def _has_room(self, hold: Hold, before: int, after: int, size: int) -> bool:
        if after == LARGE and next(iter(self._large), hold) is hold:
            return True
        if self._missing_bytes(hold.size + size, size) <= 0:
            return True
        more = COPIES * (size if before == after else hold.size + size)
        own = OWN_SHARES[after] * self._max_bytes
        return self._bytes_by_size[after] + more <= own

    def remove(self, hold: Hold, *, served_seconds: float | None) -> None:
        """Count the bytes of a hold no more."""
        self._held_bytes -= COPIES * hold.size
        self._bytes_by_size[_size_class(hold.size)] -= COPIES * hold.size
        if hold not in self._large:
            return
        del self._large[hold]
        if served_seconds is not None:
            self._served_seconds += MEAN_WEIGHT * (
                served_seconds - self._served_seconds
            )

    def seconds_until_room(self, size: int, now: float) -> float:
        """Return the expected time until a body of `size` bytes fits."""
        missing = self._missing_bytes(size, size)
        ends = sorted(
            (hold.expected_end(now, served_seconds=self._served_seconds), hold.size)
            for hold in self._large
        )
        room_at = now
        for end, released in ends:
            if missing <= 0:
                break
            room_at = end
            missing -= COPIES * released
        return room_at - now

    def hopeless_holds(self, now: float) -> list[Hold]:
        """Return the holds of bodies that cannot arrive in time."""
        return [hold for hold in self._large if hold.is_hopeless(now)]

    def _missing_bytes(self, size: int, more: int) -> float:
        """Return the bytes that `more` of a body of `size` exceed the memory by."""
        share = SHARES[_size_class(size)]
        return self._held_bytes + COPIES * more - share * self._max_bytes


def _size_class(size: int) -> int:
    """Return the place of a body's size in the shares of the memory."""
    return (size > USUAL_BODY_BYTES) + (size > SMALL_BODY_BYTES)
