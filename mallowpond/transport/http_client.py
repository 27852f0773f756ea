"""HTTP/1.1 client on h11 that reports in which phase a call failed."""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

import h11

from mallowpond.state.payload_memory import Hold, PayloadMemory
from mallowpond.state.process_limits import DEFAULT_LIMITS, ProcessLimits
from mallowpond.transport.connector import (
    Connected,
    ConnectFailed,
    Connector,
    DirectConnector,
)
from mallowpond.transport.headers import decode_headers, list_headers
from mallowpond.transport.timeouts import lag_tolerant_timeout

READ_SIZE = 65536
MAX_IDLE_PER_SERVER = 32
# Interval between looks for idle connections that nobody will use again, in seconds,
# and the time without use after which a connection is one of them.
SWEEP_SECONDS = 1.0
MAX_IDLE_SECONDS = 60.0
# Fraction of a server's announced keep-alive timeout during which an idle connection
# is reused.
KEEP_ALIVE_FRACTION = 0.75
# Number of responses to earlier requests at which a request fails.
MAX_STALE_RESPONSES = 4
# Time without an answer on a reused connection after which a caller that gives up has
# the other idle ones to that server closed, in seconds: all may be silent.
SILENT_SECONDS = 0.3
# Interval between looks for memory while an answer waits for it, in seconds.
ROOM_POLL_SECONDS = 0.02
# Largest body that is read whole: a server may send bytes without end.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Largest body that is sent in one write with its headers.
MAX_JOINED_BODY_BYTES = 16 * 1024
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE"})
# Longer numbers may overflow a float, so the header then counts as absent.
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,9})(?![0-9])")
Headers = tuple[tuple[str, str], ...]


class FailurePhase(str, Enum):
    """Phase in which a call failed.

    `BEFORE_HEAD` is the wait for the response head; the timeouts of `fetch` and
    `fetch_response` are reported as this phase, too. `SEND` is not used by this client.
    """

    CONNECT = "connect"
    CLOSED_BEFORE_SEND = "closed_before_send"
    SEND = "send"
    BEFORE_HEAD = "before_head"
    BODY = "body"


@dataclass(frozen=True, kw_only=True)
class CallFailed:
    """Describe a failed call: the phase it failed in and the reason.

    `is_silent` tells a timeout from a refused, closed or reset connection.
    """

    phase: FailurePhase
    reason: str
    is_silent: bool = False

    @property
    def may_have_sent(self) -> bool:
        """Return whether any byte of the request may have left this host."""
        return self.phase not in (
            FailurePhase.CONNECT,
            FailurePhase.CLOSED_BEFORE_SEND,
        )


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Bytes of a response body; chunks that arrived together are merged."""

    data: bytes


@dataclass(frozen=True, kw_only=True)
class End:
    """The response is complete."""


BodyEvent = Chunk | End | CallFailed


@dataclass(kw_only=True, eq=False)
class _Connection:
    address: str
    opened: Connected
    state: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    reusable_until: float = float("inf")
    # Whether a request without an echoed header was sent on it.
    had_unmarked_request: bool = False
    opened_at: float = field(default_factory=time.monotonic)
    released_at: float = 0.0

    @property
    def reader(self) -> asyncio.StreamReader:
        return self.opened.reader

    @property
    def writer(self) -> asyncio.StreamWriter:
        return self.opened.writer

    async def read(self) -> bytes:
        """Return the next bytes of the server, b"" at the end of the connection."""
        activity, data, is_reset = self.opened.activity, b"", False
        activity.begin_wait(id(self), self.address)
        try:
            data = await self.reader.read(READ_SIZE)
        except ConnectionError:
            is_reset = True
            raise
        finally:
            activity.end_wait(id(self), is_heard=bool(data), is_reset=is_reset)
        return data

    @property
    def is_usable(self) -> bool:
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        if time.monotonic() > self.reusable_until:
            return False
        if self.writer.transport.get_write_buffer_size() > 0:
            # The server answered before it read the whole request body; it would take
            # the next request for the rest of that body.
            return False
        # Bytes after a complete response belong to no request; the next caller on
        # this connection would receive them as its response.
        return not (self.reader._buffer or self.state.trailing_data[0])

    def abort(self) -> None:
        self.writer.transport.abort()


class _SilenceWatch:
    """Aborts a connection from which nothing is read for `seconds`.

    Bytes that arrive while the consumer of the body is busy do not count until they are
    read. One timer is rearmed when it fires; a read only records the time.
    """

    def __init__(self, *, connection: _Connection, seconds: float | None) -> None:
        self._connection = connection
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._last_data_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        if seconds is not None:
            self._timer = self._loop.call_later(seconds, self._check)

    def on_data(self) -> None:
        """Record that bytes were read."""
        self._last_data_at = self._loop.time()

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        left = self._last_data_at + (self._seconds or 0.0) - self._loop.time()
        if left <= 0:
            # The next read returns the end of the stream, so the response fails, unless
            # its body is delimited by the end of the connection: it then ends there.
            self._connection.abort()
            return
        self._timer = self._loop.call_later(left, self._check)


class HttpResponse:
    """A response whose head has arrived and whose body is read as a stream.

    Closing it before the end aborts its connection instead of reusing it.
    """

    def __init__(
        self, *, head: h11.Response, connection: _Connection, client: "HttpClient"
    ) -> None:
        self._connection = connection
        self._client = client
        self._is_complete = False
        self.status = head.status_code
        self.headers = decode_headers(head.headers)
        self.header_list = list_headers(head.headers)

    @property
    def has_marked_end(self) -> bool:
        """Return whether a length or chunks tell where the body ends.

        Otherwise the close of the connection ends it, as a crash of the server does.
        """
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    async def events(
        self, silence_seconds: float | None = None
    ) -> AsyncIterator[BodyEvent]:
        """Yield chunks, then one `End` or `CallFailed`.

        The connection is aborted if nothing is read for `silence_seconds`, which
        include the time that the caller takes between two chunks. The response then
        fails, unless its body is delimited by the end of the connection.
        """
        watch = _SilenceWatch(connection=self._connection, seconds=silence_seconds)
        try:
            async for event in self._events(watch):
                yield event
        finally:
            watch.close()

    async def _events(self, watch: "_SilenceWatch") -> AsyncIterator[BodyEvent]:
        state = self._connection.state
        pending = bytearray()
        while True:
            try:
                event = state.next_event()
            except h11.RemoteProtocolError as error:
                event = CallFailed(phase=FailurePhase.BODY, reason=str(error))
            match event:
                case h11.Data():
                    pending += event.data
                    continue
                case h11.NEED_DATA if not pending:
                    try:
                        state.receive_data(await self._connection.read())
                    except ConnectionError as error:
                        yield CallFailed(phase=FailurePhase.BODY, reason=str(error))
                        return
                    watch.on_data()
                    continue
            if pending:
                yield Chunk(data=bytes(pending))
                pending.clear()
            match event:
                case h11.EndOfMessage():
                    self._is_complete = True
                    yield End()
                    return
                case CallFailed():
                    yield event
                    return
                case h11.ConnectionClosed() | h11.PAUSED:
                    yield CallFailed(phase=FailurePhase.BODY, reason="closed early")
                    return

    async def read(
        self, limit: int | None = None, *, hold: Hold | None = None
    ) -> bytes | CallFailed:
        """Return the whole body.

        It fails above `limit` bytes, or what the memory allows at most, and waits for
        room if other bodies use it; the server then waits, too. A caller that keeps the
        body passes the `hold` that its bytes are counted in until it is released.
        """
        now = time.monotonic()
        limit = min(MAX_BODY_BYTES, self._client.memory.max_body_bytes, limit or inf)
        counted = hold or self._client.memory.open(now=now)
        before, body = counted.size, bytearray()
        try:
            async for event in self.events():
                match event:
                    case Chunk(data=data):
                        size = len(body) + len(data)
                        if size > limit:
                            return CallFailed(
                                phase=FailurePhase.BODY, reason="too large"
                            )
                        while not counted.try_reserve(before + size):
                            await asyncio.sleep(ROOM_POLL_SECONDS)
                        body += data
                    case CallFailed():
                        return event
            return bytes(body)
        finally:
            if hold is None:
                counted.release(time.monotonic())

    def close(self) -> None:
        """Release the connection for reuse; abort it if the response is incomplete."""
        # On a connection with unread bytes, the next caller would receive the rest of
        # this response, and responses would no longer match their requests.
        if self._is_complete and self._connection.state.our_state is h11.DONE:
            self._connection.reusable_until = _reusable_until(self.headers)
            self._client.release(self._connection)
        else:
            self._connection.abort()


@dataclass(frozen=True, kw_only=True)
class BufferedResponse:
    """A response that was read completely."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """HTTP client with a pool of idle connections for each server."""

    def __init__(
        self,
        *,
        connect_seconds: float = 1.0,
        connector: Connector | None = None,
        memory: PayloadMemory | None = None,
        process_limits: ProcessLimits = DEFAULT_LIMITS,
    ) -> None:
        self._connector = connector or DirectConnector(connect_seconds=connect_seconds)
        self.memory = memory or PayloadMemory(max_bytes=process_limits.payload_bytes)
        self._max_idle = process_limits.idle_connections
        # By server, in the order of their last use.
        self._idle: dict[str, list[_Connection]] = {}
        self._idle_count = 0
        self._swept_at = time.monotonic()
        self._closed = False

    def use_connector(self, connector: Connector) -> None:
        """Open new connections through `connector`."""
        self._connector = connector

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        new_connection: bool = False,
        echo: tuple[str, str] | None = None,
        on_connected: Callable[[str], None] | None = None,
        on_connection_age: Callable[[float], None] | None = None,
    ) -> HttpResponse | CallFailed:
        """Send a request and return when the head of the response has arrived.

        `echo` is a header name and value that the server copies from the request. A
        response with another value belongs to an earlier request and is skipped; so is
        one without the header if a request without it was sent on the connection.

        With `new_connection` no idle connection is reused: a server may close one
        while the request is being sent; it is then unknown whether the request ran.

        `on_connected` gets the name of the host that the connection leads through, ""
        if it is direct, just before the request is sent. `on_connection_age` gets the
        seconds since the connection was opened.
        """
        connection = None if new_connection else self._take_idle(address)
        is_reused, began = connection is not None, time.monotonic()
        if connection is None:
            connected = await self._connect(address)
            if isinstance(connected, CallFailed):
                return connected
            connection = connected
        if on_connected is not None:
            on_connected(connection.opened.proxy)
        if on_connection_age is not None:
            on_connection_age(time.monotonic() - connection.opened_at)
        try:
            parts = _start_request(connection, method, target, headers, body)
            response = await _exchange(connection, parts)
            if echo is None:
                connection.had_unmarked_request = True
            else:
                response = await _skip_stale_responses(
                    connection, response, method, target, headers, body, echo
                )
        except BaseException:
            connection.abort()
            if is_reused and time.monotonic() - began > SILENT_SECONDS:
                self._discard_idle(address)
            raise
        if isinstance(response, CallFailed):
            connection.abort()
            # Idle connections to the server may have failed with this one.
            self._discard_idle(address)
            return response
        return HttpResponse(head=response, connection=connection, client=self)

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> tuple[int, bytes] | CallFailed:
        """Send a request; return status and whole body within `timeout` seconds."""
        response = await self.fetch_response(
            address, method, target, headers=headers, body=body, timeout=timeout
        )
        return (
            response
            if isinstance(response, CallFailed)
            else (response.status, response.body)
        )

    async def fetch_response(
        self,
        address: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout: float = 5.0,
        new_connection: bool = False,
        on_connection_age: Callable[[float], None] | None = None,
    ) -> BufferedResponse | CallFailed:
        """Send a request; return the whole response within `timeout` seconds."""
        response: HttpResponse | CallFailed | None = None
        try:
            async with lag_tolerant_timeout(timeout):
                response = await self.send(
                    address,
                    method,
                    target,
                    headers=headers,
                    body=body,
                    new_connection=new_connection,
                    on_connection_age=on_connection_age,
                )
                if isinstance(response, CallFailed):
                    return response
                data = await response.read()
        except TimeoutError:
            # Idle connections to the server may be silent for the same reason.
            self._discard_idle(address)
            # The phase is not known here. Bytes of the request may have left, unless
            # `timeout` is too short for connecting.
            return CallFailed(
                phase=FailurePhase.BEFORE_HEAD, reason="timeout", is_silent=True
            )
        finally:
            if isinstance(response, HttpResponse):
                response.close()
        if isinstance(data, CallFailed):
            return data
        return BufferedResponse(
            status=response.status, headers=response.headers, body=data
        )

    def release(self, connection: _Connection) -> None:
        """Return a connection to the pool for the next request to its server."""
        now = time.monotonic()
        if now - self._swept_at > SWEEP_SECONDS:
            self._sweep(now)
        idle = self._idle.pop(connection.address, [])
        self._idle[connection.address] = idle
        if self._closed or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.abort()
            return
        try:
            connection.state.start_next_cycle()
        except h11.LocalProtocolError:
            connection.abort()
            return
        connection.released_at = now
        idle.append(connection)
        self._idle_count += 1
        if self._idle_count > self._max_idle:
            self._evict_oldest()

    def _sweep(self, now: float) -> None:
        """Close idle connections that their server closed or that are out of use.

        A server that is gone gets no further request, which would find them.
        """
        self._swept_at = now
        for address, connections in list(self._idle.items()):
            kept = []
            for connection in connections:
                is_recent = now - connection.released_at < MAX_IDLE_SECONDS
                if is_recent and connection.is_usable:
                    kept.append(connection)
                else:
                    connection.abort()
            self._idle_count -= len(connections) - len(kept)
            if kept:
                connections[:] = kept
            else:
                del self._idle[address]

    def _evict_oldest(self) -> None:
        """Close an idle connection to the server that was used least recently."""
        connections = next(found for found in self._idle.values() if found)
        connections.pop(0).abort()
        self._idle_count -= 1

    async def close(self) -> None:
        """Close every idle connection."""
        self._closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()
        self._idle_count = 0

    def _take_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            self._idle_count -= 1
            if connection.is_usable and connection.opened.may_reuse():
                return connection
            connection.abort()
        return None

    def _discard_idle(self, address: str) -> None:
        connections = self._idle.pop(address, [])
        self._idle_count -= len(connections)
        for connection in connections:
            connection.abort()

    async def _connect(self, address: str) -> _Connection | CallFailed:
        opened = await self._connector.connect(address)
        if isinstance(opened, ConnectFailed):
            return CallFailed(
                phase=FailurePhase.CONNECT,
                reason=opened.reason,
                is_silent=not opened.is_refused,
            )
        return _Connection(address=address, opened=opened)


def _reusable_until(headers: dict[str, str]) -> float:
    found = KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
    if found is None:
        return float("inf")
    return time.monotonic() + KEEP_ALIVE_FRACTION * int(found.group(1))


def _start_request(
    connection: _Connection, method: str, target: str, headers: Headers, body: bytes
) -> list[bytes]:
    """Return the bytes of a request; a large body is not copied into others."""
    names = {name for name, _ in headers}
    fixed = () if "host" in names else (("host", connection.address),)
    if body or method not in METHODS_WITHOUT_BODY:
        fixed = (*fixed, ("content-length", str(len(body))))
    request = h11.Request(method=method, target=target, headers=fixed + headers)
    state = connection.state
    parts = [
        state.send(request) or b"",
        state.send(h11.Data(data=body)) or b"",
        state.send(h11.EndOfMessage()) or b"",
    ]
    if len(body) <= MAX_JOINED_BODY_BYTES:
        return [b"".join(parts)]
    return [part for part in parts if part]


async def _exchange(
    connection: _Connection, parts: list[bytes]
) -> h11.Response | CallFailed:
    if not connection.is_usable:
        return CallFailed(phase=FailurePhase.CLOSED_BEFORE_SEND, reason="closed")
    # No drain: a server may answer before it has read a long body, and waiting for
    # the body to go out would delay that response until the timeout.
    for part in parts:
        connection.writer.write(part)
    parts.clear()
    try:
        return await _read_head(connection)
    except (ConnectionError, h11.RemoteProtocolError) as error:
        return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason=str(error))


async def _skip_stale_responses(
    connection: _Connection,
    response: h11.Response | CallFailed,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    echo: tuple[str, str],
) -> h11.Response | CallFailed:
    """Skip responses to earlier requests that arrive late on a reused connection.

    After each of them a new h11 state is given the request, so that it can parse the
    next response; nothing is sent to the server again.
    """
    name, value = echo
    for _ in range(MAX_STALE_RESPONSES):
        if isinstance(response, CallFailed):
            return response
        found = decode_headers(response.headers).get(name)
        if found == value or (found is None and not connection.had_unmarked_request):
            return response
        try:
            rest = await _skip_body(connection)
            connection.state = h11.Connection(h11.CLIENT)
            _start_request(connection, method, target, headers, body)
            if rest:
                # h11 takes empty data as the end of the connection.
                connection.state.receive_data(rest)
            response = await _read_head(connection)
        except (ConnectionError, h11.ProtocolError) as error:
            return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason=str(error))
    return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="stale responses")


async def _skip_body(connection: _Connection) -> bytes:
    """Read a response to its end and return the bytes that follow it."""
    while True:
        event = connection.state.next_event()
        match event:
            case h11.NEED_DATA:
                connection.state.receive_data(await connection.read())
            case h11.EndOfMessage():
                return connection.state.trailing_data[0]
            case h11.ConnectionClosed() | h11.PAUSED:
                raise ConnectionResetError("no further response")


async def _read_head(connection: _Connection) -> h11.Response | CallFailed:
    while True:
        event = connection.state.next_event()
        match event:
            case h11.NEED_DATA:
                connection.state.receive_data(await connection.read())
            case h11.Response():
                return event
            case h11.ConnectionClosed():
                return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="closed")
            case h11.PAUSED:
                # No more events would come, and the loop would never wait.
                return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="paused")
