"""Run seeds of the soak, each with its own processes."""

import asyncio
import random
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from mallowpond.coordination.tasks import cancel_task
from soak.callers import Callers
from soak.faults import NEWEST_DRAW, Injector, draw_faults
from soak.fleet import Fleet, FleetShape
from soak.judge import broken_promises
from soak.records import Run, read_notes, write_run
from soak.regressions import REGRESSIONS

RATE = 40.0
# Time after the last fault in which callers go on, in seconds.
CALM_SECONDS = 3.0


async def play(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    draw: int = NEWEST_DRAW,
    shape: FleetShape = FleetShape(),
    rate: float = RATE,
) -> Run:
    """Play one seed and return what it left behind."""
    rng = random.Random(seed)
    fleet = Fleet(folder=folder, shape=shape)
    injector = Injector(fleet=fleet)
    try:
        await fleet.start()
        restarts = asyncio.create_task(fleet.run_restarts())
        callers = Callers(ports=fleet.ports, rate=rate, rng=random.Random(seed))
        asking = asyncio.create_task(
            callers.run(time.monotonic() + seconds + CALM_SECONDS)
        )
        await injector.run(draw_faults(rng, seconds, draw))
        await asking
        await cancel_task(restarts)
    finally:
        await fleet.close()
    return Run(
        callers=tuple(callers.records),
        notes=read_notes(folder),
        disturbances=tuple(injector.disturbances),
        revocations=tuple(injector.revocations),
        foreign=tuple(injector.foreign),
    )


def _at_stops(run: Run) -> dict[str, int]:
    """Count the requests that ran when their node was told to stop, or came later."""
    found: Counter[str] = Counter()
    for record in run.callers:
        for stop in run.disturbances:
            if stop.kind != "node_stop" or stop.node != record.node:
                continue
            if record.sent_at < stop.began_at < record.ended_at:
                found["ran"] += 1
            if stop.began_at < record.sent_at < stop.ended_at and record.is_kept:
                found["came on kept connections"] += 1
    return dict(found)


def main(
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 1,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults a seed.")] = 15.0,
    draw: Annotated[int, typer.Option(help="Which draw of faults.")] = NEWEST_DRAW,
    nodes: Annotated[int, typer.Option(help="How many nodes.")] = 3,
    domains: Annotated[int, typer.Option(help="How many domains.")] = 2,
    rate: Annotated[float, typer.Option(help="Requests a second.")] = RATE,
    regressions: Annotated[
        bool, typer.Option(help="Play the seeds that once failed, and no others.")
    ] = False,
    keep: Annotated[Path, typer.Option(help="Where failed runs are kept.")] = Path(
        "soak-results"
    ),
) -> None:
    """Play seeds one after the other; exit with 1 if a promise was broken."""
    failed = []
    shape = FleetShape(nodes=nodes, domains=domains)
    cases = [(seed, draw, seconds) for seed in range(first, first + seeds)]
    if regressions:
        cases = [(case.seed, case.draw, case.seconds) for case in REGRESSIONS]
    for seed, draw, seconds in cases:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        playing = play(seed, seconds, folder, draw=draw, shape=shape, rate=rate)
        run = asyncio.run(playing)
        lines = broken_promises(run)
        statuses = Counter(r.status for r in run.callers)
        typer.echo(f"seed {seed}: {len(run.callers)} requests {dict(statuses)}")
        kinds = Counter(d.kind for d in run.disturbances)
        typer.echo(f"  {dict(kinds)}, at planned stops: {_at_stops(run)}")
        for line in lines:
            typer.echo(f"  BROKEN {line}")
        if lines:
            failed.append(seed)
            write_run(run, folder / "run.json")
            shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    typer.echo(f"{len(cases)} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
