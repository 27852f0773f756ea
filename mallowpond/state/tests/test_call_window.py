"""The window of concurrent calls follows answers and timeouts."""

from mallowpond.state.call_window import (
    DECREASE_PAUSE_SECONDS,
    INITIAL_CALLS,
    MAX_CALLS,
    MIN_CALLS,
    CallWindow,
)


def test_the_window_grows_by_one_for_each_round_of_answers():
    window = CallWindow()
    for _ in range(int(INITIAL_CALLS)):
        window.record_success()
    assert INITIAL_CALLS <= window.limit <= INITIAL_CALLS + 1


def test_calls_that_are_late_together_shrink_it_once():
    window = CallWindow()
    for _ in range(40):
        window.record_timeout(10.0)
    assert MIN_CALLS < window.limit < INITIAL_CALLS
    window.record_timeout(10.0 + DECREASE_PAUSE_SECONDS)
    assert window.limit < 0.75 * INITIAL_CALLS


def test_the_window_stays_within_its_bounds():
    window = CallWindow()
    for second in range(100):
        window.record_timeout(float(second))
    assert window.limit == MIN_CALLS
    for _ in range(100_000):
        window.record_success()
    assert window.limit == MAX_CALLS
