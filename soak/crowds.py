"""Crowds of clients that misbehave, run as a process of their own.

Each client opens a connection, sends what its kind sends, and leaves the connection
open. It comes again when it is refused or closed.
"""

import asyncio
import random
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import Enum
from typing import Annotated

import typer

from mallowpond.coordination.tasks import cancel_task
from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import LARGE_ANSWER

BODY_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
SMALL_BODY_BYTES = 64 * 1024
SENT_AHEAD_BYTES = 60_000
# Bytes of a head that never ends, just below what a client may send, and fields of one
# that ends, each as short as a field can be.
HEAD_BYTES = 15_000
FIELDS = 2_500
PATH = "/again/x"
DEADLINE_MS = 10_000
# Pause before a client that was refused or closed comes again, and between two bytes of
# a client that sends slowly, in seconds.
RETURN_SECONDS = 0.02
TRICKLE_SECONDS = 0.1
# Time for which a client reads nothing of a long answer, in seconds.
UNREAD_SECONDS = 20.0
# What a crowd prints once each of its clients has connected.
COMPLETE = b"complete\n"


class CrowdKind(str, Enum):
    """What each client of a crowd sends.

    Bodies: of the largest size, whole, or all but their last byte; in large chunks or
    in chunks of one byte without the last chunk; small ones without their last byte,
    with a length or in one chunk. Requests sent ahead without end, whose answers are
    not read: with nothing but a Host, valid small ones, valid ones of 60,000 bytes.
    Nothing at all; a head without its end; one of many fields, with a body that never
    comes; a request byte by byte. Requests for long answers, which are not read.
    """

    WHOLE_BODIES = "whole-bodies"
    SHORT_BODIES = "short-bodies"
    LARGE_CHUNKS = "large-chunks"
    BYTE_CHUNKS = "byte-chunks"
    SMALL_SHORT_BODIES = "small-short-bodies"
    SMALL_SHORT_CHUNK = "small-short-chunk"
    BARE_AHEAD = "bare-ahead"
    SMALL_AHEAD = "small-ahead"
    LARGE_AHEAD = "large-ahead"
    SILENT = "silent"
    OPEN_HEADS = "open-heads"
    MANY_FIELDS = "many-fields"
    TRICKLE = "trickle"
    LONG_ANSWERS = "long-answers"


def post_head(path: str, fields: str, *, key: str) -> bytes:
    """Return the head of a valid request, with more fields."""
    attempt = f"{random.getrandbits(64):016x}"
    return (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"{names.AUTHORIZATION}: Bearer {key}\r\n{names.ATTEMPT}: {attempt}\r\n"
        f"{names.DEADLINE}: {DEADLINE_MS}\r\n{fields}\r\n"
    ).encode()


class Crowd:
    """Clients of one kind at one address, each with a connection."""

    def __init__(
        self,
        *,
        kind: CrowdKind,
        clients: int,
        host: str,
        port: int,
        path: str,
        key: str,
    ) -> None:
        self._kind = kind
        self._clients = clients
        self._host = host
        self._port = port
        self._path = path
        self._key = key
        self._arrived = 0

    async def run(self) -> None:
        """Let every client come, again and again, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._clients):
                group.create_task(self._come_repeatedly())

    async def _come_repeatedly(self) -> None:
        is_first = True
        while True:
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(self._host, self._port)
                if is_first:
                    self._count_arrival()
                    is_first = False
                try:
                    await self._send(writer)
                    await self._stay(reader)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RETURN_SECONDS)

    def _count_arrival(self) -> None:
        self._arrived += 1
        if self._arrived == self._clients:
            sys.stdout.buffer.write(COMPLETE)
            sys.stdout.buffer.flush()

    async def _stay(self, reader: asyncio.StreamReader) -> None:
        if self._kind is CrowdKind.WHOLE_BODIES:
            await reader.readuntil(b"\r\n\r\n")
            return
        if self._kind is CrowdKind.LONG_ANSWERS:
            await asyncio.sleep(UNREAD_SECONDS)
            return
        while await reader.read(CHUNK_BYTES):
            pass

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        match self._kind:
            case CrowdKind.WHOLE_BODIES:
                await self._send_body(writer, BODY_BYTES, BODY_BYTES)
            case CrowdKind.SHORT_BODIES:
                await self._send_body(writer, BODY_BYTES, BODY_BYTES - 1)
            case CrowdKind.SMALL_SHORT_BODIES:
                await self._send_body(writer, SMALL_BODY_BYTES, SMALL_BODY_BYTES - 1)
            case CrowdKind.LARGE_CHUNKS:
                chunk = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
                await self._send_chunks(writer, chunk, BODY_BYTES // CHUNK_BYTES)
            case CrowdKind.BYTE_CHUNKS:
                batch = CHUNK_BYTES // 8
                chunks = b"1\r\nx\r\n" * batch
                await self._send_chunks(writer, chunks, BODY_BYTES // batch)
            case CrowdKind.SMALL_SHORT_CHUNK:
                size = SMALL_BODY_BYTES
                chunk = b"%x\r\n" % size + b"x" * (size - 1)
                await self._send_chunks(writer, chunk, 1)
            case CrowdKind.BARE_AHEAD:
                await _send_ahead(writer, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            case CrowdKind.SMALL_AHEAD:
                await _send_ahead(writer, self._request(b"x"))
            case CrowdKind.LARGE_AHEAD:
                await _send_ahead(writer, self._request(b"x" * SENT_AHEAD_BYTES))
            case CrowdKind.SILENT:
                pass
            case CrowdKind.OPEN_HEADS:
                field = "x-padding: " + "y" * HEAD_BYTES
                writer.write(post_head(self._path, field, key=self._key)[:-2])
                await writer.drain()
            case CrowdKind.MANY_FIELDS:
                fields = "a:b\r\n" * FIELDS + "Content-Length: 10\r\n"
                writer.write(post_head(self._path, fields, key=self._key))
                await writer.drain()
            case CrowdKind.TRICKLE:
                for byte in self._request(b"x" * 600):
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(TRICKLE_SECONDS)
            case CrowdKind.LONG_ANSWERS:
                writer.transport.pause_reading()
                writer.write(self._request(LARGE_ANSWER))
                await writer.drain()

    def _request(self, body: bytes) -> bytes:
        fields = f"Content-Length: {len(body)}\r\n"
        return post_head(self._path, fields, key=self._key) + body

    async def _send_body(
        self, writer: asyncio.StreamWriter, announced: int, sent: int
    ) -> None:
        fields = f"Content-Length: {announced}\r\n"
        writer.write(post_head(self._path, fields, key=self._key))
        for start in range(0, sent, CHUNK_BYTES):
            writer.write(b"x" * min(CHUNK_BYTES, sent - start))
            await writer.drain()

    async def _send_chunks(
        self, writer: asyncio.StreamWriter, chunk: bytes, count: int
    ) -> None:
        fields = "Transfer-Encoding: chunked\r\n"
        writer.write(post_head(self._path, fields, key=self._key))
        for _ in range(count):
            writer.write(chunk)
            await writer.drain()


async def _send_ahead(writer: asyncio.StreamWriter, request: bytes) -> None:
    """Send requests without end and read nothing, until the connection fails."""
    writer.transport.pause_reading()
    batch = request * max(1, CHUNK_BYTES // len(request))
    while True:
        writer.write(batch)
        await writer.drain()


@asynccontextmanager
async def running_crowd(
    *,
    kind: CrowdKind,
    clients: int,
    port: int,
    host: str = "127.0.0.1",
    path: str = PATH,
    key: str = "key-a",
) -> AsyncIterator[asyncio.Event]:
    """Run a crowd in a process; the event tells that all have connected."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "soak.crowds", kind.value),
        *("--clients", str(clients), "--host", host, "--port", str(port)),
        *("--path", path, "--key", key),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    complete = asyncio.Event()

    async def follow(output: asyncio.StreamReader) -> None:
        if await output.readline() == COMPLETE:
            complete.set()

    task = asyncio.create_task(follow(process.stdout))
    try:
        yield complete
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await cancel_task(task)


def main(
    kind: Annotated[CrowdKind, typer.Argument(help="What each client sends.")],
    clients: Annotated[int, typer.Option(help="Number of clients.")],
    port: Annotated[int, typer.Option(help="Port of the server.")],
    host: Annotated[str, typer.Option(help="Its address.")] = "127.0.0.1",
    path: Annotated[str, typer.Option(help="Path of valid requests.")] = PATH,
    key: Annotated[str, typer.Option(help="API key of valid requests.")] = "key-a",
) -> None:
    """Let a crowd of clients come until the process is killed."""
    crowd = Crowd(kind=kind, clients=clients, host=host, port=port, path=path, key=key)
    asyncio.run(crowd.run())


if __name__ == "__main__":
    typer.run(main)
