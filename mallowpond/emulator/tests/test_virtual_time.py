"""Timers of the virtual-time loop fire in order and without real waiting."""

import asyncio
import time

import pytest

from mallowpond.emulator.virtual_time import NoPendingTimerError, run_in_virtual_time


def test_hours_pass_in_a_moment_and_in_order():
    passed = []

    async def sleep(seconds):
        await asyncio.sleep(seconds)
        passed.append(asyncio.get_running_loop().time())

    async def main():
        await asyncio.gather(sleep(7200.0), sleep(1.0), sleep(3600.0))

    began = time.monotonic()
    run_in_virtual_time(main())
    assert passed == pytest.approx([1.0, 3600.0, 7200.0])
    assert time.monotonic() - began < 5.0


def test_what_waits_for_nothing_is_told_instead_of_hanging():
    async def main():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(NoPendingTimerError):
        run_in_virtual_time(main())
