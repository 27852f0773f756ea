"""Named leases, held while this process owns the name and renews its heartbeat.

Rendezvous hashing over the members that may acquire leases decides who owns a name.
"""

from collections.abc import Callable
from dataclasses import replace

from mallowpond.coordination.keys import LEASES, SHARED
from mallowpond.coordination.membership import Membership
from mallowpond.coordination.ports import Clock, TableService
from mallowpond.coordination.store import (
    TableView,
    TypedPut,
    Versioned,
    commit_and_resolve,
    transaction,
)
from mallowpond.state.lease import HeldLease
from mallowpond.state.ownership import owner_of
from mallowpond.state.rows import LeaseRow


class NamedLease:
    """Acquires, holds and releases the lease on one name."""

    def __init__(
        self,
        *,
        name: str,
        table: TableService,
        clock: Clock,
        shared: TableView,
        membership: Membership,
        draw_id: Callable[[], str],
    ) -> None:
        self._name = name
        self._table = table
        self._clock = clock
        self._shared = shared
        self._membership = membership
        self._draw_id = draw_id

    @property
    def current(self) -> HeldLease | None:
        """Return the lease if this process holds it and it is valid, else None."""
        row = self._row
        if row is None or not self._is_mine(row.value):
            return None
        lease = HeldLease(
            fence=row.value.fence,
            version=row.version,
            valid_until=self._membership.valid_until,
        )
        return lease if lease.is_valid(self._clock.now()) else None

    @property
    def is_mine(self) -> bool:
        """Return whether the row names this process, even if the lease has expired."""
        row = self._row
        return row is not None and self._is_mine(row.value)

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return SHARED + LEASES + self._name

    async def maintain(self) -> HeldLease | None:
        """Acquire the lease if this process owns the name, release it if another does.

        Return the lease if it is valid. A lease acquired by this call is returned from
        the next one on.
        """
        me = self._membership.identity
        owner = owner_of(self._name, self._membership.eligible_owners())
        row = self._row
        if row is not None and self._is_mine(row.value):
            if owner not in (None, me.name):
                await self.release()
                return None
            return self.current
        if owner == me.name and self._is_free(row):
            fence = row.value.fence + 1 if row else 1
            acquired = LeaseRow(holder=me.name, incarnation=me.incarnation, fence=fence)
            await self._put(acquired, row)
        return None

    async def release(self) -> None:
        """Release the lease; its fencing number stays in the row."""
        row = self._row
        if row is not None and self._is_mine(row.value):
            await self._put(replace(row.value, holder="", incarnation=""), row)

    @property
    def _row(self) -> Versioned[LeaseRow] | None:
        return self._shared.get(LEASES + self._name, LeaseRow)

    def _is_mine(self, row: LeaseRow) -> bool:
        me = self._membership.identity
        return (row.holder, row.incarnation) == (me.name, me.incarnation)

    def _is_free(self, row: Versioned[LeaseRow] | None) -> bool:
        if row is None or not row.value.holder:
            return True
        return self._membership.is_lease_expired(
            row.value.holder, row.value.incarnation
        )

    async def _put(self, lease: LeaseRow, row: Versioned[LeaseRow] | None) -> None:
        expect = row.version if row else 0
        put = TypedPut(key=self.key, value=lease, expect=expect)
        await commit_and_resolve(self._table, transaction(self._draw_id(), put))
        await self._shared.refresh()
