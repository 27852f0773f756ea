"""Which sources confirm the configuration version, case by case."""

from dataclasses import replace

import pytest

from mallowpond.state.assurance import (
    Assured,
    CellView,
    HeadRead,
    NotAssured,
    PeerAnswer,
    Source,
    assess_assurance,
)

LIMIT = 4.0
CELL = CellView(epoch=5, members=("a", "b", "c", "d", "e"))
NOW = 100.0


def answer(member, **changes):
    base = PeerAnswer(
        member=member,
        asked_at=NOW - 0.5,
        epoch=5,
        head_version=7,
        read_age=50.0,
        holds_newer=False,
    )
    return replace(base, **changes)


def assess_case(
    peer_answers=(), own_read=HeadRead(version=7, asked_at=40.0), holds_newer=False
):
    return assess_assurance(
        member="a",
        now=NOW,
        limit_seconds=LIMIT,
        cell=CELL,
        own_read=own_read,
        holds_newer=holds_newer,
        peer_answers=tuple(peer_answers),
    )


def test_own_recent_read_assures():
    verdict = assess_case(own_read=HeadRead(version=7, asked_at=98.0))
    assert verdict == Assured(version=7, source=Source.OWN_READ, until=102.0)


def test_peer_that_read_assures_and_brings_newer_version():
    verdict = assess_case([answer("b", read_age=1.0, head_version=8)])
    assert verdict == Assured(version=8, source=Source.PEER_READ, until=102.5)


def test_majority_keeps_service_up_in_a_dark_table():
    verdict = assess_case([answer("b"), answer("c", asked_at=98.0)])
    assert verdict == Assured(version=7, source=Source.CELL_MAJORITY, until=102.0)


@pytest.mark.parametrize(
    "peer_answers",
    [
        pytest.param([], id="cut off from all"),
        pytest.param([answer("b")], id="minority"),
        pytest.param([answer("b"), answer("x")], id="stranger does not count"),
        pytest.param([answer("b"), answer("c", holds_newer=True)], id="prepared newer"),
        pytest.param([answer("b"), answer("c", read_age=None)], id="restarted member"),
        pytest.param([answer("b"), answer("c", epoch=4)], id="older epoch"),
        pytest.param(
            [answer("b"), answer("c"), answer("d", epoch=6)], id="later epoch"
        ),
        pytest.param([answer("b"), answer("c", asked_at=95.0)], id="old answer"),
        pytest.param(
            [answer("b"), answer("c"), answer("d", head_version=8)],
            id="newer head known",
        ),
    ],
)
def test_nothing_vouches(peer_answers):
    assert isinstance(assess_case(peer_answers), NotAssured)


def test_holder_of_newer_proposal_does_not_lean_on_majority():
    verdict = assess_case([answer("b"), answer("c"), answer("d")], holds_newer=True)
    assert isinstance(verdict, NotAssured)


def test_restarted_node_is_not_assured_by_a_majority():
    """Guard against an accepted version that reverts on a restarted node.

    The node prepares a version, restarts while the table service is down, and has
    lost what it prepared, so its own vote must not count towards the majority.
    """
    everyone = [answer(m) for m in "bcde"]
    assert isinstance(assess_case(everyone, own_read=None), NotAssured)
