"""Send requests to the nodes and record the answers."""

import asyncio
import random
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, replace

import h11

from mallowpond.coordination.tasks import cancel_task
from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import ENDLESS_ANSWER, LARGE_ANSWER
from soak.records import CallerRecord, Ending, RequestKind

READ_SIZE = 65536
TOKENS_PER_EVENT = 7
HOST = "h.example"
PATHS = {
    RequestKind.STREAM: "/s/x",
    RequestKind.ONCE: "/once/x",
    RequestKind.AGAIN: "/again/x",
}
DEADLINES = {RequestKind.STREAM: 3.0, RequestKind.ONCE: 1.5, RequestKind.AGAIN: 1.5}
# Time after its deadline for which a caller still reads an answer, in seconds.
READ_GRACE_SECONDS = 2.5
# Share of new connections that go to any node, ready or not, as a load balancer does
# when most nodes are not ready.
NOT_READY_SHARE = 0.1
READINESS_POLL_SECONDS = 0.3
# Share of requests that reuse an idle connection if there is one, even if its node is
# no longer ready: callers use connections until they close.
REUSE_SHARE = 0.7
# While new connections are skewed: the share of them that goes to one node, and the
# share of requests that reuse an idle connection.
SKEWED_SHARE = 0.9
SKEWED_REUSE_SHARE = 0.2
# Share of streams that last for seconds, so that many nodes are stopped while they run;
# range of their number of events, and their deadline in seconds.
LONG_SHARE = 0.04
LONG_EVENTS = (100, 200)
LONG_SECONDS = 6.0
# Maximum pauses, in seconds, before a caller retries a request that got no complete
# answer, and before it sends a fatal request again.
MAX_RETRY_PAUSE_SECONDS = 0.8
MAX_RESEND_PAUSE_SECONDS = 0.4
# Parts that streams share: one of the first and one of the second kind each. Few
# streams have a rare second part.
FIRST_PARTS = ("a0", "a1", "a2")
SECOND_PARTS = ("b0", "b1")
RARE_PARTS = tuple(f"c{number:02x}" for number in range(30))
RARE_SHARE = 0.1
# Requests per second with a part that crashes engines, and the number of retries of
# each by its caller.
FATAL_PARTS_PER_SECOND = 6.0
FATAL_PART_RETRIES = 1
# Events of a stream that crashes its engine: the engine ends before the stream would.
FATAL_EVENTS = 30

# Size of a large body, which is the largest that the configuration allows, and the
# deadline of its request in seconds.
LARGE_BODY_BYTES = 4 * 1024 * 1024
LARGE_SECONDS = 6.0
PADDING = b"x" * READ_SIZE


@dataclass(frozen=True, kw_only=True)
class FatalChoice:
    """Shared parts of a stream that crashes engines, and its key, "" for any."""

    parts: tuple[str, ...]
    key: str = ""


class Callers:
    """Generates requests at random times, on reused and on new connections.

    `ports` has the request port and the readiness port of each node, `rate` is in
    requests per second, `max_retries` bounds the retries of one request.
    """

    def __init__(
        self,
        *,
        ports: list[tuple[int, int]],
        rate: float,
        rng: random.Random,
        max_retries: int = 0,
    ) -> None:
        self._ports = ports
        self._rate = rate
        self._rng = rng
        self._max_retries = max_retries
        self._ready_nodes: set[int] = set()
        self._idle: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # Node that gets most new connections while it is ready, None for any.
        self.favoured_node: int | None = None
        # Time by which the faults are later than planned, in seconds.
        self.lateness = 0.0
        self.records: list[CallerRecord] = []

    async def run(self, until: float) -> None:
        """Send requests until a monotonic time, then wait until all have ended.

        They go on for longer by the time by which the faults are late.
        """
        poll_task = asyncio.create_task(self._poll_readiness())
        while time.monotonic() < until + self.lateness:
            await asyncio.sleep(self._rng.expovariate(self._rate))
            self._start_request()
        await asyncio.gather(*self._tasks)
        poll_task.cancel()
        await asyncio.gather(poll_task, return_exceptions=True)
        for connection in self._idle:
            connection.close()

    async def send_repeatedly(
        self, *, kind: RequestKind, body: str, until: float
    ) -> None:
        """Send one request repeatedly, to any node, regardless of its answers."""
        key = self._rng.choice(("key-a", "key-b"))
        while time.monotonic() < until:
            first = self._new_record(kind, FATAL_EVENTS, DEADLINES[kind])
            record = replace(first, content=body, key=key)
            self.records.append(record)
            await self._send(record, None)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_RESEND_PAUSE_SECONDS))

    async def send_with_parts(self, choices: list[FatalChoice], until: float) -> None:
        """Send streams with one of these choices, no two alike, to any node."""
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(FATAL_PARTS_PER_SECOND))
            choice = self._rng.choice(choices)
            first = self._new_record(
                RequestKind.STREAM, FATAL_EVENTS, DEADLINES[RequestKind.STREAM]
            )
            parts = (*choice.parts, first.attempt)
            record = replace(first, parts=parts, key=choice.key or first.key)
            self.records.append(record)
            sending = self._send_with_retries(record, None, FATAL_PART_RETRIES)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)

    async def send_large(self, node: int, sending_seconds: Sequence[float]) -> None:
        """Send requests with large bodies to one node at once, and await the answers.

        Each takes one of these times to send its body.
        """
        kind = RequestKind.AGAIN
        records = []
        for seconds in sending_seconds:
            record = self._new_record(kind, 1, LARGE_SECONDS, node)
            record.padding = LARGE_BODY_BYTES - len(record.content)
            record.sending_seconds = seconds
            records.append(record)
        self.records += records
        await asyncio.gather(*(self._send(record, None) for record in records))

    async def read_slowly(self, node: int, delays: Sequence[float]) -> None:
        """Ask one node for large answers at once, and read each after its delay."""
        records = []
        for delay in delays:
            record = self._new_record(RequestKind.AGAIN, 1, LARGE_SECONDS, node)
            record.content = f"{LARGE_ANSWER.decode()} {record.attempt}"
            record.is_answer_large = True
            record.reading_delay = delay
            records.append(record)
        self.records += records
        await asyncio.gather(*(self._send(record, None) for record in records))

    async def ask_without_end(self, node: int, count: int) -> None:
        """Send requests to one node that its engines answer without end."""
        records = []
        for _ in range(count):
            kind = RequestKind.AGAIN
            record = self._new_record(kind, 1, DEADLINES[kind], node)
            record.content = f"{ENDLESS_ANSWER.decode()} {record.attempt}"
            records.append(record)
        self.records += records
        await asyncio.gather(*(self._send(record, None) for record in records))

    async def send_connect(self, node: int) -> None:
        """Ask a node for a tunnel, and wait until it answers or closes."""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(READ_GRACE_SECONDS):
                port = self._ports[node][0]
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"CONNECT x:443 HTTP/1.1\r\nHost: x:443\r\n\r\n")
                await reader.readline()
                writer.transport.abort()

    async def _poll_readiness(self) -> None:
        while True:
            for node, (_, port) in enumerate(self._ports):
                if await _is_ready(port):
                    self._ready_nodes.add(node)
                else:
                    self._ready_nodes.discard(node)
            await asyncio.sleep(READINESS_POLL_SECONDS)

    def _start_request(self) -> None:
        rng = self._rng
        connection = self._take_idle_connection()
        node = self._choose_node() if connection is None else connection.node
        kind = rng.choices(list(RequestKind), weights=(6, 3, 2))[0]
        events, seconds = rng.randint(1, 30), DEADLINES[kind]
        if kind is RequestKind.STREAM and rng.random() < LONG_SHARE:
            events, seconds = rng.randint(*LONG_EVENTS), LONG_SECONDS
        record = self._new_record(kind, events, seconds, node)
        record.is_kept = connection is not None
        self.records.append(record)
        task = asyncio.create_task(self._send_with_retries(record, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_record(
        self, kind: RequestKind, events: int, seconds: float, node: int | None = None
    ) -> CallerRecord:
        now = time.monotonic()
        attempt = f"{self._rng.getrandbits(64):016x}"
        return CallerRecord(
            attempt=attempt,
            kind=kind,
            key=self._rng.choice(("key-a", "key-b")),
            node=self._choose_node() if node is None else node,
            events=events,
            sent_at=now,
            deadline=now + seconds,
            content=attempt,
            parts=_draw_parts(attempt) if kind is RequestKind.STREAM else (),
        )

    async def _send_with_retries(
        self,
        record: CallerRecord,
        connection: "_Connection | None",
        max_retries: int | None = None,
    ) -> None:
        """Send a request and retry it, at any node, while it may be repeated."""
        seconds = record.deadline - record.sent_at
        await self._send(record, connection)
        for _ in range(self._max_retries if max_retries is None else max_retries):
            is_whole = record.status == 200 and record.ending is Ending.WHOLE
            may_have_run = record.kind is RequestKind.ONCE and record.status != 503
            if is_whole or may_have_run:
                return
            await asyncio.sleep(self._rng.uniform(0.0, MAX_RETRY_PAUSE_SECONDS))
            again = self._new_record(record.kind, record.events, seconds)
            record = replace(
                again,
                content=record.content,
                key=record.key,
                parts=record.parts,
                is_first_attempt=False,
            )
            self.records.append(record)
            await self._send(record, None)

    def _take_idle_connection(self) -> "_Connection | None":
        self._idle = [c for c in self._idle if c.is_open]
        share = REUSE_SHARE if self.favoured_node is None else SKEWED_REUSE_SHARE
        if not self._idle or self._rng.random() > share:
            return None
        return self._idle.pop(self._rng.randrange(len(self._idle)))

    def _choose_node(self) -> int:
        nodes = list(range(len(self._ports)))
        if self._ready_nodes and self._rng.random() > NOT_READY_SHARE:
            nodes = sorted(self._ready_nodes)
        if self.favoured_node is not None and self._rng.random() < SKEWED_SHARE:
            # The load balancer skews to another node once this one is not ready.
            following = sorted(self._ready_nodes, key=self._distance_from_favoured)
            return following[0] if following else self.favoured_node
        return self._rng.choice(nodes)

    def _distance_from_favoured(self, node: int) -> int:
        return (node - (self.favoured_node or 0)) % len(self._ports)

    async def _send(
        self, record: CallerRecord, connection: "_Connection | None"
    ) -> None:
        try:
            async with asyncio.timeout_at(record.deadline + READ_GRACE_SECONDS):
                if connection is None:
                    connection = await self._connect(record.node)
                await connection.send(record)
        except TimeoutError:
            record.ending = Ending.HELD if record.status == 0 else Ending.CUT
        except (OSError, h11.RemoteProtocolError):
            record.ending = Ending.CUT if record.status else Ending.NONE
        finally:
            record.ended_at = time.monotonic()
            if connection is not None and connection.is_reusable:
                self._idle.append(connection)
            elif connection is not None:
                connection.close()

    async def _connect(self, node: int) -> "_Connection":
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self._ports[node][0]
        )
        return _Connection(node, reader, writer)


class _Connection:
    def __init__(
        self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node = node
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(h11.CLIENT)
        self.is_reusable = False

    @property
    def is_open(self) -> bool:
        return not self._reader.at_eof() and not self._writer.is_closing()

    def close(self) -> None:
        self._writer.transport.abort()

    async def send(self, record: CallerRecord) -> None:
        self.is_reusable = False
        remaining_ms = int((record.deadline - time.monotonic()) * 1000)
        headers = [
            ("host", HOST),
            (names.AUTHORIZATION, f"Bearer {record.key}"),
            (names.ATTEMPT, record.attempt),
            (names.DEADLINE, str(max(1, remaining_ms))),
            ("content-length", str(len(record.content) + record.padding)),
        ]
        if record.kind is RequestKind.STREAM:
            headers += [
                (names.MODEL, "m"),
                (names.PROMPT_PARTS, ",".join(f"{part}:30" for part in record.parts)),
                (names.TOKEN_COUNTS, f"100,{TOKENS_PER_EVENT * record.events}"),
            ]
        head = h11.Request(method="POST", target=PATHS[record.kind], headers=headers)
        data = self._h11.send(head)
        data += self._h11.send(h11.Data(data=record.content.encode()))
        self._writer.write(data)
        async with AsyncExitStack() as stack:
            # An answer may come before the whole body was sent.
            padding = asyncio.create_task(self._send_padding(record))
            stack.push_async_callback(cancel_task, padding)
            await asyncio.sleep(record.reading_delay)
            await self._read_answer(record)

    async def _send_padding(self, record: CallerRecord) -> None:
        left = record.padding
        pieces = -(-left // len(PADDING))
        with suppress(ConnectionError, h11.LocalProtocolError):
            while left:
                piece = PADDING[:left]
                left -= len(piece)
                self._writer.write(self._h11.send(h11.Data(data=piece)) or b"")
                await self._writer.drain()
                await asyncio.sleep(record.sending_seconds / pieces)
            self._writer.write(self._h11.send(h11.EndOfMessage()) or b"")

    async def _read_answer(self, record: CallerRecord) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                record.status = event.status_code
                record.headers = {
                    name.decode(): value.decode() for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                record.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                record.ending = Ending.WHOLE
                break
            else:
                raise ConnectionResetError
        states = (self._h11.our_state, self._h11.their_state)
        if states == (h11.DONE, h11.DONE):
            self._h11.start_next_cycle()
            self.is_reusable = True


def _draw_parts(attempt: str) -> tuple[str, ...]:
    """Draw the parts of a sound stream; the last one is its own."""
    # Seeded by the attempt, so that the seeds of the runs draw the same requests as
    # without parts.
    rng = random.Random(attempt)
    second = RARE_PARTS if rng.random() < RARE_SHARE else SECOND_PARTS
    return (rng.choice(FIRST_PARTS), rng.choice(second), attempt)


async def _is_ready(port: int) -> bool:
    try:
        async with asyncio.timeout(READINESS_POLL_SECONDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False
