"""The estimated delay of first events, and its effect on suspicions of groups."""

import random

import pytest

from mallowpond.state.first_event import (
    DEFAULT_UPPER_BOUND_SECONDS,
    MIN_SAMPLES,
    WINDOW_SAMPLES,
    FirstEventDelay,
)
from mallowpond.state.silence import (
    GroupSilence,
    PeerQuery,
    SilenceVerdict,
    classify_silence,
    silence_limit,
)

PREDICTED = 0.06
OBJECTIVE = 0.3


def estimate_from(seconds, count=WINDOW_SAMPLES, spread=0.01, seed=1):
    """Build the estimate from engines that take so long before each first event."""
    rng = random.Random(seed)
    delay = FirstEventDelay()
    for _ in range(count):
        extra = seconds + rng.uniform(-spread, spread)
        delay.record(observed=PREDICTED + extra, predicted=PREDICTED)
    return delay


@pytest.mark.parametrize("seconds", [0.01, 0.12, 0.4])
def test_the_delay_of_engines_is_learnt_within_a_fiftieth_of_a_second(seconds):
    assert estimate_from(seconds).typical == pytest.approx(seconds, abs=0.02)


def test_a_few_first_events_of_a_dying_group_do_not_move_the_estimate():
    delay = estimate_from(0.12)
    for _ in range(WINDOW_SAMPLES // 5):
        delay.record(observed=2.0, predicted=PREDICTED)
    assert delay.typical == pytest.approx(0.12, abs=0.02)


def test_the_delay_on_a_slow_group_is_counted_as_on_a_sound_one():
    """Guard against groups across domains that are taken for dead one after the other.

    Such groups are 2.5 times as slow, and so is the delay of their first events beyond
    the declared timing. The delay learnt from healthy groups must be scaled for them.
    """
    delay = FirstEventDelay()
    for _ in range(MIN_SAMPLES):
        delay.record(observed=PREDICTED + 0.3, predicted=PREDICTED, slowness=2.5)
    assert delay.typical == pytest.approx(0.12)


def test_nothing_is_said_on_a_few_samples():
    delay = estimate_from(0.12, count=MIN_SAMPLES - 1)
    assert delay.typical == 0.0
    assert delay.upper_bound == DEFAULT_UPPER_BOUND_SECONDS


def waiting(delay, silent, has_running=False):
    """Build the silence of a group whose streams have waited so long."""
    return GroupSilence(
        silent_seconds=silent,
        predicted_gap=0.03,
        allowed_gap=OBJECTIVE,
        first_event_seconds=PREDICTED + delay.upper_bound,
        has_running=has_running,
    )


@pytest.mark.parametrize("seconds", [0.01, 0.12, 0.4])
@pytest.mark.parametrize("count", [0, WINDOW_SAMPLES])
def test_streams_that_wait_for_slow_first_events_bring_no_suspicion(seconds, count):
    """Guard against healthy groups that are taken for dead by the dozen.

    Engines take 0.4 s before each first event, and all streams of a host on one group
    wait for theirs; the host has just started, or has seen many first events. The
    silence limit must include that time, which the declared timing does not cover.
    """
    delay = estimate_from(seconds, count=count)
    rng = random.Random(2)
    for _ in range(1000):
        first = PREDICTED + seconds + rng.uniform(-0.01, 0.01)
        silence = waiting(delay, first)
        verdict = classify_silence(silence, PeerQuery(asked_at=0.0), 10.0)
        assert verdict is not SilenceVerdict.SUSPECT


def test_a_dead_group_is_suspected_soon_also_if_all_its_streams_wait():
    limit = silence_limit(waiting(estimate_from(0.12), 0.0))
    assert limit < PREDICTED + 0.12 + 0.06


def test_a_running_stream_makes_silence_count_whatever_others_wait_for():
    delay = estimate_from(0.4)
    assert silence_limit(waiting(delay, 0.0, has_running=True)) < 0.2
