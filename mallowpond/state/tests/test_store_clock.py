"""When an answer left the store, by the store's own clock."""

from mallowpond.state.store_clock import StoreClock


def test_an_answer_that_waited_counts_from_when_it_left():
    clock = StoreClock()
    clock.record(asked_at=100.0, answered_at=7.004)
    # Asked at 100.1, answered 1.5 s later by the store, read at 101.7.
    clock.record(asked_at=100.1, answered_at=8.6)
    left = clock.answered_at(asked_at=100.1, answered_at=8.6, received_at=101.7)
    assert 101.59 < left <= 101.6


def test_an_answer_that_stood_unread_here_is_as_old_as_it_is():
    """Guard against a key that works for seconds after its revocation.

    A host sends a query, stalls for four seconds, and then reads the answer. The answer
    must not count from its arrival.
    """
    clock = StoreClock()
    clock.record(asked_at=100.0, answered_at=7.0)
    left = clock.answered_at(asked_at=100.1, answered_at=7.2, received_at=104.2)
    assert left <= 100.2


def test_it_is_never_taken_for_later_than_its_arrival():
    clock = StoreClock()
    clock.record(asked_at=100.0, answered_at=7.0)
    left = clock.answered_at(asked_at=100.1, answered_at=50.0, received_at=100.2)
    assert left == 100.2


def test_without_the_stores_time_the_question_counts():
    clock = StoreClock()
    clock.record(asked_at=100.0, answered_at=7.0)
    assert clock.answered_at(asked_at=101.0, answered_at=None, received_at=103.0) == 101
    clock.reset()
    assert clock.answered_at(asked_at=101.0, answered_at=9.0, received_at=103.0) == 101
