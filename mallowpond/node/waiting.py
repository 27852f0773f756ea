"""Let streams wait for a place, in order, or refuse them at once.

The load pattern: a burst, or groups lost at once, fill every place for a second or
two. A stream that gets a place within its caller's patience is served late instead
of lost; one that would wait longer is refused while its caller can still come back.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count


@dataclass(kw_only=True, eq=False)
class _Waiter:
    has_begun: bool
    priority: int
    objective_deadline: float
    number: int
    future: asyncio.Future[bool]


@dataclass(kw_only=True)
class WaitQueue:
    """Wake waiting streams: begun ones, those that can be on time, then by arrival.

    A stream whose group died in the middle needs a place for its rest only, and its
    caller has part of the answer: behind newcomers it would be cut off, its work on
    the first group would be lost, and the caller would ask for all of it again.

    In a first-come order every stream waits as long as the line is, and once that
    passes the objective all of them are late. Served in this order, as many are on
    time as there are places, and the late ones follow when there is room.
    """

    _waiters: list[_Waiter] = field(default_factory=list)
    _numbers: count = field(default_factory=count)

    def __len__(self) -> int:
        return len(self._waiters)

    def ahead_of(self, priority: int, *, has_begun: bool = False) -> int:
        """Return how many waiting streams would go before a late one."""
        if has_begun:
            return sum(1 for waiter in self._waiters if waiter.has_begun)
        return sum(1 for t in self._waiters if t.has_begun or t.priority <= priority)

    async def wait(
        self,
        *,
        priority: int,
        objective_deadline: float,
        seconds: float,
        has_begun: bool = False,
    ) -> bool:
        """Wait for a waiter; return False when it did not come in time."""
        waiter = _Waiter(
            has_begun=has_begun,
            priority=priority,
            objective_deadline=objective_deadline,
            number=next(self._numbers),
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(seconds):
                return await waiter.future
        except TimeoutError:
            # It may have been woken in the loop iteration in which the time ran out.
            return _was_woken(waiter)
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def reject_all(self) -> None:
        """Tell all that wait that their waiter does not come."""
        waiters, self._waiters = self._pending(), []
        for waiter in waiters:
            waiter.future.set_result(False)

    def wake(self, has_place: Callable[[], bool], now: float) -> None:
        """Wake the first stream if there is a place; it wakes the next one."""
        waiting = self._pending()
        if not waiting or not has_place():
            return

        def order(waiter: _Waiter) -> tuple[bool, bool, int, int]:
            late = waiter.objective_deadline <= now
            return (not waiter.has_begun, late, waiter.priority, waiter.number)

        first = min(waiting, key=order)
        self._waiters.remove(first)
        first.future.set_result(True)

    def _pending(self) -> list[_Waiter]:
        """Return the waiters that can still be given.

        A stream that leaves, or whose time runs out, stands in the line until its own
        next step; waking it failed, and ended the task that was looking at the groups.
        """
        return [waiter for waiter in self._waiters if not waiter.future.done()]


def _was_woken(waiter: _Waiter) -> bool:
    future = waiter.future
    return future.done() and not future.cancelled() and future.result()
