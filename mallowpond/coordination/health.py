"""Watch engines, and say for how long a group was last seen whole."""

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
class Seen:
    """Hold an engine's last report; `asked_at` is before the question."""

    status: EngineStatus
    asked_at: float


class EngineWatch:
    """Keep the last report of every engine that this controller asks."""

    def __init__(
        self, *, engines: Engines, clock: Clock, silent_seconds: float
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._silent_seconds = silent_seconds
        self._seen: dict[str, Seen] = {}

    async def poll(self, hosts: tuple[Host, ...]) -> None:
        """Ask every target host at once."""
        hosts = tuple(host for host in hosts if host.is_target)
        await asyncio.gather(*(self._ask(host) for host in hosts))
        listed = {host.name for host in hosts}
        self._seen = {n: s for n, s in self._seen.items() if n in listed}

    def recent_status(self, host: str) -> EngineStatus | None:
        """Return the report of a host that is not silent."""
        seen = self._seen.get(host)
        if seen is None or self._clock.now() - seen.asked_at > self._silent_seconds:
            return None
        return seen.status

    def confirmed_age(self, group: GroupRow) -> float | None:
        """Return the age of the oldest report that confirms a member's place.

        None when a member contradicts it, or is silent.
        """
        ages = []
        for member in group.members:
            status = self.recent_status(member.host)
            if status is None or not confirms_member(status, member, group):
                return None
            ages.append(self._clock.now() - self._seen[member.host].asked_at)
        return max(ages, default=None)

    async def _ask(self, host: Host) -> None:
        asked_at = self._clock.now()
        status = await self._engines.status(host.address)
        if isinstance(status, Unavailable):
            return
        self._seen[host.name] = Seen(status=status, asked_at=asked_at)


def confirms_member(status: EngineStatus, member: GroupMember, group: GroupRow) -> bool:
    """Tell whether a member confirms its incarnation, generation and weights."""
    place = (status.incarnation, status.group, status.generation)
    expected = (member.incarnation, group.group, group.generation)
    return place == expected and status.loaded
