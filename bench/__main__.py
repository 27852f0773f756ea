"""Command line that runs measurements by name."""

from enum import Enum
from importlib import import_module
from typing import Annotated

import typer

from bench.report import format_json, format_text, save

MEASUREMENTS = {
    "planning": "Group downtime and stranded accelerators under failures.",
    "formation": "Capacity that groups keep while engines die or are replaced.",
    "placing": "Late and lost streams and use beyond slots by slot assignment.",
    "routing": "Queueing tail, prefix hits and stragglers by routing policy.",
    "queue_order": "Processor time of the placement queue, sorted and in bands.",
    "limits": "Goodput, refusals, retries, fairness and quota under overload.",
    "claims": "Claim latency and transactions, alone and grouped.",
    "membership": "Reads, writes and bytes per node; ownership moved.",
    "request_path": "Processor time and memory per request, chunk and stream.",
    "tunnels": "Cost of connections to targets through a peer.",
    "control": "Processor time and memory of processes at rest.",
    "quarantine": "Engines lost and streams refused by ways to quarantine parts.",
    "retry_budget": "Use of the retry budget by ways to divide it among hosts.",
    "silence": "Streams lost, moved and refused by ways to treat silent groups.",
    "bounds": "Seconds from faults and changes to their answer.",
}


class Size(str, Enum):
    """Size of a measurement; SMALLEST only checks that it runs."""

    SMALLEST = "smallest"
    FULL = "full"


def main(
    name: Annotated[str, typer.Argument(help="A measurement, or 'all'.")] = "",
    list_all: Annotated[
        bool, typer.Option("--list", help="List the measurements.")
    ] = False,
    size: Annotated[Size, typer.Option(help="Amount of work.")] = Size.FULL,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run one measurement, or all, and print the results."""
    if list_all or not name:
        for measurement, description in MEASUREMENTS.items():
            typer.echo(f"{measurement:14} {description}")
        return
    names = list(MEASUREMENTS) if name == "all" else [name]
    for measurement in names:
        if measurement not in MEASUREMENTS:
            typer.echo(f"No measurement {measurement!r}; see --list.", err=True)
            raise typer.Exit(2)
        reports = import_module(f"bench.{measurement}").run(
            smallest=size is Size.SMALLEST
        )
        save(measurement, reports)
        output = (
            format_json(measurement, reports)
            if as_json
            else "\n\n".join(map(format_text, reports))
        )
        typer.echo(output + "\n")


typer.run(main)
