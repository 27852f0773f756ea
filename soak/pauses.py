"""Draw series of pauses of engines, and change the configuration beside them."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from mallowpond.standins.observatory_operator import SoakSettings
from soak.fleet import Fleet
from soak.losses import PAUSE_SHARE_KIND, SHORT_STREAM_SECONDS

# Number of pauses of a series, and the range of their durations, in seconds.
PAUSES = 4
PAUSE_SECONDS = (0.3, 1.3)
# Minimum duration of a series, in seconds: callers are served between its pauses.
MIN_SERIES_SECONDS = 9.0
# Time from a new configuration to the pause after it, in seconds.
CHANGE_LEAD_SECONDS = 0.6
# Shares of the engines that pause, chosen by the remainder of `Fault.draw`.
PAUSED_SHARES = (0.4, 0.6, 0.8)
CHANGED_IDLE_MS = (9000, 8000)
RETRY_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class Pause:
    """One pause of a series; `interval` is the time from its change to the next one.

    `engines` are numbers of engines; times are in seconds.
    """

    engines: tuple[int, ...]
    seconds: float
    interval: float


def draw_series(
    *, kind: str, draw: int, seconds: float, engines: int
) -> Iterator[Pause]:
    """Draw the pauses of a fault; each one has engines of its own."""
    rng = random.Random(draw)
    count = engines
    if kind == PAUSE_SHARE_KIND:
        count = round(PAUSED_SHARES[draw % len(PAUSED_SHARES)] * engines)
    durations = [rng.uniform(*PAUSE_SECONDS) for _ in range(PAUSES)]
    for duration in durations:
        yield Pause(
            engines=tuple(rng.sample(range(engines), count)),
            seconds=duration,
            interval=max(MIN_SERIES_SECONDS, seconds) / PAUSES,
        )


async def change_configuration(fleet: Fleet, number: int) -> bool:
    """Write a configuration with one change; return whether it is accepted."""
    settings = fleet.settings
    match number % PAUSES:
        case 0:
            changed = replace(settings, idle_timeout_ms=CHANGED_IDLE_MS[0])
        case 1:
            timeout_ms = int(1000 * SHORT_STREAM_SECONDS)
            changed = replace(settings, stream_timeout_ms=timeout_ms)
        case 2:
            changed = replace(settings, added_routes=settings.added_routes + 1)
        case _:
            changed = replace(settings, idle_timeout_ms=CHANGED_IDLE_MS[1])
    fleet.settings = changed
    return await fleet.configure()


async def restore_configuration(fleet: Fleet) -> None:
    """Write the first configuration again until it is accepted."""
    fleet.settings = SoakSettings()
    while not await fleet.configure():
        await asyncio.sleep(RETRY_SECONDS)
