"""Count the work that is known to be on each group, and learn its pace."""

from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from math import exp

from mallowpond.coordination.ports import Clock
from mallowpond.node.peer_work import Grant, LoadsByGroup, PeerWork
from mallowpond.state.fleet import EngineProfile, Group, GroupKey
from mallowpond.state.placement import GroupLoad

# Time that the readers' sums of all work count, in seconds.
TOTALS_SECONDS = 0.7
# Age of what is known of other hosts' work, in seconds: by the readers' sums, about two
# pauses between tellings; by the hosts' own heartbeats, one.
TOTALS_AGE_SECONDS = 0.3
HEARTBEAT_AGE_SECONDS = 0.1
# Weight of a new observation of a group's pace.
SLOWNESS_SMOOTHING = 0.1
# Time in which what is known of a group's pace fades, in seconds.
SLOWNESS_SECONDS = 3.0
SLOWNESS_RANGE = (0.5, 30.0)


@dataclass(kw_only=True)
class GroupWork:
    """Count this host's own streams on one group."""

    running: int = 0
    prefill_tokens: float = 0.0
    slowness: float = 1.0
    last_event_at: float = 0.0
    excluded_until: float = 0.0
    suspicions: int = 0
    # Length of the last pause after the group turned a stream away, 0 since an event.
    pause_seconds: float = 0.0

    def forget_pace(self) -> None:
        """Drop what the engines of before taught; what runs is counted on."""
        self.slowness = 1.0
        self.excluded_until = 0.0
        self.suspicions = 0
        self.pause_seconds = 0.0


class GroupLoads:
    """Hold this host's own work by group, and what others tell of theirs."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._work: dict[GroupKey, GroupWork] = defaultdict(GroupWork)
        self._peers = PeerWork()
        self._totals: LoadsByGroup = {}
        self._totals_at = float("-inf")
        self._told: LoadsByGroup = {}

    def work(self, key: GroupKey) -> GroupWork:
        """Return this host's own work on a group."""
        return self._work[key]

    def load(self, key: GroupKey) -> GroupLoad:
        """Return what is known of all hosts' work on a group."""
        now = self._clock.now()
        own = self._work[key]
        running, reading = own.running, own.prefill_tokens
        if now - self._totals_at < TOTALS_SECONDS:
            others, others_reading = self._others(key)
            return GroupLoad(
                running=running + others,
                prefill_tokens=reading + others_reading,
                slowness=self._slowness(own, now),
            )
        others, others_reading = self._peers.of(key, now)
        return GroupLoad(
            running=running + others,
            prefill_tokens=reading + others_reading,
            slowness=self._slowness(own, now),
        )

    @property
    def load_age(self) -> float:
        """Return how old the figures of other hosts' work mostly are, in seconds."""
        if self._clock.now() - self._totals_at < TOTALS_SECONDS:
            return TOTALS_AGE_SECONDS
        return HEARTBEAT_AGE_SECONDS

    def _others(self, key: GroupKey) -> tuple[int, float]:
        """Return the readers' sum of a group's work without this host's part of it."""
        running, reading = self._totals.get(key, (0, 0.0))
        told_running, told_reading = self._told.get(key, (0, 0.0))
        return max(0, running - told_running), max(0.0, reading - told_reading)

    def _slowness(self, work: GroupWork, now: float) -> float:
        """Return a group's slowness, forgotten while it sends nothing.

        A group that was slow gets no streams, so nothing would ever show that it has
        recovered.
        """
        age = max(0.0, now - work.last_event_at)
        return 1.0 + (work.slowness - 1.0) * exp(-age / SLOWNESS_SECONDS)

    def load_of(self, group: Group, profile: EngineProfile) -> GroupLoad:
        """Return the load of a group, slower where it spans domains."""
        load = self.load(group.key)
        if not group.spans_domains:
            return load
        return replace(load, slowness=load.slowness * profile.cross_domain_factor)

    def own_loads(self) -> LoadsByGroup:
        """Return this host's own work by group, for its peers."""
        return {
            key: (work.running, work.prefill_tokens)
            for key, work in self._work.items()
            if work.running
        }

    def all_loads(self, groups: Iterable[GroupKey]) -> LoadsByGroup:
        """Return all hosts' work on these groups, as a reader sums it up."""
        loads = {key: self.load(key) for key in groups}
        return {k: (v.running, v.prefill_tokens) for k, v in loads.items() if v.running}

    def record_published(self, loads: LoadsByGroup) -> None:
        """Note which of this host's work is part of the readers' sums."""
        self._told = loads

    def record_peer_loads(
        self, name: str, loads: LoadsByGroup, grant_number: int = 0
    ) -> None:
        """Note a peer's work by group, with the places up to number `grant_number`."""
        self._peers.note(name, loads, grant_number, self._clock.now())

    def note_grant(self, name: str, number: int, key: GroupKey, tokens: float) -> None:
        """Count a place that a peer was given until the peer tells of the stream."""
        now = self._clock.now()
        self._peers.grant(name, Grant(number=number, key=key, tokens=tokens, at=now))

    def note_gap(self, key: GroupKey, seconds: float, predicted: float) -> None:
        """Learn how a group's pace compares with what is declared."""
        work = self._work[key]
        low, high = SLOWNESS_RANGE
        ratio = min(high, max(low, seconds / max(predicted, 1e-4)))
        work.slowness += SLOWNESS_SMOOTHING * (ratio * work.slowness - work.slowness)
        work.slowness = min(high, max(low, work.slowness))

    def note_taken(self, name: str, number: int) -> None:
        """Count the places up to a number no more: their streams are counted."""
        self._peers.settle(name, number, self._clock.now())

    def record_totals(self, loads: LoadsByGroup) -> None:
        """Note the sums of all hosts' work that a reader tells."""
        self._totals = loads
        self._totals_at = self._clock.now()

    def all_work(self) -> Iterable[GroupWork]:
        """Return this host's own work on every group."""
        return self._work.values()

    def forget_idle(self, known: Container[GroupKey]) -> None:
        """Drop the groups that are gone and on which nothing runs here."""
        idle = [
            key
            for key, work in self._work.items()
            if key not in known and work.running == 0
        ]
        for key in idle:
            del self._work[key]
