"""Meet HTTP/1.1 clients with h11 on asyncio streams."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11

from mallowpond.transport.headers import decode_headers, list_headers

READ_SIZE = 65536
MAX_HEADER_BYTES = 16384
# Time in which answers that were handed over whole may still go out when the server
# closes, in seconds: less than the 0.7 s that a stopping node keeps for closing.
FLUSH_SECONDS = 0.5
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Bound what one client may make the server hold or wait for."""

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = 4 * 1024 * 1024
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    send_seconds: float = 30.0


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """Hold one request, its body read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    header_list: Headers = ()

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, kw_only=True)
class BadInput:
    """Tell why a request could not be read."""

    status: int
    reason: str
    detail: str


class ClientDisconnected(Exception):
    """The client closed its connection before the answer was complete."""


@dataclass(kw_only=True)
class Exchange:
    """Answer one request; an answer left open is cut, never ended as if whole.

    `earlier` counts the requests that came before on the same connection.
    """

    _connection: h11.Connection
    _writer: asyncio.StreamWriter
    _send_seconds: float
    earlier: int = 0
    started: bool = field(default=False, init=False)
    finished: bool = field(default=False, init=False)
    _close_after: bool = field(default=False, init=False)

    def close_after(self) -> None:
        """Tell the client that its connection closes after this answer."""
        self._close_after = True

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (),
        content_type: str | None = "application/json",
    ) -> None:
        """Send a whole answer; with no `content_type` only `headers` describe it."""
        fixed = (("content-length", str(len(body))),)
        if content_type is not None:
            fixed = (("content-type", content_type), *fixed)
        data = self._head(status, headers + fixed)
        data += self._connection.send(h11.Data(data=body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        self.finished = True
        await self._write(data)

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a chunked answer."""
        await self._write(self._head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send one part of a chunked answer."""
        await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Mark a chunked answer as whole."""
        self.finished = True
        await self._write(self._connection.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._close_after:
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
            # All of it went out: waiting would only cost time on every chunk.
            return
        try:
            # A client that stops reading would hold its stream's memory and its
            # group's slot for ever; one notices it by slots that never free.
            async with asyncio.timeout(self._send_seconds):
                await self._writer.drain()
        except (ConnectionError, TimeoutError) as error:
            raise ClientDisconnected from error


Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]
BadInputHandler = Callable[[BadInput, Exchange], Awaitable[None]]


async def _plain_bad_input(bad: BadInput, exchange: Exchange) -> None:
    await exchange.respond(bad.status, bad.detail.encode(), content_type="text/plain")


class _Unreadable(Exception):
    def __init__(self, bad: BadInput) -> None:
        super().__init__(bad.detail)
        self.bad = bad


class HttpServer:
    """Serve one handler on one address."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits = ServerLimits(),
        on_bad_input: BadInputHandler = _plain_bad_input,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_bad_input = on_bad_input
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._busy: dict[asyncio.Task[None], Exchange] = {}
        self._idle: set[asyncio.Task[None]] = set()
        self._parting: set[asyncio.Task[None]] = set()
        self._cut: set[asyncio.Task[None]] = set()
        self._refuses_requests = False
        self._keeps_connections = True
        self._is_closing = False

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    @property
    def is_busy(self) -> bool:
        """Tell whether a request was read whole and its answer has not gone out."""
        return bool(self._busy or self._parting)

    def set_limits(self, limits: ServerLimits) -> None:
        """Apply new limits to everything that is read from now on."""
        self._limits = limits

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Serve an address, or a socket that listens; port 0 takes any free one."""
        where = {"host": host, "port": port} if listener is None else {"sock": listener}
        self._server = await asyncio.start_server(
            self._accept, limit=READ_SIZE, backlog=1024, **where
        )

    def disable_keep_alive(self) -> None:
        """Let a connection carry one request only; close those that wait for another.

        A connection whose answer began before a stop was announced does not know of it:
        kept, it brought requests to a process until its end, which cut them off, while
        new connections went elsewhere.
        """
        self._keeps_connections = False
        for task in list(self._idle):
            task.cancel()

    def refuse_new_requests(self) -> None:
        """Take no further request; those in progress go on.

        Without this, a request that came between the end of the last one and the
        close of the server was passed on and cut off.
        """
        self._refuses_requests = True
        if self._server is not None:
            self._server.close()
        # Cancelled, a connection that is being closed would drop the end of its answer.
        for task in self._connections - self._busy.keys() - self._parting:
            task.cancel()

    async def close(self) -> None:
        """Stop listening, cut answers in progress, and let whole ones go out."""
        if self._server is not None:
            self._server.close()
        self._is_closing = True
        self._cut = {task for task, each in self._busy.items() if not each.finished}
        for task in self._connections - self._parting:
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections, timeout=FLUSH_SECONDS)
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._converse(reader, writer)
        except (ConnectionError, asyncio.CancelledError, ClientDisconnected):
            pass
        finally:
            await self._part(task, writer)
            self._connections.discard(task)

    async def _part(
        self, task: asyncio.Task[None], writer: asyncio.StreamWriter
    ) -> None:
        """Close a connection once what was written has gone out.

        A handler ends while up to 64 KiB of its answer stand in the buffer. Dropped
        with the connection, the caller of a slow link got a part of a whole answer.
        """
        if task in self._cut:
            writer.transport.abort()
            return
        self._parting.add(task)
        writer.close()
        try:
            async with asyncio.timeout(self._limits.send_seconds):
                await writer.wait_closed()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._parting.discard(task)

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        for earlier in itertools.count():
            if self._refuses_requests or self._is_closing:
                # Accepted in the last pass of the loop, it was not among those that
                # the close ended, and its request was served after it.
                return
            exchange = Exchange(
                _connection=connection,
                _writer=writer,
                _send_seconds=self._limits.send_seconds,
                earlier=earlier,
            )
            try:
                request = await self._receive(
                    connection, reader, writer, is_kept=earlier > 0
                )
            except _Unreadable as unreadable:
                await self._on_bad_input(unreadable.bad, exchange)
                return
            if request is None or self._refuses_requests:
                return
            task = asyncio.current_task()
            assert task is not None
            self._busy[task] = exchange
            try:
                await self._handle(request, exchange, connection, reader)
            finally:
                del self._busy[task]
            if not exchange.finished or connection.our_state is not h11.DONE:
                # No closing chunk goes out: the client sees the answer broken off.
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()
            if not self._keeps_connections and not connection.trailing_data[0]:
                arrived = await _read_arrived(reader)
                if not arrived:
                    return
                connection.receive_data(arrived)

    async def _handle(
        self,
        request: HttpRequest,
        exchange: Exchange,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
    ) -> None:
        # A client that leaves must free its group's slot at once, so the socket
        # is watched while the handler runs and the handler is cancelled.
        work = asyncio.ensure_future(self._handler(request, exchange))
        watch = asyncio.ensure_future(_watch_departure(connection, reader))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel("client gone")
            with contextlib.suppress(asyncio.CancelledError, ClientDisconnected):
                await work
        finally:
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)

    async def _receive(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_kept: bool,
    ) -> HttpRequest | None:
        if not connection.trailing_data[0]:
            first = await self._read_first(reader, is_kept=is_kept)
            if first == b"":
                return None
            connection.receive_data(first)
        try:
            async with asyncio.timeout(self._limits.receive_seconds):
                return await self._read_request(connection, reader, writer)
        except TimeoutError:
            raise _Unreadable(
                BadInput(
                    status=408,
                    reason="slow_sender",
                    detail="The request did not arrive in time.",
                )
            ) from None

    async def _read_first(
        self, reader: asyncio.StreamReader, *, is_kept: bool
    ) -> bytes:
        task = asyncio.current_task()
        assert task is not None
        if is_kept:
            self._idle.add(task)
        try:
            async with asyncio.timeout(self._limits.idle_seconds):
                return await reader.read(READ_SIZE)
        except TimeoutError:
            return await _read_arrived(reader)
        except asyncio.CancelledError:
            if self._refuses_requests or self._is_closing:
                raise
            task.uncancel()
            return await _read_arrived(reader)
        finally:
            self._idle.discard(task)

    async def _read_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                raise _Unreadable(_bad_protocol(error)) from error
            match event:
                case h11.NEED_DATA:
                    if connection.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        writer.write(connection.send(go_on) or b"")
                    connection.receive_data(await reader.read(READ_SIZE))
                case h11.Request():
                    head = event
                    self._check_headers(head)
                case h11.Data():
                    body += event.data
                    if len(body) > self._limits.body_bytes:
                        raise _Unreadable(
                            BadInput(
                                status=413,
                                reason="body_too_large",
                                detail=f"At most {self._limits.body_bytes} bytes.",
                            )
                        )
                case h11.EndOfMessage():
                    assert head is not None
                    return _whole_request(head, bytes(body))
                case _:
                    return None

    def _check_headers(self, head: h11.Request) -> None:
        # h11 limits only headers that arrive in parts.
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.header_bytes:
            raise _Unreadable(_too_large_headers())


def _too_large_headers() -> BadInput:
    return BadInput(
        status=431, reason="headers_too_large", detail="The headers are too large."
    )


def _whole_request(head: h11.Request, body: bytes) -> HttpRequest:
    return HttpRequest(
        method=head.method.decode("latin-1"),
        target=head.target.decode("latin-1"),
        headers=decode_headers(head.headers),
        body=body,
        header_list=list_headers(head.headers),
    )


def _bad_protocol(error: h11.RemoteProtocolError) -> BadInput:
    if error.error_status_hint == 431:
        return _too_large_headers()
    return BadInput(status=400, reason="malformed_http", detail=str(error))


async def _read_arrived(reader: asyncio.StreamReader) -> bytes:
    """Return what has been read from the socket already, nothing if nothing has.

    Dropped with its connection, a request that came in the same pass of the loop as the
    connection's end, or behind its last answer, stayed unanswered.
    """
    try:
        async with asyncio.timeout(0):
            return await reader.read(READ_SIZE)
    except TimeoutError:
        return b""


async def _watch_departure(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> None:
    held = 0
    while held < READ_SIZE:
        try:
            data = await reader.read(READ_SIZE)
        except ConnectionError:
            return
        if not data:
            return
        held += len(data)
        connection.receive_data(data)
    await asyncio.Event().wait()
