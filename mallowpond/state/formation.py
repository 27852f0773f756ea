"""Decide which orders bring the declared models up on the engines that are there.

The load pattern: engines of small fabric domains die in pairs every few seconds, a
whole domain at times, and empty ones are added; loading weights takes many times
longer than joining an engine that has them. So the rules are, in this order: never
touch a group that works; free the survivors of a group that lost a member, at once;
form again from survivors and staged spares; keep spares staged; load what is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupPhase,
    ModelSpec,
    Target,
    assemble_groups,
)

# Loads that are begun in a second, as a share of the declared rate: loads are
# counted when they begin at the engine, which is later than the order by a jitter.
LOAD_RATE_SHARE = 0.8
LOAD_WINDOW_SECONDS = 1.0
# Time that members get to join beyond the declared load time, as a multiple of it:
# loads share the weight store and may wait for one another.
JOIN_PATIENCE_FACTOR = 3.0
JOIN_PATIENCE_SECONDS = 4.0
# Engines of a domain that are kept free of groups, so that a lost member can be
# replaced by one that has the weights staged.
SPARES_PER_DOMAIN = 1
GROUP_PREFIX = "group-"


@dataclass(frozen=True, kw_only=True)
class Join:
    """Make a target a member of a group."""

    target: Target
    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    loads: bool = False


@dataclass(frozen=True, kw_only=True)
class Open:
    """Let a head serve."""

    target: Target
    group: str
    epoch: int


@dataclass(frozen=True, kw_only=True)
class Close:
    """Stop a head from serving; `evict` hands back its work at once."""

    target: Target
    group: str
    epoch: int
    evict: bool


@dataclass(frozen=True, kw_only=True)
class Leave:
    """Take a member out of a group, which breaks the group."""

    target: Target
    group: str
    epoch: int


@dataclass(frozen=True, kw_only=True)
class Stage:
    """Load a model's weights onto a target's host."""

    target: Target
    model: str


Step = Join | Open | Close | Leave | Stage


@dataclass(frozen=True, kw_only=True)
class Formation:
    """Remember a group that was ordered: its list, and when."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    ordered_at: float

    @property
    def key(self) -> tuple[str, int]:
        """Return what tells this formation from every other."""
        return (self.group, self.epoch)


@dataclass(frozen=True, kw_only=True)
class FormationView:
    """Hold all that the decision rests on.

    `lost` are targets that do not answer; `busy` targets have an order under way;
    `held` targets may not join yet, since a head that cannot be reached may still
    be open with them; `formations` are those whose member lists are known here;
    `distrusted` groups stood silent and none of their members is known to be lost.
    """

    profile: EngineProfile
    targets: tuple[Target, ...]
    now: float
    next_epoch: int
    demand: dict[str, float] = field(default_factory=dict)
    lost: frozenset[str] = frozenset()
    busy: frozenset[str] = frozenset()
    held: frozenset[str] = frozenset()
    formations: dict[tuple[str, int], Formation] = field(default_factory=dict)
    first_seen: dict[tuple[str, int], float] = field(default_factory=dict)
    distrusted: frozenset[tuple[str, int]] = frozenset()
    loads_begun: tuple[float, ...] = ()
    loads_running: int = 0
    before_traffic: bool = False
    is_settled: bool = True


def plan_steps(view: FormationView) -> tuple[Step, ...]:
    """Return the orders to give now."""
    planner = _Planner(view)
    return planner.plan()


class _Planner:
    def __init__(self, view: FormationView) -> None:
        self._view = view
        self._steps: list[Step] = []
        self._groups = assemble_groups(view.targets)
        self._free: dict[str, list[Target]] = {}
        self._served: dict[str, float] = {m.name: 0.0 for m in view.profile.models}
        self._epoch = view.next_epoch
        self._loads_left = _loads_allowed(view)

    def plan(self) -> tuple[Step, ...]:
        grouped: set[str] = set()
        for group in self._groups.values():
            if self._keep(group):
                grouped |= {member.id for member in group.members}
        for target in self._view.targets:
            if target.id not in grouped and self._may_join(target):
                self._free.setdefault(target.domain, []).append(target)
        self._form_groups()
        self._stage_spares()
        return tuple(self._steps)

    def _may_join(self, target: Target) -> bool:
        view = self._view
        if target.draining:
            return False
        return target.id not in view.lost | view.busy | view.held

    def _keep(self, group: Group) -> bool:
        """Tell whether a group's members stay in it; order what it needs."""
        model = self._view.profile.model(group.model)
        if model is None:
            return True
        match group.phase:
            case GroupPhase.OPEN:
                return self._keep_open(group, model)
            case GroupPhase.CLOSING:
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
        if not (lost or missing or group.is_leaving or group.key in view.distrusted):
            self._count(group, model)
            return True
        if missing and not lost and not self._can_replace(group, model):
            # The missing member may only be cut off from the platform's list: the
            # group serves on until it is known to be dead or can form anew.
            self._count(group, model)
            return True
        if not lost and group.key not in view.distrusted:
            self._order_close(group, head, evict=False)
            return True
        if head.id in view.lost:
            # The head may be alive behind a partition and still be open: its
            # members leave, and join nothing until it must have broken.
            self._order_leaves(group)
            return True
        self._order_close(group, head, evict=True)
        return True

    def _has_lost(self, group: Group) -> bool:
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
        return len(ready) >= model.size - len(group.members)

    def _order_close(self, group: Group, head: Target, *, evict: bool) -> None:
        if head.id not in self._view.busy and head.id not in self._view.lost:
            step = Close(target=head, group=group.name, epoch=group.epoch, evict=evict)
            self._steps.append(step)

    def _order_leaves(self, group: Group) -> None:
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
        if group.is_leaving or gone or any(t.id in view.lost for t in group.members):
            return False
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
        if view.now - started > patience:
            return False
        self._count(group, model)
        if known is not None:
            self._order_missing_joins(group, known, model)
        return True

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
        held = [t for t in group.members if t.id in self._view.held]
        if held:
            return True
        known = self._view.formations.get(group.key)
        if known is None:
            self._order_leaves(group)
            return True
        head = known.members[0]
        if any(t.id == head for t in self._view.targets):
            # The head has not joined yet: the group is still forming.
            started = known.ordered_at
            if self._view.now - started < JOIN_PATIENCE_SECONDS:
                return True
            return False
        self._order_leaves(group)
        return True

    # -- forming -------------------------------------------------------------

    def _form_groups(self) -> None:
        for formation in self._view.formations.values():
            self._reserve(formation)
        progress = True
        while progress:
            progress = False
            for model in self._by_deficit():
                if self._form_one(model):
                    progress = True
                    break

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
        if model is None or not alive:
            return
        self._served[model.name] += 1.0
        members = frozenset(formation.members)
        for domain, free in self._free.items():
            self._free[domain] = [t for t in free if t.id not in members]

    def _by_deficit(self) -> list[ModelSpec]:
        def fill(model: ModelSpec) -> float:
            share = self._view.demand.get(model.name, model.share)
            return (self._served[model.name] + 0.5) / max(share, 0.01)

        return sorted(self._view.profile.models, key=fill)

    def _form_one(self, model: ModelSpec) -> bool:
        best: tuple[float, list[Target]] | None = None
        for free in self._free.values():
            chosen = _cheapest_members(free, model, self._served[model.name] > 0)
            if chosen is None:
                continue
            cost = sum(_join_seconds(t, model) for t in chosen)
            if best is None or cost < best[0]:
                best = (cost, chosen)
        if best is None:
            return False
        return self._join_all(model, best[1])

    def _join_all(self, model: ModelSpec, chosen: list[Target]) -> bool:
        loads = sum(_needs_load(t, model) for t in chosen)
        if loads > self._loads_left:
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
            self._steps.append(_join(target, formation, model))
        return True

    def _stage_spares(self) -> None:
        """Stage on every free target the model that its domain may need next."""
        for domain, free in sorted(self._free.items()):
            wanted = self._models_of_domain(domain)
            for target in sorted(free, key=lambda t: t.id):
                if self._loads_left < 1 or not wanted:
                    return
                if target.staged or target.model:
                    continue
                self._loads_left -= 1
                self._steps.append(Stage(target=target, model=wanted[0]))
                wanted = wanted[1:] + wanted[:1]

    def _models_of_domain(self, domain: str) -> list[str]:
        """Return the models by how many members in the domain each spare covers."""
        members = {m.name: 0 for m in self._view.profile.models}
        staged = {m.name: 0 for m in self._view.profile.models}
        for target in self._view.targets:
            if target.domain != domain:
                continue
            if target.membership is not None and target.model in members:
                members[target.model] += 1
            elif target.staged and target.staged[-1] in staged:
                staged[target.staged[-1]] += 1
        return sorted(members, key=lambda m: (staged[m], -members[m]))


def _loads_allowed(view: FormationView) -> int:
    profile = view.profile
    at_once = max(0, profile.loads_at_once - view.loads_running)
    if view.before_traffic:
        return at_once
    recent = sum(1 for at in view.loads_begun if view.now - at < LOAD_WINDOW_SECONDS)
    rate = int(profile.loads_per_second * LOAD_RATE_SHARE * LOAD_WINDOW_SECONDS)
    return min(at_once, max(0, rate - recent))


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
    free: Iterable[Target], model: ModelSpec, keep_spare: bool
) -> list[Target] | None:
    """Return the members that join soonest, leaving a spare once a group stands."""
    ranked = sorted(free, key=lambda t: (_join_seconds(t, model), t.id))
    spare = SPARES_PER_DOMAIN if keep_spare else 0
    chosen = ranked[: model.size]
    if len(chosen) < model.size:
        return None
    is_repair = all(not _needs_load(t, model) for t in chosen)
    if len(ranked) < model.size + spare and not is_repair:
        return None
    return chosen
