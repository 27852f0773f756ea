"""When streams leave a group, and what the peers are told."""

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
    """Remember what the peers were told."""

    def __init__(self):
        self.told = []
        self.asked = []
        self.on_suspicion = []
        self.on_silence_question = []
        self.on_advance = []
        self.on_group_broken = []

    def ask_group_progress(self, key, silent):
        """Remember a question."""
        self.asked.append(key)

    def broadcast_group_broken(self, group, cause):
        """Remember a message."""
        self.told.append((group.key, cause))

    def broadcast_suspicion(self, key, *, cleared=False, closing=False):
        """Remember a message."""
        self.told.append(key)


async def watched(*groups):
    """Build a rig with a watch, and one stream that got its first event from `a`."""
    rig = await make_rig(*groups)
    peers = FakePeers()
    watch = GroupWatch(
        streams=rig.service,
        directory=rig.directory,
        peers=peers,
        clock=rig.clock,
        metrics=NodeMetrics(),
        stall_seconds=STALL_SECONDS,
    )
    held = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), held]))
    rig.targets.script("b0", answer(2))
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    while not exchange.body:
        await asyncio.sleep(0)
    return rig, watch, peers, task, exchange


def let_pass(rig, watch, seconds):
    """Let time pass in steps as short as the watch's own."""
    for _ in range(round(seconds / 0.02)):
        rig.clock.time += 0.02
        watch.check()


def learn_delay(rig, stream, seconds):
    """Let first events of the stream's model come so much later than predicted."""
    delay = rig.service.placement.delay(stream.work.service, stream.work.model.name)
    for _ in range(MIN_SAMPLES):
        delay.record(observed=seconds, predicted=0.0)


async def end(task):
    """End a stream that is left hanging."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_stream_leaves_a_group_that_falls_silent():
    rig, watch, peers, task, exchange = await watched("a", "b")
    let_pass(rig, watch, 0.3)
    assert await task == Answered(status=200, target="b0")
    assert exchange.body == event(1).data + event(2).data
    assert peers.broadcasts == [("a", 1)]
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"b"}


async def test_a_group_that_advances_for_other_hosts_keeps_its_streams():
    """Symptom: in a fleet of 70 hosts groups are taken for dead from the first second,
    their streams are moved and cut, and whole groups are formed anew.

    Sequence: each host has one stream or two on a group; a pass takes longer than this
    host expects, since it hears of the others' work late.
    Cause: a host judged by its own streams alone.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    (stream,) = rig.service.active
    stream.events = 0
    rig.clock.time += 0.02
    while not peers.queried_groups:
        let_pass(rig, watch, 0.02)
    (note,) = peers.on_advance
    note(("a", 1))
    let_pass(rig, watch, 0.04)
    assert peers.broadcasts == []
    assert not task.done()
    await end(task)


async def test_a_group_that_died_after_an_answer_is_asked_about_again():
    rig, watch, peers, task, _ = await watched("a", "b")
    while not peers.queried_groups:
        let_pass(rig, watch, 0.02)
    (note,) = peers.on_advance
    note(("a", 1))
    (stream,) = rig.service.active
    stream.events = 0
    learn_delay(rig, stream, 0.0)
    asked = len(peers.queried_groups)
    let_pass(rig, watch, 0.12)
    assert len(peers.queried_groups) > asked
    assert await task == Answered(status=200, target="b0")


async def test_a_question_of_long_ago_does_not_speak_for_a_new_stream():
    """Symptom: a group is suspected although no host was asked about it.

    Sequence: the hosts are asked about a group; the stream there ends; a second later
    another stream on it falls silent.
    Cause: the old question counted as unanswered.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    while not peers.queried_groups:
        let_pass(rig, watch, 0.02)
    await end(task)
    let_pass(rig, watch, 0.04)
    assert watch._queries == {}


async def test_a_host_leaves_a_group_that_only_others_can_reach():
    """Symptom: a stream hangs until its deadline while its group serves others.

    Sequence: the connection to the group falls silent without a reset.
    Cause: the other hosts' word that the group lives was all that counted.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    (note,) = peers.on_advance
    for _ in range(7):
        let_pass(rig, watch, 0.02)
        note(("a", 1))
    (stream,) = rig.service.active
    assert stream.move_reason is Reason.SILENT_GROUP
    assert await task == Answered(status=200, target="b0")
    assert peers.broadcasts == []


async def test_a_host_tells_of_an_event_that_it_saw_since():
    rig, watch, peers, task, _ = await watched("a", "b")
    (asked,) = peers.on_silence_question
    rig.clock.time += 0.1
    assert asked(SilenceQuestion(node="n", group="a", epoch=1, silent=0.3))
    assert not asked(SilenceQuestion(node="n", group="a", epoch=1, silent=0.1))
    assert not asked(SilenceQuestion(node="n", group="z", epoch=1, silent=0.3))
    await end(task)


async def test_a_stream_leaves_a_group_whose_every_event_comes_late():
    """Symptom: a stream ends past its caller's time although other groups are idle.

    Sequence: a group turns twelve times slower; it still sends, so it lives.
    Cause: only groups that fall silent were left.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    (stream,) = rig.service.active
    stream.events = MIN_PACE_EVENTS
    rig.directory.loads.work(("a", 1)).slowness = 12.0
    rig.clock.time += 0.02
    watch.check()
    assert peers.broadcasts == []
    assert stream.move_reason is Reason.SLOW_TARGET
    assert await task == Answered(status=200, target="b0")


async def test_a_host_that_stood_still_suspects_nobody():
    """Symptom: a host that was frozen moves all its streams when it wakes.

    Sequence: the host stands still for two seconds; events wait unread meanwhile.
    Cause: its own pause was taken for the groups' silence.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    rig.clock.time += 2.0
    watch.check()
    assert peers.broadcasts == []
    await end(task)


async def test_a_suspicion_of_a_peer_counts_unless_the_group_advances_here():
    rig, watch, _, task, _ = await watched("a", "b")
    (hear,) = watch._peers.on_suspicion
    hear(Suspicion(node="n", group="a", epoch=1))
    assert not task.done()
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    hear(Suspicion(node="n", group="b", epoch=1))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"a"}
    hear(Suspicion(node="n", group="b", epoch=1, cleared=True))
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    await end(task)


async def test_a_closing_group_gets_nothing_new_and_keeps_its_streams():
    rig, watch, _, task, _ = await watched("a", "b")
    (hear,) = watch._peers.on_suspicion
    hear(Suspicion(node="n", group="a", epoch=1, closing=True))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"b"}
    (stream,) = rig.service.active
    assert stream.move_reason is None
    await end(task)


async def test_a_head_that_refuses_loses_its_silent_streams_and_peers_are_told():
    """Symptom: streams hang at a head that started again, on every host.

    Sequence: the head of a group starts again behind a cut; it answers the next stream
    that it holds no open group, and the streams of before never advance.
    Cause: the answer taught nothing: neither the other streams of the host nor the
    other hosts went by it.
    """
    rig, watch, peers, task, exchange = await watched("a", "b")
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
    """Symptom: streams are sent once more although their group would end them.

    Sequence: a head that closes lets what runs there end, and turns away a new stream.
    Cause: the refusal was taken for the end of all that runs there.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    rig.targets.answers["a0"].append(misdirected())
    rig.targets.answers["b0"].append(answer(1))
    rig.directory.loads.work(("b", 1)).running = 2
    (stream,) = rig.service.active
    await rig.service.serve(rig.work(FakeExchange()))
    assert rig.directory.is_broken(("a", 1))
    assert stream.move_reason is None
    await end(task)


async def test_a_peers_word_of_a_broken_group_counts_for_the_same_head_only():
    """Symptom: a group that was formed anew gets no streams on some hosts.

    Sequence: a head refuses a stream, starts again and serves a group of the same name
    and epoch; the word of the refusal comes late.
    Cause: the message named the group, not the process that had refused.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    (hear,) = peers.on_group_broken
    told = {"node": "n", "epoch": 1, "cause": BreakCause.REFUSED}
    hear(GroupBroken(group="b", head=Process(id="b0", born=7), **told))
    assert len(rig.directory.serving_groups("engines", "m")) == 2
    hear(GroupBroken(group="b", head=Process(id="b0", born=0), **told))
    names = {g.name for g in rig.directory.serving_groups("engines", "m")}
    assert names == {"a"}
    assert peers.broadcasts == []
    await end(task)


async def test_streams_leave_a_group_at_once_when_a_member_started_again():
    """Symptom: streams hang for the time after which a group is declared dead.

    Sequence: a member starts again under its id. Its group has just shown an event,
    and no other has a place at the moment.
    Cause: streams stayed while their group seemed to advance, or until another group
    had a place; they waited for one in no line.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    rig.directory.loads.work(("b", 1)).running = 9
    (stream,) = rig.service.active
    anew = member("a1", "a", 1, born=1)
    anew = replace(anew, membership=None)
    rig.directory.apply_change(TargetsRead(revision=2, targets=(anew,)), previous=1)
    assert stream.move_reason is Reason.RESTARTED
    assert peers.broadcasts == []
    for _ in range(9):
        await asyncio.sleep(0)
    assert not task.done()
    rig.directory.loads.work(("b", 1)).running = 0
    rig.service.placement.wake_all()
    assert await task == Answered(status=200, target="b0")


async def test_peers_are_told_of_a_restart_that_the_list_does_not_show():
    rig, watch, peers, task, _ = await watched("a", "b")
    rig.directory.apply_report(replace(member("a1", "a", 1, born=1), membership=None))
    assert peers.broadcasts == [(("a", 1), BreakCause.RESTARTED)]
    assert await task == Answered(status=200, target="b0")


async def test_a_stream_that_cannot_be_resumed_stays_when_a_member_started_again():
    """Symptom: a request that may run once at most runs twice.

    Sequence: its head starts again under its id, and holds an open group again.
    Cause: the later process was taken for one that the request was never sent to.
    """
    rig, watch, peers, task, _ = await watched("a", "b")
    (stream,) = rig.service.active
    stream.work.route = replace(stream.work.route, resumable=False)
    rig.directory.apply_report(replace(member("a0", "a", 0, born=1), membership=None))
    assert stream.move_reason is None
    await end(task)


@pytest.mark.parametrize("is_cleared", [True, False])
async def test_a_stream_that_waits_gets_its_place_when_a_suspicion_ends(is_cleared):
    """Streams were cut off while two sound groups stood by, one of them empty.

    A host that was slow itself suspected both of its groups in one look, and eight
    streams that were moved away waited for a place. The suspicions ended 0.26 s before
    the streams' patience, but only news of the list and the ends of other streams made
    anyone look whether there was a place.
    """
    rig, watch, peers, task, exchange = await watched("a", "b")
    for group in "ab":
        watch._exclude_suspected((group, 1))
    (stream,) = rig.service.active
    stream.move(Reason.SILENT_GROUP)
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(rig.targets.sends) == 1
    if is_cleared:
        watch.clear(("b", 1))
        let_pass(rig, watch, 0.04)
    else:
        let_pass(rig, watch, STALL_SECONDS + 0.04)
    for _ in range(20):
        await asyncio.sleep(0)
    assert rig.targets.sends[1:] == [("b0", "1")]
    assert await task == Answered(status=200, target="b0")


async def test_streams_that_wait_for_slow_first_events_stay_where_they_are():
    """Symptom: all streams of a host move back and forth between sound groups.

    Sequence: engines take 0.4 s before each first event; a stream waits for its own.
    Cause: a first event was expected by the declared timing alone.
    """
    rig, watch, peers, task, exchange = await watched("a", "b")
    (stream,) = rig.service.active
    stream.events = 0
    learn_delay(rig, stream, 0.4)
    let_pass(rig, watch, 0.3)
    assert stream.move_reason is None
    let_pass(rig, watch, 0.3)
    assert stream.move_reason is Reason.SILENT_GROUP
    await end(task)
