"""A model of the platform's engines, which can restart at any moment.

An order is executed by whatever process runs under the id when it arrives. Only the
count of orders, epochs and fences keep a late order from another process than the one
it was sent for.
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


# Timeout of an order's answer, in seconds, as in the client of the engines.
ANSWER_SECONDS = 0.5


class Delivery(Enum):
    """How an order is delivered, and whether its engine restarts meanwhile."""

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
    """The process that runs now under one id; `count` counts the orders it began."""

    id: str
    born: int
    domain: str = "d0"
    staged: tuple[str, ...] = ("m",)
    count: int = 0
    fence: int = 0
    epoch: int = 0
    group: str = ""
    model: str = ""
    members: tuple[str, ...] = ()
    phase: GroupPhase | None = None
    draining: bool = False
    pace: float = 1.0

    @property
    def process(self):
        """Return the identity of the process."""
        return Process(id=self.id, born=self.born)

    @property
    def formation(self):
        """Return the group, epoch and members that the engine belongs to, or None."""
        return (self.group, self.epoch, self.members) if self.phase else None

    def target(self):
        """Return the target entry that the engine publishes."""
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
            domain=self.domain,
            draining=self.draining,
            model=self.model,
            staged=self.staged,
            membership=membership,
            born=self.born,
        )


@dataclass(frozen=True, kw_only=True)
class LateOrder:
    """An order that is still in flight."""

    step: object
    fence: int
    expected: int


@dataclass(kw_only=True)
class Fleet:
    """The engines and the target list in which they publish their entries.

    `violations` collects broken safety rules; `deliveries` holds those of the next
    orders.
    """

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

    def add(self, name, staged=("m",), domain="d0"):
        """Start an engine for the first time."""
        self.engines[name] = Engine(id=name, born=1000, domain=domain, staged=staged)
        self.publish(name)

    def restart(self, name):
        """Restart an engine under its id; its clock may have been set back."""
        self._starts += 1
        steps = -1 if self._starts % 2 else 1
        old = self.engines[name]
        born = 1000 + steps * self._starts
        self.engines[name] = Engine(
            id=name, born=born, domain=old.domain, staged=old.staged
        )

    def publish(self, name):
        """Publish the present state of an engine in the list."""
        self.revision += 1
        self.listed[name] = self.engines[name].target()

    def expire(self, name):
        """Remove an engine's entry from the list."""
        if self.listed.pop(name, None) is not None:
            self.revision += 1

    def advance(self):
        """Complete joins and closes, after which the engines are ready."""
        for engine in self.engines.values():
            if engine.phase in (GroupPhase.JOINING, GroupPhase.CLOSING):
                engine.phase = GroupPhase.READY
            if engine.phase is GroupPhase.READY:
                self.ever_ready[engine.formation].add(engine.process)

    def stall(self):
        """Break the groups whose head waits for a member that left the formation."""
        for engine in self.engines.values():
            if engine.phase in SERVING:
                others = [self.engines[m] for m in engine.members]
                if any(other.formation != engine.formation for other in others):
                    engine.phase = GroupPhase.BROKEN

    def receive(self, step, *, fence, expected):
        """Execute an order on whatever process runs under the id."""
        engine = self.engines[step.target.id]
        if expected != engine.count:
            return OrderUnfit()
        if self.enforces_fences and fence < engine.fence:
            return OrderFenced()
        outcome = self._carry_out(engine, step)
        if not isinstance(outcome, OrderFenced | OrderUnfit):
            engine.fence = max(engine.fence, fence)
        if outcome == OrderTaken(began=True):
            engine.count += 1
        return outcome

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
    """Reads the fleet's list; while cut off it is unavailable."""

    def __init__(self, fleet):
        self.fleet, self.is_cut_off = fleet, False

    async def targets(self, since):
        """Return the whole list."""
        if self.is_cut_off:
            return Unavailable(reason="cut off")
        return TargetsRead(
            revision=self.fleet.revision,
            targets=tuple(self.fleet.listed.values()),
            whole=True,
        )


class ModelTargets:
    """Delivers one planner's orders and queries to the fleet."""

    def __init__(self, fleet, clock):
        self.fleet, self.clock = fleet, clock
        self.reported_counts = defaultdict(set)
        self.counts_since_listing = defaultdict(set)
        self.earlier_reports = {}
        self.queries = 0
        self.newest_answers = {}
        self.listed = lambda name: None
        self.on_order = []
        self.left_formations = set()

    async def order(self, step, *, fence, expected):
        """Send an order with the delivery that was drawn for it."""
        for check in self.on_order:
            check(step, expected)
        delivery = (
            self.fleet.deliveries.pop(0) if self.fleet.deliveries else Delivery.TAKEN
        )
        fleet, name, outcome = self.fleet, step.target.id, None
        if delivery is Delivery.NOT_SENT:
            return OrderLost(reason="refused")
        if delivery is Delivery.LATE:
            fleet.late_orders.append(
                LateOrder(step=step, fence=fence, expected=expected)
            )
            return OrderLost(reason="timeout")
        if delivery in (Delivery.RESTART_BEFORE, Delivery.RESTART_TWICE):
            fleet.restart(name)
        outcome = fleet.receive(step, fence=fence, expected=expected)
        if delivery in (Delivery.RESTART_AFTER, Delivery.RESTART_TWICE):
            fleet.restart(name)
        if delivery is Delivery.ANSWER_LOST:
            return OrderLost(reason="timeout")
        if delivery is Delivery.ANSWER_LATE:
            sent_at = self.clock.now()
            await self._wait()
            if self.clock.now() - sent_at > ANSWER_SECONDS:
                return OrderLost(reason="timeout")
        if outcome == OrderTaken(began=True):
            self._record_count(step.target.process, expected + 1)
            if isinstance(step, Leave):
                self.left_formations.add(
                    (step.target.process, (step.group, step.epoch))
                )
        return outcome

    async def report(self, target):
        """Return an engine's state, which may lag if the process is the same."""
        engine = self.fleet.engines[target.id]
        now = EngineReport(
            orders=engine.count, target=engine.target(), pace=engine.pace
        )
        asked_at, before = self.earlier_reports.get(target.id, (self.clock.now(), now))
        self.earlier_reports[target.id] = (self.clock.now(), now)
        is_recent = self.clock.now() - asked_at < REPORT_LAG_SECONDS
        if not is_recent or before.target.process != now.target.process:
            before = now
        self.queries += 1
        query = self.queries
        if self.fleet.slow_reports:
            self.fleet.slow_reports -= 1
            await self._wait()
        self._record_count(before.target.process, before.orders)
        self._record_answer(query, target.process, before.target.process)
        return replace(before)

    def _record_count(self, process, count):
        self.reported_counts[process].add(count)
        self.counts_since_listing[process].add(count)

    def _record_answer(self, query, addressed, answering):
        """Record which process answered the newest query for the addressed one."""
        newest, _, _ = self.newest_answers.get(addressed.id, (0, addressed, addressed))
        if query > newest and self.listed(addressed.id) == addressed:
            self.newest_answers[addressed.id] = (query, addressed, answering)

    def is_superseded(self, process):
        """Return whether another process answered for one that is still listed."""
        _, addressed, answering = self.newest_answers.get(process.id, (0, None, None))
        is_listed = self.listed(process.id) == process
        return is_listed and addressed == process and answering != process

    async def _wait(self):
        future = asyncio.get_running_loop().create_future()
        self.fleet.pending_answers.append(future)
        await future

    async def is_healthy(self, target, path, on_cold=None):
        """Return whether an engine is not draining."""
        return not self.fleet.engines[target.id].draining
