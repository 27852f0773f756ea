"""Write a node's logs to standard output: bounded in volume, never blocking."""

import os
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.programs.logs import log_level
from mallowpond.settings import LogSettings

# Lines of one kind that are written in a second; beyond it they are counted. A node
# at twice its usual load writes about 60 lines of the most frequent kind.
LINES_PER_SECOND = 200
# Bytes that are kept for a reader that does not read, before lines are dropped.
BUFFER_BYTES = 256 * 1024


class LineLimiter:
    """Leave out lines of a kind beyond its rate, and say how many were left out."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._second: dict[str, int] = {}
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, or drop it."""
        kind = str(event.get("event"))
        second = int(self._clock.now())
        if self._second.get(kind) != second:
            self._second[kind] = second
            self._written[kind] = 0
            left_out = self._left_out.pop(kind, 0)
            if left_out:
                event["left_out"] = left_out
        if self._written[kind] >= LINES_PER_SECOND:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            raise structlog.DropEvent
        self._written[kind] += 1
        return event


class NonBlockingOutput:
    """Write lines to a file descriptor without ever waiting for its reader.

    A pipe whose reader stands still would otherwise stop the loop, and with it every
    stream, at the first line that does not fit.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._kept = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped and not yet told of."""
        return self._dropped

    def msg(self, message: str) -> None:
        """Write one line, or keep it, or drop it when too much is kept."""
        line = message.encode() + b"\n"
        if len(self._kept) + len(line) > BUFFER_BYTES:
            self._dropped += 1
        else:
            if self._dropped and not self._kept:
                note = f'{{"event": "logs: lines dropped", "count": {self._dropped}}}\n'
                self._kept += note.encode()
                self._dropped = 0
            self._kept += line
        self._flush()

    debug = info = warning = warn = error = critical = exception = log = msg

    def _flush(self) -> None:
        try:
            while self._kept:
                written = os.write(self._descriptor, self._kept)
                del self._kept[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is no place left to say so.
            self._kept.clear()


def set_up_node_logs(settings: LogSettings, clock: Clock) -> NonBlockingOutput:
    """Send every log line through the limiter to standard output, as JSON."""
    output = NonBlockingOutput(descriptor=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            LineLimiter(clock=clock),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(log_level(settings)),
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=False,
    )
    return output
