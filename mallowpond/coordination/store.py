"""Settle transactions whose outcome got lost, and keep typed copies of rows."""

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
    """Hold a typed row with the version it was read at."""

    value: T
    version: int


@dataclass(frozen=True, kw_only=True)
class TypedPut:
    """Write a typed row, on the condition that it stands at `expect` if given."""

    key: str
    value: object
    expect: int | None = None


def new_id(rng: random.Random) -> str:
    """Return an identifier that no other process will draw."""
    return f"{rng.getrandbits(96):024x}"


def transaction(
    identifier: str, *puts: TypedPut, checks: tuple[Check, ...] = ()
) -> Transaction:
    """Build a transaction from typed rows and further checks."""
    expected = tuple(
        Check(key=p.key, version=p.expect) for p in puts if p.expect is not None
    )
    return Transaction(
        transaction=identifier,
        checks=expected + checks,
        puts=tuple(Put(key=p.key, value=to_plain(p.value)) for p in puts),
    )


async def commit_and_resolve(table: TableService, change: Transaction) -> CommitOutcome:
    """Commit, and settle an unknown outcome by reading one of the rows written.

    The answer of a commit can be lost after the change took effect; one notices it
    by operators being told of a conflict with their own change. The row names the
    transaction that wrote it, so a read decides. When the row does not name this
    transaction the commit may still arrive later, and stays unknown.
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
    """Mirror the rows below one prefix by reading only what changed."""

    table: TableService
    prefix: str
    rows: dict[str, Row] = field(default_factory=dict)
    version: int = 0
    _typed: dict[str, Versioned] = field(default_factory=dict)
    _reading: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def refresh(self) -> bool:
        """Read the changes; return False while the table cannot be read."""
        # Two reads at once could come back in the other order, and the older one
        # would put old rows over new ones.
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
            self._typed.pop(key, None)
        self.version = found.version
        return True

    def get(self, key: str, kind: type[T]) -> Versioned[T] | None:
        """Return one row, typed."""
        row = self.rows.get(self.prefix + key)
        return None if row is None else self._as(row, kind)

    def with_prefix(self, prefix: str, kind: type[T]) -> dict[str, Versioned[T]]:
        """Return the rows below a prefix, typed, by the rest of their key."""
        start = self.prefix + prefix
        return {
            key[len(start) :]: self._as(row, kind)
            for key, row in self.rows.items()
            if key.startswith(start)
        }

    def _as(self, row: Row, kind: type[T]) -> Versioned[T]:
        # Rows are read at every step and change seldom, so each is built once.
        known = self._typed.get(row.key)
        if known is None or known.version != row.version:
            known = Versioned(value=from_plain(row.value, kind), version=row.version)
            self._typed[row.key] = known
        return known
