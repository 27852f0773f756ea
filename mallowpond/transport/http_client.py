"""Call HTTP/1.1 servers with h11 and tell exactly how far a call came."""

import asyncio
import re
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum

import h11

from mallowpond.transport.headers import decode_headers, list_headers
from mallowpond.transport.timeouts import answer_timeout

READ_SIZE = 65536
MAX_IDLE_PER_ADDRESS = 32
# Share of a server's announced idle timeout up to which a connection is used again.
IDLE_SHARE = 0.75
# Answers to earlier requests that are skipped on one connection, at most.
MAX_SKIPPED_ANSWERS = 4
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE"})
# A number of more digits, which may not fit into a time, counts as none.
KEEP_ALIVE_SECONDS = re.compile(r"timeout=([0-9]{1,9})(?![0-9])")
Headers = tuple[tuple[str, str], ...]


class FailurePhase(str, Enum):
    """Say where on its way a call failed."""

    CONNECT = "connect"
    CLOSED_BEFORE_SEND = "closed_before_send"
    SEND = "send"
    BEFORE_HEAD = "before_head"
    BODY = "body"


@dataclass(frozen=True, kw_only=True)
class CallFailed:
    """Describe a failed call: the phase it failed in and the reason."""

    phase: FailurePhase
    reason: str

    @property
    def may_have_sent(self) -> bool:
        """Return whether any byte of the request may have left this host."""
        return self.phase not in (
            FailurePhase.CONNECT,
            FailurePhase.CLOSED_BEFORE_SEND,
        )


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Carry bytes of an answer; chunks that arrived together come as one."""

    data: bytes


@dataclass(frozen=True, kw_only=True)
class End:
    """Mark that the answer arrived whole."""


BodyEvent = Chunk | End | CallFailed


@dataclass(kw_only=True)
class _Connection:
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    state: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    reusable_until: float = float("inf")

    @property
    def is_usable(self) -> bool:
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        if time.monotonic() > self.reusable_until:
            return False
        if self.writer.transport.get_write_buffer_size() > 0:
            # The server answered before it read the whole body; a next request
            # would stand where the rest of that body is due.
            return False
        # Bytes that came after a whole answer belong to no request: the next
        # caller on this connection would be given them as its own answer.
        return not (self.reader._buffer or self.state.trailing_data[0])

    def abort(self) -> None:
        self.writer.transport.abort()


class _SilenceWatch:
    """Abort a connection that falls silent, at no cost for each chunk."""

    def __init__(self, *, connection: _Connection, seconds: float | None) -> None:
        self._connection = connection
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        if seconds is not None:
            self._timer = self._loop.call_later(seconds, self._look)

    def note(self) -> None:
        """Note that bytes came."""
        self._heard_at = self._loop.time()

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        left = self._heard_at + (self._seconds or 0.0) - self._loop.time()
        if left <= 0:
            # The reader wakes with the end of the stream, short of its own end.
            self._connection.abort()
            return
        self._timer = self._loop.call_later(left, self._look)


class HttpResponse:
    """Read one answer; closing it early drops the connection, never reuses it."""

    def __init__(
        self, *, head: h11.Response, connection: _Connection, client: "HttpClient"
    ) -> None:
        self._connection = connection
        self._client = client
        self._done = False
        self.status = head.status_code
        self.headers = decode_headers(head.headers)
        self.header_list = list_headers(head.headers)

    async def events(
        self, silence_seconds: float | None = None
    ) -> AsyncIterator[BodyEvent]:
        """Yield chunks, then one `End` or `CallFailed`; a silent body fails."""
        watch = _SilenceWatch(connection=self._connection, seconds=silence_seconds)
        try:
            async for event in self._events(watch):
                yield event
        finally:
            watch.close()

    async def _events(self, watch: "_SilenceWatch") -> AsyncIterator[BodyEvent]:
        state, reader = self._connection.state, self._connection.reader
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
                        state.receive_data(await reader.read(READ_SIZE))
                    except ConnectionError as error:
                        yield CallFailed(phase=FailurePhase.BODY, reason=str(error))
                        return
                    watch.note()
                    continue
            if pending:
                yield Chunk(data=bytes(pending))
                pending.clear()
            match event:
                case h11.EndOfMessage():
                    self._done = True
                    yield End()
                    return
                case CallFailed():
                    yield event
                    return
                case h11.ConnectionClosed():
                    yield CallFailed(phase=FailurePhase.BODY, reason="closed early")
                    return

    async def read(self, limit: int = 64 * 1024 * 1024) -> bytes | CallFailed:
        """Return the whole body."""
        body = bytearray()
        async for event in self.events():
            match event:
                case Chunk(data=data):
                    body += data
                    if len(body) > limit:
                        return CallFailed(phase=FailurePhase.BODY, reason="too large")
                case CallFailed():
                    return event
        return bytes(body)

    def close(self) -> None:
        """Give the connection back when the answer was whole, else drop it."""
        # A connection with an unread rest would hand one caller's late answer to
        # the next caller; one would notice it by answers that do not match.
        if self._done and self._connection.state.our_state is h11.DONE:
            self._connection.reusable_until = _reusable_until(self.headers)
            self._client.give_back(self._connection)
        else:
            self._connection.abort()


@dataclass(frozen=True, kw_only=True)
class BufferedResponse:
    """Hold one answer, read to its end."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Keep connections to many servers."""

    def __init__(self, *, connect_seconds: float = 1.0) -> None:
        self._connect_seconds = connect_seconds
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._closed = False

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        fresh: bool = False,
        echo: tuple[str, str] | None = None,
    ) -> HttpResponse | CallFailed:
        """Send a request and return once the head of the answer is here.

        An answer whose header `echo` has another value belongs to an earlier request
        and is skipped.

        `fresh` opens a connection of its own: a server may close an idle one while
        the request is being sent, and then it is unknown whether the request ran.
        """
        connection = None if fresh else self._take(address)
        if connection is None:
            opened = await self._open(address)
            if isinstance(opened, CallFailed):
                return opened
            connection = opened
        try:
            data = _start_request(connection, method, target, headers, body)
            answer = await _exchange(connection, data)
            if echo is not None:
                answer = await _own_answer(
                    connection, answer, method, target, headers, body, echo
                )
        except BaseException:
            connection.abort()
            raise
        if isinstance(answer, CallFailed):
            connection.abort()
            return answer
        return HttpResponse(head=answer, connection=connection, client=self)

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
        """Send a request and return status and whole body, within `timeout`."""
        answer = await self.fetch_response(
            address, method, target, headers=headers, body=body, timeout=timeout
        )
        return (
            answer if isinstance(answer, CallFailed) else (answer.status, answer.body)
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
    ) -> BufferedResponse | CallFailed:
        """Send a request and return its whole answer, within `timeout`."""
        response: HttpResponse | CallFailed | None = None
        try:
            async with answer_timeout(timeout):
                response = await self.send(
                    address, method, target, headers=headers, body=body
                )
                if isinstance(response, CallFailed):
                    return response
                data = await response.read()
        except TimeoutError:
            # The connection itself is opened under a shorter limit of its own, so
            # a timeout here means that bytes may have left.
            return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="timeout")
        finally:
            if isinstance(response, HttpResponse):
                response.close()
        if isinstance(data, CallFailed):
            return data
        return BufferedResponse(
            status=response.status, headers=response.headers, body=data
        )

    def give_back(self, connection: _Connection) -> None:
        """Keep a connection for the next request to its server."""
        idle = self._idle[connection.address]
        if self._closed or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        try:
            connection.state.start_next_cycle()
        except h11.LocalProtocolError:
            connection.abort()
            return
        idle.append(connection)

    async def close(self) -> None:
        """Drop every kept connection."""
        self._closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def _take(self, address: str) -> _Connection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> _Connection | CallFailed:
        host, _, port = address.rpartition(":")
        try:
            async with answer_timeout(self._connect_seconds):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            reason = str(error) or "connect timeout"
            return CallFailed(phase=FailurePhase.CONNECT, reason=reason)
        return _Connection(address=address, reader=reader, writer=writer)


def _reusable_until(headers: dict[str, str]) -> float:
    found = KEEP_ALIVE_SECONDS.search(headers.get("keep-alive", ""))
    if found is None:
        return float("inf")
    return time.monotonic() + IDLE_SHARE * int(found.group(1))


def _start_request(
    connection: _Connection, method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    given = {name for name, _ in headers}
    fixed = () if "host" in given else (("host", connection.address),)
    if body or method not in METHODS_WITHOUT_BODY:
        fixed = (*fixed, ("content-length", str(len(body))))
    request = h11.Request(method=method, target=target, headers=fixed + headers)
    state = connection.state
    data = state.send(request) or b""
    data += state.send(h11.Data(data=body)) or b""
    return data + (state.send(h11.EndOfMessage()) or b"")


async def _exchange(connection: _Connection, data: bytes) -> h11.Response | CallFailed:
    if not connection.is_usable:
        return CallFailed(phase=FailurePhase.CLOSED_BEFORE_SEND, reason="closed")
    # Nothing waits for the body to go out: a server may answer before it has read
    # a long body, and waiting would hold that answer until the timeout.
    connection.writer.write(data)
    try:
        return await _read_head(connection)
    except (ConnectionError, h11.RemoteProtocolError) as error:
        return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason=str(error))


async def _own_answer(
    connection: _Connection,
    answer: h11.Response | CallFailed,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    echo: tuple[str, str],
) -> h11.Response | CallFailed:
    """Skip answers to earlier requests that came late on a kept connection."""
    name, value = echo
    for _ in range(MAX_SKIPPED_ANSWERS):
        if isinstance(answer, CallFailed):
            return answer
        if decode_headers(answer.headers).get(name, value) == value:
            return answer
        try:
            rest = await _skip_body(connection)
            connection.state = h11.Connection(h11.CLIENT)
            _start_request(connection, method, target, headers, body)
            connection.state.receive_data(rest)
            answer = await _read_head(connection)
        except (ConnectionError, h11.ProtocolError) as error:
            return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason=str(error))
    return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="answers of others")


async def _skip_body(connection: _Connection) -> bytes:
    """Read an answer to its end and return the bytes that follow it."""
    while True:
        event = connection.state.next_event()
        match event:
            case h11.NEED_DATA:
                data = await connection.reader.read(READ_SIZE)
                connection.state.receive_data(data)
            case h11.EndOfMessage():
                return connection.state.trailing_data[0]


async def _read_head(connection: _Connection) -> h11.Response | CallFailed:
    while True:
        event = connection.state.next_event()
        match event:
            case h11.NEED_DATA:
                connection.state.receive_data(await connection.reader.read(READ_SIZE))
            case h11.Response():
                return event
            case h11.ConnectionClosed():
                return CallFailed(phase=FailurePhase.BEFORE_HEAD, reason="closed")
