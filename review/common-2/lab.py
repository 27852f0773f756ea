"""Start nodes, the store and engines as processes on loopback, and call the nodes.

The nodes run as the deploy file runs them: `python3 -S -P -m mallowpond node` with the
modules of target/deps and a settings file that MALLOWPOND_BOOT names.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mallowpond.standins.observatory_operator import ObservatoryOperator
from mallowpond.transport.http_client import HttpClient

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STANDINS = ROOT / "target" / "review-2"
HOST = "h.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of the small deployments, as DEPLOY.md shows them, in seconds.
REVOKE_SECONDS = 5.0
GRACE_SECONDS = 8.0
STALL_SECONDS = 4.0
FIRST_NODE_ADDRESS = 31
READY_SECONDS = 25.0
# Time for a case without the end of its processes, in seconds.
LIMIT_SECONDS = 112.0
RESULTS = {HELD: "held", BROKEN: "broken"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so that nothing is known of the rule."""


@dataclass(kw_only=True)
class Answer:
    """What a client saw of one request.

    status: 0 without a complete head. is_complete: the body came to its marked end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    seconds: float = 0.0
    attempt: str = ""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def new_attempt() -> str:
    """Return a new id of a client attempt."""
    return secrets.token_hex(8)


class Connection:
    """A client's connection to a node, which may be used for several requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        timeout: float = 5.0,
    ) -> Answer:
        """Send one request and return what came of it within `timeout` seconds."""
        answer, began = Answer(), time.monotonic()
        answer.attempt = headers.get("X-Mallowpond-Attempt-Id", "")
        try:
            async with asyncio.timeout(timeout):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address
                    )
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await self._read(answer)
        except TimeoutError:
            answer.error = "no answer in time"
        except (OSError, EOFError, ValueError) as error:
            answer.error = repr(error)
        answer.seconds = time.monotonic() - began
        closes = answer.headers.get("connection", "").lower() == "close"
        if not answer.is_complete or closes:
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        reader = self._reader
        assert reader is not None
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, colon, value = line.partition(":")
            if colon:
                answer.headers[name.strip().lower()] = value.strip()
        answer.status = status
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await reader.readline(), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.is_complete = True


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout: float = 5.0,
) -> Answer:
    """Send one request on a new connection, which is closed afterwards."""
    connection = Connection(address)
    try:
        return await connection.call(method, path, headers, body, timeout=timeout)
    finally:
        connection.close()


@dataclass(kw_only=True)
class NodeProcess:
    """A node, with the addresses on which it serves."""

    name: str
    process: subprocess.Popen[bytes]
    callers: tuple[str, int]
    readiness: tuple[str, int]


class Lab:
    """A store, engines and nodes as processes, and the record of what happened."""

    def __init__(self, record: Path) -> None:
        self._record = record.open("w", buffering=1)
        self._began = time.monotonic()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._http = HttpClient()
        self.store_port = free_port()
        self.store = f"127.0.0.1:{self.store_port}"
        self.operator = ObservatoryOperator(http=self._http, address=self.store)
        self.nodes: list[NodeProcess] = []
        self.engines: dict[str, Path] = {}

    def log(self, text: str) -> None:
        """Write a line with the time since the start into the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    async def close(self) -> None:
        """Kill every process that was started here, and remove the folder."""
        for process in self._processes:
            with suppress(ProcessLookupError):
                process.kill()
        for process in self._processes:
            process.wait()
        await self._http.close()
        self._record.close()
        self._folder.cleanup()

    def start(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str],
        *,
        max_files: int | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start a process with a clean environment; its output goes to the folder."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        command = [sys.executable, "-S", "-P", *arguments]
        if max_files is not None:
            limit = f"ulimit -n {max_files} && exec "
            command = ["sh", "-c", limit + '"$@"', "sh", *command]
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**kept, **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process

    def start_standin(
        self, name: str, kind: str, options: dict[str, Any], script: str = "standin.py"
    ) -> subprocess.Popen[bytes]:
        """Start a stand-in that was built into target/review-2."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(options))
        modules = {"PYTHONPATH": f"{STANDINS}:{DEPS}"}
        return self.start(name, [str(STANDINS / script), kind, str(path)], modules)

    async def start_store(self, document: dict[str, Any]) -> None:
        """Start the store, and write the first configuration."""
        self.start_standin(
            "store", "store", {"host": "127.0.0.1", "port": self.store_port}
        )
        await self.wait_for(lambda: self.operator.configure(document), "the store")

    def start_engine(self, name: str, options: dict[str, Any]) -> Path:
        """Start one of the project's engines; return its journal."""
        port = options.get("port") or free_port()
        journal = self.folder / f"{name}.journal"
        document = {
            "host": "127.0.0.1",
            "port": port,
            "advertised": f"127.0.0.1:{port}",
            "store": self.store,
            "domain": "",
            "data_centre": "hall-a",
            "journal": str(journal),
            "id": f"i-{secrets.token_hex(4)}",
            **options,
        }
        self.start_standin(name, "engine", document)
        self.engines[name] = journal
        return journal

    def start_node(
        self, number: int, *, max_files: int | None = None, more: str = ""
    ) -> NodeProcess:
        """Start a node with settings like those of a small deployment."""
        ip = f"127.0.0.{FIRST_NODE_ADDRESS + number}"
        callers, readiness = (ip, free_port(ip)), (ip, free_port(ip))
        name = f"front-hall-a-{number + 1}"
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'name = "{name}"\ndata_centre = "hall-a"\naddress = "{ip}"\n'
            f'callers = "{ip}:{callers[1]}"\nreadiness = "{ip}:{readiness[1]}"\n'
            f'peer_port = {free_port(ip)}\nstore = "{self.store}"\n'
            "first_start = true\nmetrics_port = 0\n"
            'guarantees = ["base", "drain", "config", "cost", "retry", "recover", '
            '"engine", "stream", "tenants", "platform", "gangs"]\n'
            "cpu_share = 0.537\ncpu_cores = 2\n"
            f"[bounds]\nrevoke = {REVOKE_SECONDS}\ngrace = {GRACE_SECONDS}\n"
            f"stall = {STALL_SECONDS}\nchecks_fencing = true\nretry_ratio = 0.2\n"
            "retry_window = 10\nretry_slack = 132\n"
            "[planning]\nrebalance = true\nregroup_slow = true\n" + more
        )
        process = self.start(
            name,
            ["-m", "mallowpond", "node"],
            {"PYTHONPATH": str(DEPS), "MALLOWPOND_BOOT": str(path)},
            max_files=max_files,
        )
        node = NodeProcess(
            name=name, process=process, callers=callers, readiness=readiness
        )
        self.nodes.append(node)
        return node

    async def is_ready(self, node: NodeProcess) -> bool:
        """Ask for a node's readiness once, as the platform does."""
        answer = await call(node.readiness, "GET", "/-/readyz", {}, timeout=1.0)
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until every node says that it is ready."""
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.is_ready(node), node.name)

    async def wait_for(
        self, condition: Any, what: str, seconds: float = READY_SECONDS
    ) -> None:
        """Wait until a condition holds; raise `CannotRun` if it does not in time."""
        limit = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > limit:
                raise CannotRun(f"{what} did not come up")
            await asyncio.sleep(0.1)

    def journal(self, event: str) -> list[dict[str, Any]]:
        """Return the entries of one kind in the journals of all engines, by time."""
        found = []
        for name, path in self.engines.items():
            for line in path.read_text().splitlines():
                entry = json.loads(line)
                if entry["event"] == event:
                    found.append({**entry, "name": name})
        return sorted(found, key=lambda entry: entry["at"])


def run_case(main: Any, folder: Path) -> None:
    """Run a case, and exit with its result: 0 held, 1 broken, 2 could not run.

    Only a case that judged exits with 0 or 1, and its record then ends with the result;
    whatever else goes wrong, also SIGTERM, ends with 2.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        lab = Lab(folder / "record.txt")
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                result = await main(lab)
            lab.log(f"result: {RESULTS[result]}")
        except (Exception, asyncio.CancelledError) as error:
            lab.log(f"could not run: {error!r}")
            result = NOT_RUN
        finally:
            await lab.close()
        return result

    sys.exit(asyncio.run(run()))
