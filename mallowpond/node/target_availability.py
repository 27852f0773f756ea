"""Decide which targets may be sent requests now, by what they announce."""

from collections.abc import Iterable
from math import inf

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.cold_limits import ColdLimits
from mallowpond.node.directory import Directory
from mallowpond.node.outcomes import Reason
from mallowpond.node.rate_limits import RateLimits
from mallowpond.state.backoff import TargetBackoffs
from mallowpond.state.fleet import Group, Target
from mallowpond.state.leaving import LeavingTargets
from mallowpond.state.target_notice import TargetNotice

log = structlog.get_logger()


class TargetAvailability:
    """Combines the rate limits, backoffs, coming stops and cold times of targets."""

    def __init__(
        self,
        *,
        rate_limits: RateLimits,
        directory: Directory,
        clock: Clock,
        cold_limits: ColdLimits | None = None,
    ) -> None:
        self._cold_limits = cold_limits
        self._rate_limits = rate_limits
        self._directory = directory
        self._clock = clock
        self._backoffs = TargetBackoffs()
        self._leaving = LeavingTargets()
        directory.on_change.append(self._prune)

    @property
    def has_restrictions(self) -> bool:
        """Return whether any announcement is recorded, also one that is over."""
        has_waits = self._rate_limits.has_limits or self._backoffs.has_entries
        if self._cold_limits is not None:
            has_waits = has_waits or self._cold_limits.has_entries
        return has_waits or len(self._leaving) > 0

    def record_notice(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Record what an answer announces; its request was sent at `sent_at`."""
        self._rate_limits.record_notice(target, notice, sent_at)
        if notice.cold_seconds is not None:
            self.record_cold(target, notice.cold_seconds, sent_at)
        if notice.is_leaving and self._leaving.add(target.process, self._clock.now()):
            log.info("target: leaves", target=target.id)
        if notice.backoff_seconds is not None:
            self._backoffs.record(
                target.process, notice.backoff_seconds, self._clock.now()
            )
            log.info(
                "target: asks for backoff",
                target=target.id,
                seconds=notice.backoff_seconds,
            )

    def record_cold(self, target: Target, seconds: float, sent_at: float) -> None:
        """Record for how long a target says that it stays cold."""
        if self._cold_limits is not None:
            self._cold_limits.record_said(target, seconds, sent_at)

    def is_cold(self, target: Target) -> bool:
        """Return whether a target has just started and takes only few requests."""
        return self._cold_limits is not None and self._cold_limits.is_cold(target)

    def can_send(self, target: Target) -> bool:
        """Return whether this host may send a target one more request now."""
        return self.seconds_until_available(target) <= 0.0

    def seconds_until_available(self, target: Target) -> float:
        """Return the seconds until this host may send to a target, 0 if it may now.

        Infinity if it will stop soon, or if this host has no part of its rate.
        """
        if target.process in self._leaving:
            return inf
        backoff = self._backoffs.seconds_left(target.process, self._clock.now())
        wait = max(backoff, self._rate_limits.seconds_until_available(target))
        if self._cold_limits is None:
            return wait
        return max(wait, self._cold_limits.seconds_until_available(target))

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target announced that it will stop soon."""
        return target.process in self._leaving

    def unavailable_groups(self, groups: list[Group]) -> frozenset[str]:
        """Return the names of the groups to whose head this host may not send now."""
        if not self.has_restrictions:
            return frozenset()
        return frozenset(g.name for g in groups if g.head and not self.can_send(g.head))

    def retry_seconds(self, targets: Iterable[Target]) -> float:
        """Return the seconds after which a refused request may be accepted at any host.

        Zero where no target has a backoff or a limit in force.
        """
        waits = [wait for target in targets if (wait := self._retry_seconds(target))]
        return min(waits, default=0.0)

    def _retry_seconds(self, target: Target) -> float:
        backoff = self._backoffs.seconds_left(target.process, self._clock.now())
        wait = max(backoff, self._rate_limits.retry_seconds(target))
        if self._cold_limits is None:
            return wait
        return max(wait, self._cold_limits.retry_seconds(target))

    def refusal_reason(self, targets: Iterable[Target]) -> Reason | None:
        """Return why targets may not be sent requests now, None if all may be.

        Targets that will stop soon do not count.
        """
        staying = [target for target in targets if target.process not in self._leaving]
        unavailable = [target for target in staying if not self.can_send(target)]
        if not unavailable:
            return None
        now = self._clock.now()
        if any(self._backoffs.seconds_left(t.process, now) for t in unavailable):
            return Reason.BACKING_OFF
        if all(self.is_cold(target) for target in unavailable):
            return Reason.COLD
        return Reason.RATE_LIMITED

    def _prune(self) -> None:
        if not self.has_restrictions:
            return
        listed = {target.process for target in self._directory.targets.values()}
        self._backoffs.prune(listed, self._clock.now())
        self._leaving.prune(listed, self._clock.now())

    def record_sent(self, target: Target) -> None:
        """Count a request to a target against its limits."""
        self._rate_limits.record_sent(target)
        if self._cold_limits is not None:
            self._cold_limits.record_sent(target)
