"""How long a node may admit requests by a version after its confirmation."""

import pytest

from mallowpond.state.confirmation import (
    Confirmation,
    may_admit,
    may_deny,
    may_run,
    merge_confirmation,
)

BOUND = 5.0


def test_a_node_without_a_configuration_admits_nothing():
    assert not may_admit(None, now=0.0, bound_seconds=BOUND)


def test_a_key_that_was_taken_away_stops_working_within_the_bound():
    """Guard against a request with a revoked key that runs 6 s after the revocation.

    The store refuses the node, the key is revoked, and the node continues to serve
    because its confirmed version never expires.
    """
    known = Confirmation(version=3, confirmed_at=100.0)
    assert may_admit(known, now=104.0, bound_seconds=BOUND)
    assert not may_admit(known, now=104.8, bound_seconds=BOUND)
    assert not may_admit(known, now=160.0, bound_seconds=BOUND)


def test_versions_never_go_back():
    known = Confirmation(version=3, confirmed_at=100.0)
    assert merge_confirmation(known, version=2, confirmed_at=200.0) == known


def test_a_newer_version_brings_its_own_age():
    known = Confirmation(version=3, confirmed_at=100.0)
    newer = merge_confirmation(known, version=4, confirmed_at=90.0)
    assert newer == Confirmation(version=4, confirmed_at=90.0)


def test_an_older_confirmation_of_the_same_version_changes_nothing():
    known = Confirmation(version=3, confirmed_at=100.0)
    assert merge_confirmation(known, version=3, confirmed_at=99.0) == known


@pytest.mark.parametrize("bound", [2.0, 3.0, 8.0])
def test_what_may_have_been_replaced_is_neither_run_nor_refused_for_good(bound):
    """Guards against a decision by a version that was replaced the bound before."""
    known = Confirmation(version=3, confirmed_at=100.0)
    for age, expected in ((0.5 * bound, True), (bound, False)):
        now = 100.0 + age
        ran = may_run(known, now=now, bound_seconds=bound, is_store_lost=False)
        denied = may_deny(known, now=now, bound_seconds=bound)
        assert ran is denied is expected


def test_a_host_that_lost_the_store_goes_on_with_what_it_knows():
    known = Confirmation(version=3, confirmed_at=100.0)
    assert may_run(known, now=900.0, bound_seconds=2.0, is_store_lost=True)
    assert not may_deny(known, now=900.0, bound_seconds=2.0)
    assert not may_run(None, now=900.0, bound_seconds=2.0, is_store_lost=False)
