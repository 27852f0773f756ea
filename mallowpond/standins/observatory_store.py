"""Stand in for the platform's store: rows, feeds and the list of live engines."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer

ENGINES_TABLE = "servers"
READ_ONLY_TABLES = ("op", ENGINES_TABLE)
# Header by which engines and the operator are told from the system that is tested.
WRITER_HEADER = "x-standin-writer"
PAGE_ROWS = 500
# Silence after which an engine's entry is dropped, in seconds.
EXPIRY_SECONDS = 1.5
EXPIRY_LOOK_SECONDS = 0.2

Place = tuple[str, str, str]


@dataclass(frozen=True, kw_only=True)
class StoreOptions:
    """Say where the store listens."""

    host: str
    port: int


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """Hold one version of a row; `value` is None where it was removed."""

    place: Place
    value: str | None
    version: int

    def as_document(self) -> dict[str, Any]:
        """Return the row as the protocol writes it."""
        table, part, key = self.place
        document = {"table": table, "part": part, "key": key, "ver": self.version}
        if self.value is None:
            return {**document, "removed": True}
        return {**document, "value": self.value}


@dataclass(frozen=True, kw_only=True)
class ForeignEntry:
    """Hold an entry that is written anew after each write of its engine, for a time."""

    value: str
    until: float


@dataclass(kw_only=True)
class ObservatoryStore:
    """Serve the platform's store calls from memory."""

    version: int = 0
    _rows: dict[Place, StoredRow] = field(default_factory=dict)
    _history: list[StoredRow] = field(default_factory=list)
    _kept_from: int = 0
    _heard_at: dict[Place, float] = field(default_factory=dict)
    _foreign: dict[Place, ForeignEntry] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.server = HttpServer(handler=self._answer)

    async def run_expiry(self) -> None:
        """Drop the entries of silent engines until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_LOOK_SECONDS)
            limit = time.monotonic() - EXPIRY_SECONDS
            silent = [p for p, at in self._heard_at.items() if at < limit]
            if silent:
                self._apply({}, silent)

    def drop_history(self) -> None:
        """Forget the changes so far, as a compaction does."""
        self._history.clear()
        self._kept_from = self.version

    def write_foreign(self, key: str, value: str, seconds: float) -> None:
        """Write an engine's entry as another writer does, and keep it for a time."""
        place = (ENGINES_TABLE, "", key)
        until = time.monotonic() + seconds
        self._foreign[place] = ForeignEntry(value=value, until=until)
        self._apply({place: value}, [])

    async def _answer(self, request: HttpRequest, exchange: Exchange) -> None:
        path, _, query = request.target.partition("?")
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        match (request.method, path):
            case ("POST", "/-/rows-tx"):
                is_platform = WRITER_HEADER in request.headers
                status, document = self._commit(json.loads(request.body), is_platform)
            case ("GET", "/-/rows-get"):
                status, document = self._read(asked)
            case ("GET", "/-/rows-feed"):
                status, document = await self._feed(asked)
            case ("POST", "/standin/drop-history"):
                self.drop_history()
                status, document = 200, {}
            case ("POST", "/standin/foreign"):
                self.write_foreign(**json.loads(request.body))
                status, document = 200, {}
            case _:
                status, document = 404, {}
        await exchange.respond(status, json.dumps(document).encode())

    def _commit(
        self, body: dict[str, Any], is_platform: bool
    ) -> tuple[int, dict[str, Any]]:
        writes = {_place(row): row["value"] for row in body.get("writes") or ()}
        removed = [_place(row) for row in body.get("delete") or ()]
        touched = [*writes, *removed]
        if not is_platform and any(p[0] in READ_ONLY_TABLES for p in touched):
            return 403, {}
        expected = [(_place(row), row["ver"]) for row in body.get("expected") or ()]
        if any(self._version_of(place) != version for place, version in expected):
            rows = [self._rows[p].as_document() for p, _ in expected if p in self._rows]
            return 412, {"rows": rows, **self._stamp()}
        self._apply(writes, removed)
        return 200, self._stamp()

    def _apply(self, writes: dict[Place, str], removed: list[Place]) -> None:
        self.version += 1
        for place, value in writes.items():
            if place[0] == ENGINES_TABLE:
                self._heard_at[place] = time.monotonic()
                value = self._foreign_value(place) or value
            known = self._rows.get(place)
            if known is not None and _is_heartbeat(known.value, value):
                # Only its number changed: readers of the feed are not told.
                row = StoredRow(place=place, value=value, version=known.version)
                self._rows[place] = row
                continue
            row = StoredRow(place=place, value=value, version=self.version)
            self._rows[place] = row
            self._history.append(row)
        for place in removed:
            if self._foreign_value(place) is not None:
                continue
            self._heard_at.pop(place, None)
            if self._rows.pop(place, None) is not None:
                gone = StoredRow(place=place, value=None, version=self.version)
                self._history.append(gone)
        self._changed.set()
        self._changed = asyncio.Event()

    def _foreign_value(self, place: Place) -> str | None:
        held = self._foreign.get(place)
        if held is not None and held.until < time.monotonic():
            del self._foreign[place]
            return None
        return held and held.value

    def _version_of(self, place: Place) -> int:
        row = self._rows.get(place)
        return 0 if row is None else row.version

    def _read(self, asked: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, start = asked.get("table", ""), asked.get("from", "")
        limit = min(PAGE_ROWS, int(asked.get("limit", PAGE_ROWS)))
        found = [
            row
            for place, row in sorted(self._rows.items())
            if place[0] == table and place[2] >= start
        ]
        document = {
            "rows": [row.as_document() for row in found[:limit]],
            "more_pages": len(found) > limit,
        }
        return 200, {**document, **self._stamp()}

    async def _feed(self, asked: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, since = asked.get("table", ""), int(asked.get("since_rev", 0))
        deadline = time.monotonic() + int(asked.get("wait_ms", 0)) / 1000.0
        while True:
            if since < self._kept_from:
                return 410, {}
            rows = [
                row.as_document()
                for row in self._history
                if row.version > since and row.place[0] == table
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._stamp()}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}


def _place(row: dict[str, Any]) -> Place:
    return (row["table"], row.get("part", ""), row["key"])


def _is_heartbeat(before: str | None, after: str) -> bool:
    if before is None or before == after:
        return before == after
    known, new = unpack(before), unpack(after)
    if not isinstance(known, dict) or not isinstance(new, dict):
        return False
    return "sequence" in new and {**known, "sequence": 0} == {**new, "sequence": 0}


def pack(document: Any) -> str:
    """Return a document as the store keeps values."""
    return base64.b64encode(json.dumps(document).encode()).decode()


def unpack(value: str) -> Any:
    """Return the document in a kept value, None where no document can be read."""
    try:
        return json.loads(base64.b64decode(value, validate=True))
    except ValueError:
        return None
