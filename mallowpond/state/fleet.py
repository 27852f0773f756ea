"""Data classes for targets, their processes and groups, and for engine profiles."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from mallowpond.state.decoding import LOCAL, Address, Identifier, Name, Positive

# Key of a formation: the group's name and epoch.
GroupKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class Process:
    """Identity of one process of a back end: a restart keeps `id` and changes `born`.

    `born` is the start time by the host's clock, which may be stepped. So values of
    `born` can only be compared for equality: the larger one need not be the later
    process. It is None where back ends do not report a start time.
    """

    id: str
    born: int | None


@dataclass(frozen=True, kw_only=True)
class ModelSpec:
    """A model; its times are those of a whole group of `size` engines.

    share: the model's declared share of all work, counted in engines.
    pace: factor on the time of a step, relative to the profile's `step_seconds`.
    load_seconds: time to join with weights that must be loaded from the weight store.
    warm_seconds: time to join with weights that are staged on the host.
    """

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_seconds: float = 0.0
    warm_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """Declared timing and limits of a service's engines.

    slots: requests that a group runs at the same time.
    stride: decoding steps per event of a stream, hence tokens per event; the steps of
        one event are called a pass.
    step_seconds: base time of a decoding step.
    request_seconds: time that each running request adds to a step.
    context_seconds_per_k: time that a running request adds per 1000 context tokens.
    prefill_tokens_per_second: speed at which prompts are read.
    loads_per_second, loads_at_once: limits on weight loads of all engines together.
    cross_domain_factor: slowdown of a group whose members are in several domains.
    """

    slots: int
    models: tuple[ModelSpec, ...] = ()
    stride: int = 1
    step_seconds: float = 0.0
    request_seconds: float = 0.0
    context_seconds_per_k: float = 0.0
    prefill_tokens_per_second: float = 1.0
    loads_per_second: float = 0.0
    loads_at_once: int = 1
    typical_prompt_tokens: float = 0.0
    typical_answer_tokens: float = 0.0
    cross_domain_factor: float = 1.0

    def model(self, name: str) -> ModelSpec | None:
        """Return the model called `name`, or None."""
        return next((m for m in self.models if m.name == name), None)


class GroupPhase(str, Enum):
    """State of an engine in its group; only heads are open or closing.

    JOINING: it has accepted the join and prepares, for example loads weights. READY: it
    can serve once the head is ordered to open. OPEN: the head accepts requests.
    CLOSING: it accepts no more; once the running ones have ended, it is READY again.
    BROKEN: the group cannot serve.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class BreakCause(str, Enum):
    """How it became known that a formation no longer serves."""

    # The head answered that it is another engine, or has no open group.
    REFUSED = "refused"
    # A member restarted, and its new process has no state of the formation.
    RESTARTED = "restarted"


@dataclass(frozen=True, kw_only=True)
class Membership:
    """Place of an engine in a formation, as the engine reports it.

    A formation is one epoch of a group: one set of processes that were ordered to serve
    a model together. Any change of members needs a new formation. The member of rank 0
    is the head, which gets the requests of the whole group.
    """

    group: Name
    epoch: int
    rank: int
    phase: GroupPhase


@dataclass(frozen=True, kw_only=True)
class Target:
    """One process of a back end as the platform's list of targets describes it.

    An engine is a target that runs models; others belong to plain services.

    "The list" means this list as last read, and "listed" targets those in it. Each
    target writes its own entry and renews it; an entry that is not renewed expires.

    id, born: identity of the process, see `Process`.
    slots: requests that it runs at the same time.
    draining: it is leaving, that is it has announced that it will stop.
    lapsed: its entry expired without such an announcement; it may still run, for
        example behind a network partition.
    domain: its fabric domain, within which a group runs at full speed.
    model: the model that the process has loaded or is loading, empty if none.
    staged: models whose weights are on its host, so that joining needs no load.
    cold_seconds: how much longer it stays cold, as of the writing of its entry; None if
        another host sent the entry. It counts down in each entry, so it is no change
        of the target and is not sent to other hosts.
    """

    id: Identifier
    service: Name
    address: Address
    data_centre: Name
    slots: Positive
    draining: bool = False
    lapsed: bool = False
    domain: str = ""
    model: str = ""
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    born: int | None = None
    cold_seconds: float | None = field(default=None, compare=False, metadata=LOCAL)

    # Cached: it is used for every target at each change of the list.
    @cached_property
    def process(self) -> Process:
        """Return the identity of the process."""
        return Process(id=self.id, born=self.born)

    @cached_property
    def group_key(self) -> GroupKey | None:
        """Return the key of the formation that it is a member of, or None."""
        member = self.membership
        return None if member is None else (member.group, member.epoch)


@dataclass(frozen=True, kw_only=True)
class Group:
    """The listed members of one formation, by rank; some may be missing.

    Derived properties are cached, because each placement of a stream reads them for
    all groups, which may have 32 members each.
    """

    name: str
    epoch: int
    model: str
    members: tuple[Target, ...]

    @cached_property
    def key(self) -> tuple[str, int]:
        """Return the unique key of this formation."""
        return (self.name, self.epoch)

    @cached_property
    def head(self) -> Target | None:
        """Return the member of rank 0, None when it is not listed."""
        first = self.members[0]
        return first if _membership(first).rank == 0 else None

    @cached_property
    def phase(self) -> GroupPhase | None:
        """Return the phase that the head reports, None when it is not listed."""
        head = self.head
        return None if head is None else _membership(head).phase

    @cached_property
    def spans_domains(self) -> bool:
        """Return whether the members are in different fabric domains."""
        return len({member.domain for member in self.members}) > 1

    @cached_property
    def data_centres(self) -> frozenset[str]:
        """Return the data centres of the members."""
        return frozenset(member.data_centre for member in self.members)

    @cached_property
    def is_leaving(self) -> bool:
        """Return whether a member has announced that it will stop."""
        return any(member.draining for member in self.members)


def _membership(target: Target) -> Membership:
    assert target.membership is not None
    return target.membership


def assemble_groups(targets: Iterable[Target]) -> dict[tuple[str, int], Group]:
    """Assemble the targets that report the same group and epoch, by formation key.

    A formation belongs to the service of most of its members. An entry of another
    service that names the formation comes from another writer and is left out, since
    it would take the rank of a real member.
    """
    reported: dict[tuple[str, int], list[Target]] = {}
    for target in targets:
        if target.membership is not None:
            key = (target.membership.group, target.membership.epoch)
            reported.setdefault(key, []).append(target)
    groups = {}
    for key, candidates in reported.items():
        services = Counter(target.service for target in candidates)
        service = max(sorted(services), key=services.__getitem__)
        members = [target for target in candidates if target.service == service]
        members.sort(key=lambda t: _membership(t).rank)
        groups[key] = Group(
            name=key[0],
            epoch=key[1],
            model=members[0].model,
            members=tuple(members),
        )
    return groups


def ids_without_start_time(
    listed: Mapping[str, Target], known: Mapping[str, Target]
) -> frozenset[str]:
    """Return the ids of listed targets whose entries lack an expected `born`.

    An entry of another writer may lack any field; if used, it would name a back end
    that does not exist. A start time is expected if most of the known targets have
    one, or if the known target with the same `id` has one; so nothing is left out
    where back ends report no start times at all.
    """
    with_start = sum(t.born is not None for t in known.values())
    is_usual = 2 * with_start > len(known)
    return frozenset(
        target.id
        for target in listed.values()
        if target.born is None
        and (is_usual or (target.id in known and known[target.id].born is not None))
    )
