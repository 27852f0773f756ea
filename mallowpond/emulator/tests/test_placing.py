"""Placement through the dispatcher does better than placement by load reports."""

from dataclasses import replace

import pytest

from mallowpond.emulator.placing import simulate
from mallowpond.emulator.scenario import Scenario

TIGHT = Scenario(name="tight", hosts=18, groups=6, rate=44.0, seconds=8.0)
# Four groups of ten slots complete some forty streams per second.
OVERLOAD = replace(TIGHT, name="overload", groups=4)
RESTART = replace(TIGHT, name="restart", groups=8, restart_at=4.0)


def simulate_both(scenario, seed):
    """Simulate a scenario without and with the dispatcher."""
    return simulate(replace(scenario, uses_dispatcher=False), seed), simulate(
        scenario, seed
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_stream_stands_beyond_the_slots_of_a_group_beside_free_ones(seed):
    """Guard against streams that queue on a full group while another has free slots.

    It happens when hosts place by load reports that are out of date.
    """
    by_reports, by_dispatcher = simulate_both(TIGHT, seed)
    assert by_reports.avoidable_excess_seconds > 0.5
    assert (
        by_dispatcher.avoidable_excess_seconds < by_reports.avoidable_excess_seconds / 3
    )
    assert by_dispatcher.late <= by_reports.late


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_when_all_hosts_start_anew_no_group_is_sent_all_their_streams(seed):
    """Guard against restarted hosts that all send their streams to the same group.

    It happens because they know nothing of each other's streams yet.
    """
    by_reports, by_dispatcher = simulate_both(RESTART, seed)
    assert by_dispatcher.excess_seconds < by_reports.excess_seconds / 2


@pytest.mark.parametrize("seed", [1, 2])
def test_in_an_overload_some_are_on_time_and_few_are_lost(seed):
    """Guard against an overload in which every stream queues until it is late."""
    by_reports, by_dispatcher = simulate_both(OVERLOAD, seed)
    assert by_dispatcher.in_time > by_reports.in_time
    assert by_dispatcher.unserved <= by_reports.unserved + 0.02 * by_reports.streams


def test_a_play_repeats():
    assert simulate(TIGHT, 5) == simulate(TIGHT, 5)
