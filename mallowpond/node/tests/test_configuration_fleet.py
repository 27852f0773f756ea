"""Tests of how soon every host of a fleet has a change while readers fail."""

import asyncio

import pytest

from mallowpond.emulator.configuration_fleet import ConfigurationFleet
from mallowpond.emulator.virtual_time import run_in_virtual_time
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.settings import NodeBounds

# Share of the bound for a change within which every host with a path must have it.
SHARE = 0.6
# Bounds of deployments for a change and for revoked keys, in seconds.
SMALL_BOUNDS = (2.0, 5.0)
LARGE_BOUNDS = (3.0, 5.0)
SETTLE_SECONDS = 4.0
# A tenth more than two readers with polls of 1.5 s make.
CALM_READS_PER_SECOND = 1.1 * 2.0 / 1.5
WATCHED_SECONDS = 6.0


def fleet_of(host_count, bounds):
    """Build a fleet whose hosts have these bounds."""

    node_bounds = NodeBounds(apply=bounds[0], revoke=bounds[1])

    def build_follower(source, clock):
        return ConfigurationFollower(source=source, clock=clock, bounds=node_bounds)

    return ConfigurationFleet(host_count=host_count, build_follower=build_follower)


def silence_all(fleet):
    """Silence every connection to the store."""
    for host in fleet.hosts:
        host.source.silence()


def silence_readers(fleet):
    """Silence the connections of the hosts that read the store."""
    for host in fleet.readers:
        host.source.silence()


def kill_readers(fleet):
    """Let the readers end without a message."""
    for host in fleet.readers:
        host.is_alive = False
        host.source.is_cut = True


def isolate_readers(fleet):
    """Cut the readers off from all other hosts, but not from the store."""
    for host in fleet.readers:
        host.is_isolated = True


def cut_readers(fleet):
    """Cut the readers off from the store; other hosts reach them."""
    for host in fleet.readers:
        host.source.is_cut = True


def refuse_readers(fleet):
    """Let the store refuse the readers."""
    for host in fleet.readers:
        host.source.is_refused = True


DISRUPTIONS = [
    silence_all,
    silence_readers,
    kill_readers,
    isolate_readers,
    cut_readers,
    refuse_readers,
]


def latest_arrival(
    fleet, disruptions, *, moment=0.0, gap=0.5, loss=0.0, watched=WATCHED_SECONDS
):
    """Return the longest time from a change to a host that has it, in seconds.

    The change is accepted just after the last of the disruptions, `gap` seconds apart.
    The first comes `moment` seconds after the fleet has settled.
    """

    async def play():
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS + moment)
        fleet.loss = loss
        for number, disrupt in enumerate(disruptions):
            if number:
                await asyncio.sleep(gap)
            disrupt(fleet)
        await asyncio.sleep(0.05)
        version = fleet.store.apply()
        accepted_at = asyncio.get_running_loop().time()
        await asyncio.sleep(watched)
        found = fleet.in_force_after(version, accepted_at)
        await fleet.close()
        return max(found.values())

    return run_in_virtual_time(play())


@pytest.mark.parametrize("moment", [0.0, 0.4, 0.9, 1.3])
@pytest.mark.parametrize("disrupt", DISRUPTIONS)
@pytest.mark.parametrize("host_count", [3, 7])
def test_a_change_is_in_force_in_time_whatever_happens_to_the_readers(
    host_count, disrupt, moment
):
    """Guards against hosts that follow readers whose knowledge grows old."""
    fleet = fleet_of(host_count, SMALL_BOUNDS)
    late = latest_arrival(fleet, [disrupt], moment=moment)
    assert late <= SHARE * SMALL_BOUNDS[0]


@pytest.mark.parametrize("disrupt", DISRUPTIONS)
def test_a_change_is_in_force_in_time_at_all_hosts_of_a_large_fleet(disrupt):
    """Guards against many hosts that depend on the knowledge of two."""
    fleet = fleet_of(124, LARGE_BOUNDS)
    late = latest_arrival(fleet, [disrupt], moment=0.9)
    assert late <= SHARE * LARGE_BOUNDS[0]


def test_a_change_is_in_force_in_time_at_all_hosts_of_the_largest_fleet():
    """Guards against a takeover whose time grows with the number of hosts."""
    fleet = fleet_of(380, LARGE_BOUNDS)
    late = latest_arrival(fleet, [silence_all], watched=3.0)
    assert late <= SHARE * LARGE_BOUNDS[0]


@pytest.mark.parametrize("gap", [0.3, 1.0, 3.0])
@pytest.mark.parametrize("disrupt", [silence_all, kill_readers, cut_readers])
@pytest.mark.parametrize(
    ("host_count", "bounds"),
    [(7, SMALL_BOUNDS), (124, LARGE_BOUNDS)],
    ids=["7 hosts", "124 hosts"],
)
def test_a_change_is_in_force_in_time_as_readers_fail_twice_in_a_row(
    host_count, bounds, disrupt, gap
):
    """Guards against elections whose times add up."""
    fleet = fleet_of(host_count, bounds)
    late = latest_arrival(fleet, [disrupt, disrupt], gap=gap)
    assert late <= SHARE * bounds[0]


def reads_between(fleet, start, end):
    """Count the reads of the configuration in an interval after the start."""
    return sum(start <= at < end for at in fleet.store.reads_at)


@pytest.mark.parametrize(
    ("host_count", "bounds"),
    [(3, SMALL_BOUNDS), (7, SMALL_BOUNDS), (124, LARGE_BOUNDS)],
)
def test_a_calm_fleet_reads_no_more_often_than_two_readers_need(host_count, bounds):
    """Guards against hosts that take recent knowledge for old."""

    async def play():
        await fleet.start()
        await asyncio.sleep(25.0)
        await fleet.close()

    fleet = fleet_of(host_count, bounds)
    run_in_virtual_time(play())
    assert reads_between(fleet, 5.0, 25.0) <= 20.0 * CALM_READS_PER_SECOND


@pytest.mark.parametrize("host_count", [7, 124])
def test_few_hosts_read_as_all_connections_fall_silent(host_count):
    """Guards against a store that every host calls at once and again."""
    bounds = SMALL_BOUNDS if host_count == 7 else LARGE_BOUNDS
    fleet = fleet_of(host_count, bounds)
    latest_arrival(fleet, [silence_all])
    began = SETTLE_SECONDS
    assert reads_between(fleet, began, began + bounds[0]) <= 20


@pytest.mark.parametrize("host_count", [7, 124])
def test_a_change_is_in_force_in_time_while_datagrams_are_lost(host_count):
    """Guards against hosts that wait for a datagram that does not come."""
    bounds = SMALL_BOUNDS if host_count == 7 else LARGE_BOUNDS
    fleet = fleet_of(host_count, bounds)
    late = latest_arrival(fleet, [silence_all], moment=0.5, loss=0.05)
    assert late <= SHARE * bounds[0]


def test_a_host_may_serve_all_the_while_the_store_is_down():
    """Guards against requests that are refused as the store does not answer."""

    async def play():
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.store.is_down = is_refusing
        for host in fleet.hosts:
            host.source.is_cut = not is_refusing
        refusing = 0
        for _ in range(200):
            await asyncio.sleep(0.05)
            refusing += sum(not host.configuration.may_run for host in fleet.hosts)
        await fleet.close()
        return refusing

    for is_refusing in (True, False):
        fleet = fleet_of(7, SMALL_BOUNDS)
        assert run_in_virtual_time(play()) == 0


@pytest.mark.parametrize("host_count", [1, 7])
def test_a_configuration_that_cannot_be_read_is_not_read_over_and_over(host_count):
    """Guards against hosts that call the store without a pause for what stays old."""

    async def play():
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.store.is_unreadable = True
        fleet.store.apply()
        await asyncio.sleep(10.0)
        await fleet.close()

    fleet = fleet_of(host_count, SMALL_BOUNDS)
    run_in_virtual_time(play())
    calls = reads_between(fleet, SETTLE_SECONDS, SETTLE_SECONDS + 10.0)
    assert calls <= 10.0 * (CALM_READS_PER_SECOND + host_count)
