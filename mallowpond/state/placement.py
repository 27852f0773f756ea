"""Choose the group for a stream by the predicted time of its first event.

Short streams with prompts of very different length arrive at many groups through
several entry hosts, while groups fail and recover. By requests in flight alone, a
stream would be sent to a group that is still busy with the prefill of a long prompt.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

from mallowpond.state.fleet import EngineProfile, ModelSpec

# Requests beyond its slots that an engine may be sent: its queue admits them as soon as
# a slot is free, so that no slot is idle for a round trip.
QUEUE_BEYOND_SLOTS = 1
# Passes from the arrival of a request to its first event, besides the prefill: the one
# in progress, and one that generates the event.
FIRST_EVENT_PASSES = 2.0
# Passes, besides the prefill, within which a healthy group sends some event.
SILENT_PASSES = 1.5
# Number of unreported streams per group from which hosts choose among a few groups
# drawn at random. With the same outdated load figures, all hosts would otherwise send
# their streams to the one group that was best then.
UNREPORTED_STREAMS = 1.0
DRAWN_GROUPS = 2
# Factor on the predicted time of a cold group, whose head has just started: streams
# prefer warm groups, and still use a cold one where the others are far behind.
COLD_SLOWNESS = 2.0
# Assumed context of a running request in tokens, where no typical prompt is declared.
DEFAULT_CONTEXT_TOKENS = 1000.0


@dataclass(frozen=True, kw_only=True)
class GroupLoad:
    """Known work of a group, of this and of all other entry hosts.

    `prefill_tokens` are prompt tokens that the group has yet to process; `slowness` is
    the factor by which it is slower than the declared pace.
    """

    running: int
    prefill_tokens: float = 0.0
    slowness: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One group that may be chosen."""

    key: str
    load: GroupLoad
    is_leaving: bool = False
    # Its head failed recently and has not been observed alive since.
    has_ended: bool = False
    # Its head has just started, and takes only few requests a second.
    is_cold: bool = False


def pass_seconds(profile: EngineProfile, model: ModelSpec, load: GroupLoad) -> float:
    """Return the seconds of one pass, which is the typical gap between events."""
    context = profile.typical_prompt_tokens or DEFAULT_CONTEXT_TOKENS
    step = profile.step_seconds
    step += profile.request_seconds * load.running
    step += profile.context_seconds_per_k * context * load.running / 1000.0
    return step * profile.stride * model.pace * load.slowness


def prefill_seconds(
    profile: EngineProfile, model: ModelSpec, tokens: float, slowness: float = 1.0
) -> float:
    """Return the seconds that the prefill of `tokens` prompt tokens takes."""
    return tokens / profile.prefill_tokens_per_second * model.pace * slowness


def first_event_seconds(
    profile: EngineProfile, model: ModelSpec, load: GroupLoad, prompt_tokens: float
) -> float:
    """Predict the seconds to the first event of a stream that is sent now.

    They cover the passes before its first event, the prefill of the waiting prompts and
    of its own, and, if all slots are taken, the wait for other streams to end.
    """
    one_pass = pass_seconds(profile, model, load)
    prefill = prefill_seconds(
        profile, model, load.prefill_tokens + prompt_tokens, load.slowness
    )
    beyond = max(0, load.running + 1 - profile.slots)
    passes = profile.typical_answer_tokens / max(1, profile.stride)
    ending = beyond * passes * one_pass / max(1, profile.slots)
    return FIRST_EVENT_PASSES * one_pass + prefill + ending


def silent_seconds(profile: EngineProfile, model: ModelSpec, load: GroupLoad) -> float:
    """Predict the longest silence of a healthy group, over all streams, in seconds."""
    one_pass = pass_seconds(profile, model, load)
    prefill = prefill_seconds(profile, model, load.prefill_tokens, load.slowness)
    return SILENT_PASSES * one_pass + prefill


def has_capacity(
    profile: EngineProfile,
    model: ModelSpec,
    load: GroupLoad,
    *,
    prompt_tokens: float,
    limit_seconds: float,
) -> bool:
    """Return whether a group takes one more stream.

    No stream is placed beyond the slots and the queue. Below that, a group with a long
    prefill backlog takes no more: a new stream would be late and delay the events of
    the running ones. A group without a backlog always takes one, however slow it is.
    """
    if load.running >= profile.slots + QUEUE_BEYOND_SLOTS:
        return False
    if load.prefill_tokens <= 0:
        return True
    seconds = first_event_seconds(profile, model, load, prompt_tokens)
    return seconds <= limit_seconds


def scaled_delay(load: GroupLoad, delay_seconds: float) -> float:
    """Scale the delay of first events beyond the declared timing to a group's slowness.

    Slow groups, such as those across fabric domains, have a longer delay.
    """
    return delay_seconds * max(1.0, load.slowness)


def serves_late(
    profile: EngineProfile, model: ModelSpec, load: GroupLoad, gap_limit: float
) -> bool:
    """Return whether one more stream's gaps would exceed the limit; 0: no limit."""
    return gap_limit > 0.0 and pass_seconds(profile, model, load) > gap_limit


def unreported_streams(
    *, own_per_second: float, hosts: int, age_seconds: float, groups: int
) -> float:
    """Estimate the streams per group that other hosts sent since the last load report.

    It assumes that each of the `hosts` sends at this host's rate `own_per_second`.
    """
    others = own_per_second * max(0, hosts - 1)
    return others * age_seconds / max(1, groups)


def draw_candidates(
    profile: EngineProfile,
    model: ModelSpec,
    candidates: Iterable[Candidate],
    *,
    prompt_tokens: float,
    limit_seconds: float,
    count: int = DRAWN_GROUPS,
    gap_limit: float = 0.0,
) -> list[Candidate]:
    """Return the first `count` candidates with capacity, those on time first.

    The candidates must come in random order. The choice is made among those returned,
    so the others are not evaluated: in a large fleet that would cost more than all
    other work of a host on placement.
    """
    with_capacity = (
        candidate
        for candidate in candidates
        if has_capacity(
            profile,
            model,
            candidate.load,
            prompt_tokens=prompt_tokens,
            limit_seconds=limit_seconds,
        )
    )
    if gap_limit <= 0.0:
        return list(islice(with_capacity, count))
    on_time: list[Candidate] = []
    late: list[Candidate] = []
    for candidate in with_capacity:
        is_late = serves_late(profile, model, candidate.load, gap_limit)
        (late if is_late else on_time).append(candidate)
        if len(on_time) == count:
            return on_time
    return [*on_time, *late][:count]


def choose_group(
    profile: EngineProfile,
    model: ModelSpec,
    candidates: Sequence[Candidate],
    *,
    prompt_tokens: float,
    limit_seconds: float,
    delay_seconds: float = 0.0,
    unreported: float = 0.0,
    rng: random.Random | None = None,
    gap_limit: float = 0.0,
) -> Candidate | None:
    """Return the group with the earliest predicted first event, None if all are full.

    A group with a member that is about to stop ranks after the others, as a stream
    there may have to move again. One whose gaps between events would exceed
    `gap_limit` serves late for sure and ranks after those; one whose head has probably
    ended ranks last. With
    many `unreported` streams the choice is between two groups drawn at random.

    `delay_seconds` is the delay of first events beyond the declared timing on a healthy
    group. It counts against slow groups, but not for whether a group has capacity: a
    stream that would be a little late would be even later after a wait in the queue.
    """
    available = [
        candidate
        for candidate in candidates
        if has_capacity(
            profile,
            model,
            candidate.load,
            prompt_tokens=prompt_tokens,
            limit_seconds=limit_seconds,
        )
    ]
    if not available:
        return None
    if rng is not None and unreported >= UNREPORTED_STREAMS:
        available = rng.sample(available, min(DRAWN_GROUPS, len(available)))

    def rank(candidate: Candidate) -> tuple[bool, bool, bool, float]:
        seconds = first_event_seconds(profile, model, candidate.load, prompt_tokens)
        seconds += pass_seconds(profile, model, candidate.load)
        seconds += scaled_delay(candidate.load, delay_seconds)
        if candidate.is_cold:
            seconds *= COLD_SLOWNESS
        is_late = serves_late(profile, model, candidate.load, gap_limit)
        return (candidate.has_ended, is_late, candidate.is_leaving, seconds)

    return min(available, key=rank)
