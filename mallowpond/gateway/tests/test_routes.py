"""Validity of permits and of the assured configuration at a gateway."""

from dataclasses import replace

from mallowpond.gateway.routes import RouteTable
from mallowpond.protocol.peer import GroupLastSeen, Routes
from mallowpond.state.rows import GroupMember, GroupRow, GroupState

GROUP = GroupRow(
    group="g",
    deployment="d",
    generation=2,
    state=GroupState.READY,
    members=(GroupMember(host="h", address="a", incarnation="1", rank=0),),
)
ROUTES = Routes(
    sequence=1,
    config_version=1,
    config_left=3.0,
    config_text="",
    routes_version=7,
    groups=(GROUP,),
    seen_age=0.5,
    exceptions=(),
    excluded_hosts=(),
)


def table_at(*answers):
    table = RouteTable(permit_seconds=4.0)
    for asked_at, routes in answers:
        table.update(routes, asked_at)
    return table


def test_permit_counts_from_when_the_group_was_seen():
    table = table_at((100.0, ROUTES))
    assert table.serving("d", 103.4) == [GROUP]
    assert table.serving("d", 103.5) == []


def test_permit_of_another_generation_allows_nothing():
    table = table_at((100.0, ROUTES))
    repaired = replace(GROUP, generation=3)
    unseen = GroupLastSeen(group="g", generation=3, age=None)
    later = replace(ROUTES, routes_version=8, groups=(repaired,), exceptions=(unseen,))
    table.update(later, 101.0)
    assert table.serving("d", 101.0) == []


def test_exceptions_have_their_own_age_or_none():
    older = GroupLastSeen(group="g", generation=2, age=3.0)
    table = table_at((100.0, replace(ROUTES, exceptions=(older,))))
    assert table.serving("d", 100.9) == [GROUP]
    assert table.serving("d", 101.0) == []
    unseen = GroupLastSeen(group="g", generation=2, age=None)
    table = table_at((100.0, replace(ROUTES, exceptions=(unseen,))))
    assert table.serving("d", 100.0) == []


def test_leaving_hosts_group_gets_nothing_new():
    routes = replace(ROUTES, excluded_hosts=("h",))
    assert table_at((100.0, routes)).serving("d", 100.0) == []


def test_version_is_sure_only_as_long_as_the_controller_was():
    table = table_at((100.0, ROUTES))
    assert table.is_config_assured(102.9)
    assert not table.is_config_assured(103.0)


def test_unsure_controller_prolongs_nothing():
    table = table_at((100.0, ROUTES), (102.0, replace(ROUTES, config_left=None)))
    assert not table.is_config_assured(103.0)


def test_older_version_of_another_controller_changes_nothing():
    """An accepted version was reverted at a gateway.

    Its controller had died, the next one had not applied the version yet, and the
    gateway adopted any version that its current controller had.
    """
    newer = replace(ROUTES, config_version=2)
    table = table_at((100.0, newer), (102.0, ROUTES))
    assert table.config_version == 2
    assert not table.is_config_assured(103.1)


def test_revoked_group_returns_only_on_a_later_sight():
    """Requests were sent to a dead group for seconds after a failed dispatch.

    The next answer repeated the controller's last confirmation of the group, whose age
    was not compared with the time of the failure.
    """
    table = table_at((100.0, ROUTES))
    table.revoke("g", 2, now=100.2)
    table.update(replace(ROUTES, seen_age=1.0), 101.0)
    assert table.serving("d", 101.0) == []
    table.update(replace(ROUTES, seen_age=0.1), 101.0)
    assert table.serving("d", 101.0) == [GROUP]
