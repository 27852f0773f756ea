"""What the planner is told of each model's work."""

from collections import deque

from mallowpond.node.directory import Directory
from mallowpond.node.model_summary import demand, utilization
from mallowpond.node.tests.fakes import FakeClock, FakeSource, listing, open_group
from mallowpond.state.fleet import EngineProfile, ModelSpec

PROFILE = EngineProfile(
    slots=4,
    models=(
        ModelSpec(name="m", size=2, share=0.5),
        ModelSpec(name="large", size=8, share=0.5),
    ),
)


async def directory_of(*targets):
    """Hold a list of targets."""
    source = FakeSource(listed=deque([listing(*targets)]))
    directory = Directory(source=source, clock=FakeClock())
    await directory.refresh()
    return directory


async def test_a_model_without_an_open_group_counts_as_full():
    """Survivors stood free for 40 s while no request for their model was served.

    Symptom: both groups of the larger model had lost a member; 15 and 14 targets with
    its weights stood in two domains, and none was formed across them. Cause: nothing
    ran on no group, which was read as a model that needs none.
    """
    directory = await directory_of(*open_group("g"))
    assert utilization(directory, PROFILE)["large"] == 1.0
    assert utilization(directory, PROFILE)["m"] == 0.0


async def test_a_model_that_serves_nobody_keeps_its_declared_share():
    """What cannot run is not seen; taken for no work, it halved the model's share."""
    directory = await directory_of(*open_group("g"))
    directory.loads.work(("g", 1)).running = 20
    assert demand(directory, PROFILE) == {}
