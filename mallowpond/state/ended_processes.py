"""Track the processes of targets that a later process has replaced.

A report or a list entry of such a process may still arrive: reports are in flight for
a moment, and the list holds the old entry until the new process writes its own.
"""

from collections.abc import Iterable

from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import Process, Target

# Time for which an ended process is remembered, in seconds: many times the delay of a
# report, even one that passed through a host that was paused.
RETENTION_SECONDS = 60.0


class EndedProcesses:
    """The processes that are known to have ended."""

    def __init__(self) -> None:
        self._ended_at: dict[Process, float] = {}

    def __contains__(self, process: Process) -> bool:
        return process in self._ended_at

    def add(self, process: Process, now: float) -> None:
        """Record that a process has ended."""
        self._ended_at[process] = now

    def replace(self, earlier: Process, later: Process, now: float) -> None:
        """Record that `later` replaced `earlier` in the list.

        The list's versions decide the order, so `later` runs even if it was recorded
        as ended.
        """
        limit = now - RETENTION_SECONDS
        self._ended_at = {p: t for p, t in self._ended_at.items() if t > limit}
        self._ended_at.pop(later, None)
        self._ended_at[earlier] = now

    def readmit(self, listed: Iterable[Target], *, asked_at: float) -> None:
        """Readmit processes that a full read lists long after their supposed end.

        An entry expires after a few missed heartbeats, so the process still writes it:
        the message that reported its end was late and meant another process.
        """
        for target in listed:
            ended_at = self._ended_at.get(target.process)
            if ended_at is None:
                continue
            if asked_at - ended_at > STALE_ENTRY_SECONDS:
                del self._ended_at[target.process]
