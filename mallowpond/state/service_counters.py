"""Tokens of service that each workspace has received, for fair order in a queue.

One workspace that sends ten times as many requests as each of the others gets most of
the slots if they go by arrival. With the slot to the workspace that has received least,
each gets an equal share or what it asks for, whichever is less (Virtual Token Counter,
Sheng et al. 2024).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

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


def charge_of(tokens: float) -> float:
    """Return the tokens that a request is charged."""
    return max(MIN_TOKENS, tokens)


@dataclass(kw_only=True)
class ServiceCounters:
    """Counters of the workspaces at one urgency.

    Urgency goes before fairness. With one counter for all urgencies, a workspace that
    received much of an urgent kind would get nothing of a less urgent one for as long
    as it takes the others to catch up.
    """

    received: dict[str, float] = field(default_factory=dict)
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

    def join(self, workspace: str, waiting: Iterable[str]) -> None:
        """Raise the counter of a workspace that had nothing waiting.

        It is raised to the smallest counter of those `waiting`, so that idle time
        builds up no credit; if none waits, to that of the workspace served last.
        """
        floor = min(map(self.of, waiting), default=self._level)
        self.received[workspace] = max(self.of(workspace), floor)

    def charge(self, workspace: str, tokens: float) -> None:
        """Count a granted request."""
        charge = charge_of(tokens)
        self._average += AVERAGE_WEIGHT * (charge - self._average)
        self._level = self.of(workspace)
        self.received[workspace] = self._level + charge
