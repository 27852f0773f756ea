"""Let a few hosts read the store, and tell the others.

The load pattern: each host reads the configuration and the list of targets several
times a second, so that a fleet of 70 made 212 calls a second to the store, most of
them for the same news. Two hosts read; the others follow what they tell, and read for
themselves as soon as they hear nothing or miss a change.
"""

from collections.abc import Callable
from math import ceil

import structlog

from mallowpond.coordination.ports import Clock
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
    encode_loads,
)
from mallowpond.node.peer_loads import LoadsByGroup
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.ports import TargetsRead
from mallowpond.state.ownership import ranked_by_capacity

log = structlog.get_logger()

# Hosts that read for all: with one, its death leaves the others to themselves until
# its heartbeats are missed. The first of them is also the next to plan.
READER_COUNT = 2
READERS_KEY = "planner"
# Hosts that may read or plan next: their death has to be noticed soon.
CANDIDATE_COUNT = 4
# Pause between two digests, and between two tellings of work to the readers, in
# seconds: a few passes of a group, in a small part of a host's link.
DIGEST_SECONDS = 0.2
# Turns in which a reader that stands by tells a large fleet once: well within the
# silence after which a host reads for itself.
STANDBY_TURNS = 2
# Turns in which a host tells work that has not changed once: within the silence after
# which it is not asked to tell others on. Most of 195 hosts have no work at most turns.
UNCHANGED_WORK_TURNS = 3
# Targets of a change of the list in one datagram: about 7 KB.
MAX_TARGETS_PER_PART = 60
# Time for which the ranking of the hosts is kept unless one of them changes, in
# seconds: it is asked for at each message.
RANKING_SECONDS = 0.3


class Readers:
    """Choose the hosts that read, tell as one of them, or listen to them."""

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
    ) -> None:
        self._name = name
        self._fanout = fanout
        self._cores = cores
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
        # The last place that this host was given, which its work holds.
        self.grant_number: Callable[[], int] = lambda: 0
        self.after_digest: list[Callable[[], None]] = []
        configuration.is_reader = lambda: self.is_reader
        configuration.ask_readers = self._ask_reader
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
        """Return the hosts that read now."""
        return self._ranked()[:READER_COUNT]

    def _ranked(self) -> list[str]:
        """Return the hosts that can read, the first to do so first."""
        now = self._clock.now()
        own = (self._configuration.is_store_reachable, self._is_stopping())
        if own != self._ranked_for or now - self._ranked_at > RANKING_SECONDS:
            self._ranking = self._rank(*own)
            self._ranked_at, self._ranked_for = now, own
        return self._ranking

    def _rank(self, is_store_reachable: bool, is_stopping: bool) -> list[str]:
        able = [p.heartbeat for p in self._peers.live]
        cores = {h.node: h.cores for h in able if h.store and not h.stopping}
        if is_store_reachable and not is_stopping:
            cores[self._name] = self._cores
        return ranked_by_capacity(READERS_KEY, cores)

    @property
    def is_reader(self) -> bool:
        """Tell whether this host is to read the store."""
        names = self.names
        return not names or self._name in names

    @property
    def is_standby(self) -> bool:
        """Tell whether this host reads beside another one that does so more often."""
        return self._name in self.names[1:]

    @property
    def top_ranked_peers(self) -> list[str]:
        """Return the other hosts that would read if all could."""
        ranked = self._rank_all()
        return [name for name in ranked if name != self._name][:READER_COUNT]

    @property
    def dispatcher(self) -> str:
        """Return the host that counts the places of all groups.

        The first that reads the store, as it hears of all work; while none reaches the
        store, the one that would.
        """
        names = self.names or self._rank_all()
        return names[0]

    @property
    def should_retry_often(self) -> bool:
        """Tell whether this host is to try the store often.

        While none reaches it, two hosts try for all, as the calls of a whole fleet
        would all be refused. One that the store turns away while it serves others has
        to try for itself.
        """
        if self._ranked():
            return True
        return self._name in self._rank_all()[:READER_COUNT]

    def _rank_all(self) -> list[str]:
        """Return all hosts, whether they reach the store or not."""
        cores = {p.heartbeat.node: p.heartbeat.cores for p in self._peers.live}
        cores[self._name] = self._cores
        return ranked_by_capacity(READERS_KEY, cores)

    async def run(self) -> None:
        """Tell what is newest, or this host's work, until cancelled."""
        while True:
            self.step()
            await self._clock.sleep(DIGEST_SECONDS)

    def step(self) -> None:
        """Tell once."""
        candidates = self._ranked()[:CANDIDATE_COUNT]
        self._peers.is_candidate = self._name in candidates or self._is_planning()
        self._peers.candidates = frozenset(candidates) - {self._name}
        if self.is_reader != self._acts_as_reader:
            self._acts_as_reader = not self._acts_as_reader
            log.info("readers: changed", reads=self._acts_as_reader, readers=self.names)
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
        ):
            return
        # One sum is enough: that of the second reader took as many bytes again.
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
                loads=encode_loads(loads),
            )
        )

    def _publish_work(self) -> None:
        loads = self._directory.loads.own_loads()
        self._work_turn += 1
        if loads == self._last_sent_work and self._work_turn % UNCHANGED_WORK_TURNS:
            return
        self._last_sent_work = loads
        self._directory.loads.record_published(loads)
        self._send_work(loads, {*self.names, self.dispatcher})

    def send_work_to_dispatcher(self) -> None:
        """Tell this host's work at once to the one that counts places for all."""
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
            node=self._name, loads=encode_loads(loads), grant_number=self.grant_number()
        )
        self._peers.send_to(work, hosts - {self._name})

    # -- the list of targets -------------------------------------------------

    def _broadcast_change(self, read: TargetsRead, previous: int) -> None:
        if not self._acts_as_reader:
            return
        for change in self._split(read, previous):
            self._fanout.broadcast(change)

    def _split(self, read: TargetsRead, previous: int) -> list[ListChange]:
        """Return a change in datagrams, none if it is too large for them."""
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
                targets=read.targets[some],
                removed=read.removed[some],
                unreadable=read.unreadable[some],
                part=number,
                parts=parts,
            )
            for number, some in enumerate(slices)
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
        self._directory.apply_digest(digest.last_change, decode_loads(digest))
        self._configuration.handle_version(digest.version)
        for notify in self.after_digest:
            notify()

    def _on_work(self, work: Work) -> None:
        self._directory.loads.record_peer_loads(
            work.node, decode_loads(work), work.grant_number
        )

    # -- the configuration ---------------------------------------------------

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._configuration.handle_version(heartbeat.version)
        standing = (heartbeat.store, heartbeat.stopping)
        if self._peer_states.get(heartbeat.node) != standing:
            self._peer_states[heartbeat.node] = standing
            self._ranked_at = float("-inf")
        is_reached = bool(self._ranked())
        if is_reached and not self._was_store_reached:
            self._configuration.handle_store_reachable()
        self._was_store_reached = is_reached

    def _ask_reader(self, number: int) -> None:
        question = VersionQuestion(node=self._name, number=number)
        # In turn: one that does not answer costs every second question, not each host
        # twice as many datagrams.
        names = self.names
        asked = [names[number % len(names)]] if names else []
        self._peers.send_to(question, asked)

    def _on_version_question(self, question: VersionQuestion) -> None:
        confirmation = self._configuration.confirmation
        if confirmation is None:
            return
        answer = VersionAnswer(
            node=self._name,
            number=question.number,
            version=confirmation.version,
            age=confirmation.age(self._clock.now()),
        )
        self._peers.send_to(answer, (question.node,))

    def _on_version_answer(self, answer: VersionAnswer) -> None:
        self._configuration.handle_answer(answer.number, answer.version, answer.age)
