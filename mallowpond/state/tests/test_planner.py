"""The controllers' group planner, one decision per test."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.state.declarations import Deployment, Weights
from mallowpond.state.planner import (
    Dissolve,
    Form,
    PlanGroup,
    PlanHost,
    Repair,
    plan,
    stranded,
)

METEOR = Deployment(name="meteor", model="m", replicas=2, hosts_per_group=2)
DOWNTIME_FIRST = Weights(group_downtime=10.0, stranded_accelerators=0.0001)
STRANDED_FIRST = Weights(group_downtime=0.01, stranded_accelerators=1.0)


def hosts(layout, unusable=()):
    """Build hosts from domain to names, such as ``{"a": "1 2 3"}``."""
    return [
        PlanHost(name=n, domain=d, accelerators=8, usable=n not in unusable)
        for d, names in layout.items()
        for n in names.split()
    ]


def group(name, members, deployment="meteor", lost=(), **fields):
    return PlanGroup(
        name=name,
        deployment=deployment,
        hosts=tuple(members.split()),
        lost=frozenset(lost),
        **fields,
    )


def make(layout, groups=(), deployments=(METEOR,), unusable=()):
    return plan(hosts=hosts(layout, unusable), deployments=deployments, groups=groups)


def test_groups_form_inside_one_domain():
    actions = make({"a": "1 2 3", "b": "4 5"})
    assert set(actions) == {
        Form(deployment="meteor", hosts=("1", "2")),
        Form(deployment="meteor", hosts=("4", "5")),
    }


def test_no_group_forms_across_domains_by_default():
    assert make({"a": "1", "b": "2"}) == ()


def test_survivors_are_kept_and_the_lost_host_replaced_from_its_domain():
    actions = make(
        {"a": "1 2 3", "b": "4 5"},
        groups=[group("g", "1 2"), group("h", "4 5")],
        unusable=("2",),
    )
    assert actions == (Repair(group="g", hosts=("1", "3")),)


def test_broken_groups_complete_each_other():
    one = Deployment(name="meteor", model="m", replicas=2, hosts_per_group=3)
    actions = make(
        {"a": "1 2 3 4 5 6"},
        groups=[group("g", "1 2 3"), group("h", "4 5 6")],
        deployments=[one],
        unusable=("3", "6"),
    )
    assert Repair(group="g", hosts=("1", "2", "4")) in actions
    assert Dissolve(group="h", reason="completes g") in actions


def test_restarted_member_rejoins_its_own_group():
    actions = make({"a": "1 2"}, groups=[group("g", "1 2", lost=("2",))])
    assert actions == (Repair(group="g", hosts=("1", "2")),)


def test_lighter_deployment_gives_way():
    heavy = Deployment(
        name="heavy", model="h", replicas=1, hosts_per_group=2, weights=DOWNTIME_FIRST
    )
    light = Deployment(name="light", model="l", replicas=1, hosts_per_group=2)
    actions = make(
        {"a": "1 2 3 4"},
        groups=[group("g", "1 2", "heavy"), group("h", "3 4", "light")],
        deployments=[heavy, light],
        unusable=("2",),
    )
    assert actions[:2] == (
        Dissolve(group="h", reason="weighs less than g"),
        Repair(group="g", hosts=("1", "3")),
    )


def test_equal_weight_never_gives_way():
    actions = make(
        {"a": "1 2 3 4"},
        groups=[group("g", "1 2"), group("h", "3 4")],
        unusable=("2",),
    )
    assert all(getattr(a, "group", "") != "h" for a in actions)


def test_spanning_is_a_declared_fallback():
    spanning = Deployment(
        name="meteor", model="m", replicas=1, hosts_per_group=2, span_domains=True
    )
    layout = {"a": "1 2", "b": "3"}
    broken = [group("g", "1 2")]
    actions = make(layout, broken, [spanning], unusable=("2",))
    assert actions == (Repair(group="g", hosts=("1", "3")),)


def test_survivors_wait_where_nobody_else_can_use_them():
    one = Deployment(
        name="meteor", model="m", replicas=1, hosts_per_group=2, weights=STRANDED_FIRST
    )
    assert make({"a": "1 2"}, [group("g", "1 2")], [one], unusable=("2",)) == ()


def test_weights_decide_whether_survivors_wait():
    def outcome(weights):
        large = Deployment(
            name="meteor", model="m", replicas=1, hosts_per_group=2, weights=weights
        )
        small = Deployment(name="small", model="s", replicas=1, hosts_per_group=1)
        return make({"a": "1 2"}, [group("g", "1 2")], [large, small], unusable=("2",))

    assert outcome(DOWNTIME_FIRST) == ()
    assert outcome(STRANDED_FIRST) == (
        Dissolve(group="g", reason="serves better elsewhere"),
        Form(deployment="small", hosts=("1",)),
    )


SMALL = Deployment(name="small", model="s", replicas=2, hosts_per_group=1)


def test_small_group_moves_to_make_room_for_a_large_one():
    large = Deployment(name="large", model="l", replicas=1, hosts_per_group=2)
    scattered = [group("s1", "1", "small"), group("s2", "3", "small")]
    actions = make({"a": "1 2", "b": "3 4"}, scattered, [large, SMALL])
    assert actions == (
        Dissolve(group="s1", reason="makes room for large"),
        Form(deployment="large", hosts=("1", "2")),
        Form(deployment="small", hosts=("4",)),
    )


def test_no_more_room_is_made_while_a_host_drains():
    large = Deployment(name="large", model="l", replicas=1, hosts_per_group=2)
    known = [
        PlanHost(name="1", domain="a", accelerators=8, group="d", draining=True),
        PlanHost(name="2", domain="a", accelerators=8),
        PlanHost(name="3", domain="b", accelerators=8, group="s1"),
        PlanHost(name="4", domain="b", accelerators=8, group="s2"),
    ]
    existing = [group("s1", "3", "small"), group("s2", "4", "small")]
    assert plan(hosts=known, deployments=[large, SMALL], groups=existing) == ()


def test_weights_decide_whether_a_spare_is_left():
    def chosen_domain(weights):
        one = Deployment(
            name="meteor", model="m", replicas=1, hosts_per_group=2, weights=weights
        )
        (form,) = make({"a": "1 2", "b": "3 4 5"}, deployments=[one])
        return form.hosts

    assert chosen_domain(DOWNTIME_FIRST) == ("3", "4")
    assert chosen_domain(STRANDED_FIRST) == ("1", "2")


def test_stopped_and_undeclared_groups_are_dissolved():
    actions = make(
        {"a": "1 2 3 4"},
        groups=[group("g", "1 2", stopped=True), group("h", "3 4", "gone")],
    )
    assert Dissolve(group="g", reason="stopped") in actions
    assert Dissolve(group="h", reason="not declared") in actions


def test_stranded_counts_idle_hosts_only_while_groups_lack():
    layout = hosts({"a": "1 2 3"})
    complete = [group("g", "1 2")]
    stranded_count = stranded(hosts=layout, deployments=[METEOR], groups=complete)
    assert stranded_count == 8
    one = Deployment(name="meteor", model="m", replicas=1, hosts_per_group=2)
    assert stranded(hosts=layout, deployments=[one], groups=complete) == 0


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.data())
def test_plans_never_use_a_host_twice_or_an_unusable_one(data):
    names = [str(n) for n in range(12)]
    unusable = data.draw(st.sets(st.sampled_from(names)))
    layout = {"a": " ".join(names[:5]), "b": " ".join(names[5:])}
    existing = [group("g", "0 1"), group("h", "2 3"), group("i", "5 6", "light")]
    light = Deployment(
        name="light",
        model="l",
        replicas=data.draw(st.integers(0, 3)),
        hosts_per_group=2,
        weights=data.draw(st.sampled_from([DOWNTIME_FIRST, STRANDED_FIRST])),
    )
    actions = make(layout, existing, [METEOR, light], unusable)
    placed = {g.name: g.hosts for g in existing}
    for number, action in enumerate(actions):
        match action:
            case Form(hosts=chosen):
                placed[f"new{number}"] = chosen
            case Repair(group=name, hosts=chosen):
                placed[name] = chosen
            case Dissolve(group=name):
                placed.pop(name, None)
    touched = [a.hosts for a in actions if not isinstance(a, Dissolve)]
    assert unusable.isdisjoint(h for chosen in touched for h in chosen)
    everywhere = [h for chosen in placed.values() for h in chosen]
    assert len(everywhere) == len(set(everywhere))


def test_nothing_waits_for_a_host_that_leaves_for_good():
    one = Deployment(
        name="meteor", model="m", replicas=1, hosts_per_group=2, weights=DOWNTIME_FIRST
    )
    known = [
        PlanHost(name="1", domain="a", accelerators=8),
        PlanHost(name="2", domain="a", accelerators=8, usable=False, leaving=True),
    ]
    actions = plan(hosts=known, deployments=[one], groups=[group("g", "1 2")])
    assert actions == (Dissolve(group="g", reason="a member leaves for good"),)
