"""Messages between gateways and controllers, and among controllers.

Messages carry ages instead of times: the receiver subtracts an age from the time at
which it sent its question, so clocks of two hosts are never compared.
"""

from dataclasses import dataclass
from enum import Enum

import cbor2
from cattrs.preconf.cbor2 import make_converter
from cattrs.strategies import configure_tagged_union

from mallowpond.state.crash_ledger import CrashRecord
from mallowpond.state.part_ledger import PartRecord
from mallowpond.state.rows import CellRow, GroupRow


class ClaimVerdict(str, Enum):
    """Result of a `ClaimAsk`, `FinishAsk` or `VoidAsk`.

    With GRANTED the attempt may run; with SETTLED a finish or void needs no further
    change; WITHDRAWN means that the attempt was voided. IN_PROGRESS, ALREADY_RUN and
    OUTCOME_UNKNOWN describe an earlier attempt with the same key. STORE_UNAVAILABLE
    means that nothing was claimed, CLAIM_UNKNOWN that the claim may have been stored:
    the attempt must not run and must be voided.
    """

    GRANTED = "granted"
    SETTLED = "settled"
    WITHDRAWN = "withdrawn"
    IN_PROGRESS = "in_progress"
    ALREADY_RUN = "already_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    CLAIM_UNKNOWN = "claim_unknown"


@dataclass(frozen=True, kw_only=True)
class GatewayHello:
    """First message of a gateway to its controller."""

    gateway: str


@dataclass(frozen=True, kw_only=True)
class RoutesAsk:
    """Request the routes.

    The `known_` fields are the versions of the configuration, routes and quarantine
    records that the gateway has.
    """

    sequence: int
    known_config: int
    known_routes: int
    known_held: int = 0


@dataclass(frozen=True, kw_only=True)
class GroupLastSeen:
    """Age at which all members of a group were last confirmed, in seconds.

    `age` is None if a member is silent or does not have the group loaded.
    """

    group: str
    generation: int
    age: float | None


@dataclass(frozen=True, kw_only=True)
class Routes:
    """Answer to `RoutesAsk`; what the gateway already has is None.

    `config_left` is the time in seconds for which the controller is sure of the version
    in force, counted from its answer; None if it is not sure. Each group was confirmed
    by all its members at most `seen_age` seconds ago, except for the `exceptions`:
    an age for every group in every answer would exceed the budget for control traffic.
    `held` and `held_parts` hold the crash records of requests and of parts of prompts
    that are or were in quarantine because targets end under them, and `held_version` is
    their version. `leaving` tells the gateway to change to another controller.
    """

    sequence: int
    config_version: int
    config_left: float | None
    config_text: str | None
    routes_version: int
    groups: tuple[GroupRow, ...] | None
    seen_age: float
    exceptions: tuple[GroupLastSeen, ...]
    excluded_hosts: tuple[str, ...]
    leaving: bool = False
    held_version: int = 0
    held: tuple[CrashRecord, ...] | None = None
    held_parts: tuple[PartRecord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ClaimAsk:
    """Request to claim a once-only request and charge `units` to its workspace."""

    call: int
    workspace: str
    key: str
    attempt: str
    gateway: str
    units: int


@dataclass(frozen=True, kw_only=True)
class FinishAsk:
    """Request to mark a claimed request as done or, with `known` false, as unknown."""

    call: int
    workspace: str
    key: str
    attempt: str
    known: bool


@dataclass(frozen=True, kw_only=True)
class VoidAsk:
    """Request to withdraw and refund an attempt of which nothing was sent."""

    call: int
    workspace: str
    key: str
    attempt: str
    gateway: str


@dataclass(frozen=True, kw_only=True)
class ClaimAnswer:
    """Answer to the `ClaimAsk`, `FinishAsk` or `VoidAsk` with the same `call`."""

    call: int
    result: ClaimVerdict


@dataclass(frozen=True, kw_only=True)
class QuotaAsk:
    """Request to lease units of a workspace's daily budget.

    The controller leases `wanted` units if it can, and none if fewer than `needed` are
    left.
    """

    call: int
    workspace: str
    budget: int
    wanted: int
    needed: int


@dataclass(frozen=True, kw_only=True)
class QuotaAnswer:
    """Answer to `QuotaAsk`.

    `units` is 0 if the budget is spent, None if that is unknown. `period_left` is the
    rest of the budget's period, in seconds.
    """

    call: int
    period: int
    units: int | None
    period_left: float = 0.0


@dataclass(frozen=True, kw_only=True)
class SuspectGroup:
    """Report a group whose head failed a dispatch."""

    group: str
    generation: int


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Report requests during which targets ended, and those answered since.

    `parts` are the parts of their prompts that other requests share.
    """

    records: tuple[CrashRecord, ...]
    parts: tuple[PartRecord, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerAsk:
    """Request another controller's view of the configuration and the cell."""

    sequence: int
    member: str


@dataclass(frozen=True, kw_only=True)
class PeerView:
    """Answer to `PeerAsk`: what a controller knows of the cell and the configuration.

    `read_age` is the age of its last read of the head row in seconds, None before the
    first one. With `holds_newer` it has prepared a newer version than `head_version`.
    """

    sequence: int
    member: str
    incarnation: str
    cell: CellRow | None
    head_version: int
    read_age: float | None
    holds_newer: bool


Message = (
    GatewayHello
    | RoutesAsk
    | Routes
    | ClaimAsk
    | FinishAsk
    | VoidAsk
    | ClaimAnswer
    | QuotaAsk
    | QuotaAnswer
    | SuspectGroup
    | CrashReport
    | PeerAsk
    | PeerView
)

_converter = make_converter()
configure_tagged_union(Message, _converter, tag_name="type")


class BadMessage(Exception):
    """A peer sent bytes that are not a valid message."""


def encode(message: Message) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(_converter.unstructure(message, Message))


def decode(data: bytes) -> Message:
    """Decode a message from CBOR; raise `BadMessage` if it is invalid."""
    try:
        return _converter.structure(cbor2.loads(data), Message)
    except Exception as error:
        raise BadMessage(str(error)) from error
