"""When the silence of many targets is taken for a pause that they share."""

import random

import pytest

from mallowpond.state.fleet_silence import (
    MAX_HOLD_SECONDS,
    FleetSilence,
    SilenceSurvey,
    draw_sample,
)


def survey(*domains):
    """Return a survey of domains, each given by its silent and its sampled targets."""
    return SilenceSurvey(
        targets=sum(sampled for _, sampled in domains),
        silent=sum(silent for silent, _ in domains),
        domains=len(domains),
        silent_domains=sum(silent > 0 for silent, _ in domains),
    )


ALL_SILENT = survey((4, 4), (4, 4), (4, 4))
ONE_SILENT = survey((0, 4), (1, 4), (0, 4))


@pytest.mark.parametrize(
    "domains",
    [
        [(4, 4)] * 3,
        [(3, 4), (2, 4), (2, 4)],
        [(1, 4), (4, 4), (2, 4)],
        [(1, 1)] * 3,
        [(4, 4)] * 10,
        [(3, 4)] * 9 + [(0, 4)],
        [(2, 2)],
        [(4, 5)],
    ],
)
def test_a_silence_of_nearly_all_domains_is_common(domains):
    assert survey(*domains).is_common


@pytest.mark.parametrize(
    "domains",
    [
        [],
        [(1, 1)],
        [(0, 4)] * 3,
        [(1, 4)] * 3,
        [(4, 4), (0, 4), (0, 4)],
        [(4, 4), (0, 4)],
        [(4, 4), (4, 4), (0, 4)],
        [(4, 4)] * 5 + [(0, 4)] * 5,
        [(4, 4)] * 8 + [(0, 4)] * 2,
        [(1, 2), (1, 2)],
        [(2, 4), (2, 4)],
        [(1, 2)],
        [(3, 5)],
    ],
)
def test_the_silence_of_some_domains_or_of_a_few_targets_is_not(domains):
    assert not survey(*domains).is_common


@pytest.mark.parametrize("fleet", [(3, 4), (4, 14), (6, 8), (8, 12), (16, 8), (130, 8)])
def test_a_pause_of_three_fifths_is_told_from_half_of_the_domains_dark(fleet):
    """Guards against a sample too small to tell the two apart."""
    rng, (domains, size) = random.Random(1), fleet
    by_domain = {str(d): [(d, n) for n in range(size)] for d in range(domains)}
    engines = [engine for column in by_domain.values() for engine in column]
    pauses = dark = 0
    for _ in range(1000):
        paused = set(rng.sample(engines, round(0.6 * len(engines))))
        sample = draw_sample(by_domain, rng).values()
        pauses += survey(*((len(paused & {*c}), len(c)) for c in sample)).is_common
        half = set(rng.sample(range(domains), domains // 2))
        dark_counts = [(len(c) if c[0][0] in half else 0, len(c)) for c in sample]
        dark += survey(*dark_counts).is_common
    assert pauses >= 950
    assert dark <= 20


def test_a_sample_spreads_over_the_domains_and_is_bounded():
    by_domain = {f"d{number}": list(range(9)) for number in range(30)}
    sample = draw_sample(by_domain, random.Random(1))
    assert [len(targets) for targets in sample.values()] == [4] * 10
    sample = draw_sample({"a": [1], "b": list(range(90))}, random.Random(1))
    assert {domain: len(targets) for domain, targets in sample.items()} == {
        "a": 1,
        "b": 20,
    }
    assert draw_sample({}, random.Random(1)) == {}


def test_silence_counts_against_no_target_while_it_is_common():
    silence = FleetSilence()
    assert silence.is_evidence(since=0.9, now=1.2)
    silence.record(ALL_SILENT, asked_at=1.0, answered_at=1.2)
    assert not silence.is_evidence(since=0.9, now=1.2)
    assert silence.was_held_within(0.0, 1.2)


def test_silence_counts_anew_once_the_others_answer():
    """Guards against a target that is lost for a probe from before it could wake."""
    silence = FleetSilence()
    silence.record(ALL_SILENT, asked_at=1.0, answered_at=1.2)
    silence.record(ONE_SILENT, asked_at=1.9, answered_at=2.0)
    assert not silence.is_evidence(since=1.9, now=2.2)
    assert silence.is_evidence(since=2.0, now=2.3)
    assert silence.was_held_within(0.5, 2.4)
    assert not silence.was_held_within(0.5, 2.6)


def test_a_common_silence_is_held_for_a_limited_time():
    """Guards against a dead fleet that never counts as dead."""
    silence = FleetSilence()
    for second in range(1, 9):
        silence.record(ALL_SILENT, asked_at=float(second), answered_at=second + 0.2)
    assert not silence.is_evidence(since=0.9, now=0.9 + MAX_HOLD_SECONDS)
    assert silence.is_evidence(since=6.0, now=1.0 + MAX_HOLD_SECONDS)
    assert silence.began_at == 1.0


def test_the_next_common_silence_is_held_again():
    silence = FleetSilence()
    silence.record(ALL_SILENT, asked_at=1.0, answered_at=1.2)
    silence.record(ONE_SILENT, asked_at=2.0, answered_at=2.2)
    silence.record(ALL_SILENT, asked_at=6.5, answered_at=6.7)
    assert not silence.is_evidence(since=6.4, now=6.7)
    assert silence.began_at == 6.5
