"""Give each stream a group: choose one, wait for a place, or refuse at once."""

from math import inf

from mallowpond.node.dispatcher_client import (
    DispatcherClient,
    Placed,
    PlaceOutcome,
    TurnedAway,
    WaitedInVain,
)
from mallowpond.node.group_selector import FIRST_EVENT_SHARE, GroupSelector, Seek
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.stream_work import StreamWork
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

# Share of a caller's patience that a stream may wait here for a place: the rest is
# for reading the prompt and the first pass.
WAIT_SHARE = 0.6
# Silence after which callers leave, as the platform's pages give it: the longest of
# these seconds, objectives and allowed gaps.
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
# Time left below which a stream is not sent any more, in seconds.
LEAST_SECONDS = 0.05
# Time to come back when no group serves a model and none is known to form soon.
NO_GROUP_RETRY_SECONDS = 1.0


class StreamPlacement:
    """Place streams on the groups of a directory."""

    def __init__(self, *, parts: ServingParts) -> None:
        self._directory = parts.directory
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._budget = parts.budget
        self._hosts = parts.hosts
        self._rng = parts.rng
        self._quarantine = parts.quarantine
        self._intake = parts.intake
        self._lines: dict[str, WaitQueue] = {}
        self._shapes: dict[str, tuple[str, EngineProfile, ModelSpec, float]] = {}
        self.selector = GroupSelector(
            directory=parts.directory,
            quarantine=parts.quarantine,
            budget=parts.budget,
            hosts=parts.hosts,
            rng=parts.rng,
        )
        # Without it this host goes by news of the others alone.
        self.dispatcher_client: DispatcherClient | None = None
        self.shutdown_at = inf

    def note_shape(self, work: StreamWork) -> None:
        """Remember what a stream of its model looks like, for those that wait."""
        self._shapes[work.model.name] = (
            work.service,
            work.profile,
            work.model,
            work.route.objective_seconds,
        )

    def wake_all(self) -> None:
        """Look whether waiting streams have a place now."""
        for model in self._lines:
            self.wake(model)

    def delay(self, service: str, model: str) -> FirstEventDelay:
        """Return what was learnt of the first events of a model."""
        return self.selector.delay(service, model)

    def end_waits(self) -> None:
        """Let no stream wait for a place any longer."""
        for line in self._lines.values():
            line.end()
        if self.dispatcher_client is not None:
            self.dispatcher_client.end_waits()

    async def place(self, work: StreamWork) -> Group | Refusal:
        """Return the group that a stream goes to, or why it goes to none."""
        while True:
            held = self._quarantine.refuse(work.fingerprint, work.request.id)
            if held is not None:
                # Placed all the same, it would end one more group and all that runs
                # there; its caller comes again, at any host.
                return held
            refusal = self._refuse_closed(work)
            if refusal is not None:
                return refusal
            match await self._ask(work):
                case TurnedAway(wait=wait):
                    return self.refuse(Reason.OVERLOADED, wait)
                case WaitedInVain():
                    return self._refuse_unplaced(work)
                case Placed(group=group) if self._intake.closed([group]):
                    # What its head says has changed while the stream waited.
                    self._give_back()
                    continue
                case Placed(group=group):
                    pass
                case None:
                    group = self.choose(work)
            if group is not None and self._ends_before(work):
                self.wake(work.model.name)
                return self.refuse(Reason.STOPPING, 0.0)
            if group is not None:
                return group
            refusal = await self._wait(work)
            if refusal is not None:
                return refusal

    def choose(self, work: StreamWork) -> Group | None:
        """Return the group with a place for a stream now, None if there is none."""
        return self.selector.by_news(self._seek(work))

    def _seek(self, work: StreamWork) -> Seek:
        return Seek(
            service=work.service,
            profile=work.profile,
            model=work.model,
            prompt_tokens=work.prompt_tokens,
            objective=work.route.objective_seconds,
            avoided=self._avoided(work),
        )

    def _avoided(self, work: StreamWork) -> frozenset[str]:
        """Return the groups that are out of the question for a stream now.

        It was sent there already, or the head wants no request now.
        """
        if not work.sent_to and not self._intake.is_any:
            return frozenset()
        groups = self._directory.serving_groups(work.service, work.model.name)
        used = {g.name for g in groups if g.head and g.head.process in work.sent_to}
        return self._intake.closed(groups).union(used)

    def _refuse_closed(self, work: StreamWork) -> Refusal | None:
        """Refuse a stream where every group of its model wants none for too long.

        Not one that has begun: it would be cut off, though a group may form in time.
        """
        if work.has_begun or not self._intake.is_any:
            return None
        groups = self._directory.serving_groups(work.service, work.model.name)
        heads = [g.head for g in groups if g.head is not None]
        wait = min(map(self._intake.seconds_until, heads), default=0.0)
        reason = self._intake.reason(heads)
        if reason is None or wait <= self._patience(work):
            return None
        return self.refuse(reason, self._intake.retry_seconds(heads))

    def _give_back(self) -> None:
        """Tell that a place which was given is not used."""
        if self.dispatcher_client is not None:
            self.dispatcher_client.give_back()

    async def _ask(self, work: StreamWork) -> PlaceOutcome | None:
        """Ask the host that counts all places, if there is one."""
        now = self._clock.now()
        patience = min(self._patience(work), work.deadline - now)
        if self.dispatcher_client is None or patience <= LEAST_SECONDS:
            return None
        claim = QueueEntry(
            priority=work.priority,
            objective_deadline=self._on_time_until(work),
            queued_at=now,
            deadline=now + patience,
            has_begun=work.has_begun,
        )
        self._metrics.waiting.inc()
        try:
            return await self.dispatcher_client.ask(self._seek(work), claim)
        finally:
            self._metrics.waiting.dec()
            work.waited += self._clock.now() - now

    async def _wait(self, work: StreamWork) -> Refusal | None:
        """Wait for a place, or say at once that there will be none in time."""
        now = self._clock.now()
        if now + LEAST_SECONDS > work.deadline:
            return Refusal(status=504, reason=Reason.TIMEOUT)
        groups = self._directory.serving_groups(work.service, work.model.name)
        line = self._lines.setdefault(work.model.name, WaitQueue())
        wait = expected_wait(
            ahead=line.ahead_of(work.priority, has_begun=work.has_begun),
            slots=len(groups) * work.profile.slots,
            # Every host gets its part of the places that free.
            service_seconds=self.selector.hold_seconds(work.profile, work.model)
            * self._hosts(),
        )
        patience = min(self._patience(work), work.deadline - now)
        if not groups:
            wait = patience
        if wait > patience:
            return self.refuse(Reason.OVERLOADED, wait)
        self._metrics.waiting.inc()
        came = False
        try:
            came = await line.wait(
                priority=work.priority,
                objective_deadline=self._on_time_until(work),
                seconds=patience,
                has_begun=work.has_begun,
            )
        finally:
            self._metrics.waiting.dec()
            work.waited += self._clock.now() - now
            if not came:
                # It may have been offered a place as it left, which goes to the next.
                self.wake(work.model.name)
        if not came:
            return self._refuse_unplaced(work)
        return None

    def _patience(self, work: StreamWork) -> float:
        """Return how long a stream may wait for a place from now.

        Counted from its last event: counted from its start, a stream that had run for
        1.2 s was cut off at once when its group died and no place was free.
        """
        whole = max(
            PATIENCE_SECONDS,
            PATIENCE_OBJECTIVES * work.route.objective_seconds,
            PATIENCE_GAPS * work.route.gap_objective_seconds,
        )
        heard_at = work.last_event_at or work.started_at
        return max(0.0, WAIT_SHARE * whole - (self._clock.now() - heard_at))

    def _on_time_until(self, work: StreamWork) -> float:
        """Return until when a place lets a stream meet its objective.

        The first event takes its own time from there on: ordered by the objective
        alone, those that are just too late go before those that are not.
        """
        load = GroupLoad(running=max(0, work.profile.slots - 1))
        seconds = first_event_seconds(
            work.profile, work.model, load, work.prompt_tokens
        )
        seconds += self.delay(work.service, work.model.name).usual
        return work.started_at + work.route.objective_seconds - seconds

    def longest_seconds(self, work: StreamWork) -> float:
        """Return how long a stream may take from now on, infinity without a group.

        With as many tokens as it may get, on the group that it would get, full and at
        the pace that it shows; without a place on the best that may get one: at the
        pace of a sound group, a host took streams that its slow groups could not end
        before it ended.
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

    def _ends_before(self, work: StreamWork) -> bool:
        """Tell whether this host ends before a stream that has not begun.

        Judged only when it was taken, a stream got a place just before its host ended
        and was cut off; its caller can still come back to another host.
        """
        if self.shutdown_at == inf or work.has_begun:
            return False
        return self._clock.now() + self.longest_seconds(work) > self.shutdown_at

    def _refuse_unplaced(self, work: StreamWork) -> Refusal:
        """Refuse a stream that waited in vain."""
        groups = self._directory.serving_groups(work.service, work.model.name)
        reason = Reason.OVERLOADED if groups else Reason.NO_GROUP
        return self.refuse(reason, NO_GROUP_RETRY_SECONDS)

    def refuse(self, reason: Reason, wait: float) -> Refusal:
        """Refuse a stream that did not run, to come back after about `wait` seconds."""
        after = jittered_retry_after(wait, self._rng.random())
        return Refusal(status=503, reason=reason, retry_after=after)

    def wake(self, model: str) -> None:
        """Look whether the streams that wait for a model have a place now."""
        line = self._lines.get(model)
        shape = self._shapes.get(model)
        if line is None or shape is None:
            return
        service, profile, spec, objective = shape

        def has_place() -> bool:
            groups = self._directory.serving_groups(service, model)
            closed = self._intake.closed(groups)
            loads = [
                Candidate(key=g.name, load=self._directory.loads.load_of(g, profile))
                for g in groups
                if g.name not in closed
            ]
            chosen = choose_group(
                profile,
                spec,
                loads,
                prompt_tokens=profile.typical_prompt_tokens,
                limit_seconds=FIRST_EVENT_SHARE * objective,
            )
            return chosen is not None

        line.wake(has_place, self._clock.now())
