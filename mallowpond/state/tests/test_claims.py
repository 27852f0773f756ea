"""Claims: single decisions, and a state machine over interleavings."""

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
    settle_finish,
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
    assert settle_finish(stored=claim("a1"), requested=requested) is None


class ClaimMachine(RuleBasedStateMachine):
    """Two gateways race on one key through a table that loses answers.

    Each attempt is claimed, then sent or voided. A commit is decided against one
    version of the row; it may arrive late and succeeds only if the row still has that
    version.
    """

    def __init__(self):
        super().__init__()
        self.row, self.version, self.ledger = None, 0, 0
        self.in_flight = []
        self.granted, self.timed_out, self.voided = set(), set(), set()
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
            self.in_flight.append((self.version, decision.row, requested.units))

    @precondition(lambda self: self.in_flight)
    @rule(position=st.integers(0, 5), answer_lost=st.booleans())
    def arrive(self, position, answer_lost):
        version, row, units = self.in_flight.pop(position % len(self.in_flight))
        committed = version == self.version
        if committed:
            self.row, self.version = row, self.version + 1
            self.ledger += units
        if row.state is not ClaimState.CLAIMED:
            return
        if committed and not answer_lost:
            self.granted.add(row.attempt)
        else:
            self.timed_out.add(row.attempt)

    @rule(number=st.integers(1, 6))
    def give_up_while_commit_is_in_flight(self, number):
        """The answer to a commit times out; its void may overtake the commit."""
        attempt = f"a{number}"
        is_in_flight = any(row.attempt == attempt for _, row, _ in self.in_flight)
        if is_in_flight and attempt not in self.granted:
            self.timed_out.add(attempt)

    @precondition(lambda self: self.timed_out)
    @rule()
    def void(self):
        self.voided |= self.timed_out
        for attempt in sorted(self.timed_out):
            settled = settle_void(stored=self.row, requested=claim(attempt))
            if settled is not None:
                self.row, self.version = settled.row, self.version + 1
                self.ledger += settled.units

    @precondition(lambda self: self.granted - self.timed_out)
    @rule()
    def send(self):
        attempt = sorted(self.granted - self.timed_out)[0]
        self.granted.discard(attempt)
        self.sent.append(attempt)

    @precondition(lambda self: self.sent)
    @rule()
    def finish(self):
        done = replace(claim(self.sent[-1]), state=ClaimState.DONE)
        settled = settle_finish(stored=self.row, requested=done)
        if settled is not None:
            self.row, self.version = settled.row, self.version + 1

    @invariant()
    def runs_at_most_once(self):
        assert len(self.sent) <= 1

    @invariant()
    def charged_for_the_stored_claim_only(self):
        charged = self.row is not None and self.row.state is not ClaimState.VOID
        assert self.ledger == (5 if charged else 0)

    @invariant()
    def voided_attempt_is_never_charged(self):
        """A commit that arrives after its void must not take effect."""
        claimed = self.row is not None and self.row.state is ClaimState.CLAIMED
        assert not claimed or self.row.attempt not in self.voided


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
