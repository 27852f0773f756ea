"""Leased chunks of a workspace's budget."""

from mallowpond.state.quota import Chunk, chunk_size, grantable_units


def test_chunk_is_never_overspent():
    chunk = Chunk(period=1, units=10)
    assert chunk.spend(11) is None
    assert chunk.spend(10) == Chunk(period=1, units=0)


def test_refund_gives_back():
    assert Chunk(period=1, units=1).refund(4).units == 5


def test_chunk_grows_with_use_up_to_a_share_of_the_budget():
    idle = chunk_size(budget=100_000, recent_per_second=0.0, needed=1)
    busy = chunk_size(budget=100_000, recent_per_second=1e6, needed=1)
    assert (idle, busy) == (100, 2000)


def test_grant_stops_at_the_budget():
    assert grantable_units(budget=100, leased=95, wanted=50, needed=1) == 5
    assert grantable_units(budget=100, leased=95, wanted=50, needed=6) is None
