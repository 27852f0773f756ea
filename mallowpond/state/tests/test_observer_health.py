"""An observer for whom too much falls silent doubts itself."""

from mallowpond.state.observer_health import (
    MIN_SILENT_TARGETS,
    SILENCE_WINDOW_SECONDS,
    ObserverHealth,
)


def silent(count, domains, *, now=10.0):
    """Have targets of some domains fall silent."""
    doubt = ObserverHealth()
    for number in range(count):
        doubt.record_silence(f"t{number}", f"d{number % domains}", now)
    return doubt


def test_many_of_several_domains_make_the_observer_doubtful():
    assert silent(MIN_SILENT_TARGETS, 2).is_suspect(10.0)


def test_a_few_targets_or_one_domain_are_believed():
    assert not silent(MIN_SILENT_TARGETS - 1, 3).is_suspect(10.0)
    assert not silent(73, 1).is_suspect(10.0)


def test_one_target_that_is_asked_again_and_again_counts_once():
    doubt = ObserverHealth()
    for number in range(20):
        doubt.record_silence("t", f"d{number % 2}", 10.0)
    assert not doubt.is_suspect(10.0)


def test_what_fell_silent_long_ago_counts_no_more():
    assert not silent(40, 5).is_suspect(10.0 + SILENCE_WINDOW_SECONDS + 0.1)
