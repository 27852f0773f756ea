"""Decide whether a request that may not be repeated is allowed to run."""

from dataclasses import dataclass, replace

from mallowpond.state.rows import ClaimRow, ClaimState


@dataclass(frozen=True, kw_only=True)
class Granted:
    """The request may be sent once; the row that says so still has to be kept."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Withdrawn:
    """This very attempt was withdrawn before its claim arrived."""


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another attempt holds the claim and its gateway is alive."""


@dataclass(frozen=True, kw_only=True)
class AlreadyRun:
    """Another attempt has run to its end."""


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """Another attempt was sent, and nobody can tell whether it ran."""


ClaimDecision = Granted | Withdrawn | InProgress | AlreadyRun | OutcomeUnknown


def decide_claim(
    *, stored: ClaimRow | None, requested: ClaimRow, live_gateways: frozenset[str]
) -> ClaimDecision:
    """Weigh an attempt against the claim that the table holds."""
    match stored:
        case None:
            return Granted(row=requested)
        case ClaimRow(state=ClaimState.VOID, attempt=attempt):
            # A late duplicate of a withdrawn claim must not bring it back to life.
            return (
                Withdrawn() if attempt == requested.attempt else Granted(row=requested)
            )
        case ClaimRow(state=ClaimState.CLAIMED, attempt=requested.attempt):
            return Granted(row=stored)
        case ClaimRow(state=ClaimState.DONE):
            return AlreadyRun()
        case ClaimRow(state=ClaimState.UNKNOWN):
            return OutcomeUnknown()
        case ClaimRow(gateway=gateway) if gateway in live_gateways:
            return InProgress()
        case _:
            return OutcomeUnknown()


@dataclass(frozen=True, kw_only=True)
class Settled:
    """Write this row and add `units` (negative for a refund) to the ledger."""

    row: ClaimRow
    units: int


def settle_end(*, stored: ClaimRow | None, requested: ClaimRow) -> Settled | None:
    """Return the change that ends an attempt as done or unknown, None if there is none.

    `requested.state` says how the attempt ended.
    """
    if stored is None or stored.attempt != requested.attempt:
        return None
    if stored.state is not ClaimState.CLAIMED:
        return None
    return Settled(row=replace(stored, state=requested.state), units=0)


def settle_void(*, stored: ClaimRow | None, requested: ClaimRow) -> Settled | None:
    """Return the change that withdraws an attempt of which nothing was sent.

    The claim's own commit may still be on its way. It was decided on an absent row or
    on another attempt's void row, so either is written anew: the commit then conflicts
    instead of charging for a request that was refused.
    """
    if stored is None or _is_void_of_another(stored, requested):
        return Settled(row=replace(requested, state=ClaimState.VOID), units=0)
    if stored.attempt != requested.attempt or stored.state is not ClaimState.CLAIMED:
        return None
    return Settled(row=replace(stored, state=ClaimState.VOID), units=-stored.units)


def _is_void_of_another(stored: ClaimRow, requested: ClaimRow) -> bool:
    return stored.state is ClaimState.VOID and stored.attempt != requested.attempt
