"""An event loop on virtual time, which advances only when the loop is idle.

Ages and timers use the virtual time, while sockets are real. A stall of the process on
a busy machine therefore ages nothing.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

# Real time in seconds that the loop waits for bytes between sockets of this process
# before it advances to the next timer: loopback delivers within the sending call.
ARRIVAL_SECONDS = 0.002


@dataclass(kw_only=True)
class VirtualClock:
    """A clock that the event loop advances to its next timer."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Wait until the virtual time has advanced by `seconds`."""
        await asyncio.sleep(seconds)


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(ARRIVAL_SECONDS)
        if not ready:
            self._clock.time += timeout
        return ready


def run_with_clock(clock: VirtualClock, work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on an event loop that uses this clock."""

    def new_loop() -> asyncio.AbstractEventLoop:
        loop = asyncio.SelectorEventLoop(_VirtualTimeSelector(clock))
        loop.time = clock.now
        return loop

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(work)
