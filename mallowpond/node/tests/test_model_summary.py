"""Demand and utilization of each model, as the planner gets them."""

from collections import deque

from mallowpond.node.directory import Directory
from mallowpond.node.model_summary import demand, streams, utilization
from mallowpond.node.tests.fakes import FakeClock, FakeSource, listing, open_group
from mallowpond.state.fleet import BreakCause, EngineProfile, ModelSpec

PROFILE = EngineProfile(
    slots=4,
    models=(
        ModelSpec(name="m", size=2, share=0.5),
        ModelSpec(name="large", size=8, share=0.5),
    ),
)


async def directory_of(*targets):
    """Return a directory that has read these targets."""
    source = FakeSource(listed=deque([listing(*targets)]))
    directory = Directory(source=source, clock=FakeClock())
    await directory.refresh()
    return directory


async def test_a_model_without_an_open_group_counts_as_full():
    """A model without a group has no running streams, which was read as no demand.

    Both groups of the larger model had lost a member. 15 and 14 targets with its
    weights were free in two domains for 40 s while no request for the model was
    served, and no group was formed across the domains.
    """
    directory = await directory_of(*open_group("g"))
    assert utilization(directory, PROFILE)["large"] == 1.0
    assert utilization(directory, PROFILE)["m"] == 0.0


async def test_a_model_that_serves_nobody_keeps_its_declared_share():
    """Streams that cannot run were counted as no load, which halved the share."""
    directory = await directory_of(*open_group("g"))
    directory.loads.work(("g", 1)).running = 20
    assert demand(directory, PROFILE) == {}


async def test_a_group_that_a_refusal_broke_counts_as_no_group_of_its_model():
    """Guards against a model that looks idle while its only group refuses every stream.

    Until the entry of its head lapsed, the planner counted the slots of the group as
    free, and formed no group across domains.
    """
    directory = await directory_of(*open_group("g"), *open_group("h"))
    directory.loads.work(("h", 1)).running = 3
    directory.mark_broken(directory.groups[("g", 1)], BreakCause.REFUSED)
    assert utilization(directory, PROFILE)["m"] == 0.75
    assert streams(directory) == {("h", 1): 3}
    directory.mark_broken(directory.groups[("h", 1)], BreakCause.REFUSED)
    assert utilization(directory, PROFILE)["m"] == 1.0
