"""Tests of the logs: their volume is bounded, and they never block the loop."""

import os

import pytest
import structlog

from mallowpond.node.logs import (
    BUFFER_BYTES,
    LINES_PER_SECOND,
    LineLimiter,
    NonBlockingOutput,
)
from mallowpond.node.tests.fakes import FakeClock


def test_a_reader_that_does_not_read_stops_nothing():
    """All streams of a node hung at once.

    The reader of the logs stopped reading and the pipe filled up. Writing a line waited
    for space in the pipe.
    """
    reader, writer = os.pipe()
    try:
        output = NonBlockingOutput(descriptor=writer)
        line = "x" * 1000
        for _ in range(2 * BUFFER_BYTES // 1000):
            output.msg(line)
        assert output.dropped > 0
        while True:
            read = os.read(reader, 65536)
            output.msg("after")
            if b"lines dropped" in read:
                break
        assert output.dropped == 0
    finally:
        os.close(reader)
        os.close(writer)


def test_lines_of_a_kind_keep_to_their_rate_and_the_rest_is_counted():
    clock = FakeClock()
    limiter = LineLimiter(clock=clock)
    for _ in range(LINES_PER_SECOND):
        limiter(None, "info", {"event": "a"})
    for _ in range(3):
        with pytest.raises(structlog.DropEvent):
            limiter(None, "info", {"event": "a"})
    limiter(None, "info", {"event": "b"})
    clock.time += 1.0
    assert limiter(None, "info", {"event": "a"})["left_out"] == 3
