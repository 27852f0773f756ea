"""Queue the streams of one host that wait for a slot.

A burst, or the loss of several groups at once, fills every slot for a second or two. A
stream that gets a slot within its caller's patience is served late instead of lost; one
that would wait longer is refused while its caller can still retry.
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
    """A queue that wakes streams that have begun first, then those still on time.

    Streams of equal rank are ordered by priority, then by arrival.

    A stream whose group died after it had begun needs a slot only for its remainder,
    and its caller has part of the answer. Behind new streams it would be cut off, the
    work of the first group would be lost, and the caller would request all of it again.

    In first-come order every stream waits for the whole queue, and once that takes
    longer than the objective all of them are late. In this order as many are on time as
    there are slots, and the late ones follow when slots are left.
    """

    _waiters: list[_Waiter] = field(default_factory=list)
    _numbers: count = field(default_factory=count)

    def __len__(self) -> int:
        return len(self._waiters)

    def ahead_of(self, priority: int, *, has_begun: bool = False) -> int:
        """Return how many waiting streams would go before a new one that is late."""
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
        """Wait to be woken; return False if that did not happen within `seconds`."""
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
        """End all waits without a slot."""
        waiters, self._waiters = self._pending(), []
        for waiter in waiters:
            waiter.future.set_result(False)

    def reject_new(self) -> None:
        """End the waits of streams that have not begun, without a slot."""
        for waiter in self._pending():
            if not waiter.has_begun:
                self._waiters.remove(waiter)
                waiter.future.set_result(False)

    def wake(self, has_capacity: Callable[[], bool], now: float) -> None:
        """Wake the first waiting stream if there is a free slot.

        Once that stream is sent, it wakes the next one.
        """
        waiting = self._pending()
        if not waiting or not has_capacity():
            return

        def order(waiter: _Waiter) -> tuple[bool, bool, int, int]:
            late = waiter.objective_deadline <= now
            return (not waiter.has_begun, late, waiter.priority, waiter.number)

        first = min(waiting, key=order)
        self._waiters.remove(first)
        first.future.set_result(True)

    def _pending(self) -> list[_Waiter]:
        """Return the waiters that can still be woken.

        A stream that was cancelled or timed out stays in the queue until its task runs
        again. Setting the result of its future would raise in the caller, which ended
        the task of the group watch.
        """
        return [waiter for waiter in self._waiters if not waiter.future.done()]


def _was_woken(waiter: _Waiter) -> bool:
    future = waiter.future
    return future.done() and not future.cancelled() and future.result()
