"""Claims of requests that may not be repeated, made over the controller link."""

import asyncio
from dataclasses import dataclass, field

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.link import ControllerLink
from mallowpond.gateway.metrics import GatewayMetrics
from mallowpond.protocol.peer import ClaimAsk, ClaimVerdict, FinishAsk, VoidAsk
from mallowpond.protocol.problems import Outcome, Problem

SETTLE_RETRY_SECONDS = 0.5
# Retry delay that refusals ask of the caller, in seconds.
RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class ClaimedAttempt:
    """Identifies an attempt whose claim was committed."""

    workspace: str
    key: str
    attempt: str


@dataclass(kw_only=True)
class ClaimClient:
    """Claims, finishes and voids attempts over the controller link.

    Finishes and voids are queued and retried until the table has recorded them.
    """

    link: ControllerLink
    gateway: str
    clock: Clock
    metrics: GatewayMetrics
    timeout: float
    _unsettled: list[FinishAsk | VoidAsk] = field(default_factory=list)
    _settling_count: int = 0
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def unsettled_count(self) -> int:
        """Return how many finishes and voids are not confirmed by the table yet."""
        # Includes those in flight: a planned stop that waited only for the queue
        # cancelled them.
        return len(self._unsettled) + self._settling_count

    async def claim(
        self, *, workspace: str, key: str, attempt: str, units: int
    ) -> ClaimedAttempt | Problem:
        """Claim and charge an attempt, which must precede sending it.

        Returns the refusal if the claim is not granted.
        """
        claimed = ClaimedAttempt(workspace=workspace, key=key, attempt=attempt)
        ask = ClaimAsk(
            call=0,
            workspace=workspace,
            key=key,
            attempt=attempt,
            gateway=self.gateway,
            units=units,
        )
        try:
            verdict = await self.link.ask_claim(ask, self.timeout)
        except asyncio.CancelledError:
            # The caller left while the claim was in flight. It may be committed;
            # without a void, its key would stay blocked and charged for nothing.
            self.void(claimed)
            raise
        if verdict is ClaimVerdict.GRANTED:
            return claimed
        if verdict in (ClaimVerdict.CLAIM_UNKNOWN, ClaimVerdict.WITHDRAWN):
            self.void(claimed)
        return _problem(verdict)

    def finish(self, claimed: ClaimedAttempt, *, known: bool) -> None:
        """Queue the record that an attempt ran or, if not `known`, may have run."""
        ask = FinishAsk(
            call=0,
            workspace=claimed.workspace,
            key=claimed.key,
            attempt=claimed.attempt,
            known=known,
        )
        self._enqueue(ask)

    def void(self, claimed: ClaimedAttempt) -> None:
        """Queue the withdrawal and refund of an attempt that was not sent."""
        ask = VoidAsk(
            call=0,
            workspace=claimed.workspace,
            key=claimed.key,
            attempt=claimed.attempt,
            gateway=self.gateway,
        )
        self._enqueue(ask)

    async def run(self) -> None:
        """Send queued finishes and voids, retrying until each is confirmed."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._unsettled:
                batch, self._unsettled = self._unsettled, []
                self._settling_count = len(batch)
                await asyncio.gather(*(self._settle(ask) for ask in batch))
                self._settling_count = 0
                self.metrics.pending_voids.set(len(self._unsettled))
                if self._unsettled:
                    await self.clock.sleep(SETTLE_RETRY_SECONDS)

    def _enqueue(self, ask: FinishAsk | VoidAsk) -> None:
        self._unsettled.append(ask)
        self._wake.set()

    async def _settle(self, ask: FinishAsk | VoidAsk) -> None:
        verdict = await self.link.ask_claim(ask, self.timeout)
        if verdict is not ClaimVerdict.SETTLED:
            self._unsettled.append(ask)


def _problem(verdict: ClaimVerdict) -> Problem:
    match verdict:
        case ClaimVerdict.IN_PROGRESS:
            return Problem(
                status=409,
                reason="claim_in_progress",
                detail="An earlier attempt with this key is still being served.",
                outcome=Outcome.IN_PROGRESS,
                retry_after=RETRY_AFTER_SECONDS,
            )
        case ClaimVerdict.ALREADY_RUN:
            return Problem(
                status=409,
                reason="already_run",
                detail="An earlier attempt with this key has run and was charged.",
                outcome=Outcome.ALREADY_RUN,
            )
        case ClaimVerdict.OUTCOME_UNKNOWN:
            return Problem(
                status=409,
                reason="earlier_outcome_unknown",
                detail="An earlier attempt with this key was sent; it may have run.",
                outcome=Outcome.UNKNOWN,
            )
        case ClaimVerdict.CLAIM_UNKNOWN | ClaimVerdict.WITHDRAWN:
            return Problem(
                status=503,
                reason="claim_unknown",
                detail="The claim could not be confirmed, so nothing was sent.",
                retry_after=RETRY_AFTER_SECONDS,
            )
        case _:
            return Problem(
                status=503,
                reason="store_unavailable",
                detail="The table service is unavailable, so nothing was claimed.",
                retry_after=RETRY_AFTER_SECONDS,
            )
