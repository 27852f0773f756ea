"""The gateway process: wires its parts and serves requests of callers."""

import asyncio
import random
from collections.abc import Awaitable
from contextlib import AsyncExitStack

import structlog
from prometheus_client import generate_latest

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.store import new_id
from mallowpond.coordination.tasks import cancel_task
from mallowpond.gateway.claims import ClaimClient, ClaimedAttempt
from mallowpond.gateway.link import ControllerLink
from mallowpond.gateway.metrics import GatewayMetrics
from mallowpond.gateway.pools import Pools
from mallowpond.gateway.quarantine import GatewayQuarantine
from mallowpond.gateway.quotas import QuotaClient
from mallowpond.gateway.request_parser import ParsedRequest, RequestParser
from mallowpond.gateway.routes import RouteTable
from mallowpond.gateway.serving import (
    RefusedRequest,
    RequestExecution,
    Served,
    ServeResult,
    Slot,
    StreamBroken,
    end_broken_stream,
    new_request_id,
)
from mallowpond.protocol.problems import CONTENT_TYPE, Outcome, Problem
from mallowpond.settings import GatewaySettings
from mallowpond.state.admission import Refused
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.state.retry import RetryBudget
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.http_server import (
    BadInput,
    ClientDisconnected,
    Exchange,
    HttpRequest,
    HttpServer,
    ServerLimits,
)

log = structlog.get_logger()
UNSURE_RETRY_AFTER_SECONDS = 2.0
DRAIN_CHECK_SECONDS = 0.05


class Gateway:
    """One gateway, built from its settings and clock."""

    def __init__(
        self, *, settings: GatewaySettings, clock: Clock, seed: int = 0
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random(seed) if seed else random.SystemRandom()
        self._incarnation = f"{settings.name}/{new_id(self._rng)}"
        self._stack = AsyncExitStack()
        self._stopping = False
        self._in_flight = 0
        self._budget = RetryBudget()
        self.metrics = GatewayMetrics()
        process_limits = settings.process_limits
        memory = PayloadMemory(max_bytes=process_limits.payload_bytes)
        self._http = HttpClient(
            connect_seconds=settings.timings.connect,
            memory=memory,
            process_limits=process_limits,
        )
        self.routes = RouteTable(permit_seconds=settings.timings.permit)
        self._quarantine = GatewayQuarantine(
            clock=clock,
            report=lambda record: self._link.report_crash(record),
            gateway=self._incarnation,
        )
        self._link = ControllerLink(
            gateway=self._incarnation,
            controllers=settings.controllers,
            routes=self.routes,
            clock=clock,
            poll_seconds=settings.timings.routes,
            on_change=self._on_routes,
            on_quarantine=self._quarantine.merge,
        )
        self._claims = ClaimClient(
            link=self._link,
            gateway=self._incarnation,
            clock=clock,
            metrics=self.metrics,
            timeout=settings.timings.claim,
        )
        self._quotas = QuotaClient(
            link=self._link, clock=clock, timeout=settings.timings.claim
        )
        self._pools = Pools(
            routes=self.routes,
            http=self._http,
            link=self._link,
            clock=clock,
            rng=self._rng,
            first_byte_seconds=settings.timings.first_byte,
        )
        self._parser = RequestParser(
            routes=self.routes,
            pools=self._pools,
            clock=clock,
            default_timeout=settings.timings.request,
        )
        limits = ServerLimits(
            header_bytes=settings.max_header_bytes,
            body_bytes=settings.max_body_bytes,
            receive_seconds=settings.receive_seconds,
        )
        self._server = HttpServer(
            handler=self._handle,
            limits=limits,
            on_bad_input=self._answer_bad_input,
            memory=memory,
            process_limits=process_limits,
        )

    @property
    def port(self) -> int:
        """Return the port that the gateway listens on."""
        return self._server.port

    @property
    def in_flight(self) -> int:
        """Return the number of requests being served."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Return whether new requests are admitted."""
        return self.routes.is_config_assured(self._clock.now()) and not self._stopping

    async def start(self) -> None:
        """Start listening and begin to attach to a controller."""
        self._stack.push_async_callback(self._http.close)
        self._spawn(self._link.run())
        self._spawn(self._claims.run())
        self._stack.push_async_callback(self._server.close)
        await self._server.start(self._settings.address, self._settings.port)
        log.info("gateway: started", name=self._settings.name, port=self.port)

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress, up to a limit."""
        self._stopping = True
        log.info("gateway: draining", in_flight=self._in_flight)
        limit = self._clock.now() + self._settings.timings.drain_limit
        while self._is_busy and self._clock.now() < limit:
            await self._clock.sleep(DRAIN_CHECK_SECONDS)
        log.info("gateway: drained", in_flight=self._in_flight)

    async def close(self) -> None:
        """Close every socket and stop every task."""
        await self._stack.aclose()

    @property
    def _is_busy(self) -> bool:
        # The server's state and not `in_flight`: a request that was read in this moment
        # is not counted there yet and would get no answer.
        return self._server.is_busy or self._claims.unsettled_count > 0

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._stack.push_async_callback(cancel_task, task)

    def _on_routes(self) -> None:
        self._pools.on_routes()

    # -- requests ------------------------------------------------------------

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        match (request.method, request.path):
            case ("GET", "/healthz"):
                await exchange.respond(200, b"alive\n", content_type="text/plain")
            case ("GET", "/readyz"):
                status = 200 if self.is_ready else 503
                body = b"ready\n" if self.is_ready else b"not ready\n"
                await exchange.respond(status, body, content_type="text/plain")
            case ("GET", "/metrics"):
                text = generate_latest(self.metrics.registry)
                await exchange.respond(200, text, content_type="text/plain")
            case _:
                await self._serve_caller(request, exchange)

    async def _serve_caller(self, request: HttpRequest, exchange: Exchange) -> None:
        request_id = new_request_id(self._rng)
        self._in_flight += 1
        self.metrics.in_flight.set(self._in_flight)
        try:
            with structlog.contextvars.bound_contextvars(request=request_id):
                await self._serve(request, exchange, request_id)
        except (ClientDisconnected, asyncio.CancelledError):
            self.metrics.clients_gone.inc()
            raise
        except Exception:
            log.exception("gateway: request failed", request=request_id)
            await self._answer_failure(exchange, request_id)
        finally:
            self._in_flight -= 1
            self.metrics.in_flight.set(self._in_flight)

    async def _serve(
        self, request: HttpRequest, exchange: Exchange, request_id: str
    ) -> None:
        refused = self._refuse_early()
        parsed = refused or self._parser.parse(request, request_id)
        if isinstance(parsed, Problem):
            await self._refuse(exchange, parsed, request_id)
            return
        if isinstance(parsed, bytes):
            await exchange.respond(200, parsed)
            return
        started_at = self._clock.now()
        problem = await self._admit_and_run(parsed, exchange)
        if problem is not None:
            self._count(parsed, "refused")
            await self._refuse(exchange, problem, request_id)
        log.info(
            "gateway: request ended",
            workspace=parsed.workspace.name,
            result=problem.reason if problem else "served",
            seconds=round(self._clock.now() - started_at, 4),
        )

    def _refuse_early(self) -> Problem | None:
        if self._stopping:
            return Problem(
                status=503,
                reason="stopping",
                detail="This gateway is stopping; another one serves.",
                retry_after=1.0,
            )
        if not self.routes.is_config_assured(self._clock.now()):
            # The version may have been replaced. Serving it would revert an accepted
            # change at this gateway, so the request is refused.
            return Problem(
                status=503,
                reason="configuration_unsure",
                detail="This gateway cannot tell which configuration is in force.",
                retry_after=UNSURE_RETRY_AFTER_SECONDS,
            )
        return None

    async def _admit_and_run(
        self, parsed: ParsedRequest, exchange: Exchange
    ) -> Problem | None:
        quarantined = self._quarantine.problem(parsed.fingerprint, parsed.parts)
        if quarantined is not None:
            return quarantined
        refused = await self._quotas.spend(parsed.workspace, parsed.units)
        if refused is not None:
            return refused
        charged = True
        try:
            slot = await parsed.pool.acquire(frozenset())
            if isinstance(slot, Refused):
                charged = False
                return _refused_problem(slot)
            if parsed.attempt.repeatable:
                result = await self._run(parsed, exchange, slot, None)
            else:
                result = await self._claim_and_run(parsed, exchange, slot)
            charged = not (
                isinstance(result, RefusedRequest) and not result.may_have_run
            )
        except asyncio.CancelledError:
            charged = False if not exchange.started else charged
            raise
        finally:
            if not charged:
                self._quotas.refund(parsed.workspace, parsed.units)
        return await self._handle_result(parsed, exchange, result)

    async def _claim_and_run(
        self, parsed: ParsedRequest, exchange: Exchange, slot: Slot
    ) -> ServeResult:
        """Claim the request, then run it if the claim is committed."""
        try:
            claimed = await self._claims.claim(
                workspace=parsed.workspace.name,
                key=parsed.caller.idempotency_key or "",
                attempt=parsed.request_id,
                units=parsed.units,
            )
        except BaseException:
            parsed.pool.release(slot, 0.0, None)
            raise
        if isinstance(claimed, Problem):
            parsed.pool.release(slot, 0.0, None)
            return RefusedRequest(problem=claimed, may_have_run=False)
        return await self._run(parsed, exchange, slot, claimed)

    async def _run(
        self,
        parsed: ParsedRequest,
        exchange: Exchange,
        slot: Slot,
        claimed: ClaimedAttempt | None,
    ) -> ServeResult:
        execution = RequestExecution(
            pool=parsed.pool,
            attempt=parsed.attempt,
            fingerprint=parsed.fingerprint,
            parts=parsed.parts,
            quarantine=self._quarantine,
            exchange=exchange,
            stream=parsed.stream,
            resumable=parsed.stream and parsed.attempt.repeatable,
            clock=self._clock,
            budget=self._budget,
            metrics=self.metrics,
            silence_seconds=self._settings.timings.between_chunks,
            answer_headers=(("mallowpond-request", parsed.request_id),),
        )
        served = False
        try:
            result = await execution.run(slot)
            served = isinstance(result, Served)
            return result
        finally:
            if claimed is not None:
                self._settle_claim(claimed, execution.may_have_run, served)

    def _settle_claim(self, claimed: ClaimedAttempt, sent: bool, served: bool) -> None:
        if not sent:
            self._claims.void(claimed)
        else:
            self._claims.finish(claimed, known=served)

    async def _handle_result(
        self, parsed: ParsedRequest, exchange: Exchange, result: ServeResult
    ) -> Problem | None:
        match result:
            case Served():
                self._count(parsed, "served")
                return None
            case StreamBroken(reason=reason):
                self.metrics.broken_streams.inc()
                self._count(parsed, "broken")
                log.warning("gateway: stream broken", reason=reason)
                await end_broken_stream(exchange)
                return None
            case RefusedRequest(problem=problem):
                return problem

    def _count(self, parsed: ParsedRequest, result: str) -> None:
        self.metrics.requests.labels(parsed.workspace.name, result).inc()

    async def _refuse(
        self, exchange: Exchange, problem: Problem, request_id: str
    ) -> None:
        outcome = problem.outcome.value
        self.metrics.refusals.labels(problem.reason, outcome).inc()
        await exchange.respond(
            problem.status,
            problem.body(request_id),
            problem.headers(request_id),
            content_type=CONTENT_TYPE,
        )

    async def _answer_failure(self, exchange: Exchange, request_id: str) -> None:
        if exchange.started:
            await end_broken_stream(exchange)
            return
        problem = Problem(
            status=500,
            reason="internal_error",
            detail="The gateway failed; the request may have run.",
            outcome=Outcome.UNKNOWN,
        )
        await self._refuse(exchange, problem, request_id)

    async def _answer_bad_input(self, bad: BadInput, exchange: Exchange) -> None:
        problem = Problem(
            status=bad.status,
            reason=bad.reason,
            detail=bad.detail,
            retry_after=bad.retry_after,
        )
        await self._refuse(exchange, problem, new_request_id(self._rng))


def _refused_problem(refused: Refused) -> Problem:
    return Problem(
        status=503 if refused.reason == "no_group" else 429,
        reason=refused.reason,
        detail="The request could not be served within its time.",
        outcome=Outcome.NOT_RUN,
        retry_after=refused.retry_after,
    )


def build(*, settings: GatewaySettings, clock: Clock, seed: int = 0) -> Gateway:
    """Build a gateway; a `seed` other than 0 makes its random choices repeatable."""
    return Gateway(settings=settings, clock=clock, seed=seed)
