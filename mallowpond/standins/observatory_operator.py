"""Stand in for the platform's operator: write configurations, look at the engines."""

import base64
import json
from typing import Any

from mallowpond.standins.observatory_store import (
    ENGINES_TABLE,
    WRITER_HEADER,
    pack,
    unpack,
)
from mallowpond.transport.http_client import CallFailed, HttpClient

CALL_SECONDS = 1.0
# Fields without which an entry names no engine.
NEEDED_FIELDS = ("service", "address", "zone", "slots", "state", "born")
WRONG_FIELDS: tuple[dict[str, Any], ...] = (
    {"service": 7},
    {"service": None},
    {"service": "nowhere"},
    {"address": None},
    {"address": ["127.0.0.1", 80]},
    {"zone": 1},
    {"slots": "eight"},
    {"slots": [8]},
    {"state": "melted"},
    {"state": 1},
    {"born": "now"},
    {"born": 1.5},
    {"models": 5},
    {"models": [{"version": 1}]},
    {"staged": [7]},
    {"staged": 1},
    {"group": "g"},
    {"group": {"name": "g", "epoch": "one", "rank": 0, "state": "open"}},
    {"group": {"name": "g", "epoch": 1, "rank": 0, "state": "melted"}},
)
UNREADABLE = (b"", b"\xff\xfe{", b'{"service": "engi', b"\x00" * 40)
# Keys that no engine has.
INVALID_IDS = ("", " ", "i-", "no id", "i-\u2603", "../op/config", "x" * 200)


class ObservatoryOperator:
    """Write to a store's stand-in what only the operator may write."""

    def __init__(self, *, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def configure(self, document: dict[str, Any]) -> bool:
        """Write a configuration; tell whether the store accepted it."""
        row = {"table": "op", "part": "", "key": "config", "value": pack(document)}
        return await self._post("/-/rows-tx", {"writes": [row]})

    async def drop_history(self) -> bool:
        """Let the store forget its changes."""
        return await self._post("/standin/drop-history", {})

    async def write_foreign(self, key: str, value: bytes, seconds: float) -> bool:
        """Let the store hold an engine's entry of another writer for a time."""
        packed = base64.b64encode(value).decode()
        document = {"key": key, "value": packed, "seconds": seconds}
        return await self._post("/standin/foreign", document)

    async def count_open_groups(self) -> int:
        """Return how many engines say that their group is open; 0 without an answer."""
        entries = (await self.entries()).values()
        return sum((e.get("group") or {}).get("state") == "open" for e in entries)

    async def entries(self) -> dict[str, dict[str, Any]]:
        """Return each engine's own entry by its id; nothing without an answer."""
        answer = await self._http.fetch(
            self._address,
            "GET",
            f"/-/rows-get?table={ENGINES_TABLE}&part=",
            timeout=CALL_SECONDS,
        )
        if isinstance(answer, CallFailed) or answer[0] != 200:
            return {}
        found = {r["key"]: unpack(r["value"]) for r in json.loads(answer[1])["rows"]}
        return {key: e for key, e in found.items() if _is_own(e)}

    async def _post(self, target: str, document: dict[str, Any]) -> bool:
        answer = await self._http.fetch(
            self._address,
            "POST",
            target,
            headers=((WRITER_HEADER, "operator"),),
            body=json.dumps(document).encode(),
            timeout=CALL_SECONDS,
        )
        return not isinstance(answer, CallFailed) and answer[0] == 200


def _is_own(entry: Any) -> bool:
    """Tell whether an engine wrote an entry: each of them says its group, or none."""
    return isinstance(entry, dict) and isinstance(entry.get("group", 0), dict | None)


def foreign_values(entry: dict[str, Any]) -> tuple[bytes, ...]:
    """Return entries of other writers that look like this one, and name no engine."""
    wrong = [{k: v for k, v in entry.items() if k != name} for name in NEEDED_FIELDS]
    wrong += [{**entry, **change} for change in WRONG_FIELDS]
    unlike = [None, 7, "star", [], {}]
    documents = tuple(json.dumps(document).encode() for document in (*wrong, *unlike))
    return (*documents, *UNREADABLE)


def soak_configuration(
    version: int,
    *,
    group_size: int,
    load_seconds: float,
    workspaces: dict[str, str | None],
) -> dict[str, Any]:
    """Write a configuration with a route of each kind; a workspace may have no key."""
    engine = {
        "slots": 8,
        "stride": 7,
        "models": [{"name": "m", "size": group_size, "load_s": load_seconds}],
        "step_ms": 2.8,
        "read_per_s": 50000.0,
        "loads_per_s": 10.0,
        "loads_at_once": 6,
        "usual": {"prompt": 100, "answer": 100},
        "far_x": 2.0,
    }
    return {
        "version": version,
        "routes": [
            _route("s", "stream", "engines", 6000, can_resume=True, gap_target_ms=300),
            _route("once", "non_idempotent", "plain", 1500),
            _route("again", "idempotent", "plain", 1500),
        ],
        "services": [
            {"name": "engines", "health_path": "/healthz", "engine": engine},
            {"name": "plain", "health_path": "/healthz"},
        ],
        "limits": {"header_timeout_ms": 2000, "idle_timeout_ms": 10000},
        "tenants": [
            {"name": name, "api_keys": [] if key is None else [key]}
            for name, key in workspaces.items()
        ],
    }


def _route(name: str, kind: str, service: str, timeout: int, **more: Any) -> dict:
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout,
        "slo_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }
