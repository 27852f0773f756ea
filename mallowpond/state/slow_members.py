"""Decide which groups to form anew around members that are slow for some seconds.

The load pattern: 40 % of all engines work 12 times as slowly for 9 s, or two members of
groups 4 times as slowly for 8 s. A group runs at the pace of its slowest member, so of
the groups of 4 one in eight is sound, and of those of 8 or 16 none, although 60 % of
the engines are. Members that have the weights leave and join within about a second.

A group is dissolved only if that is certain to yield a sound group: enough members and
free targets of its domain have themselves said that they are sound, and a member has
said more than once that it is slow.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from mallowpond.state.fleet import GroupKey, Process

# Pace from which a member is slow: the time of its steps, as a multiple of the declared
# one. An earlier trial with groups formed anew below it showed no gain.
SLOW_PACE = 3.0
# Pace under which a target is sound.
SOUND_PACE = 1.5
# Age up to which a reading counts, in seconds: members in doubt are asked each second.
READING_SECONDS = 1.5
# Time between two slow readings that prove that a member is slow, in seconds: reports
# lag by some hundred milliseconds, so one alone may describe a state that is over.
CONFIRM_SECONDS = 0.3
# Time without an answer after which a slow target is used again, in seconds.
SLOW_EXPIRY_SECONDS = 5.0
# Time for which a target whose group was dissolved stays in its next one, in seconds.
REGROUP_PAUSE_SECONDS = 10.0
# One group in this many of a model is dissolved within `DISSOLVED_SECONDS`, at least
# one, unless all of them are slow by `ALL_SLOW_PACE`.
GROUPS_PER_DISSOLVED = 3
DISSOLVED_SECONDS = 1.0
ALL_SLOW_PACE = 4.0
# Streams to interrupt within `DISSOLVED_SECONDS`. Each is sent again out of the fleet's
# repeat budget, which is some hundred streams in 10 s and serves failures too.
MAX_INTERRUPTED = 120


@dataclass(frozen=True, kw_only=True)
class Pace:
    """The newest pace that a process reported.

    at: when it was received.
    slow_since: when the first of the slow readings without a gap was received.
    was_slow: it was proven to be slow and has not reported a sound pace since.
    """

    pace: float
    at: float
    slow_since: float | None = None
    was_slow: bool = False

    def is_slow(self, now: float) -> bool:
        """Return whether the process is proven to be slow."""
        is_proven = (
            self.slow_since is not None and self.at - self.slow_since >= CONFIRM_SECONDS
        )
        return is_proven and now - self.at <= READING_SECONDS

    def is_sound(self, now: float) -> bool:
        """Return whether the process said recently that it is sound."""
        return self.pace < SOUND_PACE and now - self.at <= READING_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Return whether the process is to stay out of new groups.

        One slow reading is enough for that: it costs a second of one free target, and
        a new group with a slow member would be no better than the one before.
        """
        is_slow = self.was_slow or self.slow_since is not None
        return is_slow and now - self.at <= SLOW_EXPIRY_SECONDS


class PaceReadings:
    """The pace of each process, as it reported it itself."""

    def __init__(self) -> None:
        self._paces: dict[Process, Pace] = {}

    def reset(self) -> None:
        """Drop all readings."""
        self._paces.clear()

    def get(self, process: Process) -> Pace | None:
        """Return the newest pace of a process, None if it reported none."""
        return self._paces.get(process)

    def record(self, process: Process, pace: float, now: float) -> Pace:
        """Record a reported pace, and return it with what earlier reports add."""
        known = self._paces.get(process)
        slow_since: float | None = None
        if pace >= SLOW_PACE:
            slow_since = now
            if known is not None and known.slow_since is not None:
                if now - known.at <= READING_SECONDS:
                    slow_since = known.slow_since
        is_proven = slow_since is not None and now - slow_since >= CONFIRM_SECONDS
        stays_slow = known is not None and known.was_slow and pace >= SOUND_PACE
        reading = Pace(
            pace=pace,
            at=now,
            slow_since=slow_since,
            was_slow=is_proven or stays_slow,
        )
        self._paces[process] = reading
        return reading

    def prune(self, processes: Container[Process]) -> None:
        """Drop the readings of processes that are no longer listed."""
        for process in [p for p in self._paces if p not in processes]:
            del self._paces[process]


@dataclass(frozen=True, kw_only=True)
class SlowGroup:
    """An open group, whole and in one domain, with a member proven to be slow.

    pace: that of its slowest member. sound: members that said they are sound.
    streams: streams that run on it. members: ids of its members.
    """

    key: GroupKey
    domain: str
    members: tuple[str, ...]
    pace: float
    sound: int
    streams: int


@dataclass(frozen=True, kw_only=True)
class Regrouping:
    """Groups of one domain to dissolve, for one sound group that they then make.

    free: free targets of the domain that have the weights and said they are sound.
    open_groups, slow_groups: groups of the model that are open, and slow ones of them.
    recent: groups of the model that were dissolved for slowness just before.
    """

    model: str
    domain: str
    groups: tuple[SlowGroup, ...]
    free: int
    open_groups: int
    slow_groups: int
    recent: int

    @property
    def streams(self) -> int:
        """Return the number of streams that are interrupted."""
        return sum(group.streams for group in self.groups)


@dataclass(frozen=True, kw_only=True)
class RegroupingView:
    """Input of one planning round for groups with slow members.

    paces: what the current process of each target said of its pace, by target id.
    streams: streams that run on each group.
    dissolving: groups that this planner dissolves for slowness and are still listed,
        and since when.
    recent: groups dissolved within `DISSOLVED_SECONDS`, by model; interrupted: the
        streams that ran on all of them.
    regrouped: ids of targets whose group was dissolved within `REGROUP_PAUSE_SECONDS`.
    can_evict: all streams of the service may go on at another group.
    """

    paces: Mapping[str, Pace] = field(default_factory=dict)
    streams: Mapping[GroupKey, int] = field(default_factory=dict)
    dissolving: Mapping[GroupKey, float] = field(default_factory=dict)
    recent: Mapping[str, int] = field(default_factory=dict)
    interrupted: int = 0
    regrouped: frozenset[str] = frozenset()
    can_evict: bool = True


def plan_regroupings(
    *,
    model: str,
    size: int,
    slow: Iterable[SlowGroup],
    free: Mapping[str, int],
    open_groups: int,
    recent: int,
    interrupted: int,
    busy_domains: Container[str] = (),
) -> list[Regrouping]:
    """Return the groups of a model to dissolve now, at most one set in each domain.

    Each set has as few groups and streams as the next sound group needs. A slow group
    is no sound one, so each set yields one sound group more than there were.

    free: sound free targets with the weights, by domain.
    open_groups: groups of the model that are open, slow or not.
    recent: groups dissolved, and `interrupted` streams so, in the last second.
    busy_domains: domains in which a dissolution is under way.
    """
    by_domain: dict[str, list[SlowGroup]] = {}
    for group in slow:
        by_domain.setdefault(group.domain, []).append(group)
    all_slow = [group for groups in by_domain.values() for group in groups]
    limit = max(1, open_groups // GROUPS_PER_DISSOLVED)
    if len(all_slow) >= open_groups and all(g.pace >= ALL_SLOW_PACE for g in all_slow):
        limit = open_groups
    found = []
    for domain, groups in sorted(by_domain.items()):
        missing = size - free.get(domain, 0)
        # Nothing is missing: the free targets form the next sound group by themselves.
        if domain in busy_domains or missing <= 0:
            continue
        chosen = _fewest(groups, missing)
        if chosen:
            found.append(
                Regrouping(
                    model=model,
                    domain=domain,
                    groups=chosen,
                    free=free.get(domain, 0),
                    open_groups=open_groups,
                    slow_groups=len(all_slow),
                    recent=recent,
                )
            )
    found.sort(key=lambda r: (len(r.groups), r.streams, r.domain))
    result = []
    for regrouping in found:
        if recent + len(regrouping.groups) > limit:
            continue
        # A single set goes ahead whatever it interrupts, or none ever might.
        if interrupted and interrupted + regrouping.streams > MAX_INTERRUPTED:
            continue
        recent += len(regrouping.groups)
        interrupted += regrouping.streams
        result.append(regrouping)
    return result


def _fewest(groups: Iterable[SlowGroup], missing: int) -> tuple[SlowGroup, ...]:
    """Return the fewest groups with so many sound members, or none if there are not.

    Of several such sets, one with few streams.
    """
    ranked = sorted(groups, key=lambda g: (-g.sound, g.streams, g.key))
    chosen: list[SlowGroup] = []
    for group in ranked:
        if missing <= 0 or group.sound == 0:
            break
        chosen.append(group)
        missing -= group.sound
    if missing > 0:
        return ()
    left = [group for group in ranked if group not in chosen]
    for at, group in enumerate(chosen):
        fitting = [g for g in left if missing + group.sound - g.sound <= 0]
        best = min(fitting, key=lambda g: (g.streams, g.key), default=group)
        if best.streams < group.streams:
            missing += group.sound - best.sound
            left[left.index(best)] = group
            chosen[at] = best
    return tuple(chosen)


@dataclass(frozen=True, kw_only=True)
class _Dissolved:
    model: str
    at: float
    streams: int
    members: tuple[str, ...]


class RegroupingRecords:
    """The groups that this planner dissolved for slowness."""

    def __init__(self) -> None:
        self._dissolved: dict[GroupKey, _Dissolved] = {}
        self._listed: set[GroupKey] = set()

    def record(
        self, key: GroupKey, model: str, members: Iterable[str], streams: int, at: float
    ) -> None:
        """Record a group that is dissolved from now on."""
        self._listed.add(key)
        self._dissolved[key] = _Dissolved(
            model=model, at=at, streams=streams, members=tuple(members)
        )

    def prune(self, groups: Container[GroupKey], now: float) -> None:
        """Drop groups that are gone, and those dissolved too long ago to matter."""
        self._listed = {key for key in self._listed if key in groups}
        self._dissolved = {
            key: dissolved
            for key, dissolved in self._dissolved.items()
            if key in self._listed or now - dissolved.at < REGROUP_PAUSE_SECONDS
        }

    @property
    def dissolving(self) -> dict[GroupKey, float]:
        """Return the groups that are still listed, and when they were dissolved."""
        return {key: self._dissolved[key].at for key in self._listed}

    def regrouped(self, now: float) -> frozenset[str]:
        """Return the ids of targets whose group was dissolved not long ago."""
        return frozenset(
            member
            for dissolved in self._dissolved.values()
            if now - dissolved.at < REGROUP_PAUSE_SECONDS
            for member in dissolved.members
        )

    def recent(self, now: float) -> dict[str, int]:
        """Return the groups that are being dissolved, or were just now, by model."""
        counts: dict[str, int] = {}
        for key, dissolved in self._dissolved.items():
            if key in self._listed or now - dissolved.at < DISSOLVED_SECONDS:
                counts[dissolved.model] = counts.get(dissolved.model, 0) + 1
        return counts

    def interrupted(self, now: float) -> int:
        """Return the streams that were interrupted just now."""
        return sum(
            dissolved.streams
            for dissolved in self._dissolved.values()
            if now - dissolved.at < DISSOLVED_SECONDS
        )
