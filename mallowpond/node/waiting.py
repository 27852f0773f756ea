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
class _Turn:
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

    _turns: list[_Turn] = field(default_factory=list)
    _numbers: count = field(default_factory=count)

    def __len__(self) -> int:
        return len(self._turns)

    def ahead_of(self, priority: int, *, has_begun: bool = False) -> int:
        """Return how many waiting streams would go before a late one."""
        if has_begun:
            return sum(1 for turn in self._turns if turn.has_begun)
        return sum(1 for t in self._turns if t.has_begun or t.priority <= priority)

    async def wait(
        self,
        *,
        priority: int,
        objective_deadline: float,
        seconds: float,
        has_begun: bool = False,
    ) -> bool:
        """Wait for a turn; return False when it did not come in time."""
        turn = _Turn(
            has_begun=has_begun,
            priority=priority,
            objective_deadline=objective_deadline,
            number=next(self._numbers),
            future=asyncio.get_running_loop().create_future(),
        )
        self._turns.append(turn)
        try:
            async with asyncio.timeout(seconds):
                return await turn.future
        except TimeoutError:
            # Its turn may have come in the pass of the loop in which the time ran out.
            return _has_come(turn)
        finally:
            if turn in self._turns:
                self._turns.remove(turn)

    def end(self) -> None:
        """Tell all that wait that their turn does not come."""
        turns, self._turns = self._waiting(), []
        for turn in turns:
            turn.future.set_result(False)

    def wake(self, has_place: Callable[[], bool], now: float) -> None:
        """Wake the first stream if there is a place; it wakes the next one."""
        waiting = self._waiting()
        if not waiting or not has_place():
            return

        def order(turn: _Turn) -> tuple[bool, bool, int, int]:
            late = turn.objective_deadline <= now
            return (not turn.has_begun, late, turn.priority, turn.number)

        first = min(waiting, key=order)
        self._turns.remove(first)
        first.future.set_result(True)

    def _waiting(self) -> list[_Turn]:
        """Return the turns that can still be given.

        A stream that leaves, or whose time runs out, stands in the line until its own
        next step; waking it failed, and ended the task that was looking at the groups.
        """
        return [turn for turn in self._turns if not turn.future.done()]


def _has_come(turn: _Turn) -> bool:
    future = turn.future
    return future.done() and not future.cancelled() and future.result()
