"""When slots become free, and which waiting streams have a chance."""

from dataclasses import replace
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpond.state.fleet import ModelSpec
from mallowpond.state.placement_queue import QueueEntry
from mallowpond.state.slot_forecast import (
    MAX_OPENING_STEPS,
    FormingSlots,
    OpenSlots,
    SlotForecast,
    forecast_wait,
    has_chance,
)

MODEL = ModelSpec(name="m", size=2, warm_seconds=1.1)
OPEN = OpenSlots(running=10, slots=10, hold_seconds=2.0)
ENTRY = QueueEntry(priority=1, objective_deadline=0.2, queued_at=0.0, deadline=1.2)
SECONDS = st.floats(0.05, 20.0)
GROUPS = st.lists(
    st.builds(
        OpenSlots,
        running=st.integers(0, 20),
        slots=st.integers(1, 20),
        hold_seconds=SECONDS,
    ),
    max_size=8,
)
FORMING = st.lists(
    st.builds(
        FormingSlots,
        opens_at=st.floats(-5.0, 30.0),
        slots=st.integers(1, 20),
        hold_seconds=SECONDS,
    ),
    max_size=60,
)


@given(GROUPS, FORMING, st.floats(0.0, 50.0), st.floats(0.0, 5.0))
def test_the_wait_grows_with_the_position_and_is_never_negative(
    groups, forming, overtaking, now
):
    """A stream must not be refused while one behind it is admitted."""
    forecast = SlotForecast(at=0.0, open_groups=groups, forming=forming)
    waits = [
        forecast.wait_for(position, now=now, overtaking=overtaking)
        for position in range(40)
    ]
    assert waits == sorted(waits)
    assert waits[0] >= 0.0
    undisturbed = [forecast.wait_for(position, now=now) for position in range(40)]
    assert all(u <= w + 1e-9 for u, w in zip(undisturbed, waits, strict=True))
    # The cost of a look-up does not grow with the number of groups.
    assert len(forecast._steps) <= MAX_OPENING_STEPS


def test_slots_come_free_at_the_pace_of_each_group():
    """By mean hold time over all slots, a slow group counted as much as a fast one."""
    slow = replace(OPEN, hold_seconds=20.0)
    assert SlotForecast(at=0.0, open_groups=[OPEN, slow]).rate == pytest.approx(5.5)
    assert SlotForecast(at=0.0, open_groups=[OPEN]).wait_for(4) == pytest.approx(1.0)
    free = SlotForecast(at=0.0, open_groups=[replace(OPEN, running=7)])
    assert [free.wait_for(n) for n in (0, 2, 3)] == pytest.approx([0.0, 0.0, 0.2])


def test_groups_about_to_open_count_from_then_on():
    """Streams were refused although new groups opened within their patience."""
    forming = [FormingSlots(opens_at=1.0, slots=10, hold_seconds=2.0)]
    forecast = SlotForecast(at=0.0, open_groups=[], forming=forming)
    assert forecast.wait_for(9) == pytest.approx(1.0)
    assert forecast.wait_for(10) > 2.0
    assert SlotForecast(at=0.0, open_groups=[]).wait_for(0) == inf


def test_new_streams_go_ahead_of_late_ones_near_the_end_of_their_patience():
    """A late stream must not take the slot of one that can be on time."""
    forecast = SlotForecast(at=0.0, open_groups=[OPEN])

    def chance(now, arrivals):
        wait = forecast_wait(forecast, ENTRY, position=0, now=now, arrivals=arrivals)
        return has_chance(forecast, ENTRY, wait=wait, now=now, model=MODEL)

    assert chance(0.1, 9.0)
    assert chance(0.5, 9.0)
    assert not chance(0.8, 9.0)
    assert chance(0.8, 1.0)


def test_a_stream_is_refused_if_its_answer_would_come_too_late():
    """Nothing may be sent to an engine with a time limit too short to answer."""
    forecast = SlotForecast(at=0.0, open_groups=[OPEN])
    more = {"wait": 0.5, "now": 0.0, "model": MODEL, "service_seconds": 2.0}
    assert has_chance(forecast, ENTRY, ends_at=3.0, **more)
    assert not has_chance(forecast, ENTRY, ends_at=2.4, **more)
    begun = replace(ENTRY, has_begun=True)
    assert has_chance(forecast, begun, ends_at=2.4, **more)


def test_without_a_group_a_stream_waits_only_if_one_can_form_in_time():
    """Callers waited in vain for a group that takes longer to form than they wait."""
    nothing = SlotForecast(at=0.0, open_groups=[])
    more = {"wait": inf, "model": MODEL}
    assert has_chance(nothing, ENTRY, now=0.1, **more)
    assert not has_chance(nothing, ENTRY, now=0.35, **more)
    assert has_chance(nothing, replace(ENTRY, deadline=2.0), now=0.35, **more)
