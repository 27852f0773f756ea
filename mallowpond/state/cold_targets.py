"""Bound the requests that all hosts together send to a target that has just started.

A target that has just started is cold: for some seconds it takes only few requests a
second. When all targets of a data centre come back at once, scores of hosts have
streams for them, and each alone would send within any limit that it does not share.
A few hosts share the rate of a cold target, and each enforces its part alone with a
token bucket; the others send nothing there until it is warm.
"""

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass
from math import floor, inf

from mallowpond.state.fleet import Process
from mallowpond.state.ownership import HashRing

# Requests a second for each host that shares a rate, and the minimum number of hosts:
# the loss of one costs little, and each can send several requests.
RATE_PER_SHARER = 3.0
MIN_SHARERS = 3
# Window in which a host's sends stay within its part of the bound, in seconds: longer
# than the second that the bound names, as the delays of requests differ.
WINDOW_SECONDS = 1.2
# Factor just below 1 by which a rate stays under the one that reaches the next request
# in the window.
RATE_MARGIN = 0.99
# Time for which a target counts as cold beyond the time that it names, in seconds.
EXTRA_SECONDS = 0.3
# Time by which an end must move to count as a change, in seconds. Entries are rewritten
# about every 1.2 s and read every 0.5 s or 1 s, which moves the derived end by as much.
CHANGE_SECONDS = 2.0
# Age that an entry may have when it is first seen, in seconds: an answer of the target
# in that time may be newer.
MAX_ENTRY_AGE_SECONDS = 2.0
# Time after which a target that is warm again is no longer recorded, in seconds.
RETENTION_SECONDS = 5.0
# Minimum time for which a host does not use a share that it gains, in seconds: another
# host that had it may not know yet.
SETTLE_SECONDS = 1.0
# Interval at which the hosts that share a rate are determined anew, in seconds.
RESHARE_SECONDS = 0.25
# Maximum number of targets with a recorded state.
MAX_TARGETS = 5000


@dataclass(frozen=True, kw_only=True)
class ColdRule:
    """What a service declares, and the platform requires, of its cold targets.

    cold_seconds: how long a target stays cold after its start.
    per_second: requests a second that a cold target tolerates.
    bound: requests that it may get in any one second, from all hosts together.
    """

    cold_seconds: float
    per_second: float
    bound: float


@dataclass(frozen=True, kw_only=True)
class ColdState:
    """A target said `age` seconds ago how long it stays cold: now `seconds` more."""

    process: Process
    seconds: float
    age: float


@dataclass(frozen=True, kw_only=True)
class HostPart:
    """A host's part of a rate: requests a second, and the capacity of its bucket."""

    rate: float = 0.0
    capacity: float = 0.0


NO_PART = HostPart()


def count_sharers(rule: ColdRule) -> int:
    """Return the number of hosts that share the rate of one cold target."""
    wanted = max(MIN_SHARERS, floor(rule.per_second / RATE_PER_SHARER))
    return max(1, min(wanted, floor(rule.bound) - 1))


def host_part(rule: ColdRule) -> HostPart:
    """Return the part of each host that shares a rate.

    The bound leaves room for one more host with a part: while a membership changes, the
    host that had a part and the one that gains it may both use it.
    """
    sharers = count_sharers(rule)
    # With a bound below 2 there is room for one host only.
    requests = max(floor(rule.bound / (sharers + 1)), min(1, floor(rule.bound)))
    if requests < 1:
        return NO_PART
    capacity = max(1.0, requests / 2)
    most = RATE_MARGIN * (requests + 1 - capacity) / WINDOW_SECONDS
    return HostPart(rate=min(rule.per_second / sharers, most), capacity=capacity)


@dataclass(kw_only=True)
class _Entry:
    """State of one target, and this host's token bucket for it."""

    until: float
    # When the target said so; minus infinity if it is only presumed.
    said_at: float
    refilled_at: float
    # Whether the list said so last: its entries of a process come in their order.
    is_listed: bool = False
    tokens: float = 0.0
    # No request is sent before this time.
    held_until: float = -inf
    # The hosts that share its rate, and those among which they were determined.
    sharers: frozenset[str] | None = None
    ring: HashRing | None = None
    # This host's part by the rule; kept, as it is read at each placement.
    rule: ColdRule | None = None
    part: HostPart = NO_PART

    def refill(self, part: HostPart, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        gained = part.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(part.capacity, self.tokens + gained)
        self.refilled_at = now


@dataclass(frozen=True, kw_only=True)
class _Listed:
    """The value of the last entry of a process, and when it was first seen."""

    seconds: float | None
    seen_at: float


class ColdTargets:
    """Until when each target is cold, and this host's part of what it may get.

    `started_at` is when this host started: it knows few of the others then, and uses no
    part for `settle_seconds`.
    """

    def __init__(
        self,
        *,
        host: str,
        started_at: float,
        settle_seconds: Callable[[], float] = lambda: SETTLE_SECONDS,
    ) -> None:
        self._host = host
        self._started_at = started_at
        self._settle_seconds = settle_seconds
        self._ring = HashRing(())
        self._ring_at = -inf
        self._entries: dict[Process, _Entry] = {}
        self._listed: dict[Process, _Listed] = {}
        self._last_sent: dict[Process, float] = {}

    @property
    def has_entries(self) -> bool:
        """Return whether any target is recorded, also one that is warm again."""
        return bool(self._entries)

    def count_cold(self, now: float) -> int:
        """Return the number of targets that are cold now."""
        return sum(entry.until > now for entry in self._entries.values())

    def seconds_left(self, process: Process, now: float) -> float:
        """Return how much longer a target counts as cold, 0 if it is warm."""
        entry = self._entries.get(process)
        return 0.0 if entry is None else max(0.0, entry.until - now)

    # -- what is learnt ------------------------------------------------------

    def record_listed(
        self,
        process: Process,
        seconds: float | None,
        now: float,
        *,
        presumed_seconds: float = 0.0,
    ) -> bool:
        """Apply an entry of the list; return whether to publish a change.

        The value is as of the time at which the entry was written, and re-reading the
        same entry must not prolong it: the first sight counts. An entry without a value
        (None) comes from another host. A new process is then presumed to be cold for
        `presumed_seconds`, so a value that agrees with this needs no publishing.
        """
        before = self._listed.get(process)
        if before is not None and seconds in (None, before.seconds):
            return False
        if before is None and len(self._listed) >= MAX_TARGETS:
            return False
        self._listed[process] = _Listed(seconds=seconds, seen_at=now)
        if seconds is None:
            if process not in self._entries and presumed_seconds > 0.0:
                self._apply(process, _end(presumed_seconds, now), -inf, now)
            return False
        known = self._entries.get(process)
        until = _end(seconds, now)
        if known is None and before is None and presumed_seconds > 0.0:
            self._apply(process, until, now, now, is_listed=True)
            return abs(until - _end(presumed_seconds, now)) > CHANGE_SECONDS
        if known is None and seconds <= 0.0:
            return False
        if (
            known is not None
            and until < known.until
            and not known.is_listed
            and known.said_at > now - MAX_ENTRY_AGE_SECONDS
        ):
            return False
        return self._apply(process, until, now, now, is_listed=True)

    def record_said(self, state: ColdState, now: float) -> bool:
        """Apply what a target said in an answer; return whether to publish a change.

        It is ignored if something newer is known.
        """
        known = self._entries.get(state.process)
        said_at = now - state.age
        if known is None and state.seconds <= 0.0:
            return False
        if known is not None and said_at < known.said_at:
            return False
        return self._apply(state.process, _end(state.seconds, now), said_at, now)

    def _apply(
        self,
        process: Process,
        until: float,
        said_at: float,
        now: float,
        *,
        is_listed: bool = False,
    ) -> bool:
        known = self._entries.get(process)
        if known is None:
            if len(self._entries) >= MAX_TARGETS:
                return False
            known = _Entry(until=now, said_at=said_at, refilled_at=now)
            self._entries[process] = known
            is_change = True
        else:
            was_cold, is_cold = known.until > now, until > now
            moved = abs(until - known.until) > CHANGE_SECONDS
            is_change = was_cold != is_cold or (is_cold and moved)
        if until > now and (known.until <= now or until > known.until + CHANGE_SECONDS):
            # It has become cold, maybe again. The bucket starts empty, and what this
            # host sent before leaves the window first.
            known.tokens, known.refilled_at = 0.0, now
            sent_at = self._last_sent.get(process, -inf)
            known.held_until = max(known.held_until, sent_at + WINDOW_SECONDS)
        known.until, known.said_at, known.is_listed = until, said_at, is_listed
        return is_change

    def latest(self, process: Process, now: float) -> ColdState | None:
        """Return what is known of a target, to publish to other hosts."""
        entry = self._entries.get(process)
        if entry is None or entry.said_at == -inf:
            return None
        left = entry.until - now - EXTRA_SECONDS
        age = max(0.0, now - entry.said_at)
        return ColdState(process=process, seconds=max(0.0, left), age=age)

    # -- sends ---------------------------------------------------------------

    def seconds_until(
        self,
        process: Process,
        rule: ColdRule,
        hosts: Callable[[], Collection[str]],
        now: float,
    ) -> float:
        """Return the seconds until this host may send to a target, 0 if it may now.

        `hosts` returns all hosts that send to the target.
        """
        entry = self._entries.get(process)
        if entry is None or entry.until <= now:
            return 0.0
        left = entry.until - now
        part = self._part(process, entry, rule, hosts, now)
        if part.rate <= 0.0:
            return left
        entry.refill(part, now)
        wait = 0.0 if entry.tokens >= 1.0 else (1.0 - entry.tokens) / part.rate
        return min(left, max(wait, entry.held_until - now, 0.0))

    def retry_seconds(
        self, process: Process, rule: ColdRule, host_count: int, now: float
    ) -> float:
        """Return the mean interval between sends of a host, at most until it is warm.

        A caller usually returns to another host, which rarely has a part in a large
        fleet: there it is best to return when the target is warm.
        """
        left = self.seconds_left(process, now)
        rate = host_part(rule).rate * count_sharers(rule)
        return min(left, max(1, host_count) / rate) if rate > 0.0 else left

    def record_sent(self, process: Process, now: float) -> bool:
        """Count a request that this host sends; return whether the target is cold."""
        self._last_sent[process] = now
        entry = self._entries.get(process)
        if entry is None or entry.until <= now:
            return False
        entry.tokens -= 1.0
        return True

    def _part(
        self,
        process: Process,
        entry: _Entry,
        rule: ColdRule,
        hosts: Callable[[], Collection[str]],
        now: float,
    ) -> HostPart:
        if now - self._ring_at >= RESHARE_SECONDS:
            self._ring_at = now
            members = frozenset(hosts())
            if members != self._ring.members:
                self._ring = HashRing(members)
        if entry.ring is not self._ring or entry.rule is not rule:
            self._divide(process, entry, rule, now)
        return entry.part

    def _divide(
        self,
        process: Process,
        entry: _Entry,
        rule: ColdRule,
        now: float,
    ) -> None:
        before, entry.ring, entry.rule = entry.sharers, self._ring, rule
        entry.sharers = self._ring.owners(process.id, count_sharers(rule))
        if self._host not in entry.sharers:
            entry.part = NO_PART
            return
        entry.part = host_part(rule)
        settle = max(SETTLE_SECONDS, self._settle_seconds())
        if before is None:
            entry.held_until = max(entry.held_until, self._started_at + settle)
        elif self._host not in before:
            entry.tokens, entry.refilled_at = 0.0, now
            entry.held_until = max(entry.held_until, now + settle)

    def prune(self, listed: Container[Process], now: float) -> None:
        """Drop processes that are not listed or warm for long, and old sends."""
        self._entries = {
            p: e
            for p, e in self._entries.items()
            if p in listed and now - e.until < RETENTION_SECONDS
        }
        self._listed = {p: v for p, v in self._listed.items() if p in listed}
        self._last_sent = {
            p: at for p, at in self._last_sent.items() if now - at < WINDOW_SECONDS
        }


def _end(seconds: float, now: float) -> float:
    """Return until when a target counts as cold that says so now."""
    return now + seconds + EXTRA_SECONDS if seconds > 0.0 else now
