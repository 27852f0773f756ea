"""Decide whether a request that must run at most once is allowed to run.

A claim is the stored row of one such request: it names the attempt that may be sent and
how that attempt ended. Withdrawing an attempt that was not sent makes its claim void. A
gateway is a process that sends attempts to engines, named here by its incarnation.
"""

from dataclasses import dataclass, replace

from mallowpond.state.rows import ClaimRow, ClaimState


@dataclass(frozen=True, kw_only=True)
class Granted:
    """The attempt may be sent after `row` has been stored."""

    row: ClaimRow


@dataclass(frozen=True, kw_only=True)
class Withdrawn:
    """The same attempt was withdrawn before this request for its claim arrived."""


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another attempt holds the claim, and its gateway may still report its end."""


@dataclass(frozen=True, kw_only=True)
class AlreadyRun:
    """An attempt, this one or another, has run to completion."""


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """An attempt, this one or another, may have been sent; it may or may not have run.

    Either its gateway reported so, or that gateway is gone and left the claim open.
    """


ClaimDecision = Granted | Withdrawn | InProgress | AlreadyRun | OutcomeUnknown


def decide_claim(
    *, stored: ClaimRow | None, requested: ClaimRow, live_gateways: frozenset[str]
) -> ClaimDecision:
    """Decide on the `requested` claim of an attempt against the `stored` one.

    `live_gateways` are the gateways that can still report how their attempts ended.
    """
    match stored:
        case None:
            return Granted(row=requested)
        case ClaimRow(state=ClaimState.VOID, attempt=attempt):
            # A late duplicate of a withdrawn claim must not make it valid again.
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
    """Change to store: the claim's `row`, and `units` to charge to the workspace.

    Units are those of the daily quota; a negative number is a refund.
    """

    row: ClaimRow
    units: int


def settle_finish(*, stored: ClaimRow | None, requested: ClaimRow) -> Settled | None:
    """Return the change that ends an attempt as done or unknown, None if there is none.

    `requested.state` says how the attempt ended.
    """
    if stored is None or stored.attempt != requested.attempt:
        return None
    if stored.state is not ClaimState.CLAIMED:
        return None
    return Settled(row=replace(stored, state=requested.state), units=0)


def settle_void(*, stored: ClaimRow | None, requested: ClaimRow) -> Settled | None:
    """Return the change that withdraws an attempt that was not sent, None if none.

    The commit of its claim may still be in flight. That commit expects no row or the
    void row of another attempt, so in both cases a void row is written: the late commit
    then conflicts instead of charging for a request that was refused.
    """
    if stored is None or _is_void_of_another(stored, requested):
        return Settled(row=replace(requested, state=ClaimState.VOID), units=0)
    if stored.attempt != requested.attempt or stored.state is not ClaimState.CLAIMED:
        return None
    return Settled(row=replace(stored, state=ClaimState.VOID), units=-stored.units)


def _is_void_of_another(stored: ClaimRow, requested: ClaimRow) -> bool:
    return stored.state is ClaimState.VOID and stored.attempt != requested.attempt
