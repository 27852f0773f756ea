"""Merge the list of targets from a restored store with what a host knows.

The store comes back from a copy some seconds old. Its entries may be older than those
that a host has read, and targets write their own again within seconds.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from mallowpond.state.fleet import Process, Target

# Time for which a process is remembered that was removed from the list, in seconds:
# longer than any copy is old.
REMOVED_RETENTION_SECONDS = 60.0


@dataclass(kw_only=True)
class RemovedProcesses:
    """The processes that were removed from the list lately."""

    _removed_at: dict[Process, float] = field(default_factory=dict)

    def __contains__(self, process: Process) -> bool:
        return process in self._removed_at

    def record(self, gone: Collection[Process], now: float) -> None:
        """Record that these processes are gone from the list."""
        limit = now - REMOVED_RETENTION_SECONDS
        self._removed_at = {p: t for p, t in self._removed_at.items() if t > limit}
        self._removed_at.update(dict.fromkeys(gone, now))


@dataclass(frozen=True, kw_only=True)
class RestoredList:
    """The targets after a merge, and whether any entry of the copy was overridden."""

    targets: tuple[Target, ...]
    is_doubtful: bool


def merge_restored(
    known: Mapping[str, Target],
    copied: Collection[Target],
    removed: RemovedProcesses,
) -> RestoredList:
    """Return what to take for the list when a restored store lists `copied`.

    A known target keeps its entry, and leaves if either entry says so. A process that
    was removed lately stays out.
    """
    merged = []
    is_doubtful = False
    for target in copied:
        entry = known.get(target.id)
        if entry is None and target.process not in removed:
            merged.append(target)
            continue
        if entry is not None:
            is_leaving = entry.draining or (
                target.draining and target.process == entry.process
            )
            merged.append(replace(entry, draining=is_leaving))
        is_doubtful |= entry != target
    return RestoredList(targets=tuple(merged), is_doubtful=is_doubtful)
