"""Estimate how much later first events come than the declared timing predicts.

Engines take some time before each first event that no declared figure covers and that
differs by an order of magnitude between deployments, whatever their load. The choice of
a group and the suspicion of a silent one depend on the predicted first event, so the
difference is estimated from observed first events.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

# First events in the window of the estimate: a host sees as many in about ten seconds,
# and a few of them from a group that died do not move the median.
WINDOW_SAMPLES = 64
# Minimum number of samples for an estimate: a host sees as many in two seconds, and
# fewer may all come from a single group that died.
MIN_SAMPLES = 8
# Share of the samples that may exceed the upper bound: two of them, so that a stream
# moved from a dead group does not set the bound.
TAIL_SHARE = 0.04
# Upper bound that is assumed while there are too few samples, in seconds: with less, a
# host that has just started would suspect slow engines to be dead.
DEFAULT_UPPER_BOUND_SECONDS = 1.0


@dataclass(kw_only=True)
class FirstEventDelay:
    """Sliding window of how much later first events came than predicted."""

    _errors: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))

    @property
    def typical(self) -> float:
        """Return the median delay in seconds, 0 while there are too few samples."""
        if not self._has_enough_samples:
            return 0.0
        return max(0.0, median(self._errors))

    @property
    def upper_bound(self) -> float:
        """Return the delay in seconds that few first events exceed."""
        if not self._has_enough_samples:
            return DEFAULT_UPPER_BOUND_SECONDS
        ranked = sorted(self._errors, reverse=True)
        return max(0.0, ranked[int(TAIL_SHARE * len(ranked))])

    @property
    def _has_enough_samples(self) -> bool:
        return len(self._errors) >= MIN_SAMPLES

    def record(
        self, *, observed: float, predicted: float, slowness: float = 1.0
    ) -> None:
        """Add one first event: the observed and the predicted time in seconds.

        The difference is divided by the group's `slowness`, so that it is comparable
        with groups that run at the declared pace.
        """
        self._errors.append((observed - predicted) / max(1.0, slowness))
