"""Track the load of every group from all hosts, and learn each group's pace."""

from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace

from mallowpond.coordination.ports import Clock
from mallowpond.node.peer_loads import Grant, LoadsByGroup, PeerLoads
from mallowpond.state.fleet import EngineProfile, Group, GroupKey
from mallowpond.state.group_pace import (
    FRESH_SECONDS,
    SLOW,
    GroupPaces,
    clamped,
    decayed,
    is_fresh,
)
from mallowpond.state.placement import GroupLoad

# Time for which the load totals that a reader published are used, in seconds.
TOTALS_TTL_SECONDS = 0.7
# Typical age of other hosts' loads, in seconds: in the readers' totals, about two
# publishing intervals; in the hosts' own heartbeats, one.
TOTALS_AGE_SECONDS = 0.3
HEARTBEAT_AGE_SECONDS = 0.1
# Weight of a new observation in the moving average of a group's slowness.
SLOWNESS_SMOOTHING = 0.1
# Consecutive gaps on pace after which a group's earlier slowness is forgotten. Gaps of
# events that arrive in bursts are shorter than `ON_PACE` and do not count.
ON_PACE_GAPS = 2
ON_PACE = (0.7, 1.3)
# Largest slowness that a late first event shows: it may have waited behind prompts
# that this host does not know of.
MAX_FIRST_EVENT_SLOWNESS = 6.0
# Weight of a late first event in the moving average.
FIRST_EVENT_SMOOTHING = 0.3
# Number of gaps whose median is reported.
RECENT_GAPS = 3
# Shortest silence after which a group on pace may have turned slow, in seconds.
MIN_QUIET_SECONDS = 0.06
# Interval at which this host's own observations enter the agreed pace, in seconds.
OWN_PACE_SECONDS = 0.05


@dataclass(kw_only=True)
class GroupWork:
    """This host's own streams on one group, and what it observed of the group.

    `slowness` is the observed pass time over the declared one; the group gets no new
    streams until `excluded_until`.
    """

    running: int = 0
    prefill_tokens: float = 0.0
    slowness: float = 1.0
    # When `slowness` was last observed, and the gaps on pace since the last other one.
    observed_at: float = float("-inf")
    gaps_on_pace: int = 0
    # Slowness by each of the last gaps, and the latest one at the declared pace, in
    # seconds.
    recent: tuple[float, ...] = ()
    declared_gap: float = 0.0
    last_event_at: float = 0.0
    excluded_until: float = 0.0
    # Until then its head may end streams, as the planner closes or dissolves it.
    closing_until: float = 0.0
    suspicions: int = 0
    # Last backoff after the group rejected a stream; an event resets it to 0.
    backoff_seconds: float = 0.0

    def forget_observations(self) -> None:
        """Reset the observed pace."""
        self.slowness = 1.0
        self.observed_at = float("-inf")
        self.gaps_on_pace = 0
        self.recent = ()

    def forget_pace(self) -> None:
        """Reset what earlier engine processes showed; keep the stream counts."""
        self.forget_observations()
        self.excluded_until = 0.0
        self.suspicions = 0
        self.backoff_seconds = 0.0

    @property
    def reported_slowness(self) -> float:
        """Return the slowness to report: at once near that of the last gaps.

        One host has too few streams on a group for the moving average to follow a group
        that is slow for 9 s; the median of the last gaps follows within two of them.
        After a gap on pace, a slowness remembered from before is not reported.
        """
        if self.gaps_on_pace and len(self.recent) < RECENT_GAPS:
            return self.recent[-1]
        if len(self.recent) < RECENT_GAPS:
            return self.slowness
        return max(self.slowness, sorted(self.recent)[RECENT_GAPS // 2])

    def has_fresh_pace(self, now: float) -> bool:
        """Return whether the pace was observed lately.

        A group that was on pace and has since been silent for longer than two gaps may
        have turned slow.
        """
        slowness = self.reported_slowness
        age = now - self.observed_at
        if slowness < SLOW and age > max(MIN_QUIET_SECONDS, 2.0 * self.declared_gap):
            return False
        return is_fresh(slowness, age)


class GroupLoads:
    """The load of each group: this host's own, and that reported by the other hosts."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._work: dict[GroupKey, GroupWork] = defaultdict(GroupWork)
        self._peers = PeerLoads()
        self._totals: LoadsByGroup = {}
        self._totals_at = float("-inf")
        self._published: LoadsByGroup = {}
        self.paces = GroupPaces()
        self._own_pace_at = float("-inf")

    def now(self) -> float:
        """Return the time that loads and paces refer to."""
        return self._clock.now()

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
                slowness=self._slowness(key, own, now),
            )
        others, others_prefill = self._peers.total(key, now)
        return GroupLoad(
            running=running + others,
            prefill_tokens=prefill + others_prefill,
            slowness=self._slowness(key, own, now),
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

    def _slowness(self, key: GroupKey, work: GroupWork, now: float) -> float:
        """Return a group's slowness for this host's own streams.

        What this host observes itself counts while it is fresh, as its own link may be
        slow; else what the hosts agree on; else what it observed last. A group that is
        slow here may be slower than this host has learnt so far.
        """
        # A first event shows no pace, so it must not end the decay.
        known_at = work.last_event_at
        if work.observed_at > 0.0:
            known_at = min(known_at, work.observed_at)
        own = decayed(work.slowness, now - known_at)
        if not self.paces.has_slow:
            return own
        agreed = self.paces.value(key, now)
        if agreed is None:
            return own
        if work.has_fresh_pace(now):
            return max(own, agreed) if work.slowness >= SLOW else own
        return agreed

    def shared_load_of(self, group: Group, profile: EngineProfile) -> GroupLoad:
        """Return a group's load with the pace that the hosts agree on, if any."""
        load = self.load_of(group, profile)
        if not self.paces.has_slow:
            return load
        agreed = self.paces.value(group.key, self._clock.now())
        if agreed is None:
            return load
        factor = profile.cross_domain_factor if group.spans_domains else 1.0
        return replace(load, slowness=agreed * factor)

    def own_paces(self) -> dict[GroupKey, float]:
        """Return the slowness that this host observed lately, by group, to be reported.

        It is empty unless a group is slow, or faster here than some host reported.
        """
        now = self._clock.now()
        paces, is_needed = {}, False
        for key, work in self._work.items():
            if not work.running or not work.has_fresh_pace(now):
                continue
            paces[key] = work.reported_slowness
            if paces[key] >= SLOW or self.paces.is_discussed(key, now):
                is_needed = True
        return paces if is_needed else {}

    def all_paces(self, groups: Iterable[GroupKey]) -> dict[GroupKey, float]:
        """Return the agreed slowness of these groups, as a reader publishes it."""
        self._record_own_paces()
        return self.paces.to_publish(groups, self._clock.now())

    def record_peer_paces(
        self, name: str, paces: dict[GroupKey, tuple[float, int]]
    ) -> None:
        """Record the slowness that a peer observed, and its streams, by group."""
        self.paces.record(name, paces, self._clock.now())

    def _record_own_paces(self) -> None:
        """Count this host as one observer of the groups that some host reported."""
        now = self._clock.now()
        if now - self._own_pace_at < OWN_PACE_SECONDS:
            return
        self._own_pace_at = now
        own = {k: (v, self._work[k].running) for k, v in self.own_paces().items()}
        self.paces.record("", own, now)

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
        work, now = self._work[key], self._clock.now()
        # The prediction holds for the slowness that was assumed.
        assumed = self._slowness(key, work, now)
        observed = clamped(seconds / max(predicted, 1e-4) * assumed)
        self._begin_observation(work, assumed, now)
        low, high = ON_PACE
        work.recent = (*work.recent[1 - RECENT_GAPS :], observed)
        work.declared_gap = predicted / assumed
        work.gaps_on_pace = work.gaps_on_pace + 1 if low <= observed <= high else 0
        weight = SLOWNESS_SMOOTHING
        if work.slowness >= SLOW and work.gaps_on_pace >= ON_PACE_GAPS:
            weight = 1.0
        self._observe(work, observed, weight)

    def record_first_event(
        self, key: GroupKey, seconds: float, predicted: float
    ) -> None:
        """Update a group's slowness by the delay of a first event, or by its lack.

        It counts only where no gap was observed lately: the delay may come from prompts
        that other hosts sent meanwhile, so it is bounded.
        """
        work, now = self._work[key], self._clock.now()
        if now - work.observed_at <= FRESH_SECONDS:
            return
        ratio = seconds / max(predicted, 1e-4)
        observed = min(MAX_FIRST_EVENT_SLOWNESS, ratio)
        assumed = self._slowness(key, work, now)
        if observed >= max(SLOW, assumed):
            self._begin_observation(work, assumed, now)
            work.gaps_on_pace = 0
            self._observe(work, observed, FIRST_EVENT_SMOOTHING)

    def _begin_observation(self, work: GroupWork, assumed: float, now: float) -> None:
        """Begin with what other hosts know if this one observed nothing lately.

        Else the first stream on a slow group would report it faster than it is.
        """
        if now - work.observed_at > FRESH_SECONDS:
            work.slowness, work.recent, work.gaps_on_pace = assumed, (), 0

    def _observe(self, work: GroupWork, observed: float, weight: float) -> None:
        work.slowness += weight * (observed - work.slowness)
        work.slowness = clamped(work.slowness)
        work.observed_at = self._clock.now()
        if work.reported_slowness >= SLOW or self.paces.has_slow:
            self._record_own_paces()

    def settle_grants(self, name: str, number: int) -> None:
        """Stop counting a host's grants up to a number: its loads include them."""
        self._peers.settle(name, number, self._clock.now())

    def record_totals(self, loads: LoadsByGroup) -> None:
        """Record the total loads of all hosts that a reader published."""
        self._totals = loads
        self._totals_at = self._clock.now()

    def forget_pace(self, key: GroupKey) -> None:
        """Forget the pace that a group's earlier processes showed."""
        self._work[key].forget_pace()
        self.paces.forget(key)

    def forget_own_paces(self) -> None:
        """Forget what this host itself observed of the pace of all groups."""
        for work in self._work.values():
            work.forget_observations()
        self.paces.record("", {}, self._clock.now())

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
            self.paces.forget(key)
