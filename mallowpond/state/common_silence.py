"""Tell a silence that nearly all groups share from the silence of dead groups.

Groups die alone, a few at a time, or with their domain. If nearly all groups of several
domains fall silent at the same time, the likelier cause is one that they share: the
engines pause together, or a network or this process stalls. Such a silence is no
evidence against any single group, and no other group could take its streams.
"""

from collections.abc import Collection
from dataclasses import dataclass

from mallowpond.state.silence import has_advanced

# Numbers of groups, and of their domains, that must be watched before their silence
# counts as common. In a smaller fleet all of its groups suffice.
MIN_GROUPS = 3
MIN_DOMAINS = 2
# Share of the watched groups that must be silent: more than die together when half of
# the domains fail, or two of three.
COMMON_SHARE = 0.85


@dataclass(frozen=True, kw_only=True)
class WatchedGroup:
    """The silence of a group that is due to send an event to this host, in seconds."""

    domain: str
    silent_seconds: float


@dataclass(frozen=True, kw_only=True)
class SilenceSummary:
    """Numbers of the watched groups and of their domains, and of the silent groups."""

    groups: int
    domains: int
    silent: int


def summarize_silence(
    groups: Collection[WatchedGroup], silent_seconds: float
) -> SilenceSummary:
    """Count the groups that fell silent about when one did, `silent_seconds` ago."""
    silent = sum(
        not has_advanced(own_silence=g.silent_seconds, peer_silence=silent_seconds)
        for g in groups
    )
    domains = len({group.domain for group in groups})
    return SilenceSummary(groups=len(groups), domains=domains, silent=silent)


def is_common(
    summary: SilenceSummary,
    *,
    groups: int,
    domains: int,
    share: float = COMMON_SHARE,
    min_groups: int = MIN_GROUPS,
) -> bool:
    """Return whether nearly all groups are silent for a cause that they share.

    `groups` and `domains` are the numbers that serve, watched or not.
    """
    if summary.groups < max(2, min(min_groups, groups)):
        return False
    if summary.domains < min(MIN_DOMAINS, domains):
        return False
    return summary.silent >= share * summary.groups
