"""How long a process that announced its stop is remembered."""

from mallowpond.state.fleet import Process
from mallowpond.state.leaving import RETENTION_SECONDS, LeavingTargets

TARGET = Process(id="t", born=1)


def test_a_target_that_leaves_does_not_come_back():
    leaving = LeavingTargets()
    assert leaving.add(TARGET, 10.0)
    assert not leaving.add(TARGET, 11.0)
    leaving.prune({TARGET}, 1000.0)
    assert TARGET in leaving
    assert Process(id="t", born=2) not in leaving


def test_a_target_whose_entry_lapses_and_returns_is_still_known():
    """Guards against sends to a leaving target whose entry lapsed and came back."""
    leaving = LeavingTargets()
    leaving.add(TARGET, 10.0)
    leaving.prune({TARGET}, 100.0)
    leaving.prune((), 100.0 + 0.9 * RETENTION_SECONDS)
    assert TARGET in leaving
    leaving.prune((), 100.0 + 1.1 * RETENTION_SECONDS)
    assert TARGET not in leaving
    assert not leaving
