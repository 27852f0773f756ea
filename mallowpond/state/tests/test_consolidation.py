"""Which groups across domains are closed, by load and time alone."""

from dataclasses import replace

import pytest

from mallowpond.state.consolidation import SpanningGroup, plan_consolidation
from mallowpond.state.fleet import EngineProfile, GroupPhase, ModelSpec
from mallowpond.state.formation import plan_round
from mallowpond.state.formation_view import Close, EndCause, FormationView, Join
from mallowpond.state.tests.test_formation import NOW, PROFILE, group, of_kind, target

MODEL = ModelSpec(name="m", size=4, warm_seconds=1.6)
# A full group across domains runs its streams for some 3 s.
TIMES = EngineProfile(
    slots=13,
    models=(MODEL,),
    stride=7,
    step_seconds=0.006,
    request_seconds=0.0002,
    prefill_tokens_per_second=50_000.0,
    typical_prompt_tokens=800.0,
    typical_answer_tokens=200.0,
    cross_domain_factor=2.5,
)


def reason(*, running, other_groups, other_streams, profile=TIMES):
    """Return why a group across domains is closed, None if it is kept."""
    spanning = SpanningGroup(
        key=("g", 1),
        running=running,
        other_groups=other_groups,
        other_streams=other_streams,
    )
    decision = plan_consolidation(spanning, profile, "m")
    return None if decision is None else decision.reason


@pytest.mark.parametrize("running", [1, 6, 13])
def test_one_of_two_groups_is_kept_while_the_other_is_full(running):
    """Guards against half of the slots closed while refused callers come back.

    The group was closed 0.1 to 1.3 s after it had opened, and closing took up to 4.6 s.
    """
    assert reason(running=running, other_groups=1, other_streams=13) is None


@pytest.mark.parametrize("running", [0, 5, 13])
def test_the_only_open_group_of_a_model_is_kept_while_it_has_streams(running):
    """Guards against a model without any group, with the next one only just ordered."""
    found = reason(running=running, other_groups=0, other_streams=0)
    assert found == (None if running else "room")


def test_a_group_is_closed_where_the_others_have_room():
    """Guards against calls that are served slowly although that could end for free."""
    assert reason(running=6, other_groups=1, other_streams=3) == "room"
    assert reason(running=13, other_groups=14, other_streams=120) == "room"


@pytest.mark.parametrize("other_groups", [2, 3, 14])
def test_one_of_several_full_groups_is_closed_at_once(other_groups):
    """Guards against slow groups that keep the slots full, and so are never closed.

    Three of four groups spanned domains for 14 s under load, and 344 of 810 answers
    were late.
    """
    full = 13 * other_groups
    assert reason(running=13, other_groups=other_groups, other_streams=full) == "share"


def test_a_group_that_is_not_slower_is_kept_under_load():
    """Guards against slots lost for a group that would be no faster."""
    profile = replace(TIMES, cross_domain_factor=1.0)
    load = dict(running=13, other_groups=14, other_streams=14 * 13)
    assert reason(profile=profile, **load) is None


def consolidating_view(**more):
    """Return a view with a group across domains, one within, and a free target."""
    members = group("g", 1, 3, GroupPhase.OPEN)
    members[2] = replace(members[2], domain="d1")
    within = group("h", 2, 3, GroupPhase.OPEN, domain="d1")
    return FormationView(
        profile=replace(PROFILE, cross_domain_factor=2.5),
        targets=(*members, *within, target("free", staged="small")),
        now=NOW,
        next_epoch=7,
        **more,
    )


def test_the_planner_closes_a_group_across_domains_only_with_room_elsewhere():
    """Guards against upkeep that undoes what was formed across domains for the load."""
    full = {("g", 1): 13, ("h", 2): 13}
    planned = plan_round(consolidating_view(streams=full, utilization={"small": 1.0}))
    assert of_kind(planned.steps, Close) == []
    assert planned.consolidation is None
    calm = {("g", 1): 3, ("h", 2): 2}
    planned = plan_round(consolidating_view(streams=calm, utilization={"small": 0.2}))
    (close,) = of_kind(planned.steps, Close)
    assert (close.target.id, close.cause) == ("g0", EndCause.SPANS_DOMAINS)
    assert planned.consolidation.reason == "room"
    assert of_kind(planned.steps, Join) == []


@pytest.mark.parametrize("change", ["lost", "closed", "evacuated", "broken"])
def test_a_group_that_is_about_to_end_has_no_room(change):
    """Guards against closing a group as the only other one breaks."""
    more = {
        "lost": dict(lost=frozenset({"h1"})),
        "closed": dict(closed=frozenset({("h", 2)})),
        "evacuated": dict(evacuated=frozenset({"b"})),
        # Streams are counted for groups that serve only.
        "broken": dict(streams={("g", 1): 3}),
    }[change]
    view = consolidating_view(**{"streams": {("g", 1): 3, ("h", 2): 2}, **more})
    if change == "evacuated":
        moved = [
            replace(t, data_centre="b") if t.id[0] == "h" else t for t in view.targets
        ]
        view = replace(view, targets=tuple(moved))
    assert plan_round(view).consolidation is None
