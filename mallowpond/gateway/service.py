"""Run one gateway: meet callers, admit, claim, serve, refuse."""

import asyncio
import random
from collections.abc import Awaitable
from contextlib import AsyncExitStack

import structlog
from prometheus_client import generate_latest

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.store import new_id
from mallowpond.coordination.tasks import cancel_task
from mallowpond.gateway.claims import ClaimedAttempt, ClaimKeeper
from mallowpond.gateway.link import ControllerLink
from mallowpond.gateway.metrics import GatewayMetrics
from mallowpond.gateway.pools import Pools
from mallowpond.gateway.quarantine import GatewayQuarantine
from mallowpond.gateway.quotas import QuotaKeeper
from mallowpond.gateway.request_parser import RequestReader, Work
from mallowpond.gateway.routes import RouteTable
from mallowpond.gateway.serving import (
    BrokenOff,
    Place,
    RefusedRequest,
    Served,
    ServeEnd,
    ServeRun,
    end_broken_stream,
    new_request_id,
)
from mallowpond.protocol.problems import CONTENT_TYPE, Outcome, Problem
from mallowpond.settings import GatewaySettings
from mallowpond.state.admission import Refused
from mallowpond.state.retry import RetryBudget
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.http_server import (
    BadInput,
    ClientGone,
    Exchange,
    HttpRequest,
    HttpServer,
    ServerLimits,
)

log = structlog.get_logger()
UNSURE_RETRY_SECONDS = 2.0
DRAIN_CHECK_SECONDS = 0.05


class Gateway:
    """Wire a gateway from its settings and ports."""

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
        self._http = HttpClient(connect_seconds=settings.timings.connect)
        self.routes = RouteTable(permit_seconds=settings.timings.permit)
        self._quarantine = GatewayQuarantine(
            clock=clock, report=lambda record: self._link.report_crash(record)
        )
        self._link = ControllerLink(
            gateway=self._incarnation,
            controllers=settings.controllers,
            routes=self.routes,
            clock=clock,
            poll_seconds=settings.timings.routes,
            on_change=self._on_routes,
            on_held=self._quarantine.hear,
        )
        self._claims = ClaimKeeper(
            link=self._link,
            gateway=self._incarnation,
            clock=clock,
            metrics=self.metrics,
            timeout=settings.timings.claim,
        )
        self._quotas = QuotaKeeper(
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
        self._reader = RequestReader(
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
            handler=self._handle, limits=limits, on_bad_input=self._answer_bad_input
        )

    @property
    def port(self) -> int:
        """Return the port that callers reach."""
        return self._server.port

    @property
    def in_flight(self) -> int:
        """Return how many requests are being served."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Tell whether new work would be admitted."""
        return self.routes.is_certain(self._clock.now()) and not self._stopping

    async def start(self) -> None:
        """Listen and attach to a controller."""
        self._stack.push_async_callback(self._http.close)
        self._spawn(self._link.run())
        self._spawn(self._claims.run())
        self._stack.push_async_callback(self._server.close)
        await self._server.start(self._settings.address, self._settings.port)
        log.info("gateway: started", name=self._settings.name, port=self.port)

    async def drain(self) -> None:
        """Take no new work, and wait for what is in progress to end."""
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
        # Asked of the server: a request that it has just read is not in flight yet, and
        # one that was overlooked got no answer.
        return self._server.is_busy or self._claims.unsettled > 0

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
        except (ClientGone, asyncio.CancelledError):
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
        work = refused or self._reader.read(request, request_id)
        if isinstance(work, Problem):
            await self._refuse(exchange, work, request_id)
            return
        if isinstance(work, bytes):
            await exchange.respond(200, work)
            return
        started_at = self._clock.now()
        problem = await self._admit_and_run(work, exchange)
        if problem is not None:
            self._count(work, "refused")
            await self._refuse(exchange, problem, request_id)
        log.info(
            "gateway: request ended",
            workspace=work.workspace.name,
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
        if not self.routes.is_certain(self._clock.now()):
            # Serving on a version that may have been replaced would make an accepted
            # change revert here; refusing is the only truthful answer.
            return Problem(
                status=503,
                reason="configuration_unsure",
                detail="This gateway cannot tell which configuration is in force.",
                retry_after=UNSURE_RETRY_SECONDS,
            )
        return None

    async def _admit_and_run(self, work: Work, exchange: Exchange) -> Problem | None:
        held = self._quarantine.problem(work.fingerprint)
        if held is not None:
            return held
        refused = await self._quotas.spend(work.workspace, work.units)
        if refused is not None:
            return refused
        ran = True
        try:
            place = await work.pool.enter(frozenset())
            if isinstance(place, Refused):
                ran = False
                return _refused_problem(place)
            if work.attempt.repeatable:
                end = await self._run(work, exchange, place, None)
            else:
                end = await self._claim_and_run(work, exchange, place)
            ran = not (isinstance(end, RefusedRequest) and not end.ran)
        except asyncio.CancelledError:
            ran = False if not exchange.started else ran
            raise
        finally:
            if not ran:
                self._quotas.refund(work.workspace, work.units)
        return await self._end(work, exchange, end)

    async def _claim_and_run(
        self, work: Work, exchange: Exchange, place: Place
    ) -> ServeEnd:
        """Dispatch only after the claim is committed."""
        try:
            claimed = await self._claims.claim(
                workspace=work.workspace.name,
                key=work.caller.idempotency_key or "",
                attempt=work.request,
                units=work.units,
            )
        except BaseException:
            work.pool.leave(place, 0.0, None)
            raise
        if isinstance(claimed, Problem):
            work.pool.leave(place, 0.0, None)
            return RefusedRequest(problem=claimed, ran=False)
        return await self._run(work, exchange, place, claimed)

    async def _run(
        self,
        work: Work,
        exchange: Exchange,
        place: Place,
        claimed: ClaimedAttempt | None,
    ) -> ServeEnd:
        run = ServeRun(
            pool=work.pool,
            attempt=work.attempt,
            fingerprint=work.fingerprint,
            quarantine=self._quarantine,
            exchange=exchange,
            stream=work.stream,
            resumable=work.stream and work.attempt.repeatable,
            clock=self._clock,
            budget=self._budget,
            metrics=self.metrics,
            silence_seconds=self._settings.timings.between_chunks,
            answer_headers=(("mallowpond-request", work.request),),
        )
        served = False
        try:
            end = await run.run(place)
            served = isinstance(end, Served)
            return end
        finally:
            if claimed is not None:
                self._settle(claimed, run.may_have_run, served)

    def _settle(self, claimed: ClaimedAttempt, sent: bool, served: bool) -> None:
        if not sent:
            self._claims.void(claimed)
        else:
            self._claims.finish(claimed, known=served)

    async def _end(
        self, work: Work, exchange: Exchange, end: ServeEnd
    ) -> Problem | None:
        match end:
            case Served():
                self._count(work, "served")
                return None
            case BrokenOff(reason=reason):
                self.metrics.broken_streams.inc()
                self._count(work, "broken")
                log.warning("gateway: stream broke off", reason=reason)
                await end_broken_stream(exchange)
                return None
            case RefusedRequest(problem=problem):
                return problem

    def _count(self, work: Work, result: str) -> None:
        self.metrics.requests.labels(work.workspace.name, result).inc()

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
        problem = Problem(status=bad.status, reason=bad.reason, detail=bad.detail)
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
    """Build a gateway from its settings and ports."""
    return Gateway(settings=settings, clock=clock, seed=seed)
