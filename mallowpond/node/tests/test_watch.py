"""When streams are moved from a group, and what is broadcast to the peers."""

import asyncio
from dataclasses import replace

import pytest

from mallowpond.node.messages import GroupBroken, SilenceQuestion, Suspicion
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.ports import TargetsRead
from mallowpond.node.tests.fakes import (
    FakeExchange,
    FakeResponse,
    answer,
    event,
    make_rig,
    member,
    misdirected,
)
from mallowpond.node.watch import MIN_PACE_EVENTS, GroupWatch
from mallowpond.state.first_event import MIN_SAMPLES
from mallowpond.state.fleet import BreakCause, Process

STALL_SECONDS = 4.0


class FakePeers:
    """Records the messages to the peers."""

    def __init__(self):
        self.broadcasts = []
        self.cleared = []
        self.queried_groups = []
        self.on_suspicion = []
        self.on_silence_question = []
        self.on_advance = []
        self.on_group_broken = []
        self.on_silences_question = []
        self.on_silences_answer = []

    def ask_silences(self):
        """Ask nobody, as there is no peer."""

    def ask_group_progress(self, key, silent):
        """Record a query."""
        self.queried_groups.append(key)

    def broadcast_group_broken(self, group, cause):
        """Record a broken group."""
        self.broadcasts.append((group.key, cause))

    def broadcast_suspicion(self, key, *, cleared=False, **more):
        """Record a suspicion, or the end of one."""
        (self.cleared if cleared else self.broadcasts).append(key)


class FakeLinks:
    """Links of a host, of which the tests set the state."""

    def __init__(self, *, is_heard=False, is_confirmed=True):
        self.lost = set()
        self.is_heard = is_heard
        self.is_confirmed = is_confirmed
        self.on_change = []

    def is_lost(self, service):
        """Return whether the links to a service are lost."""
        return service in self.lost

    def heard_within(self, service, seconds):
        """Return whether any target was heard."""
        return self.is_heard

    async def confirm(self, service):
        """Return whether this host reaches targets."""
        return self.is_confirmed


def make_watch(rig, *, links=None):
    """Return the peers and the watch of a rig."""
    peers = FakePeers()
    watch = GroupWatch(
        streams=rig.service,
        directory=rig.directory,
        peers=peers,
        clock=rig.clock,
        metrics=NodeMetrics(),
        stall_seconds=STALL_SECONDS,
        links=links,
    )
    return peers, watch


async def make_watched_rig(*groups, links=None):
    """Return a rig with a watch and one stream that got its first event from `a`."""
    rig = await make_rig(*groups)
    peers, watch = make_watch(rig, links=links)
    blocker = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), blocker]))
    rig.targets.script("b0", answer(2))
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    return rig, watch, peers, task, exchange


def advance_time(rig, watch, seconds):
    """Advance the clock in steps of the watch's interval, with a check after each."""
    for _ in range(round(seconds / 0.02)):
        rig.clock.time += 0.02
        watch.check()


def learn_delay(rig, stream, seconds):
    """Record first events of the stream's model that came `seconds` late."""
    delay = rig.service.placement.delay(stream.work.service, stream.work.model.name)
    for _ in range(MIN_SAMPLES):
        delay.record(observed=seconds, predicted=0.0)


async def cancel(task):
    """Cancel a stream that would wait forever."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_stream_leaves_a_group_that_falls_silent():
    rig, watch, peers, task, exchange = await make_watched_rig("a", "b")
    advance_time(rig, watch, 0.3)
    assert await task == Answered(status=200, target="b0")
    assert exchange.body == event(1).data + event(2).data
    assert peers.broadcasts == [("a", 1)]
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"b"}


async def test_a_group_that_advances_for_other_hosts_keeps_its_streams():
    """In a fleet of 70 hosts groups were declared dead from the first second.

    Each host had one or two streams on a group and knew the others' load late, so a
    pass took longer than it predicted. It judged by its own streams alone; streams were
    moved and cut off, and whole groups were formed anew.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (stream,) = rig.service.active
    stream.events = 0
    rig.clock.time += 0.02
    while not peers.queried_groups:
        advance_time(rig, watch, 0.02)
    (on_advance,) = peers.on_advance
    on_advance(("a", 1))
    advance_time(rig, watch, 0.04)
    assert peers.broadcasts == []
    assert not task.done()
    await cancel(task)


async def test_a_group_that_died_after_an_answer_is_asked_about_again():
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    while not peers.queried_groups:
        advance_time(rig, watch, 0.02)
    (on_advance,) = peers.on_advance
    on_advance(("a", 1))
    (stream,) = rig.service.active
    stream.events = 0
    learn_delay(rig, stream, 0.0)
    queries = len(peers.queried_groups)
    advance_time(rig, watch, 0.12)
    assert len(peers.queried_groups) > queries
    assert await task == Answered(status=200, target="b0")


async def test_a_question_of_long_ago_does_not_speak_for_a_new_stream():
    """A group was suspected although no host had been asked about its new streams.

    The hosts were asked about a group, and the stream there ended. When another stream
    on it fell silent a second later, the earlier query counted as unanswered.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    while not peers.queried_groups:
        advance_time(rig, watch, 0.02)
    await cancel(task)
    advance_time(rig, watch, 0.04)
    assert watch._queries == {}


async def test_a_host_leaves_a_group_that_only_others_can_reach():
    """A stream hung until its deadline while its group served other hosts.

    The connection to the group fell silent without a reset, and only the other hosts'
    answer that the group makes progress counted.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (on_advance,) = peers.on_advance
    for _ in range(7):
        advance_time(rig, watch, 0.02)
        on_advance(("a", 1))
    (stream,) = rig.service.active
    assert stream.move_reason is Reason.SILENT_GROUP
    assert await task == Answered(status=200, target="b0")
    assert peers.broadcasts == []


async def test_a_host_tells_of_an_event_that_it_saw_since():
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (on_question,) = peers.on_silence_question
    rig.clock.time += 0.1
    assert on_question(SilenceQuestion(node="n", group="a", epoch=1, silent=0.3))
    assert not on_question(SilenceQuestion(node="n", group="a", epoch=1, silent=0.1))
    assert not on_question(SilenceQuestion(node="n", group="z", epoch=1, silent=0.3))
    await cancel(task)


async def test_a_stream_leaves_a_group_whose_every_event_comes_late():
    """A stream ended past its deadline although other groups were idle.

    Its group became twelve times slower. It still sent events, and streams were moved
    from silent groups only.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (stream,) = rig.service.active
    stream.events = MIN_PACE_EVENTS
    rig.directory.loads.work(("a", 1)).slowness = 12.0
    rig.clock.time += 0.02
    watch.check()
    assert peers.broadcasts == []
    assert stream.move_reason is Reason.SLOW_TARGET
    assert await task == Answered(status=200, target="b0")


async def test_a_host_that_stood_still_suspects_nobody():
    """A host that was frozen for two seconds moved all its streams afterwards.

    Events waited unread meanwhile, and its own stall counted as the groups' silence.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    rig.clock.time += 2.0
    watch.check()
    assert peers.broadcasts == []
    await cancel(task)


async def test_a_suspicion_of_a_peer_counts_unless_the_group_advances_here():
    rig, watch, _, task, _ = await make_watched_rig("a", "b")
    (on_suspicion,) = watch._peers.on_suspicion
    on_suspicion(Suspicion(node="n", group="a", epoch=1))
    assert not task.done()
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    on_suspicion(Suspicion(node="n", group="b", epoch=1))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"a"}
    on_suspicion(Suspicion(node="n", group="b", epoch=1, cleared=True))
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    await cancel(task)


async def test_a_closing_group_gets_nothing_new_and_keeps_its_streams():
    rig, watch, _, task, _ = await make_watched_rig("a", "b")
    (on_suspicion,) = watch._peers.on_suspicion
    on_suspicion(Suspicion(node="n", group="a", epoch=1, closing=True))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"b"}
    (stream,) = rig.service.active
    assert stream.move_reason is None
    await cancel(task)


async def test_a_head_that_refuses_loses_its_silent_streams_and_peers_are_told():
    """Streams hung on every host at a head that had restarted.

    The head restarted behind a network cut and answered the next stream that it holds
    no open group, while earlier streams never got another event. The answer was applied
    neither to the other streams of the host nor on other hosts.
    """
    rig, watch, peers, task, exchange = await make_watched_rig("a", "b")
    rig.targets.answers["a0"].append(misdirected())
    rig.targets.answers["b0"].append(answer(1))
    rig.directory.loads.work(("b", 1)).running = 2
    rig.clock.time += 0.1
    (stream,) = rig.service.active
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="b0")
    assert stream.move_reason is Reason.SILENT_GROUP
    assert await task == Answered(status=200, target="b0")
    assert peers.broadcasts == [(("a", 1), BreakCause.REFUSED)]


async def test_streams_that_advance_end_where_they_are_when_a_head_refuses():
    """Streams were sent again although their group would have completed them.

    A closing head completes running streams and rejects new ones. Its rejection was
    taken for the end of all streams there.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    rig.targets.answers["a0"].append(misdirected())
    rig.targets.answers["b0"].append(answer(1))
    rig.directory.loads.work(("b", 1)).running = 2
    (stream,) = rig.service.active
    await rig.service.serve(rig.work(FakeExchange()))
    assert rig.directory.is_broken(("a", 1))
    assert stream.move_reason is None
    await cancel(task)


async def test_a_peers_word_of_a_broken_group_counts_for_the_same_head_only():
    """A group that was formed anew got no streams on some hosts.

    A head rejected a stream, restarted and served a group of the same name and epoch,
    and the report of the rejection came late. It named the group only, not the process
    that had rejected the stream.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (on_group_broken,) = peers.on_group_broken
    fields = {"node": "n", "epoch": 1, "cause": BreakCause.REFUSED}
    on_group_broken(GroupBroken(group="b", head=Process(id="b0", born=7), **fields))
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    on_group_broken(GroupBroken(group="b", head=Process(id="b0", born=0), **fields))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"a"}
    assert peers.broadcasts == []
    await cancel(task)


async def test_streams_leave_a_group_at_once_when_a_member_started_again():
    """Streams hung until their group was declared dead after a member had restarted.

    The member restarted under its id. The group had just sent an event, and no other
    group had a free slot: streams stayed while their group seemed to make progress or
    until another one had a slot, without waiting in any queue.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    rig.directory.loads.work(("b", 1)).running = 9
    (stream,) = rig.service.active
    restarted = member("a1", "a", 1, born=1)
    restarted = replace(restarted, membership=None)
    rig.directory.apply_change(
        TargetsRead(revision=2, targets=(restarted,)), previous=1
    )
    assert stream.move_reason is Reason.RESTARTED
    assert peers.broadcasts == []
    for _ in range(9):
        await asyncio.sleep(0)
    assert not task.done()
    rig.directory.loads.work(("b", 1)).running = 0
    rig.service.placement.wake_all()
    assert await task == Answered(status=200, target="b0")


async def test_peers_are_told_of_a_restart_that_the_list_does_not_show():
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    rig.directory.apply_report(replace(member("a1", "a", 1, born=1), membership=None))
    assert peers.broadcasts == [(("a", 1), BreakCause.RESTARTED)]
    assert await task == Answered(status=200, target="b0")


async def test_a_stream_that_cannot_be_resumed_stays_when_a_member_started_again():
    """A request that may run at most once ran twice.

    Its head restarted under its id and held an open group again, and the new process
    counted as one that the request had never been sent to.
    """
    rig, watch, peers, task, _ = await make_watched_rig("a", "b")
    (stream,) = rig.service.active
    stream.work.route = replace(stream.work.route, resumable=False)
    rig.directory.apply_report(replace(member("a0", "a", 0, born=1), membership=None))
    assert stream.move_reason is None
    await cancel(task)


@pytest.mark.parametrize("is_cleared", [True, False])
async def test_a_stream_that_waits_gets_its_place_when_a_suspicion_ends(is_cleared):
    """Streams were cut off while two healthy groups had free slots, one of them empty.

    A slow host suspected both of its groups in one check, and eight streams that were
    moved waited for a slot. The suspicions expired 0.26 s before the streams' patience,
    but only changes of the target list and ends of other streams woke the queue.
    """
    rig, watch, peers, task, exchange = await make_watched_rig("a", "b")
    for group in "ab":
        watch._exclude_suspected((group, 1))
    (stream,) = rig.service.active
    stream.move(Reason.SILENT_GROUP)
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(rig.targets.sends) == 1
    if is_cleared:
        watch.clear(("b", 1))
        advance_time(rig, watch, 0.04)
    else:
        advance_time(rig, watch, STALL_SECONDS + 0.04)
    for _ in range(20):
        await asyncio.sleep(0)
    assert rig.targets.sends[1:] == [("b0", "1")]
    assert await task == Answered(status=200, target="b0")


async def test_streams_that_wait_for_slow_first_events_stay_where_they_are():
    """All streams of a host moved back and forth between healthy groups.

    Engines took 0.4 s before each first event, and the wait for it was predicted by the
    declared timing alone.
    """
    rig, watch, peers, task, exchange = await make_watched_rig("a", "b")
    (stream,) = rig.service.active
    stream.events = 0
    learn_delay(rig, stream, 0.4)
    advance_time(rig, watch, 0.3)
    assert stream.move_reason is None
    advance_time(rig, watch, 0.3)
    assert stream.move_reason is Reason.SILENT_GROUP
    await cancel(task)


@pytest.mark.parametrize("is_confirmed", [True, False])
async def test_a_suspicion_is_reported_only_with_working_links(is_confirmed):
    """Guards against groups that all hosts avoid since one host lost its links."""
    links = FakeLinks(is_confirmed=is_confirmed)
    rig, watch, peers, task, _ = await make_watched_rig("a", "b", links=links)
    advance_time(rig, watch, 0.3)
    assert await task == Answered(status=200, target="b0")
    await asyncio.sleep(0.01)
    assert peers.broadcasts == ([("a", 1)] if is_confirmed else [])


async def test_streams_move_when_the_links_are_lost_and_all_groups_are_used():
    """Guards against streams that wait on silent connections until callers leave."""
    links = FakeLinks()
    rig, watch, peers, task, _ = await make_watched_rig("a", "b", links=links)
    (stream,) = rig.service.active
    stream.record_connected("")
    watch._exclude_unreached(("b", 1))
    links.lost = {"engines"}
    for notify in links.on_change:
        notify()
    assert await task == Answered(status=200, target="b0")
    assert peers.broadcasts == []
