"""Bad input, incomplete responses, and stops with requests in progress."""

import asyncio
import contextlib
import socket
import time
import tracemalloc
from dataclasses import replace

import pytest

from mallowpond.state.buffer_sizes import (
    RECEIVE_BUFFER_BYTES,
    WIDE_RECEIVE_BUFFER_BYTES,
)
from mallowpond.state.payload_memory import COPIES, PayloadMemory
from mallowpond.state.process_limits import DEFAULT_LIMITS
from mallowpond.transport import http_server
from mallowpond.transport.caller_connection import READ_AHEAD_BYTES
from mallowpond.transport.http_server import HttpServer, ServerLimits
from mallowpond.transport.request_reader import FIELD_BYTES

LIMITS = ServerLimits(header_bytes=500, body_bytes=100, receive_seconds=0.2)
OK = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


async def answer_to(data, handler=None, limits=LIMITS, end=False):
    """Send raw bytes to a server and return everything that it sends back."""

    async def hello(request, exchange):
        await exchange.respond(200, b"hello " + request.body)

    server = HttpServer(handler=handler or hello, limits=limits)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    finally:
        writer.close()
        await server.close()


BIG = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 200\r\n\r\n" + b"x" * 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 tls hello\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: x\r\ncontent-length: -4\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nbig: " + b"y" * 900 + b"\r\n\r\n", b"431"),
        (BIG, b"413"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nslow", b"408"),
        (b"GET / HT", b"408"),
        (b"CONNECT x:443 HTTP/1.1\r\nhost: x:443\r\n\r\n", b"405"),
    ],
)
async def test_bad_input_gets_a_clear_status_and_the_connection_ends(data, status):
    answer = await answer_to(data)
    assert answer.startswith(b"HTTP/1.1 " + status)


async def test_bodies_that_exceed_the_memory_together_are_refused_at_once():
    """Guards against a process that is killed for the sum of allowed bodies."""
    release, served = asyncio.Event(), []

    async def hold(request, exchange):
        served.append(len(request.body))
        await release.wait()
        await exchange.respond(200, b"ok")

    memory = PayloadMemory(max_bytes=COPIES * 400_000)
    limits = ServerLimits(body_bytes=100_000)
    server = HttpServer(handler=hold, limits=limits, memory=memory)
    await server.start("127.0.0.1", 0)
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n"
    opened = []
    for _ in range(3):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(head + b"x" * 100_000)
        opened.append((reader, writer))
    while len(served) < 3:
        await asyncio.sleep(0.01)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(head)
    refusal = await reader.read()
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in refusal.lower()
    opened.append((reader, writer))
    release.set()
    for reader, _ in opened[:3]:
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    for _, writer in opened:
        writer.close()
    await server.close()
    assert memory.held_bytes == 0


async def test_a_slow_sender_of_a_large_body_makes_room_for_others():
    """Guards against announced bodies that keep others out until their limit."""
    memory = PayloadMemory(max_bytes=COPIES * 400_000)
    limits = ServerLimits(body_bytes=300_000, receive_seconds=20.0)

    async def hello(request, exchange):
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hello, limits=limits, memory=memory)
    await server.start("127.0.0.1", 0)
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 250000\r\n\r\n"
    slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", server.port)
    slow_writer.write(head + b"x")
    await asyncio.sleep(0.7)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(head + b"x" * 250_000)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    assert (await slow_reader.readline()).startswith(b"HTTP/1.1 408 ")
    for each in (slow_writer, writer):
        each.close()
    await server.close()
    assert memory.held_bytes == 0


async def test_a_body_above_the_limit_is_refused_before_it_arrives():
    answer = await answer_to(BIG[:-150])
    assert answer.startswith(b"HTTP/1.1 413 ")


async def ask(reader, writer):
    """Send a request and return the status line of its answer."""
    writer.write(OK)
    async with asyncio.timeout(2.0):
        answer = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(answer.split(b"content-length: ")[1].split()[0]))
    return answer


async def test_idle_connections_make_room_for_new_ones():
    """Guards against callers without an answer as idle ones hold all descriptors."""

    async def hello(request, exchange):
        await exchange.respond(200, b"hello ")

    limits = replace(DEFAULT_LIMITS, caller_connections=20)
    server = HttpServer(handler=hello, process_limits=limits)
    await server.start("127.0.0.1", 0)
    opened = []
    for _ in range(40):
        connection = await asyncio.open_connection("127.0.0.1", server.port)
        assert (await ask(*connection)).startswith(b"HTTP/1.1 200 ")
        opened.append(connection)
    await asyncio.sleep(0.05)
    closed = [reader.at_eof() for reader, _ in opened]
    assert closed == 20 * [True] + 20 * [False]
    for _, writer in opened:
        writer.close()
    await server.close()


async def test_a_connection_beyond_the_limit_is_refused_as_not_run():
    """Guards against callers without an answer while others hold all descriptors."""
    release, held_requests = asyncio.Event(), []

    async def hold(request, exchange):
        held_requests.append(request)
        await release.wait()
        await exchange.respond(200, b"hello ")

    limits = replace(DEFAULT_LIMITS, caller_connections=20)
    server = HttpServer(handler=hold, process_limits=limits)
    await server.start("127.0.0.1", 0)
    opened = [
        await asyncio.open_connection("127.0.0.1", server.port) for _ in range(21)
    ]
    held = [asyncio.create_task(ask(*connection)) for connection in opened[:20]]
    while len(held_requests) < 20:
        await asyncio.sleep(0.01)
    refusal = await ask(*opened[20])
    assert refusal.startswith(b"HTTP/1.1 503 ") and b"retry-after: " in refusal
    release.set()
    for answer in await asyncio.gather(*held):
        assert answer.startswith(b"HTTP/1.1 200 ")
    for _, writer in opened:
        writer.close()
    await server.close()


async def test_connections_that_send_nothing_make_room_for_new_ones():
    """Guards against silent connections that keep callers out until their limit."""

    async def hello(request, exchange):
        await exchange.respond(200, b"hello ")

    limits = replace(DEFAULT_LIMITS, caller_connections=20)
    server = HttpServer(handler=hello, process_limits=limits)
    await server.start("127.0.0.1", 0)
    silent = [
        await asyncio.open_connection("127.0.0.1", server.port) for _ in range(60)
    ]
    connection = await asyncio.open_connection("127.0.0.1", server.port)
    assert (await ask(*connection)).startswith(b"HTTP/1.1 200 ")
    assert server.connection_count <= 22
    for _, writer in (*silent, connection):
        writer.close()
    await server.close()


async def test_stalled_bodies_make_room_for_others():
    """Guards against small bodies that stop short and keep the memory until a limit."""
    memory = PayloadMemory(max_bytes=COPIES * 400_000)
    limits = ServerLimits(receive_seconds=20.0)

    async def hello(request, exchange):
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hello, limits=limits, memory=memory)
    await server.start("127.0.0.1", 0)
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n"
    opened = []
    for _ in range(7):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(head + b"x" * 59_999)
        opened.append((reader, writer))
    await asyncio.sleep(0.7)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(head + b"x" * 60_000)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    assert (await opened[0][0].readline()).startswith(b"HTTP/1.1 408 ")
    for _, writer in (*opened, (reader, writer)):
        writer.close()
    await server.close()
    assert memory.held_bytes == 0


async def test_requests_sent_ahead_are_not_read_while_one_is_served():
    """Guards against buffers that grow with each request that was sent ahead."""
    release = asyncio.Event()

    async def hold(request, exchange):
        await release.wait()
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hold)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    count = 20_000
    writer.write(OK * count)
    await asyncio.sleep(0.1)
    (connection,) = server._connections
    assert 0 < len(connection.received) <= READ_AHEAD_BYTES
    release.set()
    answers = b""
    while answers.count(b"hello") < 1000:
        answers += await reader.read(65536)
        assert len(connection.received) <= READ_AHEAD_BYTES
    writer.close()
    await server.close()


async def test_a_refused_body_is_not_kept_while_its_rest_is_discarded():
    """Guards against refused bodies that no limit counts any more."""
    size = 2_000_000
    memory = PayloadMemory(max_bytes=COPIES * 2 * size)
    limits = ServerLimits(body_bytes=size)
    server = HttpServer(handler=None, limits=limits, memory=memory)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    chunk = b"2710\r\n" + b"x" * 10_000 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    with tracing_memory() as traced:
        writer.write(head)
        for _ in range(size // 10_000 + 1):
            writer.write(chunk)
            await writer.drain()
        assert (await reader.readline()).startswith(b"HTTP/1.1 413 ")
        await asyncio.sleep(0.1)
        assert (memory.held_bytes, traced() < size // 4) == (0, True)
    writer.close()
    await server.close()


@contextlib.contextmanager
def tracing_memory():
    """Yield a function that returns the bytes allocated since and not freed."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


async def test_a_head_of_many_fields_counts_as_what_it_takes():
    """Guards against parsed heads, many times their size, that no limit counts."""
    release = asyncio.Event()

    async def hold(request, exchange):
        await release.wait()
        await exchange.respond(200, b"hello")

    memory = PayloadMemory(max_bytes=COPIES * 1_000_000)
    server = HttpServer(handler=hold, memory=memory)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n" + 2000 * b"a:b\r\n" + b"\r\n")
    while not server._busy:
        await asyncio.sleep(0.01)
    assert memory.held_bytes >= 2000 * FIELD_BYTES
    release.set()
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    writer.close()
    await server.close()


@pytest.mark.parametrize(
    ("trailer", "status"),
    [(b"\r\n", b"200"), (b"a: b\r\n\r\n", b"200"), (b"a b\r\n\r\n", b"400")],
)
async def test_a_chunked_body_ends_with_its_trailer(trailer, status):
    body = b"5\r\nwhole\r\n0\r\n" + trailer
    data = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" + body
    answer = await answer_to(data + OK, end=True)
    assert answer.startswith(b"HTTP/1.1 " + status)
    if status == b"200":
        assert answer.count(b"HTTP/1.1 200") == 2
        assert b"hello whole" in answer


async def test_a_large_body_is_taken_whole_whatever_follows_it():
    """Guards against a body that takes bytes of the request behind it, or loses any."""
    body = bytes(range(256)) * 4096

    async def echo_length(request, exchange):
        is_whole = request.body in (b"", body)
        await exchange.respond(200, b"whole" if is_whole else b"other")

    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body)
    data = 2 * (head + body + OK)
    answer = await answer_to(data, echo_length, limits=ServerLimits(), end=True)
    assert answer.count(b"whole") == 4


async def test_a_large_body_that_comes_late_may_wait_in_a_larger_buffer():
    """Guards against clients far away whose bodies come too late for a small buffer."""
    size, buffers = 1_000_000, []

    async def look(request, exchange):
        (connection,) = server._connections
        found = connection.transport.get_extra_info("socket")
        buffers.append(found.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))
        await exchange.respond(200, b"%d" % len(request.body))

    server = HttpServer(handler=look, limits=ServerLimits(receive_seconds=2.0))
    await server.start("127.0.0.1", 0)
    for seconds, header in ((0.0, b""), (0.3, b"connection: close")):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % size
        writer.write(head + b"x" * 50_000)
        await asyncio.sleep(seconds)
        writer.write(b"x" * (size - 50_000))
        answer = await reader.readuntil(b"1000000")
        assert answer.startswith(b"HTTP/1.1 200 ") and header in answer.lower()
        writer.close()
        while server.connection_count:
            await asyncio.sleep(0.01)
    assert buffers == [2 * RECEIVE_BUFFER_BYTES, 2 * WIDE_RECEIVE_BUFFER_BYTES]
    await server.close()


async def test_two_requests_on_one_connection_are_answered_in_order():
    answer = await answer_to(OK + OK, end=True)
    assert answer.count(b"HTTP/1.1 200") == 2


async def test_answer_left_open_is_visibly_broken():
    """A caller must not take half a response for a complete one.

    A stream breaks off; if the server ended it like a complete one, the caller could
    not tell.
    """

    async def half(request, exchange):
        await exchange.start(200)
        await exchange.send(b"half")

    answer = await answer_to(OK, half)
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


async def test_failing_handler_breaks_its_connection_only():
    async def broken(request, exchange):
        raise ConnectionAbortedError("told to")

    assert await answer_to(OK, broken) == b""


async def test_handler_is_cancelled_when_its_caller_leaves():
    cancelled = asyncio.Event()

    async def wait(request, exchange):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server = HttpServer(handler=wait)
    await server.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(OK)
    await asyncio.sleep(0.05)
    writer.close()
    async with asyncio.timeout(2.0):
        await cancelled.wait()
    await server.close()


async def test_a_server_that_refuses_more_finishes_what_it_has():
    """A planned stop must not dispatch a request and then cut it off.

    After the last response has ended, a request arrives on an open connection just
    before the server closes; the server used to accept requests until then.
    """
    release, targets = asyncio.Event(), []

    async def wait_for_release(request, exchange):
        targets.append(request.target)
        await release.wait()
        await exchange.respond(200, b"whole")

    server = HttpServer(handler=wait_for_release)
    await server.start("127.0.0.1", 0)
    busy, busy_writer = await asyncio.open_connection("127.0.0.1", server.port)
    late, late_writer = await asyncio.open_connection("127.0.0.1", server.port)
    busy_writer.write(OK)
    while not targets:
        await asyncio.sleep(0.01)
    server.refuse_new_requests()
    late_writer.write(OK)
    async with asyncio.timeout(5.0):
        assert await _read_all(late) == b""
        release.set()
        assert (await busy.readuntil(b"whole")).startswith(b"HTTP/1.1 200")
    assert len(targets) == 1
    for writer in (busy_writer, late_writer):
        writer.close()
    await server.close()


async def test_a_request_that_has_arrived_is_served_although_its_connection_closes():
    """A request must not be dropped when its connection is closed as idle.

    It is read from the socket in the same pass of the event loop in which the server
    closes its idle connections, and used to be dropped with the read buffer.
    """

    async def hello(request, exchange):
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hello)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    async with asyncio.timeout(5.0):
        writer.write(OK)
        await reader.readuntil(b"hello")
        while not server._idle:
            await asyncio.sleep(0.001)
        writer.write(OK)
        # One pass of the event loop finds the bytes, the next one reads them, and the
        # server's task would resume with them in the one after.
        for _ in range(2):
            await asyncio.sleep(0)
        server.disable_keep_alive()
        assert (await reader.read()).endswith(b"hello")
    writer.close()
    await server.close()


@pytest.mark.parametrize("was_watched", [True, False])
async def test_a_request_that_came_before_the_last_answer_ended_is_served(
    was_watched, monkeypatch
):
    """A stopping host must not read a request and drop it.

    The previous response began before the stop and did not announce that the connection
    closes, so the caller sends its next request on it. It is read while the handler of
    that response ends, and the connection used to be closed then. Bytes that arrive
    between the end of the watch for a disconnect and the close were not read at all.
    """
    if not was_watched:
        never = asyncio.Event()
        monkeypatch.setattr(http_server, "_watch_disconnect", lambda *_: never.wait())
    targets, end = [], asyncio.Event()

    async def answer(request, exchange):
        targets.append(request.target)
        if request.target == "/first":
            await end.wait()
        await exchange.respond(200, request.target.encode())

    server = HttpServer(handler=answer)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    async with asyncio.timeout(5.0):
        writer.write(OK.replace(b"/", b"/first", 1))
        while not targets:
            await asyncio.sleep(0.001)
        server.disable_keep_alive()
        writer.write(OK.replace(b"/", b"/next", 1))
        await asyncio.sleep(0.01)
        end.set()
        assert (await reader.read()).endswith(b"/next")
    writer.close()
    await server.close()


async def test_a_request_that_came_while_the_server_stood_still_is_served():
    """A process whose event loop was blocked must not drop requests unanswered.

    The loop finds the bytes of a request and the expired idle timeout of its connection
    in the same pass, and used to close the connection as idle.
    """

    async def hello(request, exchange):
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hello, limits=ServerLimits(idle_seconds=0.5))
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    async with asyncio.timeout(5.0):
        writer.write(OK)
        await reader.readuntil(b"hello")
        while not server._idle:
            await asyncio.sleep(0.001)
        writer.write(OK)
        time.sleep(0.7)
        assert (await reader.read()).endswith(b"hello")
    writer.close()
    await server.close()


@pytest.mark.parametrize("stops_first", [True, False])
async def test_an_answer_that_was_handed_over_whole_arrives_whole(stops_first):
    """A planned stop must not truncate the response to a caller on a slow link.

    The handler has ended and nothing is in progress, so the server closes; the rest of
    the response is in the connection's send buffer, which used to be dropped.
    """
    body = b"x" * 200_000
    handed_over = asyncio.Event()

    async def answer(request, exchange):
        await exchange.respond(200, body)
        handed_over.set()

    server = HttpServer(handler=answer, limits=ServerLimits(send_seconds=5.0))
    await server.start("127.0.0.1", 0)
    # Small buffers on both sides; a connection inherits the listener's send buffer.
    listening = server._server.sockets[0]
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client_socket.connect(("127.0.0.1", server.port))
    reader, writer = await asyncio.open_connection(sock=client_socket, limit=1024)
    writer.write(OK)
    assert b"200" in await reader.readuntil(b"\r\n\r\n")
    received = 0
    async with asyncio.timeout(5.0):
        while not handed_over.is_set():
            received += len(await reader.read(1024))
        if stops_first:
            server.refuse_new_requests()
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0.05)
        while data := await reader.read(1024):
            received += len(data)
        await closing
    assert received == len(body)
    writer.close()


@pytest.mark.parametrize("closes", [False, True])
async def test_a_stop_lets_the_answer_of_a_closing_connection_go_out(closes):
    """A stop must not truncate a response whose connection is already being closed.

    The host is stopping, so its response announces that the connection closes, and when
    the handler ends, the connection is flushed and closed. The stop saw no request in
    progress and cancelled that, which dropped the send buffer; this is more likely the
    sooner a stop sees the end of its last response.
    """
    body = b"x" * 200_000

    async def answer(request, exchange):
        exchange.announce_close()
        await exchange.respond(200, body)

    server = HttpServer(handler=answer, limits=ServerLimits(send_seconds=5.0))
    await server.start("127.0.0.1", 0)
    listening = server._server.sockets[0]
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client_socket.connect(("127.0.0.1", server.port))
    reader, writer = await asyncio.open_connection(sock=client_socket, limit=1024)
    writer.write(OK)
    assert b"200" in await reader.readuntil(b"\r\n\r\n")
    received = 0
    async with asyncio.timeout(5.0):
        while not server._flushing:
            received += len(await reader.read(1024))
        # While this is true, a stop with time left waits for the response.
        was_busy = server.is_busy
        if closes:
            closing = asyncio.create_task(server.close())
            await asyncio.sleep(0)
        else:
            server.refuse_new_requests()
        while data := await reader.read(1024):
            received += len(data)
        if closes:
            await closing
    assert (received, was_busy) == (len(body), True)
    writer.close()
    await server.close()


async def test_a_server_that_closes_serves_no_connection_that_it_has_just_accepted():
    """A closed server must not serve a request while its process ends.

    A connection is accepted two passes of the event loop before it is registered; one
    accepted in between was not among those that `close` ended, and was served later.
    """
    served = []

    async def hello(request, exchange):
        served.append(request.target)
        await exchange.respond(200, b"hello")

    server = HttpServer(handler=hello)
    await server.start("127.0.0.1", 0)
    client_socket = socket.socket()
    client_socket.connect(("127.0.0.1", server.port))
    client_socket.sendall(OK)
    client_socket.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=client_socket)
    while not server._server._active_count:
        await asyncio.sleep(0)
    assert not server._connections
    await server.close()
    for _ in range(20):
        await asyncio.sleep(0)
    assert served == []
    async with asyncio.timeout(5.0):
        assert await _read_all(reader) == b""
    writer.close()


@pytest.mark.parametrize("send_seconds", [0.2, 30.0])
async def test_a_server_ends_although_a_client_reads_nothing(send_seconds):
    async def answer(request, exchange):
        await exchange.respond(200, b"x" * 8_000_000)

    limits = ServerLimits(send_seconds=send_seconds)
    server = HttpServer(handler=answer, limits=limits)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1024)
    writer.write(OK)
    await reader.readuntil(b"\r\n\r\n")
    async with asyncio.timeout(2.0):
        await server.close()
    writer.close()


async def _read_all(reader):
    """Return the bytes that arrive until the other side closes or resets."""
    try:
        return await reader.read()
    except ConnectionError:
        return b""
