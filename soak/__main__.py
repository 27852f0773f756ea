"""Run soak cases, each with its own processes, and check the records of each."""

import asyncio
import random
import shutil
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import typer

from mallowpond.coordination.tasks import cancel_task
from soak.callers import Callers
from soak.cases import REGRESSIONS, Case
from soak.faults import NEWEST_DRAW, Injector, draw_faults, draw_kinds
from soak.fleet import Fleet, FleetShape
from soak.judge import FATAL_KINDS, find_violations
from soak.memory import ResourceWatch
from soak.records import Disturbance, Run, read_journals, write_run

REQUESTS_PER_SECOND = 40.0
# Retries of one request in runs with requests that crash engines; others have none.
MAX_RETRIES = 8
# Time after the last fault for which callers continue, in seconds.
TRAILING_SECONDS = 3.0
# Minimum delay of this process that is recorded as a stall, in seconds. No link carries
# anything meanwhile, so that a node may suspect its groups: the value is a part of the
# gap between events that the configuration allows.
STALL_SECONDS = 0.1
STALL_POLL_SECONDS = 0.02


@dataclass(kw_only=True)
class StallDetector:
    """Detects when this process was blocked: the links of all others run in it."""

    longest: float = 0.0
    disturbances: list[Disturbance] = field(default_factory=list)

    async def watch(self) -> None:
        """Compare sleeps with the clock until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(STALL_POLL_SECONDS)
            late = time.monotonic() - began - STALL_POLL_SECONDS
            self.longest = max(self.longest, late)
            if late > STALL_SECONDS:
                stall = Disturbance(
                    kind="stall", began_at=began, ended_at=time.monotonic()
                )
                self.disturbances.append(stall)


async def run_case(
    case: Case, folder: Path, *, rate: float = REQUESTS_PER_SECOND
) -> Run:
    """Run one case and return its records; journals and logs stay in the folder."""
    rng = random.Random(case.seed)
    fleet = Fleet(folder=folder, shape=case.shape)
    kinds = case.only or draw_kinds(rng, case.draw)
    faults = (*case.faults, *draw_faults(rng, case.seconds, kinds))
    is_fatal = any(fault.kind in FATAL_KINDS for fault in faults)
    ends_in = max([case.seconds, *(f.at + f.seconds for f in case.faults)])
    callers = Callers(
        ports=fleet.node_ports,
        rate=rate,
        rng=random.Random(case.seed),
        max_retries=MAX_RETRIES if is_fatal else 0,
    )
    injector = Injector(fleet=fleet, callers=callers)
    try:
        await fleet.start()
        restart_task = asyncio.create_task(fleet.run_restarts())
        stalls = StallDetector()
        watch_task = asyncio.create_task(stalls.watch())
        resources = ResourceWatch(fleet=fleet)
        resource_task = asyncio.create_task(resources.watch())
        callers_task = asyncio.create_task(
            callers.run(time.monotonic() + ends_in + TRAILING_SECONDS)
        )
        await injector.run(tuple(sorted(faults, key=lambda fault: fault.at)))
        await callers_task
        await cancel_task(restart_task)
        await cancel_task(watch_task)
        await cancel_task(resource_task)
    finally:
        await fleet.close()
    return Run(
        callers=tuple(callers.records),
        notes=read_journals(folder),
        disturbances=(*injector.disturbances, *stalls.disturbances),
        revocations=tuple(injector.revocations),
        foreign=tuple(injector.foreign),
        evacuations=tuple(injector.evacuations),
        cuts=tuple(injector.cuts),
        fatal_parts=tuple(injector.fatal_parts),
        skews=tuple(injector.skews),
        pauses=tuple(injector.pauses),
        engine_ends=tuple(fleet.engine_ends),
        exhaustions=tuple(resources.exhaustions),
        peak_bytes=resources.peak_bytes,
        peak_descriptors=resources.peak_descriptors,
        longest_stall=stalls.longest,
    )


def _count_at_stops(run: Run) -> dict[str, int]:
    """Count requests in progress when their node was stopped, and later ones.

    The later ones came on connections that were open before the stop.
    """
    counts: Counter[str] = Counter()
    for record in run.callers:
        for stop in run.disturbances:
            if stop.kind != "node_stop" or stop.node != record.node:
                continue
            if record.sent_at < stop.began_at < record.ended_at:
                counts["ran"] += 1
            if stop.began_at < record.sent_at < stop.ended_at and record.is_kept:
                counts["came on kept connections"] += 1
    return dict(counts)


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Seconds with faults in each run.")
    ] = 15.0,
    draw: Annotated[
        int, typer.Option(help="Version of the draw of faults.")
    ] = NEWEST_DRAW,
    only: Annotated[
        list[str] | None, typer.Option(help="Draw only faults of this kind.")
    ] = None,
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = 3,
    domains: Annotated[int, typer.Option(help="Number of domains.")] = 2,
    rate: Annotated[
        float, typer.Option(help="Requests per second.")
    ] = REQUESTS_PER_SECOND,
    slowness: Annotated[
        float,
        typer.Option(help="Time of an event, as a multiple of the configured one."),
    ] = 1.0,
    regressions: Annotated[
        bool, typer.Option(help="Run only the seeds that once failed.")
    ] = False,
    keep: Annotated[
        Path, typer.Option(help="Folder for the records of failed runs.")
    ] = Path("soak-results"),
) -> None:
    """Run seeds one after the other; exit with 1 if a guarantee was violated."""
    shape = FleetShape(nodes=nodes, domains=domains, slowness=slowness)
    cases = REGRESSIONS
    if not regressions:
        cases = tuple(
            Case(
                seed=seed,
                seconds=seconds,
                draw=draw,
                only=tuple(only or ()),
                shape=shape,
            )
            for seed in range(first, first + seeds)
        )
    failed = []
    for case in cases:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{case.seed}-"))
        run = asyncio.run(run_case(case, folder, rate=rate))
        lines = find_violations(run)
        _print_summary(case, run, lines)
        if lines:
            failed.append(case.seed)
            write_run(run, folder / "run.json")
            shutil.copytree(folder, keep / str(case.seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    typer.echo(f"{len(cases)} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


def _print_summary(case: Case, run: Run, lines: list[str]) -> None:
    statuses = Counter(r.status for r in run.callers)
    typer.echo(f"seed {case.seed}: {len(run.callers)} requests {dict(statuses)}")
    kinds = Counter(d.kind for d in run.disturbances)
    typer.echo(f"  {dict(kinds)}, at planned stops: {_count_at_stops(run)}")
    typer.echo(
        f"  at most {run.peak_bytes / 1e6:.0f} MB and {run.peak_descriptors}"
        " descriptors of a node"
    )
    typer.echo(f"  longest stall of this process {run.longest_stall:.2f} s")
    for line in lines:
        typer.echo(f"  BROKEN {line}")


if __name__ == "__main__":
    typer.run(main)
