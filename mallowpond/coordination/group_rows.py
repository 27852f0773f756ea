"""Rows of groups and hosts, written in one transaction under the planner's lease."""

from collections.abc import Callable
from dataclasses import replace

from mallowpond.coordination.keys import GROUPS, HOSTS, SHARED
from mallowpond.coordination.leases import NamedLease
from mallowpond.coordination.orders import OrderTracker
from mallowpond.coordination.ports import (
    Check,
    Committed,
    Put,
    TableService,
    Transaction,
)
from mallowpond.coordination.store import TableView, Versioned, commit_and_resolve
from mallowpond.state.codec import to_plain
from mallowpond.state.rows import (
    GroupMember,
    GroupRow,
    GroupState,
    Holder,
    HostRow,
    OrderOutcome,
)

# Rows to write by key, each with the version that it must have, 0 if absent.
Changes = dict[str, tuple[object, int]]


class GroupRows:
    """Reads and changes the rows that assign hosts to groups."""

    def __init__(
        self,
        *,
        table: TableService,
        shared: TableView,
        lease: NamedLease,
        orders: OrderTracker,
        holder: Callable[[], Holder],
        draw_id: Callable[[], str],
    ) -> None:
        self._table = table
        self._shared = shared
        self._lease = lease
        self._orders = orders
        self._holder = holder
        self._draw_id = draw_id

    def groups(self) -> dict[str, Versioned[GroupRow]]:
        """Return the rows of groups as last read, by group."""
        return self._shared.with_prefix(GROUPS, GroupRow)

    def hosts(self) -> dict[str, Versioned[HostRow]]:
        """Return the rows of hosts as last read, by host."""
        return self._shared.with_prefix(HOSTS, HostRow)

    async def start_group(
        self,
        name: str,
        deployment: str,
        generation: int,
        members: tuple[GroupMember, ...],
        version: int,
    ) -> None:
        """Assign hosts to a new or changed group and store their orders, atomically.

        `version` is the version that the group's row must have, 0 if absent. Nothing is
        written while a row of these hosts names another group.
        """
        if not members:
            return
        group = GroupRow(
            group=name,
            deployment=deployment,
            generation=generation,
            state=GroupState.LOADING,
            members=members,
        )
        changes: Changes = {GROUPS + name: (group, version)}
        old = self.groups().get(name)
        removed = set(old.value.hosts) - set(group.hosts) if old else set()
        changes.update(self._release(tuple(sorted(removed))))
        rows = self.hosts()
        for member in members:
            row = rows.get(member.host)
            if row and row.value.group not in (None, name):
                # The host is still assigned to another group. That group's repair or
                # dissolution releases it first.
                return
            assigned = self._assign(member, group, row.value if row else None)
            changes[HOSTS + member.host] = (assigned, row.version if row else 0)
        await self.commit(changes)

    def _assign(
        self, member: GroupMember, group: GroupRow, row: HostRow | None
    ) -> HostRow:
        if row is None:
            row = HostRow(
                host=member.host,
                incarnation=member.incarnation,
                group=None,
                generation=0,
                order=0,
                fence=0,
                holder=Holder(member="", incarnation=""),
                outcome=OrderOutcome.DONE,
            )
        return replace(
            self.next_order(row),
            incarnation=member.incarnation,
            group=group.group,
            generation=group.generation,
        )

    async def delete(self, name: str, row: Versioned[GroupRow]) -> None:
        """Delete a group and store the unload orders of its hosts."""
        released = self._release(row.value.hosts)
        key = SHARED + GROUPS + name
        unchanged = Check(key=key, version=row.version)
        await self.commit(released, deletes=(key,), checks=(unchanged,))

    def _release(self, hosts: tuple[str, ...]) -> Changes:
        """Return the changes that release hosts from their group and unload them."""
        return self.host_changes(hosts, group=None, generation=0, new=True)

    def host_changes(
        self, hosts: tuple[str, ...], *, new: bool = False, **fields: object
    ) -> Changes:
        """Return changes that set fields of host rows, with a new order if `new`."""
        rows = self.hosts()
        changes: Changes = {}
        for host in hosts:
            row = rows.get(host)
            if row is None:
                continue
            changed = self.next_order(row.value) if new else row.value
            changed = replace(changed, **fields)
            changes[HOSTS + host] = (changed, row.version)
        return changes

    def next_order(self, row: HostRow) -> HostRow:
        """Return the row with the next order, pending under the current lease."""
        lease = self._lease.current
        return self._orders.next_order(row, lease.fence if lease else row.fence)

    async def commit(
        self,
        changes: Changes,
        *,
        deletes: tuple[str, ...] = (),
        checks: tuple[Check, ...] = (),
    ) -> bool:
        """Commit under the lease; return whether it took effect.

        Without a valid lease nothing is written. The check names the version at which
        this process holds the lease. With the version as last read, a holder that
        resumes after a takeover would write under the new holder's lease.
        """
        lease = self._lease.current
        if lease is None:
            return False
        fenced = (*checks, Check(key=self._lease.key, version=lease.version))
        return await self.write(changes, deletes, fenced)

    async def write(
        self,
        changes: Changes,
        deletes: tuple[str, ...] = (),
        checks: tuple[Check, ...] = (),
    ) -> bool:
        """Commit changes if their rows are unchanged; return whether it took effect."""
        unchanged = (Check(key=SHARED + k, version=v) for k, (_, v) in changes.items())
        rows = ((SHARED + key, row) for key, (row, _) in changes.items())
        change = Transaction(
            transaction=self._draw_id(),
            checks=(*unchanged, *checks),
            puts=tuple(Put(key=key, value=to_plain(row)) for key, row in rows),
            deletes=deletes,
        )
        outcome = await commit_and_resolve(self._table, change)
        await self._shared.refresh()
        return isinstance(outcome, Committed)
