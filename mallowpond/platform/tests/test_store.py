"""What is known after each answer, or none, of the platform's table service."""

import base64
import json

import pytest

from mallowpond.coordination.ports import (
    Check,
    Committed,
    Conflict,
    Put,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.node.ports import HistoryLost
from mallowpond.platform.store import PlatformStore
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.tests import scripted

CHANGE = Transaction(
    transaction="t1",
    checks=(Check(key="leases/planner", version=3),),
    puts=(Put(key="leases/planner", value={"a": 1}),),
)


def response(status, document=None):
    """Write an answer."""
    body = json.dumps(document or {}).encode()
    return f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


async def ask(data, call):
    """Let a store that answers `data` be asked; return the outcome and the request."""
    requests = []

    async def script(reader, writer):
        requests.append(await scripted.read_request(reader))
        writer.write(data)
        await writer.drain()

    http = HttpClient(connect_seconds=0.5)
    async with scripted.scripted_server(script) as address:
        outcome = await call(PlatformStore(http=http, address=address))
    await http.close()
    return outcome, requests[0]


def commit(store):
    """Commit the change."""
    return store.commit(CHANGE)


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (response(200, {"ver": 9}), Committed),
        (response(412, {"rows": [{"table": "leases", "key": "planner"}]}), Conflict),
        (response(503), Unavailable),
        (response(429), Unavailable),
        (b"", Unknown),
        (b"HTTP/1.1 200 X\r\ncontent-length: 50\r\n\r\n{", Unknown),
    ],
)
async def test_the_four_outcomes_of_a_commit_are_kept_apart(data, kind):
    outcome, _ = await ask(data, commit)
    assert isinstance(outcome, kind)


async def test_a_commit_names_its_rows_and_itself():
    _, request = await ask(response(200, {"ver": 9}), commit)
    body = json.loads(request.partition(b"\r\n\r\n")[2])
    place = {"table": "leases", "part": "", "key": "planner"}
    assert body["expected"] == [{**place, "ver": 3}]
    value = json.loads(base64.b64decode(body["writes"][0]["value"]))
    assert value == {"value": {"a": 1}, "transaction": "t1"}


def row(key, document, **more):
    """Write a row."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {"table": "op", "part": "", "key": key, "value": value, "ver": 1, **more}


async def test_the_last_of_several_versions_in_one_answer_counts():
    """Symptom: a node refuses keys that have been in force for seconds.

    Sequence: two versions are accepted while the node's question is under way; one
    answer holds both.
    Cause: the first was taken, and the next question began after the second.
    """
    rows = [row("config", {"version": 17}), row("config", {"version": 37})]
    data = response(200, {"rows": rows, "ver": 40})
    found, _ = await ask(data, lambda store: store.configuration(5, 0.0))
    assert found.configuration.version == 37
    assert found.revision == 40


async def test_an_entry_that_was_removed_and_came_back_is_there():
    gone = {"table": "servers", "part": "", "key": "i-1", "removed": True}
    back = row("i-1", {"service": "s"})
    data = response(200, {"rows": [gone, back], "ver": 40})
    found, _ = await ask(data, lambda store: store.targets(5))
    assert [t.id for t in found.targets] == ["i-1"]
    assert found.removed == ()


async def test_a_lost_history_is_no_empty_answer():
    found, _ = await ask(response(410), lambda store: store.targets(5))
    assert found == HistoryLost()


async def test_no_row_and_no_answer_are_told_apart():
    found, _ = await ask(
        response(200, {"rows": [], "ver": 4}), lambda store: store.read("leases/x")
    )
    assert found is None
    lost, _ = await ask(b"", lambda store: store.read("leases/x"))
    assert isinstance(lost, Unavailable)
