"""HTTP/1.1 server on h11 and asyncio, within the limits of its process."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from mallowpond.state.buffer_sizes import (
    RECEIVE_BUFFER_BYTES,
    WRITE_BUFFER_BYTES,
)
from mallowpond.state.caller_places import Activity, CallerPlaces
from mallowpond.state.payload_memory import Hold, PayloadMemory
from mallowpond.state.process_limits import (
    DEFAULT_LIMITS,
    ProcessLimits,
)
from mallowpond.transport.caller_connection import READ_SIZE, CallerConnection
from mallowpond.transport.http_messages import (
    BadInput,
    Headers,
    HttpRequest,
    ServerLimits,
)
from mallowpond.transport.listening import accept_connections, open_listener
from mallowpond.transport.request_reader import RequestReader
from mallowpond.transport.turns import Turns

# Connections beyond the limit, as a part of it, that may wait for their first request,
# which then gets a place or a refusal. Further ones are closed at once.
SPARE_SHARE = 0.1
# Statuses that refuse a body before it has arrived.
EARLY_STATUSES = (413, 503)
# Longest time for which the rest of a refused request is discarded, in seconds.
LINGER_SECONDS = 2.0
# Time for complete responses to leave the send buffers when the server closes, in
# seconds: less than the 0.7 s that a stopping node reserves for closing.
FLUSH_SECONDS = 0.5


class ClientDisconnected(Exception):
    """The client closed its connection, or stopped reading, during the response."""


@dataclass(kw_only=True)
class Exchange:
    """Sends the response to one request.

    A response that the handler doesn't end is broken off, so that the client can't take
    it for a complete one. `previous_requests` counts the requests before this one on
    the same connection.
    """

    _state: h11.Connection
    _connection: CallerConnection
    _send_seconds: float
    _record: Callable[[CallerConnection, Activity], None]
    previous_requests: int = 0
    started: bool = field(default=False, init=False)
    finished: bool = field(default=False, init=False)
    _announces_close: bool = field(default=False, init=False)

    def announce_close(self) -> None:
        """Announce in the response that the connection closes after it."""
        self._announces_close = True

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (),
        content_type: str | None = "application/json",
    ) -> None:
        """Send a complete response.

        Without a `content_type`, no header of that name is added to `headers`.
        """
        fixed = (("content-length", str(len(body))),)
        if content_type is not None:
            fixed = (("content-type", content_type), *fixed)
        data = self._head(status, headers + fixed)
        if len(body) > WRITE_BUFFER_BYTES:
            # Joined with the head, a large body would take its size once more.
            self._connection.write(data)
            data = b""
        data += self._state.send(h11.Data(data=body)) or b""
        data += self._state.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data)

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a chunked response."""
        await self._write(self._head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send one part of a chunked response."""
        await self._write(self._state.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """End a chunked response."""
        self.finished = True
        await self._write(self._state.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._announces_close:
            headers += (("connection", "close"),)
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = ""
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._state.send(head) or b""

    async def _write(self, data: bytes) -> None:
        connection = self._connection
        if connection.is_closing:
            raise ClientDisconnected
        connection.write(data)
        if connection.unsent_bytes == 0:
            # Nothing is left to send; draining would only cost time on every chunk.
            return
        self._record_sending()
        try:
            # A client that stops reading would otherwise keep its stream's memory and
            # its group's slot for ever.
            async with asyncio.timeout(self._send_seconds):
                await connection.drain(self._record_sending)
        except (ConnectionError, TimeoutError) as error:
            raise ClientDisconnected from error
        self._record(connection, Activity.BUSY)

    def _record_sending(self) -> None:
        self._record(self._connection, Activity.SENDING)


Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]
BadInputHandler = Callable[[BadInput, Exchange], Awaitable[None]]


def retry_headers(bad: BadInput) -> Headers:
    """Return the headers that say when to send unreadable input again, if ever."""
    if bad.retry_after is None:
        return ()
    return (("retry-after", f"{bad.retry_after:.2f}"),)


async def _respond_bad_input(bad: BadInput, exchange: Exchange) -> None:
    await exchange.respond(
        bad.status, bad.detail.encode(), retry_headers(bad), content_type="text/plain"
    )


class HttpServer:
    """Runs a handler for each request that arrives on one address."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits = ServerLimits(),
        on_bad_input: BadInputHandler = _respond_bad_input,
        on_ended_for_others: Callable[[Activity], None] = lambda activity: None,
        memory: PayloadMemory | None = None,
        process_limits: ProcessLimits = DEFAULT_LIMITS,
    ) -> None:
        self._memory = memory or PayloadMemory(max_bytes=process_limits.payload_bytes)
        self._handler = handler
        self._limits = limits
        self._on_bad_input = on_bad_input
        self._on_ended_for_others = on_ended_for_others
        self._server: asyncio.Server | None = None
        # Connections that a task serves, until they are closed.
        self._connections: set[CallerConnection] = set()
        self._places: CallerPlaces[CallerConnection] = CallerPlaces(
            max_places=process_limits.caller_connections
        )
        # Requests that are arriving, and their memory.
        self._receiving: dict[CallerConnection, tuple[RequestReader, Hold]] = {}
        self._busy: dict[CallerConnection, Exchange] = {}
        # Connections that wait for another request.
        self._idle: set[CallerConnection] = set()
        self._flushing: set[CallerConnection] = set()
        self._aborting: set[CallerConnection] = set()
        self._turns = Turns()
        self._scratch = memoryview(bytearray(READ_SIZE))
        self._refuses_requests = False
        self._keeps_alive = True
        self._is_closing = False

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    @property
    def is_busy(self) -> bool:
        """Return whether a complete request still awaits the end of its response."""
        return bool(self._busy or self._flushing)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def set_limits(self, limits: ServerLimits) -> None:
        """Apply new limits to the requests that begin to arrive from now on."""
        self._limits = limits

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Listen on an address or serve `listener`; port 0 takes a free port."""
        self._server = await accept_connections(
            listener or open_listener(host, port),
            lambda: CallerConnection(scratch=self._scratch, on_open=self._on_open),
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )

    def disable_keep_alive(self) -> None:
        """Close idle connections, and each other one after its current response.

        A response that began before the stop doesn't announce that its connection
        closes. If it stayed open, its client would send requests to this process up to
        its end, which would cut them off, while new connections went elsewhere.
        """
        self._keeps_alive = False
        for connection in self._idle:
            connection.evict()

    def refuse_new_requests(self) -> None:
        """Stop listening and serve no further request; those in progress go on.

        Otherwise a request that arrives between the end of the last one and the close
        of the server would be dispatched and then cut off.
        """
        self._refuses_requests = True
        if self._server is not None:
            self._server.close()
        # A connection that is flushing would drop the end of its response if cancelled.
        for connection in self._connections - self._busy.keys() - self._flushing:
            connection.cancel()

    async def close(self) -> None:
        """Stop listening, abort responses in progress and flush complete ones."""
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        self._aborting = {
            connection for connection, each in self._busy.items() if not each.finished
        }
        tasks = [connection.task for connection in self._connections]
        for connection in self._connections - self._flushing:
            connection.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=FLUSH_SECONDS)
        for connection in self._connections:
            connection.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_open(self, connection: CallerConnection) -> None:
        """Serve a new connection, or close it at once if there are far too many."""
        loop = asyncio.get_running_loop()
        self._record(connection, Activity.UNFINISHED)
        spare = int(SPARE_SHARE * self._places.max_places)
        self._make_places(connection, spare=spare)
        if self._is_closing or self._places.excess > spare:
            self._places.remove(connection)
            connection.abort()
            return
        self._connections.add(connection)
        has_place = self._places.excess <= 0
        connection.task = loop.create_task(self._run(connection, has_place=has_place))

    def _make_places(self, connection: CallerConnection, *, spare: int = 0) -> None:
        """End connections until the limit holds for another one.

        spare: number of connections beyond the limit for which no request that still
            makes progress is ended.
        """
        stuck = self._places.take_stuck(asyncio.get_running_loop().time())
        unfinished = self._places.take_unfinished(
            self._places.excess - spare, but=connection
        )
        for ended, activity in stuck + unfinished:
            self._on_ended_for_others(activity)
            if ended in self._busy or ended in self._flushing:
                # Its client does not read, so it would be told nothing anyway.
                ended.abort()
            else:
                ended.evict()

    def _record(self, connection: CallerConnection, activity: Activity) -> None:
        now = asyncio.get_running_loop().time()
        self._places.record(connection, activity, now)

    def _record_progress(self, connection: CallerConnection) -> None:
        self._record(connection, Activity.UNFINISHED)

    async def _run(self, connection: CallerConnection, *, has_place: bool) -> None:
        try:
            await self._serve(connection, has_place=has_place)
        except (ConnectionError, asyncio.CancelledError, ClientDisconnected):
            pass
        finally:
            await self._flush_and_close(connection)
            self._connections.discard(connection)
            self._places.remove(connection)

    async def _flush_and_close(self, connection: CallerConnection) -> None:
        """Close a connection after its send buffer has been flushed.

        When a handler ends, up to 64 KiB of its response may still be in the buffer.
        If they were dropped, a caller on a slow link would get a part of the response.
        """
        if connection in self._aborting:
            connection.abort()
            return
        self._flushing.add(connection)
        if connection.unsent_bytes:
            self._record(connection, Activity.SENDING)
        try:
            async with asyncio.timeout(self._limits.send_seconds):
                await connection.close(
                    lambda: self._record(connection, Activity.SENDING)
                )
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            connection.abort()
        finally:
            self._flushing.discard(connection)

    async def _serve(self, connection: CallerConnection, *, has_place: bool) -> None:
        """Serve the requests of a connection, or refuse its first one."""
        loop = asyncio.get_running_loop()
        reader = RequestReader(
            connection=connection,
            turns=self._turns,
            make_room=self._make_room,
            on_progress=self._record_progress,
        )
        for previous_requests in itertools.count():
            if self._refuses_requests or self._is_closing:
                # A connection accepted in the last pass of the event loop is not among
                # those that `close` ended; its request would be served afterwards.
                return
            if not await self._wait_for_request(
                connection, reader, is_reused=previous_requests > 0
            ):
                return
            if not has_place:
                self._make_places(connection)
                has_place = self._places.excess <= 0
            exchange = Exchange(
                _state=reader.state,
                _connection=connection,
                _send_seconds=self._limits.send_seconds,
                _record=self._record,
                previous_requests=previous_requests,
            )
            hold = self._memory.open(
                now=loop.time(), limit_seconds=self._limits.receive_seconds
            )
            try:
                request = await self._receive(
                    connection, reader, hold, is_refused=not has_place
                )
                if isinstance(request, BadInput):
                    # Nothing is kept of a request while its rest is discarded.
                    hold.release(loop.time())
                    await self._refuse(connection, request, exchange)
                    return
                if self._refuses_requests:
                    return
                if connection.is_wide:
                    exchange.announce_close()
                self._busy[connection] = exchange
                self._record(connection, Activity.BUSY)
                try:
                    await self._handle(request, exchange, connection)
                finally:
                    del self._busy[connection]
                # While an idle connection waits, it must not keep the body.
                del request
            finally:
                hold.release(loop.time())
            if not exchange.finished:
                # Without a final chunk the client sees that the response is incomplete.
                return
            if connection.is_wide:
                await self._linger(connection)
            if reader.state.our_state is not h11.DONE:
                return
            if reader.state.their_state is not h11.DONE:
                return
            reader.state.start_next_cycle()
            if not self._keeps_alive:
                await connection.wait_for_pending_read()
                if not connection.received:
                    return

    async def _wait_for_request(
        self, connection: CallerConnection, reader: RequestReader, *, is_reused: bool
    ) -> bool:
        """Wait for the first bytes of a request; return whether it is to be served."""
        if not is_reused:
            return await reader.wait(self._limits.idle_seconds)
        self._record(connection, Activity.IDLE)
        self._idle.add(connection)
        try:
            if not connection.received:
                is_there = await reader.wait(self._limits.idle_seconds)
            else:
                # It was sent ahead: clients that sent nothing ahead go first.
                await self._turns.take()
                is_there = not (connection.is_evicted and self._keeps_alive)
            # A request that arrived before its connection was to end is served.
            connection.is_evicted = False
            return is_there
        finally:
            self._idle.discard(connection)

    async def _receive(
        self,
        connection: CallerConnection,
        reader: RequestReader,
        hold: Hold,
        *,
        is_refused: bool,
    ) -> HttpRequest | BadInput:
        self._record(connection, Activity.UNFINISHED)
        self._receiving[connection] = (reader, hold)
        try:
            return await reader.read(hold, limits=self._limits, is_refused=is_refused)
        finally:
            del self._receiving[connection]

    async def _refuse(
        self, connection: CallerConnection, bad: BadInput, exchange: Exchange
    ) -> None:
        """Answer a request that was not read, and take what is left of it."""
        await self._on_bad_input(bad, exchange)
        if bad.status in EARLY_STATUSES:
            connection.begin_discarding(self._limits.body_bytes)
            await self._linger(connection)

    async def _linger(self, connection: CallerConnection) -> None:
        """Wait until the client has closed, while what it still sends is discarded.

        A close with unread bytes resets the connection, and the client may lose the
        answer.
        """
        if connection.is_closing:
            return
        self._record(connection, Activity.REFUSED)
        connection.write_eof()
        await connection.finish_discarding(LINGER_SECONDS)

    async def _handle(
        self, request: HttpRequest, exchange: Exchange, connection: CallerConnection
    ) -> None:
        # A client that disconnects must free its group's slot at once, so the socket is
        # watched while the handler runs, and the handler is cancelled.
        handler_task = asyncio.ensure_future(self._handler(request, exchange))
        disconnect_task = asyncio.ensure_future(_watch_disconnect(connection))
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                handler_task.cancel("client gone")
            with contextlib.suppress(asyncio.CancelledError, ClientDisconnected):
                await handler_task
        finally:
            handler_task.cancel()
            disconnect_task.cancel()
            await asyncio.gather(handler_task, disconnect_task, return_exceptions=True)

    def _make_room(self, hold: Hold, size: int) -> float | None:
        """End requests that arrive too slowly until `size` bytes find room in a hold.

        Returns the time after which room is expected, in seconds, None if there is now.
        """
        now = asyncio.get_running_loop().time()
        for connection in self._slow_connections(now):
            reader, other = self._receiving[connection]
            if other is hold or not other.size:
                continue
            connection.evict()
            reader.drop_body()
            other.release(now)
            if hold.try_reserve(size):
                return None
        return self._memory.seconds_until_room(size - hold.size, now)

    def _slow_connections(self, now: float) -> list[CallerConnection]:
        """Return connections whose request has stalled or will not arrive in time."""
        stalled = [c for c in self._places.stalled(now) if c in self._receiving]
        hopeless = set(self._memory.hopeless_holds(now))
        if not hopeless:
            return stalled
        return stalled + [
            connection
            for connection, (_, hold) in self._receiving.items()
            if hold in hopeless
        ]


def _watch_disconnect(connection: CallerConnection) -> asyncio.Future[None]:
    """Return a future that is done when the client has left."""
    return connection.watch_disconnect()
