"""Decide which process of a target is the present one.

A target may start again under its `id`, with another `born`, which does not say which
of two processes is the later one: clocks of hosts are stepped. Two things do. An answer
that a process gives itself shows that it ran after the question was asked; and of two
lists that were read one after the other, the later one holds the later registration.
So the answer to the newest question ends the process that was listed when it was asked,
whatever the list shows meanwhile; when the list moves on to a process that no answer
has ended, that one is present.

Where targets tell no start, and where a member was taken out of its group by nobody's
order known here, what shows it is the place: a target that answers that it does not
stand where the list has shown it for a while has lost that place.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from mallowpond.state.fleet import GroupKey, Process, Target

# Time for which the list must have shown a place before an answer that shows another
# one counts, in seconds: a few times the usual lag of reports.
SETTLED_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class _Heard:
    """Hold the newest direct answer, and the processes that it showed to be gone."""

    process: Process
    asked_at: float
    ended: frozenset[Process] = frozenset()


@dataclass(frozen=True, kw_only=True)
class _Listed:
    """Hold where the list shows a process, and since when."""

    process: Process
    group_key: GroupKey | None
    since: float


class CurrentProcesses:
    """Know the present process of each target, by direct answers and the list."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._listed: dict[str, _Listed] = {}
        self._displaced: dict[Process, GroupKey] = {}
        self._targets: dict[str, Target] = {}

    @property
    def disclaimed(self) -> frozenset[GroupKey]:
        """Return the groups in which a member answers that it does not stand."""
        return frozenset(self._displaced.values())

    def reconcile(self, targets: Mapping[str, Target], *, now: float) -> None:
        """Note where the list shows each target; forget those that it does not."""
        known = self._targets
        changed = {n: t for n, t in targets.items() if known.get(n) is not t}
        gone = known.keys() - targets.keys()
        for name, target in changed.items():
            self._listed[name] = self._as_listed(target, now)
        for name in gone:
            del self._listed[name]
        for name in self._heard.keys() - targets.keys():
            del self._heard[name]
        if changed or gone:
            self._targets = dict(targets)
        self._displaced = {
            process: group_key
            for process, group_key in self._displaced.items()
            if self._is_shown(process, group_key)
        }

    def _is_shown(self, process: Process, group_key: GroupKey) -> bool:
        listed = self._listed.get(process.id)
        return listed is not None and (listed.process, listed.group_key) == (
            process,
            group_key,
        )

    def _as_listed(self, target: Target, now: float) -> _Listed:
        known = self._listed.get(target.id)
        if known and (known.process, known.group_key) == (
            target.process,
            target.group_key,
        ):
            return known
        return _Listed(process=target.process, group_key=target.group_key, since=now)

    def record_answer(
        self,
        *,
        asked: Target,
        answered: Target,
        asked_at: float,
        shows_orders: bool = True,
    ) -> None:
        """Take a direct answer to a question that was meant for a listed process.

        `shows_orders` is false while the answer may not show the last order yet.
        """
        if shows_orders:
            self._hear_place(asked, answered, asked_at)
        heard = self._heard.get(asked.id)
        if heard is not None and asked_at < heard.asked_at:
            return
        ended = {asked.process}
        if heard is not None:
            ended |= {heard.process, *heard.ended}
        self._heard[asked.id] = _Heard(
            process=answered.process,
            asked_at=asked_at,
            ended=frozenset(ended - {answered.process}),
        )

    def _hear_place(self, asked: Target, answered: Target, asked_at: float) -> None:
        known = self._listed.get(asked.id)
        if (
            known is None
            or answered.process != known.process
            or known.group_key is None
        ):
            return
        if answered.group_key == known.group_key:
            self._displaced.pop(known.process, None)
        elif asked_at - known.since > SETTLED_SECONDS:
            self._displaced[known.process] = known.group_key

    def current(self, target: Target) -> Target:
        """Return a listed target, or what is known of the process that follows it.

        That one gets no orders before the list shows it: what came of them would show
        nowhere, and its group could not be opened. The same holds for a target that has
        lost the place that the list shows.
        """
        if target.group_key and self._displaced.get(target.process) == target.group_key:
            return replace(target, model="", membership=None, lapsed=True)
        heard = self._heard.get(target.id)
        if heard is None or target.process not in heard.ended:
            return target
        return replace(
            target, born=heard.process.born, model="", membership=None, lapsed=True
        )


def has_restarted(seen: Iterable[Process], current: Mapping[str, Target]) -> bool:
    """Tell whether the target of one of these processes runs another one now."""
    return any(p.id in current and current[p.id].process != p for p in seen)
