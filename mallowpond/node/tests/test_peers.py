"""Tests of the messages between nodes, valid and malformed, and of their exchange."""

import asyncio
import zlib
from dataclasses import dataclass, fields, replace
from typing import get_origin, get_type_hints

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.coordination.ports import Put, Transaction
from mallowpond.coordination.tasks import cancel_task
from mallowpond.emulator.virtual_time import VirtualClock, run_in_virtual_time
from mallowpond.node.messages import (
    MESSAGE_CLASSES,
    Advance,
    ColdNews,
    ConfigurationPart,
    ConfigurationQuestion,
    CrashQuestion,
    CrashRecords,
    Digest,
    EndedHeads,
    GroupBroken,
    Heartbeat,
    ListChange,
    LivenessAnswer,
    LivenessQuestion,
    LoadColumns,
    PartRecords,
    PlaceAnswer,
    PlaceQuestion,
    PlaceVerdict,
    RateLimitNews,
    SilenceQuestion,
    SilencesAnswer,
    SilencesQuestion,
    Suspicion,
    VersionAnswer,
    VersionQuestion,
    Vouch,
    WatchedSilence,
    Work,
    decode_loads,
    encode_loads,
    read_message,
    write_message,
)
from mallowpond.node.peers import (
    CANDIDATE_HEARTBEATS_PER_SECOND,
    GONE_SECONDS,
    SMALL_FLEET_HEARTBEATS_PER_SECOND,
    PeerNetwork,
)
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.codec import to_compact
from mallowpond.state.cold_targets import ColdState
from mallowpond.state.crash_ledger import CrashRecord, Ending
from mallowpond.state.decoding import Unreadable
from mallowpond.state.evacuations import Evacuations
from mallowpond.state.fleet import (
    BreakCause,
    GroupPhase,
    Membership,
    Process,
    Target,
)
from mallowpond.state.host_registry import COUNTED_SECONDS
from mallowpond.state.part_ledger import PartEnding, PartRecord
from mallowpond.state.rate_limit import TargetLimit

LOADS = {("g", 3): (4, 500)}
SENDER = ("127.0.0.1", 1)


@dataclass(kw_only=True)
class FakeTransport:
    """Transport that records the addresses of datagrams."""

    sent: list

    def sendto(self, data, address):
        """Record the address of one datagram."""
        self.sent.append(address)


def heartbeat_of(node="b", **changes):
    """Build a heartbeat."""
    return Heartbeat(
        node=node,
        incarnation="1",
        address="127.0.0.1:9",
        version=1,
        sure=True,
        store=True,
        stopping=False,
        planning=0,
        loads=encode_loads(LOADS),
        **changes,
    )


def encode(message):
    """Encode a message as an uncompressed datagram."""
    return cbor2.dumps([type(message).__name__, to_compact(message)])


def network(table=None, clock=None):
    """Build a peer network that is not bound to a port."""
    clock = clock or FakeClock()
    peers = PeerNetwork(
        name="a",
        incarnation="1",
        address="127.0.0.1:8",
        table=table or MemoryTable(),
        clock=clock,
        make_heartbeat=lambda: heartbeat_of("a"),
    )
    return peers, clock


def test_each_kind_of_message_arrives():
    peers, _ = network()
    heartbeats, suspicions, healthy = [], [], []
    peers.on_heartbeat.append(heartbeats.append)
    peers.on_suspicion.append(suspicions.append)
    peers.on_target_healthy.append(healthy.append)
    suspicion = Suspicion(node="b", group="g", epoch=3, closing=True)
    for message in (heartbeat_of(), suspicion, Vouch(node="b", targets=("t",))):
        peers.datagram_received(encode(message), SENDER)
    assert decode_loads(heartbeats[0]) == LOADS
    assert suspicions == [suspicion]
    assert healthy == ["t"]
    assert peers.host_count == 2


def test_a_silent_peer_counts_no_more():
    peers, clock = network()
    peers.datagram_received(encode(heartbeat_of()), SENDER)
    clock.time += GONE_SECONDS + 0.1
    assert peers.host_count == 1


def test_a_nodes_own_message_is_no_peer():
    peers, _ = network()
    peers.datagram_received(encode(heartbeat_of("a")), SENDER)
    assert peers.host_count == 1


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.one_of(st.binary(max_size=200), st.integers().map(cbor2.dumps)))
def test_no_datagram_makes_a_node_fail(data):
    peers, _ = network()
    peers.datagram_received(data, SENDER)
    assert peers.host_count == 1


async def test_nodes_find_one_another_through_their_rows():
    table = MemoryTable()
    first, _ = network(table)
    assert await first._write_row()
    second = PeerNetwork(
        name="b",
        incarnation="1",
        address="127.0.0.1:9",
        table=table,
        clock=FakeClock(),
        make_heartbeat=heartbeat_of,
    )
    assert await second._read_rows()
    assert second._addresses == {"a": "127.0.0.1:8"}


def test_the_row_of_a_host_that_is_gone_for_good_is_deleted():
    """Guards against parts of the retry budget that lie idle for good."""

    async def run():
        table = MemoryTable()
        row = {"address": "127.0.0.1:9", "incarnation": "1"}
        put = Put(key="nodes/gone", value=row)
        table.apply(Transaction(transaction="t", puts=(put,)))
        node, _ = network(table, clock=VirtualClock())
        task = asyncio.create_task(node.run_node_rows())
        counts = []
        for _ in range(2):
            await asyncio.sleep(COUNTED_SECONDS - 20.0)
            counts.append(node.registry.count(node._clock.now()))
        await cancel_task(task)
        return counts, list(table._rows), list(node._addresses)

    counts, rows, addresses = run_in_virtual_time(run())
    assert (counts, rows, addresses) == ([2, 1], ["nodes/a"], [])


@pytest.mark.parametrize(("age", "is_written"), [(20.0, True), (90.0, False)])
def test_a_row_that_a_copy_may_lack_is_written_again(age, is_written):
    """Guards against hosts that those that start after a restore cannot find."""

    async def run():
        table = MemoryTable()
        node, _ = network(table, clock=VirtualClock())
        task = asyncio.create_task(node.run_node_rows())
        await asyncio.sleep(age)
        table._rows.clear()
        node.rewrite_row()
        await asyncio.sleep(1.0)
        await cancel_task(task)
        return list(table._rows)

    assert run_in_virtual_time(run()) == (["nodes/a"] if is_written else [])


def test_in_a_large_fleet_each_peer_hears_less_often():
    """Guard against nodes that spend most of their bandwidth on heartbeats.

    The fleet grows to hundreds of nodes, and each sends heartbeats to each other one.
    The interval between heartbeats did not depend on the number of nodes.
    """
    peers, _ = network()
    small_fleet_interval = peers.interval
    peers.is_candidate = False
    for number in range(380):
        peers._addresses[str(number)] = "127.0.0.1:1"
    assert peers.interval > 5.0
    assert small_fleet_interval <= 0.1


def test_a_host_of_a_large_fleet_hears_no_more_than_it_did_at_one_pace():
    """Guard against few hosts whose heartbeats cost the others what the many save.

    Four hosts of 380 send heartbeats at a higher rate. That rate did not take into
    account how many heartbeats each host then receives.
    """
    peers, _ = network()
    for number in range(380):
        peers._addresses[str(number)] = "127.0.0.1:1"
    seconds_per_peer = 1 / CANDIDATE_HEARTBEATS_PER_SECOND
    assert peers.interval == 380 * seconds_per_peer
    candidate_rate = 4 / peers.interval
    peers.is_candidate = False
    assert candidate_rate + 376 / peers.interval < SMALL_FLEET_HEARTBEATS_PER_SECOND / 2


TARGET = Target(
    id="t",
    service="s",
    address="10.0.0.1:80",
    data_centre="a",
    slots=4,
    model="m",
    staged=("m",),
    membership=Membership(group="g", epoch=3, rank=0, phase=GroupPhase.OPEN),
    born=5,
)
CRASHED = CrashRecord(
    request="f1",
    endings=(Ending(process=Process(id="t", born=5), ran=0.1),),
    age=2.0,
)
ACCUSED = PartRecord(
    part="1f2e3d4c:5c1e07a2",
    endings=(
        PartEnding(
            process=Process(id="t", born=None),
            request="f1",
            companions=("1f2e3d4c:91bd",),
            age=0.5,
            early=True,
        ),
    ),
)
EVACUATED = Evacuations(revision=7, data_centres=("a",))
MESSAGES_OF_EACH_KIND = (
    heartbeat_of(),
    Suspicion(node="b", group="g", epoch=3),
    GroupBroken(
        node="b",
        group="g",
        epoch=3,
        head=TARGET.process,
        cause=BreakCause.REFUSED,
    ),
    GroupBroken(
        node="b",
        group="g",
        epoch=3,
        head=Process(id="t", born=None),
        cause=BreakCause.RESTARTED,
    ),
    Vouch(node="b", targets=("t",)),
    SilenceQuestion(node="b", group="g", epoch=3, silent=0.5),
    Advance(node="b", group="g", epoch=3),
    SilencesQuestion(node="b"),
    SilencesAnswer(
        node="b", silences=(WatchedSilence(group="g", epoch=3, silent=0.5),)
    ),
    Digest(node="b", version=3, last_change=4, loads=encode_loads(LOADS)),
    ListChange(
        node="b",
        previous=3,
        revision=4,
        targets=(TARGET,),
        removed=("u",),
        unreadable=("v",),
    ),
    Work(node="b", loads=encode_loads(LOADS), grant_number=2),
    Digest(
        node="b",
        version=3,
        last_change=4,
        loads=encode_loads(LOADS, dict.fromkeys(LOADS, 2.5)),
    ),
    PlaceQuestion(
        node="b",
        number=3,
        service="s",
        model="m",
        prompt_tokens=100,
        objective=0.3,
        on_time=0.1,
        patience=1.2,
        priority=1,
        has_begun=True,
        avoided=("g",),
        gap_objective=0.1,
    ),
    PlaceAnswer(
        node="b",
        number=3,
        verdict=PlaceVerdict.GRANTED,
        group="g",
        epoch=1,
        grant_number=2,
        wait=0.5,
    ),
    VersionQuestion(node="b", number=3),
    VersionAnswer(node="b", number=3, version=4, age=0.5, evacuations=EVACUATED),
    ConfigurationPart(node="b", version=3, data=b"x", part=1, parts=2),
    ConfigurationQuestion(node="b"),
    LivenessQuestion(node="b", number=3, target="t"),
    LivenessAnswer(node="b", number=3, alive=True),
    EndedHeads(node="b", heads=(TARGET.process, Process(id="t", born=None))),
    CrashRecords(node="b", records=(CRASHED,), answer=True),
    PartRecords(node="b", records=(ACCUSED,), answer=True),
    CrashQuestion(node="b"),
    RateLimitNews(
        node="b",
        limits=(
            TargetLimit(process=TARGET.process, limit=1.5, age=0.1),
            TargetLimit(process=TARGET.process, limit=None, age=0.1),
        ),
    ),
    ColdNews(
        node="b",
        states=(ColdState(process=TARGET.process, seconds=1.5, age=0.1),),
    ),
)
# Invalid values of fields, by the type of the field.
INVALID_VALUES = {
    str: (7, None, True, [], {}, b"x", "a\nb", "x" * 2000),
    bool: (7, None, "x", []),
    int: ("4", None, True, 1.5, -1, 2**60, []),
    bytes: ("4", None, True, 7, [], {}),
    float: ("4", None, True, -0.5, float("nan"), float("inf"), 1e300, []),
    tuple: (7, None, True, "x", {}, [7], [None], [[]]),
    LoadColumns: (7, None, True, "x", [], [["g"], [1], [1]], [["g"], [1], [1], []]),
    PlaceVerdict: (7, None, True, [], "", "gone"),
    BreakCause: (7, None, True, [], "", "gone"),
    Process: (7, None, True, "x", [], ["t"], ["t", "5"], ["t", True], [None, 5]),
    Evacuations: (7, None, True, "x", [], [-1, []], [7, "a"], [7, [""]], [7, [8]]),
}


def invalid_messages():
    """Yield each message with one field whose value is invalid for its type."""
    for message in MESSAGES_OF_EACH_KIND:
        name, plain = type(message).__name__, to_compact(message)
        for index, field in enumerate(fields(message)):
            value = getattr(message, field.name)
            for invalid in INVALID_VALUES[type(value)]:
                changed = [*plain[:index], invalid, *plain[index + 1 :]]
                case = f"{name}-{field.name}-{invalid!r:.20}"
                yield pytest.param(name, changed, id=case)


def recording_network():
    """Build a network that records all messages that it accepts."""
    peers, _ = network()
    accepted = []
    for name, listeners in vars(peers).items():
        if name.startswith("on_"):
            listeners.append(accepted.append)
    return peers, accepted


def test_all_kinds_of_messages_are_tried():
    assert {type(m).__name__ for m in MESSAGES_OF_EACH_KIND} == set(MESSAGE_CLASSES)


@pytest.mark.parametrize("message", MESSAGES_OF_EACH_KIND)
def test_a_whole_message_is_read_as_it_was_sent(message):
    assert read_message(encode(message)) == message


@pytest.mark.parametrize(("name", "plain"), list(invalid_messages()))
def test_a_message_with_one_wrong_field_is_not_taken(name, plain):
    """Guard against nodes that take peers for dead or lose the lead at random.

    A datagram of another program, or of another version of this one, has a field of
    another type or out of range. Fields were converted to their type, or compared
    without a check.
    """
    peers, accepted = recording_network()
    peers.datagram_received(cbor2.dumps([name, plain]), SENDER)
    assert accepted == []
    assert peers.host_count == 1


@pytest.mark.parametrize(
    "address", ["", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"]
)
def test_a_peers_bad_address_does_not_stop_the_messages_to_the_others(address):
    """Guard against a node that stops sending and is taken for dead by all others.

    A heartbeat or a row contains an address without a port. The address was split when
    a message was sent, and the exception ended the task that sends heartbeats.
    """
    peers, _ = network()
    sent = []
    peers._transport = FakeTransport(sent=sent)
    peers.datagram_received(encode(replace(heartbeat_of("c"), address=address)), SENDER)
    peers.datagram_received(encode(heartbeat_of("b")), SENDER)
    peers.broadcast(Advance(node="a", group="g", epoch=1))
    assert sent == [("127.0.0.1", 9)]


def test_a_peers_name_as_address_is_never_looked_up():
    peers, _ = network()
    peers.datagram_received(
        encode(replace(heartbeat_of(), address="peer.example:9")), SENDER
    )
    assert peers.host_count == 1


@pytest.mark.parametrize("interval", [0.0, 1e6])
def test_a_peer_cannot_be_silent_for_ever_and_count_as_alive(interval):
    peers, _ = network()
    peers.datagram_received(encode(heartbeat_of(interval=interval)), SENDER)
    assert peers.host_count == 1


def test_a_listener_that_fails_does_not_end_the_listening():
    peers, _ = network()
    peers.on_heartbeat.append(lambda heartbeat: 1 / 0)
    peers.datagram_received(encode(heartbeat_of()), SENDER)
    assert peers.host_count == 2


BAD_NODE_ROWS = [
    {},
    {"address": "127.0.0.1:7"},
    {"address": 7, "incarnation": "1"},
    {"address": "x", "incarnation": "1"},
    {"address": "127.0.0.1:7", "incarnation": None},
]


@pytest.mark.parametrize("value", BAD_NODE_ROWS)
async def test_a_row_that_cannot_be_read_leaves_the_other_nodes(value):
    """Guard against starting nodes that do not discover each other.

    Another writer puts a row among the nodes' rows. Decoding it raised an exception,
    which ended the task that reads the rows.
    """
    table = MemoryTable()
    table.apply(Transaction(transaction="x", puts=(Put(key="nodes/0", value=value),)))
    first, _ = network(table)
    assert await first._write_row()
    second = PeerNetwork(
        name="b",
        incarnation="1",
        address="127.0.0.1:9",
        table=table,
        clock=FakeClock(),
        make_heartbeat=heartbeat_of,
    )
    assert await second._read_rows()
    assert second._addresses == {"a": "127.0.0.1:8"}


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3) | st.integers(), inner, max_size=3)
    ),
    max_leaves=10,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=100) | VALUES.map(cbor2.dumps))
def test_no_bytes_and_no_value_are_taken_for_a_message(data):
    peers, accepted = recording_network()
    peers.datagram_received(data, SENDER)
    assert accepted == []


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.sampled_from(MESSAGES_OF_EACH_KIND), st.data())
def test_a_message_with_one_changed_field_is_whole_or_left_out(message, data):
    plain = list(to_compact(message))
    index = data.draw(st.integers(0, len(plain) - 1))
    plain[index] = data.draw(VALUES)
    found = read_message(cbor2.dumps([type(message).__name__, plain]))
    if isinstance(found, Unreadable):
        return
    for field, hint in get_type_hints(type(found)).items():
        assert isinstance(getattr(found, field), get_origin(hint) or _base(hint))


def _base(hint):
    return getattr(hint, "__supertype__", hint)


@pytest.mark.parametrize(
    "data",
    [
        b"\x81" * 60_000,
        b"\x9b\x00\x00\x00\xff\xff\xff\xff\xff",
        b"\xd8\x1c\x81\xd8\x1d\x00",
        b"\xc4\x82\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01",
        b"\xc5\x82\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01",
        b"\xd8\x23\x62((",
        encode(Vouch(node="b", targets=("t" * 100,) * 700)),
    ],
)
def test_a_datagram_made_to_cost_much_is_left_out(data):
    peers, accepted = recording_network()
    peers.datagram_received(data, SENDER)
    assert accepted == []


def test_a_sum_of_work_just_below_nothing_leaves_the_message_readable():
    loads = encode_loads({("g", 3): (1, -0.7)})
    message = Work(node="b", loads=loads)
    assert read_message(encode(message)) == message


def test_the_word_of_a_broken_group_names_the_process_of_its_head():
    peers, _ = network()
    messages = []
    peers.on_group_broken.append(messages.append)
    message = GroupBroken(
        node="b",
        group="g",
        epoch=3,
        head=Process(id="e", born=5),
        cause=BreakCause.REFUSED,
    )
    peers.datagram_received(encode(message), SENDER)
    assert messages == [message]


def test_a_large_message_is_compressed_and_read_as_it_was_sent():
    """Guard against hosts that miss changes of the list and read it from the store.

    500 targets change at once, and nine datagrams of 7 KB go to 43 hosts.
    Entries that are mostly alike were sent uncompressed, and filled the link.
    """
    targets = tuple(replace(TARGET, id=f"t{number}") for number in range(60))
    change = ListChange(node="b", previous=3, revision=4, targets=targets, removed=())
    data = write_message(change)
    assert len(data) < 0.35 * len(encode(change))
    assert read_message(data) == change


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(b"0" * 10_000_000),
        zlib.compress(encode(heartbeat_of()))[:-4],
        b"\x78junk",
    ],
)
def test_what_cannot_be_unpacked_is_left_out(data):
    peers, accepted = recording_network()
    peers.datagram_received(data, SENDER)
    assert accepted == []


def test_a_node_that_was_never_heard_is_not_known_to_be_gone():
    peers, clock = network()
    assert not peers.has_stopped_planning("b", "1")
    peers.datagram_received(encode(heartbeat_of()), SENDER)
    assert not peers.has_stopped_planning("b", heartbeat_of().incarnation)
    assert peers.has_stopped_planning("b", "another")
    clock.time += GONE_SECONDS + 0.1
    assert peers.has_stopped_planning("b", heartbeat_of().incarnation)


@pytest.mark.parametrize("change", [{"store": False}, {"stopping": True}])
def test_a_node_that_cannot_plan_is_gone_for_the_lease(change):
    peers, _ = network()
    peers.datagram_received(encode(replace(heartbeat_of(), **change)), SENDER)
    assert peers.has_stopped_planning("b", heartbeat_of().incarnation)
