"""A stopping node takes a stream that has to wait, and cuts it as it ends."""

import asyncio
import signal
import sys
import time
from typing import Any

import rig

EVENT_SECONDS = 0.1
# Events of the streams that hold the slots, and of those that wait for one.
HOLDING_EVENTS, WAITING_EVENTS = 40, 20
# Events of a stream that keeps the first node at work after its SIGTERM.
LONG_EVENTS = 60
SLOTS = 4
# Times after the first SIGTERM, in seconds: the next SIGTERM, the streams that hold the
# slots, those that wait, and the silence of one engine, which lasts a second.
NEXT_STOP = 1.3
HOLD_AT, SEND_AT, SILENT_AT = 0.6, 3.5, 5.2
SILENT_SECONDS = 1.0
GRACE_SECONDS = 8.0
CLIENT_SECONDS = 7.5


def configuration() -> dict[str, Any]:
    """Return one route of streams to groups of two engines with a few slots."""
    engine = {
        "slots": SLOTS,
        "stride": 7,
        "models": [{"name": "m", "size": 2, "load_s": 0.3}],
        "step_ms": 1000.0 * EVENT_SECONDS / 7,
        "read_per_s": 50000.0,
        "loads_per_s": 10.0,
        "loads_at_once": 6,
        "usual": {"prompt": 100, "answer": 7 * WAITING_EVENTS},
        "far_x": 2.0,
    }
    route = {
        "name": "s",
        "host": rig.HOST,
        "prefix": "/s/",
        "kind": "stream",
        "service": "engines",
        "timeout_ms": 8000,
        "slo_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        "can_resume": True,
        "gap_target_ms": 300,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "engines", "health_path": "/healthz", "engine": engine}],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [{"name": "t", "api_keys": ["key-a"]}],
    }


class Streams:
    """Sends streams on new connections."""

    def __init__(self, deployment: rig.Rig) -> None:
        self._deployment = deployment
        self._number = 0

    async def send(self, node: rig.NodeProcess, events: int) -> rig.Answer:
        """Send one stream and record its answer."""
        self._number += 1
        attempt = f"{self._number:04x}{int(time.time() * 1000) & 0xFFFFFFFF:08x}"
        client = rig.Client(node)
        answer = await client.send(
            attempt,
            "/s/x",
            seconds=CLIENT_SECONDS,
            headers=[
                ("authorization", "Bearer key-a"),
                ("x-mallowpond-model", "m"),
                ("x-mallowpond-token-counts", f"100,{7 * events}"),
                ("x-mallowpond-prompt-prefix", f"a0:30,{attempt}:70"),
            ],
            body=attempt.encode(),
        )
        client.close()
        self._deployment.write(
            "answered",
            attempt=attempt,
            node=node.name,
            events=events,
            sent=round(answer.sent_at - self._deployment.began, 3),
            ended=round(answer.ended_at - self._deployment.began, 3),
            status=answer.status,
            ending=answer.ending,
            got=answer.body.count(b"\n\n"),
        )
        return answer


async def head_number(deployment: rig.Rig) -> int:
    """Return the number of the engine whose entry says that it heads an open group."""
    entries = (await deployment.operator.entries()).values()
    addresses = [
        entry["address"]
        for entry in entries
        if (entry.get("group") or {}).get("state") == "open"
    ]
    if not addresses:
        return -1
    return deployment.engine_ports.index(int(addresses[0].rpartition(":")[2]))


async def case(deployment: rig.Rig) -> int:
    """Stop two of three nodes in turn, and send streams to the first one meanwhile."""
    await deployment.start_store()
    await deployment.operator.configure(configuration())
    for _ in range(2):
        deployment.add_engine_process(
            "engines", domain="d0", models={"m": 0.3}, event_seconds=EVENT_SECONDS
        )
    for _ in range(3):
        deployment.add_node().start()
    first, second, third = deployment.nodes

    async def is_open() -> bool:
        ready = [await deployment.is_ready(node) for node in deployment.nodes]
        return all(ready) and await deployment.operator.count_open_groups() >= 1

    await deployment.wait_for(is_open, "an open group")
    await asyncio.sleep(4.0)
    head = await head_number(deployment)
    if head < 0:
        return rig.NOT_RUN
    streams = Streams(deployment)
    for node in deployment.nodes:
        await streams.send(node, 5)
    holding = [asyncio.create_task(streams.send(first, LONG_EVENTS))]
    await asyncio.sleep(0.3)
    began = time.monotonic()

    async def until(seconds: float) -> None:
        await asyncio.sleep(began + seconds - time.monotonic())

    first.signal(signal.SIGTERM)
    deployment.write("SIGTERM", node=first.name)
    await until(HOLD_AT)
    holding += [
        asyncio.create_task(streams.send(third, HOLDING_EVENTS))
        for _ in range(SLOTS - 1)
    ]
    await until(NEXT_STOP)
    second.signal(signal.SIGTERM)
    deployment.write("SIGTERM", node=second.name)
    await until(SEND_AT)
    ready = [await deployment.is_ready(node) for node in deployment.nodes]
    deployment.write("readiness", ready=ready)
    waiting = []
    for _ in range(SLOTS - 1):
        waiting.append(asyncio.create_task(streams.send(first, WAITING_EVENTS)))
        await asyncio.sleep(0.02)
    await until(SILENT_AT)
    if rig.HAS_TROUBLE:
        deployment.write("engine silent", seconds=SILENT_SECONDS)
        deployment.engine_processes[head].send_signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_SECONDS)
    deployment.engine_processes[head].send_signal(signal.SIGCONT)
    deployment.write("engine goes on")
    held = await asyncio.gather(*holding)
    answers = await asyncio.gather(*waiting)
    await until(GRACE_SECONDS)
    ran = {line["attempt"] for line in deployment.journal() if line["event"] == "run"}
    broken_off = {
        line["attempt"]
        for line in deployment.journal()
        if line["event"] in ("broken off", "crash")
    }
    lost = [
        answer.attempt
        for answer in answers
        if answer.ending != "whole"
        and answer.attempt in ran - broken_off
        and answer.sent_at - began > 3.0
        and answer.ended_at - answer.sent_at < CLIENT_SECONDS
    ]
    whole = sum(answer.status == 200 and answer.ending == "whole" for answer in answers)
    deployment.write("judged", lost=lost, whole=whole)
    if lost:
        return rig.BROKEN
    if any(answer.status != 200 for answer in held) or not whole:
        return rig.NOT_RUN
    return rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run(case, sys.argv[1]))
