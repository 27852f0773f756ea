"""The outcome of a dispatch for each fault between gateway and target."""

import pytest

from mallowpond.gateway.dispatch import (
    Attempt,
    MaybeRun,
    NotStarted,
    ResponseStarted,
    dispatch,
)
from mallowpond.state.rows import GroupMember, GroupRow, GroupState
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.tests import scripted

ATTEMPT = Attempt(
    request_id="r1",
    path="/v1/completions",
    body=b"{}",
    content_type="application/json",
    repeatable=False,
)


def group_at(address):
    head = GroupMember(host="h", address=address, incarnation="1", rank=0)
    return GroupRow(
        group="g",
        deployment="d",
        generation=3,
        state=GroupState.READY,
        members=(head,),
    )


async def outcome_of(script):
    http = HttpClient(connect_seconds=0.5)
    async with scripted.scripted_server(script) as address:
        outcome = await dispatch(
            http=http,
            group=group_at(address),
            attempt=ATTEMPT,
            first_byte_seconds=0.3,
        )
    await http.close()
    return outcome


@pytest.mark.parametrize(
    ("script", "reason"),
    [
        (scripted.close_after_a_byte, "cut_before_head"),
        (scripted.close_after_request, "cut_before_head"),
        (scripted.cut_inside_head, "cut_before_head"),
        (scripted.answer_garbage, "cut_before_head"),
        (scripted.stay_silent, "first_byte_timeout"),
        (scripted.answer_for_another, "crossed_answer"),
    ],
)
async def test_fault_after_bytes_left_is_never_called_not_started(script, reason):
    assert await outcome_of(script) == MaybeRun(reason=reason)


async def test_refused_connection_did_not_start():
    http = HttpClient(connect_seconds=0.5)
    outcome = await dispatch(
        http=http,
        group=group_at("127.0.0.1:1"),
        attempt=ATTEMPT,
        first_byte_seconds=0.3,
    )
    assert outcome == NotStarted(reason="connect_failed")


async def test_engine_that_says_so_did_not_start():
    outcome = await outcome_of(scripted.respond_not_started)
    assert outcome == NotStarted(reason="engine_refused")


async def test_right_echo_is_an_answer():
    outcome = await outcome_of(scripted.cut_chunked(b"x", end=True))
    assert isinstance(outcome, ResponseStarted)
    outcome.response.close()
