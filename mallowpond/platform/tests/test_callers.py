"""Decoding of callers' requests."""

import pytest

from mallowpond.node.ports import InvalidRequest
from mallowpond.platform.callers import (
    MAX_SHARED_PARTS,
    MAX_TOKENS,
    PlatformCallerProtocol,
)
from mallowpond.transport.http_server import HttpRequest

ALL_HEADERS = (
    ("host", "A.example:80"),
    ("x-mallowpond-attempt-id", "q1"),
    ("last-event-id", "12"),
    ("x-mallowpond-model", "m"),
    ("x-mallowpond-token-counts", "1460,80"),
    ("x-mallowpond-prompt-prefix", "5c:800"),
    ("x-mallowpond-deadline-ms", "8000"),
    ("x-mallowpond-tenant", "forged"),
    ("x-mallowpond-expect-instance", "forged"),
    ("authorization", "Bearer secret"),
    ("connection", "keep-alive, x-hop"),
    ("x-hop", "1"),
    ("x-other", "1"),
    ("x-other", "2"),
)


def read(*headers, method="POST", target="/p/x?y=1"):
    """Decode a request with these headers."""
    request = HttpRequest(
        method=method,
        target=target,
        headers=dict(headers),
        body=b"b",
        header_list=tuple(headers),
    )
    return PlatformCallerProtocol().read(request)


def test_each_header_is_decoded_once():
    found = read(*ALL_HEADERS)
    assert (found.id, found.host, found.path) == ("q1", "a.example", "/p/x")
    assert (found.key, found.seconds_left, found.model) == ("secret", 8.0, "m")
    assert (found.prompt_tokens, found.answer_tokens) == (1460, 80)
    assert found.last_event == "12"


def test_only_headers_that_concern_the_engine_are_passed_on():
    """An engine must not get a caller's key, or a workspace that the caller chose.

    It did when a caller sent headers that only the system may set, because all headers
    were passed on.
    """
    passed = dict(read(*ALL_HEADERS).forwarded_headers)
    for name in (
        "authorization",
        "x-mallowpond-tenant",
        "x-mallowpond-expect-instance",
        "x-mallowpond-deadline-ms",
        "last-event-id",
        "connection",
        "x-hop",
    ):
        assert name not in passed
    assert passed["x-mallowpond-attempt-id"] == "q1"
    assert passed["x-mallowpond-prompt-prefix"] == "5c:800"
    assert read(*ALL_HEADERS).forwarded_headers.count(("x-other", "1")) == 1
    assert read(*ALL_HEADERS).forwarded_headers.count(("x-other", "2")) == 1


def test_a_request_without_an_id_is_invalid():
    assert isinstance(read(("host", "a")), InvalidRequest)


@pytest.mark.parametrize(
    "text",
    ["", "x", "1,y", ",", "9" * 400, "9" * 5000, "-1,5", "5,-1", "nan", "inf", "1e999"],
)
def test_bad_numbers_count_as_missing_or_as_numbers(text):
    """One request must not make all peers consider its node dead.

    It claimed a prompt of 10**400 tokens. The node's heartbeat carries the sum of its
    prompts, which no peer could decode, since token counts in callers' headers had no
    bounds.
    """
    found = read(
        ("host", "a"),
        ("x-mallowpond-attempt-id", "q"),
        ("x-mallowpond-token-counts", text),
        ("x-mallowpond-deadline-ms", text),
    )
    assert 0 <= found.prompt_tokens <= MAX_TOKENS
    assert 0 <= found.answer_tokens <= MAX_TOKENS
    assert found.seconds_left is None or 0 <= found.seconds_left < float("inf")


@pytest.mark.parametrize(
    ("value", "key"),
    [("Bearer k", "k"), ("bearer  k ", "k"), ("Basic k", None), ("", None)],
)
def test_only_bearer_keys_count(value, key):
    found = read(
        ("host", "a"), ("x-mallowpond-attempt-id", "q"), ("authorization", value)
    )
    assert found.key == key


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("", ()),
        ("5c:800", ()),
        ("5C1e:800,91bd:410,e4:250", ("5c1e", "91bd")),
        (" a1:1 , b2 , a1:9,c3:1", ("a1", "b2")),
        ("a1:1,not-hex:1,,b2:1,c3:1", ("a1", "b2")),
        (f"{'a' * 33}:1,b2:1,c3:1", ("b2",)),
    ],
)
def test_the_parts_that_requests_share_leave_out_the_last(text, parts):
    found = read(("x-mallowpond-attempt-id", "q"), ("x-mallowpond-prompt-prefix", text))
    assert found.shared_parts == parts


def test_a_caller_that_lists_thousands_of_parts_costs_no_more_than_a_few():
    """Guards against memory and records in the number of parts that a caller sends."""
    text = ",".join(f"{number:x}:1" for number in range(5000))
    found = read(("x-mallowpond-attempt-id", "q"), ("x-mallowpond-prompt-prefix", text))
    assert len(found.shared_parts) == MAX_SHARED_PARTS
