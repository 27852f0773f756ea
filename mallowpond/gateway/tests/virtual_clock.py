"""An event loop whose time moves only when nothing else is left to do.

Ages and timers count on the loop's time; sockets are real. A busy machine that stalls
the whole loop therefore ages nothing.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

# Time that bytes between two sockets of this process are given to arrive before the
# next timer is due, in seconds: loopback delivers within the call that sends.
ARRIVAL_SECONDS = 0.002


@dataclass(kw_only=True)
class VirtualClock:
    """Stand at a time that a loop moves on to its next timer."""

    time: float = 1000.0

    def now(self) -> float:
        """Return the time."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Wait until the time has been moved on."""
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
    """Run a coroutine to its end on a loop that tells this clock's time."""

    def new_loop() -> asyncio.AbstractEventLoop:
        loop = asyncio.SelectorEventLoop(_VirtualTimeSelector(clock))
        loop.time = clock.now
        return loop

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(work)
