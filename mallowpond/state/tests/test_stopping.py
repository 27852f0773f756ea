"""What a stopping host admits when callers have no other host."""

from mallowpond.state.stopping import MOVE_SECONDS, can_finish


def test_what_a_stopping_host_takes_has_ended_before_the_host():
    """Guard against answers that are cut off in the middle as hosts stop.

    The hosts of a data centre are stopped in overlapping turns, and callers reach a
    stopping host until it ends. It must not admit a stream of 1.6 s with 0.6 s left.
    """
    assert not can_finish(longest_seconds=1.6, seconds_left=0.6)


def test_a_stopping_host_serves_on_while_there_is_time():
    assert can_finish(longest_seconds=1.3, seconds_left=4.0)


def test_a_move_to_another_group_is_allowed_for():
    assert not can_finish(longest_seconds=1.6, seconds_left=2.8)
    assert not can_finish(longest_seconds=1.6, seconds_left=1.5 + MOVE_SECONDS)
    assert can_finish(longest_seconds=1.6, seconds_left=1.7 + MOVE_SECONDS)


def test_most_requests_are_served_in_the_first_seconds_of_a_stop():
    """Guard against a planned stop of one host that refuses hundreds of requests.

    The host serves on for 7.3 s, and its balancer sends it streams of at most 2.7 s for
    the first 2 s. A required margin of three times the longest answer, which few
    answers reach, would refuse most of them.
    """
    assert all(can_finish(longest_seconds=2.7, seconds_left=7.3 - t) for t in (0, 1, 2))
