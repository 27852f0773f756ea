"""Quarantine of what crashes targets, from reports of all gateways."""

from collections.abc import Callable, Iterable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.protocol.problems import Problem
from mallowpond.state.crash_ledger import CrashLedger, CrashRecord, Ending
from mallowpond.state.fleet import Process
from mallowpond.state.part_ledger import PartLedger, PartRecord

log = structlog.get_logger()


class GatewayQuarantine:
    """Records under which requests targets ended, and reports it to a controller.

    Requests are identified by their fingerprints, and the parts of their prompts by
    keys (`part_key`).
    """

    def __init__(
        self,
        *,
        clock: Clock,
        report: Callable[[CrashRecord | PartRecord], None],
        gateway: str = "",
    ) -> None:
        self._clock = clock
        self._report = report
        self._ledger = CrashLedger()
        self._parts = PartLedger(host=gateway)

    def problem(self, request: str, parts: tuple[str, ...] = ()) -> Problem | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        now = self._clock.now()
        seconds = self._ledger.quarantine_seconds_left(request, now)
        found = self._parts.quarantine_of(parts, now)
        if found is not None:
            seconds = max(seconds, found.until - now)
        if seconds <= 0.0:
            return None
        return Problem(
            status=503,
            reason="held_back",
            detail="The targets that ran such requests before ended while they did.",
            retry_after=seconds,
        )

    def is_quarantined(self, request: str, parts: tuple[str, ...] = ()) -> bool:
        """Return whether a request is quarantined now."""
        return self.problem(request, parts) is not None

    def record_ending(
        self, request: str, target: str, sent_at: float, parts: tuple[str, ...] = ()
    ) -> None:
        """Record that a target ended while it ran a request, and report it."""
        now = self._clock.now()
        process = Process(id=target, born=None)
        ending = Ending(process=process, ran=now - sent_at)
        record = self._ledger.record_ending(request, ending, now)
        if record is None:
            return
        changed = self._parts.record_ending(parts, request, process, now)
        log.info(
            "gateway: target ended",
            fingerprint=request,
            target=target,
            endings=len(record.endings),
            parts=parts,
        )
        self._report(record)
        self._report_parts(changed)

    def record_answer(
        self, request: str, target: str, parts: tuple[str, ...] = ()
    ) -> None:
        """Record that a target answered a request completely."""
        now = self._clock.now()
        process = Process(id=target, born=None)
        self._ledger.record_alive(process)
        changed = self._parts.record_alive(process, now)
        changed += self._parts.record_answer(parts, now)
        record = self._ledger.record_answer(request, now)
        if record is not None:
            self._report(record)
        self._report_parts(changed)

    def merge(
        self, records: Iterable[CrashRecord], parts: Iterable[PartRecord] = ()
    ) -> None:
        """Merge the records that a controller has published.

        What the answers of this gateway refute is reported.
        """
        now = self._clock.now()
        for record in records:
            self._ledger.merge(record, now)
        for part_record in parts:
            self._parts.merge(part_record, now)
            own = self._parts.record(part_record.part, now)
            if part_record.has_enough_evidence and not (
                own is None or own.has_enough_evidence
            ):
                self._report(own)

    def _report_parts(self, parts: Iterable[str]) -> None:
        for part in parts:
            record = self._parts.record(part, self._clock.now())
            if record is not None:
                self._report(record)
