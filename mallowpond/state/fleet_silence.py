"""Tell a pause that nearly all targets share from the deaths of targets.

Targets die alone, a few at a time, or with their domain. If targets of nearly all
domains fall silent at the same time, the likelier cause is one that they share: they
pause together, or a network or this process stalls. Such a silence is no evidence
against any single target. A dark domain looks different: it is silent as a whole, while
no target of the other domains is.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeVar

T = TypeVar("T")

# Share of the sampled domains that must have a silent target, and share of the sampled
# targets that must be silent.
DOMAIN_SHARE = 0.85
TARGET_SHARE = 0.4
# Number of silent targets, and of sampled domains, below which `ALL_SHARE` of the
# targets must be silent instead: in a small sample as many may be dead.
MIN_SILENT_TARGETS = 5
MIN_DOMAINS = 2
ALL_SHARE = 0.8
# Time for which a common silence is held against no target, in seconds: several times
# the longest known pause. Then the targets are likelier to be dead after all.
MAX_HOLD_SECONDS = 5.0
# Time after a common silence within which the list need not show its targets' state, in
# seconds: they write their entries when they wake, and the list is read a few times per
# second.
RELISTING_SECONDS = 0.5


# Bounds on a sample: more domains, or more targets, tell no more of a pause.
MAX_SAMPLED_DOMAINS = 10
MAX_SAMPLED_TARGETS = 40


@dataclass(frozen=True, kw_only=True)
class SilenceSurvey:
    """Numbers of sampled targets and of their domains, and of the silent ones.

    A domain counts as silent if any of its sampled targets is.
    """

    targets: int
    silent: int
    domains: int
    silent_domains: int

    @property
    def is_common(self) -> bool:
        """Return whether nearly all targets are silent for a cause that they share."""
        if self.targets < 2 or self.silent_domains < DOMAIN_SHARE * self.domains:
            return False
        if self.silent >= ALL_SHARE * self.targets:
            return True
        if self.domains < MIN_DOMAINS or self.silent < MIN_SILENT_TARGETS:
            return False
        return self.silent >= TARGET_SHARE * self.targets


def draw_sample(
    by_domain: Mapping[str, Sequence[T]], rng: Random
) -> dict[str, list[T]]:
    """Return random targets of random domains, about as many of each domain."""
    count = min(MAX_SAMPLED_DOMAINS, len(by_domain))
    domains = rng.sample(sorted(by_domain), count)
    per_domain = MAX_SAMPLED_TARGETS // max(count, 1)
    return {
        domain: rng.sample(by_domain[domain], min(per_domain, len(by_domain[domain])))
        for domain in domains
    }


class FleetSilence:
    """Whether the targets of one service are silent in common, by repeated surveys."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._ended_at = float("-inf")

    @property
    def began_at(self) -> float | None:
        """Return when the common silence began that surveys still show, if any."""
        return self._began_at

    def record(
        self, survey: SilenceSurvey, *, asked_at: float, answered_at: float
    ) -> None:
        """Record a survey, the time of its questions and that of its last answer."""
        if survey.is_common:
            if self._began_at is None:
                self._began_at = asked_at
        elif self._began_at is not None:
            self._began_at, self._ended_at = None, answered_at

    def is_held(self, now: float) -> bool:
        """Return whether silence is held against no target now."""
        return self._began_at is not None and now - self._began_at < MAX_HOLD_SECONDS

    def is_evidence(self, *, since: float, now: float) -> bool:
        """Return whether the silence of a target since a time is evidence against it.

        After a common silence it counts anew, from when the others answered again.
        """
        return not self.is_held(now) and since >= self._ended_at

    def was_held_within(self, seconds: float, now: float) -> bool:
        """Return whether a common silence lasts, or ended in the last `seconds`."""
        return self.is_held(now) or now - self._ended_at < seconds
