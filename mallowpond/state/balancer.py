"""Choose the group or plain target that a request is sent to."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from statistics import median

from mallowpond.state.ownership import owner_of

# Time constant with which a reported load of other gateways decays, in seconds.
REPORT_DECAY_SECONDS = 2.0
# Load that the preferred target of a prefix may have, as a multiple of the mean.
AFFINITY_SLACK = 1.25
# Weight of a new sample in the moving average of the latency.
LATENCY_SMOOTHING = 0.2
# Multiple of the median latency from which a target is an outlier, and samples that
# are needed to tell.
OUTLIER_FACTOR = 3.0
OUTLIER_SAMPLES = 5
# Time for which an outlier is ejected, in seconds, and the largest share of the targets
# that is ejected at once.
EJECT_SECONDS = 10.0
MAX_EJECTED_SHARE = 0.25


@dataclass(kw_only=True)
class TargetLoad:
    """What this gateway knows of one target's load.

    `own` counts this gateway's requests in flight, `others` those of other gateways as
    of the report at `reported_at`. `latency` is a moving average in seconds per token.
    """

    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0
    latency: float = 0.0
    samples: int = 0
    ejected_until: float = 0.0

    def estimate(self, now: float) -> float:
        """Estimate the requests in flight; the reported load of others decays."""
        age = max(0.0, now - self.reported_at)
        return self.own + self.others * exp(-age / REPORT_DECAY_SECONDS)


@dataclass(kw_only=True)
class Balancer:
    """Balance requests over targets by the power of two random choices.

    Requests with the same prefix, a hash of the start of the prompt, prefer one target
    within a bound on its load. Latency outliers are ejected for a time.
    """

    rng: random.Random
    _loads: dict[str, TargetLoad] = field(default_factory=dict)

    def load(self, target: str) -> TargetLoad:
        """Return the load of `target`, a new record if it is not known."""
        return self._loads.setdefault(target, TargetLoad())

    def forget_absent(self, present: frozenset[str]) -> None:
        """Drop the targets that are not `present` and have no request in flight."""
        gone = [t for t, load in self._loads.items() if t not in present]
        for target in gone:
            if self._loads[target].own == 0:
                del self._loads[target]

    def choose(
        self,
        targets: Sequence[str],
        *,
        now: float,
        limit: int,
        prefix: str | None = None,
    ) -> str | None:
        """Return the target to use, None if all have `limit` requests in flight.

        Requests with the same `prefix` go to the same target while its load is within
        a bound.
        """
        candidates = self._without_ejected(targets, now)
        open_targets = [t for t in candidates if self.load(t).estimate(now) < limit]
        if not open_targets:
            return None
        if prefix is not None:
            preferred = self._preferred(open_targets, prefix, now)
            if preferred is not None:
                return preferred
        if len(open_targets) == 1:
            return open_targets[0]
        first, second = self.rng.sample(open_targets, 2)
        return min(first, second, key=lambda t: self.load(t).estimate(now))

    def start(self, target: str) -> None:
        """Count a request that is being sent to `target`."""
        self.load(target).own += 1

    def finish(
        self,
        target: str,
        *,
        now: float,
        latency: float | None = None,
    ) -> None:
        """Count a request that has ended.

        `latency` is in seconds per token, None if the request gives no sample.
        """
        load = self.load(target)
        load.own -= 1
        if latency is None:
            return
        known = load.latency if load.samples else latency
        load.latency = known + LATENCY_SMOOTHING * (latency - known)
        load.samples += 1
        self._eject_if_outlier(target, now)

    def record_reported_load(self, target: str, *, in_flight: int, now: float) -> None:
        """Record the load that a target reported with a response."""
        load = self.load(target)
        load.others = max(0.0, float(in_flight - load.own))
        load.reported_at = now

    def _preferred(self, targets: Sequence[str], prefix: str, now: float) -> str | None:
        # Without a bound, all requests with a popular prefix would queue at one group
        # while the others are idle.
        preferred = owner_of(prefix, targets)
        loads = [self.load(t).estimate(now) for t in targets]
        bound = AFFINITY_SLACK * (sum(loads) + 1) / len(loads)
        if preferred is None or self.load(preferred).estimate(now) > bound:
            return None
        return preferred

    def _without_ejected(self, targets: Sequence[str], now: float) -> list[str]:
        ejected = [t for t in targets if self.load(t).ejected_until > now]
        allowed = int(len(targets) * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda t: self.load(t).latency, reverse=True)
        excluded = frozenset(ejected[:allowed])
        return [t for t in targets if t not in excluded]

    def _eject_if_outlier(self, target: str, now: float) -> None:
        known = [v for v in self._loads.values() if v.samples >= OUTLIER_SAMPLES]
        load = self.load(target)
        if len(known) < 3 or load.samples < OUTLIER_SAMPLES:
            return
        if load.latency > OUTLIER_FACTOR * median(v.latency for v in known):
            load.ejected_until = now + EJECT_SECONDS
            # After the ejection only new samples count.
            load.samples = 0
