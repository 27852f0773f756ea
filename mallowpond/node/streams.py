"""Serve streams: place each, forward its events, resume on another group if needed.

A stream is a request of which a group of engines sends the answer as events. It is sent
to the head of a group; each such send is an attempt. A send that is in doubt goes on
until another group delivers an event, as only its engine can tell that it has ended.
"""

import asyncio
from collections.abc import Callable

import structlog

from mallowpond.gateway.relay import EVENT_END
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
from mallowpond.state.buffer_sizes import CONNECTION_READ_BYTES
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
# Time for which a group that was in doubt must send events before another send is
# cancelled for it, in seconds: more than a head takes to flush what it has and end.
MIN_RECOVERY_SECONDS = 0.02
# Time after which another group is looked for again for a stream in doubt, in seconds:
# a part of the time for which callers wait without an event.
MOVE_PAUSE_SECONDS = 0.25
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
        self._memory = parts.memory
        self.placement = StreamPlacement(parts=parts)
        self.active: set[ActiveStream] = set()
        self._serving = 0
        # Silences that began before these times say nothing of a group's pace.
        self._ignored_before: dict[str, float] = {}
        # Called when a send has ended with any outcome, so that its slot is free.
        self.on_end: list[Callable[[], None]] = []
        # Called with a group whose head closed or refused a connection unexpectedly.
        self.on_head_ended: list[Callable[[Group], None]] = []
        # Set while any stream is served or waits on this host.
        self.has_streams = asyncio.Event()
        parts.directory.on_change.append(self.placement.wake_all)
        parts.directory.on_change.append(self.placement.refuse_evacuated_waits)

    def ignore_silence(self, service: str, until: float) -> None:
        """Learn no pace from gaps and first events that were due before a time."""
        self._ignored_before[service] = until

    # -- one stream ----------------------------------------------------------

    async def serve(self, work: StreamWork) -> ServeOutcome:
        """Serve one stream to its end, and return its outcome."""
        self._serving += 1
        self.has_streams.set()
        work.hold = self._memory.open(now=self._clock.now())
        try:
            return await self._serve(work)
        finally:
            work.hold.release(self._clock.now())
            self._serving -= 1
            if not self._serving:
                self.has_streams.clear()

    async def _serve(self, work: StreamWork) -> ServeOutcome:
        work.started_at = self._clock.now()
        work.last_event_id = work.request.last_event
        self.placement.record_model(work)
        self._budgets.record_first_send(work.service)
        while True:
            group = await self.placement.place(work)
            if isinstance(group, Refusal):
                return await self._end_unserved(work, group)
            match await self._send(work, group):
                case CompleteAnswer(status=status, target=target) as answer:
                    if answer.has_marked_end:
                        self._quarantine.record_answer(work.fingerprint, work.parts)
                    self._log_served(work)
                    return Answered(status=status, target=target)
                case FailedAnswer() as end:
                    reason = Reason.TARGET_FAILED
                case NotRun(reason=reason) | Interrupted(reason=reason) as end:
                    pass
            refusal = self._refuse_retry(work, end, reason)
            if refusal is not None:
                return await self._end_unserved(work, refusal)
            self._log_resent(work, reason, group)

    def _refuse_retry(
        self, work: StreamWork, end: AttemptEnd, reason: Reason
    ) -> Refusal | None:
        """Return the refusal of a stream that must not be sent again, else None."""
        refusal = self._refuse_attempt(work, not_run=isinstance(end, NotRun))
        if refusal is not None:
            return refusal
        if work.not_run_sends > MAX_NOT_RUN_REPEATS:
            return self.placement.refuse(Reason.NO_GROUP, NO_GROUP_RETRY_SECONDS)
        # A connection that was not opened brought no request to a target.
        is_free = isinstance(end, NotRun) and reason is Reason.CONNECT
        if is_free or self._take_repeat(work, reason):
            return None
        return Refusal(status=502, reason=Reason.BUDGET_USED)

    def _refuse_attempt(self, work: StreamWork, *, not_run: bool) -> Refusal | None:
        """Return the refusal of a stream that no group may run again, else None.

        With `not_run` the last send provably did not run.
        """
        quarantined = self._quarantine.refusal(work.fingerprint, work.parts)
        if quarantined is not None:
            return quarantined
        if not not_run and not work.route.resumable:
            return Refusal(status=502, reason=Reason.MAYBE_RUN)
        if not not_run and self._attempts(work) >= work.route.max_attempts:
            return Refusal(status=502, reason=Reason.ATTEMPTS_USED)
        if self._clock.now() + MIN_SEND_SECONDS > work.deadline:
            return Refusal(status=504, reason=Reason.TIMEOUT)
        return None

    def _take_repeat(self, work: StreamWork, reason: Reason) -> bool:
        return self._budgets.try_repeat(
            work.service, request=work.request.id, reason=reason
        )

    def _log_resent(
        self, work: StreamWork, reason: Reason, group: Group, *, beside: bool = False
    ) -> None:
        self._metrics.retries.labels(reason.value).inc()
        log.info(
            "stream: resent",
            request=work.request.id,
            reason=reason.value,
            events=work.events,
            group=group.name,
            beside=beside,
        )

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
        others = [s for s in work.live_sends if s is not stream]
        if any(other.move_reason is None for other in others):
            return False
        return self._attempts(work) < work.route.max_attempts

    def can_move(self, stream: ActiveStream) -> bool:
        """Return whether a stream could be resumed on another group now."""
        return (
            self.can_resume(stream)
            and self._budgets.can_repeat(stream.work.service)
            and self.placement.choose(stream.work) is not None
        )

    def _attempts(self, work: StreamWork) -> int:
        """Count the engine processes that may have run the request and still exist."""
        return self._directory.count_present(work.sent_to)

    async def _end_unserved(self, work: StreamWork, refusal: Refusal) -> ServeOutcome:
        if work.exchange.started:
            return CutOff(reason=refusal.reason)
        failed = work.failed
        if failed is not None:
            await work.exchange.respond(
                failed.status, failed.body, failed.headers, content_type=None
            )
            return Answered(status=failed.status, target=failed.target)
        if work.sent_to and refusal.status == 503:
            # An engine may have run the request, but 503 means that none did.
            return Refusal(status=502, reason=refusal.reason)
        if not work.sent_to and refusal.status != 503:
            # Every engine rejected the request, so the caller may retry it whether or
            # not it may run twice.
            return self.placement.refuse(refusal.reason, NO_GROUP_RETRY_SECONDS)
        return refusal

    # -- the sends of a stream -----------------------------------------------

    async def _send(self, work: StreamWork, group: Group) -> AttemptEnd:
        """Send a stream to a group, and to another one too while that is in doubt.

        Return the end of the send that completed the answer, or of the last one.
        """
        try:
            async with asyncio.timeout(max(0.001, work.deadline - self._clock.now())):
                self._begin(work, group)
                while True:
                    await work.changed.wait()
                    work.changed.clear()
                    end = self._collect_ends(work)
                    if end is not None:
                        return end
                    self._update_standby(work)
        except TimeoutError:
            return Interrupted(reason=Reason.TIMEOUT)
        finally:
            await self._end_sends(work)

    def _collect_ends(self, work: StreamWork) -> AttemptEnd | None:
        """Return the end that decides on a stream, None while a send is in progress."""
        for stream in list(work.in_progress):
            if stream.task is None or not stream.task.done():
                continue
            self._finish(stream)
            if stream.is_dropped:
                continue
            end = stream.task.result()
            self._record_end(stream, end)
            others = work.live_sends
            if isinstance(end, CompleteAnswer) or not others:
                return end
            if others[-1].move_reason is not None:
                self._pause_move(others[-1])
        return None

    def _record_end(self, stream: ActiveStream, end: AttemptEnd) -> None:
        """Record what the end of a send says of its group."""
        work, group = stream.work, stream.group
        match end:
            case FailedAnswer():
                work.failed = end
            case NotRun(reason=reason):
                assert group.head is not None
                work.not_run_sends += not work.live_sends
                work.sent_to.remove(group.head.process)
                if reason is Reason.MISDIRECTED:
                    self._directory.mark_broken(group, BreakCause.REFUSED)
            case Interrupted(reason=Reason.BROKEN_STREAM):
                self._record_broken(stream, Reason.BROKEN_STREAM)

    def _update_standby(self, work: StreamWork) -> None:
        """Look for another group, or send the stream there, while all are in doubt."""
        sends = work.live_sends
        for stream in sends:
            if stream.move_reason is Reason.RESTARTED:
                self._record_broken(stream, Reason.RESTARTED)
        if not sends or any(stream.move_reason is None for stream in sends):
            self._release_unused(work)
            return
        stream, placing = sends[-1], work.placing
        reason = stream.move_reason
        assert reason is not None
        if placing is None:
            if any(each.is_move_due for each in sends):
                for each in sends:
                    each.is_move_due = False
                self._start_placing(stream)
            return
        if not placing.done():
            return
        work.placing, group = None, placing.result()
        if isinstance(group, Refusal):
            self._pause_move(stream)
        elif any(each.is_forwarding for each in sends):
            # The next send would resume before what is being forwarded.
            self.placement.release_grant()
            self._pause_move(stream)
        elif self._may_stand_by(work) and self._take_repeat(work, reason):
            self._log_resent(work, reason, stream.group, beside=True)
            self._begin(work, group)
        else:
            self.placement.release_grant()
            self._pause_move(stream)

    def _release_unused(self, work: StreamWork) -> None:
        """Release a slot that was granted after the doubt had ended."""
        if work.placing is not None and work.placing.done():
            self._release_granted(work.placing)
            work.placing = None

    def _start_placing(self, stream: ActiveStream) -> None:
        work = stream.work
        if not (self._may_stand_by(work) and self._budgets.can_repeat(work.service)):
            self._pause_move(stream)
            return
        work.placing = asyncio.create_task(self.placement.place(work))
        work.placing.add_done_callback(lambda _: work.changed.set())

    def _may_stand_by(self, work: StreamWork) -> bool:
        return self._refuse_attempt(work, not_run=False) is None

    def _pause_move(self, stream: ActiveStream) -> None:
        """Look for another group for a stream in doubt again after a short time."""

        def renew() -> None:
            if stream.move_reason is Reason.SLOW_TARGET:
                # Its group may be on pace again; the watch knows.
                stream.end_doubt()
            stream.look_for_group()

        asyncio.get_running_loop().call_later(MOVE_PAUSE_SECONDS, renew)

    def _cancel_placing(self, work: StreamWork) -> None:
        placing, work.placing = work.placing, None
        if placing is not None:
            placing.add_done_callback(self._release_granted)
            placing.cancel()

    def _release_granted(self, placing: asyncio.Task[Group | Refusal]) -> None:
        """Release the slot that an ended wait was granted, if any."""
        if placing.cancelled() or placing.exception() is not None:
            return
        if isinstance(placing.result(), Group):
            self.placement.release_grant()

    async def _end_sends(self, work: StreamWork) -> None:
        """Cancel what is in progress of a stream."""
        self._cancel_placing(work)
        streams = list(work.in_progress)
        tasks = [stream.task for stream in streams if stream.task is not None]
        for task in tasks:
            task.cancel()
        try:
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            for stream in streams:
                self._finish(stream)

    # -- one send ------------------------------------------------------------

    def _begin(self, work: StreamWork, group: Group) -> None:
        """Start a send of a stream to a group."""
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
        stream.task.add_done_callback(lambda _: work.changed.set())
        work.in_progress.append(stream)
        self.active.add(stream)
        self.placement.wake(work.model.name)

    def _finish(self, stream: ActiveStream) -> None:
        """Count back the load of a send that has ended."""
        work, own = stream.work, self._directory.loads.work(stream.key)
        work.in_progress.remove(stream)
        self.active.discard(stream)
        own.running -= 1
        own.prefill_tokens -= stream.prefill_tokens
        self.placement.wake(work.model.name)
        for notify in self.on_end:
            notify()

    def _drop(self, stream: ActiveStream, winner: ActiveStream) -> None:
        """Cancel a send as another one of its stream delivers the answer."""
        assert stream.task is not None
        stream.is_dropped = True
        stream.task.cancel()
        now, last_event_at = self._clock.now(), stream.last_event_at
        reason = stream.move_reason or winner.move_reason
        log.info(
            "stream: given up",
            request=stream.work.request.id,
            group=stream.group.name,
            reason=reason.value if reason else None,
            events=stream.events,
            silent=round(now - (last_event_at or stream.sent_at), 3),
            left=round(stream.work.deadline - now, 3),
            winner=winner.group.name,
        )

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
            self._log_rejected(stream, Reason.CONNECT, failure=response.reason)
            if response.phase is FailurePhase.CONNECT:
                self._notify_head_ended(stream.group)
            return NotRun(reason=Reason.CONNECT)
        try:
            return await self._read(stream, response)
        finally:
            response.close()

    async def _read(self, stream: ActiveStream, response: HttpResponse) -> AttemptEnd:
        work, head = stream.work, stream.group.head
        assert head is not None
        if self._targets.is_not_run(response):
            await response.read()
            if self._targets.is_misdirected(response):
                return NotRun(reason=Reason.MISDIRECTED)
            notice = self._record_notice(stream, response)
            if notice.backoff_seconds is None:
                self._back_off(work, stream.group)
            self._log_rejected(stream, Reason.NOT_RUN)
            return NotRun(reason=Reason.NOT_RUN)
        self._record_notice(stream, response)
        if response.status < 300 and not self._targets.is_signed(response):
            self._log_rejected(stream, Reason.BROKEN_STREAM, failure="unsigned")
            return Interrupted(reason=Reason.BROKEN_STREAM)
        headers = self._callers.answer_headers(response)
        if response.status != 200:
            body = await response.read(hold=work.hold)
            if isinstance(body, CallFailed):
                return Interrupted(reason=Reason.BROKEN_STREAM)
            return FailedAnswer(
                status=response.status, target=head.id, headers=headers, body=body
            )
        async for event in response.events():
            match event:
                case Chunk(data=data):
                    await self._forward(stream, headers, data)
                    if stream.progress.is_overlong:
                        self._log_rejected(
                            stream, Reason.BROKEN_STREAM, failure="overlong event"
                        )
                        return Interrupted(reason=Reason.BROKEN_STREAM)
                case End() if stream.progress.has_partial_event:
                    return Interrupted(reason=Reason.BROKEN_STREAM)
                case End() if not (response.has_marked_end or stream.events):
                    # A target that crashes before its first event closes the
                    # connection too.
                    return Interrupted(reason=Reason.BROKEN_STREAM)
                case End():
                    await self._release_held(stream, headers)
                    if not work.exchange.started:
                        await work.exchange.start(200, headers)
                    await work.exchange.end()
                    self.placement.record_answer(work, stream)
                    return CompleteAnswer(
                        status=200,
                        target=head.id,
                        has_marked_end=response.has_marked_end,
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
        complete = stream.progress.complete_events(data)
        if complete:
            self._record_event(stream)
            stream.held.append(complete)
        if not self._has_room(stream):
            stream.progress.is_overlong = True
            return
        if not complete:
            return
        if not self._must_hold(stream):
            await self._release_held(stream, headers)

    def _has_room(self, stream: ActiveStream) -> bool:
        """Count the bytes that wait to be forwarded; return whether there is room."""
        buffered, hold = stream.buffered_bytes, stream.work.hold
        if hold is None or buffered <= CONNECTION_READ_BYTES:
            return True
        return hold.try_reserve(buffered)

    def _must_hold(self, stream: ActiveStream) -> bool:
        """Return whether the events of a send wait until it is known to go on.

        The first event after a doubt may be the last one of a head that ends. A send
        that yields waits for as long as the newest one may take to its first event.
        """
        newest, now = stream.work.live_sends[-1], self._clock.now()
        if stream.move_reason is None or newest is stream:
            return False
        if stream.yields:
            return now - newest.sent_at < self.allowed_first_event(newest)
        if stream.recovers_at is None:
            stream.recovers_at = now + MIN_RECOVERY_SECONDS
        return now < stream.recovers_at

    async def _release_held(
        self, stream: ActiveStream, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Forward the events of the send that goes on, and cancel the other one."""
        work = stream.work
        stream.is_forwarding = True
        if stream.held and not work.exchange.started:
            await work.exchange.start(200, headers)
        others = [s for s in work.live_sends if s is not stream]
        for other in others:
            self._drop(other, stream)
        if stream.yields and others:
            self._pause_move(stream)
        elif not stream.yields:
            stream.end_doubt()
            self._cancel_placing(work)
        # Forwarded at once: a send that begins while the caller does not read must
        # resume after all of them.
        events = b"".join(stream.held)
        stream.held.clear()
        if events:
            self._record_forwarded(work, events)
            await work.exchange.send(events)
        stream.is_forwarding = False

    def _record_forwarded(self, work: StreamWork, events: bytes) -> None:
        """Record complete events as they are forwarded to the caller."""
        now = self._clock.now()
        work.events += events.count(EVENT_END)
        work.last_event_id = _last_event_id(events) or work.last_event_id
        if work.first_event_at is None:
            work.first_event_at = now
            self._metrics.first_event.observe(now - work.started_at)
        if work.last_event_at is not None:
            work.longest_gap = max(work.longest_gap, now - work.last_event_at)
        work.last_event_at = now

    def _record_event(self, stream: ActiveStream) -> None:
        """Record what an event says of its group."""
        now = self._clock.now()
        work, own = stream.work, self._directory.loads.work(stream.key)
        is_first, since = stream.last_event_at is None, stream.last_event_at
        since = stream.sent_at if since is None else since
        if since > self._ignored_before.get(work.service, float("-inf")):
            self._learn_pace(stream, now - since, is_first=is_first)
        if is_first:
            own.prefill_tokens -= stream.prefill_tokens
            stream.prefill_tokens = 0.0
            self.placement.wake(work.model.name)
        else:
            self._metrics.event_gap.observe(now - since)
        if stream.group.head is not None:
            self._quarantine.record_alive(stream.group.head.process)
        stream.last_event_at = now
        stream.events += 1
        own.last_event_at = now
        own.backoff_seconds = 0.0

    def _learn_pace(
        self, stream: ActiveStream, seconds: float, *, is_first: bool
    ) -> None:
        """Learn a group's pace from the time that an event took, in seconds."""
        work, loads = stream.work, self._directory.loads
        if is_first:
            self.placement.delay(work.service, work.model.name).record(
                observed=seconds, predicted=stream.predicted, slowness=stream.slowness
            )
            allowed = self.allowed_first_event(stream)
            loads.record_first_event(stream.key, seconds, allowed)
        else:
            load = loads.load_of(stream.group, work.profile)
            predicted = pass_seconds(work.profile, work.model, load)
            loads.record_gap(stream.key, seconds, predicted)

    def allowed_first_event(self, stream: ActiveStream) -> float:
        """Return the time of a first event at a group's declared pace, in seconds."""
        work = stream.work
        pace = stream.slowness
        if stream.group.spans_domains:
            pace /= work.profile.cross_domain_factor
        delay = self.placement.delay(work.service, work.model.name).upper_bound
        return stream.predicted / max(1.0, pace) + delay

    def _record_broken(self, stream: ActiveStream, reason: Reason) -> None:
        """Record that a head's process ended; back off if it ended before the send."""
        if stream.is_end_recorded:
            return
        stream.is_end_recorded = True
        work, group = stream.work, stream.group
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
            stream.sent_at,
            ran=_seconds_run(stream),
            parts=work.parts,
        ):
            self._back_off(work, group)
            self._log_rejected(stream, reason)

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

    def _log_rejected(
        self, stream: ActiveStream, reason: Reason, failure: str = ""
    ) -> None:
        log.info(
            "stream: rejected",
            request=stream.work.request.id,
            group=stream.group.name,
            reason=reason.value,
            failure=failure or None,
            seconds=round(self._clock.now() - stream.sent_at, 3),
        )


def _seconds_run(stream: ActiveStream) -> float:
    """Return for how long a send ran, by the events that came of it.

    Events are counted by the engine's clock. Times observed here include the delays of
    the queue, the prefill, the network and this host.
    """
    work = stream.work
    load = GroupLoad(running=work.profile.slots)
    one_pass = pass_seconds(work.profile, work.model, load)
    return stream.progress.events * one_pass


def _last_event_id(events: bytes) -> str | None:
    """Return the id of the last event that has one, None if there is none."""
    at = events.rfind(b"\n" + EVENT_ID)
    start = 0 if at < 0 and events.startswith(EVENT_ID) else at + 1
    if at < 0 and not events.startswith(EVENT_ID):
        return None
    line = events[start:].partition(b"\n")[0]
    return line[len(EVENT_ID) :].strip().decode("latin-1")
