"""Ask the members of groups that may be slow for their pace.

A group runs at the pace of its slowest member, so the learnt slowness of a group does
not show which member is slow. Only the members themselves say it, in their reports.
"""

from collections.abc import Callable, Coroutine, Iterable
from math import ceil
from typing import Any

from mallowpond.coordination.ports import Clock
from mallowpond.node.call_gate import CallGate
from mallowpond.node.directory import Directory
from mallowpond.node.probes import TargetProbes
from mallowpond.state.fleet import EngineProfile, Group, GroupPhase, Process, Target
from mallowpond.state.slow_members import SOUND_PACE

# Learnt slowness of a group above which its members are asked. Below it a group is
# slow for other reasons, or too little to be formed anew.
DOUBT_SLOWNESS = 2.5
# Interval between two questions to one target, in seconds.
ASK_SECONDS = 1.0
# Questions to begin in one planning round. Rounds are 0.1 s apart, so this is 300 a
# second at most: all targets of a site of today, and a tenth of those in two years.
MAX_ASKED = 30
# Groups in doubt of a model, at least, and as a share of its open ones, from which all
# groups of the model are asked. Those without streams would show no slowness.
MANY_GROUPS = 3
MANY_SHARE = 0.25
# Rounds over which the questions to the groups that are not in doubt are spread.
SPREAD_ROUNDS = 10


class PaceProbes:
    """Asks targets for their pace, each at most once a second, and few at a time."""

    def __init__(
        self,
        *,
        directory: Directory,
        probes: TargetProbes,
        gate: CallGate,
        clock: Clock,
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
    ) -> None:
        self._directory = directory
        self._probes = probes
        self._gate = gate
        self._clock = clock
        self._spawn = spawn
        self._asked_at: dict[Process, float] = {}

    def reset(self) -> None:
        """Drop what an earlier term as planner left."""
        self._asked_at.clear()
        self._probes.paces.reset()

    def ask_due(self, service: str, profile: EngineProfile) -> None:
        """Begin the questions to a service's targets that are due."""
        now = self._clock.now()
        listed = {target.process for target in self._directory.targets.values()}
        self._probes.paces.prune(listed)
        self._asked_at = {
            p: at for p, at in self._asked_at.items() if now - at < ASK_SECONDS
        }
        if self._gate.waiting:
            # The orders and probes under way take up what this host can handle.
            return
        doubted: list[Target] = []
        rest: list[Target] = []
        for model in profile.models:
            groups = self._open_groups(service, model.name)
            in_doubt = [group for group in groups if self._is_in_doubt(group)]
            doubted += [member for group in in_doubt for member in group.members]
            if len(in_doubt) >= max(MANY_GROUPS, ceil(MANY_SHARE * len(groups))):
                known = {group.key for group in in_doubt}
                rest += [m for g in groups if g.key not in known for m in g.members]
        domains = {target.domain for target in doubted}
        # The free targets of the same domains take the place of slow members.
        doubted += [
            target
            for target in self._directory.all_targets(service)
            if target.membership is None
            and (target.domain in domains or self._was_slow(target))
        ]
        self._ask(doubted, MAX_ASKED, now)
        left = min(MAX_ASKED, ceil(len(rest) / SPREAD_ROUNDS))
        self._ask(rest, left, now)

    def _open_groups(self, service: str, model: str) -> list[Group]:
        return [
            group
            for group in self._directory.groups.values()
            if group.model == model
            and group.phase is GroupPhase.OPEN
            and group.members[0].service == service
            and not self._directory.is_evacuated(group)
        ]

    def _is_in_doubt(self, group: Group) -> bool:
        load = self._directory.loads.load(group.key)
        return load.slowness > DOUBT_SLOWNESS or any(map(self._was_slow, group.members))

    def _was_slow(self, target: Target) -> bool:
        """Return whether a target said that it is slow, and not that it is sound."""
        pace = self._probes.paces.get(target.process)
        return pace is not None and pace.pace >= SOUND_PACE

    def _ask(self, targets: Iterable[Target], limit: int, now: float) -> None:
        lost, evacuated = self._probes.lost, self._directory.evacuated
        for target in targets:
            if limit <= 0:
                return
            if target.process in self._asked_at or target.id in lost:
                continue
            if target.lapsed or target.data_centre in evacuated:
                continue
            self._asked_at[target.process] = now
            self._spawn(self._probes.fetch_report(target))
            limit -= 1
