"""Quarantine of requests that crash their targets, from reports of all gateways."""

from collections.abc import Callable, Iterable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.protocol.problems import Problem
from mallowpond.state.crash_ledger import CrashLedger, CrashRecord, Ending
from mallowpond.state.fleet import Process

log = structlog.get_logger()


class GatewayQuarantine:
    """Records which requests targets ended under, and reports it to a controller."""

    def __init__(self, *, clock: Clock, report: Callable[[CrashRecord], None]) -> None:
        self._clock = clock
        self._report = report
        self._ledger = CrashLedger()

    def problem(self, request: str) -> Problem | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        seconds = self._ledger.quarantine_seconds_left(request, self._clock.now())
        if seconds <= 0.0:
            return None
        return Problem(
            status=503,
            reason="held_back",
            detail="The targets that ran this request before ended while they did.",
            retry_after=seconds,
        )

    def is_quarantined(self, request: str) -> bool:
        """Return whether a request is quarantined now."""
        return self.problem(request) is not None

    def record_ending(self, request: str, target: str, sent_at: float) -> None:
        """Record that a target ended while it ran a request, and report it."""
        now = self._clock.now()
        ending = Ending(process=Process(id=target, born=None), ran=now - sent_at)
        record = self._ledger.record_ending(request, ending, now)
        if record is None:
            return
        log.info(
            "gateway: target ended",
            fingerprint=request,
            target=target,
            endings=len(record.endings),
        )
        self._report(record)

    def record_answer(self, request: str, target: str) -> None:
        """Record that a target answered a request completely."""
        self._ledger.record_alive(Process(id=target, born=None))
        record = self._ledger.record_answer(request, self._clock.now())
        if record is not None:
            self._report(record)

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Merge the records that a controller has published."""
        for record in records:
            self._ledger.merge(record, self._clock.now())
