"""Decode h11's header bytes to text."""

from collections.abc import Iterable


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return a dict by lower-case name; of repeated headers the last one counts."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}


def list_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    """Return all headers in order, repeated ones included, with lower-case names."""
    return tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
