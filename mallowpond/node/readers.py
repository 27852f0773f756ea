"""Elect a few hosts that read the store and broadcast what they find.

If every host reads the configuration and the list of targets several times a second, a
fleet of 70 makes 212 calls a second to the store, most of them for the same changes.
Instead, two readers poll the store for the whole fleet. The other hosts, the followers,
apply their broadcasts, and read the store themselves as soon as these stop or a change
is missed. The second reader is the standby.
"""

import asyncio
import zlib
from collections.abc import Callable
from math import ceil, isinf

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.tasks import sleep_until_event
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.directory import Directory
from mallowpond.node.fanout import MAX_PARTS, Fanout, PartCollector
from mallowpond.node.messages import (
    Digest,
    Heartbeat,
    ListChange,
    VersionAnswer,
    VersionQuestion,
    Work,
    decode_loads,
    decode_paces,
    encode_loads,
)
from mallowpond.node.peer_loads import LoadsByGroup
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import TargetsRead
from mallowpond.node.store_era import KnownEra
from mallowpond.state.ownership import ranked_by_capacity
from mallowpond.state.revision import era_of

log = structlog.get_logger()

# Number of readers. With a single one, its failure would leave the other hosts on their
# own until its missing heartbeats are noticed. The first reader is also the next to
# plan.
READER_COUNT = 2
READERS_KEY = "planner"
# Number of candidates, the hosts that read or may be next to read or plan: their
# failure must be detected soon. The planner is a candidate too, whatever its rank.
CANDIDATE_COUNT = 4
# Interval between digests, and between reports of a host's load to the readers, in
# seconds: a few passes of a group, at a small share of a host's link.
DIGEST_SECONDS = 0.2
# The standby reader of a large fleet sends a digest every this many intervals: well
# within the silence after which a host reads the store itself.
STANDBY_TURNS = 2
# A host sends an unchanged load every this many intervals: within the silence after
# which it is not chosen as relay. In a fleet of 195, most hosts have no work in most
# intervals.
UNCHANGED_WORK_TURNS = 3
# Targets in one datagram of a list change: about 7 KB.
MAX_TARGETS_PER_PART = 60
# Time for which the ranking of the hosts is cached unless the state of one changes, in
# seconds: it is needed for each message.
RANKING_SECONDS = 0.3


class Readers:
    """Election of the readers, and this host's work as a reader or follower.

    All hosts rank the live peers in the same way, so they agree on the readers without
    an exchange of messages: the first `READER_COUNT` hosts that reach the store. A
    reader broadcasts digests and changes of the list; a follower applies them to its
    configuration and directory, and in a large fleet sends its load to the readers.
    """

    def __init__(
        self,
        *,
        name: str,
        peers: PeerNetwork,
        configuration: ConfigurationFollower,
        directory: Directory,
        clock: Clock,
        is_stopping: Callable[[], bool],
        is_planning: Callable[[], bool],
        fanout: Fanout,
        cores: float = 0.0,
        era: KnownEra | None = None,
    ) -> None:
        self._name = name
        self._fanout = fanout
        self._cores = cores
        self._era = era or KnownEra()
        self._ranking: list[str] = []
        self._ranked_at = float("-inf")
        self._ranked_for: tuple[bool, bool] | None = None
        self._peer_states: dict[str, tuple[bool, bool]] = {}
        self._parts = PartCollector()
        self._is_planning = is_planning
        self._peers = peers
        self._configuration = configuration
        self._directory = directory
        self._clock = clock
        self._is_stopping = is_stopping
        self._acts_as_reader = False
        self._turn = 0
        self._work_turn = 0
        self._last_sent_work: LoadsByGroup = {}
        self._was_store_reached = True
        # Last question of each host since the store was restored, while it confirms no
        # version.
        self._unconfirmed_questions: dict[str, VersionQuestion] = {}
        # Returns the number of the last slot granted to this host whose stream its
        # load includes.
        self.grant_number: Callable[[], int] = lambda: 0
        self.after_digest: list[Callable[[], None]] = []
        configuration.is_reader = lambda: self.is_reader
        configuration.is_standby = lambda: self.is_standby
        configuration.host_count = lambda: self._peers.host_count
        configuration.host_share = zlib.crc32(name.encode()) / 2.0**32
        configuration.ask_readers = self._ask_reader
        configuration.on_era_confirmed.append(self._answer_again)
        # Set when a digest is due as this host has read the store.
        self._has_read = asyncio.Event()
        configuration.on_read.append(self._has_read.set)
        directory.is_reader = lambda: self.is_reader
        configuration.should_retry_often = lambda: self.should_retry_often
        directory.should_retry_often = lambda: self.should_retry_often
        directory.is_standby = lambda: self.is_standby
        directory.on_change_read.append(self._broadcast_change)
        peers.on_heartbeat.append(self._on_heartbeat)
        peers.on_digest.append(self._on_digest)
        peers.on_list_change.append(self._on_list_change)
        peers.on_work.append(self._on_work)
        peers.on_version_question.append(self._on_version_question)
        peers.on_version_answer.append(self._on_version_answer)

    @property
    def names(self) -> list[str]:
        """Return the names of the current readers, the first one first."""
        return self._ranked()[:READER_COUNT]

    def _ranked(self) -> list[str]:
        """Return the hosts that reach the store, in the order of preference."""
        now = self._clock.now()
        own = (self._configuration.is_store_reachable, self._is_stopping())
        if own != self._ranked_for or now - self._ranked_at > RANKING_SECONDS:
            self._ranking = self._rank(*own)
            self._ranked_at, self._ranked_for = now, own
        return self._ranking

    def _rank(self, is_store_reachable: bool, is_stopping: bool) -> list[str]:
        heartbeats = [p.heartbeat for p in self._peers.live]
        cores = {h.node: h.cores for h in heartbeats if h.store and not h.stopping}
        if is_store_reachable and not is_stopping:
            cores[self._name] = self._cores
        return ranked_by_capacity(READERS_KEY, cores)

    @property
    def is_reader(self) -> bool:
        """Return whether this host should read the store."""
        names = self.names
        return not names or self._name in names

    @property
    def is_standby(self) -> bool:
        """Return whether this host is a reader, but not the first one."""
        return self._name in self.names[1:]

    @property
    def top_ranked_peers(self) -> list[str]:
        """Return the other hosts that would be readers if all reached the store."""
        ranked = self._rank_all()
        return [name for name in ranked if name != self._name][:READER_COUNT]

    @property
    def dispatcher(self) -> str:
        """Return the host that grants the slots of all groups, see `Dispatcher`.

        This is the first reader, as it gets the load of all hosts. While no host
        reaches the store, it is the one that would be the first reader.
        """
        names = self.names or self._rank_all()
        return names[0]

    @property
    def should_retry_often(self) -> bool:
        """Return whether this host should retry the store often after a failure.

        While no host reaches it, only two hosts retry often, as the calls of a whole
        fleet would all be refused. A host that the store rejects while it serves others
        must retry for itself.
        """
        if self._ranked():
            return True
        return self._name in self._rank_all()[:READER_COUNT]

    def _rank_all(self) -> list[str]:
        """Rank all live hosts, whether they reach the store or not."""
        cores = {p.heartbeat.node: p.heartbeat.cores for p in self._peers.live}
        cores[self._name] = self._cores
        return ranked_by_capacity(READERS_KEY, cores)

    async def run(self) -> None:
        """Send digests as a reader, or loads as a follower, until cancelled."""
        while True:
            self.step()
            self._has_read.clear()
            await sleep_until_event(self._clock, DIGEST_SECONDS, self._has_read)

    def step(self) -> None:
        """Update this host's role, and send its digest or load once if due."""
        candidates = self._ranked()[:CANDIDATE_COUNT]
        self._peers.is_candidate = self._name in candidates or self._is_planning()
        self._peers.candidates = frozenset(candidates) - {self._name}
        if self.is_reader != self._acts_as_reader:
            self._acts_as_reader = not self._acts_as_reader
            log.info(
                "readers: changed",
                reads=self._acts_as_reader,
                readers=self.names,
                confirmed_age=self._configuration.confirmation_age,
            )
        if not self._acts_as_reader:
            if self._peers.is_large_fleet:
                self._publish_work()
            return
        known = self._configuration.configuration
        if known is None or self._directory.is_list_lost:
            return
        self._turn += 1
        if (
            self.is_standby
            and self._peers.is_large_fleet
            and self._turn % STANDBY_TURNS
            and not self._has_read.is_set()
        ):
            return
        # Only the first reader sends the loads; both would send twice the bytes.
        is_first = self.names[:1] == [self._name]
        loads = (
            self._directory.loads.all_loads(self._directory.groups)
            if self._peers.is_large_fleet and is_first
            else {}
        )
        self._fanout.broadcast(
            Digest(
                node=self._name,
                version=known.version,
                last_change=self._directory.last_change,
                loads=encode_loads(loads, self._directory.loads.all_paces(loads)),
                evacuations=self._configuration.evacuations.to_share,
                read_at=self._configuration.own_read_at,
            )
        )

    def _publish_work(self) -> None:
        loads = self._directory.loads.own_loads()
        self._work_turn += 1
        has_slow = bool(self._directory.loads.own_paces())
        if (
            loads == self._last_sent_work
            and not has_slow
            and self._work_turn % UNCHANGED_WORK_TURNS
        ):
            return
        self._last_sent_work = loads
        self._directory.loads.record_published(loads)
        self._send_work(loads, {*self.names, self.dispatcher})

    def send_work_to_dispatcher(self) -> None:
        """Send this host's load to the dispatcher at once."""
        host = self.dispatcher
        if host == self._name:
            return
        loads = self._directory.loads.own_loads()
        if self._peers.is_large_fleet and host in self.names[:1]:
            self._last_sent_work = loads
            self._directory.loads.record_published(loads)
        self._send_work(loads, {host})

    def _send_work(self, loads: LoadsByGroup, hosts: set[str]) -> None:
        work = Work(
            node=self._name,
            loads=encode_loads(loads, self._directory.loads.own_paces()),
            grant_number=self.grant_number(),
        )
        self._peers.send_to(work, hosts - {self._name})

    # -- the list of targets -------------------------------------------------

    def _broadcast_change(self, read: TargetsRead, previous: int) -> None:
        if not self._acts_as_reader:
            return
        for change in self._split(read, previous):
            self._fanout.broadcast(change)

    def _split(self, read: TargetsRead, previous: int) -> list[ListChange]:
        """Return a list change in parts; none if it needs too many of them."""
        size = max(map(len, (read.targets, read.removed, read.unreadable)))
        parts = max(1, ceil(size / MAX_TARGETS_PER_PART))
        if parts > MAX_PARTS:
            return []
        slices = [
            slice(number * MAX_TARGETS_PER_PART, (number + 1) * MAX_TARGETS_PER_PART)
            for number in range(parts)
        ]
        return [
            ListChange(
                node=self._name,
                previous=previous,
                revision=read.revision,
                targets=read.targets[indices],
                removed=read.removed[indices],
                unreadable=read.unreadable[indices],
                part=number,
                parts=parts,
            )
            for number, indices in enumerate(slices)
        ]

    def _on_list_change(self, change: ListChange) -> None:
        self._fanout.relay(change)
        if change.revision <= self._directory.revision:
            return
        parts = self._parts.add(change, change.revision)
        if parts is None:
            return
        read = TargetsRead(
            revision=change.revision,
            targets=tuple(t for part in parts for t in part.targets),
            removed=tuple(r for part in parts for r in part.removed),
            unreadable=tuple(u for part in parts for u in part.unreadable),
        )
        self._directory.apply_change(read, previous=change.previous)

    def _on_digest(self, digest: Digest) -> None:
        self._fanout.relay(digest)
        if digest.last_change:
            self._era.observe(era_of(digest.last_change), source=digest.node)
        self._configuration.evacuations.apply_received(digest.evacuations)
        self._directory.apply_digest(
            digest.last_change, decode_loads(digest), decode_paces(digest)
        )
        self._configuration.handle_version(digest.version, digest.node)
        self._configuration.handle_peer_read(
            digest.version, digest.read_at, digest.node
        )
        for notify in self.after_digest:
            notify()

    def _on_work(self, work: Work) -> None:
        self._directory.loads.record_peer_loads(
            work.node, decode_loads(work), work.grant_number
        )
        self._directory.loads.record_peer_paces(work.node, decode_paces(work))

    # -- the configuration ---------------------------------------------------

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._configuration.evacuations.apply_received(heartbeat.evacuations)
        self._configuration.handle_version(heartbeat.version, heartbeat.node)
        state = (heartbeat.store, heartbeat.stopping)
        if self._peer_states.get(heartbeat.node) != state:
            self._peer_states[heartbeat.node] = state
            self._ranked_at = float("-inf")
        if heartbeat.sure:
            self._configuration.ask_for_first_confirmation()
        is_store_reached = bool(self._ranked())
        if is_store_reached and not self._was_store_reached:
            self._configuration.handle_store_reachable()
        self._was_store_reached = is_store_reached

    def _ask_reader(self, number: int) -> None:
        question = VersionQuestion(node=self._name, number=number)
        # Readers are asked in turn. If one does not answer, every second question is
        # lost; asking both would double the datagrams of each host.
        names = [name for name in self.names if name != self._name]
        receivers = [names[number % len(names)]] if names else []
        self._peers.send_to(question, receivers)

    def _on_version_question(self, question: VersionQuestion) -> None:
        if not self._configuration.is_era_confirmed:
            self._unconfirmed_questions[question.node] = question
        self._answer(question)

    def _answer_again(self) -> None:
        """Send the hosts that asked too early what they would get only by asking again.

        A host accepts several answers to its last question.
        """
        questions = self._unconfirmed_questions
        self._unconfirmed_questions = {}
        for question in questions.values():
            self._answer(question)

    def _answer(self, question: VersionQuestion) -> None:
        confirmation = self._configuration.confirmation
        if confirmation is None or isinf(confirmation.confirmed_at):
            return
        answer = VersionAnswer(
            node=self._name,
            number=question.number,
            version=confirmation.version,
            age=confirmation.age(self._clock.now()),
            evacuations=self._configuration.evacuations.to_share,
            answered_at=self._configuration.process_time,
        )
        self._peers.send_to(answer, (question.node,))

    def _on_version_answer(self, answer: VersionAnswer) -> None:
        self._configuration.evacuations.apply_received(answer.evacuations)
        self._configuration.handle_answer(
            answer.number,
            answer.version,
            answer.age,
            answer.node,
            answer.answered_at,
        )
