"""Ports to the outside: the table service, the host list, engines, clock."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from mallowpond.state.rows import GroupMember


@dataclass(frozen=True, kw_only=True)
class Row:
    """Hold one row as read, with the version and transaction that wrote it."""

    key: str
    value: dict[str, Any]
    version: int
    transaction: str


@dataclass(frozen=True, kw_only=True)
class UnreadableRow:
    """Tell that a row stands there which this program did not write, or not so."""

    key: str
    version: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class Check:
    """Require that a row stands at this version; 0 means that it is absent."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True)
class Put:
    """Write one row."""

    key: str
    value: dict[str, Any]


@dataclass(frozen=True, kw_only=True)
class Transaction:
    """Change rows all at once, provided that every check holds."""

    transaction: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Committed:
    """The transaction took effect; `version` is the table's new version."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The transaction did not take effect because these rows had changed."""

    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The call surely had no effect."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The transaction may have taken effect, or may still do so."""

    reason: str


CommitOutcome = Committed | Conflict | Unavailable | Unknown


@dataclass(frozen=True, kw_only=True)
class Scanned:
    """Hold the rows below a prefix that changed after the version asked for."""

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int
    unreadable: tuple[UnreadableRow, ...] = ()


class TableService(Protocol):
    """Read and change rows of the platform's transactional table service.

    Only where other programs can write to our tables is a row ever unreadable.
    """

    async def read(self, key: str) -> Row | UnreadableRow | None | Unavailable:
        """Return the row, None when it is absent."""

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return the rows below `prefix` changed after table version `since`."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction and tell what is known of its effect."""


class HostState(str, Enum):
    """Say whether the platform lists a host as staying or going."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Host:
    """Describe one host as the platform's lagging list gives it.

    An entry host carries no engine and stands in no fabric domain (``""``).
    """

    name: str
    address: str
    domain: str
    data_centre: str
    accelerators: int
    incarnation: str
    state: HostState = HostState.LIVE

    @property
    def is_target(self) -> bool:
        """Tell whether the host carries an engine."""
        return self.domain != ""


class HostList(Protocol):
    """Read the platform's lagging list of hosts."""

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Return the hosts that the platform knows now."""


class OrderAction(str, Enum):
    """Say what an engine is to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, kw_only=True)
class Order:
    """Tell an engine to take or leave its place in a group."""

    order: int
    fence: int
    action: OrderAction
    group: str = ""
    generation: int = 0
    deployment: str = ""
    model: str = ""
    load_seconds: float = 0.0
    members: tuple[GroupMember, ...] = ()


@dataclass(frozen=True, kw_only=True)
class OrderAccepted:
    """The engine took the order."""


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine will not carry out the order, now or later."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """The engine may or may not have taken the order."""

    reason: str


OrderResult = OrderAccepted | OrderRefused | OrderUnknown


@dataclass(frozen=True, kw_only=True)
class EngineStatus:
    """Hold what an engine reports of itself."""

    host: str
    incarnation: str
    group: str = ""
    generation: int = 0
    order: int = 0
    loaded: bool = False
    whole: bool = False
    in_flight: int = 0


class Engines(Protocol):
    """Order and observe the engines on target hosts."""

    async def order(self, address: str, order: Order) -> OrderResult:
        """Send one order."""

    async def status(self, address: str) -> EngineStatus | Unavailable:
        """Ask an engine what it holds."""


class Clock(Protocol):
    """Give this process's monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Wait."""


@dataclass(frozen=True, kw_only=True)
class Ports:
    """Gather every outside party that a controller deals with."""

    table: TableService
    host_list: HostList
    engines: Engines
    clock: Clock
    seed: int = field(default=0)
