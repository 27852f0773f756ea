"""HTTP/1.1 server on h11 and asyncio streams."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from mallowpond.state.payload_memory import Hold, PayloadMemory
from mallowpond.state.process_limits import (
    CONNECTION_READ_BYTES,
    DEFAULT_LIMITS,
    WRITE_BUFFER_BYTES,
    ProcessLimits,
)
from mallowpond.transport.headers import decode_headers, list_headers

READ_SIZE = 65536
MAX_HEADER_BYTES = 16384
# Shortest time after which a request that found no room may be sent again, in seconds.
MIN_RETRY_SECONDS = 0.3
# Connections beyond the limit that get a refusal, as a part of it; further ones are
# closed at once.
REFUSED_SHARE = 0.1
# Statuses that refuse a body before it has arrived.
EARLY_STATUSES = (413, 503)
# Longest time for which the rest of a refused request is discarded, in seconds.
LINGER_SECONDS = 2.0
# Time for complete responses to leave the send buffers when the server closes, in
# seconds: less than the 0.7 s that a stopping node reserves for closing.
FLUSH_SECONDS = 0.5
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on the memory and time that one client may take.

    `idle_seconds` bounds the wait for a request's first byte, `receive_seconds` the
    time from there to its end, `send_seconds` each wait for the send buffer to drain.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = 4 * 1024 * 1024
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    send_seconds: float = 30.0


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    header_list: Headers = ()

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, kw_only=True)
class BadInput:
    """Why a request could not be read, and the status to answer it with."""

    status: int
    reason: str
    detail: str
    retry_after: float | None = None


class ClientDisconnected(Exception):
    """The client closed its connection, or stopped reading, during the response."""


@dataclass(kw_only=True)
class Exchange:
    """Sends the response to one request.

    A response that the handler doesn't end is broken off, so that the client can't take
    it for a complete one. `previous_requests` counts the requests before this one on
    the same connection.
    """

    _connection: h11.Connection
    _writer: asyncio.StreamWriter
    _send_seconds: float
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
            self._writer.write(data)
            data = b""
        data += self._connection.send(h11.Data(data=body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data)

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a chunked response."""
        await self._write(self._head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send one part of a chunked response."""
        await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """End a chunked response."""
        self.finished = True
        await self._write(self._connection.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._announces_close:
            headers += (("connection", "close"),)
        try:
            reason = HTTPStatus(status).phrase
        except ValueError:
            reason = ""
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._connection.send(head) or b""

    async def _write(self, data: bytes) -> None:
        if self._writer.is_closing():
            raise ClientDisconnected
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() == 0:
            # Nothing is left to send; draining would only cost time on every chunk.
            return
        try:
            # A client that stops reading would otherwise keep its stream's memory and
            # its group's slot for ever.
            async with asyncio.timeout(self._send_seconds):
                await self._writer.drain()
        except (ConnectionError, TimeoutError) as error:
            raise ClientDisconnected from error


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


class _UnreadableRequest(Exception):
    def __init__(self, bad: BadInput) -> None:
        super().__init__(bad.detail)
        self.bad = bad


class HttpServer:
    """Runs a handler for each request that arrives on one address."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits = ServerLimits(),
        on_bad_input: BadInputHandler = _respond_bad_input,
        memory: PayloadMemory | None = None,
        process_limits: ProcessLimits = DEFAULT_LIMITS,
    ) -> None:
        self._memory = memory or PayloadMemory(max_bytes=process_limits.payload_bytes)
        self._max_connections = process_limits.caller_connections
        self._handler = handler
        self._limits = limits
        self._on_bad_input = on_bad_input
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._busy: dict[asyncio.Task[None], Exchange] = {}
        # Tasks of connections that wait for another request, longest wait first.
        self._idle: dict[asyncio.Task[None], None] = {}
        # Idle connections that are being closed for others.
        self._evicted: set[asyncio.Task[None]] = set()
        # Time limits of the bodies that are arriving.
        self._receiving: dict[Hold, asyncio.Timeout] = {}
        self._flushing: set[asyncio.Task[None]] = set()
        self._aborting: set[asyncio.Task[None]] = set()
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
        """Apply new limits from now on; open connections keep their limit in h11."""
        self._limits = limits

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Listen on an address or serve `listener`; port 0 takes a free port."""
        endpoint = (
            {"host": host, "port": port} if listener is None else {"sock": listener}
        )
        self._server = await asyncio.start_server(
            self._on_connection,
            limit=CONNECTION_READ_BYTES,
            backlog=1024,
            **endpoint,
        )

    def disable_keep_alive(self) -> None:
        """Close idle connections, and each other one after its current response.

        A response that began before the stop doesn't announce that its connection
        closes. If it stayed open, its client would send requests to this process up to
        its end, which would cut them off, while new connections went elsewhere.
        """
        self._keeps_alive = False
        for task in list(self._idle):
            task.cancel()

    def refuse_new_requests(self) -> None:
        """Stop listening and serve no further request; those in progress go on.

        Otherwise a request that arrives between the end of the last one and the close
        of the server would be dispatched and then cut off.
        """
        self._refuses_requests = True
        if self._server is not None:
            self._server.close()
        # A connection that is flushing would drop the end of its response if cancelled.
        for task in self._connections - self._busy.keys() - self._flushing:
            task.cancel()

    async def close(self) -> None:
        """Stop listening, abort responses in progress and flush complete ones."""
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        self._aborting = {
            task for task, each in self._busy.items() if not each.finished
        }
        for task in self._connections - self._flushing:
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections, timeout=FLUSH_SECONDS)
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        writer.transport.set_write_buffer_limits(
            high=WRITE_BUFFER_BYTES, low=WRITE_BUFFER_BYTES
        )
        excess = self._evict_idle()
        if excess > REFUSED_SHARE * self._max_connections:
            writer.transport.abort()
        try:
            await self._serve_connection(reader, writer, is_refused=excess > 0)
        except (ConnectionError, asyncio.CancelledError, ClientDisconnected):
            pass
        finally:
            await self._flush_and_close(task, writer)
            self._connections.discard(task)
            self._evicted.discard(task)

    def _evict_idle(self) -> int:
        """Close idle connections beyond the limit; return how many are still beyond."""
        excess = len(self._connections) - len(self._evicted) - self._max_connections
        for task in list(itertools.islice(self._idle, max(0, excess))):
            del self._idle[task]
            self._evicted.add(task)
            task.cancel()
            excess -= 1
        return excess

    async def _flush_and_close(
        self, task: asyncio.Task[None], writer: asyncio.StreamWriter
    ) -> None:
        """Close a connection after its send buffer has been flushed.

        When a handler ends, up to 64 KiB of its response may still be in the buffer.
        If they were dropped, a caller on a slow link would get a part of the response.
        """
        if task in self._aborting:
            writer.transport.abort()
            return
        self._flushing.add(task)
        writer.close()
        try:
            async with asyncio.timeout(self._limits.send_seconds):
                await writer.wait_closed()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._flushing.discard(task)

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_refused: bool,
    ) -> None:
        """Serve the requests of a connection, or refuse its first one."""
        loop = asyncio.get_running_loop()
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        for previous_requests in itertools.count():
            if self._refuses_requests or self._is_closing:
                # A connection accepted in the last pass of the event loop is not among
                # those that `close` ended; its request would be served afterwards.
                return
            exchange = Exchange(
                _connection=connection,
                _writer=writer,
                _send_seconds=self._limits.send_seconds,
                previous_requests=previous_requests,
            )
            hold = self._memory.open(
                now=loop.time(), limit_seconds=self._limits.receive_seconds
            )
            bad: BadInput | None = None
            try:
                request = await self._receive(
                    connection,
                    reader,
                    writer,
                    hold,
                    is_reused=previous_requests > 0,
                    is_refused=is_refused,
                )
                if request is None or self._refuses_requests:
                    return
                task = asyncio.current_task()
                assert task is not None
                self._busy[task] = exchange
                try:
                    await self._handle(request, exchange, connection, reader)
                finally:
                    del self._busy[task]
                # While an idle connection waits, it must not keep the body.
                del request
            except _UnreadableRequest as unreadable:
                # The traceback keeps what has arrived of the body until it is gone.
                bad = unreadable.bad
            finally:
                hold.release(loop.time())
            if bad is not None:
                await self._on_bad_input(bad, exchange)
                if bad.status in EARLY_STATUSES:
                    await _discard_rest(reader, writer, self._limits.body_bytes)
                return
            if not exchange.finished or connection.our_state is not h11.DONE:
                # Without a final chunk the client sees that the response is incomplete.
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()
            if not self._keeps_alive and not connection.trailing_data[0]:
                pending = await _read_buffered(reader)
                if not pending:
                    return
                connection.receive_data(pending)

    async def _handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
    ) -> None:
        # A client that disconnects must free its group's slot at once, so the socket is
        # watched while the handler runs, and the handler is cancelled.
        handler_task = asyncio.ensure_future(self._handler(request, exchange))
        disconnect_task = asyncio.ensure_future(_watch_disconnect(connection, reader))
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

    async def _receive(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: Hold,
        *,
        is_reused: bool,
        is_refused: bool,
    ) -> HttpRequest | None:
        if not connection.trailing_data[0]:
            first_bytes = await self._read_first_bytes(reader, is_reused=is_reused)
            if first_bytes == b"":
                return None
            connection.receive_data(first_bytes)
        hold.record_begin(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(self._limits.receive_seconds) as limit:
                self._receiving[hold] = limit
                return await self._read_request(
                    connection, reader, writer, hold, is_refused=is_refused
                )
        except TimeoutError:
            raise _UnreadableRequest(
                BadInput(
                    status=408,
                    reason="slow_sender",
                    detail="The request did not arrive in time.",
                )
            ) from None
        finally:
            self._receiving.pop(hold, None)

    async def _read_first_bytes(
        self, reader: asyncio.StreamReader, *, is_reused: bool
    ) -> bytes:
        task = asyncio.current_task()
        assert task is not None
        if is_reused:
            self._idle[task] = None
        try:
            async with asyncio.timeout(self._limits.idle_seconds):
                return await reader.read(READ_SIZE)
        except TimeoutError:
            return await _read_buffered(reader)
        except asyncio.CancelledError:
            if self._refuses_requests or self._is_closing:
                raise
            task.uncancel()
            buffered = await _read_buffered(reader)
            if buffered:
                self._evicted.discard(task)
            return buffered
        finally:
            self._idle.pop(task, None)

    async def _read_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: Hold,
        *,
        is_refused: bool,
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                raise _UnreadableRequest(_describe_protocol_error(error)) from error
            match event:
                case h11.NEED_DATA:
                    if connection.they_are_waiting_for_100_continue:
                        proceed = h11.InformationalResponse(status_code=100, headers=[])
                        writer.write(connection.send(proceed) or b"")
                    connection.receive_data(await reader.read(READ_SIZE))
                case h11.Request():
                    head = event
                    self._check_head(head)
                    if is_refused:
                        raise _no_room("too_many_connections", MIN_RETRY_SECONDS)
                    hold.announced = _content_length(head)
                    self._reserve(hold, hold.announced)
                case h11.Data():
                    body += event.data
                    hold.record_received(len(body))
                    self._reserve(hold, len(body))
                case h11.EndOfMessage():
                    assert head is not None
                    hold.record_end(asyncio.get_running_loop().time())
                    return _build_request(head, bytes(body))
                case _:
                    return None

    def _reserve(self, hold: Hold, size: int) -> None:
        """Reserve memory for a body of `size` bytes, or refuse its request.

        Bodies that arrive too slowly to be whole in time make room for others.
        """
        if size > self._limits.body_bytes:
            detail = f"At most {self._limits.body_bytes} bytes."
            raise _UnreadableRequest(
                BadInput(status=413, reason="body_too_large", detail=detail)
            )
        if hold.try_reserve(size):
            return
        now = asyncio.get_running_loop().time()
        for hopeless in self._memory.hopeless_holds(now):
            if hopeless is not hold and hopeless in self._receiving:
                self._receiving.pop(hopeless).reschedule(now)
                hopeless.release(now)
        if not hold.try_reserve(size):
            wait = self._memory.seconds_until_room(size - hold.size, now)
            raise _no_room("bodies_exceed_memory", wait)

    def _check_head(self, head: h11.Request) -> None:
        if head.method == b"CONNECT":
            raise _UnreadableRequest(
                BadInput(
                    status=405,
                    reason="method_not_allowed",
                    detail="This is no proxy for connections.",
                )
            )
        # h11 limits only headers that arrive in parts.
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.header_bytes:
            raise _UnreadableRequest(_too_large_headers())


def _no_room(reason: str, retry_after: float) -> _UnreadableRequest:
    return _UnreadableRequest(
        BadInput(
            status=503,
            reason=reason,
            detail="Too many requests are in progress.",
            retry_after=max(MIN_RETRY_SECONDS, retry_after),
        )
    )


def _content_length(head: h11.Request) -> int:
    """Return the announced length of a body, 0 if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _too_large_headers() -> BadInput:
    return BadInput(
        status=431, reason="headers_too_large", detail="The headers are too large."
    )


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    return HttpRequest(
        method=head.method.decode("latin-1"),
        target=head.target.decode("latin-1"),
        headers=decode_headers(head.headers),
        body=body,
        header_list=list_headers(head.headers),
    )


def _describe_protocol_error(error: h11.RemoteProtocolError) -> BadInput:
    if error.error_status_hint == 431:
        return _too_large_headers()
    return BadInput(status=400, reason="malformed_http", detail=str(error))


async def _read_buffered(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes that were already received, without waiting for more.

    They may be a request that arrived in the same pass of the event loop in which the
    connection was to close, or after its last response; it must still be answered.
    """
    try:
        async with asyncio.timeout(0):
            return await reader.read(READ_SIZE)
    except TimeoutError:
        return b""


async def _discard_rest(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limit: int
) -> None:
    """Discard what a client still sends of a request that was refused early.

    A close with unread bytes resets the connection, and the client may lose the answer.
    """
    with contextlib.suppress(TimeoutError, OSError):
        writer.write_eof()
        async with asyncio.timeout(LINGER_SECONDS):
            while limit > 0 and (data := await reader.read(READ_SIZE)):
                limit -= len(data)


async def _watch_disconnect(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> None:
    """Return when the client disconnects; buffer a bounded part of its next request."""
    buffered = 0
    while buffered < READ_SIZE:
        try:
            data = await reader.read(READ_SIZE)
        except ConnectionError:
            return
        if not data:
            return
        buffered += len(data)
        connection.receive_data(data)
    await asyncio.Event().wait()
