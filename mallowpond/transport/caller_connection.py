"""A server's side of one connection, with bounded buffers."""

import asyncio
import socket
from collections.abc import Callable
from math import inf

from mallowpond.state.buffer_sizes import (
    WIDE_RECEIVE_BUFFER_BYTES,
    WRITE_BUFFER_BYTES,
)

# Largest read of a socket; all connections read into one buffer of this size.
READ_SIZE = 65536
# Bytes of the next request that are read at most while nobody waits for it. They are
# read, as a connection that is not read does not show that its client has left.
READ_AHEAD_BYTES = 4096
# Interval at which an answer that waits for its reader is looked at, in seconds.
DRAIN_POLL_SECONDS = 0.5


class CallerConnection(asyncio.BufferedProtocol):
    """Reads no more than is asked for, and tells when the client has left.

    received: bytes that were read and not taken yet, no more than `expect` allows.
    """

    def __init__(
        self, *, scratch: memoryview, on_open: Callable[["CallerConnection"], None]
    ) -> None:
        self._scratch = scratch
        self._on_open = on_open
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._max_received = READ_AHEAD_BYTES
        self._left_to_discard: float | None = None
        self._is_reading = True
        self._waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._watchers: set[asyncio.Future[None]] = set()
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._can_write = True
        self.received = bytearray()
        self.is_at_end = False
        self.is_wide = False
        self.is_evicted = False
        # Task that serves the connection, None until there is one.
        self.task: asyncio.Task[None] | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport of the open connection."""
        assert self._transport is not None
        return self._transport

    @property
    def is_closing(self) -> bool:
        """Return whether nothing can be sent any more."""
        return self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait for the client to read."""
        return self.transport.get_write_buffer_size()

    # -- reading ---------------------------------------------------------------

    def expect(self, size: int) -> None:
        """Let up to `size` bytes arrive before they are taken."""
        self._max_received = size
        self._adjust_reading()

    def take(self, size: int) -> bytes:
        """Remove and return the first bytes that were received."""
        data = bytes(memoryview(self.received)[:size])
        self.drop(size)
        return data

    def drop(self, size: int) -> None:
        """Remove the first bytes that were received."""
        del self.received[:size]
        self._adjust_reading()

    async def wait(self, deadline: float) -> None:
        """Return when bytes arrive, no more will, or the deadline has passed.

        `evict` ends the wait, too.
        """
        if self.is_at_end or self.is_evicted:
            return
        waiter = self._waiter = self._loop.create_future()
        timer = self._loop.call_at(deadline, self._wake)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None

    async def wait_for_pending_read(self) -> None:
        """Let the event loop read what has already arrived in the kernel."""
        for _ in range(2):
            if not self.received:
                await asyncio.sleep(0)

    def evict(self) -> None:
        """End the wait for bytes, as the connection is to make room for others."""
        self.is_evicted = True
        self._wake()

    def watch_disconnect(self) -> asyncio.Future[None]:
        """Return a future that is done when the client has left."""
        watcher = self._loop.create_future()
        if self.is_at_end:
            watcher.set_result(None)
            return watcher
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)
        return watcher

    def begin_discarding(self, limit: float = inf) -> None:
        """Drop up to `limit` bytes that arrive from now on, and what has arrived."""
        self._left_to_discard = max(0, limit - len(self.received))
        self.received.clear()
        self._adjust_reading()

    async def finish_discarding(self, seconds: float) -> None:
        """Wait until the client has closed, the limit is reached or time is over."""
        deadline = self._loop.time() + seconds
        while (
            self._left_to_discard
            and not (self.is_at_end or self.is_evicted)
            and self._loop.time() < deadline
        ):
            await self.wait(deadline)

    def widen(self) -> None:
        """Let the kernel buffer more, for a client that is far away.

        The buffer is not made smaller again, as the client may then stand still.
        """
        self.is_wide = True
        found = self.transport.get_extra_info("socket")
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WIDE_RECEIVE_BUFFER_BYTES)

    # -- writing ---------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until the client reads."""
        self.transport.write(data)

    def write_eof(self) -> None:
        """Send nothing more, and go on reading."""
        if self.transport.can_write_eof():
            self.transport.write_eof()

    async def drain(self, on_progress: Callable[[], None]) -> None:
        """Wait until little is left to send; call back while some of it is sent.

        Raises ConnectionResetError if the connection is lost.
        """
        unsent = self.unsent_bytes
        while not (self._can_write or self._closed.done()):
            waiter = self._drain_waiter = self._loop.create_future()
            timer = self._loop.call_later(DRAIN_POLL_SECONDS, _finish, waiter)
            try:
                await waiter
            finally:
                timer.cancel()
                self._drain_waiter = None
            if self.unsent_bytes < unsent:
                unsent = self.unsent_bytes
                on_progress()
        if self._closed.done() and not self._can_write:
            raise ConnectionResetError("connection lost")

    async def close(self, on_progress: Callable[[], None]) -> None:
        """Send what is left, close, and wait until that is done.

        Raises ConnectionResetError if the connection is lost before.
        """
        self.transport.close()
        await self.drain(on_progress)
        await asyncio.shield(self._closed)

    def cancel(self) -> None:
        """Cancel the task that serves the connection."""
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Close at once, without sending what is left."""
        self.transport.abort()

    # -- callbacks of the transport --------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the server admit the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(
            high=WRITE_BUFFER_BYTES, low=WRITE_BUFFER_BYTES
        )
        self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are to be read to."""
        if self._left_to_discard is not None:
            return self._scratch
        return self._scratch[: self._max_received - len(self.received)]

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the bytes that were read."""
        if self._left_to_discard is not None:
            self._left_to_discard = max(0, self._left_to_discard - nbytes)
            if self._left_to_discard:
                return
        else:
            self.received += self._scratch[:nbytes]
        self._adjust_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the client sends nothing more; its answer may still go out."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self._end()
        if not self._closed.done():
            self._closed.set_result(None)
        _finish(self._drain_waiter)

    def pause_writing(self) -> None:
        """Record that the client reads too slowly."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Record that the client has read enough."""
        self._can_write = True
        _finish(self._drain_waiter)

    def _end(self) -> None:
        self.is_at_end = True
        self._wake()
        for watcher in list(self._watchers):
            _finish(watcher)

    def _wake(self) -> None:
        _finish(self._waiter)

    def _adjust_reading(self) -> None:
        """Read exactly while there is room for more."""
        if self._left_to_discard is not None:
            has_room = self._left_to_discard > 0
        else:
            has_room = len(self.received) < self._max_received
        if has_room == self._is_reading or self.is_at_end or self.is_closing:
            return
        self._is_reading = has_room
        if has_room:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()


def _finish(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
