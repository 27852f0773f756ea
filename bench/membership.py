"""Measure the cost of membership and configuration, and the ownership that moves."""

import asyncio
import random
from dataclasses import dataclass, field

from bench.report import Report, best_seconds
from mallowpond.coordination.keys import HOSTS, SHARED
from mallowpond.coordination.ports import (
    CommitOutcome,
    Row,
    Scanned,
    Transaction,
    Unavailable,
)
from mallowpond.coordination.store import TableView
from mallowpond.coordination.tests.fakes import (
    FakeClock,
    configuration_text,
    make_controller,
)
from mallowpond.protocol.peer import Routes, encode
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.codec import to_json, to_plain
from mallowpond.state.ownership import owner_of
from mallowpond.state.rows import (
    GroupMember,
    GroupRow,
    GroupState,
    Holder,
    HostRow,
    OrderOutcome,
)

HEARTBEAT_SECONDS = 0.5
ROUNDS = 40


@dataclass(kw_only=True)
class CountingTable(MemoryTable):
    """In-memory table that counts scans and the bytes of reads and writes as JSON."""

    read_bytes: int = 0
    write_bytes: int = 0
    scans: int = 0
    keys: set[str] = field(default_factory=set)

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Scan rows and count the scan and its bytes."""
        found = await super().scan(prefix, since)
        self.scans += 1
        self.read_bytes += len(to_json(found))
        return found

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction and count its bytes."""
        self.write_bytes += len(to_json(transaction))
        return await super().commit(transaction)

    async def read(self, key: str) -> Row | None | Unavailable:
        """Read a row and count its bytes."""
        row = await super().read(key)
        self.read_bytes += len(to_json(row))
        return row


async def settled_cell(count: int) -> tuple[CountingTable, list, FakeClock]:
    """Return a cell in which all `count` controllers are members, or nearly."""
    table, clock = CountingTable(), FakeClock()
    nodes = [make_controller(f"n{i:03}", table, clock) for i in range(count)]
    for _ in range(count + 20):
        for node in nodes:
            await node.step()
        clock.time += HEARTBEAT_SECONDS
        cell = nodes[0].membership.cell
        if cell and len(cell.value.members) == count:
            break
    return table, nodes, clock


async def measure_cost(count: int) -> tuple[float, ...]:
    """Return scans, commits, and bytes read and written per node and second.

    The last figure is the time in seconds until a configuration is applied everywhere.
    """
    table, nodes, clock = await settled_cell(count)
    before = (table.scans, table.commits, table.read_bytes, table.write_bytes)
    for _ in range(ROUNDS):
        for node in nodes:
            await node.step()
        clock.time += HEARTBEAT_SECONDS
    after = (table.scans, table.commits, table.read_bytes, table.write_bytes)
    unit = ROUNDS * HEARTBEAT_SECONDS * count
    per_node = [(b - a) / unit for a, b in zip(before, after, strict=True)]
    steps = await _heartbeats_until_applied(nodes, clock)
    return (*per_node, steps * HEARTBEAT_SECONDS)


async def _heartbeats_until_applied(nodes: list, clock: FakeClock) -> int:
    """Return the heartbeats from a proposal until every node has applied it."""
    node = nodes[0].configuration
    await node.propose(
        text=configuration_text(), expect_version=node.applied.version, author="bench"
    )
    for step in range(1, 100):
        for one in nodes:
            await one.step()
        clock.time += HEARTBEAT_SECONDS
        if all(n.configuration.applied.version == 1 for n in nodes):
            return step
    return 100


def moved_shares(members: int, change: str) -> tuple[float, float]:
    """Return the shares of names that change owner with rendezvous and modulo."""
    rng = random.Random(2)
    names = [f"name-{rng.random()}" for _ in range(2_000)]
    before = [f"n{i}" for i in range(members)]
    after = [*before, "new"] if change == "join" else before[1:]
    rendezvous = sum(owner_of(n, before) != owner_of(n, after) for n in names)
    modulo = sum(
        before[hash_of(n) % len(before)] != after[hash_of(n) % len(after)]
        for n in names
    )
    return rendezvous / len(names), modulo / len(names)


def hash_of(name: str) -> int:
    """Return a number that depends only on the name."""
    return random.Random(name).getrandbits(48)


def run(*, smallest: bool) -> list[Report]:
    """Measure the cost of cells of several sizes, and the share of moved ownership."""
    sizes = (3, 7) if smallest else (3, 7, 15, 30)
    rows = []
    for size in sizes:
        scans, commits, read, written, applied_after = asyncio.run(measure_cost(size))
        rows.append((size, scans, commits, read, written, applied_after))
    costs = Report(
        title="Cost of a node in a cell, heartbeats each 0.5 s",
        columns=(
            "members",
            "scans/s",
            "commits/s",
            "read B/s",
            "written B/s",
            "in force after (s)",
        ),
        rows=tuple(rows),
    )
    moves = [
        (count, change, *moved_shares(count, change))
        for count in ((7,) if smallest else (7, 30, 380))
        for change in ("join", "loss")
    ]
    ownership = Report(
        title="Share of ownership moved",
        columns=("members", "change", "rendezvous", "modulo"),
        rows=tuple(moves),
    )
    return [costs, ownership, _costs_by_fleet_size((43,) if smallest else (430, 4300))]


def _costs_by_fleet_size(sizes: tuple[int, ...]) -> Report:
    """Measure a scan of the host rows and the size of route answers by fleet size."""
    rows = []
    for hosts in sizes:
        view = _view_of(hosts)
        view.with_prefix(HOSTS, HostRow)
        scan_seconds = best_seconds(lambda v=view: v.with_prefix(HOSTS, HostRow))
        idle_bytes = len(encode(_routes_answer()))
        full_bytes = len(encode(_routes_answer(_groups_of(hosts // 8))))
        rows.append((hosts, scan_seconds * 1e3, idle_bytes, full_bytes))
    columns = (
        "hosts",
        "one look at their rows (ms)",
        "answer of routes at rest (B)",
        "with every group of 8 (B)",
    )
    return Report(title="What grows with the hosts", columns=columns, rows=tuple(rows))


def _view_of(hosts: int) -> TableView:
    view = TableView(table=MemoryTable(), prefix=SHARED)
    holder = Holder(member="c0", incarnation="1", host="e0", host_incarnation="1")
    for number in range(hosts):
        row = HostRow(
            host=f"h{number}",
            incarnation="1",
            group="g",
            generation=1,
            order=1,
            fence=1,
            holder=holder,
            outcome=OrderOutcome.DONE,
        )
        key = f"{SHARED}{HOSTS}h{number}"
        view.rows[key] = Row(key=key, value=to_plain(row), version=1, transaction="t")
    return view


def _groups_of(count: int) -> tuple[GroupRow, ...]:
    return tuple(
        GroupRow(
            group=f"deployment-{number:08x}",
            deployment="deployment",
            generation=1,
            state=GroupState.READY,
            members=tuple(
                GroupMember(
                    host=f"host-{number}-{rank}",
                    address="10.100.100.100:8000",
                    incarnation="1",
                    rank=rank,
                )
                for rank in range(8)
            ),
        )
        for number in range(count)
    )


def _routes_answer(groups: tuple[GroupRow, ...] | None = None) -> Routes:
    return Routes(
        sequence=123456,
        config_version=4000,
        config_left=3.9,
        config_text=None,
        routes_version=2**47,
        groups=groups,
        seen_age=0.123456789,
        exceptions=(),
        excluded_hosts=(),
    )
