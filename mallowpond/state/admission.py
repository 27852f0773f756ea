"""Admission of requests: fair queueing, expected waits and early refusal."""

import heapq
from dataclasses import dataclass, field
from itertools import count

# Smallest weight of a new sample in the moving averages of the service time.
SERVICE_SMOOTHING = 0.1
# Mean absolute deviations that the upper bound adds to the mean service time.
UPPER_BOUND_DEVIATIONS = 2.0
# Bounds of the retry delay of `refuse_if_late`, in seconds.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0
# Bounds in seconds, before jitter, of the retry delay for callers whose deadlines are a
# few seconds away; and the range of the jitter factor, which keeps callers that were
# refused together from retrying together.
SHORT_RETRY_AFTER_SECONDS = (0.1, 3.0)
RETRY_JITTER = (0.6, 1.4)


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """The entry of one waiting request; `deadline` is a time by `Clock.now`."""

    number: int
    workspace: str
    deadline: float


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request cannot be served in time; retry after `retry_after` seconds."""

    reason: str
    retry_after: float


@dataclass(kw_only=True)
class FairQueue:
    """Weighted fair queue of waiting requests; a workspace's weight is its `share`.

    Requests are ordered by their virtual finish times.
    """

    _heap: list[tuple[float, int, Ticket]] = field(default_factory=list)
    _last_finish: dict[str, float] = field(default_factory=dict)
    _cancelled: set[int] = field(default_factory=set)
    _numbers: count = field(default_factory=count)
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self._heap) - len(self._cancelled)

    def push(self, *, workspace: str, share: float, deadline: float) -> Ticket:
        """Add a request of a workspace with weight `share` and return its ticket."""
        start = max(self._virtual_time, self._last_finish.get(workspace, 0.0))
        finish = start + 1.0 / share
        self._last_finish[workspace] = finish
        number = next(self._numbers)
        ticket = Ticket(number=number, workspace=workspace, deadline=deadline)
        heapq.heappush(self._heap, (finish, number, ticket))
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request if it still waits."""
        if any(entry[2] is ticket for entry in self._heap):
            self._cancelled.add(ticket.number)

    def pop(self) -> Ticket | None:
        """Remove and return the next request, None if none waits."""
        while self._heap:
            finish, number, ticket = heapq.heappop(self._heap)
            if number in self._cancelled:
                self._cancelled.discard(number)
                continue
            self._virtual_time = max(self._virtual_time, finish)
            return ticket
        self._last_finish.clear()
        return None

    def requeue(self, ticket: Ticket) -> None:
        """Put a popped request back at the head, as no slot was free for it."""
        heapq.heappush(self._heap, (self._virtual_time, ticket.number, ticket))

    def ahead_of(self, workspace: str, share: float) -> int:
        """Estimate how many waiting requests go before a new one of a workspace.

        All cancelled requests that are still in the heap are subtracted, also those
        behind the new one, so the result may be too low.
        """
        start = max(self._virtual_time, self._last_finish.get(workspace, 0.0))
        finish = start + 1.0 / share
        before = sum(entry[0] <= finish for entry in self._heap)
        return max(0, before - len(self._cancelled))


@dataclass(kw_only=True)
class ServiceTime:
    """Moving average and deviation of the time for which requests hold a slot.

    The initial value of `seconds`, which the deployment declares, counts as the first
    sample.
    """

    seconds: float
    deviation: float = 0.0
    _samples: int = 1

    @property
    def upper_bound(self) -> float:
        """Return a time in seconds within which most requests end.

        With the mean alone, half of the requests that are admitted with just enough
        time left would miss their deadline after they have run. Under overload the
        callers could not tell whether such requests ran; a refusal shows that they did
        not.
        """
        return self.seconds + UPPER_BOUND_DEVIATIONS * self.deviation

    def record(self, seconds: float) -> None:
        """Add one observed service time in seconds."""
        self._samples += 1
        weight = max(SERVICE_SMOOTHING, 1 / self._samples)
        error = seconds - self.seconds
        self.seconds += weight * error
        self.deviation += weight * (abs(error) - self.deviation)


def expected_wait(*, ahead: int, slots: int, service_seconds: float) -> float:
    """Return the seconds until a request behind `ahead` others gets a slot.

    All slots are taken to be in use.
    """
    if slots <= 0:
        return float("inf")
    return (ahead + 1) * service_seconds / slots


def refuse_if_late(
    *, ahead: int, slots: int, service_seconds: float, remaining: float
) -> Refused | None:
    """Return a refusal if a request cannot wait and be served in `remaining` seconds.

    None if it can. `ahead` requests go before it on `slots` slots in total.
    """
    wait = expected_wait(ahead=ahead, slots=slots, service_seconds=service_seconds)
    if wait + service_seconds <= remaining:
        return None
    late_by = wait + service_seconds - remaining
    return Refused(reason="overloaded", retry_after=clamp_retry_after(late_by))


def clamp_retry_after(seconds: float) -> float:
    """Clamp a retry delay to its minimum and maximum in seconds."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))


def jittered_retry_after(seconds: float, draw: float) -> float:
    """Clamp a retry delay to the short bounds, and multiply it by a random factor.

    `draw` is a random number, uniform in [0, 1), that selects the factor.
    """
    least, most = SHORT_RETRY_AFTER_SECONDS
    low, high = RETRY_JITTER
    bounded = min(most, max(least, seconds))
    return round(bounded * (low + (high - low) * draw), 2)
