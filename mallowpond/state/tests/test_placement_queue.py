"""In which order streams of a whole fleet get the places that free."""

from dataclasses import replace

from mallowpond.state.placement_queue import PlacementQueue, QueueEntry

CLAIM = QueueEntry(priority=1, objective_deadline=10.0, queued_at=0.0, deadline=20.0)


def order(line, now=0.0):
    """Return who waits, in order."""
    return list(line.in_order(now))


def test_those_that_can_be_on_time_go_before_those_that_cannot():
    """Guard against a line in which everybody waits until all are late."""
    line = PlacementQueue()
    line.add("on time", CLAIM)
    line.add("late", replace(CLAIM, objective_deadline=1.0))
    assert order(line, now=0.5) == ["late", "on time"]
    assert order(line, now=1.5) == ["on time", "late"]


def test_of_those_that_can_be_on_time_the_newest_goes_first():
    """Guard against an overload in which each is served when it is just too late."""
    line = PlacementQueue()
    for name in ("old", "newer", "newest"):
        line.add(name, CLAIM)
    assert order(line) == ["newest", "newer", "old"]
    assert not line.has_entry_ahead_of(CLAIM, 0.0)
    # Those that are late come as they came.
    assert order(line, now=11.0) == ["old", "newer", "newest"]
    assert not line.has_entry_ahead_of(replace(CLAIM, objective_deadline=30.0), 11.0)


def test_who_is_late_goes_first_before_its_patience_ends():
    """Guard against newcomers that keep the late ones out until they are lost."""
    line = PlacementQueue()
    line.add("late", replace(CLAIM, objective_deadline=1.0))
    on_time = replace(CLAIM, objective_deadline=30.0)
    line.add("on time", on_time)
    assert order(line, now=13.9) == ["on time", "late"]
    assert order(line, now=14.1) == ["late", "on time"]
    assert line.has_entry_ahead_of(on_time, 14.1)


def test_what_has_begun_goes_first_and_then_the_more_urgent():
    line = PlacementQueue()
    line.add("urgent", replace(CLAIM, priority=0))
    line.add("later", CLAIM)
    line.add("begun", replace(CLAIM, priority=2, has_begun=True))
    assert order(line) == ["begun", "urgent", "later"]


def test_asking_again_keeps_the_place_in_the_line():
    """Guard against sending who waits to the end of the line with each question."""
    line = PlacementQueue()
    line.add("first", CLAIM)
    line.add("second", CLAIM)
    line.add("first", replace(CLAIM, deadline=30.0))
    assert order(line, now=11.0) == ["first", "second"]
    assert line.expired(20.0) == ["first", "second"]


def test_who_has_waited_too_long_is_told():
    line = PlacementQueue()
    line.add("a", replace(CLAIM, deadline=1.0))
    line.add("b", CLAIM)
    assert line.expired(1.0) == ["a"]
    line.discard("a")
    assert order(line) == ["b"]
    assert len(line) == 1


def test_who_is_ahead_of_a_late_stream_is_counted():
    line = PlacementQueue()
    for number in range(3):
        line.add(number, replace(CLAIM, priority=number))
    line.add("begun", replace(CLAIM, priority=2, has_begun=True))
    assert line.ahead_of(CLAIM) == 3
    assert line.ahead_of(replace(CLAIM, has_begun=True)) == 1
