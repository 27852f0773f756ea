"""Decide when engines move from a model with slack to one that is short of slots.

The load pattern: groups are formed by declared shares before traffic, but the smaller
of two models has eight times the work of the larger one. Its slots are full while 15 %
of the other's are in use. Waves of 11 to 15 s on top pass by themselves. A data centre
that is evacuated or lost takes a third of the engines within a second.

Loading takes 12 to 16 s, joining with staged weights 1 to 2 s. So the weights are
staged ahead of need, while the giving groups serve. A group is closed only when all of
its members have them and the other model is short of slots, for long or urgently.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from mallowpond.state.fleet import GroupKey, ModelSpec
from mallowpond.state.model_demand import WAVE_SECONDS, ModelDemand

# Share of a model's slots in use above which it is short of slots.
SHORT_UTILIZATION = 0.65
# Share above which swaps for a model are prepared. Loads take 12 s, and the loss of a
# third of the engines takes a model from 0.6 to 0.9 of its slots within a second.
PREPARE_UTILIZATION = 0.5
# Share below which, by all averages, no more weights are staged for a model.
QUIET_UTILIZATION = 0.4
# Share in use over the short average above which prepared groups are closed at once.
URGENT_UTILIZATION = 0.8
# Share above which streams probably wait. The planner does not know of waiting streams.
FULL_UTILIZATION = 0.95
# Time for which demand must be observed before swaps are prepared or closed urgently.
MIN_OBSERVED_SECONDS = 3.0
# Factor on the highest demand seen while less than a whole wave was observed, whose
# crest may be up to 1.55 times the mean.
EARLY_PEAK_FACTOR = 1.5
# One group in this many of a model, rounded down, may be prepared for others.
GROUPS_PER_PREPARED = 2
# Share of a model's remaining slots in use, at its peak and with one domain lost, up to
# which it can give up a group.
SLACK_UTILIZATION = 0.5
# Domains in which a model that gives up a group must keep groups.
MIN_DOMAINS = 2
# Time after a swap within which the model that received engines gives none, in seconds.
SWAP_BACK_SECONDS = 30.0
# One load in this many is kept for repairs and new targets while engines are staged.
LOADS_PER_RESERVED = 5


@dataclass(frozen=True, kw_only=True)
class ModelState:
    """What the decision knows of one model.

    groups: groups that serve or will do so soon, without those about to be given up,
        and with those that swaps under way will yield.
    domains: domain of each group that serves and is not about to be given up.
    data_centres: the data centre of each of these groups, in the same order.
    """

    spec: ModelSpec
    demand: ModelDemand
    groups: float
    domains: tuple[str, ...]
    data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Giver:
    """An open group, whole and in one domain.

    staged: number of its members by model staged on their hosts.
    """

    key: GroupKey
    model: str
    domain: str
    data_centre: str = ""
    staged: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class IdleTargets:
    """Free targets of one domain.

    available: number of them by the model whose weights they have or load.
    replaceable: number of them by the model whose weights they have, without those
        that load others.
    spares_needed: models that have groups in the domain, for each of which one free
        target stays as it is, to replace a lost member.
    """

    domain: str
    available: Mapping[str, int]
    replaceable: Mapping[str, int]
    spares_needed: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Swap:
    """Engines that change from one model to another.

    key: group that is given up; None if only free targets of the domain are used.
    loads: targets that must load weights.
    groups: groups of the taking model that they will make.
    """

    giver: str
    taker: str
    domain: str
    key: GroupKey | None
    loads: int
    groups: int


def is_short(model: ModelState, slots: int) -> bool:
    """Return whether a model will be short of slots, with all that is under way.

    A model without a group runs no streams, so its demand cannot be observed; it is
    short. Full slots count at once, since streams wait then.
    """
    return _exceeds(model, model.demand.lasting, SHORT_UTILIZATION * slots) or _exceeds(
        model, model.demand.short, FULL_UTILIZATION * slots
    )


def wants_preparation(model: ModelState, slots: int) -> bool:
    """Return whether swaps for a model should be prepared."""
    lower = min(model.demand.short, model.demand.long)
    return _exceeds(model, lower, PREPARE_UTILIZATION * slots)


def is_quiet(model: ModelState, slots: int) -> bool:
    """Return whether a model has had little demand over each of the averages."""
    demand = model.demand
    highest = max(demand.short, demand.long, demand.wave)
    return not _exceeds(model, highest, QUIET_UTILIZATION * slots)


def is_urgent(model: ModelState, slots: int) -> bool:
    """Return whether a model needs prepared groups at once."""
    return _exceeds(model, model.demand.short, URGENT_UTILIZATION * slots)


def needs_more_now(model: ModelState, slots: int) -> bool:
    """Return whether a model with an urgent need has too few slots still."""
    return _exceeds(model, model.demand.short, SHORT_UTILIZATION * slots)


def _exceeds(model: ModelState, streams: float, per_group: float) -> bool:
    return model.groups <= 0 or streams > per_group * model.groups


def can_give(model: ModelState, slots: int, domain: str | None) -> bool:
    """Return whether a model has slack, after it gave up a group in `domain` if any.

    Its peak must fit also if the domain with most of the remaining groups is lost.
    """
    remaining = Counter(model.domains)
    if domain is not None:
        remaining[domain] -= 1
    remaining = +remaining
    if len(remaining) < MIN_DOMAINS:
        return False
    left = sum(remaining.values()) - max(remaining.values())
    return model.demand.peak < SLACK_UTILIZATION * left * slots


def loads_for_swaps(loads_at_once: int, loading: int) -> int:
    """Return how many loads swaps may begin beside those that are running."""
    return loads_at_once - loads_at_once // LOADS_PER_RESERVED - loading


def plan_idle_swap(
    *,
    models: Iterable[ModelState],
    idle: Iterable[IdleTargets],
    slots: int,
    loads_at_once: int,
    loading: int,
    received_at: Mapping[str, float],
    now: float,
) -> Swap | None:
    """Return the next swap of free targets, None if none is needed or allowed.

    received_at: when each model last received engines by a swap.
    """
    states = {model.spec.name: model for model in models}
    short = [model for model in states.values() if is_short(model, slots)]
    budget = loads_for_swaps(loads_at_once, loading)
    most = loads_for_swaps(loads_at_once, 0)
    found: list[tuple[tuple, Swap]] = []
    for taker in short:
        for swap in _idle_swaps(taker, states, idle, slots):
            is_back = now - received_at.get(swap.giver, -1e9) < SWAP_BACK_SECONDS
            if not is_back and min(swap.loads, most) <= budget:
                seconds = swap.loads * taker.spec.load_seconds
                found.append(((seconds, swap.domain), swap))
    return min(found, key=lambda item: item[0], default=(None, None))[1]


def plan_preparation(
    *,
    models: Iterable[ModelState],
    givers: Iterable[Giver],
    prepared: Iterable[tuple[Giver, str]],
    slots: int,
    loads: int,
    most_loads: int,
    received_at: Mapping[str, float],
    now: float,
) -> Swap | None:
    """Return the next group whose members should get another model staged, if any.

    The giver must have slack also if all of its prepared groups were given.

    prepared: groups with another model staged or being staged, with that model.
    loads: how many loads may begin now; most_loads: how many if none were running.
    """
    states = {model.spec.name: model for model in models}
    prepared = list(prepared)
    found: list[tuple[tuple, Swap]] = []
    for taker in states.values():
        if not wants_preparation(taker, slots):
            continue
        # Groups of the taker in each domain and data centre after all prepared swaps.
        places = Counter(taker.domains)
        centres = Counter(taker.data_centres)
        for group, name in prepared:
            if name == taker.spec.name:
                made = states[group.model].spec.size // taker.spec.size
                places[group.domain] += made
                centres[group.data_centre] += made
        for group in givers:
            giver = states.get(group.model)
            if giver is None or giver is taker or giver.spec.size % taker.spec.size:
                continue
            if now - received_at.get(group.model, -1e9) < SWAP_BACK_SECONDS:
                continue
            missing = giver.spec.size - group.staged.get(taker.spec.name, 0)
            if min(missing, most_loads) > loads:
                continue
            if not _can_prepare(giver, group, prepared, slots):
                continue
            swap = Swap(
                giver=group.model,
                taker=taker.spec.name,
                domain=group.domain,
                key=group.key,
                loads=missing,
                groups=giver.spec.size // taker.spec.size,
            )
            rank = (
                missing,
                centres[group.data_centre],
                places[group.domain],
                -giver.domains.count(group.domain),
                group.key,
            )
            found.append((rank, swap))
    return min(found, key=lambda item: item[0], default=(None, None))[1]


def _can_prepare(
    giver: ModelState,
    group: Giver,
    prepared: Iterable[tuple[Giver, str]],
    slots: int,
) -> bool:
    """Return whether a model could give a group in addition to the prepared ones."""
    given = [other.domain for other, _ in prepared if other.model == group.model]
    if GROUPS_PER_PREPARED * (len(given) + 1) > len(giver.domains):
        return False
    left = Counter(giver.domains) - Counter(given)
    return can_give(replace(giver, domains=tuple(left.elements())), slots, group.domain)


def _idle_swaps(
    taker: ModelState,
    states: Mapping[str, ModelState],
    idle: Iterable[IdleTargets],
    slots: int,
) -> Iterable[Swap]:
    size = taker.spec.size
    for targets in idle:
        missing = size - targets.available.get(taker.spec.name, 0) % size
        for name, count in targets.replaceable.items():
            giver = states.get(name)
            if giver is None or giver is taker or not can_give(giver, slots, None):
                continue
            if count - (name in targets.spares_needed) >= missing:
                yield Swap(
                    giver=name,
                    taker=taker.spec.name,
                    domain=targets.domain,
                    key=None,
                    loads=missing,
                    groups=1,
                )


@dataclass(frozen=True, kw_only=True)
class SwapDecision:
    """A step of a swap and the states that led to it.

    action: `prepare` when the weights of the taker are staged on a group that serves
        on, `close` when that group is closed, `begin` when free targets are used.
    reason: `early`, `lasting` or `urgent`.
    """

    action: str
    reason: str
    swap: Swap
    giver: ModelState
    taker: ModelState


@dataclass(frozen=True, kw_only=True)
class RebalancingView:
    """Input of one planning round for swaps.

    demand: slots of each model in use.
    covered_seconds: for how long the demand was observed.
    under_way: model that takes the engines of each group that this planner prepares or
        gives up.
    received_at: when each model last received engines by a swap.
    """

    demand: Mapping[str, ModelDemand]
    covered_seconds: float
    under_way: Mapping[GroupKey, str] = field(default_factory=dict)
    received_at: Mapping[str, float] = field(default_factory=dict)

    @property
    def covers_wave(self) -> bool:
        """Return whether the demand was observed for the whole of `WAVE_SECONDS`."""
        return self.covered_seconds >= WAVE_SECONDS


class SwapRecords:
    """The swaps that this planner began, until the giving groups are gone."""

    def __init__(self) -> None:
        self.under_way: dict[GroupKey, str] = {}
        self.received_at: dict[str, float] = {}

    def reset(self) -> None:
        """Drop all records."""
        self.under_way.clear()
        self.received_at.clear()

    def record(self, decision: SwapDecision, now: float) -> None:
        """Record a step of a swap, whoever began it.

        Groups that are only prepared have not changed model, so they do not count for
        the time within which the taker gives none.
        """
        swap = decision.swap
        if swap.key is not None:
            self.under_way[swap.key] = swap.taker
        if decision.action != "prepare":
            self.received_at[swap.taker] = now

    def prune(self, groups: Iterable[GroupKey]) -> None:
        """Drop swaps whose giving group is gone."""
        known = set(groups)
        self.under_way = {k: m for k, m in self.under_way.items() if k in known}
