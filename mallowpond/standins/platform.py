"""Stand-in for the platform, which provides the table service and the host list.

It can inject faults into both.
"""

import asyncio
import json
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs

from mallowpond.coordination.ports import (
    CommitOutcome,
    Committed,
    Conflict,
    Host,
    HostState,
    Put,
    Row,
    Scanned,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.state.codec import from_json, from_plain, to_json
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer


@dataclass(frozen=True, kw_only=True)
class PlatformFaults:
    """Faults to inject.

    down: every call fails.
    delay_seconds: delay of every call over HTTP.
    lost_answers: number of next commits whose outcome is not answered. A commit without
        conflict still takes effect; one with a conflict counts as well.
    stale_hosts: the returned host list no longer changes.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    stale_hosts: bool = False


@dataclass(kw_only=True)
class MemoryTable:
    """In-memory implementation of the `TableService` port."""

    faults: PlatformFaults = PlatformFaults()
    version: int = 0
    # Number of applied transactions, including those that ended in a conflict.
    commits: int = 0
    reads: int = 0
    _rows: dict[str, Row] = field(default_factory=dict)
    _deleted: dict[str, int] = field(default_factory=dict)

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, or None if it does not exist."""
        self.reads += 1
        if self.faults.down:
            return Unavailable(reason="down")
        return self._rows.get(key)

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return rows under `prefix` that changed after table version `since`."""
        self.reads += 1
        if self.faults.down:
            return Unavailable(reason="down")
        rows = (r for k, r in self._rows.items() if k.startswith(prefix))
        deleted = (
            k for k, v in self._deleted.items() if k.startswith(prefix) and v > since
        )
        return Scanned(
            rows=tuple(row for row in rows if row.version > since),
            deleted=tuple(deleted),
            version=self.version,
        )

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; return `Unknown` if the fault drops the answer."""
        if self.faults.down:
            return Unavailable(reason="down")
        outcome = self.apply(transaction)
        if self.faults.lost_answers:
            left = self.faults.lost_answers - 1
            self.faults = replace(self.faults, lost_answers=left)
            return Unknown(reason="answer lost")
        return outcome

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply the changes atomically if every check holds."""
        self.commits += 1
        conflicts = [
            c.key for c in transaction.checks if self._version_of(c.key) != c.version
        ]
        if conflicts:
            return Conflict(keys=tuple(conflicts))
        self.version += 1
        for put in transaction.puts:
            self._put(put, transaction.transaction)
        for key in transaction.deletes:
            self._rows.pop(key, None)
            self._deleted[key] = self.version
        return Committed(version=self.version)

    def _version_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _put(self, put: Put, transaction_id: str) -> None:
        self._deleted.pop(put.key, None)
        self._rows[put.key] = Row(
            key=put.key,
            value=put.value,
            version=self.version,
            transaction=transaction_id,
        )


class PlatformStandin:
    """Server of a `MemoryTable` and a host list over HTTP."""

    def __init__(self, *, hosts: tuple[Host, ...]) -> None:
        self.table = MemoryTable()
        self._hosts = {host.name: host for host in hosts}
        self._stale_hosts = dict(self._hosts)
        self.server = HttpServer(handler=self._handle)

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Return the hosts; under `stale_hosts`, those of the last call before it."""
        if self.table.faults.down:
            return Unavailable(reason="down")
        if not self.table.faults.stale_hosts:
            self._stale_hosts = dict(self._hosts)
        return tuple(self._stale_hosts.values())

    def set_host(self, host: Host) -> None:
        """Add or change a host."""
        self._hosts[host.name] = host

    def remove_host(self, name: str) -> None:
        """Remove a host from the list."""
        self._hosts.pop(name, None)

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path.startswith("/standin/"):
            await self._control(request, exchange)
            return
        if self.table.faults.delay_seconds:
            await asyncio.sleep(self.table.faults.delay_seconds)
        if self.table.faults.down:
            await exchange.respond(503, b"down")
            return
        await self._serve(request, exchange)

    async def _serve(self, request: HttpRequest, exchange: Exchange) -> None:
        query = {k: v[0] for k, v in parse_qs(request.target.partition("?")[2]).items()}
        match request.path:
            case "/table/row":
                await exchange.respond(
                    200, to_json(await self.table.read(query["key"]))
                )
            case "/table/scan":
                scanned = await self.table.scan(query["prefix"], int(query["since"]))
                await exchange.respond(200, to_json(scanned))
            case "/table/commit":
                outcome = await self.table.commit(from_json(request.body, Transaction))
                await _answer_commit(outcome, exchange)
            case "/hosts":
                await exchange.respond(200, to_json(await self.hosts()))
            case _:
                await exchange.respond(404)

    async def _control(self, request: HttpRequest, exchange: Exchange) -> None:
        match request.path:
            case "/standin/faults":
                self.table.faults = from_json(request.body, PlatformFaults)
            case "/standin/host":
                change = json.loads(request.body)
                self._change_host(change)
            case "/standin/counts":
                counts = {"commits": self.table.commits, "reads": self.table.reads}
                await exchange.respond(200, to_json(counts))
                return
        await exchange.respond(200)

    def _change_host(self, change: dict[str, str]) -> None:
        known = self._hosts.get(change["name"])
        if change.get("state") == "gone":
            self.remove_host(change["name"])
        elif known and "state" in change:
            self.set_host(replace(known, state=HostState(change["state"])))
        elif known:
            self.set_host(replace(known, incarnation=change["incarnation"]))
        else:
            self.set_host(from_plain(change, Host))


async def _answer_commit(outcome: CommitOutcome, exchange: Exchange) -> None:
    match outcome:
        case Committed():
            await exchange.respond(200, to_json(outcome))
        case Conflict():
            await exchange.respond(409, to_json(outcome))
        case Unavailable(reason=reason):
            await exchange.respond(503, reason.encode())
        case Unknown():
            # No answer: the connection closes, whether the change took effect or not.
            return
