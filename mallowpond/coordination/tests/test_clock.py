"""Longer sleeps of one process end on common ticks."""

from mallowpond.coordination.clock import TICK_SECONDS, BootClock, nearest_tick


def test_sleeps_of_one_process_end_at_the_same_times():
    phase = 0.037
    ends = {
        round(nearest_tick(now + seconds, phase), 6)
        for now in (100.0, 100.01, 100.03)
        for seconds in (0.2, 0.22)
    }
    assert len(ends) == 1


def test_a_loop_keeps_its_pace():
    phase, now = 0.02, nearest_tick(50.0, 0.02)
    for _ in range(100):
        # Each iteration of the loop takes 3 ms before it sleeps.
        now = nearest_tick(now + 0.003 + 0.2, phase)
    assert abs(now - nearest_tick(50.0, phase) - 100 * 0.2) < 1e-6


async def test_a_sleep_is_off_by_half_of_the_raster_at_most():
    clock = BootClock()
    began = clock.now()
    await clock.sleep(0.15)
    assert 0.15 - TICK_SECONDS < clock.now() - began < 0.15 + 2 * TICK_SECONDS


async def test_a_short_sleep_keeps_its_length():
    clock = BootClock()
    began = clock.now()
    await clock.sleep(0.03)
    assert clock.now() - began >= 0.029
