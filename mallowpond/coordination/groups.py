"""Form, repair, drain and dissolve groups under the planner's lease.

Every order is stored before it is sent and carries the lease's fencing number. A group
is READY only once each member has confirmed its generation, in the incarnation for
which it was planned. See ``docs/design/groups.md``.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from mallowpond.coordination.group_rows import Changes, GroupRows
from mallowpond.coordination.health import EngineWatch, confirms_member
from mallowpond.coordination.keys import GROUPS, HOSTS
from mallowpond.coordination.leases import NamedLease
from mallowpond.coordination.orders import OrderTracker
from mallowpond.coordination.ports import (
    Clock,
    Engines,
    EngineStatus,
    Host,
    HostState,
    Order,
    OrderAction,
    TableService,
)
from mallowpond.coordination.store import TableView, Versioned
from mallowpond.state.declarations import Declaration, Deployment
from mallowpond.state.lease import HeldLease
from mallowpond.state.planner import (
    Dissolve,
    Form,
    PlanGroup,
    PlanHost,
    Repair,
    plan,
    stranded,
)
from mallowpond.state.rows import (
    GroupMember,
    GroupRow,
    GroupState,
    Holder,
    HostRow,
    OrderOutcome,
)

NO_DEPLOYMENT = Deployment(name="", model="", replicas=0, hosts_per_group=1)


@dataclass(frozen=True, kw_only=True)
class GroupTimings:
    """Limits of group management; times are in seconds.

    drain_settle: minimum time of draining, until gateways know of it.
    drain_limit: time of draining after which running requests are cut off.
    forming_limit: time in which the members of a group must load.
    max_loading_hosts: no group is formed if more hosts would then load at the same
        time; repairs are not limited.
    """

    drain_settle: float = 2.0
    drain_limit: float = 120.0
    forming_limit: float = 60.0
    max_loading_hosts: int = 64


class GroupManager:
    """Forms, repairs and dissolves groups until they match the declaration."""

    def __init__(
        self,
        *,
        table: TableService,
        clock: Clock,
        engines: Engines,
        shared: TableView,
        lease: NamedLease,
        watch: EngineWatch,
        holder: Callable[[], Holder],
        draw_id: Callable[[], str],
        timings: GroupTimings,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._watch = watch
        self._orders = OrderTracker(engines=engines, watch=watch, holder=holder)
        self._rows = GroupRows(
            table=table,
            shared=shared,
            lease=lease,
            orders=self._orders,
            holder=holder,
            draw_id=draw_id,
        )
        self._draw_id = draw_id
        self._timings = timings
        self._state_since: dict[tuple[str, GroupState, int], float] = {}
        self._stranded = 0
        self._tainted: tuple[str, ...] = ()
        self._excluded: frozenset[str] = frozenset()

    @property
    def stranded(self) -> int:
        """Return the number of accelerators idle without a group, as last planned."""
        return self._stranded

    @property
    def tainted(self) -> tuple[str, ...]:
        """Return the hosts kept out of groups by an earlier holder's open order."""
        return self._tainted

    def groups(self) -> dict[str, GroupRow]:
        """Return the rows of groups as last read, by group."""
        return {k: v.value for k, v in self._rows.groups().items()}

    async def tick(self, *, declaration: Declaration, hosts: tuple[Host, ...]) -> None:
        """Advance every group by one step if this process holds the lease.

        Without the lease, withdraw this process's orders that can no longer arrive.
        """
        if not hosts:
            # The list has not been read yet: every group would look broken, and every
            # earlier holder gone.
            return
        checks_fencing = all(d.checks_fencing for d in declaration.deployments)
        self._orders.update(checks_fencing=checks_fencing, hosts=hosts)
        lease = await self._lease.maintain()
        if lease is None:
            # Only the planner reports these, so that a sum over controllers is right.
            self._tainted, self._stranded = (), 0
            await self._withdraw_orders()
            return
        self._excluded = excluded_hosts(declaration, hosts)
        self._track_states()
        await self._mark_broken()
        await self._mark_ready()
        await self._delete_drained()
        await self._record_closed_orders()
        await self._plan(declaration, hosts)
        await self._send_orders(declaration, hosts)

    def _track_states(self) -> None:
        now = self._clock.now()
        present = {
            (name, row.value.state, row.value.generation)
            for name, row in self._rows.groups().items()
        }
        self._state_since = {key: self._state_since.get(key, now) for key in present}

    def _state_age(self, group: GroupRow) -> float:
        """Return the seconds since the group entered its state."""
        key = (group.group, group.state, group.generation)
        return self._clock.now() - self._state_since.get(key, self._clock.now())

    # -- states of groups ----------------------------------------------------

    async def _mark_broken(self) -> None:
        """Mark ready groups as broken that lost a member or are about to.

        Without a replacement for the member, the others wait; the group would otherwise
        still be counted and shown as ready. No order is sent here, so running requests
        continue.
        """
        for name, row in self._rows.groups().items():
            group = row.value
            lost = any(self._is_lost(member, group) for member in group.members)
            leaves = not self._excluded.isdisjoint(group.hosts)
            if group.state is GroupState.READY and (lost or leaves):
                broken = replace(group, state=GroupState.BROKEN)
                await self._rows.commit({GROUPS + name: (broken, row.version)})

    async def _mark_ready(self) -> None:
        for name, row in self._rows.groups().items():
            group = row.value
            if group.state not in (GroupState.LOADING, GroupState.BROKEN):
                continue
            if self._watch.confirmed_age(group) is None:
                continue
            if not self._excluded.isdisjoint(group.hosts):
                continue
            ready = replace(group, state=GroupState.READY)
            done = self._rows.host_changes(group.hosts, outcome=OrderOutcome.DONE)
            await self._rows.commit({GROUPS + name: (ready, row.version), **done})

    async def _delete_drained(self) -> None:
        for name, row in self._rows.groups().items():
            group = row.value
            if group.state is not GroupState.DRAINING:
                continue
            if self._is_drained(group):
                await self._rows.delete(name, row)

    async def _record_closed_orders(self) -> None:
        """Record the orders that free hosts carried out, and drop the closed ones."""
        changes: Changes = {}
        for name, row in self._rows.hosts().items():
            changed = self._orders.without_closed_orders(row.value) or row.value
            if row.value.group is None and self._has_carried_out_order(row.value):
                changed = replace(changed, outcome=OrderOutcome.DONE)
            if changed != row.value:
                changes[HOSTS + name] = (changed, row.version)
        if changes:
            await self._rows.commit(changes)

    def _is_drained(self, group: GroupRow) -> bool:
        age = self._state_age(group)
        if age >= self._timings.drain_limit:
            return True
        # Gateways learn of the draining within the settle time. An engine that is idle
        # before then can still get a request, which unloading would cut off.
        if age < self._timings.drain_settle:
            return False
        status = self._watch.recent_status(group.head.host)
        return status is None or status.in_flight == 0

    # -- planning ------------------------------------------------------------

    async def _plan(self, declaration: Declaration, hosts: tuple[Host, ...]) -> None:
        rows = self._rows.hosts()
        self._tainted = tuple(
            name for name, row in rows.items() if self._orders.is_tainted(row.value)
        )
        groups = self.groups().values()
        draining = frozenset(g.group for g in groups if g.state is GroupState.DRAINING)
        plan_hosts = [self._plan_host(h, rows, draining) for h in hosts if h.is_target]
        plan_groups = [
            self._plan_group(row.value, declaration)
            for row in self._rows.groups().values()
            if row.value.state is not GroupState.DRAINING
        ]
        view = {
            "hosts": plan_hosts,
            "deployments": declaration.deployments,
            "groups": plan_groups,
        }
        self._stranded = stranded(**view)
        for action in plan(**view):
            await self._execute(action, hosts)

    def _plan_host(
        self,
        host: Host,
        rows: dict[str, Versioned[HostRow]],
        draining: frozenset[str],
    ) -> PlanHost:
        row = rows.get(host.name)
        group = row.value.group if row else None
        is_usable = (
            host.name not in self._excluded
            and host.name not in self._tainted
            and self._watch.recent_status(host.name) is not None
        )
        return PlanHost(
            name=host.name,
            domain=host.domain,
            accelerators=host.accelerators,
            usable=is_usable,
            group=group,
            draining=group in draining,
            leaving=host.name in self._excluded,
        )

    def _plan_group(self, group: GroupRow, declaration: Declaration) -> PlanGroup:
        lost = frozenset(
            member.host for member in group.members if self._is_lost(member, group)
        )
        return PlanGroup(
            name=group.group,
            deployment=group.deployment,
            hosts=group.hosts,
            lost=lost,
            serving=group.state is GroupState.READY,
            stopped=group.group in declaration.stopped_groups,
        )

    def _is_lost(self, member: GroupMember, group: GroupRow) -> bool:
        """Return whether a member is silent, restarted, unloaded or slow to load."""
        status = self._watch.recent_status(member.host)
        if status is None:
            return True
        if status.incarnation != member.incarnation:
            return True
        if group.state is not GroupState.LOADING:
            return not confirms_member(status, member, group)
        return self._state_age(group) >= self._timings.forming_limit

    def _has_carried_out_order(self, row: HostRow) -> bool:
        status = self._watch.recent_status(row.host)
        return status is not None and status.order == row.order

    async def _execute(
        self, action: Form | Repair | Dissolve, hosts: tuple[Host, ...]
    ) -> None:
        match action:
            case Form(deployment=deployment, hosts=chosen):
                loading = self._loading_hosts() + len(chosen)
                if loading > self._timings.max_loading_hosts:
                    return
                name = f"{deployment}-{self._draw_id()[:8]}"
                members = self._members(chosen, hosts)
                await self._rows.start_group(name, deployment, 1, members, 0)
            case Repair(group=name, hosts=chosen):
                row = self._rows.groups().get(name)
                if row is None or await self._drain_if_serving(name, row):
                    return
                members = self._members(chosen, hosts)
                generation = row.value.generation + 1
                await self._rows.start_group(
                    name, row.value.deployment, generation, members, row.version
                )
            case Dissolve(group=name):
                row = self._rows.groups().get(name)
                if row is None or await self._drain_if_serving(name, row):
                    return
                await self._rows.delete(name, row)

    async def _drain_if_serving(self, name: str, row: Versioned[GroupRow]) -> bool:
        """Drain a group that still serves, so that its requests can end first.

        Return whether the group was serving.
        """
        group = row.value
        if group.state not in (GroupState.READY, GroupState.BROKEN):
            return False
        if self._watch.confirmed_age(group) is None:
            return False
        draining = replace(group, state=GroupState.DRAINING)
        await self._rows.commit({GROUPS + name: (draining, row.version)})
        return True

    def _loading_hosts(self) -> int:
        rows = (row.value for row in self._rows.groups().values())
        return sum(len(g.members) for g in rows if g.state is GroupState.LOADING)

    def _members(
        self, chosen: tuple[str, ...], hosts: tuple[Host, ...]
    ) -> tuple[GroupMember, ...]:
        listed = {host.name: host for host in hosts}
        members = []
        for rank, name in enumerate(chosen):
            status = self._watch.recent_status(name)
            if status is None:
                return ()
            member = GroupMember(
                host=name,
                address=listed[name].address,
                incarnation=status.incarnation,
                rank=rank,
            )
            members.append(member)
        return tuple(members)

    # -- orders --------------------------------------------------------------

    async def _send_orders(
        self, declaration: Declaration, hosts: tuple[Host, ...]
    ) -> None:
        """Send the stored orders that are not carried out; a repetition is harmless."""
        addresses = {host.name: host.address for host in hosts}
        deployments = {d.name: d for d in declaration.deployments}
        open_rows = [await self._adopt(n, r) for n, r in self._rows_to_order(addresses)]
        # The lease is checked after all commits and right before sending, since an
        # engine that ignores fencing obeys a holder whose lease has expired.
        lease = self._lease.current
        if lease is None:
            return
        orders = [
            (addresses[row.host], row, self._order_for(row, deployments, lease))
            for row in open_rows
            if row is not None and self._orders.can_send(row)
        ]
        await self._orders.send(orders)

    def _rows_to_order(
        self, addresses: dict[str, str]
    ) -> list[tuple[str, Versioned[HostRow]]]:
        """Return the rows of reachable hosts whose engines do not match them yet."""
        found = []
        for name, row in self._rows.hosts().items():
            status = self._watch.recent_status(name)
            if status is None or name not in addresses or name in self._tainted:
                continue
            if not self._needs_no_order(row.value, status):
                found.append((name, row))
        return found

    def _needs_no_order(self, row: HostRow, status: EngineStatus) -> bool:
        """Return whether the engine matches its row or waits for a repair."""
        reported = (status.group or None, status.generation)
        if reported == (row.group, row.generation) and status.order == row.order:
            return True
        # A member that restarted after its group was READY waits for the repair.
        return row.group is not None and row.outcome is OrderOutcome.DONE

    async def _adopt(self, name: str, row: Versioned[HostRow]) -> HostRow | None:
        """Store an earlier holder's order as this process's own before it is resent."""
        lease = self._lease.current
        if lease is None:
            return None
        if row.value.fence == lease.fence:
            return row.value
        adopted = self._rows.next_order(row.value)
        if await self._rows.commit({HOSTS + name: (adopted, row.version)}):
            return adopted
        return None

    def _order_for(
        self, row: HostRow, deployments: dict[str, Deployment], lease: HeldLease
    ) -> Order:
        group = self._rows.groups().get(row.group) if row.group else None
        if group is None:
            return Order(order=row.order, fence=lease.fence, action=OrderAction.UNLOAD)
        deployment = deployments.get(group.value.deployment, NO_DEPLOYMENT)
        return Order(
            order=row.order,
            fence=lease.fence,
            action=OrderAction.LOAD,
            group=group.value.group,
            generation=group.value.generation,
            deployment=deployment.name,
            model=deployment.model,
            load_seconds=deployment.load_seconds,
            members=group.value.members,
        )

    async def _withdraw_orders(self) -> None:
        """Withdraw this process's orders that can no longer arrive.

        After the loss of the lease, an order that was not sent by now is never sent:
        one loop does this and sends orders, so no send is under way here. This frees
        hosts that the next holder would otherwise have to keep out of groups.
        """
        if self._lease.is_mine:
            return
        changes: Changes = {}
        for name, row in self._rows.hosts().items():
            changed = self._orders.with_withdrawn_orders(row.value)
            if changed is not None:
                changes[HOSTS + name] = (changed, row.version)
        if changes:
            await self._rows.write(changes)


def excluded_hosts(declaration: Declaration, hosts: tuple[Host, ...]) -> frozenset[str]:
    """Return the hosts that get no new requests: drained by operators or leaving."""
    leaving = (host.name for host in hosts if host.state is HostState.LEAVING)
    return frozenset((*declaration.drained_hosts, *leaving))
