"""Counters and weights of workspaces."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.state.service_counters import ACTIVE_SECONDS, ServiceCounters


@settings(max_examples=100, deadline=None)
@given(st.lists(st.integers(1, 200), min_size=1, max_size=24))
def test_weights_leave_every_workspace_its_shares(demands):
    """Guard against weights that starve a small workspace, or a large one.

    Each one's share by weight is at least half of an equal one, or a quarter of its
    part of the demand, whichever is more.
    """
    counters = ServiceCounters()
    names = [f"w{index}" for index in range(len(demands))]
    for now in (0.0, 1.0):
        for name, demand in zip(names, demands, strict=True):
            counters.record_arrival(name, 100.0 * demand, now)
    counters.record_arrival(names[0], 0.0, 2.0)
    weights = [counters.weight_of(name) for name in names]
    for weight, demand in zip(weights, demands, strict=True):
        share = weight / sum(weights)
        assert share >= 0.5 / len(demands)
        assert share >= 0.25 * demand / sum(demands)


def test_a_workspace_that_stopped_asking_counts_no_more():
    """Guard against weights that grow with workspaces that no longer ask."""
    counters = ServiceCounters()
    for index in range(20):
        counters.record_arrival(f"idle{index}", 100.0, 0.0)
    now = ACTIVE_SECONDS + 1.0
    for _ in range(8):
        counters.record_arrival("large", 100.0, now)
    counters.record_arrival("small", 100.0, now)
    counters.record_arrival("small", 100.0, now + 1.0)
    # Of two workspaces, none has 2.9 times the mean demand; of 22, `large` would.
    assert counters.weight_of("large") == 1.0
    assert counters.weight_of("small") == 1.0
