"""Rows that the processes keep in the platform's table service."""

from dataclasses import dataclass
from enum import Enum


class MemberState(str, Enum):
    """Say what a member may still be asked to do."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"


class GroupState(str, Enum):
    """Say how far a group is on its way from hosts to a serving replica."""

    LOADING = "loading"
    READY = "ready"
    BROKEN = "broken"
    DRAINING = "draining"
    GONE = "gone"


class OrderOutcome(str, Enum):
    """Say what is known of an order that was written down before it was sent."""

    PENDING = "pending"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class ClaimState(str, Enum):
    """Say whether a request that may not be repeated has run."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


@dataclass(frozen=True, kw_only=True)
class MemberRow:
    """Announce one controller; written only when something in it changes."""

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
    """Renew a member; kept apart and short, since all members read it all the time."""

    n: int


@dataclass(frozen=True, kw_only=True)
class CellRow:
    """List the counted members of a data centre's cell; epochs differ by one."""

    cell: str
    epoch: int
    members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class LeaseRow:
    """Hold a lease; `fence` grows with each new holder.

    The holder's member row renews it: a lease is as fresh as its holder's heartbeat,
    so holding many leases costs no more writes than holding one.
    """

    holder: str
    incarnation: str
    fence: int


@dataclass(frozen=True, kw_only=True)
class GroupMember:
    """Place one host, in one incarnation, at one rank of a group."""

    host: str
    address: str
    incarnation: str
    rank: int


@dataclass(frozen=True, kw_only=True)
class GroupRow:
    """Describe a group of hosts that together carry one replica."""

    group: str
    deployment: str
    generation: int
    state: GroupState
    members: tuple[GroupMember, ...]

    @property
    def head(self) -> GroupMember:
        """Return the member that requests are sent to."""
        return self.members[0]

    @property
    def hosts(self) -> tuple[str, ...]:
        """Return the member hosts by rank."""
        return tuple(member.host for member in self.members)


@dataclass(frozen=True, kw_only=True)
class Holder:
    """Name the process that holds a lease and the host it runs on."""

    member: str
    incarnation: str
    host: str = ""
    host_incarnation: str = ""


@dataclass(frozen=True, kw_only=True)
class OpenOrder:
    """Remember an order that was written down and may still arrive."""

    order: int
    holder: Holder


@dataclass(frozen=True, kw_only=True)
class HostRow:
    """Bind a host to at most one group and keep the last order meant for it.

    The row is keyed by host, so the table itself cannot hold two groups for one
    host. `fence` and `holder` are those of the lease under which `order` was
    written, before it was sent. `earlier` keeps orders that were replaced while it was
    not known whether they would still arrive.
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
    """Name the configuration version that is in force."""

    version: int
    proposal: str


@dataclass(frozen=True, kw_only=True)
class VersionRow:
    """Keep the text of one accepted configuration version."""

    version: int
    text: str
    author: str
    proposal: str


@dataclass(frozen=True, kw_only=True)
class ProposalRow:
    """Keep the one configuration change that is being prepared."""

    version: int
    text: str
    author: str
    proposal: str
    proposer: str


@dataclass(frozen=True, kw_only=True)
class ClaimRow:
    """Record that one attempt may run, ran, or was withdrawn before it ran."""

    workspace: str
    key: str
    attempt: str
    gateway: str
    units: int
    state: ClaimState


@dataclass(frozen=True, kw_only=True)
class LedgerRow:
    """Count the units that one controller charged to a workspace for claims."""

    workspace: str
    member: str
    units: int


@dataclass(frozen=True, kw_only=True)
class QuotaRow:
    """Count the units of a workspace's budget that were leased out in a period."""

    workspace: str
    period: int
    leased: int
