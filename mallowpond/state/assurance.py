"""Decide whether a node may be sure which configuration version is in force.

A node admits new work only while one of three sources vouches for its version:
its own read of the head, a peer's read, or, with the table service dark, a majority
of its cell. Acceptance needs a majority of preparers in every cell, so every
majority that could vouch for the old version holds a member that has prepared the
new one and refuses to vouch. See ``docs/design/configuration.md``.
"""

from dataclasses import dataclass
from enum import Enum


class Source(str, Enum):
    """Name what vouches for the version."""

    OWN_READ = "own_read"
    PEER_READ = "peer_read"
    CELL_MAJORITY = "cell_majority"


@dataclass(frozen=True, kw_only=True)
class HeadRead:
    """Hold this node's last read of the head; `asked_at` is before the call."""

    version: int
    asked_at: float


@dataclass(frozen=True, kw_only=True)
class PeerAnswer:
    """Hold a peer's last answer; `asked_at` is this node's time before asking."""

    member: str
    asked_at: float
    epoch: int
    head_version: int
    read_age: float | None
    holds_newer: bool


@dataclass(frozen=True, kw_only=True)
class CellView:
    """Name the counted members of the cell, in the epoch this node last read."""

    epoch: int
    members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Assured:
    """The version in force is known, and stays so until `until` (own clock)."""

    version: int
    source: Source
    until: float


@dataclass(frozen=True, kw_only=True)
class NotAssured:
    """Nothing vouches for a version: new work has to be refused as not run."""

    reason: str


def assess(
    *,
    member: str,
    now: float,
    limit_seconds: float,
    cell: CellView,
    own_read: HeadRead | None,
    holds_newer: bool,
    peer_answers: tuple[PeerAnswer, ...],
) -> Assured | NotAssured:
    """Return the longest assurance that any of the three sources gives."""
    if own_read is None:
        # A restarted member may have prepared a change that it has forgotten.
        return NotAssured(reason="the head was not read since the start")
    reads = _assured_by_reads(own_read, peer_answers, limit_seconds)
    if now < reads.until:
        return reads
    vouched = _assured_by_majority(
        member, now, limit_seconds, cell, own_read, holds_newer, peer_answers
    )
    if now < vouched.until:
        return vouched
    return NotAssured(reason="neither the table, a peer nor the cell vouches")


def _assured_by_reads(
    own_read: HeadRead, peer_answers: tuple[PeerAnswer, ...], limit_seconds: float
) -> Assured:
    best = Assured(
        version=own_read.version,
        source=Source.OWN_READ,
        until=own_read.asked_at + limit_seconds,
    )
    for vouch in peer_answers:
        if vouch.read_age is None:
            continue
        until = vouch.asked_at - vouch.read_age + limit_seconds
        if (vouch.head_version, until) > (best.version, best.until):
            best = Assured(
                version=vouch.head_version, source=Source.PEER_READ, until=until
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
    nothing = Assured(version=own_read.version, source=Source.CELL_MAJORITY, until=now)
    if holds_newer or member not in cell.members:
        return nothing
    fresh = [v for v in peer_answers if now - v.asked_at < limit_seconds]
    if any(_forbids(v, cell, own_read, now, limit_seconds) for v in fresh):
        return nothing
    agreeing = [v for v in fresh if _agrees(v, cell, own_read)]
    needed = len(cell.members) // 2 + 1
    if 1 + len(agreeing) < needed:
        return nothing
    # The weakest vouch of the smallest majority bounds the assurance.
    latest_first = sorted((v.asked_at for v in agreeing), reverse=True)
    oldest = min([now, *latest_first[: needed - 1]])
    return Assured(
        version=own_read.version,
        source=Source.CELL_MAJORITY,
        until=oldest + limit_seconds,
    )


def _forbids(
    vouch: PeerAnswer,
    cell: CellView,
    own_read: HeadRead,
    now: float,
    limit_seconds: float,
) -> bool:
    knows_later = vouch.head_version > own_read.version or vouch.epoch > cell.epoch
    return knows_later or _has_read(vouch, now, limit_seconds)


def _has_read(vouch: PeerAnswer, now: float, limit_seconds: float) -> bool:
    # A member that still reads the table proves that it is not dark: the others
    # should take its word (the second source) and not outvote it.
    if vouch.read_age is None:
        return False
    return now - vouch.asked_at + vouch.read_age < limit_seconds


def _agrees(vouch: PeerAnswer, cell: CellView, own_read: HeadRead) -> bool:
    same = vouch.head_version == own_read.version and vouch.epoch == cell.epoch
    has_read_once = vouch.read_age is not None
    return (
        same
        and has_read_once
        and not vouch.holds_newer
        and (vouch.member in cell.members)
    )
