"""Which process of a target is the present one, by direct answers and the list."""

from dataclasses import replace

from mallowpond.state.fleet import GroupPhase, Membership, Target
from mallowpond.state.processes import CurrentProcesses, has_restarted

PLACE = Membership(group="g", epoch=1, rank=0, phase=GroupPhase.OPEN)
# The clock of the host was set back between the two starts.
FIRST = Target(
    id="a",
    service="engines",
    address="a:1",
    data_centre="d",
    slots=4,
    born=9,
    model="m",
    membership=PLACE,
)
SECOND = replace(FIRST, born=4, model="", membership=None)
THIRD = replace(SECOND, born=6)


def heard(processes, answered, *, asked=FIRST, asked_at=1.0):
    """Take an answer."""
    processes.record_answer(asked=asked, answered=answered, asked_at=asked_at)


def test_an_answer_of_another_process_ends_the_listed_one():
    processes = CurrentProcesses()
    heard(processes, FIRST)
    assert processes.current(FIRST) == FIRST
    heard(processes, SECOND, asked_at=2.0)
    current = processes.current(FIRST)
    assert current.process == SECOND.process
    assert current.membership is None
    assert current.lapsed
    assert processes.current(SECOND) == SECOND


def test_an_answer_that_was_asked_for_earlier_changes_nothing():
    """Symptom: the earlier process of a target counts as the present one again.

    Sequence: two questions are under way; the answer to the first comes last.
    Cause: answers were taken in the order in which they came.
    """
    processes = CurrentProcesses()
    heard(processes, THIRD, asked_at=2.0)
    heard(processes, SECOND, asked_at=1.0)
    assert processes.current(FIRST).process == THIRD.process


def test_an_answer_ends_only_the_process_that_was_asked():
    """Symptom: a process that has just registered is taken for gone.

    Sequence: a question is under way when the list shows a next process; another one
    answers, and nobody knows which of the two is later.
    Cause: the answer was held against what the list showed afterwards.
    """
    processes = CurrentProcesses()
    heard(processes, THIRD, asked=FIRST)
    assert processes.current(SECOND) == SECOND
    assert processes.current(FIRST).process == THIRD.process


def test_the_list_decides_when_it_shows_a_third_process_later():
    processes = CurrentProcesses()
    heard(processes, SECOND)
    assert processes.current(THIRD) == THIRD
    assert processes.current(FIRST).process == SECOND.process


def test_a_process_that_answers_again_later_is_present():
    processes = CurrentProcesses()
    heard(processes, SECOND)
    heard(processes, FIRST, asked_at=2.0)
    assert processes.current(FIRST) == FIRST


def test_targets_that_are_gone_are_forgotten():
    processes = CurrentProcesses()
    heard(processes, SECOND)
    processes.reconcile({}, now=1.0)
    assert processes.current(FIRST) == FIRST


def test_a_group_has_restarted_when_one_seen_in_it_is_another_process_now():
    seen = {FIRST.process}
    assert not has_restarted(seen, {"a": FIRST})
    assert not has_restarted(seen, {})
    assert has_restarted(seen, {"a": SECOND})
