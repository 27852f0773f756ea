"""Decide what becomes of a proposed configuration change."""

from dataclasses import dataclass

from mallowpond.state.rows import CellRow, MemberRow, ProposalRow


@dataclass(frozen=True, kw_only=True)
class Accept:
    """A majority of every cell has prepared the change."""


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Some cells still lack preparers; `missing` names their members."""

    missing: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Abort:
    """The change took too long; `missing` names who did not prepare."""

    missing: tuple[str, ...]


Decision = Accept | Wait | Abort


def decide_proposal(
    *,
    proposal: ProposalRow,
    cells: tuple[CellRow, ...],
    members: tuple[MemberRow, ...],
    open_seconds: float,
    abort_seconds: float,
) -> Decision:
    """Weigh a proposal that this controller has seen open for `open_seconds`."""
    prepared = {m.name for m in members if _has_prepared(m, proposal, cells)}
    lacking = [c for c in cells if not _has_majority(c, prepared)]
    if cells and not lacking:
        return Accept()
    missing = tuple(m for c in lacking for m in c.members if m not in prepared)
    if open_seconds >= abort_seconds:
        return Abort(missing=missing)
    return Wait(missing=missing)


def _has_prepared(
    member: MemberRow, proposal: ProposalRow, cells: tuple[CellRow, ...]
) -> bool:
    # A member that prepared under an older epoch may still vouch with the members
    # of that epoch, so its word counts only once it has noted the present one.
    epochs = {c.cell: c.epoch for c in cells}
    is_current = epochs.get(member.cell) == member.epoch
    return is_current and member.prepared == proposal.proposal


def _has_majority(cell: CellRow, prepared: set[str]) -> bool:
    return 2 * len(prepared.intersection(cell.members)) > len(cell.members)


def next_epoch(
    *,
    cell: CellRow,
    acknowledged: frozenset[str],
    joining: tuple[str, ...],
    gone: tuple[str, ...],
) -> CellRow | None:
    """Return the cell with one member more or less, once it is safe to move on.

    `acknowledged` holds the counted members whose rows name the present epoch. Epochs
    differ by one member and a step needs a majority that has noted the last one, so
    majorities of neighbouring epochs share a member. Without that a cell whose hosts
    were all replaced behind a partition could accept a change while the old members
    still vouched for the old version.
    """
    if 2 * len(acknowledged.intersection(cell.members)) <= len(cell.members):
        return None
    added = sorted(set(joining) - set(cell.members))
    removed = sorted(set(gone).intersection(cell.members))
    if removed and len(cell.members) > 1:
        members = tuple(m for m in cell.members if m != removed[0])
    elif added:
        members = tuple(sorted((*cell.members, added[0])))
    else:
        return None
    return CellRow(cell=cell.cell, epoch=cell.epoch + 1, members=members)
