"""The order in which waiting streams of a whole fleet get slots."""

from dataclasses import replace

from mallowpond.state.placement_queue import PlacementQueue, QueueEntry

ENTRY = QueueEntry(priority=1, objective_deadline=10.0, queued_at=0.0, deadline=20.0)


def order(queue, now=0.0):
    """Return who waits, in the order of grants."""
    return list(queue.in_order(now))


def test_those_that_can_be_on_time_go_before_those_that_cannot():
    """Guard against a queue in which every stream waits until all are late."""
    queue = PlacementQueue()
    queue.add("on time", ENTRY)
    queue.add("late", replace(ENTRY, objective_deadline=1.0))
    assert order(queue, now=0.5) == ["late", "on time"]
    assert order(queue, now=1.5) == ["on time", "late"]


def test_of_those_that_can_be_on_time_the_newest_goes_first():
    """Guard against an overload in which each stream is served just too late."""
    queue = PlacementQueue()
    for name in ("old", "newer", "newest"):
        queue.add(name, ENTRY)
    assert order(queue) == ["newest", "newer", "old"]
    assert not queue.has_entry_ahead_of(ENTRY, 0.0)
    # Late streams go in order of arrival.
    assert order(queue, now=11.0) == ["old", "newer", "newest"]
    assert not queue.has_entry_ahead_of(replace(ENTRY, objective_deadline=30.0), 11.0)


def test_who_is_late_goes_first_before_its_patience_ends():
    """Guard against new streams that keep late ones waiting until they are lost."""
    queue = PlacementQueue()
    queue.add("late", replace(ENTRY, objective_deadline=1.0))
    on_time = replace(ENTRY, objective_deadline=30.0)
    queue.add("on time", on_time)
    assert order(queue, now=13.9) == ["on time", "late"]
    assert order(queue, now=14.1) == ["late", "on time"]
    assert queue.has_entry_ahead_of(on_time, 14.1)


def test_what_has_begun_goes_first_and_then_the_more_urgent():
    queue = PlacementQueue()
    queue.add("urgent", replace(ENTRY, priority=0))
    queue.add("later", ENTRY)
    queue.add("begun", replace(ENTRY, priority=2, has_begun=True))
    assert order(queue) == ["begun", "urgent", "later"]


def test_asking_again_keeps_the_place_in_the_line():
    """Guard against a repeated query that moves its stream to the end of the queue."""
    queue = PlacementQueue()
    queue.add("first", ENTRY)
    queue.add("second", ENTRY)
    queue.add("first", replace(ENTRY, deadline=30.0))
    assert order(queue, now=11.0) == ["first", "second"]
    assert queue.expired(20.0) == ["first", "second"]


def test_who_has_waited_too_long_is_told():
    queue = PlacementQueue()
    queue.add("a", replace(ENTRY, deadline=1.0))
    queue.add("b", ENTRY)
    assert queue.expired(1.0) == ["a"]
    queue.discard("a")
    assert order(queue) == ["b"]
    assert len(queue) == 1


def test_who_is_ahead_of_a_late_stream_is_counted():
    queue = PlacementQueue()
    for number in range(3):
        queue.add(number, replace(ENTRY, priority=number))
    queue.add("begun", replace(ENTRY, priority=2, has_begun=True))
    assert queue.ahead_of(ENTRY) == 3
    assert queue.ahead_of(replace(ENTRY, has_begun=True)) == 1
