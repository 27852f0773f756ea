"""Quarantine requests that crash their targets, as far as this host knows of them."""

from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.state.crash_ledger import CrashLedger, CrashRecord, Ending
from mallowpond.state.fingerprint import is_part_key
from mallowpond.state.fleet import Process
from mallowpond.state.part_ledger import PartLedger, PartRecord

log = structlog.get_logger()

# Time for which a request was seen to run up to which it counts as just begun, in
# seconds. For a stream it is told by the events that came.
EARLY_SECONDS = 0.1


class Quarantine:
    """The quarantined requests and parts of prompts that this host knows of.

    `CrashLedger` decides which requests count as the cause of crashes, and `PartLedger`
    which parts that requests share; this class adds refusals, metrics, logs and
    callbacks for what is to be sent to other hosts. Records have keys: the fingerprint
    of a request, or that of a part (`part_key`).
    """

    def __init__(self, *, clock: Clock, metrics: NodeMetrics, host: str = "") -> None:
        self._clock = clock
        self._metrics = metrics
        self._ledger = CrashLedger()
        self._parts = PartLedger(host=host)
        self._quarantined: frozenset[str] = frozenset()
        # Called with the key of a record: when this host observed an ending or an
        # answer; when only the records of several hosts, merged here, quarantined it;
        # when this host's answers refute the evidence of a record that it received; and
        # when a received record ended a quarantine.
        self.on_observed: list[Callable[[str], None]] = []
        self.on_quarantined_by_merge: list[Callable[[str], None]] = []
        self.on_refuted_by_merge: list[Callable[[str], None]] = []
        self.on_released_by_merge: list[Callable[[str], None]] = []

    def refusal(self, fingerprint: str, parts: tuple[str, ...] = ()) -> Refusal | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        now = self._clock.now()
        seconds = self._ledger.quarantine_seconds_left(fingerprint, now)
        found = self._parts.quarantine_of(parts, now) if parts else None
        if found is not None:
            seconds = max(seconds, found.until - now)
        if seconds <= 0.0:
            return None
        return Refusal(status=503, reason=Reason.HELD_BACK, retry_after=seconds)

    def refuse(
        self, fingerprint: str, request_id: str, parts: tuple[str, ...] = ()
    ) -> Refusal | None:
        """Return `refusal`, and log one under the request's own id."""
        refusal = self.refusal(fingerprint, parts)
        if refusal is not None:
            found = self._parts.quarantine_of(parts, self._clock.now())
            log.info(
                "quarantine: refused",
                request=request_id,
                fingerprint=fingerprint,
                part=None if found is None else found.part,
            )
        return refusal

    def has_ended(self, process: Process) -> bool:
        """Return whether a target ended recently, as far as this host knows."""
        return self._ledger.has_ended(process, self._clock.now())

    def record_ending(
        self,
        fingerprint: str,
        process: Process,
        sent_at: float,
        *,
        ran: float | None = None,
        parts: tuple[str, ...] = (),
    ) -> bool:
        """Record that a target ended while it ran a request sent at `sent_at`.

        `ran` is for how long it was seen to run there, in seconds; by default since it
        was sent. `parts` are the keys of its shared parts. False if the target had
        ended before the send, so that the request did not run there.
        """
        if self._ledger.had_ended_before(process, sent_at):
            return False
        now = self._clock.now()
        if ran is None:
            ran = now - sent_at
        record = self._ledger.record_ending(
            fingerprint, Ending(process=process, ran=ran), now, sent_at=sent_at
        )
        changed = self._parts.record_ending(
            parts, fingerprint, process, now, early=ran <= EARLY_SECONDS
        )
        self._metrics.endings.inc()
        log.info(
            "quarantine: target ended",
            fingerprint=fingerprint,
            target=process.id,
            ran=round(ran, 3),
            endings=len(record.endings) if record is not None else 0,
            parts=parts,
            reported=changed,
        )
        self.refresh()
        if record is not None:
            changed.insert(0, fingerprint)
        self._notify_observed(changed)
        return True

    def record_alive(self, process: Process) -> None:
        """Record that a target is alive."""
        self._ledger.record_alive(process)
        changed = self._parts.record_alive(process, self._clock.now())
        if changed:
            self.refresh()
            self._notify_observed(changed)

    def record_answer(self, fingerprint: str, parts: tuple[str, ...] = ()) -> None:
        """Record that a request was answered completely."""
        now = self._clock.now()
        changed = self._parts.record_answer(parts, now)
        if self._ledger.record_answer(fingerprint, now) is not None:
            changed.insert(0, fingerprint)
        if changed:
            self.refresh()
            self._notify_observed(changed)

    def _notify_observed(self, keys: list[str]) -> None:
        for key in keys:
            for notify in self.on_observed:
                notify(key)

    def merge(self, record: CrashRecord | PartRecord) -> None:
        """Merge a record of another host or of the store."""
        before = self._quarantined
        now = self._clock.now()
        match record:
            case CrashRecord(request=key):
                self._ledger.merge(record, now)
            case PartRecord(part=key):
                self._parts.merge(record, now)
                self._refute(record)
        self.refresh()
        for other in self._quarantined - before:
            if other == key and record.has_enough_evidence:
                # The record's sender quarantined the request too and informs all hosts.
                continue
            for notify in self.on_quarantined_by_merge:
                notify(other)
        for other in before - self._quarantined:
            for notify in self.on_released_by_merge:
                notify(other)

    def _refute(self, record: PartRecord) -> None:
        """Notify if this host's answers refute the evidence of a received record."""
        if not record.has_enough_evidence:
            return
        own = self._parts.record(record.part, self._clock.now())
        if own is not None and not own.has_enough_evidence:
            for notify in self.on_refuted_by_merge:
                notify(record.part)

    def is_quarantined(self, key: str) -> bool:
        """Return whether a request or part is quarantined now."""
        now = self._clock.now()
        if is_part_key(key):
            return self._parts.quarantine(key, now) is not None
        return self._ledger.quarantine_seconds_left(key, now) > 0.0

    def record(self, key: str) -> CrashRecord | PartRecord | None:
        """Return the record of a request or part, None if there is none."""
        now = self._clock.now()
        if is_part_key(key):
            return self._parts.record(key, now)
        return self._ledger.record(key, now)

    def records(self) -> list[CrashRecord]:
        """Return all records, quarantined requests first, then the newest first."""
        return list(self._ledger.records(self._clock.now()))

    def part_records(self) -> list[PartRecord]:
        """Return the records of parts, in the same order."""
        return list(self._parts.records(self._clock.now()))

    def refresh(self) -> None:
        """Log what was quarantined or released since the last call; set the metrics."""
        now = self._clock.now()
        self._ledger.explain(self._parts.explained_processes())
        requests, parts = self._ledger.quarantined(now), self._parts.quarantined(now)
        quarantined = requests | parts
        for key in sorted(quarantined - self._quarantined):
            self._log_quarantined(key)
        for key in sorted(self._quarantined - quarantined):
            if is_part_key(key):
                log.info("quarantine: part released", part=key)
            else:
                log.info("quarantine: released", fingerprint=key)
        self._quarantined = quarantined
        self._metrics.quarantined.set(len(requests))
        self._metrics.quarantined_parts.set(len(parts))

    def _log_quarantined(self, key: str) -> None:
        record = self.record(key)
        targets = [e.process.id for e in record.endings] if record is not None else []
        if not is_part_key(key):
            log.warning("quarantine: held back", fingerprint=key, targets=targets)
            return
        now = self._clock.now()
        found = self._parts.quarantine(key, now)
        log.warning(
            "quarantine: part held back",
            part=key,
            companions=[sorted(c) for c in found.companions] if found else [],
            seconds=round(found.until - now, 1) if found else 0.0,
            targets=targets,
        )
