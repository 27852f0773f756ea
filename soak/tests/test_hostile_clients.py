"""Tests that crowds of misbehaving clients neither end a node nor keep others out."""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.platform import headers as names
from mallowpond.transport.http_client import BufferedResponse, HttpClient
from soak.crowds import BODY_BYTES, PATH, CrowdKind, post_head, running_crowd
from soak.fleet import Fleet, FleetShape
from soak.memory import ResourceWatch
from soak.records import Exhaustion

KEY = "key-a"
HOST = "h.example"
# The smallest host of the users, and that of their small deployments.
SMALL_HOST = {"memory_mb": 112.0, "descriptors": 1024}
USUAL_HOST = {"memory_mb": 300.0, "descriptors": 4100}
# Time for which a crowd stays at least, in seconds.
CROWD_SECONDS = 8.0
# Requests of ordinary callers beside a crowd, one after the other, and how often each
# is sent until it is answered, as callers do.
ORDINARY_REQUESTS = 5
ORDINARY_ATTEMPTS = 3
ORDINARY_SECONDS = 10.0
# Longest time to wait for what has no bound of its own, in seconds.
PATIENCE_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True)
class Meeting:
    """What was seen of a node that met a crowd.

    during, after: whether ordinary requests beside the crowd and after it were answered
    with success; one entry each. exhaustions: bounds that the node exceeded.
    """

    during: list[bool]
    after: bool
    is_running: bool
    exhaustions: list[Exhaustion]
    peak_bytes: int
    peak_descriptors: int

    @property
    def is_held(self) -> bool:
        """Return whether the node lives, within its bounds, and serves."""
        return self.is_running and not self.exhaustions and self.after


@dataclass(kw_only=True)
class SingleNode:
    """One node with three plain engines, watched as the platform watches it."""

    folder: Path
    memory_mb: float
    descriptors: int
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def __aenter__(self) -> "SingleNode":
        shape = FleetShape(
            nodes=1,
            domains=0,
            plain_engines=3,
            memory_mb=self.memory_mb,
            descriptors=self.descriptors,
        )
        self.fleet = Fleet(folder=self.folder, shape=shape)
        self.http = HttpClient()
        self._stack.push_async_callback(self.http.close)
        self._stack.push_async_callback(self.fleet.close)
        await self.fleet.start()
        await self._wait_until_served()
        self.watch = ResourceWatch(fleet=self.fleet)
        task = asyncio.create_task(self.watch.watch())
        self._stack.push_async_callback(cancel_task, task)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    @property
    def callers_port(self) -> int:
        """Return the port for callers."""
        return self.fleet.node_ports[0][0]

    @property
    def readiness_port(self) -> int:
        """Return the port for checks of the readiness."""
        return self.fleet.node_ports[0][1]

    @property
    def peer_port(self) -> int:
        """Return the port for tunnels of other hosts."""
        return self.fleet.node_side_ports[0][0]

    @property
    def metrics_port(self) -> int:
        """Return the port for metrics."""
        return self.fleet.node_side_ports[0][1]

    def host_of(self, port: str) -> str:
        """Return the address on which the node listens on one of these ports."""
        if port in ("peer_port", "metrics_port"):
            return self.fleet.node_addresses[0]
        return "127.0.0.1"

    async def ask(self, body: bytes = b"x" * 600) -> bool:
        """Send one request on a new connection; return whether it was served."""
        answer = await self.http.fetch_response(
            f"127.0.0.1:{self.callers_port}",
            "POST",
            PATH,
            headers=(
                ("host", HOST),
                (names.AUTHORIZATION, f"Bearer {KEY}"),
                (names.ATTEMPT, f"{time.monotonic_ns():016x}"),
                (names.DEADLINE, str(int(1000 * ORDINARY_SECONDS))),
            ),
            body=body,
            timeout=ORDINARY_SECONDS,
            new_connection=True,
        )
        return isinstance(answer, BufferedResponse) and answer.status == 200

    async def ask_repeatedly(self) -> bool:
        """Send a request until it is served, as often as a caller does."""
        for _ in range(ORDINARY_ATTEMPTS):
            if self.fleet.nodes[0].is_running and await self.ask():
                return True
        return False

    async def _wait_until_served(self) -> None:
        limit = time.monotonic() + PATIENCE_SECONDS
        while not await self.ask():
            assert time.monotonic() < limit, "the node did not come up"
            await asyncio.sleep(0.1)

    async def is_served_in_the_end(self) -> bool:
        """Return whether a request is served once the node is left alone."""
        limit = time.monotonic() + PATIENCE_SECONDS
        while self.fleet.nodes[0].is_running and time.monotonic() < limit:
            if await self.ask():
                return True
            await asyncio.sleep(0.1)
        return False


def meet(
    folder: Path,
    kind: CrowdKind,
    clients: int,
    *,
    memory_mb: float,
    descriptors: int,
    port: str = "callers_port",
) -> Meeting:
    """Let a crowd come to a node, and ordinary callers beside it and after it."""

    async def run() -> Meeting:
        async with SingleNode(
            folder=folder, memory_mb=memory_mb, descriptors=descriptors
        ) as node:
            during = []
            async with running_crowd(
                kind=kind,
                clients=clients,
                host=node.host_of(port),
                port=getattr(node, port),
            ) as complete:
                async with asyncio.timeout(PATIENCE_SECONDS):
                    await complete.wait()
                ends_at = time.monotonic() + CROWD_SECONDS
                while all(during) and len(during) < ORDINARY_REQUESTS:
                    during.append(await node.ask_repeatedly())
                while time.monotonic() < ends_at and node.fleet.nodes[0].is_running:
                    await asyncio.sleep(0.1)
            after = await node.is_served_in_the_end()
            return Meeting(
                during=during,
                after=after,
                is_running=node.fleet.nodes[0].is_running,
                exhaustions=node.watch.exhaustions,
                peak_bytes=node.watch.peak_bytes,
                peak_descriptors=node.watch.peak_descriptors,
            )

    return asyncio.run(run())


def assert_held(meeting: Meeting) -> None:
    """Assert that the node lives within its bounds and served ordinary callers."""
    assert meeting.is_held, meeting
    assert meeting.during == ORDINARY_REQUESTS * [True], meeting


@pytest.mark.parametrize(
    ("clients", "host"),
    [(40, SMALL_HOST), (200, USUAL_HOST)],
    ids=["small host", "usual host"],
)
def test_large_chunks_that_stop_short_do_not_exhaust_a_node(clients, host, tmp_path):
    """Guards against refused bodies that are kept while their rest is discarded."""
    assert_held(meet(tmp_path, CrowdKind.LARGE_CHUNKS, clients, **host))


@pytest.mark.parametrize(
    "host", [SMALL_HOST, USUAL_HOST], ids=["small host", "usual host"]
)
def test_chunks_of_one_byte_do_not_stop_a_node(host, tmp_path):
    """Guards against an event loop that does nothing but read small chunks."""
    assert_held(meet(tmp_path, CrowdKind.BYTE_CHUNKS, 20, **host))


@pytest.mark.parametrize(
    ("clients", "host"),
    [(20, SMALL_HOST), (40, USUAL_HOST)],
    ids=["small host", "usual host"],
)
def test_bare_requests_sent_ahead_do_not_exhaust_a_node(clients, host, tmp_path):
    """Guards against buffers that grow with each request that was sent ahead."""
    assert_held(meet(tmp_path, CrowdKind.BARE_AHEAD, clients, **host))


@pytest.mark.parametrize(
    ("clients", "host"),
    [(20, SMALL_HOST), (40, USUAL_HOST)],
    ids=["small host", "usual host"],
)
def test_small_requests_sent_ahead_do_not_exhaust_a_node(clients, host, tmp_path):
    """Guards against buffers that grow while the answers are not read."""
    assert_held(meet(tmp_path, CrowdKind.SMALL_AHEAD, clients, **host))


@pytest.mark.parametrize(
    ("clients", "host"),
    [(100, SMALL_HOST), (400, USUAL_HOST)],
    ids=["small host", "usual host"],
)
def test_large_requests_sent_ahead_do_not_exhaust_a_node(clients, host, tmp_path):
    """Guards against unread bytes in the receive buffers of many connections."""
    assert_held(meet(tmp_path, CrowdKind.LARGE_AHEAD, clients, **host))


@pytest.mark.parametrize(
    ("kind", "host"),
    [
        (CrowdKind.WHOLE_BODIES, SMALL_HOST),
        (CrowdKind.SHORT_BODIES, SMALL_HOST),
        (CrowdKind.SHORT_BODIES, USUAL_HOST),
    ],
    ids=["whole", "short, small host", "short, usual host"],
)
def test_large_bodies_do_not_exhaust_a_node(kind, host, tmp_path):
    """Guards against bodies with a length that exceed the memory together."""
    assert_held(meet(tmp_path, kind, 40, **host))


@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        (CrowdKind.SMALL_SHORT_BODIES, 400),
        (CrowdKind.SMALL_SHORT_CHUNK, 400),
        (CrowdKind.SILENT, 800),
        (CrowdKind.OPEN_HEADS, 500),
        (CrowdKind.TRICKLE, 500),
    ],
    ids=["bodies", "one chunk", "silent", "heads", "trickle"],
)
def test_connections_that_do_not_progress_keep_no_caller_out(kind, clients, tmp_path):
    """Guards against stalled connections that hold all places or all memory."""
    assert_held(meet(tmp_path, kind, clients, **SMALL_HOST))


def test_heads_of_many_fields_do_not_exhaust_a_node(tmp_path):
    """Guards against parsed heads, many times their size, that nothing counts."""
    assert_held(meet(tmp_path, CrowdKind.MANY_FIELDS, 300, **SMALL_HOST))


@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        (CrowdKind.LARGE_CHUNKS, 60),
        (CrowdKind.SHORT_BODIES, 60),
        (CrowdKind.LARGE_AHEAD, 100),
        (CrowdKind.SILENT, 1500),
    ],
    ids=["chunks", "bodies", "sent ahead", "silent"],
)
def test_a_crowd_at_the_readiness_port_does_not_exhaust_a_node(kind, clients, tmp_path):
    """Guards against a listener beside that for callers whose limits are its own."""
    held = meet(tmp_path, kind, clients, port="readiness_port", **SMALL_HOST)
    assert_held(held)


@pytest.mark.parametrize(
    ("kind", "clients", "port"),
    [
        (CrowdKind.LARGE_CHUNKS, 60, "metrics_port"),
        (CrowdKind.LARGE_AHEAD, 100, "metrics_port"),
        (CrowdKind.SILENT, 1500, "metrics_port"),
        (CrowdKind.SHORT_BODIES, 60, "peer_port"),
        (CrowdKind.SILENT, 1500, "peer_port"),
    ],
    ids=["metrics, chunks", "metrics, ahead", "metrics, silent", "peers", "silent"],
)
def test_a_crowd_at_another_port_does_not_exhaust_a_node(kind, clients, port, tmp_path):
    """Guards against limits that hold at the ports for callers and readiness only."""
    assert_held(meet(tmp_path, kind, clients, port=port, **SMALL_HOST))


@pytest.mark.parametrize(
    ("clients", "host"),
    [(60, SMALL_HOST), (200, USUAL_HOST)],
    ids=["small host", "usual host"],
)
def test_long_answers_that_nobody_reads_do_not_exhaust_a_node(clients, host, tmp_path):
    """Guards against answers that wait for clients which read nothing."""
    assert_held(meet(tmp_path, CrowdKind.LONG_ANSWERS, clients, **host))


@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        (CrowdKind.WHOLE_BODIES, 40),
        (CrowdKind.SMALL_SHORT_BODIES, 1200),
        (CrowdKind.SILENT, 2000),
        (CrowdKind.OPEN_HEADS, 2000),
        (CrowdKind.TRICKLE, 2000),
        (CrowdKind.MANY_FIELDS, 600),
    ],
    ids=["whole bodies", "bodies", "silent", "heads", "trickle", "many fields"],
)
def test_a_usual_host_serves_others_beside_a_crowd(kind, clients, tmp_path):
    """Guards against limits that suit the smallest host only."""
    assert_held(meet(tmp_path, kind, clients, **USUAL_HOST))


async def _call(port: int, data: bytes, pieces: int = 1) -> list[int]:
    """Send raw bytes; return the statuses of so many answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    statuses = []

    async def send() -> None:
        for start in range(0, len(data), 65536):
            writer.write(data[start : start + 65536])
            await writer.drain()

    sending = asyncio.create_task(send())
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            for _ in range(pieces):
                head = await reader.readuntil(b"\r\n\r\n")
                statuses.append(int(head.split(b" ")[1]))
                length = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
                if length:
                    await reader.readexactly(int(length))
                else:
                    while size := int(await reader.readline(), 16):
                        await reader.readexactly(size + 2)
                    await reader.readline()
    finally:
        await cancel_task(sending)
        writer.transport.abort()
    return statuses


def _post(fields: str, body: bytes) -> bytes:
    return post_head(PATH, fields + "\r\n", key=KEY) + body


SMALL_REQUEST = _post("Content-Length: 5", b"hello")
SINGLE_REQUESTS = {
    "large": (_post(f"Content-Length: {BODY_BYTES}", b"x" * BODY_BYTES), 1),
    "large chunks": (
        _post(
            "Transfer-Encoding: chunked",
            64 * (b"10000\r\n" + b"x" * 65536 + b"\r\n") + b"0\r\n\r\n",
        ),
        1,
    ),
    "chunks of one byte": (
        _post("Transfer-Encoding: chunked", BODY_BYTES * b"1\r\nx\r\n" + b"0\r\n\r\n"),
        1,
    ),
    "sent ahead": (50 * SMALL_REQUEST, 50),
}


@pytest.mark.parametrize("name", SINGLE_REQUESTS)
def test_a_single_request_within_the_limits_is_served(name, tmp_path):
    """Guards against limits for crowds that a caller on its own meets."""

    async def run() -> list[int]:
        async with SingleNode(folder=tmp_path, **SMALL_HOST) as node:
            data, count = SINGLE_REQUESTS[name]
            statuses = await _call(node.callers_port, data, count)
            assert node.watch.exhaustions == []
            return statuses

    statuses = asyncio.run(run())
    assert statuses == SINGLE_REQUESTS[name][1] * [200]
