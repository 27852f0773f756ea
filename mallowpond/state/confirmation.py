"""Know how old a node's certainty about its configuration is.

A key that was taken away must stop working everywhere within a bound, also at a
node that lost the table service. So a node counts the age of the last answer that
confirmed its version, from before the question was sent, and admits requests with
a key only while that age is below the bound.
"""

from dataclasses import dataclass

# Part of the revocation bound that is kept back, in seconds: the time between the
# check and the moment the request counts as sent, and clocks that run apart.
ADMISSION_MARGIN_SECONDS = 0.3


@dataclass(frozen=True, kw_only=True)
class Confirmation:
    """Hold a version and the moment at which it was surely the newest."""

    version: int
    confirmed_at: float

    def age(self, now: float) -> float:
        """Return the seconds since the version was surely the newest."""
        return now - self.confirmed_at


def may_admit(
    confirmation: Confirmation | None, *, now: float, bound_seconds: float
) -> bool:
    """Tell whether a request that depends on a key may be admitted."""
    if confirmation is None:
        return False
    return confirmation.age(now) < bound_seconds - ADMISSION_MARGIN_SECONDS


def merge(
    known: Confirmation | None, *, version: int, confirmed_at: float
) -> Confirmation:
    """Return what is known after another confirmation; versions never go back."""
    if known is None or version > known.version:
        return Confirmation(version=version, confirmed_at=confirmed_at)
    if version < known.version:
        return known
    latest = max(known.confirmed_at, confirmed_at)
    return Confirmation(version=version, confirmed_at=latest)
