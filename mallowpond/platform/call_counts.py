"""Count the calls to the table service (the store) by table and kind of call."""

from collections import Counter

import structlog
from prometheus_client import Counter as Metric

from mallowpond.coordination.ports import Clock

log = structlog.get_logger()

# Time between two log lines with the calls made since the last one, in seconds.
LOG_INTERVAL_SECONDS = 10.0


class CallCounts:
    """Counts calls in a metric, and logs their sums at intervals."""

    def __init__(self, *, clock: Clock, metric: Metric | None = None) -> None:
        self._clock = clock
        self._metric = metric
        self._unlogged: Counter[str] = Counter()
        self._logged_at = clock.now()

    def count(self, table: str, call: str) -> None:
        """Count a call that is about to be made; log the sums when they are due."""
        if self._metric is not None:
            self._metric.labels(table, call).inc()
        self._unlogged[f"{table}_{call}"] += 1
        now = self._clock.now()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            seconds = round(now - self._logged_at, 1)
            log.info("store: calls", seconds=seconds, **self._unlogged)
            self._unlogged.clear()
            self._logged_at = now
