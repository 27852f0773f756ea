"""The planner's lease after the store came back from a copy."""

import random

import pytest

from mallowpond.node.leadership import (
    DISCOVERY_SECONDS,
    LEASE_SECONDS,
    RENEW_SECONDS,
    Leadership,
)
from mallowpond.node.store_era import KnownEra
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.node.tests.test_leadership import FakePeers
from mallowpond.platform.store import PlatformStore
from mallowpond.standins.observatory_store import ObservatoryStore
from mallowpond.state.fences import FENCES_PER_ERA
from mallowpond.state.revision import version_of
from mallowpond.transport.http_client import BufferedResponse
from mallowpond.transport.http_server import HttpRequest

PLANNER_ROW = ("leases", "", "planner")


class LocalHttp:
    """HTTP client of a stand-in of the store in this process."""

    def __init__(self, store):
        self._store = store

    async def fetch_response(self, address, method, target, *, body=b"", **more):
        """Return the answer of the stand-in."""
        request = HttpRequest(method=method, target=target, headers={}, body=body)
        exchange = RecordedExchange()
        await self._store._answer(request, exchange)
        return exchange.response


class RecordedExchange:
    """Records the answer."""

    async def respond(self, status, body=b"", headers=()):
        """Record the answer."""
        self.response = BufferedResponse(
            status=status, headers=dict(headers), body=body
        )


class Host:
    """The leadership of one host, with its own client of the store."""

    def __init__(self, name, store, clock, checks_fencing=True):
        self.table = PlatformStore(http=LocalHttp(store), address="")
        self.era, self.peers = KnownEra(), FakePeers()
        self.table.on_newer_era.append(self.era.observe)
        self.leadership = Leadership(
            name=name,
            incarnation=f"{name}/1",
            table=self.table,
            peers=self.peers,
            clock=clock,
            rng=random.Random(1),
            checks_fencing=checks_fencing,
            can_plan=lambda: True,
            era=self.era,
        )

    @property
    def fence(self):
        """Return the fencing number in force."""
        return self.leadership.fence

    async def step(self):
        """Hear from the store, then check the lease."""
        await self.table.targets(0)
        await self.leadership.step()


async def restore(store, copy):
    """Bring the store back from a copy."""
    await store._restore(copy, 0.0, 0.0)


async def planning_host(**more):
    """Return a store of which copies are kept, and a host that plans."""
    store, clock = ObservatoryStore(), FakeClock()
    store._apply({}, [])
    host = Host("a", store, clock, **more)
    clock.time += DISCOVERY_SECONDS
    await host.step()
    assert host.fence > FENCES_PER_ERA
    return store, clock, host


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_planner_goes_on_with_a_number_of_the_new_era(checks_fencing):
    """Guards against a fleet without a planner after the store was restored."""
    store, clock, host = await planning_host(checks_fencing=checks_fencing)
    copy, first = store._copies[-1], host.fence
    clock.time += RENEW_SECONDS
    await host.step()
    await restore(store, copy)
    reclaimed = []
    host.leadership.on_reclaimed.append(lambda: reclaimed.append(host.fence))
    await host.table.targets(0)
    assert host.fence == 0
    await host.leadership.step()
    assert reclaimed == [host.fence]
    assert host.fence > 2 * FENCES_PER_ERA > first
    clock.time += RENEW_SECONDS
    await host.step()
    assert host.leadership.renewal_age == 0.0


async def test_a_number_that_was_given_out_in_the_lost_seconds_is_not_given_again():
    """Guards against two planners of one fence, whose orders engines both take."""
    store, clock, host = await planning_host()
    copy = store._copies[-1]
    other = Host("b", store, clock)
    clock.time += DISCOVERY_SECONDS
    await other.step()
    lost = other.fence
    assert lost == host.fence + 1
    await restore(store, copy)
    clock.time += LEASE_SECONDS + 1.0
    new = Host("c", store, clock)
    clock.time += DISCOVERY_SECONDS
    await new.step()
    assert new.fence > lost


async def test_a_renewal_of_an_earlier_era_does_not_count_on_another_holders_row():
    """Guards against two holders of which each has renewed the lease."""
    store, clock, host = await planning_host()
    copy = store._copies[0]
    for _ in range(3):
        clock.time += RENEW_SECONDS
        await host.step()
    await restore(store, copy)
    clock.time += LEASE_SECONDS + 1.0
    other = Host("b", store, clock)
    clock.time += DISCOVERY_SECONDS
    await other.step()
    expected = version_of(host.leadership._version)
    while store._version_of(PLANNER_ROW) < expected:
        clock.time += RENEW_SECONDS
        await other.step()
    assert store._version_of(PLANNER_ROW) == expected
    await host.leadership.renew()
    assert store._version_of(PLANNER_ROW) > expected
    assert host.fence == 0
    await host.step()
    assert host.fence == 0


async def test_a_holder_whose_lease_has_expired_does_not_reclaim_it():
    """Guards against a planner that takes over from the one that followed it."""
    store, clock, host = await planning_host(checks_fencing=False)
    copy = store._copies[-1]
    await restore(store, copy)
    clock.time += LEASE_SECONDS + 0.1
    await host.table.targets(0)
    await host.leadership.step()
    assert host.fence == 0


async def test_a_host_without_the_store_stops_when_a_peer_names_a_new_era():
    """Guards against orders under a lease that the restored store does not hold."""
    _, _, host = await planning_host()
    host.era.observe(2, source="b")
    assert host.fence == 0
