"""Exchange datagrams with the other nodes, and detect which of them are live.

`messages` defines the messages. A `Work` message is the load report of a node.
"""

import asyncio
import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import TypeVar

import structlog

from mallowpond.coordination.ports import (
    Check,
    Clock,
    Put,
    TableService,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.coordination.tasks import sleep_until_event
from mallowpond.node.messages import (
    HEARTBEAT_SECONDS,
    Advance,
    ColdNews,
    ConfigurationPart,
    ConfigurationQuestion,
    CrashQuestion,
    CrashRecords,
    Digest,
    EndedHeads,
    GroupBroken,
    Heartbeat,
    ListChange,
    LivenessAnswer,
    LivenessQuestion,
    Message,
    PartRecords,
    PlaceAnswer,
    PlaceQuestion,
    RateLimitNews,
    SilenceQuestion,
    SilencesAnswer,
    SilencesQuestion,
    Suspicion,
    VersionAnswer,
    VersionQuestion,
    Vouch,
    WatchedSilence,
    Work,
    read_message,
    write_message,
)
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.state.codec import to_plain
from mallowpond.state.decoding import (
    SocketAddress,
    Unreadable,
    decode,
)
from mallowpond.state.fleet import BreakCause, Group, GroupKey
from mallowpond.state.host_registry import HostRegistry

log = structlog.get_logger()

# Number of peers that are asked for the silences that they see: a few of them watch
# most groups. Number of groups in one answer, which must fit in a datagram.
MAX_ASKED_SILENCES = 8
MAX_TOLD_SILENCES = 40

# A fleet counts as large if a node would send more heartbeats per second than this to
# reach every peer at the usual interval. In a large fleet a node sends at the rates
# below, so that its traffic does not grow with the fleet.
SMALL_FLEET_HEARTBEATS_PER_SECOND = 60.0
# Heartbeats that one node sends per second in a large fleet, to all peers together.
# Candidates are the hosts that plan or read the store, or may be next to do so: their
# failure is detected after four intervals. Of any other host its peers need only know
# that it is live.
CANDIDATE_HEARTBEATS_PER_SECOND = 220.0
ORDINARY_HEARTBEATS_PER_SECOND = 8.0
# Interval between heartbeats among the candidates of a large fleet, in seconds. The
# heartbeats to all hosts are too far apart for the next planner to detect soon that the
# planner failed.
CANDIDATE_HEARTBEAT_SECONDS = 0.25
# Silence after which a peer is no longer live: this many heartbeat intervals, but at
# least this many seconds.
GONE_HEARTBEATS = 4.0
GONE_SECONDS = 1.0
# Interval between reads of the nodes' rows, in seconds, for candidates and for other
# hosts. A node that starts learns its first addresses from the rows, and sends
# heartbeats to all of them. Later reads only make up for lost datagrams, and it is
# enough that the candidates find missing nodes.
ROWS_SECONDS = 15.0
ORDINARY_ROWS_SECONDS = 120.0
# Pause before the rows are written or read again after a failure, in seconds.
ROWS_RETRY_SECONDS = 0.5
# Largest age of a copy from which the store may come back, in seconds: rows that are
# older need not be written again. The hosts of a fleet spread their writes.
MAX_COPY_AGE_SECONDS = 60.0
ROW_WRITES_PER_SECOND = 100.0
# Time for which the list of live peers is cached, in seconds: each request asks for
# their number, and several loops for the list.
LIVE_CACHE_SECONDS = 0.2
# Interval between log lines about newly discovered peers, in seconds: when a fleet
# starts, every host discovers every other one.
DISCOVERED_LOG_SECONDS = 1.0
NODES_PREFIX = "nodes/"


@dataclass(frozen=True, kw_only=True)
class NodeRow:
    """Row of a node in the store, through which other nodes discover it."""

    address: SocketAddress
    incarnation: str


@dataclass(kw_only=True)
class Peer:
    """Another node: its last heartbeat, and when it was last known to be live.

    `heard_at` is when its last `Heartbeat` or `Work` message arrived.
    """

    heartbeat: Heartbeat
    heard_at: float

    def is_live(self, now: float) -> bool:
        """Return whether its last heartbeat or load report is recent enough."""
        silence = max(GONE_SECONDS, GONE_HEARTBEATS * self.heartbeat.interval)
        return now - self.heard_at <= silence


class PeerNetwork(asyncio.DatagramProtocol):
    """Datagram transport and failure detector among the nodes.

    A node is the process of one entry host; its peers are the nodes of the others. It
    discovers them by their rows in the store and by their heartbeats. Other parts of
    this node append listeners for each kind of message to the `on_` lists.
    `is_candidate` and `candidates` decide how often this node sends heartbeats, and to
    whom. `Readers`, which chooses the hosts that read the store for the others, sets
    them.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: str,
        table: TableService,
        clock: Clock,
        make_heartbeat: Callable[[], Heartbeat],
        unreadable_log: UnreadableLog | None = None,
    ) -> None:
        self._unreadable_log = unreadable_log or UnreadableLog()
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._table = table
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, str] = {}
        self._known_hosts: set[str] = set()
        self._peers: dict[str, Peer] = {}
        self._live: list[Peer] = []
        self._live_at = float("-inf")
        self._discovered_count = 0
        self._discovered_logged_at = float("-inf")
        self.registry = HostRegistry()
        self._row_written_at: float | None = None
        self._rows_due = asyncio.Event()
        self.is_candidate = True
        self.candidates: frozenset[str] = frozenset()
        # A node is live, and in this state.
        self.on_heartbeat: list[Callable[[Heartbeat], None]] = []
        # A group is suspected, no longer suspected, or being closed by the planner.
        self.on_suspicion: list[Callable[[Suspicion], None]] = []
        # A formation of a group no longer serves.
        self.on_group_broken: list[Callable[[GroupBroken], None]] = []
        # A target whose list entry lapsed passed a peer's health check (`Vouch`).
        self.on_target_healthy: list[Callable[[str], None]] = []
        # A group is silent at a peer. A listener returns whether it saw progress of the
        # group; if one did, this node answers with an `Advance`.
        self.on_silence_question: list[Callable[[SilenceQuestion], bool]] = []
        # A peer sees this group make progress: the answer to `ask_group_progress`.
        self.on_advance: list[Callable[[GroupKey], None]] = []
        # A peer asks for the silences of the groups that this node watches.
        self.on_silences_question: list[Callable[[], tuple[WatchedSilence, ...]]] = []
        self.on_silences_answer: list[Callable[[SilencesAnswer], None]] = []
        # A reader's summary: newest configuration version, last change of the target
        # list, load of all hosts by group.
        self.on_digest: list[Callable[[Digest], None]] = []
        # Changes of the target list, sent by a reader.
        self.on_list_change: list[Callable[[ListChange], None]] = []
        # The load report of a peer: its streams by group.
        self.on_work: list[Callable[[Work], None]] = []
        # A peer requests a slot for a stream from the dispatcher.
        self.on_place_question: list[Callable[[PlaceQuestion], None]] = []
        # The dispatcher grants, queues or refuses such a request of this node.
        self.on_place_answer: list[Callable[[PlaceAnswer], None]] = []
        # A peer asks this node, as a reader, for the newest configuration version.
        self.on_version_question: list[Callable[[VersionQuestion], None]] = []
        # A reader's answer with that version.
        self.on_version_answer: list[Callable[[VersionAnswer], None]] = []
        # Part of the configuration, sent by a peer.
        self.on_configuration_part: list[Callable[[ConfigurationPart], None]] = []
        # A peer that has no configuration and lacks the store asks for it.
        self.on_configuration_question: list[
            Callable[[ConfigurationQuestion], None]
        ] = []
        # Requests that were running on targets whose processes ended, or their parts.
        self.on_crash_records: list[Callable[[CrashRecords | PartRecords], None]] = []
        # A peer that has started asks for this node's records of such requests.
        self.on_crash_question: list[Callable[[CrashQuestion], None]] = []
        # Rate limits that targets announced or withdrew in answers to a peer.
        self.on_rate_limits: list[Callable[[RateLimitNews], None]] = []
        # Targets that became cold or warm, as they told a peer.
        self.on_cold_news: list[Callable[[ColdNews], None]] = []
        # A peer asks this node to probe a target that does not answer the peer.
        self.on_liveness_question: list[Callable[[LivenessQuestion], None]] = []
        # The result of a probe that this node asked a peer for.
        self.on_liveness_answer: list[Callable[[LivenessAnswer], None]] = []
        # A peer reports heads that ended to the planner.
        self.on_ended_heads: list[Callable[[EndedHeads], None]] = []

    @property
    def live(self) -> list[Peer]:
        """Return the peers whose last heartbeat or load report is recent enough."""
        now = self._clock.now()
        if now - self._live_at > LIVE_CACHE_SECONDS:
            self._live = [p for p in self._peers.values() if p.is_live(now)]
            self._live_at = now
        return self._live

    def has_stopped_planning(self, node: str, incarnation: str) -> bool:
        """Return whether a known node cannot be planning under this incarnation.

        That is so if it restarted, cannot reach the store or the targets, is stopping,
        or is not live. A node from which no heartbeat arrived may still plan.
        """
        peer = self._peers.get(node)
        if peer is None:
            return False
        heartbeat = peer.heartbeat
        return heartbeat.incarnation != incarnation or not (
            heartbeat.can_plan and peer.is_live(self._clock.now())
        )

    @property
    def last_planner(self) -> Peer | None:
        """Return the peer that last planned, by its fencing number, live or not."""
        # `planning` is the fencing number, 0 if the peer does not plan.
        planners = [p for p in self._peers.values() if p.heartbeat.planning]
        return max(planners, key=lambda p: p.heartbeat.planning, default=None)

    @property
    def host_count(self) -> int:
        """Return the number of live nodes, this one included."""
        return 1 + len(self.live)

    def has_heard_from(self, node: str, seconds: float) -> bool:
        """Return whether a node sent a heartbeat or load report within `seconds`."""
        peer = self._peers.get(node)
        return peer is not None and self._clock.now() - peer.heard_at <= seconds

    def live_heartbeat(self, node: str) -> Heartbeat | None:
        """Return the last heartbeat of a peer, None if it is not live."""
        peer = self._peers.get(node)
        if peer is None or not peer.is_live(self._clock.now()):
            return None
        return peer.heartbeat

    def address_of(self, node: str) -> str | None:
        """Return the address of a known peer, `host:port`."""
        return self._addresses.get(node)

    def is_known_host(self, ip: str) -> bool:
        """Return whether a known peer has this IP address."""
        return ip in self._known_hosts

    @property
    def is_large_fleet(self) -> bool:
        """Return whether heartbeats are too rare to rely on the loads in them."""
        return (
            len(self._addresses) / SMALL_FLEET_HEARTBEATS_PER_SECOND > HEARTBEAT_SECONDS
        )

    @property
    def interval(self) -> float:
        """Return the interval between regular heartbeats, in seconds."""
        if not self.is_large_fleet:
            return HEARTBEAT_SECONDS
        rate = ORDINARY_HEARTBEATS_PER_SECOND
        if self.is_candidate:
            rate = CANDIDATE_HEARTBEATS_PER_SECOND
        return len(self._addresses) / rate

    async def start(self, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        host = self._address.rpartition(":")[0]
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def run_heartbeats(self) -> None:
        """Send the regular heartbeats until cancelled."""
        while True:
            self.send_heartbeat()
            await self._clock.sleep(self.interval)

    async def run_candidate_heartbeats(self) -> None:
        """Send frequent heartbeats among the candidates of a large fleet."""
        while True:
            if self._sends_candidate_heartbeats:
                heartbeat = replace(
                    self._make_heartbeat(), interval=CANDIDATE_HEARTBEAT_SECONDS
                )
                self.send_to(heartbeat, self.candidates)
            await self._clock.sleep(CANDIDATE_HEARTBEAT_SECONDS)

    @property
    def _sends_candidate_heartbeats(self) -> bool:
        return self.is_large_fleet and self.is_candidate

    def send_heartbeat(self) -> None:
        """Send a regular heartbeat to all peers.

        A candidate of a large fleet leaves out the other candidates, to which it sends
        more frequent ones.
        """
        heartbeat = self._make_heartbeat()
        if not self._sends_candidate_heartbeats:
            self.broadcast(heartbeat)
            return
        others = self._addresses.keys() - self.candidates
        self.send_to(heartbeat, others)

    async def run_node_rows(self) -> None:
        """Write this node's row, then read the others' at intervals until cancelled."""
        while True:
            self._rows_due.clear()
            written = not self._is_row_due or await self._write_row()
            read = await self._read_rows()
            if not (written and read):
                await self._clock.sleep(ROWS_RETRY_SECONDS)
                continue
            waited = 0.0
            while not self._rows_due.is_set() and waited < (
                ROWS_SECONDS if self.is_candidate else ORDINARY_ROWS_SECONDS
            ):
                await sleep_until_event(self._clock, ROWS_SECONDS, self._rows_due)
                waited += ROWS_SECONDS
            if self._row_written_at is None:
                share = zlib.crc32(self._name.encode()) / 2.0**32
                await self._clock.sleep(share * self.host_count / ROW_WRITES_PER_SECOND)

    @property
    def _is_row_due(self) -> bool:
        is_lost = self._row_written_at is None
        return is_lost or self.registry.is_renewal_due(self._clock.now())

    def rewrite_row(self) -> None:
        """Write this node's row again soon, if a copy of the store may lack it."""
        written_at = self._row_written_at
        if written_at is None or self._clock.now() - written_at < MAX_COPY_AGE_SECONDS:
            self._row_written_at = None
            self._rows_due.set()

    def broadcast_suspicion(
        self,
        key: tuple[str, int],
        *,
        cleared: bool = False,
        closing: bool = False,
        silent: float = 0.0,
    ) -> None:
        """Report to every peer that a group is suspected, cleared, or closing."""
        self.broadcast(
            Suspicion(
                node=self._name,
                group=key[0],
                epoch=key[1],
                cleared=cleared,
                closing=closing,
                silent=silent,
            )
        )

    def broadcast_group_broken(self, group: Group, cause: BreakCause) -> None:
        """Report to every peer that a formation (epoch) of a group no longer serves."""
        # The head is the member that takes the group's requests.
        if group.head is None:
            return
        self.broadcast(
            GroupBroken(
                node=self._name,
                group=group.name,
                epoch=group.epoch,
                head=group.head.process,
                cause=cause,
            )
        )

    def ask_group_progress(self, key: GroupKey, silent: float) -> None:
        """Ask every peer whether a group that is silent here makes progress there.

        `silent` is the time in seconds for which this node has seen no event of the
        group. Peers that see progress answer, which calls the `on_advance` listeners.
        """
        self.broadcast(
            SilenceQuestion(node=self._name, group=key[0], epoch=key[1], silent=silent)
        )

    def ask_silences(self) -> None:
        """Ask a few peers for the silences of the groups that they watch.

        Their answers call the `on_silences_answer` listeners.
        """
        names = [peer.heartbeat.node for peer in self.live]
        asked = random.sample(names, min(MAX_ASKED_SILENCES, len(names)))
        self.send_to(SilencesQuestion(node=self._name), asked)

    def ask_liveness(self, node: str, number: int, target: str) -> None:
        """Ask a peer to probe a target; `number` identifies the answer."""
        question = LivenessQuestion(node=self._name, number=number, target=target)
        self.send_to(question, (node,))

    def answer_liveness(self, question: LivenessQuestion, alive: bool) -> None:
        """Answer a peer that asked for a probe of a target."""
        answer = LivenessAnswer(node=self._name, number=question.number, alive=alive)
        self.send_to(answer, (question.node,))

    def broadcast_target_healthy(self, target: str) -> None:
        """Report to every peer that a target whose list entry lapsed is healthy."""
        self.broadcast(Vouch(node=self._name, targets=(target,)))

    def broadcast(self, message: Message) -> None:
        """Send a message to every known peer."""
        self._send(message, self._addresses.values())

    def nodes_by_data_centre(self) -> dict[str, list[str]]:
        """Return all known peers by data centre; "" stands for an unknown one."""
        found: dict[str, list[str]] = {}
        for node in self._addresses:
            peer = self._peers.get(node)
            centre = peer.heartbeat.data_centre if peer else ""
            found.setdefault(centre, []).append(node)
        return found

    def cores_of(self, node: str) -> float:
        """Return the processor capacity of a peer in cores, 0 if not known."""
        peer = self._peers.get(node)
        return peer.heartbeat.cores if peer else 0.0

    def send_to(self, message: Message, nodes: Iterable[str]) -> None:
        """Send a message to the named peers; unknown names are skipped."""
        self._send(message, (self._addresses[n] for n in nodes if n in self._addresses))

    def _send(self, message: Message, addresses: Iterable[str]) -> None:
        if self._transport is None:
            return
        data = write_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the message to its listeners."""
        message = read_message(data)
        if isinstance(message, Unreadable):
            self._unreadable_log.record("datagram", addr[0], message)
            return
        try:
            self._handle_message(message)
        except Exception:
            # A bug in a listener must not reach the transport, which carries all other
            # messages.
            log.exception("peers: message failed", kind=type(message).__name__)

    def _handle_message(self, message: Message) -> None:
        match message:
            case Heartbeat():
                self._on_heartbeat(message)
            case Suspicion():
                _notify(self.on_suspicion, message)
            case GroupBroken():
                _notify(self.on_group_broken, message)
            case Vouch(targets=targets):
                for target in targets:
                    for record_healthy in self.on_target_healthy:
                        record_healthy(target)
            case SilenceQuestion(node=asker, group=group, epoch=epoch):
                address = self._addresses.get(asker)
                if address and any(
                    sees_progress(message) for sees_progress in self.on_silence_question
                ):
                    answer = Advance(node=self._name, group=group, epoch=epoch)
                    self._send(answer, (address,))
            case Advance(group=group, epoch=epoch):
                for notify in self.on_advance:
                    notify((group, epoch))
            case SilencesQuestion(node=asker):
                for list_silences in self.on_silences_question:
                    silences = list_silences()[:MAX_TOLD_SILENCES]
                    answer = SilencesAnswer(node=self._name, silences=silences)
                    self.send_to(answer, (asker,))
            case SilencesAnswer():
                _notify(self.on_silences_answer, message)
            case Digest():
                _notify(self.on_digest, message)
            case ListChange():
                _notify(self.on_list_change, message)
            case Work(node=node):
                # Sent five times a second, it shows sooner than the rare heartbeats of
                # a large fleet whether a host is live.
                if node in self._peers:
                    self._peers[node].heard_at = self._clock.now()
                _notify(self.on_work, message)
            case PlaceQuestion():
                _notify(self.on_place_question, message)
            case PlaceAnswer():
                _notify(self.on_place_answer, message)
            case VersionQuestion():
                _notify(self.on_version_question, message)
            case VersionAnswer():
                _notify(self.on_version_answer, message)
            case ConfigurationPart():
                _notify(self.on_configuration_part, message)
            case ConfigurationQuestion():
                _notify(self.on_configuration_question, message)
            case CrashRecords() | PartRecords():
                _notify(self.on_crash_records, message)
            case CrashQuestion():
                _notify(self.on_crash_question, message)
            case RateLimitNews():
                _notify(self.on_rate_limits, message)
            case ColdNews():
                _notify(self.on_cold_news, message)
            case LivenessQuestion():
                _notify(self.on_liveness_question, message)
            case LivenessAnswer():
                _notify(self.on_liveness_answer, message)
            case EndedHeads():
                _notify(self.on_ended_heads, message)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's port is closed; missing heartbeats show its failure."""
        log.debug("peers: datagram refused", error=repr(exc))

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.node == self._name:
            return
        now = self._clock.now()
        is_new = False
        known = self._peers.get(heartbeat.node)
        if known is None or not known.is_live(now):
            self._live_at = float("-inf")
        if known is None or known.heartbeat.incarnation != heartbeat.incarnation:
            self._log_discovered(heartbeat, now)
            is_new = True
        self._record_address(heartbeat.node, heartbeat.address)
        if known is None:
            self._peers[heartbeat.node] = Peer(heartbeat=heartbeat, heard_at=now)
        else:
            known.heartbeat, known.heard_at = heartbeat, now
        self.registry.record_heard(heartbeat.node, now)
        _notify(self.on_heartbeat, heartbeat)
        if is_new and self._sends_candidate_heartbeats:
            # A host that has just started must learn which hosts read and plan before
            # the next regular heartbeat, which comes seconds later.
            self.send_to(self._make_heartbeat(), (heartbeat.node,))

    def _log_discovered(self, heartbeat: Heartbeat, now: float) -> None:
        self._discovered_count += 1
        if now - self._discovered_logged_at < DISCOVERED_LOG_SECONDS:
            return
        log.info(
            "peers: discovered",
            peer=heartbeat.node,
            address=heartbeat.address,
            met=self._discovered_count,
            known=len(self._peers),
        )
        self._discovered_count, self._discovered_logged_at = 0, now

    async def _write_row(self) -> bool:
        row = NodeRow(address=self._address, incarnation=self._incarnation)
        put = Put(key=NODES_PREFIX + self._name, value=to_plain(row))
        change = Transaction(transaction=self._incarnation, puts=(put,))
        sent_at = self._clock.now()
        outcome = await self._table.commit(change)
        match outcome:
            case Unavailable(reason=reason) | Unknown(reason=reason):
                log.warning("peers: row write failed", reason=reason)
                return False
        self._row_written_at = sent_at
        self.registry.record_written(sent_at)
        return True

    async def _read_rows(self) -> bool:
        found = await self._table.scan(NODES_PREFIX)
        if isinstance(found, Unavailable):
            log.warning("peers: rows read failed", reason=found.reason)
            return False
        now = self._clock.now()
        versions = {r.key.removeprefix(NODES_PREFIX): r.version for r in found.rows}
        versions.pop(self._name, None)
        self.registry.record_rows(versions, now)
        for row in found.rows:
            name = row.key.removeprefix(NODES_PREFIX)
            node = decode(row.value, NodeRow)
            if isinstance(node, Unreadable):
                self._unreadable_log.record("node", name, node)
            elif name != self._name and name not in self._addresses:
                self._record_address(name, node.address)
        await self._drop_stale(versions, now)
        return True

    async def _drop_stale(self, versions: dict[str, int], now: float) -> None:
        """Forget hosts without a sign of life for long; candidates delete their rows.

        A row that was renewed meanwhile stays.
        """
        for name in self.registry.take_stale(now):
            log.info("peers: host forgotten", peer=name)
            self._addresses.pop(name, None)
            if not self.is_candidate or name not in versions:
                continue
            key = NODES_PREFIX + name
            change = Transaction(
                transaction=self._incarnation,
                checks=(Check(key=key, version=versions[name]),),
                deletes=(key,),
            )
            outcome = await self._table.commit(change)
            log.info("peers: row deleted", peer=name, outcome=repr(outcome))

    def _record_address(self, node: str, address: str) -> None:
        self._addresses[node] = address
        self._known_hosts.add(address.rpartition(":")[0])


T = TypeVar("T")


def _notify(listeners: list[Callable[[T], None]], message: T) -> None:
    for notify in listeners:
        notify(message)
