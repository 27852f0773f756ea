"""Judge when a group's silence means that it died.

A head whose member died keeps accepting requests while nothing moves, and says so
only seconds later. All streams of a group advance in the same pass, so an event of
any of them shows that the group lives; the silence of all of them, past what the
declared timing explains, is the only early sign of its death.

Streams of one group come from many hosts. Where each host has one or two of them, its
own say little, and what it knows of the others' load is old: it asks whether any host
saw an event since, before it takes the group for dead.
"""

from dataclasses import dataclass
from enum import Enum

# Multiple of the predicted silence below which a group is never suspected: passes
# that read the prompts of other hosts' requests are not all known here.
EXPECTED_FACTOR = 1.6
# Added to the predicted silence, in seconds: timers, links and scheduling.
SILENCE_SLACK_SECONDS = 0.03
# Share of the objective or gap after which a silent group is suspected if the
# prediction allows; the rest is what a resume elsewhere takes.
TRIGGER_SHARE = 0.55
# Time that the other hosts have to say that they saw an event, in seconds: some tens
# of round trips within a region, and a small part of any gap target.
ANSWER_SECONDS = 0.025
# Part of the limit after which they are asked, so that the answers are there at the
# limit: asked at the limit itself, streams would move later by the time for answers.
ASK_SHARE = 0.75
# Time that such an answer counts, in seconds; then the others are asked again, since
# the group may have died after it.
ADVANCE_SECONDS = 0.1
# Multiple of the limit at which a host leaves a group that advances elsewhere while
# its own streams still wait for their first event: such a group mostly has prompts of
# others to read.
OWN_SILENCE_FACTOR = 4.0
# Part of the asker's silence within which another host must have seen an event: all
# streams of a dead group fall silent with the same pass.
ADVANCE_SHARE = 0.6


@dataclass(frozen=True, kw_only=True)
class GroupSilence:
    """Describe the streams that one entry host has on one group.

    `has_running` tells whether one of them has had an event there: it would have had
    another one with each pass, while a stream that still waits for its first may wait
    longer than the others: up to `first_event_seconds` where none is running.
    """

    silent_seconds: float
    predicted_gap: float
    allowed_gap: float
    first_event_seconds: float = 0.0
    has_running: bool = False


def silence_limit(quiet: GroupSilence) -> float:
    """Return the silence after which a group is suspected, in seconds.

    Streams that all wait for their first event look like those of a dead group for as
    long as first events take there, which the declared timing does not tell.
    """
    expected = EXPECTED_FACTOR * quiet.predicted_gap
    if not quiet.has_running:
        expected = max(expected, quiet.first_event_seconds)
    return max(expected + SILENCE_SLACK_SECONDS, TRIGGER_SHARE * quiet.allowed_gap)


class SilenceVerdict(Enum):
    """Say what to do about a group that stands silent here."""

    SOUND = "sound"
    ASK = "ask"
    WAIT = "wait"
    LEAVE = "leave"
    SUSPECT = "suspect"


@dataclass(frozen=True, kw_only=True)
class PeerQuery:
    """Remember when the other hosts were asked, and the last event that one saw."""

    asked_at: float
    advanced_at: float | None = None


def classify_silence(
    quiet: GroupSilence, doubt: PeerQuery | None, now: float
) -> SilenceVerdict:
    """Decide about a group by its silence here and what the other hosts answered."""
    limit = silence_limit(quiet)
    if quiet.silent_seconds <= ASK_SHARE * limit:
        return SilenceVerdict.SOUND
    if doubt is None:
        return SilenceVerdict.ASK
    if doubt.advanced_at is not None:
        # A running stream has an event with each pass, so only this host's way to the
        # group can be cut: waiting on would cost the stream its gap target.
        factor = 1.0 if quiet.has_running else OWN_SILENCE_FACTOR
        if quiet.silent_seconds > factor * limit:
            return SilenceVerdict.LEAVE
        is_old = now - doubt.advanced_at > ADVANCE_SECONDS
        return SilenceVerdict.ASK if is_old else SilenceVerdict.WAIT
    if now - doubt.asked_at < ANSWER_SECONDS or quiet.silent_seconds <= limit:
        return SilenceVerdict.WAIT
    return SilenceVerdict.SUSPECT


def seconds_until_due(quiet: GroupSilence) -> float:
    """Return how long a group stays sound if it shows no event from now on."""
    return ASK_SHARE * silence_limit(quiet) - quiet.silent_seconds


def has_advanced(*, own_silence: float, asked_silence: float) -> bool:
    """Tell whether this host's last event shows that the group lives."""
    return own_silence < ADVANCE_SHARE * asked_silence
