"""Data classes of an entry host's configuration: routes, services, keys, limits."""

from dataclasses import dataclass, field
from enum import Enum

from mallowpond.state.fleet import EngineProfile


class RepeatPolicy(str, Enum):
    """What may be done with a request that may already have run.

    IDEMPOTENT: it may be sent again. ONCE: it must not. STREAM: it is a stream, which
    may go on at another group.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class Backend:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """How requests to a host name and path prefix are handled.

    timeout_seconds: time limit of a request.
    objective_seconds: latency objective; for streams, until the first event.
    priority: requests with a smaller number are served first.
    max_attempts: attempts per request, the first included.
    needs_key: the caller must present an API key.
    resumable: a stream that broke off can go on at another group.
    gap_objective_seconds: objective for the gap between two events of a stream.
    """

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
    """A service; `profile` is set if its targets are model engines.

    cold_seconds: how long a target stays cold after its start.
    cold_per_second: requests a second that a cold target tolerates; 0: it never is.
    """

    name: str
    max_connections: int
    health_path: str = "/"
    profile: EngineProfile | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, kw_only=True)
class KeyOwner:
    """The workspace that an API key belongs to, and its priority."""

    workspace: str
    priority: int = 0


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size of requests, and on the time that callers take or idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class SiteConfiguration:
    """One version of the configuration; `keys` maps API keys to their owners."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, KeyOwner] = field(default_factory=dict)
    uses_keys: bool = False
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
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
    """Return the name of a backend's service, chosen by weight.

    `draw` is a random number, uniform in [0, 1). The result is None if no backend has
    a weight.
    """
    total = sum(backend.weight for backend in route.backends)
    if total <= 0:
        return None
    left = draw * total
    for backend in route.backends:
        left -= backend.weight
        if left < 0:
            return backend.service
    return route.backends[-1].service
