"""Leases that do not compare clocks across hosts."""

from mallowpond.state.lease import ExpiryWatch, HeldLease


def test_lease_lapses_when_counter_stands_still():
    watch = ExpiryWatch(lease_seconds=3.0)
    watch.observe("a", 1, now=10.0)
    watch.observe("a", 1, now=12.9)
    assert not watch.is_expired("a", now=12.9)
    assert watch.is_expired("a", now=13.0)


def test_lease_stays_while_counter_moves():
    watch = ExpiryWatch(lease_seconds=3.0)
    for tick in range(10):
        watch.observe("a", tick, now=float(tick))
    assert not watch.is_expired("a", now=11.9)


def test_never_observed_holder_is_not_lapsed():
    assert not ExpiryWatch(lease_seconds=3.0).is_expired("a", now=100.0)


def test_outage_of_the_table_lapses_nobody():
    """Guard against controllers that all take over from each other after an outage.

    The table is unreachable for a minute, and the first read afterwards shows unchanged
    counters. Time without reads must not count towards the expiry of a lease.
    """
    watch = ExpiryWatch(lease_seconds=3.0)
    watch.observe("a", 1, now=0.0)
    watch.postpone(60.0)
    watch.observe("a", 1, now=60.5)
    assert not watch.is_expired("a", now=60.5)
    assert watch.is_expired("a", now=63.0)


def test_holder_stops_before_observer_takes_over():
    asked_at, seen_at = 10.0, 10.4
    held = HeldLease(fence=1, version=1, valid_until=asked_at + 3.0)
    watch = ExpiryWatch(lease_seconds=3.0)
    watch.observe("a", 1, now=seen_at)
    first_expiry = seen_at + 3.0
    assert watch.is_expired("a", now=first_expiry)
    assert not held.is_valid(first_expiry)
