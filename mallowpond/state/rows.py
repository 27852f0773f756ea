"""Data classes of rows that controllers and nodes store in the table service.

The field names and the values of the enums are part of the stored data.
"""

from dataclasses import dataclass
from enum import Enum


class MemberState(str, Enum):
    """Stage of a controller in its cell; only a `LIVE` one may acquire leases.

    JOINING: its first renewal is less than one lease time ago. LEAVING: it is stopping,
    so that others take over its leases at once.
    """

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class GroupState(str, Enum):
    """Stage of a group on the way from free hosts to a serving replica and back.

    LOADING: its members were ordered to load the weights. READY: all have confirmed it.
    BROKEN: a member was lost or must go. DRAINING: it gets no new requests, and is
    dissolved once it is idle or after a time limit.
    """

    LOADING = "loading"
    READY = "ready"
    BROKEN = "broken"
    DRAINING = "draining"
    GONE = "gone"


class OrderOutcome(str, Enum):
    """What is known of an order, which is stored before it is sent.

    PENDING: it may still be sent or arrive. DONE: it was carried out. WITHDRAWN: its
    holder lost the lease, and it can no longer arrive.
    """

    PENDING = "pending"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class ClaimState(str, Enum):
    """State of the attempt that holds a claim.

    CLAIMED: it may be sent, and its end is not reported yet. DONE: it has run. UNKNOWN:
    it may have run. VOID: it was withdrawn unsent, so another attempt may take over.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


@dataclass(frozen=True, kw_only=True)
class MemberRow:
    """A controller as a member of its cell; written only when a field changes.

    `applied` is the configuration version in use, `prepared` the identifier of the
    proposal that the member has prepared (empty if none), and `epoch` the cell's epoch
    that it has acknowledged. `operator_address` is where it serves operators.
    `gateways` are the incarnations of the gateways that are attached to it.
    """

    name: str
    cell: str
    address: str
    operator_address: str
    incarnation: str
    applied: int
    prepared: str
    epoch: int
    state: MemberState
    gateways: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class HeartbeatRow:
    """Heartbeat of a member: a counter that it increments.

    It is a row of its own, and short, because all members read it continuously.
    """

    n: int


@dataclass(frozen=True, kw_only=True)
class CellRow:
    """The members of a cell whose votes count, in one epoch of the cell.

    A cell is the controllers of one data centre. They read each other's heartbeats, and
    a configuration change needs a majority of every cell. Successive epochs differ by
    one member.
    """

    cell: str
    epoch: int
    members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class LeaseRow:
    """A lease; the fencing number `fence` grows with each new holder.

    The heartbeat of a controller renews all of its leases, so that many leases need no
    more writes than one. A node renews the planner's lease by writing this row again.
    """

    holder: str
    incarnation: str
    fence: int


@dataclass(frozen=True, kw_only=True)
class GroupMember:
    """A host, in one incarnation, at one rank of a group."""

    host: str
    address: str
    incarnation: str
    rank: int


@dataclass(frozen=True, kw_only=True)
class GroupRow:
    """A group of hosts that together run one replica; members are in order of rank.

    `generation` grows by one with each repair, which replaces members.
    """

    group: str
    deployment: str
    generation: int
    state: GroupState
    members: tuple[GroupMember, ...]

    @property
    def head(self) -> GroupMember:
        """Return the member that gets the requests."""
        return self.members[0]

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the names of the member hosts by rank."""
        return tuple(member.host for member in self.members)


@dataclass(frozen=True, kw_only=True)
class Holder:
    """The process that holds a lease, and the host that it runs on."""

    member: str
    incarnation: str
    host: str = ""
    host_incarnation: str = ""


@dataclass(frozen=True, kw_only=True)
class OpenOrder:
    """An order that was stored and may still arrive."""

    order: int
    holder: Holder


@dataclass(frozen=True, kw_only=True)
class HostRow:
    """The group of a host, at most one, and the last order for it.

    The row is keyed by host, so the table cannot hold two groups for one host. `fence`
    and `holder` are those of the lease under which `order` was stored, before it was
    sent. `earlier` lists replaced orders that may still arrive.
    """

    host: str
    incarnation: str
    group: str | None
    generation: int
    order: int
    fence: int
    holder: Holder
    outcome: OrderOutcome
    earlier: tuple[OpenOrder, ...] = ()


@dataclass(frozen=True, kw_only=True)
class HeadRow:
    """The configuration version that is in force, and the proposal that it came from.

    It is the head of the configuration's history, unrelated to the head of a group.
    """

    version: int
    proposal: str


@dataclass(frozen=True, kw_only=True)
class VersionRow:
    """The text of one accepted configuration version."""

    version: int
    text: str
    author: str
    proposal: str


@dataclass(frozen=True, kw_only=True)
class ProposalRow:
    """The one configuration change that is being prepared."""

    version: int
    text: str
    author: str
    proposal: str
    proposer: str


@dataclass(frozen=True, kw_only=True)
class ClaimRow:
    """Claim of one attempt of a once-only request: whether it may run, or ran.

    `key` is the caller's idempotency key, and `units` are what the request charges to
    its workspace.
    """

    workspace: str
    key: str
    attempt: str
    gateway: str
    units: int
    state: ClaimState


@dataclass(frozen=True, kw_only=True)
class LedgerRow:
    """Units that one controller charged to a workspace for claims."""

    workspace: str
    member: str
    units: int


@dataclass(frozen=True, kw_only=True)
class QuotaRow:
    """Units of a workspace's budget that were leased to gateways in a period."""

    workspace: str
    period: int
    leased: int
