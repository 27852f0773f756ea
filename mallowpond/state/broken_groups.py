"""Remember formations that serve no more, until they are seen open anew.

The list shows a head open for seconds after it started again behind a cut. Having no
streams, it would look like the least loaded group and draw every new one.
"""

from collections.abc import Container
from dataclasses import dataclass

from mallowpond.state.fleet import Group, GroupKey, GroupPhase, Target

# Time after which a whole read of the list that still holds an entry shows that its
# engine goes on writing it, in seconds: a silent one's goes after three heartbeats.
STALE_ENTRY_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class BrokenGroup:
    """Hold what was known of a formation when it was found broken."""

    at: float
    head: Target | None
    size: int


class BrokenGroups:
    """Tell which formations get no streams."""

    def __init__(self) -> None:
        self._broken: dict[GroupKey, BrokenGroup] = {}

    def __contains__(self, key: GroupKey) -> bool:
        return key in self._broken

    def add(self, group: Group, now: float) -> None:
        """Note that a formation serves no more."""
        self._broken[group.key] = BrokenGroup(
            at=now, head=group.head, size=len(group.members)
        )

    def readmit(self, group: Group, *, is_change: bool, asked_at: float) -> bool:
        """Take a formation back that was listed anew; tell whether it was taken back.

        An entry in a list of changes is of a later version than what was known. A whole
        read repeats what is old, so there the entry must say something else, or have
        been read so late that its engine still writes it.
        """
        broken = self._broken.get(group.key)
        if broken is None or group.phase is not GroupPhase.OPEN:
            return False
        is_late = asked_at - broken.at > STALE_ENTRY_SECONDS
        if not (is_change or is_late or group.head != broken.head):
            return False
        if len(group.members) < broken.size:
            return False
        del self._broken[group.key]
        return True

    def keep(self, keys: Container[GroupKey]) -> None:
        """Forget the formations that are not listed any more."""
        self._broken = {k: b for k, b in self._broken.items() if k in keys}
