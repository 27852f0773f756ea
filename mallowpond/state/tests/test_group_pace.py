"""How hosts agree on the pace of groups that turn slow and recover."""

import pytest

from mallowpond.state.group_pace import (
    FRESH_SECONDS,
    PROBE_SECONDS,
    SLOWNESS_SECONDS,
    GroupPaces,
    LeastUrgent,
)

GROUP = ("g", 1)


def paces_of(now=0.0, **observed):
    """Return paces after each host reported (slowness, streams) of the group."""
    paces = GroupPaces()
    for host, pace in observed.items():
        paces.record(host, {GROUP: pace}, now)
    return paces


@pytest.mark.parametrize(
    ("observed", "expected"),
    [
        ({"a": (12.0, 1)}, 12.0),
        ({"a": (12.0, 9), "b": (1.0, 1)}, 1.0),
        ({"a": (12.0, 9), "b": (1.0, 1), "c": (1.1, 1)}, 1.1),
        ({"a": (12.0, 2), "b": (11.0, 2), "c": (1.0, 1)}, 11.0),
        ({"a": (12.0, 1), "b": (9.0, 1), "c": (8.0, 1)}, 9.0),
    ],
)
def test_one_host_with_a_slow_link_is_outvoted(observed, expected):
    """Guard against a group that no host uses because one host's link is slow."""
    assert paces_of(**observed).value(GROUP, 0.0) == expected


def test_a_disputed_group_stays_in_discussion_and_an_agreed_one_leaves_it():
    """Guard against a group that turns slow again each time the others fall silent.

    Hosts that see it on pace report that only while it is in discussion. If their
    reports alone kept it there, they would report for ever.
    """
    paces = paces_of(a=(12.0, 9), b=(1.0, 1))
    assert paces.is_discussed(GROUP, 0.1)
    assert paces.to_publish([GROUP], 0.1) == {GROUP: 1.0}
    paces.record("a", {}, 0.2)
    assert not paces.is_discussed(GROUP, 0.2)
    assert paces.to_publish([GROUP], 0.2) == {}


def test_without_reports_a_pace_decays_and_is_forgotten():
    """Guard against a group that stays slow for ever as reports of it were lost."""
    changes = []
    paces = paces_of(a=(12.0, 2))
    paces.on_change.append(changes.append)
    assert 4.0 < paces.value(GROUP, SLOWNESS_SECONDS) < 6.0
    paces.record("b", {}, 5 * SLOWNESS_SECONDS)
    assert paces.value(GROUP, 5 * SLOWNESS_SECONDS) is None
    assert [(c.is_slow, c.observed, c.age) for c in changes] == [(False, (), 15.0)]
    assert not paces.has_slow


def test_a_stale_observation_does_not_contradict_a_fresh_one():
    paces = paces_of(a=(1.0, 3))
    paces.record("b", {GROUP: (12.0, 1)}, FRESH_SECONDS + 0.1)
    assert paces.value(GROUP, FRESH_SECONDS + 0.1) == 12.0


def test_a_group_formed_anew_begins_on_pace():
    paces = paces_of(a=(12.0, 2))
    assert paces.value(("g", 2), 0.0) is None


def test_what_ended_processes_showed_is_forgotten():
    paces = paces_of(a=(12.0, 2))
    paces.forget(GROUP)
    assert paces.value(GROUP, 0.0) is None
    paces.record("a", {}, 0.1)
    assert not paces.has_slow


def test_a_slow_group_gets_one_probe_after_a_time_without_observation():
    """Guard against slow groups that get many streams, or never one again."""
    paces = paces_of(a=(12.0, 2))
    assert not paces.is_probe_due(GROUP, 0.5 * PROBE_SECONDS)
    assert paces.is_probe_due(GROUP, PROBE_SECONDS)
    paces.record_probe(GROUP, PROBE_SECONDS)
    assert not paces.is_probe_due(GROUP, 1.5 * PROBE_SECONDS)
    paces.record("a", {GROUP: (1.0, 1)}, 1.6 * PROBE_SECONDS)
    assert paces.value(GROUP, 1.6 * PROBE_SECONDS) == 1.0
    assert not paces.is_probe_due(GROUP, 9.0 * PROBE_SECONDS)


def test_a_follower_goes_by_what_readers_publish():
    paces = GroupPaces()
    paces.record_published({GROUP: 8.0}, 1.0)
    assert paces.value(GROUP, 1.0) == 8.0
    assert paces.is_discussed(GROUP, 1.5)
    paces.record_published({GROUP: 1.0}, 2.0)
    assert paces.value(GROUP, 2.0) == 1.0


def test_only_the_least_urgent_streams_probe():
    least = LeastUrgent()
    assert least.may_probe(1, 0.0)
    assert least.may_probe(2, 0.0)
    assert not least.may_probe(1, 0.1)
    assert least.may_probe(1, 60.0)
