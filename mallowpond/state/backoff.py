"""Track the backoffs that targets asked for when they refused a request.

A backoff counts for this host alone, which got the refusal.
"""

from collections.abc import Container

from mallowpond.state.fleet import Process


class TargetBackoffs:
    """The end of the backoff of each target that asked for one."""

    def __init__(self) -> None:
        self._until: dict[Process, float] = {}

    @property
    def has_entries(self) -> bool:
        """Return whether any backoff is recorded, also one that is over."""
        return bool(self._until)

    def record(self, process: Process, seconds: float, now: float) -> None:
        """Start a backoff, unless a longer one is in force already."""
        self._until[process] = max(self._until.get(process, now), now + seconds)

    def seconds_left(self, process: Process, now: float) -> float:
        """Return the seconds until a target may be sent a request, 0 if it may now."""
        until = self._until.get(process)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[process]
            return 0.0
        return until - now

    def prune(self, listed: Container[Process], now: float) -> None:
        """Drop backoffs that are over, and processes that are not listed any more."""
        self._until = {
            process: until
            for process, until in self._until.items()
            if process in listed and until > now
        }
