"""Open a connection by several ways at once, and keep the first that opens."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from mallowpond.transport.connector import Connected

# A task whose result is a `Connected`, or anything else if no connection was opened.
Attempt = asyncio.Future[Any]


class ConnectRace:
    """Attempts to open a connection; all but those that are kept are abandoned."""

    def __init__(self) -> None:
        self._attempts: set[Attempt] = set()
        self._pending: set[Attempt] = set()

    @property
    def is_pending(self) -> bool:
        """Return whether any attempt is not known to have ended."""
        return bool(self._pending)

    def start(self, opening: Coroutine[Any, Any, Any]) -> Attempt:
        """Start an attempt."""
        attempt = asyncio.ensure_future(opening)
        self._attempts.add(attempt)
        self._pending.add(attempt)
        return attempt

    async def wait(self, seconds: float) -> set[Attempt]:
        """Return the attempts that ended since the last call, after `seconds` none."""
        if not self._pending:
            return set()
        ended, self._pending = await asyncio.wait(
            self._pending,
            timeout=max(0.0, seconds),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return ended

    def close(self, *kept: Attempt | None) -> None:
        """Abandon all attempts but these, and abort the connections that they open."""
        for attempt in self._attempts.difference(kept):
            attempt.cancel()
            attempt.add_done_callback(abort_opened)


def abort_opened(attempt: Attempt) -> None:
    """Abort the connection that an attempt has opened, if any."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    if isinstance(attempt.result(), Connected):
        attempt.result().writer.transport.abort()
