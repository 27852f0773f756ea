"""Retry budget that all entry hosts share, over a sliding window.

When a group or a data centre fails, every host moves its streams at once. Together they
may resend no more than a share of the recent requests plus a fixed number. Each host
takes an equal part of that number, as asking the others would take longer than the
streams can wait.
"""

from collections import deque
from dataclasses import dataclass, field

# Minimum time over which a rate is computed, in seconds: over less, a single request
# would give a high rate.
MIN_RATE_SECONDS = 0.5
# Share of the budget that is used, since the windows of hosts are not aligned.
USED_SHARE = 0.8


@dataclass(kw_only=True)
class RetryWindow:
    """This host's first and repeated sends to one service in the last window.

    Repeated sends may be `ratio` times the first ones, plus a host's part of `slack`.
    """

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
        _drop_before(self._firsts, now - self.window_seconds)

    @property
    def first_sends_per_second(self) -> float:
        """Return the rate of first sends over the last window, or since the first send.

        Averaged over a whole window, hosts that have just begun to serve would take the
        others for idle and send their streams to the same group.
        """
        if self._since is None:
            return 0.0
        known = max(MIN_RATE_SECONDS, self._firsts[-1] - self._since)
        return len(self._firsts) / min(self.window_seconds, known)

    @property
    def repeats(self) -> int:
        """Return the repeated sends that were counted at the last one."""
        return len(self._repeats)

    def allowed(self, hosts: int) -> float:
        """Return how many repeated sends this host may make in one window."""
        part = self.ratio * len(self._firsts) + self.slack / max(1, hosts)
        return USED_SHARE * part

    def try_repeat(self, now: float, hosts: int) -> bool:
        """Take one repeated send from this host's part, False if none is left."""
        _drop_before(self._firsts, now - self.window_seconds)
        _drop_before(self._repeats, now - self.window_seconds)
        if len(self._repeats) + 1 > self.allowed(hosts):
            return False
        self._repeats.append(now)
        return True


def _drop_before(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
