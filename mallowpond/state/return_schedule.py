"""Choose when refused callers come back, and keep their places until then.

When a data centre is lost or a burst is over, hundreds of streams are refused within
some tenths of a second. Told to come back after the same wait, their callers return as
a second burst, in any order. Each gets a time of its own at which the forecast has room
for it, first refused first, and goes ahead of new streams if it keeps that time.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# Shortest time after which a caller may come back, in seconds.
MIN_RETRY_SECONDS = 0.1
# Longest time where the caller's deadline is unknown, in seconds.
DEFAULT_LONGEST_SECONDS = 3.0
# Share of a caller's remaining time up to which it honours Retry-After.
LONGEST_SHARE = 1.0 / 3.0
# How much before and after its time a caller may use its place, in seconds: callers
# round times and reach another host over a new connection.
EARLY_SECONDS = 0.15
LATE_SECONDS = 1.0
# Last part of the longest time over which callers without a place are spread, as a
# share, and the step between two of them: multiples of it fill the interval evenly.
SPREAD_SHARE = 0.3
SPREAD_STEP = 0.618034
# Largest number of kept places, as many as streams may wait in a queue.
MAX_PLACES = 5_000


@dataclass(frozen=True, kw_only=True)
class Place:
    """A kept place: the time `at` which its caller may return, and who was refused."""

    at: float
    asker: object


@dataclass(frozen=True, kw_only=True)
class ReturnTime:
    """Answer to a refused caller: come back after `seconds`.

    `has_place` tells whether the caller then goes ahead of new streams.
    """

    seconds: float
    has_place: bool


def longest_seconds(seconds_left: float) -> float:
    """Return the longest Retry-After that a caller with this time left honours."""
    if seconds_left <= 0.0:
        return DEFAULT_LONGEST_SECONDS
    return LONGEST_SHARE * seconds_left


@dataclass(kw_only=True)
class ReturnSchedule:
    """The kept places of one model, by fingerprint, in the order of their times."""

    _places: OrderedDict[str, Place] = field(default_factory=OrderedDict)
    _last_at: float = float("-inf")
    _unplaced: int = 0
    # Places that expired unused.
    expired: int = 0

    def __len__(self) -> int:
        return len(self._places)

    def outstanding(self, now: float) -> int:
        """Return how many places are kept."""
        self._expire(now)
        return len(self._places)

    def refused_before(
        self, fingerprint: str, asker: object, now: float
    ) -> Place | None:
        """Return the place of this same request if it was refused before.

        A refusal or its question may be lost or duplicated; the request is then told
        the same time again.
        """
        self._expire(now)
        place = self._places.get(fingerprint)
        return place if place is not None and place.asker == asker else None

    def claim(self, fingerprint: str, now: float) -> bool:
        """Return whether a caller has come back within the time of its place.

        The place is used up. A caller that comes too early keeps nothing: retries in a
        fast sequence would otherwise hit the time of their place by chance.
        """
        self._expire(now)
        place = self._places.pop(fingerprint, None)
        return place is not None and place.at - EARLY_SECONDS <= now

    def reserve(
        self,
        fingerprint: str,
        asker: object,
        *,
        now: float,
        wait: float,
        spacing: float,
        seconds_left: float = 0.0,
    ) -> ReturnTime:
        """Return the time for a refused caller, and keep a place if there is one.

        `wait` is the forecast for a stream behind all that wait and all kept places,
        `spacing` the least time between two places. A caller whose time would be
        beyond the longest one gets no place, and about the longest time.
        """
        self._expire(now)
        longest = max(MIN_RETRY_SECONDS, longest_seconds(seconds_left))
        at = max(now + max(MIN_RETRY_SECONDS, wait), self._last_at + spacing)
        if at > now + longest or len(self._places) >= MAX_PLACES or not fingerprint:
            self._unplaced += 1
            share = SPREAD_SHARE * (self._unplaced * SPREAD_STEP % 1.0)
            seconds = max(MIN_RETRY_SECONDS, longest * (1.0 - share))
            return ReturnTime(seconds=seconds, has_place=False)
        self._last_at = at
        self._places.pop(fingerprint, None)
        self._places[fingerprint] = Place(at=at, asker=asker)
        return ReturnTime(seconds=at - now, has_place=True)

    def _expire(self, now: float) -> None:
        """Drop the places whose time is over; times grow in the order of places."""
        while self._places:
            fingerprint = next(iter(self._places))
            if self._places[fingerprint].at + LATE_SECONDS >= now:
                return
            del self._places[fingerprint]
            self.expired += 1
