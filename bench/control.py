"""Measure the cost of idle controller and gateway processes."""

import tempfile
import time
from pathlib import Path

from bench.report import Report
from bench.request_path import cpu_seconds, resident_kb
from mallowpond.programs.tests.cluster import DECLARATION, Cluster

POLLS_PER_SECOND = 5.0


def measure_idle(engines: int, seconds: float) -> tuple[float, float, float, float]:
    """Return cores used and resident MB of the planner, then of the gateway."""
    declaration = DECLARATION.replace("replicas = 2", f"replicas = {engines // 4}")
    with tempfile.TemporaryDirectory() as folder:
        layout = Cluster(
            folder=Path(folder), engines=engines, controllers=1, gateways=1
        )
        with layout as cluster:
            cluster.wait_ready()
            cluster.apply(declaration)
            cluster.wait_serving()
            time.sleep(2.0)
            pids = [cluster.processes[n].pid for n in ("controller0", "gateway0")]
            before = [cpu_seconds(pid) for pid in pids]
            time.sleep(seconds)
            used = [cpu_seconds(p) - b for p, b in zip(pids, before, strict=True)]
            memory = [resident_kb(pid) / 1024 for pid in pids]
    return used[0] / seconds, memory[0], used[1] / seconds, memory[1]


def run(*, smallest: bool) -> list[Report]:
    """Measure idle processes with increasing numbers of engines."""
    sizes = (8,) if smallest else (8, 16, 32)
    seconds = 1.0 if smallest else 5.0
    rows = [(size, *measure_idle(size, seconds)) for size in sizes]
    columns = (
        "engines",
        "controller (cores)",
        "controller (MB)",
        "gateway (cores)",
        "gateway (MB)",
    )
    notes = [
        "Test timings: engines are watched and rows renewed five times a second,",
        "routes are polled ten times a second.",
    ]
    if len(rows) > 1:
        first, last = rows[0], rows[-1]
        polls = (last[0] - first[0]) * POLLS_PER_SECOND
        slope = (last[1] - first[1]) / polls * 1e6
        notes.append(f"Slope: {slope:.0f} us of processor for each status report.")
    report = Report(
        title="Processes at rest",
        columns=columns,
        rows=tuple(rows),
        notes=tuple(notes),
    )
    return [report]
