"""Spend a workspace's budget in chunks leased from the table.

A gateway spends only what its chunk still holds, so nothing is spent twice; a crash
forfeits the rest of its chunk, never more.
"""

from dataclasses import dataclass

CHUNK_SECONDS = 10.0
MIN_CHUNK_UNITS = 100
MAX_CHUNK_SHARE = 0.02


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Hold leased units of one period that are not spent yet."""

    period: int
    units: int

    def spend(self, units: int) -> "Chunk | None":
        """Return the chunk less `units`, None when it holds too few."""
        if units > self.units:
            return None
        return Chunk(period=self.period, units=self.units - units)

    def refund(self, units: int) -> "Chunk":
        """Return the chunk with units back that were not used."""
        return Chunk(period=self.period, units=self.units + units)


def chunk_size(*, budget: int, recent_per_second: float, needed: int) -> int:
    """Size a chunk by recent use, up to a small share of the whole budget."""
    wanted = max(MIN_CHUNK_UNITS, int(recent_per_second * CHUNK_SECONDS))
    capped = min(wanted, max(MIN_CHUNK_UNITS, int(budget * MAX_CHUNK_SHARE)))
    return max(needed, capped)


def grant(*, budget: int, leased: int, wanted: int, needed: int) -> int | None:
    """Return how many units may be leased, None when the budget is spent."""
    left = budget - leased
    if left < needed:
        return None
    return min(wanted, left)
