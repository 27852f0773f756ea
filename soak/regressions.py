"""Seeds that once broke a promise, each with what it means and what the cause was."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Regression:
    """Name a seed, its draw and its time with faults, and the cause it showed."""

    seed: int
    draw: int
    seconds: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
