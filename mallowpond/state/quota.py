"""Spend a workspace's budget in chunks that gateways lease from the table.

A gateway spends only the units left in its chunk, so no unit is spent twice. A crash
loses the rest of the chunk and no more.
"""

from dataclasses import dataclass

# Time for which a chunk should last at the recent rate of use, in seconds.
CHUNK_SECONDS = 10.0
# Smallest chunk in units, and largest one as a share of the budget.
MIN_CHUNK_UNITS = 100
MAX_CHUNK_SHARE = 0.02


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Leased units of one period that are not spent yet."""

    period: int
    units: int

    def spend(self, units: int) -> "Chunk | None":
        """Return the chunk without `units`, None if too few are left."""
        if units > self.units:
            return None
        return Chunk(period=self.period, units=self.units - units)

    def refund(self, units: int) -> "Chunk":
        """Return the chunk with `units` that were not used added back."""
        return Chunk(period=self.period, units=self.units + units)


def chunk_size(*, budget: int, recent_per_second: float, needed: int) -> int:
    """Size a chunk by recent use, up to a share of the budget, at least `needed`."""
    wanted = max(MIN_CHUNK_UNITS, int(recent_per_second * CHUNK_SECONDS))
    capped = min(wanted, max(MIN_CHUNK_UNITS, int(budget * MAX_CHUNK_SHARE)))
    return max(needed, capped)


def grantable_units(
    *, budget: int, leased: int, wanted: int, needed: int
) -> int | None:
    """Return how many units may be leased, None if fewer than `needed` are left.

    `leased` units of the `budget` are leased already; `wanted` limits the result.
    """
    left = budget - leased
    if left < needed:
        return None
    return min(wanted, left)
