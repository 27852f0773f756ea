"""Responses with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from mallowpond.transport.connector import (
    ConnectFailed,
    DirectConnector,
    LinkActivity,
)
from mallowpond.transport.http_client import CallFailed, Chunk, End, HttpClient
from mallowpond.transport.tunnel import TunnelAnswer, TunnelConnector, TunnelServer

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _TunnelOnly:
    """Opens every connection through one proxy."""

    def __init__(self, connector):
        self._connector = connector

    async def connect(self, address):
        opened = await self._connector.connect(address)
        if isinstance(opened, TunnelAnswer):
            return ConnectFailed(reason=opened.name)
        return opened


@asynccontextmanager
async def target(*, resets, uses_tunnel):
    """Yield a client and the address of a target that ends each response so."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + EVENT)
        await writer.drain()
        await asyncio.sleep(0.05)
        if resets:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()

    async with AsyncExitStack() as stack:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stack.callback(server.close)
        connector = DirectConnector()
        if uses_tunnel:
            proxy = TunnelServer(
                connect=connector.connect,
                may_connect=lambda peer, address: True,
                has_link=lambda address: True,
            )
            port = await proxy.start("127.0.0.1", 0)
            stack.callback(proxy.close)
            connector = _TunnelOnly(
                TunnelConnector(
                    name="p",
                    proxy=f"127.0.0.1:{port}",
                    connector=connector,
                    activity=LinkActivity(),
                )
            )
        http = HttpClient(connector=connector)
        stack.push_async_callback(http.close)
        yield http, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def read(http, address):
    """Return the events of one response, and whether its end was marked."""
    response = await http.send(address, "POST", "/")
    assert not isinstance(response, CallFailed)
    events = [event async for event in response.events()]
    response.close()
    return events, response.has_marked_end


@pytest.mark.parametrize("uses_tunnel", [False, True], ids=["direct", "tunnel"])
async def test_the_close_ends_a_response_and_is_no_marked_end(uses_tunnel):
    async with target(resets=False, uses_tunnel=uses_tunnel) as (http, address):
        events, has_marked_end = await read(http, address)
    assert events == [Chunk(data=EVENT), End()]
    assert not has_marked_end


@pytest.mark.parametrize("uses_tunnel", [False, True], ids=["direct", "tunnel"])
async def test_a_reset_does_not_complete_a_response(uses_tunnel):
    """Guards against a part of a response that is taken for the whole one."""
    async with target(resets=True, uses_tunnel=uses_tunnel) as (http, address):
        events, _ = await read(http, address)
    assert isinstance(events[-1], CallFailed)


@pytest.mark.parametrize(
    "framing", [b"content-length: 1", b"transfer-encoding: chunked"]
)
async def test_a_length_or_chunks_mark_the_end(framing):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = b"x" if b"length" in framing else b"1\r\nx\r\n0\r\n\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + body)
        await writer.drain()

    async with AsyncExitStack() as stack:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stack.callback(server.close)
        http = HttpClient()
        stack.push_async_callback(http.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        assert (await read(http, address))[1]
