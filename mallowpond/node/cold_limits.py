"""Bound the requests to targets that have just started, on all hosts together.

A host that learns that a target is cold broadcasts it, so that hosts without a part of
its rate stop at once. Every host enforces its own part of the rate, whether or not
messages of others arrive. Nothing is in force unless the service declares the rate that
a cold target tolerates and the settings hold the bound.
"""

from collections.abc import Callable, Collection

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.messages import ColdNews
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.node.settings import NodeBounds
from mallowpond.state.cold_targets import (
    SETTLE_SECONDS,
    ColdRule,
    ColdState,
    ColdTargets,
    count_sharers,
    host_part,
)
from mallowpond.state.fleet import Process, Target
from mallowpond.state.site_configuration import Service

log = structlog.get_logger()

# Delays before each broadcast of a change, in seconds: several, as datagrams get lost.
SEND_DELAYS = (0.0, 0.5, 1.5)
# Maximum number of targets in one message: those of a data centre become cold at once.
MAX_STATES_PER_MESSAGE = 100
# Time within which a live host is heard of, as a multiple of the heartbeat interval.
HEARTBEATS_TO_SETTLE = 1.2


class ColdLimits:
    """Enforces this host's parts of the rates of cold targets.

    find_service: returns a service of the configuration by its name.
    has_traffic: whether any request has been seen; before it, new targets are not
        presumed to be cold.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: Directory,
        clock: Clock,
        metrics: NodeMetrics,
        bounds: NodeBounds,
        find_service: Callable[[str], Service | None],
        has_traffic: Callable[[], bool] = lambda: True,
        peers: PeerNetwork | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds
        self._find_service = find_service
        self._has_traffic = has_traffic
        self._peers = peers
        self._targets = ColdTargets(
            host=name, started_at=clock.now(), settle_seconds=self._settle_seconds
        )
        # By the times and rates that services declare: read for each group at each
        # placement.
        self._rules: dict[tuple[float, float], ColdRule] = {}
        self._resends: ResendSchedule[Process] = ResendSchedule(
            clock=clock, delays=SEND_DELAYS, max_batch=MAX_STATES_PER_MESSAGE
        )
        if bounds.cold_ratio <= 0.0:
            return
        directory.on_listed.append(self._on_listed)
        directory.on_change.append(self._prune)
        if peers is not None:
            peers.on_cold_news.append(self._on_peer_news)

    @property
    def has_entries(self) -> bool:
        """Return whether any target is recorded, also one that is warm again."""
        return self._targets.has_entries

    def is_cold(self, target: Target) -> bool:
        """Return whether a target is cold and its service limits what it may get."""
        if not self.has_entries:
            return False
        if self._targets.seconds_left(target.process, self._clock.now()) <= 0.0:
            return False
        return self._rule(target) is not None

    def seconds_until_available(self, target: Target) -> float:
        """Return the seconds until this host may send to a target, 0 if it may now."""
        if not self.has_entries:
            return 0.0
        rule = self._rule(target)
        if rule is None:
            return 0.0
        return self._targets.seconds_until(
            target.process, rule, self._hosts, self._clock.now()
        )

    def retry_seconds(self, target: Target) -> float:
        """Return the mean seconds between the sends of one host, 0 if it is warm."""
        rule = self._rule(target)
        if not self.has_entries or rule is None:
            return 0.0
        return self._targets.retry_seconds(
            target.process, rule, len(self._hosts()), self._clock.now()
        )

    def record_sent(self, target: Target) -> None:
        """Count a request to a target against this host's part of its rate."""
        if self._rule(target) is None:
            return
        if self._targets.record_sent(target.process, self._clock.now()):
            self._metrics.cold_sends.inc()

    def record_said(self, target: Target, seconds: float, sent_at: float) -> None:
        """Apply how much longer a target says that it stays cold.

        `sent_at` is the time at which the answered request was sent: by then it may
        have been warm already, and by the answer it is cold for so long.
        """
        if self._rule(target) is None:
            return
        now = self._clock.now()
        age = 0.0 if seconds > 0.0 else now - sent_at
        state = ColdState(process=target.process, seconds=seconds, age=age)
        if self._targets.record_said(state, now):
            self._log(target, seconds, age, "answer")
            self._resends.add(target.process)

    def _rule(self, target: Target) -> ColdRule | None:
        """Return the rule of a target's service, None if no limit is in force."""
        if self._bounds.cold_ratio <= 0.0:
            return None
        service = self._find_service(target.service)
        if service is None or service.cold_per_second <= 0.0:
            return None
        found = (service.cold_seconds, service.cold_per_second)
        rule = self._rules.get(found)
        if rule is None:
            bound = service.cold_per_second * self._bounds.cold_ratio
            rule = self._rules[found] = ColdRule(
                cold_seconds=service.cold_seconds,
                per_second=service.cold_per_second,
                bound=bound + self._bounds.cold_slack,
            )
        return rule

    def _hosts(self) -> list[str]:
        others = self._peers.live if self._peers else ()
        return [self._name, *(peer.heartbeat.node for peer in others)]

    def _settle_seconds(self) -> float:
        interval = self._peers.interval if self._peers else 0.0
        return max(SETTLE_SECONDS, HEARTBEATS_TO_SETTLE * interval)

    def _on_listed(self, listed: Collection[Target], is_first: bool) -> None:
        now = self._clock.now()
        presumes = not is_first and self._has_traffic()
        for target in listed:
            rule = self._rule(target)
            if rule is None:
                continue
            is_change = self._targets.record_listed(
                target.process,
                target.cold_seconds,
                now,
                presumed_seconds=rule.cold_seconds if presumes else 0.0,
            )
            # The first list is what the other hosts know already.
            if is_change and not is_first:
                self._log(target, target.cold_seconds or 0.0, 0.0, "list")
                self._resends.add(target.process)
        self._update_metrics()

    def _log(self, target: Target, seconds: float, age: float, source: str) -> None:
        rule = self._rule(target)
        assert rule is not None
        self._update_metrics()
        log.info(
            "target: cold",
            target=target.id,
            seconds=round(seconds, 3),
            age=round(age, 3),
            source=source,
            hosts=count_sharers(rule),
            rate=round(host_part(rule).rate, 3),
        )

    def _update_metrics(self) -> None:
        self._metrics.cold.set(self._targets.count_cold(self._clock.now()))

    def _prune(self) -> None:
        if not self.has_entries:
            return
        listed = {target.process for target in self._directory.targets.values()}
        self._targets.prune(listed, self._clock.now())
        self._update_metrics()

    # -- other hosts ---------------------------------------------------------

    def _on_peer_news(self, message: ColdNews) -> None:
        count = 0
        for state in message.states:
            listed = self._directory.targets.get(state.process.id)
            if listed is None or listed.process != state.process:
                continue
            if self._rule(listed) is None:
                continue
            count += self._targets.record_said(state, self._clock.now())
        if count:
            # One line for all: those of a data centre become cold at once.
            self._update_metrics()
            log.info("targets: cold", count=count, host=message.node)

    async def run(self) -> None:
        """Broadcast changed states when they are due, until cancelled."""
        await self._resends.run(self.send_due)

    def send_due(self) -> None:
        """Broadcast the states that are due now."""
        now = self._clock.now()
        states = []
        for process in self._resends.take_due():
            latest = self._targets.latest(process, now)
            if latest is None:
                self._resends.drop(process)
                continue
            states.append(latest)
        if states and self._peers is not None:
            self._peers.broadcast(ColdNews(node=self._name, states=tuple(states)))
