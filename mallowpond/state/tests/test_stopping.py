"""What a stopping host takes when callers have no other host."""

from mallowpond.state.stopping import MOVE_SECONDS, can_finish


def test_what_a_stopping_host_takes_has_ended_before_the_host():
    """Symptom: callers of a data centre see their answers cut off in the middle.

    Sequence: all hosts of the data centre are stopped in turn and overlap; callers
    come to a stopping host until it ends.
    Cause: the host took streams of 1.6 s when 0.6 s were left to it.
    """
    assert not can_finish(longest_seconds=1.6, seconds_left=0.6)


def test_a_stopping_host_serves_on_while_there_is_time():
    assert can_finish(longest_seconds=1.3, seconds_left=4.0)


def test_a_move_to_another_group_is_allowed_for():
    assert not can_finish(longest_seconds=1.6, seconds_left=2.8)
    assert not can_finish(longest_seconds=1.6, seconds_left=1.5 + MOVE_SECONDS)
    assert can_finish(longest_seconds=1.6, seconds_left=1.7 + MOVE_SECONDS)


def test_most_requests_are_served_in_the_first_seconds_of_a_stop():
    """Symptom: a planned stop of one host has hundreds of requests refused.

    Sequence: a host that will serve on for 7.3 s is told to stop; for the 2 s in which
    its balancer goes on sending, streams of 2.7 s at most come to it.
    Cause: three times the time of a stream's longest answer was to be left, although
    few answers are that long.
    """
    assert all(can_finish(longest_seconds=2.7, seconds_left=7.3 - t) for t in (0, 1, 2))
