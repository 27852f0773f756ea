"""Which requests are quarantined, by the targets that ended under them."""

import random
from dataclasses import replace

import pytest

from mallowpond.state import crash_ledger
from mallowpond.state.crash_ledger import (
    ANSWERED_SECONDS,
    ENDED_SECONDS,
    ENDINGS_TO_QUARANTINE,
    MAX_ANSWERED,
    MAX_ENDINGS,
    MAX_REQUESTS,
    QUARANTINE_SECONDS,
    RECORD_EXPIRY_SECONDS,
    CrashLedger,
    CrashRecord,
    Ending,
)
from mallowpond.state.fleet import Process


def ending(target, ran=0.1):
    """Build the ending of a target."""
    return Ending(process=Process(id=str(target), born=1), ran=ran)


def record(request, *targets, ran=0.1, age=0.0):
    """Build the record of a request under which these targets ended."""
    endings = tuple(ending(target, ran) for target in targets)
    return CrashRecord(request=request, endings=endings, age=age)


def ledger_of(*records):
    """Build a ledger that has merged these records."""
    ledger = CrashLedger()
    for received in records:
        ledger.merge(received, 0.0)
    return ledger


def test_a_request_is_held_back_once_three_targets_ended_under_it():
    ledger = CrashLedger()
    for number in range(ENDINGS_TO_QUARANTINE):
        assert not ledger.quarantined(0.0)
        ledger.record_ending("bad", ending(number), 0.0)
    assert ledger.quarantined(0.0) == {"bad"}
    assert ledger.quarantine_seconds_left("bad", 1.0) == QUARANTINE_SECONDS - 1.0


def test_one_target_counts_once_however_often_it_is_told():
    ledger = ledger_of(*[record("bad", "a")] * 5)
    assert not ledger.quarantined(0.0)


def test_a_target_that_starts_again_under_its_id_counts_again():
    ledger = CrashLedger()
    for born in range(ENDINGS_TO_QUARANTINE):
        again = Ending(process=Process(id="a", born=born), ran=0.1)
        ledger.record_ending("bad", again, 0.0)
    assert ledger.quarantined(0.0) == {"bad"}


@pytest.mark.parametrize("seed", range(50))
def test_hosts_agree_whatever_the_order_in_which_they_hear(seed):
    """Guard against a host that goes on sending what all others quarantine.

    Records arrive late, duplicated and in any order; a received record must not replace
    what is known.
    """
    rng = random.Random(seed)
    records = [record("bad", n, ran=0.1) for n in range(4)]
    records += [record("beside", n, ran=rng.random()) for n in (0, 1, 2)]
    records += [record("other", n, ran=0.3) for n in (7, 8)]
    received = records + rng.choices(records, k=5)
    rng.shuffle(received)
    assert ledger_of(*received).quarantined(0.0) == {"bad"}


def test_who_stood_beside_it_each_time_is_not_held_back():
    """Guard against a harmless request that is refused for minutes.

    With few groups, its retries go to the same groups as those of the request that
    ends them, so all three targets end under both. Running on ended targets must not be
    all that counts.
    """
    ledger = ledger_of(
        record("beside", "a", "b", "c", ran=0.4), record("bad", "a", "b", "c", ran=0.1)
    )
    assert ledger.quarantined(0.0) == {"bad"}


def test_who_came_just_before_an_end_is_not_taken_for_its_cause():
    """Guard against a quarantined bystander that ran for less time than the cause."""

    def ran(request, *seconds):
        ends = tuple(ending(n, ran) for n, ran in enumerate(seconds))
        return CrashRecord(request=request, endings=ends)

    ledger = ledger_of(
        ran("beside", 0.075, 0.106, 0.134),
        ran("other", 0.206, 0.116, 0.116),
        ran("bad", 0.109, 0.116, 0.130),
    )
    assert ledger.quarantined(0.0) == {"bad"}


def test_a_wrong_choice_between_two_is_put_right_by_one_more_ending():
    ledger = ledger_of(
        record("beside", "a", "b", "c", ran=0.05), record("bad", "a", "b", "c", ran=0.1)
    )
    assert ledger.quarantined(0.0) == {"beside"}
    ledger.merge(record("bad", "d"), 0.0)
    assert ledger.quarantined(0.0) == {"bad"}


def test_a_bystander_with_a_lost_target_of_its_own_is_not_held_back():
    ledger = ledger_of(
        record("bad", "a", "b", "c", ran=0.1), record("beside", "a", "b", "z", ran=0.4)
    )
    assert ledger.quarantined(0.0) == {"bad"}


def test_two_requests_that_end_targets_are_both_held_back():
    ledger = ledger_of(record("one", "a", "b", "c", "d"), record("two", "c", "x", "y"))
    assert ledger.quarantined(0.0) == {"one", "two"}


def test_a_whole_answer_clears_a_request():
    ledger = ledger_of(record("fine", "a", "b"))
    refuted = ledger.record_answer("fine", 1.0)
    assert all(ending.refuted for ending in refuted.endings)
    ledger.merge(record("fine", "c"), 1.0 + ANSWERED_SECONDS + 1.0)
    assert not ledger.quarantined(70.0)
    assert ledger.record_answer("never seen", 1.0) is None


def test_what_a_host_refutes_is_refuted_where_it_is_heard_late():
    """Guard against an answered request that is quarantined on another host.

    The record of its answer arrives before that of a target's end; the later arrival
    must not count for more.
    """
    first = ledger_of(record("fine", "a", "b", "c"))
    refuted = first.record_answer("fine", 1.0)
    second = ledger_of(refuted, record("fine", "a", "b", "c"))
    assert not second.quarantined(1.0)


def test_a_request_that_many_send_alike_is_not_held_back_for_a_domains_end():
    """Guard against a popular request that is refused for minutes after an outage.

    It runs on several targets of a fabric domain that all end at once. These must not
    count, as it has been answered just before.
    """
    ledger = CrashLedger()
    ledger.record_answer("popular", 0.0)
    for target in "abcd":
        ledger.record_ending("popular", ending(target), 1.0)
    assert not ledger.quarantined(1.0)
    ledger.record_answer("untold", 0.0)
    for target in "efgh":
        ledger.record_ending("untold", ending(target), ANSWERED_SECONDS + 1.0)
    assert ledger.quarantined(ANSWERED_SECONDS + 1.0) == {"untold"}


def test_a_hold_ends_and_one_more_ending_begins_it_anew():
    ledger = ledger_of(record("bad", "a", "b", "c"))
    assert not ledger.quarantined(QUARANTINE_SECONDS)
    assert ledger.quarantine_seconds_left("bad", QUARANTINE_SECONDS + 1.0) == 0.0
    ledger.record_ending("bad", ending("d"), QUARANTINE_SECONDS + 1.0)
    assert ledger.quarantined(QUARANTINE_SECONDS + 1.0) == {"bad"}
    later = QUARANTINE_SECONDS + RECORD_EXPIRY_SECONDS + 2.0
    ledger.record_ending("bad", ending("e"), later)
    assert not ledger.quarantined(later)


def test_an_age_counts_when_a_host_hears_of_it_late():
    ledger = ledger_of(record("bad", "a", "b", "c", age=QUARANTINE_SECONDS - 5.0))
    assert ledger.quarantine_seconds_left("bad", 0.0) == 5.0


def test_what_a_host_keeps_is_bounded_and_held_requests_stay():
    ledger = ledger_of(record("bad", *range(3 * MAX_ENDINGS)))
    for number in range(MAX_REQUESTS + 50):
        ledger.merge(record(f"r{number}", f"t{number}"), 1.0)
    for number in range(MAX_ANSWERED + 50):
        ledger.record_answer(f"a{number}", 1.0)
    records = list(ledger.records(1.0))
    assert len(records) == MAX_REQUESTS
    assert records[0].request == "bad"
    assert len(records[0].endings) == MAX_ENDINGS
    assert ledger.quarantined(1.0) == {"bad"}
    assert len(ledger._answered) == MAX_ANSWERED


def test_a_record_of_another_host_is_taken_as_it_was_told():
    first = ledger_of(record("bad", "a", "b", "c"))
    received = replace(next(first.records(2.0)))
    assert received.age == 2.0
    assert ledger_of(received).quarantined(0.0) == {"bad"}


def test_what_is_sent_to_a_target_that_has_ended_did_not_end_it():
    """Guard against harmless requests that are quarantined after a target's end.

    Until the list shows that the target has ended, other requests are sent there and
    fail at once. These sends must not count against them.
    """
    ledger = CrashLedger()
    assert ledger.record_ending("bad", ending("a", ran=0.1), 10.0) is not None
    assert ledger.record_ending("beside", ending("a", ran=0.5), 10.01) is not None
    assert ledger.record_ending("later", ending("a", ran=0.002), 10.5) is None
    ledger.record_alive(Process(id="a", born=1))
    assert ledger.record_ending("again", ending("a", ran=0.1), 11.0) is not None


def test_an_ending_that_another_host_saw_counts_like_an_own_one():
    """Guard against a quarantine for sends to a target that others saw end."""
    ledger = CrashLedger()
    ledger.merge(record("bad", "a", age=0.2), 10.2)
    assert ledger.has_ended(Process(id="a", born=1), 10.3)
    assert ledger.record_ending("beside", ending("a", ran=0.002), 10.3) is None
    # It was sent before the end, so it was running there too.
    assert ledger.record_ending("before", ending("a", ran=0.4), 10.3) is not None


def test_a_target_counts_as_ended_until_it_shows_life_or_may_have_started_again():
    """Guard against a target that is avoided because of one broken connection."""
    ledger = ledger_of(record("bad", "a", "b"))
    first, second = (Process(id=name, born=1) for name in "ab")
    ledger.record_alive(first)
    assert not ledger.has_ended(first, 0.1)
    assert ledger.has_ended(second, ENDED_SECONDS)
    assert not ledger.has_ended(second, ENDED_SECONDS + 0.1)


def test_a_target_that_starts_again_untold_under_its_id_may_end_again():
    """Guard against a request that ends a target repeatedly without being recorded.

    Targets do not report the start of their process. One ends, restarts under its id,
    and gets the same request first. Its first end must not make all later sends count
    as sent to an ended target.
    """
    ledger = CrashLedger()
    unreported = Ending(process=Process(id="a", born=None), ran=0.1)
    assert ledger.record_ending("first", unreported, 10.0) is not None
    later = 10.2 + ENDED_SECONDS
    assert ledger.record_ending("bad", unreported, later) is not None
    assert ledger.record_ending("beside", unreported, later + 0.05) is not None
    assert ledger.record_ending("late", unreported, later + 0.5) is None


def test_a_ledger_full_of_held_requests_takes_no_more_and_does_not_fail(monkeypatch):
    most = 50
    monkeypatch.setattr(crash_ledger, "MAX_REQUESTS", most)
    ledger = CrashLedger()
    for number in range(most):
        ledger.merge(record(f"r{number}", *(f"{number}.{n}" for n in range(3))), 0.0)
    assert ledger.record_ending("new", ending("x"), 0.0) is None
    assert len(ledger.quarantined(0.0)) == most


def test_the_time_in_the_queue_does_not_hide_the_cause():
    """Guards against a bystander that is quarantined as the cause waited for its slot.

    Measured from the send, the cause ran for 0.11 to 0.17 s, and a request beside it
    for 0.11 to 0.14 s. By its events the cause ran for 0.08 s each time.
    """
    ledger = CrashLedger()
    sent = {"bad": (0.108, 0.111, 0.171), "beside": (0.109, 0.105, 0.138)}
    ran = {"bad": (0.08, 0.08, 0.08), "beside": (0.0, 0.08, 0.06)}
    for number in range(ENDINGS_TO_QUARANTINE):
        now = 10.0 * number
        for request in ("beside", "bad"):
            ledger.record_ending(
                request,
                ending(number, ran[request][number]),
                now,
                sent_at=now - sent[request][number],
            )
    assert ledger.quarantined(20.0) == {"bad"}


def test_a_request_that_was_never_seen_to_run_is_the_last_to_be_blamed():
    """Guards against a bystander without events, whose times of 0 are all alike."""
    ledger = ledger_of(
        record("beside", "a", "b", "c", ran=0.0),
        CrashRecord(
            request="bad",
            endings=tuple(ending(n, ran) for n, ran in zip("abc", (0.08, 0.07, 0.09))),
        ),
    )
    assert ledger.quarantined(0.0) == {"bad"}


def test_a_send_to_a_target_that_had_ended_is_recognized_by_its_own_time():
    """Guards against the time for which it ran in place of that since the send."""
    ledger = CrashLedger()
    ledger.record_ending("first", ending("a", 0.1), 5.0, sent_at=4.0)
    assert ledger.record_ending("late", ending("a", 0.0), 5.2, sent_at=5.1) is None
    assert ledger.record_ending("beside", ending("a", 0.0), 5.2, sent_at=4.9)
