"""Reach the platform's table service over its published protocol."""

import base64
import json
from typing import Any
from urllib.parse import quote

from mallowpond.coordination.ports import (
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Scanned,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.node.ports import ConfigurationRead, HistoryLost, TargetsRead
from mallowpond.platform import documents
from mallowpond.transport.http_client import CallFailed, HttpClient

# Time beyond what a call is asked to wait until it counts as lost, in seconds: the
# store may be slow by a factor of some tens over its usual 4 ms.
CALL_SECONDS = 1.0
# Changed rows of one feed answer are kept whole up to this page of a full read.
PAGE_ROWS = 500
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"

JSON_HEADERS = (("content-type", "application/json"),)


class PlatformStore:
    """Read and change rows; keys of the port are written TABLE/KEY."""

    def __init__(self, *, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    # -- the configuration and the list of targets --------------------------

    async def configuration(
        self, since: int, wait_seconds: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Wait for a configuration after `since`; 0 reads the newest at once."""
        if since == 0:
            answer = await self._rows(CONFIGURATION_TABLE)
        else:
            answer = await self._feed(CONFIGURATION_TABLE, since, wait_seconds)
        if isinstance(answer, HistoryLost | Unavailable):
            return answer
        for row in _latest(answer["rows"]):
            if row["key"] == CONFIGURATION_KEY and not row.get("removed"):
                return ConfigurationRead(
                    revision=int(answer["ver"]),
                    configuration=documents.configuration(_value(row)),
                    changed=True,
                )
        return ConfigurationRead(
            revision=int(answer["ver"]), configuration=None, changed=False
        )

    async def targets(self, since: int) -> TargetsRead | HistoryLost | Unavailable:
        """Return what changed after `since`; 0 reads all of them."""
        if since == 0:
            answer = await self._rows(TARGETS_TABLE)
        else:
            answer = await self._feed(TARGETS_TABLE, since, 0.0)
        if isinstance(answer, HistoryLost | Unavailable):
            return answer
        rows = _latest(answer["rows"])
        removed = tuple(row["key"] for row in rows if row.get("removed"))
        present = [row for row in rows if not row.get("removed")]
        return TargetsRead(
            revision=int(answer["ver"]),
            targets=tuple(documents.target(r["key"], _value(r)) for r in present),
            removed=removed,
            whole=since == 0,
        )

    # -- the product's own rows ---------------------------------------------

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None when it is absent."""
        table, _, name = key.partition("/")
        query = f"table={quote(table)}&part=&from={quote(name)}&limit=1"
        answer = await self._get(f"/-/rows-get?{query}")
        if isinstance(answer, HistoryLost | Unavailable):
            return _as_unavailable(answer)
        rows = [row for row in answer["rows"] if row["key"] == name]
        return _row(rows[0]) if rows else None

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return the rows of a table that changed after version `since`."""
        table = prefix.partition("/")[0]
        answer = await (self._feed(table, since, 0.0) if since else self._rows(table))
        if isinstance(answer, HistoryLost | Unavailable):
            return _as_unavailable(answer)
        rows = _latest(answer["rows"])
        return Scanned(
            rows=tuple(_row(row) for row in rows if not row.get("removed")),
            deleted=tuple(f"{table}/{r['key']}" for r in rows if r.get("removed")),
            version=int(answer["ver"]),
        )

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction and tell what is known of its effect."""
        body = {
            "expected": [
                {**_place(c.key), "ver": c.version} for c in transaction.checks
            ],
            "writes": [
                {**_place(p.key), "value": _packed(p.value, transaction.transaction)}
                for p in transaction.puts
            ],
            "delete": [_place(key) for key in transaction.deletes],
        }
        answer = await self._http.fetch(
            self._address,
            "POST",
            "/-/rows-tx",
            headers=JSON_HEADERS,
            body=json.dumps(body).encode(),
            timeout=CALL_SECONDS,
        )
        match answer:
            case CallFailed() if answer.bytes_left:
                return Unknown(reason=answer.reason)
            case CallFailed(reason=reason):
                return Unavailable(reason=reason)
            case (200, data):
                return Committed(version=int(json.loads(data)["ver"]))
            case (412, data):
                rows = json.loads(data).get("rows") or ()
                return Conflict(keys=tuple(f"{r['table']}/{r['key']}" for r in rows))
            case (status, _):
                # Every other status of the store says that nothing was done.
                return Unavailable(reason=f"status {status}")

    # -- calls ---------------------------------------------------------------

    async def _rows(self, table: str) -> dict[str, Any] | HistoryLost | Unavailable:
        """Read a whole table; pages after the first may be a little newer."""
        rows: list[dict[str, Any]] = []
        start, revision = "", 0
        while True:
            query = f"table={quote(table)}&part=&from={quote(start)}&limit={PAGE_ROWS}"
            answer = await self._get(f"/-/rows-get?{query}")
            if isinstance(answer, HistoryLost | Unavailable):
                return answer
            rows += answer["rows"]
            # Changes after the first page are read again by the next feed.
            revision = revision or int(answer["ver"])
            if not answer.get("more_pages"):
                return {"rows": rows, "ver": revision}
            start = answer["rows"][-1]["key"] + "\0"

    async def _feed(
        self, table: str, since: int, wait_seconds: float
    ) -> dict[str, Any] | HistoryLost | Unavailable:
        wait = int(wait_seconds * 1000)
        query = f"table={quote(table)}&since_rev={since}&wait_ms={wait}"
        return await self._get(f"/-/rows-feed?{query}", wait_seconds)

    async def _get(
        self, target: str, wait_seconds: float = 0.0
    ) -> dict[str, Any] | HistoryLost | Unavailable:
        answer = await self._http.fetch(
            self._address, "GET", target, timeout=wait_seconds + CALL_SECONDS
        )
        match answer:
            case CallFailed(reason=reason):
                return Unavailable(reason=reason)
            case (200, data):
                return json.loads(data)
            case (410, _):
                return HistoryLost()
            case (status, _):
                return Unavailable(reason=f"status {status}")


def _latest(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the last state of each row: a feed may hold several of one row.

    Taking the first, a node went on with an older configuration although it had
    read past the newer one, and refused keys that were in force.
    """
    return list({row["key"]: row for row in rows}.values())


def _as_unavailable(answer: HistoryLost | Unavailable) -> Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    return Unavailable(reason="the history asked for is lost")


def _value(row: dict[str, Any]) -> Any:
    return json.loads(base64.b64decode(row["value"]))


def _place(key: str) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _packed(value: dict[str, Any], transaction: str) -> str:
    text = json.dumps({"value": value, "transaction": transaction})
    return base64.b64encode(text.encode()).decode()


def _row(row: dict[str, Any]) -> Row:
    packed = _value(row)
    return Row(
        key=f"{row['table']}/{row['key']}",
        value=packed["value"],
        version=int(row["ver"]),
        transaction=packed["transaction"],
    )
