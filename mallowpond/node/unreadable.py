"""Count and log what others wrote and this node cannot read."""

import structlog
from prometheus_client import Counter

from mallowpond.state.decoding import Unreadable

log = structlog.get_logger()

# Longest part of a key that goes into a log line, in characters.
KEY_LENGTH = 60


class UnreadableLog:
    """Note each document that was left out, by its kind and what is wrong with it."""

    def __init__(self, *, counter: Counter | None = None) -> None:
        self._counter = counter

    def record(self, kind: str, key: object, reason: Unreadable) -> None:
        """Count one document and say which it was."""
        if self._counter is not None:
            self._counter.labels(kind, reason.fault.value).inc()
        log.warning(
            "unreadable: left out",
            kind=kind,
            key=repr(key)[:KEY_LENGTH],
            fault=reason.fault.value,
            field=reason.field,
        )
