"""How a host learns that a data centre is evacuated, and what it sends there."""

import asyncio
from collections import deque
from dataclasses import fields, replace

import cbor2
import pytest

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.messages import (
    ConfigurationPart,
    ConfigurationQuestion,
    Digest,
    VersionAnswer,
    VersionQuestion,
    read_message,
    write_message,
)
from mallowpond.node.model_summary import demand, utilization
from mallowpond.node.outcomes import Answered, Reason, Refusal
from mallowpond.node.ports import ConfigurationRead, HistoryLost
from mallowpond.node.tests.fakes import (
    BROKEN,
    PROFILE,
    FakeClock,
    FakeExchange,
    FakeResponse,
    FakeSource,
    answer,
    listing,
    make_rig,
    member,
    open_group,
)
from mallowpond.node.tests.test_calls import (
    IDEMPOTENT,
    ONCE,
    make_call_service,
    make_work,
    plain,
    reply,
)
from mallowpond.node.tests.test_configuration import configuration_of
from mallowpond.node.tests.test_dispatcher import run_pending_tasks, two_hosts
from mallowpond.node.tests.test_planner import Rig as PlannerRig
from mallowpond.node.tests.test_planner import free
from mallowpond.node.tests.test_readers import Host, follower, heartbeat_of
from mallowpond.node.tests.test_service import node_over
from mallowpond.state.configuration_reading import QUESTION_INTERVAL_SECONDS
from mallowpond.state.evacuations import (
    HELD_SECONDS,
    EvacuationChanges,
    Evacuations,
)
from mallowpond.state.fleet import GroupPhase
from mallowpond.state.formation_view import Join, Leave, Stage
from mallowpond.state.revision import make_revision

# The time within which every host in contact must stop sending, in seconds.
BOUND_SECONDS = 5.0
EVACUATED = Evacuations(revision=20, data_centres=("a",))
WITHDRAWN = Evacuations(revision=21)


def read(revision, *begun, ended=(), is_whole=False):
    """Return an answer of the store that concerns evacuations only."""
    changes = EvacuationChanges(begun=begun, ended=ended, is_whole=is_whole)
    return ConfigurationRead(
        revision=revision, configuration=None, changed=False, evacuations=changes
    )


def elsewhere(name):
    """Return the members of an open group in another data centre."""
    return [replace(target, data_centre="b") for target in open_group(name)]


def lapsed(target):
    """Return a target whose list entry was not renewed in time."""
    return replace(target, lapsed=True)


# -- learning of it ------------------------------------------------------------


@pytest.mark.parametrize(
    "message",
    [
        heartbeat_of("b"),
        Digest(node="b", version=1, last_change=2),
        VersionAnswer(node="b", number=1, version=1, age=0.5),
        ConfigurationPart(node="b", version=1, data=b"x"),
    ],
)
def test_datagrams_are_as_before_until_an_evacuation_was_seen(message):
    """Guards against hosts of an earlier version that drop every datagram.

    They refuse a message with a field more. In a fleet that never saw an evacuation,
    hosts of both versions run beside each other.
    """
    told = replace(message, evacuations=EVACUATED)
    assert len(write_message(told)) > len(write_message(message)) + 4
    assert read_message(write_message(message)) == message
    sent = cbor2.loads(write_message(message))[1]
    names = [field.name for field in fields(message)]
    assert len(sent) == names.index("evacuations")
    assert read_message(write_message(told)) == told


async def test_a_reader_goes_by_a_row_after_one_call_and_tells_the_others():
    clock = FakeClock()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    node = node_over(clock, source=source)
    await node.directory.refresh()
    sent = []
    node.peers._send = lambda message, addresses: sent.append(message)
    source.reads.append(read(20, "a"))
    await node.configuration.step()
    assert node.directory.serving_groups("engines", "m") == []
    assert EVACUATED in [message.evacuations for message in sent]
    assert node.metrics.evacuated._value.get() == 1.0
    source.reads.append(read(21, ended=("a",)))
    await node.configuration.step()
    assert [g.name for g in node.directory.serving_groups("engines", "m")] == ["g"]
    assert WITHDRAWN in [message.evacuations for message in sent]


async def test_a_read_whose_history_was_dropped_is_followed_by_a_whole_one():
    """Guards against an evacuation that the dropped history hid for good."""
    host = Host()
    host.source.reads.extend([read(5), HistoryLost(), read(20, "a", is_whole=True)])
    asked = []
    answer_read = host.source.configuration

    async def record(since, wait_seconds, **_):
        asked.append(since)
        return await answer_read(since, wait_seconds)

    host.source.configuration = record
    for _ in range(3):
        await host.configuration.step()
    assert asked == [0, 5, 0]
    assert host.configuration.evacuations.data_centres == {"a"}


@pytest.mark.parametrize(
    "tell",
    [
        lambda told: heartbeat_of("n0", evacuations=told),
        lambda told: Digest(node="n0", version=1, last_change=10, evacuations=told),
        lambda told: VersionAnswer(
            node="n0", number=0, version=1, age=0.1, evacuations=told
        ),
    ],
)
async def test_a_follower_takes_every_word_of_it_and_only_newer_ones(tell):
    host = await follower(*open_group("g"))
    host.receive(tell(EVACUATED))
    assert host.configuration.evacuations.data_centres == {"a"}
    host.receive(tell(Evacuations(revision=19)), tell(Evacuations()))
    assert host.configuration.evacuations.data_centres == {"a"}
    host.receive(tell(WITHDRAWN), tell(EVACUATED))
    assert host.configuration.evacuations.data_centres == set()


async def test_a_reader_answers_questions_with_it():
    host = Host()
    host.source.configurations.append(configuration_of(1))
    await host.configuration.step()
    host.source.reads.append(read(20, "a"))
    await host.configuration.step()
    host.receive(VersionQuestion(node="b", number=3))
    (sent,) = host.outbox_of(VersionAnswer)
    assert sent.evacuations == EVACUATED


async def test_a_follower_that_no_datagram_reaches_learns_of_it_in_time():
    """Guards against a host that sends on while every datagram to it is lost."""
    host = await follower(*open_group("g"))
    host.configuration.is_reader = lambda: False
    began = host.clock.time
    host.source.reads.append(read(20, "a"))
    running = asyncio.create_task(host.configuration.run())
    while not host.configuration.evacuations.data_centres:
        await asyncio.sleep(0)
        assert host.clock.time - began < BOUND_SECONDS
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert host.clock.time - began < 0.6 * BOUND_SECONDS
    assert host.clock.time - began > QUESTION_INTERVAL_SECONDS


async def test_it_stands_while_the_store_is_away_and_a_starting_host_gets_it():
    """Guards against a data centre that gets requests again as hosts start.

    The store is lost just after it accepted the row, and a host starts during that. It
    has only its peers' word, and must have it before it can serve.
    """
    knowing, starting = Host("a"), Host("b")
    knowing.source.configurations.append(configuration_of(1))
    await knowing.configuration.step()
    knowing.configuration._document = b"1"
    knowing.source.reads.append(read(20, "a"))
    await knowing.configuration.step()
    knowing.source.is_cut_off = starting.source.is_cut_off = True
    await knowing.configuration.step()
    assert knowing.configuration.evacuations.data_centres == {"a"}

    known_at_start = []
    starting.configuration.on_new_version.append(
        lambda: known_at_start.append(starting.configuration.evacuations.data_centres)
    )
    await starting.configuration.step()
    assert starting.outbox_of(ConfigurationQuestion)
    knowing.receive(ConfigurationQuestion(node="b"))
    starting.receive(*knowing.outbox_of(ConfigurationPart))
    assert known_at_start == [{"a"}]
    assert starting.configuration.evacuations.to_share == EVACUATED


async def test_a_host_that_missed_the_withdrawal_hears_of_it_from_one_that_never_knew():
    """Guards against an evacuation that stands after all who ended it restarted.

    The reader has started since and never saw one, so it told nobody its revision.
    """
    reader = Host("n0")
    reader.source.reads.append(read(30, is_whole=True))
    await reader.configuration.step()
    assert reader.configuration.evacuations.to_share == Evacuations()
    reader.receive(heartbeat_of("b", evacuations=EVACUATED))
    assert reader.configuration.evacuations.to_share == Evacuations(revision=30)


# -- what is sent --------------------------------------------------------------


async def test_streams_go_elsewhere_at_once_and_back_when_it_is_withdrawn():
    rig = await make_rig("g")
    rig.source.listed.append(
        listing(*open_group("g"), *elsewhere("h"), revision=2, whole=False)
    )
    await rig.directory.refresh()
    rig.directory.evacuate(frozenset("a"))
    rig.targets.script("h0", answer(1))
    rig.targets.script("g0", answer(1))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="h0")
    rig.directory.evacuate(frozenset("b"))
    outcome = await rig.service.serve(rig.work(FakeExchange()))
    assert outcome == Answered(status=200, target="g0")


async def test_a_group_with_one_member_there_gets_nothing():
    rig = await make_rig("g")
    mixed = [open_group("g")[0], replace(open_group("g")[1], data_centre="b")]
    rig.source.listed.append(listing(*mixed, revision=2, whole=False))
    await rig.directory.refresh()
    rig.directory.evacuate(frozenset("b"))
    assert rig.directory.serving_groups("engines", "m") == []
    assert rig.directory.count_open_groups("engines") == 0


async def test_a_stream_is_refused_as_not_run_where_nothing_else_is_left():
    rig = await make_rig("g")
    rig.directory.evacuate(frozenset("a"))
    refusal = await rig.service.serve(rig.work(FakeExchange()))
    assert (refusal.status, refusal.reason) == (503, Reason.EVACUATED)
    assert refusal.retry_after > 0.0
    assert rig.clock.time == 1000.0
    assert rig.targets.sends == []


async def test_a_stream_in_progress_goes_on_to_its_end():
    rig = await make_rig("g")
    more = asyncio.get_running_loop().create_future()
    response = FakeResponse(script=[*answer(1).script[:1], more, *answer(2).script])
    rig.targets.script("g0", response)
    exchange = FakeExchange()
    task = asyncio.create_task(rig.service.serve(rig.work(exchange)))
    await run_pending_tasks()
    rig.directory.evacuate(frozenset("a"))
    await run_pending_tasks()
    more.set_result(None)
    assert await task == Answered(status=200, target="g0")
    assert exchange.finished


async def test_a_stream_that_breaks_off_there_does_not_return_there():
    rig = await make_rig("g")
    rig.source.listed.append(
        listing(*open_group("g"), *elsewhere("h"), revision=2, whole=False)
    )
    await rig.directory.refresh()
    more = asyncio.get_running_loop().create_future()
    response = FakeResponse(script=[*answer(1).script[:1], more, BROKEN])
    rig.directory.evacuate(frozenset("b"))
    rig.targets.script("g0", response)
    rig.targets.script("h0", answer(2))
    task = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
    await run_pending_tasks()
    rig.directory.evacuate(frozenset("a"))
    more.set_result(None)
    assert await task == Answered(status=200, target="h0")
    assert rig.targets.sends == [("g0", None), ("h0", "1")]


@pytest.mark.parametrize("has_dispatcher", [False, True])
@pytest.mark.parametrize("has_elsewhere", [False, True])
async def test_a_stream_that_waits_is_placed_elsewhere_or_refused_at_once(
    has_elsewhere, has_dispatcher
):
    """Guards against a wait until its end for a slot that must not be used.

    Every slot is in use when the evacuation begins, so the stream waits in the queue of
    the dispatcher, or without one in that of its host.
    """
    site = await two_hosts("g")
    rigs = (site.rig_a, site.rig_b)
    for rig in rigs:
        rig.directory.loads.work(("g", 1)).running = PROFILE.slots + 1
    rig = site.rig_a
    rig.targets.script("h0", answer(1))
    if not has_dispatcher:
        rig.service.placement.dispatcher_client = None
    task = asyncio.create_task(rig.service.serve(rig.work(FakeExchange())))
    await run_pending_tasks()
    assert not task.done()
    for each in rigs:
        if has_elsewhere:
            each.source.listed.append(listing(*elsewhere("h"), revision=2, whole=False))
            await each.directory.refresh()
        each.directory.evacuate(frozenset("a"))
    site.dispatcher.wake()
    await run_pending_tasks()
    assert task.done()
    if has_elsewhere:
        assert task.result() == Answered(status=200, target="h0")
    else:
        assert task.result().reason is Reason.EVACUATED
        assert task.result().status == 503


async def test_a_slot_that_was_granted_there_just_before_is_not_used():
    """Guards against the send on a grant that left the dispatcher before its read."""
    site = await two_hosts("g")
    released = []
    site.dispatcher_client.on_unused_grant.append(lambda: released.append(1))
    for rig in (site.rig_a, site.rig_b):
        rig.source.listed.append(listing(*elsewhere("h"), revision=2, whole=False))
        await rig.directory.refresh()
    site.rig_b.directory.loads.work(("h", 1)).running = 1
    site.rig_a.targets.script("h0", answer(1))
    deliver = site.network_b.send_to

    def evacuate_first(message, nodes):
        site.rig_a.directory.evacuate(frozenset("a"))
        deliver(message, nodes)

    site.network_b.send_to = evacuate_first
    outcome = await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    assert outcome == Answered(status=200, target="h0")
    assert released


async def serve_call(route, evacuated, *targets):
    """Serve one request of a plain service over these targets."""
    rig = await make_rig()
    rig.source.listed.append(listing(*targets, revision=2))
    await rig.directory.refresh()
    for target in targets:
        rig.targets.script(target.id, reply(200))
    service = make_call_service(
        rig.directory, rig.targets, rig.clock, rig.service._budgets
    )
    rig.directory.evacuate(frozenset(evacuated))
    return await service.serve(make_work(rig.clock, route, FakeExchange()))


@pytest.mark.parametrize("route", [ONCE, IDEMPOTENT])
async def test_plain_calls_go_elsewhere_or_are_refused_as_not_run(route):
    here, there = plain("here"), replace(plain("there"), data_centre="b")
    outcome = await serve_call(route, "a", here, there)
    assert outcome == Answered(status=200, target="there")
    refusal = await serve_call(route, "ab", here, there)
    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.reason) == (503, Reason.EVACUATED)
    assert refusal.retry_after > 0.0


async def test_a_lapsed_head_there_gets_no_health_check():
    """Guards against health checks, which are requests, to an evacuated data centre.

    A report is none, and shows whether the target is dead.
    """
    rig = PlannerRig(*open_group("g"))
    await rig.steps()
    checked, reported = [], []

    async def is_healthy(target, path):
        checked.append(target.id)
        return True

    answer_report = rig.targets.report

    async def report(target):
        reported.append(target.id)
        if target.id == "g0":
            return Unavailable(reason="dead")
        return await answer_report(target)

    rig.targets.is_healthy, rig.targets.report = is_healthy, report
    rig.directory.evacuate(frozenset("a"))
    await rig.update_list(removed=("g0",))
    await rig.steps(5)
    assert checked == []
    assert "g0" in reported
    assert {step.target.id for step in rig.orders_of(Leave)} == {"g1"}


# -- planning ------------------------------------------------------------------


async def test_a_group_there_is_kept_and_another_one_formed_elsewhere():
    """Guards against groups taken apart that should serve again at once.

    Nothing is formed or staged there either, although targets are free.
    """
    there = [replace(free(name), data_centre="b", domain="d1") for name in "xy"]
    here = [free("a"), replace(free("b"), staged=())]
    rig = PlannerRig(*open_group("g"), *here, *there)
    rig.directory.evacuate(frozenset("a"))
    await rig.steps(3)
    assert {step.target.id for step in rig.orders_of(Join)} == {"x", "y"}
    assert rig.orders_of(Stage) == rig.orders_of(Leave) == []
    assert len(rig.targets.orders) == 2


async def test_an_order_planned_just_before_is_not_sent():
    rig = PlannerRig(free("a"), free("b"))
    report = rig.targets.report

    async def evacuate_first(target):
        rig.directory.evacuate(frozenset("a"))
        return await report(target)

    rig.targets.report = evacuate_first
    await rig.steps(3)
    assert rig.targets.orders == []


async def test_a_group_there_counts_neither_as_demand_nor_as_slots():
    rig = await make_rig("g")
    rig.source.listed.append(
        listing(*open_group("g"), *elsewhere("h"), revision=2, whole=False)
    )
    await rig.directory.refresh()
    rig.directory.loads.work(("g", 1)).running = 2 * PROFILE.slots
    rig.directory.loads.work(("h", 1)).running = 1
    rig.directory.evacuate(frozenset("a"))
    assert utilization(rig.directory, PROFILE) == {"m": 1 / PROFILE.slots}
    assert demand(rig.directory, PROFILE) == {}
    rig.directory.evacuate(frozenset("ab"))
    assert utilization(rig.directory, PROFILE) == {"m": 1.0}


async def test_a_forming_group_that_is_partly_there_frees_its_other_members():
    """Guards against engines elsewhere that wait for members which may not join."""
    parts = [
        replace(member("g0", "g", 0, GroupPhase.READY), data_centre="b"),
        member("g1", "g", 1, GroupPhase.JOINING),
    ]
    rig = PlannerRig(*parts)
    rig.directory.evacuate(frozenset("a"))
    await rig.steps(2)
    assert {step.target.id for step in rig.orders_of(Leave)} == {"g0", "g1"}


BEFORE = make_revision(1, 90)
COPY = make_revision(2, 40)


async def host_after(*reads):
    """Return a host that has read these answers of the store."""
    host = Host()
    host.source.reads.extend(reads)
    for _ in reads:
        await host.configuration.step()
    return host


async def test_an_evacuation_that_the_copy_of_a_restored_store_lacks_holds():
    """Guards against traffic to a data centre evacuated in the lost seconds."""
    host = await host_after(
        read(BEFORE, "a", is_whole=True), HistoryLost(), read(COPY, is_whole=True)
    )
    assert host.configuration.evacuations.data_centres == {"a"}
    host.source.reads.append(read(COPY + 5, "a"))
    await host.configuration.step()
    host.clock.time += HELD_SECONDS
    host.source.reads.append(read(COPY + 9))
    await host.configuration.step()
    assert host.configuration.evacuations.data_centres == {"a"}


async def test_an_evacuation_that_is_not_written_again_ends():
    """Guards against a data centre that stays empty for good."""
    host = await host_after(
        read(BEFORE, "a", is_whole=True), HistoryLost(), read(COPY, is_whole=True)
    )
    host.clock.time += HELD_SECONDS
    host.source.reads.append(read(COPY + 9))
    await host.configuration.step()
    assert host.configuration.evacuations.data_centres == frozenset()


async def test_an_end_that_the_restored_store_names_counts_at_once():
    host = await host_after(
        read(BEFORE, "a", "b", is_whole=True),
        HistoryLost(),
        read(COPY, "a", is_whole=True),
        read(COPY + 5, ended=("a", "b")),
    )
    assert host.configuration.evacuations.data_centres == frozenset()


async def test_a_peer_that_has_read_a_copy_ends_no_evacuation():
    """Guards against a host that starts, knows the copy only and tells all others."""
    host = await host_after(read(BEFORE, "a", is_whole=True))
    host.receive(heartbeat_of("n0", evacuations=Evacuations(revision=COPY)))
    host.receive(heartbeat_of("n0", evacuations=Evacuations(revision=COPY + 9)))
    assert host.configuration.evacuations.data_centres == {"a"}


async def test_an_evacuation_holds_while_the_store_is_restored_twice():
    again = make_revision(3, 10)
    host = await host_after(read(BEFORE, "a", is_whole=True), read(COPY, is_whole=True))
    host.clock.time += HELD_SECONDS - 0.1
    host.source.reads.append(read(again, is_whole=True))
    await host.configuration.step()
    host.clock.time += HELD_SECONDS - 0.1
    host.source.reads.append(read(again + 1))
    await host.configuration.step()
    assert host.configuration.evacuations.data_centres == {"a"}
