"""Judge when a group's silence means that it died.

A head whose member died keeps accepting requests while nothing moves, and says so
only seconds later. All streams of a group advance in the same pass, so an event of
any of them shows that the group lives; the silence of all of them, past what the
declared timing explains, is the only early sign of its death.
"""

from dataclasses import dataclass

# Multiple of the predicted silence below which a group is never suspected: passes
# that read the prompts of other hosts' requests are not all known here.
EXPECTED_FACTOR = 1.6
# Added to the predicted silence, in seconds: timers, links and scheduling.
SILENCE_SLACK_SECONDS = 0.03
# Share of the objective or gap after which a silent group is suspected if the
# prediction allows; the rest is what a resume elsewhere takes.
TRIGGER_SHARE = 0.55


@dataclass(frozen=True, kw_only=True)
class GroupQuiet:
    """Describe the streams that one entry host has on one group."""

    silent_seconds: float
    predicted_gap: float
    allowed_gap: float


def silence_limit(predicted: float, allowed: float) -> float:
    """Return the silence after which a group is suspected, in seconds."""
    expected = EXPECTED_FACTOR * predicted + SILENCE_SLACK_SECONDS
    return max(expected, TRIGGER_SHARE * allowed)


def is_suspect(quiet: GroupQuiet) -> bool:
    """Tell whether a group's silence means that its streams have to move."""
    limit = silence_limit(quiet.predicted_gap, quiet.allowed_gap)
    return quiet.silent_seconds > limit
