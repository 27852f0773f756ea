"""Request slots from the dispatcher for the streams of this host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import isfinite

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Dispatcher, RequestId
from mallowpond.node.group_selector import SlotRequest
from mallowpond.node.messages import PlaceAnswer, PlaceQuestion, PlaceVerdict
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.fleet import Group, GroupPhase
from mallowpond.state.placement_queue import QueueEntry

log = structlog.get_logger()

# Timeout of the dispatcher's first answer, in seconds: a datagram each way and some
# iterations of a busy host's event loop; a small part of any objective.
ANSWER_TIMEOUT_SECONDS = 0.03
# Time for which a dispatcher that did not answer gets no requests, in seconds: each
# unanswered request delays its stream by the timeout above.
UNRESPONSIVE_SECONDS = 0.5
# Interval at which a queued request is sent again, in seconds: its answer may be lost,
# or the dispatcher gone.
RENEW_SECONDS = 0.3
# Maximum number of grants for one stream that this host cannot use, as it has newer
# information on those groups; then it places the stream by its own view.
MAX_UNUSABLE_GRANTS = 2


@dataclass(frozen=True, kw_only=True)
class Placed:
    """The stream goes to this group."""

    group: Group


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """No slot comes free in time; the expected wait is `wait` seconds.

    The caller comes back after `retry_after` seconds; if that is 0, this host decides.
    """

    wait: float
    retry_after: float = 0.0


@dataclass(frozen=True, kw_only=True)
class WaitEnded:
    """No slot was granted before the deadline, or this host ended all waits."""


PlacementOutcome = Placed | Rejected | WaitEnded


class DispatcherClient:
    """Requests slots for this host's streams from the dispatcher."""

    def __init__(
        self,
        *,
        name: str,
        peers: PeerNetwork,
        directory: Directory,
        dispatcher: Dispatcher,
        clock: Clock,
        dispatching_host: Callable[[], str | None],
        contested_slots: bool = False,
    ) -> None:
        self._name = name
        self._peers = peers
        self._directory = directory
        self._dispatcher = dispatcher
        self._clock = clock
        self._dispatching_host = dispatching_host
        self._contested_slots = contested_slots
        self._last_number = 0
        self._answers: dict[int, asyncio.Queue[PlaceAnswer]] = {}
        # The requests in `_answers` whose streams have not begun.
        self._new_requests: dict[int, SlotRequest] = {}
        self._unresponsive_until = float("-inf")
        self._are_waits_ended = False
        # Number of the latest grant, published with this host's loads.
        self.grant_number = 0
        # Called when a granted slot is not used.
        self.on_unused_grant: list[Callable[[], None]] = []
        peers.on_place_answer.append(self._on_answer)
        dispatcher.on_own_answer.append(self._on_answer)

    def end_waits(self) -> None:
        """End the waits of all streams without a slot; later answers grant none."""
        self._are_waits_ended = True
        for number in self._answers:
            self._reject(number)

    def reject_new(self, service: str, model: str) -> None:
        """End the waits for a model of streams that have not begun."""
        for number, request in self._new_requests.items():
            if request.service == service and request.model.name == model:
                self._reject(number)

    def _reject(self, number: int) -> None:
        refused = PlaceAnswer(
            node=self._name, number=number, verdict=PlaceVerdict.REFUSED
        )
        self._answers[number].put_nowait(refused)

    async def request_slot(
        self,
        request: SlotRequest,
        entry: QueueEntry,
        unavailable: Callable[[], frozenset[str]] = frozenset,
    ) -> PlacementOutcome | None:
        """Request a slot and wait for it until the entry's deadline.

        `unavailable` returns the names of more groups to avoid. It is asked anew each
        time that the request is sent, as a group that must wait for its next request
        may be the first one to become free.
        Return None when the caller has to place the stream by its own view: there is
        no dispatcher, it does not answer, or its grants are unusable here.
        """
        self._last_number += 1
        request_id = RequestId(node=self._name, number=self._last_number)
        self._answers[request_id.number] = asyncio.Queue()
        if not entry.has_begun:
            self._new_requests[request_id.number] = request
        try:
            return await self._request(request_id, request, entry, unavailable)
        finally:
            self._release_unread(self._answers.pop(request_id.number))
            self._new_requests.pop(request_id.number, None)
            self._dispatcher.cancel(request_id)

    def _release_unread(self, answers: asyncio.Queue[PlaceAnswer]) -> None:
        """Release the slots of grants that arrived as their wait ended."""
        while not answers.empty():
            answer = answers.get_nowait()
            if answer.verdict is PlaceVerdict.GRANTED:
                self._record_grant(answer)
                self.release_grant()

    async def _request(
        self,
        request_id: RequestId,
        request: SlotRequest,
        entry: QueueEntry,
        unavailable: Callable[[], frozenset[str]],
    ) -> PlacementOutcome | None:
        unusable = 0
        while unusable < MAX_UNUSABLE_GRANTS:
            asked = request.without(unavailable())
            answer = await self._query(request_id, asked, entry)
            if answer is not None and answer.verdict is PlaceVerdict.WAITING:
                answer = await self._wait(request_id, entry)
                if answer is None:
                    left = entry.deadline - self._clock.now()
                    if left <= 0.0:
                        return WaitEnded()
                    continue
            if answer is None:
                return None
            if self._are_waits_ended:
                if answer.verdict is PlaceVerdict.GRANTED:
                    self.release_grant()
                return WaitEnded()
            if answer.verdict is PlaceVerdict.REFUSED:
                return Rejected(wait=answer.wait, retry_after=answer.retry_after)
            group = self._find_usable(answer, request)
            if group is not None:
                return Placed(group=group)
            unusable += 1
            self.release_grant()
        return None

    async def _query(
        self, request_id: RequestId, request: SlotRequest, entry: QueueEntry
    ) -> PlaceAnswer | None:
        """Send the request once and return the first answer, None on a timeout."""
        host = self._dispatching_host()
        if host == self._name:
            answer = self._dispatcher.request_slot(
                request_id, self._with_avoided(request), entry
            )
            self._record_grant(answer)
            return answer
        now = self._clock.now()
        if host is None or now < self._unresponsive_until:
            return None
        question = PlaceQuestion(
            node=self._name,
            number=request_id.number,
            service=request.service,
            model=request.model.name,
            prompt_tokens=round(request.prompt_tokens),
            objective=request.objective,
            on_time=max(0.0, entry.objective_deadline - now),
            patience=entry.deadline - now,
            priority=entry.priority,
            has_begun=entry.has_begun,
            avoided=tuple(sorted(self._with_avoided(request).avoided)),
            gap_objective=self._told_gap(request),
        )
        if self._contested_slots:
            left = max(0.0, request.ends_at - now)
            question = replace(
                question,
                fingerprint=request.fingerprint,
                seconds_left=left if isfinite(left) else 0.0,
                answer_tokens=round(request.answer_tokens),
                workspace=entry.workspace,
            )
        self._peers.send_to(question, (host,))
        answer = await self._next_answer(request_id, ANSWER_TIMEOUT_SECONDS)
        if answer is None:
            self._unresponsive_until = now + UNRESPONSIVE_SECONDS
            log.info("placement: dispatcher unresponsive", dispatcher=host)
        return answer

    def _told_gap(self, request: SlotRequest) -> float:
        """Return the gap objective if it may matter: else datagrams stay as they were.

        It matters where a group may be slow, and where slots are contested, which
        requests with a fingerprint show.
        """
        matters = request.fingerprint or self._directory.loads.paces.has_slow
        return request.gap_objective if matters else 0.0

    def _with_avoided(self, request: SlotRequest) -> SlotRequest:
        """Add the open groups that this host knows not to be usable."""
        serving = self._directory.serving_groups(request.service, request.model.name)
        usable = {group.name for group in serving}
        known = {
            group.name
            for group in self._directory.groups.values()
            if group.model == request.model.name and group.phase is GroupPhase.OPEN
        }
        return request.without(known - usable)

    async def _wait(
        self, request_id: RequestId, entry: QueueEntry
    ) -> PlaceAnswer | None:
        left = entry.deadline - self._clock.now()
        return await self._next_answer(request_id, min(left, RENEW_SECONDS))

    async def _next_answer(
        self, request_id: RequestId, seconds: float
    ) -> PlaceAnswer | None:
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                answer = await self._answers[request_id.number].get()
        except TimeoutError:
            return None
        self._record_grant(answer)
        return answer

    def _record_grant(self, answer: PlaceAnswer) -> None:
        if answer.verdict is not PlaceVerdict.GRANTED:
            return
        if answer.node == self._name:
            # This host counts the stream itself before it selects another group.
            self._directory.loads.settle_grants(self._name, answer.grant_number)
        else:
            self.grant_number = answer.grant_number

    def _find_usable(self, answer: PlaceAnswer, request: SlotRequest) -> Group | None:
        """Return the granted group, None if this host would not use it."""
        groups = self._directory.serving_groups(request.service, request.model.name)
        key = (answer.group, answer.epoch)
        named = (group for group in groups if group.key == key)
        return next((g for g in named if g.name not in request.avoided), None)

    def _on_answer(self, answer: PlaceAnswer) -> None:
        answers = self._answers.get(answer.number)
        if answers is not None:
            answers.put_nowait(answer)
            return
        if answer.verdict is PlaceVerdict.GRANTED:
            self._record_grant(answer)
            self.release_grant()

    def release_grant(self) -> None:
        """Report that a granted slot is not used."""
        for notify in self.on_unused_grant:
            notify()
