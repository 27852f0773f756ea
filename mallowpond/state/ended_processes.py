"""Remember the processes of targets that others have followed.

A report or an entry of such a process may still arrive: reports are under way for a
moment, and the list holds the entry until the new process writes its own.
"""

from collections.abc import Iterable

from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import Process, Target

# Time for which an ended process is remembered, in seconds: many times what a report
# takes on its way, also through a host that stood still.
REMEMBERED_SECONDS = 60.0


class EndedProcesses:
    """Tell which processes are gone."""

    def __init__(self) -> None:
        self._ended_at: dict[Process, float] = {}

    def __contains__(self, process: Process) -> bool:
        return process in self._ended_at

    def add(self, process: Process, now: float) -> None:
        """Note that a process is gone."""
        self._ended_at[process] = now

    def replace(self, earlier: Process, later: Process, now: float) -> None:
        """Take the list's word that another process follows: its versions decide."""
        limit = now - REMEMBERED_SECONDS
        self._ended_at = {p: t for p, t in self._ended_at.items() if t > limit}
        self._ended_at.pop(later, None)
        self._ended_at[earlier] = now

    def readmit(self, listed: Iterable[Target], *, asked_at: float) -> None:
        """Believe a whole read that shows a process long after its supposed end.

        Entries go after a few heartbeats of silence, so what was said of that process
        was a late word of another one.
        """
        for target in listed:
            ended_at = self._ended_at.get(target.process)
            if ended_at is None:
                continue
            if asked_at - ended_at > STALE_ENTRY_SECONDS:
                del self._ended_at[target.process]
