"""How many bytes of bodies a process holds at one time."""

import pytest

from mallowpond.state.payload_memory import (
    COPIES,
    LARGE_BODY_SHARE,
    SMALL_BODY_BYTES,
    SMALL_BODY_SHARE,
    USUAL_BODY_BYTES,
    PayloadMemory,
)
from mallowpond.state.process_limits import (
    CONNECTION_BYTES,
    PROGRAM_BYTES,
    TUNNEL_BYTES,
    divide_limits,
)

MEBIBYTE = 1024 * 1024


def reserve(memory, size, *, now=0.0, limit_seconds=3.0):
    """Return the hold of a body of which nothing has arrived, None without room."""
    hold = memory.open(now=now, limit_seconds=limit_seconds, announced=size)
    return hold if hold.try_reserve(size) else None


def test_bodies_that_are_too_much_together_are_refused():
    """Guards against a process that is killed for the sum of allowed bodies."""
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    holds = [reserve(memory, 4 * MEBIBYTE) for _ in range(44)]
    admitted = [hold for hold in holds if hold is not None]
    assert len(admitted) == 3
    admitted[0].release(1.0)
    assert reserve(memory, 4 * MEBIBYTE)


def test_small_bodies_are_admitted_beside_large_ones():
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    while reserve(memory, MEBIBYTE):
        pass
    assert memory.held_bytes == COPIES * LARGE_BODY_SHARE * 16 * MEBIBYTE
    assert reserve(memory, SMALL_BODY_BYTES)


def test_usual_bodies_are_admitted_beside_many_of_middle_size():
    """Guards against stalled bodies below the large ones that take all memory."""
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    while reserve(memory, SMALL_BODY_BYTES):
        pass
    assert memory.held_bytes == COPIES * SMALL_BODY_SHARE * 16 * MEBIBYTE
    usual = reserve(memory, USUAL_BODY_BYTES)
    assert usual and not usual.try_reserve(USUAL_BODY_BYTES + 1)
    usual.release(1.0)
    assert memory.held_bytes == COPIES * SMALL_BODY_SHARE * 16 * MEBIBYTE


def test_a_body_that_grows_counts_once():
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    hold = reserve(memory, 1)
    for size in (USUAL_BODY_BYTES + 1, SMALL_BODY_BYTES + 1, MEBIBYTE):
        assert hold.try_reserve(size)
        assert memory.held_bytes == COPIES * size
    hold.release(1.0)
    assert memory.held_bytes == 0
    while reserve(memory, USUAL_BODY_BYTES):
        pass
    assert memory.held_bytes == COPIES * 16 * MEBIBYTE


def test_a_body_alone_is_admitted_whatever_its_size():
    memory = PayloadMemory(max_bytes=MEBIBYTE)
    hold = reserve(memory, MEBIBYTE)
    assert hold.try_reserve(9 * MEBIBYTE)
    assert not reserve(memory, SMALL_BODY_BYTES + 1)
    hold.release(1.0)
    assert memory.held_bytes == 0


def test_large_and_small_bodies_do_not_keep_each_other_out():
    """Guards against a host with little memory that serves only one of them."""
    memory = PayloadMemory(max_bytes=COPIES * MEBIBYTE)
    small = [reserve(memory, 1000) for _ in range(20)]
    large = reserve(memory, 4 * MEBIBYTE)
    assert large and reserve(memory, 1000)
    assert not reserve(memory, MEBIBYTE)
    for hold in (*small, large):
        hold.release(1.0)
    assert memory.held_bytes == COPIES * 1000


def test_a_refused_body_is_told_when_the_others_will_have_been_served():
    """Guards against callers that come back again and again while others arrive."""
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    for _ in range(3):
        reserve(memory, 4 * MEBIBYTE).record_received(MEBIBYTE)
    # A quarter of each has arrived in half a second.
    assert memory.seconds_until_room(4 * MEBIBYTE, now=0.5) == pytest.approx(2.0)
    assert memory.seconds_until_room(SMALL_BODY_BYTES, now=0.5) == 0.0


def test_only_a_body_that_cannot_arrive_in_time_makes_room():
    """Guards against slow senders whose announced bodies keep all others out."""
    memory = PayloadMemory(max_bytes=COPIES * 16 * MEBIBYTE)
    slow, steady, whole = (reserve(memory, 4 * MEBIBYTE) for _ in range(3))
    slow.record_received(MEBIBYTE // 8)
    steady.record_received(MEBIBYTE)
    whole.record_received(4 * MEBIBYTE)
    whole.record_end(0.4)
    assert memory.hopeless_holds(0.4) == []
    assert memory.hopeless_holds(0.6) == [slow]


@pytest.mark.parametrize(
    ("megabytes", "descriptors"),
    [(552, 8192), (300, 4100), (200, 4100), (152, 2870), (112, 2870), (300, 1024)],
)
def test_limits_fit_into_the_memory_and_the_descriptors(megabytes, descriptors):
    """Guards against limits that suit the hosts of one deployment only."""
    memory = 1e6 * megabytes
    limits = divide_limits(memory_bytes=memory, descriptors=descriptors)
    used = (
        limits.payload_bytes
        + CONNECTION_BYTES * limits.caller_connections
        + TUNNEL_BYTES * limits.tunnels
    )
    assert used <= memory - PROGRAM_BYTES
    # Each request in progress may have a connection of its own to a target.
    sockets = 2 * limits.caller_connections + limits.idle_connections
    assert sockets + 2 * limits.tunnels < descriptors
