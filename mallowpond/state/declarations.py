"""Data classes of the declaration that operators apply as a configuration version."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Weights:
    """Cost of a second of group downtime and of a stranded accelerator-second.

    An accelerator is stranded when it is usable but in no serving group while
    groups are missing.
    """

    group_downtime: float = 1.0
    stranded_accelerators: float = 0.01


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One model and the shape of the groups that serve it.

    hosts_per_group: hosts that together run one replica.
    spares: free hosts to keep for repairs.
    span_domains: a group may use hosts of several fabric domains.
    requests_per_group: concurrent requests that one group accepts.
    expected_seconds: service time of a request, used until one is measured.
    load_seconds: time to load the weights on a host.
    checks_fencing: the engines themselves reject orders with an old fencing number.
    """

    name: str
    model: str
    replicas: int
    hosts_per_group: int
    spares: int = 0
    span_domains: bool = False
    requests_per_group: int = 16
    expected_seconds: float = 1.0
    load_seconds: float = 1.0
    checks_fencing: bool = True
    weights: Weights = field(default_factory=Weights)


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """One tenant; only the SHA-256 of its API key is declared, in hexadecimal.

    `share` is its weight in fair queueing; `units_per_day` is its quota. A completion
    is charged its maximum number of tokens, any other request one unit.
    """

    name: str
    key_sha256: str
    share: float = 1.0
    units_per_day: int = 1_000_000


@dataclass(frozen=True, kw_only=True)
class PlainService:
    """A service that runs no model and gets its requests by path prefix.

    `targets` are addresses as IP:PORT. A request may be sent again only if the service
    is `repeatable`.
    """

    name: str
    path: str
    targets: tuple[str, ...]
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = True
    requests_per_target: int = 16


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """A kind of request; a `repeatable` one may run more than once."""

    name: str
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """Everything that one configuration version declares."""

    deployments: tuple[Deployment, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[PlainService, ...] = ()
    kinds: tuple[RequestKind, ...] = ()
    drained_hosts: tuple[str, ...] = ()
    stopped_groups: tuple[str, ...] = ()

    def deployment_for_model(self, model: str) -> Deployment | None:
        """Return the deployment that serves `model`, or None."""
        return next((d for d in self.deployments if d.model == model), None)

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace whose API key has this hash, or None."""
        found = (w for w in self.workspaces if w.key_sha256 == key_sha256)
        return next(found, None)

    def service_for_path(self, path: str) -> PlainService | None:
        """Return the service with the longest declared prefix of `path`, or None."""
        matches = [s for s in self.services if _is_below(path, s.path)]
        return max(matches, key=lambda s: len(s.path), default=None)

    def is_repeatable(self, kind: str | None) -> bool:
        """Return whether a request of this kind may run more than once.

        A kind that is not declared, and a request without one, is repeatable.
        """
        return next((k.repeatable for k in self.kinds if k.name == kind), True)


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
