"""Run measurements by name."""

from enum import Enum
from importlib import import_module
from typing import Annotated

import typer

from bench.report import json_of, save, text_of

BENCHES = {
    "planning": "Group downtime and stranded accelerators under failures.",
    "formation": "Capacity that groups keep while engines die or are replaced.",
    "placing": "Streams late, lost and beyond slots by how places are given.",
    "routing": "Queueing tail, prefix hits and stragglers by routing policy.",
    "limits": "Goodput, refusals, retries, fairness and quota under overload.",
    "claims": "Claim latency and transactions, alone and grouped.",
    "membership": "Reads, writes and bytes per node; ownership moved.",
    "request_path": "Processor time and memory per request, chunk and stream.",
    "control": "Processor time and memory of processes at rest.",
    "bounds": "Seconds from faults and changes to their answer.",
}


class Size(str, Enum):
    """Choose how much a measurement does."""

    SMALLEST = "smallest"
    FULL = "full"


def main(
    name: Annotated[str, typer.Argument(help="A measurement, or 'all'.")] = "",
    list_all: Annotated[bool, typer.Option("--list", help="Name them.")] = False,
    size: Annotated[Size, typer.Option(help="How much to do.")] = Size.FULL,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run one measurement and print its figures."""
    if list_all or not name:
        for one, about in BENCHES.items():
            typer.echo(f"{one:14} {about}")
        return
    chosen = list(BENCHES) if name == "all" else [name]
    for one in chosen:
        if one not in BENCHES:
            typer.echo(f"No measurement {one!r}; see --list.", err=True)
            raise typer.Exit(2)
        reports = import_module(f"bench.{one}").run(smallest=size is Size.SMALLEST)
        save(one, reports)
        shown = json_of(one, reports) if as_json else "\n\n".join(map(text_of, reports))
        typer.echo(shown + "\n")


typer.run(main)
