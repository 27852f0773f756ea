"""Carry out the planner's steps: orders, probes, and what they tell."""

import asyncio
from collections.abc import Awaitable
from dataclasses import replace

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.node.call_gate import CallGate
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.directory import (
    PLANNER_POLL_SECONDS,
    POLL_SECONDS,
    Directory,
)
from mallowpond.node.leadership import Leadership
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.model_summary import demand, log_summary, utilization
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import (
    OrderFenced,
    OrderLost,
    OrderMisdirected,
    OrderResult,
    OrderTaken,
    OrderUnfit,
    Targets,
)
from mallowpond.node.probes import TargetProbes
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.node.traffic import TrafficSeen
from mallowpond.node.watch import GroupWatch
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    GroupPhase,
    Process,
    Target,
)
from mallowpond.state.formation import plan_steps
from mallowpond.state.formation_view import (
    Close,
    Formation,
    FormationView,
    Join,
    Leave,
    Open,
    Stage,
    Step,
)
from mallowpond.state.order_book import OrderBook, loads_weights
from mallowpond.state.processes import CurrentProcesses, has_restarted

log = structlog.get_logger()

# Pause between two plans, in seconds.
PLAN_SECONDS = 0.1
# Pause between two looks whether this node plans now, in seconds: a small part of the
# second after which a dead planner is replaced.
FOLLOW_SECONDS = 0.2
# Pause between two plans while nothing has changed or is under way, in seconds: most of
# them find nothing to do.
IDLE_PLAN_SECONDS = 0.5
# Pause between two log lines on the state of all groups, in seconds.
SUMMARY_SECONDS = 2.0
# Pause between two questions to the targets of orders while the list is lost, in
# seconds: reports lag by some hundred milliseconds.
PENDING_POLL_SECONDS = 0.3
# Time between two plans from which this process counts as having stood still, in
# seconds: another node takes over after a second of silence, and a number that it has
# not given to every member of a group does not guard the others.
PAUSE_SECONDS = 0.5
# Age of the lease from which a refusal for a higher number makes it be renewed, in
# seconds: many orders may be refused for the same reason at once.
LEASE_CHECK_SECONDS = 0.3
# Epochs that one fencing number has for its groups.
EPOCHS_PER_FENCE = 1_000_000
# Suspicions of one group within a time in seconds, each cleared by probes, after
# which it is formed anew: its members answer, yet cannot reach one another.
CLEARED_SUSPICIONS = 4
CLEARED_SECONDS = 2.0


class GroupPlanner:
    """Plan the groups of every model service while this node holds the lease."""

    def __init__(
        self,
        *,
        configuration: ConfigurationFollower,
        directory: Directory,
        targets: Targets,
        leadership: Leadership,
        peers: PeerNetwork,
        watch: GroupWatch,
        clock: Clock,
        metrics: NodeMetrics,
        stall_seconds: float,
        traffic_seen: TrafficSeen,
        availability: TargetAvailability,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._targets = targets
        self._leadership = leadership
        self._peers = peers
        self._watch = watch
        self._clock = clock
        self._metrics = metrics
        self._stall_seconds = stall_seconds
        self._traffic_seen = traffic_seen
        self._tasks: set[asyncio.Task[None]] = set()
        self._book = OrderBook()
        # Both are kept beyond a planner's term: one that knew only what the list shows
        # at its start would take a group for whole whose member has started again.
        self._seen_processes: dict[GroupKey, set[Process]] = {}
        self._recorded_groups: dict[GroupKey, Group] = {}
        self._processes = CurrentProcesses()
        self._gate = CallGate(clock=clock)
        self._probes = TargetProbes(
            configuration=configuration,
            directory=directory,
            targets=targets,
            peers=peers,
            processes=self._processes,
            book=self._book,
            clock=clock,
            gate=self._gate,
            availability=availability,
            is_report_current=self._is_report_current,
            spawn=self._spawn,
        )
        self._reset()
        leadership.on_acquired.append(self._reset)
        directory.on_change.append(self._record_members)
        watch.on_suspect.append(self._on_suspicion)

    def _reset(self) -> None:
        self._probes.reset()
        self._book.reset()
        self._has_fresh_list = False
        self._stepped_at = self._clock.now()
        self._lease_checked_at = float("-inf")
        self._next_epoch = self._leadership.fence * EPOCHS_PER_FENCE + 1
        self._closed: set[GroupKey] = set()
        self._restarted_groups: set[GroupKey] = set()
        self._leaving_since: dict[Process, float] = {}
        self._formations: dict[GroupKey, Formation] = {}
        self._first_seen: dict[GroupKey, float] = {}
        self._cleared_at: dict[GroupKey, list[float]] = {}
        self._loads_begun: list[float] = []
        self._polled_at = float("-inf")
        self._planned_at = float("-inf")
        self._has_changes = True
        self._summarized_at = float("-inf")

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await self.step()
            plans = self._leadership.fence
            await self._clock.sleep(PLAN_SECONDS if plans else FOLLOW_SECONDS)

    async def close(self) -> None:
        """End the orders that are under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def step(self) -> None:
        """Plan once, if this node is the planner."""
        if not self._leadership.fence:
            self._directory.poll_seconds = POLL_SECONDS
            return
        self._directory.poll_seconds = (
            PLANNER_POLL_SECONDS if self._has_pending_effects else POLL_SECONDS
        )
        if not await self._is_lease_confirmed():
            return
        self._stepped_at = self._clock.now()
        if not self._has_fresh_list:
            # A plan on an old list would take apart what the last planner formed.
            self._has_fresh_list = await self._directory.refresh()
            return
        configuration = self._configuration.configuration
        if configuration is None or not self._is_due():
            return
        self._planned_at, self._has_changes = self._stepped_at, False
        self._settle()
        for service in configuration.services.values():
            if service.profile is not None and service.profile.models:
                self._plan_service(service.name, service.profile)

    def _is_due(self) -> bool:
        """Tell whether a plan may find something to do."""
        if self._has_changes or self._has_pending_effects:
            return True
        return self._clock.now() - self._planned_at >= IDLE_PLAN_SECONDS

    @property
    def _has_pending_effects(self) -> bool:
        """Tell whether the list is about to show what was ordered."""
        if self._book.busy:
            return True
        forming = (GroupPhase.JOINING, GroupPhase.READY, GroupPhase.CLOSING)
        return any(g.phase in forming for g in self._directory.groups.values())

    async def _is_lease_confirmed(self) -> bool:
        """Tell whether the lease is held, asked for anew after this process paused."""
        if not self._has_paused:
            return True
        now = self._clock.now()
        if now - self._lease_checked_at < LEASE_CHECK_SECONDS:
            return False
        self._lease_checked_at = now
        log.info("planner: paused", seconds=round(now - self._stepped_at, 3))
        return await self._leadership.confirm()

    @property
    def _has_paused(self) -> bool:
        """Tell whether this process stood still: another may have taken over."""
        return self._clock.now() - self._stepped_at > PAUSE_SECONDS

    # -- planning ------------------------------------------------------------

    def _plan_service(self, service: str, profile: EngineProfile) -> None:
        view = self._view(service, profile)
        steps = plan_steps(view)
        if view.now - self._summarized_at > SUMMARY_SECONDS:
            self._summarized_at = view.now
            log_summary(self._directory, view)
        for step in steps:
            if isinstance(step, Join):
                self._record_formation(step)
            self._start_order(step)

    def _view(self, service: str, profile: EngineProfile) -> FormationView:
        now = self._clock.now()
        return FormationView(
            profile=profile,
            targets=tuple(
                self._with_latest_state(target)
                for target in self._directory.all_targets(service)
            ),
            now=now,
            demand=demand(self._directory, profile),
            utilization=utilization(self._directory, profile),
            next_epoch=self._next_epoch,
            lost=self._probes.lost,
            busy=self._book.busy,
            formations=self._formations,
            first_seen=self._first_seen,
            disclaimed=self._processes.disclaimed,
            seen={key: frozenset(seen) for key, seen in self._seen_processes.items()},
            repeatedly_suspected=frozenset(
                key
                for key, times in self._cleared_at.items()
                if sum(now - at < CLEARED_SECONDS for at in times) >= CLEARED_SUSPICIONS
            ),
            closed=frozenset(self._closed),
            leaving_since={p.id: at for p, at in self._leaving_since.items()},
            loads_begun=tuple(self._loads_begun),
            loading=self._book.loading,
            is_before_traffic=not self._traffic_seen.seen,
            is_settled=self._directory.is_settled,
            newest_target_at=self._directory.newest_target_at,
        )

    def _with_latest_state(self, target: Target) -> Target:
        """Return a target as answers and orders show it before the list does."""
        if self._probes.is_leaving(target):
            return replace(target, draining=True)
        return self._book.without_left_group(self._processes.current(target))

    @property
    def _present(self) -> dict[str, Target]:
        """Return every listed target, as the process that it runs now."""
        targets = self._directory.targets
        return {t: self._processes.current(listed) for t, listed in targets.items()}

    def _record_formation(self, step: Join) -> None:
        self._next_epoch = max(self._next_epoch, step.epoch + 1)
        key = (step.group, step.epoch)
        if key not in self._formations:
            log.info(
                "planner: forming",
                group=step.group,
                model=step.model,
                members=step.members,
            )
            self._formations[key] = Formation(
                group=step.group,
                epoch=step.epoch,
                model=step.model,
                members=step.members,
                ordered_at=self._clock.now(),
            )
            current = self._present
            self._seen_processes[key] = {
                current[member].process for member in step.members
            }

    def _record_members(self) -> None:
        """Note the processes that the list shows in each group."""
        self._has_changes = True
        self._processes.reconcile(self._directory.targets, now=self._clock.now())
        groups = self._directory.groups
        known = groups.keys() | self._formations.keys()
        self._seen_processes = {
            key: seen for key, seen in self._seen_processes.items() if key in known
        }
        for key, group in groups.items():
            if self._recorded_groups.get(key) is not group:
                members = {member.process for member in group.members}
                self._seen_processes.setdefault(key, set()).update(members)
        self._recorded_groups = dict(groups)

    def _settle(self) -> None:
        """Drop what the list shows to be done, and what is out of date."""
        now = self._clock.now()
        targets, groups = self._directory.targets, self._directory.groups
        current = self._present
        # While the list is away it shows nothing of what was ordered since.
        self._book.reconcile(current, now=now, shows_orders=self._directory.is_settled)
        for key in groups:
            self._first_seen.setdefault(key, now)
        self._leaving_since = {
            target.process: self._leaving_since.get(target.process, now)
            for target in targets.values()
            if target.draining or self._probes.is_leaving(target)
        }
        for known in (self._first_seen, self._cleared_at):
            for key in [k for k in known if k not in groups]:
                del known[key]
        self._formations = {
            key: formation
            for key, formation in self._formations.items()
            if key in groups or now - formation.ordered_at < self._stall_seconds
        }
        self._closed &= groups.keys()
        self._log_restarted(current)
        self._loads_begun = [at for at in self._loads_begun if now - at < 10.0]
        self._probes.probe_due()
        if self._directory.is_list_lost:
            self._poll_pending(now)

    def _log_restarted(self, current: dict[str, Target]) -> None:
        """Log each group that ends by the restart of a member, once."""
        groups = self._directory.groups
        ended = {
            k
            for k, seen in self._seen_processes.items()
            if has_restarted(seen, current)
        }
        for name, epoch in sorted(ended & groups.keys() - self._restarted_groups):
            log.info("planner: member started again", group=name, epoch=epoch)
        self._restarted_groups = ended & groups.keys()

    # -- orders --------------------------------------------------------------

    def _start_order(self, step: Step) -> None:
        now = self._clock.now()
        if self._book.is_busy(step.target):
            return
        self._book.begin(step, now)
        if isinstance(step, Leave | Close):
            self._watch.exclude_closing((step.group, step.epoch))
            self._peers.broadcast_suspicion((step.group, step.epoch), closing=True)
        if loads_weights(step):
            self._loads_begun.append(now)
        self._spawn(self._send_order(step, self._leadership.fence))

    async def _send_order(self, step: Step, fence: int) -> None:
        """Give an order under the fencing number with which it was planned."""
        target = step.target
        if isinstance(step, Join) and self._has_joined_elsewhere(step):
            self._release_target(step)
            return
        expected = await self._order_count(target)
        if expected is None:
            self._release_target(step)
            return
        # Planned before this node lost the lease and took it anew, an order rests on
        # what was since forgotten.
        async with self._gate.admit():
            is_held = fence and fence == self._leadership.fence
            if not is_held or self._has_paused or self._is_outdated(step):
                self._release_target(step)
                return
            end = await self._targets.order(step, fence=fence, expected=expected)
        self._gate.record_result(answered=not isinstance(end, OrderLost))
        self._handle_result(step, end, expected=expected)

    def _is_outdated(self, step: Step) -> bool:
        """Tell whether an order's target, or a member it counts on, is another process.

        Nor may a member join a formation that is over by now. The plan is as old as
        the question for the count; opened on it, a group would begin work with a
        member that holds nothing.
        """
        if not self._is_present(step.target):
            return True
        if not isinstance(step, Join | Open):
            return False
        key = (step.group, step.epoch)
        if isinstance(step, Join) and key not in self._formations:
            return True
        seen = self._seen_processes.get(key, ())
        targets = self._directory.targets
        listed = [targets[p.id] for p in seen if p.id in targets]
        current = {t.id: self._processes.current(t) for t in listed}
        return has_restarted(seen, current)

    def _has_joined_elsewhere(self, step: Join) -> bool:
        """Tell whether a target has joined another group here and not left it.

        The list may show the join late; what was ordered counts before what is shown.
        """
        key = self._book.joined(step.target)
        if key is None or key == (step.group, step.epoch):
            return False
        group = self._directory.groups.get(key)
        if group is not None and group.phase is GroupPhase.BROKEN:
            return False
        log.warning("planner: join withheld", target=step.target.id, stands_in=key[0])
        return True

    async def _order_count(self, target: Target) -> int | None:
        known = self._book.count(target)
        if known is not None:
            return known
        report = await self._probes.fetch_report(target)
        if isinstance(report, Unavailable):
            self._probes.start_probe(target)
            return None
        if report.target.group_key != target.group_key:
            # Another planner's order came after the list was read: a count that
            # includes it would let an order through that was planned without it,
            # and the target would stand in two groups.
            log.info("planner: target changed since the list", target=target.id)
            return None
        now = self._clock.now()
        if not self._book.record_report(report.target, report.orders, now=now):
            return None
        return report.orders

    def _is_present(self, target: Target) -> bool:
        """Tell whether a target is still the process that an order was meant for."""
        listed = self._directory.targets.get(target.id)
        if listed is None:
            return False
        return self._processes.current(listed).process == target.process

    def _handle_result(self, step: Step, end: OrderResult, *, expected: int) -> None:
        target = step.target
        is_late = not self._is_present(target)
        kind = type(step).__name__.lower()
        self._metrics.orders.labels(kind, type(end).__name__).inc()
        log.info(
            "planner: order",
            kind=kind,
            target=target.id,
            group=getattr(step, "group", None),
            end=type(end).__name__,
            fence=self._leadership.fence,
            late=is_late,
        )
        if is_late:
            # Nothing of what the earlier process answered holds for the present one.
            return
        match end:
            case OrderTaken(began=began):
                if began or isinstance(step, Leave):
                    self._book.record_begun(step, expected=expected, is_certain=began)
                self._record_accepted(step)
            case OrderFenced():
                self._book.invalidate_count(target)
                self._release_target(step)
                self._spawn(self._check_lease())
            case OrderUnfit() if isinstance(step, Stage):
                # It loads already, by an order of an earlier planner.
                self._book.invalidate_count(target)
                self._book.end(target)
            case OrderUnfit():
                self._book.invalidate_count(target)
                self._release_target(step)
            case OrderMisdirected():
                self._book.invalidate_count(target)
                self._release_target(step)
                self._probes.mark_replaced(target)
            case OrderLost():
                self._book.invalidate_count(target)
                self._release_target(step)
                self._probes.start_probe(target)

    def _record_accepted(self, step: Step) -> None:
        self._book.record_taken(step, self._clock.now())
        match step:
            case Leave(group=group, epoch=epoch):
                # The formation is over: kept, it had its members join again, and they
                # stood for seconds in a group that could not be whole.
                self._formations.pop((group, epoch), None)
                self._closed.add((group, epoch))
            case Close(group=group, epoch=epoch):
                self._closed.add((group, epoch))

    def _is_report_current(self, target: Target) -> bool:
        """Tell whether a report is the present process's and shows its last order."""
        is_current = self._book.shows_last_order(target, self._clock.now())
        return is_current and self._is_present(target)

    def _release_target(self, step: Step) -> None:
        """Free the target for another order after a moment."""
        if self._is_present(step.target):
            self._book.release_later(step, self._clock.now())

    async def _check_lease(self) -> None:
        if self._leadership.renewal_age > LEASE_CHECK_SECONDS:
            await self._leadership.renew()

    # -- probes --------------------------------------------------------------

    def _on_suspicion(self, key: GroupKey) -> None:
        if not self._leadership.fence:
            return
        group = self._directory.groups.get(key)
        if group is not None:
            self._spawn(self._probe_group(group))

    async def _probe_group(self, group: Group) -> None:
        members = [m for m in group.members if m.id not in self._probes.lost]
        answers = await asyncio.gather(*(self._probes.probe(m) for m in members))
        if not all(answers) or len(members) < len(group.members):
            return
        if group.key in self._processes.disclaimed:
            return
        self._cleared_at.setdefault(group.key, []).append(self._clock.now())
        log.info(
            "planner: suspicion cleared",
            group=group.name,
            times=len(self._cleared_at[group.key]),
        )
        self._watch.clear(group.key)
        self._peers.broadcast_suspicion(group.key, cleared=True)

    def _poll_pending(self, now: float) -> None:
        """Ask the targets of orders what came of them while the list is lost."""
        if now - self._polled_at < PENDING_POLL_SECONDS:
            return
        self._polled_at = now
        for identifier in sorted(self._book.busy):
            target = self._directory.targets.get(identifier)
            if target is not None and identifier not in self._probes.lost:
                self._spawn(self._probes.probe(target))

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._has_changes = True
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("planner: task failed", error=repr(task.exception()))
