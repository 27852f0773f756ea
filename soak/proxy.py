"""A TCP proxy between two processes that can delay, drop or reset connections."""

import asyncio
from enum import Enum

READ_SIZE = 65536
# Delay of every chunk on a slow link, in seconds; several times the usual answer time.
SLOW_SECONDS = 0.3


class LinkMode(str, Enum):
    """How a link treats connections and their bytes.

    SOUND relays them. SLOW delays every chunk. RESET resets all connections. SILENT
    discards bytes in both directions, ONE_WAY only replies.
    """

    SOUND = "sound"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Relays connections from one loopback port to another."""

    def __init__(self, *, target_port: int) -> None:
        self._target_port = target_port
        self._mode = LinkMode.SOUND
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port on which the proxy listens; requires `start`."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 lets the system choose one."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode; reset connections that lost bytes in the earlier one."""
        was_silent = self._mode in (LinkMode.SILENT, LinkMode.ONE_WAY)
        self._mode = mode
        if mode is LinkMode.RESET or was_silent:
            # Bytes were discarded, so that these connections cannot be continued.
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is LinkMode.RESET:
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers.add(upstream_writer)
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, is_reply=False),
                self._pump(upstream_reader, writer, is_reply=True),
            )
        finally:
            self._writers.discard(upstream_writer)
            upstream_writer.transport.abort()
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_reply: bool,
    ) -> None:
        while data := await reader.read(READ_SIZE):
            if self._mode is LinkMode.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
            if self._mode is LinkMode.SILENT or (
                self._mode is LinkMode.ONE_WAY and is_reply
            ):
                # Discard the bytes without closing either side.
                continue
            writer.write(data)
            await writer.drain()
        if self._mode in (LinkMode.SILENT, LinkMode.ONE_WAY):
            await asyncio.Event().wait()
        # The end of one direction ends both: no peer here half-closes a connection.
        raise ConnectionResetError
