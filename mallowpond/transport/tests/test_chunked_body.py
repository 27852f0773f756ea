"""Chunked bodies are decoded as the general parser does, and no less strictly."""

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.transport.chunked_body import (
    MAX_LINE_BYTES,
    ChunkDecoder,
    MalformedChunk,
)

SIZES = st.one_of(st.integers(1, 3), st.integers(1, 40), st.integers(1, 5000))
RUNS = st.lists(
    st.tuples(
        SIZES, st.integers(1, 100), st.sampled_from(["%x", "%X", "%04x", "%x;a=b"])
    ),
    max_size=6,
)


def encode(runs):
    """Return chunks of these sizes, each so often, with these formats of the size."""
    wire, body = bytearray(), bytearray()
    for size, count, form in runs:
        for number in range(count):
            data = bytes((number + n) % 256 for n in range(size))
            wire += (form % size).encode() + b"\r\n" + data + b"\r\n"
            body += data
    return bytes(wire), bytes(body)


def decode(parts):
    """Return the body, and what is left after the last chunk, None if there is none."""
    decoder, received, body = ChunkDecoder(), bytearray(), bytearray()
    for part in parts:
        received += part
        decoder.decode(received, body)
    return bytes(body), bytes(received) if decoder.is_complete else None


def parts_of(wire, cuts):
    edges = [0, *sorted(cut % (len(wire) + 1) for cut in cuts), len(wire)]
    return [wire[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@settings(max_examples=150, deadline=None)
@given(runs=RUNS, cuts=st.lists(st.integers(0, 10**6), max_size=8))
def test_chunks_are_decoded_however_they_are_cut(runs, cuts):
    wire, body = encode(runs)
    left = b"\r\nnext request"
    assert decode(parts_of(wire + b"0\r\n" + left, cuts)) == (body, left)


@settings(max_examples=300, deadline=None)
@given(runs=RUNS, at=st.integers(0, 10**6), byte=st.integers(0, 255))
def test_what_the_general_parser_rejects_is_rejected(runs, at, byte):
    """Guards against bodies whose end differs from what another parser would take."""
    wire = bytearray(encode(runs)[0] + b"0\r\n\r\n")
    wire[at % len(wire)] = byte
    try:
        body, left = decode([bytes(wire)])
    except MalformedChunk:
        return
    if left != b"\r\n":
        return
    general = h11.Connection(h11.SERVER, max_incomplete_event_size=10**7)
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    general.receive_data(head + bytes(wire))
    found = bytearray()
    while not isinstance(event := general.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Data):
            found += event.data
    assert bytes(found) == body


@pytest.mark.parametrize(
    "wire",
    [
        b"\r\n",
        b"x\r\n",
        b"-1\r\n",
        b"1\nx\r\n",
        b"1\r\nxy\r\n",
        b"1;" + b"e" * MAX_LINE_BYTES,
    ],
)
def test_malformed_chunks_are_found(wire):
    with pytest.raises(MalformedChunk):
        decode([wire])


def test_chunks_of_one_byte_are_not_decoded_one_by_one():
    """Guards against an event loop that is busy with small chunks alone."""
    decoder, body = ChunkDecoder(), bytearray()
    received = bytearray(b"1\r\nx\r\n" * 10_000)
    assert decoder.decode(received, body) < 10
    assert (len(body), len(received)) == (10_000, 0)
