"""A fleet holds back a request that ends its targets, wherever it comes again."""

import asyncio
import random
from collections import deque
from dataclasses import replace

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.messages import (
    CrashRecords,
    Heartbeat,
    read_message,
    write_message,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason, Refusal
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.quarantine_sharing import (
    MAX_ANSWER_RECORDS,
    MAX_RECORDS_PER_MESSAGE,
    OWNERS_PER_REQUEST,
    PREFIX,
    SEND_DELAYS,
    QuarantineSharing,
)
from mallowpond.node.tests.fakes import (
    BROKEN,
    ROUTE,
    FakeClock,
    FakeExchange,
    FakeResponse,
    answer,
    make_rig,
)
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.standins.platform import MemoryTable, PlatformFaults
from mallowpond.state.crash_ledger import ENDINGS_TO_QUARANTINE, QUARANTINE_SECONDS
from mallowpond.state.fleet import Process
from mallowpond.state.store_clock import StoreClock


def target(number):
    """Write a target's process."""
    return Process(id=f"t{number}", born=1)


class Host:
    """Hold one host of a fleet, without its loops."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"n{number}"
        self.address = f"127.0.0.1:{number + 1}"
        self.metrics = NodeMetrics()
        self.start()

    def start(self):
        """Begin as a process that knows nothing."""
        fleet = self.fleet
        self.quarantine = Quarantine(clock=fleet.clock, metrics=self.metrics)
        self.peers = PeerNetwork(
            name=self.name,
            incarnation="1",
            address=self.address,
            table=fleet.table,
            clock=fleet.clock,
            make_heartbeat=self.beat,
        )
        self.peers._send = self.send
        store_clock = StoreClock()
        store_clock.record(asked_at=fleet.clock.now(), answered_at=50.0)
        self.sharing = QuarantineSharing(
            name=self.name,
            quarantine=self.quarantine,
            peers=self.peers,
            table=fleet.table,
            clock=fleet.clock,
            store_clock=store_clock,
            rng=random.Random(1),
            unreadable_log=UnreadableLog(),
        )

    def beat(self):
        """Write this host's heartbeat."""
        return Heartbeat(
            node=self.name,
            incarnation="1",
            address=self.address,
            version=1,
            sure=True,
            store=True,
            stopping=False,
            planning=0,
            interval=60.0,
        )

    def send(self, message, addresses):
        """Let the fleet carry a datagram."""
        data = write_message(message)
        for address in addresses:
            self.fleet.carry(self, address, data)

    def meet(self, seconds_ran, number):
        """Note that a target ended under the request that ends them all."""
        sent_at = self.fleet.clock.now() - seconds_ran
        self.quarantine.record_ending("bad", target(number), sent_at)


class Fleet:
    """Carry datagrams between hosts; lose some, cut some hosts off."""

    def __init__(self, count, loss=0.0):
        self.clock, self.table = FakeClock(), MemoryTable()
        self.rng, self.loss = random.Random(7), loss
        self.cut, self.carried = set(), deque(maxlen=100_000)
        self.hosts = [Host(self, number) for number in range(count)]
        self.by_address = {host.address: host for host in self.hosts}
        self.introduce()

    def introduce(self):
        """Let every host hear every other one."""
        for host in self.hosts:
            for other in self.hosts:
                host.peers._handle_message(other.beat())
        self.carried.clear()

    def carry(self, sender, address, data):
        """Deliver a datagram at once, if it is not lost."""
        receiver = self.by_address[address]
        self.carried.append((sender.name, receiver.name, data))
        if self.cut & {sender.name, receiver.name} or self.rng.random() < self.loss:
            return
        receiver.peers.datagram_received(data, ("127.0.0.1", 1))

    def settle(self, seconds=sum(SEND_DELAYS) + 0.5):
        """Let time go by, in which hosts tell what is due."""
        for _ in range(int(seconds / 0.1)):
            self.clock.time += 0.1
            for host in self.hosts:
                host.sharing.send_due()

    def who_holds(self, request="bad"):
        """Return the hosts that hold a request back."""
        return [h.name for h in self.hosts if h.quarantine.is_quarantined(request)]

    @property
    def names(self):
        """Return all hosts."""
        return [host.name for host in self.hosts]


@pytest.mark.parametrize("count", [1, 2, 7, 195])
def test_each_ending_at_another_host_holds_it_back_at_all(count):
    """Symptom: one caller's request ends dozens of engines.

    Sequence: it ends an engine at one host and comes again at another, three times.
    Cause: each host counted for itself, and none beyond one exchange.
    """
    fleet = Fleet(count)
    for number in range(ENDINGS_TO_QUARANTINE):
        assert fleet.who_holds() == []
        fleet.hosts[number % count].meet(0.1, number)
        fleet.settle()
    assert fleet.who_holds() == fleet.names


def test_endings_at_the_same_moment_at_three_hosts_count_together():
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].meet(0.1, number)
    fleet.settle()
    assert fleet.who_holds() == fleet.names


@pytest.mark.parametrize("count", [7, 65])
def test_lost_datagrams_do_not_lose_it(count):
    fleet = Fleet(count, loss=0.3)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].meet(0.1, number)
    fleet.settle()
    assert len(fleet.who_holds()) > 0.9 * count


def test_a_host_that_starts_anew_asks_and_knows():
    """Symptom: the request ends engines again wherever a host has just started.

    Sequence: it is held back; a host is killed, starts, and gets it.
    Cause: what was known went with the process.
    """
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE - 1):
        fleet.hosts[number].meet(0.1, number)
    fleet.settle()
    fleet.hosts[6].start()
    fleet.introduce()
    fleet.hosts[6].sharing.query_peers()
    fleet.hosts[6].meet(0.1, ENDINGS_TO_QUARANTINE - 1)
    assert fleet.who_holds() == ["n6"]
    fleet.settle()
    assert fleet.who_holds() == fleet.names


async def test_all_hosts_that_start_anew_have_it_from_the_store():
    """Symptom: after all hosts were killed together the request ends engines again.

    Sequence: it is held back while the store is away; the store comes back, all hosts
    are killed at the same moment.
    Cause: only the hosts' memory held it, or a write that failed was not repeated.
    """
    fleet = Fleet(7)
    fleet.table.faults = PlatformFaults(down=True)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].meet(0.1, number)
    fleet.settle()
    for host in fleet.hosts:
        await host.sharing.write()
    fleet.table.faults = PlatformFaults()
    for host in fleet.hosts:
        assert await host.sharing.write()
    fleet.clock.time += 100.0
    for host in fleet.hosts:
        host.start()
    assert fleet.who_holds() == []
    for host in fleet.hosts:
        host.peers.is_candidate = host is fleet.hosts[0]
    fleet.introduce()
    assert await fleet.hosts[0].sharing.read()
    fleet.settle()
    assert fleet.who_holds() == fleet.names


async def test_a_row_ends_with_its_hold():
    fleet = Fleet(2)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[0].meet(0.1, number)
    fleet.settle()
    assert await fleet.hosts[0].sharing.write()
    assert await fleet.hosts[1].sharing.read()
    assert len((await fleet.table.scan(PREFIX)).rows) == 1
    fleet.clock.time += QUARANTINE_SECONDS
    assert await fleet.hosts[1].sharing.read()
    assert (await fleet.table.scan(PREFIX)).rows == ()
    assert fleet.who_holds() == []


def test_a_whole_answer_releases_it_everywhere():
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[0].meet(0.1, number)
    fleet.settle()
    assert fleet.who_holds() == fleet.names
    fleet.hosts[3].quarantine.record_answer("bad")
    fleet.settle()
    assert fleet.who_holds() == []


def test_an_ordinary_ending_costs_a_large_fleet_few_datagrams():
    """Symptom: when a domain fails, the hosts' links fill up with news of it.

    Sequence: many streams break off at many hosts, each for the first time.
    Cause: every host was told of every broken stream.
    """
    fleet = Fleet(195)
    for host in fleet.hosts:
        for number in range(3):
            request = f"{host.name}.{number}"
            sent_at = fleet.clock.now() - 0.4
            host.quarantine.record_ending(request, target(number), sent_at)
    fleet.settle()
    heard = sum(len(data) + 28 for _, name, data in fleet.carried if name == "n0")
    # By the aim of 3 KB a second, over the time in which it is told.
    assert heard < 3_000 * sum(SEND_DELAYS)
    assert {len(h.quarantine.records()) for h in fleet.hosts} <= set(range(60))
    receivers = {r for s, r, _ in fleet.carried if s == "n1"}
    assert len(receivers) <= 3 * OWNERS_PER_REQUEST


def test_what_one_host_tells_at_once_is_bounded():
    fleet = Fleet(2)
    for number in range(500):
        sent_at = fleet.clock.now() - 0.4
        fleet.hosts[0].quarantine.record_ending(f"r{number}", target(1), sent_at)
    fleet.clock.time += 1.0
    fleet.hosts[0].sharing.send_due()
    (_, _, data) = fleet.carried.pop()
    message = read_message(data)
    assert isinstance(message, CrashRecords)
    assert len(message.records) == MAX_RECORDS_PER_MESSAGE
    fleet.hosts[1].sharing.query_peers()
    answers = [read_message(d) for s, _, d in fleet.carried if s == "n0"]
    told = sum(len(a.records) for a in answers if a.answer)
    assert told == MAX_ANSWER_RECORDS


async def test_a_stream_that_is_held_back_is_refused_and_not_sent():
    """Symptom: one request ends an engine each time it comes.

    Sequence: it runs on three groups, each ends; it comes again under another id.
    Cause: nothing but the exchange knew of the groups that had ended.
    """
    rig = await make_rig(*"abcd")
    for group in "abcd":
        rig.targets.script(f"{group}0", FakeResponse(script=[BROKEN]))
    route = replace(ROUTE, max_attempts=4)
    first = await rig.service.serve(rig.work(FakeExchange(), route))
    # It ran, so this is no promise that it did not.
    assert first == Refusal(status=502, reason=Reason.HELD_BACK)
    assert len(rig.targets.sends) == ENDINGS_TO_QUARANTINE
    # What is not sent once more spends none of the repeats that all hosts share.
    repeats = rig.service._metrics.retries.labels(Reason.BROKEN_STREAM.value)
    assert repeats._value.get() == ENDINGS_TO_QUARANTINE - 1
    rig.clock.time += 1.0
    again = await rig.service.serve(rig.work(FakeExchange(), route))
    assert again == Refusal(
        status=503, reason=Reason.HELD_BACK, retry_after=QUARANTINE_SECONDS - 1.0
    )
    assert len(rig.targets.sends) == ENDINGS_TO_QUARANTINE


async def test_a_stream_that_shared_each_group_with_it_is_still_served():
    """Symptom: a request that harms nobody is refused for ten minutes.

    Sequence: it runs beside the one that ends its groups, three times.
    Cause: both had stood on three targets that ended.
    """
    rig = await make_rig("d")
    rig.targets.script("d0", answer(1, 2))
    quarantine = rig.service._quarantine
    beside, now = rig.work(FakeExchange()), rig.clock.now()
    for number in range(ENDINGS_TO_QUARANTINE):
        quarantine.record_ending(beside.fingerprint, target(number), now - 0.4)
        quarantine.record_ending("bad", target(number), now - 0.1)
    assert quarantine.is_quarantined("bad")
    outcome = await rig.service.serve(beside)
    assert outcome == Answered(status=200, target="d0")


async def test_a_target_that_the_list_shows_as_restarted_counts_as_ended():
    """Symptom: a request ends engine after engine, and none of it is noted.

    Sequence: its engine ends and starts again; the list tells that before the broken
    connection is read, and the stream is moved away.
    Cause: only connections that broke counted.
    """
    rig = await make_rig("a", "b")
    open_end = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[open_end]))
    rig.targets.script("b0", FakeResponse(script=[open_end]))
    work = rig.work(FakeExchange())
    serving = asyncio.create_task(rig.service.serve(work))
    for _ in range(10):
        await asyncio.sleep(0)
    rig.clock.time += 0.1
    (stream,) = rig.service.active
    stream.move(Reason.RESTARTED)
    for _ in range(10):
        await asyncio.sleep(0)
    record = rig.service._quarantine.record(work.fingerprint)
    assert [e.process for e in record.endings] == [stream.group.head.process]
    await cancel_task(serving)
