"""What a node needs from the platform that it runs on, in the product's words."""

from dataclasses import dataclass
from typing import Protocol

from mallowpond.coordination.ports import TableService, Unavailable
from mallowpond.state.fingerprint import fingerprint
from mallowpond.state.fleet import Target
from mallowpond.state.formation_view import (
    Step,
)
from mallowpond.state.site_configuration import SiteConfiguration
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import CallFailed, HttpResponse
from mallowpond.transport.http_server import HttpRequest

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Hold one request of a caller; a missing value is None."""

    id: str
    host: str
    method: str
    target: str
    body: bytes
    forwarded_headers: Headers
    key: str | None = None
    seconds_left: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event: str | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def fingerprint(self, workspace: str | None) -> str:
        """Return what this request shares with its returns from one workspace."""
        return fingerprint(
            host=self.host, target=self.target, workspace=workspace, body=self.body
        )


@dataclass(frozen=True, kw_only=True)
class InvalidRequest:
    """Say why a request cannot be read."""

    reason: str


class CallerProtocol(Protocol):
    """Read callers' requests."""

    def read(self, request: HttpRequest) -> CallerRequest | InvalidRequest:
        """Return the request in the product's words."""

    def answer_headers(self, response: HttpResponse) -> Headers:
        """Return the headers of a target's answer that go to the caller."""


@dataclass(frozen=True, kw_only=True)
class ConfigurationRead:
    """Answer a read of the configuration; None means that there is none.

    With `unreadable` there is a newer one, which cannot be read. `answered_at` is when
    the store answered, in seconds of its own steady clock, None where it does not tell.
    `document` is the configuration as it stands in the store.
    """

    revision: int
    configuration: SiteConfiguration | None
    changed: bool
    unreadable: bool = False
    answered_at: float | None = None
    document: bytes = b""


@dataclass(frozen=True, kw_only=True)
class TargetsRead:
    """Answer a read of the targets: all of them, or those that changed.

    Keys in `unreadable` have an entry that names no target to use.
    """

    revision: int
    targets: tuple[Target, ...]
    removed: tuple[str, ...] = ()
    unreadable: tuple[str, ...] = ()
    whole: bool = False


@dataclass(frozen=True, kw_only=True)
class HistoryLost:
    """The changes since the revision asked for are not known any more."""


class SiteSource(Protocol):
    """Read the configuration and the list of targets."""

    async def configuration(
        self, since: int, wait_seconds: float
    ) -> ConfigurationRead | HistoryLost | Unavailable:
        """Wait for a configuration after `since`; 0 reads the newest at once."""

    def parse_configuration(self, document: bytes) -> SiteConfiguration | None:
        """Decode a configuration as it stands in the store, None if that fails."""

    async def targets(self, since: int) -> TargetsRead | HistoryLost | Unavailable:
        """Return what changed after `since`; 0 reads all of them."""


@dataclass(frozen=True, kw_only=True)
class OrderTaken:
    """The engine began the order; False in `began` says that it held already."""

    began: bool


@dataclass(frozen=True, kw_only=True)
class OrderUnfit:
    """The order does not fit the engine's state, or other orders came before it."""


@dataclass(frozen=True, kw_only=True)
class OrderFenced:
    """The engine knows a higher fencing number or epoch."""


@dataclass(frozen=True, kw_only=True)
class OrderMisdirected:
    """Another engine has this address now."""


@dataclass(frozen=True, kw_only=True)
class OrderLost:
    """Nobody knows whether the order was or will be carried out."""

    reason: str


OrderResult = OrderTaken | OrderUnfit | OrderFenced | OrderMisdirected | OrderLost


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """Hold what an engine says of itself; `orders` counts those it has begun."""

    orders: int
    target: Target


class Targets(Protocol):
    """Send requests and orders to targets."""

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        *,
        workspace: str | None,
        seconds_left: float,
        last_event: str | None,
    ) -> HttpResponse | CallFailed:
        """Send a request and return once the head of its answer is here."""

    def is_not_run(self, response: HttpResponse) -> bool:
        """Tell whether an answer proves that the request did not run."""

    def is_misdirected(self, response: HttpResponse) -> bool:
        """Tell whether another engine answered, or one that holds no open group."""

    def notice(self, response: HttpResponse) -> TargetNotice:
        """Return what an answer says of the target itself."""

    async def order(self, step: Step, *, fence: int, expected: int) -> OrderResult:
        """Give an engine an order that only this count of earlier ones may precede."""

    async def report(self, target: Target) -> EngineReport | Unavailable:
        """Ask an engine what it holds."""

    async def is_healthy(self, target: Target, path: str) -> bool | Unavailable:
        """Ask whether a target is healthy and not leaving; a full one says no."""


@dataclass(frozen=True, kw_only=True)
class NodePorts:
    """Gather every outside party that a node deals with."""

    callers: CallerProtocol
    source: SiteSource
    targets: Targets
    table: TableService
