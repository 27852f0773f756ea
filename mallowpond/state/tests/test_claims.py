"""Claims, alone and explored over interleavings."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mallowpond.state.claims import (
    AlreadyRun,
    Granted,
    InProgress,
    OutcomeUnknown,
    Withdrawn,
    decide_claim,
    settle_end,
    settle_void,
)
from mallowpond.state.rows import ClaimRow, ClaimState

ALIVE = frozenset({"gw/1"})


def claim(attempt="a1", gateway="gw/1", state=ClaimState.CLAIMED):
    return ClaimRow(
        workspace="w", key="k", attempt=attempt, gateway=gateway, units=5, state=state
    )


@pytest.mark.parametrize(
    ("stored", "expected"),
    [
        (None, Granted(row=claim("a2"))),
        (claim(), InProgress()),
        (claim(gateway="gw/0"), OutcomeUnknown()),
        (claim(state=ClaimState.DONE), AlreadyRun()),
        (claim(state=ClaimState.UNKNOWN), OutcomeUnknown()),
        (claim(state=ClaimState.VOID), Granted(row=claim("a2"))),
        (claim("a2", state=ClaimState.VOID), Withdrawn()),
        (claim("a2"), Granted(row=claim("a2"))),
    ],
)
def test_second_attempt(stored, expected):
    assert (
        decide_claim(stored=stored, requested=claim("a2"), live_gateways=ALIVE)
        == expected
    )


def test_void_refunds_what_was_charged():
    assert settle_void(stored=claim(), requested=claim()).units == -5


def test_void_of_an_absent_claim_keeps_its_late_commit_out():
    settled = settle_void(stored=None, requested=claim())
    assert settled.units == 0
    assert settled.row.state is ClaimState.VOID


def test_void_of_another_attempt_changes_nothing():
    assert settle_void(stored=claim("a1"), requested=claim("a2")) is None


def test_end_of_another_attempt_changes_nothing():
    requested = claim("a2", state=ClaimState.DONE)
    assert settle_end(stored=claim("a1"), requested=requested) is None


class ClaimMachine(RuleBasedStateMachine):
    """Two gateways race on one key through a table that loses answers.

    Each attempt is claimed, then sent or voided. A commit is decided against one
    version of the row and arrives, perhaps late, only if the row still stands there.
    """

    def __init__(self):
        super().__init__()
        self.row, self.version, self.ledger = None, 0, 0
        self.on_its_way = []
        self.granted, self.given_up, self.voided = set(), set(), set()
        self.sent = []
        self.attempts = 0

    @rule(gateway=st.sampled_from(["gw/1", "gw/2"]))
    def ask(self, gateway):
        self.attempts += 1
        requested = claim(f"a{self.attempts}", gateway)
        alive = frozenset({"gw/1", "gw/2"})
        decision = decide_claim(
            stored=self.row, requested=requested, live_gateways=alive
        )
        if isinstance(decision, Granted):
            self.on_its_way.append((self.version, decision.row, requested.units))

    @precondition(lambda self: self.on_its_way)
    @rule(place=st.integers(0, 5), answer_lost=st.booleans())
    def arrive(self, place, answer_lost):
        version, row, units = self.on_its_way.pop(place % len(self.on_its_way))
        committed = version == self.version
        if committed:
            self.row, self.version = row, self.version + 1
            self.ledger += units
        if row.state is not ClaimState.CLAIMED:
            return
        if committed and not answer_lost:
            self.granted.add(row.attempt)
        else:
            self.given_up.add(row.attempt)

    @rule(number=st.integers(1, 6))
    def give_up_while_commit_is_out(self, number):
        """The answer of a commit times out; its void may overtake it."""
        attempt = f"a{number}"
        out = any(row.attempt == attempt for _, row, _ in self.on_its_way)
        if out and attempt not in self.granted:
            self.given_up.add(attempt)

    @precondition(lambda self: self.given_up)
    @rule()
    def void(self):
        self.voided |= self.given_up
        for attempt in sorted(self.given_up):
            settled = settle_void(stored=self.row, requested=claim(attempt))
            if settled is not None:
                self.row, self.version = settled.row, self.version + 1
                self.ledger += settled.units

    @precondition(lambda self: self.granted - self.given_up)
    @rule()
    def send(self):
        attempt = sorted(self.granted - self.given_up)[0]
        self.granted.discard(attempt)
        self.sent.append(attempt)

    @precondition(lambda self: self.sent)
    @rule()
    def finish(self):
        done = replace(claim(self.sent[-1]), state=ClaimState.DONE)
        settled = settle_end(stored=self.row, requested=done)
        if settled is not None:
            self.row, self.version = settled.row, self.version + 1

    @invariant()
    def runs_at_most_once(self):
        assert len(self.sent) <= 1

    @invariant()
    def charged_for_the_standing_claim_only(self):
        charged = self.row is not None and self.row.state is not ClaimState.VOID
        assert self.ledger == (5 if charged else 0)

    @invariant()
    def voided_attempt_is_never_charged(self):
        """A commit that arrives after its void must not stand."""
        claimed = self.row is not None and self.row.state is ClaimState.CLAIMED
        assert not claimed or self.row.attempt not in self.voided


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
