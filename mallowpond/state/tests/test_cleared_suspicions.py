"""Which groups that are suspected again and again are formed anew."""

from mallowpond.state.cleared_suspicions import (
    MIN_SUSPECTED_SECONDS,
    RECOVERED_SECONDS,
    ClearedSuspicions,
)


def test_a_group_that_pauses_for_a_second_is_not_formed_anew():
    """Guards against a living group that is dissolved as several hosts doubt it."""
    suspicions = ClearedSuspicions()
    for number in range(14):
        suspicions.record(0.1 * number)
    assert not suspicions.is_repeated(1.4)


def test_a_group_that_pauses_again_and_again_is_not_formed_anew():
    """Guards against pauses that are counted together although the group recovered."""
    suspicions = ClearedSuspicions()
    for start in (0.0, 3.0, 6.0):
        for number in range(6):
            suspicions.record(start + 0.2 * number)
        assert not suspicions.is_repeated(start + 1.0)


def test_a_group_that_stays_silent_is_formed_anew():
    suspicions = ClearedSuspicions()
    at = 0.0
    while at < MIN_SUSPECTED_SECONDS:
        assert not suspicions.is_repeated(at)
        suspicions.record(at)
        at += 0.4
    suspicions.record(at)
    assert suspicions.is_repeated(at)
    assert not suspicions.is_repeated(at + RECOVERED_SECONDS + 0.1)
