"""Tokens of service that each workspace has received, for fair order in a queue.

One workspace that sends ten times as many requests as each of the others gets most of
the slots if they go by arrival. With the slot to the workspace that has received least,
each gets an equal share or what it asks for, whichever is less (Virtual Token Counter,
Sheng et al. 2024).

Equal shares alone would serve almost none of the requests of a workspace that keeps
asking for ten times as much, so a workspace that asks for much more than the mean has a
larger weight.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp

# Lower bound of the tokens of one request: without it, a workspace whose requests
# declare no tokens would never be charged.
MIN_TOKENS = 1.0
# Weight of one request in the average of tokens.
AVERAGE_WEIGHT = 0.05
# How many average requests a workspace may be ahead of another one that waits while its
# kept places and its streams with little patience left still go first. Chosen, not
# measured: a few requests, so that a workspace that fills the queue delays others by
# little.
LEAD_REQUESTS = 4
# Weight of a workspace for each multiple of the mean demand, if that is more than 1.
# All weights of n workspaces sum up to at most 1.35 n, so each gets at least 1 / 1.35
# of an equal share if it asks for as much, and its served share is at least
# 0.35 / 1.35, over a quarter, of that of all requests.
DEMAND_WEIGHT = 0.35
# Time constant of the average demand, and how long ago a workspace that counts in the
# mean has asked last, in seconds. Chosen, not measured: bursts last some seconds.
DEMAND_SECONDS = 5.0
ACTIVE_SECONDS = 10.0
# Interval at which the weights are computed, in seconds.
WEIGH_SECONDS = 0.25


def counted_tokens(tokens: float) -> float:
    """Return the tokens that a request counts."""
    return max(MIN_TOKENS, tokens)


@dataclass(kw_only=True)
class ServiceCounters:
    """Counters of the workspaces at one urgency.

    Urgency goes before fairness. With one counter for all urgencies, a workspace that
    received much of an urgent kind would get nothing of a less urgent one for as long
    as it takes the others to catch up.
    """

    received: dict[str, float] = field(default_factory=dict)
    # Weights of the workspaces that ask for much more than the mean.
    _weights: dict[str, float] = field(default_factory=dict)
    # By workspace: when it asked last, and the average demand then.
    _demands: dict[str, tuple[float, float]] = field(default_factory=dict)
    _weighed_at: float = float("-inf")
    # Counter, before its last grant, of the workspace served last.
    _level: float = 0.0
    _average: float = MIN_TOKENS

    @property
    def lead(self) -> float:
        """Return the lead in tokens up to which places and little patience count."""
        return LEAD_REQUESTS * self._average

    def of(self, workspace: str) -> float:
        """Return the tokens that a workspace has received."""
        return self.received.get(workspace, 0.0)

    def weight_of(self, workspace: str) -> float:
        """Return by what the tokens of a workspace are divided when it is charged."""
        return self._weights.get(workspace, 1.0)

    def charge_of(self, workspace: str, tokens: float) -> float:
        """Return what a workspace is charged for a request."""
        return counted_tokens(tokens) / self.weight_of(workspace)

    def record_arrival(self, workspace: str, tokens: float, now: float) -> None:
        """Count a request that was asked for, whether it is granted or not."""
        demand = self._demand_at(workspace, now) + counted_tokens(tokens)
        self._demands[workspace] = (now, demand)
        if now - self._weighed_at >= WEIGH_SECONDS:
            self._weigh(now)

    def _demand_at(self, workspace: str, now: float) -> float:
        at, demand = self._demands.get(workspace, (now, 0.0))
        return demand * exp(-(now - at) / DEMAND_SECONDS)

    def _weigh(self, now: float) -> None:
        self._weighed_at = now
        oldest = now - ACTIVE_SECONDS
        self._demands = {w: d for w, d in self._demands.items() if d[0] >= oldest}
        demands = {w: self._demand_at(w, now) for w in self._demands}
        mean = sum(demands.values()) / len(demands)
        weights = {w: DEMAND_WEIGHT * d / mean for w, d in demands.items()}
        self._weights = {w: weight for w, weight in weights.items() if weight > 1.0}

    def join(self, workspace: str, waiting: Iterable[str]) -> None:
        """Raise the counter of a workspace that had nothing waiting.

        It is raised to the smallest counter of those `waiting`, so that idle time
        builds up no credit; if none waits, to that of the workspace served last.
        """
        floor = min(map(self.of, waiting), default=self._level)
        self.received[workspace] = max(self.of(workspace), floor)

    def charge(self, workspace: str, tokens: float) -> None:
        """Count a granted request."""
        charge = self.charge_of(workspace, tokens)
        self._average += AVERAGE_WEIGHT * (charge - self._average)
        self._level = self.of(workspace)
        self.received[workspace] = self._level + charge
