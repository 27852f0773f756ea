"""Messages between gateways and controllers, and among controllers.

Ages travel instead of times: a receiver adds an age to the moment at which it
asked, so no two hosts' clocks are ever compared.
"""

from dataclasses import dataclass
from enum import Enum

import cbor2
from cattrs.preconf.cbor2 import make_converter
from cattrs.strategies import configure_tagged_union

from mallowpond.state.crash_ledger import CrashRecord
from mallowpond.state.rows import CellRow, GroupRow


class ClaimVerdict(str, Enum):
    """Name what became of a claim, finish or void."""

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
    """Introduce a gateway to the controller that it attaches to."""

    gateway: str


@dataclass(frozen=True, kw_only=True)
class RoutesAsk:
    """Ask for the routes, naming what is known already."""

    sequence: int
    known_config: int
    known_routes: int
    known_held: int = 0


@dataclass(frozen=True, kw_only=True)
class Sight:
    """Say how long ago a group was last seen whole; None where it is not."""

    group: str
    generation: int
    age: float | None


@dataclass(frozen=True, kw_only=True)
class Routes:
    """Answer `RoutesAsk`; texts and groups that are known already are left out.

    `config_left` is for how many seconds more the controller is sure of the version in
    force, counted from its answer; None while it is not sure. Every group was seen
    whole at most `seen_age` seconds ago, but for the `exceptions`: naming each group in
    each answer would by itself break the budget for control traffic. `held` tells of
    the requests that are or were held back since they end their targets.
    """

    sequence: int
    config_version: int
    config_left: float | None
    config_text: str | None
    routes_version: int
    groups: tuple[GroupRow, ...] | None
    seen_age: float
    exceptions: tuple[Sight, ...]
    excluded_hosts: tuple[str, ...]
    leaving: bool = False
    held_version: int = 0
    held: tuple[CrashRecord, ...] | None = None


@dataclass(frozen=True, kw_only=True)
class ClaimAsk:
    """Ask to claim and charge a request that may not be repeated."""

    call: int
    workspace: str
    key: str
    attempt: str
    gateway: str
    units: int


@dataclass(frozen=True, kw_only=True)
class FinishAsk:
    """Ask to mark a claimed request as done or, with `known` false, as unknown."""

    call: int
    workspace: str
    key: str
    attempt: str
    known: bool


@dataclass(frozen=True, kw_only=True)
class VoidAsk:
    """Ask to withdraw and refund an attempt of which nothing was sent."""

    call: int
    workspace: str
    key: str
    attempt: str
    gateway: str


@dataclass(frozen=True, kw_only=True)
class ClaimAnswer:
    """Answer a claim, finish or void."""

    call: int
    result: ClaimVerdict


@dataclass(frozen=True, kw_only=True)
class QuotaAsk:
    """Ask to lease units of a workspace's budget."""

    call: int
    workspace: str
    budget: int
    wanted: int
    needed: int


@dataclass(frozen=True, kw_only=True)
class QuotaAnswer:
    """Answer `QuotaAsk`; `units` is 0 when the budget is spent, None if not known."""

    call: int
    period: int
    units: int | None
    period_left: float = 0.0


@dataclass(frozen=True, kw_only=True)
class SuspectGroup:
    """Report a group whose leader failed a dispatch."""

    group: str
    generation: int


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Report under which requests targets ended, or were answered since."""

    records: tuple[CrashRecord, ...]


@dataclass(frozen=True, kw_only=True)
class PeerAsk:
    """Ask another controller of the cell for its view."""

    sequence: int
    member: str


@dataclass(frozen=True, kw_only=True)
class PeerView:
    """Tell what a controller knows, with the age of each observation."""

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
    """A peer sent bytes that are no message of ours."""


def encode(message: Message) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(_converter.unstructure(message, Message))


def decode(data: bytes) -> Message:
    """Decode a message from CBOR."""
    try:
        return _converter.structure(cbor2.loads(data), Message)
    except Exception as error:
        raise BadMessage(str(error)) from error
