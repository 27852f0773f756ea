"""What a target says of itself in its answers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TargetNotice:
    """Hold what one answer says; `rate_limit` is in requests a second of all hosts."""

    rate_limit: float | None = None
