"""Run coroutines on a clock that jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class NoPendingTimerError(RuntimeError):
    """Everything waits for something that no timer brings about."""


class _JumpingSelector(selectors.DefaultSelector):
    """Move the loop's clock on by the time that it would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return no events; `timeout` seconds have passed then."""
        if timeout is None:
            raise NoPendingTimerError
        self.seconds += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Schedule by virtual time; nothing outside the loop can wake it."""

    def __init__(self) -> None:
        self._jumps = _JumpingSelector()
        super().__init__(self._jumps)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumps.seconds


class VirtualClock:
    """Tell the virtual time of the running loop."""

    def now(self) -> float:
        """Return the time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for a virtual time."""
        await asyncio.sleep(seconds)


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
