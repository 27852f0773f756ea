"""Commit claims and quota charges in batches, one transaction for each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mallowpond.coordination.keys import claim_key, ledger_key
from mallowpond.coordination.ports import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    Unavailable,
)
from mallowpond.coordination.store import commit_and_resolve
from mallowpond.state.claims import (
    AlreadyRun,
    Granted,
    InProgress,
    OutcomeUnknown,
    Settled,
    Withdrawn,
    decide_claim,
    settle_finish,
    settle_void,
)
from mallowpond.state.codec import from_plain, to_plain
from mallowpond.state.rows import ClaimRow, LedgerRow

MAX_BATCH_SIZE = 200
MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class StoreUnavailable:
    """Nothing was claimed, since the table service cannot be used now."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class ClaimUnknown:
    """The claim may have been stored: its attempt must not run and must be voided."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class SettledAnswer:
    """The attempt needs no further change: it was marked now or earlier."""


ClaimResult = (
    Granted
    | Withdrawn
    | InProgress
    | AlreadyRun
    | OutcomeUnknown
    | StoreUnavailable
    | ClaimUnknown
    | SettledAnswer
)


@dataclass(frozen=True, kw_only=True)
class Claim:
    """Request to run an attempt."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Finish:
    """Request to mark an attempt as done or unknown, as its row's state says."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Void:
    """Request to withdraw an attempt of which nothing was sent."""

    row: ClaimRow


ClaimOperation = Claim | Finish | Void


@dataclass(kw_only=True)
class _PendingOperation:
    operation: ClaimOperation
    answer: asyncio.Future[ClaimResult]
    attempts: int = 0

    @property
    def key(self) -> str:
        return claim_key(self.operation.row.workspace, self.operation.row.key)


@dataclass(kw_only=True)
class _Batch:
    """Changes of one transaction, and the results to return if it commits.

    `units` maps each workspace to the units to charge to it.
    """

    checks: dict[str, int] = field(default_factory=dict)
    rows: dict[str, ClaimRow] = field(default_factory=dict)
    units: dict[str, int] = field(default_factory=dict)
    decided: list[tuple[_PendingOperation, ClaimResult]] = field(default_factory=list)


class ClaimCommitter:
    """Decides claim operations by the stored rows and commits them in batches."""

    def __init__(
        self,
        *,
        table: TableService,
        member: str,
        draw_id: Callable[[], str],
        live_gateways: Callable[[], frozenset[str]],
        on_transaction: Callable[[], None] = lambda: None,
    ) -> None:
        self._table = table
        self._member = member
        self._draw_id = draw_id
        self._live_gateways = live_gateways
        self._queue: list[_PendingOperation] = []
        self._unanswered = 0
        self._wake = asyncio.Event()
        self._on_transaction = on_transaction

    @property
    def unanswered(self) -> int:
        """Return the number of operations without an answer.

        This includes operations that have left the queue but whose transaction is still
        under way; a stop that did not wait for them would cancel it.
        """
        return self._unanswered

    async def submit(self, operation: ClaimOperation) -> ClaimResult:
        """Queue an operation and return its result once it is known."""
        loop = asyncio.get_running_loop()
        pending = _PendingOperation(operation=operation, answer=loop.create_future())
        self._queue.append(pending)
        self._wake.set()
        self._unanswered += 1
        try:
            return await pending.answer
        finally:
            self._unanswered -= 1

    async def run(self) -> None:
        """Commit the queued operations, batch after batch, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._commit_batch(self._take_batch())

    def _take_batch(self) -> list[_PendingOperation]:
        """Dequeue operations on distinct keys; a second one on a key stays queued."""
        taken: dict[str, _PendingOperation] = {}
        deferred: list[_PendingOperation] = []
        for pending in self._queue:
            if len(taken) < MAX_BATCH_SIZE and pending.key not in taken:
                taken[pending.key] = pending
            else:
                deferred.append(pending)
        self._queue = deferred
        return list(taken.values())

    async def _commit_batch(self, pending: list[_PendingOperation]) -> None:
        batch = _Batch()
        stored = await asyncio.gather(*(self._table.read(p.key) for p in pending))
        for entry, row in zip(pending, stored, strict=True):
            if isinstance(row, Unavailable):
                _answer(entry, StoreUnavailable(reason=row.reason))
            else:
                self._decide(entry, row, batch)
        if not batch.rows:
            return
        if not await self._add_charges(batch):
            self._answer_all(batch, StoreUnavailable(reason="ledger unreadable"))
            return
        await self._commit(batch)

    def _decide(
        self, pending: _PendingOperation, row: Row | None, batch: _Batch
    ) -> None:
        """Answer an operation at once, or add its change to the batch."""
        stored = from_plain(row.value, ClaimRow) if row else None
        match pending.operation:
            case Claim(row=requested):
                decision = decide_claim(
                    stored=stored,
                    requested=requested,
                    live_gateways=self._live_gateways(),
                )
                if not isinstance(decision, Granted) or decision.row is stored:
                    _answer(pending, decision)
                    return
                change = Settled(row=requested, units=requested.units)
                result: ClaimResult = decision
            case Finish(row=requested):
                change = settle_finish(stored=stored, requested=requested)
                result = SettledAnswer()
            case Void(row=requested):
                change = settle_void(stored=stored, requested=requested)
                result = SettledAnswer()
        if change is None:
            _answer(pending, result)
            return
        batch.checks[pending.key] = row.version if row else 0
        batch.rows[pending.key] = change.row
        workspace = change.row.workspace
        batch.units[workspace] = batch.units.get(workspace, 0) + change.units
        batch.decided.append((pending, result))

    async def _add_charges(self, batch: _Batch) -> bool:
        """Add the ledger rows to charge; return whether they could be read."""
        for workspace, units in batch.units.items():
            if units == 0:
                continue
            key = ledger_key(workspace, self._member)
            row = await self._table.read(key)
            if isinstance(row, Unavailable):
                return False
            ledger = LedgerRow(workspace=workspace, member=self._member, units=0)
            if row is not None:
                ledger = from_plain(row.value, LedgerRow)
            batch.checks[key] = row.version if row else 0
            batch.rows[key] = replace(ledger, units=ledger.units + units)
        return True

    async def _commit(self, batch: _Batch) -> None:
        change = Transaction(
            transaction=self._draw_id(),
            checks=tuple(Check(key=k, version=v) for k, v in batch.checks.items()),
            puts=tuple(Put(key=k, value=to_plain(r)) for k, r in batch.rows.items()),
        )
        self._on_transaction()
        match await commit_and_resolve(self._table, change):
            case Committed():
                for pending, result in batch.decided:
                    _answer(pending, result)
            case Conflict():
                self._retry(batch)
            case Unavailable(reason=reason):
                self._answer_all(batch, StoreUnavailable(reason=reason))
            case unknown:
                self._answer_all(batch, ClaimUnknown(reason=unknown.reason))

    def _retry(self, batch: _Batch) -> None:
        for pending, _ in batch.decided:
            pending.attempts += 1
            if pending.attempts >= MAX_ATTEMPTS:
                _answer(pending, StoreUnavailable(reason="too many conflicts"))
            else:
                self._queue.append(pending)
        self._wake.set()

    def _answer_all(self, batch: _Batch, result: ClaimResult) -> None:
        for pending, _ in batch.decided:
            _answer(pending, result)


def _answer(pending: _PendingOperation, result: ClaimResult) -> None:
    if not pending.answer.done():
        pending.answer.set_result(result)
