"""Which group a stream is placed on, and when a group is suspected."""

import random
from collections import Counter

from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.placement import (
    UNREPORTED_STREAMS,
    Candidate,
    GroupLoad,
    choose_group,
    draw_candidates,
    pass_seconds,
    silent_seconds,
    unreported_streams,
)
from mallowpond.state.silence import (
    ASK_SHARE,
    PEER_ANSWER_SECONDS,
    GroupSilence,
    PeerQuery,
    SilenceVerdict,
    classify_silence,
    silence_limit,
)

PROFILE = EngineProfile(
    slots=13,
    stride=7,
    step_seconds=0.006,
    request_seconds=0.0001,
    context_seconds_per_k=0.00002,
    prefill_tokens_per_second=50_000,
    typical_prompt_tokens=1000,
    typical_answer_tokens=180,
)
MODEL = ModelSpec(name="m", size=4)


def choose(*loads, prompt=1000, limit=0.3, leaving=()):
    """Return the index of the chosen load."""
    candidates = [
        Candidate(key=str(i), load=load, is_leaving=i in leaving)
        for i, load in enumerate(loads)
    ]
    chosen = choose_group(
        PROFILE, MODEL, candidates, prompt_tokens=prompt, limit_seconds=limit
    )
    return None if chosen is None else int(chosen.key)


def test_a_long_prompt_counts_for_more_than_a_few_running_streams():
    """Guard against late streams with short prompts although another group is free.

    One group has a prefill of 8,000 tokens to do, the other runs four streams. By
    requests in flight, the first would look better, with one against four.
    """
    in_prefill = GroupLoad(running=1, prefill_tokens=8000)
    in_decode = GroupLoad(running=4)
    assert choose(in_prefill, in_decode) == 1


def test_no_stream_goes_where_it_cannot_start_on_time():
    backlog = GroupLoad(running=5, prefill_tokens=20_000)
    assert choose(backlog) is None


def test_an_idle_group_takes_a_stream_however_slow_it_is():
    assert choose(GroupLoad(running=0, slowness=20.0)) == 0


def test_full_groups_take_nothing():
    assert choose(GroupLoad(running=14)) is None


def test_a_group_that_is_about_to_stop_comes_last():
    idle, busy = GroupLoad(running=0), GroupLoad(running=8)
    assert choose(idle, busy, leaving={0}) == 1
    assert choose(idle, leaving={0}) == 0


def sent_by_many_hosts(unreported):
    """Place one stream for each of 40 hosts by the same old loads; count by group."""
    rng = random.Random(5)
    loads = [GroupLoad(running=4 + number % 3) for number in range(25)]
    counts = Counter()
    for _ in range(40):
        candidates = [Candidate(key=str(n), load=load) for n, load in enumerate(loads)]
        chosen = choose_group(
            PROFILE,
            MODEL,
            candidates,
            prompt_tokens=500.0,
            limit_seconds=0.2,
            unreported=unreported,
            rng=rng,
        )
        counts[chosen.key] += 1
    return counts


def test_hosts_that_hear_late_do_not_all_choose_the_same_group():
    """Guard against one group after the other getting a queue while the rest idle.

    In a fleet of 70 hosts, 40 streams arrive between two load reports. If each host
    chose the best group by the same outdated loads, all of them would go to one group,
    and their first events would be late.
    """
    assert max(sent_by_many_hosts(0.0).values()) == 40
    assert max(sent_by_many_hosts(1.6).values()) <= 6


def test_few_hosts_with_fresh_figures_choose_the_best_group():
    few = unreported_streams(own_per_second=11.0, hosts=7, age_seconds=0.1, groups=12)
    many = unreported_streams(own_per_second=3.6, hosts=70, age_seconds=0.3, groups=33)
    assert few < UNREPORTED_STREAMS < many


def test_slow_groups_are_predicted_slow():
    fast = pass_seconds(PROFILE, MODEL, GroupLoad(running=5))
    slow = pass_seconds(PROFILE, MODEL, GroupLoad(running=5, slowness=4.0))
    assert abs(slow - 4 * fast) < 1e-9


def silence(silent, load, allowed=0.2):
    """Build the silence of a group with this load, `silent` seconds long."""
    predicted = silent_seconds(PROFILE, MODEL, load)
    return GroupSilence(
        silent_seconds=silent,
        predicted_gap=predicted,
        allowed_gap=allowed,
    )


def is_suspect(silence):
    """Return whether a group is suspected after the other hosts did not answer."""
    return (
        classify_silence(silence, PeerQuery(asked_at=0.0), 100.0)
        is SilenceVerdict.SUSPECT
    )


def test_a_silent_idle_group_is_suspected_before_its_streams_are_late():
    load = GroupLoad(running=2)
    assert not is_suspect(silence(0.06, load))
    assert is_suspect(silence(0.15, load))


def test_overload_does_not_look_like_death():
    """Guard against groups that are taken for dead one after the other.

    Some groups die, and the others are silent for half a second during the prefill of
    all their prompts. With a fixed limit they would be taken for dead as well, until no
    group is left; the limit must follow from the known work of a group.
    """
    loaded = GroupLoad(running=13, prefill_tokens=15_000)
    assert not is_suspect(silence(0.4, loaded))
    assert is_suspect(silence(1.5, loaded))


def gap_of(predicted):
    """Build a silence with a predicted gap and an allowed one of 0.2 s."""
    return GroupSilence(silent_seconds=0.0, predicted_gap=predicted, allowed_gap=0.2)


def test_the_limit_never_falls_below_what_the_timing_explains():
    assert silence_limit(gap_of(1.0)) > 1.0
    assert silence_limit(gap_of(0.01)) == 0.55 * 0.2


def test_the_other_hosts_have_answered_by_the_limit():
    """Guard against streams of a dead group that move too late for their gap objective.

    If the other hosts were asked only when the silence of a dead group reaches the
    limit, the time for their answers would be added to it.
    """
    limit = silence_limit(gap_of(0.05))

    def verdict(silent, query):
        silence = GroupSilence(
            silent_seconds=silent, predicted_gap=0.05, allowed_gap=0.2
        )
        return classify_silence(silence, query, 100.0 + silent)

    asked_at = 100.0 + ASK_SHARE * limit + 0.001
    assert ASK_SHARE * limit + PEER_ANSWER_SECONDS < limit
    assert verdict(ASK_SHARE * limit - 0.001, None) is SilenceVerdict.SOUND
    assert verdict(ASK_SHARE * limit + 0.001, None) is SilenceVerdict.ASK
    assert verdict(limit - 0.001, PeerQuery(asked_at=asked_at)) is SilenceVerdict.WAIT
    assert (
        verdict(limit + 0.001, PeerQuery(asked_at=asked_at)) is SilenceVerdict.SUSPECT
    )


def test_a_stream_that_only_waits_its_turn_is_not_moved():
    """Guard against moving streams that wait for a prefill, only to wait elsewhere.

    A group has many prompts to process; a stream has no event there yet, while others
    on the group advance. Its silence must not count like that of a running stream.
    """
    limit = silence_limit(gap_of(0.05))

    def verdict(factor, has_running):
        silence = GroupSilence(
            silent_seconds=factor * limit,
            predicted_gap=0.05,
            allowed_gap=0.2,
            has_running=has_running,
        )
        return classify_silence(
            silence, PeerQuery(asked_at=9.9, advanced_at=9.95), 10.0
        )

    assert verdict(1.1, has_running=True) is SilenceVerdict.LEAVE
    assert verdict(3.9, has_running=False) is SilenceVerdict.WAIT
    assert verdict(4.1, has_running=False) is SilenceVerdict.LEAVE


def test_only_as_many_groups_are_looked_at_as_the_choice_is_between():
    """Guard against evaluating the load of groups that are not chosen from.

    For each stream two groups are drawn out of 82. Summing up the load of all of them
    first took a fifth of the cost of a stream on a host of a large fleet.
    """
    evaluated = []

    def candidates():
        for number in range(82):
            evaluated.append(number)
            load = GroupLoad(running=14 if number < 3 else 4)
            yield Candidate(key=str(number), load=load)

    drawn = draw_candidates(
        PROFILE, MODEL, candidates(), prompt_tokens=500.0, limit_seconds=0.5
    )
    assert [candidate.key for candidate in drawn] == ["3", "4"]
    assert evaluated == [0, 1, 2, 3, 4]


def test_no_place_is_drawn_where_all_are_full():
    full = [Candidate(key="x", load=GroupLoad(running=PROFILE.slots + 1))]
    assert not draw_candidates(
        PROFILE, MODEL, full, prompt_tokens=500.0, limit_seconds=0.5
    )
