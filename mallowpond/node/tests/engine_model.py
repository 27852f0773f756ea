"""Engines that take orders as the platform's do, and restart at any moment.

An order is carried out by whatever process runs under the id when it arrives: only the
count of orders, epochs and fences stand between a late order and a process that it was
not meant for.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.ports import (
    EngineReport,
    OrderFenced,
    OrderLost,
    OrderTaken,
    OrderUnfit,
    TargetsRead,
)
from mallowpond.state.fleet import GroupPhase, Membership, Process, Target
from mallowpond.state.formation_view import Close, Join, Leave, Open, Stage
from mallowpond.state.order_book import REPORT_LAG_SECONDS

SERVING = (GroupPhase.OPEN, GroupPhase.CLOSING)


# Time that an order's answer is waited for, in seconds, as the engines' client does.
ANSWER_SECONDS = 0.5


class Delivery(Enum):
    """Say what becomes of an order and of the engine that it is sent to."""

    TAKEN = "taken"
    NOT_SENT = "not sent"
    LATE = "no answer, carried out late"
    ANSWER_LOST = "carried out, no answer"
    ANSWER_LATE = "carried out, answered late"
    RESTART_BEFORE = "restart, then carried out"
    RESTART_AFTER = "carried out, then restart, then answered"
    RESTART_TWICE = "restart, carried out, restart, answered"


@dataclass(kw_only=True)
class Engine:
    """Hold the state of the process that runs now under one id."""

    id: str
    born: int
    staged: tuple[str, ...] = ("m",)
    count: int = 0
    fence: int = 0
    epoch: int = 0
    group: str = ""
    model: str = ""
    members: tuple[str, ...] = ()
    phase: GroupPhase | None = None
    draining: bool = False

    @property
    def process(self):
        """Return which process this is."""
        return Process(id=self.id, born=self.born)

    @property
    def formation(self):
        """Return the formation in which the engine stands."""
        return (self.group, self.epoch, self.members) if self.phase else None

    def target(self):
        """Write what the engine says of itself."""
        membership = None
        if self.phase is not None:
            membership = Membership(
                group=self.group,
                epoch=self.epoch,
                rank=self.members.index(self.id),
                phase=self.phase,
            )
        return Target(
            id=self.id,
            service="engines",
            address=f"{self.id}:1",
            data_centre="a",
            slots=4,
            domain="d0",
            draining=self.draining,
            model=self.model,
            staged=self.staged,
            membership=membership,
            born=self.born,
        )


@dataclass(frozen=True, kw_only=True)
class LateOrder:
    """Hold an order that is still on its way."""

    step: object
    fence: int
    expected: int


@dataclass(kw_only=True)
class Fleet:
    """Run the engines, and the list in which they write."""

    enforces_fences: bool
    engines: dict = field(default_factory=dict)
    listed: dict = field(default_factory=dict)
    revision: int = 1
    late_orders: list = field(default_factory=list)
    pending_answers: list = field(default_factory=list)
    deliveries: list = field(default_factory=list)
    slow_reports: int = 0
    violations: list = field(default_factory=list)
    ever_ready: dict = field(default_factory=lambda: defaultdict(set))
    _starts: int = 0

    def add(self, name, staged=("m",)):
        """Start an engine for the first time."""
        self.engines[name] = Engine(id=name, born=1000, staged=staged)
        self.publish(name)

    def restart(self, name):
        """Start an engine again under its id, on a clock that may be set back."""
        self._starts += 1
        steps = -1 if self._starts % 2 else 1
        old = self.engines[name]
        born = 1000 + steps * self._starts
        self.engines[name] = Engine(id=name, born=born, staged=old.staged)

    def publish(self, name):
        """Let the list show an engine as it is."""
        self.revision += 1
        self.listed[name] = self.engines[name].target()

    def expire(self, name):
        """Let the list lose an engine's entry."""
        if self.listed.pop(name, None) is not None:
            self.revision += 1

    def advance(self):
        """End what takes a moment: joining, closing, and the stall of broken groups."""
        for engine in self.engines.values():
            if engine.phase in (GroupPhase.JOINING, GroupPhase.CLOSING):
                engine.phase = GroupPhase.READY
            if engine.phase is GroupPhase.READY:
                self.ever_ready[engine.formation].add(engine.process)

    def stall(self):
        """Break the groups whose head waits for a member that stands there no more."""
        for engine in self.engines.values():
            if engine.phase in SERVING:
                others = [self.engines[m] for m in engine.members]
                if any(other.formation != engine.formation for other in others):
                    engine.phase = GroupPhase.BROKEN

    def receive(self, step, *, fence, expected):
        """Carry out an order at whatever process runs under the id."""
        engine = self.engines[step.target.id]
        if expected != engine.count:
            return OrderUnfit()
        if self.enforces_fences and fence < engine.fence:
            return OrderFenced()
        end = self._carry_out(engine, step)
        if not isinstance(end, OrderFenced | OrderUnfit):
            engine.fence = max(engine.fence, fence)
        if end == OrderTaken(began=True):
            engine.count += 1
        return end

    def _carry_out(self, engine, step):
        match step:
            case Join():
                return self._join(engine, step)
            case Stage():
                engine.staged = (step.model,)
                return OrderTaken(began=True)
        if (engine.group, engine.epoch) != (step.group, step.epoch):
            return OrderUnfit()
        match step:
            case Leave():
                engine.group, engine.members, engine.phase = "", (), None
                return OrderTaken(began=True)
            case Open() if engine.phase is GroupPhase.READY:
                return self._open(engine)
            case Close() if engine.phase is GroupPhase.OPEN:
                engine.phase = GroupPhase.CLOSING
                return OrderTaken(began=True)
        return OrderUnfit()

    def _join(self, engine, step):
        formation = (step.group, step.epoch, step.members)
        if step.epoch < engine.epoch:
            return OrderFenced()
        if engine.formation == formation:
            return OrderTaken(began=False)
        if engine.formation is not None and engine.formation[:2] == formation[:2]:
            return OrderFenced()
        self._check_not_serving(engine, step)
        engine.group, engine.epoch, engine.members = formation
        engine.phase, engine.model = GroupPhase.JOINING, step.model
        return OrderTaken(began=True)

    def _check_not_serving(self, engine, step):
        if engine.formation is None:
            return
        head = self.engines[engine.members[0]]
        if head.formation == engine.formation and head.phase in SERVING:
            self.violations.append(f"{engine} joins {step} beside {head}")

    def _open(self, engine):
        formation = engine.formation
        ready = {process.id for process in self.ever_ready[formation]}
        if engine.id != engine.members[0] or ready != set(engine.members):
            self.violations.append(f"{engine} opens with {ready} ever ready")
        engine.phase = GroupPhase.OPEN
        return OrderTaken(began=True)


class ModelSource:
    """Read the fleet's list; cut off, it answers nothing."""

    def __init__(self, fleet):
        self.fleet, self.is_cut_off = fleet, False

    async def targets(self, since):
        """Return all that is listed."""
        if self.is_cut_off:
            return Unavailable(reason="cut off")
        return TargetsRead(
            revision=self.fleet.revision,
            targets=tuple(self.fleet.listed.values()),
            whole=True,
        )


class ModelTargets:
    """Carry one planner's orders and questions to the fleet."""

    def __init__(self, fleet, clock):
        self.fleet, self.clock = fleet, clock
        self.reported_counts = defaultdict(set)
        self.counts_since_listing = defaultdict(set)
        self.lagging = {}
        self.asked = 0
        self.answered = {}
        self.listed = lambda name: None
        self.on_order = []
        self.left_formations = set()

    async def order(self, step, *, fence, expected):
        """Send an order, to which what was drawn for it happens."""
        for check in self.on_order:
            check(step, expected)
        fate = self.fleet.deliveries.pop(0) if self.fleet.deliveries else Delivery.TAKEN
        fleet, name, end = self.fleet, step.target.id, None
        if fate is Delivery.NOT_SENT:
            return OrderLost(reason="refused")
        if fate is Delivery.LATE:
            fleet.late_orders.append(
                LateOrder(step=step, fence=fence, expected=expected)
            )
            return OrderLost(reason="timeout")
        if fate in (Delivery.RESTART_BEFORE, Delivery.RESTART_TWICE):
            fleet.restart(name)
        end = fleet.receive(step, fence=fence, expected=expected)
        if fate in (Delivery.RESTART_AFTER, Delivery.RESTART_TWICE):
            fleet.restart(name)
        if fate is Delivery.ANSWER_LOST:
            return OrderLost(reason="timeout")
        if fate is Delivery.ANSWER_LATE:
            sent_at = self.clock.now()
            await self._wait()
            if self.clock.now() - sent_at > ANSWER_SECONDS:
                return OrderLost(reason="timeout")
        if end == OrderTaken(began=True):
            self._note_count(step.target.process, expected + 1)
            if isinstance(step, Leave):
                self.left_formations.add(
                    (step.target.process, (step.group, step.epoch))
                )
        return end

    async def report(self, target):
        """Tell what an engine holds, as of some moments ago in the same process."""
        engine = self.fleet.engines[target.id]
        now = EngineReport(orders=engine.count, target=engine.target())
        asked_at, before = self.lagging.get(target.id, (self.clock.now(), now))
        self.lagging[target.id] = (self.clock.now(), now)
        is_recent = self.clock.now() - asked_at < REPORT_LAG_SECONDS
        if not is_recent or before.target.process != now.target.process:
            before = now
        self.asked += 1
        asked = self.asked
        if self.fleet.slow_reports:
            self.fleet.slow_reports -= 1
            await self._wait()
        self._note_count(before.target.process, before.orders)
        self._note_answer(asked, target.process, before.target.process)
        return replace(before)

    def _note_count(self, process, count):
        self.reported_counts[process].add(count)
        self.counts_since_listing[process].add(count)

    def _note_answer(self, asked, meant, answered):
        """Note which process the answer to the newest question ends."""
        newest, _, _ = self.answered.get(meant.id, (0, meant, meant))
        if asked > newest and self.listed(meant.id) == meant:
            self.answered[meant.id] = (asked, meant, answered)

    def ended(self, process):
        """Tell whether an answer ended a process that the list still shows."""
        _, meant, answered = self.answered.get(process.id, (0, None, None))
        is_listed = self.listed(process.id) == process
        return is_listed and meant == process and answered != process

    async def _wait(self):
        waiting = asyncio.get_running_loop().create_future()
        self.fleet.pending_answers.append(waiting)
        await waiting

    async def is_healthy(self, target, path):
        """Tell whether an engine serves."""
        return not self.fleet.engines[target.id].draining
