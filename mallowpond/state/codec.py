"""Turn data classes into plain values and back."""

import json
from typing import Any, TypeVar

from cattrs import Converter, UnstructureStrategy
from cattrs.preconf.json import make_converter

T = TypeVar("T")

_converter = make_converter()
# Without the names of fields a datagram with 33 groups' figures takes a third.
_compact = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def to_plain(value: Any) -> Any:
    """Turn a data class into maps, lists, texts and numbers."""
    return _converter.unstructure(value)


def from_plain(value: Any, kind: type[T]) -> T:
    """Build a data class from plain values of our own making."""
    return _converter.structure(value, kind)


def to_compact(value: Any) -> Any:
    """Turn a data class into lists, texts and numbers, by the order of its fields."""
    return _compact.unstructure(value)


def to_json(value: Any) -> bytes:
    """Encode a data class or plain value as JSON."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode a data class of our own making from JSON."""
    return from_plain(json.loads(data), kind)
