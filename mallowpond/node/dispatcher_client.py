"""Ask the dispatcher for the place of a stream, and do without where it is silent."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Asker, Dispatcher
from mallowpond.node.group_selector import Seek
from mallowpond.node.messages import PlaceAnswer, PlaceQuestion, PlaceVerdict
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.fleet import Group, GroupPhase
from mallowpond.state.placement_queue import QueueEntry

log = structlog.get_logger()

# Time within which the dispatcher answers, in seconds: a datagram each way and some
# turns of a busy host's loop, in a small part of any objective.
ANSWER_SECONDS = 0.03
# Time for which a dispatcher that did not answer is not asked, in seconds: each stream
# that asks it in vain comes later by the time above.
SILENT_SECONDS = 0.5
# Pause after which a stream that waits asks again, in seconds: its answer may be lost,
# or the dispatcher gone.
RENEW_SECONDS = 0.3
# Places in a row that this host cannot use, as it knows better of those groups.
MOST_UNUSABLE = 2


@dataclass(frozen=True, kw_only=True)
class Placed:
    """The stream goes to this group."""

    group: Group


@dataclass(frozen=True, kw_only=True)
class TurnedAway:
    """There is no place in time; one would come after about `wait` seconds."""

    wait: float


@dataclass(frozen=True, kw_only=True)
class WaitedInVain:
    """No place came while the stream waited, or this host ends its waits."""


PlaceOutcome = Placed | TurnedAway | WaitedInVain


class DispatcherClient:
    """Ask for the places of this host's streams."""

    def __init__(
        self,
        *,
        name: str,
        peers: PeerNetwork,
        directory: Directory,
        dispatcher: Dispatcher,
        clock: Clock,
        dispatching_host: Callable[[], str | None],
    ) -> None:
        self._name = name
        self._peers = peers
        self._directory = directory
        self._dispatcher = dispatcher
        self._clock = clock
        self._dispatching_host = dispatching_host
        self._number = 0
        self._answers: dict[int, asyncio.Queue[PlaceAnswer]] = {}
        self._silent_until = float("-inf")
        self._ends_waits = False
        # The last place that the dispatcher gave, of which peers are told.
        self.grant_number = 0
        # Called when a place was given that no stream takes any more.
        self.on_unused_grant: list[Callable[[], None]] = []
        peers.on_place_answer.append(self._hear)
        dispatcher.on_own_answer.append(self._hear)

    def end_waits(self) -> None:
        """Tell all that wait that no place will come."""
        self._ends_waits = True
        for number, answers in self._answers.items():
            refused = PlaceAnswer(
                node=self._name, number=number, verdict=PlaceVerdict.REFUSED
            )
            answers.put_nowait(refused)

    async def ask(self, seek: Seek, claim: QueueEntry) -> PlaceOutcome | None:
        """Return what the dispatcher says in time, None if it does not answer."""
        self._number += 1
        asker = Asker(node=self._name, number=self._number)
        self._answers[asker.number] = asyncio.Queue()
        try:
            return await self._ask(asker, seek, claim)
        finally:
            del self._answers[asker.number]
            self._dispatcher.leave(asker)

    async def _ask(
        self, asker: Asker, seek: Seek, claim: QueueEntry
    ) -> PlaceOutcome | None:
        unusable = 0
        while unusable < MOST_UNUSABLE:
            answer = await self._question(asker, seek, claim)
            if answer is not None and answer.verdict is PlaceVerdict.WAITING:
                answer = await self._wait(asker, claim)
                if answer is None:
                    left = claim.deadline - self._clock.now()
                    if left <= 0.0:
                        return WaitedInVain()
                    continue
            if answer is None:
                return None
            if self._ends_waits:
                return WaitedInVain()
            if answer.verdict is PlaceVerdict.REFUSED:
                return TurnedAway(wait=answer.wait)
            group = self._usable(answer, seek)
            if group is not None:
                return Placed(group=group)
            unusable += 1
            self.give_back()
        return None

    async def _question(
        self, asker: Asker, seek: Seek, claim: QueueEntry
    ) -> PlaceAnswer | None:
        """Ask once and return the first answer, None if there is none."""
        host = self._dispatching_host()
        if host == self._name:
            answer = self._dispatcher.ask(asker, self._with_avoided(seek), claim)
            self._note_granted(answer)
            return answer
        now = self._clock.now()
        if host is None or now < self._silent_until:
            return None
        question = PlaceQuestion(
            node=self._name,
            number=asker.number,
            service=seek.service,
            model=seek.model.name,
            prompt_tokens=round(seek.prompt_tokens),
            objective=seek.objective,
            on_time=max(0.0, claim.objective_deadline - now),
            patience=claim.deadline - now,
            priority=claim.priority,
            has_begun=claim.has_begun,
            avoided=tuple(sorted(self._with_avoided(seek).avoided)),
        )
        self._peers.send_to(question, (host,))
        answer = await self._next_answer(asker, ANSWER_SECONDS)
        if answer is None:
            self._silent_until = now + SILENT_SECONDS
            log.info("places: dispatcher silent", dispatcher=host)
        return answer

    def _with_avoided(self, seek: Seek) -> Seek:
        """Add the groups that only this host knows to be out of use."""
        serving = self._directory.serving_groups(seek.service, seek.model.name)
        usable = {group.name for group in serving}
        known = {
            group.name
            for group in self._directory.groups.values()
            if group.model == seek.model.name and group.phase is GroupPhase.OPEN
        }
        return seek.without(known - usable)

    async def _wait(self, asker: Asker, claim: QueueEntry) -> PlaceAnswer | None:
        left = claim.deadline - self._clock.now()
        return await self._next_answer(asker, min(left, RENEW_SECONDS))

    async def _next_answer(self, asker: Asker, seconds: float) -> PlaceAnswer | None:
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                answer = await self._answers[asker.number].get()
        except TimeoutError:
            return None
        self._note_granted(answer)
        return answer

    def _note_granted(self, answer: PlaceAnswer) -> None:
        if answer.verdict is not PlaceVerdict.GRANTED:
            return
        if answer.node == self._name:
            # The stream is counted by itself before anything else is chosen.
            self._directory.loads.note_taken(self._name, answer.grant_number)
        else:
            self.grant_number = answer.grant_number

    def _usable(self, answer: PlaceAnswer, seek: Seek) -> Group | None:
        """Return the group that was named, None if this host would not use it."""
        groups = self._directory.serving_groups(seek.service, seek.model.name)
        key = (answer.group, answer.epoch)
        named = (group for group in groups if group.key == key)
        return next((g for g in named if g.name not in seek.avoided), None)

    def _hear(self, answer: PlaceAnswer) -> None:
        waiting = self._answers.get(answer.number)
        if waiting is not None:
            waiting.put_nowait(answer)
            return
        if answer.verdict is PlaceVerdict.GRANTED:
            self._note_granted(answer)
            self.give_back()

    def give_back(self) -> None:
        """Tell that a place was given which no stream takes."""
        for notify in self.on_unused_grant:
            notify()
