"""Measure the reaction times to faults and changes on real processes."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.report import Report
from mallowpond.programs.tests.cluster import DECLARATION, Cluster, http

READY_METRIC = b'mallowpond_groups{deployment="meteor",state="ready"} '


def seconds_until(cluster: Cluster, condition: Callable[[], object]) -> float:
    """Wait for a condition; return the seconds until it held."""
    start = time.perf_counter()
    cluster.wait_for(condition)
    return time.perf_counter() - start


def ready_groups(cluster: Cluster) -> int:
    """Return the number of ready groups, the minimum over all controllers."""
    counts = []
    for name in cluster.names("controller"):
        if cluster.processes[name].poll() is None:
            page = http("GET", cluster.url(name, "/metrics")).body
            counts += [
                int(float(line[len(READY_METRIC) :]))
                for line in page.splitlines()
                if line.startswith(READY_METRIC)
            ]
    return min(counts, default=0)


def query_rows(cluster: Cluster, controller: str, statement: str) -> list[list]:
    """Return the result rows of a query statement."""
    url = cluster.url(controller, "/v1/statement")
    return http("POST", url, statement.encode()).json["rows"]


def orders_holder(cluster: Cluster, controller: str) -> str:
    """Return the controller that wrote the orders with the highest fence."""
    rows = query_rows(cluster, controller, "show orders order by fence desc")
    return rows[0][3] if rows else ""


def measure_host_loss(engines: int, replicas: int) -> tuple[float, float]:
    """Kill a member; return the seconds until its group is excluded, then restored.

    With 8 engines there is no spare, so that the killed host is restarted.
    """
    declaration = DECLARATION.replace("replicas = 2", f"replicas = {replicas}")
    with running_cluster(engines, declaration) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == replicas)
        (first, *_) = query_rows(cluster, "controller0", "show groups order by group")
        victim = first[4].split()[1]
        cluster.kill(victim)
        excluded = seconds_until(cluster, lambda: ready_groups(cluster) < replicas)
        if engines == 8:
            text = (cluster.folder / f"{victim}.toml").read_text()
            path = cluster.folder / f"{victim}.toml"
            path.write_text(text + 'incarnation = "2"\n')
            cluster.start(victim)
        restored = seconds_until(cluster, lambda: ready_groups(cluster) == replicas)
        return excluded, restored


def running_cluster(engines: int, declaration: str):
    """Return a context manager for a cluster that serves by a declaration."""
    return _RunningCluster(engines, declaration)


class _RunningCluster:
    """Context manager that runs a cluster in a temporary folder."""

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


def measure_takeover() -> float:
    """Kill the planner; return the seconds until another writes orders."""
    with running_cluster(8, DECLARATION) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == 2)
        planner = orders_holder(cluster, "controller0")
        (other,) = [n for n in cluster.names("controller") if n != planner]
        cluster.kill(planner)
        body = b'{"name": "engine0", "state": "leaving"}'
        http("POST", cluster.url("platform", "/standin/host"), body)
        return seconds_until(cluster, lambda: orders_holder(cluster, other) == other)


def measure_leaving() -> float:
    """Let a host leave; return the seconds until its group gets no requests."""
    with running_cluster(8, DECLARATION) as cluster:
        cluster.wait_for(lambda: ready_groups(cluster) == 2)
        body = b'{"name": "engine0", "state": "leaving"}'
        http("POST", cluster.url("platform", "/standin/host"), body)
        return seconds_until(cluster, lambda: _is_avoided(cluster, "engine0"))


def _is_avoided(cluster: Cluster, engine: str) -> bool:
    def count() -> int:
        return len(http("GET", cluster.url(engine, "/standin/runs")).json)

    before = count()
    for number in range(12):
        cluster.complete(f"p{number}", f"gateway{number % 2}")
    return count() == before


def measure_change() -> float:
    """Apply a change; return the seconds until both gateways serve by it."""
    with running_cluster(8, DECLARATION) as cluster:
        changed = DECLARATION.replace('model = "meteor-7b"', 'model = "meteor-8b"')
        cluster.apply(changed, expect=1)

        def refused_everywhere() -> bool:
            answers = [cluster.complete("x", g) for g in cluster.names("gateway")]
            return all(a.status == 404 for a in answers)

        return seconds_until(cluster, refused_everywhere)


def run(*, smallest: bool) -> list[Report]:
    """Measure every bound once, or one of them at the smallest size."""
    if smallest:
        rows = [("acceptance to in force", measure_change())]
    else:
        spare_excluded, spare_restored = measure_host_loss(10, 2)
        excluded, restored = measure_host_loss(8, 2)
        rows = [
            ("kill of a member to its group's exclusion", spare_excluded),
            ("the same, second layout", excluded),
            ("exclusion to serving again, with a spare", spare_restored),
            ("exclusion to serving again, host restarted", restored),
            ("leaving to no new work", measure_leaving()),
            ("kill of the planner to another's orders", measure_takeover()),
            ("acceptance to in force at both gateways", measure_change()),
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
