"""Send requests to the nodes and remember all that came back."""

import asyncio
import random
import time
from dataclasses import replace

import h11

from mallowpond.platform import headers as names
from soak.records import CallerRecord, Ending, Kind

READ_SIZE = 65536
STRIDE = 7
HOST = "h.example"
PATHS = {Kind.STREAM: "/s/x", Kind.ONCE: "/once/x", Kind.AGAIN: "/again/x"}
DEADLINES = {Kind.STREAM: 3.0, Kind.ONCE: 1.5, Kind.AGAIN: 1.5}
# Time beyond its deadline for which a caller listens, in seconds.
LISTEN_SECONDS = 2.5
# Share of callers that go to a node also when it says that it is not ready, as a
# balancer sends them when most nodes say so.
STRAY_SHARE = 0.1
READY_LOOK_SECONDS = 0.3
# Share of requests that go on a kept connection where there is one, whether or not
# its node says that it is ready: callers use connections until they close.
KEPT_SHARE = 0.7
# Share of streams that last for seconds, so that many nodes are told to stop while
# they run; their number of events, and their time.
LONG_SHARE = 0.04
LONG_EVENTS = (100, 200)
LONG_SECONDS = 6.0
# Longest pauses before a caller sends a request that was not answered whole again, and
# before one that never is comes again, in seconds.
RETURN_SECONDS = 0.8
INSIST_SECONDS = 0.4
# Events of a stream that ends its engine: it would last longer than the engine does.
FATAL_EVENTS = 30


class Callers:
    """Keep requests coming, at random times, on kept and on new connections."""

    def __init__(
        self,
        *,
        ports: list[tuple[int, int]],
        rate: float,
        rng: random.Random,
        returns: int = 0,
    ) -> None:
        self._ports = ports
        self._rate = rate
        self._rng = rng
        # How often a caller comes again with a request that was not answered whole.
        self._returns = returns
        self._ready: set[int] = set()
        self._kept: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.records: list[CallerRecord] = []

    async def run(self, until: float) -> None:
        """Send requests until a time, then let them end."""
        looking = asyncio.create_task(self._look())
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(self._rate))
            self._begin()
        await asyncio.gather(*self._tasks)
        looking.cancel()
        await asyncio.gather(looking, return_exceptions=True)
        for connection in self._kept:
            connection.close()

    async def insist(self, *, kind: Kind, body: str, until: float) -> None:
        """Send one request again and again, at any node, whatever comes of it."""
        key = self._rng.choice(("key-a", "key-b"))
        while time.monotonic() < until:
            first = self._record(kind, FATAL_EVENTS, DEADLINES[kind])
            record = replace(first, content=body, key=key)
            self.records.append(record)
            await self._ask(record, None)
            await asyncio.sleep(self._rng.uniform(0.0, INSIST_SECONDS))

    async def _look(self) -> None:
        while True:
            for node, (_, port) in enumerate(self._ports):
                if await _is_ready(port):
                    self._ready.add(node)
                else:
                    self._ready.discard(node)
            await asyncio.sleep(READY_LOOK_SECONDS)

    def _begin(self) -> None:
        rng = self._rng
        connection = self._take_kept()
        node = self._choose_node() if connection is None else connection.node
        kind = rng.choices(list(Kind), weights=(6, 3, 2))[0]
        events, seconds = rng.randint(1, 30), DEADLINES[kind]
        if kind is Kind.STREAM and rng.random() < LONG_SHARE:
            events, seconds = rng.randint(*LONG_EVENTS), LONG_SECONDS
        record = self._record(kind, events, seconds, node)
        record.is_kept = connection is not None
        self.records.append(record)
        task = asyncio.create_task(self._persist(record, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record(
        self, kind: Kind, events: int, seconds: float, node: int | None = None
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
        )

    async def _persist(
        self, record: CallerRecord, connection: "_Connection | None"
    ) -> None:
        """Ask, and ask again elsewhere while the request may be repeated."""
        seconds = record.deadline - record.sent_at
        await self._ask(record, connection)
        for _ in range(self._returns):
            is_whole = record.status == 200 and record.ending is Ending.WHOLE
            may_have_run = record.kind is Kind.ONCE and record.status != 503
            if is_whole or may_have_run:
                return
            await asyncio.sleep(self._rng.uniform(0.0, RETURN_SECONDS))
            again = self._record(record.kind, record.events, seconds)
            record = replace(again, content=record.content, key=record.key)
            self.records.append(record)
            await self._ask(record, None)

    def _take_kept(self) -> "_Connection | None":
        self._kept = [c for c in self._kept if c.is_open]
        if not self._kept or self._rng.random() > KEPT_SHARE:
            return None
        return self._kept.pop(self._rng.randrange(len(self._kept)))

    def _choose_node(self) -> int:
        nodes = list(range(len(self._ports)))
        if self._ready and self._rng.random() > STRAY_SHARE:
            nodes = sorted(self._ready)
        return self._rng.choice(nodes)

    async def _ask(
        self, record: CallerRecord, connection: "_Connection | None"
    ) -> None:
        try:
            async with asyncio.timeout_at(record.deadline + LISTEN_SECONDS):
                if connection is None:
                    connection = await self._connect(record.node)
                await connection.ask(record)
        except TimeoutError:
            record.ending = Ending.HELD if record.status == 0 else Ending.CUT
        except (OSError, h11.RemoteProtocolError):
            record.ending = Ending.CUT if record.status else Ending.NONE
        finally:
            record.ended_at = time.monotonic()
            if connection is not None and connection.is_reusable:
                self._kept.append(connection)
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
        self._state = h11.Connection(h11.CLIENT)
        self.is_reusable = False

    @property
    def is_open(self) -> bool:
        return not self._reader.at_eof() and not self._writer.is_closing()

    def close(self) -> None:
        self._writer.transport.abort()

    async def ask(self, record: CallerRecord) -> None:
        self.is_reusable = False
        left = int((record.deadline - time.monotonic()) * 1000)
        headers = [
            ("host", HOST),
            (names.AUTHORIZATION, f"Bearer {record.key}"),
            (names.ATTEMPT, record.attempt),
            (names.DEADLINE, str(max(1, left))),
            ("content-length", str(len(record.content))),
        ]
        if record.kind is Kind.STREAM:
            headers += [
                (names.MODEL, "m"),
                (names.TOKEN_COUNTS, f"100,{STRIDE * record.events}"),
            ]
        head = h11.Request(method="POST", target=PATHS[record.kind], headers=headers)
        data = self._state.send(head)
        data += self._state.send(h11.Data(data=record.content.encode()))
        data += self._state.send(h11.EndOfMessage())
        self._writer.write(data)
        await self._read(record)

    async def _read(self, record: CallerRecord) -> None:
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                self._state.receive_data(await self._reader.read(READ_SIZE))
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
        states = (self._state.our_state, self._state.their_state)
        if states == (h11.DONE, h11.DONE):
            self._state.start_next_cycle()
            self.is_reusable = True


async def _is_ready(port: int) -> bool:
    try:
        async with asyncio.timeout(READY_LOOK_SECONDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False
