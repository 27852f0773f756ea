"""A node that starts just after the store came back from a copy admits a revoked key.

The node was stopped as planned before, and its peers know the revocation all the while.
"""

import asyncio
import signal
import sys
import time
from typing import Any

import rig

# revoke_ms of the deployment, the time from the revocation to the drill, and the age of
# the copy from which the store comes back: it is from before the revocation.
REVOKE_SECONDS = 5.0
DRILL_SECONDS = 5.5
COPY_AGE_SECONDS = 6.5
AWAY_SECONDS = 0.4
# Time after the store's return at which the operator has written again what it wrote.
REWRITE_SECONDS = 0.9
# Time from the revocation to the planned stop of a node, and from the store's return to
# the start of that node.
STOP_SECONDS = 1.5
START_SECONDS = 0.1
OLD_KEY, KEPT_KEY = "key-b", "key-a"


def configuration(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return one route of calls for callers with one of these keys."""
    route = {
        "name": "again",
        "host": rig.HOST,
        "prefix": "/again/",
        "kind": "idempotent",
        "service": "plain",
        "timeout_ms": 1500,
        "slo_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "plain", "health_path": "/healthz"}],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [
            {"name": f"tenant-{key}", "api_keys": [key] if key in keys else []}
            for key in (KEPT_KEY, OLD_KEY)
        ],
    }


class Caller:
    """Sends calls with one key, and records the answers."""

    def __init__(self, deployment: rig.Rig) -> None:
        self._deployment = deployment
        self._number = 0
        self.sent: dict[str, float] = {}

    async def call(self, node: rig.NodeProcess, key: str) -> rig.Answer:
        """Send one call on a new connection."""
        self._number += 1
        attempt = f"{self._number:04x}{int(time.time() * 1000) & 0xFFFFFFFF:08x}"
        client = rig.Client(node)
        if key == OLD_KEY:
            self.sent[attempt] = time.monotonic()
        answer = await client.send(
            attempt,
            "/again/x",
            seconds=1.5,
            headers=[("authorization", f"Bearer {key}")],
        )
        client.close()
        self._deployment.write(
            "answered",
            attempt=attempt,
            node=node.name,
            key=key,
            status=answer.status,
            ending=answer.ending,
            body=answer.body.decode("latin-1"),
        )
        return answer


async def case(deployment: rig.Rig) -> int:
    """Revoke a key, restore the store, restart a node, and try the key there."""
    await deployment.start_store()
    await deployment.operator.configure(configuration(1, (KEPT_KEY, OLD_KEY)))
    for _ in range(2):
        await deployment.add_engine("plain")
    for _ in range(3):
        deployment.add_node().start()
    caller = Caller(deployment)

    async def is_up() -> bool:
        return all([await deployment.is_ready(node) for node in deployment.nodes])

    await deployment.wait_for(is_up, "ready nodes")
    await asyncio.sleep(COPY_AGE_SECONDS - DRILL_SECONDS + 1.0)
    before = [await caller.call(node, OLD_KEY) for node in deployment.nodes]
    if any(answer.status != 200 for answer in before):
        return rig.NOT_RUN
    await deployment.operator.configure(configuration(2, (KEPT_KEY,)))
    revoked_at = time.monotonic()
    deployment.write("revoked", key=OLD_KEY)
    await asyncio.sleep(STOP_SECONDS)
    node = deployment.nodes[-1]
    node.signal(signal.SIGTERM)
    deployment.write("node stopping", node=node.name)
    await asyncio.sleep(revoked_at + DRILL_SECONDS - time.monotonic())
    if node.process is None or node.process.poll() is None:
        return rig.NOT_RUN
    after = [await caller.call(each, OLD_KEY) for each in deployment.nodes[:-1]]
    if any(answer.status != 401 for answer in after):
        return rig.NOT_RUN
    if rig.HAS_TROUBLE:
        await deployment.operator.restore(
            age=COPY_AGE_SECONDS,
            away_seconds=AWAY_SECONDS,
            rewrite_seconds=REWRITE_SECONDS,
        )
        deployment.write("store away", copy_age=COPY_AGE_SECONDS)
    await asyncio.sleep(AWAY_SECONDS)
    returned_at = time.monotonic()
    deployment.write("store back", era=deployment.store.era)
    await asyncio.sleep(START_SECONDS)
    node.start()
    deployment.write("node started", node=node.name)
    # The platform sends clients to a node once that reports ready.
    while not await deployment.is_ready(node):
        if time.monotonic() - returned_at > REWRITE_SECONDS + 10.0:
            return rig.NOT_RUN
        await asyncio.sleep(0.02)
    deployment.write("node ready", node=node.name)
    ready_at = time.monotonic()
    while time.monotonic() - ready_at < 2.0:
        await caller.call(node, OLD_KEY)
        await asyncio.sleep(0.01)
    kept = [await caller.call(each, KEPT_KEY) for each in deployment.nodes]
    # CONFIG: a request sent later than revoke_ms after the ack of the configuration
    # that took its key away runs, at any machine.
    ran = {line["attempt"] for line in deployment.journal() if line["event"] == "run"}
    late = [
        attempt
        for attempt, sent_at in caller.sent.items()
        if sent_at - revoked_at > REVOKE_SECONDS and attempt in ran
    ]
    deployment.write("judged", late_runs=late)
    if late:
        return rig.BROKEN
    if any(answer.status != 200 for answer in kept):
        return rig.NOT_RUN
    return rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run(case, sys.argv[1]))
