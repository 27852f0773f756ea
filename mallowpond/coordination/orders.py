"""Store orders, send them, and track which of them may still arrive.

An engine that checks fencing refuses the orders of an earlier lease holder. One that
ignores fencing obeys any order whenever it arrives. For such engines each order is sent
at most once, and while an earlier order is open, its host gets no new one and joins no
group.

An order is closed when the engine reports this very order as its last, when its holder
withdraws it because it was not sent or was answered, when the holder's incarnation of
its host is gone from the platform's list, or when the engine that it was sent to is
gone. Time closes no order: a holder that is paused between its last check and the send
can resume at any time.
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
    """Numbers and sends the orders of this process, and tracks the open ones.

    The orders of earlier lease holders are tracked as far as the host rows name them.
    """

    def __init__(
        self, *, engines: Engines, watch: EngineWatch, holder: Callable[[], Holder]
    ) -> None:
        self._engines = engines
        self._watch = watch
        self._holder = holder
        self._sent: set[tuple[str, int]] = set()
        # Orders without a definite answer, with the engine incarnation they went to.
        self._in_doubt: dict[tuple[str, int], str] = {}
        self._checks_fencing = True
        self._host_incarnations: dict[str, str] = {}

    def update(self, *, checks_fencing: bool, hosts: tuple[Host, ...]) -> None:
        """Set whether every engine checks fencing, and the hosts that are listed."""
        self._checks_fencing = checks_fencing
        self._host_incarnations = {host.name: host.incarnation for host in hosts}

    def next_order(self, row: HostRow, fence: int) -> HostRow:
        """Return the row with the next order, pending and held by this process."""
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
        """Return whether an order that this process can't withdraw may still arrive."""
        if self._checks_fencing:
            return False
        is_foreign = row.holder != self._holder()
        is_pending = row.outcome is OrderOutcome.PENDING
        is_open = (
            is_pending and is_foreign and not self._is_closed(_last_order(row), row)
        )
        return is_open or any(not self._is_closed(o, row) for o in row.earlier)

    def without_closed_orders(self, row: HostRow) -> HostRow | None:
        """Return the row without closed earlier orders, None if it has none."""
        remaining = tuple(o for o in row.earlier if not self._is_closed(o, row))
        return replace(row, earlier=remaining) if remaining != row.earlier else None

    def with_withdrawn_orders(self, row: HostRow) -> HostRow | None:
        """Return the row after withdrawing the own orders that can no longer arrive.

        Earlier ones are dropped, the last one is marked. Return None if there are none.
        """
        earlier = tuple(o for o in row.earlier if not self._cannot_arrive(o, row))
        changed = replace(row, earlier=earlier)
        is_pending = row.outcome is OrderOutcome.PENDING
        if is_pending and self._cannot_arrive(_last_order(row), row):
            changed = replace(changed, outcome=OrderOutcome.WITHDRAWN)
        return changed if changed != row else None

    def can_send(self, row: HostRow) -> bool:
        """Return whether the row's order can be sent now."""
        if self._checks_fencing:
            return True
        return not row.earlier and (row.host, row.order) not in self._sent

    async def send(self, orders: list[tuple[str, HostRow, Order]]) -> None:
        """Send orders, each to its address, concurrently.

        An engine that hangs must not delay the orders to the others.
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
            orders += (_last_order(row),)
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
        return self._host_incarnations.get(holder.host) != holder.host_incarnation

    def _cannot_arrive(self, order: OpenOrder, row: HostRow) -> bool:
        is_mine = order.holder == self._holder()
        return is_mine and (row.host, order.order) not in self._in_doubt


def _last_order(row: HostRow) -> OpenOrder:
    return OpenOrder(order=row.order, holder=row.holder)
