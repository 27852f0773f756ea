"""Track how recently a node's configuration version was confirmed as the newest.

A revoked API key must stop working everywhere within a bound, also at a node that lost
the table service. So a node takes the age of the last answer that confirmed its
version, counted from before the query was sent, and admits requests with a key only
while that age is below the bound.
"""

from dataclasses import dataclass

# Margin below the revocation bound, in seconds: the time between the check and the
# moment at which the request counts as sent, and clock drift.
ADMISSION_MARGIN_SECONDS = 0.3
# Age of a confirmation from which a newer version may be in force elsewhere, in
# seconds: more than it becomes while a host hears from the store or a reader.
DENIAL_SECONDS = 2.2


@dataclass(frozen=True, kw_only=True)
class Confirmation:
    """A version and the time at which it is known to have been the newest."""

    version: int
    confirmed_at: float

    def age(self, now: float) -> float:
        """Return the seconds since the version is known to have been the newest."""
        return now - self.confirmed_at


def may_admit(
    confirmation: Confirmation | None, *, now: float, bound_seconds: float
) -> bool:
    """Return whether requests with an API key may be admitted now.

    `bound_seconds` is the time within which a revoked key must stop working.
    """
    if confirmation is None:
        return False
    return confirmation.age(now) < bound_seconds - ADMISSION_MARGIN_SECONDS


def may_deny(confirmation: Confirmation | None, *, now: float) -> bool:
    """Return whether a key or route that the version lacks may be refused for good.

    Newer versions add keys and routes within a shorter time than revoked keys stop
    working, so this ends sooner than the admission of known keys.
    """
    return confirmation is not None and confirmation.age(now) < DENIAL_SECONDS


def merge_confirmation(
    known: Confirmation | None, *, version: int, confirmed_at: float
) -> Confirmation:
    """Return the newer of two confirmations; the version never decreases."""
    if known is None or version > known.version:
        return Confirmation(version=version, confirmed_at=confirmed_at)
    if version < known.version:
        return known
    latest = max(known.confirmed_at, confirmed_at)
    return Confirmation(version=version, confirmed_at=latest)
