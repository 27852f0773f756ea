"""Stand-in for a model engine, or for a plain service that has no model or group.

It can inject faults into its answers. A plain service answers each request with a JSON
description of it.
"""

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

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
    """Faults to inject into an engine.

    paused: new requests wait and running streams pause.
    slow_factor: factor on the time per token.
    late_seconds: delay before a completion starts.
    cut_after_tokens: number of tokens after which the connection closes.
    cut_before_head: the request runs, and the connection closes before the head of the
        HTTP response.
    swap_answers: answers carry a fixed, wrong request id.
    ignore_fencing: orders are accepted regardless of their fencing number.
    refuse_start: completions are refused.
    fatal_prompt: value of the field `prompt` that crashes the engine that runs the
        request, empty for none. The prompt of a chat message is not compared.
    fatal_message: content of any message but the last of a chat that crashes the
        engine that runs the request, empty for none.
    """

    paused: bool = False
    slow_factor: float = 1.0
    late_seconds: float = 0.0
    cut_after_tokens: int | None = None
    cut_before_head: bool = False
    swap_answers: bool = False
    ignore_fencing: bool = False
    refuse_start: bool = False
    fatal_prompt: str = ""
    fatal_message: str = ""


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """The last accepted order, and whether its weights are loaded."""

    order: Order
    loaded: bool = False


class EngineStandin:
    """Engine that serves completions for the group of the last accepted order."""

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
        self._assignment: Assignment | None = None
        self._highest_fence = 0
        # Whether this engine is loaded, and all other members are reachable and loaded.
        self._is_group_complete = False
        self._in_flight = 0
        self._faults = EngineFaults()
        self._runs: list[str] = []
        self._http = HttpClient(connect_seconds=0.5)
        self._peers = EngineClient(http=self._http, timeout=0.5)
        self._load_task: asyncio.Task[None] | None = None
        self._monitor_task: asyncio.Task[None] | None = None
        self.server = HttpServer(handler=self._handle)

    @property
    def runs(self) -> tuple[str, ...]:
        """Ids of the requests that were started here."""
        return tuple(self._runs)

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the faults to inject."""
        self._faults = faults

    async def start(self, host: str, port: int) -> None:
        """Listen, and start to monitor the other members of the group."""
        await self.server.start(host, port)
        self._monitor_task = asyncio.create_task(self._monitor_peers())

    async def close(self) -> None:
        """Stop at once, as a killed process would."""
        for task in (self._load_task, self._monitor_task):
            if task is not None:
                task.cancel()
        await self.server.close()
        await self._http.close()

    def status(self) -> EngineStatus:
        """Return the status that this engine reports."""
        assignment = self._assignment
        if assignment is None:
            return EngineStatus(host=self._host, incarnation=self._incarnation)
        order = assignment.order
        return EngineStatus(
            host=self._host,
            incarnation=self._incarnation,
            group=order.group,
            generation=order.generation,
            # Number of the order among those to this host.
            order=order.order,
            loaded=assignment.loaded,
            whole=self._is_group_complete,
            in_flight=self._in_flight,
        )

    def apply_order(self, order: Order) -> str | None:
        """Apply an order; return the reason if it is refused."""
        ignores = self._faults.ignore_fencing or not self._checks_fencing
        if order.fence < self._highest_fence and not ignores:
            return f"fence {order.fence} is older than {self._highest_fence}"
        self._highest_fence = max(self._highest_fence, order.fence)
        if self._load_task is not None:
            self._load_task.cancel()
        self._is_group_complete = False
        if order.action is OrderAction.UNLOAD:
            self._assignment = Assignment(order=replace(order, group="", generation=0))
            return None
        old = self._assignment
        is_warm = old is not None and old.loaded and old.order.model == order.model
        self._assignment = Assignment(order=order)
        seconds = 0.0 if is_warm else order.load_seconds
        self._load_task = asyncio.create_task(self._load_weights(order, seconds))
        return None

    async def _load_weights(self, order: Order, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._assignment = Assignment(order=order, loaded=True)

    async def _monitor_peers(self) -> None:
        while True:
            assignment = self._assignment
            if assignment is not None and assignment.order.members:
                whole = await self._check_members(assignment)
                self._is_group_complete = whole and assignment is self._assignment
            await asyncio.sleep(PEER_CHECK_SECONDS)

    async def _check_members(self, assignment: Assignment) -> bool:
        others = (m for m in assignment.order.members if m.host != self._host)
        queries = (self._peers.status(m.address) for m in others)
        answers = await asyncio.gather(*queries)
        return assignment.loaded and all(
            _is_loaded_member(a, assignment.order) for a in answers
        )

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
                refusal = self.apply_order(from_json(request.body, Order))
                status = 409 if refusal else 200
                await exchange.respond(status, (refusal or "").encode())
            case "/v1/completions" | "/v1/chat/completions":
                await self._complete(request, exchange)
            case _:
                await self._serve_plain_request(request, exchange)

    async def _serve_plain_request(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        self._runs.append(request.headers.get(REQUEST_HEADER, ""))
        if self._faults.cut_before_head:
            return
        seen = {"host": self._host, "method": request.method, "path": request.target}
        echo = ((REQUEST_HEADER, request.headers.get(REQUEST_HEADER, "")),)
        await exchange.respond(200, json.dumps(seen).encode(), echo)

    async def _complete(self, request: HttpRequest, exchange: Exchange) -> None:
        assignment = self._assignment
        requested = (
            request.headers.get(GROUP_HEADER),
            request.headers.get(GENERATION_HEADER),
        )
        if assignment is None or not self._can_start(assignment, requested):
            not_started = ((OUTCOME_HEADER, NOT_STARTED),)
            await exchange.respond(409, b"not in this group", not_started)
            return
        self._runs.append(request.headers.get(REQUEST_HEADER, ""))
        self._in_flight += 1
        try:
            await self._send_completion(request, exchange, assignment.order)
        finally:
            self._in_flight -= 1

    def _can_start(
        self, assignment: Assignment, requested: tuple[str | None, ...]
    ) -> bool:
        assigned = (assignment.order.group, str(assignment.order.generation))
        return (
            self._is_group_complete
            and assigned == requested
            and not self._faults.refuse_start
        )

    async def _send_completion(
        self, request: HttpRequest, exchange: Exchange, order: Order
    ) -> None:
        faults = self._faults
        if faults.late_seconds:
            await asyncio.sleep(faults.late_seconds)
        if faults.cut_before_head:
            return
        headers = self._answer_headers(request, order)
        parameters = json.loads(request.body)
        if _is_fatal(parameters, faults):
            await self._crash()
        words = _words(parameters, int(request.headers.get(RESUME_HEADER, "0")))
        is_chat = request.path.endswith("chat/completions")
        if not parameters.get("stream"):
            generated = [word async for word in self._generate(words, order)]
            text = "".join(generated)
            document = _completion_document(order.model, text, len(generated), is_chat)
            await exchange.respond(200, json.dumps(document).encode(), headers)
            return
        head = (("content-type", "text/event-stream"), *headers)
        await exchange.start(200, head)
        async for word in self._generate(words, order):
            await exchange.send(
                _event(_chunk_document(order.model, word, is_chat, None))
            )
        last = _chunk_document(order.model, "", is_chat, "stop")
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
        """Lose the group and all running requests, as in a crash of the process."""
        await asyncio.sleep(self._step_seconds)
        self._assignment = None
        self._is_group_complete = False
        raise ConnectionAbortedError("the engine process crashed")

    async def _generate(self, words: Iterator[str], order: Order):
        for count, word in enumerate(words):
            if self._faults.cut_after_tokens == count:
                raise ConnectionAbortedError("cut off by fault injection")
            while self._faults.paused:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self._step_seconds * self._faults.slow_factor)
            assignment = self._assignment
            if (
                assignment is None
                or assignment.order is not order
                or not self._is_group_complete
            ):
                raise ConnectionAbortedError("the group is broken")
            yield word


def _is_fatal(parameters: dict[str, Any], faults: EngineFaults) -> bool:
    """Return whether a request crashes the engine that runs it."""
    if faults.fatal_prompt and parameters.get("prompt") == faults.fatal_prompt:
        return True
    earlier = parameters.get("messages", [])[:-1]
    return bool(faults.fatal_message) and any(
        message.get("content") == faults.fatal_message for message in earlier
    )


def _is_loaded_member(status: EngineStatus | Unavailable, order: Order) -> bool:
    if isinstance(status, Unavailable):
        return False
    listed = {(m.host, m.incarnation) for m in order.members}
    is_same_group = (status.group, status.generation) == (order.group, order.generation)
    return (
        status.loaded and is_same_group and (status.host, status.incarnation) in listed
    )


def _words(parameters: dict, skip: int) -> Iterator[str]:
    """Return the words of an answer, one a token: each is the prompt and its index."""
    prompt = parameters.get("prompt")
    if prompt is None:
        prompt = parameters["messages"][-1]["content"]
    count = int(parameters.get("max_tokens") or DEFAULT_TOKENS)
    return (f"{prompt}.{index} " for index in range(skip, count))


def _event(document: dict) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _completion_document(model: str, text: str, tokens: int, is_chat: bool) -> dict:
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


def _chunk_document(model: str, word: str, is_chat: bool, finish: str | None) -> dict:
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
