"""Replay the decision on silent groups by ways to treat their streams.

No processes run: groups fall silent at set times and die or wake, and hosts that serve
streams suspect them, resend and place with the functions of the product.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import cached_property
from statistics import fmean, median

from bench.report import Cell, Report
from mallowpond.state.common_silence import (
    COMMON_SHARE,
    MIN_GROUPS,
    SilenceSummary,
    WatchedGroup,
    is_common,
    summarize_silence,
)
from mallowpond.state.retry_window import RetryWindow
from mallowpond.state.silence import (
    ADVANCE_VALID_SECONDS,
    GroupSilence,
    PeerQuery,
    SilenceVerdict,
    classify_silence,
    has_advanced,
)

STEP_SECONDS = 0.01
# Steps between two events of a stream, and between two checks of a host.
PASS_STEPS, CHECK_STEPS = 5, 2
EVENTS = 30
# Passes for which a prompt is read before the first event.
PREFILL_PASSES = 3
PASS_SECONDS = PASS_STEPS * STEP_SECONDS
FIRST_EVENT_SECONDS = 2.0 * PREFILL_PASSES * PASS_SECONDS
GAP_OBJECTIVE_SECONDS = 0.4
MAX_ATTEMPTS = 2
TIMEOUT_SECONDS = (5.0, 8.0)
# Silence after which callers leave, and longest wait for a slot, in seconds.
PATIENCE_SECONDS, WAIT_SECONDS = 2.0, 1.0
# Time after which a group reports a dead member itself, in seconds; a suspected group
# is excluded for as long.
STALL_SECONDS = 4.0
RATIO, SLACK, WINDOW_SECONDS = 0.2, 132.0, 10.0
# A stream that ends within this time of its limit counts as timed out, in seconds.
LIMIT_MARGIN_SECONDS = 0.3
FALL_AT = 4.0
SECONDS = 10.0
MEMBERS = 4
RANDOM_SHARE = 0.6
WAKES = (0.3, 1.0, 3.0)
# Beginnings and lengths of the silences of a series, in seconds.
SERIES = ((4.0, 1.2), (8.0, 1.1), (12.0, 1.3), (16.0, 1.0))


@dataclass(frozen=True, kw_only=True)
class Site:
    """Hosts and groups of a site, its load, and the seeds of its runs."""

    name: str
    hosts: int
    groups: int
    domains: int
    slots: int
    requests_per_second: float
    seeds: tuple[int, ...]


SMALL = Site(
    name="7 hosts, 14 groups in 6 domains",
    hosts=7,
    groups=14,
    domains=6,
    slots=8,
    requests_per_second=45.0,
    seeds=(3, 4, 5),
)
LARGE = Site(
    name="74 hosts, 40 groups in 9 domains",
    hosts=74,
    groups=40,
    domains=9,
    slots=12,
    requests_per_second=150.0,
    seeds=(3,),
)
THIRDS = replace(
    SMALL, name="7 hosts, 12 groups in 3 domains", groups=12, domains=3, slots=12
)
LARGE_THIRDS = replace(LARGE, name="74 hosts, 39 groups in 3 domains", domains=3)


class Extent(Enum):
    """Which groups fall silent together."""

    GROUP = "one group"
    DOMAIN = "one domain"
    HALF = "half of the domains"
    TWO_THIRDS = "two of three domains"
    RANDOM = "0.6 of the engines"
    ALL = "all"


@dataclass(frozen=True, kw_only=True)
class Silence:
    """Groups that fall silent at a time; with no `seconds` they have died."""

    extent: Extent
    begin: float = FALL_AT
    seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Scene:
    """Silences of a run."""

    name: str
    silences: tuple[Silence, ...]

    @property
    def seconds(self) -> float:
        """Return the time after which all streams of interest have ended."""
        return max(silence.begin for silence in self.silences) + SECONDS


EXTENTS = (Extent.GROUP, Extent.DOMAIN, Extent.HALF, Extent.RANDOM, Extent.ALL)


def _scene(extent: Extent, seconds: float | None) -> Scene:
    end = "die" if seconds is None else f"wake after {seconds:g} s"
    return Scene(
        name=f"{extent.value}, {end}",
        silences=(Silence(extent=extent, seconds=seconds),),
    )


IN_SERIES = Scene(
    name="all, 0.6, all, 0.6, each wakes",
    silences=tuple(
        Silence(
            extent=Extent.RANDOM if n % 2 else Extent.ALL, begin=begin, seconds=seconds
        )
        for n, (begin, seconds) in enumerate(SERIES)
    ),
)
DEADLY = tuple(_scene(extent, None) for extent in EXTENTS)
WAKING = (
    *(_scene(extent, seconds) for extent in EXTENTS for seconds in WAKES),
    IN_SERIES,
)


class Ending(Enum):
    """When a host that holds a silence for common judges the groups singly again."""

    FIRST_EVENT = "at the first event of any group"
    BELOW_SHARE = "when fewer are silent"
    NOT_ANEW = "when fewer are silent, without counting anew"


class Pool(Enum):
    """What a host asks of its peers before it decides whether a silence is common."""

    NOTHING = "nothing"
    # The suspicions of peers for which other groups advance.
    SUSPICIONS = "suspicions"
    # The silences of the groups that peers watch.
    SILENCES = "silences"


@dataclass(frozen=True, kw_only=True)
class Way:
    """A way to treat the streams of silent groups.

    A host with fewer than `thin_groups` watched groups adopts a peer's suspicion during
    a common silence if at least `min_advancing` groups advance for that peer. `peers`
    is the number of peers that it asks for the silences of their groups.
    """

    name: str
    suspects: bool = True
    keeps_first: bool = True
    spares_common: bool = False
    pool: Pool = Pool.NOTHING
    share: float = COMMON_SHARE
    min_groups: int = MIN_GROUPS
    thin_groups: int = 8
    min_advancing: int = 1
    peers: int = 0
    ending: Ending = Ending.BELOW_SHARE


LEAVE_FIRST = Way(name="leave first", keeps_first=False)
WAIT = Way(name="wait", suspects=False)
BESIDE = Way(name="beside")
COMMON = Way(name="beside, common", spares_common=True)
ADOPTING = replace(COMMON, name="common, adopts", pool=Pool.SUSPICIONS)
POOLED = replace(COMMON, name="common, 8 peers asked", pool=Pool.SILENCES, peers=8)
WAYS = (LEAVE_FIRST, WAIT, BESIDE, COMMON, ADOPTING, POOLED)


@dataclass(eq=False, kw_only=True)
class Group:
    """One group of engines."""

    number: int
    domain: str
    silences: list[tuple[float, float]] = field(default_factory=list)
    died_at: float | None = None
    is_broken: bool = False
    sends: list["Send"] = field(default_factory=list)
    last_sent_at: float = 0.0

    def is_silent(self, now: float) -> bool:
        """Return whether no stream advances on the group."""
        if self.died_at is not None and now >= self.died_at:
            return True
        return any(begin <= now < end for begin, end in self.silences)


@dataclass(eq=False, kw_only=True)
class Send:
    """One send of a stream to a group."""

    stream: "Stream"
    group: Group
    sent_at: float
    prefill_passes: int = PREFILL_PASSES
    events: int = 0


@dataclass(eq=False, kw_only=True)
class Stream:
    """One stream, with its sends that have not ended."""

    host: "Host"
    started_at: float
    deadline: float
    last_event_at: float
    waits_since: float | None
    events: int = 0
    attempts: int = 0
    sends: list[Send] = field(default_factory=list)
    first_group: Group | None = None
    stuck_since: float | None = None


@dataclass(eq=False, kw_only=True)
class Host:
    """One entry host and its view of the groups."""

    number: int
    window: RetryWindow
    streams: list[Stream] = field(default_factory=list)
    last_event_at: dict[Group, float] = field(default_factory=dict)
    excluded_until: dict[Group, float] = field(default_factory=dict)
    queries: dict[Group, PeerQuery] = field(default_factory=dict)
    silence_counts_from: float = 0.0
    # Since when the groups are silent while this host holds their silence for common.
    common_since: float | None = None
    asked_at: float = 0.0

    def sends_by_group(self) -> dict[Group, list[Send]]:
        """Return the sends of this host's streams by group."""
        by_group: dict[Group, list[Send]] = {}
        for stream in self.streams:
            for send in stream.sends:
                by_group.setdefault(send.group, []).append(send)
        return by_group

    def is_excluded(self, group: Group, now: float) -> bool:
        """Return whether this host sends nothing new to a group."""
        return group.is_broken or self.excluded_until.get(group, 0.0) > now

    def silence(self, group: Group, now: float) -> float:
        """Return the time since the last event of a group."""
        return now - self.last_event_at.get(group, 0.0)


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """A suspicion on its way to the peers."""

    sender: Host
    group: Group
    silent_seconds: float
    advancing: int


@dataclass(kw_only=True)
class Result:
    """What a run has shown."""

    streams: int = 0
    lost: int = 0
    left: int = 0
    refused: int = 0
    repeats: int = 0
    stuck: int = 0
    moved: list[float] = field(default_factory=list)
    accusers: set[int] = field(default_factory=set)
    dead_used: list[float] = field(default_factory=list)
    # Hosts that held the silence of some groups for a common one.
    holders: set[int] = field(default_factory=set)


@dataclass(kw_only=True)
class Replay:
    """One run of a scene by one way on a site."""

    site: Site
    scene: Scene
    way: Way
    seed: int = 3
    result: Result = field(default_factory=Result)
    _now: float = 0.0
    _arrived: int = 0
    _suspicions: list[Suspicion] = field(default_factory=list)

    @cached_property
    def _rng(self) -> random.Random:
        return random.Random(self.seed)

    @cached_property
    def _groups(self) -> list[Group]:
        return [
            Group(number=number, domain=f"d{number % self.site.domains}")
            for number in range(self.site.groups)
        ]

    @cached_property
    def _hosts(self) -> list[Host]:
        return [
            Host(
                number=number,
                window=RetryWindow(
                    ratio=RATIO, slack=SLACK, window_seconds=WINDOW_SECONDS
                ),
            )
            for number in range(self.site.hosts)
        ]

    def run(self) -> Result:
        """Run the scene and return what it has shown."""
        for silence in self.scene.silences:
            self._plan(silence)
        for step in range(1, round(self.scene.seconds / STEP_SECONDS) + 1):
            self._now = step * STEP_SECONDS
            self._arrive()
            for group in self._groups:
                if (step + group.number) % PASS_STEPS == 0:
                    self._pass(group)
            self._record_stuck()
            self._deliver()
            for host in self._hosts:
                if (step + host.number) % CHECK_STEPS == 0 and self.way.suspects:
                    self._check(host)
                self._serve(host)
        self.result.dead_used = [
            max(0.0, group.last_sent_at - group.died_at)
            for group in self._groups
            if group.died_at is not None
        ]
        return self.result

    # -- groups --------------------------------------------------------------

    def _plan(self, silence: Silence) -> None:
        for group in self._select(silence.extent):
            if silence.seconds is None:
                group.died_at = silence.begin
            else:
                end = silence.begin + silence.seconds
                group.silences.append((silence.begin, end))

    def _select(self, extent: Extent) -> list[Group]:
        domains = self.site.domains
        match extent:
            case Extent.GROUP:
                return self._groups[:1]
            case Extent.DOMAIN:
                return self._groups[::domains]
            case Extent.HALF:
                return [g for g in self._groups if g.number % domains < domains // 2]
            case Extent.TWO_THIRDS:
                return [g for g in self._groups if g.number % 3 < 2]
            case Extent.RANDOM:
                engines = [group for group in self._groups for _ in range(MEMBERS)]
                silent = self._rng.sample(engines, round(RANDOM_SHARE * len(engines)))
                return [group for group in self._groups if group in silent]
            case Extent.ALL:
                return list(self._groups)

    def _pass(self, group: Group) -> None:
        if group.died_at is not None and not group.is_broken:
            if self._now >= group.died_at + STALL_SECONDS:
                group.is_broken = True
                for send in list(group.sends):
                    self._end_send(send)
                    if not send.stream.sends:
                        self._resend(send.stream)
        if group.is_silent(self._now):
            return
        for send in list(group.sends):
            if send.prefill_passes:
                send.prefill_passes -= 1
            elif send in group.sends:
                self._record_event(send)

    def _record_event(self, send: Send) -> None:
        stream, group, host = send.stream, send.group, send.stream.host
        host.last_event_at[group] = self._now
        if self.way.keeps_first and host.excluded_until.pop(group, 0.0) > self._now:
            # The peers are told that the group speaks.
            for other in self._hosts:
                other.excluded_until.pop(group, None)
        send.events += 1
        stream.events += 1
        stream.last_event_at = self._now
        for other in [s for s in stream.sends if s is not send]:
            self._end_send(other)
        if stream.stuck_since is not None and group is not stream.first_group:
            self.result.moved.append(self._now - stream.stuck_since)
            stream.stuck_since = None
        if stream.events >= EVENTS:
            self._end(stream)

    def _record_stuck(self) -> None:
        """Mark the streams whose groups have just died."""
        for group in self._groups:
            died_at = group.died_at
            if died_at is None or not died_at <= self._now < died_at + STEP_SECONDS:
                continue
            for send in group.sends:
                if send.stream.stuck_since is None:
                    send.stream.stuck_since = self._now
                    send.stream.first_group = group
                    self.result.stuck += 1

    # -- streams -------------------------------------------------------------

    def _arrive(self) -> None:
        while self._arrived < int(self.site.requests_per_second * self._now):
            self._arrived += 1
            host = self._rng.choice(self._hosts)
            host.window.record_first_send(self._now)
            stream = Stream(
                host=host,
                started_at=self._now,
                deadline=self._now + self._rng.uniform(*TIMEOUT_SECONDS),
                last_event_at=self._now,
                waits_since=self._now,
            )
            host.streams.append(stream)
            self.result.streams += 1

    def _serve(self, host: Host) -> None:
        """Place waiting streams, and end those whose time or patience is used."""
        for stream in list(host.streams):
            if stream.waits_since is not None:
                if self._place(stream):
                    stream.waits_since = None
                elif self._now - stream.waits_since > WAIT_SECONDS:
                    self._end_unserved(stream)
                    continue
            if self._now - stream.last_event_at > PATIENCE_SECONDS:
                self.result.left += 1
                self._end(stream)
            elif self._now >= stream.deadline:
                self._end(stream)

    def _choose(self, host: Host, avoided: Iterable[Group]) -> Group | None:
        free = [
            group
            for group in self._groups
            if len(group.sends) < self.site.slots
            and not host.is_excluded(group, self._now)
            and group not in avoided
        ]
        if not free:
            return None
        return min(free, key=lambda group: (len(group.sends), self._rng.random()))

    def _place(self, stream: Stream) -> bool:
        group = self._choose(stream.host, [send.group for send in stream.sends])
        if group is None:
            return False
        send = Send(stream=stream, group=group, sent_at=self._now)
        stream.sends.append(send)
        stream.attempts += 1
        group.sends.append(send)
        group.last_sent_at = self._now
        stream.first_group = stream.first_group or group
        return True

    def _try_repeat(self, host: Host) -> bool:
        if not host.window.try_repeat(self._now, len(self._hosts)):
            return False
        self.result.repeats += 1
        return True

    def _resend(self, stream: Stream) -> None:
        """Send a stream without any send to another group, or end it."""
        if stream.attempts >= MAX_ATTEMPTS or not self._try_repeat(stream.host):
            self._end_unserved(stream)
        else:
            stream.waits_since = self._now

    def _end_send(self, send: Send) -> None:
        send.group.sends.remove(send)
        send.stream.sends.remove(send)

    def _end(self, stream: Stream) -> None:
        for send in list(stream.sends):
            self._end_send(send)
        stream.host.streams.remove(stream)

    def _end_unserved(self, stream: Stream) -> None:
        first = stream.first_group
        if first is None:
            self.result.refused += 1
        elif first.died_at is None and (
            self._now < stream.deadline - LIMIT_MARGIN_SECONDS
        ):
            self.result.lost += 1
        self._end(stream)

    # -- suspicions ----------------------------------------------------------

    def _check(self, host: Host) -> None:
        by_group = host.sends_by_group()
        host.queries = {g: q for g, q in host.queries.items() if g in by_group}
        if host.common_since is not None:
            if self.way.pool is Pool.SILENCES:
                if self._now - host.asked_at < ADVANCE_VALID_SECONDS:
                    return
                host.asked_at = self._now
            if not self._has_ended(host, by_group, host.common_since):
                return
            host.common_since = None
            if self.way.ending is not Ending.NOT_ANEW:
                host.silence_counts_from = self._now
        for group, sends in by_group.items():
            if host.is_excluded(group, self._now):
                if self.way.keeps_first:
                    self._send_beside(sends)
                continue
            silence = self._measure(host, group, sends)
            match classify_silence(silence, host.queries.get(group), self._now):
                case SilenceVerdict.SOUND:
                    host.queries.pop(group, None)
                case SilenceVerdict.ASK:
                    host.queries[group] = self._ask(host, group, silence.silent_seconds)
                case SilenceVerdict.LEAVE:
                    del host.queries[group]
                    self._treat(sends)
                case SilenceVerdict.SUSPECT:
                    del host.queries[group]
                    seconds = silence.silent_seconds
                    if self._is_common(host, by_group, seconds):
                        host.common_since = self._now - seconds
                        self.result.holders.add(host.number)
                        return
                    self._suspect(host, group, sends)
                    summary = self._summarize(host, by_group, seconds)
                    suspicion = Suspicion(
                        sender=host,
                        group=group,
                        silent_seconds=seconds,
                        advancing=summary.groups - summary.silent,
                    )
                    self._suspicions.append(suspicion)

    def _has_ended(
        self, host: Host, by_group: dict[Group, list[Send]], since: float
    ) -> bool:
        if self.way.ending is Ending.FIRST_EVENT:
            summary = self._summarize(host, by_group, self._now - since)
            return summary.silent < summary.groups
        return not self._is_common(host, by_group, self._now - since)

    def _measure(self, host: Host, group: Group, sends: list[Send]) -> GroupSilence:
        is_reading = any(send.prefill_passes for send in group.sends)
        since = max(
            host.last_event_at.get(group, 0.0),
            min(send.sent_at for send in sends),
            host.silence_counts_from,
        )
        return GroupSilence(
            silent_seconds=self._now - since,
            predicted_gap=PASS_SECONDS * (PREFILL_PASSES if is_reading else 1),
            allowed_gap=GAP_OBJECTIVE_SECONDS,
            first_event_seconds=FIRST_EVENT_SECONDS,
            has_running=any(send.events for send in sends),
        )

    def _ask(self, host: Host, group: Group, seconds: float) -> PeerQuery:
        has_answer = any(
            has_advanced(
                own_silence=peer.silence(group, self._now), peer_silence=seconds
            )
            for peer in self._hosts
            if peer is not host
        )
        return PeerQuery(
            asked_at=self._now, advanced_at=self._now if has_answer else None
        )

    def _watched(
        self, host: Host, by_group: dict[Group, list[Send]], seconds: float
    ) -> dict[Group, WatchedGroup]:
        """Return the groups that are due to send an event or have sent one since."""
        watched = {}
        for group in by_group.keys() | host.last_event_at.keys():
            own = host.silence(group, self._now)
            is_due = any(
                send.events or self._now - send.sent_at > FIRST_EVENT_SECONDS
                for send in by_group.get(group, ())
            )
            if is_due or has_advanced(own_silence=own, peer_silence=seconds):
                watched[group] = WatchedGroup(domain=group.domain, silent_seconds=own)
        return watched

    def _summarize(
        self, host: Host, by_group: dict[Group, list[Send]], seconds: float
    ) -> SilenceSummary:
        """Summarize what a host knows, with the silences that its peers tell it."""
        watched = self._watched(host, by_group, seconds)
        for step in range(min(self.way.peers, len(self._hosts) - 1)):
            peer = self._hosts[(host.number + 1 + step) % len(self._hosts)]
            theirs = self._watched(peer, peer.sends_by_group(), seconds)
            for group, told in theirs.items():
                known = watched.get(group, told)
                watched[group] = min(known, told, key=lambda w: w.silent_seconds)
        return summarize_silence(watched.values(), seconds)

    def _is_common(
        self, host: Host, by_group: dict[Group, list[Send]], seconds: float
    ) -> bool:
        if not self.way.spares_common:
            return False
        serving = [group for group in self._groups if not group.is_broken]
        return is_common(
            self._summarize(host, by_group, seconds),
            groups=len(serving),
            domains=len({group.domain for group in serving}),
            share=self.way.share,
            min_groups=self.way.min_groups,
        )

    def _suspect(self, host: Host, group: Group, sends: list[Send]) -> None:
        if group.died_at is None:
            self.result.accusers.add(host.number)
        host.excluded_until[group] = self._now + STALL_SECONDS
        self._treat(sends)

    def _treat(self, sends: list[Send]) -> None:
        """Send the streams of a suspected group elsewhere, or beside."""
        if self.way.keeps_first:
            self._send_beside(sends)
            return
        for send in sends:
            stream = send.stream
            if stream.attempts < MAX_ATTEMPTS and self._choose(
                stream.host, [send.group]
            ):
                self._end_send(send)
                self._resend(stream)

    def _send_beside(self, sends: list[Send]) -> None:
        for send in sends:
            stream = send.stream
            if len(stream.sends) > 1 or stream.attempts >= MAX_ATTEMPTS:
                continue
            if self._choose(stream.host, [send.group]) is None:
                continue
            if self._try_repeat(stream.host):
                self._place(stream)

    def _deliver(self) -> None:
        """Let the peers adopt the suspicions of the last step."""
        suspicions, self._suspicions = self._suspicions, []
        for suspicion in suspicions:
            for host in self._hosts:
                if host is not suspicion.sender and self._adopts(host, suspicion):
                    sends = host.sends_by_group().get(suspicion.group, [])
                    self._suspect(host, suspicion.group, sends)

    def _adopts(self, host: Host, suspicion: Suspicion) -> bool:
        group, seconds = suspicion.group, suspicion.silent_seconds
        if group.is_broken or host.is_excluded(group, self._now):
            return False
        if host.silence(group, self._now) < PASS_SECONDS / 2.0:
            return False
        if not self.way.spares_common:
            return True
        by_group = host.sends_by_group()
        if self._now - seconds < host.silence_counts_from:
            # The peer's silence includes a common one.
            return False
        if host.common_since is not None:
            seconds = self._now - host.common_since
        is_certain = suspicion.advancing >= self.way.min_advancing
        if self.way.pool is Pool.SUSPICIONS:
            summary = self._summarize(host, by_group, seconds)
            if summary.groups < self.way.thin_groups:
                return is_certain
        return not self._is_common(host, by_group, seconds)


# -- reports -----------------------------------------------------------------

SHARES = (0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 1.0)
LEAST_GROUPS = (2, 3, 4, 5, 6, 8)
HALF_DIES = _scene(Extent.HALF, None)
TWO_THIRDS_DIE = _scene(Extent.TWO_THIRDS, None)
ALL_WAKE, RANDOM_WAKE = _scene(Extent.ALL, 1.0), _scene(Extent.RANDOM, 1.0)


def _results(site: Site, scene: Scene, way: Way) -> list[Result]:
    return [Replay(site=site, scene=scene, way=way, seed=n).run() for n in site.seeds]


def _mean(values: Iterable[float]) -> str:
    return f"{fmean(values):.1f}".removesuffix(".0")


def _waking_cell(results: list[Result]) -> str:
    lost = sum(result.lost for result in results)
    left = _mean(result.left for result in results)
    refused = _mean(result.refused for result in results)
    repeats = _mean(result.repeats for result in results)
    accusers = _mean(len(result.accusers) for result in results)
    return f"{lost} / {left} / {refused} / {repeats} / {accusers}"


def _deadly_cell(results: list[Result]) -> str:
    moved = [seconds for result in results for seconds in result.moved]
    share = len(moved) / sum(result.stuck for result in results)
    used = max(seconds for result in results for seconds in result.dead_used)
    times = f"{median(moved):.2f} / {max(moved):.2f}" if moved else "- / -"
    return f"{share:.2f} / {times} / {used:.2f}"


def _holders_cell(results: list[Result]) -> str:
    used = max(seconds for result in results for seconds in result.dead_used)
    return f"{_mean(len(result.holders) for result in results)} / {used:.2f}"


def _accusers_cell(results: list[Result]) -> str:
    accusers = _mean(len(result.accusers) for result in results)
    return f"{accusers} / {_mean(result.repeats for result in results)}"


def _scene_reports(
    site: Site,
    ways: tuple[Way, ...],
    waking: tuple[Scene, ...],
    deadly: Iterable[Scene],
) -> list[Report]:
    columns = ("scene", *(way.name for way in ways))

    def rows(scenes, cell) -> tuple[tuple[Cell, ...], ...]:
        return tuple(
            (scene.name, *(cell(_results(site, scene, way)) for way in ways))
            for scene in scenes
        )

    load = (
        f"{site.requests_per_second:g} requests a second, {site.slots} slots a group; "
        f"seeds {site.seeds}: means, but sums of what is lost and worst times."
    )
    return [
        Report(
            title=(
                f"{site.name}, groups wake: streams lost / left by callers / requests "
                "refused / repeated sends / hosts that suspect a living group"
            ),
            columns=columns,
            rows=rows(waking, _waking_cell),
            notes=(load,),
        ),
        Report(
            title=(
                f"{site.name}, groups die: share of their streams that moved / median "
                "/ worst seconds / longest use of a dead group in seconds"
            ),
            columns=columns,
            rows=rows(deadly, _deadly_cell),
            notes=(load,),
        ),
    ]


def _sweep_report(site: Site, thirds: Site, way: Way) -> Report:
    variants = [
        *(replace(way, share=share) for share in SHARES),
        *(replace(way, min_groups=groups) for groups in LEAST_GROUPS),
    ]
    return Report(
        title=(
            f"{site.name}, {way.name}, by share and least groups: hosts that hold the "
            "silence of dead groups for common / longest use of one in seconds; hosts "
            "that suspect a living group / repeated sends"
        ),
        columns=(
            "share",
            "groups",
            HALF_DIES.name,
            TWO_THIRDS_DIE.name,
            ALL_WAKE.name,
            RANDOM_WAKE.name,
        ),
        rows=tuple(
            (
                variant.share,
                variant.min_groups,
                _holders_cell(_results(site, HALF_DIES, variant)),
                _holders_cell(_results(thirds, TWO_THIRDS_DIE, variant)),
                _accusers_cell(_results(site, ALL_WAKE, variant)),
                _accusers_cell(_results(site, RANDOM_WAKE, variant)),
            )
            for variant in variants
        ),
        notes=(f"Two of three domains: {thirds.name}.",),
    )


def _ending_report(site: Site) -> Report:
    scenes = (ALL_WAKE, RANDOM_WAKE, IN_SERIES)
    return Report(
        title=(
            f"{site.name}, {POOLED.name}, by the end of a common silence: streams lost "
            "/ left by callers / requests refused / repeated sends / hosts that "
            "suspect a living group"
        ),
        columns=("end", *(scene.name for scene in scenes)),
        rows=tuple(
            (
                ending.value,
                *(
                    _waking_cell(_results(site, scene, replace(POOLED, ending=ending)))
                    for scene in scenes
                ),
            )
            for ending in Ending
        ),
    )


def run(*, smallest: bool) -> list[Report]:
    """Replay every scene by every way, or a few on the small site."""
    if smallest:
        return _scene_reports(SMALL, (LEAVE_FIRST, COMMON), WAKING[:1], DEADLY[:1])
    reports = []
    for site in (SMALL, LARGE):
        reports += _scene_reports(site, WAYS, WAKING, DEADLY)
    for site, thirds in ((SMALL, THIRDS), (LARGE, LARGE_THIRDS)):
        reports += [_sweep_report(site, thirds, way) for way in (COMMON, POOLED)]
    return reports + [_ending_report(site) for site in (SMALL, LARGE)]
