"""Choose the group for a stream by when its first event would come.

The load pattern: short streams with prompts of very different length arrive at many
groups through several entry hosts, while groups die and come back. Going by requests
in flight alone sends a stream behind a long prompt that is still being read.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

from mallowpond.state.fleet import EngineProfile, ModelSpec

# Requests beyond the slots that an engine may be given: its queue admits them as
# soon as a slot frees, so a slot never idles for the length of a round trip.
QUEUE_BEYOND_SLOTS = 1
# Passes from the arrival of a request to its first event beside the reading: the one
# under way, and one that writes.
FIRST_EVENT_PASSES = 2.0
# Passes after which a group that works has shown some event, beside the reading.
SILENT_PASSES = 1.5
# Streams that the other hosts may have sent to a group since it was last heard of, from
# which hosts choose among a few groups drawn at random: all with the same old figures,
# they would send every stream to the one group that was best then.
UNREPORTED_STREAMS = 1.0
DRAWN_GROUPS = 2
# Context of a running request whose prompt is not known, in tokens.
DEFAULT_CONTEXT_TOKENS = 1000.0


@dataclass(frozen=True, kw_only=True)
class GroupLoad:
    """Hold what is known of a group's work: own and that of other entry hosts."""

    running: int
    prefill_tokens: float = 0.0
    slowness: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Offer one group to be chosen."""

    key: str
    load: GroupLoad
    is_leaving: bool = False
    # Its head broke off just now and has shown no life since.
    has_ended: bool = False


def pass_seconds(profile: EngineProfile, model: ModelSpec, load: GroupLoad) -> float:
    """Return the time of one pass, which is the usual gap between events."""
    context = profile.typical_prompt_tokens or DEFAULT_CONTEXT_TOKENS
    step = profile.step_seconds
    step += profile.request_seconds * load.running
    step += profile.context_seconds_per_k * context * load.running / 1000.0
    return step * profile.stride * model.pace * load.slowness


def prefill_seconds(
    profile: EngineProfile, model: ModelSpec, tokens: float, slowness: float = 1.0
) -> float:
    """Return the time that a group needs to read `tokens` of prompts."""
    return tokens / profile.prefill_tokens_per_second * model.pace * slowness


def first_event_seconds(
    profile: EngineProfile, model: ModelSpec, load: GroupLoad, prompt_tokens: float
) -> float:
    """Predict the time to the first event of a stream that is sent now.

    The passes before its first, the prompts that wait and its own; beyond the slots
    it waits for others to end.
    """
    one_pass = pass_seconds(profile, model, load)
    reading = prefill_seconds(
        profile, model, load.prefill_tokens + prompt_tokens, load.slowness
    )
    beyond = max(0, load.running + 1 - profile.slots)
    passes = profile.typical_answer_tokens / max(1, profile.stride)
    ending = beyond * passes * one_pass / max(1, profile.slots)
    return FIRST_EVENT_PASSES * one_pass + reading + ending


def silent_seconds(profile: EngineProfile, model: ModelSpec, load: GroupLoad) -> float:
    """Return how long a group that works may show no event on any of its streams."""
    one_pass = pass_seconds(profile, model, load)
    reading = prefill_seconds(profile, model, load.prefill_tokens, load.slowness)
    return SILENT_PASSES * one_pass + reading


def has_capacity(
    profile: EngineProfile,
    model: ModelSpec,
    load: GroupLoad,
    *,
    prompt_tokens: float,
    limit_seconds: float,
) -> bool:
    """Tell whether a group takes one more stream.

    Beyond the slots nothing starts. Before them, a group that still has to read many
    prompts takes no more: each would come late and delay the events of those that
    run. A group with nothing to read always takes one, however slow it is.
    """
    if load.running >= profile.slots + QUEUE_BEYOND_SLOTS:
        return False
    if load.prefill_tokens <= 0:
        return True
    seconds = first_event_seconds(profile, model, load, prompt_tokens)
    return seconds <= limit_seconds


def scaled_delay(load: GroupLoad, delay_seconds: float) -> float:
    """Return what a first event takes on a group beyond the declared timing.

    It grows with a group's slowness, as on groups across fabric domains.
    """
    return delay_seconds * max(1.0, load.slowness)


def unreported_streams(
    *, own_per_second: float, hosts: int, age_seconds: float, groups: int
) -> float:
    """Return the streams that each group got from other hosts since it was heard of."""
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
) -> list[Candidate]:
    """Return the first few groups with a place, of candidates in a random order.

    The choice is between these, so the others need not be looked at: in a large fleet
    that would cost more than the rest of what a host does for the placing.
    """
    places = (
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
    return list(islice(places, count))


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
) -> Candidate | None:
    """Return the group with the earliest first event, None when all are full.

    A group with a member that is about to stop comes late: a stream there may have
    to move once more. One whose head has probably ended comes last. Where much is
    unseen the choice is between two groups drawn at random.

    `delay_seconds` is what first events take beyond the declared timing on a sound
    group. It counts against slow groups, but not for whether there is a place: who
    would come a little late comes later still from the waiting line.
    """
    open_places = [
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
    if not open_places:
        return None
    if rng is not None and unreported >= UNREPORTED_STREAMS:
        open_places = rng.sample(open_places, min(DRAWN_GROUPS, len(open_places)))

    def rank(candidate: Candidate) -> tuple[bool, bool, float]:
        seconds = first_event_seconds(profile, model, candidate.load, prompt_tokens)
        seconds += pass_seconds(profile, model, candidate.load)
        seconds += scaled_delay(candidate.load, delay_seconds)
        return (candidate.has_ended, candidate.is_leaving, seconds)

    return min(open_places, key=rank)
