"""Admission by forecast: replays of hard loads, and single failures."""

import asyncio
from dataclasses import replace

import pytest
import structlog

from mallowpond.node import dispatcher_client
from mallowpond.node.messages import (
    PlaceAnswer,
    PlaceQuestion,
    PlaceVerdict,
    read_message,
    write_message,
)
from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.peer_loads import GRANT_TTL_SECONDS
from mallowpond.node.tests.fakes import (
    PROFILE,
    ROUTE,
    FakeExchange,
    answer,
)
from mallowpond.node.tests.replay import (
    replay_burst,
    replay_lost_centre,
    replay_overload,
)
from mallowpond.node.tests.test_dispatcher import GROUP, run_pending_tasks, two_hosts

FULL = {GROUP: (PROFILE.slots + 1, 0.0)}
QUESTION = PlaceQuestion(
    node="a",
    number=1,
    service="engines",
    model="m",
    prompt_tokens=100,
    objective=0.2,
    on_time=0.1,
    patience=1.2,
    priority=1,
    fingerprint="f",
    seconds_left=5.0,
)


@pytest.fixture(autouse=True)
def silent_logs():
    """Keep the lines of the replays out of the output."""
    with structlog.testing.capture_logs() as logs:
        yield logs


async def full_site():
    """Return two hosts with contested slots and one full group."""
    site = await two_hosts("a", is_contested=True)
    site.rig_b.directory.loads.record_peer_loads("c", FULL)
    return site


def ask(site, number, fingerprint, **more):
    """Send a question to the dispatcher; return its last answer to it."""
    question = replace(QUESTION, number=number, fingerprint=fingerprint, **more)
    for notify in site.network_b.on_place_question:
        notify(question)
    answers = [m for m in site.network_b.sent if m.number == number]
    return answers[-1]


def advance(site, seconds):
    """Let time pass on both hosts; the group stays full."""
    site.rig_a.clock.time += seconds
    site.rig_b.directory._clock.time += seconds
    site.rig_b.directory.loads.record_peer_loads("c", FULL)


def fill(site):
    """Let streams wait until one is refused; return its number and answer."""
    for number in range(100, 200):
        told = ask(site, number, f"f{number}", on_time=0.0, patience=0.3)
        if told.verdict is PlaceVerdict.REFUSED:
            return number, told
    raise AssertionError("nobody was refused")


@pytest.mark.parametrize("replay", [replay_burst, replay_lost_centre])
@pytest.mark.parametrize("seed", [1, 2])
async def test_more_streams_are_on_time_and_few_are_refused_wrongly(replay, seed):
    """In overload, late streams took the slots of those that could be on time."""
    before = await replay(contested=False, seed=seed)
    after = await replay(contested=True, seed=seed)
    assert after.ends["on time"] > 1.04 * before.ends["on time"]
    assert after.value > 1.03 * before.value
    callers = after.ends["on time"] + after.ends["late"] + after.ends["lost"]
    assert after.ends["lost"] <= 0.03 * callers
    assert after.wrong_refusals <= 0.03 * callers
    # Waits that end without a slot use up the caller's time for nothing.
    assert after.ends["wait ended"] <= 0.002 * callers
    # Callers that were refused together do not come back together.
    times = sorted(at for at, _ in after.returns)
    assert all(late - at > 0.01 for at, late in zip(times, times[20:], strict=False))


@pytest.mark.parametrize("seed", [1, 2])
async def test_new_streams_stay_on_time_in_a_lasting_overload(seed):
    """Each slot that became free went to a late stream, and new ones became late."""
    before = await replay_overload(contested=False, seed=seed)
    after = await replay_overload(contested=True, seed=seed)
    served = after.ends["on time"] + after.ends["late"]
    assert after.ends["on time"] > 0.6 * served
    assert after.value > 1.25 * before.value


def test_messages_without_the_new_fields_are_as_before():
    """Deployments that do not use contested slots must exchange the same datagrams."""
    plain = replace(QUESTION, fingerprint="", seconds_left=0.0)
    assert write_message(plain).endswith(b"\x80")
    assert read_message(write_message(plain)) == plain
    assert read_message(write_message(QUESTION)) == QUESTION
    told = PlaceAnswer(node="b", number=1, verdict=PlaceVerdict.REFUSED, wait=1.0)
    assert len(write_message(told)) < len(write_message(replace(told, retry_after=1.0)))
    assert read_message(write_message(told)) == told


async def test_a_caller_that_comes_back_in_its_time_goes_first():
    """Who was refused first came back behind new streams, and was refused again."""
    site = await full_site()
    number, told = fill(site)
    assert 0.0 < told.retry_after <= 5.0 / 3.0
    # Its question again, as after a lost answer: the same time, and no second place.
    again = ask(site, number, f"f{number}", on_time=0.0, patience=0.3)
    assert again.retry_after == pytest.approx(told.retry_after)
    advance(site, told.retry_after)
    # The host has restarted since, and numbers its questions anew.
    new = ask(site, 2, "new", on_time=0.15)
    back = ask(site, 1, f"f{number}")
    assert (new.verdict, back.verdict) == (PlaceVerdict.WAITING, PlaceVerdict.WAITING)
    ask(site, 3, "newer", on_time=0.15)
    site.rig_b.directory.loads.record_peer_loads("c", {GROUP: (PROFILE.slots, 0.0)})
    site.dispatcher.wake()
    granted = [m for m in site.network_b.sent if m.verdict is PlaceVerdict.GRANTED]
    assert [m.number for m in granted] == [1]


async def test_a_caller_that_comes_back_early_and_often_gains_nothing():
    """A caller that retried in a fast sequence would get slots before others."""
    site = await full_site()
    number, told = fill(site)
    for attempt in range(1, 6):
        advance(site, 0.02)
        early = ask(site, attempt, f"f{number}", on_time=0.0)
        assert early.verdict is not PlaceVerdict.GRANTED
        if early.verdict is PlaceVerdict.REFUSED:
            assert early.retry_after >= told.retry_after - 0.02 * attempt
    lines = site.dispatcher._entries.values()
    assert not any(entry.has_place for entry in lines)


async def test_streams_that_lose_their_chance_are_refused_while_they_wait(silent_logs):
    """When groups were lost, streams waited until their patience ended, in vain."""
    site = await full_site()
    site.rig_a.targets.script("a0", answer(1))
    work = site.rig_a.work(FakeExchange(), ROUTE)
    serving = asyncio.create_task(site.rig_a.service.serve(work))
    await run_pending_tasks()
    assert not serving.done()
    site.rig_b.directory.exclude_group(GROUP, site.rig_a.clock.now() + 9.0)
    site.rig_a.clock.time += 0.4
    # The fake model joins in no time, so that a group could form at any moment.
    site.dispatcher._admission._lines["engines", "m"].model = replace(
        work.model, warm_seconds=2.0
    )
    site.dispatcher.wake()
    outcome = await serving
    assert (outcome.status, outcome.reason) == (503, Reason.OVERLOADED)
    assert 0.0 < outcome.retry_after <= 5.0 / 3.0
    assert "placement: refused by forecast" in {line["event"] for line in silent_logs}


async def test_a_refusal_that_comes_twice_or_late_is_ignored():
    """The second copy of a refusal must not refuse another stream."""
    site = await full_site()
    serving = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    await run_pending_tasks()
    refused = PlaceAnswer(
        node="b", number=1, verdict=PlaceVerdict.REFUSED, retry_after=0.5
    )
    for _ in range(2):
        for notify in site.network_a.on_place_answer:
            notify(refused)
    assert (await serving).retry_after == 0.5
    site.rig_b.directory.loads.record_peer_loads("c", {})
    site.rig_a.targets.script("a0", answer(1))
    later = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    for notify in site.network_a.on_place_answer:
        notify(refused)
    assert await later == Answered(status=200, target="a0")


async def test_the_queue_of_a_lost_dispatcher_goes_on_at_the_next_one(monkeypatch):
    """Streams that waited at a lost dispatcher must keep their deadlines."""
    monkeypatch.setattr(dispatcher_client, "RENEW_SECONDS", 0.01)
    site = await full_site()
    site.rig_a.directory.loads.record_peer_loads("c", FULL)
    site.rig_a.targets.script("a0", *(answer(1) for _ in range(3)))
    waiting = [
        asyncio.create_task(site.rig_a.service.serve(site.rig_a.work(FakeExchange())))
        for _ in range(3)
    ]
    await run_pending_tasks()
    deadlines = {entry.deadline for entry in site.dispatcher._entries.values()}
    site.network_a.is_cut = site.network_b.is_cut = True
    site.dispatching = "a"
    async with asyncio.timeout(1.0):
        while len(site.dispatcher_a._entries) < 3:
            await asyncio.sleep(0.005)
    assert {e.deadline for e in site.dispatcher_a._entries.values()} == deadlines
    site.rig_a.directory.loads.record_peer_loads("c", {})
    site.dispatcher_a.wake()
    outcomes = await asyncio.gather(*waiting)
    assert outcomes == [Answered(status=200, target="a0")] * 3


async def test_a_link_that_fails_in_one_direction_leaves_no_slot_in_use():
    """A dispatcher whose answers are lost counted its grants as used for good."""
    site = await two_hosts("a", is_contested=True)
    site.network_b.is_cut = True
    site.rig_a.targets.script("a0", answer(1))
    outcome = await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    assert outcome == Answered(status=200, target="a0")
    assert site.rig_b.directory.loads.load(GROUP).running == 1
    for clock in (site.rig_a.clock, site.rig_b.directory._clock):
        clock.time += GRANT_TTL_SECONDS + 0.1
    assert site.rig_b.directory.loads.load(GROUP).running == 0
    ask(site, 9, "f9")
    assert site.network_b.sent[-1].verdict is PlaceVerdict.GRANTED
