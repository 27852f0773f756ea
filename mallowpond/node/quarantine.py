"""Hold back requests that end their targets, as far as this host has heard of them."""

from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.state.crash_ledger import CrashLedger, CrashRecord, Ending
from mallowpond.state.fleet import Process

log = structlog.get_logger()


class Quarantine:
    """Know which requests are held back, and tell what is new of them."""

    def __init__(self, *, clock: Clock, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._ledger = CrashLedger()
        self._held: frozenset[str] = frozenset()
        # Called with what this host has seen itself, and with what was decided here
        # from the records of several hosts.
        self.on_seen: list[Callable[[str], None]] = []
        self.on_decided: list[Callable[[str], None]] = []

    def refusal(self, request: str) -> Refusal | None:
        """Return how a request is refused before it is sent, None if it may be sent."""
        seconds = self._ledger.quarantine_seconds_left(request, self._clock.now())
        if seconds <= 0.0:
            return None
        return Refusal(status=503, reason=Reason.HELD_BACK, retry_after=seconds)

    def refuse(self, request: str, request_id: str) -> Refusal | None:
        """Return what `refusal` does, and log it under the request's own id."""
        refusal = self.refusal(request)
        if refusal is not None:
            log.info("quarantine: refused", request=request_id, fingerprint=request)
        return refusal

    def has_ended(self, process: Process) -> bool:
        """Tell whether a target ended just now, as far as this host has heard."""
        return self._ledger.has_ended(process, self._clock.now())

    def record_ending(self, request: str, process: Process, sent_at: float) -> bool:
        """Note that a target broke off while it ran a request.

        False if it had ended before the send, so that the request met nobody there.
        """
        if self._ledger.had_ended_before(process, sent_at):
            return False
        now = self._clock.now()
        ending = Ending(process=process, ran=now - sent_at)
        record = self._ledger.record_ending(request, ending, now)
        if record is None:
            return True
        self._metrics.endings.inc()
        log.info(
            "quarantine: target ended",
            fingerprint=request,
            target=process.id,
            ran=round(ending.ran, 3),
            endings=len(record.endings),
        )
        self.review()
        for notify in self.on_seen:
            notify(request)
        return True

    def record_alive(self, process: Process) -> None:
        """Note that a target does something."""
        self._ledger.record_alive(process)

    def record_answer(self, request: str) -> None:
        """Note that a request was answered whole."""
        if self._ledger.record_answer(request, self._clock.now()) is None:
            return
        self.review()
        for notify in self.on_seen:
            notify(request)

    def merge(self, record: CrashRecord) -> None:
        """Take what another host or the store knows."""
        before = self._held
        self._ledger.merge(record, self._clock.now())
        self.review()
        for request in self._held - before:
            if request == record.request and record.has_enough_evidence:
                # Whoever told it has decided it, and tells everybody.
                continue
            for notify in self.on_decided:
                notify(request)

    def is_quarantined(self, request: str) -> bool:
        """Tell whether a request is held back now."""
        return self._ledger.quarantine_seconds_left(request, self._clock.now()) > 0.0

    def record(self, request: str) -> CrashRecord | None:
        """Return what is known of a request, None if nothing is."""
        return self._ledger.record(request, self._clock.now())

    def records(self) -> list[CrashRecord]:
        """Return all that is known, the most important first."""
        return list(self._ledger.records(self._clock.now()))

    def review(self) -> None:
        """Log what is held back since the last look, and what is no more."""
        held = self._ledger.quarantined(self._clock.now())
        for request in sorted(held - self._held):
            record = self._ledger.record(request, self._clock.now())
            log.warning(
                "quarantine: held back",
                fingerprint=request,
                targets=[e.process.id for e in record.endings] if record else [],
            )
        for request in sorted(self._held - held):
            log.info("quarantine: released", fingerprint=request)
        self._held = held
        self._metrics.quarantined.set(len(held))
