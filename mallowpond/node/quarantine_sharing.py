"""Share among hosts, and keep in the store, which requests end their targets.

The load pattern: a request that ends each target comes again at any host. What one host
saw goes to a few keepers of that request, which put together what several hosts saw;
once it is held back, every host is told. So an ordinary crash costs a few datagrams,
however many hosts there are. What is held back is also kept in the store, as all hosts
may start anew at the same moment.
"""

import asyncio
import random
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
from mallowpond.node.messages import CrashQuestion, CrashRecords
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.state.codec import to_plain
from mallowpond.state.crash_ledger import QUARANTINE_SECONDS, CrashRecord, Ending
from mallowpond.state.decoding import Unreadable, decode
from mallowpond.state.ownership import first_owners
from mallowpond.state.store_clock import StoreClock

log = structlog.get_logger()

# Hosts that put together what is known of a request: all of a small fleet, and in a
# large one so many that some are left when a data centre is lost.
KEEPERS = 6
# Pauses before a record is told once more, in seconds: datagrams get lost, and hosts
# that have just started know few others. The first lets one target's requests gather.
TELL_PAUSES = (0.01, 0.5, 1.5)
# Records that one host tells in one go, at most: when a fabric domain ends, what is
# told of it must not fill the links.
RECORDS_AT_ONCE = 20
# Time after the start until this host asks others and the store, in seconds: until then
# it may know no peers. Pause between two questions, and the questions without an answer
# after which nobody is asked any more.
FIRST_ASK_SECONDS = 0.3
ASK_SECONDS = 0.5
MAX_QUESTIONS = 6
ASKED_PEERS = 3
# Records that answer a question, at most: a few datagrams.
ANSWERED_RECORDS = 200
# Pause after the store did not answer, and between two reads by the hosts that read or
# plan next, in seconds: these find what the datagrams did not bring, for all.
AGAIN_SECONDS = 0.5
READ_SECONDS = 30.0
# Rows that one change drops, at most: the platform takes a hundred entries a call.
MAX_DROPPED = 100
PREFIX = "quarantine/"


@dataclass(frozen=True, kw_only=True)
class QuarantineRow:
    """Keep what is known of a request; `ended_at` is in seconds of the store's clock.

    Without it the last ending counts as of the moment at which the row is read.
    """

    endings: tuple[Ending, ...]
    ended_at: float | None = None


class QuarantineSharing:
    """Tell others what is new of a quarantine, and take what they tell."""

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
        self._news: ResendSchedule[str] = ResendSchedule(
            clock=clock, pauses=TELL_PAUSES, at_once=RECORDS_AT_ONCE
        )
        # What every host was told to hold back, and is to hear the rest of.
        self._told_to_all: set[str] = set()
        self._unwritten: set[str] = set()
        self._to_write = asyncio.Event()
        self._is_answered = False
        quarantine.on_seen.append(self._note_seen)
        quarantine.on_decided.append(self._note_decided)
        peers.on_crash_records.append(self._hear)
        peers.on_crash_question.append(self._answer)

    # -- telling -------------------------------------------------------------

    def _note_seen(self, request: str) -> None:
        self._tell_soon(request)
        if self._quarantine.is_quarantined(request):
            self._write_soon(request)

    def _note_decided(self, request: str) -> None:
        # Also where the records of two hosts were put together only here.
        self._tell_soon(request)
        self._write_soon(request)

    def _tell_soon(self, request: str) -> None:
        self._news.add(request)

    async def run_sending(self) -> None:
        """Tell what is due until cancelled."""
        await self._news.run(self.send_due)

    def send_due(self) -> None:
        """Tell what is due now."""
        by_receivers: dict[frozenset[str], list[CrashRecord]] = {}
        for request in self._news.take_due():
            record = self._quarantine.record(request)
            if record is None:
                self._news.drop(request)
                self._told_to_all.discard(request)
                continue
            by_receivers.setdefault(self._receivers(request), []).append(record)
        for receivers, records in by_receivers.items():
            message = CrashRecords(node=self._name, records=tuple(records))
            self._peers.send_to(message, receivers)

    def _receivers(self, request: str) -> frozenset[str]:
        """Return whom a record goes to: all hosts once it was held back."""
        live = [peer.heartbeat.node for peer in self._peers.live]
        if self._quarantine.is_quarantined(request):
            self._told_to_all.add(request)
        if request in self._told_to_all:
            return frozenset(live)
        return frozenset(first_owners(request, live, KEEPERS))

    # -- hearing -------------------------------------------------------------

    def _hear(self, message: CrashRecords) -> None:
        self._is_answered = self._is_answered or message.answer
        for record in message.records:
            self._quarantine.merge(record)

    def _answer(self, question: CrashQuestion) -> None:
        records = self._quarantine.records()[:ANSWERED_RECORDS]
        # An empty answer says that there is nothing to know.
        for at in range(0, max(1, len(records)), RECORDS_AT_ONCE):
            part = tuple(records[at : at + RECORDS_AT_ONCE])
            answer = CrashRecords(node=self._name, records=part, answer=True)
            self._peers.send_to(answer, (question.node,))

    async def run_querying(self) -> None:
        """Ask some peers what they know, as this process knows nothing yet."""
        await self._clock.sleep(FIRST_ASK_SECONDS)
        for _ in range(MAX_QUESTIONS):
            if self._is_answered:
                return
            self.ask()
            await self._clock.sleep(ASK_SECONDS)

    def ask(self) -> None:
        """Ask some peers once."""
        live = [peer.heartbeat.node for peer in self._peers.live]
        asked = self._rng.sample(live, min(ASKED_PEERS, len(live)))
        self._peers.send_to(CrashQuestion(node=self._name), asked)

    # -- the store -----------------------------------------------------------

    def _write_soon(self, request: str) -> None:
        self._unwritten.add(request)
        self._to_write.set()

    async def run_writing(self) -> None:
        """Keep what is held back in the store until cancelled."""
        while True:
            await self._to_write.wait()
            self._to_write.clear()
            if not await self.write():
                self._to_write.set()
                await self._clock.sleep(AGAIN_SECONDS)

    async def write(self) -> bool:
        """Write what the store does not have yet; return False if it did not answer."""
        for request in sorted(self._unwritten):
            if not await self._write(request):
                return False
        return True

    async def _write(self, request: str) -> bool:
        record = self._quarantine.record(request)
        if record is None:
            self._unwritten.discard(request)
            return True
        ended_at = self._clock.now() - record.age
        row = QuarantineRow(
            endings=record.endings,
            ended_at=self._store_clock.to_store_time(ended_at),
        )
        put = Put(key=PREFIX + request, value=to_plain(row))
        change = Transaction(transaction=new_id(self._rng), puts=(put,))
        outcome = await self._table.commit(change)
        match outcome:
            case Unavailable(reason=reason) | Unknown(reason=reason):
                log.warning("quarantine: row not written", reason=reason)
                return False
        self._unwritten.discard(request)
        return True

    async def run_reading(self) -> None:
        """Read what the store keeps at the start, and at times, until cancelled."""
        await self._clock.sleep(FIRST_ASK_SECONDS)
        while True:
            self._quarantine.review()
            if not self._peers.is_candidate or await self.read():
                await self._clock.sleep(READ_SECONDS)
            else:
                await self._clock.sleep(AGAIN_SECONDS)

    async def read(self) -> bool:
        """Take what the store keeps; return False if it did not answer."""
        read = await self._table.scan(PREFIX)
        if isinstance(read, Unavailable):
            log.warning("quarantine: rows not read", reason=read.reason)
            return False
        await self._take(read)
        return True

    async def _take(self, read: Scanned) -> None:
        """Take every row, and drop those that hold nothing back any more."""
        ended = [row.key for row in read.rows if not self._is_needed(row)]
        if not ended:
            return
        ended = ended[:MAX_DROPPED]
        change = Transaction(transaction=new_id(self._rng), deletes=tuple(ended))
        outcome = await self._table.commit(change)
        log.info("quarantine: rows dropped", rows=len(ended), outcome=repr(outcome))

    def _is_needed(self, row: Row) -> bool:
        """Take a row into the quarantine; tell whether it still holds anything back."""
        request = row.key.removeprefix(PREFIX)
        found = decode(row.value, QuarantineRow)
        if isinstance(found, Unreadable):
            self._unreadable_log.record("quarantine", request, found)
            return True
        age = 0.0
        if found.ended_at is not None:
            ended_at = self._store_clock.from_store_time(found.ended_at)
            if ended_at is not None:
                age = max(0.0, self._clock.now() - ended_at)
        was_quarantined = self._quarantine.is_quarantined(request)
        if age < QUARANTINE_SECONDS:
            record = CrashRecord(request=request, endings=found.endings, age=age)
            self._quarantine.merge(record)
        is_quarantined = self._quarantine.is_quarantined(request)
        if is_quarantined and not was_quarantined:
            # Hosts that do not read the store have it from those that do.
            self._tell_soon(request)
        return is_quarantined
