"""Track the load of every group from all hosts, and learn each group's pace."""

from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from math import exp

from mallowpond.coordination.ports import Clock
from mallowpond.node.peer_loads import Grant, LoadsByGroup, PeerLoads
from mallowpond.state.fleet import EngineProfile, Group, GroupKey
from mallowpond.state.placement import GroupLoad

# Time for which the load totals that a reader published are used, in seconds.
TOTALS_TTL_SECONDS = 0.7
# Typical age of other hosts' loads, in seconds: in the readers' totals, about two
# publishing intervals; in the hosts' own heartbeats, one.
TOTALS_AGE_SECONDS = 0.3
HEARTBEAT_AGE_SECONDS = 0.1
# Weight of a new observation in the moving average of a group's slowness.
SLOWNESS_SMOOTHING = 0.1
# Time constant with which a group's slowness decays to 1 without events, in seconds.
SLOWNESS_SECONDS = 3.0
SLOWNESS_RANGE = (0.5, 30.0)


@dataclass(kw_only=True)
class GroupWork:
    """This host's own streams on one group, and what it observed of the group.

    `slowness` is the observed pass time over the declared one; the group gets no new
    streams until `excluded_until`.
    """

    running: int = 0
    prefill_tokens: float = 0.0
    slowness: float = 1.0
    last_event_at: float = 0.0
    excluded_until: float = 0.0
    # Until then its head may end streams, as the planner closes or dissolves it.
    closing_until: float = 0.0
    suspicions: int = 0
    # Last backoff after the group rejected a stream; an event resets it to 0.
    backoff_seconds: float = 0.0

    def forget_pace(self) -> None:
        """Reset what earlier engine processes showed; keep the stream counts."""
        self.slowness = 1.0
        self.excluded_until = 0.0
        self.suspicions = 0
        self.backoff_seconds = 0.0


class GroupLoads:
    """The load of each group: this host's own, and that reported by the other hosts."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._work: dict[GroupKey, GroupWork] = defaultdict(GroupWork)
        self._peers = PeerLoads()
        self._totals: LoadsByGroup = {}
        self._totals_at = float("-inf")
        self._published: LoadsByGroup = {}

    def work(self, key: GroupKey) -> GroupWork:
        """Return this host's own work on a group."""
        return self._work[key]

    def load(self, key: GroupKey) -> GroupLoad:
        """Return the load of a group from all hosts, as far as this one knows it."""
        now = self._clock.now()
        own = self._work[key]
        running, prefill = own.running, own.prefill_tokens
        if now - self._totals_at < TOTALS_TTL_SECONDS:
            others, others_prefill = self._others_total(key)
            return GroupLoad(
                running=running + others,
                prefill_tokens=prefill + others_prefill,
                slowness=self._slowness(own, now),
            )
        others, others_prefill = self._peers.total(key, now)
        return GroupLoad(
            running=running + others,
            prefill_tokens=prefill + others_prefill,
            slowness=self._slowness(own, now),
        )

    @property
    def load_age(self) -> float:
        """Return the typical age of other hosts' loads, in seconds."""
        if self._clock.now() - self._totals_at < TOTALS_TTL_SECONDS:
            return TOTALS_AGE_SECONDS
        return HEARTBEAT_AGE_SECONDS

    def _others_total(self, key: GroupKey) -> tuple[int, float]:
        """Return a group's published total less the part that this host reported."""
        running, prefill = self._totals.get(key, (0, 0.0))
        own_running, own_prefill = self._published.get(key, (0, 0.0))
        return max(0, running - own_running), max(0.0, prefill - own_prefill)

    def _slowness(self, work: GroupWork, now: float) -> float:
        """Return a group's slowness, which decays while the group sends no events.

        A slow group gets no streams, so without the decay nothing would ever show that
        it has recovered.
        """
        age = max(0.0, now - work.last_event_at)
        return 1.0 + (work.slowness - 1.0) * exp(-age / SLOWNESS_SECONDS)

    def load_of(self, group: Group, profile: EngineProfile) -> GroupLoad:
        """Return the load of a group, with a higher slowness if it spans domains."""
        load = self.load(group.key)
        if not group.spans_domains:
            return load
        return replace(load, slowness=load.slowness * profile.cross_domain_factor)

    def own_loads(self) -> LoadsByGroup:
        """Return this host's own loads by group, to be published."""
        return {
            key: (work.running, work.prefill_tokens)
            for key, work in self._work.items()
            if work.running
        }

    def all_loads(self, groups: Iterable[GroupKey]) -> LoadsByGroup:
        """Return the total loads of these groups, as a reader publishes them."""
        loads = {key: self.load(key) for key in groups}
        return {k: (v.running, v.prefill_tokens) for k, v in loads.items() if v.running}

    def record_published(self, loads: LoadsByGroup) -> None:
        """Record the part of this host's loads that the readers' totals include."""
        self._published = loads

    def record_peer_loads(
        self, name: str, loads: LoadsByGroup, grant_number: int = 0
    ) -> None:
        """Record a peer's loads, which include its grants up to `grant_number`."""
        self._peers.record(name, loads, grant_number, self._clock.now())

    def record_grant(
        self, name: str, number: int, key: GroupKey, tokens: float
    ) -> None:
        """Count a slot granted to a peer until the peer's loads include the stream."""
        now = self._clock.now()
        self._peers.grant(name, Grant(number=number, key=key, tokens=tokens, at=now))

    def take_freed(self) -> set[GroupKey]:
        """Return the groups where peers may run fewer streams since the last call."""
        return self._peers.take_freed()

    def record_gap(self, key: GroupKey, seconds: float, predicted: float) -> None:
        """Update a group's slowness by an observed and a predicted event gap."""
        work = self._work[key]
        low, high = SLOWNESS_RANGE
        ratio = min(high, max(low, seconds / max(predicted, 1e-4)))
        work.slowness += SLOWNESS_SMOOTHING * (ratio * work.slowness - work.slowness)
        work.slowness = min(high, max(low, work.slowness))

    def settle_grants(self, name: str, number: int) -> None:
        """Stop counting a host's grants up to a number: its loads include them."""
        self._peers.settle(name, number, self._clock.now())

    def record_totals(self, loads: LoadsByGroup) -> None:
        """Record the total loads of all hosts that a reader published."""
        self._totals = loads
        self._totals_at = self._clock.now()

    def all_work(self) -> Iterable[GroupWork]:
        """Return this host's own work on every group."""
        return self._work.values()

    def forget_idle(self, known: Container[GroupKey]) -> None:
        """Drop groups that are no longer known and have no stream of this host."""
        idle = [
            key
            for key, work in self._work.items()
            if key not in known and work.running == 0
        ]
        for key in idle:
            del self._work[key]
