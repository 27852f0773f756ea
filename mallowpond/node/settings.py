"""Settings of a node, from a file that the platform fills in."""

from dataclasses import dataclass, field

from mallowpond.settings import LogSettings, ProcessResources


@dataclass(frozen=True, kw_only=True)
class NodeBounds:
    """Bounds that the deployment requires or guarantees.

    apply: seconds within which a change of the configuration must be in force.
    revoke: seconds after its revocation from which a key must be refused.
    rollback_slack: seconds after the first request by a newer version from which a host
    handles none by an older one.
    grace: seconds from the request to stop until the process is killed.
    stall: seconds after which a group that makes no progress reports its failure.
    checks_fencing: whether engines check fencing numbers.
    retry_ratio, retry_slack, retry_window: retry budget of all hosts together; repeats
    in a window of seconds may be a share of first sends plus a fixed number.
    cold_ratio, cold_slack: a target that has just started must not get more requests in
    any one second, from all hosts together, than the rate that its service tolerates
    times a ratio plus a fixed number. A ratio of 0: no such bound is in force.
    """

    apply: float = 3.0
    revoke: float = 5.0
    rollback_slack: float = 0.3
    grace: float = 8.0
    stall: float = 4.0
    checks_fencing: bool = False
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 100.0
    cold_ratio: float = 0.0
    cold_slack: float = 0.0


@dataclass(frozen=True, kw_only=True)
class NodePlanning:
    """Choices of the group planner.

    rebalance: whether engines move from a model with slack to one short of slots.
    regroup_slow: whether groups are formed anew around members that become slow.
    """

    rebalance: bool = False
    regroup_slow: bool = False


@dataclass(frozen=True, kw_only=True)
class NodeSettings(ProcessResources):
    """Settings of one node.

    address: IP address, as peers resolve no names.
    callers, readiness: addresses on which it serves callers and readiness checks.
    store: address of the platform's store, its table service.
    first_start: whether the installation starts for the first time, without traffic.
    guarantees: the platform's words for the rules in force; its adapter sets what
    depends on them, such as `contested_slots`.
    contested_slots: whether streams are admitted by a forecast of the slots, and
    refused callers get a time to come back each.
    checks_keys: whether a key must be one of the configuration's even if that names no
    workspaces; otherwise keys then mean nothing.
    """

    name: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    peer_port: int
    store: str
    # Whether connections to targets leave from `address`, for hosts with several.
    binds_source: bool = False
    first_start: bool = False
    metrics_port: int = 0
    # Share of a processor that the host may use, and the cores of that processor.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    guarantees: tuple[str, ...] = ()
    contested_slots: bool = False
    checks_keys: bool = False
    bounds: NodeBounds = field(default_factory=NodeBounds)
    planning: NodePlanning = field(default_factory=NodePlanning)
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def cores(self) -> float:
        """Return the processor capacity that the host may use, in cores."""
        return self.cpu_share * self.cpu_cores
