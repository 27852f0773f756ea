"""Replay crashes of targets through the quarantine decisions of several hosts.

No processes run: streams are drawn from a seed, targets end under streams with a deadly
part, or at random, and each host decides by what it saw and by the records that reach
it after a delay.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from itertools import count

from bench.report import Report
from mallowpond.state import part_ledger
from mallowpond.state.crash_ledger import CrashLedger, Ending
from mallowpond.state.fleet import Process
from mallowpond.state.ownership import first_owners
from mallowpond.state.part_ledger import PartLedger

HOSTS = tuple(f"n{number}" for number in range(7))
GROUPS = 14
STREAMS_PER_SECOND = 74.0
DEADLY_PER_SECOND = 6.0
DEADLY_AT = 20.0
SECONDS = 80.0
# A deadly stream ends its target this long after its send, a group serves again this
# long after its end, and other hosts know of an ending after this time, in seconds.
CRASH_SECONDS = (0.06, 0.2)
RETURN_SECONDS = 4.0
TELL_SECONDS = 0.015
CALLER_RETRY_SECONDS = (0.05, 0.3)
MAX_ATTEMPTS = 2
OWNERS = 6
FIRST_PARTS = tuple(f"a{number}" for number in range(30))
FIRST_WEIGHTS = tuple(1.0 / (3 + number) for number in range(30))
MIDDLE_PARTS = tuple(f"m{number}" for number in range(400))
MIDDLE_SHARE = 0.3


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """What ends targets: deadly parts, each with its companions, and random ends.

    `choices` draws the shared parts of a deadly stream. Every `end_every` seconds
    `ends` groups end at the same moment for a cause outside the requests. `turns` makes
    a part deadly that sound streams had before.
    """

    choices: Callable[[random.Random], tuple[str, ...]] | None = None
    end_every: float = 0.0
    ends: int = 0
    turns: str = ""
    sessions: bool = False
    deadly_per_second: float = DEADLY_PER_SECOND


def _sound_parts(rng: random.Random, now: float, *, sessions: bool) -> tuple[str, ...]:
    first = rng.choices(FIRST_PARTS, FIRST_WEIGHTS)[0]
    if sessions:
        # Each session has some five streams within two seconds.
        return (first, f"s{int(now / 2.0)}.{rng.randrange(30)}")
    if rng.random() >= MIDDLE_SHARE:
        return (first,)
    return (first, rng.choice(MIDDLE_PARTS))


SCENARIOS = {
    "middle, fixed companions": Scenario(choices=lambda rng: ("a0", "dead", "m1")),
    "middle, companions vary": Scenario(
        choices=lambda rng: (rng.choice(FIRST_PARTS), "dead", rng.choice(MIDDLE_PARTS))
    ),
    "first, rare companion": Scenario(choices=lambda rng: ("dead", "m7")),
    "two at once": Scenario(
        choices=lambda rng: rng.choice((("a0", "dead", "m1"), ("dead2", "m1")))
    ),
    "two, beside random ends": Scenario(
        choices=lambda rng: rng.choice((("a0", "dead", "m1"), ("dead2", "m1"))),
        end_every=3.0,
        ends=3,
    ),
    "one a second": Scenario(
        choices=lambda rng: ("a5", "dead", "m1"), deadly_per_second=1.0
    ),
    "30 a second": Scenario(
        choices=lambda rng: ("a5", "dead", "m1"), deadly_per_second=30.0
    ),
    "a common part turns deadly": Scenario(turns="a0"),
    "no deadly part, domains end": Scenario(end_every=3.0, ends=3),
    "no deadly part, one a second": Scenario(end_every=1.0, ends=1),
    "no deadly part, sessions": Scenario(end_every=2.0, ends=4, sessions=True),
    "middle, sessions": Scenario(
        choices=lambda rng: (rng.choice(FIRST_PARTS), "dead"), sessions=True
    ),
}


@dataclass(frozen=True, kw_only=True)
class Way:
    """A way to decide.

    `needs_companions`: a request is refused only with all parts of the quarantine.
    `resends_suspects`: a request with a part of an earlier ending is sent once more.
    `endings`, `early_endings`: endings to quarantine a part.
    """

    has_parts: bool = True
    needs_companions: bool = True
    resends_suspects: bool = True
    endings: int = part_ledger.ENDINGS_TO_QUARANTINE
    early_endings: int = part_ledger.EARLY_ENDINGS_TO_QUARANTINE


WAYS = {
    "whole requests": Way(has_parts=False),
    "each part alone": Way(needs_companions=False, early_endings=3),
    "companions, three endings": Way(early_endings=3),
    "same, suspects not resent": Way(early_endings=3, resends_suspects=False),
    "companions, two endings": Way(endings=2),
    "two early or three endings": Way(),
}
# Time after its send in which a stream counts as just begun, in seconds.
EARLY_SECONDS = 0.25


@dataclass(kw_only=True)
class _Host:
    name: str
    way: Way
    requests: CrashLedger = field(default_factory=CrashLedger)
    parts: PartLedger = field(init=False)
    told_all: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.parts = PartLedger(host=self.name)

    def refuses(self, stream: "_Stream", now: float) -> bool:
        if self.requests.quarantine_seconds_left(stream.fingerprint, now) > 0.0:
            return True
        if not self.way.has_parts:
            return False
        if self.way.needs_companions:
            return self.parts.quarantine_of(stream.parts, now) is not None
        return bool(self.parts.quarantined(now).intersection(stream.parts))

    def stops(self, stream: "_Stream", now: float) -> bool:
        """Return whether a stream is not sent again for another one's ending."""
        if self.way.resends_suspects:
            return False
        records = [self.parts.record(part, now) for part in stream.parts]
        return any(
            len({e.request for e in record.endings if not e.refuted}) > 1
            for record in records
            if record is not None
        )


@dataclass(kw_only=True, eq=False)
class _Stream:
    fingerprint: str
    parts: tuple[str, ...]
    seconds: float
    is_deadly: bool
    host: _Host | None = None
    group: int = -1
    attempts: int = 0
    retries: int = 1
    sent_at: float = 0.0


@dataclass(kw_only=True)
class Outcome:
    """Counts of one replay; `longest` is the longest quarantine of a sound part."""

    ended: int = 0
    late: int = 0
    sound: int = 0
    refused: int = 0
    stopped: int = 0
    beside: int = 0
    beside_refused: int = 0
    longest: float = 0.0


class _Replay:
    def __init__(self, scenario: Scenario, way: Way, seed: int) -> None:
        self._scenario, self._way = scenario, way
        self._rng = random.Random(seed)
        self._hosts = [_Host(name=name, way=way) for name in HOSTS]
        self._by_name = {host.name: host for host in self._hosts}
        self._running: dict[int, set[_Stream]] = {n: set() for n in range(GROUPS)}
        self._process = {n: Process(id=f"g{n}", born=0) for n in range(GROUPS)}
        self._down: dict[int, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._now = 0.0
        self._third_at = float("inf")
        self._held_since: dict[str, float] = {}
        self.outcome = Outcome()

    def run(self) -> Outcome:
        self._at(0.0, self._next_sound)
        if self._scenario.choices is not None:
            self._at(DEADLY_AT, self._next_deadly)
        if self._scenario.ends:
            self._at(DEADLY_AT, self._end_groups)
        while self._events and self._events[0][0] < SECONDS:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def _at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), act))

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        self._at(self._now + seconds, act)

    def _next_sound(self) -> None:
        parts = _sound_parts(self._rng, self._now, sessions=self._scenario.sessions)
        turned = self._now >= DEADLY_AT and self._scenario.turns in parts
        seconds = self._rng.uniform(0.5, 1.9)
        self._start(self._new_stream(parts, seconds, is_deadly=turned))
        self._after(self._rng.expovariate(STREAMS_PER_SECOND), self._next_sound)

    def _next_deadly(self) -> None:
        assert self._scenario.choices is not None
        parts = self._scenario.choices(self._rng)
        self._start(self._new_stream(parts, 1.0, is_deadly=True))
        rate = self._scenario.deadly_per_second
        self._after(self._rng.expovariate(rate), self._next_deadly)

    def _new_stream(
        self, parts: tuple[str, ...], seconds: float, *, is_deadly: bool
    ) -> _Stream:
        fingerprint = f"{self._rng.getrandbits(64):016x}"
        return _Stream(
            fingerprint=fingerprint, parts=parts, seconds=seconds, is_deadly=is_deadly
        )

    def _start(self, stream: _Stream) -> None:
        stream.host = self._rng.choice(self._hosts)
        stream.attempts = 0
        outcome = self.outcome
        is_beside = (
            not stream.is_deadly
            and self._now > self._third_at + 1.0
            and bool({"a0", "a5", "m1", "m7"}.intersection(stream.parts))
        )
        is_refused = stream.host.refuses(stream, self._now)
        if not stream.is_deadly:
            outcome.sound += 1
            outcome.refused += is_refused
        outcome.beside += is_beside
        outcome.beside_refused += is_beside and is_refused
        if is_refused:
            self._retry(stream)
        else:
            self._send(stream)

    def _retry(self, stream: _Stream) -> None:
        if stream.retries:
            stream.retries -= 1
            self._after(
                self._rng.uniform(*CALLER_RETRY_SECONDS), lambda: self._start(stream)
            )

    def _send(self, stream: _Stream) -> None:
        groups = [n for n in range(GROUPS) if n not in self._down]
        if not groups:
            return
        if stream.is_deadly and self._now > self._third_at + 0.5:
            self.outcome.late += 1
        stream.attempts += 1
        stream.group, stream.sent_at = self._rng.choice(groups), self._now
        self._running[stream.group].add(stream)
        if stream.is_deadly:
            group, process = stream.group, self._process[stream.group]
            seconds = self._rng.uniform(*CRASH_SECONDS)
            self._after(seconds, lambda: self._crash(group, process))
        else:
            self._after(stream.seconds, lambda: self._finish(stream, stream.sent_at))

    def _finish(self, stream: _Stream, sent_at: float) -> None:
        if stream.sent_at != sent_at or stream not in self._running[stream.group]:
            return
        self._running[stream.group].discard(stream)
        assert stream.host is not None
        stream.host.requests.record_answer(stream.fingerprint, self._now)
        changed = stream.host.parts.record_answer(stream.parts, self._now)
        self._tell(stream.host, changed)

    def _end_groups(self) -> None:
        live = [n for n in range(GROUPS) if n not in self._down]
        for group in self._rng.sample(live, min(len(live), self._scenario.ends)):
            self._end(group)
        self._after(self._scenario.end_every, self._end_groups)

    def _crash(self, group: int, process: Process) -> None:
        if self._process[group] != process or group in self._down:
            return
        self.outcome.ended += 1
        if self.outcome.ended == 3:
            self._third_at = self._now
        self._end(group)

    def _end(self, group: int) -> None:
        process, streams = self._process[group], list(self._running[group])
        self._running[group].clear()
        self._down[group] = self._now
        self._after(RETURN_SECONDS, lambda: self._return(group))
        for stream in streams:
            self._lose(stream, process)
        for stream in streams:
            self._resend(stream)

    def _return(self, group: int) -> None:
        del self._down[group]
        born = (self._process[group].born or 0) + 1
        self._process[group] = Process(id=f"g{group}", born=born)

    def _lose(self, stream: _Stream, process: Process) -> None:
        host = stream.host
        assert host is not None
        ran = self._now - stream.sent_at
        host.requests.record_ending(
            stream.fingerprint, Ending(process=process, ran=ran), self._now
        )
        if self._way.has_parts:
            changed = host.parts.record_ending(
                stream.parts,
                stream.fingerprint,
                process,
                self._now,
                early=ran < EARLY_SECONDS,
            )
            self._tell(host, changed)
            self._track()

    def _resend(self, stream: _Stream) -> None:
        host = stream.host
        assert host is not None
        is_stopped = host.stops(stream, self._now)
        if not stream.is_deadly:
            self.outcome.stopped += is_stopped
        is_last = stream.attempts >= MAX_ATTEMPTS
        if is_last or is_stopped or host.refuses(stream, self._now):
            self._retry(stream)
        else:
            self._send(stream)

    # -- messages ------------------------------------------------------------

    def _tell(self, host: _Host, parts: list[str]) -> None:
        for part in parts:
            self._after(TELL_SECONDS, lambda part=part: self._deliver(host, part))

    def _deliver(self, host: _Host, part: str) -> None:
        record = host.parts.record(part, self._now)
        if record is None:
            return
        if host.parts.quarantine(part, self._now) is not None:
            host.told_all.add(part)
        receivers = HOSTS
        if part not in host.told_all:
            receivers = tuple(first_owners(part, HOSTS, OWNERS))
        for name in receivers:
            other = self._by_name[name]
            if other is host:
                continue
            was = other.parts.quarantine(part, self._now) is not None
            other.parts.merge(record, self._now)
            is_held = other.parts.quarantine(part, self._now) is not None
            now_known = other.parts.record(part, self._now)
            is_refuted = (
                record.has_enough_evidence
                and now_known is not None
                and not now_known.has_enough_evidence
            )
            is_own = is_held and not was and not record.has_enough_evidence
            is_released = was and not is_held and part in other.told_all
            if is_own or is_refuted or is_released:
                self._tell(other, [part])
        self._track()

    def _track(self) -> None:
        """Record for how long sound parts are quarantined."""
        held = set()
        for host in self._hosts:
            for part in host.parts.quarantined(self._now):
                found = host.parts.quarantine(part, self._now)
                assert found is not None
                parts = {part}.union(*found.companions)
                if not any(p.startswith("dead") for p in parts):
                    held.add(part)
        for part in held:
            since = self._held_since.setdefault(part, self._now)
            if part != self._scenario.turns:
                longest = max(self.outcome.longest, self._now - since)
                self.outcome.longest = longest
        for part in set(self._held_since) - held:
            del self._held_since[part]


def replay(scenario: Scenario, way: Way, seed: int) -> Outcome:
    """Replay one scenario with one way to decide."""
    limits = {
        "ENDINGS_TO_QUARANTINE": way.endings,
        "EARLY_ENDINGS_TO_QUARANTINE": way.early_endings,
    }
    with ExitStack() as stack:
        for name, value in limits.items():
            stack.callback(setattr, part_ledger, name, getattr(part_ledger, name))
            setattr(part_ledger, name, value)
        return _Replay(scenario, way, seed).run()


def _row(name: str, way_name: str, seeds: int) -> tuple[str | int | float, ...]:
    total, ended = Counter(), []
    longest = 0.0
    for seed in range(seeds):
        outcome = replay(SCENARIOS[name], WAYS[way_name], seed)
        ended.append(outcome.ended)
        total.update({k: v for k, v in vars(outcome).items() if k != "longest"})
        longest = max(longest, outcome.longest)
    ended.sort()
    return (
        name,
        way_name,
        sum(ended) / seeds,
        ended[-1],
        total["late"] / seeds,
        100.0 * total["refused"] / max(1, total["sound"]),
        100.0 * total["beside_refused"] / max(1, total["beside"]),
        total["stopped"] / seeds,
        longest,
    )


def run(*, smallest: bool = False) -> list[Report]:
    """Replay every scenario with every way to decide."""
    seeds = 1 if smallest else 20
    names = list(SCENARIOS)[:1] if smallest else list(SCENARIOS)
    rows = [_row(name, way, seeds) for name in names for way in WAYS]
    return [
        Report(
            title=f"Engines lost and sound streams refused, {seeds} seeds",
            columns=(
                "scenario",
                "way",
                "ended",
                "most",
                "late",
                "refused %",
                "beside refused %",
                "not resent",
                "longest s",
            ),
            rows=tuple(rows),
            notes=(
                "late: sent over 0.5 s after the third end; beside: sound streams that"
                " share a part with deadly ones, from 1 s after it",
            ),
        )
    ]
