"""Open TCP connections for the HTTP client."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from mallowpond.transport.timeouts import lag_tolerant_timeout


@dataclass(frozen=True, kw_only=True)
class Connected:
    """An open connection; `proxy` is the host that it leads through, "" if direct."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    proxy: str = ""


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
                    host, int(port), local_addr=self._local
                )
        except TimeoutError:
            return ConnectFailed(reason="connect timeout")
        except OSError as error:
            return ConnectFailed(reason=str(error), is_refused=True)
        return Connected(reader=reader, writer=writer)
