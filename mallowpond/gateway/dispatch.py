"""Sending of one attempt of a request to one target."""

import asyncio
from dataclasses import dataclass

from mallowpond.coordination.ports import Clock
from mallowpond.protocol.engine import (
    KEY_HEADER,
    NOT_STARTED,
    OUTCOME_HEADER,
    RESUME_HEADER,
    dispatch_headers,
    is_echo,
)
from mallowpond.state.rows import GroupRow
from mallowpond.transport.http_client import (
    CallFailed,
    FailurePhase,
    HttpClient,
    HttpResponse,
)


@dataclass(frozen=True, kw_only=True)
class ResponseTimeout:
    """Time limit for the headers of an answer.

    An answer that is not streamed sends its first byte when it is complete, and a
    slightly late answer is worth more to its caller than an unknown outcome. The
    deadline therefore only ever lengthens the wait; requests that cannot be served in
    time are refused at admission.
    """

    clock: Clock
    deadline: float
    first_byte_seconds: float

    @property
    def seconds(self) -> float:
        """Return the seconds left from now."""
        return max(self.first_byte_seconds, self.deadline - self.clock.now())


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a request; a `repeatable` one may run more than once.

    `path` includes the query string. `resume_after` is the number of stream events that
    the caller has received already.
    """

    request_id: str
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    method: str = "POST"
    idempotency_key: str | None = None
    resume_after: int = 0


@dataclass(frozen=True, kw_only=True)
class NotStarted:
    """The target certainly did not start the request."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class MaybeRun:
    """The target may have run the request, and no complete answer arrived."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class ResponseStarted:
    """The answer's headers arrived and are for this request; the body is unread."""

    response: HttpResponse


AttemptOutcome = NotStarted | MaybeRun | ResponseStarted


async def dispatch(
    *, http: HttpClient, group: GroupRow, attempt: Attempt, first_byte_seconds: float
) -> AttemptOutcome:
    """Send an attempt to the head of a group and read the answer's headers.

    An answer whose headers do not echo the request, group and generation is rejected.
    """
    echo = dispatch_headers(attempt.request_id, group.group, group.generation)
    answer = await _send(http, group.head.address, attempt, echo, first_byte_seconds)
    if not isinstance(answer, HttpResponse):
        return answer
    if _is_not_started(answer):
        answer.close()
        return NotStarted(reason="engine_refused")
    if not is_echo(answer.headers, attempt.request_id, group.group, group.generation):
        # This is another request's answer and must not reach this caller. Closing the
        # connection also keeps the rest of it from the next request.
        answer.close()
        return MaybeRun(reason="crossed_answer")
    return ResponseStarted(response=answer)


async def dispatch_to_service(
    *, http: HttpClient, target: str, attempt: Attempt, first_byte_seconds: float
) -> AttemptOutcome:
    """Send an attempt to a target of a plain service, which sends no echo."""
    headers = (("mallowpond-request", attempt.request_id),)
    answer = await _send(http, target, attempt, headers, first_byte_seconds)
    if not isinstance(answer, HttpResponse):
        return answer
    return ResponseStarted(response=answer)


async def _send(
    http: HttpClient,
    address: str,
    attempt: Attempt,
    headers: tuple[tuple[str, str], ...],
    first_byte_seconds: float,
) -> HttpResponse | NotStarted | MaybeRun:
    headers += (("content-type", attempt.content_type),)
    if attempt.idempotency_key is not None:
        headers += ((KEY_HEADER, attempt.idempotency_key),)
    if attempt.resume_after:
        headers += ((RESUME_HEADER, str(attempt.resume_after)),)
    try:
        async with asyncio.timeout(first_byte_seconds):
            answer = await http.send(
                address,
                attempt.method,
                attempt.path,
                headers=headers,
                body=attempt.body,
                # The target can close a reused connection while the request is in
                # flight. For a request that must not be repeated it would then be
                # unknown whether it ran.
                new_connection=not attempt.repeatable,
            )
    except TimeoutError:
        return MaybeRun(reason="first_byte_timeout")
    match answer:
        case CallFailed(phase=FailurePhase.CONNECT):
            return NotStarted(reason="connect_failed")
        case CallFailed() if not answer.may_have_sent:
            return NotStarted(reason="connection_closed")
        case CallFailed(phase=phase):
            return MaybeRun(reason=f"cut_{phase.value}")
        case response:
            return response


def _is_not_started(response: HttpResponse) -> bool:
    return response.headers.get(OUTCOME_HEADER) == NOT_STARTED
