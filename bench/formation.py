"""Simulate losses and replacements of engines for the formation planner.

Of some fifty engines in domains of eight or nine, two group members die every three
seconds, and empty engines are added; or half of the engines are replaced in turn. The
model covers only engines, their weights and their groups; orders take effect after a
fixed delay, in virtual time.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from statistics import mean

from bench.report import Report
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupPhase,
    Membership,
    ModelSpec,
    Target,
    assemble_groups,
)
from mallowpond.state.formation import plan_round
from mallowpond.state.formation_view import (
    Close,
    Formation,
    FormationView,
    Join,
    Leave,
    Open,
    Stage,
    Step,
)
from mallowpond.state.rebalancing import RebalancingView, SwapDecision


def profile_of(
    large: int,
    large_share: float,
    small: int,
    small_share: float,
    *,
    slots: int = 13,
    loads_per_second: float = 4.5,
    loads_at_once: int = 6,
) -> EngineProfile:
    """Return a profile of engines that serve a large and a small model."""
    models = (
        ModelSpec(
            name="large",
            size=large,
            share=large_share,
            load_seconds=16,
            warm_seconds=1.6,
        ),
        ModelSpec(
            name="small",
            size=small,
            share=small_share,
            pace=0.6,
            load_seconds=12,
            warm_seconds=1.1,
        ),
    )
    return EngineProfile(
        slots=slots,
        models=models,
        loads_per_second=loads_per_second,
        loads_at_once=loads_at_once,
        cross_domain_factor=2.5,
    )


@dataclass(frozen=True, kw_only=True)
class Site:
    """A site with the same number of domains in each of three data centres.

    `needed` is the number of groups that can carry the traffic of each model; with
    fewer, streams are delayed.
    """

    name: str
    domain_size: int
    profile: EngineProfile
    needed: dict[str, float]
    domains: int = 2


SITES = (
    Site(
        name="domains of 9, sizes 4 and 3",
        domain_size=9,
        profile=profile_of(4, 0.57, 3, 0.43),
        needed={"large": 4.0, "small": 4.0},
    ),
    Site(
        name="domains of 8, sizes 4 and 2",
        domain_size=8,
        profile=profile_of(4, 0.67, 2, 0.33),
        needed={"large": 5.0, "small": 3.5},
    ),
)
DATA_CENTRES = "abc"
TICK_SECONDS = 0.1
WARM_UP_SECONDS = 12.0
DAY_SECONDS = 44.0
# Time from the death of a member until the planner detects it, and until the engine
# list drops it, in seconds.
DETECTION_SECONDS = 0.8
UNLISTED_SECONDS = 3.6
STALL_SECONDS = 4.0
REJOIN_SECONDS = 0.5
OPENING_SECONDS = 0.5
DRAINING_SECONDS = 1.5
LEAVING_SECONDS = 3.0
# Maximum time for which a leaving member stays while its group has work, in seconds.
MAX_BUSY_STAY_SECONDS = 10.0
ORDER_SECONDS = 0.2


@dataclass(kw_only=True)
class Engine:
    """State of one engine; times are seconds of virtual time."""

    name: str
    domain: str
    died_at: float = float("inf")
    stop_announced_at: float = float("inf")
    leaves_at: float = float("inf")
    staged: str = ""
    model: str = ""
    staging: str = ""
    staged_at: float = 0.0
    membership: Membership | None = None
    ready_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Pattern:
    """Losses, additions and replacements of engines in one simulated day."""

    name: str
    pairs_lost: int = 0
    pairs_added: int = 0
    loses_domain: bool = False
    replaced: int = 0


PATTERNS = (
    Pattern(name="pairs die", pairs_lost=9, pairs_added=7),
    Pattern(name="pairs die, domain dark", pairs_lost=9, pairs_added=6, loses_domain=1),
    Pattern(name="engines replaced", replaced=27),
    Pattern(name="both", pairs_lost=6, pairs_added=4, replaced=14),
)


@dataclass(frozen=True, kw_only=True)
class Result:
    """Result of one day.

    `served` is the mean share of the needed capacity by model, `cross_domain_groups`
    the mean number of open groups that span domains.
    """

    served: dict[str, float]
    cross_domain_groups: float
    loads: int
    orders: int


@dataclass(kw_only=True)
class Replay:
    """Simulation of one pattern with the planner."""

    pattern: Pattern
    site: Site
    seed: int
    weights: tuple[float, float] = (0.5, 0.5)
    engines: dict[str, Engine] = field(default_factory=dict)
    events: list = field(default_factory=list)
    now: float = -WARM_UP_SECONDS
    epoch: int = 1
    formations: dict = field(default_factory=dict)
    first_seen: dict = field(default_factory=dict)
    closed: set = field(default_factory=set)
    closing_until: dict = field(default_factory=dict)
    broken_at: dict = field(default_factory=dict)
    busy: dict = field(default_factory=dict)
    loads_begun: list = field(default_factory=list)
    loads: int = 0
    orders: int = 0
    day_seconds: float = DAY_SECONDS

    def run(self) -> Result:
        """Simulate the warm-up and the day."""
        rng = random.Random(self.seed)
        domain = self.site.domain_size
        for data_centre in DATA_CENTRES:
            for number in range(self.site.domains * domain):
                self._add_engine(f"{data_centre}{number // domain}")
        self._draw_events(rng, DATA_CENTRES)
        served = defaultdict(list)
        cross_domain_groups = []
        while self.now < self.day_seconds:
            while self.events and self.events[0][0] <= self.now:
                _, kind, where = self.events.pop(0)
                self._apply_event(kind, where, rng)
            self._advance()
            capacity = self._capacity()
            if self.now >= 0:
                cross_domain_groups.append(capacity["far"])
                for name, need in self.site.needed.items():
                    served[name].append(min(1.0, capacity[name] / need))
            self._plan(capacity)
            self.now += TICK_SECONDS
        return Result(
            served={name: mean(values) for name, values in served.items()},
            cross_domain_groups=mean(cross_domain_groups),
            loads=self.loads,
            orders=self.orders,
        )

    def _add_engine(self, domain: str) -> None:
        name = f"e{len(self.engines):03}"
        self.engines[name] = Engine(name=name, domain=domain)

    def _draw_events(self, rng: random.Random, zones: str) -> None:
        at, offset = 2.0 + rng.random(), rng.randrange(3)
        for number in range(self.pattern.pairs_lost):
            kind = "lose"
            if self.pattern.loses_domain and number == 3:
                kind = "dark"
            self.events.append((at, kind, zones[(offset + number) % 3]))
            at += 2.0 + 2.0 * rng.random()
        at = 11.0 + rng.random()
        for number in range(self.pattern.pairs_added):
            self.events.append((at, "add", zones[(offset + number) % 3]))
            at += 2.0 + 2.0 * rng.random()
        for number in range(self.pattern.replaced):
            self.events.append((2.0 + number * 0.85, "replace", ""))
        self.events.sort()

    def _apply_event(self, kind: str, where: str, rng: random.Random) -> None:
        alive = [e for e in self.engines.values() if e.died_at > self.now]
        in_zone = [e for e in alive if e.domain.startswith(where)]
        match kind:
            case "lose":
                joined = [e for e in in_zone if e.membership] or in_zone
                for engine in rng.sample(joined, 2):
                    engine.died_at = self.now
            case "dark":
                domain = rng.choice([f"{where}0", f"{where}1"])
                for engine in in_zone:
                    if engine.domain != domain:
                        continue
                    engine.died_at = self.now
                    back = (self.now + 8.1, "back", (domain, engine.staged))
                    self.events.append(back)
                self.events.sort(key=lambda event: event[0])
            case "back":
                self._add_engine(where[0])
                list(self.engines.values())[-1].staged = where[1]
            case "add":
                domain = rng.choice([f"{where}0", f"{where}1"])
                for _ in range(2):
                    self._add_engine(domain)
            case "replace":
                old = [e for e in alive if e.leaves_at == float("inf") and e.staged]
                if old:
                    engine = rng.choice(old)
                    self._add_engine(engine.domain)
                    engine.stop_announced_at = self.now
                    engine.leaves_at = self.now + LEAVING_SECONDS

    def _groups(self) -> dict[tuple[str, int], Group]:
        return assemble_groups(self._targets())

    def _targets(self) -> list[Target]:
        return [
            Target(
                id=e.name,
                service="engines",
                address=e.name,
                data_centre=e.domain[0],
                slots=13,
                draining=e.leaves_at < float("inf"),
                domain=e.domain,
                model=e.model,
                staged=(e.staged,) if e.staged else (),
                membership=e.membership,
            )
            for e in self.engines.values()
            if self.now < e.died_at + (UNLISTED_SECONDS if e.leaves_at > 99 else 0.0)
        ]

    def _advance(self) -> None:
        for engine in self.engines.values():
            if engine.leaves_at <= self.now and not self._is_kept_by_work(engine):
                engine.died_at = min(engine.died_at, self.now)
            if engine.staging and engine.staged_at <= self.now:
                engine.staged, engine.staging = engine.staging, ""
            membership = engine.membership
            if membership and membership.phase is GroupPhase.JOINING:
                if engine.ready_at <= self.now:
                    engine.membership = replace(membership, phase=GroupPhase.READY)
        for key, until in list(self.closing_until.items()):
            if until <= self.now:
                del self.closing_until[key]
                self._set_phase(key, GroupPhase.CLOSING, GroupPhase.READY)
        for key, group in self._groups().items():
            is_whole = self._is_whole(group)
            if group.phase in (GroupPhase.OPEN, GroupPhase.CLOSING) and not is_whole:
                broken_since = self.broken_at.setdefault(key, self.now)
                if self.now - broken_since > STALL_SECONDS:
                    self._set_phase(key, group.phase, GroupPhase.BROKEN)

    def _is_kept_by_work(self, engine: Engine) -> bool:
        """Return whether a leaving member has to stay because its group has work."""
        if engine.membership is None or engine.membership.rank == 0:
            return False
        group = self._groups().get((engine.membership.group, engine.membership.epoch))
        is_working = group is not None and group.phase in (
            GroupPhase.OPEN,
            GroupPhase.CLOSING,
        )
        return (
            is_working and self.now - engine.stop_announced_at < MAX_BUSY_STAY_SECONDS
        )

    def _set_phase(self, key, before: GroupPhase, after: GroupPhase) -> None:
        for engine in self.engines.values():
            membership = engine.membership
            if (
                membership
                and (membership.group, membership.epoch) == key
                and membership.phase is before
            ):
                engine.membership = replace(membership, phase=after)

    def _is_whole(self, group: Group) -> bool:
        size = self.site.profile.model(group.model).size
        members = [self.engines[member.id] for member in group.members]
        return len(members) == size and all(e.died_at > self.now for e in members)

    def _capacity(self) -> dict[str, float]:
        results = {"large": 0.0, "small": 0.0, "far": 0.0, "open": defaultdict(int)}
        for group in self._groups().values():
            if group.phase is GroupPhase.OPEN and self._is_whole(group):
                slowdown = self.site.profile.cross_domain_factor
                results[group.model] += 1.0 / slowdown if group.spans_domains else 1.0
                results["far"] += group.spans_domains
                results["open"][group.model] += 1
        return results

    def _plan(self, capacity: dict) -> None:
        groups = self._groups()
        self.closed &= groups.keys()
        for key in groups:
            self.first_seen.setdefault(key, self.now)
        self.formations = {
            key: known
            for key, known in self.formations.items()
            if key in groups or self.now - known.ordered_at < STALL_SECONDS
        }
        running = {}
        profile = self.site.profile
        utilization = self._utilization(capacity)
        for model in profile.models:
            slots = profile.slots * capacity["open"][model.name]
            running[model.name] = model.size * utilization[model.name] * slots
        total = sum(running.values())
        demand = {
            m.name: 0.5 * m.share + 0.5 * running[m.name] / total
            for m in profile.models
            if total > 10 and self.now > 0
        }
        view = FormationView(
            profile=profile,
            targets=tuple(self._targets()),
            now=self.now,
            next_epoch=self.epoch,
            demand=demand,
            utilization=utilization if self.now > 0 else {},
            streams={
                key: round(min(1.0, utilization[group.model]) * profile.slots)
                for key, group in groups.items()
                if group.phase is GroupPhase.OPEN
            },
            lost=frozenset(
                e.name
                for e in self.engines.values()
                if e.died_at + DETECTION_SECONDS < self.now
            ),
            busy=frozenset(n for n, at in self.busy.items() if at > self.now),
            formations=self.formations,
            first_seen=self.first_seen,
            closed=frozenset(self.closed),
            leaving_since={
                e.name: e.stop_announced_at
                for e in self.engines.values()
                if e.stop_announced_at < float("inf")
            },
            loads_begun=tuple(self.loads_begun),
            loading={e.name: e.staging for e in self.engines.values() if e.staging},
            is_before_traffic=self.now < 0,
            newest_target_at=-WARM_UP_SECONDS,
            rebalancing=self._rebalancing(),
        )
        planned = plan_round(view)
        self._record_swaps(planned.swaps)
        for step in planned.steps:
            self._carry_out(step)

    def _utilization(self, capacity: dict) -> dict[str, float]:
        """Return the slots in use of each model, as a share of those of open groups."""
        return {
            name: min(1.08, 0.9 * needed / max(0.1, capacity[name]))
            for name, needed in self.site.needed.items()
        }

    def _rebalancing(self) -> RebalancingView | None:
        return None

    def _record_swaps(self, swaps: tuple[SwapDecision, ...]) -> None:
        """Do nothing."""

    def _carry_out(self, step: Step) -> None:
        engine = self.engines[step.target.id]
        self.orders += 1
        self.busy[engine.name] = self.now + ORDER_SECONDS
        if isinstance(step, Join):
            self._record_formation(step)
        if engine.died_at <= self.now:
            return
        if isinstance(step, Open | Close) and engine.membership is None:
            # The engine left its group after the plan was made.
            return
        match step:
            case Join():
                self._join(engine, step)
            case Open():
                key = (step.group, step.epoch)
                self._set_phase(key, GroupPhase.READY, GroupPhase.READY)
                engine.membership = replace(engine.membership, phase=GroupPhase.OPEN)
            case Close():
                self.closed.add((step.group, step.epoch))
                engine.membership = replace(engine.membership, phase=GroupPhase.CLOSING)
                seconds = 0.1 if step.evict else DRAINING_SECONDS
                self.closing_until[(step.group, step.epoch)] = self.now + seconds
            case Leave():
                engine.membership = None
            case Stage():
                self._load(engine, step.model)

    def _record_formation(self, step: Join) -> None:
        self.epoch = max(self.epoch, step.epoch + 1)
        self.formations.setdefault(
            (step.group, step.epoch),
            Formation(
                group=step.group,
                epoch=step.epoch,
                model=step.model,
                members=step.members,
                ordered_at=self.now,
            ),
        )

    def _join(self, engine: Engine, step: Join) -> None:
        spec = self.site.profile.model(step.model)
        seconds = REJOIN_SECONDS
        if engine.model != step.model:
            seconds = spec.warm_seconds + 0.3
            if engine.staged != step.model:
                self._load(engine, step.model)
                seconds += max(0.0, engine.staged_at - self.now)
        engine.model = step.model
        engine.ready_at = self.now + seconds + OPENING_SECONDS
        engine.membership = Membership(
            group=step.group,
            epoch=step.epoch,
            rank=step.members.index(engine.name),
            phase=GroupPhase.JOINING,
        )

    def _load(self, engine: Engine, model: str) -> None:
        share = 0.1 if self.now < 0 else 1.0
        engine.staging = model
        engine.staged_at = (
            self.now + share * self.site.profile.model(model).load_seconds
        )
        if self.now >= 0:
            self.loads += 1
            self.loads_begun.append(self.now)


def run(*, smallest: bool) -> list[Report]:
    """Measure the served share for each site and pattern, and shifted demand."""
    seeds = range(1 if smallest else 20)
    patterns = PATTERNS[:1] if smallest else PATTERNS
    reports = [_report(site, patterns, seeds) for site in SITES]
    # Imported here, as it builds on this module.
    from bench import shifted_demand

    return [*reports, *shifted_demand.run(seeds=range(1 if smallest else 2))]


def _report(site: Site, patterns: tuple[Pattern, ...], seeds: range) -> Report:
    rows = []
    for pattern in patterns:
        results = [Replay(pattern=pattern, site=site, seed=s).run() for s in seeds]
        rows.append(
            (
                pattern.name,
                round(mean(r.served["large"] for r in results), 3),
                round(mean(r.served["small"] for r in results), 3),
                round(mean(r.cross_domain_groups for r in results), 2),
                round(mean(r.loads for r in results), 1),
                round(mean(r.orders for r in results)),
            )
        )
    return Report(
        title=f"Capacity for the traffic while engines die, {site.name}",
        columns=("pattern", "large", "small", "far groups", "loads", "orders"),
        rows=tuple(rows),
        notes=(f"1 is enough for all; {len(seeds)} seeds, six domains",),
    )
