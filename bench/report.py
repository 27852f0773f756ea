"""Print a measurement as a table and as JSON."""

import json
from dataclasses import dataclass
from pathlib import Path
from time import perf_counter

RESULTS = Path("bench-results")
Cell = str | int | float


@dataclass(frozen=True, kw_only=True)
class Report:
    """Hold the rows of one measurement; times are in the units columns name."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    notes: tuple[str, ...] = ()


def text_of(report: Report) -> str:
    """Return a report as an aligned table."""
    cells = [report.columns, *(tuple(map(_text, row)) for row in report.rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(report.columns))]
    lines = [report.title]
    for row in cells:
        padded = (c.rjust(w) for c, w in zip(row, widths, strict=True))
        lines.append("  " + "  ".join(padded))
    lines += [f"  {note}" for note in report.notes]
    return "\n".join(lines)


def json_of(name: str, reports: list[Report]) -> str:
    """Return the reports of a measurement as JSON."""
    tables = [
        {"title": r.title, "columns": r.columns, "rows": r.rows, "notes": r.notes}
        for r in reports
    ]
    return json.dumps({"bench": name, "reports": tables}, indent=1)


def save(name: str, reports: list[Report]) -> Path:
    """Write the reports beside the tree and return where."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json_of(name, reports))
    return path


def best_seconds(work, repeats: int = 5) -> float:
    """Return the least time that `work` took; the least is the least disturbed."""
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
