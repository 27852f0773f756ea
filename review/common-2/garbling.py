"""A stand-in for the fault that an engine also sends a second answer, late.

It stands between the nodes and one engine. After the answer to an order that it chose
to double, it sends a copy of that answer at the point where the next answer on that
connection is expected. Everything else passes as it is.
"""

import asyncio

READ_SIZE = 65536


class ExtraAnswers:
    """Relays connections to one engine, and doubles the answers to some orders.

    `operation` is that of the orders, and `most` the number of answers to double.
    """

    def __init__(self, *, target_port: int, operation: str, most: int) -> None:
        self._target_port = target_port
        self._marker = f'"{operation}"'.encode()
        self.left = most
        self.answers = 0
        self.doubled: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream = None
        try:
            far_reader, upstream = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            last = bytearray()
            pumps = {
                asyncio.ensure_future(self._up(reader, writer, upstream, last)),
                asyncio.ensure_future(self._down(far_reader, writer, last)),
            }
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if upstream is not None:
                upstream.close()
            self._tasks.discard(task)

    async def _up(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream: asyncio.StreamWriter,
        last: bytearray,
    ) -> None:
        """Pass requests on; `last` collects the answer to the one before."""
        is_chosen = False
        while data := await reader.read(READ_SIZE):
            if is_chosen and self.left > 0:
                # The next answer on this connection is expected from now on.
                self.left -= 1
                self.doubled.append(bytes(last) + b" before " + data[:60])
                writer.write(bytes(last))
            last.clear()
            is_chosen = data.startswith(b"POST /-/order") and self._marker in data
            self.answers += 1
            upstream.write(data)

    async def _down(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last: bytearray,
    ) -> None:
        while data := await reader.read(READ_SIZE):
            last += data
            del last[:-READ_SIZE]
            writer.write(data)
