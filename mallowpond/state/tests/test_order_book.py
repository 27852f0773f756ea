"""What is remembered of the orders to one process, and that it ends with it."""

from dataclasses import replace

from mallowpond.state.fleet import GroupPhase, Membership, Target
from mallowpond.state.formation_view import Join, Leave, Stage
from mallowpond.state.order_book import (
    AGAIN_SECONDS,
    EFFECT_SECONDS,
    REPORT_LAG_SECONDS,
    OrderBook,
)

NOW = 100.0
FIRST = Target(
    id="a", service="engines", address="a:1", data_centre="d", slots=4, born=7
)
# The clock of its host was set back: the later process has the lower `born`.
SECOND = replace(FIRST, born=3)
KEY = ("g", 1)


def make_join(target):
    """Write a join that loads weights."""
    return Join(
        target=target, group="g", epoch=1, model="m", members=("a", "b"), loads=True
    )


def settled(book, *targets, now=NOW):
    """Show these targets to the book."""
    book.reconcile({t.id: t for t in targets}, now=now, shows_orders=True)
    return book


def book_of_first():
    """Return a book in which the first process has taken a join."""
    book = OrderBook()
    join = make_join(FIRST)
    book.record_report(FIRST, 4, now=NOW)
    book.begin(join, NOW)
    book.record_begun(join, expected=4, is_sure=True)
    book.record_taken(join, NOW)
    return book


def test_everything_that_is_kept_ends_with_its_process():
    """Symptom: a target that holds nothing counts as busy, loading and joined.

    Sequence: a process takes a join and starts again under its id.
    Cause: what was known was kept by the id.
    """
    book = settled(book_of_first(), FIRST)
    assert book.busy == {"a"}
    assert book.loading == {"a": "m"}
    assert (book.count(FIRST), book.joined(FIRST)) == (5, KEY)
    settled(book, SECOND)
    assert (book.busy, book.loading) == (frozenset(), {})
    assert (book.count(SECOND), book.joined(SECOND)) == (None, None)
    assert book.shows_last_order(SECOND, NOW)
    assert (book.count(FIRST), book.joined(FIRST)) == (None, None)


def test_a_count_that_falls_back_is_out_of_date_and_one_that_starts_anew_counts():
    """Symptom: an order that goes by an old count is refused and its group waits.

    Sequence: an order is taken; a report of before it comes late.
    Cause: the count fell back; that of another process may.
    """
    book = book_of_first()
    book.invalidate_count(FIRST)
    assert not book.record_report(FIRST, 4, now=NOW)
    assert book.count(FIRST) is None
    assert book.record_report(FIRST, 5, now=NOW)
    assert book.record_report(SECOND, 0, now=NOW)
    assert (book.count(FIRST), book.count(SECOND)) == (5, 0)


def test_a_count_that_a_probe_told_makes_older_ones_out_of_date():
    book = OrderBook()
    book.record_report(FIRST, 4, now=NOW)
    book.raise_min_count(FIRST, 4)
    assert book.count(FIRST) == 4
    book.raise_min_count(FIRST, 6)
    assert book.count(FIRST) is None
    book.record_begun(make_join(FIRST), expected=4, is_sure=True)
    assert book.count(FIRST) is None
    assert not book.record_report(FIRST, 5, now=NOW)
    assert book.record_report(FIRST, 6, now=NOW)


def test_a_count_that_is_not_sure_does_not_outlast_a_report():
    """Symptom: a target gets no more orders at all.

    Sequence: a leave is answered as held already, which may not have been counted.
    Cause: the guess was held against the target's own reports.
    """
    book = book_of_first()
    leave = Leave(target=FIRST, group="g", epoch=1)
    book.record_begun(leave, expected=5, is_sure=False)
    assert book.count(FIRST) == 6
    assert book.record_report(FIRST, 5, now=NOW)


def test_a_member_that_left_is_free_before_the_list_shows_it():
    book = book_of_first()
    place = Membership(group="g", epoch=1, rank=0, phase=GroupPhase.READY)
    shown = replace(FIRST, membership=place)
    assert book.without_left_group(shown) == shown
    book.record_taken(Leave(target=FIRST, group="g", epoch=1), NOW)
    assert book.without_left_group(shown).membership is None
    assert book.joined(FIRST) is None
    assert not book.is_busy(FIRST)
    again = replace(shown, born=SECOND.born)
    assert book.without_left_group(again) == again


def test_an_order_is_under_way_until_it_shows_or_its_time_is_over():
    book = settled(book_of_first(), FIRST, now=NOW + EFFECT_SECONDS)
    assert book.is_busy(FIRST)
    place = Membership(group="g", epoch=1, rank=0, phase=GroupPhase.JOINING)
    settled(book, replace(FIRST, membership=place))
    assert not book.is_busy(FIRST)
    book = settled(book_of_first(), FIRST, now=NOW + EFFECT_SECONDS + 0.1)
    assert not book.is_busy(FIRST)


def test_an_order_given_back_frees_its_target_after_a_moment():
    book = OrderBook()
    stage = Stage(target=FIRST, model="m")
    book.begin(stage, NOW)
    assert book.loading == {"a": "m"}
    book.release_later(stage, NOW)
    assert book.loading == {}
    assert settled(book, FIRST, now=NOW + AGAIN_SECONDS).is_busy(FIRST)
    assert not settled(book, FIRST, now=NOW + AGAIN_SECONDS + 0.1).is_busy(FIRST)


def test_a_count_that_starts_anew_counts_also_where_targets_tell_no_start():
    """Symptom: a target that started again gets no more orders.

    Sequence: it tells no start; its report, asked for long after the last order, has
    fewer orders than were taken.
    Cause: the report was held for a late one, each time.
    """
    book, target = OrderBook(), replace(FIRST, born=None)
    join = make_join(target)
    book.record_report(target, 4, now=NOW)
    book.record_begun(join, expected=4, is_sure=True)
    book.record_taken(join, NOW)
    book.invalidate_count(target)
    assert not book.record_report(target, 0, now=NOW + 0.5 * REPORT_LAG_SECONDS)
    assert book.record_report(target, 0, now=NOW + 1.1 * REPORT_LAG_SECONDS)
    assert book.count(target) == 0
