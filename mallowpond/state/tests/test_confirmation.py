"""How long a node may admit requests by a version after its confirmation."""

from mallowpond.state.confirmation import Confirmation, may_admit, merge_confirmation

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
