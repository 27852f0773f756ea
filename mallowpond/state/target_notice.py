"""What a target says of itself in its answers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TargetNotice:
    """Hold what one answer says.

    `rate_limit` is in requests a second of all hosts. For `backoff_seconds` the target
    wants no request of the host that it answers. With `is_leaving` it stops soon.
    """

    rate_limit: float | None = None
    backoff_seconds: float | None = None
    is_leaving: bool = False
