"""Demonstration: start a complete system, serve two requests and keep running."""

import asyncio
import json

import typer

from mallowpond.controller.operator_api import Accepted
from mallowpond.programs.site import API_KEY, Site, key_hash
from mallowpond.transport.http_client import CallFailed, HttpClient

START_SECONDS = 40.0
DECLARATION = f"""
[[deployments]]
name = "meteor"
model = "meteor-7b"
replicas = 2
hosts_per_group = 4
load_seconds = 0.5

[[workspaces]]
name = "skyfall"
key_sha256 = "{key_hash(API_KEY)}"

[[kinds]]
name = "alert-note"
repeatable = false
"""


class DemoFailed(Exception):
    """A step of the demonstration failed."""


async def run_demo(*, once: bool, stop: asyncio.Event) -> None:
    """Run the demonstration until `stop`, or with `once` for just the two requests."""
    async with Site() as site:
        await _apply_and_wait(site)
        http = HttpClient()
        try:
            await _send_and_print(http, site, "A streamed completion", stream=True)
            await _send_and_print(
                http, site, "A request that may not be repeated", key="note-1"
            )
        finally:
            await http.close()
        if once:
            return
        _print_example_commands(site)
        await stop.wait()


async def _apply_and_wait(site: Site) -> None:
    try:
        async with asyncio.timeout(START_SECONDS):
            applied = await site.apply(DECLARATION)
            if not isinstance(applied, Accepted):
                raise DemoFailed(f"the declaration was refused: {applied.detail}")
            await site.until_serving("meteor", 2)
    except TimeoutError:
        raise DemoFailed(f"no groups served within {START_SECONDS} s") from None
    typer.echo(f"Configuration version {applied.version} is in force. Groups:")
    for group in site.controllers[0].groups.groups().values():
        typer.echo(f"  {group.group}: {', '.join(group.hosts)}")


async def _send_and_print(
    http: HttpClient,
    site: Site,
    title: str,
    *,
    stream: bool = False,
    key: str | None = None,
) -> None:
    fields = {"model": "meteor-7b", "prompt": "fireball", "max_tokens": 4}
    headers = [("authorization", f"Bearer {API_KEY}")]
    if key is not None:
        headers += [("idempotency-key", key), ("mallowpond-kind", "alert-note")]
    before = _started_requests(site)
    response = await http.fetch(
        site.gateway_address,
        "POST",
        "/v1/completions",
        headers=tuple(headers),
        body=json.dumps(fields | {"stream": stream}).encode(),
        timeout=20.0,
    )
    if isinstance(response, CallFailed):
        raise DemoFailed(f"{title}: {response.reason}")
    status, body = response
    if status != 200:
        raise DemoFailed(f"{title}: status {status}: {body.decode()}")
    (group,) = {
        g for g, count in _started_requests(site).items() if count > before.get(g, 0)
    }
    typer.echo(f"{title} was served by {group}:")
    typer.echo("  " + body.decode().strip().replace("\n", "\n  "))


def _started_requests(site: Site) -> dict[str, int]:
    """Return the number of requests started by each group."""
    return {e.status().group: len(e.runs) for e in site.engines if e.runs}


def _print_example_commands(site: Site) -> None:
    gateway = f"http://{site.gateway_address}"
    operator = f"http://{site.controllers[0].operator_address}"
    example_body = (
        '{"model": "meteor-7b", "prompt": "star", "max_tokens": 4, "stream": true}'
    )
    typer.echo("\nThe system stays up. Try:")
    typer.echo(
        f"  curl -N {gateway}/v1/completions -H 'Authorization: Bearer {API_KEY}'"
        f" -d '{example_body}'"
    )
    typer.echo(f"  curl {gateway}/metrics")
    typer.echo(f"  bin/mallowpond query --controller {operator} 'show groups'")
    typer.echo("End it with Ctrl-C.")
