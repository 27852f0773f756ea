"""Decide when engines move from a model with slack to one that is short of slots.

The load pattern: groups are formed by declared shares before traffic, but the smaller
of two models has eight times the work of the larger one. Its slots are full while 15 %
of the other's are in use. Waves of 11 to 15 s and bursts of a few seconds on top end
before weights are loaded, and must not move anything.

Loading takes 12 to 16 s, joining with staged weights 1 to 2 s. So the weights are
staged while the giving group serves, and the group is closed only when all are.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mallowpond.state.fleet import GroupKey, ModelSpec
from mallowpond.state.model_demand import ModelDemand

# Share of a model's slots in use above which it is short of slots.
SHORT_UTILIZATION = 0.65
# Share of a model's remaining slots in use, at its peak and with one domain lost, up to
# which it can give up a group.
SLACK_UTILIZATION = 0.5
# Domains in which a model that gives up a group must keep groups.
MIN_DOMAINS = 2
# One group in this many of a model is given up at a time, at least one.
GROUPS_PER_SWAP = 8
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
    """

    spec: ModelSpec
    demand: ModelDemand
    groups: float
    domains: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Giver:
    """An open group, whole and in one domain.

    staged: number of its members by model staged on their hosts.
    """

    key: GroupKey
    model: str
    domain: str
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
    short.
    """
    if model.groups <= 0:
        return True
    return model.demand.lasting > SHORT_UTILIZATION * model.groups * slots


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


def plan_swap(
    *,
    models: Iterable[ModelState],
    givers: Iterable[Giver],
    idle: Iterable[IdleTargets],
    slots: int,
    loads_at_once: int,
    loading: int,
    under_way: Mapping[str, int],
    received_at: Mapping[str, float],
    now: float,
) -> Swap | None:
    """Return the next swap to begin, None if none is needed, possible or allowed.

    under_way: groups of each model that are being given up.
    received_at: when each model last received engines by a swap.
    """
    states = {model.spec.name: model for model in models}
    short = [model for model in states.values() if is_short(model, slots)]
    budget = loads_for_swaps(loads_at_once, loading)
    most = loads_for_swaps(loads_at_once, 0)
    found: list[tuple[tuple, Swap]] = []
    for taker in short:
        for swap, rank in (
            *_idle_swaps(taker, states, idle, slots),
            *_group_swaps(taker, states, givers, slots, under_way),
        ):
            is_back = now - received_at.get(swap.giver, -1e9) < SWAP_BACK_SECONDS
            if not is_back and min(swap.loads, most) <= budget:
                found.append(((swap.key is not None, *rank, swap.domain), swap))
    return min(found, key=lambda item: item[0], default=(None, None))[1]


def _idle_swaps(
    taker: ModelState,
    states: Mapping[str, ModelState],
    idle: Iterable[IdleTargets],
    slots: int,
) -> Iterable[tuple[Swap, tuple]]:
    size = taker.spec.size
    for targets in idle:
        missing = size - targets.available.get(taker.spec.name, 0) % size
        for name, count in targets.replaceable.items():
            giver = states.get(name)
            if giver is None or giver is taker or not can_give(giver, slots, None):
                continue
            if count - (name in targets.spares_needed) >= missing:
                swap = Swap(
                    giver=name,
                    taker=taker.spec.name,
                    domain=targets.domain,
                    key=None,
                    loads=missing,
                    groups=1,
                )
                yield swap, (missing * taker.spec.load_seconds, 0, ())


def _group_swaps(
    taker: ModelState,
    states: Mapping[str, ModelState],
    givers: Iterable[Giver],
    slots: int,
    under_way: Mapping[str, int],
) -> Iterable[tuple[Swap, tuple]]:
    for group in givers:
        giver = states.get(group.model)
        if giver is None or giver is taker:
            continue
        whole, rest = divmod(giver.spec.size, taker.spec.size)
        total = len(giver.domains) + under_way.get(group.model, 0)
        if not whole or rest:
            continue
        if under_way.get(group.model, 0) >= max(1, total // GROUPS_PER_SWAP):
            continue
        if not can_give(giver, slots, group.domain):
            continue
        loads = giver.spec.size - group.staged.get(taker.spec.name, 0)
        swap = Swap(
            giver=group.model,
            taker=taker.spec.name,
            domain=group.domain,
            key=group.key,
            loads=loads,
            groups=whole,
        )
        # Of equal cost, the domain with most groups of the giver loses one, so that the
        # loss of a domain costs the giver least.
        crowd = giver.domains.count(group.domain)
        yield swap, (loads * taker.spec.load_seconds / whole, -crowd, group.key)


@dataclass(frozen=True, kw_only=True)
class SwapDecision:
    """A swap that begins, or whose group is closed, and the states that led to it."""

    action: str
    swap: Swap
    giver: ModelState
    taker: ModelState


@dataclass(frozen=True, kw_only=True)
class RebalancingView:
    """Input of one planning round for swaps.

    demand: slots of each model in use.
    covers_wave: the demand was observed for the whole of `WAVE_SECONDS`.
    under_way: model that takes the engines of each group that this planner gives up.
    received_at: when each model last received engines by a swap.
    """

    demand: Mapping[str, ModelDemand]
    covers_wave: bool
    under_way: Mapping[GroupKey, str] = field(default_factory=dict)
    received_at: Mapping[str, float] = field(default_factory=dict)


class SwapRecords:
    """The swaps that this planner began, until the giving groups are gone."""

    def __init__(self) -> None:
        self.under_way: dict[GroupKey, str] = {}
        self.received_at: dict[str, float] = {}

    def reset(self) -> None:
        """Drop all records."""
        self.under_way.clear()
        self.received_at.clear()

    def record(self, swap: Swap, now: float) -> None:
        """Record a swap that begins, or whose group is closed, whoever began it."""
        if swap.key is not None:
            self.under_way[swap.key] = swap.taker
        self.received_at[swap.taker] = now

    def prune(self, groups: Iterable[GroupKey]) -> None:
        """Drop swaps whose giving group is gone."""
        known = set(groups)
        self.under_way = {k: m for k, m in self.under_way.items() if k in known}
