"""Format the reports of a measurement as tables and as JSON."""

import json
from dataclasses import dataclass
from pathlib import Path
from time import perf_counter

RESULTS = Path("bench-results")
Cell = str | int | float


@dataclass(frozen=True, kw_only=True)
class Report:
    """A table of results; the names of the columns give the units."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    notes: tuple[str, ...] = ()


def format_text(report: Report) -> str:
    """Return a report as an aligned table."""
    cells = [report.columns, *(tuple(map(_text, row)) for row in report.rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(report.columns))]
    lines = [report.title]
    for row in cells:
        padded = (c.rjust(w) for c, w in zip(row, widths, strict=True))
        lines.append("  " + "  ".join(padded))
    lines += [f"  {note}" for note in report.notes]
    return "\n".join(lines)


def format_json(name: str, reports: list[Report]) -> str:
    """Return the reports of a measurement as JSON."""
    tables = [
        {"title": r.title, "columns": r.columns, "rows": r.rows, "notes": r.notes}
        for r in reports
    ]
    return json.dumps({"bench": name, "reports": tables}, indent=1)


def save(name: str, reports: list[Report]) -> Path:
    """Write the reports below the working directory and return the path."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(format_json(name, reports))
    return path


def best_seconds(work, repeats: int = 5) -> float:
    """Return the minimum duration of `work`, which is the least disturbed one."""
    best = float("inf")
    for _ in range(repeats):
        start = perf_counter()
        work()
        best = min(best, perf_counter() - start)
    return best


def _text(cell: Cell) -> str:
    if not isinstance(cell, float):
        return str(cell)
    return f"{cell:.0f}" if abs(cell) >= 1000 else f"{cell:.3g}"
