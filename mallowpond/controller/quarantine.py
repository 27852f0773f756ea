"""Merge the crash reports of all gateways and persist them in the table.

A gateway sees only the retries of a request that arrive at it. Each report becomes a
row that every controller reads with the shared rows and sends to its gateways with the
routes, so that a request which crashes its targets is quarantined at every gateway.
Requests are identified by their fingerprints, which all retries of a request share. An
ending is the end of a target's process while it ran the request.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from mallowpond.coordination.keys import QUARANTINE, SHARED
from mallowpond.coordination.ports import Clock, Committed, TableService
from mallowpond.coordination.store import TableView, TypedPut, Versioned, transaction
from mallowpond.state.crash_ledger import (
    QUARANTINE_SECONDS,
    CrashLedger,
    CrashRecord,
    Ending,
)
from mallowpond.state.decoding import Identifier

log = structlog.get_logger()

# Maximum rows that one step writes or deletes: the reports after the end of a group are
# spread over several steps, as the table has other work.
MAX_ROWS_PER_STEP = 50
# Maximum rows in the table: every controller keeps all of them in memory.
MAX_ROWS = 1_000
# Time for which a row of a request that is not quarantined is kept after its last
# ending, in seconds: by then each controller has merged it.
ROW_RETENTION_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True)
class QuarantineRow:
    """The endings of a request; `ended_at` is the wall time of the last one."""

    endings: tuple[Ending, ...]
    ended_at: float


class ControllerQuarantine:
    """Merges the reports of gateways with the rows of the table."""

    def __init__(
        self,
        *,
        table: TableService,
        shared: TableView,
        clock: Clock,
        draw_id: Callable[[], str],
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._shared = shared
        self._clock = clock
        self._draw_id = draw_id
        self._wall_time = wall_time
        self._ledger = CrashLedger()
        self._reported: set[str] = set()
        self._versions: dict[str, int] = {}
        self._quarantined: frozenset[str] = frozenset()
        # Every request quarantined here so far: later changes of its record are
        # published too, such as a complete answer, which refutes earlier endings.
        self._published: set[str] = set()
        self._version = 1

    @property
    def version(self) -> int:
        """Return a number that changes with the published records."""
        return self._version

    def published(self) -> tuple[CrashRecord, ...]:
        """Return the records that are sent to every gateway."""
        now = self._clock.now()
        records = (
            self._ledger.record(request, now) for request in sorted(self._published)
        )
        return tuple(record for record in records if record is not None)

    def on_report(self, records: tuple[CrashRecord, ...]) -> None:
        """Merge the records of a gateway's report."""
        for record in records:
            if self._merge(record):
                self._reported.add(record.request)

    async def step(self) -> None:
        """Merge changed rows, write reported records and delete expired rows."""
        rows = self._shared.with_prefix(QUARANTINE, QuarantineRow)
        for request, row in rows.items():
            if self._versions.get(request) != row.version:
                self._versions[request] = row.version
                self._merge(self._record(request, row.value))
        self._versions = {r: v for r, v in self._versions.items() if r in rows}
        await self._write_reported(rows)
        await self._delete_expired(rows)

    def _record(self, request: str, row: QuarantineRow) -> CrashRecord:
        age = max(0.0, self._wall_time() - row.ended_at)
        return CrashRecord(request=Identifier(request), endings=row.endings, age=age)

    def _merge(self, record: CrashRecord) -> bool:
        now = self._clock.now()
        is_new = self._ledger.merge(record, now)
        quarantined = self._ledger.quarantined(now)
        for request in sorted(quarantined - self._quarantined):
            log.warning("controller: request quarantined", fingerprint=request)
        if quarantined != self._quarantined or (
            is_new and record.request in self._published
        ):
            self._quarantined = quarantined
            self._published |= quarantined
            self._version += 1
        return is_new

    async def _write_reported(self, rows: dict[str, Versioned[QuarantineRow]]) -> None:
        now = self._clock.now()
        batch = sorted(self._reported)[:MAX_ROWS_PER_STEP]
        puts = []
        for request in batch:
            record = self._ledger.record(request, now)
            if record is None:
                self._reported.discard(request)
                continue
            row = QuarantineRow(
                endings=record.endings, ended_at=self._wall_time() - record.age
            )
            known = rows.get(request)
            put = TypedPut(
                key=SHARED + QUARANTINE + request,
                value=row,
                # Fails if another controller has changed the row. The change is merged
                # in the next step and the row written again.
                expect=known.version if known else 0,
            )
            puts.append(put)
        if not puts:
            return
        if len(rows) >= MAX_ROWS:
            log.warning("controller: quarantine row limit reached", rows=len(rows))
            return
        outcome = await self._table.commit(transaction(self._draw_id(), *puts))
        if isinstance(outcome, Committed):
            self._reported -= set(batch)
        else:
            log.warning(
                "controller: quarantine rows not written", outcome=repr(outcome)
            )

    async def _delete_expired(self, rows: dict[str, Versioned[QuarantineRow]]) -> None:
        now = self._wall_time()
        retention = {
            r: QUARANTINE_SECONDS if r in self._quarantined else ROW_RETENTION_SECONDS
            for r in rows
        }
        expired = [
            r for r, row in rows.items() if now - row.value.ended_at > retention[r]
        ]
        if not expired:
            return
        keys = tuple(
            SHARED + QUARANTINE + request for request in expired[:MAX_ROWS_PER_STEP]
        )
        change = transaction(self._draw_id())
        outcome = await self._table.commit(replace(change, deletes=keys))
        log.info(
            "controller: expired quarantine rows deleted",
            rows=len(keys),
            outcome=repr(outcome),
        )
        self._published -= set(expired)
