"""The client reports in which phase a call failed, and reuses connections safely."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from mallowpond.state.payload_memory import COPIES, PayloadMemory
from mallowpond.state.process_limits import DEFAULT_LIMITS
from mallowpond.transport import http_client
from mallowpond.transport.http_client import (
    CallFailed,
    Chunk,
    End,
    FailurePhase,
    HttpClient,
)
from mallowpond.transport.tests import scripted


async def call(address, new_connection=False):
    http = HttpClient(connect_seconds=0.5)
    try:
        async with asyncio.timeout(1.0):
            response = await http.send(
                address, "POST", "/x", body=b"hello", new_connection=new_connection
            )
        if isinstance(response, CallFailed):
            return response
        body = await response.read()
        response.close()
        return body
    finally:
        await http.close()


async def test_refused_connection_left_no_byte():
    response = await call("127.0.0.1:1")
    assert response.phase is FailurePhase.CONNECT
    assert not response.may_have_sent


@pytest.mark.parametrize(
    "script",
    [
        scripted.close_after_a_byte,
        scripted.close_after_request,
        scripted.answer_garbage,
        scripted.cut_inside_head,
        scripted.cut_body(b"half", 8),
        scripted.cut_chunked(b"half"),
    ],
)
async def test_any_failure_after_the_first_byte_may_have_run(script):
    async with scripted.scripted_server(script) as address:
        response = await call(address)
    assert isinstance(response, CallFailed)
    assert response.may_have_sent


async def test_whole_chunked_answer_is_whole():
    script = scripted.cut_chunked(b"a", b"b", end=True)
    async with scripted.scripted_server(script) as address:
        assert await call(address) == b"ab"


async def test_chunks_that_arrive_together_come_as_one():
    script = scripted.cut_body(b"abc" * 1000, 3000)
    async with scripted.scripted_server(script) as address:
        http = HttpClient()
        response = await http.send(address, "GET", "/")
        await asyncio.sleep(0.05)
        events = [event async for event in response.events()]
        await http.close()
    assert events == [Chunk(data=b"abc" * 1000), End()]


async def test_connection_with_an_unread_rest_is_never_used_again():
    """A caller must not receive the rest of another caller's response.

    The first caller closes its response early. If the connection returned to the pool
    with bytes still to come, the next request on it would read them.
    """
    connections = 0

    async def count_connections(reader, writer):
        nonlocal connections
        connections += 1
        await scripted.cut_body(b"half", 8)(reader, writer)
        await asyncio.sleep(5)

    async with scripted.scripted_server(count_connections) as address:
        http = HttpClient()
        first = await http.send(address, "GET", "/")
        first.close()
        second = await http.send(address, "GET", "/")
        second.close()
        await http.close()
    assert connections == 2


async def test_connection_closed_while_kept_is_replaced():
    script = scripted.cut_body(b"whole", 5)
    async with scripted.scripted_server(script) as address:
        http = HttpClient()
        for _ in range(3):
            assert await http.fetch(address, "GET", "/") == (200, b"whole")
            await asyncio.sleep(0.02)
        await http.close()


async def test_body_that_falls_silent_fails():
    """A stream must not hang and keep its slot when its engine pauses.

    The engine pauses in the middle of a response. Without a limit on the time between
    chunks, the stream would wait for ever.
    """

    async def pause_in_body(reader, writer):
        await scripted.cut_body(b"half", 8)(reader, writer)
        await asyncio.sleep(60)

    async with scripted.scripted_server(pause_in_body) as address:
        http = HttpClient()
        response = await http.send(address, "GET", "/")
        async with asyncio.timeout(10):
            events = [event async for event in response.events(0.1)]
        response.close()
        await http.close()
    assert events[0] == Chunk(data=b"half")
    assert isinstance(events[1], CallFailed)


@pytest.mark.parametrize("seconds", ["9" * 400, "9" * 5000, "", "x", "-1"])
async def test_a_keep_alive_time_that_is_no_time_counts_as_none(seconds):
    """An invalid keep-alive timeout must not fail a request with a complete response.

    A server sends a timeout of some hundred digits; converted to a number and
    multiplied, it overflows.
    """

    async def script(reader, writer):
        await scripted.read_request(reader)
        head = f"HTTP/1.1 200 X\r\nkeep-alive: timeout={seconds}\r\n"
        writer.write(f"{head}content-length: 2\r\n\r\nok".encode())
        await writer.drain()

    async with scripted.scripted_server(script) as address:
        assert await call(address) == b"ok"


def answer_of(status, body, echo=b""):
    """Return an answer with these headers."""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        echo,
        len(body),
        body,
    )


@pytest.mark.parametrize("late_status", [200, 202, 421, 503])
async def test_a_late_answer_to_a_request_without_an_id_is_not_taken_for_another(
    late_status,
):
    """Guards against an order's second answer that a caller gets for its own."""

    async def repeat_first_answer(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(late_status, b"{}"))
        request = await scripted.read_request(reader)
        writer.write(answer_of(late_status, b"{}"))
        await asyncio.sleep(0.02)
        writer.write(answer_of(200, b"own", scripted.echo_of(request)))
        await reader.read()

    http = HttpClient()
    async with scripted.scripted_server(repeat_first_answer) as address:
        assert (await http.fetch(address, "POST", "/order"))[0] == late_status
        response = await http.send(
            address,
            "POST",
            "/x",
            headers=(("mallowpond-attempt", "a1"),),
            echo=("mallowpond-attempt", "a1"),
        )
        assert (response.status, await response.read()) == (200, b"own")
        response.close()
    await http.close()


async def test_an_answer_without_an_id_counts_where_no_other_can_be_due():
    """Guards against waiting in vain for a server that copies no header."""

    async def answer_without_id(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(200, b"own"))
        await reader.read()

    http = HttpClient()
    async with scripted.scripted_server(answer_without_id) as address:
        response = await http.send(address, "POST", "/x", echo=("mallowpond-a", "1"))
        assert await response.read() == b"own"
        response.close()
    await http.close()


async def use_once(http, address):
    """Send a request and leave its connection idle."""
    status, _ = await http.fetch(address, "GET", "/x")
    assert status == 200


async def close_when_told(told, closed):
    """Return a script that answers once, and closes the connection when told."""

    async def script(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(200, b"ok"))
        await told.wait()
        writer.write_eof()
        # The end comes once the client has closed its side as well.
        await reader.read()
        closed.append(1)

    return script


async def test_idle_connections_to_servers_that_are_gone_are_closed(monkeypatch):
    """Guards against a host without descriptors once many engines were replaced."""
    monkeypatch.setattr(http_client, "SWEEP_SECONDS", 0.0)
    http, told, closed = HttpClient(), asyncio.Event(), []
    async with scripted.scripted_server(await close_when_told(told, closed)) as gone:
        await use_once(http, gone)
        told.set()
        await asyncio.sleep(0.02)
        async with scripted.scripted_server(scripted.answer_requests) as other:
            await use_once(http, other)
            await asyncio.sleep(0.02)
            assert closed
            assert list(http._idle) == [other]
    await http.close()


async def test_idle_connections_have_a_limit_over_all_servers():
    """Guards against descriptors that run out in front of thousands of engines."""
    http = HttpClient(process_limits=replace(DEFAULT_LIMITS, idle_connections=3))
    async with AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(
                scripted.scripted_server(scripted.answer_requests)
            )
            for _ in range(5)
        ]
        for address in addresses:
            await use_once(http, address)
        assert [a for a in addresses if http._idle[a]] == addresses[2:]
        assert http._idle_count == 3
    await http.close()


@pytest.mark.parametrize("status", [200, 404])
async def test_an_answer_to_connect_ends_and_blocks_nothing(status):
    """Guards against a process that hangs on a request with this method."""

    async def script(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(status, b"ok"))
        await reader.read()

    http = HttpClient()
    async with scripted.scripted_server(script) as address:
        async with asyncio.timeout(2.0):
            response = await http.send(address, "CONNECT", address)
            if not isinstance(response, CallFailed):
                await response.read()
                response.close()
    await http.close()


ENDLESS_HEADS = [
    b"HTTP/1.1 200 X\r\n\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n",
    b"HTTP/1.1 200 X\r\nEndless: ",
    b"no answer at all ",
]


@pytest.mark.parametrize("head", ENDLESS_HEADS)
async def test_bytes_without_end_end_the_call_and_its_connection(head):
    """Guards against a host whose memory a server fills until it is killed."""
    written = []

    async def send_without_end(reader, writer):
        await scripted.read_request(reader)
        writer.write(head)
        while True:
            writer.write(b"x" * 65536)
            await writer.drain()
            written.append(65536)

    http = HttpClient()
    async with scripted.scripted_server(send_without_end) as address:
        found = await http.fetch(address, "GET", "/x", timeout=10.0)
        assert isinstance(found, CallFailed)
        assert sum(written) < 2 * http_client.MAX_BODY_BYTES
    assert http.memory.held_bytes == 0
    await http.close()


async def test_an_answer_has_no_more_than_the_memory_for_it():
    """Guards against one answer that exceeds what a small host has for all."""

    async def send_much(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(200, b"x" * 300_000))
        await reader.read()

    http = HttpClient(memory=PayloadMemory(max_bytes=COPIES * 200_000))
    async with scripted.scripted_server(send_much) as address:
        assert isinstance(await http.fetch(address, "GET", "/x"), CallFailed)
    assert http.memory.held_bytes == 0
    await http.close()


async def test_bodies_that_are_read_at_once_have_a_limit_together():
    """Guards against many servers that send bytes without end at once."""

    async def send_much(reader, writer):
        await scripted.read_request(reader)
        writer.write(answer_of(200, b"x" * 300_000))
        await reader.read()

    http, held = HttpClient(), []
    http.memory = memory = PayloadMemory(max_bytes=COPIES * 1_000_000)

    async def watch():
        while True:
            held.append(memory.held_bytes)
            await asyncio.sleep(0)

    watching = asyncio.create_task(watch())
    async with scripted.scripted_server(send_much) as address:
        calls = [http.fetch(address, "GET", "/x") for _ in range(9)]
        found = await asyncio.gather(*calls)
    watching.cancel()
    assert [len(body) for _, body in found] == 9 * [300_000]
    # The oldest may exceed the limit.
    assert 0 < max(held) <= COPIES * (1_000_000 + 300_000)
    assert memory.held_bytes == 0
    await http.close()
