"""Learn how much later first events come than the declared timing says.

The load pattern: engines take a time before each first event that no declared figure
tells, which differs by an order of magnitude between deployments, whatever their load.
The choice of a group and the trust in a silent one go by the predicted first event, so
what is missing is learnt from those that are seen.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

# First events that the estimate rests on: a host sees as many in about ten seconds, and
# the median stands still while a few of them come from a group that died.
SAMPLES = 64
# First events below which nothing is known yet: a host sees as many in two seconds, and
# the median of fewer may be that of a single group that died.
MIN_SAMPLES = 8
# Share of the samples that come later than the longest delay that counts as usual: two
# of them, so that a stream moved from a dead group does not set the limit.
LATE_SHARE = 0.04
# Longest delay that is assumed while nothing is known, in seconds: with less, a host
# that has just started would take slow engines for dead.
DEFAULT_UPPER_BOUND_SECONDS = 1.0


@dataclass(kw_only=True)
class FirstEventDelay:
    """Keep by how much the last first events were later than predicted."""

    _errors: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))

    @property
    def typical(self) -> float:
        """Return the median delay in seconds, 0 while nothing is known."""
        if not self._is_known:
            return 0.0
        return max(0.0, median(self._errors))

    @property
    def upper_bound(self) -> float:
        """Return the delay in seconds that few first events exceed."""
        if not self._is_known:
            return DEFAULT_UPPER_BOUND_SECONDS
        ranked = sorted(self._errors, reverse=True)
        return max(0.0, ranked[int(LATE_SHARE * len(ranked))])

    @property
    def _is_known(self) -> bool:
        return len(self._errors) >= MIN_SAMPLES

    def record(
        self, *, observed: float, predicted: float, slowness: float = 1.0
    ) -> None:
        """Add one first event: the seconds that it took, and those predicted.

        What is missing on a slow group is counted as on one at its declared pace.
        """
        self._errors.append((observed - predicted) / max(1.0, slowness))
