"""Test helpers that call the gateways of an embedded site."""

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass

from mallowpond.coordination.clock import MonotonicClock
from mallowpond.coordination.ports import Clock
from mallowpond.programs.site import API_KEY, Site, SiteShape, key_hash
from mallowpond.standins.engine import EngineFaults
from mallowpond.transport.http_client import CallFailed, End, HttpClient, HttpResponse

DECLARATION = f"""
[[deployments]]
name = "meteor"
model = "meteor-7b"
replicas = 2
hosts_per_group = 2
load_seconds = 0.0
requests_per_group = 4
expected_seconds = 0.05

[[workspaces]]
name = "kurul-a"
key_sha256 = "{key_hash(API_KEY)}"
units_per_day = 10000

[[workspaces]]
name = "poor"
key_sha256 = "{key_hash("poor-key")}"
units_per_day = 10

[[kinds]]
name = "alert-note"
repeatable = false
"""


@dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller received; `is_complete` is whether the body ended properly."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def outcome(self) -> str:
        """Return the outcome that a refusal states."""
        return json.loads(self.body)["outcome"]

    @property
    def reason(self) -> str:
        """Return the reason that a refusal states."""
        return json.loads(self.body)["reason"]

    @property
    def text(self) -> str:
        """Return the text of a completion that was not streamed."""
        return json.loads(self.body)["choices"][0]["text"]

    @property
    def events(self) -> list[str]:
        """Return the texts of a streamed completion, in order."""
        parts = [e[6:] for e in self.body.split(b"\n\n") if e.startswith(b"data: {")]
        return [p["choices"][0]["text"] for p in map(json.loads, parts) if "id" in p]


@asynccontextmanager
async def serving_site(
    declaration: str = DECLARATION,
    groups: int = 2,
    clock: Clock | None = None,
    **shape,
):
    """Run a site, of four engines in two domains by default, until it serves."""
    shape = {"engines": 4, "step_seconds": 0.002} | shape
    async with Site(shape=SiteShape(**shape), clock=clock or MonotonicClock()) as site:
        await site.apply(declaration)
        await site.until_serving("meteor", groups)
        yield site


async def ask(
    site: Site,
    prompt: str = "star",
    *,
    gateway: int = 0,
    key: str | None = None,
    token: str = API_KEY,
    headers: tuple[tuple[str, str], ...] = (),
    **fields: object,
) -> Reply:
    """Request a completion from one gateway and read the reply to its end."""
    sent = (("authorization", f"Bearer {token}"), *headers)
    if key is not None:
        sent += (("idempotency-key", key),)
    asked = {"model": "meteor-7b", "prompt": prompt, "max_tokens": 4} | fields
    address = f"127.0.0.1:{site.gateways[gateway].port}"
    return await send(
        address, "POST", "/v1/completions", json.dumps(asked).encode(), sent
    )


async def ask_chat(
    site: Site, *contents: str, gateway: int = 0, token: str = API_KEY
) -> Reply:
    """Request a chat completion for messages with these contents."""
    messages = [{"role": "user", "content": content} for content in contents]
    asked = {"model": "meteor-7b", "messages": messages, "max_tokens": 4}
    address = f"127.0.0.1:{site.gateways[gateway].port}"
    path, headers = "/v1/chat/completions", (("authorization", f"Bearer {token}"),)
    return await send(address, "POST", path, json.dumps(asked).encode(), headers)


async def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """Make one HTTP call and read the reply to its end."""
    http = HttpClient()
    try:
        answer = await http.send(address, method, path, headers=headers, body=body)
        assert isinstance(answer, HttpResponse), answer
        return await _read_reply(answer)
    finally:
        await http.close()


async def _read_reply(answer: HttpResponse) -> Reply:
    body, is_complete = b"", False
    async for event in answer.events():
        if isinstance(event, End):
            is_complete = True
        elif not isinstance(event, CallFailed):
            body += event.data
    answer.close()
    return Reply(
        status=answer.status, headers=answer.headers, body=body, is_complete=is_complete
    )


def set_faults(site: Site, **faults: object) -> None:
    """Set the same faults in every engine."""
    for engine in site.engines:
        engine.set_faults(EngineFaults(**faults))


def runs(site: Site) -> list[str]:
    """Return the ids of the requests that the engines have started."""
    return [run for engine in site.engines for run in engine.runs]


def counter(site: Site, name: str, gateway: int = 0, **labels: str) -> float:
    """Return a counter of a gateway, 0 if it was never incremented."""
    registry = site.gateways[gateway].metrics.registry
    return registry.get_sample_value(f"mallowpond_{name}_total", labels) or 0.0
