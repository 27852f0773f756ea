"""Decide which orders bring the declared models up on the engines that are there.

The load pattern: engines of small fabric domains die in pairs every few seconds, a
whole domain at times, and empty ones are added; loading weights takes many times
longer than joining an engine that has them. So the rules are, in this order: never
touch a group that works; free the survivors of a group that lost a member, at once;
form again from survivors and staged spares; keep spares staged; load what is left.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil

from mallowpond.state.fleet import (
    GroupPhase,
    ModelSpec,
    Target,
    assemble_groups,
)
from mallowpond.state.formation_view import (
    Formation,
    FormationView,
    Stage,
    Step,
    make_join,
    needs_load,
)
from mallowpond.state.upkeep import JOIN_PATIENCE_SECONDS, GroupUpkeep

# Loads that are begun in a second, as a share of the declared rate: loads are
# counted when they begin at the engine, which is later than the order by a jitter.
LOAD_RATE_SHARE = 0.8
LOAD_WINDOW_SECONDS = 1.0
# Cost of each engine of a domain that holds another model than the one that is to be
# loaded there, in seconds: far above any load, so that models mix only where no
# domain is left.
MIXING_SECONDS = 1000.0
# Share of a domain's engines that stay free of groups, so that a lost member can be
# replaced by one that has the weights staged, without a load.
SPARE_SHARE = 0.1
# Fullness of a model's groups from which one is formed across domains: below, free
# targets are worth more as spares, which repair a group at its full speed.
FAR_PRESSURE = 0.7
# Time without a new target after which the first groups are formed, in seconds: on
# the first targets alone, a domain would be cut into groups that leave no spare.
GATHER_SECONDS = 0.8
# Cost of a load that drops other staged weights, in loads.
REPLACED_LOAD_COST = 0.5
GROUP_PREFIX = "group-"


def plan_steps(view: FormationView) -> tuple[Step, ...]:
    """Return the orders to give now."""
    planner = _Planner(view)
    return planner.plan()


@dataclass(frozen=True, kw_only=True)
class _Offer:
    """Propose members for a group out of one domain, and the seconds they take."""

    cost: float
    members: tuple[Target, ...]


@dataclass(frozen=True, kw_only=True)
class _Completion:
    """Propose loads after which a domain's free targets make a group."""

    model: ModelSpec
    targets: tuple[Target, ...]
    cost: float


class _Planner:
    def __init__(self, view: FormationView) -> None:
        self._view = view
        self._groups = assemble_groups(view.targets)
        self._upkeep = GroupUpkeep(view, self._groups)
        self._steps = self._upkeep.steps
        self._served = self._upkeep.served
        self._free: dict[str, list[Target]] = {}
        self._in_domain: dict[str, list[Target]] = {}
        for target in view.targets:
            self._in_domain.setdefault(target.domain, []).append(target)
        # What a domain offers a model, kept until one of its targets is taken: the
        # first plan of a large fleet would look for it anew for each group.
        self._offers: dict[tuple[str, str], _Offer | None] = {}
        self._epoch = view.next_epoch
        self._loads_left = _loads_allowed(view)
        self._loading = dict(view.loading)
        self._joining: dict[str, str] = {}

    def plan(self) -> tuple[Step, ...]:
        grouped = self._upkeep.reserved
        for group in self._groups.values():
            if self._upkeep.keep(group):
                grouped |= {member.id for member in group.members}
        for target in self._view.targets:
            if target.id not in grouped and self._upkeep.may_join(target):
                self._free.setdefault(target.domain, []).append(target)
        if self._is_gathering():
            return tuple(self._steps)
        self._form_groups()
        self._gather_far_groups()
        self._stage_weights()
        return tuple(self._steps)

    def _is_gathering(self) -> bool:
        view = self._view
        if not view.is_before_traffic:
            return False
        return view.now - view.newest_target_at < GATHER_SECONDS

    # -- forming -------------------------------------------------------------

    def _form_groups(self) -> None:
        for formation in self._view.formations.values():
            self._reserve(formation)
        while any(self._form_one(model) for model in self._by_deficit()):
            pass

    def _reserve(self, formation: Formation) -> None:
        """Keep targets free of other groups while their join is on its way."""
        view = self._view
        if formation.key in self._groups:
            return
        if view.now - formation.ordered_at > JOIN_PATIENCE_SECONDS:
            return
        model = view.profile.model(formation.model)
        listed = {t.id: t for t in view.targets}
        alive = all(m in listed and m not in view.lost for m in formation.members)
        if model is None or not alive or self._upkeep.has_restarted(formation.key):
            return
        self._served[model.name] += 1.0
        members = frozenset(formation.members)
        for domain, free in self._free.items():
            self._free[domain] = [t for t in free if t.id not in members]

    def _fill(self, model: ModelSpec) -> float:
        """Return how many engines a model has for its share of the work.

        The share is one of engines: read as one of groups, the larger of two models
        with equal shares would get more engines than the smaller one.
        """
        share = self._view.demand.get(model.name, model.share)
        return (self._served[model.name] + 0.5) * model.size / max(share, 0.01)

    def _by_deficit(self) -> list[ModelSpec]:
        return sorted(self._view.profile.models, key=self._fill)

    def _form_one(self, model: ModelSpec) -> bool:
        offers = [self._offer(domain, model) for domain in self._free]
        found = [offer for offer in offers if offer is not None]
        best = min(found, key=lambda offer: offer.cost, default=None)
        if best is None or not self._join_all(model, best.members):
            return self._form_far(model)
        return True

    def _offer(self, domain: str, model: ModelSpec) -> "_Offer | None":
        key = (domain, model.name)
        if key not in self._offers:
            self._offers[key] = self._new_offer(domain, model)
        return self._offers[key]

    def _new_offer(self, domain: str, model: ModelSpec) -> "_Offer | None":
        idle = [t for t in self._free[domain] if t.id not in self._loading]
        chosen = _cheapest_members(idle, model, self._spares(domain))
        if chosen is None:
            return None
        cost = sum(_join_seconds(t, model) for t in chosen)
        if any(needs_load(t, model) for t in chosen):
            cost += self._mixing_cost(domain, model)
        return _Offer(cost=cost, members=tuple(chosen))

    def _mixing_cost(self, domain: str, model: ModelSpec) -> float:
        """Return what it costs to bring a model into a domain, in seconds.

        In a domain that carries one model, any survivor can replace any other
        member; of two models each leaves parts that lack one or two.
        """
        own = other = 0
        for target in self._in_domain[domain]:
            held = {target.model, *_models_at_hand(target, self._loading)} - {""}
            own += model.name in held
            other += bool(held - {model.name})
        return MIXING_SECONDS * (other - min(1, own))

    def _spares(self, domain: str) -> int:
        """Return how many targets of a domain should stay free of groups."""
        return ceil(SPARE_SHARE * len(self._in_domain[domain]))

    def _form_far(self, model: ModelSpec) -> bool:
        """Form a group across domains of targets that have the weights at hand.

        It runs slower, but at once: the loads that would complete groups within the
        domains take several times as long as callers wait.
        """
        if self._view.is_before_traffic:
            return False
        if self._view.utilization.get(model.name, 0.0) < FAR_PRESSURE:
            return False
        parts = [
            [t for t in free if t.id not in self._loading and not needs_load(t, model)]
            for free in self._free.values()
        ]
        chosen = _gather_parts(parts, model.size)
        return chosen is not None and self._join_all(model, chosen)

    def _gather_far_groups(self) -> None:
        """Close a far group whose members complete a group within one domain.

        One at a time: while it closes its places are gone.
        """
        if any(g.phase is GroupPhase.CLOSING for g in self._groups.values()):
            return
        for group in self._groups.values():
            model = self._view.profile.model(group.model)
            if (
                model is None
                or group.phase is not GroupPhase.OPEN
                or not group.spans_domains
            ):
                continue
            pool = [t for t in group.members if t.id not in self._view.lost]
            domains = {t.domain for t in pool}
            for domain in domains:
                mine = [t for t in pool if t.domain == domain]
                free = [
                    t
                    for t in self._free.get(domain, ())
                    if t.id not in self._loading and not needs_load(t, model)
                ]
                if len(mine) + len(free) >= model.size:
                    assert group.head is not None
                    self._upkeep.order_close(group, group.head, evict=False)
                    return

    def _join_all(self, model: ModelSpec, chosen: Sequence[Target]) -> bool:
        loads = sum(needs_load(t, model) for t in chosen)
        if loads and not self._view.is_before_traffic:
            # The members that are ready would idle while one loads: it is staged
            # first, and they stay free for another group meanwhile.
            return False
        self._loads_left -= loads
        formation = Formation(
            group=f"{GROUP_PREFIX}{self._epoch}",
            epoch=self._epoch,
            model=model.name,
            members=tuple(t.id for t in chosen),
            ordered_at=self._view.now,
        )
        self._epoch += 1
        self._served[model.name] += 1.0
        for domain in {target.domain for target in chosen}:
            for name in self._served:
                self._offers.pop((domain, name), None)
        for target in chosen:
            self._free[target.domain].remove(target)
            self._joining[target.id] = model.name
            if needs_load(target, model):
                self._loading[target.id] = model.name
            self._steps.append(make_join(target, formation, model))
        return True

    def _stage_weights(self) -> None:
        """Load weights where a load helps most.

        Loads are scarce: a domain whose free targets lack one or two for a group is
        completed first, then cold targets become spares.
        """
        while self._loads_left >= 1:
            completion = self._best_completion()
            if completion is None:
                break
            for target in completion.targets[: self._loads_left]:
                self._stage(target, completion.model.name)
        for domain, free in sorted(self._free.items()):
            for target in sorted(free, key=lambda t: t.id):
                if self._loads_left < 1:
                    return
                if not _models_at_hand(target, self._loading):
                    self._stage(target, self._model_for_spare(domain))

    def _stage(self, target: Target, model: str) -> None:
        self._loads_left -= 1
        self._loading[target.id] = model
        self._steps.append(Stage(target=target, model=model))

    def _best_completion(self) -> "_Completion | None":
        best: _Completion | None = None
        for free in self._free.values():
            for model in self._view.profile.models:
                found = self._completion(free, model)
                if found is not None and (best is None or found.cost < best.cost):
                    best = found
        return best

    def _completion(self, free: list[Target], model: ModelSpec) -> "_Completion | None":
        """Return the loads that would make a group of a domain's free targets."""
        have = [t for t in free if model.name in _models_at_hand(t, self._loading)]
        missing = model.size - len(have)
        if missing <= 0 or missing > len(have):
            return None
        others = [t for t in free if t not in have and t.id not in self._loading]
        others.sort(key=lambda t: (bool(t.staged), t.id))
        chosen = others[:missing]
        replaced = sum(bool(t.staged) for t in chosen)
        if len(chosen) < missing or replaced > 1:
            return None
        seconds = (missing + REPLACED_LOAD_COST * replaced) * model.load_seconds
        return _Completion(
            model=model, targets=tuple(chosen), cost=seconds * self._fill(model)
        )

    def _model_for_spare(self, domain: str) -> str:
        """Return the model of most members in a domain, then of fewest spares."""
        members = {model.name: 0 for model in self._view.profile.models}
        spares = {model.name: 0 for model in self._view.profile.models}
        for target in self._in_domain[domain]:
            if target.membership is not None:
                members[target.model] = members.get(target.model, 0) + 1
                continue
            if target.id in self._joining:
                members[self._joining[target.id]] += 1
                continue
            for model in _models_at_hand(target, self._loading):
                spares[model] = spares.get(model, 0) + 1
        names = [model.name for model in self._view.profile.models]
        return min(names, key=lambda name: (-members[name], spares[name]))


def _gather_parts(parts: list[list[Target]], size: int) -> list[Target] | None:
    """Return `size` targets out of few parts, leaving large ones whole."""
    chosen: list[Target] = []
    left = sorted((part for part in parts if part), key=len)
    while len(chosen) < size:
        if not left:
            return None
        missing = size - len(chosen)
        enough = next((part for part in left if len(part) >= missing), left[-1])
        chosen += enough[:missing]
        left.remove(enough)
    return chosen


def _loads_allowed(view: FormationView) -> int:
    profile = view.profile
    if view.is_before_traffic:
        # Nothing is served yet, and loads neither slow each other nor count.
        return len(view.targets)
    at_once = max(0, profile.loads_at_once - len(view.loading))
    recent = sum(1 for at in view.loads_begun if view.now - at < LOAD_WINDOW_SECONDS)
    rate = int(profile.loads_per_second * LOAD_RATE_SHARE * LOAD_WINDOW_SECONDS)
    return min(at_once, max(0, rate - recent))


def _models_at_hand(target: Target, loading: dict[str, str]) -> tuple[str, ...]:
    """Return the models that a target has, or will have when its load ends."""
    if target.id in loading:
        return (loading[target.id],)
    return target.staged or ((target.model,) if target.model else ())


def _join_seconds(target: Target, model: ModelSpec) -> float:
    if target.model == model.name:
        return 0.2
    if model.name in target.staged:
        return model.warm_seconds
    return model.load_seconds


def _cheapest_members(
    free: Iterable[Target], model: ModelSpec, spares: int
) -> list[Target] | None:
    """Return the members that join soonest; with loads only if spares are left."""
    free = list(free)
    if len(free) < model.size:
        return None
    ranked = sorted(free, key=lambda t: (_join_seconds(t, model), t.id))
    chosen = ranked[: model.size]
    is_repair = all(not needs_load(t, model) for t in chosen)
    if len(ranked) < model.size + spares and not is_repair:
        return None
    return chosen
