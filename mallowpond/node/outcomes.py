"""Outcomes of serving one request."""

from dataclasses import dataclass
from enum import Enum


class Reason(str, Enum):
    """Why a request was refused, failed, or sent again."""

    BAD_REQUEST = "bad_request"
    NO_CONFIGURATION = "no_configuration"
    UNSURE = "configuration_unsure"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_TARGET = "no_target"
    NO_GROUP = "no_group"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    MAYBE_RUN = "maybe_run"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    RESTARTED = "restarted"
    ATTEMPTS_USED = "attempts_used"
    BUDGET_USED = "budget_used"
    BROKEN_STREAM = "broken_stream"
    SILENT_GROUP = "silent_group"
    LINKS_LOST = "links_lost"
    TARGET_FAILED = "target_failed"
    CONNECT = "connect"
    HELD_BACK = "held_back"
    RATE_LIMITED = "rate_limited"
    BACKING_OFF = "backing_off"
    COLD = "cold"
    SLOW_TARGET = "slow_target"
    EVACUATED = "evacuated"
    STOPPING = "stopping"
    INTERNAL = "internal_error"


@dataclass(frozen=True, kw_only=True)
class Answered:
    """The caller got a target's complete answer."""

    status: int
    target: str


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """The caller got no answer; `status` is 503 only if the request did not run.

    `fingerprint` is empty for a request that was refused before it was routed.
    """

    status: int
    reason: Reason
    retry_after: float | None = None
    fingerprint: str = ""


@dataclass(frozen=True, kw_only=True)
class CutOff:
    """The answer had begun and cannot be completed; the connection is closed."""

    reason: Reason
    fingerprint: str = ""


ServeOutcome = Answered | Refusal | CutOff
