"""Decode answers of the platform's table service, the store.

Each row is decoded on its own, so that an unreadable one does not affect the others.
"""

import base64
from dataclasses import dataclass
from typing import Any

from mallowpond.state.decoding import DecodeFault, Unreadable, decode, parse_json
from mallowpond.state.revision import make_revision


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """One row of a table, or the removal of one.

    document: the decoded value, or an `Unreadable` with the reason.
    value: the raw value, empty if its base64 text cannot be decoded.
    version: table version of the row's last change, 0 if unreadable.
    """

    key: str
    document: Any = None
    value: bytes = b""
    version: int = 0
    removed: bool = False


@dataclass(frozen=True, kw_only=True)
class StoreAnswer:
    """The rows of one answer.

    version: table version up to which the answer is complete.
    era: era of the store in which the answer was given.
    answered_at: when the store answered, in seconds of its own monotonic clock.
    keyless_faults: one fault for each row without a readable key.
    has_more: whether further pages follow.
    """

    version: int
    rows: tuple[StoredRow, ...]
    era: int = 0
    answered_at: float | None = None
    keyless_faults: tuple[Unreadable, ...] = ()
    has_more: bool = False

    @property
    def revision(self) -> int:
        """Return the revision up to which the answer is complete."""
        return make_revision(self.era, self.version)

    @property
    def latest_rows(self) -> list[StoredRow]:
        """Return the last state of each row; an answer may contain several of one row.

        When the first state was used, a node kept an older configuration although the
        same answer contained the newer one. Its next read asked only for changes after
        that answer, so it went on to refuse valid API keys.
        """
        return list({row.key: row for row in self.rows}.values())


@dataclass(frozen=True, kw_only=True)
class _Answer:
    ver: int
    rows: tuple[Any, ...]
    more_pages: bool = False
    # The store's monotonic clock, in milliseconds.
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
class _RowAddress:
    table: str
    key: str


def decode_answer(data: bytes) -> StoreAnswer | Unreadable:
    """Decode an answer that contains rows."""
    decoded = _decode_json(data, _Answer)
    if isinstance(decoded, Unreadable):
        return decoded
    rows = [_decode_row(row) for row in decoded.rows]
    return StoreAnswer(
        version=decoded.ver,
        answered_at=None if decoded.now_ms is None else decoded.now_ms / 1000.0,
        rows=tuple(row for row in rows if isinstance(row, StoredRow)),
        keyless_faults=tuple(row for row in rows if isinstance(row, Unreadable)),
        has_more=decoded.more_pages,
    )


def decode_committed_version(data: bytes) -> int | Unreadable:
    """Decode the table version from the answer to a committed transaction."""
    decoded = _decode_json(data, _Version)
    return decoded if isinstance(decoded, Unreadable) else decoded.ver


def decode_conflicting_keys(data: bytes) -> tuple[str, ...]:
    """Decode the keys (TABLE/KEY) of conflicting rows; unreadable ones are skipped."""
    decoded = _decode_json(data, _Conflicts)
    if isinstance(decoded, Unreadable):
        return ()
    rows = [decode(row, _RowAddress) for row in decoded.rows]
    return tuple(f"{r.table}/{r.key}" for r in rows if isinstance(r, _RowAddress))


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
