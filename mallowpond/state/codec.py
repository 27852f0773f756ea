"""Convert data classes to plain values and JSON, and trusted values back."""

import json
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar

from cattrs import Converter, UnstructureStrategy
from cattrs.preconf.json import make_converter

from mallowpond.state.decoding import compact_fields

T = TypeVar("T")

_converter = make_converter()
# Without field names, a datagram with the loads of 33 groups shrinks to a third.
_compact = Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def _has_local_fields(kind: Any) -> bool:
    return is_dataclass(kind) and len(compact_fields(kind)) < len(fields(kind))


def _without_local_fields(kind: Any) -> Callable[[Any], tuple[Any, ...]]:
    names = compact_fields(kind)
    return lambda value: tuple(_compact.unstructure(getattr(value, n)) for n in names)


_compact.register_unstructure_hook_factory(_has_local_fields, _without_local_fields)


def to_plain(value: Any) -> Any:
    """Convert a data class to maps, lists, strings and numbers."""
    return _converter.unstructure(value)


def from_plain(value: Any, kind: type[T]) -> T:
    """Build a data class from plain values that this project wrote itself.

    Values from others must go through `decoding.decode`, which checks them.
    """
    return _converter.structure(value, kind)


def to_compact(value: Any) -> Any:
    """Convert a data class to lists, strings and numbers, in the order of its fields.

    `decoding.decode_compact` is the inverse.
    """
    return _compact.unstructure(value)


def to_json(value: Any) -> bytes:
    """Encode a data class or plain value as JSON."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode a data class from JSON that this project wrote itself."""
    return from_plain(json.loads(data), kind)
