"""Measure what connections through a proxy host cost, by slopes over their number.

The target and the proxy are processes of their own on loopback.
"""

import asyncio
import multiprocessing
import random
import statistics
from collections.abc import Callable
from contextlib import ExitStack
from time import perf_counter, process_time
from typing import Any

from bench.report import Report
from bench.request_path import cpu_seconds, resident_kb
from mallowpond.state.proxy_choice import rank_proxies
from mallowpond.transport.connector import (
    Connected,
    ConnectFailed,
    DirectConnector,
    LinkActivity,
)
from mallowpond.transport.http_client import CallFailed, Chunk, HttpClient
from mallowpond.transport.http_server import HttpServer
from mallowpond.transport.tunnel import (
    TunnelAnswer,
    TunnelConnector,
    TunnelServer,
    open_through,
)

HOST = "127.0.0.1"
# Bytes of one event of a stream.
EVENT = b"id: 17\ndata: " + b"x" * 57 + b"\n\n"
CONCURRENCY = 16
# Hosts and requests a second of the largest fleet, events of a typical stream, and the
# share of hosts that have lost their links.
FLEET_HOSTS = 380
FLEET_REQUESTS = 32_000
EVENTS_PER_STREAM = 28
CUT_SHARE = 0.8


def _serve_target(ports: Any) -> None:
    """Answer each request with as many events as its path says."""

    async def answer(request, exchange) -> None:
        await exchange.start(200)
        for _ in range(int(request.path[1:])):
            await exchange.send(EVENT)
            await asyncio.sleep(0.001)
        await exchange.end()

    async def serve() -> None:
        server = HttpServer(handler=answer)
        await server.start(HOST, 0)
        ports.put(server.port)
        await asyncio.Event().wait()

    asyncio.run(serve())


def _serve_proxy(ports: Any) -> None:
    """Carry connections to any address."""

    async def serve() -> None:
        server = TunnelServer(
            connect=DirectConnector().connect,
            may_connect=lambda peer, address: True,
            has_link=lambda address: True,
            max_tunnels=4096,
        )
        ports.put(await server.start(HOST, 0))
        await asyncio.Event().wait()

    asyncio.run(serve())


class _ProxyConnector:
    """Opens all connections through one proxy."""

    def __init__(self, *, proxy: str) -> None:
        self._tunnels = TunnelConnector(
            name="proxy",
            proxy=proxy,
            connector=DirectConnector(),
            activity=LinkActivity(),
        )

    async def connect(self, address: str) -> Connected | ConnectFailed:
        opened = await open_through(self._tunnels, address, 1.0)
        assert not isinstance(opened, TunnelAnswer), opened
        return opened


async def _stream(http: HttpClient, address: str, events: int) -> float:
    """Receive one stream on a new connection; return the seconds to the first event."""
    began = perf_counter()
    answer = await http.send(address, "GET", f"/{events}", new_connection=True)
    assert not isinstance(answer, CallFailed), answer
    first = 0.0
    async for event in answer.events():
        if isinstance(event, Chunk):
            first = first or perf_counter() - began
    answer.close()
    return first


async def _receive(http: HttpClient, address: str, streams: int, events: int) -> None:
    limiter = asyncio.Semaphore(CONCURRENCY)

    async def limited() -> None:
        async with limiter:
            await _stream(http, address, events)

    await asyncio.gather(*(limited() for _ in range(streams)))


async def _slope(
    used: Callable[[], float], work: Callable[[int], Any], counts: tuple[int, ...]
) -> float:
    """Return the processor seconds that each further unit of work takes."""
    points = []
    for count in counts:
        before = used()
        await work(count)
        points.append((count, used() - before))
    return statistics.linear_regression(*zip(*points, strict=True)).slope


async def _measure(
    address: str, proxy: str, pid: int, smallest: bool
) -> tuple[Report, Report]:
    direct = HttpClient()
    tunnelled = HttpClient(connector=_ProxyConnector(proxy=proxy))
    scale = 1 if smallest else 8
    counts = tuple(scale * n for n in (20, 40, 80, 160))
    rows: list[tuple[str, float, str]] = []
    costs = {}
    for name, http, used in (
        ("proxy", tunnelled, lambda: cpu_seconds(pid)),
        ("host, tunnel", tunnelled, process_time),
        ("host, direct", direct, process_time),
    ):
        await _receive(http, address, 20, 2)
        opening = await _slope(
            used, lambda n, http=http: _receive(http, address, n, 1), counts
        )
        event = await _slope(
            used,
            lambda n, http=http: _receive(http, address, CONCURRENCY, n),
            counts,
        )
        costs[name] = (opening, event / CONCURRENCY)
        rows.append((f"{name}: connection and request", opening * 1e6, "us"))
        rows.append((f"{name}: event", event / CONCURRENCY * 1e6, "us"))
    firsts = [
        statistics.median([await _stream(http, address, 1) for _ in range(10 * scale)])
        for http in (direct, tunnelled)
    ]
    rows.append(("first event, direct", firsts[0] * 1e3, "ms"))
    rows.append(("first event, tunnel", firsts[1] * 1e3, "ms"))
    rows.append(("idle tunnel at the proxy", await _idle_kb(address, proxy, pid), "KB"))
    rows.append(("choice among 380 peers", _choice_seconds() * 1e6, "us"))
    await direct.close()
    await tunnelled.close()
    measured = Report(
        title="Cost of tunnels, processor time as slopes",
        columns=("what", "cost", "unit"),
        rows=tuple(rows),
    )
    return measured, _fleet_report(*costs["proxy"])


async def _idle_kb(address: str, proxy: str, pid: int) -> float:
    """Return the memory that each further idle tunnel takes, in KB."""
    connector, opened, points = _ProxyConnector(proxy=proxy), [], []
    for count in (100, 200, 300, 400):
        while len(opened) < count:
            opened.append(await connector.connect(address))
        points.append((count, resident_kb(pid)))
    for connection in opened:
        connection.writer.transport.abort()
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def _choice_seconds() -> float:
    zones = 6
    peers = {
        f"zone-{zone}": [f"host-{n}" for n in range(zone, FLEET_HOSTS, zones)]
        for zone in range(zones)
    }
    rng, times = random.Random(1), 200
    began = perf_counter()
    for _ in range(times):
        rank_proxies(peers, "zone-3", rng)
    return (perf_counter() - began) / times


def _fleet_report(opening: float, event: float) -> Report:
    """Compute the load of a proxy while most hosts of the largest fleet are cut."""
    proxies = FLEET_HOSTS * (1.0 - CUT_SHARE)
    requests = FLEET_REQUESTS * CUT_SHARE / proxies
    seconds = requests * (opening + EVENTS_PER_STREAM * event)
    return Report(
        title=f"One proxy of {FLEET_HOSTS} hosts of which {CUT_SHARE:.0%} are cut",
        columns=("carried requests a second", "processor, % of a core"),
        rows=((round(requests), 100.0 * seconds),),
    )


def run(*, smallest: bool) -> list[Report]:
    """Start a target and a proxy, and measure.

    smallest: send few requests.
    """
    context = multiprocessing.get_context("spawn")
    with ExitStack() as stack:
        addresses, pids = [], []
        for serve in (_serve_target, _serve_proxy):
            ports = context.SimpleQueue()
            process = context.Process(target=serve, args=(ports,))
            process.start()
            stack.callback(process.join)
            stack.callback(process.kill)
            addresses.append(f"{HOST}:{ports.get()}")
            pids.append(process.pid)
        return list(asyncio.run(_measure(*addresses, pids[1], smallest)))
