"""Let the store come back from a copy, beside what makes that hard to notice."""

import asyncio
import signal

from soak.fleet import Fleet
from soak.proxy import LinkMode

# Range of the ages of copies and of the times away, and the time after the return until
# the operator has written again, in seconds.
COPY_AGES = (1.0, 2.0, 4.0)
AWAY_SECONDS = (0.2, 0.5, 1.0)
REWRITE_SECONDS = 0.5
# Time from the return of the store to that of the nodes' links, in seconds: the store
# has then given out as many versions as it had lost.
UNHEARD_SECONDS = 4.0
# Age of the copy, delay of the start of a node after the return of the store, time
# until the operator writes again, and time from the revocation that the copy lacks to
# the end of all that, in seconds: the node serves before the revocation is back.
START_AGE = 4.0
START_REWRITE_SECONDS = 2.0
START_DELAY_SECONDS = 0.1
START_SECONDS = 4.0
MAX_AWAY_SECONDS = max(AWAY_SECONDS)
# Time between a change and the drill that loses it, in seconds.
LOST_SECONDS = 0.3


def away_seconds(draw: int) -> float:
    """Return the time for which the store is away."""
    return AWAY_SECONDS[draw // 3 % len(AWAY_SECONDS)]


async def restore_once(
    fleet: Fleet,
    draw: int,
    *,
    age: float | None = None,
    rewrite_seconds: float = REWRITE_SECONDS,
) -> None:
    """Let the store come back from a copy; return when it is back."""
    age = COPY_AGES[draw % len(COPY_AGES)] if age is None else age
    away = away_seconds(draw)
    await fleet.restore_store(
        age=age, away_seconds=away, rewrite_seconds=rewrite_seconds
    )
    await asyncio.sleep(away)


def cut_store_links(fleet: Fleet, mode: LinkMode) -> None:
    """Set the mode of all nodes' links to the store."""
    for link in fleet.store_links:
        link.set_mode(mode)


async def kill_planner_and_head(fleet: Fleet, draw: int) -> None:
    """Kill the planner and the engine of a group, which then forms anew."""
    planner = await fleet.planner()
    fleet.engines[draw % fleet.grouped_engine_count].signal(signal.SIGKILL)
    await asyncio.sleep(LOST_SECONDS)
    if planner is not None:
        fleet.nodes[planner].signal(signal.SIGKILL)
