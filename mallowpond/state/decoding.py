"""Decode what others wrote into data classes: checked whole, and never raising.

A field that is missing, of another type or out of range makes the whole document
unreadable, and says which field it was. Fields that a class does not have are
ignored; an optional field that is null counts as missing.
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

# Largest number that is read: up to here JSON readers of every language keep whole
# numbers exact, and times of day in milliseconds stay far below.
LARGEST_NUMBER = 2**53
# Longest text that is read, in characters: five of the platform's longest names; a
# longer one would fill logs and datagrams.
LONGEST_TEXT = 1000
# An identifier goes into headers, logs and keys of rows, which take 200 bytes; those
# in use are a tenth as long.
IDENTIFIER = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._:-]{0,126}[A-Za-z0-9])?")
PORT = re.compile(r"[0-9]{1,5}")
HOST_LABEL = re.compile(r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?")
VISIBLE = re.compile(r"[!-~]([ -~]*[!-~])?")
PATH = re.compile(r"(/[!-~]*)?")
LARGEST_PORT = 65535
# Addresses of which it is kept whether they are IP addresses: some fleets' worth.
KEPT_ADDRESSES = 8192

# Values that are narrower than their type, for the fields of data classes.
Name = NewType("Name", str)
Identifier = NewType("Identifier", str)
Address = NewType("Address", str)
# What can be a header's value, and what can be asked for in a request's first line:
# another one makes each request that carries it fail.
HeaderText = NewType("HeaderText", str)
Path = NewType("Path", str)
# An address whose host is an IP address: a name would have to be looked up, and a
# datagram socket does that while the loop stands still.
SocketAddress = NewType("SocketAddress", str)
Positive = NewType("Positive", int)


class DecodeFault(str, Enum):
    """Name what is wrong with a document."""

    BYTES = "bytes"
    MISSING = "missing"
    TYPE = "type"
    RANGE = "range"
    UNKNOWN = "unknown"
    ID = "id"


@dataclass(frozen=True, kw_only=True)
class Unreadable:
    """Say why a document cannot be read; `field` is empty if it is no one field's."""

    fault: DecodeFault
    field: str = ""

    def __str__(self) -> str:
        """Return the reason in a few words."""
        return f"unreadable: {self.fault.value} {self.field}".rstrip()


class Unfit(Exception):  # noqa: N818
    """Carry a fault from a decoder of one value to `decode`, which returns it."""

    def __init__(self, fault: DecodeFault, field: str = "") -> None:
        super().__init__(fault)
        self.fault = fault
        self.field = field


def decode(value: Any, kind: type[T]) -> T | Unreadable:
    """Build a data class from maps, lists, texts and numbers."""
    return _checked(_by_name, value, kind)


def decode_compact(value: Any, kind: type[T]) -> T | Unreadable:
    """Build a data class from lists, texts and numbers, by the order of its fields."""
    return _checked(_by_order, value, kind)


def parse_json(data: bytes | str) -> Any | Unreadable:
    """Parse JSON, whatever it holds."""
    try:
        return json.loads(data)
    # A value nested too deep ends in a RecursionError.
    except (ValueError, RecursionError):
        return Unreadable(fault=DecodeFault.BYTES)


def _checked(converter: Converter, value: Any, kind: type[T]) -> T | Unreadable:
    try:
        return converter.structure(value, kind)
    except Unfit as unfit:
        return Unreadable(fault=unfit.fault, field=unfit.field)


# -- scalars -----------------------------------------------------------------


def _text(value: Any, kind: type[str]) -> str:
    # Nearly every value is a plain one of its type, so that is looked at first.
    if kind is str and type(value) is str and _is_fit_text(value):
        return value
    if not isinstance(value, str):
        raise Unfit(DecodeFault.TYPE)
    if issubclass(kind, Enum):
        return _member(value, kind)
    # Half of a surrogate pair, which JSON can hold, cannot be sent or logged; it is
    # not printable either.
    if not _is_fit_text(value):
        raise Unfit(DecodeFault.RANGE)
    return value


def _is_fit_text(value: str) -> bool:
    return len(value) <= LONGEST_TEXT and value.isprintable()


def _blob(value: Any, _: type) -> bytes:
    if not isinstance(value, bytes):
        raise Unfit(DecodeFault.TYPE)
    return value


def _name(value: Any, _: type) -> str:
    if _text(value, str) == "":
        raise Unfit(DecodeFault.RANGE)
    return value


def _identifier(value: Any, _: type) -> str:
    if not IDENTIFIER.fullmatch(_text(value, str)):
        raise Unfit(DecodeFault.ID)
    return value


def _matching(pattern: re.Pattern[str], value: Any) -> str:
    if not pattern.fullmatch(_text(value, str)):
        raise Unfit(DecodeFault.RANGE)
    return value


def _header_text(value: Any, _: type) -> str:
    return _matching(VISIBLE, value)


def _path(value: Any, _: type) -> str:
    return _matching(PATH, value)


def _address(value: Any, _: type) -> str:
    host = _host_of(value)
    if not _is_ip(host):
        for label in host.split("."):
            _matching(HOST_LABEL, label)
    return value


def _socket_address(value: Any, _: type) -> str:
    if not _is_ip(_host_of(value)):
        raise Unfit(DecodeFault.RANGE)
    return value


def _host_of(address: Any) -> str:
    host, _, port = _text(address, str).rpartition(":")
    if not 1 <= int(_matching(PORT, port)) <= LARGEST_PORT:
        raise Unfit(DecodeFault.RANGE)
    return host


# Hosts' addresses come again with each heartbeat and each change of the list.
@lru_cache(maxsize=KEPT_ADDRESSES)
def _is_ip(host: str) -> bool:
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _whole_number(value: Any, _: type) -> int:
    if type(value) is int and 0 <= value <= LARGEST_NUMBER:
        return value
    if isinstance(value, bool) or not isinstance(value, int):
        raise Unfit(DecodeFault.TYPE)
    return _in_range(value)


def _positive(value: Any, _: type) -> int:
    if _whole_number(value, int) == 0:
        raise Unfit(DecodeFault.RANGE)
    return value


def _number(value: Any, _: type) -> float:
    if type(value) is float and 0 <= value <= LARGEST_NUMBER:
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Unfit(DecodeFault.TYPE)
    return float(_in_range(value))


def _in_range(value: T) -> T:
    # A comparison with what is not a number is false.
    if not 0 <= value <= LARGEST_NUMBER:
        raise Unfit(DecodeFault.RANGE)
    return value


def _truth(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise Unfit(DecodeFault.TYPE)
    return value


def _member(value: str, kind: type[Enum]) -> Enum:
    try:
        return kind(value)
    except ValueError:
        raise Unfit(DecodeFault.UNKNOWN) from None


# -- containers --------------------------------------------------------------


def _tuples(converter: Converter, kind: type[T]) -> Callable[[Any, type[T]], T]:
    item = get_args(kind)[0]
    read = converter.get_structure_hook(item)

    def build(values: Any, _: type[T]) -> T:
        # Also a text and a map can be gone through item by item.
        if not isinstance(values, list | tuple):
            raise Unfit(DecodeFault.TYPE)
        return tuple(read(value, item) for value in values)

    return build


def _classes_by_name(
    converter: Converter, kind: type[T]
) -> Callable[[Any, type[T]], T]:
    readers = _readers(converter, kind)
    optional = {f.name for f in fields(kind) if _has_default(f)}

    def build(values: Any, _: type[T]) -> T:
        if not isinstance(values, dict):
            raise Unfit(DecodeFault.TYPE)
        found = {}
        for name, read in readers.items():
            value = values.get(name)
            if value is not None:
                found[name] = read(value)
            elif name not in optional:
                raise Unfit(
                    DecodeFault.TYPE if name in values else DecodeFault.MISSING, name
                )
        return kind(**found)

    return build


def _classes_by_order(
    converter: Converter, kind: type[T]
) -> Callable[[Any, type[T]], T]:
    readers = _readers(converter, kind)
    names = tuple(readers)
    hooks = [(converter.get_structure_hook(h), h) for h in _hints(kind)]

    def build(values: Any, _: type[T]) -> T:
        if not isinstance(values, list | tuple):
            raise Unfit(DecodeFault.TYPE)
        if len(values) != len(names):
            raise Unfit(DecodeFault.MISSING)
        try:
            found = [hook(v, h) for (hook, h), v in zip(hooks, values, strict=True)]
        except Unfit:
            # Once more, to find out which field it was.
            for read, value in zip(readers.values(), values, strict=True):
                read(value)
            raise
        return kind(**dict(zip(names, found, strict=True)))

    return build


def _has_default(field: Any) -> bool:
    return field.default is not MISSING or field.default_factory is not MISSING


def _readers(converter: Converter, kind: type) -> dict[str, Callable[[Any], Any]]:
    """Return what decodes each field of a class."""
    return {n: _reader(converter, n, h) for n, h in get_type_hints(kind).items()}


def _hints(kind: type) -> list[Any]:
    return list(get_type_hints(kind).values())


def _reader(converter: Converter, name: str, hint: Any) -> Callable[[Any], Any]:
    structure = converter.get_structure_hook(hint)

    def read(value: Any) -> Any:
        try:
            return structure(value, hint)
        except Unfit as unfit:
            path = f"{name}.{unfit.field}" if unfit.field else name
            raise Unfit(unfit.fault, path) from None

    return read


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


SCALARS = {
    str: _text,
    bytes: _blob,
    int: _whole_number,
    float: _number,
    bool: _truth,
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
    for scalar, read in SCALARS.items():
        converter.register_structure_hook(scalar, read)
    for applies, build in ((_is_tuple, _tuples), (is_dataclass, classes)):
        converter.register_structure_hook_factory(
            applies, lambda kind, build=build: build(converter, kind)
        )
    return converter


_by_name = _converter(_classes_by_name)
_by_order = _converter(_classes_by_order)
