"""Websocket links between gateways and controllers, and among controllers."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException

from mallowpond.protocol.peer import BadMessage, Message, decode, encode

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
PING_SECONDS = 5.0


class LinkClosed(Exception):
    """The link to the peer was closed or broke, or the peer sent a bad message."""


class PeerLink:
    """Sends and receives messages on one websocket."""

    def __init__(self, *, socket) -> None:
        self._socket = socket

    async def send(self, message: Message) -> None:
        """Send a message; raise `LinkClosed` if the link is closed."""
        try:
            await self._socket.send(encode(message))
        except (WebSocketException, OSError) as error:
            raise LinkClosed(str(error)) from error

    async def receive(self) -> Message:
        """Return the next message; raise `LinkClosed` if there will be none."""
        try:
            return decode(await self._socket.recv())
        except (WebSocketException, OSError, BadMessage) as error:
            raise LinkClosed(str(error)) from error


LinkHandler = Callable[[PeerLink], Awaitable[None]]


async def serve_links(
    handler: LinkHandler, host: str, port: int, stack: AsyncExitStack
) -> int:
    """Run `handler` on each incoming link until `stack` closes; return the port."""

    async def on_socket(socket: ServerConnection) -> None:
        try:
            await handler(PeerLink(socket=socket))
        except* LinkClosed:
            pass

    server = await stack.enter_async_context(
        serve(
            on_socket,
            host,
            port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=PING_SECONDS,
            ping_timeout=PING_SECONDS,
            close_timeout=0.2,
        )
    )
    return server.sockets[0].getsockname()[1]


async def open_link(
    address: str, stack: AsyncExitStack, timeout: float = 1.0
) -> PeerLink:
    """Open a link that `stack` closes; raise `LinkClosed` if it fails."""
    try:
        socket = await stack.enter_async_context(
            connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=timeout,
                close_timeout=0.2,
                ping_interval=PING_SECONDS,
                ping_timeout=PING_SECONDS,
                proxy=None,
            )
        )
    except (OSError, asyncio.TimeoutError, WebSocketException) as error:
        raise LinkClosed(str(error)) from error
    return PeerLink(socket=socket)
