"""Remember how long targets that turned a request away want none of this host."""

from collections.abc import Container

from mallowpond.state.fleet import Process


class TargetBackoffs:
    """Tell which targets are to be left alone, and until when."""

    def __init__(self) -> None:
        self._until: dict[Process, float] = {}

    @property
    def has_entries(self) -> bool:
        """Tell whether any target asked for a backoff that is not forgotten."""
        return bool(self._until)

    def record(self, process: Process, seconds: float, now: float) -> None:
        """Take a target's word; a shorter one does not end a longer one."""
        self._until[process] = max(self._until.get(process, now), now + seconds)

    def seconds_left(self, process: Process, now: float) -> float:
        """Return how long a target wants no request."""
        until = self._until.get(process)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[process]
            return 0.0
        return until - now

    def prune(self, listed: Container[Process], now: float) -> None:
        """Forget what is over, and the processes that are not listed any more."""
        self._until = {
            process: until
            for process, until in self._until.items()
            if process in listed and until > now
        }
