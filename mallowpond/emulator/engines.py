"""Emulated groups of engines with the timing declared in an `EngineProfile`."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from mallowpond.node.ports import CallerRequest
from mallowpond.state.fleet import EngineProfile, ModelSpec, Target
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import Chunk, End

# Upper bound of the prompt tokens that a group prefills per decoding step.
PREFILL_TOKENS_PER_STEP = 2048


@dataclass(kw_only=True, eq=False)
class EngineStream:
    """A stream on an engine: its remaining prefill and its event output."""

    prefill_tokens_left: float
    event_count: int
    # Numbers of the generated events, then None for the end.
    output: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)
    generated_events: int = 0
    is_closed: bool = False


class EmulatedGroup:
    """A group that runs one stream per slot and queues the others.

    It works in passes of `profile.stride` decoding steps. A pass prefills prompts up to
    a limit and generates one event for each stream whose prompt is complete.
    """

    def __init__(
        self, *, profile: EngineProfile, model: ModelSpec, first_event_seconds: float
    ) -> None:
        self._profile = profile
        self._model = model
        # Latency of a first event in addition to the passes.
        self._first_event_seconds = first_event_seconds
        self._queue: deque[EngineStream] = deque()
        self._running: list[EngineStream] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def stream_count(self) -> int:
        """Number of running and queued streams."""
        return len(self._queue) + len(self._running)

    @property
    def free_slots(self) -> int:
        """Number of free slots."""
        return max(0, self._profile.slots - self.stream_count)

    @property
    def excess_streams(self) -> int:
        """Number of streams in excess of the slots."""
        return max(0, self.stream_count - self._profile.slots)

    def submit(self, stream: EngineStream) -> None:
        """Queue a stream for a slot."""
        self._queue.append(stream)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run_passes())

    async def _run_passes(self) -> None:
        while self._queue or self._running:
            self._admit()
            await asyncio.sleep(self._start_pass())
            self._finish_pass()

    def _admit(self) -> None:
        self._queue = deque(s for s in self._queue if not s.is_closed)
        self._running = [s for s in self._running if not s.is_closed]
        while self._queue and len(self._running) < self._profile.slots:
            self._running.append(self._queue.popleft())

    def _start_pass(self) -> float:
        """Prefill prompts within the limit of a pass and return its duration."""
        profile = self._profile
        token_limit = float(PREFILL_TOKENS_PER_STEP * profile.stride)
        prefilled = 0.0
        for stream in self._running:
            tokens = min(stream.prefill_tokens_left, token_limit - prefilled)
            stream.prefill_tokens_left -= tokens
            prefilled += tokens
        step = profile.step_seconds + profile.request_seconds * len(self._running)
        seconds = step * profile.stride + prefilled / profile.prefill_tokens_per_second
        # The pace of a model multiplies the duration: a larger one is slower.
        return seconds * self._model.pace

    def _finish_pass(self) -> None:
        for stream in self._running:
            if stream.prefill_tokens_left > 0:
                continue
            stream.generated_events += 1
            stream.output.put_nowait(stream.generated_events)
            if stream.generated_events >= stream.event_count:
                stream.output.put_nowait(None)
                stream.is_closed = True

    async def delay_first_event(self) -> None:
        """Wait for the additional latency of a first event."""
        await asyncio.sleep(self._first_event_seconds)


class EmulatedResponse:
    """The HTTP response of an emulated target, whose body is a stream of events."""

    status = 200
    header_list: tuple[tuple[str, str], ...] = ()
    has_marked_end = True

    def __init__(self, *, group: EmulatedGroup, stream: EngineStream) -> None:
        self._group = group
        self._stream = stream

    async def events(self) -> AsyncIterator[Chunk | End]:
        """Yield each event as it is generated, then the end."""
        while (number := await self._stream.output.get()) is not None:
            if number == 1:
                await self._group.delay_first_event()
            yield Chunk(data=b"id: %d\n\n" % number)
        yield End()

    def close(self) -> None:
        """Cancel the stream on its engine."""
        self._stream.is_closed = True


class EmulatedTargets:
    """Client that sends requests to emulated groups.

    A group is addressed by the target id of its head, the member that accepts requests.
    """

    def __init__(
        self, *, groups: dict[str, EmulatedGroup], one_way_seconds: float
    ) -> None:
        self._groups = groups
        self._one_way_seconds = one_way_seconds

    async def send(
        self,
        target: Target,
        request: CallerRequest,
        *,
        workspace: str | None,
        seconds_left: float,
        last_event: str | None,
        is_repeat: bool = False,
        on_connected: Callable[[str], None] | None = None,
    ) -> EmulatedResponse:
        """Submit a request to the group of a target, after the one-way delay."""
        await asyncio.sleep(self._one_way_seconds)
        group = self._groups[target.id]
        stream = EngineStream(
            prefill_tokens_left=float(request.prompt_tokens),
            event_count=request.answer_tokens,
        )
        group.submit(stream)
        return EmulatedResponse(group=group, stream=stream)

    def is_not_run(self, response: EmulatedResponse) -> bool:
        """Return whether the target declined to run the request, here always False."""
        return False

    def is_signed(self, response: EmulatedResponse) -> bool:
        """Return whether the target signed a response, here always True."""
        return True

    def notice(self, response: EmulatedResponse) -> TargetNotice:
        """Return what a response announces about its target: here nothing."""
        return TargetNotice()
