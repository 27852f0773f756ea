"""The virtual clock advances only to the next timer."""

import asyncio
import time

from mallowpond.gateway.tests.virtual_clock import VirtualClock, run_with_clock


def test_a_stall_of_the_loop_ages_nothing():
    """A test of ages failed on a busy machine.

    The process stalled while an answer was in flight, and ages were counted on the
    system clock.
    """
    clock = VirtualClock()

    async def stall() -> None:
        began = clock.now()
        time.sleep(0.05)
        await asyncio.sleep(0)
        assert clock.now() == began

    run_with_clock(clock, stall())


def test_a_timer_is_due_at_its_time_and_without_waiting():
    clock = VirtualClock()

    async def wait() -> None:
        began = clock.now()
        await asyncio.sleep(3600.0)
        assert abs(clock.now() - began - 3600.0) < 1e-6

    began = time.monotonic()
    run_with_clock(clock, wait())
    assert time.monotonic() - began < 60.0


def test_bytes_arrive_before_the_next_timer():
    """Every call between two parts of one process timed out.

    One part sent bytes while the loop had only a timer left to run, and the clock was
    advanced although the bytes were still in flight.
    """

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(await reader.readline())
        writer.close()

    async def call() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        for _ in range(50):
            async with asyncio.timeout(0.001):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"star\n")
                assert await reader.readline() == b"star\n"
            writer.close()
        server.close()

    run_with_clock(VirtualClock(), call())
