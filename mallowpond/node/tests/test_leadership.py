"""Election of the planner when planners crash, pause or lose the store."""

import random
from dataclasses import dataclass, field

import pytest

from mallowpond.coordination.ports import Put, Transaction, UnreadableRow
from mallowpond.node.leadership import (
    DISCOVERY_SECONDS,
    LEASE_KEY,
    LEASE_SECONDS,
    RENEW_SECONDS,
    UNRENEWED_SECONDS,
    Leadership,
)
from mallowpond.node.messages import Heartbeat
from mallowpond.node.peers import Peer
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.standins.platform import MemoryTable, PlatformFaults


@dataclass(kw_only=True)
class FakePeers:
    """Peers whose heartbeats arrive; hosts in `unknown` have never sent any."""

    live: list = field(default_factory=list)
    last_planner: Peer | None = None
    unknown: frozenset = frozenset()

    def has_stopped_planning(self, node, incarnation):
        """Return whether a known host no longer plans."""
        return node not in self.unknown


def make_peer(name, planning=0, store=True, stopping=False, without_links=()):
    """Return a peer that sent such a heartbeat."""
    heartbeat = Heartbeat(
        node=name,
        incarnation="1",
        address="",
        version=1,
        sure=True,
        store=store,
        stopping=stopping,
        planning=planning,
        without_links=without_links,
    )
    return Peer(heartbeat=heartbeat, heard_at=0.0)


def leadership_of(name, table, clock, peers=None, checks_fencing=True, **more):
    """Build a node's leadership and let its discovery time pass."""
    leadership = Leadership(
        name=name,
        incarnation=f"{name}/1",
        table=table,
        peers=peers or FakePeers(),
        clock=clock,
        rng=random.Random(1),
        checks_fencing=checks_fencing,
        can_plan=lambda: True,
        **more,
    )
    clock.time += DISCOVERY_SECONDS
    return leadership


async def test_a_lone_node_plans_after_it_has_listened():
    clock, table = FakeClock(), MemoryTable()
    leadership = Leadership(
        name="a",
        incarnation="1",
        table=table,
        peers=FakePeers(),
        clock=clock,
        rng=random.Random(1),
        checks_fencing=True,
        can_plan=lambda: True,
    )
    await leadership.step()
    assert leadership.fence == 0
    clock.time += DISCOVERY_SECONDS
    await leadership.step()
    assert leadership.fence == 1


async def test_of_two_that_race_one_plans():
    clock, table = FakeClock(), MemoryTable()
    first = leadership_of("a", table, clock)
    second = leadership_of("b", table, clock, checks_fencing=False)
    await first.step()
    await second.step()
    assert (first.fence, second.fence) == (1, 0)


async def test_a_successor_has_a_higher_number_and_the_old_one_steps_down():
    """Guards against two planners that order at the same time.

    A planner was cut off from its peers, another one took over, and when the connection
    returned, the old one continued to plan without checking its lease.
    """
    clock, table = FakeClock(), MemoryTable()
    old = leadership_of("a", table, clock)
    await old.step()
    new = leadership_of("b", table, clock)
    await new.step()
    assert new.fence == 2
    clock.time += RENEW_SECONDS
    await old.step()
    assert old.fence == 0
    assert new.fence == 2


async def test_a_planner_steps_down_when_a_peer_plans_with_a_higher_number():
    clock, table, peers = FakeClock(), MemoryTable(), FakePeers()
    leadership = leadership_of("a", table, clock, peers)
    await leadership.step()
    peers.live = [make_peer("b", planning=2)]
    await leadership.step()
    assert leadership.fence == 0


async def test_without_fencing_a_woken_planner_gives_no_order():
    """Guards against engines that accept orders of two planners without fencing checks.

    A planner paused, its lease expired and another node acquired it. The first planner
    resumed and sent orders before its next renewal, because its lease did not expire.
    """
    clock, table = FakeClock(), MemoryTable()
    leadership = leadership_of("a", table, clock, checks_fencing=False)
    await leadership.step()
    assert leadership.fence == 1
    clock.time += LEASE_SECONDS
    assert leadership.fence == 0


async def test_without_fencing_a_lease_is_waited_out():
    clock, table = FakeClock(), MemoryTable()
    old = leadership_of("a", table, clock, checks_fencing=False)
    await old.step()
    new = leadership_of("b", table, clock, checks_fencing=False)
    await new.step()
    assert new.fence == 0
    clock.time += LEASE_SECONDS
    await new.step()
    assert new.fence == 0
    clock.time += RENEW_SECONDS + 0.1
    await new.step()
    assert new.fence == 2


async def test_with_fencing_a_planner_works_on_while_the_store_is_away():
    clock, table = FakeClock(), MemoryTable()
    leadership = leadership_of("a", table, clock)
    await leadership.step()
    table.faults = PlatformFaults(down=True)
    clock.time += 2 * LEASE_SECONDS
    await leadership.step()
    assert leadership.fence == 1


async def test_a_lost_answer_to_a_renewal_is_settled_by_reading():
    clock, table = FakeClock(), MemoryTable()
    leadership = leadership_of("a", table, clock)
    await leadership.step()
    table.faults = PlatformFaults(lost_answers=1)
    clock.time += RENEW_SECONDS
    await leadership.step()
    assert leadership.fence == 1
    assert leadership.renewal_age == 0.0


async def test_nobody_takes_over_from_a_planner_that_is_heard_of():
    clock, table = FakeClock(), MemoryTable()
    peers = FakePeers(live=[make_peer("b", planning=4)])
    leadership = leadership_of("a", table, clock, peers)
    await leadership.step()
    assert leadership.fence == 0


async def test_a_planner_without_the_store_is_replaced():
    clock, table = FakeClock(), MemoryTable()
    peers = FakePeers(live=[make_peer("b", planning=4, store=False)])
    leadership = leadership_of("a", table, clock, peers)
    await leadership.step()
    assert leadership.fence == 1


def overwrite_lease(table, value):
    """Write a value over the lease row, as another writer would."""
    put = Put(key=LEASE_KEY, value=value)
    return table.apply(Transaction(transaction="x", puts=(put,))).version


INVALID_LEASES = [
    {},
    {"holder": "b", "incarnation": "b/1"},
    {"holder": "b", "incarnation": "b/1", "fence": "3"},
    {"holder": "b", "incarnation": "b/1", "fence": True},
    {"holder": "b", "incarnation": "b/1", "fence": -1},
    {"holder": "b", "incarnation": "b/1", "fence": 2**60},
    {"holder": 7, "incarnation": "b/1", "fence": 3},
    # Each holder writes the next number in a transaction of its own, so no number can
    # be higher than the version of its row.
    {"holder": "b", "incarnation": "b/1", "fence": 40},
]


@pytest.mark.parametrize("value", INVALID_LEASES)
@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_lease_that_cannot_be_read_is_not_free(value, checks_fencing):
    """Guards against a fleet without a planner after the lease row was overwritten.

    Another writer replaced the row with an invalid one. Its decoding raised an error
    that ended the task that acquires the lease. Treated as an absent lease instead, the
    next fencing number would start at 1 again and engines would refuse it, or two nodes
    would plan.
    """
    clock, table = FakeClock(), MemoryTable()
    for _ in range(6):
        table.apply(Transaction(transaction="y", puts=(Put(key="k/k", value={}),)))
    version = overwrite_lease(table, value)
    leadership = leadership_of("a", table, clock, checks_fencing=checks_fencing)
    await leadership.step()
    clock.time += LEASE_SECONDS + RENEW_SECONDS - 0.1
    await leadership.step()
    assert leadership.fence == 0
    clock.time += 0.2
    await leadership.step()
    assert leadership.fence == version + 1


async def test_a_lease_that_is_spoilt_anew_is_waited_out_anew():
    clock, table = FakeClock(), MemoryTable()
    overwrite_lease(table, {})
    leadership = leadership_of("a", table, clock)
    await leadership.step()
    clock.time += LEASE_SECONDS + RENEW_SECONDS + 0.1
    overwrite_lease(table, {})
    await leadership.step()
    assert leadership.fence == 0


async def test_a_holder_whose_lease_is_spoilt_steps_down_and_is_outnumbered():
    clock, table = FakeClock(), MemoryTable()
    old = leadership_of("a", table, clock)
    await old.step()
    overwrite_lease(table, {"holder": None})
    clock.time += RENEW_SECONDS
    await old.step()
    assert old.fence == 0
    new = leadership_of("b", table, clock)
    await new.step()
    clock.time += LEASE_SECONDS + RENEW_SECONDS + 0.1
    await new.step()
    assert new.fence > 1


async def test_a_row_whose_value_cannot_be_read_at_all_is_not_free():
    class UnreadableTable(MemoryTable):
        async def read(self, key):
            return UnreadableRow(key=key, version=7, reason="bytes")

    clock, table = FakeClock(), UnreadableTable()
    for _ in range(6):
        table.apply(Transaction(transaction="y", puts=(Put(key="k/k", value={}),)))
    assert overwrite_lease(table, {}) == 7
    leadership = leadership_of("a", table, clock)
    await leadership.step()
    assert leadership.fence == 0
    clock.time += LEASE_SECONDS + RENEW_SECONDS + 0.1
    await leadership.step()
    assert leadership.fence == 8


async def test_a_lease_is_confirmed_only_by_its_own_row():
    """Guards against two nodes that order the same targets.

    A planner paused while another one acquired the lease, or while the store was
    unreachable, and then trusted its lease without checking the row.
    """
    clock, table = FakeClock(), MemoryTable()
    first, second = (leadership_of(name, table, clock) for name in "ab")
    await first.step()
    assert await first.confirm()
    await second._acquire()
    assert not await first.confirm()
    assert first.fence == 0
    assert await second.confirm()
    clock.time += 2.0
    table.faults = PlatformFaults(down=True)
    assert not await second.confirm()


async def test_a_host_that_has_not_heard_the_planner_does_not_replace_it():
    """Guards against a lease that changes its holder over and over at a fleet's start.

    The strongest host held the lease. A weaker host had just started, had no heartbeat
    of it yet, and ranked first among the hosts that it knew, so it took the lease
    without checking the row. The lease changed hands five times in a second and ended
    with a host that had half a core.
    """
    clock, table = FakeClock(), MemoryTable()
    holder = leadership_of("a", table, clock)
    await holder.step()
    assert holder.fence == 1
    other = leadership_of("b", table, clock, FakePeers(unknown={"a"}))
    for _ in range(40):
        clock.time += 0.2
        await holder.step()
        await other.step()
    assert (holder.fence, other.fence) == (1, 0)


async def test_a_planner_whose_heartbeats_end_is_replaced_at_once():
    clock, table = FakeClock(), MemoryTable()
    await leadership_of("a", table, clock).step()
    other = leadership_of("b", table, clock, FakePeers())
    await other.step()
    assert other.fence == 2


async def test_a_lease_that_nobody_renews_is_taken_from_a_host_that_is_not_known():
    clock, table = FakeClock(), MemoryTable()
    await leadership_of("a", table, clock).step()
    other = leadership_of("b", table, clock, FakePeers(unknown={"a"}))
    await other.step()
    assert other.fence == 0
    clock.time += UNRENEWED_SECONDS + 0.1
    await other.step()
    assert other.fence == 2


async def test_a_planner_without_links_hands_over_to_a_node_that_has_them():
    """Guards against a planner that dissolves the groups that it cannot reach."""
    clock, table = FakeClock(), MemoryTable()
    has_links = True
    peers = FakePeers(live=[make_peer("b", without_links=("engines",))])
    holder = leadership_of("a", table, clock, peers, has_links=lambda: has_links)
    await holder.step()
    has_links = False
    await holder.step()
    assert holder.fence > 0
    peers.live = [make_peer("c")]
    await holder.step()
    assert holder.fence == 0


async def test_a_node_without_links_takes_no_lease():
    clock, table = FakeClock(), MemoryTable()
    node = leadership_of("a", table, clock, has_links=lambda: False)
    await node.step()
    assert node.fence == 0
