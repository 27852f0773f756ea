"""Grant slots on groups to the streams of all hosts from one exact count.

Many hosts send streams to the same groups, and what each knows of the others' load is
some tenths of a second old. In a burst, or when all hosts restart at once, they
overload some groups while others have free slots, and each host queues its streams
without knowing the other queues. The dispatcher is the one host that grants every slot
and so counts them exactly. Its answers are advisory: a host that gets no answer places
streams by its own view, and no guarantee to callers depends on the dispatcher.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice
from math import inf

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.group_selector import GroupSelector, SlotRequest
from mallowpond.node.messages import PlaceAnswer, PlaceQuestion, PlaceVerdict
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.slot_admission import (
    ForecastRefusal,
    ModelLine,
    SlotAdmission,
    token_cost,
)
from mallowpond.state.admission import expected_wait
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec
from mallowpond.state.group_pace import LeastUrgent, PaceChange
from mallowpond.state.placement_queue import MAX_WAITING, PlacementQueue, QueueEntry

log = structlog.get_logger()

# Interval at which the workspaces that wait are logged, in seconds.
LOG_SECONDS = 2.0
# Longest time that a stream waits in the queue, in seconds: an upper bound on the
# patience that a host may request.
MAX_PATIENCE_SECONDS = 60.0
# Maximum number of queued requests that are tried for a free slot: the first one may
# avoid exactly the groups that have free slots.
MAX_TRIED_REQUESTS = 4
# Longest time that a stream waits for a group on pace while only groups that would
# serve it late have free slots, in seconds, and the share of its patience.
LATE_WAIT_SECONDS = 0.25
LATE_WAIT_SHARE = 0.25

ServedModel = tuple[EngineProfile, ModelSpec]
QueueKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class RequestId:
    """Identifies a slot request: the host that sent it and a number unique there."""

    node: str
    number: int


class Dispatcher:
    """Grants slots and queues requests for them while this host is the dispatcher.

    It answers the requests of other hosts by message, and those of its own host through
    `request_slot` and `on_own_answer`.
    """

    def __init__(
        self,
        *,
        name: str,
        peers: PeerNetwork,
        directory: Directory,
        selector: GroupSelector,
        clock: Clock,
        find_model: Callable[[str, str], ServedModel | None],
        is_dispatcher: Callable[[], bool],
        admission: SlotAdmission | None = None,
    ) -> None:
        self._name = name
        self._peers = peers
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._find_model = find_model
        self._is_dispatcher = is_dispatcher
        # Decides by a forecast of the slots; None unless slots are contested.
        self._admission = admission
        self._queues: dict[QueueKey, PlacementQueue[RequestId]] = {}
        # The queued requests.
        self._requests: dict[RequestId, SlotRequest] = {}
        # Their entries, kept where slots are contested.
        self._entries: dict[RequestId, QueueEntry] = {}
        # Grants by host since this process started; they number the grants.
        self._grant_counts: Counter[str] = Counter()
        self._least_urgent: dict[QueueKey, LeastUrgent] = defaultdict(LeastUrgent)
        self._logged_at = float("-inf")
        # Called with answers to this host's own requests that had to wait.
        self.on_own_answer: list[Callable[[PlaceAnswer], None]] = []
        peers.on_place_question.append(self._on_place_question)
        directory.loads.paces.on_change.append(self._log_pace)

    def _on_place_question(self, question: PlaceQuestion) -> None:
        """Answer another host's request; ignore it unless this host dispatches."""
        served = self._find_model(question.service, question.model)
        if served is None or not self._is_dispatcher():
            return
        profile, model = served
        now = self._clock.now()
        request = SlotRequest(
            service=question.service,
            profile=profile,
            model=model,
            prompt_tokens=float(question.prompt_tokens),
            objective=question.objective,
            avoided=frozenset(question.avoided),
            gap_objective=question.gap_objective,
            fingerprint=question.fingerprint,
            answer_tokens=float(question.answer_tokens),
            ends_at=now + question.seconds_left if question.seconds_left else inf,
        )
        entry = QueueEntry(
            priority=question.priority,
            objective_deadline=now + question.on_time,
            queued_at=now,
            deadline=now + min(question.patience, MAX_PATIENCE_SECONDS),
            has_begun=question.has_begun,
            workspace=question.workspace,
            tokens=token_cost(question.prompt_tokens, question.answer_tokens),
        )
        request_id = RequestId(node=question.node, number=question.number)
        self._send(request_id, self.request_slot(request_id, request, entry))

    def request_slot(
        self, request_id: RequestId, request: SlotRequest, entry: QueueEntry
    ) -> PlaceAnswer:
        """Grant a slot now, queue the request, or refuse it.

        It is refused when the expected wait exceeds its patience or the queue is full.
        A request that is queued already keeps its position.
        """
        key = (request.service, request.model.name)
        if key not in self._queues:
            is_contested = self._admission is not None
            self._queues[key] = PlacementQueue(on_time_first=is_contested)
        queue = self._queues[key]
        if request_id not in queue:
            queue.record_arrival(entry, self._clock.now())
            request = self._with_probe(request, entry)
            if self._admission is not None:
                return self._admit(self._admission, queue, request_id, request, entry)
            group = self._select_now(queue, request, entry)
            if group is not None:
                queue.record_grant(entry)
                return self._grant(request_id, request, group)
            wait = self._expected_wait(queue, request, entry)
            if wait > entry.patience or len(queue) >= MAX_WAITING:
                # A late answer is better than none.
                group = self._select_now(
                    queue, replace(request, accepts_late=True), entry
                )
                if group is not None:
                    queue.record_grant(entry)
                    return self._grant(request_id, request, group)
                return self._answer(request_id, PlaceVerdict.REFUSED, wait=wait)
        queue.add(request_id, entry)
        self._requests[request_id] = request
        return self._answer(request_id, PlaceVerdict.WAITING)

    def _with_probe(self, request: SlotRequest, entry: QueueEntry) -> SlotRequest:
        """Decide whether a new request may show the pace of a slow group.

        Such a group serves late, so only the least urgent requests do. Others wait for
        a group on pace for a short time.
        """
        if not self._directory.loads.paces.has_slow:
            return request
        now = self._clock.now()
        least = self._least_urgent[(request.service, request.model.name)]
        may_probe = least.may_probe(entry.priority, now) and not entry.has_begun
        return replace(
            request, may_probe=may_probe, accepts_late=self._accepts_late(entry)
        )

    def _accepts_late(self, entry: QueueEntry) -> bool:
        wait = min(LATE_WAIT_SECONDS, LATE_WAIT_SHARE * entry.patience)
        return self._clock.now() - entry.queued_at >= wait

    def _admit(
        self,
        admission: SlotAdmission,
        queue: PlacementQueue[RequestId],
        request_id: RequestId,
        request: SlotRequest,
        entry: QueueEntry,
    ) -> PlaceAnswer:
        """Grant, queue or refuse a new request by the forecast of its model's slots."""
        admission.add_freed()
        line = admission.line(request)
        repeated = line.refused_before(request, request_id)
        if repeated is not None:
            return self._refuse(request_id, repeated)
        entry = line.arrive(request, entry)
        now = self._clock.now()
        may_take = self._may_take_slot(line, entry)
        if may_take and not queue.has_entry_ahead_of(entry, now):
            group = line.select(request)
            if group is not None:
                queue.record_grant(entry)
                return self._grant(request_id, request, group)
        queue.add(request_id, entry)
        refused = line.decide(
            request_id,
            request,
            entry,
            position=queue.position_of(request_id, now),
            waiting=len(queue) - 1,
            is_full=len(queue) > MAX_WAITING,
        )
        if refused is not None:
            queue.discard(request_id)
            return self._refuse(request_id, refused)
        self._requests[request_id] = request
        self._entries[request_id] = entry
        return self._answer(request_id, PlaceVerdict.WAITING)

    def _refuse(self, request_id: RequestId, refused: ForecastRefusal) -> PlaceAnswer:
        return self._answer(
            request_id,
            PlaceVerdict.REFUSED,
            wait=refused.wait,
            retry_after=refused.retry_after,
        )

    def _select_now(
        self, queue: PlacementQueue[RequestId], request: SlotRequest, entry: QueueEntry
    ) -> Group | None:
        """Return a group with a free slot unless a queued request goes first."""
        if queue.has_entry_ahead_of(entry, self._clock.now()):
            return None
        return self._selector.select_exact(request)

    def _expected_wait(
        self, queue: PlacementQueue[RequestId], request: SlotRequest, entry: QueueEntry
    ) -> float:
        groups = self._directory.serving_groups(request.service, request.model.name)
        if not groups:
            # Groups are formed for queued requests, so one may open at any moment.
            return 0.0
        return expected_wait(
            ahead=queue.ahead_of(entry),
            slots=len(groups) * request.profile.slots,
            service_seconds=self._selector.hold_seconds(request.profile, request.model),
        )

    def _log_pace(self, change: PaceChange) -> None:
        """Log that a group turned slow or recovered, with what the hosts observed."""
        if not self._is_dispatcher():
            return
        log.info(
            "pace: changed",
            group=change.key[0],
            epoch=change.key[1],
            slow=change.is_slow,
            slowness=round(change.slowness, 2),
            observed=[round(slowness, 2) for slowness in change.observed],
            age=round(change.age, 3),
        )

    def wake(self) -> None:
        """Grant free slots to queued requests."""
        if self._admission is not None:
            self._wake_by_forecast(self._admission)
            self._log_leads()
            return
        if not self._requests:
            return
        for queue in self._queues.values():
            while len(queue) and self._grant_one(queue):
                pass
        self._log_leads()

    def _log_leads(self) -> None:
        """Log which workspaces wait, if requests name any."""
        now = self._clock.now()
        if now < self._logged_at + LOG_SECONDS:
            return
        self._logged_at = now
        for (service, model), queue in self._queues.items():
            for urgency, leads in queue.leads().items():
                if leads.keys() == {""}:
                    continue
                log.info(
                    "placement: slots contested",
                    service=service,
                    model=model,
                    urgency=urgency,
                    waiting={w: count for w, (count, _) in leads.items()},
                    lead={w: round(lead) for w, (_, lead) in leads.items()},
                )

    def _wake_by_forecast(self, admission: SlotAdmission) -> None:
        """Grant free slots, and refuse queued requests that have lost their chance."""
        admission.add_freed()
        if not self._requests:
            return
        for key, queue in self._queues.items():
            line = admission.known_line(key)
            if line is None or not len(queue):
                continue
            if line.must_review(len(queue)):
                self._review(line, queue)
            while len(queue) and line.may_have_free and self._grant_first(line, queue):
                pass

    def _grant_first(self, line: ModelLine, queue: PlacementQueue[RequestId]) -> bool:
        """Grant a slot to the first queued request that can use it."""
        now = self._clock.now()
        waiting = queue.in_order(now)
        for request_id in list(islice(waiting, MAX_TRIED_REQUESTS)):
            request, entry = self._requests[request_id], self._entries[request_id]
            if entry.deadline <= now:
                line.record_expired()
                self._remove(queue, request_id)
                return True
            if not self._may_take_slot(line, entry):
                continue
            if not request.accepts_late and self._accepts_late(entry):
                request = replace(request, accepts_late=True)
            group = line.select(request)
            if group is not None:
                queue.record_grant(entry)
                self._remove(queue, request_id)
                self._send(request_id, self._grant(request_id, request, group))
                return True
        return False

    def _may_take_slot(self, line: ModelLine, entry: QueueEntry) -> bool:
        """Return whether a stream may take a free slot now.

        A late one leaves some slots to new streams, unless its answer has begun or its
        caller came back when it was told to.
        """
        is_late = entry.objective_deadline <= self._clock.now()
        if not is_late or entry.has_begun or entry.has_place:
            return True
        return line.has_room_for_late()

    def _review(self, line: ModelLine, queue: PlacementQueue[RequestId]) -> None:
        """Refuse the queued requests that cannot be served any more."""
        now = self._clock.now()
        position = 0
        for request_id in list(queue.in_order(now)):
            request, entry = self._requests[request_id], self._entries[request_id]
            if entry.deadline <= now:
                line.record_expired()
                self._remove(queue, request_id)
                continue
            refused = line.decide(
                request_id,
                request,
                entry,
                position=position,
                waiting=len(queue) - 1,
            )
            if refused is None:
                position += 1
                continue
            self._remove(queue, request_id)
            self._send(request_id, self._refuse(request_id, refused))

    def _grant_one(self, queue: PlacementQueue[RequestId]) -> bool:
        for request_id in queue.expired(self._clock.now()):
            self._remove(queue, request_id)
        waiting = queue.in_order(self._clock.now())
        for request_id in list(islice(waiting, MAX_TRIED_REQUESTS)):
            request = self._requests[request_id]
            entry = queue.entry_of(request_id)
            if not request.accepts_late and self._accepts_late(entry):
                request = replace(request, accepts_late=True)
            group = self._selector.select_exact(request)
            if group is not None:
                queue.record_grant(queue.entry_of(request_id))
                self._remove(queue, request_id)
                self._send(request_id, self._grant(request_id, request, group))
                return True
        return False

    def cancel(self, request_id: RequestId) -> None:
        """Remove a request of this host from its queue."""
        for queue in self._queues.values():
            self._remove(queue, request_id)

    def _remove(self, queue: PlacementQueue[RequestId], request_id: RequestId) -> None:
        queue.discard(request_id)
        self._requests.pop(request_id, None)
        self._entries.pop(request_id, None)

    def _grant(
        self, request_id: RequestId, request: SlotRequest, group: Group
    ) -> PlaceAnswer:
        self._grant_counts[request_id.node] += 1
        grant_number = self._grant_counts[request_id.node]
        self._directory.loads.record_grant(
            request_id.node, grant_number, group.key, request.prompt_tokens
        )
        return self._answer(
            request_id,
            PlaceVerdict.GRANTED,
            group=group.name,
            epoch=group.epoch,
            grant_number=grant_number,
        )

    def _answer(
        self, request_id: RequestId, verdict: PlaceVerdict, **more: str | int | float
    ) -> PlaceAnswer:
        return PlaceAnswer(
            node=self._name, number=request_id.number, verdict=verdict, **more
        )

    def _send(self, request_id: RequestId, answer: PlaceAnswer) -> None:
        if request_id.node != self._name:
            self._peers.send_to(answer, (request_id.node,))
            return
        for notify in self.on_own_answer:
            notify(answer)
