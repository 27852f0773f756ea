"""What a target announces about itself in the headers of its answers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TargetNotice:
    """Announcements in one answer of a target.

    rate_limit: requests per second that the target accepts from all hosts together.
    backoff_seconds: time for which this host must send the target no request.
    is_leaving: the target will stop soon.
    cold_seconds: how much longer the target stays cold, None if it does not say.
    """

    rate_limit: float | None = None
    backoff_seconds: float | None = None
    is_leaving: bool = False
    cold_seconds: float | None = None
