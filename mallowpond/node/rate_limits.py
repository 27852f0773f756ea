"""Keep the rate limits that targets name in their answers, together with other hosts.

Only the host that got an answer knows the limit that it names: it tells all others,
so that those that have no part of the rate stop before they are told by the target.
Every host keeps the part of the rate that is its own, whether or not others are heard.
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

# Pauses before news is told, in seconds: more than once, as datagrams get lost.
TELL_PAUSES = (0.0, 0.5, 1.5)
# Pause after which a limit that lasts is told again, in seconds: well within the time
# after which hosts that only hear of it forget it.
TELL_AGAIN_SECONDS = 20.0
# Targets that are told of in one message, at most: a service in need has many such
# targets at once.
TOLD_AT_ONCE = 50


class RateLimits:
    """Tell when targets that named a limit may be sent a request."""

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
        self._news: ResendSchedule[Process] = ResendSchedule(
            clock=clock, pauses=TELL_PAUSES, at_once=TOLD_AT_ONCE
        )
        self._told_at: dict[Process, float] = {}
        directory.on_change.append(self._forget_ended)
        if peers is not None:
            peers.on_rate_limits.append(self._hear_peer)

    def record_notice(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Take what an answer says that was asked for at a moment."""
        process, limit = target.process, notice.rate_limit
        if limit is None and not self._shares.is_limited(process):
            return
        age = self._clock.now() - sent_at if limit is None else 0.0
        is_news = self._take(TargetLimit(process=process, limit=limit, age=age))
        if is_news or self._is_told_long_ago(process):
            self._news.add(process)

    def _is_told_long_ago(self, process: Process) -> bool:
        if process in self._news:
            return False
        told_at = self._told_at.setdefault(process, self._clock.now())
        return self._clock.now() - told_at > TELL_AGAIN_SECONDS

    @property
    def has_limits(self) -> bool:
        """Tell whether any target names a limit."""
        return self._shares.has_entries

    def seconds_until_available(self, target: Target) -> float:
        """Return how long a target may be sent nothing by this host, in seconds."""
        if not self._shares.is_limited(target.process):
            return 0.0
        return self._shares.seconds_until(
            target.process, self._hosts, self._clock.now()
        )

    def retry_seconds(self, target: Target) -> float:
        """Return how often any host may send to a target, in seconds; 0 if always."""
        return self._shares.retry_seconds(target.process)

    def record_sent(self, target: Target) -> None:
        """Count a request to a target against this host's part of its rate."""
        self._shares.record_sent(target.process, self._clock.now())

    def _hosts(self) -> list[str]:
        others = self._peers.live if self._peers else ()
        return [self._name, *(peer.heartbeat.node for peer in others)]

    def _take(self, said: TargetLimit) -> bool:
        before = self._shares.limits.get(said.process)
        if not self._shares.update(said, self._clock.now()):
            return False
        self._metrics.rate_limited.set(len(self._shares.limits))
        log.info(
            "target: rate limit",
            target=said.process.id,
            limit=said.limit,
            before=before,
            age=round(said.age, 3),
        )
        return True

    def _forget_ended(self) -> None:
        if not self.has_limits:
            return
        listed = {target.process for target in self._directory.targets.values()}
        self._shares.prune(listed, self._clock.now())
        self._told_at = {p: at for p, at in self._told_at.items() if p in listed}
        self._metrics.rate_limited.set(len(self._shares.limits))

    # -- other hosts ---------------------------------------------------------

    def _hear_peer(self, news: RateLimitNews) -> None:
        for said in news.limits:
            listed = self._directory.targets.get(said.process.id)
            if listed is not None and listed.process == said.process:
                self._take(said)

    async def run(self) -> None:
        """Tell other hosts what is new until cancelled."""
        await self._news.run(self.send_due)

    def send_due(self) -> None:
        """Tell the other hosts what is due now."""
        now = self._clock.now()
        told = []
        for process in self._news.take_due():
            word = self._shares.latest(process, now)
            if word is None:
                self._news.drop(process)
                continue
            told.append(word)
            self._told_at[process] = now
        if told and self._peers is not None:
            self._peers.broadcast(RateLimitNews(node=self._name, limits=tuple(told)))
