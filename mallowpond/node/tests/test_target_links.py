"""Tests of connections to targets of a host whose own links fail."""

import asyncio
import random
from collections import deque
from dataclasses import replace
from types import SimpleNamespace

import pytest

from mallowpond.node.directory import Directory
from mallowpond.node.messages import Heartbeat
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.target_links import TargetLinks
from mallowpond.node.tests.fakes import FakeClock, FakeSource, listing, member
from mallowpond.transport.connector import Connected, ConnectFailed

TARGETS = [replace(member(f"t{n}", "g", n), domain=f"d{n % 3}") for n in range(6)]
PEERS = ("p1", "p2", "p3")
# Time for which a connection hangs, in seconds.
HANGING_SECONDS = 0.3


class LoopClock:
    """Clock of the event loop."""

    def now(self):
        """Return the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds):
        """Sleep."""
        await asyncio.sleep(seconds)


class FakeWriter:
    """Writer of a connection that only counts whether it was aborted."""

    def __init__(self):
        self.transport = self
        self.is_aborted = False

    def abort(self):
        """Record the end."""
        self.is_aborted = True


class Network:
    """Ways between one host, its peers and the targets, which may be cut."""

    def __init__(self):
        self.mode = "sound"
        self.dead = set()
        self.peers_without_links = set()
        self.opened = []
        self.tried = []

    async def connect(self, address):
        """Open a direct connection as the network allows."""
        self.tried.append(address)
        if address in self.dead or self.mode == "refused":
            return ConnectFailed(reason="refused", is_refused=True)
        if self.mode == "silent":
            await asyncio.sleep(HANGING_SECONDS)
            return ConnectFailed(reason="connect timeout")
        await asyncio.sleep(0)
        return self._open("")

    async def open_tunnel(self, name, target, seconds):
        """Open a connection through a peer as the network allows."""
        await asyncio.sleep(0.001)
        if name in self.peers_without_links or target.address in self.dead:
            return ConnectFailed(reason="refused")
        return self._open(name)

    def _open(self, proxy):
        opened = Connected(reader=None, writer=FakeWriter(), proxy=proxy)
        self.opened.append(opened)
        return opened


async def make_links(*peers):
    """Return the links of a host over a fake network."""
    network, clock = Network(), LoopClock()
    source = FakeSource(listed=deque([listing(*TARGETS)]))
    directory = Directory(source=source, clock=FakeClock())
    await directory.refresh()
    heartbeats = {
        name: Heartbeat(
            node=name,
            incarnation="1",
            address="",
            version=1,
            sure=True,
            store=True,
            stopping=False,
            planning=0,
            data_centre=name,
        )
        for name in peers
    }
    known = SimpleNamespace(
        live=[SimpleNamespace(heartbeat=h) for h in heartbeats.values()],
        live_heartbeat=heartbeats.get,
    )
    links = TargetLinks(
        directory=directory,
        peers=known,
        clock=clock,
        metrics=NodeMetrics(),
        rng=random.Random(1),
        direct=network,
    )
    links._open_tunnel = network.open_tunnel
    return links, network


async def test_a_sound_link_is_used_without_a_peer():
    links, network = await make_links(*PEERS)
    opened = await links.connect("t0:1")
    assert opened.proxy == ""
    assert len(network.opened) == 1


@pytest.mark.parametrize("mode", ["refused", "silent"])
async def test_a_failing_link_is_bypassed_and_recognized(mode):
    """Guards against hosts whose callers fail with the host's own links."""
    links, network = await make_links(*PEERS)
    network.mode = mode
    began = asyncio.get_running_loop().time()
    opened = await links.connect("t0:1")
    assert opened.proxy in PEERS
    assert asyncio.get_running_loop().time() - began < 0.15
    assert not await links.confirm("engines")
    await asyncio.sleep(HANGING_SECONDS + 0.1)
    assert links.lost == {"engines"}


async def test_dead_targets_leave_the_links_as_they_are():
    """Guards against a host that hands over its work since some engines crashed."""
    links, network = await make_links(*PEERS)
    network.dead = {target.address for target in TARGETS[:5]}
    for target in TARGETS[:5]:
        assert isinstance(await links.connect(target.address), ConnectFailed)
    assert not links.lost
    assert isinstance(await links.connect("t5:1"), Connected)


async def test_lost_links_ask_peers_at_once_and_are_restored_by_connections():
    links, network = await make_links(*PEERS)
    changes = []
    links.on_change.append(lambda: changes.append(bool(links.lost)))
    network.mode = "refused"
    for target in TARGETS:
        await links.connect(target.address)
    network.tried.clear()
    tunnel = await links.connect("t0:1")
    assert links.lost == {"engines"}
    assert network.tried == []
    assert tunnel.proxy in PEERS
    network.mode = "sound"
    await links._try_direct("engines")
    assert changes == [True, False]


async def test_a_service_that_is_removed_has_no_lost_links():
    """Guards against a host that never plans again after a service was removed."""
    links, network = await make_links(*PEERS)
    network.mode = "refused"
    for target in TARGETS:
        await links.connect(target.address)
    assert links.lost == {"engines"}
    links._directory._replace_targets({})
    await links._try_direct("engines")
    assert not links.lost


async def test_peers_without_links_are_passed_over():
    """Guards against failing while most hosts are cut off with this one."""
    links, network = await make_links(*PEERS)
    network.mode, network.peers_without_links = "refused", {"p1", "p2"}
    for target in TARGETS:
        assert (await links.connect(target.address)).proxy == "p3"


async def test_a_host_whose_peers_have_no_links_either_is_not_to_blame():
    """Guards against all hosts that give up their work at the same time."""
    links, network = await make_links(*PEERS)
    network.mode, network.peers_without_links = "refused", set(PEERS)
    for target in TARGETS:
        assert isinstance(await links.connect(target.address), ConnectFailed)
    assert not links.lost
    assert not await links.confirm("engines")


async def test_a_caller_that_leaves_ends_the_attempts():
    """Guards against connections to engines that nobody uses or closes."""
    links, network = await make_links(*PEERS)
    network.mode = "silent"
    task = asyncio.create_task(links.connect("t0:1"))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.1)
    assert network.opened == []
