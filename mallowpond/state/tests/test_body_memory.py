"""How many bytes of request bodies a process holds at one time."""

from mallowpond.state.body_memory import (
    LARGE_BODY_SHARE,
    SMALL_BODY_BYTES,
    BodyMemory,
)

MEBIBYTE = 1024 * 1024


def test_bodies_that_are_too_much_together_are_refused():
    """Guards against a process that is killed for the sum of allowed bodies."""
    memory = BodyMemory(max_bytes=16 * MEBIBYTE)
    admitted = sum(memory.try_reserve(4 * MEBIBYTE) for _ in range(44))
    assert admitted == 3
    memory.release(4 * MEBIBYTE)
    assert memory.try_reserve(4 * MEBIBYTE)


def test_small_bodies_are_admitted_beside_large_ones():
    memory = BodyMemory(max_bytes=16 * MEBIBYTE)
    while memory.try_reserve(MEBIBYTE):
        pass
    assert memory.held_bytes == LARGE_BODY_SHARE * 16 * MEBIBYTE
    assert memory.try_reserve(SMALL_BODY_BYTES)


def test_a_body_alone_is_admitted_whatever_its_size():
    memory = BodyMemory(max_bytes=MEBIBYTE)
    assert memory.try_reserve(MEBIBYTE)
    assert memory.try_reserve(9 * MEBIBYTE, held_before=MEBIBYTE)
    assert not memory.try_reserve(1)
