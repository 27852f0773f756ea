"""Orders of the formation planner for small fleets."""

from dataclasses import replace

import pytest

from mallowpond.state.fleet import (
    EngineProfile,
    GroupPhase,
    Membership,
    ModelSpec,
    Target,
)
from mallowpond.state.formation import plan_steps
from mallowpond.state.formation_view import (
    Close,
    Formation,
    FormationView,
    Join,
    Leave,
    Open,
    Stage,
)
from mallowpond.state.upkeep import LEAVING_MEMBER_SECONDS

LARGE = ModelSpec(name="large", size=4, share=0.5, load_seconds=16, warm_seconds=1.6)
SMALL = ModelSpec(name="small", size=3, share=0.5, load_seconds=12, warm_seconds=1.1)
PROFILE = EngineProfile(
    slots=13, models=(LARGE, SMALL), loads_per_second=4.5, loads_at_once=6
)
NOW = 100.0


def target(name, domain="d0", *, staged="", group=None, rank=0, phase=None, **more):
    """Return a target; `group` is a name and an epoch."""
    membership = None
    if group is not None:
        membership = Membership(
            group=group[0],
            epoch=group[1],
            rank=rank,
            phase=phase or GroupPhase.READY,
        )
    return Target(
        id=name,
        service="engines",
        address=f"{name}:1",
        data_centre="a",
        slots=13,
        domain=domain,
        staged=(staged,) if staged else (),
        model=staged if group else "",
        membership=membership,
        **more,
    )


def group(name, epoch, size, phase, *, domain="d0", model="small"):
    """Return the members of a complete group; only the head has `phase`."""
    key = (name, epoch)
    phases = [phase] + [GroupPhase.READY] * (size - 1)
    return [
        target(
            f"{name}{rank}",
            domain,
            staged=model,
            group=key,
            rank=rank,
            phase=phases[rank],
        )
        for rank in range(size)
    ]


def plan(targets, **more):
    """Return the orders for these targets; `more` are fields of the view."""
    view = FormationView(
        profile=PROFILE, targets=tuple(targets), now=NOW, next_epoch=7, **more
    )
    return plan_steps(view)


def of_kind(steps, kind):
    """Return the orders of one class."""
    return [step for step in steps if isinstance(step, kind)]


def test_an_empty_fleet_is_formed_whole_before_traffic():
    steps = plan([target(f"t{i}") for i in range(9)], is_before_traffic=True)
    joins = of_kind(steps, Join)
    groups = {}
    for join in joins:
        groups.setdefault(join.group, []).append(join)
    sizes = sorted(len(members) for members in groups.values())
    assert sizes == [3, 4]
    for members in groups.values():
        assert {m.target.id for m in members} == set(members[0].members)
    assert len(of_kind(steps, Stage)) == 2


def models_by_domain(steps):
    """Return the models that the orders bring into each domain, staged ones too."""
    models = {}
    for step in (*of_kind(steps, Join), *of_kind(steps, Stage)):
        models.setdefault(step.target.domain, []).append(step.model)
    return models


def test_a_domain_carries_one_model_with_its_own_spare():
    """Each domain gets one model, so that every spare can replace any lost member.

    With two models in a domain, two members of one group died and the second free
    engine had the other model's weights. The group stayed down for a load.
    """
    fleet = [target(f"{d}{i}", d) for d in ("d0", "d1") for i in range(9)]
    models = models_by_domain(plan(fleet, is_before_traffic=True))
    assert sorted(sorted(set(m)) for m in models.values()) == [["large"], ["small"]]
    assert [len(found) for found in models.values()] == [9, 9]


def test_shares_of_the_work_are_counted_in_engines():
    """Models of different size with equal shares get equally many engines.

    When shares were taken as shares of the groups, a model with groups of 8 got four
    times the engines of one with groups of 2. One of them then had requests waiting
    while the other was idle.
    """
    wide = ModelSpec(name="wide", size=8, share=0.5, load_seconds=16)
    slim = ModelSpec(name="slim", size=2, share=0.5, load_seconds=16)
    view = FormationView(
        profile=EngineProfile(slots=13, models=(wide, slim)),
        targets=tuple(target(f"{d}{i}", f"d{d}") for d in range(4) for i in range(20)),
        now=NOW,
        next_epoch=7,
        is_before_traffic=True,
    )
    models = [join.model for join in of_kind(plan_steps(view), Join)]
    assert abs(models.count("wide") - models.count("slim")) <= wide.size


def test_nothing_is_formed_while_targets_still_arrive():
    """No group is formed while targets are still being registered.

    Planned from an incomplete list, a domain of nine was cut into three groups of three
    without a spare.
    """
    targets = [target(f"t{i}") for i in range(5)]
    steps = plan(targets, is_before_traffic=True, newest_target_at=NOW - 0.1)
    assert steps == ()


def test_a_working_group_is_left_alone():
    assert plan(group("g", 1, 3, GroupPhase.OPEN)) == ()


def test_a_whole_ready_group_is_opened_also_when_another_planner_formed_it():
    (step,) = plan(group("g", 1, 3, GroupPhase.READY))
    assert step == Open(target=step.target, group="g", epoch=1)
    assert step.target.id == "g0"


def test_a_group_is_not_opened_before_every_member_is_ready():
    """A group whose third member is still joining is not opened.

    Engines do not check the other members, so if the planner went by the head alone, a
    request would run in a group that lacks a member's weights.
    """
    members = group("g", 1, 3, GroupPhase.READY)
    joining = target("g2", staged="small", group=("g", 1), rank=2)
    place = Membership(group="g", epoch=1, rank=2, phase=GroupPhase.JOINING)
    joining = replace(joining, membership=place)
    assert of_kind(plan([*members[:2], joining]), Open) == []


def test_members_leave_before_they_join_again():
    """Survivors of a dead group must leave it before they join another one.

    The list shows the head as ready while an order to open it is under way. A join that
    replaces such a membership would put a host in two groups, one of them open.
    """
    members = group("g", 1, 3, GroupPhase.READY)
    spare = target("s", staged="small")
    steps = plan([*members, spare], lost=frozenset({"g2"}))
    assert {s.target.id for s in of_kind(steps, Leave)} == {"g0", "g1"}
    assert of_kind(steps, Join) == []


def test_survivors_and_a_staged_spare_form_again_at_once():
    survivors = [target("a", staged="small"), target("b", staged="small")]
    spare = target("s", staged="small")
    cold = target("c")
    joins = of_kind(plan([*survivors, cold, spare]), Join)
    assert {join.target.id for join in joins} == {"a", "b", "s"}
    assert not any(join.loads for join in joins)


def leaving_group(rank):
    """Return an open group of three with one member that will stop soon."""
    members = group("g", 1, 3, GroupPhase.OPEN)
    members[rank] = replace(members[rank], draining=True)
    return members


def test_a_group_with_a_leaving_member_is_closed_gracefully():
    spare = target("s", staged="small")
    (close,) = of_kind(plan([*leaving_group(rank=2), spare]), Close)
    assert close.target.id == "g0"
    assert not close.evict


def test_a_group_with_a_leaving_head_is_closed_at_once():
    (close,) = of_kind(plan(leaving_group(rank=0)), Close)
    assert not close.evict


def test_a_group_serves_on_with_a_leaving_member_until_it_must_go():
    """A group with a leaving member serves until that member must stop.

    A member that is not the head stays for up to 10 s. When its group was closed at
    once and no other engine in the domain had the weights, the new engine needed 16 s
    to load them, and half of the groups were down during a rolling replacement.
    """
    members = leaving_group(rank=2)
    early = {"g2": NOW - LEAVING_MEMBER_SECONDS + 0.1}
    late = {"g2": NOW - LEAVING_MEMBER_SECONDS - 0.1}
    assert plan(members, leaving_since=early) == ()
    (close,) = of_kind(plan(members, leaving_since=late), Close)
    assert not close.evict


def test_a_closing_group_that_loses_a_member_is_taken_apart():
    """A closing group is dissolved when a member dies before the work has ended.

    Left alone until the head reported the break, its survivors were unused for four
    seconds.
    """
    members = group("g", 1, 3, GroupPhase.CLOSING)
    assert plan(members) == ()
    steps = plan(members, lost=frozenset({"g2"}))
    assert {s.target.id for s in of_kind(steps, Leave)} == {"g0", "g1"}


def test_a_closed_group_is_taken_apart_and_not_opened_again():
    """A group that was closed to be formed anew is not opened again.

    Once closed it looks complete and ready. Without a record that it was closed, one
    group was opened and closed twice per second and served nobody.
    """
    members = group("g", 1, 3, GroupPhase.READY)
    steps = plan(members, closed=frozenset({("g", 1)}))
    assert of_kind(steps, Open) == []
    assert len(of_kind(steps, Leave)) == 3


def test_a_member_that_only_fell_out_of_the_list_does_not_end_its_group():
    members = group("g", 1, 3, GroupPhase.OPEN)
    assert plan(members[:2]) == ()


def test_no_entry_counts_as_missing_just_after_a_store_outage():
    members = group("g", 1, 3, GroupPhase.OPEN)
    spare = target("s", staged="small")
    assert plan([*members[:2], spare], is_settled=False) == ()


def test_a_join_is_not_repeated_for_a_group_that_a_member_has_left_behind():
    """A formation ends when one of its members has joined a later group.

    It can never be complete. When it was kept, hundreds of joins were rejected because
    their epoch was old.
    """
    forming = group("g", 1, 3, GroupPhase.READY)[:2]
    moved = target("g2", staged="small", group=("h", 5), rank=0)
    known = Formation(
        group="g", epoch=1, model="small", members=("g0", "g1", "g2"), ordered_at=NOW
    )
    steps = plan([*forming, moved], formations={("g", 1): known})
    assert of_kind(steps, Join) == []
    assert {"g0", "g1"} <= {s.target.id for s in of_kind(steps, Leave)}


def test_a_join_is_not_repeated_for_a_target_that_turns_out_to_stand_elsewhere():
    """A formation ends when the list shows a member in an earlier group that works.

    After a store outage, a new planner's list shows a target as free. Its join is not
    sent because the target's report names a group. The list then shows that group
    complete, and it is opened. When only later groups ended a formation, the join was
    ordered again, and a host joined a second group while its first one was open.
    """
    standing = group("old", 1, 3, GroupPhase.OPEN)
    joined = target("g1", staged="small", group=("g", 5), rank=1)
    known = Formation(
        group="g", epoch=5, model="small", members=("old0", "g1", "g2"), ordered_at=NOW
    )
    steps = plan(
        [*standing, joined, target("g2", staged="small")], formations={("g", 5): known}
    )
    assert of_kind(steps, Join) == []
    assert [step.target.id for step in of_kind(steps, Leave)] == ["g1"]


def test_a_target_whose_join_is_under_way_is_not_taken_for_another_group():
    """All members of a formation stay reserved until they have joined it.

    Of three joins, one is accepted and two get no answer, so two targets look free.
    When only formations without any listed member reserved their targets, a second
    group was formed of them while the joins were repeated, and a host was in two
    groups.
    """
    first = target("g2", staged="small", group=("g", 1), rank=2)
    waiting = [target("g0", staged="small"), target("g1", staged="small")]
    spare = target("s", staged="small")
    known = Formation(
        group="g", epoch=1, model="small", members=("g0", "g1", "g2"), ordered_at=NOW
    )
    joins = of_kind(plan([first, *waiting, spare], formations={("g", 1): known}), Join)
    assert {(join.target.id, join.group) for join in joins} == {
        ("g0", "g"),
        ("g1", "g"),
    }


def test_targets_stay_reserved_also_once_the_head_has_joined():
    head = target("g0", staged="small", group=("g", 1), rank=0)
    waiting = [target("g1", staged="small"), target("g2", staged="small")]
    spare = target("s", staged="small")
    known = Formation(
        group="g", epoch=1, model="small", members=("g0", "g1", "g2"), ordered_at=NOW
    )
    joins = of_kind(plan([head, *waiting, spare], formations={("g", 1): known}), Join)
    assert {(join.target.id, join.group) for join in joins} == {
        ("g1", "g"),
        ("g2", "g"),
    }


def test_loads_go_where_they_complete_a_group():
    near = [target(f"n{i}", "d0", staged="large") for i in range(3)]
    cold = [target("c0", "d0"), target("c1", "d1")]
    stages = of_kind(plan([*near, *cold], loads_begun=(NOW, NOW)), Stage)
    assert stages[0].target.id == "c0"
    assert stages[0].model == "large"


def test_loads_keep_to_the_rate_of_the_weight_store():
    cold = [target(f"c{i}", f"d{i}") for i in range(9)]
    assert len(of_kind(plan(cold), Stage)) == 3
    begun = (NOW - 0.1, NOW - 0.2, NOW - 0.3)
    assert of_kind(plan(cold, loads_begun=begun), Stage) == []


def test_a_group_across_domains_is_formed_only_under_pressure():
    parts = [target(f"t{i}", f"d{i}", staged="small") for i in range(3)]
    assert of_kind(plan(parts), Join) == []
    joins = of_kind(plan(parts, utilization={"small": 0.9}), Join)
    assert len(joins) == 3


def test_no_target_gets_two_groups_in_one_plan():
    fleet = [target(f"t{i}", f"d{i % 3}", staged="small") for i in range(27)]
    joins = of_kind(plan(fleet, utilization={"small": 0.9}), Join)
    assert len({join.target.id for join in joins}) == len(joins)


def test_demand_decides_which_model_gets_the_targets():
    fleet = [target(f"t{i}") for i in range(5)]
    for model, wanted in (("large", 4), ("small", 3)):
        other = {"large": "small", "small": "large"}[model]
        joins = of_kind(
            plan(fleet, is_before_traffic=True, demand={model: 0.9, other: 0.1}), Join
        )
        assert {join.model for join in joins} <= {model}
        assert len(joins) in (0, wanted)


def processes(targets):
    """Return the processes of these targets."""
    return frozenset(t.process for t in targets)


def next_process(old):
    """Return the next process of a target, which has only the staged weights."""
    return replace(old, born=2, model="", membership=None)


@pytest.mark.parametrize("rank", [0, 1, 2])
@pytest.mark.parametrize(
    "phase", [GroupPhase.OPEN, GroupPhase.CLOSING, GroupPhase.READY, GroupPhase.JOINING]
)
def test_a_group_with_a_member_that_started_again_is_taken_apart(phase, rank):
    """A group is dissolved when a member restarts under its id without a group.

    When such an entry was taken for one that is only cut off, the group served nobody
    until its head reported the break.
    """
    members = group("g", 1, 3, phase)
    seen = {("g", 1): processes(members)}
    members[rank] = next_process(members[rank])
    steps = plan(members, seen=seen)
    others = {m.id for m in members} - {members[rank].id}
    assert {s.target.id for s in of_kind(steps, Leave)} == others
    assert of_kind(steps, Join) == of_kind(steps, Open) == []


def test_a_member_that_joined_again_as_another_process_ends_its_group():
    """A group ends even if the new process of a member has joined it.

    A delayed copy of the join can reach the new process. By ids the group is complete,
    but the head waits for the former process, so the group does no work.
    """
    members = group("g", 1, 3, GroupPhase.OPEN)
    seen = {("g", 1): processes(members)}
    members[2] = replace(members[2], born=9)
    steps = plan(members, seen=seen)
    assert {s.target.id for s in of_kind(steps, Leave)} == {"g0", "g1", "g2"}


def test_a_target_that_started_again_joins_once_its_earlier_group_is_over():
    """A restarted target joins another group only after the former group has ended.

    It looks free as soon as it registers. Joined before the head of its former group
    has left, it would join another group while its first one is open.
    """
    members = group("g", 1, 3, GroupPhase.OPEN)
    seen = {("g", 1): processes(members)}
    spares = [target("s", staged="small"), target("t", staged="small")]
    restarted = next_process(members[2])
    steps = plan([*members[:2], restarted, *spares], seen=seen)
    assert of_kind(steps, Join) == []
    headless = [members[1], restarted, *spares]
    joins = of_kind(plan(headless, seen=seen), Join)
    assert {join.target.id for join in joins} == {"g2", "s", "t"}


def test_a_formation_of_which_nothing_shows_ends_with_a_member_that_started_again():
    """An ordered formation ends when a member restarts before any join shows.

    When it reserved its targets by their ids, they were idle for four seconds.
    """
    free = [target(f"g{i}", staged="small") for i in range(3)]
    known = Formation(
        group="g", epoch=1, model="small", members=("g0", "g1", "g2"), ordered_at=NOW
    )
    seen = {("g", 1): processes(free)}
    fields = {"formations": {("g", 1): known}, "seen": seen}
    assert of_kind(plan(free, **fields), Join) == []
    joins = of_kind(plan([*free[:2], next_process(free[2])], **fields), Join)
    assert {join.epoch for join in joins} == {7}


def in_data_centre(name, targets):
    """Return these targets in another data centre."""
    return [replace(target, data_centre=name) for target in targets]


@pytest.mark.parametrize("phase", [GroupPhase.OPEN, GroupPhase.READY])
def test_a_group_in_an_evacuated_data_centre_is_neither_changed_nor_counted(phase):
    """Guards against capacity that is missing until the evacuation ends.

    The evacuated group of the small model counted as served, so the free targets went
    to the large one.
    """
    evacuated = in_data_centre("b", group("g", 1, 3, phase))
    large = group("h", 2, 4, GroupPhase.OPEN, domain="d1", model="large")
    free = [replace(target(f"t{i}", "d2"), staged=("small", "large")) for i in range(4)]
    targets = [*evacuated, *large, *free]
    steps = plan(targets, evacuated=frozenset("b"))
    assert {type(step) for step in steps} == {Join}
    assert {step.model for step in steps} == {"small"}
    assert {step.target.domain for step in steps} == {"d2"}


def test_a_dead_member_in_an_evacuated_data_centre_ends_its_group():
    targets = in_data_centre("b", group("g", 1, 3, GroupPhase.OPEN))
    steps = plan(targets, evacuated=frozenset("b"), lost=frozenset({"g2"}))
    assert {type(step) for step in steps} == {Leave}
    assert {step.target.id for step in steps} == {"g0", "g1"}


@pytest.mark.parametrize("lost", ["a1", None])
def test_while_nearly_all_targets_are_silent_only_lost_members_end_their_groups(lost):
    """Guards against groups that are opened, closed or formed because of a pause."""
    leaving = group("b", 3, 3, GroupPhase.OPEN)
    leaving[0] = replace(leaving[0], draining=True)
    targets = [
        *group("a", 2, 3, GroupPhase.OPEN),
        *leaving,
        *group("c", 4, 3, GroupPhase.READY),
        *group("d", 5, 3, GroupPhase.OPEN, model="unknown"),
        *[target(f"f{i}", staged="small") for i in range(6)],
        *[target(f"e{i}") for i in range(6)],
    ]
    more = {
        "lost": frozenset({lost, "d1"} - {None}),
        "repeatedly_suspected": frozenset({("b", 3)}),
    }
    steps = plan(targets, is_silent=True, **more)
    assert of_kind(steps, Leave) == list(steps)
    survivors = {"a0", "a2"} if lost else set()
    assert {step.target.id for step in steps} == survivors
    # The same targets get orders once they answer.
    kinds = {type(step) for step in plan(targets, **more)}
    assert kinds >= {Join, Leave, Open}
