"""Request handling for the links from gateways and other controllers."""

import asyncio
from collections.abc import Callable

from mallowpond.controller.metrics import ControllerMetrics
from mallowpond.coordination.claims import (
    Claim,
    ClaimCommitter,
    ClaimResult,
    ClaimUnknown,
    Finish,
    SettledAnswer,
    StoreUnavailable,
    Void,
)
from mallowpond.coordination.quotas import Leased, QuotaLeaser
from mallowpond.protocol.peer import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
    CrashReport,
    FinishAsk,
    GatewayHello,
    Message,
    PeerAsk,
    PeerView,
    QuotaAnswer,
    QuotaAsk,
    Routes,
    RoutesAsk,
    SuspectGroup,
    VoidAsk,
)
from mallowpond.state.claims import (
    AlreadyRun,
    Granted,
    InProgress,
    OutcomeUnknown,
    Withdrawn,
)
from mallowpond.state.crash_ledger import CrashRecord
from mallowpond.state.part_ledger import PartRecord
from mallowpond.state.rows import ClaimRow, ClaimState
from mallowpond.transport.peer_link import PeerLink

RoutesHandler = Callable[[RoutesAsk], Routes]
ViewHandler = Callable[[PeerAsk], PeerView]


class LinkService:
    """Serves the links that gateways and other controllers open to this one.

    `view` returns what other controllers are told of the configuration and of the cell,
    the controllers of one data centre. `claims` records which once-only requests may
    run or have run; `quotas` leases units of the workspaces' daily quotas.
    """

    def __init__(
        self,
        *,
        routes: RoutesHandler,
        view: ViewHandler,
        claims: ClaimCommitter,
        quotas: QuotaLeaser,
        metrics: ControllerMetrics,
        on_suspect: Callable[[], None],
        on_crash: Callable[[tuple[CrashRecord | PartRecord, ...]], None],
    ) -> None:
        self._routes = routes
        self._view = view
        self._claims = claims
        self._quotas = quotas
        self._metrics = metrics
        self._on_suspect = on_suspect
        self._on_crash = on_crash
        self._link_counts: dict[str, int] = {}

    @property
    def gateways(self) -> tuple[str, ...]:
        """Return the incarnations of the gateways attached now, sorted."""
        return tuple(sorted(self._link_counts))

    async def serve(self, link: PeerLink) -> None:
        """Answer the messages of one link until it closes."""
        gateway: str | None = None
        try:
            async with asyncio.TaskGroup() as tasks:
                while True:
                    message = await link.receive()
                    if isinstance(message, GatewayHello) and gateway is None:
                        gateway = message.gateway
                        self._link_counts[gateway] = (
                            self._link_counts.get(gateway, 0) + 1
                        )
                    elif isinstance(message, RoutesAsk):
                        await link.send(self._routes(message))
                    elif isinstance(message, PeerAsk):
                        await link.send(self._view(message))
                    else:
                        tasks.create_task(self._handle_message(link, message))
        finally:
            self._detach(gateway)

    def _detach(self, gateway: str | None) -> None:
        if gateway is None:
            return
        self._link_counts[gateway] -= 1
        if self._link_counts[gateway] == 0:
            del self._link_counts[gateway]

    async def _handle_message(self, link: PeerLink, message: Message) -> None:
        match message:
            case SuspectGroup():
                self._on_suspect()
            case CrashReport(records=records, parts=parts):
                self._on_crash((*records, *parts))
            case QuotaAsk():
                await link.send(await self._lease_quota(message))
            case ClaimAsk():
                operation = Claim(
                    row=_claim_row(message, ClaimState.CLAIMED, message.units)
                )
                await self._submit(link, message.call, operation)
            case FinishAsk(known=known):
                state = ClaimState.DONE if known else ClaimState.UNKNOWN
                await self._submit(
                    link, message.call, Finish(row=_claim_row(message, state))
                )
            case VoidAsk():
                operation = Void(row=_claim_row(message, ClaimState.VOID))
                await self._submit(link, message.call, operation)

    async def _submit(
        self, link: PeerLink, call: int, operation: Claim | Finish | Void
    ) -> None:
        verdict = verdict_of(await self._claims.submit(operation))
        self._metrics.claims.labels(verdict=verdict.value).inc()
        await link.send(ClaimAnswer(call=call, result=verdict))

    async def _lease_quota(self, ask: QuotaAsk) -> QuotaAnswer:
        answer = await self._quotas.lease(
            workspace=ask.workspace,
            budget=ask.budget,
            wanted=ask.wanted,
            needed=ask.needed,
        )
        match answer:
            case Leased(period=period, units=units, period_left=left):
                return QuotaAnswer(
                    call=ask.call, period=period, units=units, period_left=left
                )
            case _:
                return QuotaAnswer(call=ask.call, period=0, units=None)


def _claim_row(
    ask: ClaimAsk | FinishAsk | VoidAsk, state: ClaimState, units: int = 0
) -> ClaimRow:
    return ClaimRow(
        workspace=ask.workspace,
        key=ask.key,
        attempt=ask.attempt,
        gateway=ask.gateway if not isinstance(ask, FinishAsk) else "",
        units=units,
        state=state,
    )


def verdict_of(result: ClaimResult) -> ClaimVerdict:
    """Return the verdict on the wire for the result of a claim, finish or void.

    `CLAIM_UNKNOWN`: the claim may have been stored. `OUTCOME_UNKNOWN`: whether the
    claimed request ran is unknown. `SETTLED`: a finish or void has been recorded.
    """
    match result:
        case Granted():
            return ClaimVerdict.GRANTED
        case SettledAnswer():
            return ClaimVerdict.SETTLED
        case Withdrawn():
            return ClaimVerdict.WITHDRAWN
        case InProgress():
            return ClaimVerdict.IN_PROGRESS
        case AlreadyRun():
            return ClaimVerdict.ALREADY_RUN
        case OutcomeUnknown():
            return ClaimVerdict.OUTCOME_UNKNOWN
        case StoreUnavailable():
            return ClaimVerdict.STORE_UNAVAILABLE
        case ClaimUnknown():
            return ClaimVerdict.CLAIM_UNKNOWN
