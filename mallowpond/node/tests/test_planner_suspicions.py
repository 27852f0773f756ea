"""What the planner does with a group whose members answer and that is suspected."""

import pytest

from mallowpond.node.tests.fakes import open_group
from mallowpond.node.tests.test_planner import Rig
from mallowpond.state.formation_view import Leave


async def suspect_repeatedly(rig, seconds):
    """Let two hosts suspect the group every 0.2 s."""
    for _ in range(round(seconds / 0.2)):
        for _ in range(2):
            rig.watch.on_suspect[0](("g", 1))
        await rig.steps(2)


@pytest.mark.parametrize("pauses", [1, 3])
async def test_a_group_that_only_pauses_is_not_dissolved(pauses):
    """Guards against a planner that dissolves a living group as it pauses for 1.3 s."""
    rig = Rig(*open_group("g"))
    await rig.steps(2)
    for _ in range(pauses):
        await suspect_repeatedly(rig, 1.3)
        await rig.steps(20)
    assert rig.orders_of(Leave) == []


async def test_a_group_that_stays_silent_is_dissolved():
    """Guards against a group whose members answer and reach one another no more."""
    rig = Rig(*open_group("g"))
    await rig.steps(2)
    await suspect_repeatedly(rig, 2.8)
    assert {order.target.id for order in rig.orders_of(Leave)} == {"g0", "g1"}
