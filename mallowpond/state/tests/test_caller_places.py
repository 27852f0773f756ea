"""Which connections of callers make room for others."""

from mallowpond.state.caller_places import UNREAD_SECONDS, Activity, CallerPlaces
from mallowpond.state.payload_memory import STALLED_SECONDS


def places_of(**connections):
    """Return places, three at most, with a connection for each activity and time."""
    places = CallerPlaces(max_places=3)
    for name, (activity, since) in connections.items():
        places.record(name, activity, since)
    return places


def names(taken):
    return [connection for connection, _ in taken]


def test_what_has_made_the_least_progress_makes_room_first():
    """Guards against stalled connections that keep their place until their limit."""
    places = places_of(
        busy=(Activity.BUSY, 0.0),
        idle=(Activity.IDLE, 0.0),
        unread=(Activity.SENDING, 0.0),
        silent=(Activity.UNFINISHED, 0.1),
        partial=(Activity.UNFINISHED, 0.2),
        recent=(Activity.UNFINISHED, UNREAD_SECONDS),
        refused=(Activity.REFUSED, 0.3),
    )
    assert places.excess == 4
    taken = places.take_stuck(UNREAD_SECONDS)
    assert taken[0] == ("refused", Activity.REFUSED)
    assert names(taken) == ["refused", "silent", "partial", "idle"]
    assert places.excess == 0


def test_a_request_in_progress_keeps_its_place():
    """Guards against requests that reached a target and get no answer."""
    places = places_of(**{f"busy{n}": (Activity.BUSY, 0.0) for n in range(9)})
    places.record("new", Activity.UNFINISHED, 9.0)
    assert places.take_stuck(9.0) == []
    assert places.take_unfinished(9, but="new") == []


def test_progress_keeps_a_place_for_a_while():
    places = places_of(
        a=(Activity.UNFINISHED, 0.0),
        b=(Activity.UNFINISHED, 0.0),
        c=(Activity.SENDING, 0.0),
        d=(Activity.SENDING, 0.0),
        e=(Activity.BUSY, 0.0),
    )
    places.record("a", Activity.UNFINISHED, 0.1)
    assert list(places.stalled(STALLED_SECONDS)) == ["b"]
    places.record("c", Activity.SENDING, 1.0)
    assert names(places.take_stuck(0.2 + STALLED_SECONDS)) == ["b", "a"]
    places.record("f", Activity.IDLE, 2.0)
    places.record("g", Activity.BUSY, 2.0)
    assert names(places.take_stuck(UNREAD_SECONDS)) == ["f", "d"]


def test_requests_that_are_not_complete_make_room_in_the_end():
    places = places_of(
        a=(Activity.UNFINISHED, 1.0),
        b=(Activity.UNFINISHED, 1.1),
        c=(Activity.UNFINISHED, 1.2),
        d=(Activity.UNFINISHED, 1.3),
    )
    assert places.take_stuck(1.3) == []
    assert names(places.take_unfinished(places.excess, but="a")) == ["b"]
    places.remove("b")
    assert places.excess == 0
