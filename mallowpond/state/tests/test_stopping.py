"""What a stopping host takes when callers have no other host."""

from mallowpond.state.stopping import can_finish


def test_what_a_stopping_host_takes_has_ended_before_the_host():
    """Symptom: callers of a data centre see their answers cut off in the middle.

    Sequence: all hosts of the data centre are stopped in turn and overlap; callers
    come to a stopping host until it ends.
    Cause: the host took streams of 1.6 s when 0.6 s were left to it.
    """
    assert not can_finish(expected_seconds=1.6, seconds_left=0.6)


def test_a_stopping_host_serves_on_while_there_is_time():
    assert can_finish(expected_seconds=1.3, seconds_left=4.0)


def test_a_move_to_another_group_is_allowed_for():
    assert not can_finish(expected_seconds=1.6, seconds_left=4.0)
