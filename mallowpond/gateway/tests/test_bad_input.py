"""Bad input is refused with its reason, counted, and leaks no slot."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.gateway.tests.callers import counter, runs, send, serving_site
from mallowpond.node.tests.fakes import FakeExchange
from mallowpond.protocol.caller import (
    CallerHeaders,
    CompletionRequest,
    parse_completion,
    parse_headers,
)
from mallowpond.protocol.problems import Problem
from mallowpond.transport.http_messages import BadInput

AUTH = (("authorization", "Bearer demo-key"),)
GOOD = {"model": "meteor-7b", "prompt": "x"}
CASES = [
    ("/v1/completions", b"{", 400, "malformed_json"),
    ("/v1/completions", b"[]", 400, "malformed_json"),
    ("/v1/completions", b"\xff\xfe", 400, "malformed_json"),
    ("/v1/completions", b"[" * 100_000, 400, "malformed_json"),
    ("/v1/completions", {}, 400, "bad_field"),
    ("/v1/completions", {"model": 7, "prompt": "x"}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"prompt": ""}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"stream": "yes"}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"max_tokens": 0}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"max_tokens": True}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"n": 2}, 400, "bad_field"),
    ("/v1/completions", GOOD | {"model": "none"}, 404, "unknown_model"),
    ("/v1/chat/completions", GOOD, 400, "bad_field"),
    ("/v1/chat/completions", GOOD | {"messages": [1]}, 400, "bad_field"),
    ("/v1/nothing", GOOD, 404, "unknown_path"),
    ("/v1/completions", b"x" * (5 * 1024 * 1024), 413, "body_too_large"),
]
BAD_HEADERS = [
    ((), 401, "bad_key"),
    ((("authorization", "Bearer wrong"),), 401, "bad_key"),
    ((("authorization", "Basic demo-key"),), 401, "bad_key"),
    ((*AUTH, ("idempotency-key", "k" * 300)), 400, "bad_idempotency_key"),
    ((*AUTH, ("mallowpond-timeout", "soon")), 400, "bad_timeout"),
    ((*AUTH, ("mallowpond-timeout", "nan")), 400, "bad_timeout"),
    ((*AUTH, ("mallowpond-timeout", "-1")), 400, "bad_timeout"),
    ((*AUTH, ("big", "h" * 20_000)), 431, "headers_too_large"),
]


async def test_every_bad_request_is_refused_as_not_run_and_counted():
    async with serving_site(groups=1) as site:
        for path, body, status, reason in CASES:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            await check(site, path, data, AUTH, status, reason)
        for headers, status, reason in BAD_HEADERS:
            data = json.dumps(GOOD).encode()
            await check(site, "/v1/completions", data, headers, status, reason)
        assert runs(site) == []
        assert site.gateways[0].in_flight == 0


async def check(site, path, data, headers, status, reason):
    before = counter(site, "refusals", reason=reason, outcome="not_run")
    reply = await send(site.gateway_address, "POST", path, data, headers)
    assert (reply.status, reply.reason) == (status, reason), (path, data[:40])
    assert reply.outcome == "not_run"
    after = counter(site, "refusals", reason=reason, outcome="not_run")
    assert after == before + 1


async def test_client_that_leaves_frees_its_place():
    async with serving_site(groups=1, step_seconds=0.05) as site:
        body = json.dumps(GOOD | {"max_tokens": 100}).encode()
        call = asyncio.create_task(
            send(site.gateway_address, "POST", "/v1/completions", body, AUTH)
        )
        await site.until(lambda: runs(site))
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await site.until(lambda: site.gateways[0].in_flight == 0)
        await site.until(lambda: sum(e.status().in_flight for e in site.engines) == 0)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
fields = st.sampled_from(["model", "prompt", "messages", "stream", "max_tokens", "n"])


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.dictionaries(fields, json_values), st.booleans())
def test_any_json_is_read_or_refused(asked, is_chat):
    read = parse_completion(json.dumps(asked).encode(), is_chat=is_chat)
    assert isinstance(read, CompletionRequest | Problem)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(), st.booleans())
def test_any_bytes_are_read_or_refused(body, is_chat):
    assert isinstance(
        parse_completion(body, is_chat=is_chat), CompletionRequest | Problem
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(["authorization", "idempotency-key", "mallowpond-timeout"]),
        st.text(st.characters(max_codepoint=255)),
    )
)
def test_any_headers_are_read_or_refused(headers):
    read = parse_headers(headers, 60.0)
    assert isinstance(read, CallerHeaders | Problem)


@pytest.mark.parametrize("text", ["inf", "1e9"])
def test_timeout_is_bounded(text):
    read = parse_headers({"mallowpond-timeout": text}, 60.0)
    assert read.timeout == 3600.0


async def test_a_request_that_finds_no_room_is_told_when_to_come_back():
    """Guards against callers of a gateway that know no time to come back."""
    bad = BadInput(status=503, reason="too_many", detail="Later.", retry_after=1.5)
    async with serving_site(groups=1) as site:
        exchange = FakeExchange()
        await site.gateways[0]._answer_bad_input(bad, exchange)
    headers = dict(exchange.headers)
    assert (exchange.status, headers["retry-after"]) == (503, "2")
    assert headers["mallowpond-outcome"] == "not_run"
