"""Parsing of callers' requests and checks against the declaration."""

from dataclasses import dataclass
from functools import cached_property

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.dispatch import Attempt
from mallowpond.gateway.pools import Pools
from mallowpond.gateway.routes import RouteTable
from mallowpond.gateway.serving import TargetPool
from mallowpond.protocol.caller import (
    CallerHeaders,
    CompletionRequest,
    parse_completion,
    parse_headers,
)
from mallowpond.protocol.problems import Problem
from mallowpond.state.declarations import Declaration, PlainService, Workspace
from mallowpond.state.fingerprint import fingerprint, part_key
from mallowpond.transport.http_server import HttpRequest


@dataclass(frozen=True, kw_only=True)
class ParsedRequest:
    """A valid request of a known workspace.

    `units` are charged to the workspace's budget. `deadline` is in seconds on the
    gateway's clock. `parts` are the keys of what its prompt may share with others.
    """

    request_id: str
    workspace: Workspace
    caller: CallerHeaders
    attempt: Attempt
    stream: bool
    units: int
    pool: TargetPool
    deadline: float
    parts: tuple[str, ...] = ()

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint, which all retries of the request share."""
        return fingerprint(
            host="",
            target=self.attempt.path,
            workspace=self.workspace.name,
            body=self.attempt.body,
        )


class RequestParser:
    """Parses requests and checks them against the declaration, without I/O."""

    def __init__(
        self,
        *,
        routes: RouteTable,
        pools: Pools,
        clock: Clock,
        default_timeout: float,
    ) -> None:
        self._routes = routes
        self._pools = pools
        self._clock = clock
        self._default_timeout = default_timeout

    def parse(
        self, request: HttpRequest, request_id: str
    ) -> ParsedRequest | bytes | Problem:
        """Return the parsed request, or the body of an answer, or the refusal."""
        caller = parse_headers(request.headers, self._default_timeout)
        if isinstance(caller, Problem):
            return caller
        declaration = self._routes.declaration
        workspace = declaration.workspace_for_key(caller.key_sha256 or "")
        if workspace is None:
            return Problem(status=401, reason="bad_key", detail="No such API key.")
        match (request.method, request.path):
            case ("GET", "/v1/models"):
                return self._pools.models_document()
            case ("POST", "/v1/chat/completions" | "/v1/completions"):
                return self._parse_completion(request, request_id, caller, workspace)
        service = declaration.service_for_path(request.path)
        if service is None:
            return Problem(
                status=404, reason="unknown_path", detail=f"No route {request.path}."
            )
        return self._parse_plain(request, request_id, caller, workspace, service)

    def _parse_completion(
        self,
        request: HttpRequest,
        request_id: str,
        caller: CallerHeaders,
        workspace: Workspace,
    ) -> ParsedRequest | Problem:
        is_chat = request.path.endswith("chat/completions")
        completion = parse_completion(request.body, is_chat=is_chat)
        if isinstance(completion, Problem):
            return completion
        declaration = self._routes.declaration
        deployment = declaration.deployment_for_model(completion.model)
        if deployment is None:
            return Problem(
                status=404,
                reason="unknown_model",
                detail=f"No model {completion.model!r}.",
            )
        repeatable = self._is_repeatable(declaration, caller)
        if not repeatable and caller.idempotency_key is None:
            return _key_required()
        deadline = self._clock.now() + caller.timeout
        pool = self._pools.for_deployment(
            deployment, workspace, completion.prefix, deadline
        )
        return self._build(
            request,
            request_id,
            caller,
            workspace,
            pool,
            repeatable,
            completion,
            deadline,
        )

    def _parse_plain(
        self,
        request: HttpRequest,
        request_id: str,
        caller: CallerHeaders,
        workspace: Workspace,
        service: PlainService,
    ) -> ParsedRequest | Problem:
        if request.method not in service.methods:
            detail = f"{service.name} takes {', '.join(service.methods)}."
            return Problem(status=405, reason="method_not_allowed", detail=detail)
        repeatable = service.repeatable and self._is_repeatable(
            self._routes.declaration, caller
        )
        if not repeatable and caller.idempotency_key is None:
            return _key_required()
        deadline = self._clock.now() + caller.timeout
        pool = self._pools.for_service(service, deadline)
        return self._build(
            request, request_id, caller, workspace, pool, repeatable, None, deadline
        )

    def _is_repeatable(self, declaration: Declaration, caller: CallerHeaders) -> bool:
        return caller.idempotency_key is None and declaration.is_repeatable(caller.kind)

    def _build(
        self,
        request: HttpRequest,
        request_id: str,
        caller: CallerHeaders,
        workspace: Workspace,
        pool: TargetPool,
        repeatable: bool,
        completion: CompletionRequest | None,
        deadline: float,
    ) -> ParsedRequest:
        attempt = Attempt(
            request_id=request_id,
            method=request.method,
            path=request.target,
            body=request.body,
            content_type=request.headers.get("content-type", "application/json"),
            repeatable=repeatable,
            idempotency_key=caller.idempotency_key,
        )
        return ParsedRequest(
            request_id=request_id,
            workspace=workspace,
            caller=caller,
            attempt=attempt,
            stream=completion.stream if completion else False,
            units=completion.max_tokens if completion else 1,
            pool=pool,
            deadline=deadline,
            parts=_part_keys(completion),
        )


def _part_keys(completion: CompletionRequest | None) -> tuple[str, ...]:
    if completion is None:
        return ()
    return tuple(
        part_key(service="", model=completion.model, part=part)
        for part in completion.shared_parts
    )


def _key_required() -> Problem:
    return Problem(
        status=400,
        reason="key_required",
        detail="A request that may not be repeated needs an Idempotency-Key.",
    )
