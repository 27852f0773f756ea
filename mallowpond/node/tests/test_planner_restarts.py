"""Stateful test of two planners over engines that restart under their ids."""

import asyncio
import logging
from collections import defaultdict
from dataclasses import replace

import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.planner import GroupPlanner
from mallowpond.node.tests.engine_model import (
    SERVING,
    Delivery,
    Fleet,
    ModelSource,
    ModelTargets,
)
from mallowpond.node.tests.fakes import PROFILE, FakeClock, make_availability
from mallowpond.node.tests.test_planner import FakeLeadership, FakePeers, FakeWatch
from mallowpond.node.traffic import TrafficSeen
from mallowpond.state.fleet import GroupPhase
from mallowpond.state.formation_view import Join, Open
from mallowpond.state.site_configuration import Service, SiteConfiguration

NAMES = ("a", "b", "c", "d", "e")
SERVICE = Service(
    name="engines",
    max_connections=10,
    profile=replace(PROFILE, loads_per_second=4.5),
    health_path="/h",
)
# Steps without faults, and the seconds between them, after which an engine must serve:
# long enough for each of the planner's delays to pass several times.
RECOVERY_STEPS, RECOVERY_PAUSE = 40, 0.4


class FakeConfiguration:
    """A follower with one fixed configuration."""

    configuration = SiteConfiguration(
        version=1, routes=(), services={"engines": SERVICE}
    )


class RecordingPlanner(GroupPlanner):
    """A planner that records the exceptions of its tasks."""

    def _on_task_done(self, task):
        super()._on_task_done(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed.append(repr(task.exception()))


class PlannerNode:
    """One node's planner over the fleet, with a check of each of its orders."""

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.source, self.targets = ModelSource(fleet), ModelTargets(fleet, clock)
        self.directory = Directory(source=self.source, clock=clock)
        self.leadership, self.watch = FakeLeadership(), FakeWatch()
        self.leadership.fence = 0
        self.planner = RecordingPlanner(
            configuration=FakeConfiguration(),
            directory=self.directory,
            targets=self.targets,
            leadership=self.leadership,
            peers=FakePeers(),
            watch=self.watch,
            clock=clock,
            metrics=NodeMetrics(),
            stall_seconds=4.0,
            traffic_seen=TrafficSeen(seen=True),
            availability=make_availability(self.directory, clock),
            regroup_slow=True,
        )
        self.planner.failed = fleet.violations
        self.targets.listed = self._listed
        self.targets.on_order += [
            self._check_count,
            self._check_process,
            self._check_members,
            self._check_free,
            self._check_whole,
        ]
        self.intended = {}
        self.seen = defaultdict(set)
        self.directory.on_change.append(self._record_members)

    def _listed(self, name):
        target = self.directory.targets.get(name)
        return target and target.process

    def _record_members(self):
        listed = {target.process for target in self.directory.targets.values()}
        for process in self.targets.counts_since_listing.keys() - listed:
            del self.targets.counts_since_listing[process]
        groups = self.directory.groups
        for key in self.seen.keys() - groups.keys():
            del self.seen[key]
        for key, group in groups.items():
            self.seen[key] |= {member.process for member in group.members}

    def _check(self, holds, step, violation):
        if not holds:
            self.fleet.violations.append(f"{violation}: {step}")

    def _check_count(self, step, expected):
        """An order expects the newest count that its own process reported."""
        reported = self.targets.reported_counts[step.target.process]
        self._check(expected in reported, step, f"count {expected} of another process")
        newest = max(
            self.targets.counts_since_listing[step.target.process], default=expected
        )
        self._check(expected >= newest, step, f"count {expected}, known {newest}")

    def _check_process(self, step, expected):
        """An order is for the process that is known to be the current one."""
        process = step.target.process
        is_current = self._listed(process.id) == process
        is_current = is_current and not self.targets.is_superseded(process)
        self._check(is_current, step, "another process")

    def _check_members(self, step, expected):
        """An order concerns a formation of which no member has restarted."""
        if not isinstance(step, Join | Open):
            return
        key = (step.group, step.epoch)
        if isinstance(step, Join):
            listed = {name: self._listed(name) for name in step.members}
            members = {name: process for name, process in listed.items() if process}
            intended = self.intended.setdefault(key, members)
        else:
            intended = self.intended.get(key, {p.id: p for p in self.seen[key]})
        for name, process in intended.items():
            is_same = self._listed(name) in (process, None)
            is_same = is_same and not self.targets.is_superseded(process)
            self._check(is_same, step, f"{name} has restarted")

    def _check_free(self, step, expected):
        """A target joins only if no head of an earlier process's group may serve."""
        if not isinstance(step, Join):
            return
        for key, group in self.directory.groups.items():
            head, process = group.head, step.target.process
            if head is None or head.membership.phase not in SERVING:
                continue
            if (head.process, key) in self.targets.left_formations:
                continue
            earlier = {p for p in self.seen[key] if p.id == process.id and p != process}
            is_over = self.targets.is_superseded(head.process) or not earlier
            self._check(is_over, step, f"earlier process in {key}")

    def _check_whole(self, step, expected):
        """A group is opened only when the current process of each member is ready."""
        if not isinstance(step, Open):
            return
        group = self.directory.groups[(step.group, step.epoch)]
        current = [self.planner._processes.current(m) for m in group.members]
        ready = [
            member.membership is not None
            and member.membership.phase is GroupPhase.READY
            for member in current
        ]
        self._check(ready == [True, True], step, "not all ready")

    def acquire_lease(self, fence):
        """Become the planner with this fencing number."""
        self.leadership.fence = fence
        self.targets.counts_since_listing.clear()
        for notify in self.leadership.on_acquired:
            notify()


class RestartMachine(RuleBasedStateMachine):
    """Engines restart, orders are lost or late, and the planner's lease changes hands.

    No order may break a rule, and once the faults end, an engine must serve.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.fence = 0

    @initialize(
        enforces_fences=st.booleans(),
        cold=st.sampled_from([(), ("e",), ("c", "d", "e")]),
    )
    def start(self, enforces_fences, cold):
        self.fleet = Fleet(enforces_fences=enforces_fences)
        for name in NAMES:
            self.fleet.add(name, () if name in cold else ("m",))
        self.nodes = [PlannerNode(self.fleet, self.clock) for _ in range(2)]
        self.take_over()
        for _ in range(2):
            self.plan([], 0)

    def run(self, work):
        """Run a coroutine, and let the tasks that it started proceed."""

        async def wait():
            await work
            for _ in range(15):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    @rule(
        deliveries=st.lists(st.sampled_from(Delivery), max_size=4),
        index=st.integers(0, 1),
        wait=st.sampled_from([0.1, 0.1, 0.8, 2.0]),
        steps=st.integers(1, 3),
        slow=st.sampled_from([0, 0, 1, 2]),
    )
    def plan(self, deliveries, index, wait=0.1, steps=1, slow=0):
        node = self.nodes[index]
        self.fleet.deliveries, self.fleet.slow_reports = list(deliveries), slow
        for _ in range(steps):
            self.run(node.planner.plan_once())
        self.fleet.deliveries, self.fleet.slow_reports = [], 0
        self.clock.time += wait

    def read_list(self, index):
        self.run(self.nodes[index].directory.refresh())

    @rule(names=st.sets(st.sampled_from(NAMES)), readers=st.sets(st.integers(0, 1)))
    def submit_and_read(self, names, readers):
        """Have engines publish their entries, and planners read the list."""
        for name in sorted(names):
            self.fleet.publish(name)
        for index in sorted(readers):
            self.read_list(index)

    @rule(wait=st.sampled_from([0.1, 1.0]))
    def advance_without_faults(self, wait):
        """Have orders take effect, and have the effects published and read."""
        for _ in range(2):
            self.fleet.advance()
            self.submit_and_read(set(NAMES), {0, 1})
            for index in (0, 1):
                self.plan([], index, wait)

    @rule(
        name=st.sampled_from(NAMES),
        running=st.integers(0, 1),
        rounds=st.integers(0, 3),
    )
    def slow_down(self, name, running, rounds):
        """Have an engine become slow, and the planners learn it of its group."""
        self.fleet.engines[name].pace = 12.0
        for _ in range(rounds):
            for node in self.nodes:
                for key in node.directory.groups:
                    work = node.directory.loads.work(key)
                    work.slowness, work.last_event_at = 12.0, self.clock.now()
                    work.running = running
            self.advance_without_faults(0.6)

    @rule()
    def speed_up(self):
        """Have all engines work at their pace again."""
        for engine in self.fleet.engines.values():
            engine.pace = 1.0

    @rule()
    def advance(self):
        self.fleet.advance()

    @rule(
        name=st.sampled_from(NAMES),
        times=st.integers(1, 2),
        publishes=st.booleans(),
    )
    def restart(self, name, times, publishes):
        for _ in range(times):
            self.fleet.restart(name)
        if publishes:
            self.fleet.publish(name)

    @rule(
        name=st.sampled_from(NAMES),
        index=st.integers(0, 1),
        slow=st.integers(1, 3),
        publishes=st.booleans(),
    )
    def restart_during_queries(self, name, index, slow, publishes):
        """Restart an engine while the planner waits for reports."""
        self.plan([], index, slow=slow)
        self.restart(name, 1, publishes)
        self.read_list(index)
        while self.fleet.pending_answers:
            self.answer_late(0)

    @rule(rounds=st.integers(0, 4), restart_all=st.booleans())
    def restart_under_late_orders(self, rounds, restart_all):
        """Have late orders executed by the next process of the intended target."""
        planner = self.fence % 2
        if restart_all:
            for name in NAMES:
                self.restart(name, 1, True)
            self.read_list(planner)
        self.plan([Delivery.LATE] * len(NAMES), planner)
        for order in self.fleet.late_orders:
            self.restart(order.step.target.id, 1, True)
        for _ in range(rounds):
            self.advance_without_faults(0.1)
        while self.fleet.late_orders:
            self.carry_out_late(0)

    @rule(
        fault=st.sampled_from(["lapse", "drain", "stall"]),
        name=st.sampled_from(NAMES),
    )
    def trigger_fault(self, fault, name):
        match fault:
            case "lapse":
                self.fleet.expire(name)
            case "drain":
                self.fleet.engines[name].draining = True
                self.fleet.publish(name)
            case "stall":
                self.fleet.stall()

    @precondition(lambda self: self.fleet.late_orders)
    @rule(number=st.integers(0, 9))
    def carry_out_late(self, number):
        order = self.fleet.late_orders.pop(number % len(self.fleet.late_orders))
        self.fleet.receive(order.step, fence=order.fence, expected=order.expected)

    @precondition(lambda self: self.fleet.pending_answers)
    @rule(number=st.integers(0, 9))
    def answer_late(self, number):
        waiting = self.fleet.pending_answers
        waiting.pop(number % len(waiting)).set_result(None)
        self.run(asyncio.sleep(0))

    @rule(index=st.integers(0, 1), number=st.integers(0, 3))
    def suspect(self, index, number):
        node = self.nodes[index]
        keys = sorted(node.directory.groups)
        if keys:
            self.run(self._suspect(node, keys[number % len(keys)]))

    async def _suspect(self, node, key):
        node.watch.on_suspect[0](key)

    @rule(index=st.integers(0, 1))
    def cut_off_from_list(self, index):
        source = self.nodes[index].source
        source.is_cut_off = not source.is_cut_off

    @rule()
    def take_over(self):
        """Have the other planner acquire the lease.

        If engines enforce fencing, the earlier planner may continue until an engine
        refuses its orders; otherwise its lease must have expired first.
        """
        self.fence += 1
        new, old = self.nodes[self.fence % 2], self.nodes[1 - self.fence % 2]
        if not self.fleet.enforces_fences:
            old.leadership.fence = 0
        new.acquire_lease(self.fence)

    @invariant()
    def no_order_violates_a_rule(self):
        if hasattr(self, "fleet"):
            assert self.fleet.violations == []

    def teardown(self):
        """Check that an engine serves once the faults have ended."""
        if not hasattr(self, "nodes"):
            self.loop.close()
            return
        try:
            self._recover()
            assert any(self._is_whole(engine) for engine in self.fleet.engines.values())
        finally:
            for node in self.nodes:
                self.loop.run_until_complete(node.planner.close())
            self.loop.close()

    def _recover(self):
        while self.fleet.late_orders:
            self.carry_out_late(0)
        while self.fleet.pending_answers:
            self.answer_late(0)
        node = self.nodes[self.fence % 2]
        self.nodes[1 - self.fence % 2].leadership.fence = 0
        node.source.is_cut_off = False
        for engine in self.fleet.engines.values():
            engine.draining = False
        for _ in range(RECOVERY_STEPS):
            self.fleet.advance()
            self.submit_and_read(set(NAMES), {self.fence % 2})
            self.plan([], self.fence % 2, RECOVERY_PAUSE)

    def _is_whole(self, engine):
        if engine.phase not in SERVING:
            return False
        members = [self.fleet.engines[m] for m in engine.members]
        return all(member.formation == engine.formation for member in members)


def setup_module():
    """Suppress the log lines of thousands of plans."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def teardown_module():
    """Restore logging."""
    structlog.reset_defaults()


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
