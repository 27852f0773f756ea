"""Serve requests of plain services, whose answers are sent to the caller complete.

A request may run once or more than once, as its route declares.
"""

import asyncio
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import cached_property

import structlog

from mallowpond.coordination.task_race import TaskRace
from mallowpond.node.outcomes import Answered, Reason, Refusal, ServeOutcome
from mallowpond.node.ports import CallerRequest, Headers
from mallowpond.node.serving_parts import ServingParts
from mallowpond.state.admission import jittered_retry_after
from mallowpond.state.fleet import Process, Target
from mallowpond.state.payload_memory import Hold
from mallowpond.state.site_configuration import RepeatPolicy, Route
from mallowpond.transport.http_client import CallFailed
from mallowpond.transport.http_server import Exchange

log = structlog.get_logger()

# Time for which a target that failed is chosen only when there is no other, in seconds:
# a target that fails part of its requests mostly fails the next one too.
AVOID_SECONDS = 2.0
# Share of the time left at a send of an idempotent request after which its target
# counts as silent, and the request is sent to another one as well.
FIRST_SEND_SHARE = 0.45
# Time left below which a request is no longer sent, in seconds.
MIN_SECONDS_LEFT = 0.01
# Base of the Retry-After of a refusal when no target has announced a wait, in seconds.
NO_TARGET_RETRY_SECONDS = 0.5
# Maximum number of repeats after sends that provably did not run, for one request.
MAX_NOT_RUN_REPEATS = 4


@dataclass(kw_only=True)
class TargetRecord:
    """Requests in flight from this host to a target's process, and its failures.

    silent_until: until when it is chosen last after a silence; an answer ends this.
    """

    in_flight: int = 0
    avoided_until: float = 0.0
    silent_until: float = 0.0
    # The listed entry at whose address another target answered.
    misdirected: Target | None = None


@dataclass(kw_only=True)
class CallWork:
    """State of one request while it is served.

    deadline: on the node's clock, in seconds.
    sent_to: processes where the request runs, ran, or may have run.
    rejected_by: processes that provably did not run it, once for each send.
    """

    request: CallerRequest
    route: Route
    service: str
    workspace: str | None
    deadline: float
    exchange: Exchange
    sent_to: list[Process] = field(default_factory=list)
    rejected_by: list[Process] = field(default_factory=list)
    # Memory of the answers that are read for it.
    hold: Hold | None = None

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint that the request shares with its retries."""
        return self.request.fingerprint(self.workspace)

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the keys of the parts of its prompt that other requests share."""
        return self.request.part_keys(self.service)


@dataclass(frozen=True, kw_only=True)
class CompleteReply:
    """Complete answer of a target.

    Without a marked end, by a length or chunks, the target may have crashed there.
    """

    status: int
    headers: Headers
    body: bytes
    has_marked_end: bool


@dataclass(frozen=True, kw_only=True)
class NoReply:
    """No complete answer; `may_have_run` is False only if it provably did not run."""

    reason: Reason
    may_have_run: bool


Reply = CompleteReply | NoReply


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """A complete answer, and the target that gave it."""

    reply: CompleteReply
    target: Target


@dataclass(kw_only=True, eq=False)
class _Send:
    """A send in progress, whose target counts as silent from `silent_at` on."""

    target: Target
    task: asyncio.Task[Reply]
    silent_at: float
    is_silent: bool = False


class CallService:
    """Serves requests on the targets of plain services."""

    def __init__(self, *, parts: ServingParts) -> None:
        self._directory = parts.directory
        self._targets = parts.targets
        self._callers = parts.callers
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._budgets = parts.budgets
        self._rng = parts.rng
        self._quarantine = parts.quarantine
        self._availability = parts.availability
        self._memory = parts.memory
        self._records: dict[Process, TargetRecord] = defaultdict(TargetRecord)
        parts.directory.on_change.append(self._drop_ended)

    async def serve(self, work: CallWork) -> ServeOutcome:
        """Serve one request, and return its answer's status or why it is refused.

        An answer is sent to the caller here; a returned refusal is not.
        """
        self._budgets.record_first_send(work.service)
        refusal = self._quarantine.refuse(work.fingerprint, work.request.id, work.parts)
        if refusal is not None:
            return refusal
        target = self._choose_target(work)
        if target is None:
            return self._refuse(work, self._no_target_reason(work))
        if work.deadline - self._clock.now() < MIN_SECONDS_LEFT:
            return self._refuse(work, Reason.TIMEOUT)
        with ExitStack() as stack:
            # An answer takes memory until its caller has read it.
            work.hold = hold = self._memory.open(now=self._clock.now())
            stack.callback(lambda: hold.release(self._clock.now()))
            return await self._send_and_answer(work, target)

    async def _send_and_answer(self, work: CallWork, target: Target) -> ServeOutcome:
        async with TaskRace[Reply]() as race:
            answer = await self._race(work, target, race)
        if not isinstance(answer, _Answer):
            return self._refuse(work, answer)
        reply = answer.reply
        if reply.status < 500 and reply.has_marked_end:
            self._quarantine.record_answer(work.fingerprint, work.parts)
        await work.exchange.respond(
            reply.status, reply.body, reply.headers, content_type=None
        )
        return Answered(status=reply.status, target=answer.target.id)

    async def _race(
        self, work: CallWork, target: Target, race: TaskRace[Reply]
    ) -> _Answer | Reason:
        """Send until a target answers well; return the best answer, or why none came.

        The send to a silent target goes on, and the request is sent to another target
        beside it. At most two sends are in progress.
        """
        failed: _Answer | None = None
        sends = [self._start_send(work, target, race)]
        while True:
            ended = await race.wait(self._seconds_until_silent(work, sends))
            if ended is None:
                (send,) = sends
                reply = self._record_silence(send)
            else:
                (send,) = (each for each in sends if each.task is ended)
                sends.remove(send)
                reply = ended.result()
            match reply:
                case CompleteReply(status=status):
                    answer = _Answer(reply=reply, target=send.target)
                    if status < 500:
                        return answer
                    failed, reason = answer, Reason.TARGET_FAILED
                case NoReply(reason=reason):
                    pass
            if any(not each.is_silent for each in sends):
                continue
            chosen = self._choose_next(work, reply, reason)
            if isinstance(chosen, Target):
                self._metrics.retries.labels(reason.value).inc()
                log.info(
                    "call: resent",
                    request=work.request.id,
                    reason=reason.value,
                    target=send.target.id,
                )
                sends.append(self._start_send(work, chosen, race))
            elif not sends:
                return failed or chosen

    def _seconds_until_silent(self, work: CallWork, sends: list[_Send]) -> float | None:
        """Return when the only send's target will count as silent, None if it won't."""
        match sends:
            case [_Send(is_silent=False) as send] if self._is_repeatable(work):
                return send.silent_at - self._clock.now()
        return None

    def _record_silence(self, send: _Send) -> NoReply:
        send.is_silent = True
        record = self._records[send.target.process]
        record.silent_until = self._clock.now() + AVOID_SECONDS
        return NoReply(reason=Reason.SLOW_TARGET, may_have_run=True)

    def _choose_next(
        self, work: CallWork, reply: Reply, reason: Reason
    ) -> Target | Reason:
        """Return the target of the next send, or why there is none."""
        if not self._may_retry(work, reply):
            return reason
        target = self._choose_target(work)
        if target is None:
            return self._no_target_reason(work)
        if reason is Reason.SLOW_TARGET and not self._has_room(work):
            return reason
        # A connection that was not opened brought no request to a target.
        if reason is not Reason.CONNECT and not self._budgets.try_repeat(
            work.service, request=work.request.id, reason=reason
        ):
            return reason
        return target

    def _has_room(self, work: CallWork) -> bool:
        """Count a send beside another one, if its body fits."""
        hold = work.hold
        return hold is None or hold.try_reserve(hold.size + len(work.request.body))

    def _choose_target(self, work: CallWork) -> Target | None:
        """Return the least loaded usable target, None if there is none.

        Targets that failed lately come last. One that rejected the request is chosen
        again only when no other is left, one that may have run it never.
        """
        used = set(work.sent_to) | set(work.rejected_by)
        targets = [
            target
            for target in self._directory.usable_targets(work.service)
            if self._records[target.process].misdirected is not target
            and self._availability.can_send(target)
        ]
        left = [t for t in targets if t.process not in used]
        if not left:
            left = [t for t in targets if t.process not in work.sent_to]
        now = self._clock.now()

        def rank(target: Target) -> tuple[bool, bool, float]:
            record = self._records[target.process]
            is_suspect = max(record.avoided_until, record.silent_until) > now
            is_suspect = is_suspect or self._quarantine.has_ended(target.process)
            is_cold = self._availability.is_cold(target)
            return (is_suspect, is_cold, record.in_flight + self._rng.random())

        return min(left, key=rank, default=None)

    def _no_target_reason(self, work: CallWork) -> Reason:
        reason = self._availability.refusal_reason(self._unsent_targets(work))
        if reason is not None:
            return reason
        is_empty = not self._directory.usable_targets(work.service)
        if is_empty and self._directory.has_evacuated_targets(work.service):
            return Reason.EVACUATED
        return Reason.NO_TARGET

    def _unsent_targets(self, work: CallWork) -> list[Target]:
        """Return the targets where the request provably did not run."""
        targets = self._directory.usable_targets(work.service)
        return [target for target in targets if target.process not in work.sent_to]

    def _start_send(
        self, work: CallWork, target: Target, race: TaskRace[Reply]
    ) -> _Send:
        now = self._clock.now()
        left = work.deadline - now
        record = self._records[target.process]
        record.in_flight += 1
        self._availability.record_sent(target)
        work.sent_to.append(target.process)
        log.info(
            "call: sent",
            request=work.request.id,
            fingerprint=work.fingerprint,
            parts=work.request.shared_parts,
            workspace=work.workspace,
            route=work.route.name,
            target=target.id,
            running=record.in_flight,
            left=round(left, 3),
        )
        task = race.start(self._send(work, target, left, now))

        def end(_: asyncio.Task[Reply]) -> None:
            record.in_flight -= 1

        # Not within the task: one that is cancelled before its first step never runs.
        task.add_done_callback(end)
        return _Send(target=target, task=task, silent_at=now + FIRST_SEND_SHARE * left)

    async def _send(
        self, work: CallWork, target: Target, left: float, sent_at: float
    ) -> Reply:
        try:
            async with asyncio.timeout(left):
                reply = await self._exchange(work, target, left, sent_at)
        except TimeoutError:
            reply = NoReply(reason=Reason.TIMEOUT, may_have_run=True)
        if isinstance(reply, NoReply) and reply.reason is Reason.MAYBE_RUN:
            self._quarantine.record_ending(
                work.fingerprint, target.process, sent_at, parts=work.parts
            )
        elif isinstance(reply, CompleteReply):
            self._quarantine.record_alive(target.process)
            self._records[target.process].silent_until = 0.0
        self._record_failure(work, target, reply)
        return reply

    async def _exchange(
        self, work: CallWork, target: Target, left: float, sent_at: float
    ) -> Reply:
        response = await self._targets.send(
            target,
            work.request,
            workspace=work.workspace,
            seconds_left=left,
            last_event=None,
            is_repeat=len(work.sent_to) + len(work.rejected_by) > 1,
        )
        if isinstance(response, CallFailed):
            reason = Reason.MAYBE_RUN if response.may_have_sent else Reason.CONNECT
            return NoReply(reason=reason, may_have_run=response.may_have_sent)
        try:
            body = await response.read(hold=work.hold)
        finally:
            response.close()
        if self._targets.is_misdirected(response):
            return NoReply(reason=Reason.MISDIRECTED, may_have_run=False)
        notice = self._targets.notice(response)
        self._availability.record_notice(target, notice, sent_at)
        if self._targets.is_not_run(response):
            return NoReply(reason=Reason.NOT_RUN, may_have_run=False)
        is_unsigned = response.status < 300 and not self._targets.is_signed(response)
        if isinstance(body, CallFailed) or is_unsigned:
            return NoReply(reason=Reason.MAYBE_RUN, may_have_run=True)
        headers = self._callers.answer_headers(response)
        return CompleteReply(
            status=response.status,
            headers=headers,
            body=body,
            has_marked_end=response.has_marked_end,
        )

    def _record_failure(self, work: CallWork, target: Target, reply: Reply) -> None:
        if not isinstance(reply, NoReply):
            return
        record = self._records[target.process]
        record.avoided_until = self._clock.now() + AVOID_SECONDS
        if not reply.may_have_run:
            work.sent_to.remove(target.process)
            work.rejected_by.append(target.process)
        if reply.reason is Reason.MISDIRECTED:
            # Until its listed entry changes, each send there would use up one of the
            # few repeats and be rejected again.
            record.misdirected = target

    def _drop_ended(self) -> None:
        """Drop the records of ended processes that have no request in flight here."""
        listed = self._directory.targets
        ended = [
            process
            for process, record in self._records.items()
            if not record.in_flight
            and (process.id not in listed or listed[process.id].process != process)
        ]
        for process in ended:
            del self._records[process]

    def _is_repeatable(self, work: CallWork) -> bool:
        return work.route.repeat is RepeatPolicy.IDEMPOTENT

    def _max_attempts(self, work: CallWork) -> int:
        return max(1, work.route.max_attempts)

    def _may_retry(self, work: CallWork, reply: Reply) -> bool:
        now = self._clock.now()
        if work.deadline - now < MIN_SECONDS_LEFT:
            return False
        if self._quarantine.refusal(work.fingerprint, work.parts) is not None:
            return False
        if isinstance(reply, NoReply) and not reply.may_have_run:
            return len(work.rejected_by) <= MAX_NOT_RUN_REPEATS
        if not self._is_repeatable(work):
            return False
        return self._directory.count_present(work.sent_to) < self._max_attempts(work)

    def _refuse(self, work: CallWork, reason: Reason) -> Refusal:
        if work.sent_to:
            status = 504 if reason is Reason.TIMEOUT else 502
            return Refusal(status=status, reason=reason)
        wait = self._availability.retry_seconds(self._unsent_targets(work))
        wait = wait or NO_TARGET_RETRY_SECONDS
        after = jittered_retry_after(wait, self._rng.random())
        return Refusal(status=503, reason=reason, retry_after=after)
