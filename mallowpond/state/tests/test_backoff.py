"""Backoffs that targets ask for."""

from mallowpond.state.backoff import TargetBackoffs
from mallowpond.state.fleet import Process

TARGET = Process(id="t", born=1)


def test_a_target_is_left_alone_for_as_long_as_it_asks():
    backoffs = TargetBackoffs()
    backoffs.record(TARGET, 3.0, 10.0)
    assert backoffs.seconds_left(TARGET, 12.5) == 0.5
    assert backoffs.seconds_left(TARGET, 13.0) == 0.0
    assert not backoffs.has_entries


def test_a_shorter_word_does_not_end_a_longer_one():
    """Guard against a late answer that shortens a backoff already in force."""
    backoffs = TargetBackoffs()
    backoffs.record(TARGET, 3.0, 10.0)
    backoffs.record(TARGET, 0.1, 10.2)
    assert backoffs.seconds_left(TARGET, 12.0) == 1.0


def test_another_process_under_the_same_id_is_not_left_alone():
    backoffs = TargetBackoffs()
    backoffs.record(TARGET, 3.0, 10.0)
    assert backoffs.seconds_left(Process(id="t", born=2), 10.1) == 0.0


def test_what_is_over_or_gone_is_forgotten():
    backoffs = TargetBackoffs()
    unlisted, over = Process(id="u", born=1), Process(id="v", born=1)
    backoffs.record(TARGET, 3.0, 10.0)
    backoffs.record(unlisted, 3.0, 10.0)
    backoffs.record(over, 1.0, 10.0)
    backoffs.prune({TARGET, over}, 11.0)
    assert list(backoffs._until) == [TARGET]
