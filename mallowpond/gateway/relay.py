"""Relaying of answers to callers."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from mallowpond.transport.http_client import BodyEvent, CallFailed, Chunk, End
from mallowpond.transport.http_server import Exchange

EVENT_END = b"\n\n"
# Largest event of a stream, and largest answer that is read whole, in bytes: a server
# may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class Complete:
    """The answer was relayed to its end."""


@dataclass(frozen=True, kw_only=True)
class Incomplete:
    """The answer ended early.

    `reason` is "cut_event" if it ended within an event of the stream, else "cut_" and
    the phase in which the call failed.
    """

    reason: str


RelayResult = Complete | Incomplete


@dataclass(kw_only=True)
class StreamProgress:
    """Splits a stream into events.

    `events` counts the complete ones, `chunks` the received chunks that completed any.
    """

    events: int = 0
    chunks: int = 0
    # Whether an event is too large: the rest of the stream must not be read.
    is_overlong: bool = False
    _partial: bytearray = field(default_factory=bytearray)

    def complete_events(self, data: bytes) -> bytes:
        """Add `data` and return the events that are complete now.

        Only complete events are sent on: a resumed stream starts at an event boundary,
        and a partial event of the interrupted stream would corrupt it.
        """
        self._partial += data
        if len(self._partial) > MAX_EVENT_BYTES and EVENT_END not in data:
            self.is_overlong = True
        last_end = self._partial.rfind(EVENT_END)
        if last_end < 0:
            return b""
        complete = bytes(self._partial[: last_end + len(EVENT_END)])
        del self._partial[: last_end + len(EVENT_END)]
        self.events += complete.count(EVENT_END)
        self.chunks += 1
        return complete

    def resumed(self) -> "StreamProgress":
        """Return the progress of a send that goes on after the complete events."""
        return StreamProgress(events=self.events, chunks=self.chunks)

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes of an incomplete event."""
        return len(self._partial)

    @property
    def has_partial_event(self) -> bool:
        """Return whether there are bytes of an incomplete event."""
        return bool(self._partial)


async def relay_stream(
    parts: AsyncIterator[BodyEvent],
    exchange: Exchange,
    progress: StreamProgress,
    *,
    headers: tuple[tuple[str, str], ...],
    on_deliver: Callable[[], None],
) -> RelayResult:
    """Send complete events to the caller as they arrive, and end the answer.

    `on_deliver` is called before each time that something is sent to the caller.
    """
    async for part in parts:
        match part:
            case Chunk(data=data):
                complete = progress.complete_events(data)
                if progress.is_overlong:
                    return Incomplete(reason="overlong_event")
                if not complete:
                    continue
                on_deliver()
                if not exchange.started:
                    await exchange.start(200, headers)
                await exchange.send(complete)
            case End():
                if progress.has_partial_event:
                    return Incomplete(reason="cut_event")
                on_deliver()
                if not exchange.started:
                    await exchange.start(200, headers)
                await exchange.end()
                return Complete()
            case CallFailed(phase=phase):
                return Incomplete(reason=f"cut_{phase.value}")
    return Incomplete(reason="cut_body")


async def read_body(parts: AsyncIterator[BodyEvent]) -> bytes | Incomplete:
    """Read an answer to its end before any of it is sent to the caller."""
    body = bytearray()
    async for part in parts:
        match part:
            case Chunk(data=data):
                body += data
                if len(body) > MAX_BODY_BYTES:
                    return Incomplete(reason="too_large")
            case End():
                return bytes(body)
            case CallFailed(phase=phase):
                return Incomplete(reason=f"cut_{phase.value}")
    return Incomplete(reason="cut_body")
