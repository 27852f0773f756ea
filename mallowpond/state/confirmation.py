"""Decide what a node may do by its configuration, from the age of its confirmation.

A change must be in force everywhere within a bound, and a revoked API key must stop
working within another one, also at a node that lost the table service. So a node takes
the age of the last answer that confirmed its version, counted from before the query was
sent, and compares it with the bound of each decision.
"""

from dataclasses import dataclass

# Margin below the bounds, in seconds: the time between the check and the moment at
# which the request counts as sent, and clock drift.
ADMISSION_MARGIN_SECONDS = 0.3
# Source of what this node itself read from the table service.
STORE = "store"


@dataclass(frozen=True, kw_only=True)
class Confirmation:
    """What a node knows of the configuration in force.

    `version` is known to have been the newest at `confirmed_at`, by the node `source`
    or an own read, in this era of the table service.
    """

    version: int
    confirmed_at: float
    era: int = 0
    source: str = STORE

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


def may_run(
    confirmation: Confirmation | None,
    *,
    now: float,
    bound_seconds: float,
    is_store_lost: bool,
) -> bool:
    """Return whether requests may be run as the version says.

    `bound_seconds` is the time within which a change must be in force. A node that has
    just failed to read the table service goes on with the version that it has: there
    is no other while the service is away.
    """
    if is_store_lost:
        return True
    if confirmation is None:
        return False
    return confirmation.age(now) < bound_seconds - ADMISSION_MARGIN_SECONDS


def may_deny(
    confirmation: Confirmation | None, *, now: float, bound_seconds: float
) -> bool:
    """Return whether a key or route that the version lacks may be refused for good.

    `bound_seconds` is the time within which a change must be in force: newer versions
    add keys and routes.
    """
    if confirmation is None:
        return False
    return confirmation.age(now) < bound_seconds - ADMISSION_MARGIN_SECONDS


def merge_confirmation(
    known: Confirmation | None,
    *,
    version: int,
    confirmed_at: float,
    era: int = 0,
    source: str = STORE,
) -> Confirmation:
    """Return the newer of two confirmations; the version never decreases."""
    found = Confirmation(
        version=version, confirmed_at=confirmed_at, era=era, source=source
    )
    if known is None or version > known.version:
        return found
    if version < known.version or confirmed_at <= known.confirmed_at:
        return known
    return found
