"""What serving streams and calls both need."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import CallerProtocol, Targets
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.state.retry_window import RetryWindow


@dataclass(frozen=True, kw_only=True)
class ServingParts:
    """Gather them; `budget` gives the repeats of a service, `hosts` counts hosts."""

    directory: Directory
    targets: Targets
    callers: CallerProtocol
    clock: Clock
    metrics: NodeMetrics
    budget: Callable[[str], RetryWindow]
    hosts: Callable[[], int]
    rng: random.Random
    quarantine: Quarantine
    availability: TargetAvailability
