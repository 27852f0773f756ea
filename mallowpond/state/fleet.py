"""Model engines, their groups, and the timing that their operator declares."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import cached_property

from mallowpond.state.decoding import Address, Identifier, Name, Positive

# A group's name and epoch, which tell one formation from every other.
GroupKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class Process:
    """Name one process of a back end: a restart keeps `id` and changes `born`.

    `born` is a time of day, which may be stepped: two values tell two processes
    apart, and never which of them is the later one. It is None where back ends do not
    tell it.
    """

    id: str
    born: int | None


@dataclass(frozen=True, kw_only=True)
class ModelSpec:
    """Describe a model; times are those of a whole group of `size` engines."""

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_seconds: float = 0.0
    warm_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """Hold the declared timing and limits of a service's engines."""

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
        """Return the model called `name`."""
        return next((m for m in self.models if m.name == name), None)


class GroupPhase(str, Enum):
    """Say how far an engine is in its group; only heads are open or closing."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class BreakCause(str, Enum):
    """Say how it became known that a formation serves no more."""

    # Its head answered that it is another engine, or holds no open group.
    REFUSED = "refused"
    # A member is another process now, which holds nothing of the formation.
    RESTARTED = "restarted"


@dataclass(frozen=True, kw_only=True)
class Membership:
    """Place an engine in one formation of a group; rank 0 is the head."""

    group: Name
    epoch: int
    rank: int
    phase: GroupPhase


@dataclass(frozen=True, kw_only=True)
class Target:
    """Describe one process of a back end as the platform lists it.

    `born` tells it from other processes under the same `id` (see `Process`). A
    `lapsed` target fell out of the list by its silence, without having left.
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

    # Kept: it is asked for each target at each change of the list.
    @cached_property
    def process(self) -> Process:
        """Return which process this is."""
        return Process(id=self.id, born=self.born)

    @cached_property
    def group_key(self) -> GroupKey | None:
        """Return the formation that it stands in, None if in none."""
        member = self.membership
        return None if member is None else (member.group, member.epoch)


@dataclass(frozen=True, kw_only=True)
class Group:
    """Gather the members of one formation that are listed now, by rank.

    What follows from the members is kept, since each placing of a stream asks it of all
    groups, which may have 32 members each.
    """

    name: str
    epoch: int
    model: str
    members: tuple[Target, ...]

    @cached_property
    def key(self) -> tuple[str, int]:
        """Return what tells this formation from every other."""
        return (self.name, self.epoch)

    @cached_property
    def head(self) -> Target | None:
        """Return the member that requests are sent to, None when it is not listed."""
        first = self.members[0]
        return first if _membership(first).rank == 0 else None

    @cached_property
    def phase(self) -> GroupPhase | None:
        """Return what the head reports, None when the head is not listed."""
        head = self.head
        return None if head is None else _membership(head).phase

    @cached_property
    def spans_domains(self) -> bool:
        """Tell whether the members stand in different fabric domains."""
        return len({member.domain for member in self.members}) > 1

    @cached_property
    def is_leaving(self) -> bool:
        """Tell whether a member is about to stop."""
        return any(member.draining for member in self.members)


def _membership(target: Target) -> Membership:
    assert target.membership is not None
    return target.membership


def assemble_groups(targets: Iterable[Target]) -> dict[tuple[str, int], Group]:
    """Gather targets that report the same group and epoch.

    A formation belongs to the service of most of its members: an entry of another one
    that names it is of another writer, and would take the place of a member.
    """
    members: dict[tuple[str, int], list[Target]] = {}
    for target in targets:
        if target.membership is not None:
            key = (target.membership.group, target.membership.epoch)
            members.setdefault(key, []).append(target)
    groups = {}
    for key, reported in members.items():
        services = Counter(target.service for target in reported)
        service = max(sorted(services), key=services.__getitem__)
        found = [target for target in reported if target.service == service]
        found.sort(key=lambda t: _membership(t).rank)
        groups[key] = Group(
            name=key[0],
            epoch=key[1],
            model=found[0].model,
            members=tuple(found),
        )
    return groups


def ids_without_start_time(
    listed: Mapping[str, Target], known: Mapping[str, Target]
) -> frozenset[str]:
    """Return the listed targets whose entries lack the start that others tell.

    An entry of another writer may lack any field; used, it would name a back end that
    is not there. Where back ends tell no start at all, none is missed: by the others of
    the list, and by what was known of the same `id`.
    """
    told = sum(t.born is not None for t in known.values())
    is_usual = 2 * told > len(known)
    return frozenset(
        target.id
        for target in listed.values()
        if target.born is None
        and (is_usual or (target.id in known and known[target.id].born is not None))
    )
