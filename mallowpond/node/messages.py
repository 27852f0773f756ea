"""Define the messages that nodes exchange, and encode and decode their datagrams.

Datagrams may be lost or duplicated. Every message is complete by itself, and the next
heartbeat repeats the state that peers depend on. New fields are added at the end of a
message and have a default, so that hosts of two versions understand each other.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum
from functools import cache
from typing import Any, get_args

import cbor2

from mallowpond.state.codec import to_compact
from mallowpond.state.cold_targets import ColdState
from mallowpond.state.crash_ledger import CrashRecord
from mallowpond.state.decoding import (
    DecodeFault,
    Identifier,
    Name,
    Positive,
    SocketAddress,
    Unreadable,
    decode_compact,
)
from mallowpond.state.evacuations import Evacuations
from mallowpond.state.fleet import BreakCause, GroupKey, Process, Target
from mallowpond.state.part_ledger import PartRecord
from mallowpond.state.rate_limit import TargetLimit

# Interval between heartbeats, in seconds. The loads known of a peer are at most as old
# as about two passes of a group's engines.
HEARTBEAT_SECONDS = 0.1
# Longest heartbeat interval that a peer may announce, in seconds: above that of the
# largest fleet. With a longer one a dead peer would count as live for too long.
MAX_INTERVAL_SECONDS = 60.0
# Largest datagram that is read: the limit of UDP over IPv4; and the largest size that
# it may have when decompressed.
MAX_DATAGRAM_BYTES = 65_507
MAX_DECOMPRESSED_BYTES = 4 * MAX_DATAGRAM_BYTES
# Size from which a datagram is compressed. A change of many targets, sent uncompressed
# to many hosts, fills a link, and each host reads a lost change from the store.
COMPRESSION_THRESHOLD_BYTES = 600
# First byte of a zlib stream; no uncompressed message begins with it.
ZLIB_FIRST_BYTE = b"\x78"


@dataclass(frozen=True, kw_only=True)
class LoadColumns:
    """Load of each group, in parallel columns.

    `running` counts streams; `prefill_tokens` counts prompt tokens that are still to
    be processed. One data class per group would take several times as long to decode.
    `slowness`, in tenths, is what the sender lately observed, 0 where it observed
    nothing. The column is empty, and left out of the datagram, while no group is slow.
    """

    groups: tuple[Name, ...] = ()
    epochs: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    prefill_tokens: tuple[int, ...] = ()
    slowness: tuple[int, ...] = ()

    @property
    def has_equal_columns(self) -> bool:
        """Return whether every column has one entry per group."""
        columns = (self.groups, self.epochs, self.running, self.prefill_tokens)
        has_slowness = len(self.slowness) in (0, len(self.groups))
        return has_slowness and len(set(map(len, columns))) == 1


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Show peers at intervals that a node is live, and in which state it is.

    `version` is that of its configuration, and `sure` says whether that was lately
    confirmed as the newest; `store` says whether the node reaches the store, and
    `traffic` whether any request has been seen. `planning` is its fencing number as
    planner, 0 if it does not plan. `interval` is the time until its next heartbeat, in
    seconds; `cores` is the processor capacity that it may use, in cores.
    """

    node: Name
    incarnation: str
    address: SocketAddress
    version: int
    sure: bool
    store: bool
    stopping: bool
    planning: int
    traffic: bool = False
    interval: float = HEARTBEAT_SECONDS
    data_centre: str = ""
    cores: float = 0.0
    loads: LoadColumns = LoadColumns()
    # Number of the last slot granted by the dispatcher whose stream `loads` includes.
    grant_number: int = 0
    evacuations: Evacuations = Evacuations()
    # Services to whose targets the node has lost its links.
    without_links: tuple[Name, ...] = ()

    @property
    def can_plan(self) -> bool:
        """Return whether the node could hold the planner's lease."""
        return self.store and not (self.stopping or self.without_links)


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Report that a group makes no progress, so that peers send it no new streams.

    With `cleared` the suspicion is over: the group sent an event, or all members
    answered probes. With `closing` the planner is closing the group; streams that run
    there may finish. The sender had seen no event of the group for `silent` seconds.
    """

    node: Name
    group: Name
    epoch: int
    cleared: bool = False
    closing: bool = False
    silent: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EndedHeads:
    """Report to the planner that heads closed connections and were silent since."""

    node: Name
    heads: tuple[Process, ...]


@dataclass(frozen=True, kw_only=True)
class SilenceQuestion:
    """Ask peers whether a group makes progress for them, before it is suspected.

    The sender has seen no event of the group for `silent` seconds. A peer that saw one
    clearly more recently answers with `Advance`; the others send no answer.
    """

    node: Name
    group: Name
    epoch: int
    silent: float


@dataclass(frozen=True, kw_only=True)
class Advance:
    """Answer a `SilenceQuestion`: the sender sees the group make progress."""

    node: Name
    group: Name
    epoch: int


@dataclass(frozen=True, kw_only=True)
class SilencesQuestion:
    """Ask a peer for the silences of the groups that it watches."""

    node: Name


@dataclass(frozen=True, kw_only=True)
class WatchedSilence:
    """The time since a host's last event of a group, in seconds."""

    group: Name
    epoch: int
    silent: float


@dataclass(frozen=True, kw_only=True)
class SilencesAnswer:
    """Answer a `SilencesQuestion`; groups that are not due to send are left out."""

    node: Name
    silences: tuple[WatchedSilence, ...]


@dataclass(frozen=True, kw_only=True)
class GroupBroken:
    """Report that one formation (epoch) of a group no longer serves.

    Its head or a member showed this. `head` is the process that the sender knows as the
    formation's head; a receiver that knows another one ignores the report, as one of
    the two has outdated information.
    """

    node: str
    group: str
    epoch: int
    head: Process
    cause: BreakCause


@dataclass(frozen=True, kw_only=True)
class Vouch:
    """Report that health checks found targets healthy whose list entries lapsed.

    For a short time their groups may get new streams, although the list lacks them.
    """

    node: Name
    targets: tuple[Identifier, ...]


@dataclass(frozen=True, kw_only=True)
class Digest:
    """Summary that a reader sends at intervals, so that others need not read the store.

    `version` is that of the newest configuration, and `last_change` the revision of the
    target list's last change; a receiver with older ones has missed something. `loads`
    sums the load of all hosts by group; it is empty in small fleets, where heartbeats
    carry the loads, and from any reader but the first. With `pass_on` the receiver
    relays the message to its own data centre.
    """

    node: Name
    version: int
    last_change: int
    loads: LoadColumns = LoadColumns()
    pass_on: bool = False
    evacuations: Evacuations = Evacuations()
    # When the sender itself last confirmed that version by a read of the store, by the
    # clock of its process; 0 if it has not.
    read_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ListChange:
    """Changes of the target list after revision `previous`, sent by a reader.

    A receiver that lacks earlier changes reads the list from the store. A large change
    is split into several `parts`; `part` is the index of this one. With `pass_on` the
    receiver relays the message to its own data centre.
    """

    node: Name
    previous: int
    revision: int
    targets: tuple[Target, ...]
    removed: tuple[Identifier, ...]
    unreadable: tuple[Identifier, ...] = ()
    part: int = 0
    parts: Positive = 1
    pass_on: bool = False


@dataclass(frozen=True, kw_only=True)
class Work:
    """Load of the sending host by group, for the readers and the dispatcher.

    It includes the streams on all slots that the dispatcher granted to the host, up to
    the one numbered `grant_number`.
    """

    node: Name
    loads: LoadColumns
    grant_number: int = 0


@dataclass(frozen=True, kw_only=True)
class PlaceQuestion:
    """Request a slot for a stream from the dispatcher; times are in seconds from now.

    `number` is unique on the sending host; a request sent again keeps it. A stream that
    starts within `on_time` can still meet its latency `objective`; it waits for
    `patience` at most. `has_begun` marks one whose caller already has part of the
    answer. Groups in `avoided` must not be chosen.

    `gap_objective` is the longest gap between events with which the stream is on time,
    in seconds, 0 if it has none.

    Sent with contested slots only: the request's `fingerprint`, the time until the
    caller's deadline in `seconds_left`, the largest answer in `answer_tokens`, and the
    `workspace`.
    """

    node: Name
    number: int
    service: Name
    model: Name
    prompt_tokens: int
    objective: float
    on_time: float
    patience: float
    priority: int
    has_begun: bool = False
    avoided: tuple[Name, ...] = ()
    fingerprint: str = ""
    seconds_left: float = 0.0
    answer_tokens: int = 0
    workspace: str = ""
    gap_objective: float = 0.0


class PlaceVerdict(str, Enum):
    """Decision of the dispatcher on a request for a slot."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class PlaceAnswer:
    """Answer the `PlaceQuestion` with the same `number`.

    A granted slot is on `group`; `grant_number` counts the slots granted to that host
    so far. A waiting request is queued, and gets another answer with its grant. A
    refused stream would have to wait for `wait` seconds; its caller is to come back
    after `retry_after` seconds. If that is 0, its host decides.
    """

    node: Name
    number: int
    verdict: PlaceVerdict
    group: str = ""
    epoch: int = 0
    grant_number: int = 0
    wait: float = 0.0
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class VersionQuestion:
    """Ask a reader which configuration version is the newest.

    An answer with the asking host's own version confirms the keys that it admits.
    """

    node: Name
    number: int


@dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """Answer the `VersionQuestion` with the same `number`.

    `version` was confirmed as the newest `age` seconds before this was sent, which was
    at `answered_at` by the clock of the sender's process; 0 if it does not say.
    """

    node: Name
    number: int
    version: int
    age: float
    evacuations: Evacuations = Evacuations()
    answered_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ConfigurationPart:
    """Part of a compressed configuration, which spares hosts a read of the store.

    A large one is split into several `parts`; `part` is the index of this one. With
    `pass_on` the receiver relays the message to its own data centre.
    """

    node: Name
    version: int
    data: bytes
    part: int = 0
    parts: Positive = 1
    pass_on: bool = False
    evacuations: Evacuations = Evacuations()


@dataclass(frozen=True, kw_only=True)
class ConfigurationQuestion:
    """Ask a peer for its configuration, when a node without one lacks the store."""

    node: Name


@dataclass(frozen=True, kw_only=True)
class LivenessQuestion:
    """Ask a peer to probe a target that does not answer the sender.

    The fault may be the sender's own, when many targets do not answer it.
    """

    node: Name
    number: int
    target: Identifier


@dataclass(frozen=True, kw_only=True)
class LivenessAnswer:
    """Answer the `LivenessQuestion` with the same `number`.

    `alive` says whether the target answered the sender's probe.
    """

    node: Name
    number: int
    alive: bool


@dataclass(frozen=True, kw_only=True)
class CrashRecords:
    """Report requests that were running on targets whose processes ended.

    Hosts merge these records to quarantine requests that crash their targets. With
    `answer` the message answers a `CrashQuestion`.
    """

    node: Name
    records: tuple[CrashRecord, ...]
    answer: bool = False


@dataclass(frozen=True, kw_only=True)
class PartRecords:
    """Report parts of prompts whose requests were running on targets that ended.

    With `answer` the message answers a `CrashQuestion`.
    """

    node: Name
    records: tuple[PartRecord, ...]
    answer: bool = False


@dataclass(frozen=True, kw_only=True)
class CrashQuestion:
    """Ask a peer for its crash records, after a start."""

    node: Name


@dataclass(frozen=True, kw_only=True)
class RateLimitNews:
    """Report rate limits that targets announced or withdrew in their answers.

    All hosts together keep to such a limit, each with its own part of the rate.
    """

    node: Name
    limits: tuple[TargetLimit, ...]


@dataclass(frozen=True, kw_only=True)
class ColdNews:
    """Report targets that became cold, or warm again, before they were expected to."""

    node: Name
    states: tuple[ColdState, ...]


Message = (
    Heartbeat
    | Suspicion
    | GroupBroken
    | Vouch
    | SilenceQuestion
    | Advance
    | SilencesQuestion
    | SilencesAnswer
    | Digest
    | ListChange
    | Work
    | PlaceQuestion
    | PlaceAnswer
    | VersionQuestion
    | VersionAnswer
    | LivenessQuestion
    | LivenessAnswer
    | ConfigurationPart
    | ConfigurationQuestion
    | CrashRecords
    | PartRecords
    | CrashQuestion
    | RateLimitNews
    | ColdNews
    | EndedHeads
)
MESSAGE_CLASSES = {kind.__name__: kind for kind in get_args(Message)}
# Number of last fields of a message that are left out of its datagram while they and
# those after them have their defaults. Deployments that do not use them exchange the
# same datagrams as before the fields were added.
OMITTED_DEFAULTS: dict[type, int] = {
    PlaceQuestion: 5,
    PlaceAnswer: 1,
    Suspicion: 1,
    # The evacuated data centres, while no evacuation was ever seen, and lost links.
    Heartbeat: 2,
    Digest: 2,
    VersionAnswer: 2,
    ConfigurationPart: 1,
}
# Position of the loads in the messages that carry them, and the columns that every
# sender fills. The column of slowness is left out while it is empty.
LOADS_INDEX = {
    kind: [field.name for field in fields(kind)].index("loads")
    for kind in (Heartbeat, Digest, Work)
}
FULL_COLUMNS = len(fields(LoadColumns)) - 1


def write_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    values = list(to_compact(message))
    for default in reversed(_omitted_defaults(type(message))):
        if values[-1] != default:
            break
        values.pop()
    if isinstance(message, Heartbeat | Digest | Work) and not message.loads.slowness:
        index = LOADS_INDEX[type(message)]
        values[index] = values[index][:FULL_COLUMNS]
    data = cbor2.dumps([type(message).__name__, values])
    return data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data)


def read_message(data: bytes) -> Message | Unreadable:
    """Decode a datagram; malformed content of any kind yields `Unreadable`."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Unreadable(fault=DecodeFault.RANGE)
    if data[:1] == ZLIB_FIRST_BYTE:
        decompressed = decompress(data, MAX_DECOMPRESSED_BYTES)
        if decompressed is None:
            return Unreadable(fault=DecodeFault.BYTES)
        data = decompressed
    content = _parse(data)
    if isinstance(content, Unreadable):
        return content
    if not isinstance(content, list) or len(content) != 2:
        return Unreadable(fault=DecodeFault.TYPE)
    name, plain = content
    if not isinstance(name, str) or name not in MESSAGE_CLASSES:
        return Unreadable(fault=DecodeFault.UNKNOWN)
    kind = MESSAGE_CLASSES[name]
    if isinstance(plain, list):
        # Hosts of a later version add fields at the end.
        del plain[len(fields(kind)) :]
    if kind in OMITTED_DEFAULTS and isinstance(plain, list):
        missing = len(fields(kind)) - len(plain)
        defaults = _omitted_defaults(kind)
        if 0 < missing <= len(defaults):
            plain = [*plain, *defaults[-missing:]]
    if kind in LOADS_INDEX and isinstance(plain, list):
        _add_slowness(plain, LOADS_INDEX[kind])
    message = decode_compact(plain, kind)
    if isinstance(message, Heartbeat):
        if not 0.0 < message.interval <= MAX_INTERVAL_SECONDS:
            return Unreadable(fault=DecodeFault.RANGE, field="interval")
    if (
        isinstance(message, Heartbeat | Digest | Work)
        and not message.loads.has_equal_columns
    ):
        return Unreadable(fault=DecodeFault.MISSING, field="loads")
    return message


def _add_slowness(plain: list[Any], index: int) -> None:
    """Add the column of slowness to the loads if the sender left it out."""
    columns = plain[index] if index < len(plain) else None
    if isinstance(columns, list) and len(columns) == FULL_COLUMNS:
        columns.append([])


@cache
def _omitted_defaults(kind: type) -> tuple[Any, ...]:
    """Return the encoded defaults of the last fields that a datagram may leave out."""
    count = OMITTED_DEFAULTS.get(kind, 0)
    last = fields(kind)[len(fields(kind)) - count :]
    return tuple(to_compact(field.default) for field in last)


def decompress(data: bytes, max_bytes: int) -> bytes | None:
    """Decompress zlib data; None if it is damaged or exceeds `max_bytes`."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, max_bytes)
    except zlib.error:
        return None
    return decompressed if decompressor.eof else None


def _parse(data: bytes) -> Any | Unreadable:
    try:
        return cbor2.loads(data)
    # CBOR tags invoke the constructors of many types, and each raises its own errors.
    except Exception:
        return Unreadable(fault=DecodeFault.BYTES)


def encode_loads(
    loads: dict[GroupKey, tuple[int, float]],
    paces: Mapping[GroupKey, float] | None = None,
) -> LoadColumns:
    """Convert loads by group (running streams, tokens to prefill) to columns.

    `paces` is the slowness of those groups that was observed lately, empty if none is
    to be reported.
    """
    return LoadColumns(
        groups=tuple(group for group, _ in loads),
        epochs=tuple(epoch for _, epoch in loads),
        running=tuple(running for running, _ in loads.values()),
        # Sums of partial amounts may end just below zero, which peers would reject.
        prefill_tokens=tuple(max(0, round(tokens)) for _, tokens in loads.values()),
        slowness=tuple(round(10 * paces.get(key, 0.0)) for key in loads)
        if paces
        else (),
    )


def decode_paces(
    message: Heartbeat | Work | Digest,
) -> dict[GroupKey, tuple[float, int]]:
    """Return the reported slowness and the running streams, by group."""
    columns = message.loads
    if not columns.slowness:
        return {}
    keys = zip(columns.groups, columns.epochs, strict=True)
    return {
        key: (tenths / 10.0, running)
        for key, tenths, running in zip(
            keys, columns.slowness, columns.running, strict=True
        )
        if tenths
    }


def decode_loads(
    message: Heartbeat | Work | Digest,
) -> dict[GroupKey, tuple[int, float]]:
    """Return the loads by group of a message: running streams, tokens to prefill."""
    columns = message.loads
    keys = zip(columns.groups, columns.epochs, strict=True)
    return dict(
        zip(
            keys, zip(columns.running, columns.prefill_tokens, strict=True), strict=True
        )
    )
