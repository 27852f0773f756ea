"""Settings of a node, filled in by the platform and checked like all others."""

from dataclasses import dataclass, field

from mallowpond.settings import LogSettings


@dataclass(frozen=True, kw_only=True)
class NodeBounds:
    """Hold the deployment's promises, in seconds unless they are shares."""

    revoke: float = 5.0
    grace: float = 8.0
    stall: float = 4.0
    checks_fencing: bool = False
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 100.0


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Configure one node; `address` is an IP address, since peers read no name."""

    name: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    peer_port: int
    store: str
    first_start: bool = False
    metrics_port: int = 0
    # Share of a processor that the host has, and how many cores' work that one does.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    bounds: NodeBounds = field(default_factory=NodeBounds)
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def cores(self) -> float:
        """Return the processor time that the host has, in cores."""
        return self.cpu_share * self.cpu_cores
