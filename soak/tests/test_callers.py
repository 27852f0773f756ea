"""Tests that callers behave like clients behind a load balancer."""

import asyncio
import random
import time

from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import call_body
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer
from soak.callers import LONG_SECONDS, READ_GRACE_SECONDS, Callers
from soak.records import Ending, RequestKind


async def _respond(request: HttpRequest, exchange: Exchange) -> None:
    attempt = request.headers[names.ATTEMPT]
    await exchange.respond(200, call_body(attempt), ((names.ATTEMPT, attempt),))


async def _run_until_one_node_is_not_ready() -> tuple[Callers, float]:
    stopped_at = float("inf")

    async def report_readiness(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(200 if time.monotonic() < stopped_at else 503)

    async def report_ready(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(200)

    servers = [
        HttpServer(handler=h)
        for h in (_respond, report_readiness, _respond, report_ready)
    ]
    for server in servers:
        await server.start("127.0.0.1", 0)
    ports = [(servers[n].port, servers[n + 1].port) for n in (0, 2)]
    callers = Callers(ports=ports, rate=150.0, rng=random.Random(1))
    running = asyncio.create_task(callers.run(time.monotonic() + 4.0))
    await asyncio.sleep(0.8)
    stopped_at = time.monotonic()
    await running
    for server in servers:
        await server.close()
    return callers, stopped_at


def test_open_connections_are_used_until_they_close():
    """A node that cut off requests late in its stop passed every check.

    Callers dropped their open connections as soon as the node reported that it was not
    ready, so that no request arrived during the stop.
    """
    callers, stopped_at = asyncio.run(_run_until_one_node_is_not_ready())
    after = [r for r in callers.records if r.sent_at > stopped_at + 0.5]
    late = [r for r in after if r.node == 0]
    # Their number depends on the load of the machine, their share does not: new
    # connections go to the other node, so it falls from a half as they are reused.
    kept = [r for r in after if r.is_kept]
    assert sum(r.node == 0 for r in kept) > len(kept) / 10 > 0
    assert all(r.ending is Ending.WHOLE for r in late)
    # New connections mostly go to the ready node.
    new = [r for r in callers.records if not r.is_kept and r.sent_at > stopped_at + 0.5]
    assert sum(r.node == 0 for r in new) < len(new) / 4


def test_some_streams_last_for_seconds():
    callers, _ = asyncio.run(_run_until_one_node_is_not_ready())
    streams = [r for r in callers.records if r.kind is RequestKind.STREAM]
    long = [r for r in streams if r.events >= 100]
    assert 0 < len(long) < len(streams) / 8
    assert all(r.deadline - r.sent_at > LONG_SECONDS - READ_GRACE_SECONDS for r in long)
