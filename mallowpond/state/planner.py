"""Plan which hosts form, repair or leave groups.

One pure function from what is known of hosts, deployments and groups to actions.
A group needs hosts of one fabric domain, unless its deployment allows spanning, so
the number of groups that a domain can carry is its usable hosts divided by the
group's size: `plan` reaches that bound by letting broken groups complete each other.
What the bound leaves open is decided by each deployment's weights for group downtime
and stranded accelerators.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property

from mallowpond.state.declarations import Deployment

RETURN_SECONDS = 120.0


@dataclass(frozen=True, kw_only=True)
class PlanHost:
    """Describe a host to the planner; only a usable one may join a group.

    `draining` marks a host whose group is ending, so that it will be free soon;
    `leaving` one that is going for good, so that nothing waits for its return.
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
    """Describe a group to the planner by its hosts in order of rank.

    `lost` names members that lost their place although their host may be usable,
    such as one that restarted.
    """

    name: str
    deployment: str
    hosts: tuple[str, ...]
    lost: frozenset[str] = frozenset()
    serving: bool = True
    stopped: bool = False


@dataclass(frozen=True, kw_only=True)
class Form:
    """Form a new group of these hosts."""

    deployment: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Repair:
    """Give a group these hosts instead of its present ones."""

    group: str
    hosts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Dissolve:
    """Free every host of a group."""

    group: str
    reason: str


Action = Form | Repair | Dissolve


@dataclass(kw_only=True)
class _Board:
    """Track free hosts and open groups while a plan is being made."""

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
    """Return the actions that bring the groups nearest to what is declared."""
    board = _Board(
        hosts={h.name: h for h in hosts},
        deployments={d.name: d for d in deployments},
        groups={g.name: g for g in groups},
    )
    _release_free_hosts(board)
    _dissolve_unwanted(board)
    _repair_from_free(board)
    _repair_from_broken(board)
    _repair_from_lighter(board)
    _form_missing(board)
    _make_room(board)
    _repair_across_domains(board)
    _relocate(board)
    _give_up_waiting(board)
    return tuple(board.actions)


def stranded(
    *,
    hosts: Iterable[PlanHost],
    deployments: Iterable[Deployment],
    groups: Iterable[PlanGroup],
) -> int:
    """Count accelerators on usable hosts in no serving group while groups lack."""
    serving = [g for g in groups if g.serving]
    wanted = sum(d.replicas for d in deployments)
    if len(serving) >= wanted:
        return 0
    busy = {h for g in serving for h in g.hosts}
    return sum(h.accelerators for h in hosts if h.usable and h.name not in busy)


def _release_free_hosts(board: _Board) -> None:
    bound = {h for g in board.groups.values() for h in g.hosts if h not in g.lost}
    lost = {h for g in board.groups.values() for h in g.lost}
    for host in board.hosts.values():
        is_free = host.group is None or host.name in lost
        if host.usable and is_free and host.name not in bound:
            board.release((host.name,))


def _dissolve_unwanted(board: _Board) -> None:
    for group in list(board.groups.values()):
        if group.deployment not in board.deployments:
            board.dissolve(group, "not declared")
        elif group.stopped:
            board.dissolve(group, "stopped")
    for deployment in board.deployments.values():
        held = [g for g in board.groups.values() if g.deployment == deployment.name]
        # Whole groups are kept before broken ones.
        held.sort(key=lambda g: (board.is_broken(g), g.name))
        for group in held[deployment.replicas :]:
            board.dissolve(group, "more than declared")


def _broken_by_urgency(board: _Board) -> list[PlanGroup]:
    broken = [g for g in board.groups.values() if board.is_broken(g)]
    return sorted(broken, key=lambda g: (*_urgency(board, g), g.name))


def _urgency(board: _Board, group: PlanGroup) -> tuple[float, int]:
    weight = board.deployment(group).weights.group_downtime
    return (-weight, _lacking(board, group))


def _lacking(board: _Board, group: PlanGroup) -> int:
    return len(group.hosts) - len(board.survivors(group))


def _home(board: _Board, group: PlanGroup) -> str | None:
    """Return the domain that most of the group's survivors stand in."""
    domains = [board.hosts[h].domain for h in board.survivors(group)]
    return max(sorted(set(domains)), key=domains.count, default=None)


def _repair_from_free(board: _Board) -> None:
    for group in _broken_by_urgency(board):
        home, lacking = _home(board, group), _lacking(board, group)
        if home is not None and len(board.free.get(home, ())) >= lacking:
            board.repair(group, board.take(home, lacking))


def _repair_from_broken(board: _Board) -> None:
    """Complete one broken group with the survivors of another in its domain."""
    for group in _broken_by_urgency(board):
        if group.name not in board.groups:
            continue
        home, lacking = _home(board, group), _lacking(board, group)
        while home is not None and len(board.free.get(home, ())) < lacking:
            donor = _broken_donor(board, group, home)
            if donor is None:
                break
            board.dissolve(donor, f"completes {group.name}")
        if home is not None and len(board.free.get(home, ())) >= lacking:
            board.repair(group, board.take(home, lacking))


def _broken_donor(board: _Board, group: PlanGroup, home: str) -> PlanGroup | None:
    others = [
        other
        for other in board.groups.values()
        if other.name != group.name
        and board.is_broken(other)
        and _home(board, other) == home
        and _urgency(board, other) >= _urgency(board, group)
    ]
    supply = sum(len(board.survivors(o)) for o in others)
    if supply + len(board.free.get(home, ())) < _lacking(board, group):
        return None
    return max(others, key=lambda g: (*_urgency(board, g), g.name), default=None)


def _repair_from_lighter(board: _Board) -> None:
    """Take a serving group apart for one whose downtime is declared to weigh more."""
    for group in _broken_by_urgency(board):
        home, lacking = _home(board, group), _lacking(board, group)
        if group.name not in board.groups or home is None:
            continue
        lighter = _lighter_groups(board, group, home)
        if not lighter:
            continue
        donor = min(lighter, key=lambda g: (len(g.hosts), g.name))
        if len(donor.hosts) + len(board.free.get(home, ())) < lacking:
            continue
        board.dissolve(donor, f"weighs less than {group.name}")
        board.repair(group, board.take(home, lacking))


def _lighter_groups(board: _Board, group: PlanGroup, home: str) -> list[PlanGroup]:
    weight = board.deployment(group).weights.group_downtime
    return [
        other
        for other in board.groups.values()
        if not board.is_broken(other)
        and _home(board, other) == home
        and board.deployment(other).weights.group_downtime < weight
    ]


def _form_missing(board: _Board) -> None:
    for deployment in _by_weight(board):
        for _ in range(_count_missing(board, deployment)):
            domain = _domain_for(board, deployment)
            if domain is None:
                break
            board.form(deployment, domain)


def _by_weight(board: _Board) -> list[Deployment]:
    return sorted(
        board.deployments.values(), key=lambda d: (-d.weights.group_downtime, d.name)
    )


def _count_missing(board: _Board, deployment: Deployment) -> int:
    held = sum(g.deployment == deployment.name for g in board.groups.values())
    return deployment.replicas - held


def _make_room(board: _Board) -> None:
    """Clear a domain of smaller groups where a larger one fits nowhere.

    Small groups scatter over the domains as hosts fail and return, and then leave no
    domain with enough free hosts; one notices a group that stays missing although
    enough hosts are free in all. A smaller group moves to another domain, or gives
    way where its downtime weighs less than what the larger one gains.
    """
    smallest = min((d.hosts_per_group for d in board.deployments.values()), default=0)
    for deployment in _by_weight(board):
        if deployment.hosts_per_group == smallest:
            continue
        if _count_missing(board, deployment) <= 0:
            continue
        room = {d: _room(board, deployment, d) for d in board.domains}
        possible = {d: moved for d, moved in room.items() if moved is not None}
        if possible:
            domain = min(possible, key=lambda d: (len(possible[d]), d))
            _clear(board, deployment, domain, possible[domain])


def _room(
    board: _Board, deployment: Deployment, domain: str
) -> tuple[PlanGroup, ...] | None:
    """Return the groups to clear from a domain, None where it does not pay."""
    free = len(board.free.get(domain, ()))
    lacking = deployment.hosts_per_group - free - board.draining_hosts(domain)
    if lacking <= 0:
        # Hosts that drain already make room; clearing more would be for nothing.
        return ()
    elsewhere = {d: len(pool) for d, pool in board.free.items() if d != domain}
    gain = _gain_of_forming(board, deployment, free)
    cleared: list[PlanGroup] = []
    for group in _smaller_groups(board, deployment, domain):
        size = len(group.hosts)
        target = next((d for d in elsewhere if elsewhere[d] >= size), None)
        if target is None:
            gain -= board.deployment(group).weights.group_downtime
        else:
            elsewhere[target] -= size
        cleared.append(group)
        lacking -= size
        if lacking <= 0:
            return tuple(cleared) if gain > 0 else None
    return None


def _gain_of_forming(board: _Board, deployment: Deployment, idle_hosts: int) -> float:
    """Return what a second with one more group and fewer idle hosts is worth."""
    weights = deployment.weights
    idle = idle_hosts * board.accelerators_per_host
    return weights.group_downtime + weights.stranded_accelerators * idle


def _smaller_groups(
    board: _Board, deployment: Deployment, domain: str
) -> list[PlanGroup]:
    weight = deployment.weights.group_downtime
    found = [
        group
        for group in board.groups.values()
        if len(group.hosts) < deployment.hosts_per_group
        and board.deployment(group).weights.group_downtime <= weight
        and all(
            board.hosts[h].domain == domain for h in group.hosts if h in board.hosts
        )
        and not board.is_broken(group)
    ]
    return sorted(found, key=lambda g: (-len(g.hosts), g.name))


def _clear(
    board: _Board,
    deployment: Deployment,
    domain: str,
    groups: tuple[PlanGroup, ...],
) -> None:
    for group in groups:
        board.dissolve(group, f"makes room for {deployment.name}")
    if len(board.free.get(domain, ())) >= deployment.hosts_per_group:
        board.form(deployment, domain)
    _form_missing(board)


def _domain_for(board: _Board, deployment: Deployment) -> str | None:
    """Choose a domain: a free host left over is a spare, or a stranded one."""
    size = deployment.hosts_per_group
    reserved = _reserved_spares(board, deployment)
    total = sum(len(pool) for pool in board.free.values())
    if total - size < reserved:
        return None
    fitting = [d for d, pool in sorted(board.free.items()) if len(pool) >= size]
    if not fitting:
        return None
    prefers_spares = _holds_spares(board, deployment)

    def left_over(domain: str) -> int:
        return (len(board.free[domain]) - size) % size

    if prefers_spares:
        return max(fitting, key=lambda d: (min(1, left_over(d)), len(board.free[d])))
    return min(fitting, key=lambda d: (left_over(d), len(board.free[d])))


def _reserved_spares(board: _Board, deployment: Deployment) -> int:
    """Count hosts that deployments of more weight keep free for repairs."""
    weight = deployment.weights.group_downtime
    return sum(
        d.spares
        for d in board.deployments.values()
        if d.name != deployment.name
        and d.weights.group_downtime >= weight
        and _holds_spares(board, d)
    )


def _holds_spares(board: _Board, deployment: Deployment) -> bool:
    """Tell whether downtime weighs more than one host's idle accelerators."""
    weights = deployment.weights
    idle = board.accelerators_per_host
    return weights.group_downtime > weights.stranded_accelerators * idle


def _repair_across_domains(board: _Board) -> None:
    for group in _broken_by_urgency(board):
        if not board.deployment(group).span_domains or not board.survivors(group):
            continue
        lacking = _lacking(board, group)
        if sum(len(pool) for pool in board.free.values()) < lacking:
            continue
        joining: tuple[str, ...] = ()
        for domain in sorted(board.free, key=lambda d: -len(board.free[d])):
            joining += board.take(domain, lacking - len(joining))
        board.repair(group, joining)


def _relocate(board: _Board) -> None:
    """Form a broken group anew in another domain that has hosts enough.

    Its survivors' domain has no replacement, so the choice is between a cold load
    elsewhere and waiting for the lost host to return.
    """
    for group in _broken_by_urgency(board):
        deployment = board.deployment(group)
        may_return_warm = board.survivors(group) != ()
        if may_return_warm and deployment.load_seconds > RETURN_SECONDS:
            continue
        domain = _domain_for(board, deployment)
        if domain is not None:
            board.dissolve(group, "forms anew in another domain")
            board.form(deployment, domain)


def _give_up_waiting(board: _Board) -> None:
    """Dissolve a broken group whose survivors serve better elsewhere.

    Survivors keep their weights loaded and serve again as soon as the lost host is
    back. Where another deployment could use them now, waiting is weighed: it saves
    the downtime of a cold load and costs the survivors' accelerators meanwhile.
    """
    for group in _broken_by_urgency(board):
        if any(board.hosts[h].leaving for h in group.hosts if h in board.hosts):
            board.dissolve(group, "a member leaves for good")
        elif not board.survivors(group):
            # Nothing is stranded, and a planner that is cut off from the engines sees
            # no member of any group: taking them apart would load all of them anew.
            continue
        elif _is_waiting_too_dear(board, group) and _helps_another(board, group):
            board.dissolve(group, "serves better elsewhere")
            _form_missing(board)


def _is_waiting_too_dear(board: _Board, group: PlanGroup) -> bool:
    deployment = board.deployment(group)
    idle = sum(board.hosts[h].accelerators for h in board.survivors(group))
    saved = deployment.weights.group_downtime * deployment.load_seconds
    cost = deployment.weights.stranded_accelerators * idle * RETURN_SECONDS
    return cost > saved


def _helps_another(board: _Board, group: PlanGroup) -> bool:
    home = _home(board, group)
    freed = len(board.free.get(home or "", ())) + len(board.survivors(group))
    return any(
        other.name != group.deployment
        and other.hosts_per_group <= freed
        and _count_missing(board, other) > 0
        for other in board.deployments.values()
    )
