"""Plan which hosts form, repair or leave groups.

`plan` is a pure function from the known hosts, deployments and groups to actions. It
runs on the controllers; `formation` plans groups of listed engines for the entry hosts.

A group needs hosts of one fabric domain, unless its deployment allows several. So a
domain can carry as many groups as its usable hosts divided by the group's size. `plan`
reaches that bound by letting broken groups complete each other. Choices within the
bound are made by each deployment's weights for group downtime and stranded
accelerators.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property

from mallowpond.state.declarations import Deployment

# Time after which a lost host is expected to be back, in seconds.
RETURN_SECONDS = 120.0


@dataclass(frozen=True, kw_only=True)
class PlanHost:
    """A host as the planner sees it; `domain` is its fabric domain.

    group: the group that the host is bound to.
    usable: the host may join a group.
    draining: its group is ending, so it will be free soon.
    leaving: it will not come back, so nothing waits for its return.
    """

    name: str
    domain: str
    accelerators: int
    usable: bool = True
    group: str | None = None
    draining: bool = False
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class PlanGroup:
    """A group as the planner sees it, with its hosts in order of rank.

    `lost` are members that no longer belong to the group although their host may be
    usable, such as one that restarted.
    """

    name: str
    deployment: str
    hosts: tuple[str, ...]
    lost: frozenset[str] = frozenset()
    serving: bool = True
    stopped: bool = False


@dataclass(frozen=True, kw_only=True)
class Form:
    """Form a new group of these hosts, in order of rank."""

    deployment: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Repair:
    """Replace the hosts of a group by these, in order of rank."""

    group: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Dissolve:
    """Dissolve a group, which frees all its hosts."""

    group: str
    reason: str


Action = Form | Repair | Dissolve


@dataclass(kw_only=True)
class _PlanState:
    """Free hosts, groups and actions so far, while a plan is being made.

    `free` lists free hosts by domain.
    """

    hosts: dict[str, PlanHost]
    deployments: dict[str, Deployment]
    groups: dict[str, PlanGroup]
    free: dict[str, list[str]] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)

    def is_usable(self, name: str) -> bool:
        host = self.hosts.get(name)
        return host is not None and host.usable

    def survivors(self, group: PlanGroup) -> tuple[str, ...]:
        return tuple(
            h for h in group.hosts if self.is_usable(h) and h not in group.lost
        )

    def is_broken(self, group: PlanGroup) -> bool:
        return len(self.survivors(group)) < len(group.hosts)

    def deployment(self, group: PlanGroup) -> Deployment:
        return self.deployments[group.deployment]

    def release(self, names: Iterable[str]) -> None:
        for name in names:
            self.free.setdefault(self.hosts[name].domain, []).append(name)

    def take(self, domain: str, count: int) -> tuple[str, ...]:
        pool = self.free.get(domain, [])
        taken = tuple(sorted(pool)[:count])
        self.free[domain] = [h for h in pool if h not in taken]
        return taken

    @cached_property
    def accelerators_per_host(self) -> int:
        return max((h.accelerators for h in self.hosts.values()), default=0)

    @property
    def domains(self) -> list[str]:
        return sorted({host.domain for host in self.hosts.values()})

    def draining_hosts(self, domain: str) -> int:
        hosts = self.hosts.values()
        return sum(h.draining and h.usable and h.domain == domain for h in hosts)

    def form(self, deployment: Deployment, domain: str) -> None:
        hosts = self.take(domain, deployment.hosts_per_group)
        self.actions.append(Form(deployment=deployment.name, hosts=hosts))
        name = f"new {len(self.actions)}"
        self.groups[name] = PlanGroup(
            name=name, deployment=deployment.name, hosts=hosts
        )

    def dissolve(self, group: PlanGroup, reason: str) -> None:
        del self.groups[group.name]
        self.release(self.survivors(group))
        self.actions.append(Dissolve(group=group.name, reason=reason))

    def repair(self, group: PlanGroup, joining: tuple[str, ...]) -> None:
        hosts = self.survivors(group) + joining
        del self.groups[group.name]
        self.groups[group.name] = PlanGroup(
            name=group.name, deployment=group.deployment, hosts=hosts
        )
        self.actions.append(Repair(group=group.name, hosts=hosts))


def plan(
    *,
    hosts: Iterable[PlanHost],
    deployments: Iterable[Deployment],
    groups: Iterable[PlanGroup],
) -> tuple[Action, ...]:
    """Return the actions that bring the groups closest to what is declared."""
    state = _PlanState(
        hosts={h.name: h for h in hosts},
        deployments={d.name: d for d in deployments},
        groups={g.name: g for g in groups},
    )
    _release_free_hosts(state)
    _dissolve_unwanted(state)
    _repair_from_free(state)
    _repair_from_broken(state)
    _repair_from_lighter(state)
    _form_missing(state)
    _make_room(state)
    _repair_across_domains(state)
    _relocate(state)
    _give_up_waiting(state)
    return tuple(state.actions)


def stranded(
    *,
    hosts: Iterable[PlanHost],
    deployments: Iterable[Deployment],
    groups: Iterable[PlanGroup],
) -> int:
    """Return the number of usable accelerators outside serving groups.

    It is 0 while as many groups serve as are declared.
    """
    serving = [g for g in groups if g.serving]
    wanted = sum(d.replicas for d in deployments)
    if len(serving) >= wanted:
        return 0
    busy = {h for g in serving for h in g.hosts}
    return sum(h.accelerators for h in hosts if h.usable and h.name not in busy)


def _release_free_hosts(state: _PlanState) -> None:
    bound = {h for g in state.groups.values() for h in g.hosts if h not in g.lost}
    lost = {h for g in state.groups.values() for h in g.lost}
    for host in state.hosts.values():
        is_free = host.group is None or host.name in lost
        if host.usable and is_free and host.name not in bound:
            state.release((host.name,))


def _dissolve_unwanted(state: _PlanState) -> None:
    for group in list(state.groups.values()):
        if group.deployment not in state.deployments:
            state.dissolve(group, "not declared")
        elif group.stopped:
            state.dissolve(group, "stopped")
    for deployment in state.deployments.values():
        groups = [g for g in state.groups.values() if g.deployment == deployment.name]
        # Complete groups are kept in preference to broken ones.
        groups.sort(key=lambda g: (state.is_broken(g), g.name))
        for group in groups[deployment.replicas :]:
            state.dissolve(group, "more than declared")


def _broken_by_urgency(state: _PlanState) -> list[PlanGroup]:
    broken = [g for g in state.groups.values() if state.is_broken(g)]
    return sorted(broken, key=lambda g: (*_urgency(state, g), g.name))


def _urgency(state: _PlanState, group: PlanGroup) -> tuple[float, int]:
    weight = state.deployment(group).weights.group_downtime
    return (-weight, _missing_hosts(state, group))


def _missing_hosts(state: _PlanState, group: PlanGroup) -> int:
    return len(group.hosts) - len(state.survivors(group))


def _home_domain(state: _PlanState, group: PlanGroup) -> str | None:
    """Return the domain with most of the group's survivors, None without survivors."""
    domains = [state.hosts[h].domain for h in state.survivors(group)]
    return max(sorted(set(domains)), key=domains.count, default=None)


def _repair_from_free(state: _PlanState) -> None:
    for group in _broken_by_urgency(state):
        home, missing = _home_domain(state, group), _missing_hosts(state, group)
        if home is not None and len(state.free.get(home, ())) >= missing:
            state.repair(group, state.take(home, missing))


def _repair_from_broken(state: _PlanState) -> None:
    """Complete broken groups with the survivors of others in the same domain."""
    for group in _broken_by_urgency(state):
        if group.name not in state.groups:
            continue
        home, missing = _home_domain(state, group), _missing_hosts(state, group)
        while home is not None and len(state.free.get(home, ())) < missing:
            donor = _broken_donor(state, group, home)
            if donor is None:
                break
            state.dissolve(donor, f"completes {group.name}")
        if home is not None and len(state.free.get(home, ())) >= missing:
            state.repair(group, state.take(home, missing))


def _broken_donor(state: _PlanState, group: PlanGroup, home: str) -> PlanGroup | None:
    others = [
        other
        for other in state.groups.values()
        if other.name != group.name
        and state.is_broken(other)
        and _home_domain(state, other) == home
        and _urgency(state, other) >= _urgency(state, group)
    ]
    supply = sum(len(state.survivors(o)) for o in others)
    if supply + len(state.free.get(home, ())) < _missing_hosts(state, group):
        return None
    return max(others, key=lambda g: (*_urgency(state, g), g.name), default=None)


def _repair_from_lighter(state: _PlanState) -> None:
    """Dissolve a group to repair one whose downtime has a larger declared weight."""
    for group in _broken_by_urgency(state):
        home, missing = _home_domain(state, group), _missing_hosts(state, group)
        if group.name not in state.groups or home is None:
            continue
        lighter = _lighter_groups(state, group, home)
        if not lighter:
            continue
        donor = min(lighter, key=lambda g: (len(g.hosts), g.name))
        if len(donor.hosts) + len(state.free.get(home, ())) < missing:
            continue
        state.dissolve(donor, f"weighs less than {group.name}")
        state.repair(group, state.take(home, missing))


def _lighter_groups(state: _PlanState, group: PlanGroup, home: str) -> list[PlanGroup]:
    weight = state.deployment(group).weights.group_downtime
    return [
        other
        for other in state.groups.values()
        if not state.is_broken(other)
        and _home_domain(state, other) == home
        and state.deployment(other).weights.group_downtime < weight
    ]


def _form_missing(state: _PlanState) -> None:
    for deployment in _by_weight(state):
        for _ in range(_missing_groups(state, deployment)):
            domain = _domain_for(state, deployment)
            if domain is None:
                break
            state.form(deployment, domain)


def _by_weight(state: _PlanState) -> list[Deployment]:
    return sorted(
        state.deployments.values(), key=lambda d: (-d.weights.group_downtime, d.name)
    )


def _missing_groups(state: _PlanState, deployment: Deployment) -> int:
    existing = sum(g.deployment == deployment.name for g in state.groups.values())
    return deployment.replicas - existing


def _make_room(state: _PlanState) -> None:
    """Clear a domain of smaller groups if a larger one fits nowhere.

    As hosts fail and return, small groups scatter over the domains until no domain has
    enough free hosts for a large group, although there are enough in total. A smaller
    group moves to another domain, or is given up if its downtime weighs less than what
    is gained by the larger one.
    """
    smallest = min((d.hosts_per_group for d in state.deployments.values()), default=0)
    for deployment in _by_weight(state):
        if deployment.hosts_per_group == smallest:
            continue
        if _missing_groups(state, deployment) <= 0:
            continue
        room = {d: _groups_to_clear(state, deployment, d) for d in state.domains}
        possible = {d: moved for d, moved in room.items() if moved is not None}
        if possible:
            domain = min(possible, key=lambda d: (len(possible[d]), d))
            _clear(state, deployment, domain, possible[domain])


def _groups_to_clear(
    state: _PlanState, deployment: Deployment, domain: str
) -> tuple[PlanGroup, ...] | None:
    """Return the groups to clear from a domain, None if that is not worth it."""
    free = len(state.free.get(domain, ()))
    missing = deployment.hosts_per_group - free - state.draining_hosts(domain)
    if missing <= 0:
        # The hosts that are draining already suffice.
        return ()
    elsewhere = {d: len(pool) for d, pool in state.free.items() if d != domain}
    gain = _gain_of_forming(state, deployment, free)
    cleared: list[PlanGroup] = []
    for group in _smaller_groups(state, deployment, domain):
        size = len(group.hosts)
        target = next((d for d in elsewhere if elsewhere[d] >= size), None)
        if target is None:
            gain -= state.deployment(group).weights.group_downtime
        else:
            elsewhere[target] -= size
        cleared.append(group)
        missing -= size
        if missing <= 0:
            return tuple(cleared) if gain > 0 else None
    return None


def _gain_of_forming(
    state: _PlanState, deployment: Deployment, idle_hosts: int
) -> float:
    """Return the value of a second with one more group and fewer idle hosts."""
    weights = deployment.weights
    idle = idle_hosts * state.accelerators_per_host
    return weights.group_downtime + weights.stranded_accelerators * idle


def _smaller_groups(
    state: _PlanState, deployment: Deployment, domain: str
) -> list[PlanGroup]:
    weight = deployment.weights.group_downtime
    found = [
        group
        for group in state.groups.values()
        if len(group.hosts) < deployment.hosts_per_group
        and state.deployment(group).weights.group_downtime <= weight
        and all(
            state.hosts[h].domain == domain for h in group.hosts if h in state.hosts
        )
        and not state.is_broken(group)
    ]
    return sorted(found, key=lambda g: (-len(g.hosts), g.name))


def _clear(
    state: _PlanState,
    deployment: Deployment,
    domain: str,
    groups: tuple[PlanGroup, ...],
) -> None:
    for group in groups:
        state.dissolve(group, f"makes room for {deployment.name}")
    if len(state.free.get(domain, ())) >= deployment.hosts_per_group:
        state.form(deployment, domain)
    _form_missing(state)


def _domain_for(state: _PlanState, deployment: Deployment) -> str | None:
    """Return the domain for a new group, None if it fits nowhere.

    A free host that is left over counts as a spare or as stranded, depending on the
    deployment's weights.
    """
    size = deployment.hosts_per_group
    reserved = _reserved_spares(state, deployment)
    total = sum(len(pool) for pool in state.free.values())
    if total - size < reserved:
        return None
    candidates = [d for d, pool in sorted(state.free.items()) if len(pool) >= size]
    if not candidates:
        return None
    prefers_spares = _keeps_spares(state, deployment)

    def left_over(domain: str) -> int:
        return (len(state.free[domain]) - size) % size

    if prefers_spares:
        return max(candidates, key=lambda d: (min(1, left_over(d)), len(state.free[d])))
    return min(candidates, key=lambda d: (left_over(d), len(state.free[d])))


def _reserved_spares(state: _PlanState, deployment: Deployment) -> int:
    """Return how many hosts other deployments of no less weight keep as spares."""
    weight = deployment.weights.group_downtime
    return sum(
        d.spares
        for d in state.deployments.values()
        if d.name != deployment.name
        and d.weights.group_downtime >= weight
        and _keeps_spares(state, d)
    )


def _keeps_spares(state: _PlanState, deployment: Deployment) -> bool:
    """Return whether downtime weighs more than one host's idle accelerators."""
    weights = deployment.weights
    idle = state.accelerators_per_host
    return weights.group_downtime > weights.stranded_accelerators * idle


def _repair_across_domains(state: _PlanState) -> None:
    for group in _broken_by_urgency(state):
        if not state.deployment(group).span_domains or not state.survivors(group):
            continue
        missing = _missing_hosts(state, group)
        if sum(len(pool) for pool in state.free.values()) < missing:
            continue
        joining: tuple[str, ...] = ()
        for domain in sorted(state.free, key=lambda d: -len(state.free[d])):
            joining += state.take(domain, missing - len(joining))
        state.repair(group, joining)


def _relocate(state: _PlanState) -> None:
    """Form a broken group anew in a domain that has enough hosts.

    The domain of its survivors has no replacement, so the choice is between a cold
    load elsewhere and waiting for the lost host to return.
    """
    for group in _broken_by_urgency(state):
        deployment = state.deployment(group)
        may_return_warm = state.survivors(group) != ()
        if may_return_warm and deployment.load_seconds > RETURN_SECONDS:
            continue
        domain = _domain_for(state, deployment)
        if domain is not None:
            state.dissolve(group, "forms anew in another domain")
            state.form(deployment, domain)


def _give_up_waiting(state: _PlanState) -> None:
    """Dissolve a broken group whose survivors are more useful elsewhere.

    Survivors keep their weights loaded and serve again as soon as the lost host is
    back. If another deployment could use them now, the costs are compared: waiting
    saves the downtime of a cold load, but leaves the survivors' accelerators idle.
    """
    for group in _broken_by_urgency(state):
        if any(state.hosts[h].leaving for h in group.hosts if h in state.hosts):
            state.dissolve(group, "a member leaves for good")
        elif not state.survivors(group):
            # No accelerator is stranded. A planner that is cut off from the engines
            # sees no member of any group; dissolving them would reload all weights.
            continue
        elif _is_waiting_too_costly(state, group) and _helps_another(state, group):
            state.dissolve(group, "serves better elsewhere")
            _form_missing(state)


def _is_waiting_too_costly(state: _PlanState, group: PlanGroup) -> bool:
    deployment = state.deployment(group)
    idle = sum(state.hosts[h].accelerators for h in state.survivors(group))
    saved = deployment.weights.group_downtime * deployment.load_seconds
    cost = deployment.weights.stranded_accelerators * idle * RETURN_SECONDS
    return cost > saved


def _helps_another(state: _PlanState, group: PlanGroup) -> bool:
    home = _home_domain(state, group)
    freed = len(state.free.get(home or "", ())) + len(state.survivors(group))
    return any(
        other.name != group.deployment
        and other.hosts_per_group <= freed
        and _missing_groups(state, other) > 0
        for other in state.deployments.values()
    )
