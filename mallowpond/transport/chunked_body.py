"""Decode bodies in chunks of any size without a step of the parser for each chunk.

A client may send a body in chunks of one byte. A general parser takes many times longer
for them than for the same body in large chunks, and nothing else runs meanwhile.
"""

import re

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")
LINE_END = b"\r\n"
# Longest line before a chunk, in bytes: its size and its extensions.
MAX_LINE_BYTES = 4096
# Largest chunk, in bytes, of which many alike are decoded together; the fewest that are
# worth it; and the chunks after which that is tried again.
MAX_ALIKE_BYTES = 32
MIN_ALIKE = 8
ALIKE_INTERVAL = 64


class MalformedChunk(Exception):
    """The bytes are no chunk."""


class ChunkDecoder:
    """Decodes the chunks of one body; the trailer after the last one is left.

    is_complete: whether the last chunk was found.
    """

    def __init__(self) -> None:
        # Bytes of the current chunk that are still to come, and whether the end of its
        # line is.
        self._left = 0
        self._awaits_line_end = False
        self._single_chunks = ALIKE_INTERVAL
        self.is_complete = False

    def decode(self, received: bytearray, body: bytearray) -> int:
        """Append the data of chunks to a body and remove them from what was received.

        Returns how many chunks were decoded one by one. Raises MalformedChunk.
        """
        at, decoded = 0, 0
        while not self.is_complete:
            if self._left:
                data = received[at : at + self._left]
                body += data
                at += len(data)
                self._left -= len(data)
                if self._left:
                    break
                self._awaits_line_end = True
            if self._awaits_line_end:
                found = received[at : at + len(LINE_END)]
                if not LINE_END.startswith(found):
                    raise MalformedChunk("no line end after a chunk")
                if len(found) < len(LINE_END):
                    break
                at += len(LINE_END)
                self._awaits_line_end = False
            match = CHUNK_LINE.match(received, at)
            if match is None:
                _check_partial_line(received, at)
                break
            size = int(match[1], 16)
            if not size:
                self.is_complete = True
                at = match.end()
                break
            self._single_chunks += 1
            if size <= MAX_ALIKE_BYTES and self._single_chunks > ALIKE_INTERVAL:
                alike_end = _decode_alike(received, at, match.end() - at, size, body)
                if alike_end > at:
                    at = alike_end
                    continue
                self._single_chunks = 0
            at, self._left = match.end(), size
            decoded += 1
        del received[:at]
        return decoded


def _check_partial_line(received: bytearray, at: int) -> None:
    """Raise MalformedChunk unless more bytes may complete the line at `at`."""
    size = len(received) - at
    if size > MAX_LINE_BYTES or received.find(LINE_END, at) >= 0:
        raise MalformedChunk("no size before a chunk")


def _decode_alike(
    received: bytearray, at: int, line_bytes: int, size: int, body: bytearray
) -> int:
    """Decode chunks at `at` that have the same line before them, and return their end.

    Nothing is decoded if they are few.
    """
    period = line_bytes + size + len(LINE_END)
    count = (len(received) - at) // period
    frame = {n: received[at + n] for n in range(line_bytes)}
    frame |= dict(enumerate(LINE_END, start=line_bytes + size))
    for offset, byte in frame.items():
        if count < MIN_ALIKE:
            return at
        column = received[at + offset : at + count * period : period]
        count -= len(column.lstrip(bytes([byte])))
    if count < MIN_ALIKE:
        return at
    end = at + count * period
    data = bytearray(count * size)
    for n in range(size):
        data[n::size] = received[at + line_bytes + n : end : period]
    body += data
    return end
