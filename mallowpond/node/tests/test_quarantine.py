"""Tests that a fleet quarantines a request that crashes its targets, at every host."""

import asyncio
import random
from collections import deque
from dataclasses import replace

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.messages import (
    MAX_DATAGRAM_BYTES,
    CrashRecords,
    Heartbeat,
    PartRecords,
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
    OWNERS_PER_RECORD,
    PARTS_PREFIX,
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
    event,
    make_rig,
)
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.platform.callers import MAX_SHARED_PARTS
from mallowpond.standins.platform import MemoryTable, PlatformFaults
from mallowpond.state.crash_ledger import ENDINGS_TO_QUARANTINE, QUARANTINE_SECONDS
from mallowpond.state.fleet import Process
from mallowpond.state.part_ledger import MAX_ENDINGS, PartEnding, PartRecord
from mallowpond.state.store_clock import StoreClock

# Keys of parts of prompts.
BAD, SOUND = "0:bad", "0:a1"


def target(number):
    """Return the process of a target."""
    return Process(id=f"t{number}", born=1)


class Host:
    """One host of a fleet, without its background tasks."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"n{number}"
        self.address = f"127.0.0.1:{number + 1}"
        self.metrics = NodeMetrics()
        self.start()

    def start(self):
        """Start as a new process without any records."""
        fleet = self.fleet
        self.quarantine = Quarantine(
            clock=fleet.clock, metrics=self.metrics, host=self.name
        )
        self.peers = PeerNetwork(
            name=self.name,
            incarnation="1",
            address=self.address,
            table=fleet.table,
            clock=fleet.clock,
            make_heartbeat=self.heartbeat,
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

    def heartbeat(self):
        """Return this host's heartbeat."""
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
        """Send a message through the fleet as a datagram to each address."""
        data = write_message(message)
        for address in addresses:
            self.fleet.deliver(self, address, data)

    def record_crash(self, seconds_ran, number):
        """Record that a target ended while it ran the request `bad`."""
        sent_at = self.fleet.clock.now() - seconds_ran
        self.quarantine.record_ending("bad", target(number), sent_at)

    def record_part_crash(self, number, *parts):
        """Record that a target ended under a new request with the part `BAD`."""
        self.quarantine.record_ending(
            f"r{number}",
            target(number),
            self.fleet.clock.now() - 0.3,
            parts=(BAD, *parts),
        )


class Fleet:
    """Hosts and their network, which loses some datagrams and cuts some hosts off."""

    def __init__(self, count, loss_rate=0.0):
        self.clock, self.table = FakeClock(), MemoryTable()
        self.rng, self.loss_rate = random.Random(7), loss_rate
        self.cut_off, self.sent = set(), deque(maxlen=100_000)
        self.hosts = [Host(self, number) for number in range(count)]
        self.by_address = {host.address: host for host in self.hosts}
        self.exchange_heartbeats()

    def exchange_heartbeats(self):
        """Deliver the heartbeat of every host to all others."""
        for host in self.hosts:
            for other in self.hosts:
                host.peers._handle_message(other.heartbeat())
        self.sent.clear()

    def deliver(self, sender, address, data):
        """Deliver a datagram at once, unless it is lost."""
        receiver = self.by_address[address]
        self.sent.append((sender.name, receiver.name, data))
        if (
            self.cut_off & {sender.name, receiver.name}
            or self.rng.random() < self.loss_rate
        ):
            return
        receiver.peers.datagram_received(data, ("127.0.0.1", 1))

    def advance(self, seconds=sum(SEND_DELAYS) + 0.5):
        """Advance the time by steps, at each of which hosts send what is due."""
        for _ in range(int(seconds / 0.1)):
            self.clock.time += 0.1
            for host in self.hosts:
                host.sharing.send_due()

    def hosts_with_quarantine(self, request="bad"):
        """Return the hosts that have quarantined a request."""
        return [h.name for h in self.hosts if h.quarantine.is_quarantined(request)]

    @property
    def names(self):
        """Return the names of all hosts."""
        return [host.name for host in self.hosts]


@pytest.mark.parametrize("count", [1, 2, 7, 195])
def test_each_ending_at_another_host_holds_it_back_at_all(count):
    """One caller's request crashed dozens of engines.

    It crashed an engine through one host and was retried through another, three times.
    Each host counted crashes for itself, and only within one exchange.
    """
    fleet = Fleet(count)
    for number in range(ENDINGS_TO_QUARANTINE):
        assert fleet.hosts_with_quarantine() == []
        fleet.hosts[number % count].record_crash(0.1, number)
        fleet.advance()
    assert fleet.hosts_with_quarantine() == fleet.names


def test_endings_at_the_same_moment_at_three_hosts_count_together():
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_crash(0.1, number)
    fleet.advance()
    assert fleet.hosts_with_quarantine() == fleet.names


@pytest.mark.parametrize("count", [7, 65])
def test_lost_datagrams_do_not_lose_it(count):
    fleet = Fleet(count, loss_rate=0.3)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_crash(0.1, number)
    fleet.advance()
    assert len(fleet.hosts_with_quarantine()) > 0.9 * count


def test_a_host_that_starts_anew_asks_and_knows():
    """A quarantined request crashed engines again through a host that had just started.

    The host was killed, started again and got the request. Its records were lost with
    the earlier process.
    """
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE - 1):
        fleet.hosts[number].record_crash(0.1, number)
    fleet.advance()
    fleet.hosts[6].start()
    fleet.exchange_heartbeats()
    fleet.hosts[6].sharing.query_peers()
    fleet.hosts[6].record_crash(0.1, ENDINGS_TO_QUARANTINE - 1)
    assert fleet.hosts_with_quarantine() == ["n6"]
    fleet.advance()
    assert fleet.hosts_with_quarantine() == fleet.names


async def test_all_hosts_that_start_anew_have_it_from_the_store():
    """A quarantined request crashed engines again after all hosts were killed at once.

    It was quarantined while the store was down; the store came back and then the hosts
    were killed. The quarantine was only in the hosts' memory, or a failed write was not
    retried.
    """
    fleet = Fleet(7)
    fleet.table.faults = PlatformFaults(down=True)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_crash(0.1, number)
    fleet.advance()
    for host in fleet.hosts:
        await host.sharing.write()
    fleet.table.faults = PlatformFaults()
    for host in fleet.hosts:
        assert await host.sharing.write()
    fleet.clock.time += 100.0
    for host in fleet.hosts:
        host.start()
    assert fleet.hosts_with_quarantine() == []
    for host in fleet.hosts:
        host.peers.is_candidate = host is fleet.hosts[0]
    fleet.exchange_heartbeats()
    assert await fleet.hosts[0].sharing.read()
    fleet.advance()
    assert fleet.hosts_with_quarantine() == fleet.names


async def test_a_row_ends_with_its_hold():
    fleet = Fleet(2)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[0].record_crash(0.1, number)
    fleet.advance()
    assert await fleet.hosts[0].sharing.write()
    assert await fleet.hosts[1].sharing.read()
    assert len((await fleet.table.scan(PREFIX)).rows) == 1
    fleet.clock.time += QUARANTINE_SECONDS
    assert await fleet.hosts[1].sharing.read()
    assert (await fleet.table.scan(PREFIX)).rows == ()
    assert fleet.hosts_with_quarantine() == []


def test_a_whole_answer_releases_it_everywhere():
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[0].record_crash(0.1, number)
    fleet.advance()
    assert fleet.hosts_with_quarantine() == fleet.names
    fleet.hosts[3].quarantine.record_answer("bad")
    fleet.advance()
    assert fleet.hosts_with_quarantine() == []


def test_an_ordinary_ending_costs_a_large_fleet_few_datagrams():
    """Crash records filled the hosts' links when a fabric domain failed.

    Many streams broke at many hosts, each for the first time, and every host was sent
    the record of every broken stream.
    """
    fleet = Fleet(195)
    for host in fleet.hosts:
        for number in range(3):
            request = f"{host.name}.{number}"
            sent_at = fleet.clock.now() - 0.4
            host.quarantine.record_ending(request, target(number), sent_at)
    fleet.advance()
    received = sum(len(data) + 28 for _, name, data in fleet.sent if name == "n0")
    # The budget is 3 KB per second, over the time in which records are sent.
    assert received < 3_000 * sum(SEND_DELAYS)
    assert {len(h.quarantine.records()) for h in fleet.hosts} <= set(range(60))
    receivers = {r for s, r, _ in fleet.sent if s == "n1"}
    assert len(receivers) <= 3 * OWNERS_PER_RECORD


def test_what_one_host_tells_at_once_is_bounded():
    fleet = Fleet(2)
    for number in range(500):
        sent_at = fleet.clock.now() - 0.4
        fleet.hosts[0].quarantine.record_ending(f"r{number}", target(1), sent_at)
    fleet.clock.time += 1.0
    fleet.hosts[0].sharing.send_due()
    (_, _, data) = fleet.sent.pop()
    message = read_message(data)
    assert isinstance(message, CrashRecords)
    assert len(message.records) == MAX_RECORDS_PER_MESSAGE
    fleet.hosts[1].sharing.query_peers()
    answers = [read_message(d) for s, _, d in fleet.sent if s == "n0"]
    answered = sum(len(a.records) for a in answers if a.answer)
    assert answered == MAX_ANSWER_RECORDS


@pytest.mark.parametrize("count", [1, 2, 7, 195])
def test_a_part_that_ends_targets_at_any_hosts_is_held_back_at_all(count):
    """Guards against targets that end under requests which share only one part."""
    fleet = Fleet(count)
    for number in range(ENDINGS_TO_QUARANTINE):
        assert fleet.hosts_with_quarantine(BAD) == []
        fleet.hosts[number % count].record_part_crash(number)
        fleet.advance(0.2)
    assert fleet.hosts_with_quarantine(BAD) == fleet.names
    for host in fleet.hosts:
        refusal = host.quarantine.refusal("new", (SOUND, BAD))
        assert refusal.status == 503 and refusal.retry_after > 0.0
        assert host.quarantine.refusal("new", (SOUND,)) is None


def test_lost_datagrams_do_not_lose_a_part():
    fleet = Fleet(65, loss_rate=0.3)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance()
    assert len(fleet.hosts_with_quarantine(BAD)) > 0.9 * 65


@pytest.mark.parametrize("count", [7, 195])
def test_a_part_that_one_host_has_answered_is_released_at_all(count):
    """Guards against hosts that refuse a sound part which others have just served."""
    fleet = Fleet(count)
    fleet.hosts[-1].quarantine.record_answer("sound", (BAD,))
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance()
    assert fleet.hosts_with_quarantine(BAD) == []


@pytest.mark.parametrize("count", [7, 195])
def test_a_part_whose_next_request_is_answered_is_released_at_all(count):
    """Guards against a sound part that is refused until its quarantine is over."""
    fleet = Fleet(count)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance()
    assert fleet.hosts_with_quarantine(BAD) == fleet.names
    fleet.hosts[-1].quarantine.record_answer("sound", (BAD,))
    fleet.advance()
    assert fleet.hosts_with_quarantine(BAD) == []


def test_refuting_a_part_costs_a_large_fleet_few_datagrams():
    """Guards against hosts that all tell all others of a common part's answers."""
    fleet = Fleet(195)
    for host in fleet.hosts[10:]:
        host.quarantine.record_answer("sound", (BAD,))
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance()
    assert fleet.hosts_with_quarantine(BAD) == []
    received = [
        sum(len(data) + 28 for _, name, data in fleet.sent if name == host.name)
        for host in fleet.hosts
    ]
    # The budget is 3 KB per second, over the time in which records are sent; owners
    # hear each host that refutes.
    assert sorted(received)[len(received) // 2] < 3_000 * sum(SEND_DELAYS)


def test_the_largest_records_of_parts_fit_in_a_datagram():
    """Guards against callers that make records too large by many long parts."""
    rng = random.Random(3)

    def new_part():
        return f"1f2e3d4c:{rng.getrandbits(128):032x}"

    def largest_record():
        endings = tuple(
            PartEnding(
                process=Process(id=f"i-{rng.getrandbits(40):010x}", born=10**12),
                request=f"{rng.getrandbits(64):016x}",
                companions=tuple(new_part() for _ in range(MAX_SHARED_PARTS - 1)),
                age=rng.random(),
            )
            for _ in range(MAX_ENDINGS)
        )
        return PartRecord(part=new_part(), endings=endings)

    records = tuple(largest_record() for _ in range(MAX_RECORDS_PER_MESSAGE))
    data = write_message(PartRecords(node="n0", records=records))
    assert len(data) < MAX_DATAGRAM_BYTES
    assert read_message(data).records == records


def test_a_host_that_starts_anew_learns_of_parts():
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance()
    fleet.hosts[6].start()
    fleet.exchange_heartbeats()
    fleet.hosts[6].sharing.query_peers()
    assert fleet.hosts[6].quarantine.is_quarantined(BAD)


async def test_parts_are_kept_in_the_store_while_their_endings_count():
    """Guards against deadly parts that all hosts forget as they start at once."""
    fleet = Fleet(7)
    for number in range(ENDINGS_TO_QUARANTINE):
        fleet.hosts[number].record_part_crash(number)
    fleet.advance(0.3)
    for host in fleet.hosts:
        assert await host.sharing.write()
    for host in fleet.hosts:
        host.start()
    fleet.exchange_heartbeats()
    assert await fleet.hosts[0].sharing.read()
    fleet.advance(0.5)
    assert fleet.hosts_with_quarantine(BAD) == fleet.names
    fleet.hosts[0].quarantine.record_answer("sound", (BAD,))
    assert await fleet.hosts[0].sharing.read()
    assert (await fleet.table.scan(PARTS_PREFIX)).rows == ()


def test_who_ran_beside_a_held_part_is_not_held_back():
    """Guards against bystanders of a deadly part that are refused for ten minutes."""
    quarantine = Fleet(1).hosts[0].quarantine
    now = quarantine._clock.now()
    for number in range(ENDINGS_TO_QUARANTINE):
        quarantine.record_ending("beside", target(number), now - 0.4)
    assert quarantine.is_quarantined("beside")
    for number in range(ENDINGS_TO_QUARANTINE):
        quarantine.record_ending(f"r{number}", target(number), now - 0.3, parts=(BAD,))
    assert quarantine.is_quarantined(BAD)
    assert not quarantine.is_quarantined("beside")
    quarantine.record_answer("sound", (BAD,))
    assert quarantine.is_quarantined("beside")


async def test_a_stream_with_a_held_part_gives_its_slot_back_unsent():
    """Guards against a stream that is sent as its part was found while it waited."""
    rig = await make_rig("a")
    work = rig.work(FakeExchange())
    work.request = replace(work.request, shared_parts=("bad",))
    placement = rig.service.placement
    quarantine = rig.service._quarantine

    def choose(waiting):
        now = rig.clock.now()
        for number in range(ENDINGS_TO_QUARANTINE):
            quarantine.record_ending(
                f"r{number}", target(number), now - 0.3, parts=waiting.parts
            )
        return next(iter(rig.directory.groups.values()))

    placement.choose = choose
    refusal = await rig.service.serve(work)
    assert (refusal.status, refusal.reason) == (503, Reason.HELD_BACK)
    assert rig.targets.sends == []


async def test_a_sound_stream_with_the_first_part_of_a_deadly_one_is_served():
    """Guards against refusing the caller or the first part of deadly requests."""
    rig = await make_rig("d")
    rig.targets.script("d0", answer(1, 2))
    quarantine, now = rig.service._quarantine, rig.clock.now()
    sound, deadly = rig.work(FakeExchange()), rig.work(FakeExchange())
    sound.request = replace(sound.request, shared_parts=("a1", "b1"))
    deadly.request = replace(deadly.request, shared_parts=("a1", "bad"))
    for number in range(ENDINGS_TO_QUARANTINE):
        quarantine.record_ending(
            f"r{number}", target(number), now - 0.3, parts=deadly.parts
        )
    refused = await rig.service.serve(deadly)
    assert (refused.status, refused.reason) == (503, Reason.HELD_BACK)
    assert await rig.service.serve(sound) == Answered(status=200, target="d0")


async def test_a_stream_that_is_held_back_is_refused_and_not_sent():
    """One request crashed an engine each time its caller retried it.

    It ran on three groups that each ended, and was retried under another id. The ended
    groups were known only within one exchange.
    """
    rig = await make_rig(*"abcd")
    for group in "abcd":
        rig.targets.script(f"{group}0", FakeResponse(script=[BROKEN]))
    route = replace(ROUTE, max_attempts=4)
    first = await rig.service.serve(rig.work(FakeExchange(), route))
    # The request ran, so its status does not promise that it did not.
    assert first == Refusal(status=502, reason=Reason.HELD_BACK)
    assert len(rig.targets.sends) == ENDINGS_TO_QUARANTINE
    # A repeat that is refused uses up nothing of the retry budget that all hosts share.
    repeats = rig.service._metrics.retries.labels(Reason.BROKEN_STREAM.value)
    assert repeats._value.get() == ENDINGS_TO_QUARANTINE - 1
    rig.clock.time += 1.0
    again = await rig.service.serve(rig.work(FakeExchange(), route))
    assert again == Refusal(
        status=503, reason=Reason.HELD_BACK, retry_after=QUARANTINE_SECONDS - 1.0
    )
    assert len(rig.targets.sends) == ENDINGS_TO_QUARANTINE


async def test_a_stream_that_shared_each_group_with_it_is_still_served():
    """A harmless request was refused for ten minutes.

    Three times it ran on the same group as the request that crashed the group. Both had
    run on three targets that ended.
    """
    rig = await make_rig("d")
    rig.targets.script("d0", answer(1, 2))
    quarantine = rig.service._quarantine
    bystander, now = rig.work(FakeExchange()), rig.clock.now()
    for number in range(ENDINGS_TO_QUARANTINE):
        quarantine.record_ending(bystander.fingerprint, target(number), now - 0.4)
        quarantine.record_ending("bad", target(number), now - 0.1)
    assert quarantine.is_quarantined("bad")
    outcome = await rig.service.serve(bystander)
    assert outcome == Answered(status=200, target="d0")


async def test_a_target_that_the_list_shows_as_restarted_counts_as_ended():
    """A request crashed engine after engine, and no ending was recorded.

    Its engine ended and was restarted; the list showed that before the broken
    connection was read, and the stream was moved. Only broken connections counted.
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


async def test_a_stream_ran_for_as_long_as_its_events_tell():
    """Guards against times that include the queue, and point at a bystander.

    The cause ends its target after the same number of events each time, however long
    the stream waited there before the first one.
    """
    rig = await make_rig("a", "b")
    gate = asyncio.get_running_loop().create_future()
    rig.targets.script("a0", FakeResponse(script=[event(1), event(2), BROKEN]))
    rig.targets.script("b0", FakeResponse(script=[gate, event(3), BROKEN]))
    rig.directory.loads.work(("b", 1)).running = 1
    work = rig.work(FakeExchange())
    serving = asyncio.create_task(rig.service.serve(work))
    while len(rig.targets.sends) < 2:
        await asyncio.sleep(0)
    rig.clock.time += 0.5
    gate.set_result(None)
    await serving
    record = rig.service._quarantine.record(work.fingerprint)
    first, second = [ending.ran for ending in record.endings]
    assert first == 2 * second > 0.0


async def test_what_is_quarantined_is_written_again_into_a_restored_store():
    """Guards against a request that ends targets again after all hosts restarted."""
    fleet = Fleet(3)
    for number in range(3):
        fleet.hosts[number].record_crash(0.3, number)
    fleet.advance()
    fleet.table._rows.clear()
    for host in fleet.hosts:
        host.sharing._unwritten.clear()
        host.sharing.rewrite()
        assert await host.sharing.write()
    assert list(fleet.table._rows) == ["quarantine/bad"]
