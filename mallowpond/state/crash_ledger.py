"""Decide which requests crash the targets that run them, and quarantine them.

One caller's request may crash each target that begins to run it and be retried at any
host, so no limit on one exchange or one host stops it. All requests that run on a
target lose it together, so one end is weak evidence against any of them. A request that
was running on three targets as they ended, and was never answered, is quarantined.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from mallowpond.state.decoding import Identifier
from mallowpond.state.fleet import Process

# Targets that must have ended while they ran a request before it is quarantined. With
# fewer, a request would be quarantined that ran on two targets lost for other reasons.
ENDINGS_TO_QUARANTINE = 3
# How many of these must not be explained by another quarantined request: bystanders of
# that one share its endings, and one further ending may be chance.
UNEXPLAINED_TO_QUARANTINE = 2
# Time in quarantine after the last target that ended under a request, in seconds: a
# target is replaced or repaired in minutes, and one more try then costs one target.
QUARANTINE_SECONDS = 600.0
# Time after which a request's endings expire, in seconds: until then one more ending
# quarantines it again.
RECORD_EXPIRY_SECONDS = 3600.0
# Time for which an answered request counts as harmless, in seconds: a request that many
# callers send identically runs on several targets of a fabric domain that fails.
ANSWERED_SECONDS = 60.0
# Time after a target's end in which a request sent there cannot have caused an ending,
# in seconds: later, another process may have started under the same id.
ENDED_SECONDS = 2.0
# Maximum numbers that one host keeps: requests with endings, endings of each request,
# answered requests, and ended targets.
MAX_REQUESTS = 2_000
MAX_ENDINGS = 16
MAX_ANSWERED = 2_000
MAX_ENDED = 500


@dataclass(frozen=True, kw_only=True)
class Ending:
    """The end of a target while it ran a request, `ran` seconds after it began to.

    For a stream these are told by the events that came, 0 if none did; for a call they
    count from the send. With `refuted` the request has been answered completely since,
    so the ending is no evidence against it any more.
    """

    process: Process
    ran: float
    refuted: bool = False


@dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """The endings of one request, the last of them `age` seconds ago."""

    request: Identifier
    endings: tuple[Ending, ...]
    age: float = 0.0

    @property
    def key(self) -> str:
        """Return the fingerprint of the request."""
        return self.request

    @property
    def has_enough_evidence(self) -> bool:
        """Return whether this record alone suffices to suspect the request."""
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
        """Return the seconds that the request ran on each target that counts."""
        return [e.ran for e in self.endings.values() if not e.refuted]


class CrashLedger:
    """Which targets ended under which requests, as far as this host knows."""

    def __init__(self) -> None:
        # Least recently changed first.
        self._entries: dict[str, _Entry] = {}
        self._answered: dict[str, float] = {}
        # When each target ended, by the first observation or report.
        self._ended: dict[Process, float] = {}
        # Requests with enough endings for a quarantine, explained or not.
        self._suspects: set[str] = set()
        self._quarantined: frozenset[str] = frozenset()
        # Processes that ended under requests with a quarantined part.
        self._explained: frozenset[Process] = frozenset()

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the requests that are quarantined."""
        return frozenset(
            r for r in self._quarantined if self.quarantine_seconds_left(r, now) > 0.0
        )

    def quarantine_seconds_left(self, request: str, now: float) -> float:
        """Return the seconds of quarantine that a request has left, 0 if none."""
        if request not in self._quarantined:
            return 0.0
        return max(0.0, self._entries[request].last_at + QUARANTINE_SECONDS - now)

    def explain(self, processes: frozenset[Process]) -> None:
        """Set the processes whose ends a quarantined part of prompts explains.

        Requests that ran there beside it are bystanders.
        """
        if processes != self._explained:
            self._explained = processes
            self._select_quarantined()

    def record_alive(self, process: Process) -> None:
        """Record that a target is alive: at most a connection to it was lost."""
        # Called for each event of a stream; usually no target has ended, and a lookup
        # hashes the process.
        if self._ended:
            self._ended.pop(process, None)

    def has_ended(self, process: Process, now: float) -> bool:
        """Return whether a target ended recently and was not recorded alive since."""
        if not self._ended:
            return False
        ended_at = self._ended.get(process)
        return ended_at is not None and now - ended_at <= ENDED_SECONDS

    def had_ended_before(self, process: Process, sent_at: float) -> bool:
        """Return whether a request that was sent to a target then found it ended."""
        ended_at = self._ended.get(process)
        return ended_at is not None and ended_at < sent_at <= ended_at + ENDED_SECONDS

    def record_ending(
        self, request: str, ending: Ending, now: float, *, sent_at: float | None = None
    ) -> CrashRecord | None:
        """Add an ending that this host observed, and return the request's record.

        The request was sent at `sent_at`, by default as it began to run. None if the
        target had ended before the send: until the list of targets shows that, requests
        are still sent there, and none of them caused the end.
        """
        if sent_at is None:
            sent_at = now - ending.ran
        if self.had_ended_before(ending.process, sent_at):
            return None
        self._record_observed_end(ending.process, sent_at, now)
        self.merge(CrashRecord(request=Identifier(request), endings=(ending,)), now)
        return self.record(request, now)

    def _record_observed_end(
        self, process: Process, sent_at: float, now: float
    ) -> None:
        """Record when a target ended; a new time if it was restarted in between."""
        if sent_at > self._ended.get(process, now):
            del self._ended[process]
        self._record_end(process, now)

    def _record_end(self, process: Process, ended_at: float) -> None:
        self._ended.setdefault(process, ended_at)
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def record_answer(self, request: str, now: float) -> CrashRecord | None:
        """Record a complete answer; return the refuted record, None if there is none.

        A request that crashes every target is never answered.
        """
        self._answered.pop(request, None)
        self._answered[request] = now
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        entry = self._entries.get(request)
        if entry is None or not entry.evidence:
            return None
        self._refute(entry)
        self._update_suspect(request)
        return self._record(request, now)

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Merge a record of another host; return whether any of it was new.

        Records may arrive late, duplicated and in any order: their endings and
        refutations are only added, never removed.
        """
        self._drop_expired(now)
        entry = self._entries.get(record.request)
        if entry is None:
            entry = _Entry(last_at=now - record.age)
        before = dict(entry.endings)
        for ending in record.endings:
            known = before.get(ending.process)
            if known is None:
                known = ending
                self._record_end(ending.process, now - record.age)
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
        self._update_suspect(record.request)
        self._enforce_limit()
        return True

    def records(self, now: float) -> Iterator[CrashRecord]:
        """Yield all records, quarantined requests first, then the newest first."""
        ordered = sorted(
            self._entries,
            key=lambda r: (r not in self._quarantined, -self._entries[r].last_at),
        )
        return (self._record(request, now) for request in ordered)

    def record(self, request: str, now: float) -> CrashRecord | None:
        """Return the record of one request, None if there is none."""
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

    def _update_suspect(self, request: str) -> None:
        """Update the suspects, and the quarantine if this request was or is one."""
        was_suspect = request in self._suspects
        entry = self._entries.get(request)
        if entry is not None and len(entry.evidence) >= ENDINGS_TO_QUARANTINE:
            self._suspects.add(request)
        else:
            self._suspects.discard(request)
        if was_suspect or request in self._suspects:
            self._select_quarantined()

    def _select_quarantined(self) -> None:
        """Quarantine what explains the most endings, then what explains the rest.

        A bystander's endings are a subset of those of the request that caused them.
        Among requests with the same endings, the one whose run times vary least is the
        likeliest cause: it crashes each target the same time after it starts there,
        while a bystander may start at any time. One that was never seen to run comes
        last. If the choice is wrong, the cause ends one more target and from then on
        explains more endings than the bystander.
        """
        explained = set(self._explained)
        quarantined = []
        for request in sorted(self._suspects, key=self._rank):
            evidence = self._entries[request].evidence
            if len(evidence - explained) >= UNEXPLAINED_TO_QUARANTINE:
                quarantined.append(request)
                explained |= evidence
        self._quarantined = frozenset(quarantined)

    def _rank(self, request: str) -> tuple[int, bool, float, float, str]:
        ran = self._entries[request].ran
        spread, mean = max(ran) - min(ran), sum(ran) / len(ran)
        return (-len(ran), max(ran) == 0.0, spread, mean, request)

    def _drop_expired(self, now: float) -> None:
        """Drop the records that are too old, the least recently changed first."""
        while self._entries:
            oldest = next(iter(self._entries))
            if now - self._entries[oldest].last_at <= RECORD_EXPIRY_SECONDS:
                return
            self._drop(oldest)

    def _enforce_limit(self) -> None:
        """Drop the oldest entry beyond the limit, one of a quarantined request last."""
        if len(self._entries) > MAX_REQUESTS:
            others = (r for r in self._entries if r not in self._quarantined)
            self._drop(next(others, next(iter(self._entries))))

    def _drop(self, request: str) -> None:
        del self._entries[request]
        self._update_suspect(request)
