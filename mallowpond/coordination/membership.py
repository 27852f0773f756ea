"""Renew this controller's member row and track which other members are alive.

A cell is the controllers of one data centre; these are its members.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from mallowpond.coordination.keys import (
    CELLS,
    HEARTBEATS,
    MEMBERS,
    SHARED,
    cell_prefix,
)
from mallowpond.coordination.ports import (
    Clock,
    Committed,
    Conflict,
    TableService,
    Transaction,
)
from mallowpond.coordination.store import (
    TableView,
    TypedPut,
    Versioned,
    commit_and_resolve,
    transaction,
)
from mallowpond.state.lease import ExpiryWatch
from mallowpond.state.proposal import next_epoch
from mallowpond.state.rows import CellRow, HeartbeatRow, MemberRow, MemberState

# Time without a heartbeat after which a member is removed from its cell, as a multiple
# of the lease duration.
GONE_AFTER_LEASES = 3.0


class RenewalResult(str, Enum):
    """Result of a renewal; `REPLACED`: the row names another incarnation."""

    RENEWED = "renewed"
    FAILED = "failed"
    REPLACED = "replaced"


@dataclass(frozen=True, kw_only=True)
class MemberIdentity:
    """Name, cell, addresses and incarnation of this controller.

    `address` is for peers and gateways, `operator_address` for operators. The
    incarnation differs after each start.
    """

    name: str
    cell: str
    address: str
    operator_address: str
    incarnation: str


class Membership:
    """Renews this member's row, tracks the others' and advances the cell's epoch.

    The members are the controllers of one cell, see `CellRow`. `draw_id` returns a new
    random identifier.
    """

    def __init__(
        self,
        *,
        identity: MemberIdentity,
        table: TableService,
        clock: Clock,
        shared: TableView,
        lease_seconds: float,
        draw_id: Callable[[], str],
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._shared = shared
        self._lease_seconds = lease_seconds
        self._draw_id = draw_id
        self._cell_view = TableView(table=table, prefix=cell_prefix(identity.cell))
        self._watch = ExpiryWatch(lease_seconds=lease_seconds)
        self._gone_watch = ExpiryWatch(lease_seconds=lease_seconds * GONE_AFTER_LEASES)
        self._state = MemberState.JOINING
        self._heartbeat_count = 0
        self._joined_at: float | None = None
        self._renewed_at: float | None = None
        self._read_at: float | None = None
        self._peer_cell: CellRow | None = None

    @property
    def identity(self) -> MemberIdentity:
        """Return the name, cell, addresses and incarnation of this controller."""
        return self._identity

    @property
    def epoch(self) -> int:
        """Return the latest known epoch of the cell, 0 before the first."""
        known = self.latest_cell
        return known.epoch if known else 0

    @property
    def latest_cell(self) -> CellRow | None:
        """Return the cell in its latest epoch that this member or a peer has read."""
        row = self.cell
        read = row.value if row else None
        if read is None or (self._peer_cell and self._peer_cell.epoch > read.epoch):
            return self._peer_cell
        return read

    @property
    def cell(self) -> Versioned[CellRow] | None:
        """Return the row of this controller's cell as it last read it, with version."""
        return self._shared.get(CELLS + self._identity.cell, CellRow)

    @property
    def valid_until(self) -> float:
        """Return the time until which leases of this controller are valid."""
        if self._renewed_at is None:
            return 0.0
        return self._renewed_at + self._lease_seconds

    def members(self) -> dict[str, MemberRow]:
        """Return every member row of the cell as last read, by name."""
        rows = self._cell_view.with_prefix(MEMBERS, MemberRow)
        return {name: row.value for name, row in rows.items()}

    def live_members(self) -> dict[str, MemberRow]:
        """Return the members, also this one, whose leases have not expired."""
        now = self._clock.now()
        rows = self.members()
        return {
            name: member
            for name, member in rows.items()
            if not self._watch.is_expired((name, member.incarnation), now)
        }

    def is_lease_expired(self, member: str, incarnation: str) -> bool:
        """Return whether a lease held by this incarnation has expired.

        An incarnation without a known heartbeat is watched from now on with a counter
        that never changes, so that it expires after one lease duration. A lease holder
        whose row was overwritten thus still has that time to stop by itself.
        """
        now = self._clock.now()
        key = (member, incarnation)
        if not self._watch.is_watched(key):
            self._watch.observe(key, "holder", now)
        return self._watch.is_expired(key, now)

    def eligible_owners(self) -> list[str]:
        """Return the names of the live members that may acquire leases."""
        return [
            n for n, m in self.live_members().items() if m.state is MemberState.LIVE
        ]

    def live_gateways(self) -> frozenset[str]:
        """Return the incarnations of gateways attached to a live member."""
        return frozenset(g for m in self.live_members().values() for g in m.gateways)

    def adopt_cell(self, cell: CellRow) -> None:
        """Adopt a later epoch of the cell that a peer has read.

        If the table service fails while a member is being added, some members are an
        epoch behind. They and the rest would never agree on the epoch, and so could not
        confirm the configuration version to one another: the whole cell would refuse
        requests until the table service is back.
        """
        if cell.cell == self._identity.cell and cell.epoch > self.epoch:
            self._peer_cell = cell

    async def refresh(self) -> bool:
        """Read the member and heartbeat rows of the cell and record new heartbeats.

        Return whether the rows could be read.
        """
        if not await self._cell_view.refresh():
            return False
        now = self._clock.now()
        # A time between two reads of more than half a lease counts as an outage.
        if self._read_at is not None:
            outage = now - self._read_at - self._lease_seconds / 2
            if outage > 0:
                self._watch.postpone(outage)
                self._gone_watch.postpone(outage)
        self._read_at = now
        heartbeats = self._cell_view.with_prefix(HEARTBEATS, HeartbeatRow)
        for name, member in self.members().items():
            key = (name, member.incarnation)
            heartbeat = heartbeats[name].value.n if name in heartbeats else 0
            self._watch.observe(key, heartbeat, now)
            self._gone_watch.observe(name, (key, heartbeat), now)
        return True

    async def renew(
        self, *, applied: int, prepared: str, gateways: tuple[str, ...]
    ) -> RenewalResult:
        """Write a heartbeat, and the member row if it changed.

        `applied` is the configuration version that this controller uses, `prepared` the
        identifier of the proposal that it has prepared.
        """
        asked_at = self._clock.now()
        self._advance_state(asked_at)
        stored = self._cell_view.get(MEMBERS + self._identity.name, MemberRow)
        if self._is_replaced(stored):
            return RenewalResult.REPLACED
        row = self._make_row(applied, prepared, gateways)
        change = self._renewal(row, stored)
        outcome = await commit_and_resolve(self._table, change)
        match outcome:
            case Committed():
                self._renewed_at = asked_at
                self._joined_at = self._joined_at or asked_at
                return RenewalResult.RENEWED
            case Conflict():
                await self._cell_view.refresh()
                return RenewalResult.FAILED
            case _:
                return RenewalResult.FAILED

    async def leave(self, *, applied: int, prepared: str) -> None:
        """Mark this member as leaving, so that others take over at once."""
        self._state = MemberState.LEAVING
        await self._cell_view.refresh()
        await self.renew(applied=applied, prepared=prepared, gateways=())

    async def advance_epoch(self) -> None:
        """Create the cell's row, or write its next epoch.

        An epoch adds or removes one member. None is written while the members need no
        change, or a majority has not acknowledged the current epoch.
        """
        cell = self.cell
        key = SHARED + CELLS + self._identity.cell
        if cell is None:
            first = CellRow(
                cell=self._identity.cell, epoch=1, members=(self._identity.name,)
            )
            put = TypedPut(key=key, value=first, expect=0)
            await self._table.commit(transaction(self._draw_id(), put))
            return
        next_cell = next_epoch(
            cell=cell.value,
            acknowledged=self._acknowledged(cell.value),
            joining=tuple(self.eligible_owners()),
            gone=self._gone_members(cell.value),
        )
        if next_cell is not None:
            put = TypedPut(key=key, value=next_cell, expect=cell.version)
            await self._table.commit(transaction(self._draw_id(), put))

    def _renewal(
        self, row: MemberRow, stored: Versioned[MemberRow] | None
    ) -> Transaction:
        """Return the next heartbeat, with the member row only if that changed."""
        prefix = cell_prefix(self._identity.cell)
        name = self._identity.name
        heartbeat = self._cell_view.get(HEARTBEATS + name, HeartbeatRow)
        self._heartbeat_count += 1
        puts = [
            TypedPut(
                key=prefix + HEARTBEATS + name,
                value=HeartbeatRow(n=self._heartbeat_count),
                expect=heartbeat.version if heartbeat else 0,
            )
        ]
        if stored is None or stored.value != row:
            put = TypedPut(
                key=prefix + MEMBERS + name,
                value=row,
                expect=stored.version if stored else 0,
            )
            puts.append(put)
        return transaction(self._draw_id(), *puts)

    def _advance_state(self, now: float) -> None:
        # A new member waits for one lease time before it takes over leases: their
        # former owner has then either seen it or let its leases expire.
        if self._state is not MemberState.JOINING or self._joined_at is None:
            return
        if now - self._joined_at >= self._lease_seconds:
            self._state = MemberState.LIVE

    def _is_replaced(self, stored: Versioned[MemberRow] | None) -> bool:
        if stored is None or self._joined_at is None:
            return False
        return stored.value.incarnation != self._identity.incarnation

    def _make_row(
        self, applied: int, prepared: str, gateways: tuple[str, ...]
    ) -> MemberRow:
        return MemberRow(
            name=self._identity.name,
            cell=self._identity.cell,
            address=self._identity.address,
            operator_address=self._identity.operator_address,
            incarnation=self._identity.incarnation,
            applied=applied,
            prepared=prepared,
            epoch=self.epoch,
            state=self._state,
            gateways=gateways,
        )

    def _acknowledged(self, cell: CellRow) -> frozenset[str]:
        rows = self.members().values()
        return frozenset(m.name for m in rows if m.epoch == cell.epoch)

    def _gone_members(self, cell: CellRow) -> tuple[str, ...]:
        now = self._clock.now()
        rows = self.members()
        return tuple(
            name
            for name in cell.members
            if name not in rows
            or rows[name].state is MemberState.LEAVING
            or self._gone_watch.is_expired(name, now)
        )
