"""Build and commit transactions, and mirror rows of the table with their types."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from mallowpond.coordination.ports import (
    Check,
    CommitOutcome,
    Committed,
    Put,
    Row,
    TableService,
    Transaction,
    Unavailable,
    Unknown,
)
from mallowpond.state.codec import from_plain, to_plain

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class Versioned(Generic[T]):
    """Typed row with the version at which it was read."""

    value: T
    version: int


@dataclass(frozen=True, kw_only=True)
class TypedPut:
    """Write a typed row; unless `expect` is None, only if the row has that version.

    Version 0 means that the row is absent.
    """

    key: str
    value: object
    expect: int | None = None


def new_id(rng: random.Random) -> str:
    """Return a random identifier of 96 bits that no other process will draw."""
    return f"{rng.getrandbits(96):024x}"


def transaction(
    identifier: str, *puts: TypedPut, checks: tuple[Check, ...] = ()
) -> Transaction:
    """Build a transaction from typed rows, their expected versions and more checks."""
    expected = tuple(
        Check(key=p.key, version=p.expect) for p in puts if p.expect is not None
    )
    return Transaction(
        transaction=identifier,
        checks=expected + checks,
        puts=tuple(Put(key=p.key, value=to_plain(p.value)) for p in puts),
    )


async def commit_and_resolve(table: TableService, change: Transaction) -> CommitOutcome:
    """Commit, and resolve an unknown outcome by reading one of the rows written.

    The answer to a commit can be lost after the change took effect; a retry would then
    report to operators a conflict with their own change. Each row names the transaction
    that wrote it, so reading one shows whether the commit took effect. If the row names
    another transaction, the commit may still arrive, so the outcome stays unknown.
    """
    outcome = await table.commit(change)
    if not isinstance(outcome, Unknown) or not change.puts:
        return outcome
    row = await table.read(change.puts[0].key)
    if isinstance(row, Row) and row.transaction == change.transaction:
        return Committed(version=row.version)
    return outcome


@dataclass(kw_only=True)
class TableView:
    """Copy of the rows with one prefix, updated by reading only the changes."""

    table: TableService
    prefix: str
    rows: dict[str, Row] = field(default_factory=dict)
    version: int = 0
    _decoded: dict[str, Versioned] = field(default_factory=dict)
    _reading: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def refresh(self) -> bool:
        """Read the changes; return whether the table could be read."""
        # Of two concurrent reads the older one could return last and overwrite newer
        # rows.
        async with self._reading:
            return await self._refresh()

    async def _refresh(self) -> bool:
        found = await self.table.scan(self.prefix, self.version)
        if isinstance(found, Unavailable):
            return False
        for row in found.rows:
            self.rows[row.key] = row
        for key in found.deleted:
            self.rows.pop(key, None)
            self._decoded.pop(key, None)
        self.version = found.version
        return True

    def get(self, key: str, kind: type[T]) -> Versioned[T] | None:
        """Return the typed row at a key, without the view's prefix, or None."""
        row = self.rows.get(self.prefix + key)
        return None if row is None else self._decode(row, kind)

    def with_prefix(self, prefix: str, kind: type[T]) -> dict[str, Versioned[T]]:
        """Return the typed rows with a prefix, by the rest of their keys."""
        start = self.prefix + prefix
        return {
            key[len(start) :]: self._decode(row, kind)
            for key, row in self.rows.items()
            if key.startswith(start)
        }

    def _decode(self, row: Row, kind: type[T]) -> Versioned[T]:
        # Rows are read at every step but change seldom: decode each version once.
        decoded = self._decoded.get(row.key)
        if decoded is None or decoded.version != row.version:
            decoded = Versioned(value=from_plain(row.value, kind), version=row.version)
            self._decoded[row.key] = decoded
        return decoded
