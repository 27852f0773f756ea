"""HTTP client of the table service; distinguishes the outcomes of a commit."""

import json
from urllib.parse import quote

from mallowpond.coordination.ports import (
    CommitOutcome,
    Committed,
    Conflict,
    Host,
    Row,
    Scanned,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.state.codec import from_json, from_plain, to_json
from mallowpond.transport.http_client import CallFailed, HttpClient


class TableClient:
    """Client of the table service and host list that the platform provides."""

    def __init__(self, *, http: HttpClient, address: str, timeout: float = 2.0) -> None:
        self._http = http
        self._address = address
        self._timeout = timeout

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None if it does not exist."""
        data = await self._get(f"/table/row?key={quote(key, safe='')}")
        if isinstance(data, Unavailable):
            return data
        value = json.loads(data)
        return None if value is None else from_plain(value, Row)

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return the rows under `prefix` that changed after table version `since`."""
        where = f"prefix={quote(prefix, safe='')}&since={since}"
        data = await self._get(f"/table/scan?{where}")
        return data if isinstance(data, Unavailable) else from_json(data, Scanned)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction.

        `Unavailable` means that it was not applied, `Unknown` that it may have been.
        """
        response = await self._http.fetch(
            self._address,
            "POST",
            "/table/commit",
            body=to_json(transaction),
            timeout=self._timeout,
        )
        match response:
            case CallFailed() if response.may_have_sent:
                return Unknown(reason=response.reason)
            case CallFailed():
                return Unavailable(reason=response.reason)
            case (200, body):
                return from_json(body, Committed)
            case (409, body):
                return from_json(body, Conflict)
            case (503, body):
                # With this status the service states that it applied nothing.
                return Unavailable(reason=body.decode(errors="replace"))
            case (status, _):
                return Unknown(reason=f"status {status}")

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Return the platform's current host list."""
        data = await self._get("/hosts")
        if isinstance(data, Unavailable):
            return data
        return from_json(data, tuple[Host, ...])

    async def _get(self, target: str) -> bytes | Unavailable:
        response = await self._http.fetch(
            self._address, "GET", target, timeout=self._timeout
        )
        match response:
            case CallFailed(reason=reason):
                return Unavailable(reason=reason)
            case (200, body):
                return body
            case (status, _):
                return Unavailable(reason=f"status {status}")
