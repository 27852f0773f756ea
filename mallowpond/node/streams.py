"""Serve streams: place each, forward its events, resume on another group if needed.

A stream is a request of which a group of engines sends the answer as events. It is sent
to the head of one group at a time; each such send is an attempt.
"""

import asyncio
from collections.abc import Callable

import structlog

from mallowpond.node.outcomes import Answered, CutOff, Reason, Refusal, ServeOutcome
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.stream_placement import (
    MIN_SEND_SECONDS,
    NO_GROUP_RETRY_SECONDS,
    StreamPlacement,
)
from mallowpond.node.stream_work import (
    ActiveStream,
    AttemptEnd,
    CompleteAnswer,
    FailedAnswer,
    Interrupted,
    NotRun,
    StreamWork,
)
from mallowpond.state.fleet import BreakCause, Group
from mallowpond.state.placement import (
    GroupLoad,
    first_event_seconds,
    pass_seconds,
    scaled_delay,
)
from mallowpond.state.target_notice import TargetNotice
from mallowpond.transport.http_client import (
    CallFailed,
    Chunk,
    End,
    FailurePhase,
    HttpResponse,
)

log = structlog.get_logger()

# Maximum number of repeats after sends that provably did not run, for one request.
MAX_NOT_RUN_REPEATS = 6
# Longest backoff after a group rejected a stream, in seconds: as long as a group that
# only this host cannot reach is excluded, and shorter than any caller waits.
MAX_BACKOFF_SECONDS = 1.0
# Reasons with which a send ends when the head's process has ended: the connection
# closed, or the process was found to be replaced by another one before that.
PROCESS_ENDED_REASONS = (Reason.BROKEN_STREAM, Reason.RESTARTED)
EVENT_ID = b"id:"


class StreamService:
    """Serves streams on the groups of a directory, resuming them when a group fails."""

    def __init__(self, *, parts: ServingParts) -> None:
        self._directory = parts.directory
        self._targets = parts.targets
        self._callers = parts.callers
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._budgets = parts.budgets
        self._quarantine = parts.quarantine
        self._availability = parts.availability
        self.placement = StreamPlacement(parts=parts)
        self.active: set[ActiveStream] = set()
        self._serving = 0
        # Called when a send has ended with any outcome, so that its slot is free.
        self.on_end: list[Callable[[], None]] = []
        # Called with a group whose head closed or refused a connection unexpectedly.
        self.on_head_ended: list[Callable[[Group], None]] = []
        # Set while any stream is served or waits on this host.
        self.has_streams = asyncio.Event()
        parts.directory.on_change.append(self.placement.wake_all)
        parts.directory.on_change.append(self.placement.refuse_evacuated_waits)

    # -- one stream ----------------------------------------------------------

    async def serve(self, work: StreamWork) -> ServeOutcome:
        """Serve one stream to its end, and return its outcome."""
        self._serving += 1
        self.has_streams.set()
        try:
            return await self._serve(work)
        finally:
            self._serving -= 1
            if not self._serving:
                self.has_streams.clear()

    async def _serve(self, work: StreamWork) -> ServeOutcome:
        work.started_at = self._clock.now()
        work.last_event_id = work.request.last_event
        self.placement.record_model(work)
        self._budgets.record_first_send(work.service)
        failed: FailedAnswer | None = None
        while True:
            group = await self.placement.place(work)
            if isinstance(group, Refusal):
                return await self._end_unserved(work, group, failed)
            end = await self._send(work, group)
            match end:
                case CompleteAnswer(status=status):
                    if end.has_marked_end:
                        self._quarantine.record_answer(work.fingerprint, work.parts)
                    self._log_served(work)
                    return Answered(status=status, target=work.sent_to[-1].id)
                case FailedAnswer():
                    failed = end
                    reason = Reason.TARGET_FAILED
                case NotRun(reason=reason) | Interrupted(reason=reason):
                    if reason is Reason.MISDIRECTED:
                        self._directory.mark_broken(group, BreakCause.REFUSED)
            if reason in PROCESS_ENDED_REASONS:
                self._record_broken(work, group, reason)
            refusal = self._refuse_retry(work, end, reason)
            if refusal is not None:
                return await self._end_unserved(work, refusal, failed)
            self._metrics.retries.labels(reason.value).inc()
            log.info(
                "stream: resent",
                request=work.request.id,
                reason=reason.value,
                events=work.progress.events,
                group=group.name,
            )

    def _refuse_retry(
        self, work: StreamWork, end: AttemptEnd, reason: Reason
    ) -> Refusal | None:
        """Return the refusal of a stream that must not be sent again, else None."""
        now = self._clock.now()
        quarantined = self._quarantine.refusal(work.fingerprint, work.parts)
        if quarantined is not None:
            return quarantined
        if isinstance(end, NotRun):
            work.not_run_sends += 1
            work.sent_to.pop()
            if work.not_run_sends > MAX_NOT_RUN_REPEATS:
                return self.placement.refuse(Reason.NO_GROUP, NO_GROUP_RETRY_SECONDS)
        elif not work.route.resumable:
            return Refusal(status=502, reason=Reason.MAYBE_RUN)
        elif self._attempts(work) >= work.route.max_attempts:
            return Refusal(status=502, reason=Reason.ATTEMPTS_USED)
        if now + MIN_SEND_SECONDS > work.deadline:
            return Refusal(status=504, reason=Reason.TIMEOUT)
        # A connection that was not opened brought no request to a target.
        is_free = isinstance(end, NotRun) and reason is Reason.CONNECT
        if not is_free and not self._budgets.try_repeat(
            work.service, request=work.request.id, reason=reason
        ):
            return Refusal(status=502, reason=Reason.BUDGET_USED)
        return None

    def _log_served(self, work: StreamWork) -> None:
        """Log the delays that decide whether the answer was on time."""
        first = (work.first_event_at or self._clock.now()) - work.started_at
        log.info(
            "stream: served",
            request=work.request.id,
            model=work.model.name,
            first_event=round(first, 3),
            objective=work.route.objective_seconds,
            longest_gap=round(work.longest_gap, 3),
            allowed_gap=work.route.gap_objective_seconds,
            waited=round(work.waited, 3),
            sends=work.sends,
        )

    def can_resume(self, stream: ActiveStream) -> bool:
        """Return whether a stream may resume on another group once one has a slot."""
        work = stream.work
        if not work.route.resumable or stream.move_reason is not None:
            return False
        return self._attempts(work) < work.route.max_attempts

    def can_move(self, stream: ActiveStream) -> bool:
        """Return whether a stream could be resumed on another group now."""
        return (
            self.can_resume(stream) and self.placement.choose(stream.work) is not None
        )

    def _attempts(self, work: StreamWork) -> int:
        """Count the engine processes that may have run the request and still exist."""
        return self._directory.count_present(work.sent_to)

    async def _end_unserved(
        self, work: StreamWork, refusal: Refusal, failed: FailedAnswer | None
    ) -> ServeOutcome:
        if work.exchange.started:
            return CutOff(reason=refusal.reason)
        if failed is not None:
            await work.exchange.respond(
                failed.status, failed.body, failed.headers, content_type=None
            )
            return Answered(status=failed.status, target=work.sent_to[-1].id)
        if work.sent_to and refusal.status == 503:
            # An engine may have run the request, but 503 means that none did.
            return Refusal(status=502, reason=refusal.reason)
        if not work.sent_to and refusal.status != 503:
            # Every engine rejected the request, so the caller may retry it whether or
            # not it may run twice.
            return self.placement.refuse(refusal.reason, NO_GROUP_RETRY_SECONDS)
        return refusal

    # -- one send ------------------------------------------------------------

    async def _send(self, work: StreamWork, group: Group) -> AttemptEnd:
        assert group.head is not None
        now = self._clock.now()
        own = self._directory.loads.work(group.key)
        load = self._directory.loads.load_of(group, work.profile)
        typical_delay = self.placement.delay(work.service, work.model.name).typical
        stream = ActiveStream(
            work=work,
            group=group,
            sent_at=now,
            predicted=first_event_seconds(
                work.profile, work.model, load, work.prompt_tokens
            ),
            slowness=max(1.0, load.slowness),
            prefill_tokens=work.prompt_tokens,
        )
        own.running += 1
        own.prefill_tokens += stream.prefill_tokens
        self._availability.record_sent(group.head)
        work.sent_to.append(group.head.process)
        work.sent_at = now
        work.earlier_events = work.progress.events
        work.sends += 1
        log.info(
            "stream: sent",
            request=work.request.id,
            fingerprint=work.fingerprint,
            parts=work.request.shared_parts,
            workspace=work.workspace,
            route=work.route.name,
            group=group.name,
            target=group.head.id,
            running=load.running,
            reading=round(load.prefill_tokens),
            slowness=round(load.slowness, 2),
            predicted=round(stream.predicted, 3),
            delay=round(scaled_delay(load, typical_delay), 3),
            left=round(work.deadline - now, 3),
            resume=work.last_event_id,
        )
        stream.task = asyncio.create_task(self._attempt(stream))
        self.active.add(stream)
        self.placement.wake(work.model.name)
        try:
            async with asyncio.timeout(max(0.001, work.deadline - now)):
                return await stream.task
        except asyncio.CancelledError:
            if stream.move_reason is None or _is_cancelling():
                raise
            self._log_given_up(stream, stream.move_reason)
            return Interrupted(reason=stream.move_reason)
        except TimeoutError:
            return Interrupted(reason=Reason.TIMEOUT)
        finally:
            self.active.discard(stream)
            stream.task.cancel()
            await asyncio.gather(stream.task, return_exceptions=True)
            own.running -= 1
            own.prefill_tokens -= stream.prefill_tokens
            work.progress.discard_partial_event()
            self.placement.wake(work.model.name)
            for notify in self.on_end:
                notify()

    async def _attempt(self, stream: ActiveStream) -> AttemptEnd:
        work, head = stream.work, stream.group.head
        assert head is not None
        response = await self._targets.send(
            head,
            work.request,
            workspace=work.workspace,
            seconds_left=work.deadline - self._clock.now(),
            last_event=work.last_event_id,
            is_repeat=work.sends > 1,
            on_connected=stream.record_connected,
        )
        if isinstance(response, CallFailed):
            if response.may_have_sent:
                return Interrupted(reason=Reason.BROKEN_STREAM)
            self._back_off(work, stream.group)
            self._log_rejected(
                work, stream.group, Reason.CONNECT, failure=response.reason
            )
            if response.phase is FailurePhase.CONNECT:
                self._notify_head_ended(stream.group)
            return NotRun(reason=Reason.CONNECT)
        try:
            return await self._read(stream, response)
        finally:
            response.close()

    async def _read(self, stream: ActiveStream, response: HttpResponse) -> AttemptEnd:
        work = stream.work
        if self._targets.is_not_run(response):
            await response.read()
            if self._targets.is_misdirected(response):
                return NotRun(reason=Reason.MISDIRECTED)
            notice = self._record_notice(stream, response)
            if notice.backoff_seconds is None:
                self._back_off(work, stream.group)
            self._log_rejected(work, stream.group, Reason.NOT_RUN)
            return NotRun(reason=Reason.NOT_RUN)
        self._record_notice(stream, response)
        headers = self._callers.answer_headers(response)
        if response.status != 200:
            body = await response.read()
            if isinstance(body, CallFailed):
                return Interrupted(reason=Reason.BROKEN_STREAM)
            return FailedAnswer(status=response.status, headers=headers, body=body)
        async for event in response.events():
            match event:
                case Chunk(data=data):
                    await self._forward(stream, headers, data)
                case End() if work.progress.has_partial_event:
                    return Interrupted(reason=Reason.BROKEN_STREAM)
                case End() if not (response.has_marked_end or stream.events):
                    # A target that crashes before its first event closes the
                    # connection too.
                    return Interrupted(reason=Reason.BROKEN_STREAM)
                case End():
                    if not work.exchange.started:
                        await work.exchange.start(200, headers)
                    await work.exchange.end()
                    self.placement.record_answer(work, stream)
                    return CompleteAnswer(
                        status=200, has_marked_end=response.has_marked_end
                    )
                case CallFailed():
                    return Interrupted(reason=Reason.BROKEN_STREAM)
        return Interrupted(reason=Reason.BROKEN_STREAM)

    def _record_notice(
        self, stream: ActiveStream, response: HttpResponse
    ) -> TargetNotice:
        """Record what a head announces about its availability in an answer."""
        notice = self._targets.notice(response)
        if stream.group.head is not None:
            self._availability.record_notice(stream.group.head, notice, stream.sent_at)
        return notice

    async def _forward(
        self, stream: ActiveStream, headers: tuple[tuple[str, str], ...], data: bytes
    ) -> None:
        work = stream.work
        complete = work.progress.complete_events(data)
        if not complete:
            return
        self._record_event(stream)
        work.last_event_id = _last_event_id(complete) or work.last_event_id
        if not work.exchange.started:
            await work.exchange.start(200, headers)
        await work.exchange.send(complete)

    def _record_event(self, stream: ActiveStream) -> None:
        now = self._clock.now()
        work, own = stream.work, self._directory.loads.work(stream.key)
        if work.first_event_at is None:
            work.first_event_at = now
            self._metrics.first_event.observe(now - work.started_at)
        if work.last_event_at is not None:
            work.longest_gap = max(work.longest_gap, now - work.last_event_at)
        work.last_event_at = now
        if stream.last_event_at is None:
            self.placement.delay(work.service, work.model.name).record(
                observed=now - stream.sent_at,
                predicted=stream.predicted,
                slowness=stream.slowness,
            )
            self._directory.loads.record_first_event(
                stream.key, now - stream.sent_at, self.allowed_first_event(stream)
            )
            own.prefill_tokens -= stream.prefill_tokens
            stream.prefill_tokens = 0.0
            self.placement.wake(work.model.name)
        else:
            gap = now - stream.last_event_at
            self._metrics.event_gap.observe(gap)
            load = self._directory.loads.load_of(stream.group, stream.work.profile)
            predicted = pass_seconds(work.profile, work.model, load)
            self._directory.loads.record_gap(stream.key, gap, predicted)
        if stream.group.head is not None:
            self._quarantine.record_alive(stream.group.head.process)
        stream.last_event_at = now
        stream.events += 1
        own.last_event_at = now
        own.backoff_seconds = 0.0

    def allowed_first_event(self, stream: ActiveStream) -> float:
        """Return the time of a first event at a group's declared pace, in seconds."""
        work = stream.work
        pace = stream.slowness
        if stream.group.spans_domains:
            pace /= work.profile.cross_domain_factor
        delay = self.placement.delay(work.service, work.model.name).upper_bound
        return stream.predicted / max(1.0, pace) + delay

    def _record_broken(self, work: StreamWork, group: Group, reason: Reason) -> None:
        """Record that a head's process ended; back off if it ended before the send."""
        assert group.head is not None
        own = self._directory.loads.work(group.key)
        if own.closing_until > self._clock.now():
            # The head ended the stream by order, as when a group is formed anew around
            # a slow member: neither did its process end, nor did the request cause it.
            return
        self._notify_head_ended(group)
        process = group.head.process
        if not self._quarantine.record_ending(
            work.fingerprint,
            process,
            work.sent_at,
            ran=_seconds_run(work),
            parts=work.parts,
        ):
            self._back_off(work, group)
            self._log_rejected(work, group, reason)

    def _notify_head_ended(self, group: Group) -> None:
        for notify in self.on_head_ended:
            notify(group)

    def _back_off(self, work: StreamWork, group: Group) -> None:
        """Exclude a group after it rejected a stream, with exponential backoff.

        The backoff doubles until the group sends an event: with a short fixed one, a
        crashed head would get a stream after each backoff and use up the retry budget.
        """
        own = self._directory.loads.work(group.key)
        now = self._clock.now()
        backoff = first_event_seconds(
            work.profile,
            work.model,
            self._directory.loads.load_of(group, work.profile),
            work.prompt_tokens,
        )
        if own.excluded_until <= now:
            # Streams that were in flight together count as one rejection.
            backoff = max(backoff, min(2 * own.backoff_seconds, MAX_BACKOFF_SECONDS))
            own.backoff_seconds = backoff
        self._directory.exclude_group(group.key, now + backoff)

    def _log_given_up(self, stream: ActiveStream, reason: Reason) -> None:
        """Log that this host ended a send that its target had not ended."""
        now, last_event_at = self._clock.now(), stream.last_event_at
        log.info(
            "stream: given up",
            request=stream.work.request.id,
            group=stream.group.name,
            reason=reason.value,
            events=stream.events,
            silent=round(now - (last_event_at or stream.sent_at), 3),
            left=round(stream.work.deadline - now, 3),
        )

    def _log_rejected(
        self, work: StreamWork, group: Group, reason: Reason, failure: str = ""
    ) -> None:
        log.info(
            "stream: rejected",
            request=work.request.id,
            group=group.name,
            reason=reason.value,
            failure=failure or None,
            seconds=round(self._clock.now() - work.sent_at, 3),
        )


def _seconds_run(work: StreamWork) -> float:
    """Return for how long the current send ran, by the events that came of it.

    Events are counted by the engine's clock. Times observed here include the delays of
    the queue, the prefill, the network and this host.
    """
    events = work.progress.events - work.earlier_events
    load = GroupLoad(running=work.profile.slots)
    return events * pass_seconds(work.profile, work.model, load)


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _last_event_id(events: bytes) -> str | None:
    """Return the id of the last event that has one, None if there is none."""
    at = events.rfind(b"\n" + EVENT_ID)
    start = 0 if at < 0 and events.startswith(EVENT_ID) else at + 1
    if at < 0 and not events.startswith(EVENT_ID):
        return None
    line = events[start:].partition(b"\n")[0]
    return line[len(EVENT_ID) :].strip().decode("latin-1")
