"""Input of the group formation planner, and the orders that it can give.

An epoch is the number of one forming of a group: a group that is formed again gets a
new one. The head of a group is its member of rank 0, which takes its requests. "The
list" is the platform's list of targets, see `Target`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from mallowpond.state.fleet import EngineProfile, ModelSpec, Process, Target
from mallowpond.state.rebalancing import RebalancingView
from mallowpond.state.slow_members import RegroupingView


class EndCause(str, Enum):
    """Why a group gets no more work."""

    LOST_MEMBER = "lost_member"
    MISSING_MEMBER = "missing_member"
    LEAVING_MEMBER = "leaving_member"
    SUSPECTED = "suspected"
    HEADLESS = "headless"
    INCOMPLETE = "incomplete"
    CLOSED = "closed"
    EVACUATED = "evacuated"
    SLOW_MEMBER = "slow_member"
    SPANS_DOMAINS = "spans_domains"
    REBALANCED = "rebalanced"


@dataclass(frozen=True, kw_only=True)
class Join:
    """Order a target to become a member of a group; `loads` if it must load weights."""

    target: Target
    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    loads: bool = False


@dataclass(frozen=True, kw_only=True)
class Open:
    """Order a head to accept requests."""

    target: Target
    group: str
    epoch: int


@dataclass(frozen=True, kw_only=True)
class Close:
    """Order a head to accept no more requests; with `evict`, end the running ones."""

    target: Target
    group: str
    epoch: int
    evict: bool
    cause: EndCause | None = field(default=None, compare=False)


@dataclass(frozen=True, kw_only=True)
class Leave:
    """Order a member to leave its group, which breaks the group.

    This frees the target, which goes on running. It is not thereby a "leaving" target:
    that is one about to shut down.
    """

    target: Target
    group: str
    epoch: int
    cause: EndCause | None = field(default=None, compare=False)


@dataclass(frozen=True, kw_only=True)
class Stage:
    """Order a target to load a model's weights onto its host, without joining a group.

    They are then staged there, so that a later join needs no load.
    """

    target: Target
    model: str


# An order to one target.
Step = Join | Open | Close | Leave | Stage


@dataclass(frozen=True, kw_only=True)
class Formation:
    """One epoch of a group, that is one set of members, as this planner ordered it.

    `members` are the ids of the targets that were ordered to join, by rank, and
    `ordered_at` is the time of the order. Which of them the list shows as members
    so far is in the `Group` with the same name and epoch.
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    ordered_at: float

    @property
    def key(self) -> tuple[str, int]:
        """Return the unique key of this formation."""
        return (self.group, self.epoch)


@dataclass(frozen=True, kw_only=True)
class FormationView:
    """Input of one planning round.

    demand: estimated share of all work per model, in the unit of `ModelSpec.share`,
        which applies where a model is absent.
    streams: running streams of each open group that serves.
    utilization: requests per slot of each model's open groups; above 1 they queue.
    lost: ids of targets that do not answer probes, or that another process replaced.
    busy: ids of targets with an order under way.
    formations: formations that this planner ordered, whose full member lists it knows.
    first_seen: time at which this planner first saw each listed group.
    seen: processes that were ordered into each formation or listed as its members. If
        another process runs under the id of one of them, that member has restarted.
    disclaimed: formations of which a listed member, asked directly, reports that it is
        in another one or in none.
    repeatedly_suspected: groups that were suspected several times for sending no
        events (pieces of output) on their streams, although all of their members
        answered probes.
    closed: groups whose head was ordered to close, or whose members to leave; they
        are dissolved once they are idle, and not opened again.
    leaving_since: time at which each target was first seen to be about to shut down.
    loads_begun: times of recent orders that load weights.
    loading: models that targets were ordered to load and do not list as loaded yet.
    is_before_traffic: no request has arrived yet in this installation.
    is_settled: the list is complete; false during and just after a store outage.
    newest_target_at: time at which the last new target appeared.
    rebalancing: what is known for moving engines between models; None if that is off.
    evacuated: data centres in which nothing is formed, staged or repaired.
    regrouping: what is known for forming groups anew around slow members; None if that
        is off.
    is_silent: nearly all targets are silent for a cause that they share, or were just
        before: the list need not show their state.
    """

    profile: EngineProfile
    targets: tuple[Target, ...]
    now: float
    next_epoch: int
    demand: dict[str, float] = field(default_factory=dict)
    streams: Mapping[tuple[str, int], int] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
    lost: frozenset[str] = frozenset()
    busy: frozenset[str] = frozenset()
    formations: dict[tuple[str, int], Formation] = field(default_factory=dict)
    first_seen: dict[tuple[str, int], float] = field(default_factory=dict)
    seen: dict[tuple[str, int], frozenset[Process]] = field(default_factory=dict)
    disclaimed: frozenset[tuple[str, int]] = frozenset()
    repeatedly_suspected: frozenset[tuple[str, int]] = frozenset()
    closed: frozenset[tuple[str, int]] = frozenset()
    leaving_since: dict[str, float] = field(default_factory=dict)
    loads_begun: tuple[float, ...] = ()
    loading: dict[str, str] = field(default_factory=dict)
    is_before_traffic: bool = False
    is_settled: bool = True
    newest_target_at: float = float("-inf")
    rebalancing: RebalancingView | None = None
    evacuated: frozenset[str] = frozenset()
    regrouping: RegroupingView | None = None
    is_silent: bool = False

    @property
    def dissolving(self) -> Mapping[tuple[str, int], float]:
        """Return the groups dissolved for their slow members, and since when."""
        return {} if self.regrouping is None else self.regrouping.dissolving

    def is_slow(self, identifier: str) -> bool:
        """Return whether a target is slow and stays out of new groups."""
        known = self.regrouping
        pace = None if known is None else known.paces.get(identifier)
        return pace is not None and pace.is_avoided(self.now)


def needs_load(target: Target, model: ModelSpec) -> bool:
    """Return whether a target must load a model's weights before it can serve it.

    A load copies them from the weight store to the host.
    """
    return target.model != model.name and model.name not in target.staged


def make_join(target: Target, formation: Formation, model: ModelSpec) -> Join:
    """Return the order that makes a target join a formation."""
    return Join(
        target=target,
        group=formation.group,
        epoch=formation.epoch,
        model=formation.model,
        members=formation.members,
        loads=needs_load(target, model),
    )
