"""The parts of a node together, over fakes."""

import asyncio
from collections import deque

from mallowpond.node.outcomes import Answered
from mallowpond.node.peers import GroupFigures, Heartbeat
from mallowpond.node.ports import NodePorts
from mallowpond.node.service import build
from mallowpond.node.settings import NodeSettings
from mallowpond.node.tests.fakes import (
    PROFILE,
    FakeCallers,
    FakeClock,
    FakeExchange,
    FakeSource,
    FakeTargets,
    Rig,
    answer,
    listing,
    open_group,
)
from mallowpond.standins.platform import MemoryTable
from mallowpond.state.site_configuration import SiteConfiguration

SITE = SiteConfiguration(version=1, routes=(), services={})
SETTINGS = NodeSettings(
    name="a",
    data_centre="d",
    address="127.0.0.1",
    callers="127.0.0.1:0",
    readiness="127.0.0.1:0",
    peer_port=0,
    store="127.0.0.1:0",
)


def heartbeat(running):
    """Write a peer's heartbeat with so many streams on the only group."""
    return Heartbeat(
        node="b",
        incarnation="1",
        address="127.0.0.1:1",
        version=1,
        sure=True,
        store=True,
        stopping=False,
        planning=0,
        loads=(GroupFigures(group="g", epoch=1, running=running, reading=900.0),),
    )


async def test_a_waiting_stream_starts_when_a_peer_frees_a_place():
    """Symptom: streams wait for a second although groups have places.

    Sequence: all places are taken by other hosts' streams, which end.
    Cause: only the end of this host's own streams woke the ones that wait.
    """
    clock, targets = FakeClock(), FakeTargets()
    source = FakeSource(listed=deque([listing(*open_group("g"))]))
    ports = NodePorts(
        callers=FakeCallers(), source=source, targets=targets, table=MemoryTable()
    )
    node = build(settings=SETTINGS, ports=ports, clock=clock, seed=1)
    await node.directory.refresh()
    targets.script("g0", answer(1))
    node._note_heartbeat(heartbeat(PROFILE.slots + 1))
    rig = Rig(
        clock=clock,
        targets=targets,
        directory=node.directory,
        service=node.streams,
        source=source,
    )
    task = asyncio.create_task(node.streams.serve(rig.work(FakeExchange())))
    for _ in range(5):
        await asyncio.sleep(0)
    assert targets.sends == []
    node._note_heartbeat(heartbeat(0))
    for _ in range(50):
        await asyncio.sleep(0)
    assert targets.sends == [("g0", None)]
    assert await task == Answered(status=200, target="g0")


async def test_a_stop_tells_callers_when_this_host_ends():
    """Symptom: a stopping host takes streams until its last moment and cuts them.

    Sequence: a stop begins; the host serves on while the balancer takes it out.
    Cause: what is taken did not depend on how long the host still runs.
    """
    clock = FakeClock()
    ports = NodePorts(
        callers=FakeCallers(),
        source=FakeSource(),
        targets=FakeTargets(),
        table=MemoryTable(),
    )
    node = build(settings=SETTINGS, ports=ports, clock=clock, seed=1)
    began = clock.now()
    await node.drain()
    assert began < node.ingress.ends_at < began + SETTINGS.bounds.grace
    assert node.ingress.server._refusing


async def test_a_planner_that_stops_while_the_store_is_away_plans_to_its_end():
    """Symptom: groups that lose a member in a store outage stay down until its end.

    Sequence: the store goes away; the planner's host is stopped.
    Cause: it gave up planning at once, and no other node could take the lease.
    """
    clock = FakeClock()
    ports = NodePorts(
        callers=FakeCallers(),
        source=FakeSource(cut=True),
        targets=FakeTargets(),
        table=MemoryTable(),
    )
    node = build(settings=SETTINGS, ports=ports, clock=clock, seed=1)
    await node.leadership._take()
    await node.configuration.step()
    stopping = asyncio.create_task(node.drain())
    for _ in range(3):
        await asyncio.sleep(0)
    assert node.leadership.fence
    ports.source.cut = False
    ports.source.configurations.append(SITE)
    await node.configuration.step()
    await stopping
    assert not node.leadership.fence
