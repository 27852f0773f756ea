"""A raw TCP server that runs a scripted fault on each connection."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def scripted_server(script: Script):
    """Run the script on each connection to a loopback port; yield the address."""

    async def run_script(reader, writer):
        try:
            await script(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(run_script, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request with its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head + await reader.readexactly(int(line.split(b":")[1]))
    return head


def echo_of(request: bytes) -> bytes:
    """Return the headers of a request that an engine copies into its response."""
    lines = request.split(b"\r\n")
    return b"".join(l + b"\r\n" for l in lines if l.startswith(b"mallowpond-"))


async def answer_requests(reader, writer):
    """Answer each request with a short body."""
    while True:
        try:
            await read_request(reader)
        except asyncio.IncompleteReadError:
            return
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")


async def close_at_once(reader, writer):
    """Accept and close without reading."""


async def close_after_request(reader, writer):
    """Read the whole request and close."""
    await read_request(reader)


async def close_after_a_byte(reader, writer):
    """Read one byte and close."""
    await reader.readexactly(1)


async def stay_silent(reader, writer):
    """Read the request and never answer."""
    await read_request(reader)
    await asyncio.sleep(60)


async def answer_garbage(reader, writer):
    """Answer with bytes that are not HTTP."""
    await read_request(reader)
    writer.write(b"\x00\x01garbage\r\n\r\n")
    await writer.drain()


async def cut_inside_head(reader, writer):
    """Close in the middle of the response head."""
    await read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-")
    await writer.drain()


async def answer_for_another(reader, writer):
    """Answer with the id of another request."""
    await read_request(reader)
    writer.write(
        b"HTTP/1.1 200 OK\r\nmallowpond-request: other\r\ncontent-length: 2\r\n\r\nok"
    )
    await writer.drain()


async def respond_not_started(reader, writer):
    """Refuse, stating that the request was not started."""
    await read_request(reader)
    writer.write(
        b"HTTP/1.1 409 Conflict\r\nmallowpond-outcome: not_started\r\n"
        b"content-length: 0\r\n\r\n"
    )
    await writer.drain()


def cut_body(body: bytes, length: int) -> Script:
    """Send `body` under a content length of `length`, then close."""

    async def script(reader, writer):
        echo = echo_of(await read_request(reader))
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            + echo
            + b"content-length: %d\r\n\r\n" % length
            + body
        )
        await writer.drain()

    return script


def cut_chunked(*parts: bytes, end: bool = False) -> Script:
    """Send chunks and close; send the final chunk first only with `end`."""

    async def script(reader, writer):
        echo = echo_of(await read_request(reader))
        head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        writer.write(head + echo + b"transfer-encoding: chunked\r\n\r\n")
        for part in parts:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        if end:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    return script
