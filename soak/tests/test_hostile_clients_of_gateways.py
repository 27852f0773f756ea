"""Tests that crowds of misbehaving clients neither end a gateway nor a controller."""

import asyncio
import time

import pytest

from mallowpond.programs.tests.cluster import Cluster, http
from mallowpond.settings import GatewaySettings
from soak.crowds import CrowdKind, running_crowd
from soak.memory import resources_of

# What a gateway and a controller may use that are told nothing else.
MEMORY_BYTES = 300e6
DESCRIPTORS = 1024
PATH = "/v1/completions"
CROWD_SECONDS = 8.0
PATIENCE_SECONDS = 60.0
# Requests of ordinary callers beside a crowd, and how often each is sent.
ORDINARY_REQUESTS = 5
ORDINARY_ATTEMPTS = 3
POLL_SECONDS = 0.02


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cluster")
    with Cluster(folder=folder, engines=8, controllers=1, gateways=1) as running:
        running.wait_ready()
        assert running.apply().json["version"] == 1
        running.wait_serving("gateway0")
        yield running


async def _watch(process, excesses):
    """Kill a process that exceeds its memory or its descriptors, and record it."""
    while process.poll() is None:
        try:
            used = resources_of(process.pid)
        except (OSError, ValueError):
            return
        if used[0] > MEMORY_BYTES or used[1] > DESCRIPTORS:
            excesses.append(used)
            process.kill()
        await asyncio.sleep(POLL_SECONDS)


def _is_served(cluster):
    try:
        return cluster.complete("hello").status == 200
    except OSError:
        return False


def _is_ready(cluster, name):
    try:
        return http("GET", cluster.url(name, "/readyz")).status == 200
    except OSError:
        return False


async def _try(check, process):
    """Return whether a check holds at one of a few attempts."""
    for _ in range(ORDINARY_ATTEMPTS):
        if process.poll() is None and await asyncio.to_thread(check):
            return True
    return False


async def _meet(cluster, name, kind, clients, check):
    """Let a crowd come to a process while and after it must pass a check."""
    process, excesses, during = cluster.processes[name], [], []
    watching = asyncio.create_task(_watch(process, excesses))
    async with running_crowd(
        kind=kind, clients=clients, port=cluster.ports[name], path=PATH
    ) as complete:
        async with asyncio.timeout(PATIENCE_SECONDS):
            await complete.wait()
        ends_at = time.monotonic() + CROWD_SECONDS
        while all(during) and len(during) < ORDINARY_REQUESTS:
            during.append(await _try(check, process))
        while time.monotonic() < ends_at and process.poll() is None:
            await asyncio.sleep(POLL_SECONDS)
    limit = time.monotonic() + PATIENCE_SECONDS
    while not (after := await _try(check, process)):
        if process.poll() is not None or time.monotonic() > limit:
            break
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    if process.poll() is not None:
        # The next test needs it.
        cluster.start(name)
        cluster.wait_serving()
    return excesses, during, after


def test_the_bounds_are_those_that_the_settings_give():
    settings = GatewaySettings(name="g", controllers=("127.0.0.1:1",))
    assert 1e6 * settings.memory_mb == MEMORY_BYTES
    assert settings.descriptors == DESCRIPTORS


@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        (CrowdKind.LARGE_CHUNKS, 200),
        (CrowdKind.SHORT_BODIES, 100),
        (CrowdKind.BARE_AHEAD, 60),
        (CrowdKind.LARGE_AHEAD, 400),
        (CrowdKind.BYTE_CHUNKS, 20),
        (CrowdKind.SILENT, 1200),
    ],
    ids=["chunks", "bodies", "bare ahead", "large ahead", "byte chunks", "silent"],
)
def test_a_crowd_neither_ends_a_gateway_nor_keeps_others_out(kind, clients, cluster):
    """Guards against limits that hold at the node's listener only."""
    result = asyncio.run(
        _meet(cluster, "gateway0", kind, clients, lambda: _is_served(cluster))
    )
    assert result == ([], ORDINARY_REQUESTS * [True], True)


@pytest.mark.parametrize(
    ("kind", "clients"),
    [
        (CrowdKind.LARGE_CHUNKS, 200),
        (CrowdKind.LARGE_AHEAD, 400),
        (CrowdKind.SILENT, 1200),
    ],
    ids=["chunks", "large ahead", "silent"],
)
def test_a_crowd_neither_ends_a_controller_nor_keeps_others_out(kind, clients, cluster):
    """Guards against limits that hold where callers connect only."""
    result = asyncio.run(
        _meet(
            cluster,
            "controller0",
            kind,
            clients,
            lambda: _is_ready(cluster, "controller0"),
        )
    )
    assert result == ([], ORDINARY_REQUESTS * [True], True)
