"""Decide when to close a group across domains, to form one within a domain instead.

The load pattern: several groups of a model end within seconds, and callers that were
refused come back at once. A group across domains opens from the survivors and free
targets, slower than one within a domain. Its members can join such a one only after its
streams have ended, and until then its slots are missing. Where the other groups are
full, that refuses callers for several seconds.

So a group is closed if the others have room for its work. Under lasting load it is
closed only where its slots are a small part of the model's, once it has served for so
long that the faster group makes up for the slots lost.
"""

from dataclasses import dataclass
from math import sqrt

from mallowpond.state.fleet import EngineProfile, GroupKey, ModelSpec
from mallowpond.state.slot_forecast import hold_seconds

# Standard deviations of the number of streams for which the other groups must have
# room: arrivals vary like independent ones, so their number by its square root.
ROOM_DEVIATIONS = 2.0
# Largest part of the other groups' slots that closing may take away under load: with
# more, a caller that returns within its patience may be refused each time. With less,
# a model with a few groups keeps its slow ones, which alone keep its slots full.
MAX_LOST_SHARE = 0.25
# Time from the end of a group's last stream until its members serve again in another
# group, in seconds: leaving, joining, opening, and the list that shows each of them.
FORMING_SECONDS = 0.9


@dataclass(frozen=True, kw_only=True)
class SpanningGroup:
    """An open group across domains that a group within one of them can replace.

    `running` counts its streams, and `open_seconds` is how long it has been known.
    `other_groups` and `other_streams` count those of its model that stay open.
    """

    key: GroupKey
    running: int
    open_seconds: float
    other_groups: int
    other_streams: int


@dataclass(frozen=True, kw_only=True)
class Consolidation:
    """A group across domains that is closed, and why.

    reason: "room" if the other groups can take its work, "lasting" if it has served
        for so long that closing pays off under load.
    """

    group: SpanningGroup
    model: str
    reason: str


def plan_consolidation(
    group: SpanningGroup, profile: EngineProfile, model: ModelSpec
) -> Consolidation | None:
    """Return the decision to close a group across domains, None to keep it."""
    if _others_have_room(group, profile):
        reason = "room"
    elif _pays_off(group, profile, model):
        reason = "lasting"
    else:
        return None
    return Consolidation(group=group, model=model.name, reason=reason)


def _slowdown(profile: EngineProfile) -> float:
    return max(1.0, profile.cross_domain_factor)


def _others_have_room(group: SpanningGroup, profile: EngineProfile) -> bool:
    """Return whether the other groups can take the group's work besides their own.

    A stream holds a slot of the slower group for longer, so it counts for less.
    """
    work = group.other_streams + group.running / _slowdown(profile)
    room = group.other_groups * profile.slots
    return work + ROOM_DEVIATIONS * sqrt(work) <= room


def _pays_off(group: SpanningGroup, profile: EngineProfile, model: ModelSpec) -> bool:
    """Return whether the faster group makes up for the slots lost while closing.

    The group is expected to serve for as long again as it has served.
    """
    lost = profile.slots / _slowdown(profile)
    if lost > MAX_LOST_SHARE * group.other_groups * profile.slots:
        return False
    closing_seconds = FORMING_SECONDS + hold_seconds(
        profile,
        model,
        running=profile.slots,
        slowness=_slowdown(profile),
        prompt_tokens=profile.typical_prompt_tokens,
        answer_tokens=profile.typical_answer_tokens,
    )
    gained = profile.slots - lost
    return gained * group.open_seconds >= lost * closing_seconds
