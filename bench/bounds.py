"""Measure how long faults and changes take to be answered, on real processes."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.report import Report
from mallowpond.programs.tests.cluster import DECLARATION, Cluster, http

READY = b'mallowpond_groups{deployment="meteor",state="ready"} '


def until(cluster: Cluster, reached: Callable[[], object]) -> float:
    """Return the seconds until something holds."""
    start = time.perf_counter()
    cluster.wait_for(reached)
    return time.perf_counter() - start


def ready_groups(cluster: Cluster) -> int:
    """Return how many groups the controllers count as ready."""
    counts = []
    for name in cluster.names("controller"):
        if cluster.processes[name].poll() is None:
            page = http("GET", cluster.url(name, "/metrics")).body
            counts += [
                int(float(line[len(READY) :]))
                for line in page.splitlines()
                if line.startswith(READY)
            ]
    return min(counts, default=0)


def table(cluster: Cluster, controller: str, statement: str) -> list[list]:
    """Return the rows that a query shows."""
    url = cluster.url(controller, "/v1/statement")
    return http("POST", url, statement.encode()).json["rows"]


def holder(cluster: Cluster, controller: str) -> str:
    """Return who wrote the last orders."""
    rows = table(cluster, controller, "show orders order by fence desc")
    return rows[0][3] if rows else ""


def lost_host(engines: int, replicas: int) -> tuple[float, float]:
    """Kill a member; return seconds to the group's exclusion and to its return."""
    declaration = DECLARATION.replace("replicas = 2", f"replicas = {replicas}")
    with started(engines, declaration) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == replicas)
        (first, *_) = table(cluster, "controller0", "show groups order by group")
        victim = first[4].split()[1]
        cluster.kill(victim)
        out = until(cluster, lambda: ready_groups(cluster) < replicas)
        if engines == 8:
            text = (cluster.folder / f"{victim}.toml").read_text()
            path = cluster.folder / f"{victim}.toml"
            path.write_text(text + 'incarnation = "2"\n')
            cluster.start(victim)
        back = until(cluster, lambda: ready_groups(cluster) == replicas)
        return out, back


def started(engines: int, declaration: str):
    """Return a context that runs a layout with a declaration in force."""
    return _Started(engines, declaration)


class _Started:
    """Run a cluster in a folder of its own."""

    def __init__(self, engines: int, declaration: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._declaration = declaration
        self._cluster = Cluster(folder=Path(self._folder.name), engines=engines)

    def __enter__(self) -> Cluster:
        cluster = self._cluster.__enter__()
        cluster.wait_ready()
        cluster.apply(self._declaration)
        cluster.wait_serving()
        return cluster

    def __exit__(self, *error: object) -> None:
        self._cluster.__exit__(*error)
        self._folder.cleanup()


def takeover() -> float:
    """Kill the planner; return seconds until another writes orders."""
    with started(8, DECLARATION) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == 2)
        owner = holder(cluster, "controller0")
        (other,) = [n for n in cluster.names("controller") if n != owner]
        cluster.kill(owner)
        body = b'{"name": "engine0", "state": "leaving"}'
        http("POST", cluster.url("platform", "/standin/host"), body)
        return until(cluster, lambda: holder(cluster, other) == other)


def leaving() -> float:
    """Let a host leave; return seconds until gateways send its group nothing."""
    with started(8, DECLARATION) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == 2)
        body = b'{"name": "engine0", "state": "leaving"}'
        http("POST", cluster.url("platform", "/standin/host"), body)
        return until(cluster, lambda: _is_avoided(cluster, "engine0"))


def _is_avoided(cluster: Cluster, engine: str) -> bool:
    def count() -> int:
        return len(http("GET", cluster.url(engine, "/standin/runs")).json)

    before = count()
    for number in range(12):
        cluster.complete(f"p{number}", f"gateway{number % 2}")
    return count() == before


def in_force() -> float:
    """Accept a change; return seconds until both gateways serve by it."""
    with started(8, DECLARATION) as cluster:
        changed = DECLARATION.replace('model = "meteor-7b"', 'model = "meteor-8b"')
        cluster.apply(changed, expect=1)

        def refused_everywhere() -> bool:
            answers = [cluster.complete("x", g) for g in cluster.names("gateway")]
            return all(a.status == 404 for a in answers)

        return until(cluster, refused_everywhere)


def run(*, smallest: bool) -> list[Report]:
    """Measure every bound once, or one of them at the smallest size."""
    if smallest:
        rows = [("acceptance to in force", in_force())]
    else:
        spare_out, spare_back = lost_host(10, 2)
        out, back = lost_host(8, 2)
        rows = [
            ("kill of a member to its group's exclusion", spare_out),
            ("the same, second layout", out),
            ("exclusion to serving again, with a spare", spare_back),
            ("exclusion to serving again, host restarted", back),
            ("leaving to no new work", leaving()),
            ("kill of the planner to another's orders", takeover()),
            ("acceptance to in force at both gateways", in_force()),
        ]
    notes = (
        "Test timings: heartbeat 0.2, lease 1.5, watch 0.2, silent 1.0, host list",
        "0.3, assurance 2.0, permit 2.0, drain settle 1.0, load 0.2 s.",
    )
    report = Report(
        title="Bounds, one run each",
        columns=("what", "seconds"),
        rows=tuple(rows),
        notes=notes,
    )
    return [report]
