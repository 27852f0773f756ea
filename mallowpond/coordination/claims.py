"""Commit claims and charges in groups, one transaction for all that wait."""

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
    settle_end,
    settle_void,
)
from mallowpond.state.codec import from_plain, to_plain
from mallowpond.state.rows import ClaimRow, LedgerRow

MAX_GROUP = 200
MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class StoreUnavailable:
    """Nothing was claimed, and nothing can be claimed now."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class ClaimUnknown:
    """The claim may have been kept; it must be voided and must not run."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class SettledAnswer:
    """The attempt stands as asked, by this change or an earlier one."""


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
    """Ask to run an attempt."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Finish:
    """Ask to mark an attempt as done or unknown, as its row's state says."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Void:
    """Ask to withdraw an attempt of which nothing was sent."""

    row: ClaimRow


ClaimWork = Claim | Finish | Void


@dataclass(kw_only=True)
class _Waiting:
    work: ClaimWork
    answer: asyncio.Future[ClaimResult]
    attempts: int = 0

    @property
    def key(self) -> str:
        return claim_key(self.work.row.workspace, self.work.row.key)


@dataclass(kw_only=True)
class _Group:
    """Gather the changes of one transaction."""

    checks: dict[str, int] = field(default_factory=dict)
    rows: dict[str, ClaimRow] = field(default_factory=dict)
    units: dict[str, int] = field(default_factory=dict)
    pending: list[tuple[_Waiting, ClaimResult]] = field(default_factory=list)


class ClaimCommitter:
    """Decide claims against the table and commit those that wait together."""

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
        self._queue: list[_Waiting] = []
        self._unanswered = 0
        self._wake = asyncio.Event()
        self._on_transaction = on_transaction

    @property
    def waiting(self) -> int:
        """Return how much work has no answer yet.

        Counted by what was queued, a transaction under way was cancelled by a stop.
        """
        return self._unanswered

    async def submit(self, work: ClaimWork) -> ClaimResult:
        """Queue one piece of work and return what became of it."""
        loop = asyncio.get_running_loop()
        waiting = _Waiting(work=work, answer=loop.create_future())
        self._queue.append(waiting)
        self._wake.set()
        self._unanswered += 1
        try:
            return await waiting.answer
        finally:
            self._unanswered -= 1

    async def run(self) -> None:
        """Commit whatever waits, group after group."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._commit_group(self._take_group())

    def _take_group(self) -> list[_Waiting]:
        """Take work on distinct keys; a second one on a key waits its turn."""
        taken: dict[str, _Waiting] = {}
        left: list[_Waiting] = []
        for waiting in self._queue:
            if len(taken) < MAX_GROUP and waiting.key not in taken:
                taken[waiting.key] = waiting
            else:
                left.append(waiting)
        self._queue = left
        return list(taken.values())

    async def _commit_group(self, waiting: list[_Waiting]) -> None:
        group = _Group()
        stored = await asyncio.gather(*(self._table.read(w.key) for w in waiting))
        for one, row in zip(waiting, stored, strict=True):
            if isinstance(row, Unavailable):
                _answer(one, StoreUnavailable(reason=row.reason))
            else:
                self._decide(one, row, group)
        if not group.rows:
            return
        if not await self._add_ledgers(group):
            self._answer_all(group, StoreUnavailable(reason="ledger unreadable"))
            return
        await self._commit(group)

    def _decide(self, waiting: _Waiting, row: Row | None, group: _Group) -> None:
        stored = from_plain(row.value, ClaimRow) if row else None
        match waiting.work:
            case Claim(row=requested):
                decision = decide_claim(
                    stored=stored,
                    requested=requested,
                    live_gateways=self._live_gateways(),
                )
                if not isinstance(decision, Granted) or decision.row is stored:
                    _answer(waiting, decision)
                    return
                change = Settled(row=requested, units=requested.units)
                result: ClaimResult = decision
            case Finish(row=requested):
                change = settle_end(stored=stored, requested=requested)
                result = SettledAnswer()
            case Void(row=requested):
                change = settle_void(stored=stored, requested=requested)
                result = SettledAnswer()
        if change is None:
            _answer(waiting, result)
            return
        group.checks[waiting.key] = row.version if row else 0
        group.rows[waiting.key] = change.row
        workspace = change.row.workspace
        group.units[workspace] = group.units.get(workspace, 0) + change.units
        group.pending.append((waiting, result))

    async def _add_ledgers(self, group: _Group) -> bool:
        for workspace, units in group.units.items():
            if units == 0:
                continue
            key = ledger_key(workspace, self._member)
            row = await self._table.read(key)
            if isinstance(row, Unavailable):
                return False
            ledger = LedgerRow(workspace=workspace, member=self._member, units=0)
            if row is not None:
                ledger = from_plain(row.value, LedgerRow)
            group.checks[key] = row.version if row else 0
            group.rows[key] = replace(ledger, units=ledger.units + units)
        return True

    async def _commit(self, group: _Group) -> None:
        change = Transaction(
            transaction=self._draw_id(),
            checks=tuple(Check(key=k, version=v) for k, v in group.checks.items()),
            puts=tuple(Put(key=k, value=to_plain(r)) for k, r in group.rows.items()),
        )
        self._on_transaction()
        match await commit_and_resolve(self._table, change):
            case Committed():
                for waiting, result in group.pending:
                    _answer(waiting, result)
            case Conflict():
                self._try_again(group)
            case Unavailable(reason=reason):
                self._answer_all(group, StoreUnavailable(reason=reason))
            case unknown:
                self._answer_all(group, ClaimUnknown(reason=unknown.reason))

    def _try_again(self, group: _Group) -> None:
        for waiting, _ in group.pending:
            waiting.attempts += 1
            if waiting.attempts >= MAX_ATTEMPTS:
                _answer(waiting, StoreUnavailable(reason="too many conflicts"))
            else:
                self._queue.append(waiting)
        self._wake.set()

    def _answer_all(self, group: _Group, result: ClaimResult) -> None:
        for waiting, _ in group.pending:
            _answer(waiting, result)


def _answer(waiting: _Waiting, result: ClaimResult) -> None:
    if not waiting.answer.done():
        waiting.answer.set_result(result)
