"""Bad input on the ingress: a status for every case, and never anything but HTTP."""

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.ingress import Ingress
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered
from mallowpond.node.tests.fakes import FakeClock, FakeSource
from mallowpond.node.traffic import TrafficSeen
from mallowpond.platform.callers import PlatformCallerProtocol
from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.site_configuration import (
    Backend,
    CallerLimits,
    KeyOwner,
    RepeatPolicy,
    Route,
    Service,
    SiteConfiguration,
)

ROUTE = Route(
    name="r",
    host="h.example",
    prefix="/p/",
    repeat=RepeatPolicy.ONCE,
    backends=(Backend(service="s", weight=1),),
    timeout_seconds=1.0,
    objective_seconds=0.2,
)
STREAM = replace(ROUTE, name="t", prefix="/t/", repeat=RepeatPolicy.STREAM)
MODELS = EngineProfile(slots=4, models=(ModelSpec(name="m", size=2),))
SITE = SiteConfiguration(
    version=1,
    routes=(ROUTE, STREAM),
    services={"s": Service(name="s", max_connections=9, profile=MODELS)},
    keys={"good": KeyOwner(workspace="w")},
    uses_keys=True,
    limits=CallerLimits(header_bytes=2000, body_bytes=100, header_seconds=0.3),
)


class FakeService:
    """Answer every request that is admitted."""

    def __init__(self):
        self.served = []

    @property
    def placement(self):
        """Return what tells how long a stream may take."""
        return self

    def longest_seconds(self, work):
        """Tell that a stream takes a second at most."""
        return 1.0

    async def serve(self, work):
        """Answer."""
        self.served.append(work)
        await work.exchange.respond(200, b"ok", content_type=None)
        return Answered(status=200, target="t")


@asynccontextmanager
async def ingress_of(*configurations, sure=True):
    """Serve an ingress that knows these configurations."""
    clock, source = FakeClock(), FakeSource()
    source.configurations.extend(configurations)
    follower = ConfigurationFollower(source=source, clock=clock, revoke_seconds=5.0)
    if configurations:
        await follower.step()
    if not sure:
        clock.time += 5.0
    calls = FakeService()
    ingress = Ingress(
        callers=PlatformCallerProtocol(),
        configuration=follower,
        streams=FakeService(),
        calls=calls,
        clock=clock,
        metrics=NodeMetrics(),
        rng=random.Random(1),
        traffic=TrafficSeen(),
    )
    await ingress.server.start("127.0.0.1", 0)
    try:
        yield ingress, calls
    finally:
        await ingress.server.close()


async def talk(ingress, data):
    """Send bytes, end sending, and return all that comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", ingress.server.port)
    try:
        writer.write(data)
        return await reader.read(65536)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def request(*lines, target="/p/x", host="h.example", key="good", body=b""):
    """Write a request with an id, a key and further header lines."""
    head = [f"POST {target} HTTP/1.1", f"Host: {host}", "X-Mallowpond-Attempt-Id: q"]
    if key:
        head.append(f"Authorization: Bearer {key}")
    head += [f"Content-Length: {len(body)}", "Connection: close", *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


CASES = [
    (request(), 200),
    (request(target="/other/"), 404),
    (request(host="x.example"), 404),
    (request(key="bad"), 401),
    (request(key=""), 401),
    (request("Big: " + "x" * 4000), 431),
    (request(body=b"x" * 200), 413),
    (b"GET /p/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n", 400),
    (b"GET /p/ HTTP/1.1\r\n\r\n", 400),
    (b"\x00\x01\x02\r\n\r\n", 400),
    (b"POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
    (request(body=b"x" * 50)[:-10], 408),
]


@pytest.mark.parametrize(("data", "status"), CASES)
async def test_every_case_gets_its_status(data, status):
    async with ingress_of(SITE) as (ingress, _):
        # The first request brings the limits of the configuration into force.
        await talk(ingress, request())
        answer = await talk(ingress, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status)


async def test_without_a_configuration_callers_are_told_to_come_back():
    """Symptom: callers of a node that has just started are told that there is no
    such route, and never come back.

    Sequence: the node serves before it has read a configuration.
    Cause: knowing nothing was taken for knowing that there is nothing.
    """
    async with ingress_of() as (ingress, _):
        answer = await talk(ingress, request())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in answer.lower()


async def test_a_node_that_cannot_be_sure_admits_no_key():
    async with ingress_of(SITE, sure=False) as (ingress, calls):
        for data in (request(), request(target="/other/")):
            answer = await talk(ingress, data)
            assert answer.startswith(b"HTTP/1.1 503 ")
        assert calls.served == []


async def test_a_stopping_node_serves_and_says_that_it_closes():
    async with ingress_of(SITE) as (ingress, calls):
        ingress.is_stopping = True
        data = request().replace(b"Connection: close\r\n", b"")
        answer = await talk(ingress, data)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answer.lower()
    assert len(calls.served) == 1


@pytest.mark.parametrize(
    ("target", "left", "status"),
    [
        ("/p/x", 0.9, 503),
        ("/p/x", 1.1, 200),
        ("/t/x", 2.2, 503),
        ("/t/x", 2.4, 200),
    ],
)
async def test_a_stopping_node_takes_calls_to_their_deadline_and_short_streams(
    target, left, status
):
    """Symptom: an answer is cut off when its node ends.

    Sequence: a node that stops takes a call with a deadline of 1 s when 0.9 s are left,
    or a stream of a second at most when 2.2 s are.
    Cause: the call was judged by its objective, which it may miss; the stream by its
    own time, in which it neither waits nor moves.
    """
    async with ingress_of(SITE) as (ingress, _):
        ingress.is_stopping = True
        ingress.shutdown_at = ingress._clock.now() + left
        data = request("X-Mallowpond-Model: m", target=target)
        answer = await talk(ingress, data)
    assert answer.startswith(b"HTTP/1.1 %d " % status)


async def test_a_node_that_is_about_to_end_refuses_what_it_cannot_finish():
    """Symptom: an answer is cut off when its node ends, seconds after its stop began.

    Sequence: all nodes of a data centre are stopping, so the balancer still sends
    callers to them; a node takes a request just before it ends.
    Cause: a stopping node took every request until its last moment.
    """
    async with ingress_of(SITE) as (ingress, calls):
        ingress.is_stopping = True
        ingress.shutdown_at = ingress._clock.now() + 0.1
        answer = await talk(ingress, request())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in answer.lower()
    assert calls.served == []


LINES = st.lists(
    st.sampled_from(
        [
            b"GET /p/x HTTP/1.1",
            b"POST /p/ HTTP/1.0",
            b"Host: h.example",
            b"Content-Length: 5",
            b"Content-Length: -1",
            b"Transfer-Encoding: chunked",
            b"X-Mallowpond-Attempt-Id: q",
            b"X-Mallowpond-Deadline-Ms: nan",
            b"X-Mallowpond-Token-Counts: 1,2,3",
            b"Authorization: Bearer good",
            b"Expect: 100-continue",
            b"5",
            b"0",
            b"",
        ]
    ),
    max_size=12,
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.one_of(st.binary(max_size=300), LINES.map(lambda lines: b"\r\n".join(lines))))
def test_no_bytes_make_the_ingress_answer_anything_but_http(data):
    async def exchange():
        async with ingress_of(SITE) as (ingress, _):
            await talk(ingress, request())
            answer = await talk(ingress, data + b"\r\n\r\n")
            assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
            again = await talk(ingress, request())
            assert again.startswith(b"HTTP/1.1 200 ")

    asyncio.run(exchange())
