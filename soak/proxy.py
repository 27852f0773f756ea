"""A TCP proxy between two processes that can delay, drop or reset connections."""

import asyncio
from enum import Enum

from soak.packet_filter import drop_packets_from

READ_SIZE = 65536
# Delay of every chunk on a slow link, in seconds; several times the usual answer time.
SLOW_SECONDS = 0.3


class LinkMode(str, Enum):
    """How a link treats connections and their bytes.

    SOUND relays them. SLOW delays every chunk. RESET resets all connections. SILENT
    discards bytes in both directions, ONE_WAY only replies. NO_NEW relays on open
    connections. From a single source, new connections do not open in RESET, SILENT and
    NO_NEW.
    """

    SOUND = "sound"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    NO_NEW = "no_new"


NO_CONNECT_MODES = (LinkMode.RESET, LinkMode.SILENT, LinkMode.NO_NEW)


class Proxy:
    """Relays connections from one loopback port to another.

    Connections from one source address may be in another mode than the others.
    """

    def __init__(self, *, target_port: int) -> None:
        self._target_port = target_port
        self._mode = LinkMode.SOUND
        self._source_modes: dict[str, LinkMode] = {}
        # Sources whose new connections are not answered.
        self._filtered: tuple[str, ...] = ()
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}
        # Connections whose bytes are discarded for good.
        self._silenced: set[asyncio.Task[None]] = set()
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

    def set_mode(self, mode: LinkMode, source: str | None = None) -> None:
        """Change the mode of all connections, or of those from one source address.

        Connections that lost bytes in the earlier mode are reset.
        """
        earlier = self._mode
        if source is None:
            self._mode = mode
        else:
            earlier = self._mode_of(source)
            self._source_modes[source] = mode
            self._filter_new_connections()
        was_silent = earlier in (LinkMode.SILENT, LinkMode.ONE_WAY)
        if mode is LinkMode.RESET or was_silent:
            # Bytes were discarded, so that these connections cannot be continued.
            self._abort_all(source)

    def silence_open_connections(self) -> None:
        """Discard all bytes of the open connections for good; new ones work."""
        self._silenced |= self._tasks

    def _filter_new_connections(self) -> None:
        assert self._server is not None
        modes = self._source_modes.items()
        cut = tuple(source for source, mode in modes if mode in NO_CONNECT_MODES)
        if cut != self._filtered:
            self._filtered = cut
            drop_packets_from(self._server.sockets[0], cut)

    def _mode_of(self, source: str) -> LinkMode:
        return self._source_modes.get(source, self._mode)

    def _abort_all(self, source: str | None = None) -> None:
        for writer, origin in list(self._writers.items()):
            if source in (None, origin):
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        source = writer.get_extra_info("peername")[0]
        self._tasks.add(task)
        self._writers[writer] = source
        try:
            await self._relay(reader, writer, source)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.pop(writer, None)
            self._tasks.discard(task)
            self._silenced.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str
    ) -> None:
        if self._mode_of(source) is LinkMode.RESET:
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers[upstream_writer] = source
        task = asyncio.current_task()
        assert task is not None

        async def pump(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            *,
            is_reply: bool,
        ) -> None:
            await self._pump(reader, writer, source, task, is_reply=is_reply)

        try:
            await asyncio.gather(
                pump(reader, upstream_writer, is_reply=False),
                pump(upstream_reader, writer, is_reply=True),
            )
        finally:
            self._writers.pop(upstream_writer, None)
            upstream_writer.transport.abort()
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        task: asyncio.Task[None],
        *,
        is_reply: bool,
    ) -> None:
        while data := await reader.read(READ_SIZE):
            mode = self._mode_of(source)
            if mode is LinkMode.SLOW:
                await asyncio.sleep(SLOW_SECONDS)
            is_silent = mode is LinkMode.SILENT or task in self._silenced
            if is_silent or (mode is LinkMode.ONE_WAY and is_reply):
                # Discard the bytes without closing either side.
                continue
            writer.write(data)
            await writer.drain()
        if self._mode_of(source) in (LinkMode.SILENT, LinkMode.ONE_WAY):
            await asyncio.Event().wait()
        # The end of one direction ends both: no peer here half-closes a connection.
        raise ConnectionResetError
