"""Tests of what hosts send to targets that have named a rate limit."""

import asyncio
from collections import deque
from dataclasses import replace

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.directory import Directory
from mallowpond.node.messages import PlaceAnswer, PlaceVerdict, RateLimitNews
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason, Refusal
from mallowpond.node.rate_limits import SEND_DELAYS, RateLimits
from mallowpond.node.tests.fakes import (
    BROKEN,
    FakeClock,
    FakeExchange,
    FakeResponse,
    FakeSource,
    FakeTargets,
    answer,
    event,
    listing,
    make_budgets,
    make_rig,
)
from mallowpond.node.tests.test_calls import (
    IDEMPOTENT,
    make_call_service,
    make_work,
    plain,
    reply,
    serve,
)
from mallowpond.node.tests.test_dispatcher import run_pending_tasks, two_hosts
from mallowpond.state.fleet import BreakCause
from mallowpond.state.target_notice import TargetNotice

ONE_PER_SECOND = TargetNotice(rate_limit=1.0)
ONE_PER_TEN_SECONDS = TargetNotice(rate_limit=0.1)


def limited(limit, *numbers):
    """Return a complete answer that names a limit."""
    return replace(answer(*numbers), headers={"limit": str(limit)})


def availability_of(rig):
    """Return the target availability of a rig's host."""
    return rig.service._availability


def head(rig, name):
    """Return a listed target of a rig."""
    return rig.directory.targets[name]


async def test_a_head_gets_no_more_than_the_rate_that_it_names():
    """Guards against a head that still gets as many requests as its slots allow."""
    rig = await make_rig("a", "b")
    rig.targets.script("a0", *(limited(1.0, 1) for _ in range(80)))
    rig.targets.script("b0", *(answer(1) for _ in range(80)))
    sent = []
    for _ in range(80):
        before = len(rig.targets.sends)
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert isinstance(outcome, Answered)
        sent += [rig.clock.time for t, _ in rig.targets.sends[before:] if t == "a0"]
        rig.clock.time += 0.1
    assert 6 <= len(sent) <= 9


async def test_a_limit_ends_with_the_first_answer_that_names_none():
    rig = await make_rig("a")
    rig.targets.script("a0", limited(1.0, 1), answer(1), answer(1))
    await rig.service.serve(rig.work(FakeExchange()))
    rig.clock.time += 3.5
    for _ in range(2):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target="a0")


async def test_a_stream_that_no_group_takes_in_time_is_refused_at_once():
    """Guards against streams that wait for a slot which a rate limit does not allow."""
    rig = await make_rig("a")
    availability_of(rig).record_notice(
        head(rig, "a0"), ONE_PER_TEN_SECONDS, rig.clock.now()
    )
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert (outcome.status, outcome.reason) == (503, Reason.RATE_LIMITED)
    assert outcome.retry_after > 1.0
    assert rig.targets.sends == []


async def test_a_stream_that_moves_keeps_the_rate_of_where_it_goes():
    """Guards against a rate limit that counts first sends only, not moved streams."""
    rig = await make_rig("a", "b", "c")
    availability_of(rig).record_notice(
        head(rig, "b0"), ONE_PER_TEN_SECONDS, rig.clock.now()
    )
    rig.targets.script("a0", FakeResponse(script=[event(1), BROKEN]))
    rig.targets.script("c0", answer(2))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="c0")


async def test_a_waiting_stream_gets_its_place_when_the_rate_leaves_room():
    rig = await make_rig("a")
    availability_of(rig).record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
    serving = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
    await run_pending_tasks()
    rig.service.placement.wake_all()
    await run_pending_tasks()
    assert rig.targets.sends == []
    rig.targets.script("a0", answer(1))
    rig.clock.time += 1.0
    rig.service.placement.wake_all()
    assert await serving == Answered(status=200, target="a0")


async def test_a_place_that_the_rate_limit_closes_meanwhile_is_given_back():
    """Guards against a granted slot that the rate limit no longer allows to use.

    The host received the limit while the stream waited for its slot.
    """
    site = await two_hosts("a")
    rig, unused = site.rig_a, []
    site.dispatcher_client.on_unused_grant.append(lambda: unused.append(True))
    serving = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))

    def grant(number):
        availability_of(rig).record_notice(
            head(rig, "a0"), ONE_PER_TEN_SECONDS, rig.clock.now()
        )
        return PlaceAnswer(
            node="b",
            number=number,
            verdict=PlaceVerdict.GRANTED,
            group="a",
            epoch=1,
            grant_number=1,
        )

    site.dispatcher.request_slot = lambda asker, seek, claim: grant(asker.number)
    outcome = await serving
    assert (outcome.status, outcome.reason) == (503, Reason.RATE_LIMITED)
    assert rig.targets.sends == []
    assert unused == [True]


@pytest.mark.parametrize("status", [200, 500, 503])
async def test_any_answer_may_name_a_limit(status):
    rig = await make_rig("a", "b")
    headers = {"limit": "1.0"} | ({"not-run": "1"} if status == 503 else {})
    failing = FakeResponse(script=[], status=status, headers=headers)
    rig.targets.script("a0", replace(failing, script=answer(1).script))
    rig.targets.script("b0", answer(1))
    await rig.service.serve(rig.work(FakeExchange()))
    assert not availability_of(rig).can_send(head(rig, "a0"))


async def test_a_call_goes_to_a_target_whose_rate_leaves_room():
    first = reply(503, limit="0.1", **{"not-run": "1"})
    outcome, sends, _ = await serve(IDEMPOTENT, first, reply(200), targets=("a", "b"))
    assert outcome.status == 200
    assert len(set(sends)) == 2


async def test_a_call_that_no_target_takes_is_refused_as_not_run():
    first = reply(503, limit="0.1", **{"not-run": "1"})
    outcome, sends, _ = await serve(IDEMPOTENT, first, targets=("a",))
    assert isinstance(outcome, Refusal)
    assert (outcome.status, outcome.reason) == (503, Reason.RATE_LIMITED)
    assert len(sends) == 1


async def test_a_call_counts_against_the_rate_of_its_target():
    clock, fakes = FakeClock(), FakeTargets()
    fakes.script("a", reply(200, limit="1.0"))
    source = FakeSource(listed=deque([listing(plain("a"))]))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    budgets = make_budgets(clock, NodeMetrics(), ratio=0.0, slack=10.0)
    service = make_call_service(directory, fakes, clock, budgets)
    target = directory.targets["a"]
    service._availability.record_notice(target, ONE_PER_SECOND, clock.now())
    clock.time += 1.0
    assert service._availability.can_send(target)
    outcome = await service.serve(make_work(clock, IDEMPOTENT, FakeExchange()))
    assert outcome == Answered(status=200, target="a")
    assert not service._availability.can_send(target)


class FakePeerNetwork:
    """Peer network that delivers broadcasts to one other host or loses them."""

    def __init__(self):
        self.on_rate_limits, self.other, self.losses = [], None, 0
        self.live = ()

    def broadcast(self, message):
        """Deliver a message to the other host, or lose it."""
        assert isinstance(message, RateLimitNews)
        if self.losses:
            self.losses -= 1
            return
        for notify in self.other.on_rate_limits:
            notify(message)


async def make_two_hosts():
    """Return the rate limits of two hosts that broadcast to each other."""
    rig = await make_rig("a")
    networks = FakePeerNetwork(), FakePeerNetwork()
    networks[0].other, networks[1].other = networks[1], networks[0]
    found = [
        RateLimits(
            name=name,
            directory=rig.directory,
            clock=rig.clock,
            metrics=NodeMetrics(),
            peers=network,
        )
        for name, network in zip(("n0", "n1"), networks, strict=True)
    ]
    return rig, networks, found


async def test_other_hosts_hear_of_a_limit_and_of_its_end():
    """Guards against hosts that each learn a limit only by a request of their own."""
    rig, _, (mine, other) = await make_two_hosts()
    mine.record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
    mine.send_due()
    assert other.seconds_until_available(head(rig, "a0")) > 0.0
    rig.clock.time += 1.0
    mine.record_notice(head(rig, "a0"), TargetNotice(), rig.clock.now())
    mine.send_due()
    assert other.seconds_until_available(head(rig, "a0")) == 0.0


async def test_news_that_is_lost_is_told_again():
    rig, networks, (mine, other) = await make_two_hosts()
    networks[0].losses = 2
    mine.record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
    for pause in SEND_DELAYS:
        rig.clock.time += pause
        mine.send_due()
    assert other.seconds_until_available(head(rig, "a0")) > 0.0
    assert len(mine._resends) == 0


async def test_news_of_an_unlisted_process_is_left_out():
    rig, networks, (mine, other) = await make_two_hosts()
    gone = replace(head(rig, "a0"), born=7)
    mine.record_notice(gone, ONE_PER_SECOND, rig.clock.now())
    mine.send_due()
    assert other.seconds_until_available(gone) == 0.0


async def test_news_goes_out_by_itself():
    rig, _, (mine, other) = await make_two_hosts()
    sending = asyncio.create_task(mine.run())
    await run_pending_tasks()
    mine.record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
    await run_pending_tasks()
    assert other.has_limits
    await cancel_task(sending)


async def test_a_limit_that_lasts_is_not_forgotten_by_those_that_only_heard_of_it():
    """Guards against hosts without a part of the rate that all drop a limit at once.

    Each of them then sends the target a request, as many as there are hosts.
    """
    rig, _, (mine, other) = await make_two_hosts()
    for _ in range(40):
        mine.record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
        mine.send_due()
        rig.clock.time += 5.0
        other.seconds_until_available(head(rig, "a0"))
        assert other.has_limits


async def test_a_stream_that_has_begun_waits_for_a_group_that_may_take_it():
    """Guards against cutting off begun streams when all other groups are limited."""
    rig = await make_rig("a", "b")
    limits = availability_of(rig)
    limits.record_notice(head(rig, "b0"), ONE_PER_TEN_SECONDS, rig.clock.now())
    end = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), end, BROKEN]))
    rig.targets.script("b0", answer(2))
    serving = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
    await run_pending_tasks()
    rig.directory.mark_broken(rig.directory.groups["a", 1], BreakCause.RESTARTED)
    end.set_result(None)
    await run_pending_tasks()
    assert not serving.done()
    limits.record_notice(head(rig, "b0"), TargetNotice(), rig.clock.now())
    rig.service.placement.wake_all()
    assert await serving == Answered(status=200, target="b0")


async def test_an_answer_asked_for_before_the_limit_was_named_does_not_end_it():
    """Guards against a limit that an older answer, which arrives later, ends."""
    rig, _, (mine, _) = await make_two_hosts()
    mine.record_notice(head(rig, "a0"), ONE_PER_SECOND, rig.clock.now())
    sent_at = rig.clock.now() - 0.1
    rig.clock.time += 0.1
    mine.record_notice(head(rig, "a0"), TargetNotice(), sent_at)
    assert mine.seconds_until_available(head(rig, "a0")) > 0.0
