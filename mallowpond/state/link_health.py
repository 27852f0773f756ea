"""Decide whether a host has lost its own links to the targets.

Targets fail alone, a few at a time or with their domain. A target to which a host opens
no connection, while another host does, is not at fault: the link between them is. If
that holds for targets of several domains at once, and none is reached, the host has
lost its links. A connection to a target that has failed proves nothing either way.
"""

from collections import OrderedDict
from dataclasses import dataclass

# Numbers of targets, and of their domains, that only other hosts must reach before the
# links count as lost. In a smaller fleet all targets suffice.
MIN_TARGETS = 3
MIN_DOMAINS = 2
# Number of targets that a check of lost links tries, and how many of them may fail, as
# they may be dead: links to a part of the targets are not restored links.
CHECKED_TARGETS = 5
MAX_CHECK_FAILURES = 1
# Time for which a failed or opened connection counts, in seconds.
WINDOW_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Numbers of targets and of domains to which a host may open connections."""

    targets: int
    domains: int


@dataclass(frozen=True, kw_only=True)
class LinkSummary:
    """Distinct targets and domains by the outcome of recent connections."""

    unreached: int
    unreached_domains: int
    reached_by_peers: int
    reached: int
    reached_domains: int


@dataclass(frozen=True, kw_only=True)
class _Attempt:
    domain: str
    at: float


class LinkHealth:
    """Recent outcomes of this host's connections, and what they say of its links."""

    def __init__(self) -> None:
        self._failed: OrderedDict[str, _Attempt] = OrderedDict()
        self._only_by_peers: OrderedDict[str, _Attempt] = OrderedDict()
        self._reached: OrderedDict[str, _Attempt] = OrderedDict()
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Return whether this host has lost its links to the targets."""
        return self._is_lost

    def record_reached(self, target: str, domain: str, now: float) -> None:
        """Record that this host opened a connection to a target itself."""
        self._failed.pop(target, None)
        self._add(self._reached, target, domain, now)
        if not self._is_lost:
            self._only_by_peers.clear()

    def record_unreached(
        self, target: str, domain: str, now: float, fleet: FleetSize, *, by_peer: bool
    ) -> None:
        """Record a failed connection; `by_peer`: another host opened one meanwhile."""
        self._add(self._failed, target, domain, now)
        if not by_peer:
            return
        self._add(self._only_by_peers, target, domain, now)
        if not self._is_lost and _suffices(self._only_by_peers, fleet):
            self._is_lost = True

    def record_check(self, *, reached: int, failed: int) -> None:
        """Record how many of a few targets a check of lost links reached."""
        if reached and failed <= min(MAX_CHECK_FAILURES, reached - 1):
            self._is_lost = False
            self._only_by_peers.clear()

    def summary(self, now: float) -> LinkSummary:
        """Return the counts of the recent outcomes."""
        for attempts in (self._failed, self._only_by_peers, self._reached):
            _drop_old(attempts, now)
        return LinkSummary(
            unreached=len(self._failed),
            unreached_domains=len(_domains(self._failed)),
            reached_by_peers=len(self._only_by_peers),
            reached=len(self._reached),
            reached_domains=len(_domains(self._reached)),
        )

    def _add(
        self,
        attempts: OrderedDict[str, _Attempt],
        target: str,
        domain: str,
        now: float,
    ) -> None:
        attempts[target] = _Attempt(domain=domain, at=now)
        attempts.move_to_end(target)
        _drop_old(attempts, now)


def _suffices(attempts: OrderedDict[str, _Attempt], fleet: FleetSize) -> bool:
    return len(attempts) >= min(MIN_TARGETS, fleet.targets) and len(
        _domains(attempts)
    ) >= min(MIN_DOMAINS, fleet.domains)


def _domains(attempts: OrderedDict[str, _Attempt]) -> set[str]:
    return {attempt.domain for attempt in attempts.values()}


def _drop_old(attempts: OrderedDict[str, _Attempt], now: float) -> None:
    while attempts:
        target, attempt = next(iter(attempts.items()))
        if now - attempt.at <= WINDOW_SECONDS:
            return
        del attempts[target]
