"""Decode untrusted input into data classes; invalid input never raises.

A field that is missing, of the wrong type or out of range makes the whole document
unreadable: the result is an `Unreadable` that names the field. Unknown fields are
ignored; a null counts as missing, so an optional field gets its default.
"""

import json
import re
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from functools import lru_cache
from ipaddress import ip_address
from typing import (
    Any,
    NewType,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

from cattrs import Converter

T = TypeVar("T")

# JSON parsers of every language keep integers up to this one exact, and times of day in
# milliseconds are far smaller.
LARGEST_NUMBER = 2**53
# In characters: five times the platform's longest names; longer ones would fill logs
# and datagrams.
LONGEST_TEXT = 1000
# Identifiers go into headers, logs and row keys, which are limited to 200 bytes. Those
# in use are a tenth as long.
IDENTIFIER = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._:-]{0,126}[A-Za-z0-9])?")
PORT = re.compile(r"[0-9]{1,5}")
HOST_LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")
VISIBLE = re.compile(r"[!-~]([ -~]*[!-~])?")
PATH = re.compile(r"(/[!-~]*)?")
LARGEST_PORT = 65535
# Enough for the addresses of several fleets.
ADDRESS_CACHE_SIZE = 8192

# Metadata of fields that only this host knows: compact values leave them out.
LOCAL = {"local": True}

# Types for fields of data classes that accept only some values of their base type.
Name = NewType("Name", str)
Identifier = NewType("Identifier", str)
# HOST:PORT, where the host is a name or an IP address.
Address = NewType("Address", str)
# Text that is valid as a header value, and as the path in a request line. Any other
# text would make each request that carries it fail.
HeaderText = NewType("HeaderText", str)
Path = NewType("Path", str)
# An address whose host is an IP address. A datagram socket would resolve a name
# synchronously, which blocks the event loop.
SocketAddress = NewType("SocketAddress", str)
Positive = NewType("Positive", int)


class DecodeFault(str, Enum):
    """What is wrong with a document.

    BYTES: it cannot be parsed. UNKNOWN: not a value of the enum. ID: not an identifier.
    """

    BYTES = "bytes"
    MISSING = "missing"
    TYPE = "type"
    RANGE = "range"
    UNKNOWN = "unknown"
    ID = "id"


@dataclass(frozen=True, kw_only=True)
class Unreadable:
    """Result of decoding an invalid document.

    `field` is the dotted path of the invalid field, empty when the fault is not in one
    field.
    """

    fault: DecodeFault
    field: str = ""

    def __str__(self) -> str:
        """Return the fault and the field as a short message."""
        return f"unreadable: {self.fault.value} {self.field}".rstrip()


class InvalidValue(Exception):  # noqa: N818
    """Raised by the decoder of one value; `decode` turns it into `Unreadable`."""

    def __init__(self, fault: DecodeFault, field: str = "") -> None:
        super().__init__(fault)
        self.fault = fault
        self.field = field


def decode(value: Any, kind: type[T]) -> T | Unreadable:
    """Build a data class from maps, lists, strings and numbers, by field names."""
    return _decode(_by_name, value, kind)


def decode_compact(value: Any, kind: type[T]) -> T | Unreadable:
    """Build a data class from lists, strings and numbers, by the order of fields."""
    structure = _order_hooks.get(kind)
    if structure is None:
        structure = _order_hooks[kind] = _by_order.get_structure_hook(kind)
    try:
        return structure(value, kind)
    except InvalidValue as error:
        return Unreadable(fault=error.fault, field=error.field)


def parse_json(data: bytes | str) -> Any | Unreadable:
    """Parse JSON; return `Unreadable` for any input that is not valid JSON."""
    try:
        return json.loads(data)
    # Input that is nested too deeply raises RecursionError.
    except (ValueError, RecursionError):
        return Unreadable(fault=DecodeFault.BYTES)


def _decode(converter: Converter, value: Any, kind: type[T]) -> T | Unreadable:
    try:
        return converter.structure(value, kind)
    except InvalidValue as error:
        return Unreadable(fault=error.fault, field=error.field)


# -- scalars -----------------------------------------------------------------


def _string(value: Any, kind: type[str]) -> str:
    # Fast path: nearly every value is a plain string.
    if kind is str and type(value) is str and _is_valid_text(value):
        return value
    if not isinstance(value, str):
        raise InvalidValue(DecodeFault.TYPE)
    if issubclass(kind, Enum):
        return _enum_member(value, kind)
    # The check for printable text also rejects a lone surrogate, which JSON can hold
    # but which cannot be encoded for sending or logging.
    if not _is_valid_text(value):
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _is_valid_text(value: str) -> bool:
    return len(value) <= LONGEST_TEXT and value.isprintable()


def _bytes(value: Any, _: type) -> bytes:
    if not isinstance(value, bytes):
        raise InvalidValue(DecodeFault.TYPE)
    return value


def _name(value: Any, _: type) -> str:
    if _string(value, str) == "":
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _identifier(value: Any, _: type) -> str:
    if not IDENTIFIER.fullmatch(_string(value, str)):
        raise InvalidValue(DecodeFault.ID)
    return value


def _matching_string(pattern: re.Pattern[str], value: Any) -> str:
    if not pattern.fullmatch(_string(value, str)):
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _header_text(value: Any, _: type) -> str:
    return _matching_string(VISIBLE, value)


def _path(value: Any, _: type) -> str:
    return _matching_string(PATH, value)


def _address(value: Any, _: type) -> str:
    host = _host_of(value)
    if not _is_ip(host):
        for label in host.split("."):
            _matching_string(HOST_LABEL, label)
    return value


def _socket_address(value: Any, _: type) -> str:
    if not _is_ip(_host_of(value)):
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _host_of(address: Any) -> str:
    host, _, port = _string(address, str).rpartition(":")
    if not 1 <= int(_matching_string(PORT, port)) <= LARGEST_PORT:
        raise InvalidValue(DecodeFault.RANGE)
    return host


# Cached: the same addresses arrive with each heartbeat and each change of the list.
@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _is_ip(host: str) -> bool:
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _integer(value: Any, _: type) -> int:
    if type(value) is int and 0 <= value <= LARGEST_NUMBER:
        return value
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidValue(DecodeFault.TYPE)
    return _in_range(value)


def _positive(value: Any, _: type) -> int:
    if _integer(value, int) == 0:
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _float(value: Any, _: type) -> float:
    if type(value) is float and 0 <= value <= LARGEST_NUMBER:
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidValue(DecodeFault.TYPE)
    return float(_in_range(value))


def _in_range(value: T) -> T:
    # Comparisons with NaN are false, so this rejects NaN as well.
    if not 0 <= value <= LARGEST_NUMBER:
        raise InvalidValue(DecodeFault.RANGE)
    return value


def _boolean(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise InvalidValue(DecodeFault.TYPE)
    return value


def _enum_member(value: str, kind: type[Enum]) -> Enum:
    try:
        return kind(value)
    except ValueError:
        raise InvalidValue(DecodeFault.UNKNOWN) from None


# -- containers --------------------------------------------------------------


def _tuple_decoder(converter: Converter, kind: type[T]) -> Callable[[Any, type[T]], T]:
    item = get_args(kind)[0]
    decode_value = converter.get_structure_hook(item)
    are_valid = COLUMN_CHECKS.get(item)

    def build(values: Any, _: type[T]) -> T:
        # Strings and maps are iterable too, but are no lists.
        if not isinstance(values, list | tuple):
            raise InvalidValue(DecodeFault.TYPE)
        if are_valid is not None and are_valid(values):
            return tuple(values)
        return tuple(decode_value(value, item) for value in values)

    return build


def _are_integers(values: list[Any] | tuple[Any, ...]) -> bool:
    """Return whether `_integer` accepts all values; False may also mean not sure."""
    return set(map(type, values)) == {int} and (
        min(values) >= 0 and max(values) <= LARGEST_NUMBER
    )


def _are_names(values: list[Any] | tuple[Any, ...]) -> bool:
    """Return whether `_name` accepts all values; False may also mean not sure."""
    return (
        set(map(type, values)) == {str}
        and all(values)
        and max(map(len, values)) <= LONGEST_TEXT
        and "".join(values).isprintable()
    )


# Checks of whole columns: a digest of the loads of 45 groups is read in 45 us, not 63.
COLUMN_CHECKS: dict[Any, Callable[[Any], bool]] = {
    int: _are_integers,
    Name: _are_names,
}


def _decoder_by_name(
    converter: Converter, kind: type[T]
) -> Callable[[Any, type[T]], T]:
    decoders = _field_decoders(converter, kind)
    optional = {f.name for f in fields(kind) if _has_default(f)}

    def build(values: Any, _: type[T]) -> T:
        if not isinstance(values, dict):
            raise InvalidValue(DecodeFault.TYPE)
        decoded = {}
        for name, decode_value in decoders.items():
            value = values.get(name)
            if value is not None:
                decoded[name] = decode_value(value)
            elif name not in optional:
                raise InvalidValue(
                    DecodeFault.TYPE if name in values else DecodeFault.MISSING, name
                )
        return kind(**decoded)

    return build


def _decoder_by_order(
    converter: Converter, kind: type[T]
) -> Callable[[Any, type[T]], T]:
    hints = get_type_hints(kind)
    names = compact_fields(kind)
    decoders = {n: _field_decoder(converter, n, hints[n]) for n in names}
    hooks = [(converter.get_structure_hook(hints[n]), hints[n]) for n in names]
    construct = _constructor(kind)

    def build(values: Any, _: type[T]) -> T:
        if not isinstance(values, list | tuple):
            raise InvalidValue(DecodeFault.TYPE)
        if len(values) != len(names):
            raise InvalidValue(DecodeFault.MISSING)
        try:
            decoded = [hook(v, h) for (hook, h), v in zip(hooks, values, strict=True)]
        except InvalidValue:
            # Decode field by field, so that the error names the field.
            for decode_value, value in zip(decoders.values(), values, strict=True):
                decode_value(value)
            raise
        return construct(dict(zip(names, decoded, strict=True)))

    return build


def _constructor(kind: type[T]) -> Callable[[dict[str, Any]], T]:
    """Return a function that builds a data class from the values of its compact fields.

    The generated constructor of a frozen class sets each field by a call. A class that
    does nothing else when it is built gets all fields at once.
    """
    is_plain = not hasattr(kind, "__post_init__") and all(f.init for f in fields(kind))
    if not is_plain or hasattr(kind, "__slots__"):
        return lambda values: kind(**values)
    new = object.__new__
    others = {f.name: f.default for f in fields(kind) if f.metadata.get("local")}

    def construct(values: dict[str, Any]) -> T:
        instance = new(kind)
        instance.__dict__.update(values, **others)
        return instance

    return construct


def compact_fields(kind: Any) -> tuple[str, ...]:
    """Return the names of the fields that compact values of a class hold."""
    return tuple(f.name for f in fields(kind) if not f.metadata.get("local"))


def _has_default(field: Any) -> bool:
    return field.default is not MISSING or field.default_factory is not MISSING


def _field_decoders(
    converter: Converter, kind: type
) -> dict[str, Callable[[Any], Any]]:
    """Return the decoder of each field of a class, by field name."""
    return {n: _field_decoder(converter, n, h) for n, h in get_type_hints(kind).items()}


def _field_decoder(converter: Converter, name: str, hint: Any) -> Callable[[Any], Any]:
    structure = converter.get_structure_hook(hint)

    def decode_value(value: Any) -> Any:
        try:
            return structure(value, hint)
        except InvalidValue as error:
            path = f"{name}.{error.field}" if error.field else name
            raise InvalidValue(error.fault, path) from None

    return decode_value


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


SCALARS = {
    str: _string,
    bytes: _bytes,
    int: _integer,
    float: _float,
    bool: _boolean,
    Name: _name,
    HeaderText: _header_text,
    Path: _path,
    Identifier: _identifier,
    Address: _address,
    SocketAddress: _socket_address,
    Positive: _positive,
}


def _converter(classes: Callable[..., Any]) -> Converter:
    converter = Converter(detailed_validation=False)
    for scalar, decode_value in SCALARS.items():
        converter.register_structure_hook(scalar, decode_value)
    for applies, build in ((_is_tuple, _tuple_decoder), (is_dataclass, classes)):
        converter.register_structure_hook_factory(
            applies, lambda kind, build=build: build(converter, kind)
        )
    return converter


_by_name = _converter(_decoder_by_name)
_by_order = _converter(_decoder_by_order)
_order_hooks: dict[type, Callable[[Any, type], Any]] = {}
