"""Retry budget that all entry hosts share, over a sliding window.

When a group or a data centre fails, every host moves its streams at once. Together they
may resend no more than a share of the recent requests plus a fixed number. Each host
takes an equal part of that number, as asking the others would take longer than the
streams can wait. The number is divided by all hosts that may be at work: if only those
counted that a host hears of, parts would be given out again when hosts stop or lose
each other.
"""

from collections import deque
from dataclasses import dataclass, field

# Minimum time over which a rate is computed, in seconds: over less, a single request
# would give a high rate.
MIN_RATE_SECONDS = 0.5
# Share of the budget that is used: hosts may start that others do not count yet.
USED_SHARE = 0.8
# Time for which a repeat counts beyond the window, in seconds: it may arrive this much
# later than one that was granted after it.
ARRIVAL_SECONDS = 1.0


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

    @property
    def start_seconds(self) -> float:
        """Return the time after a start in which a process takes nothing of the slack.

        Until then the repeats of the process before it may count.
        """
        return self.window_seconds + ARRIVAL_SECONDS

    def allowed(self, hosts: int) -> float:
        """Return how many repeated sends this host may make in one window.

        The slack is divided by `hosts`; with 0 this host takes nothing of it.
        """
        slack = self.slack / hosts if hosts else 0.0
        return USED_SHARE * (self.ratio * len(self._firsts) + slack)

    def can_repeat(self, now: float, hosts: int) -> bool:
        """Return whether this host's part has a repeated send left."""
        _drop_before(self._firsts, now - self.window_seconds)
        _drop_before(self._repeats, now - self.window_seconds - ARRIVAL_SECONDS)
        return len(self._repeats) + 1 <= self.allowed(hosts)

    def try_repeat(self, now: float, hosts: int) -> bool:
        """Take one repeated send from this host's part, False if none is left."""
        if not self.can_repeat(now, hosts):
            return False
        self._repeats.append(now)
        return True


def _drop_before(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
