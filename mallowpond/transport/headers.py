"""Turn h11's header bytes into text."""

from collections.abc import Iterable


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by lower-case name; a repeated one keeps its last value."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
