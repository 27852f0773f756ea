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
from soak.faults import Injector, draw_faults
from soak.fleet import Fleet
from soak.judge import broken_promises
from soak.records import Run, read_notes

RATE = 40.0
# Time after the last fault in which callers go on, in seconds.
CALM_SECONDS = 3.0


async def play(seed: int, seconds: float, folder: Path) -> Run:
    """Play one seed and return what it left behind."""
    rng = random.Random(seed)
    fleet = Fleet(folder=folder)
    injector = Injector(fleet=fleet)
    try:
        await fleet.start()
        restarts = asyncio.create_task(fleet.run_restarts())
        callers = Callers(ports=fleet.ports, rate=RATE, rng=random.Random(seed))
        asking = asyncio.create_task(
            callers.run(time.monotonic() + seconds + CALM_SECONDS)
        )
        await injector.run(draw_faults(rng, seconds))
        await asking
        await cancel_task(restarts)
    finally:
        await fleet.close()
    return Run(
        callers=tuple(callers.records),
        notes=read_notes(folder),
        disturbances=tuple(injector.disturbances),
        revocations=tuple(injector.revocations),
    )


def main(
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 1,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults a seed.")] = 15.0,
    keep: Annotated[Path, typer.Option(help="Where failed runs are kept.")] = Path(
        "soak-results"
    ),
) -> None:
    """Play seeds one after the other; exit with 1 if a promise was broken."""
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        run = asyncio.run(play(seed, seconds, folder))
        lines = broken_promises(run)
        statuses = Counter(r.status for r in run.callers)
        typer.echo(f"seed {seed}: {len(run.callers)} requests {dict(statuses)}")
        for line in lines:
            typer.echo(f"  BROKEN {line}")
        if lines:
            failed.append(seed)
            shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    typer.echo(f"{seeds} seeds, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
