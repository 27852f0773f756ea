"""Decide which process of a target is the current one.

A target may restart under its `id`, with another `born`. The values of `born` do not
show which process is later, because the clocks of hosts may be stepped. Two facts do:

- A direct answer shows that its process ran after the question was asked.
- Of two successive reads of the list, the later one has the later registration.

So the answer to the newest question ends the process that was listed when the question
was asked, even while the list still shows it. When the list shows a process that no
answer has ended, that one is current.

A restart without a new `born`, and a removal from a group by an order of another
planner, show in the group instead: a target has lost its group when it answers that it
is not in the group under which the list has shown it for a while.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from mallowpond.state.fleet import GroupKey, Process, Target

# Time for which the list must have shown a target in its group before an answer that
# contradicts it counts, in seconds: a few times the usual lag of reports.
MIN_LISTED_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """The process that answered the newest question, and those that it ended."""

    process: Process
    asked_at: float
    ended: frozenset[Process] = frozenset()


@dataclass(frozen=True, kw_only=True)
class _Listed:
    """The group under which the list shows a process, and since when."""

    process: Process
    group_key: GroupKey | None
    since: float


class CurrentProcesses:
    """The current process of each target, derived from direct answers and the list."""

    def __init__(self) -> None:
        self._answers: dict[str, _Answer] = {}
        self._listed: dict[str, _Listed] = {}
        self._lost_groups: dict[Process, GroupKey] = {}
        self._targets: dict[str, Target] = {}

    @property
    def disclaimed(self) -> frozenset[GroupKey]:
        """Return the formations that a listed member, asked directly, is not in."""
        return frozenset(self._lost_groups.values())

    def reconcile(self, targets: Mapping[str, Target], *, now: float) -> None:
        """Apply a read of the list; drop the state of targets no longer listed."""
        known = self._targets
        changed = {n: t for n, t in targets.items() if known.get(n) is not t}
        gone = known.keys() - targets.keys()
        for name, target in changed.items():
            self._listed[name] = self._as_listed(target, now)
        for name in gone:
            del self._listed[name]
        for name in self._answers.keys() - targets.keys():
            del self._answers[name]
        if changed or gone:
            self._targets = dict(targets)
        self._lost_groups = {
            process: group_key
            for process, group_key in self._lost_groups.items()
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
        shows_last_order: bool = True,
    ) -> None:
        """Record a direct answer.

        asked: the listed process that the question was meant for.
        answered: the process that answered, as it describes itself.
        asked_at: time at which the question was sent.
        shows_last_order: whether the answer certainly shows the effect of the last
            order that was given to the target.
        """
        if shows_last_order:
            self._check_group(asked, answered, asked_at)
        newest = self._answers.get(asked.id)
        if newest is not None and asked_at < newest.asked_at:
            return
        ended = {asked.process}
        if newest is not None:
            ended |= {newest.process, *newest.ended}
        self._answers[asked.id] = _Answer(
            process=answered.process,
            asked_at=asked_at,
            ended=frozenset(ended - {answered.process}),
        )

    def _check_group(self, asked: Target, answered: Target, asked_at: float) -> None:
        known = self._listed.get(asked.id)
        if (
            known is None
            or answered.process != known.process
            or known.group_key is None
        ):
            return
        if answered.group_key == known.group_key:
            self._lost_groups.pop(known.process, None)
        elif asked_at - known.since > MIN_LISTED_SECONDS:
            self._lost_groups[known.process] = known.group_key

    def current(self, target: Target) -> Target:
        """Return a listed target as its current process.

        If the listed process has ended, or has lost its listed group, the target is
        returned as lapsed and without a group. So it gets no orders until the list
        shows the change: their effects would not be visible, and its group could not
        be opened.
        """
        if (
            target.group_key
            and self._lost_groups.get(target.process) == target.group_key
        ):
            return replace(target, model="", membership=None, lapsed=True)
        newest = self._answers.get(target.id)
        if newest is None or target.process not in newest.ended:
            return target
        return replace(
            target, born=newest.process.born, model="", membership=None, lapsed=True
        )


def has_restarted(seen: Iterable[Process], current: Mapping[str, Target]) -> bool:
    """Return whether the target of one of these processes runs another one now."""
    return any(p.id in current and current[p.id].process != p for p in seen)
