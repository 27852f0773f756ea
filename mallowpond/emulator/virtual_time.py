"""Event loop on virtual time, which advances to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class NoPendingTimerError(RuntimeError):
    """Raised when every task waits and no timer is pending, which is a deadlock."""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the virtual time by the timeout of each call."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by `timeout` seconds and return no events."""
        if timeout is None:
            raise NoPendingTimerError
        self.seconds += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; sockets and other threads cannot wake it."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.seconds


class VirtualClock:
    """Clock that reads the virtual time of the running loop."""

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds` of virtual time."""
        await asyncio.sleep(seconds)


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
