"""Count and log messages and documents that this node cannot decode."""

import structlog
from prometheus_client import Counter

from mallowpond.state.decoding import Unreadable

log = structlog.get_logger()

# Maximum length of a key in a log line, in characters.
KEY_LENGTH = 60


class UnreadableLog:
    """Counts and logs each document that was left out, by kind and fault."""

    def __init__(self, *, counter: Counter | None = None) -> None:
        self._counter = counter

    def record(self, kind: str, key: object, reason: Unreadable) -> None:
        """Count one document, and log its key and what is wrong with it."""
        if self._counter is not None:
            self._counter.labels(kind, reason.fault.value).inc()
        log.warning(
            "unreadable: document skipped",
            kind=kind,
            key=repr(key)[:KEY_LENGTH],
            fault=reason.fault.value,
            field=reason.field,
        )
