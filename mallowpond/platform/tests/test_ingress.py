"""Invalid input to the ingress: each case has its status, every answer is HTTP."""

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
from mallowpond.node.settings import NodeBounds
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
    """Answers every admitted request."""

    def __init__(self):
        self.served = []

    @property
    def placement(self):
        """Return the estimator of stream durations, which is this object."""
        return self

    def longest_seconds(self, work):
        """Return the maximum duration of a stream, one second."""
        return 1.0

    async def serve(self, work):
        """Record the request and answer it."""
        self.served.append(work)
        await work.exchange.respond(200, b"ok", content_type=None)
        return Answered(status=200, target="t")


@asynccontextmanager
async def ingress_of(*configurations, sure=True, **more):
    """Run an ingress with these configurations, too old to rely on unless `sure`."""
    clock, source = FakeClock(), FakeSource()
    source.configurations.extend(configurations)
    follower = ConfigurationFollower(
        source=source, clock=clock, bounds=NodeBounds(revoke=5.0)
    )
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
        **more,
    )
    await ingress.server.start("127.0.0.1", 0)
    try:
        yield ingress, calls
    finally:
        await ingress.server.close()


async def send_bytes(ingress, data):
    """Send bytes and return the answer, empty if the connection breaks."""
    reader, writer = await asyncio.open_connection("127.0.0.1", ingress.server.port)
    try:
        writer.write(data)
        return await reader.read(65536)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def request(*lines, target="/p/x", host="h.example", key="good", body=b""):
    """Return a request with an id, a key and further header lines."""
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
        # The limits of the configuration apply from the second request on.
        await send_bytes(ingress, request())
        answer = await send_bytes(ingress, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status)


async def test_without_a_configuration_callers_are_told_to_come_back():
    """A node without a configuration must answer 503, so that callers retry.

    A node that had just started, and had not read a configuration, answered that there
    is no such route. Callers do not retry after that.
    """
    async with ingress_of() as (ingress, _):
        answer = await send_bytes(ingress, request())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in answer.lower()


async def test_a_node_that_cannot_be_sure_admits_no_key():
    async with ingress_of(SITE, sure=False) as (ingress, calls):
        for data in (request(), request(target="/other/")):
            answer = await send_bytes(ingress, data)
            assert answer.startswith(b"HTTP/1.1 503 ")
        assert calls.served == []


WITHOUT_KEYS = replace(SITE, uses_keys=False, keys={})


@pytest.mark.parametrize(
    ("key", "checks_keys", "status"),
    [("good", True, 401), ("", True, 200), ("good", False, 200), ("", False, 200)],
)
async def test_a_version_that_names_no_workspaces_admits_no_key(
    key, checks_keys, status
):
    """Guards against revoked keys that run once the field of workspaces is gone."""
    async with ingress_of(WITHOUT_KEYS, checks_keys=checks_keys) as (ingress, calls):
        answer = await send_bytes(ingress, request(key=key))
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert len(calls.served) == (status == 200)


async def test_a_request_without_a_key_is_not_run_by_a_version_that_may_be_replaced():
    """Guards against sends to the service that a route named before."""
    async with ingress_of(WITHOUT_KEYS, sure=False) as (ingress, calls):
        answer = await send_bytes(ingress, request(key=""))
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert calls.served == []


async def test_a_host_that_stood_still_serves_once_its_version_is_confirmed():
    """Guards against refusals by a host that could know more within milliseconds."""
    async with ingress_of(WITHOUT_KEYS, sure=False) as (ingress, calls):
        answering = asyncio.create_task(send_bytes(ingress, request(key="")))
        await asyncio.sleep(0.05)
        await ingress._configuration.step()
        assert (await answering).startswith(b"HTTP/1.1 200 ")


async def test_a_host_that_lost_the_store_serves_by_the_version_that_it_has():
    """Guards against refusing all requests for as long as the store is away."""
    async with ingress_of(WITHOUT_KEYS, sure=False) as (ingress, calls):
        ingress._configuration._source.is_cut_off = True
        await ingress._configuration.step()
        answer = await send_bytes(ingress, request(key=""))
        assert answer.startswith(b"HTTP/1.1 200 ")


async def test_a_stopping_node_serves_and_says_that_it_closes():
    async with ingress_of(SITE) as (ingress, calls):
        ingress.is_stopping = True
        data = request().replace(b"Connection: close\r\n", b"")
        answer = await send_bytes(ingress, data)
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
    """An answer must not be cut off when its node shuts down.

    A stopping node accepted a call with a timeout of 1 s when 0.9 s were left, because
    it compared the time left to the call's objective, which a call may miss. It
    accepted a stream of at most 1 s when 2.2 s were left, because it ignored the time
    to wait for a target and to move to another one.
    """
    async with ingress_of(SITE) as (ingress, _):
        ingress.is_stopping = True
        ingress.shutdown_at = ingress._clock.now() + left
        data = request("X-Mallowpond-Model: m", target=target)
        answer = await send_bytes(ingress, data)
    assert answer.startswith(b"HTTP/1.1 %d " % status)


async def test_a_node_that_is_about_to_end_refuses_what_it_cannot_finish():
    """An answer must not be cut off by a shutdown that began seconds before.

    When all nodes of a data centre are stopping, the balancer still sends callers to
    them. A stopping node accepted every request up to the end, also just before it.
    """
    async with ingress_of(SITE) as (ingress, calls):
        ingress.is_stopping = True
        ingress.shutdown_at = ingress._clock.now() + 0.1
        answer = await send_bytes(ingress, request())
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
            await send_bytes(ingress, request())
            answer = await send_bytes(ingress, data + b"\r\n\r\n")
            assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
            again = await send_bytes(ingress, request())
            assert again.startswith(b"HTTP/1.1 200 ")

    asyncio.run(exchange())
