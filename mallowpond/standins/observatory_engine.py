"""Stand-in for an engine of the platform: group orders, streams and plain calls.

The engine appends each run and each change of its group to a journal file, as one JSON
object per line. From it a test determines afterwards which engine ran which request.
"""

import asyncio
import json
import os
import secrets
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import structlog

from mallowpond.platform import headers as names
from mallowpond.standins.observatory_store import (
    ENGINES_TABLE,
    WRITER_HEADER,
    pack,
    unpack,
)
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.transport.http_client import CallFailed, HttpClient
from mallowpond.transport.http_server import (
    ClientDisconnected,
    Exchange,
    HttpRequest,
    HttpServer,
)

log = structlog.get_logger()

HEARTBEAT_SECONDS = 0.4
PING_SECONDS = 0.2
PING_TIMEOUT_SECONDS = 0.15
JOIN_SECONDS = 0.1
OPEN_SECONDS = 0.1
# Time without a member after which the head marks its group as broken, in seconds.
STALL_SECONDS = 1.0
CALL_SECONDS = 0.03
STORE_SECONDS = 1.0
NOT_RUN = ((names.NOT_RUN, "1"),)
# A request whose body starts with FATAL_BODY crashes the process that runs it,
# FATAL_SECONDS after the run starts, and so does one of which a part of the prompt,
# except the last, has an id that starts with FATAL_PART.
FATAL_BODY = b"fatal "
FATAL_PART = "dead"
FATAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class EngineOptions:
    """Options of an engine.

    advertised: address that the engine publishes in its entry.
    store: address of the store.
    journal: path of the journal file.
    id: instance id of the process, empty for a random one.
    staged_file: file that keeps the staged model across restarts, as the storage of a
        host does; empty for none.
    models: load time in seconds by the name of the model; empty for a plain service.
    slots, stride: values that the engine's profile declares.
    event_seconds: time per event of a stream.
    drain_seconds: time for which a draining engine serves once its entry says so.
    names_leaving: whether answers of a draining engine say so, as its entry does.
    unannounced_seconds: time for which only the answers of a draining engine say so,
        before its entry does.
    rate_limit: requests per second that it advertises while the limit is on.
    backoff_seconds: backoff that it requests from a host when it refuses a request.
    cold_seconds: time for which it says that it is cold after its start, None for none.
    cold_again_after: time after its start at which it is cold again, None for never.
    """

    host: str
    port: int
    advertised: str
    store: str
    service: str
    domain: str
    data_centre: str
    journal: str
    id: str = ""
    staged_file: str = ""
    models: dict[str, float] = field(default_factory=dict)
    slots: int = 8
    stride: int = 7
    event_seconds: float = 0.02
    drain_seconds: float = 2.0
    names_leaving: bool = True
    unannounced_seconds: float | None = None
    rate_limit: float = 1.0
    backoff_seconds: float = 3.0
    cold_seconds: float | None = None
    cold_again_after: float | None = None


# Start of the body of a request that is answered without end, and the size of each
# part of that answer in bytes.
ENDLESS_ANSWER = b"answer without end"
ENDLESS_PART_BYTES = 64 * 1024
# Start of the body of a request that is answered at length, and that length in bytes.
LARGE_ANSWER = b"answer at length"
LARGE_ANSWER_BYTES = 3 * 1024 * 1024
# Bytes of requests that an engine holds at one time: more than its callers send.
MAX_HELD_BYTES = 1024 * 1024 * 1024


@dataclass(kw_only=True)
class GroupMembership:
    """Membership of an engine in a group."""

    group: str
    epoch: int
    members: tuple[str, ...]
    rank: int
    state: str


class ObservatoryEngine:
    """Engine that serves requests and orders, and publishes its entry in the store."""

    def __init__(self, *, options: EngineOptions) -> None:
        self._options = options
        self._id = options.id or new_engine_id()
        self._born = int(time.time() * 1000)
        self._http = HttpClient(connect_seconds=PING_TIMEOUT_SECONDS)
        self._journal: TextIO = Path(options.journal).open("a", buffering=1)
        self._membership: GroupMembership | None = None
        self._model = ""
        self._staged = _read_staged(options.staged_file)
        self._order_count = 0
        self._highest_fence = 0
        self._highest_epoch = 0
        self._entry_sequence = 0
        self._running_requests = 0
        self._draining = False
        self._is_announced = False
        self._advertises_limit = False
        self._is_shedding = False
        self._cold_until = 0.0
        self._stalled_at: float | None = None
        self._member_addresses: dict[str, str] = {}
        self._entry_changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.server = HttpServer(
            handler=self._handle, memory=PayloadMemory(max_bytes=MAX_HELD_BYTES)
        )

    async def start(self) -> None:
        """Listen, and start to publish the entry and to monitor the group."""
        await self.server.start(self._options.host, self._options.port)
        self._write_journal(
            "start",
            address=self._options.advertised,
            data_centre=self._options.data_centre,
        )
        self._become_cold()
        if self._options.cold_again_after is not None:
            self._call_later(self._options.cold_again_after, self._become_cold)
        for coroutine in (self._run_heartbeats(), self._monitor_group()):
            self._tasks.append(asyncio.create_task(coroutine))

    async def drain(self) -> None:
        """Announce the shutdown, serve for the drain time, then remove the entry."""
        self._draining = True
        self._write_journal("draining")
        await asyncio.sleep(self._options.unannounced_seconds or 0.0)
        self._is_announced = True
        accepted_at = await self._announce_until_accepted()
        await asyncio.sleep(
            accepted_at + self._options.drain_seconds - time.monotonic()
        )
        while self._running_requests:
            await asyncio.sleep(HEARTBEAT_SECONDS)
        await self._write_entry(remove=True)

    def toggle_rate_limit(self) -> None:
        """Switch on or off the rate limit that every answer advertises."""
        self._advertises_limit = not self._advertises_limit
        limit = self._options.rate_limit if self._advertises_limit else None
        self._write_journal("rate limit", limit=limit)

    def toggle_shedding(self) -> None:
        """Switch on or off the refusal of every request with a backoff."""
        self._is_shedding = not self._is_shedding
        self._write_journal("shedding", on=self._is_shedding)

    def _become_cold(self) -> None:
        seconds = self._options.cold_seconds
        if seconds is not None:
            self._cold_until = time.monotonic() + seconds
            self._write_journal("cold", seconds=seconds)
            self._entry_changed.set()

    def _cold_milliseconds(self) -> int:
        return max(0, int(1000 * (self._cold_until - time.monotonic())))

    async def close(self) -> None:
        """Stop all tasks and close the server and the journal."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        await self._http.close()
        self._journal.close()

    # -- the store -----------------------------------------------------------

    async def _announce_until_accepted(self) -> float:
        """Return the monotonic time at which the store accepted the announcement."""
        while not await self._write_entry():
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self._write_journal("draining accepted")
        return time.monotonic()

    async def _run_heartbeats(self) -> None:
        while True:
            await self._write_entry()
            self._entry_changed.clear()
            try:
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self._entry_changed.wait()
            except TimeoutError:
                continue

    async def _write_entry(self, *, remove: bool = False) -> bool:
        self._entry_sequence += 1
        row = {"table": ENGINES_TABLE, "part": "", "key": self._id}
        entry = {**self._entry_document(), "sequence": self._entry_sequence}
        change = {"writes": [{**row, "value": pack(entry)}]}
        if remove:
            change = {"delete": [row]}
        answer = await self._http.fetch(
            self._options.store,
            "POST",
            "/-/rows-tx",
            headers=((WRITER_HEADER, "engine"),),
            body=json.dumps(change).encode(),
            timeout=STORE_SECONDS,
        )
        return not isinstance(answer, CallFailed) and answer[0] == 200

    def _entry_document(self) -> dict[str, Any]:
        options, membership = self._options, self._membership
        group = None
        if membership is not None:
            group = {
                "name": membership.group,
                "epoch": membership.epoch,
                "rank": membership.rank,
                "state": membership.state,
            }
        return {
            "service": options.service,
            "address": options.advertised,
            "zone": options.data_centre,
            "version": 1,
            "born": self._born,
            "slots": options.slots,
            "state": "draining" if self._is_announced else "ready",
            "cold_left_ms": self._cold_milliseconds(),
            "domain": options.domain,
            "models": [{"name": self._model, "version": 1}] if self._model else [],
            "staged": [self._staged] if self._staged else [],
            "group": group,
        }

    # -- the group -----------------------------------------------------------

    async def _monitor_group(self) -> None:
        """Ping the members of the group that this engine heads.

        Its streams stall while a member is missing. After STALL_SECONDS of that the
        group is broken.
        """
        while True:
            await asyncio.sleep(PING_SECONDS)
            membership = self._membership
            if (
                membership is None
                or membership.rank
                or membership.state not in ("open", "closing")
            ):
                self._stalled_at = None
                continue
            if await self._has_all_members(membership):
                self._stalled_at = None
            elif self._stalled_at is None:
                self._stalled_at = time.monotonic()
            elif time.monotonic() - self._stalled_at > STALL_SECONDS:
                self._set_state(membership, "broken")

    async def _has_all_members(self, membership: GroupMembership) -> bool:
        others = [m for m in membership.members if m != self._id]
        present = await asyncio.gather(
            *(self._is_in_group(m, membership) for m in others)
        )
        return all(present)

    async def _is_in_group(self, member: str, membership: GroupMembership) -> bool:
        address = self._member_addresses.get(member) or await self._find_address(member)
        if address is None:
            return False
        report = await self._http.fetch(
            address,
            "GET",
            "/-/report",
            headers=((names.EXPECT_INSTANCE, member),),
            timeout=PING_TIMEOUT_SECONDS,
        )
        if isinstance(report, CallFailed) or report[0] != 200:
            return False
        group = json.loads(report[1]).get("group") or {}
        return (group.get("name"), group.get("epoch")) == (
            membership.group,
            membership.epoch,
        )

    async def _find_address(self, member: str) -> str | None:
        answer = await self._http.fetch(
            self._options.store,
            "GET",
            f"/-/rows-get?table={ENGINES_TABLE}&part=&from={member}&limit=1",
            timeout=PING_TIMEOUT_SECONDS,
        )
        if isinstance(answer, CallFailed) or answer[0] != 200:
            return None
        rows = json.loads(answer[1])["rows"]
        if not rows or rows[0]["key"] != member:
            return None
        entry = unpack(rows[0]["value"])
        address = entry.get("address") if isinstance(entry, dict) else None
        if not isinstance(address, str):
            # A foreign entry, which the member's own will replace.
            return None
        self._member_addresses[member] = address
        return address

    def _set_state(self, membership: GroupMembership, state: str) -> None:
        if self._membership is membership:
            membership.state = state
            self._entry_changed.set()
            self._write_journal(
                "state",
                group=membership.group,
                epoch=membership.epoch,
                state=state,
                members=membership.members,
            )

    # -- orders --------------------------------------------------------------

    def _apply_order(self, body: dict[str, Any]) -> int:
        fence, expected = body.get("fence"), body.get("expected")
        if fence is not None and fence < self._highest_fence:
            return 412
        if expected is not None and expected != self._order_count:
            return 409
        if fence is not None:
            self._highest_fence = max(self._highest_fence, fence)
        match body.get("operation"):
            case "join":
                status = self._join(body)
            case "open" | "close" | "leave":
                status = self._change_state(body["operation"], body)
            case "stage":
                status = self._stage(body["model"])
            case _:
                status = 400
        # A leave order completes at once, without status 202, and still counts.
        self._order_count += status == 202 or body.get("operation") == "leave"
        return status

    def _join(self, body: dict[str, Any]) -> int:
        members, epoch = tuple(body["members"]), body["epoch"]
        if epoch < self._highest_epoch or self._id not in members:
            return 412
        self._highest_epoch = epoch
        membership = GroupMembership(
            group=body["group"],
            epoch=epoch,
            members=members,
            rank=members.index(self._id),
            state="joining",
        )
        previous = self._membership
        self._write_journal(
            "join",
            group=membership.group,
            epoch=epoch,
            members=members,
            before=None if previous is None else [previous.group, previous.epoch],
        )
        self._membership = membership
        self._entry_changed.set()
        seconds = JOIN_SECONDS
        if body["model"] not in (self._model, self._staged):
            seconds += self._options.models.get(body["model"], 0.0)
        self._model = body["model"]
        self._set_staged(body["model"])
        self._call_later(seconds, lambda: self._set_state(membership, "ready"))
        return 202

    def _change_state(self, operation: str, body: dict[str, Any]) -> int:
        membership = self._membership
        key = (body["group"], body["epoch"])
        if membership is None or (membership.group, membership.epoch) != key:
            return 409
        match (operation, membership.state):
            case ("leave", _):
                self._write_journal(
                    "leave", group=membership.group, epoch=membership.epoch
                )
                self._membership = None
                self._entry_changed.set()
                return 200
            case ("open", "ready") if membership.rank == 0:
                self._call_later(
                    OPEN_SECONDS, lambda: self._set_state(membership, "open")
                )
                return 202
            case ("open", "open") | ("close", "ready"):
                return 200
            case ("close", "open"):
                self._set_state(membership, "closing")
                self._tasks.append(asyncio.create_task(self._close(membership)))
                return 202
        return 409

    async def _close(self, membership: GroupMembership) -> None:
        while self._running_requests:
            await asyncio.sleep(PING_SECONDS)
        if membership.state == "closing":
            self._set_state(membership, "ready")

    def _stage(self, model: str) -> int:
        if model == self._staged:
            return 200

        def finish() -> None:
            self._set_staged(model)
            self._entry_changed.set()

        self._call_later(self._options.models.get(model, 0.0), finish)
        return 202

    def _set_staged(self, model: str) -> None:
        self._staged = model
        if self._options.staged_file:
            Path(self._options.staged_file).write_text(model)

    def _call_later(self, seconds: float, callback: Any) -> None:
        asyncio.get_running_loop().call_later(seconds, callback)

    # -- requests ------------------------------------------------------------

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        common_headers = ((names.INSTANCE, self._id),)
        attempt = request.headers.get(names.ATTEMPT)
        if attempt:
            common_headers += ((names.ATTEMPT, attempt),)
            self._write_journal("arrival", attempt=attempt)
        if self._draining and self._options.names_leaving:
            common_headers += ((names.LEAVING, "1"),)
        if self._advertises_limit:
            common_headers += ((names.RATE_LIMIT, str(self._options.rate_limit)),)
        expected_id = request.headers.get(names.EXPECT_INSTANCE, self._id)
        if expected_id != self._id:
            self._write_journal("misdirected", wanted=expected_id)
            await exchange.respond(421, headers=(*common_headers, *NOT_RUN))
        elif request.path == "/healthz":
            self._write_journal("health check")
            cold = (names.COLD, str(self._cold_milliseconds()))
            await exchange.respond(
                503 if self._draining else 200, headers=(*common_headers, cold)
            )
        elif request.path == "/-/report":
            report = {
                **self._entry_document(),
                "sequence": self._order_count,
                "busy": False,
            }
            await exchange.respond(200, json.dumps(report).encode(), common_headers)
        elif request.path == "/-/order":
            await exchange.respond(
                self._apply_order(json.loads(request.body)), b"{}", common_headers
            )
        elif attempt is None:
            await exchange.respond(400, headers=(*common_headers, *NOT_RUN))
        else:
            await self._serve(request, exchange, attempt, common_headers)

    async def _serve(
        self,
        request: HttpRequest,
        exchange: Exchange,
        attempt: str,
        common_headers: Any,
    ) -> None:
        if self._is_shedding:
            seconds = self._options.backoff_seconds
            self._write_journal("turned away", attempt=attempt, seconds=seconds)
            backoff = (names.RETRY_AFTER, str(seconds))
            await exchange.respond(503, headers=(*common_headers, *NOT_RUN, backoff))
            return
        membership = self._membership
        if self._options.models:
            if membership is None or membership.rank:
                await exchange.respond(421, headers=(*common_headers, *NOT_RUN))
                return
            if membership.state != "open":
                await exchange.respond(503, headers=(*common_headers, *NOT_RUN))
                return
        self._running_requests += 1
        try:
            self._write_journal(
                "run",
                attempt=attempt,
                tenant=request.headers.get(names.WORKSPACE),
                has_key=names.AUTHORIZATION in request.headers,
                group=membership and membership.group,
                epoch=membership and membership.epoch,
                members=membership and membership.members,
            )
            stamped_headers = (
                (names.SERVER_STAMP, f"{self._id}.{attempt}"),
                *common_headers,
            )
            is_fatal = _is_fatal(request)
            if is_fatal:
                self._call_later(FATAL_SECONDS, lambda: self._crash(attempt))
            if request.body.startswith(ENDLESS_ANSWER):
                await exchange.start(200, stamped_headers)
                while True:
                    await exchange.send(b"x" * ENDLESS_PART_BYTES)
            if membership is None:
                await asyncio.sleep(2 * FATAL_SECONDS if is_fatal else CALL_SECONDS)
                body = call_body(
                    attempt, is_large=request.body.startswith(LARGE_ANSWER)
                )
                await exchange.respond(200, body, stamped_headers)
            else:
                await self._stream(
                    request, exchange, attempt, stamped_headers, membership
                )
        except (asyncio.CancelledError, ClientDisconnected):
            self._write_journal("disconnected", attempt=attempt)
            raise
        finally:
            self._running_requests -= 1

    async def _stream(
        self,
        request: HttpRequest,
        exchange: Exchange,
        attempt: str,
        stamped_headers: Any,
        membership: GroupMembership,
    ) -> None:
        tokens = int(request.headers.get(names.TOKEN_COUNTS, "0,7").partition(",")[2])
        first = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        kind = (("content-type", "text/event-stream"),)
        await exchange.start(200, (*kind, *stamped_headers))
        for number in range(first, -(-tokens // self._options.stride) + 1):
            await asyncio.sleep(self._options.event_seconds)
            while self._stalled_at is not None:
                await asyncio.sleep(PING_SECONDS)
            if self._membership is not membership or membership.state == "broken":
                is_broken = self._membership is membership
                self._write_journal(
                    "broken off",
                    attempt=attempt,
                    reason="member lost" if is_broken else "order",
                    group=membership.group,
                    epoch=membership.epoch,
                    members=membership.members,
                    sent=number - 1,
                )
                return
            await exchange.send(event_bytes(attempt, number))
        await exchange.end()

    def _crash(self, attempt: str) -> None:
        """Exit at once, which cuts off every connection as a crash does."""
        self._write_journal("crash", attempt=attempt)
        os._exit(1)

    def _write_journal(self, event: str, **values: Any) -> None:
        line = {
            "at": time.monotonic(),
            "engine": self._id,
            "born": self._born,
            "event": event,
            **values,
        }
        self._journal.write(json.dumps(line) + "\n")


def new_engine_id() -> str:
    """Return a random instance id."""
    return f"i-{secrets.token_hex(5)}"


def _is_fatal(request: HttpRequest) -> bool:
    """Return whether a request crashes the process that runs it."""
    parts = request.headers.get(names.PROMPT_PARTS, "").split(",")[:-1]
    has_fatal_part = any(part.startswith(FATAL_PART) for part in parts)
    return has_fatal_part or request.body.startswith(FATAL_BODY)


def _read_staged(path: str) -> str:
    try:
        return Path(path).read_text() if path else ""
    except FileNotFoundError:
        return ""


def call_body(attempt: str, *, is_large: bool = False) -> bytes:
    """Return the body of a plain service's answer to an attempt."""
    body = f"answer to {attempt}".encode()
    return body + b"x" * LARGE_ANSWER_BYTES if is_large else body


def event_bytes(attempt: str, number: int) -> bytes:
    """Return one encoded event of the stream that answers an attempt."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()
