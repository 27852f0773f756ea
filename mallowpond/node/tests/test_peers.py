"""Messages between nodes, whole, doubled, or broken."""

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.node.peers import (
    GONE_SECONDS,
    HEARTBEATS_PER_SECOND,
    SENIOR_HEARTBEATS_PER_SECOND,
    GroupBroken,
    Heartbeat,
    PeerNetwork,
    Suspicion,
    Vouch,
    heartbeat_loads,
    loads_of,
)
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.codec import to_compact
from mallowpond.state.fleet import BreakCause, Process

LOADS = {("g", 3): (4, 500)}
SENDER = ("127.0.0.1", 1)


def beat(node="b", **more):
    """Write a heartbeat."""
    return Heartbeat(
        node=node,
        incarnation="1",
        address="127.0.0.1:9",
        version=1,
        sure=True,
        store=True,
        stopping=False,
        planning=0,
        loads=heartbeat_loads(LOADS),
        **more,
    )


def encode(message):
    """Return a message as it goes over the wire."""
    return cbor2.dumps([type(message).__name__, to_compact(message)])


def network(table=None):
    """Build a node's network that is not bound to a port."""
    clock = FakeClock()
    peers = PeerNetwork(
        name="a",
        incarnation="1",
        address="127.0.0.1:8",
        table=table or MemoryTable(),
        clock=clock,
        describe=lambda: beat("a"),
    )
    return peers, clock


def test_each_kind_of_message_arrives():
    peers, _ = network()
    heard, suspected, vouched = [], [], []
    peers.on_heartbeat.append(heard.append)
    peers.on_suspicion.append(suspected.append)
    peers.on_vouch.append(vouched.append)
    suspicion = Suspicion(node="b", group="g", epoch=3, closing=True)
    for message in (beat(), suspicion, Vouch(node="b", targets=("t",))):
        peers.datagram_received(encode(message), SENDER)
    assert loads_of(heard[0]) == LOADS
    assert suspected == [suspicion]
    assert vouched == ["t"]
    assert peers.hosts == 2


def test_a_silent_peer_counts_no_more():
    peers, clock = network()
    peers.datagram_received(encode(beat()), SENDER)
    clock.time += GONE_SECONDS + 0.1
    assert peers.hosts == 1


def test_a_nodes_own_message_is_no_peer():
    peers, _ = network()
    peers.datagram_received(encode(beat("a")), SENDER)
    assert peers.hosts == 1


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.one_of(st.binary(max_size=200), st.integers().map(cbor2.dumps)))
def test_no_datagram_makes_a_node_fail(data):
    peers, _ = network()
    peers.datagram_received(data, SENDER)
    assert peers.hosts == 1


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
        describe=beat,
    )
    assert await second._read_rows()
    assert second._addresses == {"a": "127.0.0.1:8"}


def test_in_a_large_fleet_each_peer_hears_less_often():
    """Symptom: nodes spend most of their network on heartbeats.

    Sequence: the fleet grows to hundreds of nodes, each telling each other.
    Cause: the pause between heartbeats did not follow from their number.
    """
    peers, _ = network()
    few = peers.interval
    peers.is_senior = False
    for number in range(380):
        peers._addresses[str(number)] = "127.0.0.1:1"
    assert peers.interval > 5.0
    assert few <= 0.1


def test_a_host_of_a_large_fleet_hears_no_more_than_it_did_at_one_pace():
    """Symptom: the few hosts that tell often cost the others what the many save.

    Sequence: four hosts of 380 tell how they are at a faster pace.
    Cause: their pace was chosen without counting what each host then hears.
    """
    peers, _ = network()
    for number in range(380):
        peers._addresses[str(number)] = "127.0.0.1:1"
    seldom = 1 / SENIOR_HEARTBEATS_PER_SECOND
    assert peers.interval == 380 * seldom
    often = 4 / peers.interval
    peers.is_senior = False
    assert often + 376 / peers.interval < HEARTBEATS_PER_SECOND / 2


def test_the_word_of_a_broken_group_names_the_process_of_its_head():
    peers, _ = network()
    heard = []
    peers.on_group_broken.append(heard.append)
    message = GroupBroken(
        node="b",
        group="g",
        epoch=3,
        head=Process(id="e", born=5),
        cause=BreakCause.REFUSED,
    )
    peers.datagram_received(encode(message), SENDER)
    assert heard == [message]
