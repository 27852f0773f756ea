"""Plan the orders that form groups of engines for the declared models.

This planner runs on the entry host that holds the planner's lease, and forms groups
from listed targets; the one in `planner` forms groups of hosts for the controllers.

The load pattern: in small fabric domains, two engines fail every few seconds, sometimes
a whole domain, and empty engines are added. Loading weights takes many times longer
than joining an engine that has them. So the rules are, in this order: never touch a
group that works; free the survivors of a group that lost a member at once; form groups
again from survivors and staged spares; keep spares staged; load what is left.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from math import ceil

from mallowpond.state.consolidation import (
    Consolidation,
    SpanningGroup,
    plan_consolidation,
)
from mallowpond.state.fleet import (
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Target,
    assemble_groups,
)
from mallowpond.state.formation_view import (
    EndCause,
    Formation,
    FormationView,
    Stage,
    Step,
    make_join,
    needs_load,
)
from mallowpond.state.model_demand import ModelDemand
from mallowpond.state.rebalancing import (
    EARLY_PEAK_FACTOR,
    MIN_OBSERVED_SECONDS,
    SWAP_BACK_SECONDS,
    Giver,
    IdleTargets,
    ModelState,
    Swap,
    SwapDecision,
    can_give,
    is_quiet,
    is_short,
    is_urgent,
    loads_for_swaps,
    needs_more_now,
    plan_idle_swap,
    plan_preparation,
    wants_preparation,
)
from mallowpond.state.slow_members import Regrouping, SlowGroup, plan_regroupings
from mallowpond.state.upkeep import JOIN_PATIENCE_SECONDS, GroupUpkeep

# Loads to order per second, as a share of the declared rate. The margin allows for
# jitter between the order and the start of the load, which is what the rate limits.
LOAD_RATE_SHARE = 0.8
LOAD_WINDOW_SECONDS = 1.0
# Cost of each engine in a domain that has another model than the one to be loaded
# there, in seconds: far above any load time, so that models share a domain only if no
# other domain is left.
MIXING_SECONDS = 1000.0
# Share of a domain's engines that stay out of groups, so that a lost member can be
# replaced by an engine with staged weights, without a load.
SPARE_SHARE = 0.1
# Utilization of a model's groups from which a group is formed across domains. Below it,
# free targets are worth more as spares, which repair a group at its full speed.
CROSS_DOMAIN_UTILIZATION = 0.7
# Time without a new target after which the first groups are formed, in seconds. Formed
# from the first targets alone, the groups of a domain would leave no spare.
TARGETS_QUIET_SECONDS = 0.8
# Extra cost of a load that replaces other staged weights, as a share of a load.
REPLACED_LOAD_COST = 0.5
GROUP_PREFIX = "group-"


def plan_steps(view: FormationView) -> tuple[Step, ...]:
    """Return the orders to give now; no target gets orders for two groups."""
    return plan_round(view).steps


@dataclass(frozen=True, kw_only=True)
class PlannedRound:
    """The orders of one round, and the decisions that begin or go on with them."""

    steps: tuple[Step, ...]
    swaps: tuple[SwapDecision, ...] = ()
    regroupings: tuple[Regrouping, ...] = ()
    consolidation: Consolidation | None = None


def plan_round(view: FormationView) -> PlannedRound:
    """Return the orders to give now, with the swaps that they belong to."""
    planner = _Planner(view)
    steps = planner.plan()
    return PlannedRound(
        steps=steps,
        swaps=tuple(planner.swaps),
        regroupings=tuple(planner.regroupings),
        consolidation=planner.consolidation,
    )


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    """Proposed members for a group in one domain; `cost` is in seconds."""

    cost: float
    members: tuple[Target, ...]


@dataclass(frozen=True, kw_only=True)
class _LoadPlan:
    """Loads after which free targets of a domain can form a group.

    `cost` is in seconds, weighted by how well the model is served already.
    """

    model: ModelSpec
    targets: tuple[Target, ...]
    cost: float


class _Planner:
    """Collects the orders of one planning round: upkeep, then forming, then loads."""

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
        # Best candidate by domain and model, cached until a target of the domain is
        # taken: the first plan of a large fleet would recompute it for each group.
        self._candidates: dict[tuple[str, str], _Candidate | None] = {}
        self._epoch = view.next_epoch
        self._loads_left = _loads_allowed(view)
        self._loading = dict(view.loading)
        self._joining: dict[str, str] = {}
        self.swaps: list[SwapDecision] = []
        # Whether models have slack, cached until groups are formed.
        self._has_slack: dict[str, bool] = {}
        self._whole: dict[str, list[Group]] = {}
        # Free targets that are slow, by domain; they are not in `_free`.
        self._slow_free: dict[str, list[Target]] = {}
        self._dissolving = set(view.dissolving)
        self.regroupings: list[Regrouping] = []
        self.consolidation: Consolidation | None = None

    def plan(self) -> tuple[Step, ...]:
        if self._view.is_silent:
            self._upkeep.dissolve_lost()
            return tuple(self._steps)
        grouped = self._upkeep.reserved
        for group in self._groups.values():
            if self._upkeep.maintain(group):
                grouped |= {member.id for member in group.members}
        for target in self._view.targets:
            if target.id not in grouped and self._upkeep.can_join(target):
                free = self._without_replaced_model(target)
                is_slow = self._view.is_slow(target.id)
                kept = self._slow_free if is_slow else self._free
                kept.setdefault(target.domain, []).append(free)
        if self._awaits_targets():
            return tuple(self._steps)
        self._form_groups()
        self._regroup_around_slow()
        self._consolidate_groups()
        self._stage_weights()
        self._rebalance()
        return tuple(self._steps)

    def _awaits_targets(self) -> bool:
        view = self._view
        if not view.is_before_traffic:
            return False
        return view.now - view.newest_target_at < TARGETS_QUIET_SECONDS

    # -- forming -------------------------------------------------------------

    def _form_groups(self) -> None:
        for formation in self._view.formations.values():
            self._reserve(formation)
        # Each group that is formed changes the deficits, so they are ranked anew.
        while any(self._form_one(model) for model in self._models_by_deficit()):
            pass

    def _reserve(self, formation: Formation) -> None:
        """Keep the members of an ordered formation out of other groups until they join.

        Only for a formation that the list does not show yet, and only for a limited
        time.
        """
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
        if not self._upkeep.has_evacuated(formation.members):
            self._served[model.name] += 1.0
        members = frozenset(formation.members)
        for kept in (self._free, self._slow_free):
            for domain, free in kept.items():
                kept[domain] = [t for t in free if t.id not in members]

    def _engines_per_share(self, model: ModelSpec) -> float:
        """Return how well a model is served: its engines per unit of its share.

        Shares are counted in engines. Counted in groups, the larger of two models with
        equal shares would get more engines than the smaller one.
        """
        share = self._view.demand.get(model.name, model.share)
        return (self._served[model.name] + 0.5) * model.size / max(share, 0.01)

    def _models_by_deficit(self) -> list[ModelSpec]:
        return sorted(
            self._view.profile.models,
            key=lambda model: (
                not self._is_short(model),
                self._engines_per_share(model),
            ),
        )

    def _form_one(self, model: ModelSpec) -> bool:
        candidates = [self._candidate(domain, model) for domain in self._free]
        found = [candidate for candidate in candidates if candidate is not None]
        best = min(found, key=lambda candidate: candidate.cost, default=None)
        if best is None or not self._join_all(model, best.members):
            return self._form_across_domains(model)
        return True

    def _candidate(self, domain: str, model: ModelSpec) -> "_Candidate | None":
        key = (domain, model.name)
        if key not in self._candidates:
            self._candidates[key] = self._new_candidate(domain, model)
        return self._candidates[key]

    def _new_candidate(self, domain: str, model: ModelSpec) -> "_Candidate | None":
        idle = [t for t in self._free[domain] if t.id not in self._loading]
        chosen = _cheapest_members(idle, model, self._spares(domain))
        if chosen is None:
            return None
        cost = sum(_join_seconds(t, model) for t in chosen)
        if any(needs_load(t, model) for t in chosen):
            cost += self._mixing_cost(domain, model)
        return _Candidate(cost=cost, members=tuple(chosen))

    def _mixing_cost(self, domain: str, model: ModelSpec) -> float:
        """Return the cost of mixing a model into a domain, in seconds.

        In a domain with one model, any survivor can replace any other member. With two
        models, the survivors of each may be one or two short of a group.
        """
        own = other = 0
        for target in self._in_domain[domain]:
            models = {target.model, *_available_models(target, self._loading)} - {""}
            own += model.name in models
            other += bool(models - {model.name})
        return MIXING_SECONDS * (other - min(1, own))

    def _spares(self, domain: str) -> int:
        """Return how many targets of a domain should stay out of groups."""
        return ceil(SPARE_SHARE * len(self._in_domain[domain]))

    def _form_across_domains(self, model: ModelSpec) -> bool:
        """Form a group across domains from targets that need no load.

        Such a group is slower but can serve at once. The loads that would complete
        groups within the domains take several times as long as callers wait.
        """
        if self._view.is_before_traffic:
            return False
        if self._view.utilization.get(model.name, 0.0) < CROSS_DOMAIN_UTILIZATION:
            return False
        parts = [
            [t for t in free if t.id not in self._loading and not needs_load(t, model)]
            for domain, free in self._free.items()
            if domain not in self._slow_domains
        ]
        chosen = _take_from_parts(parts, model.size)
        return chosen is not None and self._join_all(model, chosen)

    def _consolidate_groups(self) -> None:
        """Close a group across domains if a group can be formed within one of them.

        Only one group closes at a time, because its slots are lost meanwhile.
        """
        if any(g.phase is GroupPhase.CLOSING for g in self._groups.values()):
            return
        profile = self._view.profile
        for group in self._groups.values():
            model = profile.model(group.model)
            if (
                model is None
                or group.phase is not GroupPhase.OPEN
                or not group.spans_domains
                or self._upkeep.is_evacuated(group)
                or not self._can_form_within(group, model)
            ):
                continue
            decision = plan_consolidation(self._spanning(group), profile, model.name)
            head = group.head
            if decision is None or head is None:
                continue
            if head.id in self._view.busy or head.id in self._view.lost:
                continue
            self.consolidation = decision
            self._upkeep.order_close(
                group, head, evict=False, cause=EndCause.SPANS_DOMAINS
            )
            return

    def _can_form_within(self, group: Group, model: ModelSpec) -> bool:
        """Return whether members and free targets of one domain would make a group."""
        alive = [t for t in group.members if t.id not in self._view.lost]
        for domain in {t.domain for t in alive}:
            members = [t for t in alive if t.domain == domain]
            free = [
                t
                for t in self._free.get(domain, ())
                if t.id not in self._loading and not needs_load(t, model)
            ]
            if len(members) + len(free) >= model.size:
                return True
        return False

    def _spanning(self, group: Group) -> SpanningGroup:
        view = self._view
        others = [
            other
            for other in self._groups.values()
            if other.model == group.model
            and other.key != group.key
            and other.key in view.streams
            and other.key not in view.closed | view.repeatedly_suspected
            and not any(member.id in view.lost for member in other.members)
            and not self._upkeep.has_restarted(other.key)
            and not self._upkeep.is_evacuated(other)
        ]
        return SpanningGroup(
            key=group.key,
            running=view.streams.get(group.key, 0),
            other_groups=len(others),
            other_streams=sum(view.streams[other.key] for other in others),
        )

    def _join_all(self, model: ModelSpec, chosen: Sequence[Target]) -> bool:
        loads = sum(needs_load(t, model) for t in chosen)
        if loads and not self._view.is_before_traffic:
            # The other members would idle during the load. So the weights are staged
            # first, and the targets stay free for another group meanwhile.
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
                self._candidates.pop((domain, name), None)
        for target in chosen:
            self._free[target.domain].remove(target)
            self._joining[target.id] = model.name
            if needs_load(target, model):
                self._loading[target.id] = model.name
            self._steps.append(make_join(target, formation, model))
        return True

    def _stage_weights(self) -> None:
        """Order loads where they help most.

        Loads are limited. First come those that complete a group in a domain whose
        free targets are one or two short of it; then cold targets become spares.
        """
        while self._loads_left >= 1:
            load_plan = self._best_load_plan()
            if load_plan is None:
                break
            for target in load_plan.targets[: self._loads_left]:
                self._stage(target, load_plan.model.name)
        for domain, free in sorted(self._free.items()):
            for target in sorted(free, key=lambda t: t.id):
                if self._loads_left < 1:
                    return
                if not _available_models(target, self._loading):
                    self._stage(target, self._model_for_spare(domain))

    def _stage(self, target: Target, model: str) -> None:
        self._loads_left -= 1
        self._loading[target.id] = model
        self._steps.append(Stage(target=target, model=model))

    def _best_load_plan(self) -> "_LoadPlan | None":
        best: _LoadPlan | None = None
        for domain, free in self._free.items():
            # Slow targets are used again before a load in their place would end.
            free = [*free, *self._slow_free.get(domain, ())]
            for model in self._view.profile.models:
                found = self._load_plan(free, model)
                if found is not None and (best is None or found.cost < best.cost):
                    best = found
        return best

    def _load_plan(self, free: list[Target], model: ModelSpec) -> "_LoadPlan | None":
        """Return the loads that let a domain's free targets form a group, or None."""
        available = [
            t for t in free if model.name in _available_models(t, self._loading)
        ]
        missing = model.size - len(available)
        if missing <= 0 or missing > len(available):
            return None
        others = [
            t
            for t in free
            if t not in available
            and t.id not in self._loading
            and not self._serves_short_model(t, model)
        ]
        others.sort(key=lambda t: (bool(t.staged), t.id))
        chosen = others[:missing]
        replaced = sum(bool(t.staged) for t in chosen)
        if len(chosen) < missing or replaced > 1:
            return None
        seconds = (missing + REPLACED_LOAD_COST * replaced) * model.load_seconds
        return _LoadPlan(
            model=model,
            targets=tuple(chosen),
            cost=seconds * self._engines_per_share(model),
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
            for model in _available_models(target, self._loading):
                spares[model] = spares.get(model, 0) + 1
        names = [model.name for model in self._view.profile.models]
        return min(names, key=lambda name: (-members[name], spares[name]))

    # -- forming groups anew around slow members --------------------------------

    @cached_property
    def _slow_domains(self) -> frozenset[str]:
        """Return the domains in which a group has a slow member.

        Their free targets stay there, to make sound groups with the other members.
        """
        if self._view.regrouping is None:
            return frozenset()
        return frozenset(
            group.members[0].domain
            for group in self._groups.values()
            if any(self._view.is_slow(member.id) for member in group.members)
        )

    def _regroup_around_slow(self) -> None:
        """Dissolve groups with slow members where that yields a sound group.

        This comes after the free targets have formed groups, so those left over are
        free for the next sound group.
        """
        view = self._view
        known = view.regrouping
        if known is None or view.is_before_traffic or not view.is_settled:
            return
        swapped = set(self._swaps_under_way()) if view.rebalancing else set()
        for model in view.profile.models:
            self._form_from_slow(model)
            decided = plan_regroupings(
                model=model.name,
                size=model.size,
                slow=self._slow_groups(model, swapped),
                free=self._sound_free(model),
                open_groups=sum(
                    group.model == model.name
                    and group.phase is GroupPhase.OPEN
                    and not self._upkeep.is_evacuated(group)
                    for group in self._groups.values()
                ),
                recent=known.recent.get(model.name, 0),
                interrupted=known.interrupted
                + sum(regrouping.streams for regrouping in self.regroupings),
                busy_domains={
                    self._groups[key].members[0].domain
                    for key in known.dissolving
                    if key in self._groups
                },
            )
            for regrouping in decided:
                self.regroupings.append(regrouping)
                for group in regrouping.groups:
                    self._dissolving.add(group.key)
                    self._whole.clear()
                    self._upkeep.dissolve_slow(self._groups[group.key])

    def _slow_groups(self, model: ModelSpec, swapped: set[GroupKey]) -> list[SlowGroup]:
        """Return the groups of a model that may be dissolved for a slow member."""
        view = self._view
        known = view.regrouping
        assert known is not None
        found = []
        for key, group in self._groups.items():
            if group.model != model.name or key in swapped:
                continue
            paces = [known.paces.get(member.id) for member in group.members]
            slow = [pace.pace for pace in paces if pace and pace.is_slow(view.now)]
            if not slow or not self._is_whole(group, model):
                continue
            if any(m.id in known.regrouped or m.id in view.busy for m in group.members):
                continue
            streams = known.streams.get(key, 0)
            if streams and not known.can_evict:
                continue
            found.append(
                SlowGroup(
                    key=key,
                    domain=group.members[0].domain,
                    members=tuple(member.id for member in group.members),
                    pace=max(slow),
                    sound=sum(
                        pace is not None
                        and pace.is_sound(view.now)
                        and self._is_kept_for(member, model)
                        for member, pace in zip(group.members, paces, strict=True)
                    ),
                    streams=streams,
                )
            )
        return found

    def _is_kept_for(self, target: Target, model: ModelSpec) -> bool:
        """Return whether a target, once free, joins a group of a model without load."""
        freed = self._without_replaced_model(target)
        return target.id not in self._loading and not needs_load(freed, model)

    def _sound_free(self, model: ModelSpec) -> dict[str, int]:
        """Return the free targets for a model that said they are sound, by domain."""
        view = self._view
        assert view.regrouping is not None
        counts: Counter[str] = Counter()
        for domain, free in self._free.items():
            for target in free:
                pace = view.regrouping.paces.get(target.id)
                is_sound = pace is not None and pace.is_sound(view.now)
                counts[domain] += is_sound and self._is_kept_for(target, model)
        return counts

    def _form_from_slow(self, model: ModelSpec) -> None:
        """Form groups of slow targets if a model has no group without one.

        None is formed while groups are being dissolved: their sound members come next.
        """
        if self._dissolving or not self._slow_free or self._has_sound_group(model):
            return
        for free in self._slow_free.values():
            while True:
                idle = [
                    target
                    for target in free
                    if target.id not in self._loading and not needs_load(target, model)
                ]
                chosen = _cheapest_members(idle, model, 0)
                if chosen is None:
                    break
                for target in chosen:
                    free.remove(target)
                    self._free.setdefault(target.domain, []).append(target)
                self._join_all(model, chosen)

    def _has_sound_group(self, model: ModelSpec) -> bool:
        """Return whether a group of a model has no slow member, or is to form so."""
        if model.name in self._joining.values():
            return True
        view = self._view
        serving = (GroupPhase.OPEN, GroupPhase.READY, GroupPhase.JOINING)
        members = [
            [member.id for member in group.members]
            for group in self._groups.values()
            if group.model == model.name
            and group.phase in serving
            and not self._upkeep.is_evacuated(group)
        ]
        members += [
            list(formation.members)
            for formation in view.formations.values()
            if formation.model == model.name and formation.key not in self._groups
        ]
        return any(not any(map(view.is_slow, ids)) for ids in members)

    # -- moving engines between models ------------------------------------------

    def _without_replaced_model(self, target: Target) -> Target:
        """Return a free target with either its loaded model or the one staged since.

        Its former group gave it up for the staged model, or was only prepared for that
        and lost another member. It belongs to the staged model while that one has
        demand and the loaded one has slack. This is seen from the list alone, so it
        holds for a new planner too.
        """
        if self._view.rebalancing is None or not target.staged:
            return target
        if not target.model or target.model in target.staged:
            return target
        if self._keeps_loaded_model(target):
            return replace(target, staged=(target.model,))
        return replace(target, model="")

    def _keeps_loaded_model(self, target: Target) -> bool:
        if self._view.is_before_traffic:
            return False
        slots = self._view.profile.slots
        if target.model not in self._has_slack:
            loaded = self._view.profile.model(target.model)
            if loaded is None:
                return False
            domains = (g.members[0].domain for g in self._whole_groups(loaded))
            state = replace(self._served_state(loaded), domains=tuple(domains))
            self._has_slack[target.model] = can_give(state, slots, None)
        if not self._has_slack[target.model]:
            return True
        return all(
            is_quiet(self._served_state(model), slots)
            for model in self._view.profile.models
            if model.name in target.staged
        )

    def _is_short(self, model: ModelSpec) -> bool:
        """Return whether a model is short of slots with the groups planned so far."""
        if self._view.rebalancing is None or self._view.is_before_traffic:
            return False
        return is_short(self._served_state(model), self._view.profile.slots)

    def _served_state(self, model: ModelSpec) -> ModelState:
        """Return the state of a model with the groups planned so far."""
        return ModelState(
            spec=model,
            demand=self._demand(model),
            groups=self._served[model.name],
            domains=(),
        )

    def _demand(self, model: ModelSpec) -> ModelDemand:
        assert self._view.rebalancing is not None
        return self._view.rebalancing.demand.get(model.name, ModelDemand())

    def _expected_demand(self, model: ModelSpec) -> ModelDemand:
        """Return the demand with an estimate of the crest that was not seen yet."""
        assert self._view.rebalancing is not None
        demand = self._demand(model)
        if self._view.rebalancing.covers_wave:
            return demand
        return replace(demand, peak=EARLY_PEAK_FACTOR * demand.peak)

    def _serves_short_model(self, target: Target, wanted: ModelSpec) -> bool:
        """Return whether a target has the weights of a short model, not `wanted`."""
        if self._is_short(wanted):
            return False
        return any(
            self._is_short(model)
            for model in self._view.profile.models
            if model.name in target.staged
        )

    def _rebalance(self) -> None:
        """Go on with the swaps under way, then begin or prepare one if one is due.

        This comes last: repairs and new targets have the first call on the loads.
        """
        view = self._view
        known = view.rebalancing
        if known is None or view.is_before_traffic or not view.is_settled:
            return
        under_way = self._swaps_under_way()
        if known.covered_seconds < MIN_OBSERVED_SECONDS:
            return
        slots = view.profile.slots
        if not under_way and not any(
            wants_preparation(self._served_state(model), slots)
            for model in view.profile.models
        ):
            return
        going_on, states = self._continue_swaps(under_way)
        swap = None
        if known.covers_wave:
            swap = plan_idle_swap(
                models=states.values(),
                idle=[self._idle_targets(domain) for domain in sorted(self._free)],
                slots=slots,
                loads_at_once=view.profile.loads_at_once,
                loading=len(self._loading),
                received_at=known.received_at,
                now=view.now,
            )
        if swap is None:
            swap = self._plan_preparation(under_way, going_on, states)
        if swap is None or self._loads_left < min(1, swap.loads):
            return
        if swap.key is not None:
            taker = states[swap.taker]
            reason = "early"
            if is_urgent(taker, slots):
                reason = "urgent"
            elif known.covers_wave and is_short(taker, slots):
                reason = "lasting"
            self._record_swap("prepare", reason, swap, states)
            self._stage_members(self._groups[swap.key], swap.taker)
            return
        is_now = is_urgent(states[swap.taker], slots)
        self._record_swap("begin", "urgent" if is_now else "lasting", swap, states)
        idle = [
            target
            for target in sorted(self._free[swap.domain], key=lambda t: t.id)
            if target.id not in self._loading
            and _available_models(target, self._loading) == (swap.giver,)
        ]
        for target in idle[: min(swap.loads, self._loads_left)]:
            self._stage(target, swap.taker)

    def _plan_preparation(
        self,
        under_way: Mapping[GroupKey, str],
        going_on: Mapping[GroupKey, str],
        states: Mapping[str, ModelState],
    ) -> Swap | None:
        view, known = self._view, self._view.rebalancing
        assert known is not None
        slots = view.profile.slots
        if not any(wants_preparation(state, slots) for state in states.values()):
            return None
        prepared = []
        missing = 0
        for key, taker in under_way.items():
            group = self._groups[key]
            model = view.profile.model(group.model)
            if key in going_on or model is None or not self._is_whole(group, model):
                continue
            prepared.append((self._giver(group), taker))
            missing += sum(
                taker not in m.staged and m.id not in self._loading
                for m in group.members
            )
        at_once = view.profile.loads_at_once
        return plan_preparation(
            models=states.values(),
            givers=self._givers(under_way),
            prepared=prepared,
            slots=slots,
            loads=loads_for_swaps(at_once, len(self._loading) + missing),
            most_loads=loads_for_swaps(at_once, 0),
            received_at=known.received_at,
            now=view.now,
        )

    def _record_swap(
        self, action: str, reason: str, swap: Swap, states: Mapping[str, ModelState]
    ) -> None:
        self.swaps.append(
            SwapDecision(
                action=action,
                reason=reason,
                swap=swap,
                giver=states[swap.giver],
                taker=states[swap.taker],
            )
        )

    def _swaps_under_way(self) -> dict[GroupKey, str]:
        """Return the model that may take the engines of each prepared or closed group.

        A group of which most members have another model staged was prepared by an
        earlier planner.
        """
        assert self._view.rebalancing is not None
        names = {model.name for model in self._view.profile.models}
        recorded = self._view.rebalancing.under_way
        found = {key: recorded[key] for key in recorded if key in self._groups}
        for key, group in self._groups.items():
            if key in found or group.model not in names or group.spans_domains:
                continue
            if group.phase not in (GroupPhase.OPEN, GroupPhase.CLOSING):
                continue
            staged = Counter(
                name
                for member in group.members
                if group.model not in member.staged
                for name in member.staged
                if name in names
            )
            for name, count in staged.items():
                if 2 * count > len(group.members):
                    found[key] = name
        return found

    def _model_states(self, under_way: Mapping[GroupKey, str]) -> dict[str, ModelState]:
        models = self._view.profile.models
        whole = {
            model.name: [g for g in self._whole_groups(model) if g.key not in under_way]
            for model in models
        }
        given = Counter(
            self._groups[key].model
            for key in under_way
            if self._groups[key].phase in (GroupPhase.OPEN, GroupPhase.CLOSING)
        )
        return {
            model.name: ModelState(
                spec=model,
                demand=self._expected_demand(model),
                groups=self._served[model.name]
                - given[model.name]
                + self._groups_to_come(model, under_way),
                domains=tuple(g.members[0].domain for g in whole[model.name]),
                data_centres=tuple(g.members[0].data_centre for g in whole[model.name]),
            )
            for model in models
        }

    def _groups_to_come(
        self, model: ModelSpec, under_way: Mapping[GroupKey, str]
    ) -> int:
        """Return how many groups the targets that change to a model will make.

        These are members of groups that are given up for it, and free targets that
        load it or have an order under way.
        """
        counts: Counter[str] = Counter()
        for key, taker in under_way.items():
            if taker == model.name:
                counts.update(
                    member.domain
                    for member in self._groups[key].members
                    if member.id not in self._view.lost
                    and member.data_centre not in self._view.evacuated
                )
        ordered = set(self._joining) | self._upkeep.reserved
        for formation in self._view.formations.values():
            ordered.update(formation.members)
        for target in self._view.targets:
            if target.membership is not None or target.id in ordered:
                continue
            if target.id in self._view.lost or target.draining or target.lapsed:
                continue
            if target.data_centre in self._view.evacuated:
                continue
            available = _available_models(target, self._loading)
            counts[target.domain] += model.name in available
        return sum(count // model.size for count in counts.values())

    def _whole_groups(self, model: ModelSpec) -> list[Group]:
        if model.name not in self._whole:
            self._whole[model.name] = [
                group
                for group in self._groups.values()
                if group.model == model.name and self._is_whole(group, model)
            ]
        return self._whole[model.name]

    def _is_whole(self, group: Group, model: ModelSpec) -> bool:
        """Return whether an open group in one domain is whole and stays so."""
        view = self._view
        return (
            group.phase is GroupPhase.OPEN
            and not group.spans_domains
            and len(group.members) == model.size
            and not group.is_leaving
            and not any(m.lapsed or m.id in view.lost for m in group.members)
            and group.key not in view.closed | view.repeatedly_suspected
            and group.key not in self._dissolving
            and not self._upkeep.has_restarted(group.key)
            and not self._upkeep.is_evacuated(group)
        )

    def _givers(self, under_way: Mapping[GroupKey, str]) -> list[Giver]:
        view = self._view
        givers = []
        for model in view.profile.models:
            for group in self._whole_groups(model):
                if group.key in under_way or any(
                    m.id in self._loading or m.id in view.busy for m in group.members
                ):
                    continue
                givers.append(self._giver(group))
        return givers

    def _giver(self, group: Group) -> Giver:
        return Giver(
            key=group.key,
            model=group.model,
            domain=group.members[0].domain,
            data_centre=group.members[0].data_centre,
            staged=Counter(name for m in group.members for name in m.staged),
        )

    def _idle_targets(self, domain: str) -> IdleTargets:
        free = self._free[domain]
        return IdleTargets(
            domain=domain,
            available=Counter(
                name for t in free for name in _available_models(t, self._loading)
            ),
            replaceable=Counter(
                name
                for t in free
                if t.id not in self._loading
                for name in _available_models(t, self._loading)
            ),
            spares_needed=frozenset(
                t.model for t in self._in_domain[domain] if t.membership is not None
            ),
        )

    def _continue_swaps(
        self, under_way: Mapping[GroupKey, str]
    ) -> tuple[dict[GroupKey, str], dict[str, ModelState]]:
        """Close prepared groups that are needed.

        Return these and the closed ones, and the states of the models with them. The
        others are staged further if they are incomplete. They serve, and do not
        count as given up.
        """
        known = self._view.rebalancing
        assert known is not None
        going_on = {k: taker for k, taker in under_way.items() if self._is_closing(k)}
        states, slots = self._model_states(going_on), self._view.profile.slots
        urgent = {name for name, state in states.items() if is_urgent(state, slots)}

        def members_to_stage(key: GroupKey) -> int:
            members = self._groups[key].members
            return sum(under_way[key] not in member.staged for member in members)

        for key in sorted(
            under_way.keys() - going_on, key=lambda key: (members_to_stage(key), key)
        ):
            group, taker = self._groups[key], under_way[key]
            if taker not in states or group.model not in states:
                continue
            reason = None
            if taker in urgent and needs_more_now(states[taker], slots):
                reason = "urgent"
            elif (
                known.covers_wave
                and is_short(states[taker], slots)
                and not any(self._groups[k].model == group.model for k in going_on)
            ):
                reason = "lasting"
            if self._continue_swap(group, taker, states, reason):
                going_on[key] = taker
                states = self._model_states(going_on)
        return going_on, states

    def _is_closing(self, key: GroupKey) -> bool:
        """Return whether a group is closed, or ordered to close by this planner."""
        group = self._groups[key]
        if group.phase is not GroupPhase.OPEN:
            return True
        if any(member.id in self._view.lost for member in group.members):
            # Its members were ordered to leave because it is broken.
            return False
        return key in self._view.closed

    def _continue_swap(
        self,
        group: Group,
        taker: str,
        states: Mapping[str, ModelState],
        reason: str | None,
    ) -> bool:
        """Stage what is missing, or close a prepared group if there is a reason.

        Whether the giver has slack is decided anew, with all other swaps counted.
        Return whether the group is closed.
        """
        view, known = self._view, self._view.rebalancing
        assert known is not None
        giver = view.profile.model(group.model)
        if giver is None or not self._is_whole(group, giver):
            return False
        domain = group.members[0].domain
        if not can_give(states[group.model], view.profile.slots, domain):
            return False
        if not all(taker in member.staged for member in group.members):
            if not is_quiet(states[taker], view.profile.slots):
                self._stage_members(group, taker)
            return False
        received_at = known.received_at.get(group.model, float("-inf"))
        if reason is None or view.now - received_at < SWAP_BACK_SECONDS:
            return False
        assert group.head is not None
        if group.head.id in view.busy:
            return True
        swap = Swap(
            giver=group.model,
            taker=taker,
            domain=domain,
            key=group.key,
            loads=0,
            groups=giver.size // states[taker].spec.size,
        )
        self._record_swap("close", reason, swap, states)
        self._upkeep.order_close(
            group, group.head, evict=False, cause=EndCause.REBALANCED
        )
        return True

    def _stage_members(self, group: Group, model: str) -> None:
        profile = self._view.profile
        for member in group.members:
            budget = loads_for_swaps(profile.loads_at_once, len(self._loading))
            if min(budget, self._loads_left) < 1:
                return
            if model in member.staged or member.id in self._loading:
                continue
            if member.id not in self._view.busy:
                self._stage(member, model)


def _take_from_parts(parts: list[list[Target]], size: int) -> list[Target] | None:
    """Return `size` targets taken from few parts, leaving large parts intact."""
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
        # Before the first request, loads are neither limited nor slowed by each other.
        return len(view.targets)
    at_once = max(0, profile.loads_at_once - len(view.loading))
    recent = sum(1 for at in view.loads_begun if view.now - at < LOAD_WINDOW_SECONDS)
    rate = int(profile.loads_per_second * LOAD_RATE_SHARE * LOAD_WINDOW_SECONDS)
    return min(at_once, max(0, rate - recent))


def _available_models(target: Target, loading: dict[str, str]) -> tuple[str, ...]:
    """Return the models whose weights a target has, or will have after its load."""
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
    """Return the members that join soonest, or None if there are too few.

    Members that need a load are taken only if `spares` other targets are left.
    """
    free = list(free)
    if len(free) < model.size:
        return None
    ranked = sorted(free, key=lambda t: (_join_seconds(t, model), t.id))
    chosen = ranked[: model.size]
    is_repair = all(not needs_load(t, model) for t in chosen)
    if len(ranked) < model.size + spares and not is_repair:
        return None
    return chosen
