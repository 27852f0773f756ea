"""Share crash records among hosts, and store those of quarantined requests and parts.

A request that crashes each target may be retried at any host, and others with the same
deadly part of a prompt may come there. The records of one host go to a few owners of
that request or part, which merge the records of several hosts; once it is quarantined,
its record goes to every host. A host whose answers refute it tells the owners, which
tell all. So an ordinary crash costs a few datagrams, however many hosts there are.
What is quarantined is also stored, as all hosts may restart at the same moment.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

import structlog

from mallowpond.coordination.ports import (
    Clock,
    Put,
    Row,
    Scanned,
    TableService,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.coordination.store import new_id
from mallowpond.node.messages import CrashQuestion, CrashRecords, PartRecords
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.state.codec import to_plain
from mallowpond.state.crash_ledger import QUARANTINE_SECONDS, CrashRecord, Ending
from mallowpond.state.decoding import Identifier, Unreadable, decode
from mallowpond.state.fingerprint import is_part_key
from mallowpond.state.ownership import first_owners
from mallowpond.state.part_ledger import (
    MAX_QUARANTINE_SECONDS,
    PartEnding,
    PartRecord,
)
from mallowpond.state.store_clock import StoreClock

log = structlog.get_logger()

# Hosts that merge the records of one request or part: all of a small fleet, and in a
# large one enough that some are left when a data centre is lost.
OWNERS_PER_RECORD = 6
# Delays before each send of a record, in seconds: datagrams get lost, and hosts that
# have just started know few others. The first one collects the requests that one target
# ran, so that they share messages.
SEND_DELAYS = (0.01, 0.5, 1.5)
# Sends of the record of a part that is not quarantined: most parts of a stream that
# breaks are sound, and each send goes to several owners.
UNCONFIRMED_SENDS = 2
# Time over which the hosts of a fleet spread their refutations, in seconds for each of
# them: the first one that reaches an owner makes the others superfluous.
REFUTE_SPREAD_SECONDS = 0.001
# Maximum number of records in one message, and in one round of sends: when a fabric
# domain fails, its records must not fill the links.
MAX_RECORDS_PER_MESSAGE = 20
# Time after the start until this host queries peers and the store, in seconds: before
# that it may know no peers. Interval between two queries, the number of queries without
# an answer after which it stops, and the peers that one query goes to.
INITIAL_DELAY_SECONDS = 0.3
QUERY_INTERVAL_SECONDS = 0.5
MAX_QUERIES = 6
QUERIED_PEERS = 3
# Maximum number of records in the answer to a query: a few datagrams.
MAX_ANSWER_RECORDS = 200
# Pause after the store did not answer, and interval between two reads of the store, in
# seconds. Only candidates for the roles of reader and planner read it: they find what
# datagrams did not deliver, and send it to all hosts.
STORE_RETRY_SECONDS = 0.5
READ_INTERVAL_SECONDS = 30.0
# Maximum number of rows that one transaction deletes: the platform accepts 100 entries
# per call.
MAX_DELETED_ROWS = 100
PREFIX = "quarantine/"
PARTS_PREFIX = "quarantine_parts/"
# Time after the last ending for which the row of a part is kept, in seconds: the spread
# of quarantines doubles the longest one.
PART_ROW_SECONDS = 2.0 * MAX_QUARANTINE_SECONDS


@dataclass(frozen=True, kw_only=True)
class QuarantineRow:
    """Stored crash record of a request; `ended_at` is in seconds of the store's clock.

    Without `ended_at` the last ending counts as if it happened when the row is read.
    """

    endings: tuple[Ending, ...]
    ended_at: float | None = None


@dataclass(frozen=True, kw_only=True)
class PartRow:
    """Stored record of a part; ages count from `written_at` on the store's clock.

    Without `written_at` they count from when the row is read.
    """

    endings: tuple[PartEnding, ...]
    written_at: float | None = None


class QuarantineSharing:
    """Sends changes of this host's quarantine to others, and merges theirs."""

    def __init__(
        self,
        *,
        name: str,
        quarantine: Quarantine,
        peers: PeerNetwork,
        table: TableService,
        clock: Clock,
        store_clock: StoreClock,
        rng: random.Random,
        unreadable_log: UnreadableLog,
    ) -> None:
        self._name = name
        self._quarantine = quarantine
        self._peers = peers
        self._table = table
        self._clock = clock
        self._store_clock = store_clock
        self._rng = rng
        self._unreadable_log = unreadable_log
        self._resends: ResendSchedule[str] = ResendSchedule(
            clock=clock, delays=SEND_DELAYS, max_batch=MAX_RECORDS_PER_MESSAGE
        )
        # Keys of records whose quarantine was sent to every host, and whose later
        # changes are sent to every host too.
        self._sent_to_all: set[str] = set()
        # Keys of parts that this host's answers refute, until its sends are over or an
        # owner has confirmed it.
        self._refuting: set[str] = set()
        self._unconfirmed_sends: Counter[str] = Counter()
        self._unwritten: set[str] = set()
        self._write_requested = asyncio.Event()
        self._is_answered = False
        quarantine.on_observed.append(self._on_observed)
        quarantine.on_quarantined_by_merge.append(self._on_quarantined_by_merge)
        quarantine.on_refuted_by_merge.append(self._on_refuted_by_merge)
        quarantine.on_released_by_merge.append(self._on_released_by_merge)
        peers.on_crash_records.append(self._on_records)
        peers.on_crash_question.append(self._on_question)

    # -- sending -------------------------------------------------------------

    def _on_observed(self, key: str) -> None:
        self._schedule_send(key)
        if self._quarantine.is_quarantined(key):
            self._schedule_write(key)

    def _on_quarantined_by_merge(self, key: str) -> None:
        # Written even though this host observed no ending of it: the records of other
        # hosts may have been merged only here.
        self._schedule_send(key)
        self._schedule_write(key)

    def _on_refuted_by_merge(self, key: str) -> None:
        if key not in self._refuting:
            self._refuting.add(key)
            spread = self._rng.random() * self._peers.host_count
            delay = SEND_DELAYS[0] + REFUTE_SPREAD_SECONDS * spread
            self._resends.add(key, first_delay=delay)

    def _on_released_by_merge(self, key: str) -> None:
        if key in self._sent_to_all:
            # Not every host gets what refutes it: that goes to the owners.
            self._schedule_send(key)

    def _schedule_send(self, key: str) -> None:
        self._unconfirmed_sends.pop(key, None)
        self._resends.add(key)

    async def run_sending(self) -> None:
        """Send records when they are due, until cancelled."""
        await self._resends.run(self.send_due)

    def send_due(self) -> None:
        """Send the records that are due now."""
        requests: dict[frozenset[str], list[CrashRecord]] = {}
        parts: dict[frozenset[str], list[PartRecord]] = {}
        for key in self._resends.take_due():
            match self._quarantine.record(key):
                case None:
                    self._resends.drop(key)
                    self._sent_to_all.discard(key)
                    self._refuting.discard(key)
                    self._unconfirmed_sends.pop(key, None)
                case CrashRecord() as record:
                    requests.setdefault(self._receivers(key), []).append(record)
                case PartRecord() as record:
                    parts.setdefault(self._receivers(key), []).append(record)
                    self._count_unconfirmed(key)
        for receivers, records in requests.items():
            message = CrashRecords(node=self._name, records=tuple(records))
            self._peers.send_to(message, receivers)
        for receivers, part_records in parts.items():
            message = PartRecords(node=self._name, records=tuple(part_records))
            self._peers.send_to(message, receivers)

    def _count_unconfirmed(self, key: str) -> None:
        """Drop the further sends of a part's record unless it was quarantined."""
        if key in self._sent_to_all:
            return
        self._unconfirmed_sends[key] += 1
        if self._unconfirmed_sends[key] >= UNCONFIRMED_SENDS:
            del self._unconfirmed_sends[key]
            self._refuting.discard(key)
            self._resends.drop(key)

    def _receivers(self, key: str) -> frozenset[str]:
        """Return who gets a record: its owners, or all hosts after a quarantine."""
        live = [peer.heartbeat.node for peer in self._peers.live]
        if self._quarantine.is_quarantined(key):
            self._sent_to_all.add(key)
        if key in self._sent_to_all:
            return frozenset(live)
        return frozenset(first_owners(key, live, OWNERS_PER_RECORD))

    # -- receiving and querying ----------------------------------------------

    def _on_records(self, message: CrashRecords | PartRecords) -> None:
        self._is_answered = self._is_answered or message.answer
        for record in message.records:
            self._quarantine.merge(record)
            if record.key in self._refuting and not record.has_enough_evidence:
                self._refuting.discard(record.key)
                self._resends.drop(record.key)

    def _on_question(self, question: CrashQuestion) -> None:
        records = self._quarantine.records()[:MAX_ANSWER_RECORDS]
        # An empty answer says that there are no records.
        for at in range(0, max(1, len(records)), MAX_RECORDS_PER_MESSAGE):
            some = tuple(records[at : at + MAX_RECORDS_PER_MESSAGE])
            answer = CrashRecords(node=self._name, records=some, answer=True)
            self._peers.send_to(answer, (question.node,))
        parts = self._quarantine.part_records()[:MAX_ANSWER_RECORDS]
        for at in range(0, len(parts), MAX_RECORDS_PER_MESSAGE):
            some_parts = tuple(parts[at : at + MAX_RECORDS_PER_MESSAGE])
            answer = PartRecords(node=self._name, records=some_parts, answer=True)
            self._peers.send_to(answer, (question.node,))

    async def run_querying(self) -> None:
        """Query a few peers for their records, until one answers or the limit."""
        await self._clock.sleep(INITIAL_DELAY_SECONDS)
        for _ in range(MAX_QUERIES):
            if self._is_answered:
                return
            self.query_peers()
            await self._clock.sleep(QUERY_INTERVAL_SECONDS)

    def query_peers(self) -> None:
        """Send one query for their records to a few peers."""
        live = [peer.heartbeat.node for peer in self._peers.live]
        receivers = self._rng.sample(live, min(QUERIED_PEERS, len(live)))
        self._peers.send_to(CrashQuestion(node=self._name), receivers)

    # -- the store -----------------------------------------------------------

    def _schedule_write(self, key: str) -> None:
        self._unwritten.add(key)
        self._write_requested.set()

    def rewrite(self) -> None:
        """Write what is quarantined again, as a restored store may lack it."""
        if not self._peers.is_candidate:
            return
        for record in (*self._quarantine.records(), *self._quarantine.part_records()):
            if self._quarantine.is_quarantined(record.key):
                self._schedule_write(record.key)

    async def run_writing(self) -> None:
        """Write records of what is quarantined to the store until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            if not await self.write():
                self._write_requested.set()
                await self._clock.sleep(STORE_RETRY_SECONDS)

    async def write(self) -> bool:
        """Write the records that are due; return False if the store did not answer."""
        for key in sorted(self._unwritten):
            if not await self._write(key):
                return False
        return True

    async def _write(self, key: str) -> bool:
        put = self._put(key)
        if put is None:
            self._unwritten.discard(key)
            return True
        change = Transaction(transaction=new_id(self._rng), puts=(put,))
        outcome = await self._table.commit(change)
        match outcome:
            case Unavailable(reason=reason) | Unknown(reason=reason):
                log.warning("quarantine: row write failed", reason=reason)
                return False
        self._unwritten.discard(key)
        return True

    def _put(self, key: str) -> Put | None:
        """Return the row of a record, None if the record is gone."""
        now = self._clock.now()
        match self._quarantine.record(key):
            case CrashRecord(endings=endings, age=age):
                ended_at = self._store_clock.to_store_time(now - age)
                row = QuarantineRow(endings=endings, ended_at=ended_at)
                return Put(key=PREFIX + key, value=to_plain(row))
            case PartRecord(endings=endings):
                written_at = self._store_clock.to_store_time(now)
                part_row = PartRow(endings=endings, written_at=written_at)
                return Put(key=PARTS_PREFIX + key, value=to_plain(part_row))
            case None:
                return None

    async def run_reading(self) -> None:
        """Read the stored records at intervals until cancelled."""
        await self._clock.sleep(INITIAL_DELAY_SECONDS)
        while True:
            self._quarantine.refresh()
            if not self._peers.is_candidate or await self.read():
                await self._clock.sleep(READ_INTERVAL_SECONDS)
            else:
                await self._clock.sleep(STORE_RETRY_SECONDS)

    async def read(self) -> bool:
        """Merge the stored records; return False if the store did not answer."""
        for prefix in (PREFIX, PARTS_PREFIX):
            read = await self._table.scan(prefix)
            if isinstance(read, Unavailable):
                log.warning("quarantine: rows read failed", reason=read.reason)
                return False
            await self._merge_rows(read)
        return True

    async def _merge_rows(self, read: Scanned) -> None:
        """Merge every row, and delete those that are no longer needed."""
        ended = [row.key for row in read.rows if not self._merge_row(row)]
        if not ended:
            return
        ended = ended[:MAX_DELETED_ROWS]
        change = Transaction(transaction=new_id(self._rng), deletes=tuple(ended))
        outcome = await self._table.commit(change)
        log.info("quarantine: rows dropped", rows=len(ended), outcome=repr(outcome))

    def _merge_row(self, row: Row) -> bool:
        """Merge a row; return whether it is still needed.

        True also for a row that cannot be decoded, so that it is not deleted.
        """
        key = row.key.partition("/")[2]
        was_quarantined = self._quarantine.is_quarantined(key)
        record = (self._decode_part if is_part_key(key) else self._decode)(key, row)
        if isinstance(record, Unreadable):
            self._unreadable_log.record("quarantine", key, record)
            return True
        if record is not None:
            self._quarantine.merge(record)
        is_quarantined = self._quarantine.is_quarantined(key)
        if is_quarantined and not was_quarantined:
            # Hosts that do not read the store get it from those that do.
            self._schedule_send(key)
        if isinstance(record, PartRecord):
            # Its endings still count when its quarantine is over.
            known = self._quarantine.record(key)
            return known is not None and known.has_enough_evidence
        return is_quarantined

    def _decode(self, key: str, row: Row) -> CrashRecord | Unreadable | None:
        """Return the record of a request, None if its quarantine is over."""
        found = decode(row.value, QuarantineRow)
        if isinstance(found, Unreadable):
            return found
        age = self._seconds_since(found.ended_at)
        if age >= QUARANTINE_SECONDS:
            return None
        return CrashRecord(request=Identifier(key), endings=found.endings, age=age)

    def _decode_part(self, key: str, row: Row) -> PartRecord | Unreadable | None:
        """Return the record of a part, None if its quarantine is over."""
        found = decode(row.value, PartRow)
        if isinstance(found, Unreadable):
            return found
        record = PartRecord(part=Identifier(key), endings=found.endings)
        record = record.aged(self._seconds_since(found.written_at))
        youngest = min((e.age for e in record.endings), default=PART_ROW_SECONDS)
        return record if youngest < PART_ROW_SECONDS else None

    def _seconds_since(self, stored_at: float | None) -> float:
        """Return the seconds since a time of the store's clock, 0 if unknown."""
        at = None if stored_at is None else self._store_clock.from_store_time(stored_at)
        return 0.0 if at is None else max(0.0, self._clock.now() - at)
