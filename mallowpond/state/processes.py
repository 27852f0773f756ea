"""Decide which process of a target is the present one.

A target may start again under its `id`, with another `born`, which does not say which
of two processes is the later one: clocks of hosts are stepped. Two things do. An answer
that a process gives itself shows that it ran after the question was asked; and of two
lists that were read one after the other, the later one holds the later registration.
So the answer to the newest question ends the process that was listed when it was asked,
whatever the list shows meanwhile; when the list moves on to a process that no answer
has ended, that one is present.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from mallowpond.state.fleet import Process, Target


@dataclass(frozen=True, kw_only=True)
class _Heard:
    """Hold the newest direct answer, and the processes that it showed to be gone."""

    process: Process
    asked_at: float
    ended: frozenset[Process] = frozenset()


class PresentProcesses:
    """Know the present process of each target, by direct answers and the list."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def settle(self, targets: Mapping[str, Target]) -> None:
        """Forget targets that are not listed any more."""
        self._heard = {t: h for t, h in self._heard.items() if t in targets}

    def hear(self, *, asked: Target, answered: Target, asked_at: float) -> None:
        """Take a direct answer to a question that was meant for a listed process."""
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

    def present(self, target: Target) -> Target:
        """Return a listed target, or what is known of the process that follows it.

        That one gets no orders before the list shows it: what came of them would show
        nowhere, and its group could not be opened.
        """
        heard = self._heard.get(target.id)
        if heard is None or target.process not in heard.ended:
            return target
        return replace(
            target, born=heard.process.born, model="", membership=None, lapsed=True
        )


def has_restarted(seen: Iterable[Process], present: Mapping[str, Target]) -> bool:
    """Tell whether the target of one of these processes runs another one now."""
    return any(p.id in present and present[p.id].process != p for p in seen)
