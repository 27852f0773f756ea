"""Let costly work of connections take turns in the passes of the event loop."""

import asyncio
from collections import deque

# Number of turns in one pass of the event loop.
TURNS_PER_PASS = 2


class Turns:
    """Grants a few turns in each pass of the event loop, in the order of the requests.

    A client that keeps a connection busy would otherwise be served in each pass, and
    with many of them a request of another client waits for all of these many times.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_scheduled = False

    async def take(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiting.append(waiter)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant)
        await waiter

    def _grant(self) -> None:
        granted = 0
        while self._waiting and granted < TURNS_PER_PASS:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                granted += 1
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant)
