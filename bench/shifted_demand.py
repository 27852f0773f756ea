"""Simulate demand that differs from the declared shares for the formation planner.

Groups are formed half and half. The smaller model then gets more work than its slots
take, the larger one a fraction of it, with waves on both; engines die in pairs or not.
Compared with and without moving engines between the models.
"""

from dataclasses import dataclass, field
from math import pi, sin
from statistics import mean

from bench.formation import PATTERNS, TICK_SECONDS, Pattern, Replay, Site, profile_of
from bench.report import Report
from mallowpond.state.model_demand import DemandTracker
from mallowpond.state.rebalancing import RebalancingView, SwapDecision, SwapRecords

DAY_SECONDS = 120.0


@dataclass(frozen=True, kw_only=True)
class Load:
    """Streams at once by model, in slots of the groups formed at the start, and a wave.

    amplitude, period: of the wave, as a share of the mean and in seconds.
    """

    large: float
    small: float
    amplitude: float
    period: float


SITES = (
    (
        Site(
            name="domains of 19, sizes 8 and 4",
            domain_size=19,
            domains=3,
            profile=profile_of(
                8, 0.5, 4, 0.5, slots=17, loads_per_second=14, loads_at_once=21
            ),
            needed={},
        ),
        Load(large=0.15, small=1.2, amplitude=0.2, period=11.0),
    ),
    (
        Site(
            name="domains of 37, sizes 16 and 4",
            domain_size=37,
            profile=profile_of(
                16, 0.5, 4, 0.5, slots=15, loads_per_second=14, loads_at_once=21
            ),
            needed={},
        ),
        Load(large=0.15, small=1.2, amplitude=0.55, period=15.0),
    ),
)
QUIET = Pattern(name="none die")


@dataclass(kw_only=True)
class ShiftedReplay(Replay):
    """A day with shifted demand; counts streams that want a slot and that find one."""

    load: Load
    rebalances: bool
    tracker: DemandTracker = field(default_factory=DemandTracker)
    records: SwapRecords = field(default_factory=SwapRecords)
    initial_slots: dict = field(default_factory=dict)
    running: dict = field(default_factory=dict)
    wanted: dict = field(default_factory=lambda: {"large": [], "small": []})
    found: dict = field(default_factory=lambda: {"large": [], "small": []})
    groups: dict = field(default_factory=dict)
    swaps: int = 0
    day_seconds: float = DAY_SECONDS

    def _utilization(self, capacity: dict) -> dict[str, float]:
        slots = {
            name: self.site.profile.slots * capacity["open"][name]
            for name in ("large", "small")
        }
        self.groups = dict(capacity["open"])
        if self.now < 0:
            self.initial_slots = slots
            return dict.fromkeys(slots, 0.0)
        wave = 1.0 + self.load.amplitude * sin(2 * pi * self.now / self.load.period)
        for name, available in slots.items():
            demand = getattr(self.load, name) * self.initial_slots[name] * wave
            self.running[name] = min(demand, available)
            self.wanted[name].append(demand)
            self.found[name].append(self.running[name])
        self.tracker.record(self.running, self.now)
        return {
            name: self.running[name] / available if available else 1.0
            for name, available in slots.items()
        }

    def _rebalancing(self) -> RebalancingView | None:
        if not self.rebalances or self.now < 0:
            return None
        if self.records.under_way:
            self.records.prune(self._groups())
        return RebalancingView(
            demand={n: self.tracker.demand(n, self.now) for n in ("large", "small")},
            covered_seconds=self.tracker.covered_seconds(self.now),
            under_way=self.records.under_way,
            received_at=self.records.received_at,
        )

    def _record_swaps(self, swaps: tuple[SwapDecision, ...]) -> None:
        for decision in swaps:
            self.records.record(decision, self.now)
            self.swaps += decision.action != "prepare"

    def share(self, model: str, after: float) -> float:
        """Return the share of a model's streams that found a slot after a time."""
        first = round(after / TICK_SECONDS)
        wanted = sum(self.wanted[model][first:])
        return sum(self.found[model][first:]) / wanted if wanted else 1.0


def run(*, seeds: range) -> list[Report]:
    """Measure both sites, without and with moving engines."""
    return [_report(site, load, seeds) for site, load in SITES]


def _report(site: Site, load: Load, seeds: range) -> Report:
    rows = []
    for pattern in (QUIET, PATTERNS[0]):
        for rebalances in (False, True):
            days = [
                ShiftedReplay(
                    pattern=pattern,
                    site=site,
                    seed=seed,
                    load=load,
                    rebalances=rebalances,
                )
                for seed in seeds
            ]
            results = [day.run() for day in days]
            rows.append(
                (
                    f"{pattern.name}, {'moved' if rebalances else 'as formed'}",
                    *(
                        round(mean(day.share(model, after) for day in days), 3)
                        for after in (0.0, DAY_SECONDS / 2)
                        for model in ("large", "small")
                    ),
                    *(
                        round(mean(day.groups.get(n, 0) for day in days), 1)
                        for n in ("large", "small")
                    ),
                    round(mean(day.swaps for day in days), 1),
                    round(mean(r.loads for r in results), 1),
                    round(mean(r.orders for r in results)),
                )
            )
    return Report(
        title=f"Streams that find a slot under shifted demand, {site.name}",
        columns=(
            "pattern",
            "large",
            "small",
            "large, 2nd half",
            "small, 2nd half",
            "large groups",
            "small groups",
            "swaps",
            "loads",
            "orders",
        ),
        rows=tuple(rows),
        notes=(
            f"shares of streams; groups at the end of {DAY_SECONDS:.0f} s; "
            f"{len(seeds)} seeds",
        ),
    )
