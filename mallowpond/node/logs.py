"""Write a node's logs to standard output, limited in volume and without blocking."""

import os
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.programs.logs import log_level
from mallowpond.settings import LogSettings

# Maximum number of lines of one event per second; further lines are only counted. At
# twice its usual load a node writes about 60 lines of the most frequent event.
LINES_PER_SECOND = 200
# Bytes that are buffered for a reader that does not read, before lines are dropped.
BUFFER_BYTES = 256 * 1024


class LineLimiter:
    """Structlog processor that drops the lines of an event beyond its rate.

    The first line of the event in a later second has the number of those dropped.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._second: dict[str, int] = {}
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line's event, or drop it by raising `structlog.DropEvent`."""
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
    """Structlog logger that writes to a file descriptor and never waits for its reader.

    Otherwise a pipe whose reader hangs would block the event loop, and with it every
    stream, at the first line that does not fit.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many dropped lines have not been reported in the log yet."""
        return self._dropped

    def msg(self, message: str) -> None:
        """Write one line, or buffer it, or drop it if the buffer is full."""
        line = message.encode() + b"\n"
        if len(self._buffer) + len(line) > BUFFER_BYTES:
            self._dropped += 1
        else:
            if self._dropped and not self._buffer:
                report = (
                    f'{{"event": "logs: lines dropped", "count": {self._dropped}}}\n'
                )
                self._buffer += report.encode()
                self._dropped = 0
            self._buffer += line
        self._flush()

    debug = info = warning = warn = error = critical = exception = log = msg

    def _flush(self) -> None:
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, so the error cannot be logged either.
            self._buffer.clear()


def set_up_node_logs(settings: LogSettings, clock: Clock) -> NonBlockingOutput:
    """Configure structlog to write limited JSON lines to standard output."""
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
