"""Accept connections, few at a time and each with a bounded receive buffer."""

import asyncio
import socket
from collections.abc import Callable

# Connections that may wait in the kernel to be accepted, and the number accepted in one
# pass of the event loop: each takes a descriptor until it is admitted or closed.
BACKLOG = 1024
ACCEPTS_PER_PASS = 32


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address; port 0 takes a free port."""
    return socket.create_server((host, port), backlog=BACKLOG)


async def accept_connections(
    listener: socket.socket,
    factory: Callable[[], asyncio.BaseProtocol],
    *,
    receive_buffer_bytes: int,
) -> asyncio.Server:
    """Create a protocol for each connection to a listening socket.

    The size of the kernel's receive buffer bounds what it holds unread for each.
    """
    # Connections inherit it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(factory, sock=listener, backlog=ACCEPTS_PER_PASS)
    # The loop accepts as many connections in one pass as its backlog says, and has told
    # the kernel the same number.
    listener.listen(BACKLOG)
    return server
