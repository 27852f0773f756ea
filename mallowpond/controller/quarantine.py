"""Put together which requests end their targets, and keep it in the table.

A gateway sees the returns of a request that come to it. What it reports becomes a row
that every controller reads with the shared rows, and goes to every gateway with its
routes, so that a request which ends its targets is held back wherever it comes.
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

# Rows that one step writes or drops, at most: what a group's end leaves to report is
# written in some steps, and the table has other work.
MAX_ROWS_PER_STEP = 50
# Rows that stand in the table, at most: every controller keeps them all.
MAX_ROWS = 1_000
# Time after its last ending for which a row stands that holds nothing back, in seconds:
# by then each controller has put it together with what it knows.
ROW_RETENTION_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True)
class QuarantineRow:
    """Keep the endings of a request; `ended_at` is the last one's time of day."""

    endings: tuple[Ending, ...]
    ended_at: float


class ControllerQuarantine:
    """Merge what gateways report with what the table holds."""

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
        # What was ever held back here: gateways hear the rest of it too.
        self._published: set[str] = set()
        self._version = 1

    @property
    def version(self) -> int:
        """Return a number that changes with what gateways are told."""
        return self._version

    def published(self) -> tuple[CrashRecord, ...]:
        """Return what every gateway is to know."""
        now = self._clock.now()
        records = (
            self._ledger.record(request, now) for request in sorted(self._published)
        )
        return tuple(record for record in records if record is not None)

    def on_report(self, records: tuple[CrashRecord, ...]) -> None:
        """Take what a gateway saw."""
        for record in records:
            if self._merge(record):
                self._reported.add(record.request)

    async def step(self) -> None:
        """Take the rows that changed, write what is reported, drop what is over."""
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
            log.warning("controller: request held back", fingerprint=request)
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
                # Another controller's row is read, and put together with, first.
                expect=known.version if known else 0,
            )
            puts.append(put)
        if not puts:
            return
        if len(rows) >= MAX_ROWS:
            log.warning("controller: too many rows of the quarantine", rows=len(rows))
            return
        outcome = await self._table.commit(transaction(self._draw_id(), *puts))
        if isinstance(outcome, Committed):
            self._reported -= set(batch)
        else:
            log.warning("controller: quarantine not written", outcome=repr(outcome))

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
            "controller: quarantine dropped", rows=len(keys), outcome=repr(outcome)
        )
        self._published -= set(expired)
