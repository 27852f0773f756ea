"""Carry connections to targets through other hosts.

A host that cannot reach a target asks a peer, the proxy, to open the connection and to
pass on its bytes. It sends the line `TUNNEL host:port` and gets one byte, a
`TunnelAnswer`. Afterwards bytes to the target are passed on as they are. Those from it
are sent in frames, each with its length in 4 bytes, and an empty frame marks that the
target closed the connection. A tunnel that ends without one has failed: a proxy that
dies must not look like the end of a response that has no length.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from mallowpond.state.buffer_sizes import TARGET_RECEIVE_BUFFER_BYTES
from mallowpond.state.process_limits import DEFAULT_LIMITS
from mallowpond.transport.connector import (
    Connected,
    ConnectFailed,
    Connector,
    LinkActivity,
)
from mallowpond.transport.listening import accept_connections, open_listener
from mallowpond.transport.timeouts import lag_tolerant_timeout

READ_SIZE = 65536
REQUEST_PREFIX = b"TUNNEL "
MAX_REQUEST_BYTES = 128
FRAME_HEADER_BYTES = 4
CLOSING_FRAME = bytes(FRAME_HEADER_BYTES)
# Connections beyond the limit of tunnels that may wait to send their request.
MAX_REQUESTS_AWAITED = 32
# Time within which a peer must send its request, in seconds.
REQUEST_SECONDS = 1.0
# Time without any byte after which a tunnel is aborted, in seconds: longer than
# requests wait for their first byte. Interval between two checks.
IDLE_SECONDS = 15.0
IDLE_CHECK_SECONDS = 1.0
# Time after the target's last byte for which a tunnel counts as in use, in seconds.
ACTIVE_SECONDS = 1.0


class TunnelAnswer(bytes, Enum):
    """Answer of a proxy to a request for a tunnel."""

    OPEN = b"+"
    UNREACHED = b"-"
    NO_LINKS = b"0"
    BUSY = b"="
    DENIED = b"!"


class TunnelServer:
    """Opens connections to targets for peers, and passes on their bytes.

    connect: opens a direct connection to a target's address.
    may_connect: returns whether a peer, by its IP address, may have a tunnel to an
        address.
    has_link: returns whether this host has links to the targets of an address's
        service.
    """

    def __init__(
        self,
        *,
        connect: Callable[[str], Awaitable[Connected | ConnectFailed]],
        may_connect: Callable[[str, str], bool],
        has_link: Callable[[str], bool],
        max_tunnels: int = DEFAULT_LIMITS.tunnels,
    ) -> None:
        self.connect = connect
        self._may_connect = may_connect
        self._has_link = has_link
        self._max_tunnels = max_tunnels
        self._server: asyncio.Server | None = None
        # In the order of their start.
        self._tunnels: dict[_PeerSide, None] = {}
        self._is_draining = False

    @property
    def is_busy(self) -> bool:
        """Return whether any tunnel is in use."""
        return any(tunnel.is_active for tunnel in self._tunnels)

    @property
    def count(self) -> int:
        """Return the number of tunnels."""
        return len(self._tunnels)

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port; 0 takes a free one."""
        self._server = await accept_connections(
            open_listener(host, port),
            lambda: _PeerSide(server=self),
            receive_buffer_bytes=TARGET_RECEIVE_BUFFER_BYTES,
        )
        return self._server.sockets[0].getsockname()[1]

    async def run(self) -> None:
        """Abort tunnels that are idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            for tunnel in list(self._tunnels):
                if tunnel.is_expired:
                    tunnel.abort()

    def drain(self) -> None:
        """Open no more tunnels; those that are open go on."""
        self._is_draining = True

    def close(self) -> None:
        """Stop listening and abort every tunnel."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def add(self, tunnel: "_PeerSide") -> None:
        """Count a new connection, and make room for it if there are too many.

        What has sent no request for the longest time goes first.
        """
        self._tunnels[tunnel] = None
        if len(self._tunnels) <= self._max_tunnels + MAX_REQUESTS_AWAITED:
            return
        awaited = (other for other in self._tunnels if not other.has_request)
        oldest = next(awaited, tunnel)
        # It is closed in the next pass of the event loop, and others come in this one.
        self.discard(oldest)
        oldest.abort()

    def discard(self, tunnel: "_PeerSide") -> None:
        """Count a connection no more."""
        self._tunnels.pop(tunnel, None)

    def refusal(self, peer: str, address: str) -> TunnelAnswer | None:
        """Return why a peer gets no tunnel to an address, None if it may have one."""
        if not self._may_connect(peer, address):
            return TunnelAnswer.DENIED
        if not self._has_link(address):
            return TunnelAnswer.NO_LINKS
        asked = sum(tunnel.has_request for tunnel in self._tunnels)
        if self._is_draining or asked > self._max_tunnels:
            return TunnelAnswer.BUSY
        return None


class _PeerSide(asyncio.Protocol):
    """A tunnel's connection from the peer, which owns the one to the target."""

    def __init__(self, *, server: TunnelServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._began_at = self._last_byte_at = self._loop.time()
        self._awaits_answer = False
        self._request = bytearray()
        self._opening: asyncio.Task[None] | None = None
        self._peer = ""
        # Kept, as a stream writer that is deleted closes its connection.
        self._opened: Connected | None = None
        self.transport: asyncio.Transport | None = None
        self.target: asyncio.Transport | None = None

    @property
    def has_request(self) -> bool:
        """Return whether the peer has said which target it asks for."""
        return self._opening is not None

    @property
    def is_active(self) -> bool:
        """Return whether a request seems to be in progress."""
        if self.target is None:
            return self._opening is not None
        age = self._loop.time() - self._last_byte_at
        return self._awaits_answer or age < ACTIVE_SECONDS

    @property
    def is_expired(self) -> bool:
        """Return whether the tunnel has been idle for too long."""
        now = self._loop.time()
        if self._opening is None:
            return now - self._began_at > REQUEST_SECONDS
        return now - self._last_byte_at > IDLE_SECONDS

    def abort(self) -> None:
        """Reset both connections."""
        if self._opening is not None:
            self._opening.cancel()
        for transport in (self.transport, self.target):
            if transport is not None:
                transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        address = transport.get_extra_info("peername")
        self._peer = address[0] if address else ""
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the target, or read the request."""
        if self.target is not None:
            self._last_byte_at, self._awaits_answer = self._loop.time(), True
            self.target.write(data)
            return
        self._request += data
        line, newline, rest = bytes(self._request).partition(b"\n")
        if self._opening is not None or rest or len(line) > MAX_REQUEST_BYTES:
            # The peer sends nothing between its request and the answer.
            self.abort()
        elif newline:
            self._opening = asyncio.ensure_future(self._open(line))

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the connection to the target, which drops its request."""
        self._server.discard(self)
        self.abort()

    def pause_writing(self) -> None:
        """Stop reading from the target while the peer does not read."""
        if self.target is not None:
            self.target.pause_reading()

    def resume_writing(self) -> None:
        """Read from the target again."""
        if self.target is not None:
            self.target.resume_reading()

    def pass_on(self, data: bytes) -> None:
        """Send bytes of the target to the peer."""
        assert self.transport is not None
        self._last_byte_at, self._awaits_answer = self._loop.time(), False
        self.transport.write(len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data)

    def finish(self) -> None:
        """Tell the peer that the target closed, and close."""
        assert self.transport is not None
        self.transport.write(CLOSING_FRAME)
        self.transport.close()

    async def _open(self, line: bytes) -> None:
        assert self.transport is not None
        answer, opened = TunnelAnswer.DENIED, None
        if line.startswith(REQUEST_PREFIX):
            address = line[len(REQUEST_PREFIX) :].decode("latin-1")
            answer = self._server.refusal(self._peer, address) or TunnelAnswer.OPEN
            if answer is TunnelAnswer.OPEN:
                opened = await self._server.connect(address)
        if self.transport.is_closing():
            if isinstance(opened, Connected):
                opened.writer.transport.abort()
            return
        match opened:
            case Connected():
                self._opened = opened
                self.target = opened.writer.transport
                self.target.set_protocol(_TargetSide(peer=self))
                self._last_byte_at = self._loop.time()
            case ConnectFailed():
                answer = TunnelAnswer.UNREACHED
        self.transport.write(answer.value)
        if self.target is None:
            self.transport.close()


class _TargetSide(asyncio.Protocol):
    """A tunnel's connection to the target."""

    def __init__(self, *, peer: _PeerSide) -> None:
        self._peer = peer
        self._is_closed = False

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the peer."""
        self._peer.pass_on(data)

    def eof_received(self) -> bool:
        """Tell the peer that the target closed the connection."""
        self._is_closed = True
        self._peer.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reset the peer's connection unless the target closed in order."""
        if not self._is_closed:
            self._peer.abort()

    def pause_writing(self) -> None:
        """Stop reading from the peer while the target does not read."""
        if self._peer.transport is not None:
            self._peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        if self._peer.transport is not None:
            self._peer.transport.resume_reading()


class TunnelConnector:
    """Opens connections to targets through one proxy.

    `proxy` is the proxy's address, and `name` the host's name.
    """

    def __init__(
        self, *, name: str, proxy: str, connector: Connector, activity: LinkActivity
    ) -> None:
        self._name = name
        self._proxy = proxy
        self._connector = connector
        self._activity = activity

    async def connect(self, address: str) -> Connected | ConnectFailed | TunnelAnswer:
        """Open a connection; a `TunnelAnswer` tells why the proxy opened none."""
        opened = await self._connector.connect(self._proxy)
        if isinstance(opened, ConnectFailed):
            return opened
        writer = opened.writer
        try:
            writer.write(REQUEST_PREFIX + address.encode() + b"\n")
            found = await opened.reader.readexactly(1)
            answer = TunnelAnswer(found)
        except (OSError, EOFError, ValueError) as error:
            writer.transport.abort()
            return ConnectFailed(reason=str(error) or "tunnel closed")
        except BaseException:
            writer.transport.abort()
            raise
        if answer is not TunnelAnswer.OPEN:
            writer.transport.abort()
            return answer
        return self._unframed(writer)

    def _unframed(self, writer: asyncio.StreamWriter) -> Connected:
        transport, loop = writer.transport, asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READ_SIZE, loop=loop)
        protocol = _FrameProtocol(reader=reader, loop=loop)
        protocol.connection_made(transport)
        transport.set_protocol(protocol)
        return Connected(
            reader=reader,
            writer=writer,
            proxy=self._name,
            activity=self._activity,
        )


class _FrameProtocol(asyncio.StreamReaderProtocol):
    """Removes the frames from what a proxy sends."""

    def __init__(
        self, *, reader: asyncio.StreamReader, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(reader, loop=loop)
        self._header = bytearray()
        self._left = 0
        self._is_closed = False

    def data_received(self, data: bytes) -> None:
        """Pass on the content of the frames."""
        view = memoryview(data)
        while view and not self._is_closed:
            if self._left:
                part = view[: self._left]
                self._left -= len(part)
                view = view[len(part) :]
                super().data_received(bytes(part))
                continue
            missing = FRAME_HEADER_BYTES - len(self._header)
            self._header += view[:missing]
            view = view[missing:]
            if len(self._header) == FRAME_HEADER_BYTES:
                self._left = int.from_bytes(self._header, "big")
                self._header.clear()
                if not self._left:
                    self._is_closed = True
                    super().eof_received()

    def eof_received(self) -> bool:
        """Fail unless the target closed the connection before."""
        self._fail()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail unless the target closed the connection before."""
        self._fail()
        super().connection_lost(exc)

    def _fail(self) -> None:
        reader = self._stream_reader
        if not self._is_closed and reader is not None and reader.exception() is None:
            reader.set_exception(ConnectionResetError("tunnel broken"))


async def open_through(
    connector: TunnelConnector, address: str, seconds: float
) -> Connected | ConnectFailed | TunnelAnswer:
    """Open a connection through a proxy within `seconds`."""
    try:
        async with lag_tolerant_timeout(seconds):
            return await connector.connect(address)
    except TimeoutError:
        return ConnectFailed(reason="tunnel timeout")
