"""Stand in for a model engine or a plain service, with faults on request."""

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass, replace

from mallowpond.coordination.ports import (
    EngineStatus,
    Order,
    OrderAction,
    Unavailable,
)
from mallowpond.protocol.engine import (
    GENERATION_HEADER,
    GROUP_HEADER,
    LOAD_HEADER,
    NOT_STARTED,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
)
from mallowpond.state.codec import from_json, to_json
from mallowpond.transport.engine_client import EngineClient
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer

PEER_CHECK_SECONDS = 0.1
DEFAULT_TOKENS = 8


@dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """Say what goes wrong in an engine."""

    paused: bool = False
    slow_factor: float = 1.0
    late_seconds: float = 0.0
    cut_after_tokens: int | None = None
    cut_before_head: bool = False
    swap_answers: bool = False
    ignore_fencing: bool = False
    refuse_start: bool = False
    # A prompt that ends the process which runs it, empty for none.
    fatal_prompt: str = ""


@dataclass(frozen=True, kw_only=True)
class Placement:
    """Hold the place in a group that the last order gave."""

    order: Order
    loaded: bool = False


class EngineStandin:
    """Serve completions for the group that the last order named."""

    def __init__(
        self,
        *,
        host: str,
        incarnation: str,
        checks_fencing: bool = True,
        step_seconds: float = 0.005,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._checks_fencing = checks_fencing
        self._step_seconds = step_seconds
        self._placement: Placement | None = None
        self._highest_fence = 0
        self._whole = False
        self._in_flight = 0
        self._faults = EngineFaults()
        self._runs: list[str] = []
        self._http = HttpClient(connect_seconds=0.5)
        self._peers = EngineClient(http=self._http, timeout=0.5)
        self._load: asyncio.Task[None] | None = None
        self._peer_check: asyncio.Task[None] | None = None
        self.server = HttpServer(handler=self._handle)

    @property
    def runs(self) -> tuple[str, ...]:
        """Return the ids of the requests that were started here."""
        return tuple(self._runs)

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace what goes wrong."""
        self._faults = faults

    async def start(self, host: str, port: int) -> None:
        """Listen and watch the other members."""
        await self.server.start(host, port)
        self._peer_check = asyncio.create_task(self._watch_peers())

    async def close(self) -> None:
        """Stop at once, as a killed process would."""
        for task in (self._load, self._peer_check):
            if task is not None:
                task.cancel()
        await self.server.close()
        await self._http.close()

    def status(self) -> EngineStatus:
        """Report what this engine holds."""
        placed = self._placement
        if placed is None:
            return EngineStatus(host=self._host, incarnation=self._incarnation)
        order = placed.order
        return EngineStatus(
            host=self._host,
            incarnation=self._incarnation,
            group=order.group,
            generation=order.generation,
            order=order.order,
            loaded=placed.loaded,
            whole=self._whole,
            in_flight=self._in_flight,
        )

    def take_order(self, order: Order) -> str | None:
        """Carry out an order; return why it is refused."""
        ignores = self._faults.ignore_fencing or not self._checks_fencing
        if order.fence < self._highest_fence and not ignores:
            return f"fence {order.fence} is older than {self._highest_fence}"
        self._highest_fence = max(self._highest_fence, order.fence)
        if self._load is not None:
            self._load.cancel()
        self._whole = False
        if order.action is OrderAction.UNLOAD:
            self._placement = Placement(order=replace(order, group="", generation=0))
            return None
        held = self._placement
        is_warm = held is not None and held.loaded and held.order.model == order.model
        self._placement = Placement(order=order)
        seconds = 0.0 if is_warm else order.load_seconds
        self._load = asyncio.create_task(self._load_weights(order, seconds))
        return None

    async def _load_weights(self, order: Order, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._placement = Placement(order=order, loaded=True)

    async def _watch_peers(self) -> None:
        while True:
            placed = self._placement
            if placed is not None and placed.order.members:
                whole = await self._is_whole(placed)
                self._whole = whole and placed is self._placement
            await asyncio.sleep(PEER_CHECK_SECONDS)

    async def _is_whole(self, placed: Placement) -> bool:
        others = (m for m in placed.order.members if m.host != self._host)
        asked = (self._peers.status(m.address) for m in others)
        answers = await asyncio.gather(*asked)
        return placed.loaded and all(_is_beside(a, placed.order) for a in answers)

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path == "/standin/faults":
            self._faults = from_json(request.body, EngineFaults)
            await exchange.respond(200)
            return
        while self._faults.paused:
            await asyncio.sleep(0.02)
        match request.path:
            case "/standin/runs":
                await exchange.respond(200, to_json(self._runs))
            case "/engine/status":
                await exchange.respond(200, to_json(self.status()))
            case "/engine/order":
                refused = self.take_order(from_json(request.body, Order))
                status = 409 if refused else 200
                await exchange.respond(status, (refused or "").encode())
            case "/v1/completions" | "/v1/chat/completions":
                await self._complete(request, exchange)
            case _:
                await self._serve_plainly(request, exchange)

    async def _serve_plainly(self, request: HttpRequest, exchange: Exchange) -> None:
        self._runs.append(request.headers.get(REQUEST_HEADER, ""))
        if self._faults.cut_before_head:
            return
        seen = {"host": self._host, "method": request.method, "path": request.target}
        echo = ((REQUEST_HEADER, request.headers.get(REQUEST_HEADER, "")),)
        await exchange.respond(200, json.dumps(seen).encode(), echo)

    async def _complete(self, request: HttpRequest, exchange: Exchange) -> None:
        placed = self._placement
        named = (
            request.headers.get(GROUP_HEADER),
            request.headers.get(GENERATION_HEADER),
        )
        if placed is None or not self._may_start(placed, named):
            not_started = ((OUTCOME_HEADER, NOT_STARTED),)
            await exchange.respond(409, b"not in this group", not_started)
            return
        self._runs.append(request.headers.get(REQUEST_HEADER, ""))
        self._in_flight += 1
        try:
            await self._answer(request, exchange, placed.order)
        finally:
            self._in_flight -= 1

    def _may_start(self, placed: Placement, named: tuple[str | None, ...]) -> bool:
        held = (placed.order.group, str(placed.order.generation))
        return self._whole and held == named and not self._faults.refuse_start

    async def _answer(
        self, request: HttpRequest, exchange: Exchange, order: Order
    ) -> None:
        faults = self._faults
        if faults.late_seconds:
            await asyncio.sleep(faults.late_seconds)
        if faults.cut_before_head:
            return
        headers = self._answer_headers(request, order)
        asked = json.loads(request.body)
        if faults.fatal_prompt and asked.get("prompt") == faults.fatal_prompt:
            await self._crash()
        words = _words(asked, int(request.headers.get(RESUME_HEADER, "0")))
        is_chat = request.path.endswith("chat/completions")
        if not asked.get("stream"):
            spoken = [word async for word in self._speak(words, order)]
            text = "".join(spoken)
            document = _whole_document(order.model, text, len(spoken), is_chat)
            await exchange.respond(200, json.dumps(document).encode(), headers)
            return
        head = (("content-type", "text/event-stream"), *headers)
        await exchange.start(200, head)
        async for word in self._speak(words, order):
            await exchange.send(
                _event(_part_document(order.model, word, is_chat, None))
            )
        last = _part_document(order.model, "", is_chat, "stop")
        await exchange.send(_event(last) + b"data: [DONE]\n\n")
        await exchange.end()

    def _answer_headers(
        self, request: HttpRequest, order: Order
    ) -> tuple[tuple[str, str], ...]:
        request_id = request.headers.get(REQUEST_HEADER, "")
        if self._faults.swap_answers:
            request_id = "another-request"
        return (
            (REQUEST_HEADER, request_id),
            (GROUP_HEADER, order.group),
            (GENERATION_HEADER, str(order.generation)),
            (LOAD_HEADER, str(self._in_flight)),
        )

    async def _crash(self) -> None:
        """Lose the place in the group, and all that runs there, as a crash does."""
        await asyncio.sleep(self._step_seconds)
        self._placement = None
        self._whole = False
        raise ConnectionAbortedError("the process ended")

    async def _speak(self, words: Iterator[str], order: Order):
        for spoken, word in enumerate(words):
            if self._faults.cut_after_tokens == spoken:
                raise ConnectionAbortedError("told to cut")
            while self._faults.paused:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self._step_seconds * self._faults.slow_factor)
            placed = self._placement
            if placed is None or placed.order is not order or not self._whole:
                raise ConnectionAbortedError("the group broke")
            yield word


def _is_beside(status: EngineStatus | Unavailable, order: Order) -> bool:
    if isinstance(status, Unavailable):
        return False
    listed = {(m.host, m.incarnation) for m in order.members}
    same_place = (status.group, status.generation) == (order.group, order.generation)
    return status.loaded and same_place and (status.host, status.incarnation) in listed


def _words(asked: dict, skip: int) -> Iterator[str]:
    """Answer each prompt with words that name the prompt and their own place."""
    prompt = asked.get("prompt")
    if prompt is None:
        prompt = asked["messages"][-1]["content"]
    count = int(asked.get("max_tokens") or DEFAULT_TOKENS)
    return (f"{prompt}.{place} " for place in range(skip, count))


def _event(document: dict) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _whole_document(model: str, text: str, tokens: int, is_chat: bool) -> dict:
    choice: dict = {"index": 0, "finish_reason": "stop", "logprobs": None}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": "answer",
        "object": "chat.completion" if is_chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": 1,
            "completion_tokens": tokens,
            "total_tokens": tokens + 1,
        },
    }


def _part_document(model: str, word: str, is_chat: bool, finish: str | None) -> dict:
    choice: dict = {"index": 0, "finish_reason": finish, "logprobs": None}
    if is_chat:
        choice["delta"] = {"content": word}
    else:
        choice["text"] = word
    return {
        "id": "answer",
        "object": "chat.completion.chunk" if is_chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
