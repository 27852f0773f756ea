"""Give places on groups to the streams of all hosts, from one count of them.

The load pattern: many hosts send streams to the same groups, and what each knows of the
others' streams is some tenths of a second old. In a burst, or when all hosts start anew
at once, they send more to a group than it has slots, beside groups with free ones, and
each keeps a waiting line that knows nothing of the others. One host that is asked for
each place counts them exactly. Its word is advice: each host goes by its own view
where no answer comes, and no promise to a caller rests on it.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.group_selector import GroupSelector, Seek
from mallowpond.node.messages import PlaceAnswer, PlaceQuestion, PlaceVerdict
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.admission import expected_wait
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec
from mallowpond.state.placement_queue import MAX_WAITING, PlacementQueue, QueueEntry

# Longest time that a stream waits in the line, in seconds, whatever its asker says.
MOST_PATIENCE_SECONDS = 60.0
# Waiting streams that are tried where the first finds no place, at most: it may avoid
# the very groups that have one.
TRIED_STREAMS = 4

ServedModel = tuple[EngineProfile, ModelSpec]
Line = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class Asker:
    """Name one question of one host."""

    node: str
    number: int


class Dispatcher:
    """Answer questions for places while this host is the one that is asked."""

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
    ) -> None:
        self._name = name
        self._peers = peers
        self._directory = directory
        self._choice = selector
        self._clock = clock
        self._find_model = find_model
        self._is_dispatcher = is_dispatcher
        self._lines: dict[Line, PlacementQueue[Asker]] = {}
        # What each stream that waits looks for.
        self._seeks: dict[Asker, Seek] = {}
        self._granted: Counter[str] = Counter()
        # Called with the answers to this host's own questions.
        self.on_own_answer: list[Callable[[PlaceAnswer], None]] = []
        peers.on_place_question.append(self._hear)

    def _hear(self, question: PlaceQuestion) -> None:
        """Answer another host, if this one hears of all work; else it asks in vain."""
        shape = self._find_model(question.service, question.model)
        if shape is None or not self._is_dispatcher():
            return
        profile, model = shape
        now = self._clock.now()
        seek = Seek(
            service=question.service,
            profile=profile,
            model=model,
            prompt_tokens=float(question.prompt_tokens),
            objective=question.objective,
            avoided=frozenset(question.avoided),
        )
        claim = QueueEntry(
            priority=question.priority,
            objective_deadline=now + question.on_time,
            queued_at=now,
            deadline=now + min(question.patience, MOST_PATIENCE_SECONDS),
            has_begun=question.has_begun,
        )
        asker = Asker(node=question.node, number=question.number)
        self._tell(asker, self.ask(asker, seek, claim))

    def ask(self, asker: Asker, seek: Seek, claim: QueueEntry) -> PlaceAnswer:
        """Give a place, let a stream wait for one, or say that none comes in time."""
        line = self._lines.setdefault((seek.service, seek.model.name), PlacementQueue())
        if asker not in line:
            group = self._place_now(line, seek, claim)
            if group is not None:
                return self._grant(asker, seek, group)
            wait = self._expected_wait(line, seek, claim)
            if wait > claim.patience or len(line) >= MAX_WAITING:
                return self._answer(asker, PlaceVerdict.REFUSED, wait=wait)
        line.add(asker, claim)
        self._seeks[asker] = seek
        return self._answer(asker, PlaceVerdict.WAITING)

    def _place_now(
        self, line: PlacementQueue[Asker], seek: Seek, claim: QueueEntry
    ) -> Group | None:
        """Return a group for a new stream unless another one goes before it."""
        if line.has_entry_ahead_of(claim, self._clock.now()):
            return None
        return self._choice.exact(seek)

    def _expected_wait(
        self, line: PlacementQueue[Asker], seek: Seek, claim: QueueEntry
    ) -> float:
        groups = self._directory.serving_groups(seek.service, seek.model.name)
        if not groups:
            # One may open at any moment, as groups are formed for what waits.
            return 0.0
        return expected_wait(
            ahead=line.ahead_of(claim),
            slots=len(groups) * seek.profile.slots,
            service_seconds=self._choice.hold_seconds(seek.profile, seek.model),
        )

    def wake(self) -> None:
        """Give places that are free to those that wait."""
        if not self._seeks:
            return
        for line in self._lines.values():
            while len(line) and self._give_one(line):
                pass

    def _give_one(self, line: PlacementQueue[Asker]) -> bool:
        for asker in line.expired(self._clock.now()):
            self._drop(line, asker)
        waiting = line.in_order(self._clock.now())
        for asker in list(islice(waiting, TRIED_STREAMS)):
            seek = self._seeks[asker]
            group = self._choice.exact(seek)
            if group is not None:
                self._drop(line, asker)
                self._tell(asker, self._grant(asker, seek, group))
                return True
        return False

    def leave(self, asker: Asker) -> None:
        """Take a stream of this host out of the line."""
        for line in self._lines.values():
            self._drop(line, asker)

    def _drop(self, line: PlacementQueue[Asker], asker: Asker) -> None:
        line.discard(asker)
        self._seeks.pop(asker, None)

    def _grant(self, asker: Asker, seek: Seek, group: Group) -> PlaceAnswer:
        self._granted[asker.node] += 1
        grant_number = self._granted[asker.node]
        self._directory.loads.note_grant(
            asker.node, grant_number, group.key, seek.prompt_tokens
        )
        return self._answer(
            asker,
            PlaceVerdict.GRANTED,
            group=group.name,
            epoch=group.epoch,
            grant_number=grant_number,
        )

    def _answer(
        self, asker: Asker, verdict: PlaceVerdict, **more: str | int | float
    ) -> PlaceAnswer:
        return PlaceAnswer(
            node=self._name, number=asker.number, verdict=verdict, **more
        )

    def _tell(self, asker: Asker, answer: PlaceAnswer) -> None:
        if asker.node != self._name:
            self._peers.send_to(answer, (asker.node,))
            return
        for notify in self.on_own_answer:
            notify(answer)
