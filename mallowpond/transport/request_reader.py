"""Read the requests of one connection, within the limits and the memory."""

import asyncio
import re
from collections.abc import Callable

import h11

from mallowpond.state.payload_memory import COPIES, Hold
from mallowpond.transport.caller_connection import (
    READ_AHEAD_BYTES,
    READ_SIZE,
    CallerConnection,
)
from mallowpond.transport.chunked_body import ChunkDecoder, MalformedChunk
from mallowpond.transport.headers import decode_headers, list_headers
from mallowpond.transport.http_messages import BadInput, HttpRequest, ServerLimits
from mallowpond.transport.turns import Turns

# Shortest time after which a request that found no room may be sent again, in seconds.
MIN_RETRY_SECONDS = 0.3
# Bytes by which a head may exceed the limit of its header fields: the first line, and
# what separates the fields.
HEAD_SLACK_BYTES = 4096
HEAD_END = re.compile(rb"\n\r?\n")
# Smallest byte that a request may begin with.
FIRST_VISIBLE = 0x21
# Memory of a parsed header field beside its text, and of a head that needs no room of
# its own, as it counts as a part of its connection, in bytes.
FIELD_BYTES = 400
USUAL_HEAD_BYTES = 8192
# Bytes that arrive between two records of progress, unless a request is complete.
PROGRESS_BYTES = 1024
# Size of a head from which on it is costly to parse, in bytes.
COSTLY_HEAD_BYTES = 2048
# Bytes of a chunked body that are read at one time, and the chunks, decoded one by one,
# after which others take their turn.
CHUNKED_READ_BYTES = 16384
COSTLY_CHUNKS = 256
# Bytes missing of a body, or received of one in chunks, from which on the kernel may
# buffer more of it. The body is counted twice, and is there once while it arrives, so
# what the kernel then holds is counted with it.
WIDE_FROM_BYTES = 192 * 1024


class _Refused(Exception):
    def __init__(self, bad: BadInput) -> None:
        super().__init__(bad.detail)
        self.bad = bad


class RequestReader:
    """Reads requests from a connection, and returns why one can't be read.

    make_room: ends slower requests for one that finds no room for so many more bytes;
        returns the time after which room is expected if there is none now, in seconds.
    on_progress: called as a request arrives that is not complete yet.
    """

    def __init__(
        self,
        *,
        connection: CallerConnection,
        turns: Turns,
        make_room: Callable[[Hold, int], float | None],
        on_progress: Callable[[CallerConnection], None],
    ) -> None:
        self._connection = connection
        self._turns = turns
        self._make_room = make_room
        self._on_progress = on_progress
        self._loop = asyncio.get_running_loop()
        self._body = bytearray()
        self._deadline = 0.0
        self._unreported_bytes = 0
        # State of the requests, from the first one on.
        self._h11: h11.Connection | None = None

    @property
    def state(self) -> h11.Connection:
        """Return the state of the protocol."""
        if self._h11 is None:
            self._h11 = h11.Connection(h11.SERVER)
        return self._h11

    async def wait(self, seconds: float) -> bool:
        """Wait for the first bytes of a request; return whether there are any."""
        connection = self._connection
        connection.expect(READ_AHEAD_BYTES)
        if not connection.received:
            await connection.wait(self._loop.time() + seconds)
        if not (connection.received or connection.is_at_end):
            # They may have arrived in the pass in which the wait ended.
            await connection.wait_for_pending_read()
        return bool(connection.received)

    async def read(
        self,
        hold: Hold,
        *,
        limits: ServerLimits,
        is_refused: bool = False,
    ) -> HttpRequest | BadInput:
        """Read a request whose first bytes have arrived.

        is_refused: whether it gets no place, however small it is.
        """
        now = self._loop.time()
        hold.record_begin(now)
        self._deadline = now + limits.receive_seconds
        try:
            head = await self._read_head(hold, limits, is_refused=is_refused)
            await self._read_body(head, hold, limits)
            hold.record_end(self._loop.time())
            return _build_request(head, bytes(self._body))
        except _Refused as refused:
            return refused.bad
        except h11.RemoteProtocolError as error:
            return _describe_protocol_error(error)
        finally:
            self.drop_body()
            self._connection.expect(READ_AHEAD_BYTES)
            if self._connection.is_wide:
                # What the client sends ahead would fill the larger buffer. It is not
                # served, as the connection closes after this answer.
                self._connection.begin_discarding()

    def drop_body(self) -> None:
        """Free the part of the body that was read."""
        self._body = bytearray()

    async def _read_head(
        self, hold: Hold, limits: ServerLimits, *, is_refused: bool
    ) -> h11.Request:
        connection = self._connection
        searched = 0
        while True:
            received = connection.received
            match = HEAD_END.search(received, max(0, searched - 2))
            if match is not None or received[0] < FIRST_VISIBLE:
                break
            searched = len(received)
            if searched > limits.header_bytes + HEAD_SLACK_BYTES:
                raise _Refused(_too_large_headers())
            if searched >= READ_AHEAD_BYTES:
                connection.expect(limits.header_bytes + HEAD_SLACK_BYTES + 1)
            await self._wait_for_more()
        end = len(received) if match is None else match.end()
        if end > COSTLY_HEAD_BYTES:
            await self._turns.take()
        data = connection.take(end)
        self.state.receive_data(data)
        head = self.state.next_event()
        if not isinstance(head, h11.Request):
            raise _Refused(_malformed("The request is incomplete."))
        _check_head(head, limits)
        if is_refused:
            raise _Refused(no_room("too_many_connections", MIN_RETRY_SECONDS))
        hold.head_bytes = _excess_head_bytes(data, head) // COPIES
        hold.announced = _content_length(head)
        self._reserve(hold, hold.announced, limits)
        return head

    async def _read_body(
        self, head: h11.Request, hold: Hold, limits: ServerLimits
    ) -> None:
        state, connection = self.state, self._connection
        event = state.next_event()
        if isinstance(event, h11.EndOfMessage):
            return
        if state.they_are_waiting_for_100_continue and not connection.received:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            connection.write(state.send(proceed) or b"")
        if _is_chunked(head):
            await self._read_chunks(hold, limits)
        else:
            await self._read_length(hold)

    async def _read_length(self, hold: Hold) -> None:
        connection = self._connection
        missing = hold.announced
        while True:
            part = connection.take(min(missing, len(connection.received)))
            if part:
                missing -= len(part)
                # The state of the protocol ends the request after its last byte.
                self.state.receive_data(part)
                self.state.next_event()
                self._body += part
                hold.record_received(len(self._body))
            if not missing:
                break
            if missing > WIDE_FROM_BYTES:
                self._widen_if_late(hold, missing)
            connection.expect(min(READ_SIZE, missing + READ_AHEAD_BYTES))
            await self._wait_for_more()
        self.state.next_event()

    async def _read_chunks(self, hold: Hold, limits: ServerLimits) -> None:
        connection, decoder = self._connection, ChunkDecoder()
        connection.expect(CHUNKED_READ_BYTES)
        while True:
            try:
                decoded = decoder.decode(connection.received, self._body)
            except MalformedChunk as error:
                raise _Refused(_malformed(str(error))) from None
            connection.drop(0)
            hold.record_received(len(self._body))
            self._reserve(hold, len(self._body), limits)
            if decoder.is_complete:
                break
            if decoded > COSTLY_CHUNKS:
                await self._turns.take()
            if len(self._body) > WIDE_FROM_BYTES:
                self._widen_if_late(hold, limits.body_bytes - len(self._body))
            await self._wait_for_more()
        # The state of the protocol gets the body as empty, with the trailer.
        trailer = await self._read_trailer(limits)
        self.state.receive_data(b"0\r\n" + trailer)
        if not isinstance(self.state.next_event(), h11.EndOfMessage):
            raise _Refused(_malformed("The trailer is incomplete."))

    async def _read_trailer(self, limits: ServerLimits) -> bytes:
        connection = self._connection
        while True:
            received = connection.received
            if received.startswith(b"\r\n"):
                return connection.take(2)
            match = HEAD_END.search(received)
            if match is not None:
                return connection.take(match.end())
            if len(received) > limits.header_bytes:
                raise _Refused(_too_large_headers())
            connection.expect(limits.header_bytes + 1)
            await self._wait_for_more()

    async def _wait_for_more(self) -> None:
        """Wait for bytes beyond those received; refuse the request if none come."""
        connection = self._connection
        before = len(connection.received)
        await connection.wait(self._deadline)
        more = len(connection.received) - before
        if connection.is_evicted or (more == 0 and not connection.is_at_end):
            evicted = connection.is_evicted
            raise _Refused(_slow_sender(MIN_RETRY_SECONDS if evicted else None))
        if more == 0:
            raise _Refused(_malformed("The request ended early."))
        self._unreported_bytes += more
        if self._unreported_bytes >= PROGRESS_BYTES:
            self._unreported_bytes = 0
            self._on_progress(connection)

    def _widen_if_late(self, hold: Hold, missing: int) -> None:
        """Let the kernel buffer more of a body that may come too late otherwise."""
        if not self._connection.is_wide and hold.is_late(self._loop.time(), missing):
            self._connection.widen()

    def _reserve(self, hold: Hold, size: int, limits: ServerLimits) -> None:
        """Reserve memory for a body of `size` bytes, or refuse its request."""
        if size > limits.body_bytes:
            detail = f"At most {limits.body_bytes} bytes."
            raise _Refused(BadInput(status=413, reason="body_too_large", detail=detail))
        size += hold.head_bytes
        if hold.try_reserve(size):
            return
        wait = self._make_room(hold, size)
        if wait is not None:
            raise _Refused(no_room("bodies_exceed_memory", wait))


def no_room(reason: str, retry_after: float) -> BadInput:
    """Return the refusal of a request that finds no room."""
    return BadInput(
        status=503,
        reason=reason,
        detail="Too many requests are in progress.",
        retry_after=max(MIN_RETRY_SECONDS, retry_after),
    )


def _check_head(head: h11.Request, limits: ServerLimits) -> None:
    if head.method == b"CONNECT":
        raise _Refused(
            BadInput(
                status=405,
                reason="method_not_allowed",
                detail="This is no proxy for connections.",
            )
        )
    size = sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.header_bytes:
        raise _Refused(_too_large_headers())


def _excess_head_bytes(data: bytes, head: h11.Request) -> int:
    """Return the memory that a parsed head takes beyond that of a usual one."""
    # The fields are kept as they came and decoded.
    size = 2 * len(data) + FIELD_BYTES * len(head.headers)
    return max(0, size - USUAL_HEAD_BYTES)


def _is_chunked(head: h11.Request) -> bool:
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _content_length(head: h11.Request) -> int:
    """Return the announced length of a body, 0 if there is none."""
    if _is_chunked(head):
        return 0
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _malformed(detail: str) -> BadInput:
    return BadInput(status=400, reason="malformed_http", detail=detail)


def _slow_sender(retry_after: float | None) -> BadInput:
    return BadInput(
        status=408,
        reason="slow_sender",
        detail="The request did not arrive in time.",
        retry_after=retry_after,
    )


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
    return _malformed(str(error))
