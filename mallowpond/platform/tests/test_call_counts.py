"""Calls to the store are counted by table and purpose."""

import structlog

from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.tests.fakes import FakeClock
from mallowpond.platform.call_counts import LOG_INTERVAL_SECONDS, CallCounts


def test_calls_are_counted_by_table_and_kind_and_told_at_times():
    clock, metrics = FakeClock(), NodeMetrics()
    counts = CallCounts(clock=clock, metric=metrics.store_calls)
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            counts.count("targets", "changes")
        assert lines == []
        clock.time += LOG_INTERVAL_SECONDS
        counts.count("leases", "write")
    (line,) = lines
    assert (line["targets_changes"], line["leases_write"]) == (3, 1)
    value = metrics.store_calls.labels("targets", "changes")._value.get()
    assert value == 3
