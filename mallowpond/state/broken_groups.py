"""Track formations that no longer serve until the target list shows them open again.

The list can show a head as open for seconds after it has restarted, behind a network
partition. As that head has no streams, it would look like the least loaded group and
attract every new stream.
"""

from collections.abc import Container
from dataclasses import dataclass

from mallowpond.state.fleet import Group, GroupKey, GroupPhase, Target

# Upper bound on how long the list keeps the entry of a silent engine, in seconds: an
# entry expires after three missed heartbeats. A full read of the list that still holds
# an entry after this time shows that its engine renews it.
STALE_ENTRY_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class BrokenGroup:
    """State of a formation at the time when it was found broken."""

    broken_at: float
    head: Target | None
    size: int


class BrokenGroups:
    """The formations that must not get streams."""

    def __init__(self) -> None:
        self._broken: dict[GroupKey, BrokenGroup] = {}

    def __contains__(self, key: GroupKey) -> bool:
        return key in self._broken

    def add(self, group: Group, now: float) -> None:
        """Record that a formation no longer serves."""
        self._broken[group.key] = BrokenGroup(
            broken_at=now, head=group.head, size=len(group.members)
        )

    def readmit(self, group: Group, *, is_change: bool, asked_at: float) -> bool:
        """Readmit a formation that the list shows open again; return whether it was.

        An entry from a list of changes (`is_change`) is newer than the known one. A
        full read repeats old entries, so there the head's entry must differ from the
        known one, or the read must have been requested (`asked_at`) so late that its
        engine must have renewed the entry.
        """
        broken = self._broken.get(group.key)
        if broken is None or group.phase is not GroupPhase.OPEN:
            return False
        is_late = asked_at - broken.broken_at > STALE_ENTRY_SECONDS
        if not (is_change or is_late or group.head != broken.head):
            return False
        if len(group.members) < broken.size:
            return False
        del self._broken[group.key]
        return True

    def prune(self, keys: Container[GroupKey]) -> None:
        """Drop the formations that are not in `keys`, which are those still listed."""
        self._broken = {k: b for k, b in self._broken.items() if k in keys}
