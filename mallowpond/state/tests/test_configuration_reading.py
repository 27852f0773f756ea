"""Waits between reads of the configuration, and times of peers' clocks."""

import pytest

from mallowpond.state.configuration_reading import (
    EXCHANGE_SECONDS,
    PeerClocks,
    ReadingPace,
)
from mallowpond.state.confirmation import ADMISSION_MARGIN_SECONDS

# Bounds for a change and for revoked keys, in seconds.
BOUNDS = [(1.0, 2.0), (2.0, 5.0), (3.0, 5.0), (4.0, 5.0), (8.0, 5.0)]


def pace_of(bounds):
    """Return the pace for these bounds."""
    return ReadingPace.for_bounds(apply=bounds[0], revoke=bounds[1])


@pytest.mark.parametrize("bounds", BOUNDS)
@pytest.mark.parametrize("host_count", [1, 7, 380])
def test_a_host_leaves_a_silent_path_well_before_it_must_refuse(bounds, host_count):
    """Guards against refusals while another path to the store is sound."""
    pace = pace_of(bounds)
    latest = pace.old_after(
        is_reader=False, is_standby=False, host_count=host_count, share=1.0
    )
    attempts = [pace.attempt_timeout(attempts=n, last_seconds=0.0) for n in (0, 1)]
    assert latest <= 0.6 * min(bounds)
    slack = 0.5 * ADMISSION_MARGIN_SECONDS - 1e-9
    assert latest + sum(attempts) <= min(bounds) - slack


@pytest.mark.parametrize("bounds", BOUNDS)
def test_two_readers_confirm_in_turn_before_the_knowledge_is_old(bounds):
    """Guards against reads of all hosts in calm."""
    pace = pace_of(bounds)
    ends = {"first": 0.0, "standby": 0.3 * pace.poll}
    reads = {"first": [], "standby": []}
    now = 0.0
    while now < 40.0 * pace.poll:
        name = min(ends, key=ends.get)
        now = ends[name]
        other = max(reads["standby" if name == "first" else "first"], default=None)
        reads[name].append(now)
        ends[name] = now + pace.poll_wait(
            now=now, other_read_at=other, is_standby=name == "standby"
        )
    merged = sorted(reads["first"][5:-2] + reads["standby"][5:-2])
    gaps = [later - sooner for sooner, later in zip(merged, merged[1:], strict=False)]
    assert max(gaps) < 0.8 * pace.old
    assert len(merged) <= 80


def test_a_reader_alone_polls_twice_as_often():
    pace = pace_of((2.0, 5.0))
    for other_read_at in (None, 0.0):
        wait = pace.poll_wait(now=9.0, other_read_at=other_read_at, is_standby=False)
        assert wait == 0.5 * pace.poll


def test_the_timeout_follows_a_store_that_answers_slowly():
    """Guards against a slow store that is taken for a lost one."""
    pace = pace_of((2.0, 5.0))
    assert pace.attempt_timeout(attempts=0, last_seconds=0.2) >= 0.8
    assert pace.attempt_timeout(attempts=2, last_seconds=0.0) == 1.0


def test_a_time_of_a_peer_never_counts_as_later_than_it_was():
    """Guards against a key that is admitted by a confirmation that is older."""
    clocks = PeerClocks()
    assert clocks.convert("a", 5.0, now=100.0) is None
    # The peer started at 90 by this host's clock; it answered after 0.2 and 0.05 s.
    clocks.record("a", asked_at=95.0, answered_at=5.2)
    clocks.record("a", asked_at=96.0, answered_at=6.05)
    assert clocks.convert("a", 6.0, now=100.0) == pytest.approx(95.95)
    assert clocks.convert("a", 60.0, now=100.0) == 100.0


def test_a_time_of_a_process_that_started_later_counts_as_earlier():
    clocks = PeerClocks()
    clocks.record("a", asked_at=95.0, answered_at=5.0)
    # Started again at 110, the peer read the store at 111.
    assert clocks.convert("a", 1.0, now=112.0) == pytest.approx(91.0)
    clocks.record("a", asked_at=112.0, answered_at=2.0)
    assert clocks.convert("a", 1.0, now=112.0) == pytest.approx(111.0)


def test_an_exchange_of_long_ago_tells_nothing_of_a_clock_that_drifts():
    clocks = PeerClocks()
    clocks.record("a", asked_at=95.0, answered_at=5.0)
    assert clocks.convert("a", 60.0, now=95.0 + EXCHANGE_SECONDS) is None
