"""Admission of requests to the groups of one deployment."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mallowpond.coordination.ports import Clock
from mallowpond.state.admission import (
    FairQueue,
    Refused,
    ServiceTime,
    Ticket,
    refuse_if_late,
)
from mallowpond.state.balancer import Balancer
from mallowpond.state.rows import GroupRow

NO_GROUP_RETRY_AFTER_SECONDS = 5.0


@dataclass(kw_only=True)
class _Waiter:
    """A queued request; `turn` is resolved with the group that has a slot for it."""

    ticket: Ticket
    turn: asyncio.Future[GroupRow]
    prefix: str | None


class AdmissionQueue:
    """Grants slots on the groups of a deployment, fairly between workspaces.

    A request gets a free slot immediately, waits in a weighted fair queue, or is
    refused if it cannot be served before its deadline.
    """

    def __init__(
        self,
        *,
        balancer: Balancer,
        clock: Clock,
        serving: Callable[[], list[GroupRow]],
        limit: int,
        expected_seconds: float,
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._serving = serving
        self._group_limit = limit
        self._service = ServiceTime(seconds=expected_seconds)
        self._queue = FairQueue()
        self._waiters: dict[int, _Waiter] = {}

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def set_group_limit(self, limit: int) -> None:
        """Set how many requests a group runs concurrently."""
        self._group_limit = limit

    async def acquire(
        self,
        *,
        workspace: str,
        share: float,
        deadline: float,
        prefix: str | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> GroupRow | Refused:
        """Acquire a slot on a group, waiting for one if none is free.

        `share` is the weight of the workspace. Requests with the same `prefix`, a hash
        of the start of the prompt, prefer one group, which may have it cached. A group
        in `avoid` is not chosen, unless the request has to wait.
        """
        now = self._clock.now()
        if not self._serving():
            return Refused(reason="no_group", retry_after=NO_GROUP_RETRY_AFTER_SECONDS)
        group = self.try_acquire(prefix=prefix, avoid=avoid)
        if group is not None:
            return group
        refused = refuse_if_late(
            ahead=self._queue.ahead_of(workspace, share),
            slots=len(self._serving()) * self._group_limit,
            service_seconds=self._service.upper_bound,
            remaining=deadline - now,
        )
        if refused is not None:
            return refused
        return await self._wait(workspace, share, deadline, prefix)

    def try_acquire(
        self, *, prefix: str | None, avoid: frozenset[str]
    ) -> GroupRow | None:
        """Acquire a free slot on a group not in `avoid`, None if any request waits."""
        if len(self._queue):
            return None
        group = self._choose(prefix, avoid)
        return None if group is None else self._occupy(group)

    def release(
        self, group: str, *, held_seconds: float, latency: float | None
    ) -> None:
        """Release a slot.

        `latency` is in seconds per chunk, None without a complete answer.
        """
        self._balancer.finish(group, now=self._clock.now(), latency=latency)
        if latency is not None:
            self._service.record(held_seconds)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Grant free slots to waiting requests in the order of the queue."""
        while len(self._queue):
            ticket = self._queue.pop()
            if ticket is None:
                return
            waiter = self._waiters[ticket.number]
            group = self._choose(waiter.prefix, frozenset())
            if group is None:
                self._queue.requeue(ticket)
                return
            waiter.turn.set_result(self._occupy(group))
            del self._waiters[ticket.number]

    async def _wait(
        self, workspace: str, share: float, deadline: float, prefix: str | None
    ) -> GroupRow | Refused:
        ticket = self._queue.push(workspace=workspace, share=share, deadline=deadline)
        turn: asyncio.Future[GroupRow] = asyncio.get_running_loop().create_future()
        self._waiters[ticket.number] = _Waiter(ticket=ticket, turn=turn, prefix=prefix)
        # The wait ends while the request could still be served in time, so that the
        # refusal is sent before the deadline.
        latest = deadline - self._service.upper_bound
        try:
            async with asyncio.timeout(max(0.0, latest - self._clock.now())):
                return await asyncio.shield(turn)
        except TimeoutError:
            self._give_up(ticket, turn)
            return Refused(reason="overloaded", retry_after=self._service.seconds)
        except asyncio.CancelledError:
            self._give_up(ticket, turn)
            raise

    def _give_up(self, ticket: Ticket, turn: asyncio.Future[GroupRow]) -> None:
        # The slot may have been granted in the iteration of the event loop in which the
        # wait ended; without the release it would stay occupied for ever.
        if turn.done():
            group = turn.result()
            self.release(group.group, held_seconds=0.0, latency=None)
            return
        turn.cancel()
        del self._waiters[ticket.number]
        self._queue.cancel(ticket)

    def _choose(self, prefix: str | None, avoid: frozenset[str]) -> GroupRow | None:
        groups = {g.group: g for g in self._serving() if g.group not in avoid}
        if not groups:
            return None
        chosen = self._balancer.choose(
            list(groups), now=self._clock.now(), limit=self._group_limit, prefix=prefix
        )
        return groups[chosen] if chosen else None

    def _occupy(self, group: GroupRow) -> GroupRow:
        self._balancer.start(group.group)
        return group
