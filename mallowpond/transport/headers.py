"""Turn h11's header bytes into text."""

from collections.abc import Iterable


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by lower-case name; a repeated one keeps its last value."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}


def list_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    """Return every header by lower-case name in its order, repeated ones too."""
    return tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
