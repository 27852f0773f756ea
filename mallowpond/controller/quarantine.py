"""Merge the crash reports of all gateways and persist them in the table.

A gateway sees only the requests that arrive at it. Each report becomes a row that every
controller reads with the shared rows and sends to its gateways with the routes, so that
what crashes its targets is quarantined at every gateway. Requests are identified by
their fingerprints, which all retries of a request share, and parts of prompts by their
keys. An ending is the end of a target's process while it ran a request.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import structlog

from mallowpond.coordination.keys import QUARANTINE, QUARANTINED_PARTS, SHARED
from mallowpond.coordination.ports import Clock, Committed, TableService
from mallowpond.coordination.store import TableView, TypedPut, Versioned, transaction
from mallowpond.state.crash_ledger import (
    QUARANTINE_SECONDS,
    CrashLedger,
    CrashRecord,
    Ending,
)
from mallowpond.state.decoding import Identifier
from mallowpond.state.fingerprint import is_part_key
from mallowpond.state.part_ledger import (
    MAX_QUARANTINE_SECONDS,
    PartEnding,
    PartLedger,
    PartRecord,
)

log = structlog.get_logger()

# Maximum rows that one step writes or deletes: the reports after the end of a group are
# spread over several steps, as the table has other work.
MAX_ROWS_PER_STEP = 50
# Maximum rows in the table: every controller keeps all of them in memory.
MAX_ROWS = 1_000
# Time for which a row of what is not quarantined is kept after its last ending, in
# seconds: by then each controller has merged it. That of a quarantined part is kept
# while its endings count, twice the longest quarantine.
ROW_RETENTION_SECONDS = 30.0
PART_ROW_SECONDS = 2.0 * MAX_QUARANTINE_SECONDS


@dataclass(frozen=True, kw_only=True)
class QuarantineRow:
    """The endings of a request; `ended_at` is the wall time of the last one."""

    endings: tuple[Ending, ...]
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class PartRow:
    """The endings of a part; their ages count from `ended_at`, as wall time."""

    endings: tuple[PartEnding, ...]
    ended_at: float


StoredRow = QuarantineRow | PartRow
Rows = dict[str, Versioned[StoredRow]]


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
        self._parts = PartLedger()
        # Keys of records, as for the rest of the attributes.
        self._reported: set[str] = set()
        self._versions: dict[str, int] = {}
        self._quarantined: frozenset[str] = frozenset()
        # All that was quarantined here so far: later changes of its record are
        # published too, such as a complete answer, which refutes earlier endings.
        self._published: set[str] = set()
        self._version = 1

    @property
    def version(self) -> int:
        """Return a number that changes with the published records."""
        return self._version

    def published(self) -> tuple[CrashRecord, ...]:
        """Return the records of requests that are sent to every gateway."""
        return tuple(r for r in self._published_records() if isinstance(r, CrashRecord))

    def published_parts(self) -> tuple[PartRecord, ...]:
        """Return the records of parts that are sent to every gateway."""
        return tuple(r for r in self._published_records() if isinstance(r, PartRecord))

    def _published_records(self) -> Iterator[CrashRecord | PartRecord]:
        for key in sorted(self._published):
            record = self._record(key)
            if record is not None:
                yield record

    def on_report(self, records: tuple[CrashRecord | PartRecord, ...]) -> None:
        """Merge the records of a gateway's report."""
        for record in records:
            if self._merge(record):
                self._reported.add(record.key)

    async def step(self) -> None:
        """Merge changed rows, write reported records and delete expired rows."""
        rows: Rows = {
            **self._shared.with_prefix(QUARANTINE, QuarantineRow),
            **self._shared.with_prefix(QUARANTINED_PARTS, PartRow),
        }
        for key, row in rows.items():
            if self._versions.get(key) != row.version:
                self._versions[key] = row.version
                self._merge(self._stored_record(key, row.value))
        self._versions = {k: v for k, v in self._versions.items() if k in rows}
        await self._write_reported(rows)
        await self._delete_expired(rows)

    def _record(self, key: str) -> CrashRecord | PartRecord | None:
        ledger = self._parts if is_part_key(key) else self._ledger
        return ledger.record(key, self._clock.now())

    def _stored_record(self, key: str, row: StoredRow) -> CrashRecord | PartRecord:
        age = max(0.0, self._wall_time() - row.ended_at)
        match row:
            case QuarantineRow(endings=endings):
                return CrashRecord(request=Identifier(key), endings=endings, age=age)
            case PartRow(endings=part_endings):
                record = PartRecord(part=Identifier(key), endings=part_endings)
                return record.aged(age)

    def _merge(self, record: CrashRecord | PartRecord) -> bool:
        now = self._clock.now()
        match record:
            case CrashRecord():
                is_new = self._ledger.merge(record, now)
            case PartRecord():
                is_new = self._parts.merge(record, now)
        quarantined = self._ledger.quarantined(now) | self._parts.quarantined(now)
        for key in sorted(quarantined - self._quarantined):
            log.warning("controller: request quarantined", fingerprint=key)
        if quarantined != self._quarantined or (
            is_new and record.key in self._published
        ):
            self._quarantined = quarantined
            self._published |= quarantined
            self._version += 1
        return is_new

    async def _write_reported(self, rows: Rows) -> None:
        batch = sorted(self._reported)[:MAX_ROWS_PER_STEP]
        puts = []
        for key in batch:
            row = self._row(key)
            if row is None:
                self._reported.discard(key)
                continue
            known = rows.get(key)
            put = TypedPut(
                key=_row_key(key),
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

    def _row(self, key: str) -> StoredRow | None:
        """Return the row of a record, None if the record is gone."""
        wall_time = self._wall_time()
        match self._record(key):
            case CrashRecord(endings=endings, age=age):
                return QuarantineRow(endings=endings, ended_at=wall_time - age)
            case PartRecord(endings=endings):
                age = min(ending.age for ending in endings)
                aged = PartRecord(part=Identifier(key), endings=endings).aged(-age)
                return PartRow(endings=aged.endings, ended_at=wall_time - age)
            case None:
                return None

    async def _delete_expired(self, rows: Rows) -> None:
        now = self._wall_time()
        expired = [
            key
            for key, row in rows.items()
            if now - row.value.ended_at > self._retention_seconds(key)
        ]
        if not expired:
            return
        keys = tuple(_row_key(key) for key in expired[:MAX_ROWS_PER_STEP])
        change = transaction(self._draw_id())
        outcome = await self._table.commit(replace(change, deletes=keys))
        log.info(
            "controller: expired quarantine rows deleted",
            rows=len(keys),
            outcome=repr(outcome),
        )
        self._published -= set(expired)

    def _retention_seconds(self, key: str) -> float:
        if is_part_key(key):
            record = self._parts.record(key, self._clock.now())
            counts = record is not None and record.has_enough_evidence
            return PART_ROW_SECONDS if counts else ROW_RETENTION_SECONDS
        is_quarantined = key in self._quarantined
        return QUARANTINE_SECONDS if is_quarantined else ROW_RETENTION_SECONDS


def _row_key(key: str) -> str:
    return SHARED + (QUARANTINED_PARTS if is_part_key(key) else QUARANTINE) + key
