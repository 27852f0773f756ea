"""An engine's answers have a header with bytes beyond ASCII; they reach no caller."""

import asyncio
import sys
import time
from typing import Any

import rig

CONNECTIONS = 8
PLAIN_NAME = b'inline; filename="gunluk-ozet.txt"'
# The same name as its author spells it, in UTF-8.
SPELLED_NAME = 'inline; filename="günlük-özet.txt"'.encode()


def change(request: bytes, data: bytes) -> bytes:
    """Add the name of the file to an engine's answer under /once/named."""
    if not request.startswith(b"POST /once/named ") or b" 200 " not in data[:15]:
        return data
    name = SPELLED_NAME if rig.HAS_TROUBLE else PLAIN_NAME
    status, end, rest = data.partition(b"\r\n")
    return status + end + b"content-disposition: " + name + end + rest


def configuration() -> dict[str, Any]:
    """Return one route of calls that run at most once."""
    route = {
        "name": "once",
        "host": rig.HOST,
        "prefix": "/once/",
        "kind": "non_idempotent",
        "service": "plain",
        "timeout_ms": 1500,
        "slo_ms": 300,
        "priority": 1,
        "max_attempts": 1,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "plain", "health_path": "/healthz"}],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "t", "api_keys": ["key-a"]}],
    }


async def case(deployment: rig.Rig) -> int:
    """Send two calls on each connection; the second gets an answer with the name."""
    await deployment.start_store()
    await deployment.operator.configure(configuration())
    for _ in range(2):
        await deployment.add_engine("plain", front={"change": change})
    for _ in range(2):
        deployment.add_node().start()

    async def is_up() -> bool:
        return all([await deployment.is_ready(node) for node in deployment.nodes])

    await deployment.wait_for(is_up, "ready nodes")
    # The machines are in touch only contact_ms after their start.
    await asyncio.sleep(4.0)
    lost, whole = [], 0
    for number in range(CONNECTIONS):
        node = deployment.nodes[number % len(deployment.nodes)]
        client = rig.Client(node)
        for path in ("/once/plain", "/once/named"):
            attempt = f"{number:02x}{len(path):02x}{time.monotonic_ns() & 2**40 - 1:x}"
            answer = await client.send(
                attempt,
                path,
                seconds=1.5,
                headers=[("authorization", "Bearer key-a")],
                body=b"once",
            )
            is_whole = answer.status == 200 and answer.ending == "whole"
            whole += is_whole
            if answer.ending == "none":
                lost.append(attempt)
            deployment.write(
                "answered",
                attempt=attempt,
                path=path,
                node=node.name,
                status=answer.status,
                ending=answer.ending,
                body=answer.body.decode("latin-1"),
            )
        client.close()
    # LOST: passed on from a kept connection to a sound engine, and the connection is
    # closed without an answer, more than three times at one machine.
    ran = {line["attempt"] for line in deployment.journal() if line["event"] == "run"}
    counted = [attempt for attempt in lost if attempt in ran]
    deployment.write("judged", whole=whole, lost_after_run=counted)
    if len(counted) > 3 * len(deployment.nodes):
        return rig.BROKEN
    return rig.HELD if whole == 2 * CONNECTIONS else rig.NOT_RUN


if __name__ == "__main__":
    sys.exit(rig.run(case, sys.argv[1]))
