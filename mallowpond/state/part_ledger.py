"""Decide which parts of prompts crash the targets that run them, and quarantine them.

Requests of which no two are alike may crash their targets because of one part that
their prompts share. Finding it is group testing: each target that ends accuses all
shared parts of the requests that it ran, and each complete answer clears all parts of
its request. A part with several endings under different requests and no answer since is
quarantined together with the parts that came with it each time: only a request that has
all of them is refused. Sound requests that have some of them are served, and their
answers clear those.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from mallowpond.state.decoding import Identifier
from mallowpond.state.fleet import Process
from mallowpond.state.ownership import uniform_score

# Endings without an answer since, for a quarantine: fewer if the requests had just
# begun to run, as those that crash their targets mostly have, and bystanders seldom.
ENDINGS_TO_QUARANTINE = 3
EARLY_ENDINGS_TO_QUARANTINE = 2
# Different requests among them: one that is sent again and again accuses only itself.
REQUESTS_TO_QUARANTINE = 2
# Endings from which a part is quarantined with what came with it each time. With fewer,
# only requests like one of those that ran are refused, as two deadly parts may have
# come with a sound one that then stands in all endings.
ENDINGS_TO_GENERALIZE = 4
# How many endings must not be explained by another quarantined part: parts of
# bystanders share the endings of the cause.
UNEXPLAINED_TO_QUARANTINE = 2
# Time in quarantine after the last ending, in seconds: twice as long with each further
# ending, as a part that is sound has few by chance.
FIRST_QUARANTINE_SECONDS = 10.0
MAX_QUARANTINE_SECONDS = 600.0
# Time after an answer in which the first few endings do not count, in seconds: a part
# that many requests share runs on several targets of a domain that is lost.
EXCUSE_SECONDS = 60.0
EXCUSED_ENDINGS = 5
# Of these, how many a host keeps to itself: most parts are answered all the time.
UNREPORTED_ENDINGS = 1
# Time after a supposed end from which an event of the target disproves it, in seconds:
# earlier ones may have been sent before the end and read later. Time after the last
# end from which none is disproved any more, as that costs a look-up for each event.
DISPROVED_AFTER_SECONDS = 0.5
DISPROVED_BEFORE_SECONDS = 10.0
# Time after which a part's endings expire, in seconds.
RECORD_EXPIRY_SECONDS = 3600.0
# Maximum numbers that one host keeps: parts with endings, endings of each part,
# answered parts, and processes whose end may be disproved. The endings suffice for the
# longest quarantine, and 20 records with 15 companions each fit in a datagram.
MAX_PARTS = 1_000
MAX_ENDINGS = 8
MAX_ANSWERED = 4_000
MAX_ENDED = 500


@dataclass(frozen=True, kw_only=True)
class PartEnding:
    """The end of a target `age` seconds ago, while it ran requests with a part.

    `request` is the fingerprint of one of them, and `companions` are the other parts
    that any of them had. `early`: one of them had just begun to run. With `refuted` it
    is no evidence against the part.
    """

    process: Process
    request: Identifier
    companions: tuple[Identifier, ...] = ()
    age: float = 0.0
    early: bool = False
    refuted: bool = False


@dataclass(frozen=True, kw_only=True)
class PartRecord:
    """The endings of requests with one part."""

    part: Identifier
    endings: tuple[PartEnding, ...]

    @property
    def key(self) -> str:
        """Return the key of the part."""
        return self.part

    @property
    def has_enough_evidence(self) -> bool:
        """Return whether this record alone suffices to suspect the part."""
        return _is_enough(ending for ending in self.endings if not ending.refuted)

    def aged(self, seconds: float) -> "PartRecord":
        """Return the record as it is some seconds later."""
        endings = tuple(replace(e, age=e.age + seconds) for e in self.endings)
        return replace(self, endings=endings)


@dataclass(frozen=True, kw_only=True)
class PartQuarantine:
    """Requests with a part and all parts of one of `companions` are refused."""

    part: str
    companions: tuple[frozenset[str], ...]
    until: float


@dataclass(frozen=True, kw_only=True)
class _Suspect:
    """A part with enough endings, the processes that ended, and what it is refused for.

    `rank` orders the suspects, those that explain the most endings first.
    """

    processes: frozenset[Process]
    rank: tuple[int, int, str]
    quarantine: PartQuarantine


@dataclass(kw_only=True)
class _Answer:
    at: float
    excused: int = 0


@dataclass(kw_only=True)
class _Entry:
    # The ages are those at time 0 of the clock, so that they do not change.
    endings: dict[Process, PartEnding] = field(default_factory=dict)

    @property
    def evidence(self) -> list[PartEnding]:
        return [ending for ending in self.endings.values() if not ending.refuted]

    @property
    def last_at(self) -> float:
        return -min(ending.age for ending in self.endings.values())


class PartLedger:
    """Which targets ended under requests with which parts, as far as this host knows.

    Parts are named by keys, see `part_key`. `host` spreads the ends of quarantines, so
    that few hosts at a time try whether a part still crashes targets.
    """

    def __init__(self, *, host: str = "") -> None:
        self._host = host
        # Least recently changed first.
        self._entries: dict[str, _Entry] = {}
        self._answered: dict[str, _Answer] = {}
        self._ended: dict[Process, float] = {}
        self._last_end_at = float("-inf")
        self._suspects: dict[str, _Suspect] = {}
        # Quarantines of the suspects, None after a change of them.
        self._selected: dict[str, PartQuarantine] | None = {}

    # -- queries -------------------------------------------------------------

    def quarantine_of(
        self, parts: tuple[str, ...], now: float
    ) -> PartQuarantine | None:
        """Return what a request with these parts is refused for, None if nothing."""
        quarantined = self._quarantined
        if not quarantined:
            return None
        found = [quarantined[part] for part in parts if part in quarantined]
        if not found:
            return None
        own = frozenset(parts)
        refusing = [
            quarantine
            for quarantine in found
            if quarantine.until > now
            and any(self._needed(c, now) <= own for c in quarantine.companions)
        ]
        return max(refusing, key=lambda quarantine: quarantine.until, default=None)

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the parts that are quarantined."""
        return frozenset(p for p, q in self._quarantined.items() if q.until > now)

    def quarantine(self, part: str, now: float) -> PartQuarantine | None:
        """Return the quarantine of a part, None if it is not quarantined."""
        found = self._quarantined.get(part)
        return found if found is not None and found.until > now else None

    def explained_processes(self) -> frozenset[Process]:
        """Return the processes whose ends the parts explain, held back or not."""
        suspects = (self._suspects[part] for part in self._quarantined)
        return frozenset().union(*(suspect.processes for suspect in suspects))

    def record(self, part: str, now: float) -> PartRecord | None:
        """Return the record of one part, None if there is none."""
        entry = self._entries.get(part)
        if entry is None:
            return None
        endings = tuple(entry.endings.values())
        return PartRecord(part=Identifier(part), endings=endings).aged(now)

    def records(self, now: float) -> Iterator[PartRecord]:
        """Yield all records, quarantined parts first, then the newest first."""
        ordered = sorted(
            self._entries,
            key=lambda p: (p not in self._quarantined, -self._entries[p].last_at),
        )
        for part in ordered:
            record = self.record(part, now)
            if record is not None:
                yield record

    # -- evidence ------------------------------------------------------------

    def record_ending(
        self,
        parts: tuple[str, ...],
        request: str,
        process: Process,
        now: float,
        *,
        early: bool = False,
    ) -> list[str]:
        """Add the end of a target that ran a request with these parts on this host.

        `early` tells whether it had just begun to run. Return the parts whose records
        changed in a way that other hosts should know.
        """
        self._record_end(process, now)
        changed = []
        for part in parts:
            answer = self._excusing(part, now)
            if answer is not None and answer.excused < UNREPORTED_ENDINGS:
                answer.excused += 1
                continue
            ending = PartEnding(
                process=process,
                request=Identifier(request),
                companions=tuple(Identifier(p) for p in parts if p != part),
                early=early,
            )
            if self.merge(PartRecord(part=Identifier(part), endings=(ending,)), now):
                changed.append(part)
        return changed

    def record_answer(self, parts: Iterable[str], now: float) -> list[str]:
        """Record a complete answer; return the parts whose endings it refutes.

        A part that crashes every target is in no request that is answered.
        """
        refuted = []
        for part in parts:
            self._answered.pop(part, None)
            self._answered[part] = _Answer(at=now)
            entry = self._entries.get(part)
            if entry is not None and entry.evidence:
                self._refute(entry, set(entry.endings))
                self._update_suspect(part)
                refuted.append(part)
        while len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return refuted

    def record_alive(self, process: Process, now: float) -> list[str]:
        """Record that a target is alive; return the parts that this clears of an end.

        Its connections were closed, but its process had not ended.
        """
        if not self._ended:
            return []
        if now - self._last_end_at > DISPROVED_BEFORE_SECONDS:
            self._ended.clear()
            return []
        ended_at = self._ended.get(process)
        if ended_at is None or now - ended_at < DISPROVED_AFTER_SECONDS:
            return []
        del self._ended[process]
        changed = []
        for part, entry in list(self._entries.items()):
            ending = entry.endings.get(process)
            if ending is not None and not ending.refuted:
                self._refute(entry, {process})
                self._update_suspect(part)
                changed.append(part)
        return changed

    def merge(self, record: PartRecord, now: float) -> bool:
        """Merge the record of a host; return whether any of it was new.

        Records may arrive late, duplicated and in any order: endings, companions and
        refutations are only added, never removed.
        """
        self._drop_expired(now)
        entry = self._entries.get(record.part, _Entry())
        before = dict(entry.endings)
        for ending in record.aged(-now).endings:
            known = before.get(ending.process)
            if known is None:
                entry.endings[ending.process] = self._refuted_if_answered(
                    record.part, ending, now
                )
            else:
                entry.endings[ending.process] = _combined(known, ending)
        if entry.endings == before:
            return False
        for process in list(entry.endings)[:-MAX_ENDINGS]:
            del entry.endings[process]
        self._entries.pop(record.part, None)
        self._entries[record.part] = entry
        self._update_suspect(record.part)
        self._enforce_limit()
        return True

    def _refuted_if_answered(
        self, part: str, ending: PartEnding, now: float
    ) -> PartEnding:
        """Return an ending of which this host hears first, refuted by its answers."""
        answer = self._answered.get(part)
        if ending.refuted or answer is None:
            return ending
        if -ending.age <= answer.at:
            return replace(ending, refuted=True)
        if self._excusing(part, now) is None:
            return ending
        answer.excused += 1
        return replace(ending, refuted=True)

    def _excusing(self, part: str, now: float) -> _Answer | None:
        """Return the answer that excuses an ending now, None if there is none."""
        answer = self._answered.get(part)
        if answer is None or now - answer.at > EXCUSE_SECONDS:
            return None
        return answer if answer.excused < EXCUSED_ENDINGS else None

    def _is_cleared(self, part: str, now: float) -> bool:
        return self._excusing(part, now) is not None

    def _needed(self, companions: frozenset[str], now: float) -> frozenset[str]:
        """Return the companions of a part that may be the cause in its place."""
        return frozenset(c for c in companions if not self._is_cleared(c, now))

    def _refute(self, entry: _Entry, processes: set[Process]) -> None:
        """Mark the ends of these processes as no evidence."""
        for process in processes:
            entry.endings[process] = replace(entry.endings[process], refuted=True)

    def _record_end(self, process: Process, now: float) -> None:
        self._ended.setdefault(process, now)
        self._last_end_at = now
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    # -- decision ------------------------------------------------------------

    @property
    def _quarantined(self) -> dict[str, PartQuarantine]:
        # Computed when it is needed: an ending changes the evidence of many parts.
        if self._selected is None:
            self._selected = self._select_quarantined()
        return self._selected

    def _update_suspect(self, part: str) -> None:
        entry = self._entries.get(part)
        evidence = [] if entry is None else entry.evidence
        if _is_enough(evidence):
            self._suspects[part] = self._new_suspect(part, evidence)
        elif self._suspects.pop(part, None) is None:
            return
        self._selected = None

    def _select_quarantined(self) -> dict[str, PartQuarantine]:
        """Quarantine what explains the most endings, then what explains the rest.

        The endings under parts of bystanders are a subset of those of the cause. Parts
        that came together each time have the same endings and companions, so that it
        does not matter which of them is chosen.
        """
        explained: set[Process] = set()
        quarantined = {}
        for suspect in sorted(self._suspects.values(), key=lambda s: s.rank):
            if len(suspect.processes - explained) >= UNEXPLAINED_TO_QUARANTINE:
                quarantined[suspect.quarantine.part] = suspect.quarantine
                explained |= suspect.processes
        return quarantined

    def _new_suspect(self, part: str, evidence: list[PartEnding]) -> _Suspect:
        requests = {ending.request for ending in evidence}
        return _Suspect(
            processes=frozenset(ending.process for ending in evidence),
            rank=(-len(evidence), -len(requests), part),
            quarantine=self._new_quarantine(part, evidence),
        )

    def _new_quarantine(self, part: str, evidence: list[PartEnding]) -> PartQuarantine:
        doublings = len(evidence) - EARLY_ENDINGS_TO_QUARANTINE
        seconds = min(MAX_QUARANTINE_SECONDS, FIRST_QUARANTINE_SECONDS * 2.0**doublings)
        spread = uniform_score(self._host, f"{part} {len(evidence)}")
        last_at = -min(ending.age for ending in evidence)
        return PartQuarantine(
            part=part,
            companions=_companions(evidence),
            until=last_at + seconds * (1.0 + spread),
        )

    # -- bounds --------------------------------------------------------------

    def _drop_expired(self, now: float) -> None:
        """Drop the records that are too old, the least recently changed first."""
        while self._entries:
            oldest = next(iter(self._entries))
            if now - self._entries[oldest].last_at <= RECORD_EXPIRY_SECONDS:
                return
            self._drop(oldest)

    def _enforce_limit(self) -> None:
        """Drop the oldest entry beyond the limit, one of a quarantined part last."""
        if len(self._entries) > MAX_PARTS:
            others = (p for p in self._entries if p not in self._quarantined)
            self._drop(next(others, next(iter(self._entries))))

    def _drop(self, part: str) -> None:
        del self._entries[part]
        self._update_suspect(part)


def _is_enough(evidence: Iterable[PartEnding]) -> bool:
    """Return whether these endings suffice to suspect a part."""
    found = list(evidence)
    early = [ending for ending in found if ending.early]
    return _are_enough(found, ENDINGS_TO_QUARANTINE) or _are_enough(
        early, EARLY_ENDINGS_TO_QUARANTINE
    )


def _are_enough(endings: list[PartEnding], count: int) -> bool:
    requests = {ending.request for ending in endings}
    return len(endings) >= count and len(requests) >= REQUESTS_TO_QUARANTINE


def _companions(evidence: list[PartEnding]) -> tuple[frozenset[str], ...]:
    """Return the sets of parts with one of which requests with a part are refused."""
    if len(evidence) >= ENDINGS_TO_GENERALIZE:
        return (_common_companions(evidence),)
    return tuple(frozenset(ending.companions) for ending in evidence)


def _common_companions(evidence: list[PartEnding]) -> frozenset[str]:
    """Return the parts that came with a part in each of its endings."""
    sets = [frozenset(ending.companions) for ending in evidence]
    return frozenset.intersection(*sets) if sets else frozenset()


def _combined(known: PartEnding, other: PartEnding) -> PartEnding:
    """Return what two hosts know together of the same ending."""
    companions = {*known.companions, *other.companions}
    return PartEnding(
        process=known.process,
        request=min(known.request, other.request),
        companions=tuple(sorted(companions)),
        # The earlier of the two observations, as ages count from time 0 of the clock.
        age=known.age,
        early=known.early or other.early,
        refuted=known.refuted or other.refuted,
    )
