"""Quarantine requests that crash their targets, as far as this host knows of them."""

from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.state.crash_ledger import CrashLedger, CrashRecord, Ending
from mallowpond.state.fleet import Process

log = structlog.get_logger()


class Quarantine:
    """The quarantined requests that this host knows of, by fingerprint.

    `CrashLedger` decides which requests count as the cause of crashes; this class adds
    refusals, metrics, logs and callbacks for what is to be sent to other hosts.
    """

    def __init__(self, *, clock: Clock, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._ledger = CrashLedger()
        self._quarantined: frozenset[str] = frozenset()
        # Called with the fingerprint of a request: when this host observed an ending or
        # an answer of it, and when only the records of several hosts, merged here,
        # quarantined it.
        self.on_observed: list[Callable[[str], None]] = []
        self.on_quarantined_by_merge: list[Callable[[str], None]] = []

    def refusal(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        seconds = self._ledger.quarantine_seconds_left(fingerprint, self._clock.now())
        if seconds <= 0.0:
            return None
        return Refusal(status=503, reason=Reason.HELD_BACK, retry_after=seconds)

    def refuse(self, fingerprint: str, request_id: str) -> Refusal | None:
        """Return `refusal`, and log one under the request's own id."""
        refusal = self.refusal(fingerprint)
        if refusal is not None:
            log.info("quarantine: refused", request=request_id, fingerprint=fingerprint)
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
    ) -> bool:
        """Record that a target ended while it ran a request sent at `sent_at`.

        `ran` is for how long it was seen to run there, in seconds; by default since it
        was sent. False if the target had ended before the send, so that the request did
        not run there.
        """
        if self._ledger.had_ended_before(process, sent_at):
            return False
        now = self._clock.now()
        if ran is None:
            ran = now - sent_at
        record = self._ledger.record_ending(
            fingerprint, Ending(process=process, ran=ran), now, sent_at=sent_at
        )
        if record is None:
            return True
        self._metrics.endings.inc()
        log.info(
            "quarantine: target ended",
            fingerprint=fingerprint,
            target=process.id,
            ran=round(ran, 3),
            endings=len(record.endings),
        )
        self.refresh()
        for notify in self.on_observed:
            notify(fingerprint)
        return True

    def record_alive(self, process: Process) -> None:
        """Record that a target is alive."""
        self._ledger.record_alive(process)

    def record_answer(self, fingerprint: str) -> None:
        """Record that a request was answered completely."""
        if self._ledger.record_answer(fingerprint, self._clock.now()) is None:
            return
        self.refresh()
        for notify in self.on_observed:
            notify(fingerprint)

    def merge(self, record: CrashRecord) -> None:
        """Merge a record of another host or of the store."""
        before = self._quarantined
        self._ledger.merge(record, self._clock.now())
        self.refresh()
        for fingerprint in self._quarantined - before:
            if fingerprint == record.request and record.has_enough_evidence:
                # The record's sender quarantined the request too and informs all hosts.
                continue
            for notify in self.on_quarantined_by_merge:
                notify(fingerprint)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined now."""
        return (
            self._ledger.quarantine_seconds_left(fingerprint, self._clock.now()) > 0.0
        )

    def record(self, fingerprint: str) -> CrashRecord | None:
        """Return the crash record of a request, None if there is none."""
        return self._ledger.record(fingerprint, self._clock.now())

    def records(self) -> list[CrashRecord]:
        """Return all records, quarantined requests first, then the newest first."""
        return list(self._ledger.records(self._clock.now()))

    def refresh(self) -> None:
        """Log what was quarantined or released since the last call; set the metric."""
        quarantined = self._ledger.quarantined(self._clock.now())
        for fingerprint in sorted(quarantined - self._quarantined):
            record = self._ledger.record(fingerprint, self._clock.now())
            log.warning(
                "quarantine: held back",
                fingerprint=fingerprint,
                targets=[e.process.id for e in record.endings] if record else [],
            )
        for fingerprint in sorted(self._quarantined - quarantined):
            log.info("quarantine: released", fingerprint=fingerprint)
        self._quarantined = quarantined
        self._metrics.quarantined.set(len(quarantined))
