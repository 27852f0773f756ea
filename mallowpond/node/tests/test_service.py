"""The components of a node together, over fakes of its ports."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, replace

import pytest
import structlog

from mallowpond.coordination.clock import MonotonicClock
from mallowpond.node.messages import Heartbeat, Work, encode_loads
from mallowpond.node.outcomes import Answered, Refusal
from mallowpond.node.ports import NodePorts
from mallowpond.node.service import CLOSING_SECONDS, LAME_DUCK_SECONDS, build
from mallowpond.node.settings import NodeSettings
from mallowpond.node.tests.fakes import (
    PROFILE,
    ROUTE,
    FakeCallers,
    FakeClock,
    FakeExchange,
    FakeSource,
    FakeTargets,
    Rig,
    answer,
    listing,
    open_group,
)
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.site_configuration import RepeatPolicy, SiteConfiguration
from mallowpond.transport import http_server
from mallowpond.transport.http_server import HttpRequest

SITE = SiteConfiguration(version=1, routes=(), services={})
SETTINGS = NodeSettings(
    name="a",
    data_centre="d",
    address="127.0.0.1",
    callers="127.0.0.1:0",
    readiness="127.0.0.1:0",
    peer_port=0,
    store="127.0.0.1:0",
)


def node_over(clock, *, source=None, targets=None, listener=None):
    """Build a node over fakes."""
    ports = NodePorts(
        callers=FakeCallers(),
        source=source or FakeSource(),
        targets=targets or FakeTargets(),
        table=MemoryTable(),
    )
    return build(settings=SETTINGS, ports=ports, clock=clock, seed=1, listener=listener)


def rig_over(node, clock, targets, source):
    """Return a rig that serves streams through a node over fakes."""
    return Rig(
        clock=clock,
        targets=targets,
        directory=node.directory,
        service=node.streams,
        source=source,
    )


def heartbeat(running):
    """Return a peer's heartbeat with this many streams on the only group."""
    return Heartbeat(
        node="b",
        incarnation="1",
        address="127.0.0.1:1",
        version=1,
        sure=True,
        store=True,
        stopping=False,
        planning=0,
        loads=encode_loads({("g", 1): (running, 900.0)}),
    )


async def test_a_waiting_stream_starts_when_a_peer_frees_a_place():
    """Guards against streams that wait for a second although groups have free slots.

    All slots were used by streams of other hosts. When those ended, nothing woke the
    waiting streams: only the end of this host's own streams did.
    """
    clock, targets = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    node = node_over(clock, source=source, targets=targets)
    await node.directory.refresh()
    targets.script("g0", answer(1))
    node._on_heartbeat(heartbeat(PROFILE.slots + 1))
    rig = rig_over(node, clock, targets, source)
    task = asyncio.create_task(node.streams.serve(rig.work(FakeExchange())))
    for _ in range(5):
        await asyncio.sleep(0)
    assert targets.sends == []
    node._on_heartbeat(heartbeat(0))
    for _ in range(50):
        await asyncio.sleep(0)
    assert targets.sends == [("g0", None)]
    assert await task == Answered(status=200, target="g0")


async def test_a_stop_tells_callers_when_this_host_ends():
    """Guards against a stopping host that admits streams it then has to cut off.

    While the balancer removed the host, it admitted streams until its shutdown, without
    comparing their length with the time left.
    """
    clock = FakeClock()
    node = node_over(clock)
    began = clock.now()
    await node.drain()
    assert began < node.ingress.shutdown_at < began + SETTINGS.bounds.grace
    assert node.ingress.server._refuses_requests


@dataclass(kw_only=True)
class PausableClock(FakeClock):
    """Blocks sleepers once the time is past `pauses_at`, until the test raises it."""

    pauses_at: float = float("inf")

    async def sleep(self, seconds):
        """Advance the time, and block while it is past `pauses_at`."""
        await super().sleep(seconds)
        while self.time > self.pauses_at:
            await asyncio.sleep(0.001)


def get(path):
    """Return the bytes of a request that keeps its connection open."""
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


async def test_connections_of_before_a_stop_bring_no_requests_to_its_end():
    """Guards against streams cut off by a planned stop because they arrive too late.

    Two streams arrived 5.6 s and 7.2 s after their host was told to stop, although the
    balancer had sent it no new connection for 3.9 s: its readiness failed at 16.756 s,
    the streams arrived at 20.633 s and 22.152 s, and both were closed at 22.352 s, the
    end of its grace time. They used connections opened before the stop, which were idle
    or carried a response that began before the stop and so did not announce that the
    connection would close. Such connections brought requests until the shutdown.
    """
    clock = PausableClock()
    node = node_over(clock)
    ends = {"/first": asyncio.Event(), "/last": asyncio.Event()}

    async def stream(request, exchange):
        await exchange.start(200)
        if request.path in ends:
            await ends[request.path].wait()
        await exchange.end()

    node.ingress._serve = stream
    server = node.ingress.server
    await server.start("127.0.0.1", 0)
    connections = [
        await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)
    ]
    (first, _), (last, _), (idle, _) = connections
    async with asyncio.timeout(5.0):
        for (reader, writer), path in zip(
            connections, ("/first", "/last", "/idle"), strict=True
        ):
            writer.write(get(path))
            await reader.readuntil(b"\r\n\r\n")
        await idle.readuntil(b"0\r\n\r\n")
        clock.pauses_at = clock.now() + LAME_DUCK_SECONDS + 0.5
        stopping = asyncio.create_task(node.drain())
        assert await idle.read() == b""
        ends["/first"].set()
        assert await first.read() == b"0\r\n\r\n"
        assert not stopping.done()
        ends["/last"].set()
        clock.pauses_at = float("inf")
        assert await last.read() == b"0\r\n\r\n"
        await stopping
    for _, writer in connections:
        writer.close()
    await server.close()


async def test_a_stop_waits_for_a_request_that_was_read_in_its_last_moment():
    """Guards against a call that is forwarded and cut off 3 ms later by a planned stop.

    The host was told to stop at 24.000 s; the call reached its target at 27.238 s, and
    its connection closed at 27.241 s. A request counted as in progress only from the
    first step of its handler, one iteration of the event loop after it was read. One
    that was read just before the host checked for requests in progress was missed.
    """
    clock = PausableClock()
    node = node_over(clock)
    server, end = node.ingress.server, asyncio.Event()

    async def not_counted_yet(request, exchange):
        await end.wait()
        await exchange.respond(200)

    server._handler = not_counted_yet
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(get("/late"))
    async with asyncio.timeout(5.0):
        while not server._busy:
            await asyncio.sleep(0.001)
        clock.pauses_at = clock.now() + LAME_DUCK_SECONDS + 0.5
        stopping = asyncio.create_task(node.drain())
        while clock.now() < clock.pauses_at and not stopping.done():
            await asyncio.sleep(0.001)
        assert not stopping.done()
        end.set()
        clock.pauses_at = float("inf")
        await stopping
        await server.close()
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()


@pytest.mark.parametrize("frees", [False, True])
async def test_a_stop_ends_no_request_that_waits_for_a_place_without_an_answer(frees):
    """Guards against a closed connection for a request that no engine has received.

    The request waited for a slot while its host was stopping, and was still queued when
    the host closed at the end of its grace time. If a slot was freed just before, the
    stream was sent to an engine although it could only be cut off.
    """
    clock, targets = PausableClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    node = node_over(clock, source=source, targets=targets)
    await node.directory.refresh()
    node._on_heartbeat(heartbeat(PROFILE.slots + 1))
    targets.script("g0", answer(1))
    rig = rig_over(node, clock, targets, source)

    async def stream(request, exchange):
        route = replace(ROUTE, objective_seconds=4.0)
        work = replace(rig.work(exchange, route), deadline=clock.now() + 30.0)
        outcome = await node.streams.serve(work)
        assert isinstance(outcome, Refusal)
        await node.ingress._refuse(exchange, outcome, "", 0.0)

    node.ingress._serve = stream
    server = node.ingress.server
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(get("/waits"))
    async with asyncio.timeout(5.0):
        while not server._busy:
            await asyncio.sleep(0.001)
        clock.pauses_at = clock.now() + SETTINGS.bounds.grace - CLOSING_SECONDS - 0.2
        stopping = asyncio.create_task(node.drain())
        while clock.now() < clock.pauses_at:
            await asyncio.sleep(0.001)
        if frees:
            node._on_heartbeat(heartbeat(0))
            await asyncio.sleep(0.05)
        clock.pauses_at = float("inf")
        await stopping
        await server.close()
        got = await reader.read()
    assert targets.sends == []
    assert got.startswith(b"HTTP/1.1 503")
    writer.close()


async def test_a_node_closes_its_servers_at_the_same_time(monkeypatch):
    """Guards against the loss of an answer's end when the host is killed while closing.

    Each server waits until its last bytes are sent, and a node closed its servers one
    after another, the callers' server last. With a metrics client that had stopped
    reading, this took longer than the time reserved for closing.
    """
    monkeypatch.setattr(http_server, "FLUSH_SECONDS", 1.0)
    node = node_over(MonotonicClock(), source=FakeSource(is_cut_off=True))

    async def much(request, exchange):
        await exchange.respond(200, b"x" * 8_000_000)

    servers = (node.ingress.server, node._readiness, node._metrics_server)
    for server in servers:
        server._handler = much
    await node._metrics_server.start("127.0.0.1", 0)
    node._stack.push_async_callback(node._metrics_server.close)
    await node.start()
    writers = []
    for server in servers:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port, limit=1024
        )
        writer.write(get("/"))
        await reader.readuntil(b"\r\n\r\n")
        writers.append(writer)
    async with asyncio.timeout(1.9):
        await node.close()
    for writer in writers:
        writer.close()


async def test_a_planner_that_stops_while_the_store_is_away_plans_to_its_end():
    """Guards against groups that lose a member in a store outage and stay down.

    The planner's host was stopped while the store was unreachable. It stopped planning
    at once, although no other node could acquire the lease before the outage ended.
    """
    source = FakeSource(is_cut_off=True)
    node = node_over(FakeClock(), source=source)
    await node.leadership._acquire()
    await node.configuration.step()
    stopping = asyncio.create_task(node.drain())
    for _ in range(3):
        await asyncio.sleep(0)
    assert node.leadership.fence
    source.is_cut_off = False
    source.configurations.append(SITE)
    await node.configuration.step()
    await stopping
    assert not node.leadership.fence


async def test_callers_that_wait_at_a_start_meet_a_host_that_knows_its_routes():
    """Guards against a host that refuses the callers that waited for its start.

    Callers connected while the host loaded its program. It served them at once, some
    milliseconds before the two answers of the store that bring the configuration and
    the targets.
    """
    source = FakeSource(
        configurations=deque([SITE]), listed=deque([listing(*open_group("g"))] * 99)
    )
    read = asyncio.Event()
    unread = source.configuration

    async def configuration(after, wait_seconds, **_):
        await read.wait()
        await asyncio.sleep(0.01)
        return await unread(after, wait_seconds)

    source.configuration = configuration
    listener = socket.create_server(("127.0.0.1", 0))
    node = node_over(MonotonicClock(), source=source, listener=listener)
    starting = asyncio.create_task(node.start())
    try:
        await asyncio.sleep(0.05)
        assert not starting.done()
        read.set()
        await starting
        assert node.configuration.configuration is not None
    finally:
        await node.close()


async def test_a_host_serves_although_the_store_does_not_answer_at_its_start():
    source = FakeSource()
    source.configuration = lambda after, wait: asyncio.sleep(60)
    listener = socket.create_server(("127.0.0.1", 0))
    node = node_over(MonotonicClock(), source=source, listener=listener)
    try:
        async with asyncio.timeout(5.0):
            await node.start()
        assert node.ingress.server._server.is_serving()
    finally:
        await node.close()


async def test_callers_of_a_host_that_has_just_started_wait_for_its_first_read():
    """Guards against refusing the only retry of callers after a loss of all hosts.

    When many hosts read a large configuration at once, the read takes longer than a
    start.
    """
    source = FakeSource(configurations=deque([SITE]))
    node = node_over(FakeClock(), source=source)
    request = HttpRequest(method="GET", target="/x", headers={}, body=b"")
    exchange = FakeExchange()
    handling = asyncio.create_task(node.ingress._handle(request, exchange))
    for _ in range(5):
        await asyncio.sleep(0)
    assert not exchange.started
    await node.configuration.step()
    await handling
    # The refusal for a missing route shows that the configuration was used.
    assert exchange.status == 404


async def test_a_host_that_was_cut_off_refuses_an_unknown_route_as_not_run():
    """Guards against a route that is in force elsewhere and is denied here."""
    clock = FakeClock()
    node = node_over(clock, source=FakeSource(configurations=deque([SITE])))
    await node.configuration.step()
    clock.time += SETTINGS.bounds.apply
    request = HttpRequest(method="GET", target="/x", headers={}, body=b"")
    exchange = FakeExchange()
    await node.ingress._handle(request, exchange)
    assert exchange.status == 503


async def test_a_place_that_another_host_frees_goes_to_who_waits_at_the_dispatcher():
    """Guards against a queue that only the end of this host's own streams wakes."""
    clock, targets = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    node = node_over(clock, source=source, targets=targets)
    await node.directory.refresh()
    targets.script("g0", answer(1))
    full = encode_loads({("g", 1): (PROFILE.slots + 1, 0.0)})
    node.peers._handle_message(Work(node="b", loads=full))
    rig = rig_over(node, clock, targets, source)
    serving = asyncio.create_task(node.streams.serve(rig.work(FakeExchange())))
    for _ in range(10):
        await asyncio.sleep(0)
    assert targets.sends == []
    node.peers._handle_message(Work(node="b", loads=encode_loads({})))
    async with asyncio.timeout(0.2):
        assert await serving == Answered(status=200, target="g0")


async def test_a_host_tells_the_dispatcher_at_once_that_a_stream_has_ended():
    """Guards against slots that count as used until the host's next periodic report."""
    clock, targets = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    node = node_over(clock, source=source, targets=targets)
    await node.directory.refresh()
    targets.script("g0", answer(1))
    sent = []
    node.readers.send_work_to_dispatcher = lambda: sent.append(
        node.directory.loads.own_loads()
    )
    rig = rig_over(node, clock, targets, source)
    await node.streams.serve(rig.work(FakeExchange()))
    assert sent == [{}]


async def test_a_refusal_is_logged_with_the_fingerprint_of_its_request():
    """Guards against refusals that cannot be joined with the retries of a request."""
    route = replace(ROUTE, repeat=RepeatPolicy.IDEMPOTENT)
    site = replace(SITE, routes=(route,))
    node = node_over(FakeClock(), source=FakeSource(configurations=deque([site])))
    await node.configuration.step()
    bodies = [b"first", b"first", b"other"]
    with structlog.testing.capture_logs() as logs:
        for body in bodies:
            request = HttpRequest(method="POST", target="/x", headers={}, body=body)
            await node.ingress._handle(request, FakeExchange())
    lines = [line for line in logs if line["event"] == "ingress: refused"]
    first, again, other = [line["fingerprint"] for line in lines]
    assert first == again != other
