"""Send requests, orders and queries to the platform's engines over HTTP."""

import json
from collections.abc import Callable
from math import isfinite
from typing import Any

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.ports import (
    CallerRequest,
    EngineReport,
    OrderFenced,
    OrderLost,
    OrderMisdirected,
    OrderResult,
    OrderTaken,
    OrderUnfit,
)
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.platform import documents
from mallowpond.platform import headers as names
from mallowpond.state.decoding import Unreadable, parse_json
from mallowpond.state.fleet import Target
from mallowpond.state.formation_view import (
    Close,
    Join,
    Leave,
    Open,
    Stage,
    Step,
)
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.connector import Connector
from mallowpond.transport.http_client import (
    BufferedResponse,
    CallFailed,
    HttpClient,
    HttpResponse,
)

# Timeouts of orders, and of reports and health checks, in seconds: some hundred round
# trips. Reports and health checks are repeated, so they wait less.
ORDER_TIMEOUT_SECONDS = 0.5
QUERY_TIMEOUT_SECONDS = 0.15
JSON_HEADERS = (("content-type", "application/json"),)


class PlatformEngines:
    """Sends requests, orders and queries to engines and plain services."""

    def __init__(
        self, *, http: HttpClient, unreadable_log: UnreadableLog | None = None
    ) -> None:
        self._http = http
        self._unreadable_log = unreadable_log or UnreadableLog()

    def use_connector(self, connector: Connector) -> None:
        """Open new connections to engines through `connector`."""
        self._http.use_connector(connector)

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
    ) -> HttpResponse | CallFailed:
        """Send a request and return once the header of its answer has arrived.

        Answers with the id of another request are skipped.
        """
        left = max(1, int(seconds_left * 1000))
        headers = request.forwarded_headers + (
            (names.DEADLINE, str(left)),
            (names.EXPECT_INSTANCE, target.id),
        )
        if workspace is not None:
            headers += ((names.WORKSPACE, workspace),)
        if last_event is not None:
            headers += ((names.LAST_EVENT, last_event),)
        return await self._http.send(
            target.address,
            request.method,
            request.target,
            headers=headers,
            body=request.body,
            new_connection=is_repeat,
            echo=(names.ATTEMPT, request.id),
            on_connected=on_connected,
        )

    def is_not_run(self, response: HttpResponse) -> bool:
        """Return whether an answer proves that the request did not run."""
        return self.is_misdirected(response) or names.NOT_RUN in response.headers

    def is_misdirected(self, response: HttpResponse) -> bool:
        """Return whether another engine answered, or one without an open group."""
        return response.status == 421

    def is_signed(self, response: HttpResponse) -> bool:
        """Return whether an engine signed an answer, as it does each that counts."""
        return names.SERVER_STAMP in response.headers

    def notice(self, response: HttpResponse) -> TargetNotice:
        """Return what an answer announces about the engine itself."""
        found = response.headers
        is_backoff = response.status == 503
        cold = _cold_seconds(found)
        return TargetNotice(
            rate_limit=_number(found, names.RATE_LIMIT),
            backoff_seconds=_number(found, names.RETRY_AFTER) if is_backoff else None,
            is_leaving=found.get(names.LEAVING) == "1",
            cold_seconds=cold,
        )

    async def order(self, step: Step, *, fence: int, expected: int) -> OrderResult:
        """Send an engine an order, and return the result.

        fence: fencing number of the planner that gives the order.
        expected: number of orders that the engine must have begun before this one.
        """
        body = {**_order_body(step), "fence": fence, "expected": expected}
        answer = await self._http.fetch(
            step.target.address,
            "POST",
            "/-/order",
            headers=(*JSON_HEADERS, (names.EXPECT_INSTANCE, step.target.id)),
            body=json.dumps(body).encode(),
            timeout=ORDER_TIMEOUT_SECONDS,
        )
        match answer:
            case CallFailed(reason=reason):
                return OrderLost(reason=reason)
            case (202, _):
                return OrderTaken(began=True)
            case (200, _):
                return OrderTaken(began=False)
            case (412, _):
                return OrderFenced()
            case (421, _):
                return OrderMisdirected()
            case (409, _):
                return OrderUnfit()
            case (status, _):
                return OrderLost(reason=f"status {status}")

    async def report(self, target: Target) -> EngineReport | Unavailable:
        """Query an engine's state and the number of orders that it has begun."""
        answer = await self._http.fetch(
            target.address,
            "GET",
            "/-/report",
            headers=((names.EXPECT_INSTANCE, target.id),),
            timeout=QUERY_TIMEOUT_SECONDS,
        )
        match answer:
            case CallFailed(reason=reason, is_silent=is_silent):
                return Unavailable(reason=reason, is_silent=is_silent)
            case (200, data):
                return self._report(target, data)
            case (status, _):
                return Unavailable(reason=f"status {status}")

    def _report(self, target: Target, data: bytes) -> EngineReport | Unavailable:
        found = parse_json(data)
        if not isinstance(found, Unreadable):
            found = documents.decode_report(target, found)
        if isinstance(found, Unreadable):
            self._unreadable_log.record("report", target.id, found)
            return Unavailable(reason=str(found))
        return found

    async def is_healthy(
        self,
        target: Target,
        path: str,
        on_cold: Callable[[float], None] | None = None,
    ) -> bool | Unavailable:
        """Query whether a target is healthy.

        False if it answers otherwise, as a stopping or full one does; `Unavailable`
        without an answer of the listed process. `on_cold` gets the seconds for which
        that process says that it stays cold.
        """
        answer = await self._http.fetch_response(
            target.address,
            "GET",
            path,
            headers=((names.EXPECT_INSTANCE, target.id),),
            timeout=QUERY_TIMEOUT_SECONDS,
        )
        match answer:
            case CallFailed(reason=reason, is_silent=is_silent):
                return Unavailable(reason=reason, is_silent=is_silent)
            case BufferedResponse(status=421):
                return Unavailable(reason="another engine has this address")
            case BufferedResponse(status=200):
                healthy = self._check_process(target, answer)
            case _:
                healthy = False
        is_process = answer.headers.get(names.INSTANCE) == target.id
        cold = _cold_seconds(answer.headers)
        if on_cold is not None and cold is not None and is_process:
            if not isinstance(healthy, Unavailable):
                on_cold(cold)
        return healthy

    def _check_process(
        self, target: Target, answer: BufferedResponse
    ) -> bool | Unavailable:
        """Return True if the queried process itself sent this healthy answer."""
        if answer.headers.get(names.INSTANCE) != target.id:
            return Unavailable(reason="another engine answered")
        born = documents.decode_born(parse_json(answer.body))
        if isinstance(born, Unreadable):
            self._unreadable_log.record("health", target.id, born)
            return Unavailable(reason=str(born))
        if None not in (born, target.born) and born != target.born:
            return Unavailable(reason="another process of the engine answered")
        return True


def _number(headers: dict[str, str], name: str) -> float | None:
    """Return a header's value, None unless it is a finite number of at least 0."""
    try:
        number = float(headers[name])
    except (KeyError, ValueError):
        return None
    return number if isfinite(number) and number >= 0.0 else None


def _cold_seconds(headers: dict[str, str]) -> float | None:
    """Return how much longer an engine stays cold, None if it does not say."""
    milliseconds = _number(headers, names.COLD)
    return None if milliseconds is None else milliseconds / 1000.0


def _order_body(step: Step) -> dict[str, Any]:
    """Return the order as engines decode it, without fence and count."""
    match step:
        case Join():
            return {
                "operation": "join",
                "group": step.group,
                "epoch": step.epoch,
                "model": step.model,
                "members": list(step.members),
            }
        case Open():
            return {"operation": "open", "group": step.group, "epoch": step.epoch}
        case Close():
            mode = "evict" if step.evict else "queue"
            return {
                "operation": "close",
                "group": step.group,
                "epoch": step.epoch,
                "mode": mode,
            }
        case Leave():
            return {"operation": "leave", "group": step.group, "epoch": step.epoch}
        case Stage():
            return {"operation": "stage", "model": step.model}
