"""What operators declare: deployments, workspaces, services, request kinds."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class Weights:
    """Weigh a second of group downtime against a stranded accelerator-second."""

    group_downtime: float = 1.0
    stranded_accelerators: float = 0.01


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Describe one model and the shape of the groups that serve it."""

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
    """Describe one tenant; only the hash of its API key is declared."""

    name: str
    key_sha256: str
    share: float = 1.0
    units_per_day: int = 1_000_000


@dataclass(frozen=True, kw_only=True)
class PlainService:
    """Describe a service that is routed to by path and holds no model."""

    name: str
    path: str
    targets: tuple[str, ...]
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = True
    requests_per_target: int = 16


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """Name a kind of request and say whether it may run more than once."""

    name: str
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """Hold everything that one configuration version declares."""

    deployments: tuple[Deployment, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[PlainService, ...] = ()
    kinds: tuple[RequestKind, ...] = ()
    drained_hosts: tuple[str, ...] = ()
    stopped_groups: tuple[str, ...] = ()

    def deployment_for_model(self, model: str) -> Deployment | None:
        """Return the deployment that serves `model`."""
        return next((d for d in self.deployments if d.model == model), None)

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace whose API key has this hash."""
        found = (w for w in self.workspaces if w.key_sha256 == key_sha256)
        return next(found, None)

    def service_for_path(self, path: str) -> PlainService | None:
        """Return the service with the longest declared prefix of `path`."""
        fitting = [s for s in self.services if _is_below(path, s.path)]
        return max(fitting, key=lambda s: len(s.path), default=None)

    def is_repeatable(self, kind: str | None) -> bool:
        """Tell whether a request of this kind may run more than once."""
        return next((k.repeatable for k in self.kinds if k.name == kind), True)


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
