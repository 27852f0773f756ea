"""Find out which targets live, by asking them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.directory import Directory
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import Targets
from mallowpond.state.fleet import Target

log = structlog.get_logger()

# Pause between two probes of a target that did not answer, in seconds.
PROBE_SECONDS = 2.0
# Probes in a row that must fail before a target counts as lost.
PROBES = 2
# Pause between two probes of a member that the list has lost, in seconds.
LAPSE_PROBE_SECONDS = 1.0
# Probes in a row that find a target unhealthy before it counts as leaving: a head
# whose slots are full refuses a probe as it refuses a request.
UNHEALTHY_PROBES = 2


class TargetProbes:
    """Remember which targets do not answer, and which leave unannounced."""

    def __init__(
        self,
        *,
        configuration: ConfigurationFollower,
        directory: Directory,
        targets: Targets,
        peers: PeerNetwork,
        clock: Clock,
        may_learn: Callable[[Target], bool],
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._may_learn = may_learn
        self._spawn = spawn
        self._lost: dict[str, float] = {}
        self._asking: dict[str, asyncio.Task[bool]] = {}
        self._lapse_probed: dict[str, float] = {}
        self._unhealthy: dict[str, int] = {}

    @property
    def lost(self) -> frozenset[str]:
        """Return the targets that do not answer."""
        return frozenset(self._lost)

    def is_leaving(self, target: Target) -> bool:
        """Tell whether a target that the list has lost is about to stop."""
        unhealthy = self._unhealthy.get(target.id, 0)
        return target.lapsed and unhealthy >= UNHEALTHY_PROBES

    def reset(self) -> None:
        """Forget what an earlier planner's time taught."""
        self._lost.clear()
        self._lapse_probed.clear()
        self._unhealthy.clear()

    def look(self) -> None:
        """Probe again what is due: lost targets, and those the list has lost."""
        now = self._clock.now()
        targets = self._directory.targets
        self._lost = {t: at for t, at in self._lost.items() if t in targets}
        for target in list(targets.values()):
            if target.lapsed and target.membership is not None:
                self._look_at_lapsed(target, now)
        for identifier, at in self._lost.items():
            target = targets.get(identifier)
            if target and now - at > PROBE_SECONDS and identifier not in self._asking:
                self._spawn(self.probe(target))

    def investigate(self, target: Target) -> None:
        """Probe a target that did not answer an order or a question."""
        if target.id not in self._asking and target.id not in self._lost:
            self._spawn(self.probe(target))

    async def probe(self, target: Target) -> bool:
        """Ask a target whether it lives; whoever asks meanwhile shares the answer."""
        running = self._asking.get(target.id)
        if running is None:
            running = asyncio.ensure_future(self._ask(target))
            self._asking[target.id] = running
            running.add_done_callback(lambda _: self._asking.pop(target.id, None))
        return await asyncio.shield(running)

    async def _ask(self, target: Target) -> bool:
        reason = ""
        for _ in range(PROBES):
            report = await self._targets.report(target)
            if isinstance(report, Unavailable):
                reason = report.reason
                continue
            if self._may_learn(target):
                self._directory.learn(report.target)
            if self._lost.pop(target.id, None) is not None:
                log.info("planner: target regained", target=target.id)
            return True
        if target.id not in self._lost:
            log.warning("planner: target lost", target=target.id, reason=reason)
        self._lost[target.id] = self._clock.now()
        return False

    def _look_at_lapsed(self, target: Target, now: float) -> None:
        if target.id in self._lost:
            self._directory.forget(target.id)
        elif now - self._lapse_probed.get(target.id, 0.0) > LAPSE_PROBE_SECONDS:
            self._lapse_probed[target.id] = now
            self._spawn(self._probe_lapsed(target))

    async def _probe_lapsed(self, target: Target) -> None:
        """Tell a target that is cut off from the list from one that leaves."""
        configuration = self._configuration.configuration
        service = configuration and configuration.services.get(target.service)
        if not service:
            return
        healthy = await self._targets.is_healthy(target, service.health_path)
        if isinstance(healthy, Unavailable):
            await self.probe(target)
            return
        if healthy:
            self._unhealthy.pop(target.id, None)
            self._directory.vouch(target.id)
            self._peers.tell_vouch(target.id)
            return
        times = self._unhealthy.get(target.id, 0) + 1
        self._unhealthy[target.id] = times
        if times == UNHEALTHY_PROBES:
            log.info("planner: target leaves unannounced", target=target.id)
