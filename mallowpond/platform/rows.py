"""Decode the answers of the platform's table service, each row by itself."""

import base64
from dataclasses import dataclass
from typing import Any

from mallowpond.state.decoding import DecodeFault, Unreadable, decode, parse_json


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """Hold one row; `document` is what its value says, or why it cannot be read.

    `version` 0 stands for one that cannot be read.
    """

    key: str
    document: Any = None
    value: bytes = b""
    version: int = 0
    removed: bool = False


@dataclass(frozen=True, kw_only=True)
class StoreAnswer:
    """Hold the rows of one answer; one without a key names no row, only a fault."""

    version: int
    rows: tuple[StoredRow, ...]
    # By the store's steady clock, in seconds.
    answered_at: float | None = None
    keyless_faults: tuple[Unreadable, ...] = ()
    has_more: bool = False

    @property
    def latest_rows(self) -> list[StoredRow]:
        """Return the last state of each row: a feed may hold several of one row.

        Taking the first, a node went on with an older configuration although it had
        read past the newer one, and refused keys that were in force.
        """
        return list({row.key: row for row in self.rows}.values())


@dataclass(frozen=True, kw_only=True)
class _Answer:
    ver: int
    rows: tuple[Any, ...]
    more_pages: bool = False
    # The store's steady clock, in milliseconds.
    now_ms: float | None = None


@dataclass(frozen=True, kw_only=True)
class _Key:
    key: str


@dataclass(frozen=True, kw_only=True)
class _Removed:
    removed: bool = False


@dataclass(frozen=True, kw_only=True)
class _Version:
    ver: int


@dataclass(frozen=True, kw_only=True)
class _Conflicts:
    rows: tuple[Any, ...] = ()


@dataclass(frozen=True, kw_only=True)
class _Place:
    table: str
    key: str


def decode_answer(data: bytes) -> StoreAnswer | Unreadable:
    """Decode an answer that holds rows."""
    found = _decode_json(data, _Answer)
    if isinstance(found, Unreadable):
        return found
    rows = [_decode_row(row) for row in found.rows]
    return StoreAnswer(
        version=found.ver,
        answered_at=None if found.now_ms is None else found.now_ms / 1000.0,
        rows=tuple(row for row in rows if isinstance(row, StoredRow)),
        keyless_faults=tuple(row for row in rows if isinstance(row, Unreadable)),
        has_more=found.more_pages,
    )


def decode_committed_version(data: bytes) -> int | Unreadable:
    """Decode the answer to a change that took effect."""
    found = _decode_json(data, _Version)
    return found if isinstance(found, Unreadable) else found.ver


def decode_conflicting_keys(data: bytes) -> tuple[str, ...]:
    """Decode which rows spoke against a change, as far as the answer can be read."""
    found = _decode_json(data, _Conflicts)
    if isinstance(found, Unreadable):
        return ()
    places = [decode(row, _Place) for row in found.rows]
    return tuple(f"{p.table}/{p.key}" for p in places if isinstance(p, _Place))


def _decode_row(row: Any) -> StoredRow | Unreadable:
    keyed = decode(row, _Key)
    if isinstance(keyed, Unreadable):
        return keyed
    version = decode(row, _Version)
    removal = decode(row, _Removed)
    return StoredRow(
        key=keyed.key,
        document=removal if isinstance(removal, Unreadable) else _decode_document(row),
        value=_decode_value(row) or b"",
        version=0 if isinstance(version, Unreadable) else version.ver,
        removed=isinstance(removal, _Removed) and removal.removed,
    )


def _decode_document(row: dict[str, Any]) -> Any | Unreadable:
    if "value" not in row:
        return Unreadable(fault=DecodeFault.MISSING, field="value")
    value = _decode_value(row)
    if value is None:
        return Unreadable(fault=DecodeFault.BYTES, field="value")
    return parse_json(value)


def _decode_value(row: dict[str, Any]) -> bytes | None:
    try:
        return base64.b64decode(row.get("value"), validate=True)
    except (TypeError, ValueError):
        return None


def _decode_json(data: bytes, kind: type) -> Any:
    document = parse_json(data)
    return document if isinstance(document, Unreadable) else decode(document, kind)
