"""Tests of tunnels between processes' sockets on loopback."""

import asyncio
import fcntl
import sys
import termios
from contextlib import AsyncExitStack

import pytest

from mallowpond.state.buffer_sizes import TARGET_RECEIVE_BUFFER_BYTES
from mallowpond.transport.connector import (
    Connected,
    ConnectFailed,
    DirectConnector,
    LinkActivity,
)
from mallowpond.transport.http_client import CallFailed, FailurePhase, HttpClient
from mallowpond.transport.tunnel import (
    MAX_REQUESTS_AWAITED,
    TunnelAnswer,
    TunnelConnector,
    TunnelServer,
    open_through,
)


class Rig:
    """A target, a proxy, and a client that sends requests through the proxy."""

    def __init__(self, serve, *, allowed=True, has_links=True, max_tunnels=10):
        self.requests = []
        self.target_ends = asyncio.Queue()
        self._serve = serve
        self.stack = AsyncExitStack()
        self.proxy = TunnelServer(
            connect=DirectConnector().connect,
            may_connect=lambda peer, address: allowed,
            has_link=lambda address: has_links,
            max_tunnels=max_tunnels,
        )

    async def __aenter__(self):
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.target = f"127.0.0.1:{port}"
        port = await self.proxy.start("127.0.0.1", 0)
        self.stack.callback(self.proxy.close)
        self.connector = TunnelConnector(
            name="p",
            proxy=f"127.0.0.1:{port}",
            connector=DirectConnector(),
            activity=LinkActivity(),
        )
        self.http = HttpClient(connector=self)
        self.stack.push_async_callback(self.http.close)
        return self

    async def __aexit__(self, *error):
        await self.stack.aclose()

    async def connect(self, address):
        """Open a connection for the HTTP client."""
        opened = await open_through(self.connector, address, 1.0)
        if isinstance(opened, TunnelAnswer):
            return ConnectFailed(reason=opened.name)
        return opened

    async def fetch(self, body=b""):
        """Send one request through the proxy."""
        return await self.http.fetch(self.target, "POST", "/", body=body, timeout=2.0)

    async def _handle(self, reader, writer):
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            await self._serve(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.target_ends.put_nowait(None)
            writer.close()


async def answer_twice(rig, reader, writer):
    """Answer two requests on one connection."""
    for text in (b"one", b"two"):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n" + text)
        await reader.readuntil(b"\r\n\r\n")


async def wait_for_end(rig, reader, writer):
    """Answer nothing until the connection ends."""
    assert await reader.read() == b""


async def answer_until_close(rig, reader, writer):
    """Send a response without a length, which the close of the connection ends."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    await writer.drain()
    await rig.more.wait()
    writer.write(b" whole")


async def test_a_tunnel_carries_several_requests():
    async with Rig(answer_twice) as rig:
        assert await rig.fetch() == (200, b"one")
        assert await rig.fetch() == (200, b"two")
        assert rig.proxy.count == 1


async def test_large_bodies_pass_whole_to_a_slow_reader():
    """Guards against bytes lost or held without bound when one side reads slowly."""
    body = bytes(range(256)) * 20_000

    async def answer(rig, reader, writer):
        received = await reader.readexactly(len(body))
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(received)
        writer.write(head + received)
        await writer.drain()

    async with Rig(answer) as rig:
        assert await rig.fetch(body) == (200, body)


async def test_a_client_that_leaves_ends_the_request_at_the_target():
    """Guards against targets that work on after the caller has left."""
    async with Rig(wait_for_end) as rig:
        call = asyncio.create_task(rig.fetch())
        while not rig.requests:
            await asyncio.sleep(0.01)
        call.cancel()
        async with asyncio.timeout(0.5):
            await rig.target_ends.get()


async def test_the_targets_close_ends_a_response_without_length():
    async with Rig(answer_until_close) as rig:
        rig.more = asyncio.Event()
        rig.more.set()
        assert await rig.fetch() == (200, b"half whole")


async def test_a_proxy_that_ends_does_not_complete_a_response():
    """Guards against a part of a response that is taken for the whole one.

    A killed process closes its connections in order, as a target does that ends a
    response without a length.
    """
    async with Rig(answer_until_close) as rig:
        rig.more = asyncio.Event()
        call = asyncio.create_task(rig.fetch())
        while not rig.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        for tunnel in list(rig.proxy._tunnels):
            tunnel.transport.close()
        result = await call
        assert isinstance(result, CallFailed)
        assert result.may_have_sent


@pytest.mark.parametrize(
    ("options", "answer"),
    [
        ({"allowed": False}, TunnelAnswer.DENIED),
        ({"has_links": False}, TunnelAnswer.NO_LINKS),
        ({"max_tunnels": 0}, TunnelAnswer.BUSY),
    ],
)
async def test_a_refused_tunnel_proves_that_nothing_was_sent(options, answer):
    """Guards against requests that count as run although no byte of them left."""
    async with Rig(answer_twice, **options) as rig:
        assert await rig.connector.connect(rig.target) is answer
        result = await rig.fetch()
        assert isinstance(result, CallFailed)
        assert result.phase is FailurePhase.CONNECT
        assert rig.requests == []


async def test_a_draining_proxy_keeps_open_tunnels_only():
    """Guards against answers that are cut off by the planned stop of a proxy."""
    async with Rig(wait_for_end) as rig:
        opened = await rig.connector.connect(rig.target)
        assert isinstance(opened, Connected)
        opened.writer.write(b"POST / HTTP/1.1\r\n\r\n")
        while not rig.requests:
            await asyncio.sleep(0.01)
        rig.proxy.drain()
        assert rig.proxy.is_busy
        assert await rig.connector.connect(rig.target) is TunnelAnswer.BUSY
        opened.writer.transport.abort()
        await rig.target_ends.get()
        assert not rig.proxy.is_busy


async def test_connections_that_ask_for_nothing_keep_no_peer_out():
    """Guards against silent connections that take all descriptors of a proxy."""

    async def serve(rig, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    async with Rig(serve, max_tunnels=2) as rig:
        port = rig.proxy._server.sockets[0].getsockname()[1]
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(90)]
        assert isinstance(await rig.connect(rig.target), Connected)
        assert rig.proxy.count <= 2 + MAX_REQUESTS_AWAITED
        for _, writer in silent:
            writer.close()


async def test_the_kernel_holds_little_of_an_answer_that_nobody_reads():
    """Guards against buffers of many connections to targets that grow by themselves."""

    async def send_much(rig, reader, writer):
        writer.write(bytes(16_000_000))

    async with Rig(send_much) as rig:
        opened = await DirectConnector().connect(rig.target)
        opened.writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        # The kernel enlarges its buffer for a reader that is fast at first.
        async with asyncio.timeout(5.0):
            await opened.reader.readexactly(8_000_000)
        await asyncio.sleep(0.2)
        found = opened.writer.get_extra_info("socket")
        unread = fcntl.ioctl(found.fileno(), termios.FIONREAD, bytes(4))
        assert int.from_bytes(unread, sys.byteorder) < 2 * TARGET_RECEIVE_BUFFER_BYTES
        opened.writer.transport.abort()
