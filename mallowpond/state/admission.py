"""Decide at once whether a request is sent, waits its turn, or is refused."""

import heapq
from dataclasses import dataclass, field
from itertools import count

SERVICE_SMOOTHING = 0.1
CAUTION_DEVIATIONS = 2.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0
# Bounds of the time to come back for callers whose own time is a few seconds, and its
# spread: callers refused together return apart instead of all at once.
SHORT_RETRY_AFTER_SECONDS = (0.1, 3.0)
RETRY_JITTER = (0.6, 1.4)


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Stand for one waiting request."""

    number: int
    workspace: str
    deadline: float


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request cannot be served in time; come back after `retry_after`."""

    reason: str
    retry_after: float


@dataclass(kw_only=True)
class FairQueue:
    """Order waiting requests so that workspaces share by their declared weight."""

    _heap: list[tuple[float, int, Ticket]] = field(default_factory=list)
    _last_finish: dict[str, float] = field(default_factory=dict)
    _cancelled: set[int] = field(default_factory=set)
    _numbers: count = field(default_factory=count)
    _virtual: float = 0.0

    def __len__(self) -> int:
        return len(self._heap) - len(self._cancelled)

    def push(self, *, workspace: str, share: float, deadline: float) -> Ticket:
        """Add a request and return its ticket."""
        start = max(self._virtual, self._last_finish.get(workspace, 0.0))
        finish = start + 1.0 / share
        self._last_finish[workspace] = finish
        number = next(self._numbers)
        ticket = Ticket(number=number, workspace=workspace, deadline=deadline)
        heapq.heappush(self._heap, (finish, number, ticket))
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Take back a request that still waits."""
        if any(entry[2] is ticket for entry in self._heap):
            self._cancelled.add(ticket.number)

    def pop(self) -> Ticket | None:
        """Return the request whose turn it is."""
        while self._heap:
            finish, number, ticket = heapq.heappop(self._heap)
            if number in self._cancelled:
                self._cancelled.discard(number)
                continue
            self._virtual = max(self._virtual, finish)
            return ticket
        self._last_finish.clear()
        return None

    def requeue(self, ticket: Ticket) -> None:
        """Put back a request that turned out to have no place yet."""
        heapq.heappush(self._heap, (self._virtual, ticket.number, ticket))

    def ahead_of(self, workspace: str, share: float) -> int:
        """Return how many waiting requests would go before a new one."""
        start = max(self._virtual, self._last_finish.get(workspace, 0.0))
        finish = start + 1.0 / share
        before = sum(entry[0] <= finish for entry in self._heap)
        return max(0, before - len(self._cancelled))


@dataclass(kw_only=True)
class ServiceTime:
    """Track how long requests hold a place; the declared time is a first sample."""

    seconds: float
    deviation: float = 0.0
    _samples: int = 1

    @property
    def upper_bound(self) -> float:
        """Return a time within which most requests end.

        Going by the mean alone, half of the requests that were let in at the last
        moment would miss their deadline after having run; one would see refusals
        turn from not run into unknown under overload.
        """
        return self.seconds + CAUTION_DEVIATIONS * self.deviation

    def record(self, seconds: float) -> None:
        """Add one observation."""
        self._samples += 1
        weight = max(SERVICE_SMOOTHING, 1 / self._samples)
        error = seconds - self.seconds
        self.seconds += weight * error
        self.deviation += weight * (abs(error) - self.deviation)


def expected_wait(*, ahead: int, slots: int, service_seconds: float) -> float:
    """Return the seconds until a place frees for one behind `ahead` others."""
    if slots <= 0:
        return float("inf")
    return (ahead + 1) * service_seconds / slots


def refuse_if_late(
    *, ahead: int, slots: int, service_seconds: float, remaining: float
) -> Refused | None:
    """Refuse a request at once when its deadline cannot be met in the queue."""
    wait = expected_wait(ahead=ahead, slots=slots, service_seconds=service_seconds)
    if wait + service_seconds <= remaining:
        return None
    late_by = wait + service_seconds - remaining
    return Refused(reason="overloaded", retry_after=clamp_retry_after(late_by))


def clamp_retry_after(seconds: float) -> float:
    """Keep a time to come back within what a caller can use."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))


def jittered_retry_after(seconds: float, draw: float) -> float:
    """Return a time to come back around `seconds`; `draw` is uniform in [0, 1)."""
    least, most = SHORT_RETRY_AFTER_SECONDS
    low, high = RETRY_JITTER
    bounded = min(most, max(least, seconds))
    return round(bounded * (low + (high - low) * draw), 2)
