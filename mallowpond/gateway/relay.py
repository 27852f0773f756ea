"""Relaying of answers to callers."""

from dataclasses import dataclass, field

from mallowpond.transport.http_client import (
    CallFailed,
    Chunk,
    End,
    HttpResponse,
)
from mallowpond.transport.http_server import Exchange

EVENT_END = b"\n\n"


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
    _partial: bytearray = field(default_factory=bytearray)

    def complete_events(self, data: bytes) -> bytes:
        """Add `data` and return the events that are complete now.

        Only complete events are sent on: a resumed stream starts at an event boundary,
        and a partial event of the interrupted stream would corrupt it.
        """
        self._partial += data
        last_end = self._partial.rfind(EVENT_END)
        if last_end < 0:
            return b""
        complete = bytes(self._partial[: last_end + len(EVENT_END)])
        del self._partial[: last_end + len(EVENT_END)]
        self.events += complete.count(EVENT_END)
        self.chunks += 1
        return complete

    def discard_partial_event(self) -> None:
        """Discard the partial event that an interrupted stream has left."""
        self._partial.clear()

    @property
    def has_partial_event(self) -> bool:
        """Return whether there are bytes of an incomplete event."""
        return bool(self._partial)


async def relay_stream(
    response: HttpResponse,
    exchange: Exchange,
    progress: StreamProgress,
    *,
    headers: tuple[tuple[str, str], ...],
    silence_seconds: float,
) -> RelayResult:
    """Send complete events to the caller as they arrive.

    Starts the exchange if needed and does not end it. The stream is incomplete after
    `silence_seconds` without data.
    """
    try:
        async for part in response.events(silence_seconds):
            match part:
                case Chunk(data=data):
                    complete = progress.complete_events(data)
                    if not complete:
                        continue
                    if not exchange.started:
                        await exchange.start(200, headers)
                    await exchange.send(complete)
                case End():
                    return (
                        Incomplete(reason="cut_event")
                        if progress.has_partial_event
                        else Complete()
                    )
                case CallFailed(phase=phase):
                    return Incomplete(reason=f"cut_{phase.value}")
    finally:
        response.close()
    return Incomplete(reason="cut_body")


async def read_body(
    response: HttpResponse, silence_seconds: float
) -> bytes | Incomplete:
    """Read an answer to its end before any of it is sent to the caller."""
    body = bytearray()
    try:
        async for part in response.events(silence_seconds):
            match part:
                case Chunk(data=data):
                    body += data
                case End():
                    return bytes(body)
                case CallFailed(phase=phase):
                    return Incomplete(reason=f"cut_{phase.value}")
    finally:
        response.close()
    return Incomplete(reason="cut_body")
