"""Dependencies that the services for streams and for calls share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import CallerProtocol, Targets
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.state.process_limits import DEFAULT_LIMITS


@dataclass(frozen=True, kw_only=True)
class ServingParts:
    """Dependencies of a service that serves requests.

    hosts: returns the number of live entry hosts.
    memory: what the bodies of this process may take together.
    """

    directory: Directory
    targets: Targets
    callers: CallerProtocol
    clock: Clock
    metrics: NodeMetrics
    budgets: RetryBudgets
    hosts: Callable[[], int]
    rng: random.Random
    quarantine: Quarantine
    availability: TargetAvailability
    memory: PayloadMemory = field(
        default_factory=lambda: PayloadMemory(max_bytes=DEFAULT_LIMITS.payload_bytes)
    )
