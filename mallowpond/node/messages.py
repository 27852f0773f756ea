"""Say what nodes tell one another, and how a datagram holds it.

Datagrams may be lost or doubled; every message holds a whole statement, and the
next heartbeat repeats what matters.
"""

import zlib
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_args

import cbor2

from mallowpond.state.codec import to_compact
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
from mallowpond.state.fleet import BreakCause, GroupKey, Process, Target
from mallowpond.state.rate_limit import TargetLimit

# Pause between two heartbeats, in seconds: peers' loads age by two passes or so.
HEARTBEAT_SECONDS = 0.1
# Longest pause between heartbeats that a peer may announce, in seconds: beyond that of
# the largest fleet. A longer one would keep a dead peer among the living.
MAX_INTERVAL_SECONDS = 60.0
# Largest datagram that is read, in bytes: what UDP over IPv4 carries; and the largest
# that one is unpacked to.
MAX_DATAGRAM_BYTES = 65_507
MAX_DECOMPRESSED_BYTES = 4 * MAX_DATAGRAM_BYTES
# Size from which a datagram is compressed, in bytes: a change of many targets, sent in
# full to many hosts, would fill a link, and what gets lost each host reads anew.
COMPRESSION_THRESHOLD_BYTES = 600
# First byte of what is compressed; no message begins with it.
ZLIB_FIRST_BYTE = b"\x78"


@dataclass(frozen=True, kw_only=True)
class LoadColumns:
    """Tell work by group, in a column for each figure.

    With a data class for each group they would take several times as long to decode.
    """

    groups: tuple[Name, ...] = ()
    epochs: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    reading: tuple[int, ...] = ()

    @property
    def has_equal_columns(self) -> bool:
        """Tell whether each column has a figure of each group."""
        columns = (self.groups, self.epochs, self.running, self.reading)
        return len(set(map(len, columns))) == 1


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Say what a node does; `planning` is its fencing number, 0 if it plans not.

    `interval` is the pause until its next heartbeat, in seconds; `cores` is the
    processor time that it has.
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
    # The last place that the dispatcher gave, whose stream `loads` holds.
    grant_number: int = 0


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Say that a group stands silent.

    With `cleared` it is sound again; with `closing` it gets no new streams, but
    those that run may end there.
    """

    node: Name
    group: Name
    epoch: int
    cleared: bool = False
    closing: bool = False


@dataclass(frozen=True, kw_only=True)
class SilenceQuestion:
    """Ask whether a group that is silent here, for so many seconds, advances there."""

    node: Name
    group: Name
    epoch: int
    silent: float


@dataclass(frozen=True, kw_only=True)
class Advance:
    """Answer that a group advances."""

    node: Name
    group: Name
    epoch: int


@dataclass(frozen=True, kw_only=True)
class GroupBroken:
    """Say that a formation serves no more, as its head or a member showed itself.

    `head` is the process that the sender took for its head: a receiver that knows
    another one has newer or older news of the group than this.
    """

    node: str
    group: str
    epoch: int
    head: Process
    cause: BreakCause


@dataclass(frozen=True, kw_only=True)
class Vouch:
    """Say that targets which the list has lost were found healthy."""

    node: Name
    targets: tuple[Identifier, ...]


@dataclass(frozen=True, kw_only=True)
class Digest:
    """Tell, as a reader of the store, what is newest there and where work runs.

    `changed` is the revision of the list's last change; `loads` are all hosts' work by
    group, empty in small fleets, where heartbeats tell it. With `pass_on` the receiver
    tells it to its own data centre.
    """

    node: Name
    version: int
    changed: int
    loads: LoadColumns = LoadColumns()
    pass_on: bool = False


@dataclass(frozen=True, kw_only=True)
class ListChange:
    """Pass on what a reader found changed in the list after `previous`.

    A large change comes in several `parts`, of which this is number `part`. With
    `pass_on` the receiver tells it to its own data centre.
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
    """Tell the readers one host's work by group.

    It includes the streams of all places that the dispatcher granted up to the one
    numbered `grant_number`.
    """

    node: Name
    loads: LoadColumns
    grant_number: int = 0


@dataclass(frozen=True, kw_only=True)
class PlaceQuestion:
    """Ask the dispatcher for a place; times are in seconds from now.

    A stream that starts within `on_time` can still meet its objective, and it waits
    for `patience` at most. Groups in `avoided` are out of the question.
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


class PlaceVerdict(str, Enum):
    """Say what becomes of a stream that asked for a place."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class PlaceAnswer:
    """Answer a question for a place.

    A granted place is on `group`; `grant_number` counts the places granted to that host
    so far. A refused stream would have to wait for `wait` seconds.
    """

    node: Name
    number: int
    verdict: PlaceVerdict
    group: str = ""
    epoch: int = 0
    grant_number: int = 0
    wait: float = 0.0


@dataclass(frozen=True, kw_only=True)
class VersionQuestion:
    """Ask a reader which configuration is the newest."""

    node: Name
    number: int


@dataclass(frozen=True, kw_only=True)
class VersionAnswer:
    """Say which version was the newest `age` seconds before this was sent."""

    node: Name
    number: int
    version: int
    age: float


@dataclass(frozen=True, kw_only=True)
class ConfigurationPart:
    """Pass on a configuration, compressed, in several `parts` where it is large.

    With `pass_on` the receiver tells it to its own data centre.
    """

    node: Name
    version: int
    data: bytes
    part: int = 0
    parts: Positive = 1
    pass_on: bool = False


@dataclass(frozen=True, kw_only=True)
class ConfigurationQuestion:
    """Ask a peer for the configuration that it has."""

    node: Name


@dataclass(frozen=True, kw_only=True)
class LivenessQuestion:
    """Ask whether a target lives, as the asker doubts what it finds itself."""

    node: Name
    number: int
    target: Identifier


@dataclass(frozen=True, kw_only=True)
class LivenessAnswer:
    """Say whether a target answered this host."""

    node: Name
    number: int
    alive: bool


@dataclass(frozen=True, kw_only=True)
class CrashRecords:
    """Tell under which requests targets ended; with `answer` a peer had asked."""

    node: Name
    records: tuple[CrashRecord, ...]
    answer: bool = False


@dataclass(frozen=True, kw_only=True)
class CrashQuestion:
    """Ask a peer under which requests targets ended."""

    node: Name


@dataclass(frozen=True, kw_only=True)
class RateLimitNews:
    """Tell which rate limits targets named, or name no more."""

    node: Name
    limits: tuple[TargetLimit, ...]


Message = (
    Heartbeat
    | Suspicion
    | GroupBroken
    | Vouch
    | SilenceQuestion
    | Advance
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
    | CrashQuestion
    | RateLimitNews
)
MESSAGE_CLASSES = {kind.__name__: kind for kind in get_args(Message)}


def write_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    data = cbor2.dumps([type(message).__name__, to_compact(message)])
    return data if len(data) < COMPRESSION_THRESHOLD_BYTES else zlib.compress(data)


def read_message(data: bytes) -> Message | Unreadable:
    """Decode a datagram, whatever it holds."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Unreadable(fault=DecodeFault.RANGE)
    if data[:1] == ZLIB_FIRST_BYTE:
        unpacked = decompress(data, MAX_DECOMPRESSED_BYTES)
        if unpacked is None:
            return Unreadable(fault=DecodeFault.BYTES)
        data = unpacked
    content = _parse(data)
    if isinstance(content, Unreadable):
        return content
    if not isinstance(content, list) or len(content) != 2:
        return Unreadable(fault=DecodeFault.TYPE)
    name, plain = content
    if not isinstance(name, str) or name not in MESSAGE_CLASSES:
        return Unreadable(fault=DecodeFault.UNKNOWN)
    message = decode_compact(plain, MESSAGE_CLASSES[name])
    if isinstance(message, Heartbeat):
        if not 0.0 < message.interval <= MAX_INTERVAL_SECONDS:
            return Unreadable(fault=DecodeFault.RANGE, field="interval")
    if (
        isinstance(message, Heartbeat | Digest | Work)
        and not message.loads.has_equal_columns
    ):
        return Unreadable(fault=DecodeFault.MISSING, field="loads")
    return message


def decompress(data: bytes, max_bytes: int) -> bytes | None:
    """Return what was compressed, None if it is damaged or larger than `max_bytes`."""
    unpacking = zlib.decompressobj()
    try:
        unpacked = unpacking.decompress(data, max_bytes)
    except zlib.error:
        return None
    return unpacked if unpacking.eof else None


def _parse(data: bytes) -> Any | Unreadable:
    try:
        return cbor2.loads(data)
    # Tagged values are built by the constructors of many types, each with errors of
    # its own.
    except Exception:
        return Unreadable(fault=DecodeFault.BYTES)


def encode_loads(
    loads: dict[GroupKey, tuple[int, float]],
) -> LoadColumns:
    """Return a host's work by group as messages carry it."""
    return LoadColumns(
        groups=tuple(group for group, _ in loads),
        epochs=tuple(epoch for _, epoch in loads),
        running=tuple(running for running, _ in loads.values()),
        # Sums of parts may end just below nothing, which no peer would read.
        reading=tuple(max(0, round(reading)) for _, reading in loads.values()),
    )


def decode_loads(
    message: Heartbeat | Work | Digest,
) -> dict[GroupKey, tuple[int, float]]:
    """Return the work by group that a message tells."""
    told = message.loads
    keys = zip(told.groups, told.epochs, strict=True)
    return dict(zip(keys, zip(told.running, told.reading, strict=True), strict=True))
