"""What the client concludes from each answer of an engine, or from none."""

import json
from dataclasses import replace

import pytest

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.ports import (
    CallerRequest,
    OrderFenced,
    OrderLost,
    OrderMisdirected,
    OrderTaken,
    OrderUnfit,
)
from mallowpond.platform import engines as engines_module
from mallowpond.platform.engines import PlatformEngines
from mallowpond.state.fleet import Process, Target
from mallowpond.state.formation_view import (
    Close,
    Join,
    Leave,
    Open,
    Stage,
)
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import HttpClient, HttpResponse
from mallowpond.transport.tests import scripted

REQUEST = CallerRequest(
    id="q1",
    host="h",
    method="POST",
    target="/p",
    body=b"{}",
    forwarded_headers=(("host", "h"), ("x-mallowpond-attempt-id", "q1")),
)


@pytest.fixture(autouse=True)
def long_query_timeout(monkeypatch):
    """Raise the timeout of reports and health checks for busy machines.

    If the machine stalls for the usual 0.15 s, the result is a timeout instead of the
    invalid field; one of these tests failed that way next to other load.
    """
    monkeypatch.setattr(engines_module, "QUERY_TIMEOUT_SECONDS", 10.0)


def target_at(address):
    """Return a target at an address."""
    return Target(id="i-1", service="s", address=address, data_centre="a", slots=1)


async def with_engine(script, call):
    """Run `call` against an engine that runs `script`."""
    http = HttpClient(connect_seconds=0.5)
    async with scripted.scripted_server(script) as address:
        try:
            return await call(PlatformEngines(http=http), target_at(address))
        finally:
            await http.close()


def answering(data, requests=None):
    """Return a script that answers every request with `data`."""

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
    ("status", "result"),
    [
        (202, OrderTaken(began=True)),
        (200, OrderTaken(began=False)),
        (409, OrderUnfit()),
        (412, OrderFenced()),
        (421, OrderMisdirected()),
    ],
)
async def test_each_answer_to_an_order_is_told_apart(status, result):
    data = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode()

    async def call(engines, target):
        step = Open(target=target, group="g", epoch=3)
        return await engines.order(step, fence=5, expected=2)

    assert await with_engine(answering(data), call) == result


@pytest.mark.parametrize(
    ("script", "is_silent"),
    [
        (scripted.stay_silent, True),
        (scripted.close_after_request, False),
        (scripted.answer_garbage, False),
        (answering(b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n"), False),
    ],
)
@pytest.mark.parametrize("query", ["report", "health"])
async def test_only_a_timeout_of_a_query_is_silence(
    script, is_silent, query, monkeypatch
):
    """Guards against an engine that closes connections and counts as slow."""
    if is_silent:
        monkeypatch.setattr(engines_module, "QUERY_TIMEOUT_SECONDS", 0.1)

    async def call(engines, target):
        if query == "report":
            return await engines.report(target)
        return await engines.is_healthy(target, "/health")

    found = await with_engine(script, call)
    assert isinstance(found, Unavailable)
    assert found.is_silent == is_silent


async def test_a_refused_connection_is_no_silence():
    """Guards against a dead engine that counts as slow."""
    found = await PlatformEngines(http=HttpClient()).report(target_at("127.0.0.1:1"))
    assert isinstance(found, Unavailable)
    assert not found.is_silent


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
    """A caller must not get the answer to another caller's request.

    An engine answered a request twice on a reused connection, and the second answer was
    taken for that of the next request: answers were matched by order alone.
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


@pytest.mark.parametrize(
    ("head", "limit"),
    [
        (b"Server-Limit: 1.3\r\n", 1.3),
        (b"server-limit: 12\r\n", 12.0),
        (b"", None),
        (b"server-limit: -1\r\n", None),
        (b"server-limit: nan\r\n", None),
        (b"server-limit: some\r\n", None),
    ],
)
async def test_a_named_rate_limit_is_read(head, limit):
    async def call(engines, target):
        response = await engines.send(
            target, REQUEST, workspace=None, seconds_left=1.0, last_event=None
        )
        return engines.notice(response)

    data = b"HTTP/1.1 200 X\r\n" + head + b"content-length: 0\r\n\r\n"
    notice = await with_engine(answering(data), call)
    assert notice == TargetNotice(rate_limit=limit)


async def test_an_engine_says_in_its_answers_that_it_leaves():
    async def call(engines, target):
        response = await engines.send(
            target, REQUEST, workspace=None, seconds_left=1.0, last_event=None
        )
        return engines.notice(response).is_leaving

    for head, is_leaving in ((b"Server-Leaving: 1\r\n", True), (b"", False)):
        data = b"HTTP/1.1 200 X\r\n" + head + b"content-length: 0\r\n\r\n"
        assert await with_engine(answering(data), call) is is_leaving


@pytest.mark.parametrize(
    ("head", "seconds"),
    [
        (b"503 X\r\nretry-after: 3\r\n", 3.0),
        (b"503 X\r\nretry-after: 0.25\r\n", 0.25),
        (b"503 X\r\nretry-after: Wed, 21 Oct 2026 07:28:00 GMT\r\n", None),
        (b"503 X\r\n", None),
        (b"429 X\r\nretry-after: 3\r\n", None),
        (b"200 X\r\nretry-after: 3\r\n", None),
    ],
)
async def test_only_a_refusal_asks_for_backoff(head, seconds):
    async def call(engines, target):
        response = await engines.send(
            target, REQUEST, workspace=None, seconds_left=1.0, last_event=None
        )
        return engines.notice(response).backoff_seconds

    data = b"HTTP/1.1 " + head + b"content-length: 0\r\n\r\n"
    assert await with_engine(answering(data), call) == seconds


async def test_a_connection_with_bytes_left_is_not_used_again():
    """A caller must not get bytes that belong to no request.

    A target sent more than its answer, and the connection was reused without a check
    for unread bytes.
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


REPORT = {
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 2,
    "born": 1_733_184_000_000,
    "queued": 1,
    "running": 12,
    "kv_used": 41000,
    "kv_total": 90000,
    "handles": 0,
    "pace": 1.5,
    "domain": "d1",
    "staged": ["m"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
}


def answer_of(body, status=200, headers=""):
    """Return an answer with this body."""
    head = f"HTTP/1.1 {status} X\r\n{headers}content-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def report_of(body, born=5):
    """Query the report of an engine that answers with this body."""

    async def call(engines, target):
        return await engines.report(replace(target, born=born))

    return await with_engine(answering(answer_of(body)), call)


async def test_a_report_tells_what_an_engine_holds_and_which_process_it_is():
    found = await report_of(json.dumps(REPORT).encode())
    assert found.orders == 2
    assert found.pace == 1.5
    assert found.target.process == Process(id="i-1", born=1_733_184_000_000)
    assert (found.target.model, found.target.staged) == ("m", ("m",))
    assert found.target.membership.group == "g"
    assert found.target.service == "s"


async def test_a_report_without_a_start_is_read_where_the_list_tells_none():
    body = json.dumps({k: v for k, v in REPORT.items() if k != "born"}).encode()
    found = await report_of(body, born=None)
    assert found.target.process == Process(id="i-1", born=None)
    with_start = await report_of(json.dumps(REPORT).encode(), born=None)
    assert with_start.target.process == Process(id="i-1", born=None)
    assert isinstance(
        await report_of(body.replace(b"{", b'{"born":null,', 1)), Unavailable
    )


ABSENT = object()
BAD_REPORTS = [
    *((name, ABSENT) for name in ("sequence", "born", "models", "staged")),
    *((n, v) for n in ("sequence", "born") for v in ("4", None, True, 1.5, -1, 2**60)),
    *(("models", value) for value in (5, None, "m", {}, [5], [{}], [{"name": 7}])),
    *(("staged", value) for value in (5, None, "m", {}, [5], [None], [{}])),
    *(("group", value) for value in (5, "g", [], {"name": "g"})),
    ("group", {**REPORT["group"], "state": "melted"}),
    ("group", {**REPORT["group"], "epoch": "one"}),
    ("busy", "no"),
    *((n, v) for n in ("queued", "running", "kv_used", "pace") for v in ("x", -1)),
]


@pytest.mark.parametrize(("name", "value"), BAD_REPORTS)
async def test_a_report_with_a_wrong_field_is_no_answer(name, value):
    """An invalid report must neither stop the planner nor give it a wrong order count.

    An engine of another version answered a query for its report. Decoding it raised in
    the planner's task, or took a value of another type for the count of orders.
    """
    document = {k: v for k, v in {**REPORT, name: value}.items() if v is not ABSENT}
    found = await report_of(json.dumps(document).encode())
    assert isinstance(found, Unavailable)
    assert name in found.reason


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"7", b"null", b'"x"', b"\xff\xfe\xfd", b"[" * 50_000]
)
async def test_a_report_that_is_no_object_is_no_answer(body):
    assert isinstance(await report_of(body), Unavailable)


HEALTHY = "x-mallowpond-instance-id: i-1\r\n"


@pytest.mark.parametrize(
    ("data", "healthy"),
    [
        (answer_of(b"ok", 200, HEALTHY), True),
        (answer_of(b"{}", 200, HEALTHY), True),
        (answer_of(b"", 503, HEALTHY), False),
        (answer_of(b"", 503), False),
        (answer_of(b"ok", 200), None),
        (answer_of(b"ok", 200, "x-mallowpond-instance-id: i-2\r\n"), None),
        (answer_of(b'{"born": 5}', 200, HEALTHY), True),
        (answer_of(b'{"born": 6}', 200, HEALTHY), None),
        (answer_of(b'{"born": "5"}', 200, HEALTHY), None),
        (answer_of(b"\xff", 200, HEALTHY), True),
        (answer_of(b"", 421, HEALTHY), None),
        (b"", None),
        (b"\xff\xff\r\n\r\n", None),
    ],
)
async def test_only_the_process_that_was_asked_for_can_be_healthy(data, healthy):
    """A health check must not count if another engine or process answers it.

    A silent engine's address had passed to another engine, or it had restarted. The
    sender of the answer was not checked, so streams were sent there and rejected.
    """

    async def call(engines, target):
        return await engines.is_healthy(replace(target, born=5), "/healthz")

    found = await with_engine(answering(data), call)
    if healthy is None:
        assert isinstance(found, Unavailable)
    else:
        assert found is healthy


COLD_MS = "x-mallowpond-cold-ms: "


@pytest.mark.parametrize(
    ("data", "seconds"),
    [
        (answer_of(b"ok", 200, HEALTHY + COLD_MS + "2500\r\n"), [2.5]),
        (answer_of(b"", 503, HEALTHY + COLD_MS + "2500\r\n"), [2.5]),
        (answer_of(b"ok", 200, HEALTHY + COLD_MS + "0\r\n"), [0.0]),
        (answer_of(b"ok", 200, HEALTHY), []),
        (answer_of(b"ok", 200, HEALTHY + COLD_MS + "soon\r\n"), []),
        (answer_of(b"ok", 200, HEALTHY + COLD_MS + "-1\r\n"), []),
        (answer_of(b"ok", 200, COLD_MS + "2500\r\n"), []),
        (answer_of(b"", 421, HEALTHY + COLD_MS + "2500\r\n"), []),
        (answer_of(b'{"born": 6}', 200, HEALTHY + COLD_MS + "2500\r\n"), []),
    ],
)
async def test_a_health_answer_says_how_long_its_engine_stays_cold(data, seconds):
    """Guards against the cold time of another engine or process that answers."""
    found = []

    async def call(engines, target):
        return await engines.is_healthy(
            replace(target, born=5), "/healthz", found.append
        )

    await with_engine(answering(data), call)
    assert found == seconds
