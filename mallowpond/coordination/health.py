"""Poll engines, and compute how recently all members of a group were confirmed.

A generation is the number of one forming of a group: a group that is formed again gets
a new one.
"""

import asyncio
from dataclasses import dataclass

from mallowpond.coordination.ports import (
    Clock,
    Engines,
    EngineStatus,
    Host,
    Unavailable,
)
from mallowpond.state.rows import GroupMember, GroupRow


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's last status; `asked_at` is the time before the query was sent."""

    status: EngineStatus
    asked_at: float


class EngineWatch:
    """Polls the engines and keeps the last status of each."""

    def __init__(
        self, *, engines: Engines, clock: Clock, silent_seconds: float
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._silent_seconds = silent_seconds
        self._reports: dict[str, EngineReport] = {}

    async def poll(self, hosts: tuple[Host, ...]) -> None:
        """Query the engines of all hosts that run one, concurrently."""
        hosts = tuple(host for host in hosts if host.is_target)
        await asyncio.gather(*(self._query(host) for host in hosts))
        listed = {host.name for host in hosts}
        self._reports = {n: r for n, r in self._reports.items() if n in listed}

    def recent_status(self, host: str) -> EngineStatus | None:
        """Return the last status of a host, None if it has been silent for too long."""
        report = self._reports.get(host)
        if report is None or self._clock.now() - report.asked_at > self._silent_seconds:
            return None
        return report.status

    def confirmed_age(self, group: GroupRow) -> float | None:
        """Return the age in seconds of the oldest status that confirms a member.

        Return None if a member is silent, or its status does not show it loaded in this
        generation of the group.
        """
        ages = []
        for member in group.members:
            status = self.recent_status(member.host)
            if status is None or not confirms_member(status, member, group):
                return None
            ages.append(self._clock.now() - self._reports[member.host].asked_at)
        return max(ages, default=None)

    async def _query(self, host: Host) -> None:
        asked_at = self._clock.now()
        status = await self._engines.status(host.address)
        if isinstance(status, Unavailable):
            return
        self._reports[host.name] = EngineReport(status=status, asked_at=asked_at)


def confirms_member(status: EngineStatus, member: GroupMember, group: GroupRow) -> bool:
    """Return whether a status shows the member loaded in this generation of the group.

    The engine must still be the incarnation that the group's row names.
    """
    reported = (status.incarnation, status.group, status.generation)
    expected = (member.incarnation, group.group, group.generation)
    return reported == expected and status.loaded
