"""Decide whether a controller knows which configuration version is in force.

New work is admitted only while one of three sources confirms a version: the
controller's own read of the head row, a peer's read of it, or, while the table service
is unreachable, a majority of the controller's cell. A version is accepted only after a
majority of every cell has prepared it. So every majority that could confirm the old
version contains a member that has prepared the new one and does not confirm. See
``docs/design/configuration.md``.
"""

from dataclasses import dataclass
from enum import Enum


class Source(str, Enum):
    """What confirms the version."""

    OWN_READ = "own_read"
    PEER_READ = "peer_read"
    CELL_MAJORITY = "cell_majority"


@dataclass(frozen=True, kw_only=True)
class HeadRead:
    """This controller's last read of the head row, which names the version in force.

    `asked_at` is the time before the read was sent, so it never overstates freshness.
    """

    version: int
    asked_at: float


@dataclass(frozen=True, kw_only=True)
class PeerAnswer:
    """A peer's last answer about the configuration that it knows.

    `asked_at` is the time before the query was sent. `read_age` is the age in seconds
    of the peer's last read of the head row, None if it has not read it since its start.
    With `holds_newer` the peer has prepared a newer version than `head_version`.
    """

    member: str
    asked_at: float
    epoch: int
    head_version: int
    read_age: float | None
    holds_newer: bool


@dataclass(frozen=True, kw_only=True)
class CellView:
    """The voting members of the cell in its latest known epoch."""

    epoch: int
    members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Assured:
    """The version in force is known, until `until` on this controller's clock."""

    version: int
    source: Source
    until: float


@dataclass(frozen=True, kw_only=True)
class NotAssured:
    """No source confirms a version, so new work must be refused as not run."""

    reason: str


def assess_assurance(
    *,
    member: str,
    now: float,
    limit_seconds: float,
    cell: CellView,
    own_read: HeadRead | None,
    holds_newer: bool,
    peer_answers: tuple[PeerAnswer, ...],
) -> Assured | NotAssured:
    """Return the assurance by reads if it still holds, else by the cell's majority.

    An assurance lasts `limit_seconds` from the time at which its source was read.
    `holds_newer`: this controller has prepared a version newer than its own read.
    """
    if own_read is None:
        # A restarted member may have lost a version that it had prepared.
        return NotAssured(reason="the head has not been read since the start")
    by_reads = _assured_by_reads(own_read, peer_answers, limit_seconds)
    if now < by_reads.until:
        return by_reads
    by_majority = _assured_by_majority(
        member, now, limit_seconds, cell, own_read, holds_newer, peer_answers
    )
    if now < by_majority.until:
        return by_majority
    return NotAssured(
        reason="neither the table, a peer nor the cell confirms a version"
    )


def _assured_by_reads(
    own_read: HeadRead, peer_answers: tuple[PeerAnswer, ...], limit_seconds: float
) -> Assured:
    best = Assured(
        version=own_read.version,
        source=Source.OWN_READ,
        until=own_read.asked_at + limit_seconds,
    )
    for answer in peer_answers:
        if answer.read_age is None:
            continue
        until = answer.asked_at - answer.read_age + limit_seconds
        if (answer.head_version, until) > (best.version, best.until):
            best = Assured(
                version=answer.head_version, source=Source.PEER_READ, until=until
            )
    return best


def _assured_by_majority(
    member: str,
    now: float,
    limit_seconds: float,
    cell: CellView,
    own_read: HeadRead,
    holds_newer: bool,
    peer_answers: tuple[PeerAnswer, ...],
) -> Assured:
    not_assured = Assured(
        version=own_read.version, source=Source.CELL_MAJORITY, until=now
    )
    if holds_newer or member not in cell.members:
        return not_assured
    fresh = [a for a in peer_answers if now - a.asked_at < limit_seconds]
    if any(_contradicts(a, cell, own_read, now, limit_seconds) for a in fresh):
        return not_assured
    confirming = [a for a in fresh if _confirms(a, cell, own_read)]
    needed = len(cell.members) // 2 + 1
    if 1 + len(confirming) < needed:
        return not_assured
    # The oldest answer of the most recent majority bounds the assurance.
    latest_first = sorted((a.asked_at for a in confirming), reverse=True)
    oldest = min([now, *latest_first[: needed - 1]])
    return Assured(
        version=own_read.version,
        source=Source.CELL_MAJORITY,
        until=oldest + limit_seconds,
    )


def _contradicts(
    answer: PeerAnswer,
    cell: CellView,
    own_read: HeadRead,
    now: float,
    limit_seconds: float,
) -> bool:
    knows_newer = answer.head_version > own_read.version or answer.epoch > cell.epoch
    return knows_newer or _can_read_table(answer, now, limit_seconds)


def _can_read_table(answer: PeerAnswer, now: float, limit_seconds: float) -> bool:
    # A member that still reads the table proves that the service is reachable: the
    # others must rely on that read (the second source) and not outvote it.
    if answer.read_age is None:
        return False
    return now - answer.asked_at + answer.read_age < limit_seconds


def _confirms(answer: PeerAnswer, cell: CellView, own_read: HeadRead) -> bool:
    has_same_state = (
        answer.head_version == own_read.version and answer.epoch == cell.epoch
    )
    has_read_head = answer.read_age is not None
    return (
        has_same_state
        and has_read_head
        and not answer.holds_newer
        and (answer.member in cell.members)
    )
