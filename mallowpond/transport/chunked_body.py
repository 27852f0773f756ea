"""Decode bodies in chunks."""

import re

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")
LINE_END = b"\r\n"
# Longest line before a chunk, in bytes: its size and its extensions.
MAX_LINE_BYTES = 4096


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
        self.is_complete = False

    def decode(self, received: bytearray, body: bytearray) -> None:
        """Append the data of chunks to a body and remove them from what was received.

        Raises MalformedChunk.
        """
        at = 0
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
            at, self._left = match.end(), size
        del received[:at]


def _check_partial_line(received: bytearray, at: int) -> None:
    """Raise MalformedChunk unless more bytes may complete the line at `at`."""
    size = len(received) - at
    if size > MAX_LINE_BYTES or received.find(LINE_END, at) >= 0:
        raise MalformedChunk("no size before a chunk")
