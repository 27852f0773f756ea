"""Stand in for an engine of the platform: group orders, streams, and plain calls.

Each run and each change of its group goes to a journal file, one JSON line each, so
that a test can tell afterwards what really ran where.
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
from mallowpond.transport.http_client import CallFailed, HttpClient
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer

log = structlog.get_logger()

HEARTBEAT_SECONDS = 0.4
PING_SECONDS = 0.2
PING_TIMEOUT_SECONDS = 0.15
JOIN_SECONDS = 0.1
OPEN_SECONDS = 0.1
# Time after which a head whose member is gone says that its group broke.
STALL_SECONDS = 1.0
CALL_SECONDS = 0.03
STORE_SECONDS = 1.0
NOT_RUN = ((names.NOT_RUN, "1"),)
# A request whose body begins like this ends the process that runs it, and how long
# after the run began, in seconds.
FATAL_BODY = b"fatal "
FATAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class EngineOptions:
    """Say what an engine is; `models` maps each name to its load time in seconds.

    A process has the given `id`, or a new one. What it staged outlives it only in
    `staged_file`, which stands for the storage of its host.
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
    # Time for which only its answers tell that it stops, before its entry does.
    unannounced_seconds: float | None = None
    # Requests a second that it names as its limit while it is in need.
    rate_limit: float = 1.0
    # Time for which it wants no request of a host that it turns away, in seconds.
    backoff_seconds: float = 3.0


@dataclass(kw_only=True)
class Place:
    """Hold an engine's place in a group."""

    group: str
    epoch: int
    members: tuple[str, ...]
    rank: int
    state: str


class ObservatoryEngine:
    """Serve requests and orders, and keep an entry in the store."""

    def __init__(self, *, options: EngineOptions) -> None:
        self._options = options
        self._id = options.id or new_engine_id()
        self._born = int(time.time() * 1000)
        self._http = HttpClient(connect_seconds=PING_TIMEOUT_SECONDS)
        self._journal: TextIO = Path(options.journal).open("a", buffering=1)
        self._place: Place | None = None
        self._model = ""
        self._staged = _read_staged(options.staged_file)
        self._orders = 0
        self._fence = 0
        self._highest_epoch = 0
        self._beats = 0
        self._running = 0
        self._draining = False
        self._is_announced = False
        self._is_in_need = False
        self._is_shedding = False
        self._stalled_at: float | None = None
        self._peers: dict[str, str] = {}
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.server = HttpServer(handler=self._answer)

    async def start(self) -> None:
        """Listen, and tell the store."""
        await self.server.start(self._options.host, self._options.port)
        self._note("start", address=self._options.advertised)
        for work in (self._run_heartbeats(), self._run_pings()):
            self._tasks.append(asyncio.create_task(work))

    async def drain(self) -> None:
        """Announce the end, serve on for the agreed time, then stop."""
        self._draining = True
        self._note("draining")
        await asyncio.sleep(self._options.unannounced_seconds or 0.0)
        self._is_announced = True
        accepted_at = await self._announce_until_accepted()
        await asyncio.sleep(
            accepted_at + self._options.drain_seconds - time.monotonic()
        )
        while self._running:
            await asyncio.sleep(HEARTBEAT_SECONDS)
        await self._write_entry(remove=True)

    def toggle_rate_limit(self) -> None:
        """Name a rate limit in all answers from now on, or no more."""
        self._is_in_need = not self._is_in_need
        limit = self._options.rate_limit if self._is_in_need else None
        self._note("rate limit", limit=limit)

    def toggle_shedding(self) -> None:
        """Turn every request away from now on, or no more."""
        self._is_shedding = not self._is_shedding
        self._note("shedding", on=self._is_shedding)

    async def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        await self._http.close()
        self._journal.close()

    # -- the store -----------------------------------------------------------

    async def _announce_until_accepted(self) -> None:
        while not await self._write_entry():
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self._note("draining accepted")

    async def _run_heartbeats(self) -> None:
        while True:
            await self._write_entry()
            self._changed.clear()
            try:
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _write_entry(self, *, remove: bool = False) -> bool:
        self._beats += 1
        row = {"table": ENGINES_TABLE, "part": "", "key": self._id}
        entry = {**self._describe(), "sequence": self._beats}
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

    def _describe(self) -> dict[str, Any]:
        options, place = self._options, self._place
        group = None
        if place is not None:
            group = {
                "name": place.group,
                "epoch": place.epoch,
                "rank": place.rank,
                "state": place.state,
            }
        return {
            "service": options.service,
            "address": options.advertised,
            "zone": options.data_centre,
            "version": 1,
            "born": self._born,
            "slots": options.slots,
            "state": "draining" if self._is_announced else "ready",
            "cold_left_ms": 0,
            "domain": options.domain,
            "models": [{"name": self._model, "version": 1}] if self._model else [],
            "staged": [self._staged] if self._staged else [],
            "group": group,
        }

    # -- the group -----------------------------------------------------------

    async def _run_pings(self) -> None:
        """Watch the members of the group that this engine is the head of."""
        while True:
            await asyncio.sleep(PING_SECONDS)
            place = self._place
            if place is None or place.rank or place.state not in ("open", "closing"):
                self._stalled_at = None
                continue
            if await self._is_whole(place):
                self._stalled_at = None
            elif self._stalled_at is None:
                self._stalled_at = time.monotonic()
            elif time.monotonic() - self._stalled_at > STALL_SECONDS:
                self._set_state(place, "broken")

    async def _is_whole(self, place: Place) -> bool:
        others = [m for m in place.members if m != self._id]
        found = await asyncio.gather(*(self._stands_with(m, place) for m in others))
        return all(found)

    async def _stands_with(self, member: str, place: Place) -> bool:
        address = self._peers.get(member) or await self._look_up(member)
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
        return (group.get("name"), group.get("epoch")) == (place.group, place.epoch)

    async def _look_up(self, member: str) -> str | None:
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
            # Another writer's entry stands there; the member's own comes back.
            return None
        self._peers[member] = address
        return address

    def _set_state(self, place: Place, state: str) -> None:
        if self._place is place:
            place.state = state
            self._changed.set()
            self._note(
                "state",
                group=place.group,
                epoch=place.epoch,
                state=state,
                members=place.members,
            )

    # -- orders --------------------------------------------------------------

    def _order(self, body: dict[str, Any]) -> int:
        fence, expected = body.get("fence"), body.get("expected")
        if fence is not None and fence < self._fence:
            return 412
        if expected is not None and expected != self._orders:
            return 409
        if fence is not None:
            self._fence = max(self._fence, fence)
        match body.get("operation"):
            case "join":
                status = self._join(body)
            case "open" | "close" | "leave":
                status = self._change(body["operation"], body)
            case "stage":
                status = self._stage(body["model"])
            case _:
                status = 400
        # Leaving takes effect at once and still counts as an order.
        self._orders += status == 202 or body.get("operation") == "leave"
        return status

    def _join(self, body: dict[str, Any]) -> int:
        members, epoch = tuple(body["members"]), body["epoch"]
        if epoch < self._highest_epoch or self._id not in members:
            return 412
        self._highest_epoch = epoch
        place = Place(
            group=body["group"],
            epoch=epoch,
            members=members,
            rank=members.index(self._id),
            state="joining",
        )
        before = self._place
        self._note(
            "join",
            group=place.group,
            epoch=epoch,
            members=members,
            before=None if before is None else [before.group, before.epoch],
        )
        self._place = place
        self._changed.set()
        seconds = JOIN_SECONDS
        if body["model"] not in (self._model, self._staged):
            seconds += self._options.models.get(body["model"], 0.0)
        self._model = body["model"]
        self._keep_staged(body["model"])
        self._later(seconds, lambda: self._set_state(place, "ready"))
        return 202

    def _change(self, operation: str, body: dict[str, Any]) -> int:
        place = self._place
        key = (body["group"], body["epoch"])
        if place is None or (place.group, place.epoch) != key:
            return 409
        match (operation, place.state):
            case ("leave", _):
                self._note("leave", group=place.group, epoch=place.epoch)
                self._place = None
                self._changed.set()
                return 200
            case ("open", "ready") if place.rank == 0:
                self._later(OPEN_SECONDS, lambda: self._set_state(place, "open"))
                return 202
            case ("open", "open") | ("close", "ready"):
                return 200
            case ("close", "open"):
                self._set_state(place, "closing")
                self._tasks.append(asyncio.create_task(self._close(place)))
                return 202
        return 409

    async def _close(self, place: Place) -> None:
        while self._running:
            await asyncio.sleep(PING_SECONDS)
        if place.state == "closing":
            self._set_state(place, "ready")

    def _stage(self, model: str) -> int:
        if model == self._staged:
            return 200

        def done() -> None:
            self._keep_staged(model)
            self._changed.set()

        self._later(self._options.models.get(model, 0.0), done)
        return 202

    def _keep_staged(self, model: str) -> None:
        self._staged = model
        if self._options.staged_file:
            Path(self._options.staged_file).write_text(model)

    def _later(self, seconds: float, effect: Any) -> None:
        asyncio.get_running_loop().call_later(seconds, effect)

    # -- requests ------------------------------------------------------------

    async def _answer(self, request: HttpRequest, exchange: Exchange) -> None:
        echo = ((names.INSTANCE, self._id),)
        attempt = request.headers.get(names.ATTEMPT)
        if attempt:
            echo += ((names.ATTEMPT, attempt),)
            self._note("arrival", attempt=attempt)
        if self._draining:
            echo += ((names.LEAVING, "1"),)
        if self._is_in_need:
            echo += ((names.RATE_LIMIT, str(self._options.rate_limit)),)
        wanted = request.headers.get(names.EXPECT_INSTANCE, self._id)
        if wanted != self._id:
            self._note("misdirected", wanted=wanted)
            await exchange.respond(421, headers=(*echo, *NOT_RUN))
        elif request.path == "/healthz":
            await exchange.respond(503 if self._draining else 200, headers=echo)
        elif request.path == "/-/report":
            report = {**self._describe(), "sequence": self._orders, "busy": False}
            await exchange.respond(200, json.dumps(report).encode(), echo)
        elif request.path == "/-/order":
            await exchange.respond(self._order(json.loads(request.body)), b"{}", echo)
        elif attempt is None:
            await exchange.respond(400, headers=(*echo, *NOT_RUN))
        else:
            await self._serve(request, exchange, attempt, echo)

    async def _serve(
        self, request: HttpRequest, exchange: Exchange, attempt: str, echo: Any
    ) -> None:
        if self._is_shedding:
            seconds = self._options.backoff_seconds
            self._note("turned away", attempt=attempt, seconds=seconds)
            backoff = (names.RETRY_AFTER, str(seconds))
            await exchange.respond(503, headers=(*echo, *NOT_RUN, backoff))
            return
        place = self._place
        if self._options.models:
            if place is None or place.rank:
                await exchange.respond(421, headers=(*echo, *NOT_RUN))
                return
            if place.state != "open":
                await exchange.respond(503, headers=(*echo, *NOT_RUN))
                return
        self._running += 1
        try:
            self._note(
                "run",
                attempt=attempt,
                tenant=request.headers.get(names.WORKSPACE),
                has_key=names.AUTHORIZATION in request.headers,
                group=place and place.group,
                epoch=place and place.epoch,
                members=place and place.members,
            )
            stamp = ((names.SERVER_STAMP, f"{self._id}.{attempt}"), *echo)
            is_fatal = request.body.startswith(FATAL_BODY)
            if is_fatal:
                self._later(FATAL_SECONDS, lambda: self._crash(attempt))
            if place is None:
                await asyncio.sleep(2 * FATAL_SECONDS if is_fatal else CALL_SECONDS)
                await exchange.respond(200, call_body(attempt), stamp)
            else:
                await self._stream(request, exchange, attempt, stamp)
        finally:
            self._running -= 1

    async def _stream(
        self, request: HttpRequest, exchange: Exchange, attempt: str, stamp: Any
    ) -> None:
        tokens = int(request.headers.get(names.TOKEN_COUNTS, "0,7").partition(",")[2])
        first = int(request.headers.get(names.LAST_EVENT, 0)) + 1
        kind = (("content-type", "text/event-stream"),)
        await exchange.start(200, (*kind, *stamp))
        for number in range(first, -(-tokens // self._options.stride) + 1):
            await asyncio.sleep(self._options.event_seconds)
            while self._stalled_at is not None:
                await asyncio.sleep(PING_SECONDS)
            if self._place is None or self._place.state == "broken":
                return
            await exchange.send(event_bytes(attempt, number))
        await exchange.end()

    def _crash(self, attempt: str) -> None:
        """End the process as a crash does: every connection closes where it stands."""
        self._note("crash", attempt=attempt)
        os._exit(1)

    def _note(self, event: str, **values: Any) -> None:
        line = {
            "at": time.monotonic(),
            "engine": self._id,
            "born": self._born,
            "event": event,
            **values,
        }
        self._journal.write(json.dumps(line) + "\n")


def new_engine_id() -> str:
    """Draw the id of an engine."""
    return f"i-{secrets.token_hex(5)}"


def _read_staged(path: str) -> str:
    try:
        return Path(path).read_text() if path else ""
    except FileNotFoundError:
        return ""


def call_body(attempt: str) -> bytes:
    """Return the body with which a plain service answers a request."""
    return f"answer to {attempt}".encode()


def event_bytes(attempt: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()
