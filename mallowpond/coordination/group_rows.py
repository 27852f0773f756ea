"""Rows of groups and hosts, written together and under the planner's lease."""

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

Changes = dict[str, tuple[object, int]]


class GroupRows:
    """Read and change the rows that say which host stands in which group."""

    def __init__(
        self,
        *,
        table: TableService,
        shared: TableView,
        lease: NamedLease,
        desk: OrderTracker,
        holder: Callable[[], Holder],
        draw_id: Callable[[], str],
    ) -> None:
        self._table = table
        self._shared = shared
        self._lease = lease
        self._desk = desk
        self._holder = holder
        self._draw_id = draw_id

    def groups(self) -> dict[str, Versioned[GroupRow]]:
        """Return the groups as last read."""
        return self._shared.with_prefix(GROUPS, GroupRow)

    def hosts(self) -> dict[str, Versioned[HostRow]]:
        """Return the rows of hosts as last read."""
        return self._shared.with_prefix(HOSTS, HostRow)

    async def start_group(
        self,
        name: str,
        deployment: str,
        generation: int,
        members: tuple[GroupMember, ...],
        version: int,
    ) -> None:
        """Bind hosts to a group and write their orders down, all at once."""
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
        left = set(old.value.hosts) - set(group.hosts) if old else set()
        changes.update(self._freed(tuple(sorted(left))))
        rows = self.hosts()
        for member in members:
            held = rows.get(member.host)
            if held and held.value.group not in (None, name):
                # Another group's row still names the host; its own repair or
                # dissolution frees it first.
                return
            bound = self._bound(member, group, held.value if held else None)
            changes[HOSTS + member.host] = (bound, held.version if held else 0)
        await self.commit(changes)

    def _bound(
        self, member: GroupMember, group: GroupRow, held: HostRow | None
    ) -> HostRow:
        if held is None:
            held = HostRow(
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
            self.next_order(held),
            incarnation=member.incarnation,
            group=group.group,
            generation=group.generation,
        )

    async def delete(self, name: str, row: Versioned[GroupRow]) -> None:
        """Delete a group and write the unload orders of its hosts down."""
        freed = self._freed(row.value.hosts)
        key = SHARED + GROUPS + name
        held = Check(key=key, version=row.version)
        await self.commit(freed, deletes=(key,), checks=(held,))

    def _freed(self, hosts: tuple[str, ...]) -> Changes:
        """Return the changes that unbind hosts and write down their unload orders."""
        return self.host_changes(hosts, group=None, generation=0, new=True)

    def host_changes(
        self, hosts: tuple[str, ...], *, new: bool = False, **fields: object
    ) -> Changes:
        """Return the changes that set fields of hosts, with a new order if asked."""
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
        """Return the row with a new open order under the lease."""
        lease = self._lease.current
        return self._desk.next_order(row, lease.fence if lease else row.fence)

    async def commit(
        self,
        changes: Changes,
        *,
        deletes: tuple[str, ...] = (),
        checks: tuple[Check, ...] = (),
    ) -> bool:
        """Commit under the lease; without it nothing is written.

        The check names the version at which this process holds the lease. Taking the
        row's version as last read would let a holder that woke after a takeover write
        under the new holder's lease.
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
        """Commit changes on the condition that their rows did not change."""
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
