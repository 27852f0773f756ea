"""When refused callers come back, and who keeps a place."""

from hypothesis import given
from hypothesis import strategies as st

from mallowpond.state import return_schedule
from mallowpond.state.return_schedule import MIN_RETRY_SECONDS, ReturnSchedule

MORE = {"spacing": 0.1, "seconds_left": 6.0}


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.5),
            st.floats(0.0, 5.0),
            st.floats(0.001, 0.5),
            st.floats(0.0, 9.0),
        ),
        max_size=60,
    )
)
def test_returns_keep_the_order_of_refusal_within_the_longest_time(refusals):
    """The caller that was refused first came back last, and many came at once."""
    schedule, now, placed = ReturnSchedule(), 0.0, []
    for number, (step, wait, spacing, left) in enumerate(refusals):
        now += step
        told = schedule.reserve(
            f"f{number}", number, now=now, wait=wait, spacing=spacing, seconds_left=left
        )
        longest = max(MIN_RETRY_SECONDS, left / 3 if left else 3.0)
        assert MIN_RETRY_SECONDS - 1e-9 <= told.seconds <= longest + 1e-9
        if told.has_place:
            assert not placed or now + told.seconds >= placed[-1] + spacing - 1e-9
            placed.append(now + told.seconds)
    assert len(schedule) <= len(placed)


def test_callers_that_no_return_can_help_are_spread_too():
    """Those refused at once by the loss of a data centre came back at once."""
    schedule = ReturnSchedule()
    told = [schedule.reserve(f"f{n}", n, now=0.0, wait=9.0, **MORE) for n in range(100)]
    assert not any(t.has_place for t in told)
    in_bins = [int(t.seconds / 0.06) for t in told]
    assert max(map(in_bins.count, in_bins)) <= 15


def test_a_place_is_used_in_its_time_only_and_once():
    """A caller that retries early and often must gain nothing by it."""
    schedule = ReturnSchedule()
    for name, back_at, has_place in [
        ("punctual", 0.9, True),
        ("late", 1.9, True),
        ("gone", 2.2, False),
        ("hasty", 0.5, False),
    ]:
        schedule = ReturnSchedule()
        schedule.reserve(name, 1, now=0.0, wait=1.0, **MORE)
        assert schedule.claim(name, back_at) is has_place
        assert not schedule.claim(name, max(1.0, back_at))
    # Refused again, it is behind those who wait for their time.
    for n in range(5):
        schedule.reserve(f"f{n}", n, now=0.5, wait=0.5, **MORE)
    again = schedule.reserve("hasty", 9, now=0.6, wait=0.1, **MORE)
    assert again.seconds > 0.6


def test_a_repeated_question_is_told_the_same_time():
    """A duplicated datagram moved its caller to the end of the schedule."""
    schedule = ReturnSchedule()
    schedule.reserve("f", "asker", now=0.0, wait=1.0, **MORE)
    assert schedule.refused_before("f", "asker", 0.3).at == 1.0
    assert schedule.refused_before("f", "other", 0.3) is None


def test_the_number_of_places_is_bounded(monkeypatch):
    """Kept places must not fill the memory of the dispatcher."""
    monkeypatch.setattr(return_schedule, "MAX_PLACES", 10)
    schedule = ReturnSchedule()
    for n in range(30):
        schedule.reserve(f"f{n}", n, now=0.0, wait=0.1, spacing=0.001, seconds_left=6.0)
    assert len(schedule) == 10
    assert schedule.outstanding(5.0) == 0
