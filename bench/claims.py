"""Commit claims alone and in groups against a table that takes its time."""

import asyncio
import random
import statistics
from dataclasses import dataclass, field
from time import perf_counter

from bench.report import Report
from mallowpond.coordination.claims import Claim, ClaimCommitter
from mallowpond.coordination.ports import CommitOutcome, Row, Transaction, Unavailable
from mallowpond.coordination.store import new_id
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.rows import ClaimRow, ClaimState

READ_SECONDS = 0.002
COMMIT_SECONDS = 0.005


@dataclass(kw_only=True)
class SlowTable(MemoryTable):
    """Answer as late as a table service across data centres."""

    keys: set[str] = field(default_factory=set)

    async def read(self, key: str) -> Row | None | Unavailable:
        """Read a row after the time of a round trip."""
        await asyncio.sleep(READ_SECONDS)
        return await super().read(key)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit after the time of a durable write."""
        await asyncio.sleep(COMMIT_SECONDS)
        return await super().commit(transaction)


async def offer(rate: float, seconds: float, grouped: bool) -> tuple[float, ...]:
    """Offer claims at a rate; return latencies and transactions a second."""
    rng = random.Random(3)
    table = SlowTable()
    committers = [_committer(table, rng, n) for n in range(1 if grouped else 64)]
    loops = [asyncio.create_task(c.run()) for c in committers]
    latencies: list[float] = []

    async def one(number: int) -> None:
        row = ClaimRow(
            workspace="w",
            key=f"k{number}",
            attempt=f"a{number}",
            gateway="g",
            units=1,
            state=ClaimState.CLAIMED,
        )
        start = perf_counter()
        await committers[number % len(committers)].submit(Claim(row=row))
        latencies.append(perf_counter() - start)

    started = perf_counter()
    tasks = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started + number / rate - perf_counter()))
        tasks.append(asyncio.create_task(one(number)))
    await asyncio.gather(*tasks)
    took = perf_counter() - started
    for loop in loops:
        loop.cancel()
    ordered = sorted(latencies)
    return (
        statistics.mean(ordered) * 1e3,
        ordered[int(len(ordered) * 0.99)] * 1e3,
        table.commits / took,
        table.reads / took,
        len(ordered) / took,
    )


def _committer(table: SlowTable, rng: random.Random, number: int) -> ClaimCommitter:
    return ClaimCommitter(
        table=table,
        member=f"m{number}",
        draw_id=lambda: new_id(rng),
        live_gateways=frozenset,
    )


def run(*, smallest: bool) -> list[Report]:
    """Measure one group committer against many that commit alone."""
    seconds = 0.3 if smallest else 2.0
    rates = (100,) if smallest else (20, 100, 400, 1600)
    rows = []
    for rate in rates:
        for grouped in (False, True):
            figures = asyncio.run(offer(rate, seconds, grouped))
            rows.append((rate, "grouped" if grouped else "alone", *figures))
    columns = (
        "claims/s offered",
        "way",
        "mean (ms)",
        "p99 (ms)",
        "commits/s",
        "reads/s",
        "claims/s done",
    )
    notes = (
        f"A read takes {READ_SECONDS * 1e3:.0f} ms and a commit "
        f"{COMMIT_SECONDS * 1e3:.0f} ms in this table.",
    )
    title = "Claims through one owner"
    return [Report(title=title, columns=columns, rows=tuple(rows), notes=notes)]
