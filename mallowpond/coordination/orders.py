"""Write orders down, send them, and know which may still arrive.

An engine that checks fencing refuses an older holder's order. One that ignores it
obeys any order whenever it arrives, so for such engines each order is sent at most
once, a host takes no new order while an earlier one is open, and it joins no group.
An order is closed when the engine shows that it carried out just this one, when its
holder withdraws it unsent, when the holder's host is gone from the platform's list,
or when the engine that it was sent to is gone. Waiting closes nothing: a holder that
is paused between its last check and the send can wake at any time.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from mallowpond.coordination.health import EngineWatch
from mallowpond.coordination.ports import (
    Engines,
    Host,
    Order,
    OrderAccepted,
    OrderRefused,
)
from mallowpond.state.rows import Holder, HostRow, OpenOrder, OrderOutcome


class OrderTracker:
    """Keep track of the orders that this process writes and sends."""

    def __init__(
        self, *, engines: Engines, watch: EngineWatch, holder: Callable[[], Holder]
    ) -> None:
        self._engines = engines
        self._watch = watch
        self._holder = holder
        self._sent: set[tuple[str, int]] = set()
        # Orders sent without a clear answer, with the incarnation they were sent to.
        self._in_doubt: dict[tuple[str, int], str] = {}
        self._checks_fencing = True
        self._listed: dict[str, str] = {}

    def look(self, *, checks_fencing: bool, hosts: tuple[Host, ...]) -> None:
        """Take in whether every engine checks fencing, and the listed hosts."""
        self._checks_fencing = checks_fencing
        self._listed = {host.name: host.incarnation for host in hosts}

    def next_order(self, row: HostRow, fence: int) -> HostRow:
        """Return the row with a new open order of this process."""
        earlier = () if self._checks_fencing else self._open_orders(row)
        return replace(
            row,
            order=row.order + 1,
            fence=fence,
            holder=self._holder(),
            outcome=OrderOutcome.PENDING,
            earlier=earlier,
        )

    def is_tainted(self, row: HostRow) -> bool:
        """Tell whether an order that is not ours to end may still arrive."""
        if self._checks_fencing:
            return False
        foreign = row.holder != self._holder()
        pending = row.outcome is OrderOutcome.PENDING
        is_open = pending and foreign and not self._is_closed(_current(row), row)
        return is_open or any(not self._is_closed(o, row) for o in row.earlier)

    def pruned(self, row: HostRow) -> HostRow | None:
        """Return the row without orders that were closed, None if there are none."""
        left = tuple(o for o in row.earlier if not self._is_closed(o, row))
        return replace(row, earlier=left) if left != row.earlier else None

    def withdrawn(self, row: HostRow) -> HostRow | None:
        """Return the row without our orders that will not arrive any more."""
        earlier = tuple(o for o in row.earlier if not self._is_settled(o, row))
        changed = replace(row, earlier=earlier)
        pending = row.outcome is OrderOutcome.PENDING
        if pending and self._is_settled(_current(row), row):
            changed = replace(changed, outcome=OrderOutcome.WITHDRAWN)
        return changed if changed != row else None

    def may_send(self, row: HostRow) -> bool:
        """Tell whether the row's order may go out now."""
        if self._checks_fencing:
            return True
        return not row.earlier and (row.host, row.order) not in self._sent

    async def send(self, orders: list[tuple[str, HostRow, Order]]) -> None:
        """Send orders, each with its address, all at once.

        One engine that hangs must not hold up the orders to the rest.
        """
        await asyncio.gather(*(self._send_one(*one) for one in orders))

    async def _send_one(self, address: str, row: HostRow, order: Order) -> None:
        key = (row.host, row.order)
        status = self._watch.recent_status(row.host)
        self._sent.add(key)
        self._in_doubt[key] = status.incarnation if status else ""
        match await self._engines.order(address, order):
            case OrderAccepted():
                del self._in_doubt[key]
            case OrderRefused():
                del self._in_doubt[key]
                self._sent.discard(key)

    def _open_orders(self, row: HostRow) -> tuple[OpenOrder, ...]:
        orders = row.earlier
        if row.outcome is OrderOutcome.PENDING:
            orders += (_current(row),)
        return tuple(o for o in orders if not self._is_closed(o, row))

    def _is_closed(self, order: OpenOrder, row: HostRow) -> bool:
        status = self._watch.recent_status(row.host)
        if status is not None and status.order == order.order:
            return True
        if order.holder == self._holder():
            sent_to = self._in_doubt.get((row.host, order.order))
            if sent_to is None:
                return True
            return status is not None and status.incarnation != sent_to
        return self._is_holder_gone(order.holder)

    def _is_holder_gone(self, holder: Holder) -> bool:
        if not holder.host or not holder.host_incarnation:
            return False
        return self._listed.get(holder.host) != holder.host_incarnation

    def _is_settled(self, order: OpenOrder, row: HostRow) -> bool:
        is_mine = order.holder == self._holder()
        return is_mine and (row.host, order.order) not in self._in_doubt


def _current(row: HostRow) -> OpenOrder:
    return OpenOrder(order=row.order, holder=row.holder)
