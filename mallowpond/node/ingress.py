"""Receive callers' requests, admit and route them, and answer each exactly once."""

import asyncio
import json
import random
from dataclasses import replace

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.calls import CallService, CallWork
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, CutOff, Reason, Refusal, ServeOutcome
from mallowpond.node.ports import CallerProtocol, CallerRequest, InvalidRequest
from mallowpond.node.stream_work import StreamWork
from mallowpond.node.streams import StreamService
from mallowpond.node.traffic import TrafficSeen
from mallowpond.state.admission import jittered_retry_after
from mallowpond.state.caller_places import Activity
from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.state.process_limits import DEFAULT_LIMITS, ProcessLimits
from mallowpond.state.site_configuration import (
    RepeatPolicy,
    Route,
    SiteConfiguration,
    choose_backend,
)
from mallowpond.state.stopping import can_finish
from mallowpond.transport.http_server import (
    BadInput,
    ClientDisconnected,
    Exchange,
    HttpRequest,
    HttpServer,
    ServerLimits,
    retry_headers,
)

log = structlog.get_logger()

# Retry delay before jitter while this node may lack the newest configuration or
# is stopping, in seconds: other nodes can usually serve, and a new connection reaches
# one of them.
UNSURE_RETRY_SECONDS = 0.3
# Longest time that requests wait for the first configuration of a host that has just
# started, in seconds, and the largest share of their own timeout. When many hosts read
# a large configuration at once, the read takes longer than a start, and callers whose
# first attempt failed when all hosts were lost retry only once.
CONFIGURATION_WAIT_SECONDS = 1.5
CONFIGURATION_WAIT_SHARE = 0.3
# Longest time that requests wait for the confirmation of a configuration that may have
# been replaced, in seconds. A host that stood still gets it within milliseconds.
CURRENT_WAIT_SECONDS = 0.2
# Timeout of requests that name none, in seconds.
DEFAULT_TIMEOUT_SECONDS = 30.0


class Ingress:
    """Serves callers' requests by the configuration in force.

    Each request is answered by a target, refused with a reason and, where a retry may
    succeed, a delay, or cut off when its answer cannot be completed. Once `is_stopping`
    is set, only requests that can finish before `shutdown_at` are admitted.
    """

    def __init__(
        self,
        *,
        callers: CallerProtocol,
        configuration: ConfigurationFollower,
        streams: StreamService,
        calls: CallService,
        clock: Clock,
        metrics: NodeMetrics,
        rng: random.Random,
        traffic: TrafficSeen,
        memory: PayloadMemory | None = None,
        process_limits: ProcessLimits = DEFAULT_LIMITS,
        checks_keys: bool = False,
    ) -> None:
        self._callers = callers
        self._configuration = configuration
        self._streams = streams
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._traffic = traffic
        self._checks_keys = checks_keys
        self._limits_version = 0
        self.is_stopping = False
        self.shutdown_at = float("inf")
        self.in_flight = 0
        self._memory = memory or PayloadMemory(max_bytes=process_limits.payload_bytes)
        self.server = HttpServer(
            handler=self._handle,
            on_bad_input=self._answer_bad_input,
            on_ended_for_others=self._record_ended_for_others,
            memory=self._memory,
            process_limits=process_limits,
        )

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        self.in_flight += 1
        self._metrics.in_flight.set(self.in_flight)
        self._traffic.seen = True
        if self.is_stopping:
            exchange.announce_close()
            log.info(
                "ingress: request while stopping",
                target=request.path,
                earlier=exchange.previous_requests,
                left=round(self.shutdown_at - self._clock.now(), 3),
            )
        try:
            await self._serve(request, exchange)
        except ClientDisconnected:
            self._metrics.clients_gone.inc()
            raise
        except asyncio.CancelledError:
            self._metrics.clients_gone.inc()
            raise
        except Exception as error:
            log.exception("ingress: request failed", error=repr(error))
            await self._refuse(
                exchange, Refusal(status=502, reason=Reason.INTERNAL), "", 0.0
            )
        finally:
            self.in_flight -= 1
            self._metrics.in_flight.set(self.in_flight)

    async def _serve(self, request: HttpRequest, exchange: Exchange) -> None:
        started_at = self._clock.now()
        caller_request = self._callers.read(request)
        if isinstance(caller_request, InvalidRequest):
            log.info("ingress: invalid request", reason=caller_request.reason)
            refusal = Refusal(status=400, reason=Reason.BAD_REQUEST)
            await self._refuse(exchange, refusal, "", 0.0)
            return
        try:
            outcome = await self._admit_and_serve(caller_request, exchange, started_at)
        except (ClientDisconnected, asyncio.CancelledError):
            log.info(
                "ingress: client disconnected",
                request=caller_request.id,
                seconds=round(self._clock.now() - started_at, 3),
            )
            raise
        seconds = self._clock.now() - started_at
        match outcome:
            case Answered(status=status, target=target):
                self._metrics.requests.labels("answered").inc()
                log.info(
                    "ingress: answered",
                    request=caller_request.id,
                    status=status,
                    target=target,
                    seconds=round(seconds, 3),
                )
            case CutOff(reason=reason):
                # The connection closes without the end marker of a complete answer.
                self._metrics.requests.labels("cut_off").inc()
                log.warning(
                    "ingress: cut off",
                    request=caller_request.id,
                    fingerprint=outcome.fingerprint,
                    reason=reason.value,
                    seconds=round(seconds, 3),
                )
            case Refusal():
                await self._refuse(exchange, outcome, caller_request.id, seconds)

    async def _admit_and_serve(
        self, request: CallerRequest, exchange: Exchange, started_at: float
    ) -> ServeOutcome:
        wait_seconds = min(
            CONFIGURATION_WAIT_SECONDS,
            CONFIGURATION_WAIT_SHARE * _requested_seconds(request),
        )
        await self._configuration.wait_for_first_version(wait_seconds)
        configuration = self._configuration.configuration
        if configuration is None:
            return self._unavailable(Reason.NO_CONFIGURATION)
        await self._configuration.wait_until_current(
            min(CURRENT_WAIT_SECONDS, wait_seconds)
        )
        configuration = self._configuration.configuration or configuration
        self._apply_limits(configuration)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            if not self._configuration.may_deny:
                # A newer configuration version may define the route.
                return self._unavailable(Reason.UNSURE)
            return Refusal(status=404, reason=Reason.NO_ROUTE)
        if not self._configuration.may_run:
            # A newer configuration version may route the request elsewhere.
            return self._unavailable(Reason.UNSURE)
        workspace, priority = None, route.priority
        # Without workspaces no key is asked for, but one that was taken away, or was
        # never held, must not run either.
        has_key_to_check = self._checks_keys and request.key is not None
        if route.needs_key and (configuration.uses_keys or has_key_to_check):
            if not self._configuration.is_confirmed:
                return self._unavailable(Reason.UNSURE)
            holder = configuration.keys.get(request.key or "")
            if holder is None:
                if not self._configuration.may_deny:
                    # A newer configuration version may add the key.
                    return self._unavailable(Reason.UNSURE)
                return Refusal(status=401, reason=Reason.UNKNOWN_KEY)
            workspace, priority = holder.workspace, holder.priority
        service = choose_backend(route, self._rng.random())
        deadline = started_at + _timeout_seconds(request, route)
        if route.repeat is RepeatPolicy.STREAM:
            served_model = _find_model(configuration, service, request)
            if served_model is not None:
                work = StreamWork(
                    request=request,
                    route=route,
                    service=service or "",
                    profile=served_model[0],
                    model=served_model[1],
                    workspace=workspace,
                    priority=priority,
                    deadline=deadline,
                    exchange=exchange,
                )
                if self.is_stopping and not self._can_finish(work):
                    return self._unavailable(Reason.STOPPING)
                return _identified(await self._streams.serve(work), work.fingerprint)
        call = CallWork(
            request=request,
            route=route,
            service=service or "",
            workspace=workspace,
            deadline=deadline,
            exchange=exchange,
        )
        if deadline > self.shutdown_at:
            # Calls are short: each one is answered or refused by its deadline.
            return self._unavailable(Reason.STOPPING)
        return _identified(await self._calls.serve(call), call.fingerprint)

    def _can_finish(self, work: StreamWork) -> bool:
        """Return whether a stream that starts now ends before this host shuts down."""
        return can_finish(
            longest_seconds=self._streams.placement.longest_seconds(work),
            seconds_left=self.shutdown_at - self._clock.now(),
        )

    def _unavailable(self, reason: Reason) -> Refusal:
        after = jittered_retry_after(UNSURE_RETRY_SECONDS, self._rng.random())
        return Refusal(status=503, reason=reason, retry_after=after)

    def _apply_limits(self, configuration: SiteConfiguration) -> None:
        if configuration.version == self._limits_version:
            return
        self._limits_version = configuration.version
        limits = configuration.limits
        self.server.set_limits(
            ServerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                receive_seconds=limits.header_seconds,
                idle_seconds=limits.idle_seconds,
            )
        )

    async def _refuse(
        self, exchange: Exchange, refusal: Refusal, request: str, seconds: float
    ) -> None:
        self._metrics.requests.labels("refused").inc()
        self._metrics.refusals.labels(refusal.reason.value).inc()
        self._metrics.refusal_seconds.observe(seconds)
        log.info(
            "ingress: refused",
            request=request,
            fingerprint=refusal.fingerprint or None,
            status=refusal.status,
            reason=refusal.reason.value,
            retry_after=refusal.retry_after,
            version=self._limits_version,
            seconds=round(seconds, 3),
        )
        if exchange.started:
            return
        headers = ()
        if refusal.retry_after is not None:
            headers = (("retry-after", f"{refusal.retry_after:.2f}"),)
        body = json.dumps({"error": refusal.reason.value}).encode()
        await exchange.respond(refusal.status, body, headers)

    def _record_ended_for_others(self, activity: Activity) -> None:
        self._metrics.ended_for_others.labels(activity.value).inc()
        log.info(
            "ingress: connection ended for others",
            activity=activity.value,
            connections=self.server.connection_count,
        )

    async def _answer_bad_input(self, bad: BadInput, exchange: Exchange) -> None:
        self._metrics.bad_input.labels(bad.reason).inc()
        log.info(
            "ingress: unreadable",
            status=bad.status,
            reason=bad.reason,
            retry_after=bad.retry_after and round(bad.retry_after, 3),
            held_bytes=self._memory.held_bytes,
            max_bytes=self._memory.max_bytes,
            connections=self.server.connection_count,
        )
        body = json.dumps({"error": bad.reason}).encode()
        await exchange.respond(bad.status, body, retry_headers(bad))


def _identified(outcome: ServeOutcome, fingerprint: str) -> ServeOutcome:
    """Return the outcome with the fingerprint that retries of the request share."""
    match outcome:
        case Refusal() | CutOff():
            return replace(outcome, fingerprint=fingerprint)
        case _:
            return outcome


def _requested_seconds(request: CallerRequest) -> float:
    left = request.seconds_left
    return DEFAULT_TIMEOUT_SECONDS if left is None else left


def _timeout_seconds(request: CallerRequest, route: Route) -> float:
    return min(
        _requested_seconds(request), route.timeout_seconds or DEFAULT_TIMEOUT_SECONDS
    )


def _find_model(
    configuration: SiteConfiguration, service: str | None, request: CallerRequest
) -> tuple[EngineProfile, ModelSpec] | None:
    """Return the engine profile and model of a stream, or None if none is declared."""
    known = configuration.services.get(service or "")
    if known is None or known.profile is None or request.model is None:
        return None
    model = known.profile.model(request.model)
    return None if model is None else (known.profile, model)
