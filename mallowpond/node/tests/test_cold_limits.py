"""Tests of what hosts send to targets that have just started."""

import asyncio
from collections import deque
from dataclasses import replace

import pytest

from mallowpond.node.cold_limits import SEND_DELAYS, ColdLimits
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher_client import RENEW_SECONDS
from mallowpond.node.messages import ColdNews, ListChange, read_message, write_message
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.ports import TargetsRead
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.settings import NodeBounds
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.node.tests.fakes import (
    FakeClock,
    FakeExchange,
    FakeSource,
    answer,
    listing,
    make_rig,
    open_group,
)
from mallowpond.node.tests.test_dispatcher import run_pending_tasks
from mallowpond.node.tests.test_dispatcher import (
    two_hosts as two_hosts_with_dispatcher,
)
from mallowpond.state.codec import to_compact
from mallowpond.state.site_configuration import Service

BOUNDS = NodeBounds(cold_ratio=1.5, cold_slack=2.0)
COLD_SERVICE = Service(
    name="s", max_connections=1, cold_seconds=6.0, cold_per_second=4.0
)


class FakeNetwork:
    """Peer network of one host that keeps its broadcasts, or delivers them."""

    def __init__(self):
        self.on_cold_news, self.others, self.sent, self.losses = [], [], [], 0
        self.live, self.interval = (), 0.1

    def broadcast(self, message):
        """Deliver a message to the other hosts, or lose it."""
        assert isinstance(message, ColdNews)
        self.sent.append(message)
        if self.losses:
            self.losses -= 1
            return
        for other in self.others:
            for notify in other.on_cold_news:
                notify(message)


class Host:
    """One host with its own view of the list."""

    def __init__(self, clock, *, name="n0", service=COLD_SERVICE, bounds=BOUNDS):
        self.clock, self.network = clock, FakeNetwork()
        self.source = FakeSource(listed=deque())
        self.directory = Directory(source=self.source, clock=clock)
        self.limits = ColdLimits(
            name=name,
            directory=self.directory,
            clock=clock,
            metrics=NodeMetrics(),
            bounds=bounds,
            find_service=lambda name: service,
            peers=self.network,
        )

    async def read(self, *targets):
        """Read the whole list from the store."""
        self.directory._full_read_at = float("-inf")
        self.source.listed.append(listing(*targets))
        await self.directory.refresh()

    def wait(self, name="a0"):
        """Return how long this host has to wait."""
        return self.limits.seconds_until_available(self.directory.targets[name])


def listed_head(cold_seconds, born=None):
    """Return the entry of a head."""
    head = open_group("a")[0]
    return replace(head, cold_seconds=cold_seconds, born=born)


def started(clock, **more):
    """Return a host that has run for some time."""
    host = Host(clock, **more)
    clock.time += 100.0
    return host


async def two_hosts():
    """Return two hosts that have read the list, and broadcast to each other."""
    clock = FakeClock()
    mine, other = Host(clock), Host(clock, name="n1")
    mine.network.others, other.network.others = [other.network], [mine.network]
    clock.time += 100.0
    for host in (mine, other):
        await host.read(listed_head(0.0))
    return clock, mine, other


async def test_a_host_that_only_another_one_told_keeps_the_limit():
    """Guards against hosts that send although only another one knows of the start."""
    clock, mine, other = await two_hosts()
    target = mine.directory.targets["a0"]
    mine.limits.record_said(target, 5.0, clock.now())
    assert other.wait() == 0.0
    mine.limits.send_due()
    assert other.wait() > 0.0
    clock.time += 6.0
    assert other.wait() == 0.0


async def test_lost_news_is_sent_again():
    clock, mine, other = await two_hosts()
    mine.network.losses = 2
    mine.limits.record_said(mine.directory.targets["a0"], 5.0, clock.now())
    for pause in SEND_DELAYS:
        clock.time += pause
        mine.limits.send_due()
    assert other.wait() > 0.0
    assert other.limits._targets.seconds_left(
        other.directory.targets["a0"].process, clock.now()
    ) == pytest.approx(5.3 - sum(SEND_DELAYS))


async def test_a_change_that_another_host_sends_is_presumed_cold():
    """Guards against a follower that takes a new process for warm.

    The datagram has no cold time, so that it stays as it was for other deployments.
    """
    clock, _, other = await two_hosts()
    change = ListChange(
        node="n0",
        previous=other.directory.revision,
        revision=other.directory.revision + 1,
        targets=(listed_head(5.0, born=7),),
        removed=(),
    )
    received = read_message(write_message(change))
    assert received.targets[0].cold_seconds is None
    read = TargetsRead(
        revision=received.revision,
        targets=received.targets,
        removed=(),
        unreadable=(),
        whole=False,
    )
    other.directory.apply_change(read, previous=received.previous)
    assert other.directory.targets["a0"].born == 7
    assert other.wait() > 0.0


def test_a_datagram_has_no_field_for_the_cold_time():
    """Guards against datagrams of deployments without cold limits that change."""
    cold, warm = listed_head(5.0), listed_head(None)
    assert to_compact(cold) == to_compact(warm)
    assert len(to_compact(cold)) == 12


async def test_an_entry_that_only_counts_down_is_no_change():
    """Guards against a change of the list at each refresh of a cold target's entry."""
    host = started(FakeClock())
    await host.read(listed_head(5.0))
    changes = []
    host.directory.on_change.append(lambda: changes.append("list"))
    host.directory.on_change_read.append(lambda *_: changes.append("read"))
    await host.read(listed_head(3.8))
    assert changes == []


async def test_an_engine_that_the_list_shows_cold_again_is_limited():
    """Guards against a cold time that only the first entry of a process can start."""
    host = started(FakeClock())
    await host.read(listed_head(0.0))
    assert host.wait() == 0.0
    await host.read(listed_head(6.0))
    assert host.wait() > 0.0
    host.limits.send_due()
    assert [len(news.states) for news in host.network.sent] == [1]


@pytest.mark.parametrize(
    ("service", "bounds"),
    [
        (replace(COLD_SERVICE, cold_per_second=0.0), BOUNDS),
        (COLD_SERVICE, NodeBounds()),
        (None, BOUNDS),
    ],
)
async def test_without_rate_or_bound_nothing_is_limited(service, bounds):
    """Guards against limits in deployments whose targets are never cold."""
    host = started(FakeClock(), service=service, bounds=bounds)
    await host.read(listed_head(5.0))
    await host.read(listed_head(8.0, born=9))
    target = host.directory.targets["a0"]
    host.limits.record_said(target, 5.0, host.clock.now())
    host.limits.record_sent(target)
    assert host.wait() == 0.0
    assert not host.limits.has_entries
    host.limits.send_due()
    assert host.network.sent == []


async def cold_rig(*groups):
    """Return a rig whose head `a0` is cold, and its cold limits."""
    rig = await make_rig(*groups)
    rig.clock.time += 100.0
    limits = limit_cold(rig)
    limits.record_said(rig.directory.targets["a0"], 20.0, rig.clock.now())
    return rig, limits


def limit_cold(rig):
    """Return the cold limits of a rig, which has run for some time."""
    limits = ColdLimits(
        name="n0",
        directory=rig.directory,
        clock=rig.clock,
        metrics=NodeMetrics(),
        bounds=BOUNDS,
        find_service=lambda name: COLD_SERVICE,
    )
    limits._targets._started_at -= 100.0
    rig.service._availability._cold_limits = limits
    return limits


async def test_a_stream_goes_to_a_warm_group():
    """Guards against streams that a cold group takes while a warm one has a slot."""
    rig, limits = await cold_rig("a", "b")
    rig.clock.time += 10.0
    rig.targets.script("b0", *(answer(1) for _ in range(8)))
    for _ in range(8):
        outcome = await rig.service.serve(rig.work(FakeExchange()))
        assert outcome == Answered(status=200, target="b0")


async def test_a_stream_whose_only_group_is_cold_is_refused_with_a_time():
    """Guards against streams that wait for a cold group until their deadline."""
    rig, limits = await cold_rig("a")
    limits._hosts = lambda: [f"n{number}" for number in range(1, 90)]
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert (outcome.status, outcome.reason) == (503, Reason.COLD)
    assert outcome.retry_after > 0.0
    assert rig.targets.sends == []


async def test_a_cold_head_gets_no_more_than_this_hosts_part():
    rig, _ = await cold_rig("a")
    rig.targets.script("a0", *(answer(1) for _ in range(80)))
    sent = []
    for _ in range(100):
        before = len(rig.targets.sends)
        serving = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
        for _ in range(20):
            await asyncio.sleep(0)
        sent += [rig.clock.time] * (len(rig.targets.sends) - before)
        rig.clock.time += 0.1
        rig.service.placement.wake_all()
        serving.cancel()
    assert len(sent) >= 5
    assert max(sum(at <= s < at + 1.0 for s in sent) for at in sent) <= 2


async def test_all_limits_of_a_target_hold_together():
    rig, limits = await cold_rig("a")
    rates = RateLimits(
        name="n0", directory=rig.directory, clock=rig.clock, metrics=NodeMetrics()
    )
    availability = TargetAvailability(
        rate_limits=rates,
        directory=rig.directory,
        clock=rig.clock,
        cold_limits=limits,
    )
    head = rig.directory.targets["a0"]
    assert not availability.can_send(head)
    assert availability.is_cold(head)
    rig.clock.time += 30.0
    assert availability.can_send(head)
    assert not availability.is_cold(head)


async def test_a_stream_that_waits_at_the_dispatcher_goes_to_a_group_once_it_may():
    """Guards against groups that a waiting stream avoids for as long as it waits.

    The groups whose heads had to wait for their next request were named once, with the
    first question, so a stream with only cold groups always waited in vain.
    """
    site = await two_hosts_with_dispatcher("a")
    rig = site.rig_a
    rig.clock.time += 100.0
    limits = limit_cold(rig)
    limits.record_said(rig.directory.targets["a0"], 20.0, rig.clock.now())
    rig.targets.script("a0", answer(1))
    serving = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
    await run_pending_tasks()
    assert rig.targets.sends == []
    rig.clock.time += 0.9
    await asyncio.sleep(RENEW_SECONDS + 0.1)
    site.dispatcher.wake()
    await run_pending_tasks()
    assert serving.done()
    assert await serving == Answered(status=200, target="a0")
