"""Share one budget of repeated sends among all entry hosts.

The load pattern: a group or data centre dies and every host moves its streams at
once. Together they may send no more than a share of the recent requests and a fixed
number beyond; each host takes an equal part, since asking would take longer than
the streams can wait.
"""

from collections import deque
from dataclasses import dataclass, field

# Least time over which a rate is reckoned, in seconds: less would make a rate of one
# request.
MIN_RATE_SECONDS = 0.5
# Part of the budget that is used: hosts count their windows at different moments.
USED_SHARE = 0.8


@dataclass(kw_only=True)
class RetryWindow:
    """Count this host's first and repeated sends to one service."""

    ratio: float
    slack: float
    window_seconds: float
    _since: float | None = None
    _firsts: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def record_first_send(self, now: float) -> None:
        """Count the first send of a request."""
        if self._since is None:
            self._since = now
        self._firsts.append(now)
        _forget(self._firsts, now - self.window_seconds)

    @property
    def first_sends_per_second(self) -> float:
        """Return the rate of first sends over the last window, or since the first one.

        Over a whole window, hosts that have just begun to serve would take the others
        for idle, and send their streams to the same group.
        """
        if self._since is None:
            return 0.0
        known = max(MIN_RATE_SECONDS, self._firsts[-1] - self._since)
        return len(self._firsts) / min(self.window_seconds, known)

    def try_repeat(self, now: float, hosts: int) -> bool:
        """Take one repeated send out of this host's part of the budget."""
        _forget(self._firsts, now - self.window_seconds)
        _forget(self._repeats, now - self.window_seconds)
        part = self.ratio * len(self._firsts) + self.slack / max(1, hosts)
        if len(self._repeats) + 1 > USED_SHARE * part:
            return False
        self._repeats.append(now)
        return True


def _forget(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
