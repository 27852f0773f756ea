"""Take the keys of the last tenant away, and see whose requests run afterwards."""

import asyncio
import time
from pathlib import Path
from typing import Any

from lab import BROKEN, HELD, HOST, REVOKE_SECONDS, TROUBLE, Lab, call, run_case
from lab import new_attempt as new

KEY_A, KEY_B = "n2ctnfzs989anu6wsjnb", "p7w3kq0x5r1m8t2y6z4c"
NEVER_HELD = "zzzz0000never0held00"
# Slack for the clocks of this test, beyond the bound, in seconds.
MARGIN_SECONDS = 1.0
ROUNDS = 20


def document(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one plain service."""
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
    service = {
        "name": "station-archive",
        "health_path": "/healthz",
        "max_conns": 100,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": tenants,
    }


async def send(lab: Lab, key: str | None, sent: dict[str, str | None]) -> int:
    """Send one request with a key to each node in turn; return the last status."""
    status = 0
    for node in lab.nodes:
        attempt = new()
        headers = {
            "X-Mallowpond-Attempt-Id": attempt,
            "X-Mallowpond-Deadline-Ms": "1500",
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        sent[attempt] = key
        answer = await call(node.callers, "POST", "/log/x", headers, b"a sighting")
        status = answer.status
        lab.log(f"{node.name} key={key} attempt={attempt} -> {status} {answer.error}")
    return status


async def main(lab: Lab) -> int:
    """Play the case."""
    both = [
        {"name": "hule930", "api_keys": [KEY_A]},
        {"name": "seva104", "api_keys": [KEY_B]},
    ]
    await lab.start_store(document(3, both))
    for number in range(3):
        lab.start_engine(f"engine-{number}", {"service": "station-archive"})
    for number in range(2):
        lab.start_node(number)
    await lab.wait_until_ready()
    early: dict[str, str | None] = {}
    await lab.wait_for(lambda: _is_served(lab, early), "a served request")
    for key in (KEY_A, KEY_B, NEVER_HELD, None):
        await send(lab, key, early)
    changes = [(8, both[1:]), (13, [])] if TROUBLE else [(8, both), (13, both)]
    for version, tenants in changes:
        accepted = await lab.operator.configure(document(version, tenants))
        acked_at = time.monotonic()
        names = [tenant["name"] for tenant in tenants]
        lab.log(f"operator: version {version}, tenants {names}, acked={accepted}")
        await asyncio.sleep(3.0)
        for key in (KEY_A, KEY_B, NEVER_HELD):
            await send(lab, key, early)
    await asyncio.sleep(
        max(0.0, acked_at + REVOKE_SECONDS + MARGIN_SECONDS - time.monotonic())
    )
    late: dict[str, str | None] = {}
    for _ in range(ROUNDS):
        for key in (KEY_A, KEY_B, NEVER_HELD, None):
            await send(lab, key, late)
    await asyncio.sleep(1.0)
    held = {KEY_A, KEY_B} if not TROUBLE else set()
    wrong = 0
    for run in lab.journal("run"):
        attempt = run["attempt"]
        if attempt not in early | late:
            continue
        key = early.get(attempt) or late.get(attempt)
        lab.log(f"{run['name']} runs {attempt} key={key} tenant={run['tenant']}")
        # Requests without any key are recorded, but not judged.
        if key is None:
            continue
        if key == NEVER_HELD or (attempt in late and key not in held):
            wrong += 1
    judged = sum(key is not None for key in late.values())
    judged += sum(key == NEVER_HELD for key in early.values())
    lab.log(f"{wrong} of {judged} requests ran with a key that is not in force")
    return BROKEN if wrong else HELD


async def _is_served(lab: Lab, sent: dict[str, str | None]) -> bool:
    return await send(lab, KEY_B, sent) == 200


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
