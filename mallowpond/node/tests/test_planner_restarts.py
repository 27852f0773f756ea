"""Two planners over engines that start again under their id at any moment."""

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
# Steps until the engines left in peace must serve: some pauses of each kind.
SETTLING_STEPS, SETTLING_PAUSE = 40, 0.4


class FakeConfiguration:
    """Hold one configuration."""

    configuration = SiteConfiguration(
        version=1, routes=(), services={"engines": SERVICE}
    )


class CheckedPlanner(GroupPlanner):
    """Plan, and remember the tasks that raised."""

    def _on_task_done(self, task):
        super()._on_task_done(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed.append(repr(task.exception()))


class Seat:
    """Run one node's planner over the fleet."""

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.source, self.targets = ModelSource(fleet), ModelTargets(fleet, clock)
        self.directory = Directory(source=self.source, clock=clock)
        self.leadership, self.watch = FakeLeadership(), FakeWatch()
        self.leadership.fence = 0
        self.planner = CheckedPlanner(
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
        self.meant = {}
        self.seen = defaultdict(set)
        self.directory.on_change.append(self._note_members)

    def _listed(self, name):
        target = self.directory.targets.get(name)
        return target and target.process

    def _note_members(self):
        listed = {target.process for target in self.directory.targets.values()}
        for process in self.targets.counts_since_listing.keys() - listed:
            del self.targets.counts_since_listing[process]
        groups = self.directory.groups
        for key in self.seen.keys() - groups.keys():
            del self.seen[key]
        for key, group in groups.items():
            self.seen[key] |= {member.process for member in group.members}

    def _check(self, is_kept, step, rule):
        if not is_kept:
            self.fleet.violations.append(f"{rule}: {step}")

    def _check_count(self, step, expected):
        """An order goes by the newest count that its own process told."""
        told = self.targets.reported_counts[step.target.process]
        self._check(expected in told, step, f"count {expected} of another process")
        newest = max(
            self.targets.counts_since_listing[step.target.process], default=expected
        )
        self._check(expected >= newest, step, f"count {expected}, known {newest}")

    def _check_process(self, step, expected):
        """An order is for the process that is known to be the present one."""
        process = step.target.process
        is_present = self._listed(process.id) == process
        is_present = is_present and not self.targets.is_superseded(process)
        self._check(is_present, step, "another process")

    def _check_members(self, step, expected):
        """A formation is one of processes: none of them has started again since."""
        if not isinstance(step, Join | Open):
            return
        key = (step.group, step.epoch)
        if isinstance(step, Join):
            listed = {name: self._listed(name) for name in step.members}
            members = {name: process for name, process in listed.items() if process}
            meant = self.meant.setdefault(key, members)
        else:
            meant = self.meant.get(key, {p.id: p for p in self.seen[key]})
        for name, process in meant.items():
            is_same = self._listed(name) in (process, None)
            is_same = is_same and not self.targets.is_superseded(process)
            self._check(is_same, step, f"{name} has started again")

    def _check_free(self, step, expected):
        """A target joins when no head of an earlier process's group may serve."""
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
            self._check(is_over, step, f"earlier in {key}")

    def _check_whole(self, step, expected):
        """A group is opened whole, with each member ready in its present process."""
        if not isinstance(step, Open):
            return
        group = self.directory.groups[(step.group, step.epoch)]
        current = [self.planner._processes.current(m) for m in group.members]
        ready = [
            member.membership is not None
            and member.membership.phase is GroupPhase.READY
            for member in current
        ]
        self._check(ready == [True, True], step, "not whole")

    def take_lease(self, fence):
        """Become the planner."""
        self.leadership.fence = fence
        self.targets.counts_since_listing.clear()
        for notify in self.leadership.on_acquired:
            notify()


class RestartMachine(RuleBasedStateMachine):
    """Let engines restart beside lost and late orders, and planners change."""

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
        self.seats = [Seat(self.fleet, self.clock) for _ in range(2)]
        self.take_over()
        for _ in range(2):
            self.plan([], 0)

    def run(self, work):
        """Run a coroutine, and let what it began go on."""

        async def wait():
            await work
            for _ in range(15):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    @rule(
        deliveries=st.lists(st.sampled_from(Delivery), max_size=4),
        place=st.integers(0, 1),
        wait=st.sampled_from([0.1, 0.1, 0.8, 2.0]),
        steps=st.integers(1, 3),
        slow=st.sampled_from([0, 0, 1, 2]),
    )
    def plan(self, deliveries, place, wait=0.1, steps=1, slow=0):
        seat = self.seats[place]
        self.fleet.deliveries, self.fleet.slow_reports = list(deliveries), slow
        for _ in range(steps):
            self.run(seat.planner.step())
        self.fleet.deliveries, self.fleet.slow_reports = [], 0
        self.clock.time += wait

    def read_list(self, place):
        self.run(self.seats[place].directory.refresh())

    @rule(names=st.sets(st.sampled_from(NAMES)), readers=st.sets(st.integers(0, 1)))
    def show(self, names, readers):
        """Let engines write what they are, and planners read it."""
        for name in sorted(names):
            self.fleet.publish(name)
        for place in sorted(readers):
            self.read_list(place)

    @rule(wait=st.sampled_from([0.1, 1.0]))
    def all_goes_well(self, wait):
        """Let what was ordered end, show, and be read."""
        for _ in range(2):
            self.fleet.advance()
            self.show(set(NAMES), {0, 1})
            for place in (0, 1):
                self.plan([], place, wait)

    @rule()
    def advance(self):
        self.fleet.advance()

    @rule(
        name=st.sampled_from(NAMES),
        times=st.integers(1, 2),
        registers=st.booleans(),
    )
    def restart(self, name, times, registers):
        for _ in range(times):
            self.fleet.restart(name)
        if registers:
            self.fleet.publish(name)

    @rule(
        name=st.sampled_from(NAMES),
        place=st.integers(0, 1),
        slow=st.integers(1, 3),
        registers=st.booleans(),
    )
    def restart_amid_questions(self, name, place, slow, registers):
        """Restart an engine while the planner waits for reports."""
        self.plan([], place, slow=slow)
        self.restart(name, 1, registers)
        self.read_list(place)
        while self.fleet.pending_answers:
            self.answer_late(0)

    @rule(rounds=st.integers(0, 4), all_anew=st.booleans())
    def restart_under_late_orders(self, rounds, all_anew):
        """Have orders carried out late by the process that follows the one meant."""
        planner = self.fence % 2
        if all_anew:
            for name in NAMES:
                self.restart(name, 1, True)
            self.read_list(planner)
        self.plan([Delivery.LATE] * len(NAMES), planner)
        for order in self.fleet.late_orders:
            self.restart(order.step.target.id, 1, True)
        for _ in range(rounds):
            self.all_goes_well(0.1)
        while self.fleet.late_orders:
            self.carry_out_late(0)

    @rule(
        trouble=st.sampled_from(["lapse", "drain", "stall"]),
        name=st.sampled_from(NAMES),
    )
    def trouble_engines(self, trouble, name):
        match trouble:
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

    @rule(place=st.integers(0, 1), number=st.integers(0, 3))
    def suspect(self, place, number):
        seat = self.seats[place]
        keys = sorted(seat.directory.groups)
        if keys:
            self.run(self._suspect(seat, keys[number % len(keys)]))

    async def _suspect(self, seat, key):
        seat.watch.on_suspect[0](key)

    @rule(place=st.integers(0, 1))
    def cut_from_list(self, place):
        source = self.seats[place].source
        source.is_cut_off = not source.is_cut_off

    @rule()
    def take_over(self):
        """Let the other planner take the lease.

        Where fences are enforced, the earlier planner may go on until it is refused;
        elsewhere its lease had to lapse first.
        """
        self.fence += 1
        new, old = self.seats[self.fence % 2], self.seats[1 - self.fence % 2]
        if not self.fleet.enforces_fences:
            old.leadership.fence = 0
        new.take_lease(self.fence)

    @invariant()
    def no_rule_is_broken(self):
        if hasattr(self, "fleet"):
            assert self.fleet.violations == []

    def teardown(self):
        """Engines that are left in peace serve in the end."""
        if not hasattr(self, "seats"):
            self.loop.close()
            return
        try:
            self._settle()
            assert any(self._is_whole(engine) for engine in self.fleet.engines.values())
        finally:
            for seat in self.seats:
                self.loop.run_until_complete(seat.planner.close())
            self.loop.close()

    def _settle(self):
        while self.fleet.late_orders:
            self.carry_out_late(0)
        while self.fleet.pending_answers:
            self.answer_late(0)
        seat = self.seats[self.fence % 2]
        self.seats[1 - self.fence % 2].leadership.fence = 0
        seat.source.is_cut_off = False
        for engine in self.fleet.engines.values():
            engine.draining = False
        for _ in range(SETTLING_STEPS):
            self.fleet.advance()
            self.show(set(NAMES), {self.fence % 2})
            self.plan([], self.fence % 2, SETTLING_PAUSE)

    def _is_whole(self, engine):
        if engine.phase not in SERVING:
            return False
        members = [self.fleet.engines[m] for m in engine.members]
        return all(member.formation == engine.formation for member in members)


def setup_module():
    """Keep thousands of plans from filling the log."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def teardown_module():
    """Log again."""
    structlog.reset_defaults()


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
