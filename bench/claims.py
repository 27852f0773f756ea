"""Measure single and grouped commits of claims on a table with latency."""

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
    """In-memory table with the latency of a table service across data centres."""

    keys: set[str] = field(default_factory=set)

    async def read(self, key: str) -> Row | None | Unavailable:
        """Read a row after a round trip."""
        await asyncio.sleep(READ_SECONDS)
        return await super().read(key)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit after the latency of a durable write."""
        await asyncio.sleep(COMMIT_SECONDS)
        return await super().commit(transaction)


async def run_load(rate: float, seconds: float, grouped: bool) -> tuple[float, ...]:
    """Submit claims at a rate.

    Return the mean and p99 latency in ms, then commits, reads and finished claims per
    second.
    """
    rng = random.Random(3)
    table = SlowTable()
    committers = [_committer(table, rng, n) for n in range(1 if grouped else 64)]
    committer_tasks = [asyncio.create_task(c.run()) for c in committers]
    latencies: list[float] = []

    async def submit_claim(number: int) -> None:
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
        tasks.append(asyncio.create_task(submit_claim(number)))
    await asyncio.gather(*tasks)
    elapsed = perf_counter() - started
    for task in committer_tasks:
        task.cancel()
    ordered = sorted(latencies)
    return (
        statistics.mean(ordered) * 1e3,
        ordered[int(len(ordered) * 0.99)] * 1e3,
        table.commits / elapsed,
        table.reads / elapsed,
        len(ordered) / elapsed,
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
            results = asyncio.run(run_load(rate, seconds, grouped))
            rows.append((rate, "grouped" if grouped else "alone", *results))
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
