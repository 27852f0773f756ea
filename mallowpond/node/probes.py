"""Probe targets directly to find out which ones are alive.

A probe asks a target for its report, and so also shows which process answers. "The
list" is the platform's list of targets, in which each target renews its own entry; a
lapsed target did not renew it in time, but may still run.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.node.call_gate import CallGate
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.directory import Directory
from mallowpond.node.indirect_probe import IndirectProbe
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import EngineReport, Targets
from mallowpond.node.silence_surveys import SilenceSurveys
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.node.target_links import TargetLinks
from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import Process, Target
from mallowpond.state.observer_health import ObserverHealth
from mallowpond.state.order_book import OrderBook
from mallowpond.state.processes import CurrentProcesses
from mallowpond.state.slow_members import PaceReadings
from mallowpond.transport.connector import Connected

log = structlog.get_logger()

# Interval between two probes of a target that did not answer, in seconds; and of one
# that accepted connections, as it counts as lost until it is asked again.
PROBE_INTERVAL_SECONDS = 2.0
PAUSED_PROBE_INTERVAL_SECONDS = 0.3
# Time of silence after which a target that accepts connections counts as lost, in
# seconds: longer than engines pause. Interval between two probes meanwhile, in seconds.
MAX_PAUSE_SECONDS = 1.5
PAUSED_PROBE_SECONDS = 0.1
# Consecutive requests without an answer after which a target counts as lost.
PROBE_ATTEMPTS = 2
# Interval between two checks of a group member whose list entry lapsed, in seconds.
LAPSED_PROBE_INTERVAL_SECONDS = 1.0
# Interval between two probes of a head that hosts report as ended, in seconds: many
# hosts report it, and one that lost only connections is reported again and again.
REPORTED_PROBE_INTERVAL_SECONDS = 0.5
# Consecutive failed health checks after which a lapsed target counts as leaving, that
# is, as about to shut down. One is not enough: a head (the member that takes a group's
# requests) whose slots are all in use refuses a health check like a request.
UNHEALTHY_THRESHOLD = 2


class TargetProbes:
    """Probes targets, and tracks those that are lost or stop without announcing it.

    `is_report_current` returns whether a report comes from the current process and
    shows the last order given to it.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationFollower,
        directory: Directory,
        targets: Targets,
        peers: PeerNetwork,
        processes: CurrentProcesses,
        book: OrderBook,
        clock: Clock,
        gate: CallGate,
        availability: TargetAvailability,
        is_report_current: Callable[[Target], bool],
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
        rng: random.Random,
        links: TargetLinks | None = None,
    ) -> None:
        self._links = links
        self._configuration = configuration
        self._directory = directory
        self._targets = targets
        self._peers = peers
        self._processes = processes
        self._book = book
        self._clock = clock
        self._gate = gate
        self._availability = availability
        self._is_report_current = is_report_current
        self._spawn = spawn
        # Keyed by process, not by target id: a target that has just restarted would
        # otherwise count as lost, or share the answer of its earlier process.
        self._lost: dict[Process, float] = {}  # time of the last failed probe
        # Silent targets whose hosts accepted connections: they may go on at any moment.
        self._paused: set[Process] = set()
        self._replaced: dict[Process, float] = {}  # time of the refused order
        self._running_probes: dict[Process, asyncio.Task[bool]] = {}
        self._lapsed_probed_at: dict[Process, float] = {}
        self._reported_probed_at: dict[Process, float] = {}
        self._unhealthy: dict[Process, int] = {}  # consecutive failed health checks
        # Silent targets whose silence was not counted, as it was common to nearly all.
        self._held: set[Process] = set()
        self._observer_health = ObserverHealth()
        self.surveys = SilenceSurveys(
            directory=directory,
            ask=self._fetch_report,
            is_lost=lambda target: target.process in self._lost,
            clock=clock,
            rng=rng,
        )
        # What every report says of its process's pace, whatever it was asked for.
        self.paces = PaceReadings()
        self._indirect_probe = IndirectProbe(
            peers=peers, probe=self._probe_for_peer, spawn=spawn
        )

    @property
    def lost(self) -> frozenset[str]:
        """Return the ids of targets that do not answer or were replaced."""
        return frozenset(process.id for process in (*self._lost, *self._replaced))

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target is about to shut down, though not listed as such."""
        if self._availability.is_leaving(target):
            return True
        unhealthy = self._unhealthy.get(target.process, 0)
        return target.lapsed and unhealthy >= UNHEALTHY_THRESHOLD

    def reset(self) -> None:
        """Drop the findings of this node's earlier term as planner."""
        self._lost.clear()
        self._paused.clear()
        self._replaced.clear()
        self._lapsed_probed_at.clear()
        self._reported_probed_at.clear()
        self._unhealthy.clear()
        self._held.clear()
        self.surveys.reset()

    def probe_due(self) -> None:
        """Start the probes of lost, held and lapsed targets that are due."""
        now = self._clock.now()
        targets = self._directory.targets
        listed = {target.process: target for target in targets.values()}
        for known in (
            self._lost,
            self._replaced,
            self._lapsed_probed_at,
            self._reported_probed_at,
            self._unhealthy,
        ):
            for process in [p for p in known if p not in listed]:
                del known[process]
        self._held &= listed.keys()
        self._paused &= listed.keys()
        self._probe_held(listed)
        # An entry that is listed for this long was renewed by its process, so the
        # conclusion that another process had taken its address was wrong.
        for process, at in list(self._replaced.items()):
            if now - at > STALE_ENTRY_SECONDS:
                del self._replaced[process]
        for target in list(targets.values()):
            if target.lapsed and target.membership is not None:
                self._check_lapsed(target, now)
        for process, at in self._lost.items():
            interval = PROBE_INTERVAL_SECONDS
            if process in self._paused:
                interval = PAUSED_PROBE_INTERVAL_SECONDS
            if now - at > interval and process not in self._running_probes:
                self._spawn(self.probe(listed[process]))

    def _probe_held(self, listed: dict[Process, Target]) -> None:
        """Go on with the surveys, and probe targets once their silence counts again."""
        for service in {target.service for target in listed.values()}:
            if self.surveys.is_due(service):
                self._spawn(self.surveys.complete(service, self._clock.now()))
        for process in list(self._held):
            target = listed[process]
            if not self.surveys.is_held(target.service):
                self.start_probe(target)

    def start_probe(self, target: Target) -> None:
        """Start a probe of a target that did not answer, if none is running.

        None is started for a lost target: `probe_due` probes it at intervals.
        """
        process = target.process
        if process not in self._running_probes and process not in self._lost:
            self._spawn(self.probe(target))

    def probe_reported(self, target: Target, reporter: str) -> None:
        """Start a probe of a target that a host reports as ended, if one is due."""
        now, process = self._clock.now(), target.process
        probed_at = self._reported_probed_at.get(process, float("-inf"))
        if process in self._lost or now - probed_at < REPORTED_PROBE_INTERVAL_SECONDS:
            return
        self._reported_probed_at[process] = now
        log.info("planner: head reported ended", target=target.id, reporter=reporter)
        self.start_probe(target)

    def mark_replaced(self, target: Target) -> None:
        """Record that another process at a target's address refused its order.

        A probe cannot show this: the other process's report looks like an outdated
        report by the target. Without this record, a group that was being formed waited
        three seconds for a member that was gone.
        """
        if target.process not in self._replaced:
            log.warning("planner: target lost", target=target.id, reason="replaced")
        self._replaced[target.process] = self._clock.now()

    async def probe(self, target: Target) -> bool:
        """Return whether the target's listed process answers.

        Concurrent callers share one probe.
        """
        process = target.process
        running = self._running_probes.get(process)
        if running is None:
            running = asyncio.ensure_future(self._probe(target))
            self._running_probes[process] = running
            running.add_done_callback(lambda _: self._running_probes.pop(process, None))
        return await asyncio.shield(running)

    async def fetch_report(self, target: Target) -> EngineReport | Unavailable:
        """Fetch a target's report and record which process answered."""
        async with self._gate.admit():
            return await self._fetch_report(target)

    async def _fetch_report(self, target: Target) -> EngineReport | Unavailable:
        sent_at = self._clock.now()
        report = await self._targets.report(target)
        self._gate.record_result(answered=not isinstance(report, Unavailable))
        if isinstance(report, Unavailable):
            return report
        self._processes.record_answer(
            asked=target,
            answered=report.target,
            asked_at=sent_at,
            shows_last_order=self._is_report_current(report.target),
        )
        self._book.raise_min_count(report.target, report.orders)
        if report.target.process != target.process:
            # Both values are start times, which identify the processes.
            log.info(
                "planner: another process answered",
                target=target.id,
                asked=target.born,
                answered=report.target.born,
            )
        self._record_pace(report)
        return report

    def _record_pace(self, report: EngineReport) -> None:
        known = self.paces.get(report.target.process)
        was_slow = known is not None and known.was_slow
        pace = self.paces.record(report.target.process, report.pace, self._clock.now())
        if pace.was_slow and not was_slow:
            log.info("planner: target slow", target=report.target.id, pace=pace.pace)
        elif was_slow and not pace.was_slow:
            log.info("planner: target sound", target=report.target.id, pace=pace.pace)

    async def _probe(self, target: Target) -> bool:
        is_answered = await self._probe_once(target)
        if is_answered is None and not self.surveys.is_held(target.service):
            # A common silence has just ended, so the target's own counts anew.
            is_answered = await self._probe_once(target)
        return bool(is_answered)

    async def _probe_once(self, target: Target) -> bool | None:
        """Return whether the listed process answers, None if its silence is held."""
        failures: list[Unavailable] = []
        survey: asyncio.Future[None] | None = None
        connecting: asyncio.Future[bool] | None = None
        began = self._clock.now()
        for _ in range(PROBE_ATTEMPTS):
            async with self._gate.admit():
                began = began if failures else self._clock.now()
                report = await self._fetch_report(target)
            if not isinstance(report, Unavailable):
                return self._record_alive(target, report)
            failures.append(report)
            is_news = report.is_silent and target.process not in self._lost
            if is_news and survey is None:
                # Both run beside the next attempt, so that they delay no finding.
                complete = self.surveys.complete(target.service, began)
                survey = asyncio.ensure_future(complete)
                connecting = asyncio.ensure_future(self._accepts_connections(target))
        if survey is not None:
            await survey
        if survey is not None and all(failure.is_silent for failure in failures):
            if not self._is_evidence(target, began):
                return None
            if self.surveys.has_late_answers(target.service):
                report = await self.fetch_report(target)
                if not isinstance(report, Unavailable):
                    return self._record_alive(target, report)
            if connecting is not None and connecting.done() and connecting.result():
                self._paused.add(target.process)
                report = await self._await_late_report(target, began)
                if report is not None:
                    return self._record_alive(target, report)
        self._held.discard(target.process)
        if not await self._is_confirmed_silent(target, began):
            return False
        self._record_lost(target, failures[-1].reason)
        return False

    async def _await_late_report(
        self, target: Target, since: float
    ) -> EngineReport | None:
        """Return the report of a target that only pauses, None if none comes."""
        while self._clock.now() - since < MAX_PAUSE_SECONDS:
            await self._clock.sleep(PAUSED_PROBE_SECONDS)
            report = await self.fetch_report(target)
            if not isinstance(report, Unavailable):
                return report
            if not report.is_silent:
                return None
        return None

    async def _accepts_connections(self, target: Target) -> bool:
        """Return whether connections to a target open.

        Its host accepts them while its process stands still, unless the host is down or
        cut off.
        """
        if self._links is None:
            return False
        opened = await self._links.connect_directly(target.address)
        if not isinstance(opened, Connected):
            return False
        opened.writer.transport.abort()
        return True

    def _record_alive(self, target: Target, report: EngineReport) -> bool:
        """Record a target's report; return whether its listed process answered."""
        if self._is_report_current(report.target):
            self._directory.apply_report(report.target)
        self._held.discard(target.process)
        self._paused.discard(target.process)
        if self._lost.pop(target.process, None) is not None:
            log.info("planner: target regained", target=target.id)
        return report.target.process == target.process

    def _is_evidence(self, target: Target, since: float) -> bool:
        """Return whether a silence since a time counts; the target is held if not."""
        listed = self._directory.targets.get(target.id, target)
        if self.surveys.is_evidence(listed, since):
            return True
        if target.process not in self._held:
            self._held.add(target.process)
            log.info(
                "planner: silence not counted",
                target=target.id,
                cause="common",
                **self.surveys.counts(target.service),
            )
        return False

    def _record_lost(self, target: Target, reason: str) -> None:
        listed = self._directory.targets.get(target.id)
        if listed is None or listed.process != target.process:
            return
        if target.process not in self._lost:
            silent, domains = self._observer_health.count_silent(self._clock.now())
            log.warning(
                "planner: target lost",
                target=target.id,
                reason=reason,
                silent=silent,
                silent_domains=domains,
                listed=len(self._directory.targets),
                **self.surveys.counts(target.service),
            )
        self._lost[target.process] = self._clock.now()

    async def _is_confirmed_silent(self, target: Target, since: float) -> bool:
        """Return whether a target's silence since a time is not caused by this host.

        It counts only if this host reaches other targets itself. When so many targets
        are silent that this host itself may be at fault, another host probes the target
        indirectly. If none can answer, the silence counts.
        """
        if not await self._are_links_sound(target, since):
            log.warning("planner: silence not counted", target=target.id, cause="links")
            return False
        now = self._clock.now()
        self._observer_health.record_silence(target.id, target.domain, now)
        if not self._observer_health.is_suspect(now):
            return True
        if not await self._indirect_probe.is_alive(target.id):
            return True
        log.warning("planner: target alive by indirect probe", target=target.id)
        return False

    async def _are_links_sound(self, target: Target, since: float) -> bool:
        """Return whether this host reaches other targets of the same service."""
        if self._links is None:
            return True
        return await self._links.confirm(target.service, since)

    async def _probe_for_peer(self, identifier: str) -> bool | None:
        """Probe a target for another host.

        Return None if it is not listed here, or if this host cannot judge its silence.
        """
        target = self._directory.targets.get(identifier)
        if target is None:
            return None
        began = self._clock.now()
        for _ in range(PROBE_ATTEMPTS):
            if not isinstance(await self.fetch_report(target), Unavailable):
                return True
        if not await self._are_links_sound(target, began):
            return None
        return False

    def _check_lapsed(self, target: Target, now: float) -> None:
        if target.process in self._lost:
            self._directory.drop_lapsed(target.id)
        elif (
            now - self._lapsed_probed_at.get(target.process, 0.0)
            > LAPSED_PROBE_INTERVAL_SECONDS
        ):
            self._lapsed_probed_at[target.process] = now
            self._spawn(self._probe_lapsed(target))

    async def _probe_lapsed(self, target: Target) -> None:
        """Check a lapsed target: it may run, its entry not renewed, or shut down."""
        configuration = self._configuration.configuration
        service = configuration and configuration.services.get(target.service)
        if target.data_centre in self._directory.evacuated:
            # A health check is a request, which must not go there. A report is none,
            # and shows whether the target is dead.
            await self.probe(target)
            return
        if not service or not self._availability.can_send(target):
            return
        async with self._gate.admit():
            # A health check takes up a slot like a request.
            self._availability.record_sent(target)
            sent_at = self._clock.now()
            healthy = await self._targets.is_healthy(
                target,
                service.health_path,
                lambda seconds: self._availability.record_cold(
                    target, seconds, sent_at
                ),
            )
        if isinstance(healthy, Unavailable):
            await self.probe(target)
            return
        if healthy:
            self._unhealthy.pop(target.process, None)
            # A restarted target is healthy too, but it has lost its group: it would
            # refuse every stream sent to it while it is recorded as healthy.
            if not await self.probe(target):
                return
            if self._processes.current(target).group_key != target.group_key:
                return
            self._directory.record_healthy(target.id)
            self._peers.broadcast_target_healthy(target.id)
            return
        times = self._unhealthy.get(target.process, 0) + 1
        self._unhealthy[target.process] = times
        if times == UNHEALTHY_THRESHOLD:
            log.info("planner: target leaves unannounced", target=target.id)
