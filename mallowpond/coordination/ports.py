"""Interfaces to the table service, the host list, the engines and the clock."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from mallowpond.state.rows import GroupMember


@dataclass(frozen=True, kw_only=True)
class Row:
    """A row as read, with its version and the transaction that wrote it.

    On the platform, whose store may be restored from a copy, the versions of rows,
    checks and outcomes are revisions (`state.revision`).
    """

    key: str
    value: dict[str, Any]
    version: int
    transaction: str


@dataclass(frozen=True, kw_only=True)
class UnreadableRow:
    """A row that this program did not write, or not in this form."""

    key: str
    version: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class Check:
    """Require that a row has this version; 0 means that it is absent."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True)
class Put:
    """Write one row."""

    key: str
    value: dict[str, Any]


@dataclass(frozen=True, kw_only=True)
class Transaction:
    """Write and delete rows atomically, provided that every check holds.

    `transaction` is its identifier, `deletes` are keys.
    """

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
    """The call failed and certainly had no effect.

    `is_silent`: no answer came in time, so the server may live and only be slow.
    `connection_age`: seconds since its connection was opened, None if not known.
    """

    reason: str
    is_silent: bool = False
    connection_age: float | None = None


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The transaction may have taken effect or may still do so."""

    reason: str


CommitOutcome = Committed | Conflict | Unavailable | Unknown


@dataclass(frozen=True, kw_only=True)
class Scanned:
    """Changes to the rows with a prefix after the requested table version.

    `deleted` are keys; `version` is the table version up to which this is complete.
    """

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int
    unreadable: tuple[UnreadableRow, ...] = ()


class TableService(Protocol):
    """Reads and changes rows of the platform's transactional table service, the store.

    A row can be unreadable only in tables that other programs can write to.
    """

    async def read(self, key: str) -> Row | UnreadableRow | None | Unavailable:
        """Return the row, None when it is absent."""

    async def scan(self, prefix: str, since: int = 0) -> Scanned | Unavailable:
        """Return the changes after table version `since` to rows with `prefix`."""

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction and return what is known of its effect."""


class HostState(str, Enum):
    """State of a host in the platform's list; a leaving host is about to shut down."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Host:
    """A host as the platform lists it; the list lags behind.

    An entry host, which accepts callers' requests, runs no engine and is in no fabric
    domain (``""``).
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
        """Return whether the host runs an engine."""
        return self.domain != ""


class HostList(Protocol):
    """The platform's list of hosts, which lags behind."""

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        """Return the hosts that the platform lists now."""


class OrderAction(str, Enum):
    """What an engine is to do with its weights."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, kw_only=True)
class Order:
    """Command to an engine to join a group, or to leave the one that it is in.

    `order` is its number on this host, `fence` the fencing number of the lease under
    which it was stored. The other fields describe the group to join.
    """

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
    """The engine accepted the order."""


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine will not carry out the order, now or later."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """The engine may or may not have accepted the order."""

    reason: str


OrderResult = OrderAccepted | OrderRefused | OrderUnknown


@dataclass(frozen=True, kw_only=True)
class EngineStatus:
    """Status that an engine reports of itself.

    `order` is the last order that it accepted, `in_flight` its number of running
    requests; an empty `group` means none. `loaded` refers to its own weights, `whole`
    to those of all members of its group.
    """

    host: str
    incarnation: str
    group: str = ""
    generation: int = 0
    order: int = 0
    loaded: bool = False
    whole: bool = False
    in_flight: int = 0


class Engines(Protocol):
    """Sends orders to the engines on target hosts and queries their status."""

    async def order(self, address: str, order: Order) -> OrderResult:
        """Send an order to the engine at an address."""

    async def status(self, address: str) -> EngineStatus | Unavailable:
        """Return the status of the engine at an address."""


class Clock(Protocol):
    """Monotonic time of this process."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given time."""


@dataclass(frozen=True, kw_only=True)
class Ports:
    """The interfaces that a controller is given; a `seed` of 0 means random."""

    table: TableService
    host_list: HostList
    engines: Engines
    clock: Clock
    seed: int = field(default=0)
