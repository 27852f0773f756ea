"""Small fakes at the ports: a clock to turn, a table to cut off, engines to break."""

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

LEASE = 3.0
ASSURANCE = 4.0
ABORT = 10.0


@dataclass(kw_only=True)
class FakeClock:
    """Stand at a time that only tests move."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the time."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Move the time on."""
        self.time += seconds


@dataclass(kw_only=True)
class CutTable:
    """Reach a shared table over a line that can be cut or lose answers."""

    table: MemoryTable
    cut: bool = False
    reads_cut: bool = False
    lose_answers: int = 0

    async def read(self, key: str) -> Row | None | Unavailable:
        """Read unless cut off."""
        if self.cut or self.reads_cut:
            return Unavailable(reason="cut")
        return await self.table.read(key)

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Scan unless cut off."""
        if self.cut or self.reads_cut:
            return Unavailable(reason="cut")
        return await self.table.scan(prefix, since)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit unless cut off; the answer may be lost."""
        if self.cut:
            return Unavailable(reason="cut")
        outcome = await self.table.commit(transaction)
        if self.lose_answers:
            self.lose_answers -= 1
            return Unknown(reason="answer lost")
        return outcome


@dataclass(kw_only=True)
class RecordingTable(MemoryTable):
    """Remember every row that was ever committed."""

    written: list[Put] = field(default_factory=list)

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction and remember its rows."""
        outcome = super().apply(transaction)
        if isinstance(outcome, Committed):
            self.written += transaction.puts
        return outcome


@dataclass(kw_only=True)
class FakeEngine:
    """Hold what one engine was last ordered."""

    host: str
    incarnation: str = "1"
    checks_fencing: bool = True
    silent: bool = False
    loads: bool = True
    in_flight: int = 0
    fence: int = 0
    order: Order | None = None

    def take(self, order: Order) -> OrderResult:
        """Carry out an order."""
        if self.checks_fencing and order.fence < self.fence:
            return OrderRefused(reason="old fence")
        self.fence = max(self.fence, order.fence)
        self.order = order
        return OrderAccepted()

    def status(self) -> EngineStatus:
        """Report the place held."""
        base = EngineStatus(
            host=self.host, incarnation=self.incarnation, in_flight=self.in_flight
        )
        if self.order is None:
            return base
        base = replace(base, order=self.order.order)
        if self.order.action is OrderAction.UNLOAD:
            return base
        return replace(
            base,
            group=self.order.group,
            generation=self.order.generation,
            loaded=self.loads,
        )

    def restart(self, *, keeps_place: bool = False) -> None:
        """Come back under a new incarnation, with nothing loaded unless told so."""
        self.incarnation = str(int(self.incarnation) + 1)
        self.fence = 0
        if not keeps_place:
            self.order = None


@dataclass(kw_only=True)
class FakeEngines:
    """Reach engines by address, which is their host's name."""

    engines: dict[str, FakeEngine] = field(default_factory=dict)
    log: list[tuple[str, Order]] = field(default_factory=list)

    async def order(self, address: str, order: Order) -> OrderResult:
        """Hand an order to an engine."""
        self.log.append((address, order))
        return self.engines[address].take(order)

    async def status(self, address: str) -> EngineStatus | Unavailable:
        """Ask an engine."""
        engine = self.engines[address]
        return Unavailable(reason="silent") if engine.silent else engine.status()


@dataclass(kw_only=True)
class Node:
    """Hold one controller's parts, stepped by hand."""

    name: str
    clock: FakeClock
    line: CutTable
    shared: TableView
    membership: Membership
    configuration: Configuration
    lease: NamedLease
    watch: EngineWatch
    groups: GroupManager

    async def step(self) -> None:
        """Do what the table loop does once."""
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
        """Look at the engines and plan once."""
        await self.watch.poll(hosts)
        await self.groups.tick(declaration=declaration, hosts=hosts)

    def ask(self, peer: "Node", delay: float = 0.0) -> None:
        """Ask a peer for its view, which takes `delay` seconds to come."""
        asked_at = self.clock.now()
        vouch, cell = peer.vouch(asked_at), peer.membership.known_cell
        self.clock.time += delay
        if cell is not None:
            self.membership.adopt_cell(cell)
        self.configuration.record_peer_answer(vouch)

    def vouch(self, asked_at: float) -> PeerAnswer:
        """Answer a peer as the link service does."""
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
) -> Node:
    """Build one controller's parts on fakes."""
    rng = random.Random(f"{name}/{incarnation}/{seed}")
    line = CutTable(table=table)
    shared = TableView(table=line, prefix=SHARED)
    identity = MemberIdentity(
        name=name, cell="ub", address="", operator_address="", incarnation=incarnation
    )
    common = {"table": line, "clock": clock, "shared": shared}
    common["draw_id"] = lambda: new_id(rng)
    membership = Membership(identity=identity, lease_seconds=LEASE, **common)
    lease = NamedLease(name="planner", membership=membership, **common)
    watch = EngineWatch(
        engines=engines or FakeEngines(), clock=clock, silent_seconds=2.0
    )
    holder = Holder(
        member=name, incarnation=incarnation, host=f"entry-{name}", host_incarnation="1"
    )
    return Node(
        name=name,
        clock=clock,
        line=line,
        shared=shared,
        membership=membership,
        configuration=Configuration(
            membership=membership,
            parse=parse_document,
            assurance_seconds=ASSURANCE,
            abort_seconds=ABORT,
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


async def settle(*nodes: Node, seconds: float = LEASE * 3) -> None:
    """Step every node each half second until all are counted members."""
    for _ in range(int(seconds * 2)):
        for node in nodes:
            await node.step()
        nodes[0].clock.time += 0.5


def configuration_text(*deployments: Deployment) -> str:
    """Return a configuration text that declares these deployments."""
    lines = []
    for one in deployments:
        lines += ["[[deployments]]", f'name = "{one.name}"', f'model = "{one.model}"']
        lines += [f"replicas = {one.replicas}"]
        lines += [f"hosts_per_group = {one.hosts_per_group}"]
    return Document(source="\n".join(lines)).encode()


def listed(*names: str, domain: str = "a") -> tuple[Host, ...]:
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
