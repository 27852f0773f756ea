"""Which hosts count as being at work."""

from mallowpond.state.host_registry import (
    COUNTED_SECONDS,
    REGISTERED_SECONDS,
    RENEW_SECONDS,
    HostRegistry,
)


def test_a_silent_host_counts_for_longer_than_it_may_take_its_part():
    """Guards against a part that two sides of a long cut both take."""
    registry = HostRegistry()
    registry.record_rows({"b": 3}, 0.0)
    registry.record_written(0.0)
    assert registry.is_registered(REGISTERED_SECONDS - 1.0)
    assert not registry.is_registered(REGISTERED_SECONDS)
    assert REGISTERED_SECONDS + RENEW_SECONDS <= COUNTED_SECONDS
    assert registry.count(COUNTED_SECONDS - 1.0) == 2
    assert registry.count(COUNTED_SECONDS) == 1


def test_a_row_that_is_renewed_is_a_sign_of_its_host_and_one_that_stays_is_none():
    """Guards against hosts removed for good whose parts nobody takes."""
    registry = HostRegistry()
    registry.record_rows({"b": 3, "c": 4}, 0.0)
    registry.record_rows({"b": 7, "c": 4}, COUNTED_SECONDS - 1.0)
    assert registry.count(COUNTED_SECONDS) == 2
    assert registry.take_stale(COUNTED_SECONDS) == ["c"]
    assert registry.take_stale(COUNTED_SECONDS) == []


def test_a_host_that_has_not_read_the_rows_is_not_registered():
    """Guards against a host that starts without the store and takes it all."""
    registry = HostRegistry()
    registry.record_written(0.0)
    assert not registry.is_registered(1.0)
    registry.record_rows({}, 1.0)
    assert registry.is_registered(1.0)
    assert not registry.is_renewal_due(RENEW_SECONDS - 1.0)
    assert registry.is_renewal_due(RENEW_SECONDS)
