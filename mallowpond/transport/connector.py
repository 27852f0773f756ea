"""Open TCP connections for the HTTP client, and observe when servers are silent."""

import asyncio
import socket
import time
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Protocol

from mallowpond.state.buffer_sizes import (
    CONNECTION_READ_BYTES,
    TARGET_RECEIVE_BUFFER_BYTES,
)
from mallowpond.transport.timeouts import lag_tolerant_timeout


@dataclass(frozen=True, kw_only=True)
class Silence:
    """How long a server has been silent while a read from it waits, in seconds."""

    address: str
    seconds: float


@dataclass(kw_only=True)
class LinkActivity:
    """Reads that wait on direct connections, and when any of them last got bytes."""

    _heard_at: float = field(default_factory=time.monotonic)
    _reset_at: float = float("-inf")
    _waiting: dict[Hashable, tuple[str, float]] = field(default_factory=dict)

    def begin_wait(self, key: Hashable, address: str) -> None:
        """Record that a read of bytes from a server begins to wait."""
        self._waiting[key] = (address, time.monotonic())

    def end_wait(self, key: Hashable, *, is_heard: bool, is_reset: bool) -> None:
        """Record that a read ended, and whether it got bytes or a reset."""
        self._waiting.pop(key, None)
        if is_heard:
            self._heard_at = time.monotonic()
        if is_reset:
            self._reset_at = time.monotonic()

    @property
    def is_reset(self) -> bool:
        """Return whether a connection was reset and no bytes have come since."""
        return self._reset_at > self._heard_at

    @property
    def seconds_since_heard(self) -> float:
        """Return the time since bytes came over any direct connection."""
        return time.monotonic() - self._heard_at

    def longest_silence(self) -> Silence | None:
        """Return the longest wait during which no server at all was heard."""
        if not self._waiting:
            return None
        address, since = min(self._waiting.values(), key=lambda wait: wait[1])
        seconds = time.monotonic() - max(since, self._heard_at)
        return Silence(address=address, seconds=seconds)


def _always() -> bool:
    return True


@dataclass(frozen=True, kw_only=True)
class Connected:
    """An open connection.

    proxy: name of the host that it leads through, "" if it is direct.
    activity: record of the silence of its kind of connections.
    may_reuse: returns whether another request may be sent on it.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    proxy: str = ""
    activity: LinkActivity = field(default_factory=LinkActivity)
    may_reuse: Callable[[], bool] = _always


@dataclass(frozen=True, kw_only=True)
class ConnectFailed:
    """No connection was opened; `is_refused` tells a refusal from silence."""

    reason: str
    is_refused: bool = False


class Connector(Protocol):
    """Opens connections to servers by their address, `host:port`."""

    async def connect(self, address: str) -> Connected | ConnectFailed:
        """Open a connection."""


class DirectConnector:
    """Opens connections without a proxy.

    `source` is the local address that they leave from, "" for the default one.
    """

    def __init__(self, *, connect_seconds: float = 1.0, source: str = "") -> None:
        self._connect_seconds = connect_seconds
        self._local = (source, 0) if source else None

    async def connect(self, address: str) -> Connected | ConnectFailed:
        """Open a connection, or fail after the timeout."""
        host, _, port = address.rpartition(":")
        try:
            async with lag_tolerant_timeout(self._connect_seconds):
                reader, writer = await asyncio.open_connection(
                    host,
                    int(port),
                    local_addr=self._local,
                    limit=CONNECTION_READ_BYTES,
                )
                # It bounds what the kernel holds of an answer that nobody reads.
                opened = writer.get_extra_info("socket")
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, TARGET_RECEIVE_BUFFER_BYTES
                )
        except TimeoutError:
            return ConnectFailed(reason="connect timeout")
        except OSError as error:
            return ConnectFailed(reason=str(error), is_refused=True)
        return Connected(reader=reader, writer=writer)
