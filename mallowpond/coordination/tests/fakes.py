"""Fakes of the ports with faults to inject, and controllers that run on them."""

import random
from dataclasses import dataclass, field, replace

from mallowpond.coordination.configuration import Configuration
from mallowpond.coordination.groups import GroupManager, GroupTimings
from mallowpond.coordination.health import EngineWatch
from mallowpond.coordination.keys import SHARED
from mallowpond.coordination.leases import NamedLease
from mallowpond.coordination.membership import MemberIdentity, Membership
from mallowpond.coordination.ports import (
    CommitOutcome,
    Committed,
    Conflict,
    EngineStatus,
    Host,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRefused,
    OrderResult,
    Put,
    Row,
    Scanned,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.coordination.store import TableView, new_id
from mallowpond.protocol.declaration_file import Document, parse_document
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.assurance import PeerAnswer
from mallowpond.state.declarations import Declaration, Deployment
from mallowpond.state.rows import Holder

LEASE_SECONDS = 3.0
ASSURANCE_SECONDS = 4.0
ABORT_SECONDS = 10.0


@dataclass(kw_only=True)
class FakeClock:
    """Clock that only tests advance."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the time."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Advance the time."""
        self.time += seconds


@dataclass(kw_only=True)
class TableLink:
    """Link of one controller to a shared table; it can be cut or lose answers.

    `lose_answers` is the number of commits whose answers are still to be lost.
    """

    table: MemoryTable
    cut: bool = False
    reads_cut: bool = False
    lose_answers: int = 0

    async def read(self, key: str) -> Row | None | Unavailable:
        """Read unless the link is cut."""
        if self.cut or self.reads_cut:
            return Unavailable(reason="cut")
        return await self.table.read(key)

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Scan unless the link is cut."""
        if self.cut or self.reads_cut:
            return Unavailable(reason="cut")
        return await self.table.scan(prefix, since)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit unless the link is cut; the answer may be lost."""
        if self.cut:
            return Unavailable(reason="cut")
        outcome = await self.table.commit(transaction)
        if self.lose_answers:
            self.lose_answers -= 1
            return Unknown(reason="answer lost")
        return outcome


@dataclass(kw_only=True)
class RecordingTable(MemoryTable):
    """Table that records every row ever committed."""

    written: list[Put] = field(default_factory=list)

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction and record its rows."""
        outcome = super().apply(transaction)
        if isinstance(outcome, Committed):
            self.written += transaction.puts
        return outcome


@dataclass(kw_only=True)
class FakeEngine:
    """Engine that carries out its last order at once."""

    host: str
    incarnation: str = "1"
    checks_fencing: bool = True
    silent: bool = False
    can_load: bool = True
    in_flight: int = 0
    fence: int = 0
    order: Order | None = None

    def execute(self, order: Order) -> OrderResult:
        """Carry out an order, or refuse it by its fencing number."""
        if self.checks_fencing and order.fence < self.fence:
            return OrderRefused(reason="old fence")
        self.fence = max(self.fence, order.fence)
        self.order = order
        return OrderAccepted()

    def status(self) -> EngineStatus:
        """Return the status after the last order."""
        status = EngineStatus(
            host=self.host, incarnation=self.incarnation, in_flight=self.in_flight
        )
        if self.order is None:
            return status
        status = replace(status, order=self.order.order)
        if self.order.action is OrderAction.UNLOAD:
            return status
        return replace(
            status,
            group=self.order.group,
            generation=self.order.generation,
            loaded=self.can_load,
        )

    def restart(self, *, keeps_placement: bool = False) -> None:
        """Restart in a new incarnation, unloaded unless `keeps_placement`."""
        self.incarnation = str(int(self.incarnation) + 1)
        self.fence = 0
        if not keeps_placement:
            self.order = None


@dataclass(kw_only=True)
class FakeEngines:
    """Fake engines by address, which is the name of their host."""

    engines: dict[str, FakeEngine] = field(default_factory=dict)
    sent_orders: list[tuple[str, Order]] = field(default_factory=list)

    async def order(self, address: str, order: Order) -> OrderResult:
        """Record an order and pass it to the engine."""
        self.sent_orders.append((address, order))
        return self.engines[address].execute(order)

    async def status(self, address: str) -> EngineStatus | Unavailable:
        """Return the status of an engine, unless it is silent."""
        engine = self.engines[address]
        return Unavailable(reason="silent") if engine.silent else engine.status()


@dataclass(kw_only=True)
class FakeController:
    """The parts of one controller, which tests run step by step."""

    name: str
    clock: FakeClock
    table_link: TableLink
    shared: TableView
    membership: Membership
    configuration: Configuration
    lease: NamedLease
    watch: EngineWatch
    groups: GroupManager

    async def step(self) -> None:
        """Run one iteration of the controller's table loop."""
        asked_at = self.clock.now()
        if not await self.shared.refresh() or not await self.membership.refresh():
            return
        self.configuration.after_read(asked_at)
        await self.renew()
        await self.membership.advance_epoch()
        await self.configuration.advance_proposal()

    async def renew(self) -> None:
        """Renew the member row."""
        await self.membership.renew(
            applied=self.configuration.applied.version,
            prepared=self.configuration.prepared,
            gateways=(),
        )

    async def plan(self, declaration: Declaration, hosts: tuple[Host, ...]) -> None:
        """Poll the engines and plan once."""
        await self.watch.poll(hosts)
        await self.groups.tick(declaration=declaration, hosts=hosts)

    def ask(self, peer: "FakeController", delay: float = 0.0) -> None:
        """Query a peer; its answer arrives after `delay` seconds."""
        asked_at = self.clock.now()
        answer, cell = peer.make_peer_answer(asked_at), peer.membership.latest_cell
        self.clock.time += delay
        if cell is not None:
            self.membership.adopt_cell(cell)
        self.configuration.record_peer_answer(answer)

    def make_peer_answer(self, asked_at: float) -> PeerAnswer:
        """Return the answer to a peer, as the link service does."""
        read = self.configuration.head_read
        return PeerAnswer(
            member=self.name,
            asked_at=asked_at,
            epoch=self.membership.epoch,
            head_version=read.version if read else 0,
            read_age=self.clock.now() - read.asked_at if read else None,
            holds_newer=bool(self.configuration.prepared),
        )


def make_controller(
    name: str,
    table: MemoryTable,
    clock: FakeClock,
    engines: FakeEngines | None = None,
    incarnation: str = "1",
    seed: int = 1,
) -> FakeController:
    """Build the parts of one controller on fakes."""
    rng = random.Random(f"{name}/{incarnation}/{seed}")
    table_link = TableLink(table=table)
    shared = TableView(table=table_link, prefix=SHARED)
    identity = MemberIdentity(
        name=name, cell="ub", address="", operator_address="", incarnation=incarnation
    )
    common = {"table": table_link, "clock": clock, "shared": shared}
    common["draw_id"] = lambda: new_id(rng)
    membership = Membership(identity=identity, lease_seconds=LEASE_SECONDS, **common)
    lease = NamedLease(name="planner", membership=membership, **common)
    watch = EngineWatch(
        engines=engines or FakeEngines(), clock=clock, silent_seconds=2.0
    )
    holder = Holder(
        member=name, incarnation=incarnation, host=f"entry-{name}", host_incarnation="1"
    )
    return FakeController(
        name=name,
        clock=clock,
        table_link=table_link,
        shared=shared,
        membership=membership,
        configuration=Configuration(
            membership=membership,
            parse=parse_document,
            assurance_seconds=ASSURANCE_SECONDS,
            abort_seconds=ABORT_SECONDS,
            **common,
        ),
        lease=lease,
        watch=watch,
        groups=GroupManager(
            engines=engines or FakeEngines(),
            lease=lease,
            watch=watch,
            holder=lambda: holder,
            timings=GroupTimings(drain_settle=2.0),
            **common,
        ),
    )


async def step_all(
    *controllers: FakeController, seconds: float = LEASE_SECONDS * 3
) -> None:
    """Step every controller each half second, by default until all are members."""
    for _ in range(int(seconds * 2)):
        for controller in controllers:
            await controller.step()
        controllers[0].clock.time += 0.5


def configuration_text(*deployments: Deployment) -> str:
    """Return the text of a configuration with these deployments."""
    lines = []
    for deployment in deployments:
        lines += [
            "[[deployments]]",
            f'name = "{deployment.name}"',
            f'model = "{deployment.model}"',
        ]
        lines += [f"replicas = {deployment.replicas}"]
        lines += [f"hosts_per_group = {deployment.hosts_per_group}"]
    return Document(source="\n".join(lines)).encode()


def make_hosts(*names: str, domain: str = "a") -> tuple[Host, ...]:
    """Return hosts of one domain whose addresses are their names."""
    return tuple(
        Host(
            name=name,
            address=name,
            domain=domain,
            data_centre="dc1",
            accelerators=8,
            incarnation="1",
        )
        for name in names
    )
