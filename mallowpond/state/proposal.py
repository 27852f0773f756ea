"""Decide on a proposed configuration change, and on a cell's next epoch."""

from dataclasses import dataclass

from mallowpond.state.rows import CellRow, MemberRow, ProposalRow


@dataclass(frozen=True, kw_only=True)
class Accept:
    """A majority of every cell has prepared the change."""


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Some cells lack a majority; `missing` are their members that did not prepare."""

    missing: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Abort:
    """The change took too long; `missing` are the members that did not prepare."""

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
    """Decide on a proposal that this controller has seen open for `open_seconds`.

    It is accepted when a majority of every cell has prepared it. If there is no cell,
    it is never accepted.
    """
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
    # A member of an older epoch may still confirm the old version together with the
    # members of that epoch. So it counts only once it has acknowledged the current one.
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
    """Return the cell's next epoch, or None if it must not or need not change.

    `acknowledged` holds the members whose rows name the current epoch. Each epoch adds
    or removes one member, and only after a majority has acknowledged the previous one,
    so majorities of neighbouring epochs share a member. Otherwise a cell whose hosts
    were all replaced behind a partition could accept a change while the old members
    still confirmed the old version.
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
