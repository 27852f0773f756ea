"""Simulate host failures for the group planner and a baseline."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench.report import Report, best_seconds
from mallowpond.state.declarations import Deployment, Weights
from mallowpond.state.planner import (
    Action,
    Dissolve,
    Form,
    PlanGroup,
    PlanHost,
    Repair,
    plan,
    stranded,
)

SKYFALL = Weights(group_downtime=10.0, stranded_accelerators=0.0001)
KURUL = Weights(group_downtime=1.0, stranded_accelerators=0.05)
LOAD_SECONDS = 60.0
WARM_UP_SECONDS = 1200.0
REGROUP_SECONDS = 5.0
DAY = 86400.0
Planner = Callable[..., tuple[Action, ...]]


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Hosts, their deployments, and the mean time between failures and of outages.

    `loading_slots` is the number of hosts that can load weights at once.
    """

    domains: int
    hosts_per_domain: int
    deployments: tuple[Deployment, ...]
    loading_slots: int
    seconds: float
    host_mtbf: float = 8 * 3600.0
    host_down: float = 600.0
    domain_mtbf: float = 3 * DAY
    domain_down: float = 900.0


@dataclass(frozen=True, kw_only=True)
class Result:
    """Downtime in group-seconds and stranded capacity in accelerator-seconds.

    `large_downtime` is the downtime of the first deployment alone, `downtime` of all.
    `bound` is the least downtime that any planner could reach.
    """

    downtime: float
    large_downtime: float
    stranded: float
    bound: float
    plans: int


@dataclass(kw_only=True)
class Replay:
    """Discrete event simulation of a fleet with one planner."""

    fleet: Fleet
    planner: Planner
    seed: int
    hosts: dict[str, PlanHost] = field(default_factory=dict)
    groups: dict[str, PlanGroup] = field(default_factory=dict)
    warm: dict[str, str] = field(default_factory=dict)
    events: list = field(default_factory=list)
    ready_at: dict[str, float] = field(default_factory=dict)
    loader_free_at: list[float] = field(default_factory=list)
    outage_counts: dict[str, float] = field(default_factory=dict)
    sequence: int = 0

    def run(self) -> Result:
        """Simulate all events and return the result."""
        self._draw_events()
        now = downtime = large_downtime = stranded_total = bound = 0.0
        plans = 0
        while self.events and self.events[0][0] <= self.fleet.seconds:
            at = self.events[0][0]
            # Planners do not differ in the first loads of the groups, so that the
            # warm-up is not counted.
            span = max(0.0, at - max(now, WARM_UP_SECONDS))
            downtime += span * self._missing(self.fleet.deployments)
            large_downtime += span * self._missing(self.fleet.deployments[:1])
            stranded_total += span * self._stranded()
            bound += span * self._least_missing()
            now = at
            while self.events and self.events[0][0] == at:
                _, _, kind, name = heapq.heappop(self.events)
                self._apply_event(kind, name, now)
            plans += self._plan_until_stable(now)
        return Result(
            downtime=downtime,
            large_downtime=large_downtime,
            stranded=stranded_total,
            bound=bound,
            plans=plans,
        )

    def _draw_events(self) -> None:
        rng = random.Random(self.seed)
        fleet = self.fleet
        for domain in range(fleet.domains):
            for number in range(fleet.hosts_per_domain):
                name = f"h{domain:03}-{number:02}"
                self.hosts[name] = PlanHost(
                    name=name, domain=f"d{domain:03}", accelerators=8
                )
                self._draw_failures(rng, name, fleet.host_mtbf, fleet.host_down)
            domain_name = f"d{domain:03}"
            self._draw_failures(rng, domain_name, fleet.domain_mtbf, fleet.domain_down)
        self.loader_free_at = [0.0] * fleet.loading_slots
        self._push(0.0, "start", "")

    def _draw_failures(
        self, rng: random.Random, name: str, mtbf: float, down: float
    ) -> None:
        at = WARM_UP_SECONDS + rng.expovariate(1 / mtbf)
        while at < self.fleet.seconds:
            back = at + rng.expovariate(1 / down)
            self._push(at, "down", name)
            self._push(back, "up", name)
            at = back + rng.expovariate(1 / mtbf)

    def _push(self, at: float, kind: str, name: str) -> None:
        heapq.heappush(self.events, (at, len(self.events) + self.sequence, kind, name))
        self.sequence += 1

    def _apply_event(self, kind: str, name: str, now: float) -> None:
        match kind:
            case "down" | "up":
                step = 1 if kind == "down" else -1
                for host in self._hosts_of(name):
                    self._count_outage(host, step)
            case "ready" if self.ready_at.get(name) == now:
                self.groups[name] = replace(self.groups[name], serving=True)

    def _hosts_of(self, name: str) -> list[str]:
        if name in self.hosts:
            return [name]
        return [h.name for h in self.hosts.values() if h.domain == name]

    def _count_outage(self, host: str, step: int) -> None:
        outages = self.outage_counts.get(host, 0) + step
        self.outage_counts[host] = outages
        self.hosts[host] = replace(self.hosts[host], usable=outages == 0)
        if step == 1:
            self.warm.pop(host, None)
            for group in self.groups.values():
                if host in group.hosts:
                    lost = group.lost | {host}
                    self.groups[group.name] = replace(group, lost=lost, serving=False)
                    self.ready_at.pop(group.name, None)
                    return

    def _plan_until_stable(self, now: float) -> int:
        for count in range(1, 6):
            actions = self.planner(
                hosts=self._hosts_with_groups(),
                deployments=self.fleet.deployments,
                groups=list(self.groups.values()),
            )
            for action in actions:
                self._apply_action(action, now)
            if not actions:
                return count
        return count

    def _hosts_with_groups(self) -> list[PlanHost]:
        bound = {h: g.name for g in self.groups.values() for h in g.hosts}
        return [replace(h, group=bound.get(h.name)) for h in self.hosts.values()]

    def _apply_action(self, action: Action, now: float) -> None:
        match action:
            case Dissolve(group=name):
                self.groups.pop(name)
                self.ready_at.pop(name, None)
            case Repair(group=name, hosts=hosts):
                self._start(name, self.groups[name].deployment, hosts, now)
            case Form(deployment=deployment, hosts=hosts):
                self.sequence += 1
                self._start(f"g{self.sequence}", deployment, hosts, now)

    def _start(
        self, name: str, deployment: str, hosts: tuple[str, ...], now: float
    ) -> None:
        """Start a group; cold hosts load the weights, limited by slots."""
        ready = now + REGROUP_SECONDS
        for host in hosts:
            if self.warm.get(host) == deployment:
                continue
            begin = max(now, heapq.heappop(self.loader_free_at))
            heapq.heappush(self.loader_free_at, begin + LOAD_SECONDS)
            ready = max(ready, begin + LOAD_SECONDS)
            self.warm[host] = deployment
        self.groups[name] = PlanGroup(
            name=name, deployment=deployment, hosts=hosts, serving=False
        )
        self.ready_at[name] = ready
        self._push(ready, "ready", name)

    def _missing(self, deployments: tuple[Deployment, ...]) -> int:
        names = {d.name for d in deployments}
        serving = sum(g.serving for g in self.groups.values() if g.deployment in names)
        return sum(d.replicas for d in deployments) - serving

    def _stranded(self) -> int:
        return stranded(
            hosts=self.hosts.values(),
            deployments=self.fleet.deployments,
            groups=self.groups.values(),
        )

    def _least_missing(self) -> int:
        """Return the least number of missing groups that any planner could reach.

        It assumes instant loads, tries every number of groups of the first deployment,
        and takes the groups of the others as single hosts.
        """
        free: dict[str, int] = {}
        for host in self.hosts.values():
            free[host.domain] = free.get(host.domain, 0) + host.usable
        large, *small = self.fleet.deployments
        size = large.hosts_per_group
        max_large = min(large.replicas, sum(count // size for count in free.values()))
        singles = sum(d.replicas for d in small)
        total = sum(free.values())
        formed = max(n + min(singles, total - n * size) for n in range(max_large + 1))
        return large.replicas + singles - formed


def dissolve_and_first_fit(*, hosts, deployments, groups) -> tuple[Action, ...]:
    """Plan as a baseline: dissolve broken groups and form new ones by first fit."""
    hosts = list(hosts)
    usable = {h.name for h in hosts if h.usable}
    broken = [g for g in groups if g.lost or not usable.issuperset(g.hosts)]
    actions: list[Action] = [Dissolve(group=g.name, reason="broken") for g in broken]
    kept = [g for g in groups if g not in broken]
    bound = {h for g in kept for h in g.hosts}
    free: dict[str, list[str]] = {}
    for host in hosts:
        if host.usable and host.name not in bound:
            free.setdefault(host.domain, []).append(host.name)
    for one in deployments:
        existing = sum(g.deployment == one.name for g in kept)
        for _ in range(one.replicas - existing):
            fitting = [d for d in free if len(free[d]) >= one.hosts_per_group]
            if not fitting:
                break
            pool = free[fitting[0]]
            chosen = tuple(pool[: one.hosts_per_group])
            free[fitting[0]] = pool[one.hosts_per_group :]
            actions.append(Form(deployment=one.name, hosts=chosen))
    return tuple(actions)


def deployment(name: str, replicas: int, size: int, weights: Weights) -> Deployment:
    """Return a deployment of groups of `size` hosts."""
    return Deployment(
        name=name,
        model=name,
        replicas=replicas,
        hosts_per_group=size,
        load_seconds=LOAD_SECONDS,
        weights=weights,
    )


def current_fleet(weights: Weights, replicas: int, seconds: float) -> Fleet:
    """Return a fleet of today's size: 50 engines, a large and a small model."""
    return Fleet(
        domains=5,
        hosts_per_domain=10,
        deployments=(
            deployment("large", replicas, 4, weights),
            deployment("small", 12, 1, replace(weights, group_downtime=0.5)),
        ),
        loading_slots=8,
        seconds=seconds,
    )


def two_year_fleet(weights: Weights, replicas: int, seconds: float) -> Fleet:
    """Return a fleet of the size that is expected in two years."""
    return Fleet(
        domains=134,
        hosts_per_domain=32,
        deployments=(deployment("large", replicas, 8, weights),),
        loading_slots=256,
        seconds=seconds,
        domain_mtbf=60 * DAY,
    )


def run(*, smallest: bool) -> list[Report]:
    """Compare planners on the same failures."""
    seeds = (1,) if smallest else (1, 2, 3)
    seconds = 4 * 3600.0 if smallest else 2 * DAY
    reports = [_compare("Site of today, 9 large groups wanted", 9, seeds, seconds)]
    if not smallest:
        tight = "Site of today without spares, 10 large groups wanted"
        reports.append(_compare(tight, 10, seeds, seconds))
        reports.append(_compare_large())
    reports.append(_planner_time(smallest))
    return reports


def _compare(title: str, replicas: int, seeds, seconds: float) -> Report:
    cases = [
        ("dissolve, first fit", dissolve_and_first_fit, SKYFALL),
        ("ours, Skyfall's weights", plan, SKYFALL),
        ("ours, Kurul's weights", plan, KURUL),
    ]
    rows = []
    for name, planner, weights in cases:
        fleet = current_fleet(weights, replicas, seconds)
        results = [Replay(fleet=fleet, planner=planner, seed=s).run() for s in seeds]
        rows.append((name, *_totals(results)))
    return Report(title=title, columns=_COLUMNS, rows=tuple(rows))


_COLUMNS = (
    "planner",
    "downtime (group-h)",
    "of large groups",
    "bound for all",
    "stranded (accelerator-h)",
    "plans",
)


def _totals(results: list[Result]) -> tuple[float, float, float, float, int]:
    return (
        sum(r.downtime for r in results) / 3600,
        sum(r.large_downtime for r in results) / 3600,
        sum(r.bound for r in results) / 3600,
        sum(r.stranded for r in results) / 3600,
        sum(r.plans for r in results),
    )


def _compare_large() -> Report:
    rows = []
    planners = (("dissolve, first fit", dissolve_and_first_fit), ("ours", plan))
    for name, planner in planners:
        large = two_year_fleet(SKYFALL, 130, WARM_UP_SECONDS + 3600.0)
        fleet = replace(large, domains=34, loading_slots=64)
        result = Replay(fleet=fleet, planner=planner, seed=1).run()
        rows.append((name, *_totals([result])))
    title = "1,088 hosts in 34 domains, 130 groups of 8, an hour"
    return Report(title=title, columns=_COLUMNS, rows=tuple(rows))


def _planner_time(smallest: bool) -> Report:
    rows = []
    for domains in (2, 8) if smallest else (2, 13, 34, 134):
        fleet = replace(two_year_fleet(SKYFALL, domains * 4 - 1, 60.0), domains=domains)
        replay = Replay(fleet=fleet, planner=plan, seed=1)
        replay.run()
        name = next(iter(replay.groups))
        broken = replace(
            replay.groups[name], lost=frozenset(replay.groups[name].hosts[:1])
        )
        replay.groups[name] = broken
        hosts, groups = replay._hosts_with_groups(), list(replay.groups.values())
        took = best_seconds(
            lambda h=hosts, g=groups, f=fleet: plan(
                hosts=h, deployments=f.deployments, groups=g
            )
        )
        rows.append((len(hosts), took * 1e3, took * 1e6 / len(hosts)))
    return Report(
        title="One plan with one broken group",
        columns=("hosts", "time (ms)", "slope (us/host)"),
        rows=tuple(rows),
    )
