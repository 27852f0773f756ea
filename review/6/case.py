"""Let clients send bodies of the allowed size at once, to a node of 300 MB."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from lab import (
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Answer,
    CannotRun,
    Connection,
    Lab,
    NodeProcess,
    call,
    new_attempt,
    run_case,
)
from plain_engines import PlainEngines

KEY = "n2ctnfzs989anu6wsjnb"
MEMORY_MB = 300
# Four fifths of the link, so that no packets wait there.
UPLOAD_BYTES_PER_SECOND = 100e6
MAX_BODY_BYTES = 4194304
USUAL_BODY_BYTES = 600
ENGINES, WORK_SECONDS = 3, 0.045
# Together 1.7 times as many as the 35 clients of a zone of the site.
UPLOADERS, OTHERS = 44, 15
PIECE = b"x" * 65536
WATCH_SECONDS = 0.005


def document() -> dict[str, Any]:
    """Return a configuration with one plain service and the limits of the pages."""
    route = {
        "name": "sighting-log",
        "host": HOST,
        "prefix": "/log/",
        "kind": "non_idempotent",
        "service": "station-archive",
        "timeout_ms": 800,
        "slo_ms": 150,
        "priority": 2,
        "max_attempts": 1,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [
            {"name": "station-archive", "health_path": "/healthz", "max_conns": 100}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


def headers() -> dict[str, str]:
    """Return the headers of a new request."""
    return {
        "X-Mallowpond-Attempt-Id": new_attempt(),
        "X-Mallowpond-Deadline-Ms": "1500",
        "Authorization": f"Bearer {KEY}",
    }


class Client(Connection):
    """A client on a kept connection, with the answers to its requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address)
        self.answers: list[Answer] = []

    async def send(self, size: int, bytes_per_second: float) -> None:
        """Send one request with a body of this size, no faster than the link."""
        named = {**headers(), "Content-Length": str(size)}
        head = ["POST /log/x HTTP/1.1", f"Host: {HOST}"]
        head += [f"{name}: {value}" for name, value in named.items()]
        answer = Answer(attempt=named["X-Mallowpond-Attempt-Id"])
        self.answers.append(answer)
        began = time.monotonic()
        try:
            async with asyncio.timeout(6.0):
                assert self._writer is not None
                self._writer.write("\r\n".join([*head, "", ""]).encode())
                sent = 0
                while sent < size:
                    piece = PIECE[: size - sent]
                    self._writer.write(piece)
                    await self._writer.drain()
                    sent += len(piece)
                    early = began + sent / bytes_per_second - time.monotonic()
                    await asyncio.sleep(max(0.0, early))
                await self._read(answer)
        except (OSError, EOFError) as error:
            answer.error = repr(error)
        answer.seconds = time.monotonic() - began

    async def be_busy(self) -> None:
        """Send small requests until the connection ends, or until cancelled."""
        while True:
            answer = await self.call("POST", "/log/x", headers(), b"x" * 600)
            self.answers.append(answer)
            if not answer.is_complete:
                return


async def enforce_memory(lab: Lab, node: NodeProcess) -> None:
    """Kill a node that exceeds its memory, as the platform does.

    Only the memory counts that the process has for itself, without its program.
    """
    peak = 0
    while node.process.poll() is None:
        text = Path(f"/proc/{node.process.pid}/status").read_text()
        used = int(text.split("RssAnon:")[1].split()[0]) // 1024
        if used > peak + 20:
            peak = used
            lab.log(f"{node.name} uses {used} MB")
        if used > MEMORY_MB:
            node.process.kill()
            lab.log(f"{node.name} exceeds {MEMORY_MB} MB and is killed")
            return
        await asyncio.sleep(WATCH_SECONDS)


async def main(lab: Lab) -> int:
    """Play the case."""
    await lab.start_store(document())
    engines = PlainEngines(
        store=lab.store, service="station-archive", work_seconds=WORK_SECONDS
    )
    for _ in range(ENGINES):
        await engines.add()
    node = lab.start_node(0)
    tasks = [
        asyncio.create_task(engines.run()),
        asyncio.create_task(enforce_memory(lab, node)),
    ]
    await lab.wait_until_ready()

    async def is_served() -> bool:
        return (await call(node.callers, "POST", "/log/x", headers())).status == 200

    await lab.wait_for(is_served, "a served request")
    uploaders = [Client(node.callers) for _ in range(UPLOADERS)]
    others = [Client(node.callers) for _ in range(OTHERS)]
    for client in uploaders:
        first = await client.call("POST", "/log/x", headers(), b"x" * 600)
        if first.status != 200:
            raise CannotRun(f"the first request got {first.status}")
    tasks += [asyncio.create_task(client.be_busy()) for client in others]
    await asyncio.sleep(3.0)
    size = MAX_BODY_BYTES if TROUBLE else USUAL_BODY_BYTES
    lab.log(f"{UPLOADERS} clients send {size} bytes each")
    share = UPLOAD_BYTES_PER_SECOND / UPLOADERS
    await asyncio.gather(*(client.send(size, share) for client in uploaders))
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    arrived = set().union(*(engine.arrivals for engine in engines.live))
    await engines.close()
    lost, seen = 0, Counter()
    for client in (*uploaders, *others):
        for answer in client.answers:
            seen[answer.status or answer.error.partition("(")[0]] += 1
            if not answer.is_complete and answer.attempt in arrived:
                lost += 1
                lab.log(f"{answer.attempt} reached an engine -> {answer.error}")
    lab.log(f"answers by status, or how the connection ended: {dict(seen)}")
    lab.log(f"the node's process goes on: {node.process.poll() is None}")
    lab.log(f"{lost} requests on kept connections reached an engine and got no answer")
    return BROKEN if lost > 3 else HELD


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
