"""Choose the group that a request goes to."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from statistics import median

from mallowpond.state.ownership import owner_of

REPORT_DECAY_SECONDS = 2.0
AFFINITY_SLACK = 1.25
LATENCY_SMOOTHING = 0.2
OUTLIER_FACTOR = 3.0
OUTLIER_SAMPLES = 5
EJECT_SECONDS = 10.0
MAX_EJECTED_SHARE = 0.25


@dataclass(kw_only=True)
class TargetLoad:
    """Hold what this gateway knows of one target's load."""

    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0
    latency: float = 0.0
    samples: int = 0
    ejected_until: float = 0.0

    def estimate(self, now: float) -> float:
        """Return requests in flight: own exactly, those of others aged."""
        age = max(0.0, now - self.reported_at)
        return self.own + self.others * exp(-age / REPORT_DECAY_SECONDS)


@dataclass(kw_only=True)
class Balancer:
    """Balance by two random choices, with bounded prefix affinity and ejection."""

    rng: random.Random
    _loads: dict[str, TargetLoad] = field(default_factory=dict)

    def load(self, target: str) -> TargetLoad:
        """Return what is known of `target`."""
        return self._loads.setdefault(target, TargetLoad())

    def forget_absent(self, present: frozenset[str]) -> None:
        """Drop idle targets that are served no more."""
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
        """Return the target to use, None when every one is at its limit."""
        kept = self._without_ejected(targets, now)
        open_targets = [t for t in kept if self.load(t).estimate(now) < limit]
        if not open_targets:
            return None
        if prefix is not None:
            favourite = self._favourite(open_targets, prefix, now)
            if favourite is not None:
                return favourite
        if len(open_targets) == 1:
            return open_targets[0]
        first, second = self.rng.sample(open_targets, 2)
        return min(first, second, key=lambda t: self.load(t).estimate(now))

    def start(self, target: str) -> None:
        """Count a request that is being sent."""
        self.load(target).own += 1

    def finish(
        self,
        target: str,
        *,
        now: float,
        latency: float | None = None,
    ) -> None:
        """Count a request that has ended; `latency` is seconds a token."""
        load = self.load(target)
        load.own -= 1
        if latency is None:
            return
        known = load.latency if load.samples else latency
        load.latency = known + LATENCY_SMOOTHING * (latency - known)
        load.samples += 1
        self._eject_if_outlier(target, now)

    def record_reported_load(self, target: str, *, in_flight: int, now: float) -> None:
        """Note the load that rode on a response."""
        load = self.load(target)
        load.others = max(0.0, float(in_flight - load.own))
        load.reported_at = now

    def _favourite(self, targets: Sequence[str], prefix: str, now: float) -> str | None:
        # Without a bound a popular prefix would pile onto one group; one would see
        # its queue grow while its neighbours idle.
        favourite = owner_of(prefix, targets)
        loads = [self.load(t).estimate(now) for t in targets]
        bound = AFFINITY_SLACK * (sum(loads) + 1) / len(loads)
        if favourite is None or self.load(favourite).estimate(now) > bound:
            return None
        return favourite

    def _without_ejected(self, targets: Sequence[str], now: float) -> list[str]:
        ejected = [t for t in targets if self.load(t).ejected_until > now]
        allowed = int(len(targets) * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda t: self.load(t).latency, reverse=True)
        out = frozenset(ejected[:allowed])
        return [t for t in targets if t not in out]

    def _eject_if_outlier(self, target: str, now: float) -> None:
        known = [v for v in self._loads.values() if v.samples >= OUTLIER_SAMPLES]
        load = self.load(target)
        if len(known) < 3 or load.samples < OUTLIER_SAMPLES:
            return
        if load.latency > OUTLIER_FACTOR * median(v.latency for v in known):
            load.ejected_until = now + EJECT_SECONDS
            # A fresh look after the ejection decides on new samples alone.
            load.samples = 0
