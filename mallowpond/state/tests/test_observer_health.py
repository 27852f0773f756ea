"""An observer that too many targets do not answer is itself suspect."""

from mallowpond.state.observer_health import (
    MIN_SILENT_TARGETS,
    SILENCE_WINDOW_SECONDS,
    ObserverHealth,
)


def health_after(count, domains, *, now=10.0):
    """Record `count` silent targets, spread over some domains."""
    health = ObserverHealth()
    for number in range(count):
        health.record_silence(f"t{number}", f"d{number % domains}", now)
    return health


def test_many_of_several_domains_make_the_observer_doubtful():
    assert health_after(MIN_SILENT_TARGETS, 2).is_suspect(10.0)


def test_a_few_targets_or_one_domain_are_believed():
    assert not health_after(MIN_SILENT_TARGETS - 1, 3).is_suspect(10.0)
    assert not health_after(73, 1).is_suspect(10.0)


def test_one_target_that_is_asked_again_and_again_counts_once():
    health = ObserverHealth()
    for number in range(20):
        health.record_silence("t", f"d{number % 2}", 10.0)
    assert not health.is_suspect(10.0)


def test_what_fell_silent_long_ago_counts_no_more():
    assert not health_after(40, 5).is_suspect(10.0 + SILENCE_WINDOW_SECONDS + 0.1)
