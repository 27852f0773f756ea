"""Decide when to close a group across domains, to form one within a domain instead.

The load pattern: several groups of a model end within seconds, and callers that were
refused come back at once. A group across domains opens from the survivors and free
targets, slower than one within a domain. Its members can join such a one only after its
streams have ended, and until then its slots are missing. Where the other groups are
full, that refuses callers for several seconds.

So a group is closed if the others have room for its work, or if its slots are a small
part of theirs. In a model of several groups it does not wait for less load: groups
across domains hold each stream for longer, and so keep the slots full themselves.
"""

from dataclasses import dataclass
from math import sqrt

from mallowpond.state.fleet import EngineProfile, GroupKey

# Standard deviations of the number of streams for which the other groups must have
# room: arrivals vary like independent ones, so their number by its square root.
ROOM_DEVIATIONS = 2.0
# Largest part of the other groups' slots that closing may take away under load: with
# more, a caller that returns within its patience may be refused each time.
MAX_LOST_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class SpanningGroup:
    """An open group across domains that a group within one of them can replace.

    `running` counts its streams, `other_groups` and `other_streams` those of its model
    that stay open.
    """

    key: GroupKey
    running: int
    other_groups: int
    other_streams: int


@dataclass(frozen=True, kw_only=True)
class Consolidation:
    """A group across domains that is closed, and why.

    reason: "room" if the other groups can take its work, "share" if its slots are a
        small part of theirs.
    """

    group: SpanningGroup
    model: str
    reason: str


def plan_consolidation(
    group: SpanningGroup, profile: EngineProfile, model: str
) -> Consolidation | None:
    """Return the decision to close a group across domains, None to keep it."""
    if _others_have_room(group, profile):
        reason = "room"
    elif _is_small_part(group, profile):
        reason = "share"
    else:
        return None
    return Consolidation(group=group, model=model, reason=reason)


def _slowdown(profile: EngineProfile) -> float:
    return max(1.0, profile.cross_domain_factor)


def _others_have_room(group: SpanningGroup, profile: EngineProfile) -> bool:
    """Return whether the other groups can take the group's work besides their own.

    A stream holds a slot of the slower group for longer, so it counts for less.
    """
    work = group.other_streams + group.running / _slowdown(profile)
    room = group.other_groups * profile.slots
    return work + ROOM_DEVIATIONS * sqrt(work) <= room


def _is_small_part(group: SpanningGroup, profile: EngineProfile) -> bool:
    """Return whether closing takes away few of the slots, and yields a faster group."""
    slowdown = _slowdown(profile)
    return slowdown > 1.0 and 1.0 / slowdown <= MAX_LOST_SHARE * group.other_groups
