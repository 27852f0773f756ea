"""Measure one gateway process between callers and stand-in engines on loopback."""

import asyncio
import json
import os
import statistics
import tempfile
from pathlib import Path
from time import perf_counter

from bench.report import Report
from mallowpond.programs.tests.cluster import API_KEY, DECLARATION, Cluster
from mallowpond.protocol.engine import dispatch_headers
from mallowpond.transport.http_client import CallFailed, Chunk, HttpClient

CONCURRENCY = 8
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
AUTH = (("authorization", f"Bearer {API_KEY}"),)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_kb(pid: int) -> float:
    """Return a process's resident memory in KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB


async def complete(http, address, headers, **fields) -> tuple[float, int]:
    """Request one completion.

    Return the seconds to the first chunk of the body and the number of events.
    """
    fields_sent = {"model": "meteor-7b", "prompt": "p", "max_tokens": 1} | fields
    start = perf_counter()
    answer = await http.send(
        address,
        "POST",
        "/v1/completions",
        headers=headers,
        body=json.dumps(fields_sent).encode(),
    )
    assert not isinstance(answer, CallFailed), answer
    assert answer.status == 200, answer.status
    first, event_count = 0.0, 0
    async for event in answer.events():
        if isinstance(event, Chunk):
            first = first or perf_counter() - start
            event_count += event.data.count(b"\n\n")
    answer.close()
    return first, event_count


async def complete_many(
    http, address, headers, count: int, **fields
) -> list[tuple[float, int]]:
    """Request `count` completions, at most CONCURRENCY at a time."""
    limiter = asyncio.Semaphore(CONCURRENCY)

    async def limited_call(number: int) -> tuple[float, int]:
        async with limiter:
            return await complete(http, address, headers, prompt=f"p{number}", **fields)

    return await asyncio.gather(*(limited_call(n) for n in range(count)))


async def measure(cluster: Cluster, smallest: bool) -> list[Report]:
    """Measure unstreamed requests, streamed events, idle streams, and latency."""
    scale = 1 if smallest else 10
    gateway = f"127.0.0.1:{cluster.ports['gateway0']}"
    pid = cluster.processes["gateway0"].pid
    http = HttpClient()
    try:
        await complete_many(http, gateway, AUTH, 40)
        request = await _per_request(http, gateway, pid, 40 * scale)
        chunk = await _per_chunk(http, gateway, pid, 4 * scale, request)
        idle = await _idle_streams(http, gateway, cluster, pid, 6 * scale)
        added = await _added_latency(http, gateway, cluster, 30 * scale)
    finally:
        await http.close()
    costs = Report(
        title="Cost in the gateway process",
        columns=("what", "cost", "unit"),
        rows=(
            ("whole request", request * 1e6, "us of processor"),
            ("streamed chunk", chunk * 1e6, "us of processor"),
            ("idle stream", idle[0] * 1e6, "us of processor a second"),
            ("idle stream", idle[1], "KB resident"),
            ("gateway at rest", resident_kb(pid) / 1024, "MB resident"),
        ),
    )
    latency = Report(
        title="First byte of a whole answer of one token, median",
        columns=("direct (ms)", "through gateway (ms)", "ratio"),
        rows=((added[0] * 1e3, added[1] * 1e3, added[1] / added[0]),),
    )
    return [costs, latency]


async def _per_request(http, gateway, pid, count: int) -> float:
    before = cpu_seconds(pid)
    await complete_many(http, gateway, AUTH, count)
    return (cpu_seconds(pid) - before) / count


async def _per_chunk(http, gateway, pid, count: int, request: float) -> float:
    before = cpu_seconds(pid)
    done = await complete_many(http, gateway, AUTH, count, stream=True, max_tokens=200)
    used = cpu_seconds(pid) - before - request * count
    return used / sum(event_count for _, event_count in done)


async def _idle_streams(http, gateway, cluster, pid, count) -> tuple[float, float]:
    """Measure open streams with one event in ten seconds.

    Return processor seconds per second, and resident KB, for each stream.
    """
    for name in cluster.names("engine"):
        cluster.set_faults(name, slow_factor=2000.0)
    await asyncio.sleep(0.5)
    used_before = cpu_seconds(pid)
    await asyncio.sleep(2.0)
    at_rest = (cpu_seconds(pid) - used_before) / 2.0
    memory = resident_kb(pid)
    tasks = [
        asyncio.create_task(complete(http, gateway, AUTH, stream=True, prompt=f"i{n}"))
        for n in range(count)
    ]
    await asyncio.sleep(1.0)
    before = cpu_seconds(pid)
    await asyncio.sleep(4.0)
    used = (cpu_seconds(pid) - before) / 4.0 - at_rest
    grown = resident_kb(pid) - memory
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for name in cluster.names("engine"):
        cluster.set_faults(name)
    await asyncio.sleep(0.5)
    return max(0.0, used) / count, grown / count


async def _added_latency(http, gateway, cluster, count: int) -> tuple[float, float]:
    """Alternate calls to an engine and through the gateway; return median seconds.

    The engine is the first one that reports a complete group.
    """
    engine = None
    for name in cluster.names("engine"):
        address = f"127.0.0.1:{cluster.ports[name]}"
        status = json.loads((await http.fetch(address, "GET", "/engine/status"))[1])
        if status["whole"] and engine is None:
            engine = (address, status)
    address, status = engine
    direct_headers = dispatch_headers("direct", status["group"], status["generation"])
    direct, through = [], []
    for _ in range(count):
        direct.append((await complete(http, address, direct_headers))[0])
        through.append((await complete(http, gateway, AUTH))[0])
    return statistics.median(direct), statistics.median(through)


def run(*, smallest: bool) -> list[Report]:
    """Start the declared test cluster with one gateway and measure it.

    smallest: send few requests.
    """
    declaration = DECLARATION.replace(
        "requests_per_group = 8", "requests_per_group = 400"
    )
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(folder=Path(folder), controllers=1, gateways=1) as cluster:
            cluster.wait_ready()
            cluster.apply(declaration)
            cluster.wait_serving()
            return asyncio.run(measure(cluster, smallest))
