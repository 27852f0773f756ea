"""Stand-ins for the engines of a plain service, many of them in one process.

Each listens on a port of its own, has an entry in the store, serves `SLOTS` requests at
once and queues `QUEUE` more, and drains as PROTOCOL.md says before it ends.
"""

import asyncio
import json
import secrets
import time
from typing import Any

from mallowpond.standins.observatory_store import WRITER_HEADER, pack
from mallowpond.transport.http_client import CallFailed, HttpClient

SLOTS, QUEUE = 6, 24
HEARTBEAT_SECONDS = 0.4
DRAIN_SECONDS = 2.0
# How much longer than the drain time an engine serves, in seconds.
EXTRA_SECONDS = 0.3


class PlainEngine:
    """One engine: a listening port, and what it runs."""

    def __init__(self, *, service: str, work_seconds: float) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.is_draining = False
        self.runs = 0
        # Ids of the requests that it got.
        self.arrivals: set[str] = set()
        self._service = service
        self._work_seconds = work_seconds
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.sequence = 0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self._port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End: stop to listen, and close every connection in order."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the entry for the store."""
        self.sequence += 1
        return {
            "service": self._service,
            "address": f"127.0.0.1:{self._port}",
            "zone": "hall-a",
            "version": "1",
            "slots": SLOTS,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self._born,
        }

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        headers = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        attempt = headers.get("x-mallowpond-attempt-id", "")
        self.arrivals.add(attempt)
        await reader.readexactly(int(headers.get("content-length", "0")))
        echo = f"X-Mallowpond-Attempt-Id: {attempt}\r\n"
        if headers.get("x-mallowpond-expect-instance", self.id) != self.id:
            answer = f"HTTP/1.1 421 Misdirected\r\n{echo}Content-Length: 0\r\n\r\n"
        elif self._held >= SLOTS + QUEUE:
            answer = (
                "HTTP/1.1 503 Full\r\nX-Mallowpond-Not-Executed: 1\r\n"
                f"{echo}Content-Length: 0\r\n\r\n"
            )
        else:
            self._held += 1
            try:
                async with self._slots:
                    self.runs += 1
                    await asyncio.sleep(self._work_seconds)
            finally:
                self._held -= 1
            body = f"answer to {attempt}"
            answer = (
                f"HTTP/1.1 200 OK\r\n{echo}"
                f"X-Mallowpond-Server-Stamp: {self.id}.{attempt}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            )
        writer.write(answer.encode())
        await writer.drain()
        return True


class PlainEngines:
    """The engines of one service, and their entries in the store."""

    def __init__(self, *, store: str, service: str, work_seconds: float) -> None:
        self._store = store
        self.service = service
        self._work_seconds = work_seconds
        self._http = HttpClient()
        self._entry_tasks: set[asyncio.Task[None]] = set()
        self.live: list[PlainEngine] = []
        self.ended = 0

    async def add(self) -> PlainEngine:
        """Start an engine and write its entry."""
        engine = PlainEngine(service=self.service, work_seconds=self._work_seconds)
        await engine.start()
        self.live.append(engine)
        await self._write([engine])
        return engine

    async def drain(self, engine: PlainEngine) -> None:
        """Let an engine leave: announced, served on, its entry removed, ended."""
        engine.is_draining = True
        while not await self._write([engine]):
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_SECONDS)
        self.live.remove(engine)
        while not await self._write([], removed=engine):
            await asyncio.sleep(0.1)
        await asyncio.sleep(EXTRA_SECONDS)
        await engine.close()
        self.ended += 1

    async def run(self) -> None:
        """Renew the entries until cancelled."""
        while True:
            await self._write(self.live)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self) -> None:
        """End all engines at once."""
        for engine in self.live:
            await engine.close()
        await self._http.close()

    async def _write(
        self, engines: list[PlainEngine], removed: PlainEngine | None = None
    ) -> bool:
        def row(engine: PlainEngine) -> dict[str, Any]:
            return {"table": "servers", "part": "", "key": engine.id}

        change: dict[str, Any] = {
            "writes": [{**row(each), "value": pack(each.entry())} for each in engines]
        }
        if removed is not None:
            change["delete"] = [row(removed)]
        answer = await self._http.fetch(
            self._store,
            "POST",
            "/-/rows-tx",
            headers=((WRITER_HEADER, "engine"),),
            body=json.dumps(change).encode(),
            timeout=1.0,
        )
        return not isinstance(answer, CallFailed) and answer[0] == 200
