"""Run nodes as processes, with stand-ins of the store and the engines on loopback.

The nodes are started with the command of the deploy file. The store and the engines
are the project's stand-ins, run in the process of the script; each engine is reached
through a `Front`, a small proxy that can change what the engine answers.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from mallowpond.standins.observatory_engine import EngineOptions, ObservatoryEngine
from mallowpond.standins.observatory_operator import ObservatoryOperator
from mallowpond.standins.observatory_store import ObservatoryStore
from mallowpond.transport.http_client import HttpClient

ROOT = Path(__file__).resolve().parent.parent
HOST = "h.example"
READ_SIZE = 65536
# Results of a case: the rule held, was broken, or the case could not run. `run.sh`
# turns BROKEN into 1; an error of the script itself, which also ends with 1, becomes 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# Longest time of a case, in seconds: its processes must be ended within 120 s.
LIMIT_SECONDS = 100.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Front:
    """Proxy before one engine: passes on the bytes, or lets `change` alter them.

    `change` gets each chunk of the engine's bytes and the head of the request that it
    answers. `before` returns bytes that the engine sends ahead of its next answer.
    """

    def __init__(
        self,
        port: int,
        *,
        change: Callable[[bytes, bytes], bytes] = lambda request, data: data,
        before: Callable[[dict[str, Any], bytes], bytes] | None = None,
        after: Callable[[dict[str, Any], bytes, bytes], None] | None = None,
    ) -> None:
        self._port = port
        self._change = change
        self._before = before
        self._after = after
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        behind, to_engine = await asyncio.open_connection("127.0.0.1", self._port)
        # What is known of this connection: the request being answered and `before`'s
        # and `after`'s own notes.
        state: dict[str, Any] = {}

        async def forward() -> None:
            while data := await reader.read(READ_SIZE):
                state["request"] = data
                if self._before is not None:
                    extra = self._before(state, data)
                    if extra:
                        writer.write(extra)
                to_engine.write(data)

        async def back() -> None:
            while data := await behind.read(READ_SIZE):
                request = state.get("request", b"")
                if self._after is not None:
                    self._after(state, request, data)
                writer.write(self._change(request, data))
            if writer.can_write_eof():
                writer.write_eof()

        tasks = [asyncio.ensure_future(forward()), asyncio.ensure_future(back())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            to_engine.transport.abort()


@dataclass(kw_only=True)
class NodeProcess:
    """One node, started with the command of the deploy file."""

    name: str
    address: str
    settings: Path
    log: Path
    port: int
    ready: int
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "MALLOWPOND_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "-P", "-m", "mallowpond", "node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass(kw_only=True)
class Answer:
    """What a client got: `ending` is whole, cut (in the answer) or none (before it)."""

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ending: str = "none"
    ended_at: float = 0.0


class Client:
    """Client on one kept connection to a node."""

    def __init__(self, node: NodeProcess) -> None:
        self._node = node
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._h11 = h11.Connection(h11.CLIENT)

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
        self._h11 = h11.Connection(h11.CLIENT)

    async def send(
        self,
        attempt: str,
        path: str,
        *,
        seconds: float,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        method: str = "POST",
    ) -> Answer:
        """Send a request and return the answer; the connection is kept if it may be."""
        answer = Answer(attempt=attempt, sent_at=time.monotonic())
        try:
            async with asyncio.timeout(seconds + 2.0):
                await self._exchange(answer, path, seconds, headers, body, method)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            answer.ending = "cut" if answer.status else "none"
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    async def _exchange(
        self,
        answer: Answer,
        path: str,
        seconds: float,
        headers: list[tuple[str, str]],
        body: bytes,
        method: str,
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._node.address, self._node.port
            )
        assert self._reader is not None
        all_headers = [
            ("host", HOST),
            ("x-mallowpond-attempt-id", answer.attempt),
            ("x-mallowpond-deadline-ms", str(int(seconds * 1000))),
            *headers,
        ]
        if body or method != "GET":
            all_headers.append(("content-length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=all_headers)
        data = (self._h11.send(request) or b"") + (
            self._h11.send(h11.Data(data=body)) or b""
        )
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.ending = "whole"
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError
        if (self._h11.our_state, self._h11.their_state) == (h11.DONE, h11.DONE):
            self._h11.start_next_cycle()
        else:
            self.close()


class Rig:
    """A small deployment, and the record of what was sent, answered and run."""

    def __init__(self, record: Path) -> None:
        self._record = record.open("w", encoding="utf-8")
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.began = time.monotonic()
        self.store = ObservatoryStore()
        self.store_port = free_port()
        self._http = HttpClient()
        self.operator = ObservatoryOperator(
            http=self._http, address=f"127.0.0.1:{self.store_port}"
        )
        self.engines: list[ObservatoryEngine] = []
        self.fronts: list[Front] = []
        self.nodes: list[NodeProcess] = []
        self.engine_processes: list[subprocess.Popen[bytes]] = []
        self.engine_ports: list[int] = []
        self._expiry: asyncio.Task[None] | None = None

    def write(self, event: str, **values: Any) -> None:
        """Write a line of the record."""
        at = round(time.monotonic() - self.began, 3)
        line = {"at": at, "event": event, **values}
        self._record.write(json.dumps(line, ensure_ascii=True) + "\n")
        self._record.flush()

    async def start_store(self) -> None:
        """Start the stand-in of the store."""
        await self.store.server.start("127.0.0.1", self.store_port)
        self._expiry = asyncio.ensure_future(self.store.run_expiry())

    async def add_engine(
        self, service: str, *, front: dict[str, Any] | None = None, **options: Any
    ) -> ObservatoryEngine:
        """Start the stand-in of an engine behind a `Front`."""
        port = free_port()
        proxy = Front(port, **(front or {}))
        await proxy.start()
        self.fronts.append(proxy)
        number = len(self.engines)
        options.setdefault("domain", "")
        engine = ObservatoryEngine(
            options=EngineOptions(
                host="127.0.0.1",
                port=port,
                advertised=f"127.0.0.1:{proxy.port}",
                store=f"127.0.0.1:{self.store_port}",
                service=service,
                data_centre="a",
                journal=str(self.folder / f"engine{number}.journal"),
                **options,
            )
        )
        await engine.start()
        self.engines.append(engine)
        return engine

    def add_engine_process(self, service: str, **options: Any) -> None:
        """Start the stand-in of an engine as a process, which may be stopped."""
        number, port = len(self.engine_processes), free_port()
        path = self.folder / f"engine{number}.json"
        document = {
            "host": "127.0.0.1",
            "port": port,
            "advertised": f"127.0.0.1:{port}",
            "store": f"127.0.0.1:{self.store_port}",
            "service": service,
            "data_centre": "a",
            "journal": str(self.folder / f"engine{number}.journal"),
            **options,
        }
        path.write_text(json.dumps(document))
        program = str(ROOT / "review" / "engine.py")
        process = subprocess.Popen([sys.executable, "-S", "-P", program, str(path)])
        self.engine_processes.append(process)
        self.engine_ports.append(port)

    def add_node(self, *, first_start: bool = True) -> NodeProcess:
        """Write the settings of a node as the deploy file's template does."""
        number = len(self.nodes)
        address = f"127.0.0.{21 + number}"
        port, ready, peers, metrics = (free_port(address) for _ in range(4))
        path = self.folder / f"node{number}.toml"
        path.write_text(
            f'name = "front-a-{number}"\ndata_centre = "a"\naddress = "{address}"\n'
            f'callers = "{address}:{port}"\nreadiness = "{address}:{ready}"\n'
            f'peer_port = {peers}\nstore = "127.0.0.1:{self.store_port}"\n'
            f"first_start = {json.dumps(first_start)}\nmetrics_port = {metrics}\n"
            'guarantees = ["base", "drain", "config", "cost", "retry", "recover", '
            '"engine", "stream", "tenants", "platform", "gangs"]\n'
            "cpu_share = 0.537\ncpu_cores = 2\n[bounds]\nrevoke = 5000e-3\n"
            "grace = 8\nstall = 4000e-3\nchecks_fencing = true\nretry_ratio = 0.2\n"
            "retry_window = 10\nretry_slack = 132\n[planning]\nrebalance = true\n"
            "regroup_slow = true\n"
        )
        node = NodeProcess(
            name=f"front-a-{number}",
            address=address,
            settings=path,
            log=self.folder / f"node{number}.log",
            port=port,
            ready=ready,
        )
        self.nodes.append(node)
        return node

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node answers the platform's readiness check with 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(node.address, node.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool]], what: str, seconds: float = 30.0
    ) -> None:
        """Wait for a condition; raise TimeoutError if it does not come in time."""
        limit = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > limit:
                raise TimeoutError(what)
            await asyncio.sleep(0.1)

    def journal(self) -> list[dict[str, Any]]:
        """Return what the engines did, by time."""
        lines = []
        for path in self.folder.glob("engine*.journal"):
            lines += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(lines, key=lambda line: line["at"])

    def record_runs(self) -> None:
        """Copy the runs at the engines into the record."""
        for line in self.journal():
            if line["event"] in ("run", "disconnected", "broken off", "crash"):
                kept = {k: line.get(k) for k in ("engine", "attempt", "tenant")}
                at = round(line["at"] - self.began, 3)
                self.write("engine", what=line["event"], engine_at=at, **kept)

    async def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.kill()
        for process in self.engine_processes:
            process.kill()
            process.wait()
        for front in self.fronts:
            await front.close()
        for engine in self.engines:
            await engine.close()
        if self._expiry is not None:
            self._expiry.cancel()
        await self.store.server.close()
        await self._http.close()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                sys.stderr.write(node.log.read_text(errors="replace"))
        self._record.close()
        self._folder.cleanup()


def run(case: Callable[[Rig], Awaitable[int]], folder: str) -> int:
    """Run a case, and return the exit code of its script."""

    async def main() -> int:
        rig = Rig(Path(folder) / "record.txt")
        rig.write("begin", trouble=HAS_TROUBLE)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                code = await case(rig)
        except Exception as error:
            # An error of the script itself says nothing of the rule.
            traceback.print_exc()
            rig.write("not run", reason=repr(error))
            code = NOT_RUN
        try:
            rig.record_runs()
            rig.write("end", code=code)
        finally:
            await rig.close()
        return code

    return asyncio.run(main())
