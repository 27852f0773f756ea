"""Enforce the rate limits that targets name in their answers, on all hosts together.

Only the host that got an answer knows the limit that it names: it broadcasts the limit,
so that hosts without a part of the rate stop before the target refuses them. Every host
enforces its own part of the rate, whether or not messages of others arrive.
"""

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.messages import RateLimitNews
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.state.fleet import Process, Target
from mallowpond.state.rate_limit import RateLimitShares, TargetLimit
from mallowpond.state.target_notice import TargetNotice

log = structlog.get_logger()

# Delays before each broadcast of a change, in seconds: several, as datagrams get lost.
SEND_DELAYS = (0.0, 0.5, 1.5)
# Interval at which a limit that stays in force is broadcast again, in seconds: well
# within the time after which hosts that only received it drop it.
REFRESH_SECONDS = 20.0
# Maximum number of targets in one message: an overloaded service has many targets with
# limits at once.
MAX_LIMITS_PER_MESSAGE = 50


class RateLimits:
    """Enforces this host's parts of the rate limits that targets have named."""

    def __init__(
        self,
        *,
        name: str,
        directory: Directory,
        clock: Clock,
        metrics: NodeMetrics,
        peers: PeerNetwork | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._shares = RateLimitShares(host=name)
        self._resends: ResendSchedule[Process] = ResendSchedule(
            clock=clock, delays=SEND_DELAYS, max_batch=MAX_LIMITS_PER_MESSAGE
        )
        self._broadcast_at: dict[Process, float] = {}
        directory.on_change.append(self._prune)
        if peers is not None:
            peers.on_rate_limits.append(self._on_peer_limits)

    def record_notice(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Apply the limit that an answer names; without one, the old limit is lifted.

        `sent_at` is the time at which the answered request was sent.
        """
        process, limit = target.process, notice.rate_limit
        if limit is None and not self._shares.is_limited(process):
            return
        age = self._clock.now() - sent_at if limit is None else 0.0
        is_new = self._apply(TargetLimit(process=process, limit=limit, age=age))
        if is_new or self._needs_refresh(process):
            self._resends.add(process)

    def _needs_refresh(self, process: Process) -> bool:
        if process in self._resends:
            return False
        broadcast_at = self._broadcast_at.setdefault(process, self._clock.now())
        return self._clock.now() - broadcast_at > REFRESH_SECONDS

    @property
    def has_limits(self) -> bool:
        """Return whether any limit, or its absence, is recorded."""
        return self._shares.has_entries

    def seconds_until_available(self, target: Target) -> float:
        """Return the seconds until this host may send to a target, 0 if it may now.

        Infinity if it has no part of the rate.
        """
        if not self._shares.is_limited(target.process):
            return 0.0
        return self._shares.seconds_until(
            target.process, self._hosts, self._clock.now()
        )

    def retry_seconds(self, target: Target) -> float:
        """Return the seconds between the sends of all hosts, 0 if unlimited."""
        return self._shares.retry_seconds(target.process)

    def record_sent(self, target: Target) -> None:
        """Count a request to a target against this host's part of its rate."""
        self._shares.record_sent(target.process, self._clock.now())

    def _hosts(self) -> list[str]:
        others = self._peers.live if self._peers else ()
        return [self._name, *(peer.heartbeat.node for peer in others)]

    def _apply(self, named: TargetLimit) -> bool:
        before = self._shares.limits.get(named.process)
        if not self._shares.update(named, self._clock.now()):
            return False
        self._metrics.rate_limited.set(len(self._shares.limits))
        log.info(
            "target: rate limit",
            target=named.process.id,
            limit=named.limit,
            before=before,
            age=round(named.age, 3),
        )
        return True

    def _prune(self) -> None:
        if not self.has_limits:
            return
        listed = {target.process for target in self._directory.targets.values()}
        self._shares.prune(listed, self._clock.now())
        self._broadcast_at = {
            p: at for p, at in self._broadcast_at.items() if p in listed
        }
        self._metrics.rate_limited.set(len(self._shares.limits))

    # -- other hosts ---------------------------------------------------------

    def _on_peer_limits(self, message: RateLimitNews) -> None:
        for named in message.limits:
            listed = self._directory.targets.get(named.process.id)
            if listed is not None and listed.process == named.process:
                self._apply(named)

    async def run(self) -> None:
        """Broadcast changed limits when they are due, until cancelled."""
        await self._resends.run(self.send_due)

    def send_due(self) -> None:
        """Broadcast the limits that are due now."""
        now = self._clock.now()
        limits = []
        for process in self._resends.take_due():
            latest = self._shares.latest(process, now)
            if latest is None:
                self._resends.drop(process)
                continue
            limits.append(latest)
            self._broadcast_at[process] = now
        if limits and self._peers is not None:
            self._peers.broadcast(RateLimitNews(node=self._name, limits=tuple(limits)))
