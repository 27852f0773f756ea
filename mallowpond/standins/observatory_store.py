"""Stand-in for the platform's store: rows, change feeds and the engines' entries."""

import asyncio
import base64
import json
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from mallowpond.platform import headers as names
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer

ENGINES_TABLE = "servers"
READ_ONLY_TABLES = ("op", ENGINES_TABLE)
# Header that only engines and the operator send; the system under test does not.
WRITER_HEADER = "x-standin-writer"
PAGE_ROWS = 500
# Time after an engine's last write until its entry is removed, in seconds.
EXPIRY_SECONDS = 1.5
EXPIRY_CHECK_SECONDS = 0.2
# Time for which states of the store are kept to come back to, in seconds.
MAX_COPY_AGE_SECONDS = 10.0

# Table, part and key of a row.
RowKey = tuple[str, str, str]


@dataclass(frozen=True, kw_only=True)
class StoreOptions:
    """Address on which the store listens."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """One version of a row; `value` is None if the row was removed."""

    row_key: RowKey
    value: str | None
    version: int

    def as_document(self) -> dict[str, Any]:
        """Return the row as encoded in the protocol."""
        table, part, key = self.row_key
        document = {"table": table, "part": part, "key": key, "ver": self.version}
        if self.value is None:
            return {**document, "removed": True}
        return {**document, "value": self.value}


@dataclass(frozen=True, kw_only=True)
class ForeignEntry:
    """A foreign entry that replaces each value which its engine writes.

    until: monotonic time at which that ends, in seconds.
    """

    value: str
    until: float


@dataclass(frozen=True, kw_only=True)
class Copy:
    """State of the store at a monotonic time."""

    taken_at: float
    version: int
    rows: dict[RowKey, StoredRow]


@dataclass(kw_only=True)
class ObservatoryStore:
    """In-memory server of the platform's store protocol."""

    version: int = 0
    era: int = 1
    _copies: deque[Copy] = field(default_factory=deque)
    _is_away: bool = False
    _restoring: set[asyncio.Task[None]] = field(default_factory=set)
    _rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    _history: list[StoredRow] = field(default_factory=list)
    _compacted_version: int = 0
    _last_write_at: dict[RowKey, float] = field(default_factory=dict)
    _foreign: dict[RowKey, ForeignEntry] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.server = HttpServer(handler=self._answer)

    async def run_expiry(self) -> None:
        """Remove the entries of engines that stopped writing, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
            limit = time.monotonic() - EXPIRY_SECONDS
            expired = [k for k, at in self._last_write_at.items() if at < limit]
            if expired:
                self._apply({}, expired)

    def drop_history(self) -> None:
        """Discard the history of changes, as a compaction does."""
        self._history.clear()
        self._compacted_version = self.version

    def write_foreign(self, key: str, value: str, seconds: float) -> None:
        """Replace an engine's entry by a foreign value for `seconds`."""
        row_key = (ENGINES_TABLE, "", key)
        until = time.monotonic() + seconds
        self._foreign[row_key] = ForeignEntry(value=value, until=until)
        self._apply({row_key: value}, [])

    def restore(
        self, *, age: float, away_seconds: float, rewrite_seconds: float
    ) -> None:
        """Go away, and come back from a copy that is `age` seconds old.

        What the operator wrote since, and what engines removed, is written again
        `rewrite_seconds` after the return; engines repeat their own entries.
        """
        limit = time.monotonic() - age
        copies = [copy for copy in self._copies if copy.taken_at <= limit]
        found = copies[-1] if copies else self._copies[0]
        task = asyncio.create_task(self._restore(found, away_seconds, rewrite_seconds))
        self._restoring.add(task)
        task.add_done_callback(self._restoring.discard)

    async def _restore(
        self, copy: Copy, away_seconds: float, rewrite_seconds: float
    ) -> None:
        self._is_away = True
        self._notify_changed()
        await asyncio.sleep(away_seconds)
        lost = {
            row.row_key: row
            for row in self._history
            if row.version > copy.version and row.row_key[0] in READ_ONLY_TABLES
        }
        self._history = [row for row in self._history if row.version <= copy.version]
        self._compacted_version = min(self._compacted_version, copy.version)
        self._rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        now = time.monotonic()
        self._copies = deque([Copy(taken_at=now, version=self.version, rows=copy.rows)])
        self._last_write_at = {k: now for k in self._rows if k[0] == ENGINES_TABLE}
        self._is_away = False
        await asyncio.sleep(rewrite_seconds)
        for row_key, row in lost.items():
            if self._version_of(row_key) > copy.version:
                continue
            if row.value is None:
                self._apply({}, [row_key])
            elif row_key[0] != ENGINES_TABLE:
                self._apply({row_key: row.value}, [])

    async def _answer(self, request: HttpRequest, exchange: Exchange) -> None:
        path, _, query = request.target.partition("?")
        is_control = path.startswith("/standin/")
        if self._is_away and not is_control:
            # Without an answer the connection closes.
            return
        query_fields = {name: values[0] for name, values in parse_qs(query).items()}
        match (request.method, path):
            case ("POST", "/-/rows-tx"):
                is_platform = WRITER_HEADER in request.headers
                status, document = self._commit(json.loads(request.body), is_platform)
            case ("GET", "/-/rows-get"):
                status, document = self._read(query_fields)
            case ("GET", "/-/rows-feed"):
                status, document = await self._feed(query_fields)
            case ("POST", "/standin/drop-history"):
                self.drop_history()
                status, document = 200, {}
            case ("POST", "/standin/foreign"):
                self.write_foreign(**json.loads(request.body))
                status, document = 200, {}
            case ("POST", "/standin/restore"):
                self.restore(**json.loads(request.body))
                status, document = 200, {}
            case _:
                status, document = 404, {}
        if self._is_away and not is_control:
            return
        era = ((names.STORE_ERA, str(self.era)),)
        await exchange.respond(status, json.dumps(document).encode(), era)

    def _commit(
        self, body: dict[str, Any], is_platform: bool
    ) -> tuple[int, dict[str, Any]]:
        writes = {_row_key(row): row["value"] for row in body.get("writes") or ()}
        removed = [_row_key(row) for row in body.get("delete") or ()]
        affected = [*writes, *removed]
        if not is_platform and any(k[0] in READ_ONLY_TABLES for k in affected):
            return 403, {}
        expected = [(_row_key(row), row["ver"]) for row in body.get("expected") or ()]
        if any(self._version_of(row_key) != version for row_key, version in expected):
            rows = [self._rows[k].as_document() for k, _ in expected if k in self._rows]
            return 412, {"rows": rows, **self._version_and_time()}
        self._apply(writes, removed)
        return 200, self._version_and_time()

    def _apply(self, writes: dict[RowKey, str], removed: list[RowKey]) -> None:
        self.version += 1
        for row_key, value in writes.items():
            if row_key[0] == ENGINES_TABLE:
                self._last_write_at[row_key] = time.monotonic()
                value = self._foreign_value(row_key) or value
            known = self._rows.get(row_key)
            if known is not None and _is_heartbeat(known.value, value):
                # Only the sequence number changed, which the feed does not publish.
                row = StoredRow(row_key=row_key, value=value, version=known.version)
                self._rows[row_key] = row
                continue
            row = StoredRow(row_key=row_key, value=value, version=self.version)
            self._rows[row_key] = row
            self._history.append(row)
        for row_key in removed:
            if self._foreign_value(row_key) is not None:
                continue
            self._last_write_at.pop(row_key, None)
            if self._rows.pop(row_key, None) is not None:
                tombstone = StoredRow(row_key=row_key, value=None, version=self.version)
                self._history.append(tombstone)
        now = time.monotonic()
        self._copies.append(
            Copy(taken_at=now, version=self.version, rows=dict(self._rows))
        )
        while self._copies[0].taken_at < now - MAX_COPY_AGE_SECONDS:
            self._copies.popleft()
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _foreign_value(self, row_key: RowKey) -> str | None:
        entry = self._foreign.get(row_key)
        if entry is not None and entry.until < time.monotonic():
            del self._foreign[row_key]
            return None
        return entry and entry.value

    def _version_of(self, row_key: RowKey) -> int:
        row = self._rows.get(row_key)
        return 0 if row is None else row.version

    def _read(self, query_fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, start = query_fields.get("table", ""), query_fields.get("from", "")
        limit = min(PAGE_ROWS, int(query_fields.get("limit", PAGE_ROWS)))
        found = [
            row
            for row_key, row in sorted(self._rows.items())
            if row_key[0] == table and row_key[2] >= start
        ]
        document = {
            "rows": [row.as_document() for row in found[:limit]],
            "more_pages": len(found) > limit,
        }
        return 200, {**document, **self._version_and_time()}

    async def _feed(self, query_fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, since = (
            query_fields.get("table", ""),
            int(query_fields.get("since_rev", 0)),
        )
        deadline = time.monotonic() + int(query_fields.get("wait_ms", 0)) / 1000.0
        while True:
            if not self._compacted_version <= since <= self.version:
                return 410, {}
            rows = [
                row.as_document()
                for row in self._history
                if row.version > since and row.row_key[0] == table
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0 or self._is_away:
                return 200, {"rows": rows, **self._version_and_time()}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _version_and_time(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}


def _row_key(row: dict[str, Any]) -> RowKey:
    return (row["table"], row.get("part", ""), row["key"])


def _is_heartbeat(before: str | None, after: str) -> bool:
    if before is None or before == after:
        return before == after
    known, new = unpack(before), unpack(after)
    if not isinstance(known, dict) or not isinstance(new, dict):
        return False
    return "sequence" in new and {**known, "sequence": 0} == {**new, "sequence": 0}


def pack(document: Any) -> str:
    """Encode a document as a value of the store."""
    return base64.b64encode(json.dumps(document).encode()).decode()


def unpack(value: str) -> Any:
    """Decode the document in a value of the store, None if that fails."""
    try:
        return json.loads(base64.b64decode(value, validate=True))
    except ValueError:
        return None
