"""The configuration of an entry host: routes, services, workspaces, limits."""

from dataclasses import dataclass, field
from enum import Enum

from mallowpond.state.fleet import EngineProfile


class RepeatPolicy(str, Enum):
    """Say what may be done with a request that has perhaps run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class Backend:
    """Send a share of a route's requests to a service."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Say where requests below a host and path prefix go, and how."""

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    backends: tuple[Backend, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int = 0
    max_attempts: int = 1
    needs_key: bool = True
    resumable: bool = False
    gap_objective_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Service:
    """Describe a service; `profile` is set where its targets are model engines."""

    name: str
    max_connections: int
    health_path: str = "/"
    profile: EngineProfile | None = None


@dataclass(frozen=True, kw_only=True)
class KeyOwner:
    """Name the workspace that a key belongs to."""

    workspace: str
    priority: int = 0


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bound what a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class SiteConfiguration:
    """Hold one whole version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, KeyOwner] = field(default_factory=dict)
    uses_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        found = None
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                if found is None or len(route.prefix) > len(found.prefix):
                    found = route
        return found

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)


def choose_backend(route: Route, draw: float) -> str | None:
    """Return a service by weight; `draw` is uniform in [0, 1)."""
    total = sum(backend.weight for backend in route.backends)
    if total <= 0:
        return None
    left = draw * total
    for backend in route.backends:
        left -= backend.weight
        if left < 0:
            return backend.service
    return route.backends[-1].service
