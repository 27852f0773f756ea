"""Decide which requests end the targets that run them, and are held back.

The load pattern: one caller's request ends each target that begins to run it and comes
again at any host, so that no bound on one exchange or host ends it. All requests that
run on a target lose it together, so standing there proves little by itself; having
stood on three targets that ended, and never having been answered, does.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from mallowpond.state.decoding import Identifier
from mallowpond.state.fleet import Process

# Targets that must have ended under a request before it is held back. Fewer would hold
# back what stood on two targets that were lost by themselves.
ENDINGS_TO_QUARANTINE = 3
# Of these, how many must not be explained by a request that is held back already: those
# that stood beside it came to share its endings, and one more may be chance.
UNEXPLAINED_TO_QUARANTINE = 2
# Time for which a request is held back after the last target that it ended, in seconds:
# a target is replaced or repaired in minutes, and one more try then costs one target.
QUARANTINE_SECONDS = 600.0
# Time after which a request's endings are forgotten, in seconds: until then one more
# ending holds it back again.
RECORD_EXPIRY_SECONDS = 3600.0
# Time for which an answered request counts as harmless, in seconds: a request that many
# callers send alike stands on several targets of a fabric domain that fails.
ANSWERED_SECONDS = 60.0
# Time after a target's end in which what is sent there counts as sent to nobody, in
# seconds: later on, another process has started under the same id.
ENDED_SECONDS = 2.0
# Bounds of what one host keeps: requests with endings, targets that ended under each,
# answered requests, and targets that ended.
MAX_REQUESTS = 2_000
MAX_ENDINGS = 16
MAX_ANSWERED = 2_000
MAX_ENDED = 500


@dataclass(frozen=True, kw_only=True)
class Ending:
    """Say that a target ended while it ran a request, `ran` seconds after the send.

    With `refuted` the request was answered whole since, so it is no evidence any more.
    """

    process: Process
    ran: float
    refuted: bool = False


@dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """Hold the endings of one request, the last of them `age` seconds ago."""

    request: Identifier
    endings: tuple[Ending, ...]
    age: float = 0.0

    @property
    def has_enough_evidence(self) -> bool:
        """Tell whether this record by itself may hold the request back."""
        evidence = [ending for ending in self.endings if not ending.refuted]
        return len(evidence) >= ENDINGS_TO_QUARANTINE


@dataclass(kw_only=True)
class _Entry:
    last_at: float
    endings: dict[Process, Ending] = field(default_factory=dict)

    @property
    def evidence(self) -> set[Process]:
        return {p for p, ending in self.endings.items() if not ending.refuted}

    @property
    def ran(self) -> list[float]:
        """Return for how long the request ran on each target that counts."""
        return [e.ran for e in self.endings.values() if not e.refuted]


class CrashLedger:
    """Keep which targets ended under which requests, as far as this host has heard."""

    def __init__(self) -> None:
        # Least lately changed first.
        self._entries: dict[str, _Entry] = {}
        self._answered: dict[str, float] = {}
        # When each target ended, as this host first saw or heard.
        self._ended: dict[Process, float] = {}
        # Requests with enough endings to be held back, explained or not.
        self._suspects: set[str] = set()
        self._held: frozenset[str] = frozenset()

    def held(self, now: float) -> frozenset[str]:
        """Return the requests that are held back."""
        return frozenset(
            r for r in self._held if self.quarantine_seconds_left(r, now) > 0.0
        )

    def quarantine_seconds_left(self, request: str, now: float) -> float:
        """Return for how long a request is held back from now on, 0 if it is not."""
        if request not in self._held:
            return 0.0
        return max(0.0, self._entries[request].last_at + QUARANTINE_SECONDS - now)

    def record_alive(self, process: Process) -> None:
        """Note that a target goes on: what broke off there was only a connection."""
        self._ended.pop(process, None)

    def has_ended(self, process: Process, now: float) -> bool:
        """Tell whether a target ended just now and has shown no life since."""
        ended_at = self._ended.get(process)
        return ended_at is not None and now - ended_at <= ENDED_SECONDS

    def ended_before(self, process: Process, sent_at: float) -> bool:
        """Tell whether what was sent to a target then found it ended."""
        ended_at = self._ended.get(process)
        return ended_at is not None and ended_at < sent_at <= ended_at + ENDED_SECONDS

    def record_ending(
        self, request: str, ending: Ending, now: float
    ) -> CrashRecord | None:
        """Take an ending that this host saw, and return all that is known of it.

        None if the target had ended before: until the list shows that, requests go on
        being sent there, and none of them is what ended it.
        """
        sent_at = now - ending.ran
        if self.ended_before(ending.process, sent_at):
            return None
        self._note_ended(ending.process, sent_at, now)
        self.merge(CrashRecord(request=Identifier(request), endings=(ending,)), now)
        return self.record(request, now)

    def _note_ended(self, process: Process, sent_at: float, now: float) -> None:
        """Remember when a target ended, for each of its lives."""
        if sent_at > self._ended.get(process, now):
            del self._ended[process]
        self._hear_ended(process, now)

    def _hear_ended(self, process: Process, ended_at: float) -> None:
        self._ended.setdefault(process, ended_at)
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def record_answer(self, request: str, now: float) -> CrashRecord | None:
        """Note a whole answer; return what it refutes, None if there was nothing.

        A request that ends each target which runs it is never answered.
        """
        self._answered.pop(request, None)
        self._answered[request] = now
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        entry = self._entries.get(request)
        if entry is None or not entry.evidence:
            return None
        self._refute(entry)
        self._judge(request)
        return self._record(request, now)

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Take what another host knows; return whether any of it was new.

        Records may come late, doubled and in any order: what each of them says is added
        and nothing is taken back.
        """
        self._forget(now)
        entry = self._entries.get(record.request)
        if entry is None:
            entry = _Entry(last_at=now - record.age)
        before = dict(entry.endings)
        for ending in record.endings:
            known = before.get(ending.process)
            if known is None:
                known = ending
                self._hear_ended(ending.process, now - record.age)
            entry.endings[ending.process] = replace(
                ending,
                ran=min(known.ran, ending.ran),
                refuted=known.refuted or ending.refuted,
            )
        if self._was_answered(record.request, now):
            self._refute(entry)
        if entry.endings == before:
            return False
        for process in list(entry.endings)[:-MAX_ENDINGS]:
            del entry.endings[process]
        entry.last_at = max(entry.last_at, now - record.age)
        self._entries.pop(record.request, None)
        self._entries[record.request] = entry
        self._judge(record.request)
        self._limit()
        return True

    def records(self, now: float) -> Iterator[CrashRecord]:
        """Yield all that is known, what is held back and what is newest first."""
        newest = sorted(
            self._entries,
            key=lambda r: (r not in self._held, -self._entries[r].last_at),
        )
        return (self._record(request, now) for request in newest)

    def record(self, request: str, now: float) -> CrashRecord | None:
        """Return what is known of one request, None if nothing is."""
        return self._record(request, now) if request in self._entries else None

    def _record(self, request: str, now: float) -> CrashRecord:
        entry = self._entries[request]
        return CrashRecord(
            request=Identifier(request),
            endings=tuple(entry.endings.values()),
            age=now - entry.last_at,
        )

    def _was_answered(self, request: str, now: float) -> bool:
        answered_at = self._answered.get(request)
        return answered_at is not None and now - answered_at <= ANSWERED_SECONDS

    def _refute(self, entry: _Entry) -> None:
        entry.endings = {
            process: replace(ending, refuted=True)
            for process, ending in entry.endings.items()
        }

    def _judge(self, request: str) -> None:
        """Choose again what is held back, if this request's endings bear on it."""
        was_suspect = request in self._suspects
        entry = self._entries.get(request)
        if entry is not None and len(entry.evidence) >= ENDINGS_TO_QUARANTINE:
            self._suspects.add(request)
        else:
            self._suspects.discard(request)
        if was_suspect or request in self._suspects:
            self._choose_held()

    def _choose_held(self) -> None:
        """Hold back what explains the most endings, then what explains the rest.

        A bystander's endings are a part of those of the request that caused them. With
        the same ones, that which ran for the most alike time is the likelier cause: it
        ends each target the same time after it begins there, and a bystander may come
        at any moment. Chosen wrongly, the cause ends one more target
        and from then on explains more than the other.
        """
        explained: set[Process] = set()
        held = []
        for request in sorted(self._suspects, key=self._rank):
            evidence = self._entries[request].evidence
            if len(evidence - explained) >= UNEXPLAINED_TO_QUARANTINE:
                held.append(request)
                explained |= evidence
        self._held = frozenset(held)

    def _rank(self, request: str) -> tuple[int, float, float, str]:
        ran = self._entries[request].ran
        spread, mean = max(ran) - min(ran), sum(ran) / len(ran)
        return (-len(ran), spread, mean, request)

    def _forget(self, now: float) -> None:
        """Drop what is too old, from the least lately changed on."""
        while self._entries:
            oldest = next(iter(self._entries))
            if now - self._entries[oldest].last_at <= RECORD_EXPIRY_SECONDS:
                return
            self._drop(oldest)

    def _limit(self) -> None:
        """Drop the oldest entries beyond the bound, those of held requests last."""
        if len(self._entries) > MAX_REQUESTS:
            others = (r for r in self._entries if r not in self._held)
            self._drop(next(others, next(iter(self._entries))))

    def _drop(self, request: str) -> None:
        del self._entries[request]
        self._judge(request)
