"""Track the processes that announced in their answers that they will stop soon."""

from collections.abc import Container

from mallowpond.state.fleet import Process

# Time for which an unlisted process is remembered, in seconds: an entry that lapsed
# during a store outage may come back while its process still runs.
RETENTION_SECONDS = 60.0


class LeavingTargets:
    """The processes that announced their stop."""

    def __init__(self) -> None:
        self._last_seen: dict[Process, float] = {}

    def __contains__(self, process: Process) -> bool:
        return process in self._last_seen

    def __len__(self) -> int:
        return len(self._last_seen)

    def add(self, process: Process, now: float) -> bool:
        """Record that a process will stop; return whether it was unknown before."""
        is_new = process not in self._last_seen
        self._last_seen[process] = now
        return is_new

    def prune(self, listed: Container[Process], now: float) -> None:
        """Drop processes neither listed nor announced for `RETENTION_SECONDS`."""
        limit = now - RETENTION_SECONDS
        self._last_seen = {
            process: now if process in listed else last_seen
            for process, last_seen in self._last_seen.items()
            if process in listed or last_seen > limit
        }
