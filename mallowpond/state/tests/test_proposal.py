"""Acceptance and abort of proposals, and the epochs of a cell."""

from mallowpond.state.proposal import (
    Abort,
    Accept,
    Wait,
    decide_proposal,
    next_epoch,
)
from mallowpond.state.rows import CellRow, MemberRow, MemberState, ProposalRow

PROPOSAL = ProposalRow(version=2, text="", author="", proposal="p", proposer="a")
UB = CellRow(cell="ub", epoch=3, members=("a", "b", "c"))
DZ = CellRow(cell="dz", epoch=1, members=("x", "y", "z"))


def member(name, cell="ub", prepared="p", epoch=3):
    return MemberRow(
        name=name,
        cell=cell,
        address="",
        operator_address="",
        incarnation="1",
        applied=1,
        prepared=prepared,
        epoch=epoch,
        state=MemberState.LIVE,
    )


def decide(*members, cells=(UB,), open_seconds=1.0):
    return decide_proposal(
        proposal=PROPOSAL,
        cells=cells,
        members=members,
        open_seconds=open_seconds,
        abort_seconds=10.0,
    )


def test_majority_of_the_cell_accepts():
    assert decide(member("a"), member("b"), member("c", prepared="")) == Accept()


def test_every_cell_needs_its_own_majority():
    decision = decide(member("a"), member("b"), member("c"), cells=(UB, DZ))
    assert decision == Wait(missing=("x", "y", "z"))


def test_preparing_another_proposal_of_the_same_version_does_not_count():
    decision = decide(member("a"), member("b", prepared="aborted"))
    assert decision == Wait(missing=("b", "c"))


def test_member_of_an_older_epoch_does_not_count():
    decision = decide(member("a"), member("b", epoch=2))
    assert decision == Wait(missing=("b", "c"))


def test_proposal_is_aborted_in_time_and_names_who_was_missing():
    decision = decide(member("a"), open_seconds=10.0)
    assert decision == Abort(missing=("b", "c"))


def test_no_cell_means_no_acceptance():
    assert decide(member("a"), cells=()) == Wait(missing=())


def test_epoch_moves_by_one_member():
    step = next_epoch(
        cell=UB, acknowledged=frozenset("ab"), joining=("d", "e"), gone=()
    )
    assert step == CellRow(cell="ub", epoch=4, members=("a", "b", "c", "d"))


def test_epoch_removes_before_it_adds():
    step = next_epoch(
        cell=UB, acknowledged=frozenset("ab"), joining=("d",), gone=("c",)
    )
    assert step == CellRow(cell="ub", epoch=4, members=("a", "b"))


def test_epoch_waits_for_a_majority_to_note_the_last():
    step = next_epoch(cell=UB, acknowledged=frozenset("a"), joining=("d",), gone=())
    assert step is None


def test_last_member_is_never_removed():
    alone = CellRow(cell="ub", epoch=1, members=("a",))
    assert (
        next_epoch(cell=alone, acknowledged=frozenset("a"), joining=(), gone=("a",))
        is None
    )
