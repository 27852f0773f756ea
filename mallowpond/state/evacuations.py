"""Track which data centres operators have evacuated, by the store's revisions.

The load pattern: while all hosts serve, operators stop the traffic to the engines of a
data centre within seconds, sometimes to two at once, and may withdraw that again at
once. The store may be lost right after it accepted the change, and datagrams between
hosts are lost, repeated and overtaken. So every state carries the revision of the read
of the store that it comes from, and only a state of a newer revision replaces it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mallowpond.state.decoding import Name
from mallowpond.state.fleet import ModelSpec, Target


@dataclass(frozen=True, kw_only=True)
class EvacuationChanges:
    """What one read of the store says about evacuations.

    begun, ended: data centres whose row is there, and those whose row was removed.
    is_whole: `begun` is complete, so that every other evacuation has ended.
    """

    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    is_whole: bool = False


@dataclass(frozen=True, kw_only=True)
class Evacuations:
    """The evacuated data centres as of a revision of the store; 0 if never read."""

    revision: int = 0
    data_centres: tuple[Name, ...] = ()

    def after(self, changes: EvacuationChanges, revision: int) -> "Evacuations":
        """Return the state after a read of the store that is complete to `revision`.

        Changes since any revision up to the known one may be applied: a data centre
        that changed since is among them in its newest state. A read that is older than
        the known state, which a peer may have read later, changes nothing.
        """
        if revision < self.revision:
            return self
        kept = () if changes.is_whole else self.data_centres
        found = {*kept, *changes.begun}.difference(changes.ended)
        return Evacuations(revision=revision, data_centres=tuple(sorted(found)))

    def merged_with(self, other: "Evacuations") -> "Evacuations":
        """Return the state of the newer revision, this one if both are the same."""
        return other if other.revision > self.revision else self


# Time for which evacuations known before the store was restored hold although its copy
# lacks them, in seconds: operators write theirs again within that.
HELD_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class HeldEvacuations:
    """Evacuations that were known before the store came back from a copy.

    They hold until the store names their ends, or until a time at most.
    """

    data_centres: frozenset[str] = frozenset()
    until: float = float("-inf")

    def at(self, now: float) -> frozenset[str]:
        """Return the data centres for which they hold at a time."""
        return self.data_centres if now < self.until else frozenset()

    def after(self, changes: EvacuationChanges) -> "HeldEvacuations":
        """Return those that hold after changes that the restored store names."""
        return replace(self, data_centres=self.data_centres.difference(changes.ended))


def can_form_group(
    targets: Iterable[Target], model: ModelSpec, evacuated: frozenset[str]
) -> bool:
    """Return whether free targets elsewhere suffice for a group, without a load.

    Loading weights takes several times as long as any caller waits.
    """
    free = 0
    for target in targets:
        if target.membership is not None or target.data_centre in evacuated:
            continue
        if target.draining or target.lapsed:
            continue
        free += target.model == model.name or model.name in target.staged
        if free >= model.size:
            return True
    return False
