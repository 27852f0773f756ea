"""Which parts of prompts are quarantined, by the targets that ended under them."""

import random

import pytest

from mallowpond.state import part_ledger
from mallowpond.state.fleet import Process
from mallowpond.state.part_ledger import (
    DISPROVED_AFTER_SECONDS,
    ENDINGS_TO_GENERALIZE,
    EXCUSE_SECONDS,
    EXCUSED_ENDINGS,
    FIRST_QUARANTINE_SECONDS,
    MAX_ANSWERED,
    MAX_ENDINGS,
    MAX_PARTS,
    MAX_QUARANTINE_SECONDS,
    PartEnding,
    PartLedger,
    PartRecord,
)


def target(number):
    """Return the process of a target."""
    return Process(id=f"t{number}", born=1)


def ending(number, *companions, request=None, early=False, age=0.0):
    """Build the end of a target under a request of its own."""
    return PartEnding(
        process=target(number),
        request=request or f"r{number}",
        companions=companions,
        early=early,
        age=age,
    )


def ledger_of(*crashes, early=False, now=0.0):
    """Build a ledger that saw each of these requests end a target of its own."""
    ledger = PartLedger()
    for number, parts in enumerate(crashes):
        ledger.record_ending(parts, f"r{number}", target(number), now, early=early)
    return ledger


def is_refused(ledger, *parts, now=0.0):
    """Return whether a request with these parts is refused."""
    return ledger.quarantine_of(parts, now) is not None


def test_what_different_requests_share_is_refused_in_any_company():
    """Guards against targets that end under requests of which no two are alike."""
    ledger = ledger_of(("a", "bad", "x"), ("b", "bad"), ("c", "bad", "y"))
    assert ledger.quarantined(0.0) == {"bad"}
    assert is_refused(ledger, "a", "bad", "x")
    assert is_refused(ledger, "b", "bad", "z")
    assert not is_refused(ledger, "a", "x") and not is_refused(ledger)


def test_two_endings_suffice_for_requests_that_had_just_begun():
    assert is_refused(ledger_of(("bad",), ("bad",), early=True), "bad")
    assert not is_refused(ledger_of(("bad",), ("bad",)), "bad")


def test_one_request_that_is_sent_again_accuses_no_part():
    """Guards against refused sound parts of a request that ends targets itself."""
    ledger = PartLedger()
    for number in range(5):
        ledger.record_ending(("a",), "r", target(number), 0.0, early=True)
    assert not is_refused(ledger, "a")


def test_sound_requests_with_some_of_the_parts_pass_and_clear_them():
    """Guards against refusing the first part that came with the deadly one."""
    ledger = ledger_of(*[("a", "bad")] * 3)
    assert is_refused(ledger, "a", "bad")
    assert not is_refused(ledger, "a", "other")
    ledger.record_answer(("a", "other"), 1.0)
    assert is_refused(ledger, "bad", now=1.0)
    assert not is_refused(ledger, "a", now=1.0)


def test_a_sound_part_that_came_with_two_deadly_ones_passes_without_them():
    """Guards against refusing what stands in all endings by chance."""
    ledger = ledger_of(("one", "m"), ("two", "m"), ("one", "m"))
    assert is_refused(ledger, "one", "m") and is_refused(ledger, "two", "m")
    assert not is_refused(ledger, "m", "other")


def test_changing_company_does_not_hide_a_part_for_long():
    """Guards against a caller that gives each request new parts beside the deadly."""
    crashes = [(f"c{number}", "bad") for number in range(ENDINGS_TO_GENERALIZE)]
    assert not is_refused(ledger_of(*crashes[:-1]), "new", "bad")
    assert is_refused(ledger_of(*crashes), "new", "bad")


def test_two_deadly_parts_at_once_are_both_refused():
    ledger = ledger_of(*[("one",), ("two",)] * 3)
    assert ledger.quarantined(0.0) == {"one", "two"}


def test_parts_of_bystanders_are_explained_by_the_cause():
    """Guards against refusing a part that ran beside the cause each time."""
    ledger = PartLedger()
    for number in range(4):
        ledger.record_ending(("bad",), f"r{number}", target(number), 0.0)
        if number:
            ledger.record_ending(("beside",), f"b{number}", target(number), 0.0)
    assert ledger.quarantined(0.0) == {"bad"}


def test_an_answer_refutes_all_earlier_endings():
    ledger = ledger_of(("a",), ("a",), ("a",))
    assert ledger.record_answer(("a", "other"), 1.0) == ["a"]
    assert not ledger.quarantined(1.0)


def test_an_answer_refutes_endings_before_it_that_are_heard_later():
    """Guards against accusing a part with evidence from before its answer."""
    ledger = PartLedger()
    ledger.record_answer(("a",), 100.0)
    late = 100.0 + 2.0 * EXCUSE_SECONDS
    endings = tuple(ending(n, age=late - 90.0) for n in range(8))
    ledger.merge(PartRecord(part="a", endings=endings), late)
    assert not ledger.quarantined(late)


def test_a_domain_that_is_lost_accuses_no_part_that_was_just_answered():
    """Guards against refusing a common part for the loss of several targets."""
    ledger = PartLedger()
    ledger.record_answer(("a",), 0.0)
    for number in range(EXCUSED_ENDINGS):
        ledger.record_ending(("a",), f"r{number}", target(number), 1.0, early=True)
    assert not is_refused(ledger, "a", now=1.0)
    assert all(e.refuted for e in ledger.record("a", 1.0).endings)


def test_a_part_that_turns_deadly_is_found():
    """Guards against an old answer that excuses every later ending."""
    ledger = PartLedger()
    ledger.record_answer(("a",), 0.0)
    for number in range(EXCUSED_ENDINGS + 3):
        ledger.record_ending(("a",), f"r{number}", target(number), 1.0)
    assert is_refused(ledger, "a", now=1.0)


def test_the_first_end_after_an_answer_is_told_to_nobody():
    """Guards against datagrams for each part of each stream on a lost target."""
    ledger = PartLedger()
    ledger.record_answer(("a",), 0.0)
    assert ledger.record_ending(("a", "new"), "r", target(1), 1.0) == ["new"]
    assert ledger.record_ending(("a", "new"), "q", target(2), 1.0) == ["a", "new"]


def test_a_target_that_is_alive_refutes_its_end():
    """Guards against connections that are reset while their target runs on."""
    ledger = ledger_of(("a",), ("a",), ("a",))
    early, late = 0.5 * DISPROVED_AFTER_SECONDS, 2.0 * DISPROVED_AFTER_SECONDS
    assert ledger.record_alive(target(0), early) == []
    assert is_refused(ledger, "a", now=early)
    assert ledger.record_alive(target(0), late) == ["a"]
    assert not is_refused(ledger, "a", now=late)
    assert ledger.record_alive(target(9), late) == []


def test_a_quarantine_ends_and_the_next_end_doubles_it():
    ledger = ledger_of(("bad",), ("bad",), early=True)
    first = ledger.quarantine("bad", 0.0).until
    assert FIRST_QUARANTINE_SECONDS <= first <= 2.0 * FIRST_QUARANTINE_SECONDS
    assert not is_refused(ledger, "bad", now=first)
    ledger.record_ending(("bad",), "r9", target(9), first, early=True)
    seconds = ledger.quarantine("bad", first).until - first
    assert 2.0 * FIRST_QUARANTINE_SECONDS <= seconds <= 4.0 * FIRST_QUARANTINE_SECONDS


def test_hosts_try_a_part_again_one_after_the_other():
    """Guards against all hosts that send a deadly part at the same moment."""
    ends = []
    for host in range(20):
        ledger = PartLedger(host=f"n{host}")
        for number in range(3):
            ledger.record_ending(("bad",), f"r{number}", target(number), 0.0)
        ends.append(ledger.quarantine("bad", 0.0).until)
    assert max(ends) - min(ends) > FIRST_QUARANTINE_SECONDS
    assert max(ends) <= 2.0 * MAX_QUARANTINE_SECONDS


@pytest.mark.parametrize("seed", range(30))
def test_hosts_agree_whatever_the_order_in_which_they_hear(seed):
    """Guards against a host that goes on sending what all others quarantine."""
    rng = random.Random(seed)
    records = [
        PartRecord(part="bad", endings=(ending(n, "a" if n % 2 else "b", early=n < 2),))
        for n in range(4)
    ]
    records += [PartRecord(part="beside", endings=(ending(n),)) for n in (1, 2)]
    received = records + rng.choices(records, k=6)
    rng.shuffle(received)
    ledger = PartLedger()
    for record in received:
        ledger.merge(record, 0.0)
    assert ledger.quarantined(0.0) == {"bad"}
    assert is_refused(ledger, "bad", "new")


def test_a_record_of_another_host_counts_from_when_it_was_seen():
    first = ledger_of(("bad",), ("bad",), ("bad",))
    record = first.record("bad", 4.0)
    assert {e.age for e in record.endings} == {4.0}
    second = PartLedger()
    assert second.merge(record, 50.0)
    assert not second.merge(record, 50.0)
    until = first.quarantine("bad", 0.0).until
    assert second.quarantine("bad", 50.0).until == pytest.approx(until + 46.0)


def test_callers_that_flood_the_ledger_do_not_release_what_is_quarantined(monkeypatch):
    """Guards against memory without bound, and against evidence that is pushed out."""
    monkeypatch.setattr(part_ledger, "MAX_PARTS", 100)
    ledger = ledger_of(*[("bad",)] * (3 * MAX_ENDINGS))
    for number in range(400):
        process = target(1_000 + number // 50)
        ledger.record_ending((f"p{number}", f"q{number}"), "r", process, 1.0)
    records = list(ledger.records(1.0))
    assert len(records) == 100 < MAX_PARTS
    assert records[0].part == "bad" and len(records[0].endings) == MAX_ENDINGS
    assert is_refused(ledger, "bad", now=1.0)
    for number in range(MAX_ANSWERED + 50):
        ledger.record_answer((f"a{number}",), 1.0)
    assert len(ledger._answered) == MAX_ANSWERED
