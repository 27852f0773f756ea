"""Lease chunks of the daily budgets of workspaces from the table."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from mallowpond.coordination.keys import quota_key
from mallowpond.coordination.ports import Committed, TableService, Unavailable
from mallowpond.coordination.store import TypedPut, commit_and_resolve, transaction
from mallowpond.state.codec import from_plain
from mallowpond.state.quota import grantable_units
from mallowpond.state.rows import QuotaRow

PERIOD_SECONDS = 86400
MAX_ATTEMPTS = 5


@dataclass(frozen=True, kw_only=True)
class Leased:
    """Units leased for a period; 0 means that too little of the budget is left.

    `period` is the day since the epoch, `period_left` its remaining seconds.
    """

    period: int
    units: int
    period_left: float


@dataclass(frozen=True, kw_only=True)
class LeaseFailed:
    """The table could not be read, or no attempt to commit succeeded."""

    reason: str


class QuotaLeaser:
    """Leases units by compare-and-set on the workspace's row."""

    def __init__(
        self,
        *,
        table: TableService,
        draw_id: Callable[[], str],
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._draw_id = draw_id
        self._wall_time = wall_time

    async def lease(
        self, *, workspace: str, budget: int, wanted: int, needed: int
    ) -> Leased | LeaseFailed:
        """Lease up to `wanted` units of the daily `budget`, at least `needed`."""
        key = quota_key(workspace)
        for _ in range(MAX_ATTEMPTS):
            row = await self._table.read(key)
            if isinstance(row, Unavailable):
                return LeaseFailed(reason=row.reason)
            period, left = self._period()
            stored = from_plain(row.value, QuotaRow) if row else None
            if stored is not None and stored.period >= period:
                # A host whose clock is behind uses the later period of the row.
                period, leased = stored.period, stored.leased
            else:
                leased = 0
            units = grantable_units(
                budget=budget, leased=leased, wanted=wanted, needed=needed
            )
            if units is None:
                return Leased(period=period, units=0, period_left=left)
            new = QuotaRow(workspace=workspace, period=period, leased=leased + units)
            put = TypedPut(key=key, value=new, expect=row.version if row else 0)
            change = transaction(self._draw_id(), put)
            if isinstance(await commit_and_resolve(self._table, change), Committed):
                return Leased(period=period, units=units, period_left=left)
        # A commit with an unknown outcome may have taken effect: its units are lost.
        return LeaseFailed(reason="too many conflicts")

    def _period(self) -> tuple[int, float]:
        now = self._wall_time()
        period = int(now // PERIOD_SECONDS)
        return period, (period + 1) * PERIOD_SECONDS - now
