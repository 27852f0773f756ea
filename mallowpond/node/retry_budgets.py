"""Keep this host's part of the retry budget of each service, and log what it grants."""

from typing import Protocol

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason
from mallowpond.node.settings import NodeBounds
from mallowpond.state.host_registry import HostRegistry
from mallowpond.state.retry_window import RetryWindow

log = structlog.get_logger()


class BudgetPeers(Protocol):
    """What the budget needs to know of the other hosts."""

    @property
    def registry(self) -> HostRegistry:
        """Return the hosts that may be at work."""


class RetryBudgets:
    """Grants repeated sends of this host from the budgets that all hosts share."""

    def __init__(
        self,
        *,
        bounds: NodeBounds,
        peers: BudgetPeers,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self._bounds = bounds
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._started_at = clock.now()
        self._windows: dict[str, RetryWindow] = {}

    def record_first_send(self, service: str) -> None:
        """Count the first send of a request to a service."""
        self._window(service).record_first_send(self._clock.now())

    def first_sends_per_second(self, service: str) -> float:
        """Return the rate of first sends to a service over the last window."""
        return self._window(service).first_sends_per_second

    def can_repeat(self, service: str) -> bool:
        """Return whether a repeated send to a service would be granted now."""
        window, now = self._window(service), self._clock.now()
        return window.can_repeat(now, self._sharing_hosts(window, now))

    def try_repeat(self, service: str, *, request: str, reason: Reason) -> bool:
        """Take one repeated send of a request, False if this host's part is used up."""
        window, now = self._window(service), self._clock.now()
        hosts = self._sharing_hosts(window, now)
        is_granted = window.try_repeat(now, hosts)
        end = "granted" if is_granted else "used_up"
        self._metrics.budget.labels(end).inc()
        log.info(
            "budget: repeat",
            request=request,
            service=service,
            reason=reason.value,
            granted=is_granted,
            repeats=window.repeats,
            allowed=round(window.allowed(hosts), 1),
            hosts=hosts,
        )
        return is_granted

    def _sharing_hosts(self, window: RetryWindow, now: float) -> int:
        """Return by how many hosts the slack is divided, 0 if this one takes none."""
        registry = self._peers.registry
        if now - self._started_at < window.start_seconds:
            return 0
        return registry.count(now) if registry.is_registered(now) else 0

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                window_seconds=self._bounds.retry_window,
            )
        return window
