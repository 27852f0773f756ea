"""Failure detector for groups: decide when silence means that a group has died.

A head whose member died keeps accepting requests while no stream advances, and reports
the failure only seconds later. All streams of a group advance in the same pass, so an
event of any of them shows that the group is alive. The silence of all of them, beyond
what the declared timing explains, is the only early sign of its death.

Streams of one group come from many hosts. A host with one or two of them has little
evidence, and its view of the others' load is outdated. So before it treats the group as
dead, it asks the other hosts whether any of them has seen an event since.
"""

from dataclasses import dataclass
from enum import Enum

# Multiple of the predicted silence below which a group is never suspected, as a host
# does not know all prefill of other hosts' requests.
EXPECTED_FACTOR = 1.6
# Margin added to the predicted silence for timers, links and scheduling, in seconds.
SILENCE_SLACK_SECONDS = 0.03
# Share of the objective or gap objective after which a silent group is suspected,
# unless the predicted silence is longer; the rest is what a resume on another group
# takes.
TRIGGER_SHARE = 0.55
# Time that the other hosts have to report an event, in seconds: some tens of round
# trips within a region, and a small part of any gap objective.
PEER_ANSWER_SECONDS = 0.025
# Share of the limit after which the other hosts are asked, so that their answers are
# there at the limit. If they were asked at the limit, streams would move later by the
# time for the answers.
ASK_SHARE = 0.75
# Time for which such an answer is valid, in seconds; then the others are asked again,
# as the group may have died since.
ADVANCE_VALID_SECONDS = 0.1
# Multiple of the limit at which a host moves its streams off a group that advances for
# other hosts, while its own all wait for their first event: such a group is mostly busy
# with the prefill of others' prompts.
OWN_SILENCE_FACTOR = 4.0
# Share of the asking host's silence within which another host must have seen an event,
# as all streams of a dead group fall silent with the same pass.
ADVANCE_SHARE = 0.6


@dataclass(frozen=True, kw_only=True)
class GroupSilence:
    """Observed silence of one entry host's streams on one group, and its predictions.

    `silent_seconds` is the time since the last event of any of them; `predicted_gap` is
    the longest silence that the known load explains, and `allowed_gap` the strictest
    objective or gap objective. With `has_running`, one of them has had an event there
    and would have another with each pass. If none is running, a stream may wait for its
    first event for up to `first_event_seconds`.
    """

    silent_seconds: float
    predicted_gap: float
    allowed_gap: float
    first_event_seconds: float = 0.0
    has_running: bool = False


def silence_limit(silence: GroupSilence) -> float:
    """Return the silence after which a group is suspected, in seconds.

    Streams that all wait for their first event look like those of a dead group for as
    long as first events take there, which the declared timing does not cover.
    """
    expected = EXPECTED_FACTOR * silence.predicted_gap
    if not silence.has_running:
        expected = max(expected, silence.first_event_seconds)
    return max(expected + SILENCE_SLACK_SECONDS, TRIGGER_SHARE * silence.allowed_gap)


class SilenceVerdict(Enum):
    """What to do about a group that is silent on this host."""

    SOUND = "sound"
    ASK = "ask"
    WAIT = "wait"
    LEAVE = "leave"
    SUSPECT = "suspect"


@dataclass(frozen=True, kw_only=True)
class PeerQuery:
    """When the other hosts were asked, and when one last reported an event."""

    asked_at: float
    advanced_at: float | None = None


def classify_silence(
    silence: GroupSilence, query: PeerQuery | None, now: float
) -> SilenceVerdict:
    """Decide what to do about a group that is silent on this host.

    SOUND: do nothing. ASK: ask the other hosts. WAIT: wait for their answers, or
    because the group advances for them. LEAVE: it advances only for them, so move this
    host's streams off it. SUSPECT: treat it as dead.
    """
    limit = silence_limit(silence)
    if not is_due(silence):
        return SilenceVerdict.SOUND
    if query is None:
        return SilenceVerdict.ASK
    if query.advanced_at is not None:
        # A running stream has an event with each pass, so it must be this host that
        # cannot reach the group: waiting would cost the stream its gap objective.
        factor = 1.0 if silence.has_running else OWN_SILENCE_FACTOR
        if silence.silent_seconds > factor * limit:
            return SilenceVerdict.LEAVE
        is_old = now - query.advanced_at > ADVANCE_VALID_SECONDS
        return SilenceVerdict.ASK if is_old else SilenceVerdict.WAIT
    if now - query.asked_at < PEER_ANSWER_SECONDS or silence.silent_seconds <= limit:
        return SilenceVerdict.WAIT
    return SilenceVerdict.SUSPECT


def is_due(silence: GroupSilence) -> bool:
    """Return whether a group should have sent an event by now."""
    return silence.silent_seconds > ASK_SHARE * silence_limit(silence)


def seconds_until_due(silence: GroupSilence) -> float:
    """Return the seconds until a group without further events is no longer SOUND."""
    return ASK_SHARE * silence_limit(silence) - silence.silent_seconds


def has_advanced(*, own_silence: float, peer_silence: float) -> bool:
    """Return whether this host's last event shows a peer that the group is alive."""
    return own_silence < ADVANCE_SHARE * peer_silence
