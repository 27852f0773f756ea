"""Emulate groups of engines by their declared timing."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from mallowpond.node.ports import CallerRequest
from mallowpond.state.fleet import EngineProfile, ModelSpec, Target
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import Chunk, End

# Tokens that an engine reads in one step, at most.
READ_TOKENS_PER_STEP = 2048


@dataclass(kw_only=True, eq=False)
class EngineStream:
    """Hold one stream on an engine: what is left to read and to write."""

    tokens: float
    events: int
    # Events that are made, the end as None.
    made: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)
    number: int = 0
    is_closed: bool = False


class EmulatedGroup:
    """Serve streams in passes, as many at once as there are slots."""

    def __init__(
        self, *, profile: EngineProfile, model: ModelSpec, first_event_seconds: float
    ) -> None:
        self._profile = profile
        self._model = model
        # Time that each first event takes beside the passes.
        self._first_event_seconds = first_event_seconds
        self._waiting: deque[EngineStream] = deque()
        self._running: list[EngineStream] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def taken(self) -> int:
        """Return how many streams run or wait here."""
        return len(self._waiting) + len(self._running)

    @property
    def free(self) -> int:
        """Return how many slots are free."""
        return max(0, self._profile.slots - self.taken)

    @property
    def beyond(self) -> int:
        """Return how many streams stand here beyond the slots."""
        return max(0, self.taken - self._profile.slots)

    def take(self, stream: EngineStream) -> None:
        """Let a stream wait for a slot."""
        self._waiting.append(stream)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._work())

    async def _work(self) -> None:
        while self._waiting or self._running:
            self._admit()
            await asyncio.sleep(self._pass_seconds())
            self._write()

    def _admit(self) -> None:
        self._waiting = deque(s for s in self._waiting if not s.is_closed)
        self._running = [s for s in self._running if not s.is_closed]
        while self._waiting and len(self._running) < self._profile.slots:
            self._running.append(self._waiting.popleft())

    def _pass_seconds(self) -> float:
        """Read what can be read in the next pass and return how long it takes."""
        profile = self._profile
        budget = float(READ_TOKENS_PER_STEP * profile.stride)
        read = 0.0
        for stream in self._running:
            tokens = min(stream.tokens, budget - read)
            stream.tokens -= tokens
            read += tokens
        step = profile.step_seconds + profile.request_seconds * len(self._running)
        seconds = step * profile.stride + read / profile.prefill_tokens_per_second
        return seconds * self._model.pace

    def _write(self) -> None:
        for stream in self._running:
            if stream.tokens > 0:
                continue
            stream.number += 1
            stream.made.put_nowait(stream.number)
            if stream.number >= stream.events:
                stream.made.put_nowait(None)
                stream.is_closed = True

    async def first_event(self) -> None:
        """Wait for what a first event takes beside the passes."""
        await asyncio.sleep(self._first_event_seconds)


class EmulatedResponse:
    """Pass a stream's events on as an answer."""

    status = 200
    header_list: tuple[tuple[str, str], ...] = ()

    def __init__(self, *, group: EmulatedGroup, stream: EngineStream) -> None:
        self._group = group
        self._stream = stream

    async def events(self) -> AsyncIterator[Chunk | End]:
        """Yield each event as it is made, then the end."""
        while (number := await self._stream.made.get()) is not None:
            if number == 1:
                await self._group.first_event()
            yield Chunk(data=b"id: %d\n\n" % number)
        yield End()

    def close(self) -> None:
        """Let the engine drop the stream."""
        self._stream.is_closed = True


class EmulatedTargets:
    """Send requests to emulated groups by the name of their head."""

    def __init__(
        self, *, groups: dict[str, EmulatedGroup], one_way_seconds: float
    ) -> None:
        self._groups = groups
        self._way_seconds = one_way_seconds

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        *,
        workspace: str | None,
        seconds_left: float,
        last_event: str | None,
    ) -> EmulatedResponse:
        """Hand a request to the head of a group."""
        await asyncio.sleep(self._way_seconds)
        group = self._groups[target.id]
        stream = EngineStream(
            tokens=float(request.prompt_tokens),
            events=request.answer_tokens,
        )
        group.take(stream)
        return EmulatedResponse(group=group, stream=stream)

    def is_not_run(self, response: EmulatedResponse) -> bool:
        """Tell that every request runs."""
        return False

    def notice(self, response: EmulatedResponse) -> TargetNotice:
        """Tell that engines say nothing of themselves."""
        return TargetNotice()
