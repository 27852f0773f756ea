"""Remember targets whose answers said that they are about to stop."""

from collections.abc import Container

from mallowpond.state.fleet import Process

# Time for which a target that is not listed any more is remembered, in seconds: an
# entry that lapsed while the store was away may come back, and the target serves on.
REMEMBERED_SECONDS = 60.0


class LeavingTargets:
    """Tell which processes are about to stop."""

    def __init__(self) -> None:
        self._heard_at: dict[Process, float] = {}

    def __contains__(self, process: Process) -> bool:
        return process in self._heard_at

    def __len__(self) -> int:
        return len(self._heard_at)

    def add(self, process: Process, now: float) -> bool:
        """Note that a process leaves; tell whether that is news."""
        is_new = process not in self._heard_at
        self._heard_at[process] = now
        return is_new

    def keep(self, listed: Container[Process], now: float) -> None:
        """Forget what has not been listed or heard of for long."""
        limit = now - REMEMBERED_SECONDS
        self._heard_at = {
            process: now if process in listed else heard_at
            for process, heard_at in self._heard_at.items()
            if process in listed or heard_at > limit
        }
