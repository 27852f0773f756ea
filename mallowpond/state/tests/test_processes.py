"""The current process of a target, derived from direct answers and the list."""

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


def record(processes, answered, *, asked=FIRST, asked_at=1.0):
    """Record a direct answer."""
    processes.record_answer(asked=asked, answered=answered, asked_at=asked_at)


def test_an_answer_of_another_process_ends_the_listed_one():
    processes = CurrentProcesses()
    record(processes, FIRST)
    assert processes.current(FIRST) == FIRST
    record(processes, SECOND, asked_at=2.0)
    current = processes.current(FIRST)
    assert current.process == SECOND.process
    assert current.membership is None
    assert current.lapsed
    assert processes.current(SECOND) == SECOND


def test_an_answer_that_was_asked_for_earlier_changes_nothing():
    """An answer to an earlier question does not replace one to a later question.

    Of two questions under way, the first may be answered last. When answers counted in
    order of arrival, the former process of a target became the current one again.
    """
    processes = CurrentProcesses()
    record(processes, THIRD, asked_at=2.0)
    record(processes, SECOND, asked_at=1.0)
    assert processes.current(FIRST).process == THIRD.process


def test_an_answer_ends_only_the_process_that_was_asked():
    """An answer ends only the process that was listed when the question was asked.

    While a question is under way, the list may show a next process. When another
    process answers, the order of these two is unknown. When the answer counted against
    the list's newer entry, a process that had just registered was taken for ended.
    """
    processes = CurrentProcesses()
    record(processes, THIRD, asked=FIRST)
    assert processes.current(SECOND) == SECOND
    assert processes.current(FIRST).process == THIRD.process


def test_the_list_decides_when_it_shows_a_third_process_later():
    processes = CurrentProcesses()
    record(processes, SECOND)
    assert processes.current(THIRD) == THIRD
    assert processes.current(FIRST).process == SECOND.process


def test_a_process_that_answers_again_later_is_present():
    processes = CurrentProcesses()
    record(processes, SECOND)
    record(processes, FIRST, asked_at=2.0)
    assert processes.current(FIRST) == FIRST


def test_targets_that_are_gone_are_forgotten():
    processes = CurrentProcesses()
    record(processes, SECOND)
    processes.reconcile({}, now=1.0)
    assert processes.current(FIRST) == FIRST


def test_a_group_has_restarted_when_one_seen_in_it_is_another_process_now():
    seen = {FIRST.process}
    assert not has_restarted(seen, {"a": FIRST})
    assert not has_restarted(seen, {})
    assert has_restarted(seen, {"a": SECOND})
