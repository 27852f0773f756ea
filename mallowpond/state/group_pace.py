"""Agree on the pace of each group from what all hosts observe.

Two in five engines work 4 to 12 times as slowly for 8 to 9 s, then well again, and a
group runs at the pace of its slowest member. The dispatcher has few streams of its own,
so it knows only from other hosts that a group is slow, and that it has recovered.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass
from math import exp
from typing import NamedTuple

from mallowpond.state.fleet import GroupKey

# Time constant with which a group's slowness decays to 1 without events, in seconds.
SLOWNESS_SECONDS = 3.0
SLOWNESS_RANGE = (0.5, 30.0)
# Slowness from which a group counts as slow, and is reported.
SLOW = 1.5
# Age up to which an observation counts, in seconds.
FRESH_SECONDS = 1.0
# The same for one that shows a group on pace, in seconds. A host that has had no event
# since the group turned slow would otherwise contradict those that had.
FRESH_ON_PACE_SECONDS = 0.3
# Time without an observation of a slow group after which it gets a probe, in seconds:
# with the first event and two gaps, a group that has recovered is found within 2 s.
PROBE_SECONDS = 1.0
# Time for which the least urgent priority seen is remembered, in seconds.
URGENCY_SECONDS = 5.0
# Interval between checks whether a slow group's pace has decayed, in seconds.
SWEEP_SECONDS = 0.5


class Observation(NamedTuple):
    """A group's slowness as one host with `streams` streams there observed it."""

    slowness: float
    streams: int
    at: float


class AgreedPace(NamedTuple):
    """A group's slowness as of `at`."""

    slowness: float
    at: float

    def value(self, now: float) -> float:
        """Return the slowness, which decays while nothing is observed."""
        return decayed(self.slowness, now - self.at)


@dataclass(frozen=True, kw_only=True)
class PaceChange:
    """A group turned slow or recovered.

    `age` is that of the latest observation, in seconds; 0 observers: none was fresh.
    """

    key: GroupKey
    is_slow: bool
    slowness: float
    observed: tuple[float, ...]
    age: float


def decayed(slowness: float, age: float) -> float:
    """Return a slowness that was last observed `age` seconds ago.

    A slow group gets few streams, so without the decay nothing might ever show that it
    has recovered.
    """
    return 1.0 + (slowness - 1.0) * exp(-max(0.0, age) / SLOWNESS_SECONDS)


def clamped(slowness: float) -> float:
    """Return a slowness within the range that is believed."""
    low, high = SLOWNESS_RANGE
    return min(high, max(low, slowness))


def is_fresh(slowness: float, age: float) -> bool:
    """Return whether an observation of this age counts."""
    return age <= (FRESH_SECONDS if slowness >= SLOW else FRESH_ON_PACE_SECONDS)


def agree(observations: Sequence[Observation]) -> float:
    """Return the median slowness, weighted by streams.

    No host weighs more than all others together, and of two halves that disagree the
    one that saw the group faster counts. So one host with a slow link, whatever its
    streams, is outvoted by any other that has a fresh observation.
    """
    if len(observations) == 1:
        return observations[0].slowness
    streams = [o.streams for o in observations]
    total, most = sum(streams), max(streams)
    # What the host with most streams weighs at most; no other one has more.
    cap = total - most
    half = min(total / 2.0, cap)
    below = 0
    for slowness, weight, _ in sorted(observations):
        below += weight if weight <= cap else cap
        if below >= half:
            return slowness
    raise AssertionError("the weights add up to twice the half")


class GroupPaces:
    """The pace of each group that any host observed to be slow.

    Nothing is kept of groups that are on pace, so it costs nothing while none is slow.
    """

    def __init__(self) -> None:
        self._observed: dict[GroupKey, dict[str, Observation]] = {}
        self._by_host: dict[str, tuple[GroupKey, ...]] = {}
        self._agreed: dict[GroupKey, AgreedPace] = {}
        self._published: dict[GroupKey, AgreedPace] = {}
        self._probed_at: dict[GroupKey, float] = {}
        self._slow: set[GroupKey] = set()
        self._swept_at = float("-inf")
        self.on_change: list[Callable[[PaceChange], None]] = []

    @property
    def slow(self) -> Set[GroupKey]:
        """Return the groups that count as slow, as of the last report or sweep."""
        return self._slow

    @property
    def has_slow(self) -> bool:
        """Return whether any group may be slow."""
        return bool(self._agreed or self._published)

    def value(self, key: GroupKey, now: float) -> float | None:
        """Return a group's slowness, None if no host observed it to be slow."""
        known = self._newest(key)
        return None if known is None else known.value(now)

    def is_discussed(self, key: GroupKey, now: float) -> bool:
        """Return whether some host lately observed the group to be slow.

        Those that observe otherwise report that too; else a single host with a slow
        link would never be contradicted.
        """
        known = self._published.get(key)
        if known is not None and now - known.at <= 2.0 * FRESH_SECONDS:
            return True
        return self._is_reported_slow(key, now)

    def record(
        self, host: str, paces: Mapping[GroupKey, tuple[float, int]], now: float
    ) -> None:
        """Replace what a host observed: slowness and its streams there, by group."""
        before = self._by_host.get(host, ())
        if not paces and not before:
            self._sweep(now)
            return
        for key in before:
            if key not in paces:
                self._remove(key, host)
        if paces:
            self._by_host[host] = tuple(paces)
        else:
            del self._by_host[host]
        for key, (slowness, streams) in paces.items():
            self._observed.setdefault(key, {})[host] = Observation(
                clamped(slowness), max(1, streams), now
            )
        for key in before if before == tuple(paces) else {*before, *paces}:
            self._agree(key, now)
        self._sweep(now)

    def record_published(self, paces: Mapping[GroupKey, float], now: float) -> None:
        """Record what the readers agreed on, from the reports of all hosts."""
        for key, slowness in paces.items():
            self._published[key] = AgreedPace(clamped(slowness), now)
            self._update_slow(key, now)
        self._sweep(now)

    def to_publish(self, keys: Iterable[GroupKey], now: float) -> dict[GroupKey, float]:
        """Return the slowness of the groups that some host observes to be slow."""
        return {
            key: self._agreed[key].value(now)
            for key in keys
            if key in self._agreed and self._is_reported_slow(key, now)
        }

    def _is_reported_slow(self, key: GroupKey, now: float) -> bool:
        """Return whether a host reports a group slow, or the hosts agreed that it is.

        Reports of a group on pace alone must not prolong each other.
        """
        hosts = self._observed.get(key)
        if hosts and any(
            o.slowness >= SLOW and now - o.at <= FRESH_SECONDS for o in hosts.values()
        ):
            return True
        agreed = self._agreed.get(key)
        return agreed is not None and agreed.value(now) >= SLOW

    def is_probe_due(self, key: GroupKey, now: float) -> bool:
        """Return whether a slow group should get one stream that shows its pace."""
        known = self._newest(key)
        if known is None or key not in self._slow:
            return False
        last = max(known.at, self._probed_at.get(key, float("-inf")))
        return now - last >= PROBE_SECONDS

    def record_probe(self, key: GroupKey, now: float) -> None:
        """Record that a group got a stream that shows its pace."""
        self._probed_at[key] = now

    def forget(self, key: GroupKey) -> None:
        """Drop what was observed of a group's earlier processes."""
        for host in tuple(self._observed.get(key, ())):
            self._by_host[host] = tuple(k for k in self._by_host[host] if k != key)
        for known in (self._observed, self._agreed, self._published, self._probed_at):
            known.pop(key, None)
        self._slow.discard(key)

    def _newest(self, key: GroupKey) -> AgreedPace | None:
        agreed, published = self._agreed.get(key), self._published.get(key)
        if agreed is None or published is None:
            return agreed or published
        return agreed if agreed.at >= published.at else published

    def _remove(self, key: GroupKey, host: str) -> None:
        hosts = self._observed.get(key)
        if hosts is None:
            return
        hosts.pop(host, None)
        if not hosts:
            del self._observed[key]

    def _fresh(self, key: GroupKey, now: float) -> list[Observation]:
        # Inlined `is_fresh`: with 11 observers of each group, a report of four groups
        # took 60 us with calls.
        slow_from, on_pace_from = now - FRESH_SECONDS, now - FRESH_ON_PACE_SECONDS
        return [
            o
            for o in self._observed.get(key, {}).values()
            if o.at >= (slow_from if o.slowness >= SLOW else on_pace_from)
        ]

    def _agree(self, key: GroupKey, now: float) -> None:
        """Form the median of a group anew; without a fresh observation it decays."""
        fresh = self._fresh(key, now)
        if fresh:
            newest = fresh[-1].at if len(fresh) == 1 else max([o.at for o in fresh])
            self._agreed[key] = AgreedPace(agree(fresh), newest)
        self._update_slow(key, now)

    def _update_slow(self, key: GroupKey, now: float) -> None:
        known = self._newest(key)
        if known is None:
            slowness = 1.0
        else:
            slowness = known.value(now) if known.at < now else known.slowness
        is_slow = slowness >= SLOW
        if is_slow is (key in self._slow):
            return
        (self._slow.add if is_slow else self._slow.discard)(key)
        change = PaceChange(
            key=key,
            is_slow=is_slow,
            slowness=slowness,
            observed=tuple(sorted(o.slowness for o in self._fresh(key, now))),
            age=now - known.at if known is not None else 0.0,
        )
        for notify in self.on_change:
            notify(change)

    def _sweep(self, now: float) -> None:
        """Drop observations that no report renewed, and paces that have decayed."""
        if not self.has_slow or now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for key, hosts in tuple(self._observed.items()):
            for host, observation in tuple(hosts.items()):
                if now - observation.at > FRESH_SECONDS:
                    self._remove(key, host)
                    left = tuple(k for k in self._by_host[host] if k != key)
                    self._by_host[host] = left
        for key in {*self._agreed, *self._published}:
            self._update_slow(key, now)
            known = self._newest(key)
            if key in self._observed or known is None or key in self._slow:
                continue
            if now - known.at > 2.0 * FRESH_SECONDS:
                self.forget(key)


class LeastUrgent:
    """Tells the least urgent streams of a model, which may be late for a probe."""

    def __init__(self) -> None:
        self._priority = 0
        self._seen_at = float("-inf")

    def may_probe(self, priority: int, now: float) -> bool:
        """Record a stream's priority; return whether none lately was less urgent."""
        if priority >= self._priority or now - self._seen_at > URGENCY_SECONDS:
            self._priority, self._seen_at = priority, now
        return priority >= self._priority
