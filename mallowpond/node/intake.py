"""Tell which targets take requests now, by what they say in their answers."""

from collections.abc import Iterable

import structlog

from mallowpond.node.rate_limits import RateLimits
from mallowpond.state.fleet import Group, Target
from mallowpond.state.target_notice import TargetNotice

log = structlog.get_logger()


class Intake:
    """Put together what targets say of the work that they want."""

    def __init__(self, *, rate_limits: RateLimits) -> None:
        self._rate_limits = rate_limits

    @property
    def is_any(self) -> bool:
        """Tell whether any target wants less than it could be sent."""
        return self._rate_limits.is_any

    def hear(self, target: Target, notice: TargetNotice, asked_at: float) -> None:
        """Take what an answer says that was asked for at a moment."""
        self._rate_limits.hear(target, notice, asked_at)
        if notice.backoff_seconds is not None:
            log.info(
                "target: asks for backoff",
                target=target.id,
                seconds=notice.backoff_seconds,
            )

    def may_send(self, target: Target) -> bool:
        """Tell whether a target may be sent one more request now."""
        return self.seconds_until(target) <= 0.0

    def seconds_until(self, target: Target) -> float:
        """Return how long a target may be sent nothing by this host, in seconds."""
        return self._rate_limits.seconds_until(target)

    def closed(self, groups: list[Group]) -> frozenset[str]:
        """Return the groups whose head may be sent nothing now."""
        if not self.is_any:
            return frozenset()
        return frozenset(g.name for g in groups if g.head and not self.may_send(g.head))

    def retry_seconds(self, targets: Iterable[Target]) -> float:
        """Return when a request that is refused now may find room, at any host.

        Zero where no target says that it wants less.
        """
        return self._rate_limits.retry_seconds(targets)

    def note_sent(self, target: Target) -> None:
        """Count a request to a target."""
        self._rate_limits.note_sent(target)
