"""Decide which orders bring the declared models up on the engines that are there.

The load pattern: engines of small fabric domains die in pairs every few seconds, a
whole domain at times, and empty ones are added; loading weights takes many times
longer than joining an engine that has them. So the rules are, in this order: never
touch a group that works; free the survivors of a group that lost a member, at once;
form again from survivors and staged spares; keep spares staged; load what is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from mallowpond.state.fleet import (
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Target,
    assemble_groups,
)
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
from mallowpond.state.processes import has_restarted

# Time that a group serves on with a member, not its head, that is about to stop, in
# seconds: the member stays up to 10 s while the head has work, the streams that run
# need 2 s to end, and the others are kept back in case the list told late.
LEAVING_MEMBER_SECONDS = 6.0
# Loads that are begun in a second, as a share of the declared rate: loads are
# counted when they begin at the engine, which is later than the order by a jitter.
LOAD_RATE_SHARE = 0.8
LOAD_WINDOW_SECONDS = 1.0
# Time that members get to join beyond the declared load time, as a multiple of it:
# loads share the weight store and may wait for one another.
JOIN_PATIENCE_FACTOR = 3.0
JOIN_PATIENCE_SECONDS = 4.0
# Cost of each engine of a domain that holds another model than the one that is to be
# loaded there, in seconds: far above any load, so that models mix only where no
# domain is left.
MIXING_SECONDS = 1000.0
# Share of a domain's engines that stay free of groups, so that a lost member can be
# replaced in about 2 s by one that has the weights staged, not in 12 s or more.
SPARE_SHARE = 0.1
# Fullness of a model's groups from which one is formed across domains: below, free
# targets are worth more as spares, which repair a group at its full speed.
FAR_PRESSURE = 0.7
# Time without a new target after which the first groups are formed, in seconds: on
# the first targets alone, a domain would be cut into groups that leave no spare.
GATHER_SECONDS = 0.8
# Time that a group without all its members may look ready, in seconds.
INCOMPLETE_SECONDS = 2.0
# Cost of a load that drops other staged weights, in loads.
REPLACED_LOAD_COST = 0.5
GROUP_PREFIX = "group-"


def plan_steps(view: FormationView) -> tuple[Step, ...]:
    """Return the orders to give now."""
    planner = _Planner(view)
    return planner.plan()


@dataclass(frozen=True, kw_only=True)
class _Completion:
    """Propose loads after which a domain's free targets make a group."""

    model: ModelSpec
    targets: tuple[Target, ...]
    cost: float


class _Planner:
    def __init__(self, view: FormationView) -> None:
        self._view = view
        self._steps: list[Step] = []
        self._groups = assemble_groups(view.targets)
        self._listed = {target.id: target for target in view.targets}
        self._held = self._held_by_earlier_groups()
        self._free: dict[str, list[Target]] = {}
        self._served: dict[str, float] = {m.name: 0.0 for m in view.profile.models}
        self._epoch = view.next_epoch
        self._loads_left = _loads_allowed(view)
        self._loading = dict(view.loading)
        # Targets of formations that are under way, whether they have joined or not:
        # free for another group, they would be ordered into two at once.
        self._reserved: set[str] = set()
        self._joining: dict[str, str] = {}

    def plan(self) -> tuple[Step, ...]:
        grouped = self._reserved
        for group in self._groups.values():
            if self._keep(group):
                grouped |= {member.id for member in group.members}
        for target in self._view.targets:
            if target.id not in grouped and self._may_join(target):
                self._free.setdefault(target.domain, []).append(target)
        if self._is_gathering():
            return tuple(self._steps)
        self._form_groups()
        self._gather_far_groups()
        self._stage_weights()
        return tuple(self._steps)

    def _is_gathering(self) -> bool:
        view = self._view
        if not view.before_traffic:
            return False
        return view.now - view.newest_target_at < GATHER_SECONDS

    def _may_join(self, target: Target) -> bool:
        view = self._view
        if target.draining or target.lapsed or target.id in self._held:
            return False
        return target.id not in view.lost and target.id not in view.busy

    def _held_by_earlier_groups(self) -> frozenset[str]:
        """Return targets whose earlier process's group may still serve.

        Joined to another group before that head has left, a target would stand in two
        groups by its id, of which the first is not broken yet.
        """
        return frozenset(
            process.id
            for key, seen in self._view.seen.items()
            if key in self._groups and _may_serve(self._groups[key])
            for process in seen
            if has_restarted((process,), self._listed)
        )

    def _keep(self, group: Group) -> bool:
        """Tell whether a group's members stay in it; order what it needs."""
        model = self._view.profile.model(group.model)
        if model is None:
            return True
        match group.phase:
            case GroupPhase.OPEN:
                return self._keep_open(group, model)
            case GroupPhase.CLOSING:
                if self._has_lost(group):
                    # Its work never ends, so it would keep its members until the
                    # stall time has passed.
                    self._dissolve(group)
                else:
                    self._count(group, model)
                return True
            case GroupPhase.BROKEN:
                return False
            case GroupPhase.READY | GroupPhase.JOINING:
                return self._keep_forming(group, model)
            case None:
                return self._keep_headless(group)

    def _count(self, group: Group, model: ModelSpec) -> None:
        if model.name in self._served:
            self._served[model.name] += 1.0

    def _keep_open(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        lost = self._has_lost(group)
        missing = len(group.members) < model.size and view.is_settled
        leaving = self._must_close_soon(group)
        unwanted = lost or group.key in view.distrusted
        if not (unwanted or missing or group.is_leaving):
            self._count(group, model)
            return True
        if not (unwanted or leaving or self._can_replace(group, model)):
            # A missing member may only be cut off from the platform's list, and a
            # leaving one stays while its head has work: the group serves on until
            # the member is known to be dead, must go, or can be replaced at once.
            self._count(group, model)
            return True
        if not lost and group.key not in view.distrusted:
            self._order_close(group, head, evict=False)
            return True
        self._dissolve(group)
        return True

    def _must_close_soon(self, group: Group) -> bool:
        """Tell whether a member is about to go, whatever work the head has.

        Work that comes to a leaving head is late for the bound of a leaving target;
        other members of a group may leave while it serves.
        """
        if group.head is not None and group.head.draining:
            return True
        now, since = self._view.now, self._view.leaving_since
        return any(
            now - since.get(member.id, now) > LEAVING_MEMBER_SECONDS
            for member in group.members
            if member.draining
        )

    def _has_restarted(self, key: GroupKey) -> bool:
        """Tell whether a member has started again: it holds nothing of the group."""
        if key in self._view.unheld:
            return True
        return has_restarted(self._view.seen.get(key, ()), self._listed)

    def _has_lost(self, group: Group) -> bool:
        """Tell whether a member is dead, or has started again since it joined."""
        if self._has_restarted(group.key):
            return True
        known = self._view.formations.get(group.key)
        members = {member.id for member in group.members}
        if known is not None:
            members |= set(known.members)
        return bool(members & self._view.lost)

    def _can_replace(self, group: Group, model: ModelSpec) -> bool:
        """Tell whether the domain has free targets with the weights at hand."""
        domain = group.members[0].domain
        ready = [
            target
            for target in self._view.targets
            if target.domain == domain
            and target.membership is None
            and self._may_join(target)
            and not _needs_load(target, model)
        ]
        staying = sum(not member.draining for member in group.members)
        return len(ready) >= model.size - staying

    def _order_close(self, group: Group, head: Target, *, evict: bool) -> None:
        if head.id not in self._view.busy and head.id not in self._view.lost:
            step = Close(target=head, group=group.name, epoch=group.epoch, evict=evict)
            self._steps.append(step)

    def _dissolve(self, group: Group) -> None:
        """Let every member leave; each is free once it has left.

        A head may be opening, or open behind a partition, while the list shows it
        ready or not at all: a member that joined another group without having left
        this one would stand in two groups at once.
        """
        view = self._view
        for member in group.members:
            if member.id not in view.busy and member.id not in view.lost:
                self._steps.append(
                    Leave(target=member, group=group.name, epoch=group.epoch)
                )

    def _keep_forming(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        known = view.formations.get(group.key)
        whole = len(group.members) == model.size
        gone = known is not None and any(
            m not in {t.id for t in view.targets} or m in view.lost
            for m in known.members
        )
        lost = any(t.id in view.lost for t in group.members)
        gone = gone or self._has_moved_on(known) or self._has_restarted(group.key)
        unwanted = group.key in view.distrusted | view.closed
        if lost or gone or group.is_leaving or unwanted:
            self._dissolve(group)
            return True
        if whole and all(_is_ready(t) for t in group.members):
            self._count(group, model)
            if head.id not in view.busy:
                self._steps.append(
                    Open(target=head, group=group.name, epoch=group.epoch)
                )
            return True
        started = (
            known.ordered_at if known else view.first_seen.get(group.key, view.now)
        )
        patience = JOIN_PATIENCE_SECONDS + JOIN_PATIENCE_FACTOR * model.load_seconds
        if known is None and all(_is_ready(t) for t in group.members):
            patience = INCOMPLETE_SECONDS
        if view.now - started > patience:
            self._dissolve(group)
            return True
        self._count(group, model)
        if known is not None:
            self._reserved |= set(known.members)
            self._order_missing_joins(group, known, model)
        return True

    def _has_moved_on(self, known: Formation | None) -> bool:
        """Tell whether a member stands in another group that is not broken."""
        if known is None:
            return False
        return any(
            self._stands_elsewhere(target, known)
            for target in self._view.targets
            if target.id in known.members
        )

    def _stands_elsewhere(self, target: Target, known: Formation) -> bool:
        member = target.membership
        if member is None or (member.group, member.epoch) == known.key:
            return False
        group = self._groups.get((member.group, member.epoch))
        is_broken = group is not None and group.phase is GroupPhase.BROKEN
        # Out of a broken group a member is joined without leaving it first.
        return member.epoch > known.epoch or not is_broken

    def _order_missing_joins(
        self, group: Group, known: Formation, model: ModelSpec
    ) -> None:
        """Order joins again that got lost on their way."""
        view = self._view
        present = {member.id for member in group.members}
        for target in view.targets:
            if target.id not in known.members or target.id in present:
                continue
            if target.id in view.busy:
                continue
            self._steps.append(_join(target, known, model))

    def _keep_headless(self, group: Group) -> bool:
        """Free the members of a group whose head is not listed."""
        known = self._view.formations.get(group.key)
        if known is not None and not self._has_restarted(group.key):
            listed = any(t.id == known.members[0] for t in self._view.targets)
            waited = self._view.now - known.ordered_at
            lost = any(m in self._view.lost for m in known.members)
            if listed and not lost and waited < JOIN_PATIENCE_SECONDS:
                # The head has not joined yet: the group is still forming.
                model = self._view.profile.model(known.model)
                if model is not None and not self._has_moved_on(known):
                    self._count(group, model)
                    self._reserved |= set(known.members)
                    self._order_missing_joins(group, known, model)
                    return True
        self._dissolve(group)
        return True

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
        if model is None or not alive or self._has_restarted(formation.key):
            return
        self._served[model.name] += 1.0
        members = frozenset(formation.members)
        for domain, free in self._free.items():
            self._free[domain] = [t for t in free if t.id not in members]

    def _fill(self, model: ModelSpec) -> float:
        """Return how many engines a model has for its share of the work.

        The share is one of engines: read as one of groups, models of 16 and 4 engines
        with equal shares would get four times as many engines for the larger one.
        """
        share = self._view.demand.get(model.name, model.share)
        return (self._served[model.name] + 0.5) * model.size / max(share, 0.01)

    def _by_deficit(self) -> list[ModelSpec]:
        return sorted(self._view.profile.models, key=self._fill)

    def _form_one(self, model: ModelSpec) -> bool:
        best: tuple[float, list[Target]] | None = None
        for domain, free in self._free.items():
            idle = [t for t in free if t.id not in self._loading]
            chosen = _cheapest_members(idle, model, self._spares(domain))
            if chosen is None:
                continue
            cost = sum(_join_seconds(t, model) for t in chosen)
            if any(_needs_load(t, model) for t in chosen):
                cost += self._mixing_cost(domain, model)
            if best is None or cost < best[0]:
                best = (cost, chosen)
        if best is None or not self._join_all(model, best[1]):
            return self._form_far(model)
        return True

    def _mixing_cost(self, domain: str, model: ModelSpec) -> float:
        """Return what it costs to bring a model into a domain, in seconds.

        In a domain that carries one model, any survivor can replace any other
        member; of two models each leaves parts that lack one or two.
        """
        own = other = 0
        for target in self._view.targets:
            if target.domain != domain:
                continue
            held = {target.model, *_models_at_hand(target, self._loading)} - {""}
            own += model.name in held
            other += bool(held - {model.name})
        return MIXING_SECONDS * (other - min(1, own))

    def _spares(self, domain: str) -> int:
        """Return how many targets of a domain should stay free of groups."""
        size = sum(1 for target in self._view.targets if target.domain == domain)
        return ceil(SPARE_SHARE * size)

    def _form_far(self, model: ModelSpec) -> bool:
        """Form a group across domains of targets that have the weights at hand.

        It runs slower, but at once: the loads that would complete groups within the
        domains take several times as long as callers wait.
        """
        if self._view.before_traffic:
            return False
        if self._view.pressure.get(model.name, 0.0) < FAR_PRESSURE:
            return False
        parts = [
            [t for t in free if t.id not in self._loading and not _needs_load(t, model)]
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
            if model is None or group.phase is not GroupPhase.OPEN or not group.is_far:
                continue
            pool = [t for t in group.members if t.id not in self._view.lost]
            domains = {t.domain for t in pool}
            for domain in domains:
                mine = [t for t in pool if t.domain == domain]
                free = [
                    t
                    for t in self._free.get(domain, ())
                    if t.id not in self._loading and not _needs_load(t, model)
                ]
                if len(mine) + len(free) >= model.size:
                    assert group.head is not None
                    self._order_close(group, group.head, evict=False)
                    return

    def _join_all(self, model: ModelSpec, chosen: list[Target]) -> bool:
        loads = sum(_needs_load(t, model) for t in chosen)
        if loads and not self._view.before_traffic:
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
        for target in chosen:
            self._free[target.domain].remove(target)
            self._joining[target.id] = model.name
            if _needs_load(target, model):
                self._loading[target.id] = model.name
            self._steps.append(_join(target, formation, model))
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
        for target in self._view.targets:
            if target.domain != domain:
                continue
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
    if view.before_traffic:
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


def _may_serve(group: Group) -> bool:
    return group.phase not in (None, GroupPhase.BROKEN)


def _is_ready(target: Target) -> bool:
    assert target.membership is not None
    return target.membership.phase is GroupPhase.READY


def _needs_load(target: Target, model: ModelSpec) -> bool:
    return target.model != model.name and model.name not in target.staged


def _join_seconds(target: Target, model: ModelSpec) -> float:
    if target.model == model.name:
        return 0.2
    if model.name in target.staged:
        return model.warm_seconds
    return model.load_seconds


def _join(target: Target, formation: Formation, model: ModelSpec) -> Join:
    return Join(
        target=target,
        group=formation.group,
        epoch=formation.epoch,
        model=formation.model,
        members=formation.members,
        loads=_needs_load(target, model),
    )


def _cheapest_members(
    free: Iterable[Target], model: ModelSpec, spares: int
) -> list[Target] | None:
    """Return the members that join soonest; with loads only if spares are left."""
    ranked = sorted(free, key=lambda t: (_join_seconds(t, model), t.id))
    chosen = ranked[: model.size]
    if len(chosen) < model.size:
        return None
    is_repair = all(not _needs_load(t, model) for t in chosen)
    if len(ranked) < model.size + spares and not is_repair:
        return None
    return chosen
