"""Tables that operators query."""

from collections.abc import Callable

from mallowpond.coordination.configuration import Configuration
from mallowpond.coordination.groups import GroupManager
from mallowpond.coordination.health import EngineWatch
from mallowpond.coordination.keys import HOSTS
from mallowpond.coordination.membership import Membership
from mallowpond.coordination.ports import Host
from mallowpond.coordination.store import TableView
from mallowpond.protocol.query import Cell, Table
from mallowpond.state.rows import GroupState, HostRow

TableRow = tuple[Cell, ...]
# The columns of each table, most of them fields of the rows in `state.rows` and of the
# declared items in `state.declarations`. `seen_whole` is the age in seconds of the
# oldest report that confirms a member of the group. A `tainted` host is kept out of
# groups, as an order of an earlier planner may still arrive. Of the last order for a
# host, `fence` and `holder` are those of the planner lease; `earlier` counts the
# replaced orders that may still arrive. `cell` is the controllers of one data centre;
# `epoch` counts changes of its membership, and `applied` is the configuration version
# that the member uses. `domain` is the fabric domain of a host. `kinds` are the
# declared kinds of requests; a `repeatable` one may run more than once. `share` is a
# workspace's weight in fair queueing, and `units_per_day` its quota.
COLUMNS: dict[str, tuple[str, ...]] = {
    "deployments": ("deployment", "model", "replicas", "ready", "hosts_per_group"),
    "groups": ("group", "deployment", "state", "generation", "hosts", "seen_whole"),
    "hosts": (
        "host",
        "domain",
        "data_centre",
        "state",
        "accelerators",
        "group",
        "reachable",
        "drained",
        "tainted",
    ),
    "kinds": ("kind", "repeatable"),
    "members": ("member", "cell", "state", "live", "applied", "epoch", "gateways"),
    "orders": ("host", "order", "fence", "holder", "outcome", "group", "earlier"),
    "services": ("service", "path", "methods", "targets", "repeatable"),
    "versions": ("version", "author", "proposal"),
    "workspaces": ("workspace", "share", "units_per_day"),
}


class Tables:
    """Builds each table from the latest state that this controller has read.

    `shared` is its copy of the rows that all controllers share.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        membership: Membership,
        groups: GroupManager,
        watch: EngineWatch,
        shared: TableView,
        hosts: Callable[[], tuple[Host, ...]],
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._groups = groups
        self._watch = watch
        self._shared = shared
        self._hosts = hosts

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all tables."""
        return tuple(COLUMNS)

    def build(self, name: str) -> Table | None:
        """Return the table of this name, None if there is none."""
        builders = {
            "deployments": self._deployment_rows,
            "groups": self._group_rows,
            "hosts": self._host_rows,
            "kinds": self._kind_rows,
            "members": self._member_rows,
            "orders": self._order_rows,
            "services": self._service_rows,
            "versions": self._version_rows,
            "workspaces": self._workspace_rows,
        }
        if name not in builders:
            return None
        rows = tuple(builders[name]())
        return Table(name=name, columns=COLUMNS[name], rows=rows)

    def _deployment_rows(self) -> list[TableRow]:
        groups = list(self._groups.groups().values())
        rows = []
        for declared in self._configuration.applied.declaration.deployments:
            of_deployment = [g for g in groups if g.deployment == declared.name]
            ready = sum(g.state is GroupState.READY for g in of_deployment)
            rows.append(
                (
                    declared.name,
                    declared.model,
                    declared.replicas,
                    ready,
                    declared.hosts_per_group,
                )
            )
        return rows

    def _group_rows(self) -> list[TableRow]:
        rows = []
        for group in self._groups.groups().values():
            age = self._watch.confirmed_age(group)
            row = (
                group.group,
                group.deployment,
                group.state.value,
                group.generation,
                " ".join(group.hosts),
                None if age is None else round(age, 3),
            )
            rows.append(row)
        return rows

    def _host_rows(self) -> list[TableRow]:
        host_rows = self._shared.with_prefix(HOSTS, HostRow)
        tainted = self._groups.tainted
        drained = self._configuration.applied.declaration.drained_hosts
        rows = []
        for host in self._hosts():
            row = host_rows.get(host.name)
            status = self._watch.recent_status(host.name)
            cells = (
                host.name,
                host.domain,
                host.data_centre,
                host.state.value,
                host.accelerators,
                row.value.group if row else None,
                status is not None,
                host.name in drained,
                host.name in tainted,
            )
            rows.append(cells)
        return rows

    def _kind_rows(self) -> list[TableRow]:
        kinds = self._configuration.applied.declaration.kinds
        return [(k.name, k.repeatable) for k in kinds]

    def _member_rows(self) -> list[TableRow]:
        live = self._membership.live_members()
        rows = []
        for name, member in self._membership.members().items():
            cells = (
                name,
                member.cell,
                member.state.value,
                name in live,
                member.applied,
                member.epoch,
                len(member.gateways),
            )
            rows.append(cells)
        return rows

    def _order_rows(self) -> list[TableRow]:
        rows = []
        for name, row in self._shared.with_prefix(HOSTS, HostRow).items():
            host_row = row.value
            cells = (
                name,
                host_row.order,
                host_row.fence,
                host_row.holder.member,
                host_row.outcome.value,
                host_row.group,
                len(host_row.earlier),
            )
            rows.append(cells)
        return rows

    def _service_rows(self) -> list[TableRow]:
        rows = [
            (s.name, s.path, " ".join(s.methods), len(s.targets), s.repeatable)
            for s in self._configuration.applied.declaration.services
        ]
        return rows

    def _version_rows(self) -> list[TableRow]:
        history = self._configuration.history()
        return [(row.version, row.author, row.proposal) for row in history]

    def _workspace_rows(self) -> list[TableRow]:
        declared = self._configuration.applied.declaration.workspaces
        return [(w.name, w.share, w.units_per_day) for w in declared]
