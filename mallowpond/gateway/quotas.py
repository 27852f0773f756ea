"""Daily budgets of workspaces, spent from chunks leased through the controller.

A chunk is a number of units. A completion costs its maximum number of tokens, any other
request one unit.
"""

import asyncio
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.link import ControllerLink
from mallowpond.protocol.peer import QuotaAsk
from mallowpond.protocol.problems import Problem
from mallowpond.state.declarations import Workspace
from mallowpond.state.quota import Chunk, chunk_size

# Retry delay that refusals ask of the caller, in seconds.
RETRY_AFTER_SECONDS = 2.0
# Shortest window over which the spending rate is measured, in seconds.
RATE_WINDOW_SECONDS = 10.0


@dataclass(kw_only=True)
class _Account:
    chunk: Chunk = field(default_factory=lambda: Chunk(period=0, units=0))
    expires_at: float = 0.0
    spent: int = 0
    window_at: float = 0.0
    rate: float = 0.0
    lease_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(kw_only=True)
class QuotaClient:
    """Spends units from one leased chunk for each workspace."""

    link: ControllerLink
    clock: Clock
    timeout: float
    _accounts: dict[str, _Account] = field(default_factory=dict)

    async def spend(self, workspace: Workspace, units: int) -> Problem | None:
        """Spend units, leasing more if the chunk has too few.

        Returns the refusal if the budget is spent or no units could be leased.
        """
        account = self._accounts.setdefault(workspace.name, _Account())
        if self._try_spend(account, units):
            return None
        async with account.lease_lock:
            if self._try_spend(account, units):
                return None
            problem = await self._lease(account, workspace, units)
            if problem is not None:
                return problem
            self._try_spend(account, units)
            return None

    def refund(self, workspace: Workspace, units: int) -> None:
        """Return the units of a request that did not run to the chunk."""
        account = self._accounts[workspace.name]
        account.chunk = account.chunk.refund(units)

    def _try_spend(self, account: _Account, units: int) -> bool:
        now = self.clock.now()
        if now >= account.expires_at:
            return False
        rest = account.chunk.spend(units)
        if rest is None:
            return False
        account.chunk = rest
        self._record_spent(account, units, now)
        return True

    def _record_spent(self, account: _Account, units: int, now: float) -> None:
        account.spent += units
        elapsed = now - account.window_at
        if elapsed >= RATE_WINDOW_SECONDS:
            account.rate = account.spent / elapsed
            account.spent = 0
            account.window_at = now

    async def _lease(
        self, account: _Account, workspace: Workspace, units: int
    ) -> Problem | None:
        budget = workspace.units_per_day
        wanted = chunk_size(budget=budget, recent_per_second=account.rate, needed=units)
        asked_at = self.clock.now()
        ask = QuotaAsk(
            call=0,
            workspace=workspace.name,
            budget=budget,
            wanted=wanted,
            needed=units,
        )
        answer = await self.link.ask_quota(ask, self.timeout)
        if answer is None or answer.units is None:
            return Problem(
                status=503,
                reason="quota_unavailable",
                detail="The budget could not be read, so nothing was charged.",
                retry_after=RETRY_AFTER_SECONDS,
            )
        if answer.units < units:
            return Problem(
                status=429,
                reason="quota_spent",
                detail=f"The day's budget of {budget} units is spent.",
                retry_after=answer.period_left,
            )
        remaining = account.chunk.units if account.chunk.period == answer.period else 0
        account.chunk = Chunk(period=answer.period, units=remaining + answer.units)
        account.expires_at = asked_at + answer.period_left
        return None
