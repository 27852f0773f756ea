"""What is known after each answer, or none, of an engine."""

import json

import pytest

from mallowpond.node.ports import (
    CallerRequest,
    OrderFenced,
    OrderLost,
    OrderMisdirected,
    OrderTaken,
    OrderUnfit,
)
from mallowpond.platform.engines import PlatformEngines
from mallowpond.state.fleet import Target
from mallowpond.state.formation_view import (
    Close,
    Join,
    Leave,
    Open,
    Stage,
)
from mallowpond.transport.http_client import HttpClient, HttpResponse
from mallowpond.transport.tests import scripted

REQUEST = CallerRequest(
    id="q1",
    host="h",
    method="POST",
    target="/p",
    body=b"{}",
    passed_headers=(("host", "h"), ("x-mallowpond-attempt-id", "q1")),
)


def target_at(address):
    """Write a target at an address."""
    return Target(id="i-1", service="s", address=address, data_centre="a", slots=1)


async def with_engine(script, call):
    """Run `call` against an engine that plays `script`."""
    http = HttpClient(connect_seconds=0.5)
    async with scripted.scripted_server(script) as address:
        try:
            return await call(PlatformEngines(http=http), target_at(address))
        finally:
            await http.close()


def answering(data, requests=None):
    """Write a script that answers every request with `data`."""

    async def script(reader, writer):
        while True:
            request = await scripted.read_request(reader)
            if requests is not None:
                requests.append(request)
            writer.write(data)
            await writer.drain()
            if not data:
                return

    return script


@pytest.mark.parametrize(
    ("status", "end"),
    [
        (202, OrderTaken(began=True)),
        (200, OrderTaken(began=False)),
        (409, OrderUnfit()),
        (412, OrderFenced()),
        (421, OrderMisdirected()),
    ],
)
async def test_each_answer_to_an_order_is_told_apart(status, end):
    data = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode()

    async def call(engines, target):
        step = Open(target=target, group="g", epoch=3)
        return await engines.order(step, fence=5, expected=2)

    assert await with_engine(answering(data), call) == end


async def test_an_order_without_an_answer_may_have_been_taken():
    async def call(engines, target):
        return await engines.order(
            Leave(target=target, group="g", epoch=3), fence=5, expected=2
        )

    assert isinstance(await with_engine(answering(b""), call), OrderLost)


async def test_every_order_carries_its_fence_and_the_count_of_earlier_ones():
    requests = []
    data = b"HTTP/1.1 202 X\r\ncontent-length: 0\r\n\r\n"

    async def call(engines, target):
        join = Join(
            target=target, group="g", epoch=3, model="m", members=("i-1", "i-2")
        )
        for step in (
            join,
            Close(target=target, group="g", epoch=3, evict=True),
            Stage(target=target, model="m"),
        ):
            await engines.order(step, fence=5, expected=2)

    await with_engine(answering(data, requests), call)
    bodies = [json.loads(r.partition(b"\r\n\r\n")[2]) for r in requests]
    assert {(b["fence"], b["expected"]) for b in bodies} == {(5, 2)}
    assert bodies[0]["members"] == ["i-1", "i-2"]
    assert bodies[1]["mode"] == "evict"
    assert [b["operation"] for b in bodies] == ["join", "close", "stage"]


async def test_an_answer_to_an_earlier_request_is_skipped():
    """Symptom: a caller gets the answer to another caller's request.

    Sequence: an engine answers a request twice on a kept connection; the second
    answer arrives where the next request's answer is due.
    Cause: answers were matched by their order alone.
    """
    other = (
        b"HTTP/1.1 200 X\r\nx-mallowpond-attempt-id: q0\r\ncontent-length: 3\r\n\r\nOLD"
    )
    own = (
        b"HTTP/1.1 200 X\r\nx-mallowpond-attempt-id: q1\r\ncontent-length: 3\r\n\r\nOWN"
    )

    async def call(engines, target):
        response = await engines.send(
            target, REQUEST, workspace="w", seconds_left=1.0, last_event="4"
        )
        assert isinstance(response, HttpResponse)
        return await response.read()

    assert await with_engine(answering(other + own), call) == b"OWN"


async def test_a_request_names_its_target_time_and_workspace():
    requests = []
    data = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n"

    async def call(engines, target):
        await engines.send(
            target, REQUEST, workspace="w", seconds_left=1.5, last_event="4"
        )

    await with_engine(answering(data, requests), call)
    lines = requests[0].lower().split(b"\r\n")
    for line in (
        b"x-mallowpond-expect-instance: i-1",
        b"x-mallowpond-deadline-ms: 1500",
        b"x-mallowpond-tenant: w",
        b"last-event-id: 4",
        b"host: h",
    ):
        assert line in lines


async def test_only_the_engines_own_word_proves_that_nothing_ran():
    async def status_of(head):
        async def call(engines, target):
            response = await engines.send(
                target, REQUEST, workspace=None, seconds_left=1.0, last_event=None
            )
            return engines.is_not_run(response)

        return await with_engine(answering(head + b"content-length: 0\r\n\r\n"), call)

    assert await status_of(b"HTTP/1.1 421 X\r\n")
    assert await status_of(b"HTTP/1.1 503 X\r\nx-mallowpond-not-executed: 1\r\n")
    assert not await status_of(b"HTTP/1.1 503 X\r\n")
    assert not await status_of(b"HTTP/1.1 500 X\r\n")


async def test_a_connection_with_bytes_left_is_not_used_again():
    """Symptom: a caller gets bytes that belong to no request.

    Sequence: a target sends more than its answer; the connection is kept.
    Cause: nobody looked whether anything was left before the next request.
    """
    connections = []
    data = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 X\r\n"

    async def script(reader, writer):
        connections.append(1)
        await answering(data)(reader, writer)

    async def call(engines, target):
        for _ in range(2):
            response = await engines.send(
                target, REQUEST, workspace=None, seconds_left=1.0, last_event=None
            )
            assert await response.read() == b"ok"
            response.close()

    await with_engine(script, call)
    assert len(connections) == 2
