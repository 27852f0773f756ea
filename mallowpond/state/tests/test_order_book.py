"""Orders are tracked per process, and dropped with their process."""

from dataclasses import replace

from mallowpond.state.fleet import GroupPhase, Membership, Target
from mallowpond.state.formation_view import Join, Leave, Stage
from mallowpond.state.order_book import (
    EFFECT_SECONDS,
    REPORT_LAG_SECONDS,
    RETRY_PAUSE_SECONDS,
    OrderBook,
)

NOW = 100.0
FIRST = Target(
    id="a", service="engines", address="a:1", data_centre="d", slots=4, born=7
)
# The host's clock was set back, so the later process has the smaller `born`.
SECOND = replace(FIRST, born=3)
KEY = ("g", 1)


def make_join(target):
    """Return a join that loads weights."""
    return Join(
        target=target, group="g", epoch=1, model="m", members=("a", "b"), loads=True
    )


def reconciled(book, *targets, now=NOW):
    """Return the book after it was reconciled with these targets."""
    book.reconcile({t.id: t for t in targets}, now=now, is_settled=True)
    return book


def book_of_first():
    """Return a book in which the first process has accepted a join."""
    book = OrderBook()
    join = make_join(FIRST)
    book.record_report(FIRST, 4, now=NOW)
    book.begin(join, NOW)
    book.record_begun(join, expected=4, has_begun=True)
    book.record_accepted(join, NOW)
    return book


def test_everything_that_is_kept_ends_with_its_process():
    """All records of a process are dropped when its target restarts under the same id.

    Kept by id, they made a new process without any state count as busy, loading and
    joined.
    """
    book = reconciled(book_of_first(), FIRST)
    assert book.busy == {"a"}
    assert book.loading == {"a": "m"}
    assert (book.count(FIRST), book.joined(FIRST)) == (5, KEY)
    reconciled(book, SECOND)
    assert (book.busy, book.loading) == (frozenset(), {})
    assert (book.count(SECOND), book.joined(SECOND)) == (None, None)
    assert book.shows_last_order(SECOND, NOW)
    assert (book.count(FIRST), book.joined(FIRST)) == (None, None)


def test_a_count_that_falls_back_is_out_of_date_and_one_that_starts_anew_counts():
    """A lower count is ignored within one process and accepted from a new one.

    A report from before an order can arrive late. If it set the count back, the next
    order would be rejected and its group would wait.
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
    book.record_begun(make_join(FIRST), expected=4, has_begun=True)
    assert book.count(FIRST) is None
    assert not book.record_report(FIRST, 5, now=NOW)
    assert book.record_report(FIRST, 6, now=NOW)


def test_a_count_that_is_not_sure_does_not_outlast_a_report():
    """A count that is not certain yields to the target's own report.

    When a leave is answered as already done, the process may not have counted it. When
    the planner's count overruled the reports, the target got no more orders at all.
    """
    book = book_of_first()
    leave = Leave(target=FIRST, group="g", epoch=1)
    book.record_begun(leave, expected=5, has_begun=False)
    assert book.count(FIRST) == 6
    assert book.record_report(FIRST, 5, now=NOW)


def test_a_member_that_left_is_free_before_the_list_shows_it():
    book = book_of_first()
    place = Membership(group="g", epoch=1, rank=0, phase=GroupPhase.READY)
    shown = replace(FIRST, membership=place)
    assert book.without_left_group(shown) == shown
    book.record_accepted(Leave(target=FIRST, group="g", epoch=1), NOW)
    assert book.without_left_group(shown).membership is None
    assert book.joined(FIRST) is None
    assert not book.is_busy(FIRST)
    next_process = replace(shown, born=SECOND.born)
    assert book.without_left_group(next_process) == next_process


def test_an_order_is_under_way_until_it_shows_or_its_time_is_over():
    book = reconciled(book_of_first(), FIRST, now=NOW + EFFECT_SECONDS)
    assert book.is_busy(FIRST)
    place = Membership(group="g", epoch=1, rank=0, phase=GroupPhase.JOINING)
    reconciled(book, replace(FIRST, membership=place))
    assert not book.is_busy(FIRST)
    book = reconciled(book_of_first(), FIRST, now=NOW + EFFECT_SECONDS + 0.1)
    assert not book.is_busy(FIRST)


def test_an_order_given_back_frees_its_target_after_a_moment():
    book = OrderBook()
    stage = Stage(target=FIRST, model="m")
    book.begin(stage, NOW)
    assert book.loading == {"a": "m"}
    book.release_later(stage, NOW)
    assert book.loading == {}
    assert reconciled(book, FIRST, now=NOW + RETRY_PAUSE_SECONDS).is_busy(FIRST)
    assert not reconciled(book, FIRST, now=NOW + RETRY_PAUSE_SECONDS + 0.1).is_busy(
        FIRST
    )


def test_a_count_that_starts_anew_counts_also_where_targets_tell_no_start():
    """A lower count is accepted from a target without a start time once it must be new.

    A report requested long after the last order, with fewer orders than were accepted,
    comes from a restarted target. When it was always taken for a late one, the target
    got no more orders.
    """
    book, target = OrderBook(), replace(FIRST, born=None)
    join = make_join(target)
    book.record_report(target, 4, now=NOW)
    book.record_begun(join, expected=4, has_begun=True)
    book.record_accepted(join, NOW)
    book.invalidate_count(target)
    assert not book.record_report(target, 0, now=NOW + 0.5 * REPORT_LAG_SECONDS)
    assert book.record_report(target, 0, now=NOW + 1.1 * REPORT_LAG_SECONDS)
    assert book.count(target) == 0
