"""Tests of the readers, which read the store, and of the hosts that follow them."""

import asyncio
import zlib
from collections import deque
from dataclasses import replace
from random import Random

from mallowpond.coordination.ports import Unavailable
from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.configuration import (
    DOCUMENT_WAIT_SECONDS,
    FROM_START,
    REWRITE_SECONDS,
    SLOW_RETRY_SECONDS,
    ConfigurationFollower,
)
from mallowpond.node.configuration_sharing import PART_BYTES, ConfigurationSharing
from mallowpond.node.directory import (
    FOLLOWER_FULL_READ_SECONDS,
    MISSED_CHANGE_SECONDS,
    READERS_SILENCE_SECONDS,
    Directory,
)
from mallowpond.node.fanout import MAX_PARTS, RELAY_SILENCE_SECONDS, Fanout
from mallowpond.node.messages import (
    ConfigurationPart,
    ConfigurationQuestion,
    Digest,
    Heartbeat,
    ListChange,
    VersionAnswer,
    VersionQuestion,
    Work,
    encode_loads,
)
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import ConfigurationRead, HistoryLost
from mallowpond.node.readers import (
    CANDIDATE_COUNT,
    MAX_TARGETS_PER_PART,
    READER_COUNT,
    READERS_KEY,
    Readers,
)
from mallowpond.node.settings import NodeBounds
from mallowpond.node.tests.fakes import (
    FakeClock,
    FakeSource,
    listing,
    member,
    open_group,
)
from mallowpond.node.tests.test_configuration import (
    configuration_of,
    name_era,
    read_in_era,
)
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.ownership import ranked_owners

BOUNDS = NodeBounds(apply=3.0, revoke=5.0)


def heartbeat_of(node, **changes):
    """Build a heartbeat of a host that reaches the store."""
    state = {
        "version": 1,
        "sure": True,
        "store": True,
        "stopping": False,
        "planning": 0,
    }
    return Heartbeat(
        node=node, incarnation="1", address="127.0.0.1:1", **{**state, **changes}
    )


class Host:
    """One host of a fleet; its messages are collected in `outbox`, not sent."""

    def __init__(self, name="a", data_centre="a", cores=0.0):
        self.clock, self.source = FakeClock(), FakeSource()
        self.peers = PeerNetwork(
            name=name,
            incarnation="1",
            address="127.0.0.1:1",
            table=MemoryTable(),
            clock=self.clock,
            make_heartbeat=lambda: heartbeat_of(name),
        )
        self.outbox = []
        self.peers._send = lambda message, addresses: self.outbox.append(message)
        self.configuration = ConfigurationFollower(
            source=self.source, clock=self.clock, bounds=BOUNDS
        )
        self.directory = Directory(source=self.source, clock=self.clock)
        self.fanout = Fanout(
            name=name,
            data_centre=data_centre,
            peers=self.peers,
            readers=lambda: self.readers.names,
        )
        self.readers = Readers(
            name=name,
            peers=self.peers,
            configuration=self.configuration,
            directory=self.directory,
            clock=self.clock,
            is_stopping=lambda: False,
            is_planning=lambda: False,
            fanout=self.fanout,
            cores=cores,
        )
        self.sharing = ConfigurationSharing(
            name=name,
            peers=self.peers,
            readers=self.readers,
            fanout=self.fanout,
            configuration=self.configuration,
        )

    def receive(self, *messages):
        """Deliver messages of other hosts."""
        for message in messages:
            self.peers._handle_message(message)

    def outbox_of(self, kind):
        """Return the collected messages of one kind."""
        return [message for message in self.outbox if isinstance(message, kind)]


async def follower(*targets):
    """Build a follower that has read the list and version 1."""
    names = (f"n{number}" for number in range(50))
    host = Host()
    host.source.configurations.append(configuration_of(1))
    await host.configuration.step()
    host.source.listed.append(listing(*targets, revision=10))
    await host.directory.refresh()
    while host.readers.is_reader:
        host.receive(heartbeat_of(next(names)))
    host.receive(digest(last_change=10))
    return host


def pass_time(host, seconds):
    """Let time pass while the peers of a host are live."""
    host.clock.time += seconds
    host.receive(*(replace(p.heartbeat) for p in host.peers._peers.values()))


def digest(*, last_change, version=1):
    """Build a reader's digest."""
    return Digest(node="n0", version=version, last_change=last_change)


def change(*targets, previous, revision, removed=()):
    """Build a change of the list as a reader broadcasts it."""
    return ListChange(
        node="n0",
        previous=previous,
        revision=revision,
        targets=targets,
        removed=removed,
    )


def test_all_hosts_choose_the_same_few_readers():
    names = ["a", "b", "c", "d", "e"]
    chosen = []
    for name in names:
        host = Host(name)
        host.receive(*(heartbeat_of(other) for other in names if other != name))
        chosen.append(host.readers.names)
    assert all(found == chosen[0] for found in chosen)
    assert len(chosen[0]) == READER_COUNT


def test_hosts_that_the_store_turns_away_or_that_stop_do_not_read_for_others():
    host = Host()
    host.receive(heartbeat_of("b", store=False), heartbeat_of("c", stopping=True))
    assert host.readers.names == ["a"]


def test_in_a_large_fleet_only_hosts_that_read_or_plan_next_are_heard_often():
    """Guard against detecting the failure of a planner only after six seconds.

    All hosts of a fleet of 88 send heartbeats at the same rate, so that each host
    receives 60 a second. The rate did not depend on what the others need to know.
    """
    pauses = {}
    names = [f"n{number}" for number in range(88)]
    for name in names:
        host = Host(name)
        host.receive(*(heartbeat_of(other) for other in names if other != name))
        host.readers.step()
        pauses[name] = host.peers.interval
    assert sum(pause < 0.5 for pause in pauses.values()) == CANDIDATE_COUNT
    assert sum(87 / pause for pause in pauses.values()) < 88 * 87 / 1.4 / 2


def test_a_host_that_tells_seldom_is_not_taken_for_gone():
    host = Host()
    host.receive(heartbeat_of("b", interval=4.0), heartbeat_of("c", interval=0.4))
    host.clock.time += 6.0
    assert [p.heartbeat.node for p in host.peers.live] == ["b"]


async def test_a_follower_takes_a_change_without_a_call():
    host = await follower(*open_group("g"))
    host.receive(change(member("x", "h", 0), previous=10, revision=12))
    host.receive(digest(last_change=12))
    assert "x" in host.directory.targets
    assert not host.directory._must_read()
    assert len(host.source.requested_revisions) == 1


async def test_a_follower_that_missed_a_change_reads_the_list():
    """Guard against sending to an engine for seconds after it left.

    The datagram that reports its leaving is lost, and the next change arrives. That
    change was applied to a list that lacked the previous one.
    """
    host = await follower(*open_group("g"))
    host.receive(change(member("x", "h", 0), previous=12, revision=14))
    assert "x" not in host.directory.targets
    host.receive(digest(last_change=14))
    host.clock.time += MISSED_CHANGE_SECONDS + 0.01
    host.receive(digest(last_change=14))
    assert host.directory._must_read()


async def test_a_missed_change_is_read_within_a_moment():
    """Guard against requests to a leaving engine for longer than allowed.

    The datagram that reports its leaving is lost, and hosts checked only twice a second
    whether they had missed a change.
    """
    host = await follower(*open_group("g"))
    host.source.listed.append(listing(revision=14, whole=False))
    running = asyncio.create_task(host.directory.run())
    began = host.clock.time
    while len(host.source.requested_revisions) < 2:
        host.receive(digest(last_change=14))
        await asyncio.sleep(0)
    assert host.clock.time - began < MISSED_CHANGE_SECONDS + 0.25
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_an_older_change_that_arrives_late_is_ignored():
    host = await follower(*open_group("g"))
    removal = change(previous=10, revision=14, removed=("x",))
    host.receive(change(member("x", "h", 0), previous=10, revision=12), removal)
    host.receive(change(member("x", "h", 0), previous=10, revision=12))
    assert host.directory.targets.get("x") is None or host.directory.targets["x"].lapsed


async def test_an_answer_that_a_change_overtook_is_ignored():
    """Guard against a list that stays old for seconds and misleads the planner.

    A host asks the store, and before the answer arrives, it gets a reader's change that
    is newer than the answer. The answer's rows replaced the newer ones, and no later
    read corrected them, so the planner ordered members into groups that were gone.
    """
    host = await follower(*open_group("g"))
    newer = change(member("x", "h", 0), previous=10, revision=13)
    older = listing(member("x", "old", 0), revision=12, whole=False)

    async def overtaken(since):
        host.receive(newer)
        return older

    host.source.targets = overtaken
    assert await host.directory.refresh()
    assert host.directory.targets["x"].membership.group == "h"


async def test_a_follower_reads_for_itself_when_the_readers_fall_silent():
    host = await follower(*open_group("g"))
    assert not host.directory._must_read()
    host.clock.time += READERS_SILENCE_SECONDS + 0.01
    assert host.directory._must_read()


async def test_a_follower_compares_the_whole_list_at_intervals():
    host = await follower(*open_group("g"))
    host.directory.is_reader = lambda: False
    for seconds in (1.0, FOLLOWER_FULL_READ_SECONDS):
        host.clock.time += seconds
        host.receive(digest(last_change=10))
        assert host.directory._must_read() == (seconds > 1.0)


async def test_a_follower_that_cannot_read_what_it_missed_asks_at_a_pace():
    """Guard against ten calls a second from every host to a store that is down.

    A follower misses a change, and the store does not answer it. Every check called the
    store again, as the change was still missing.
    """
    host = await follower(*open_group("g"))
    host.source.is_cut_off = True
    host.receive(digest(last_change=14))
    host.clock.time += MISSED_CHANGE_SECONDS + 0.01
    host.receive(digest(last_change=14))
    assert host.directory._must_read()
    assert not await host.directory.refresh()
    host.clock.time += 0.1
    assert not host.directory._must_read()
    host.clock.time += MISSED_CHANGE_SECONDS
    assert host.directory._must_read()


async def test_a_follower_whose_own_way_to_the_store_is_cut_goes_by_the_readers():
    """Guard against keeping every lapsed entry while a host is cut off from the store.

    The readers are silent for a moment, and the host reads the list itself but gets no
    answer. Then the readers' digests arrive again, but only an answer of the store
    ended the state in which lapsed entries are expected to return.
    """
    host = await follower(*open_group("g"))
    host.source.is_cut_off = True
    assert not await host.directory.refresh()
    assert host.directory.is_list_lost
    host.receive(digest(last_change=10))
    assert not host.directory.is_list_lost


async def test_the_readers_sums_do_not_count_a_hosts_own_work_twice():
    """Guard against a group that looks twice as full to the hosts that use it most.

    A host reports its three streams to the readers, whose sum of eight comes back. The
    sum was added to the host's own three.
    """
    host = await follower(*open_group("g"))
    key = ("g", 1)
    host.directory.loads.work(key).running = 3
    host.directory.loads.record_published({key: (3, 100.0)})
    host.directory.apply_digest(10, {key: (8, 500.0)})
    load = host.directory.loads.load(key)
    assert (load.running, load.prefill_tokens) == (8, 400.0)


async def reader_of(*reads):
    """Build a reader that has read these answers of the list."""
    host = Host()
    host.source.configurations.append(configuration_of(1))
    await host.configuration.step()
    host.readers.step()
    host.source.listed = deque(reads)
    for _ in reads:
        await host.directory.refresh()
    return host


async def test_a_large_change_is_passed_on_in_parts():
    """Guard against thousands of reads of the list (13,059 calls to the store in 28 s).

    While a fleet's first groups form, each read of a reader holds hundreds of changed
    entries, and each of 195 hosts learns that it lacks them. A change that exceeds one
    datagram was not broadcast, so each host read it from the store.
    """
    members = [member(f"x{n}", "h", n) for n in range(2 * MAX_TARGETS_PER_PART + 1)]
    first = listing(*open_group("g"), revision=10)
    host = await reader_of(first, listing(*members, revision=12, whole=False))
    changes = host.outbox_of(ListChange)
    assert [(c.part, c.parts) for c in changes] == [(0, 3), (1, 3), (2, 3)]
    assert max(len(c.targets) for c in changes) == MAX_TARGETS_PER_PART
    receiver = await follower(*open_group("g"))
    receiver.receive(changes[2], changes[0])
    assert "x0" not in receiver.directory.targets
    receiver.receive(changes[1], digest(last_change=12))
    assert receiver.directory.targets.keys() >= {target.id for target in members}
    assert not receiver.directory._must_read()


async def test_a_change_beyond_all_parts_is_read_by_each_host():
    members = [
        member(f"x{n}", "h", n) for n in range(MAX_PARTS * MAX_TARGETS_PER_PART + 1)
    ]
    first = listing(*open_group("g"), revision=10)
    host = await reader_of(first, listing(*members, revision=12, whole=False))
    assert host.outbox_of(ListChange) == []
    host.readers.step()
    assert host.outbox_of(Digest)[-1].last_change == 12


async def test_parts_that_cannot_be_of_one_change_are_not_kept():
    host = await follower(*open_group("g"))
    part = change(member("x", "h", 0), previous=10, revision=12)
    host.receive(replace(part, part=7, parts=3), replace(part, parts=10**9))
    assert len(host.readers._parts) == 0


async def test_what_a_whole_read_finds_is_passed_on():
    """Guard against hosts that each read the full list twice a minute.

    The feed of changes misses one, which the reader's next full read shows. Changes
    found by full reads were not broadcast, so each host had to make its own.
    """
    group = open_group("g")
    found = listing(*group, member("x", "h", 0), revision=12)
    host = await reader_of(listing(*group, revision=10), found)
    (sent,) = host.outbox_of(ListChange)
    assert [target.id for target in sent.targets] == ["x"]
    assert (sent.previous, sent.removed) == (10, ())


def large_fleet(name, centres=("a", "b", "c"), each=20):
    """Build a host of a fleet over several data centres, which records what it sends.

    `sent` holds each message with the names of its receivers.
    """
    host = Host(name, data_centre=name[0], cores=0.5 if int(name[1:]) > 2 else 2.0)
    host.sent = []
    host.peers.send_to = lambda message, nodes: host.sent.append(
        (message, sorted(nodes))
    )
    for centre in centres:
        for number in range(each):
            node = f"{centre}{number}"
            if node != name:
                cores = 2.0 if number < 3 else 0.5
                host.receive(heartbeat_of(node, data_centre=centre, cores=cores))
    host.sent.clear()
    return host


def test_a_reader_of_a_large_fleet_tells_other_data_centres_once():
    """Guard against a reader whose link is full, so that its heartbeats are lost.

    Five times a second it sends the load of 75 groups to each of 195 hosts. Each host
    of another data centre got a datagram of its own.
    """
    host = large_fleet("a0")
    message = digest(last_change=10)
    host.fanout.broadcast(message)
    (near, near_nodes), (far, far_nodes) = host.sent
    assert (near.pass_on, far.pass_on) == (False, True)
    assert near_nodes == sorted(f"a{number}" for number in range(1, 20))
    assert len(far_nodes) == 2
    assert {node[0] for node in far_nodes} == {"b", "c"}
    # Relays are among the hosts with more processor time.
    assert all(int(node[1:]) < 3 for node in far_nodes)


def test_a_host_that_is_asked_to_tells_its_own_data_centre():
    host = large_fleet("b0")
    host.receive(replace(digest(last_change=10), node="a0", pass_on=True))
    ((message, nodes),) = host.sent
    assert not message.pass_on
    assert nodes == sorted(f"b{number}" for number in range(1, 20))
    host.receive(replace(digest(last_change=10), node="a0"))
    assert len(host.sent) == 1


def test_a_host_that_has_fallen_silent_is_not_asked_to_tell_on():
    host = large_fleet("a0")
    nodes = [f"b{number}" for number in range(20)]
    first = host.fanout.choose_relay(nodes)
    host.clock.time += RELAY_SILENCE_SECONDS + 0.1
    for node in nodes:
        if node != first:
            host.receive(Work(node=node, loads=encode_loads({})))
    assert host.fanout.choose_relay(nodes) not in (first, None)


def test_the_strongest_hosts_read_and_plan():
    """Guard against a planner that is overloaded with half a core.

    15 hosts of 195 have four times the processor time of the others, but the planner
    was chosen by its name alone.
    """
    host = large_fleet("a5")
    assert all(int(name[1:]) < 3 for name in host.readers.names)


async def test_a_follower_reads_a_newer_version_whole():
    """Guard against a second call for a new version, which delays it by half a second.

    A follower that last asked the store long ago learns of a newer version, and asks
    for the changes since its last revision. That is usually older than the store's
    history, so the store cannot answer.
    """
    host = await follower()
    asked = []
    read = host.source.configuration

    async def recorded(since, wait_seconds, **_):
        asked.append(since)
        return await read(since, wait_seconds)

    host.source.configuration = recorded
    host.receive(digest(last_change=10, version=2))
    await host.configuration.step()
    assert asked == [FROM_START]


async def test_a_reader_passes_on_what_changed_after_the_last_change():
    host = Host()
    host.source.configurations.append(configuration_of(1))
    await host.configuration.step()
    host.readers.step()
    host.source.listed = deque(
        [
            listing(*open_group("g"), revision=10),
            listing(revision=11, whole=False),
            listing(member("x", "h", 0), revision=12, whole=False),
        ]
    )
    for _ in range(3):
        await host.directory.refresh()
    (sent,) = host.outbox_of(ListChange)
    assert (sent.previous, sent.revision) == (10, 12)
    host.readers.step()
    assert host.outbox_of(Digest)[-1].last_change == 12


async def test_a_readers_answer_counts_from_before_the_question():
    """Guard against a key that works for seconds after it was revoked.

    A host sends a question, is paused for four seconds, and then reads the answer. The
    age in the answer was counted from its arrival.
    """
    host = await follower()
    host.clock.time += 1.0
    asked_at = host.clock.time
    host.configuration._ask()
    (question,) = host.outbox_of(VersionQuestion)
    host.clock.time += 4.0
    host.receive(VersionAnswer(node="n0", number=question.number, version=1, age=0.4))
    assert host.configuration.confirmation.confirmed_at == asked_at - 0.4


async def test_an_answer_to_an_older_question_confirms_nothing():
    host = await follower()
    confirmed_at = host.configuration.confirmation.confirmed_at
    host.configuration._ask()
    host.clock.time += 1.0
    host.configuration._ask()
    host.receive(VersionAnswer(node="n0", number=1, version=1, age=0.0))
    assert host.configuration.confirmation.confirmed_at == confirmed_at


async def restored_reader(copied):
    """Build a reader of version 4 whose store came back with this version."""
    host = Host("n0")
    host.source.reads.extend(
        [
            read_in_era(0, 90, configuration_of(4)),
            read_in_era(2, 40, configuration_of(copied)),
        ]
    )
    await host.configuration.step()
    host.clock.time += 6.0
    await host.configuration.step()
    return host


def ask(follower, reader):
    """Let a follower ask a reader, and return the question."""
    follower.configuration._ask()
    question = follower.outbox_of(VersionQuestion)[-1]
    reader.receive(question)
    return question


async def test_followers_hear_at_once_when_a_restored_store_confirms_again():
    """Guards against keys that are refused until a follower asks again."""
    reader = await restored_reader(copied=4)
    other = await follower()
    other.configuration.handle_document(4, b"4")
    other.clock.time = reader.clock.time
    for _ in range(2):
        ask(other, reader)
    (first, second) = reader.outbox_of(VersionAnswer)
    other.receive(first, second)
    assert not other.configuration.is_confirmed
    reader.clock.time += REWRITE_SECONDS
    other.clock.time += REWRITE_SECONDS
    await reader.configuration.step()
    (*_, again) = reader.outbox_of(VersionAnswer)
    other.receive(again)
    assert other.configuration.is_confirmed
    assert other.configuration.confirmation.age(other.clock.time) == REWRITE_SECONDS
    await reader.configuration.step()
    assert reader.outbox_of(VersionAnswer) == [first, second, again]


async def test_followers_hear_at_once_when_a_lost_version_is_written_again():
    reader = await restored_reader(copied=3)
    reader.clock.time += REWRITE_SECONDS
    await reader.configuration.step()
    reader.receive(VersionQuestion(node="b", number=5))
    reader.source.reads.append(read_in_era(2, 50, configuration_of(4)))
    await reader.configuration.step()
    early, again = reader.outbox_of(VersionAnswer)
    assert (early.number, again.number) == (5, 5)
    assert (early.age, again.age) == (6.0 + REWRITE_SECONDS, 0.0)


async def test_a_follower_whose_own_poll_hears_of_a_new_era_polls_no_second_time():
    host = await follower()
    host.source.is_cut_off = True
    await host.configuration.step()
    host.source.is_cut_off = False
    answer_at_once = host.source.configuration

    async def answer(since, wait_seconds, **_):
        name_era(host.source, 2)
        return await answer_at_once(since, wait_seconds)

    host.source.configuration = answer
    host.source.reads.append(HistoryLost())
    await host.configuration.step()
    assert host.configuration._may_ask_readers()


async def test_a_follower_that_hears_of_a_newer_version_reads_it():
    host = await follower()
    assert host.configuration._may_ask_readers()
    host.receive(digest(last_change=10, version=2))
    assert not host.configuration._may_ask_readers()
    host.source.configurations.append(configuration_of(2))
    await host.configuration.step()
    assert host.configuration.configuration.version == 2
    assert host.configuration._may_ask_readers()


async def test_a_follower_without_answers_asks_the_store():
    host = await follower()
    for _ in range(2):
        assert host.configuration._may_ask_readers()
        pass_time(host, 0.3 * BOUNDS.apply)
    assert not host.configuration._may_ask_readers()
    await host.configuration.step()
    assert host.configuration._may_ask_readers()


async def test_a_follower_leaves_a_reader_whose_knowledge_grows_old():
    """Guards against answers without news that count as contact."""
    host = await follower()
    for _ in range(3):
        pass_time(host, 0.2 * BOUNDS.apply)
        host.configuration._ask()
        number = host.outbox_of(VersionQuestion)[-1].number
        age = host.configuration.confirmation.age(host.clock.time)
        host.receive(VersionAnswer(node="n0", number=number, version=1, age=age))
    assert not host.configuration._may_ask_readers()


async def test_a_reader_answers_with_the_age_of_its_own_certainty():
    host = Host()
    host.source.configurations.append(configuration_of(3))
    await host.configuration.step()
    host.clock.time += 0.7
    host.receive(VersionQuestion(node="b", number=5))
    (answer,) = host.outbox_of(VersionAnswer)
    assert (answer.number, answer.version) == (5, 3)
    assert abs(answer.age - 0.7) < 1e-6


async def calls_in_outage(host, heartbeats, seconds):
    """Count the calls of one host during an outage of the store for all hosts."""
    asked = 0

    async def configuration(since, wait_seconds, **_):
        nonlocal asked
        asked += 1
        host.receive(*heartbeats)
        await asyncio.sleep(0)
        return Unavailable(reason="busy")

    host.source.configuration = configuration
    host.source.is_cut_off = True
    running = asyncio.create_task(host.configuration.run())
    until = host.clock.time + seconds
    while host.clock.time < until:
        await asyncio.sleep(0)
    await cancel_task(running)
    return asked


async def test_a_store_that_is_away_for_all_is_called_by_few():
    """Guard against thousands of calls to a store during its outage.

    The store refuses every host of a fleet for some seconds. As no host reached it,
    every host took itself for a reader, and called the store five times a second.
    """
    names = [f"n{number}" for number in range(65)]
    ranked = ranked_owners(READERS_KEY, names)
    calls = {}
    for name in (*ranked[:READER_COUNT], *ranked[READER_COUNT : READER_COUNT + 4]):
        host = Host(name)
        heartbeats = [
            heartbeat_of(other, store=False) for other in names if other != name
        ]
        host.receive(*heartbeats)
        calls[name] = await calls_in_outage(host, heartbeats, 8.0)
    reader_calls = [calls[name] for name in ranked[:READER_COUNT]]
    follower_calls = [
        calls[name] for name in calls if name not in ranked[:READER_COUNT]
    ]
    assert min(reader_calls) > 20
    assert max(follower_calls) <= 8.0 / SLOW_RETRY_SECONDS + 2


async def test_all_hosts_try_again_as_soon_as_one_reaches_the_store():
    host = Host("n5")
    host.source.configurations.append(configuration_of(1))
    await host.configuration.step()
    names = [f"n{number}" for number in range(9) if number != 5]
    host.receive(*(heartbeat_of(other, store=False) for other in names))
    host.source.is_cut_off = True
    await host.configuration.step()
    assert not host.configuration.is_store_reachable
    host.receive(heartbeat_of(names[0], store=False))
    assert not host.configuration._is_store_back.is_set()
    host.receive(heartbeat_of(names[0], store=True))
    assert host.configuration._is_store_back.is_set()
    assert not host.configuration._may_ask_readers()
    host.receive(heartbeat_of(names[1], store=True))
    host.source.is_cut_off = False
    await host.configuration.step()
    assert host.configuration.is_store_reachable
    host.receive(heartbeat_of(names[2], store=True))
    assert not host.configuration._is_store_back.is_set()


def test_a_host_that_only_it_cannot_reach_the_store_tries_often():
    """Guard against a newly started host that serves nobody for 1.5 s.

    Its first call to the store fails, or the store rejects it for a moment, while it
    serves the other hosts. The host then waited for the retry interval that is meant
    for an outage for all hosts.
    """
    names = [f"n{number}" for number in range(9)]
    last = ranked_owners(READERS_KEY, names)[-1]
    others = [name for name in names if name != last]
    host = Host(last)
    host.configuration._failures = 1
    host.receive(*(heartbeat_of(other, store=False) for other in others))
    assert not host.readers.should_retry_often
    host.receive(heartbeat_of(others[0], store=True))
    assert host.readers.should_retry_often


async def reader_with(number, document):
    """Build a reader that has read this version."""
    host = Host("n0")
    read = ConfigurationRead(
        revision=5,
        configuration=configuration_of(number),
        changed=True,
        document=document,
    )
    host.source.reads.append(read)
    await host.configuration.step()
    return host


async def test_a_version_is_passed_on_and_taken_without_a_call():
    """Guard against 195 calls to the store for each version of the configuration.

    A reader that found a newer version broadcast only its number, so each host had to
    read the configuration itself.
    """
    reader = await reader_with(2, b"2")
    host = await follower()
    asked = len(host.source.configurations)
    sure_since = host.configuration.confirmation.confirmed_at
    host.clock.time += 1.0
    host.receive(
        digest(last_change=10, version=2), *reader.outbox_of(ConfigurationPart)
    )
    assert host.configuration.configuration.version == 2
    assert host.configuration._may_ask_readers()
    assert len(host.source.configurations) == asked
    # The confirmation is as old as before: the datagram has no time of sending.
    assert host.configuration.confirmation.confirmed_at == sure_since
    assert host.configuration.is_confirmed


async def test_a_host_without_a_configuration_gets_it_from_a_peer():
    """Guard against a host that refuses all requests for seconds after its start.

    The store rejects it during an outage. Its peers have the configuration, but the
    host asked only the store.
    """
    reader = await reader_with(3, b"3")
    host = Host("n9")
    host.receive(heartbeat_of("n0"), heartbeat_of("n1"))
    host.source.is_cut_off = True
    await host.configuration.step()
    (question,) = host.outbox_of(ConfigurationQuestion)
    reader.receive(heartbeat_of("n9"), question)
    host.receive(*reader.outbox_of(ConfigurationPart)[-1:])
    assert host.configuration.configuration.version == 3
    assert not host.configuration.is_confirmed
    (asked,) = host.outbox_of(VersionQuestion)
    host.receive(VersionAnswer(node="n0", number=asked.number, version=3, age=0.2))
    assert host.configuration.is_confirmed


async def test_a_configuration_that_got_lost_on_its_way_is_read_from_the_store():
    host = await follower()
    host.source.configurations.append(configuration_of(2))
    running = asyncio.create_task(host.configuration.run())
    began = host.clock.time
    host.receive(digest(last_change=10, version=2))
    while host.configuration.configuration.version < 2:
        await asyncio.sleep(0)
    await cancel_task(running)
    assert host.clock.time - began < 2.0


async def test_a_large_configuration_comes_in_parts_and_is_taken_whole():
    random = Random(1)
    document = b"4" + b"".join(
        b" " if random.random() < 0.5 else b"\n" for _ in range(20 * PART_BYTES)
    )
    reader = await reader_with(4, document)
    parts = reader.outbox_of(ConfigurationPart)
    assert len(parts) > 1
    host = await follower()
    host.receive(*parts[:-1])
    assert host.configuration.configuration.version == 1
    host.receive(parts[-1])
    assert host.configuration.configuration.version == 4


async def test_bytes_that_are_no_configuration_change_nothing():
    host = await follower()
    for data in (b"", b"junk", zlib.compress(b"2")[:-3], zlib.compress(b"7")):
        host.receive(ConfigurationPart(node="n0", version=2, data=data))
    assert host.configuration.configuration.version == 1


def test_a_host_without_news_of_its_work_tells_it_seldom():
    host = large_fleet("a5")
    for _ in range(30):
        host.readers.step()
    works = [message for message, _ in host.sent if isinstance(message, Work)]
    assert 8 <= len(works) <= 12
    host.directory.loads.work(("g", 1)).running = 2
    host.readers.step()
    assert isinstance(host.sent[-1][0], Work)
    assert host.sent[-1][0].loads.running == (2,)


async def test_a_reader_that_has_read_a_copy_takes_a_newer_version_of_a_peer():
    """Guards against a host that starts as the store is restored and goes back."""
    host = Host()
    host.source.configurations.append(configuration_of(3))
    await host.configuration.step()
    assert host.readers.is_reader
    host.receive(heartbeat_of("n0", version=5))
    assert not host.outbox_of(ConfigurationQuestion)
    host.clock.time += DOCUMENT_WAIT_SECONDS + 0.1
    host.receive(heartbeat_of("n0", version=5))
    assert len(host.outbox_of(ConfigurationQuestion)) == 1
    document = zlib.compress(b"5")
    host.receive(ConfigurationPart(node="n0", version=5, data=document))
    assert host.configuration.configuration.version == 5
    age = host.configuration.confirmation.age(host.clock.time)
    await host.configuration.step()
    assert host.configuration.confirmation.age(host.clock.time) == age > 0.0
