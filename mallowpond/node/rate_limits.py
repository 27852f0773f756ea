"""Know the rate limits that targets name in their answers."""

import structlog

from mallowpond.node.metrics import NodeMetrics
from mallowpond.state.fleet import Process

log = structlog.get_logger()


class RateLimits:
    """Remember which targets named a limit."""

    def __init__(self, *, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._limits: dict[Process, float] = {}

    def hear(self, process: Process, limit: float | None) -> None:
        """Take what an answer of a target says of its limit."""
        before = self._limits.get(process)
        if limit == before:
            return
        if limit is None:
            del self._limits[process]
        else:
            self._limits[process] = limit
        self._metrics.rate_limited.set(len(self._limits))
        log.info("target: rate limit", target=process.id, limit=limit, before=before)
