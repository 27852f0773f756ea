"""Place each stream: select a group, wait for a free slot, or refuse at once."""

from math import inf

import structlog

from mallowpond.node.dispatcher_client import (
    DispatcherClient,
    Placed,
    PlacementOutcome,
    Rejected,
    WaitEnded,
)
from mallowpond.node.group_selector import FIRST_EVENT_SHARE, GroupSelector, SlotRequest
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.slot_admission import SlotAdmission, token_cost
from mallowpond.node.stream_work import ActiveStream, StreamWork
from mallowpond.node.waiting import WaitQueue
from mallowpond.state.admission import expected_wait, jittered_retry_after
from mallowpond.state.first_event import FirstEventDelay
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec
from mallowpond.state.placement import (
    Candidate,
    GroupLoad,
    choose_group,
    first_event_seconds,
    pass_seconds,
)
from mallowpond.state.placement_queue import QueueEntry
from mallowpond.state.slot_forecast import hold_seconds
from mallowpond.state.stopping import can_finish

log = structlog.get_logger()

# Share of a caller's patience, the silence after which it gives up, that a stream may
# wait here for a slot: the rest is for prefill and the first pass.
WAIT_SHARE = 0.6
# Silence after which callers give up, as the platform documents it: the largest of
# these seconds, multiples of the objective, and multiples of the gap objective.
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
# Minimum time left before the deadline to send a stream, in seconds.
MIN_SEND_SECONDS = 0.05
# Retry-After when no group serves a model and none is known to form soon, in seconds.
NO_GROUP_RETRY_SECONDS = 1.0


class StreamPlacement:
    """Places streams on the groups of a directory.

    The dispatcher grants the slots. Without an answer from it, this host selects a
    group by its own view of the load.
    """

    def __init__(self, *, parts: ServingParts) -> None:
        self._directory = parts.directory
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._hosts = parts.hosts
        self._rng = parts.rng
        self._quarantine = parts.quarantine
        self._availability = parts.availability
        self._queues: dict[str, WaitQueue] = {}
        self._models: dict[str, tuple[str, EngineProfile, ModelSpec, float]] = {}
        self.selector = GroupSelector(
            directory=parts.directory,
            quarantine=parts.quarantine,
            budgets=parts.budgets,
            hosts=parts.hosts,
            rng=parts.rng,
            is_cold=parts.availability.is_cold,
        )
        # Without it this host places streams by load reports alone.
        self.dispatcher_client: DispatcherClient | None = None
        # Forecasts of the slots; None unless slots are contested.
        self.admission: SlotAdmission | None = None
        self.shutdown_at = inf

    def record_model(self, work: StreamWork) -> None:
        """Record a stream's model and objective, by which `wake` looks for a slot."""
        self._models[work.model.name] = (
            work.service,
            work.profile,
            work.model,
            work.route.objective_seconds,
        )

    def wake_all(self) -> None:
        """Wake the waiting streams of every model that has a free slot."""
        for model in self._queues:
            self.wake(model)

    def delay(self, service: str, model: str) -> FirstEventDelay:
        """Return the learned delay of a model's first events beyond the prediction."""
        return self.selector.delay(service, model)

    def end_waits(self) -> None:
        """End the waits of all streams without a slot."""
        for queue in self._queues.values():
            queue.reject_all()
        if self.dispatcher_client is not None:
            self.dispatcher_client.end_waits()

    async def place(self, work: StreamWork) -> Group | Refusal:
        """Return the group for a stream, waiting for a slot if needed, or a refusal."""
        while True:
            quarantined = self._refuse_quarantined(work)
            if quarantined is not None:
                return quarantined
            refusal = self._refuse_evacuated(work) or self._refuse_unavailable(work)
            if refusal is not None:
                return refusal
            match await self._request_slot(work):
                case Rejected(retry_after=retry_after) as rejected if retry_after > 0.0:
                    return self._refuse_by_forecast(work, rejected)
                case Rejected(wait=wait):
                    return self._refuse_evacuated(work) or self._refuse_without_slot(
                        work, wait
                    )
                case WaitEnded():
                    return self._refuse_unplaced(work)
                case Placed(group=group) if self._availability.unavailable_groups(
                    [group]
                ):
                    # Its head became unavailable while the stream waited.
                    self.release_grant()
                    continue
                case Placed(group=group):
                    pass
                case None:
                    group = self.choose(work)
            quarantined = self._refuse_quarantined(work)
            if quarantined is not None:
                # It was quarantined while the stream waited for its slot.
                self.release_grant()
                self.wake(work.model.name)
                return quarantined
            if group is not None and self._shuts_down_before(work):
                self.release_grant()
                self.wake(work.model.name)
                return self.refuse(Reason.STOPPING, 0.0)
            if group is not None:
                return group
            refusal = await self._wait(work)
            if refusal is not None:
                return refusal

    def _refuse_quarantined(self, work: StreamWork) -> Refusal | None:
        """Refuse a stream that would crash one more group and every stream there."""
        return self._quarantine.refuse(work.fingerprint, work.request.id, work.parts)

    def choose(self, work: StreamWork) -> Group | None:
        """Return a group with a free slot by load reports, None if there is none."""
        request = self._slot_request(work).without(self._unavailable(work))
        return self.selector.select_by_reports(request)

    def _slot_request(self, work: StreamWork) -> SlotRequest:
        return SlotRequest(
            service=work.service,
            profile=work.profile,
            model=work.model,
            prompt_tokens=work.prompt_tokens,
            objective=work.route.objective_seconds,
            avoided=self._used(work),
            gap_objective=work.route.gap_objective_seconds,
            fingerprint=work.fingerprint if self.admission is not None else "",
            answer_tokens=float(work.request.answer_tokens),
            ends_at=work.deadline,
        )

    def _used(self, work: StreamWork) -> frozenset[str]:
        """Return the names of the groups that a stream was sent to already."""
        if not work.sent_to:
            return frozenset()
        groups = self._directory.serving_groups(work.service, work.model.name)
        return frozenset(
            g.name for g in groups if g.head and g.head.process in work.sent_to
        )

    def _unavailable(self, work: StreamWork) -> frozenset[str]:
        """Return the names of the groups whose head may get no request now."""
        if not self._availability.has_restrictions:
            return frozenset()
        groups = self._directory.serving_groups(work.service, work.model.name)
        return self._availability.unavailable_groups(groups)

    def _refuse_unavailable(self, work: StreamWork) -> Refusal | None:
        """Refuse a stream if no group of its model is available within its patience.

        A stream that has begun is not refused: it would be cut off although a group may
        form in time.
        """
        if work.has_begun or not self._availability.has_restrictions:
            return None
        groups = self._directory.serving_groups(work.service, work.model.name)
        heads = [g.head for g in groups if g.head is not None]
        wait = min(map(self._availability.seconds_until_available, heads), default=0.0)
        reason = self._availability.refusal_reason(heads)
        if reason is None or wait <= self._patience(work):
            return None
        return self.refuse(reason, self._availability.retry_seconds(heads))

    def _refuse_evacuated(self, work: StreamWork) -> Refusal | None:
        """Refuse a stream if evacuations have left nothing that may serve its model.

        A stream that has begun waits on, as the evacuation may be withdrawn.
        """
        if work.has_begun:
            return None
        if not self._directory.is_model_evacuated(work.service, work.model):
            return None
        return self.refuse(Reason.EVACUATED, NO_GROUP_RETRY_SECONDS)

    def refuse_evacuated_waits(self) -> None:
        """End the waits of streams for whose model evacuations have left nothing."""
        for name, (service, _, model, _) in self._models.items():
            if not self._directory.is_model_evacuated(service, model):
                continue
            if name in self._queues:
                self._queues[name].reject_new()
            if self.dispatcher_client is not None:
                self.dispatcher_client.reject_new(service, name)

    def release_grant(self) -> None:
        """Report that a granted slot is not used."""
        if self.dispatcher_client is not None:
            self.dispatcher_client.release_grant()

    async def _request_slot(self, work: StreamWork) -> PlacementOutcome | None:
        """Request a slot from the dispatcher; return None without an answer."""
        now = self._clock.now()
        patience = min(self._patience(work), work.deadline - now)
        if self.dispatcher_client is None or patience <= MIN_SEND_SECONDS:
            return None
        entry = QueueEntry(
            priority=work.priority,
            objective_deadline=self._objective_deadline(work),
            queued_at=now,
            deadline=now + patience,
            has_begun=work.has_begun,
            # Slots are shared between workspaces only where they are contested.
            workspace=(work.workspace or "") if self.admission is not None else "",
            tokens=token_cost(work.prompt_tokens, work.request.answer_tokens),
        )
        self._metrics.waiting.inc()
        try:
            return await self.dispatcher_client.request_slot(
                self._slot_request(work), entry, lambda: self._unavailable(work)
            )
        finally:
            self._metrics.waiting.dec()
            work.waited += self._clock.now() - now

    async def _wait(self, work: StreamWork) -> Refusal | None:
        """Wait in this host's queue for a slot; refuse if none comes in time."""
        now = self._clock.now()
        if now + MIN_SEND_SECONDS > work.deadline:
            return Refusal(status=504, reason=Reason.TIMEOUT)
        groups = self._directory.serving_groups(work.service, work.model.name)
        queue = self._queues.setdefault(work.model.name, WaitQueue())
        wait = self._own_wait(work, queue, groups)
        patience = min(self._patience(work), work.deadline - now)
        if not groups:
            wait = patience
        if wait > patience:
            return self._refuse_without_slot(work, wait)
        self._metrics.waiting.inc()
        is_woken = False
        try:
            is_woken = await queue.wait(
                priority=work.priority,
                objective_deadline=self._objective_deadline(work),
                seconds=patience,
                has_begun=work.has_begun,
            )
        finally:
            self._metrics.waiting.dec()
            work.waited += self._clock.now() - now
            if not is_woken:
                # It may have been woken as its wait ended: wake the next one instead.
                self.wake(work.model.name)
        if not is_woken:
            return self._refuse_unplaced(work)
        return None

    def _own_wait(
        self, work: StreamWork, queue: WaitQueue, groups: list[Group]
    ) -> float:
        """Return the expected wait in this host's queue, in seconds."""
        ahead = queue.ahead_of(work.priority, has_begun=work.has_begun)
        if self.admission is None:
            return expected_wait(
                ahead=ahead,
                slots=len(groups) * work.profile.slots,
                # All hosts share the slots that come free.
                service_seconds=self.selector.hold_seconds(work.profile, work.model)
                * self._hosts(),
            )
        line = self.admission.line_of(work.service, work.profile, work.model)
        return line.forecast().wait_for(
            (ahead + 1) * self._hosts() - 1, now=self._clock.now()
        )

    def record_answer(self, work: StreamWork, stream: ActiveStream) -> None:
        """Learn the length and the pace of a complete answer of one send."""
        if self.admission is None or stream.last_event_at is None:
            return
        line = self.admission.line_of(work.service, work.profile, work.model)
        tokens = stream.events * work.profile.stride
        predicted = hold_seconds(
            work.profile,
            work.model,
            running=work.profile.slots,
            slowness=stream.slowness,
            prompt_tokens=work.prompt_tokens,
            answer_tokens=tokens,
        )
        line.answers.record(
            tokens=tokens,
            seconds=self._clock.now() - stream.sent_at,
            predicted=predicted,
        )

    def _patience(self, work: StreamWork) -> float:
        """Return how long a stream may wait for a slot from now, in seconds.

        It counts from the stream's last event: counted from its start, a stream that
        had run for 1.2 s was cut off at once when its group died and no slot was free.
        """
        patience = max(
            PATIENCE_SECONDS,
            PATIENCE_OBJECTIVES * work.route.objective_seconds,
            PATIENCE_GAPS * work.route.gap_objective_seconds,
        )
        last_at = work.last_event_at or work.started_at
        return max(0.0, WAIT_SHARE * patience - (self._clock.now() - last_at))

    def _objective_deadline(self, work: StreamWork) -> float:
        """Return the latest time to send a stream so that it meets its objective.

        The predicted time to the first event is subtracted: ordered by the objective
        alone, streams that are just too late would go before those that are not.
        """
        load = GroupLoad(running=max(0, work.profile.slots - 1))
        seconds = first_event_seconds(
            work.profile, work.model, load, work.prompt_tokens
        )
        seconds += self.delay(work.service, work.model.name).typical
        return work.started_at + work.route.objective_seconds - seconds

    def longest_seconds(self, work: StreamWork) -> float:
        """Return an upper bound of a stream's duration from now on, in seconds.

        The bound is for the largest answer on the group that the stream would get, with
        all slots in use and at the group's current pace; without a free slot, on the
        fastest group of its model; without a group it is infinite. Predicted at the
        declared pace, a host that was shutting down accepted streams that its slow
        groups could not finish in time.
        """
        groups = self._directory.serving_groups(work.service, work.model.name)
        chosen = self.choose(work)
        candidates = [chosen] if chosen is not None else groups
        loads = [self._directory.loads.load_of(g, work.profile) for g in candidates]
        if not loads:
            return inf
        load = GroupLoad(
            running=work.profile.slots, slowness=min(load.slowness for load in loads)
        )
        tokens = work.request.answer_tokens or work.profile.typical_answer_tokens
        passes = tokens / max(1, work.profile.stride)
        one_pass = pass_seconds(work.profile, work.model, load)
        return work.route.objective_seconds + passes * one_pass

    def _shuts_down_before(self, work: StreamWork) -> bool:
        """Return whether this host may shut down before a new stream ends.

        Checked at arrival only, a stream that had waited got a slot just before the
        shutdown and was cut off; refused, its caller can retry at another host. The
        time of a move is left for a move, and not used up by the wait.
        """
        if self.shutdown_at == inf or work.has_begun:
            return False
        left, longest = self.shutdown_at - self._clock.now(), self.longest_seconds(work)
        if work.sends:
            return longest > left
        return not can_finish(longest_seconds=longest, seconds_left=left)

    def _refuse_unplaced(self, work: StreamWork) -> Refusal:
        """Refuse a stream that got no slot while it waited."""
        evacuated = self._refuse_evacuated(work)
        if evacuated is not None:
            return evacuated
        return self._refuse_without_slot(work, NO_GROUP_RETRY_SECONDS)

    def _refuse_without_slot(self, work: StreamWork, wait: float) -> Refusal:
        """Refuse a stream for which no slot comes free in time."""
        groups = self._directory.serving_groups(work.service, work.model.name)
        reason = Reason.OVERLOADED if groups else Reason.NO_GROUP
        log.info(
            "placement: no slot",
            request=work.request.id,
            model=work.model.name,
            wait=round(wait, 3),
            waited=round(work.waited, 3),
            patience=round(self._patience(work), 3),
            groups=len(groups),
            load_age=round(self._directory.loads.load_age, 3),
            priority=work.priority,
            sends=work.sends,
        )
        return self.refuse(reason, wait)

    def _refuse_by_forecast(self, work: StreamWork, rejected: Rejected) -> Refusal:
        """Refuse a stream that has no chance, with its own time to come back."""
        groups = self._directory.serving_groups(work.service, work.model.name)
        reason = Reason.OVERLOADED if groups else Reason.NO_GROUP
        log.info(
            "placement: refused by forecast",
            request=work.request.id,
            model=work.model.name,
            wait=round(rejected.wait, 3),
            patience=round(self._patience(work), 3),
            left=round(work.deadline - self._clock.now(), 3),
            retry_after=round(rejected.retry_after, 3),
        )
        return Refusal(status=503, reason=reason, retry_after=rejected.retry_after)

    def refuse(self, reason: Reason, wait: float) -> Refusal:
        """Refuse a stream that did not run; it may retry after about `wait` seconds."""
        after = jittered_retry_after(wait, self._rng.random())
        return Refusal(status=503, reason=reason, retry_after=after)

    def wake(self, model: str) -> None:
        """Wake the first waiting stream of a model if a group has a free slot."""
        queue = self._queues.get(model)
        parameters = self._models.get(model)
        if queue is None or parameters is None:
            return
        service, profile, spec, objective = parameters

        def has_capacity() -> bool:
            groups = self._directory.serving_groups(service, model)
            unavailable = self._availability.unavailable_groups(groups)
            loads = [
                Candidate(key=g.name, load=self._directory.loads.load_of(g, profile))
                for g in groups
                if g.name not in unavailable
            ]
            chosen = choose_group(
                profile,
                spec,
                loads,
                prompt_tokens=profile.typical_prompt_tokens,
                limit_seconds=FIRST_EVENT_SHARE * objective,
            )
            return chosen is not None

        queue.wake(has_capacity, self._clock.now())
