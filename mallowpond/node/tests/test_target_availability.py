"""Tests of what a host sends to targets that ask for backoff or announce a stop."""

from dataclasses import replace

from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.tests.fakes import (
    BROKEN,
    FakeExchange,
    FakeResponse,
    answer,
    event,
    listing,
    make_rig,
    open_group,
)
from mallowpond.node.tests.test_calls import IDEMPOTENT, reply, serve

BACKOFF_SECONDS = 3.0


def shedding():
    """Return the answer of a target that rejects a request and asks for backoff."""
    headers = {"not-run": "1", "backoff": str(BACKOFF_SECONDS)}
    return FakeResponse(script=[], status=503, headers=headers)


async def test_a_head_that_asks_for_backoff_gets_no_stream_until_its_end():
    """Guards against a wait of this host that is shorter than the backoff."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", shedding(), answer(1))
    rig.targets.script("b0", *(answer(1) for _ in range(40)))
    for _ in range(int(BACKOFF_SECONDS / 0.1)):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target="b0")
        rig.clock.time += 0.1
    assert [target for target, _ in rig.targets.sends].count("a0") == 1
    rig.clock.time += 0.1
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="a0")


async def test_a_stream_that_every_head_turned_away_is_refused_at_once():
    """Guards against streams that wait although their heads' backoff is longer."""
    rig = await make_rig("a")
    rig.targets.script("a0", shedding())
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert (outcome.status, outcome.reason) == (503, Reason.BACKING_OFF)
    assert 0.5 * BACKOFF_SECONDS < outcome.retry_after < 1.5 * BACKOFF_SECONDS
    assert len(rig.targets.sends) == 1


async def test_a_moved_stream_goes_to_no_head_that_asks_for_backoff():
    rig = await make_rig("a", "b", "c")
    availability = rig.service._availability
    notice = rig.targets.notice(shedding())
    availability.record_notice(rig.directory.targets["b0"], notice, rig.clock.now())
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]))
    rig.targets.script("c0", answer(2))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="c0")


async def test_a_call_that_every_target_turned_away_comes_back_after_the_backoff():
    rejection = reply(503, backoff=str(BACKOFF_SECONDS), **{"not-run": "1"})
    outcome, sends, _ = await serve(
        IDEMPOTENT, rejection, rejection, targets=("a", "b")
    )
    assert (outcome.status, outcome.reason) == (503, Reason.BACKING_OFF)
    assert outcome.retry_after > 0.5 * BACKOFF_SECONDS
    assert sorted(sends) == ["a", "b"]


def leaving(*numbers):
    """Return a complete answer of a target that announces its stop."""
    return replace(answer(*numbers), headers={"leaving": "1"})


async def test_a_head_that_says_that_it_leaves_gets_nothing_more():
    """Guards against streams to a head whose entry in the list is still open."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", leaving(1))
    rig.targets.script("b0", answer(1), answer(1))
    for target in ("a0", "b0", "b0"):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target=target)
        rig.clock.time += 30.0


async def test_where_the_only_head_leaves_a_stream_waits_for_another_group():
    rig = await make_rig("a")
    rig.targets.script("a0", leaving(1))
    await rig.service.serve(rig.work(FakeExchange()))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert (outcome.status, outcome.reason) == (503, Reason.OVERLOADED)
    assert len(rig.targets.sends) == 1


async def test_a_call_goes_to_no_target_that_leaves():
    last = reply(500, leaving="1")
    outcome, sends, _ = await serve(IDEMPOTENT, last, reply(200), targets=("a", "b"))
    assert outcome.status == 200
    assert sorted(sends) == ["a", "b"]


async def test_what_a_target_asked_for_is_forgotten_with_the_target():
    """Guards against memory that grows with every process that ever asked for it."""
    rig = await make_rig("a", "b")
    availability = rig.service._availability
    notice = rig.targets.notice(shedding())
    availability.record_notice(rig.directory.targets["a0"], notice, rig.clock.now())
    rig.source.listed.append(listing(*open_group("b"), revision=2))
    rig.clock.time += 20.0
    await rig.directory.refresh()
    rig.clock.time += 60.0
    rig.source.listed.append(listing(*open_group("b"), revision=3))
    await rig.directory.refresh()
    assert "a0" not in rig.directory.targets
    assert not availability.has_restrictions
