"""Keep this controller's member row and learn who else is alive."""

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

GONE_AFTER_LEASES = 3.0


class RenewalResult(str, Enum):
    """Say how a renewal of the member row ended."""

    RENEWED = "renewed"
    FAILED = "failed"
    REPLACED = "replaced"


@dataclass(frozen=True, kw_only=True)
class MemberIdentity:
    """Name this controller and where it can be reached."""

    name: str
    cell: str
    address: str
    operator_address: str
    incarnation: str


class Membership:
    """Renew the own row, watch the others', and move the cell's epoch on."""

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
        self._counter = 0
        self._joined_at: float | None = None
        self._renewed_at: float | None = None
        self._last_read_at: float | None = None
        self._heard: CellRow | None = None

    @property
    def identity(self) -> MemberIdentity:
        """Return who this controller is."""
        return self._identity

    @property
    def epoch(self) -> int:
        """Return the latest cell epoch known; 0 before the first."""
        known = self.known_cell
        return known.epoch if known else 0

    @property
    def known_cell(self) -> CellRow | None:
        """Return the cell in the latest epoch that was read or heard of."""
        row = self.cell
        read = row.value if row else None
        if read is None or (self._heard and self._heard.epoch > read.epoch):
            return self._heard
        return read

    @property
    def cell(self) -> Versioned[CellRow] | None:
        """Return the row of this controller's cell."""
        return self._shared.get(CELLS + self._identity.cell, CellRow)

    @property
    def valid_until(self) -> float:
        """Return until when leases backed by this row may be acted under."""
        if self._renewed_at is None:
            return 0.0
        return self._renewed_at + self._lease_seconds

    def members(self) -> dict[str, MemberRow]:
        """Return every member row of the cell as last read."""
        rows = self._cell_view.with_prefix(MEMBERS, MemberRow)
        return {name: row.value for name, row in rows.items()}

    def live_members(self) -> dict[str, MemberRow]:
        """Return the members whose heartbeat moves, this one included."""
        now = self._clock.now()
        rows = self.members()
        return {
            name: member
            for name, member in rows.items()
            if not self._watch.is_expired((name, member.incarnation), now)
        }

    def is_lease_expired(self, member: str, incarnation: str) -> bool:
        """Tell whether a lease that this incarnation holds has lapsed.

        An incarnation that was never seen is watched from now on, so that a holder
        whose row was overwritten still gets its full lease time to stop by itself.
        """
        now = self._clock.now()
        key = (member, incarnation)
        if not self._watch.is_watched(key):
            self._watch.observe(key, "holder", now)
        return self._watch.is_expired(key, now)

    def eligible_owners(self) -> list[str]:
        """Return the members that may take ownership."""
        return [
            n for n, m in self.live_members().items() if m.state is MemberState.LIVE
        ]

    def live_gateways(self) -> frozenset[str]:
        """Return the incarnations of gateways attached to a live member."""
        return frozenset(g for m in self.live_members().values() for g in m.gateways)

    def adopt_cell(self, cell: CellRow) -> None:
        """Take over a later epoch that a peer has read.

        A table that goes dark while a member is being counted leaves some members an
        epoch behind. They would never agree with the rest, and the whole cell would
        refuse until the table is back.
        """
        if cell.cell == self._identity.cell and cell.epoch > self.epoch:
            self._heard = cell

    async def refresh(self) -> bool:
        """Read the cell's rows and note which heartbeats moved."""
        if not await self._cell_view.refresh():
            return False
        now = self._clock.now()
        if self._last_read_at is not None:
            dark = now - self._last_read_at - self._lease_seconds / 2
            if dark > 0:
                self._watch.postpone(dark)
                self._gone_watch.postpone(dark)
        self._last_read_at = now
        beats = self._cell_view.with_prefix(HEARTBEATS, HeartbeatRow)
        for name, member in self.members().items():
            key = (name, member.incarnation)
            beat = beats[name].value.n if name in beats else 0
            self._watch.observe(key, beat, now)
            self._gone_watch.observe(name, (key, beat), now)
        return True

    async def renew(
        self, *, applied: int, prepared: str, gateways: tuple[str, ...]
    ) -> RenewalResult:
        """Write the own row; `prepared` is the proposal that is held."""
        asked_at = self._clock.now()
        self._advance_state(asked_at)
        held = self._cell_view.get(MEMBERS + self._identity.name, MemberRow)
        if self._is_replaced(held):
            return RenewalResult.REPLACED
        row = self._row(applied, prepared, gateways)
        change = self._renewal(row, held)
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
        """Mark the own row as leaving, so that others take over at once."""
        self._state = MemberState.LEAVING
        await self._cell_view.refresh()
        await self.renew(applied=applied, prepared=prepared, gateways=())

    async def advance_epoch(self) -> None:
        """Create the cell's row, or count one member more or less."""
        cell = self.cell
        key = SHARED + CELLS + self._identity.cell
        if cell is None:
            first = CellRow(
                cell=self._identity.cell, epoch=1, members=(self._identity.name,)
            )
            put = TypedPut(key=key, value=first, expect=0)
            await self._table.commit(transaction(self._draw_id(), put))
            return
        step = next_epoch(
            cell=cell.value,
            acknowledged=self._noted(cell.value),
            joining=tuple(self.eligible_owners()),
            gone=self._gone(cell.value),
        )
        if step is not None:
            put = TypedPut(key=key, value=step, expect=cell.version)
            await self._table.commit(transaction(self._draw_id(), put))

    def _renewal(
        self, row: MemberRow, held: Versioned[MemberRow] | None
    ) -> Transaction:
        """Return the next beat, with the member row only where that changed."""
        prefix = cell_prefix(self._identity.cell)
        name = self._identity.name
        beat = self._cell_view.get(HEARTBEATS + name, HeartbeatRow)
        self._counter += 1
        puts = [
            TypedPut(
                key=prefix + HEARTBEATS + name,
                value=HeartbeatRow(n=self._counter),
                expect=beat.version if beat else 0,
            )
        ]
        if held is None or held.value != row:
            put = TypedPut(
                key=prefix + MEMBERS + name,
                value=row,
                expect=held.version if held else 0,
            )
            puts.append(put)
        return transaction(self._draw_id(), *puts)

    def _advance_state(self, now: float) -> None:
        # A newcomer waits one lease time: whoever held its share before has then
        # either seen it or let its own leases lapse.
        if self._state is not MemberState.JOINING or self._joined_at is None:
            return
        if now - self._joined_at >= self._lease_seconds:
            self._state = MemberState.LIVE

    def _is_replaced(self, held: Versioned[MemberRow] | None) -> bool:
        if held is None or self._joined_at is None:
            return False
        return held.value.incarnation != self._identity.incarnation

    def _row(self, applied: int, prepared: str, gateways: tuple[str, ...]) -> MemberRow:
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

    def _noted(self, cell: CellRow) -> frozenset[str]:
        rows = self.members().values()
        return frozenset(m.name for m in rows if m.epoch == cell.epoch)

    def _gone(self, cell: CellRow) -> tuple[str, ...]:
        now = self._clock.now()
        rows = self.members()
        return tuple(
            name
            for name in cell.members
            if name not in rows
            or rows[name].state is MemberState.LEAVING
            or self._gone_watch.is_expired(name, now)
        )
