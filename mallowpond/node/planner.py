"""Plan the groups of all model services, send the orders and handle their results.

An order is one planned step for one target. A formation is one epoch of a group: one
set of member processes that were ordered together. Its head, the member of rank 0,
takes its requests. "The list" is the platform's list of targets, which `Directory`
mirrors; it shows the effect of an order with some delay.
"""

import asyncio
import random
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
from mallowpond.node.model_summary import (
    demand,
    log_summary,
    running,
    streams,
    utilization,
)
from mallowpond.node.pace_probes import PaceProbes
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
from mallowpond.node.target_links import TargetLinks
from mallowpond.node.traffic import TrafficSeen
from mallowpond.node.watch import GroupWatch
from mallowpond.state.cleared_suspicions import ClearedSuspicions
from mallowpond.state.consolidation import Consolidation
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    GroupPhase,
    Process,
    Target,
)
from mallowpond.state.fleet_silence import RELISTING_SECONDS
from mallowpond.state.formation import plan_round
from mallowpond.state.formation_view import (
    Close,
    EndCause,
    Formation,
    FormationView,
    Join,
    Leave,
    Open,
    Stage,
    Step,
)
from mallowpond.state.model_demand import DemandTracker
from mallowpond.state.order_book import OrderBook, loads_weights
from mallowpond.state.processes import CurrentProcesses, has_restarted
from mallowpond.state.rebalancing import (
    RebalancingView,
    SwapDecision,
    SwapRecords,
)
from mallowpond.state.slow_members import (
    Regrouping,
    RegroupingRecords,
    RegroupingView,
)

log = structlog.get_logger()

# Interval between two planning rounds, in seconds.
PLAN_SECONDS = 0.1
# Interval between two checks of whether this node has become the planner, in seconds: a
# small part of the second after which a dead planner is replaced.
FOLLOWER_CHECK_SECONDS = 0.2
# Interval between two plans while nothing has changed or is in progress, in seconds:
# most of these plans have no steps to take.
IDLE_PLAN_SECONDS = 0.5
# Interval between two log lines on the state of the groups, in seconds. It counts for
# all services together, so only the first service of the configuration is logged.
SUMMARY_SECONDS = 2.0
# Interval between two probes of the targets with pending orders while the list cannot
# be read, in seconds: a target's report may show a change only after a few
# hundred milliseconds.
PENDING_PROBE_SECONDS = 0.3
# Time since the last planning round above which this process counts as having paused,
# in seconds. Another node takes over after a second of silence. The new planner's
# fencing number protects only the targets to which it has already sent an order: any
# other would still accept one from this process.
PAUSE_SECONDS = 0.5
# Minimum age of the last lease renewal, in seconds, before an order refused for its
# fencing number triggers another renewal: many may be refused for the same reason at
# once.
LEASE_CHECK_SECONDS = 0.3
# Number of epochs reserved for the groups of one fencing number.
EPOCHS_PER_FENCE = 1_000_000


class GroupPlanner:
    """Plans the groups of every model service while this node holds the lease.

    Each round compares the target list with the declared models and starts the orders
    that are due. Each order runs in a task of its own and carries the fencing number
    under which it was planned. A formation that the list does not show within
    `stall_seconds` is forgotten.
    """

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
        rebalance: bool = False,
        regroup_slow: bool = False,
        links: TargetLinks | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._links = links
        self._rebalance = rebalance
        self._regroup_slow = regroup_slow
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
        # Both are kept while other nodes plan: a planner that knew only the list as of
        # its start would consider a group complete although a member has restarted.
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
            rng=rng or random.Random(),
            links=links,
        )
        self._pace_probes = PaceProbes(
            directory=directory,
            probes=self._probes,
            gate=self._gate,
            clock=clock,
            spawn=self._spawn,
        )
        self._reset()
        leadership.on_acquired.append(self._reset)
        leadership.on_reclaimed.append(self._renumber)
        directory.on_change.append(self._record_members)
        watch.on_suspect.append(self._on_suspicion)

    def _reset(self) -> None:
        self._probes.reset()
        self._pace_probes.reset()
        self._book.reset()
        self._has_fresh_list = False
        self._last_round_at = self._clock.now()
        self._last_lease_check_at = float("-inf")
        self._renumber()
        self._closed: set[GroupKey] = set()
        self._restarted_groups: set[GroupKey] = set()
        self._leaving_since: dict[Process, float] = {}
        self._formations: dict[GroupKey, Formation] = {}
        self._first_seen: dict[GroupKey, float] = {}
        self._cleared: dict[GroupKey, ClearedSuspicions] = {}
        self._loads_begun: list[float] = []
        self._last_pending_probe_at = float("-inf")
        self._last_plan_at = float("-inf")
        self._has_changes = True
        self._last_summary_at = float("-inf")
        # By service. A new planner observes the demand before it moves engines.
        self._demand: dict[str, DemandTracker] = {}
        self._swaps: dict[str, SwapRecords] = {}
        self._regroupings: dict[str, RegroupingRecords] = {}

    def _renumber(self) -> None:
        """Number the next groups by the fencing number in force."""
        self._next_epoch = self._leadership.fence * EPOCHS_PER_FENCE + 1

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await self.plan_once()
            fence = self._leadership.fence
            await self._clock.sleep(PLAN_SECONDS if fence else FOLLOWER_CHECK_SECONDS)

    async def close(self) -> None:
        """Cancel the tasks of orders and probes; a probe already sent runs on."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def plan_once(self) -> None:
        """Run one planning round if this node holds the lease and one is due."""
        if not self._leadership.fence:
            self._directory.poll_seconds = POLL_SECONDS
            return
        self._directory.poll_seconds = (
            PLANNER_POLL_SECONDS if self._has_pending_effects else POLL_SECONDS
        )
        if not await self._is_lease_confirmed():
            return
        self._last_round_at = self._clock.now()
        if not self._has_fresh_list:
            # A plan based on an outdated list would dissolve groups that the previous
            # planner has just formed.
            self._has_fresh_list = await self._directory.refresh()
            return
        configuration = self._configuration.configuration
        if configuration is None or not self._is_due():
            return
        self._last_plan_at, self._has_changes = self._last_round_at, False
        self._refresh_records()
        for service in configuration.services.values():
            if self._links is not None and self._links.is_lost(service.name):
                # What this host knows of the targets may be wrong, and no other host
                # can plan: whatever serves goes on.
                continue
            if service.profile is not None and service.profile.models:
                self._plan_service(service.name, service.profile)

    def _is_due(self) -> bool:
        """Return whether a plan may have steps to take, or a probe is due."""
        if self._has_changes or self._has_pending_effects:
            return True
        if self._probes.surveys.is_any_held:
            return True
        return self._clock.now() - self._last_plan_at >= IDLE_PLAN_SECONDS

    @property
    def _has_pending_effects(self) -> bool:
        """Return whether the list does not show the effects of all orders yet."""
        if self._book.busy:
            return True
        transient_phases = (GroupPhase.JOINING, GroupPhase.READY, GroupPhase.CLOSING)
        return any(g.phase in transient_phases for g in self._directory.groups.values())

    async def _is_lease_confirmed(self) -> bool:
        """Return whether the lease is held, and renew it first after a pause."""
        if not self._has_paused:
            return True
        now = self._clock.now()
        if now - self._last_lease_check_at < LEASE_CHECK_SECONDS:
            return False
        self._last_lease_check_at = now
        log.info("planner: paused", seconds=round(now - self._last_round_at, 3))
        return await self._leadership.confirm()

    @property
    def _has_paused(self) -> bool:
        """Return whether this process paused; another may have taken over since."""
        return self._clock.now() - self._last_round_at > PAUSE_SECONDS

    # -- planning ------------------------------------------------------------

    def _plan_service(self, service: str, profile: EngineProfile) -> None:
        if self._regroup_slow and self._traffic_seen.seen:
            self._pace_probes.ask_due(service, profile)
        view = self._view(service, profile)
        planned = plan_round(view)
        if view.now - self._last_summary_at > SUMMARY_SECONDS:
            self._last_summary_at = view.now
            log_summary(self._directory, view)
        for decision in planned.swaps:
            self._record_swap(service, decision)
        for regrouping in planned.regroupings:
            self._record_regrouping(service, regrouping, view)
        if planned.consolidation is not None:
            self._log_consolidation(planned.consolidation)
        for step in planned.steps:
            if isinstance(step, Join):
                self._record_formation(step)
            self._start_order(step)

    def _rebalancing(
        self, service: str, profile: EngineProfile
    ) -> RebalancingView | None:
        """Return the input for moving engines between models, None if that is off."""
        if not self._rebalance:
            return None
        now = self._clock.now()
        tracker = self._demand.setdefault(service, DemandTracker())
        tracker.record(running(self._directory, profile), now)
        records = self._swaps.setdefault(service, SwapRecords())
        records.prune(self._directory.groups)
        return RebalancingView(
            demand={m.name: tracker.demand(m.name, now) for m in profile.models},
            covered_seconds=tracker.covered_seconds(now),
            under_way=records.under_way,
            received_at=records.received_at,
        )

    def _record_swap(self, service: str, decision: SwapDecision) -> None:
        now, swap = self._clock.now(), decision.swap
        giver, taker = decision.giver, decision.taker
        self._swaps[service].record(decision, now)
        self._metrics.swaps.labels(decision.action).inc()
        log.info(
            "planner: swap",
            action=decision.action,
            reason=decision.reason,
            giver=swap.giver,
            taker=swap.taker,
            domain=swap.domain,
            group=swap.key[0] if swap.key else None,
            loads=swap.loads,
            makes=swap.groups,
            running=[
                round(value, 1)
                for value in (
                    taker.demand.short,
                    taker.demand.long,
                    taker.demand.wave,
                )
            ],
            taker_groups=taker.groups,
            giver_peak=giver.demand.peak,
            giver_groups=len(giver.domains),
            loading=len(self._book.loading),
            load_age=self._directory.loads.load_age,
            observed=round(self._demand[service].covered_seconds(now), 1),
        )

    def _regrouping(
        self, service: str, profile: EngineProfile
    ) -> RegroupingView | None:
        """Return the input for forming groups around slow members, None if off."""
        if not self._regroup_slow:
            return None
        now = self._clock.now()
        records = self._regroupings.setdefault(service, RegroupingRecords())
        records.prune(self._directory.groups, now)
        readings = {
            target.id: self._probes.paces.get(self._processes.current(target).process)
            for target in self._directory.all_targets(service)
        }
        paces = {name: pace for name, pace in readings.items() if pace is not None}
        slow = {name for name, pace in paces.items() if pace.is_slow(now)}
        return RegroupingView(
            paces=paces,
            streams={
                key: self._directory.loads.load(key).running
                for key, group in self._directory.groups.items()
                if key in records.dissolving
                or not slow.isdisjoint(member.id for member in group.members)
            },
            dissolving=records.dissolving,
            recent=records.recent(now),
            interrupted=records.interrupted(now),
            regrouped=records.regrouped(now),
            can_evict=self._can_evict(service),
        )

    def _can_evict(self, service: str) -> bool:
        """Return whether the streams of all routes to a service can go on elsewhere."""
        configuration = self._configuration.configuration
        return configuration is not None and all(
            route.resumable and route.max_attempts > 1
            for route in configuration.routes
            if any(backend.service == service for backend in route.backends)
        )

    def _record_regrouping(
        self, service: str, decision: Regrouping, view: FormationView
    ) -> None:
        assert view.regrouping is not None
        now, paces = self._clock.now(), view.regrouping.paces
        groups = decision.groups
        members = [member for group in groups for member in group.members]
        for group in groups:
            self._regroupings[service].record(
                group.key, decision.model, group.members, group.streams, now
            )
        self._metrics.regroupings.labels(decision.model).inc(len(groups))
        known = {name: paces[name] for name in members if name in paces}
        log.info(
            "planner: regrouping",
            model=decision.model,
            domain=decision.domain,
            groups=[group.key[0] for group in groups],
            slow={n: p.pace for n, p in known.items() if p.is_slow(now)},
            sound=sum(group.sound for group in groups),
            free=decision.free,
            oldest=round(max(now - pace.at for pace in known.values()), 3),
            streams=decision.streams,
            load_age=self._directory.loads.load_age,
            open=decision.open_groups,
            slow_groups=decision.slow_groups,
            recent=decision.recent,
        )

    def _log_consolidation(self, decision: Consolidation) -> None:
        group = decision.group
        self._metrics.consolidations.labels(decision.reason).inc()
        log.info(
            "planner: consolidation",
            group=group.key[0],
            model=decision.model,
            reason=decision.reason,
            running=group.running,
            other_groups=group.other_groups,
            other_streams=group.other_streams,
            load_age=self._directory.loads.load_age,
        )

    def _is_silent(self, service: str) -> bool:
        """Return whether the list need not show the targets' state, as they paused."""
        return self._probes.surveys.was_held_within(service, RELISTING_SECONDS)

    def _view(self, service: str, profile: EngineProfile) -> FormationView:
        now, is_silent = self._clock.now(), self._is_silent(service)
        return FormationView(
            profile=profile,
            targets=tuple(
                self._with_latest_state(target)
                for target in self._directory.all_targets(service)
            ),
            now=now,
            demand=demand(self._directory, profile),
            streams=streams(self._directory),
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
                for key, cleared in self._cleared.items()
                if cleared.is_repeated(now)
            ),
            closed=frozenset(self._closed),
            leaving_since={p.id: at for p, at in self._leaving_since.items()},
            loads_begun=tuple(self._loads_begun),
            loading=self._book.loading,
            is_before_traffic=not self._traffic_seen.seen,
            is_settled=self._directory.is_settled,
            newest_target_at=self._directory.newest_target_at,
            # The work of targets that pause tells nothing of the demand.
            rebalancing=None if is_silent else self._rebalancing(service, profile),
            evacuated=self._directory.evacuated,
            regrouping=None if is_silent else self._regrouping(service, profile),
            is_silent=is_silent,
        )

    def _with_latest_state(self, target: Target) -> Target:
        """Return a listed target, updated by its own answers and accepted orders."""
        if self._probes.is_leaving(target):
            return replace(target, draining=True)
        # A group that it accepted an order to leave is removed, though still listed.
        return self._book.without_left_group(self._processes.current(target))

    @property
    def _current_targets(self) -> dict[str, Target]:
        """Return every listed target by id, each with its current process."""
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
            current = self._current_targets
            self._seen_processes[key] = {
                current[member].process for member in step.members
            }

    def _record_members(self) -> None:
        """Record the processes that are listed as members of each group."""
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

    def _refresh_records(self) -> None:
        """Bring the records in line with the list, and start the probes that are due.

        Orders whose effects are listed and records of groups that are gone are dropped.
        """
        now = self._clock.now()
        targets, groups = self._directory.targets, self._directory.groups
        current = self._current_targets
        # During an outage of the store, a common silence of targets, and just after it,
        # the list need not show the effects of recent orders.
        silent = any(map(self._is_silent, {t.service for t in targets.values()}))
        is_settled = self._directory.is_settled and not silent
        self._book.reconcile(current, now=now, is_settled=is_settled)
        for key in groups:
            self._first_seen.setdefault(key, now)
        self._leaving_since = {
            target.process: self._leaving_since.get(target.process, now)
            for target in targets.values()
            if target.draining or self._probes.is_leaving(target)
        }
        for known in (self._first_seen, self._cleared):
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
            self._probe_pending(now)

    def _log_restarted(self, current: dict[str, Target]) -> None:
        """Log each group that a member's restart has ended, once per group."""
        groups = self._directory.groups
        ended = {
            k
            for k, seen in self._seen_processes.items()
            if has_restarted(seen, current)
        }
        for name, epoch in sorted(ended & groups.keys() - self._restarted_groups):
            log.info("planner: member restarted", group=name, epoch=epoch)
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
        """Send an order under the fencing number that was held when it was planned."""
        target = step.target
        if isinstance(step, Join) and self._has_joined_elsewhere(step):
            self._release_later(step)
            return
        order_count = await self._order_count(target)
        if order_count is None:
            self._release_later(step)
            return
        # An order from an earlier term is dropped, also when this node has acquired the
        # lease again: the records that it was planned on were discarded in between.
        async with self._gate.admit():
            holds_lease = fence and fence == self._leadership.fence
            is_withheld = self._is_outdated(step) or self._is_held(step)
            if not holds_lease or self._has_paused or is_withheld:
                self._release_later(step)
                return
            result = await self._targets.order(step, fence=fence, expected=order_count)
        self._gate.record_result(answered=not isinstance(result, OrderLost))
        self._handle_result(step, result, order_count=order_count)

    def _is_outdated(self, step: Step) -> bool:
        """Return whether an order was overtaken by events since it was planned.

        Any order is outdated if its target has restarted or is no longer listed. A join
        or an open is also outdated if a member of its group has restarted, and a join
        if its formation has ended. The order may have waited for the target's report
        meanwhile; a group opened on the old plan would begin work with a member that
        has no weights loaded. An order that forms a group or stages weights is outdated
        too if a data centre that it concerns was evacuated.
        """
        if not self._is_current(step.target) or self._is_evacuated(step):
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

    def _is_held(self, step: Step) -> bool:
        """Return whether targets fell silent in common since an order was planned."""
        match step:
            case Leave(cause=EndCause.LOST_MEMBER):
                return False
            case _:
                return self._is_silent(step.target.service)

    def _is_evacuated(self, step: Step) -> bool:
        if not isinstance(step, Join | Open | Stage):
            return False
        identifiers = step.members if isinstance(step, Join) else (step.target.id,)
        listed = map(self._directory.targets.get, identifiers)
        return any(t and t.data_centre in self._directory.evacuated for t in listed)

    def _has_joined_elsewhere(self, step: Join) -> bool:
        """Return whether a target is in another formation, by the orders it accepted.

        That may be another epoch of the same group; one that the list shows as broken
        does not count. The list may show an accepted join late, so accepted orders take
        precedence over it.
        """
        key = self._book.joined(step.target)
        if key is None or key == (step.group, step.epoch):
            return False
        group = self._directory.groups.get(key)
        if group is not None and group.phase is GroupPhase.BROKEN:
            return False
        log.warning("planner: join skipped", target=step.target.id, joined_group=key[0])
        return True

    async def _order_count(self, target: Target) -> int | None:
        """Return how many orders a target has begun, None if that is not certain.

        The order is then dropped, and planned again if it is still due.
        """
        known = self._book.count(target)
        if known is not None:
            return known
        report = await self._probes.fetch_report(target)
        if isinstance(report, Unavailable):
            self._probes.start_probe(target)
            return None
        if report.target.group_key != target.group_key:
            # Another planner's order changed the target's group after the list was
            # read. If this order carried the count that includes it, the target would
            # accept this order, planned in ignorance of the other, and become a member
            # of two groups.
            log.info("planner: target changed since the list", target=target.id)
            return None
        now = self._clock.now()
        if not self._book.record_report(report.target, report.orders, now=now):
            return None
        return report.orders

    def _is_current(self, target: Target) -> bool:
        """Return whether a target's process is still the current one."""
        listed = self._directory.targets.get(target.id)
        if listed is None:
            return False
        return self._processes.current(listed).process == target.process

    def _handle_result(
        self, step: Step, result: OrderResult, *, order_count: int
    ) -> None:
        target = step.target
        is_process_gone = not self._is_current(target)
        kind = type(step).__name__.lower()
        self._metrics.orders.labels(kind, type(result).__name__).inc()
        # `end` is the kind of result; `late` means that the process is gone by now.
        log.info(
            "planner: order",
            kind=kind,
            target=target.id,
            group=getattr(step, "group", None),
            cause=getattr(step, "cause", None),
            end=type(result).__name__,
            fence=self._leadership.fence,
            late=is_process_gone,
        )
        if is_process_gone:
            # The answer comes from a process that has since been replaced or removed,
            # and says nothing about the current one.
            return
        match result:
            case OrderTaken(began=began):
                # A target may or may not count a leave that it did not begin. It is
                # recorded as counted, but a report with the lower count is accepted.
                if began or isinstance(step, Leave):
                    self._book.record_begun(step, expected=order_count, has_begun=began)
                self._record_accepted(step)
            case OrderFenced():
                self._book.invalidate_count(target)
                self._release_later(step)
                self._spawn(self._check_lease())
            case OrderUnfit() if isinstance(step, Stage):
                # The target's state does not allow the order: it is already loading
                # weights, on an order of an earlier planner.
                self._book.invalidate_count(target)
                self._book.end(target)
            case OrderUnfit():
                self._book.invalidate_count(target)
                self._release_later(step)
            case OrderMisdirected():
                self._book.invalidate_count(target)
                self._release_later(step)
                self._probes.mark_replaced(target)
            case OrderLost():
                self._book.invalidate_count(target)
                self._release_later(step)
                self._probes.start_probe(target)

    def _record_accepted(self, step: Step) -> None:
        self._book.record_accepted(step, self._clock.now())
        match step:
            case Leave(group=group, epoch=epoch):
                # The formation has ended. If its record stayed, its members would be
                # ordered to join it again and spend seconds in a group that cannot
                # complete.
                self._formations.pop((group, epoch), None)
                self._closed.add((group, epoch))
            case Close(group=group, epoch=epoch):
                self._closed.add((group, epoch))

    def _is_report_current(self, target: Target) -> bool:
        """Return whether a report is by the current process and shows all orders."""
        shows_last_order = self._book.shows_last_order(target, self._clock.now())
        return shows_last_order and self._is_current(target)

    def _release_later(self, step: Step) -> None:
        """Free the target for another order after a short delay."""
        if self._is_current(step.target):
            self._book.release_later(step, self._clock.now())

    async def _check_lease(self) -> None:
        if self._leadership.renewal_age > LEASE_CHECK_SECONDS:
            await self._leadership.renew()

    # -- probes --------------------------------------------------------------

    def probe_head(self, process: Process, reporter: str) -> None:
        """Probe a head that a host reports as ended, if this node plans."""
        target = self._directory.targets.get(process.id)
        if not self._leadership.fence or target is None or target.process != process:
            return
        self._probes.probe_reported(target, reporter)

    def _on_suspicion(self, key: GroupKey) -> None:
        if not self._leadership.fence:
            return
        group = self._directory.groups.get(key)
        if group is not None:
            self._spawn(self._probe_group(group))

    async def _probe_group(self, group: Group) -> None:
        """Clear the suspicion of a group if all of its members answer."""
        members = [m for m in group.members if m.id not in self._probes.lost]
        answers = await asyncio.gather(*(self._probes.probe(m) for m in members))
        if not all(answers) or len(members) < len(group.members):
            return
        # A listed member reported that it is not in this formation.
        if group.key in self._processes.disclaimed:
            return
        cleared = self._cleared.setdefault(group.key, ClearedSuspicions())
        if not self._is_silent(group.members[0].service):
            cleared.record(self._clock.now())
        log.info("planner: suspicion cleared", group=group.name, times=cleared.count)
        self._watch.clear(group.key)
        self._peers.broadcast_suspicion(group.key, cleared=True)

    def _probe_pending(self, now: float) -> None:
        """Probe the targets with pending orders while the list cannot be read."""
        if now - self._last_pending_probe_at < PENDING_PROBE_SECONDS:
            return
        self._last_pending_probe_at = now
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
