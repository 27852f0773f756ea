"""Send orders to engines, to load or unload a group, and read their status."""

from mallowpond.coordination.ports import (
    EngineStatus,
    Order,
    OrderAccepted,
    OrderRefused,
    OrderResult,
    OrderUnknown,
    Unavailable,
)
from mallowpond.state.codec import from_json, to_json
from mallowpond.transport.http_client import CallFailed, HttpClient


class EngineClient:
    """HTTP client of the engines on target hosts."""

    def __init__(self, *, http: HttpClient, timeout: float = 1.0) -> None:
        self._http = http
        self._timeout = timeout

    async def order(self, address: str, order: Order) -> OrderResult:
        """Send one order.

        `OrderRefused` means that the engine refused it or that it was not sent,
        `OrderUnknown` that it may have arrived.
        """
        response = await self._http.fetch(
            address, "POST", "/engine/order", body=to_json(order), timeout=self._timeout
        )
        match response:
            case CallFailed() if response.may_have_sent:
                return OrderUnknown(reason=response.reason)
            case CallFailed(reason=reason):
                return OrderRefused(reason=reason)
            case (200, _):
                return OrderAccepted()
            case (409, body):
                return OrderRefused(reason=body.decode(errors="replace"))
            case (status, _):
                return OrderUnknown(reason=f"status {status}")

    async def status(self, address: str) -> EngineStatus | Unavailable:
        """Return an engine's status."""
        response = await self._http.fetch(
            address, "GET", "/engine/status", timeout=self._timeout
        )
        match response:
            case CallFailed(reason=reason):
                return Unavailable(reason=reason)
            case (200, body):
                return from_json(body, EngineStatus)
            case (status, _):
                return Unavailable(reason=f"status {status}")
