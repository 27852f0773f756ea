"""When a silent send is doubted, and when it is given up."""

from mallowpond.state.send_wait import SendWait


def test_another_target_is_sought_at_the_limit_and_not_all_the_time():
    wait = SendWait(since=10.0, limit=2.0)
    assert wait.due_at(30.0, may_seek=True) == 12.0
    sought = SendWait(since=10.0, limit=2.0, sought_at=13.0)
    assert sought.due_at(30.0, may_seek=True) == 15.0


def test_a_send_is_given_up_at_the_deadline_only():
    """Guards against answers that are given up before another target delivers."""
    wait = SendWait(since=10.0, limit=2.0)
    assert wait.due_at(30.0, may_seek=False) == wait.ends_at(30.0) == 30.0
    assert SendWait(since=28.0, limit=2.0).due_at(30.0, may_seek=True) == 30.0


def test_after_the_deadline_a_send_has_the_limit_for_each_of_its_parts():
    wait = SendWait(since=40.0, limit=2.0)
    assert wait.due_at(30.0, may_seek=True) == wait.ends_at(30.0) == 42.0


def test_a_target_that_spoke_again_is_doubted_anew():
    wait = SendWait(since=20.0, limit=2.0, sought_at=12.0)
    assert wait.seek_at == 22.0
