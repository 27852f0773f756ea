"""Choose the group for a stream by what this host knows of all work."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace

from mallowpond.node.directory import Directory
from mallowpond.node.quarantine import Quarantine
from mallowpond.state.first_event import FirstEventDelay
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec
from mallowpond.state.placement import (
    DRAWN_GROUPS,
    UNREPORTED_STREAMS,
    Candidate,
    GroupLoad,
    choose_group,
    draw_candidates,
    pass_seconds,
    unreported_streams,
)
from mallowpond.state.retry_window import RetryWindow

# Share of the objective that a group's predicted first event may take. Less makes
# streams wait for places that groups across domains could give them in time.
FIRST_EVENT_SHARE = 1.0
# Groups among which a place is chosen where all work is known: with so many drawn at
# random the best is hardly worse than the best of all.
EXACT_GROUPS = 10
# Shortest time for which a stream is taken to hold its place, in seconds.
LEAST_HOLD_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class Seek:
    """Say what place a stream needs; groups in `avoided` are out of the question."""

    service: str
    profile: EngineProfile
    model: ModelSpec
    prompt_tokens: float
    objective: float
    avoided: frozenset[str] = frozenset()

    def without(self, groups: Collection[str]) -> "Seek":
        """Return the same for a stream that avoids these groups too."""
        return replace(self, avoided=self.avoided.union(groups))


class GroupSelector:
    """Choose among the groups of a directory."""

    def __init__(
        self,
        *,
        directory: Directory,
        quarantine: Quarantine,
        budget: Callable[[str], RetryWindow],
        hosts: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._quarantine = quarantine
        self._budget = budget
        self._hosts = hosts
        self._rng = rng
        self._delays: dict[tuple[str, str], FirstEventDelay] = defaultdict(
            FirstEventDelay
        )

    def delay(self, service: str, model: str) -> FirstEventDelay:
        """Return what was learnt of the first events of a model."""
        return self._delays[(service, model)]

    def by_news(self, seek: Seek) -> Group | None:
        """Choose by news of the others' work that is some tenths of a second old."""
        unreported = unreported_streams(
            own_per_second=self._budget(seek.service).first_sends_per_second,
            hosts=self._hosts(),
            age_seconds=self._directory.loads.load_age,
            groups=self._directory.count_open_groups(seek.service),
        )
        groups = self._groups(seek)
        if unreported < UNREPORTED_STREAMS:
            candidates = list(self._candidates(seek, groups))
        else:
            candidates = self._drawn(seek, groups, DRAWN_GROUPS)
        return self._choose(seek, groups, candidates)

    def exact(self, seek: Seek) -> Group | None:
        """Choose where all work is known."""
        groups = self._groups(seek)
        return self._choose(seek, groups, self._drawn(seek, groups, EXACT_GROUPS))

    def hold_seconds(self, profile: EngineProfile, model: ModelSpec) -> float:
        """Return for how long a stream mostly holds its place."""
        load = GroupLoad(running=profile.slots)
        passes = profile.typical_answer_tokens / max(1, profile.stride)
        return max(LEAST_HOLD_SECONDS, passes * pass_seconds(profile, model, load))

    def _groups(self, seek: Seek) -> list[Group]:
        groups = self._directory.serving_groups(seek.service, seek.model.name)
        return [g for g in groups if g.name not in seek.avoided]

    def _choose(
        self, seek: Seek, groups: list[Group], candidates: list[Candidate]
    ) -> Group | None:
        chosen = choose_group(
            seek.profile,
            seek.model,
            candidates,
            prompt_tokens=seek.prompt_tokens,
            limit_seconds=FIRST_EVENT_SHARE * seek.objective,
            delay_seconds=self.delay(seek.service, seek.model.name).usual,
        )
        if chosen is None:
            return None
        return next(group for group in groups if _key_of(group) == chosen.key)

    def _drawn(self, seek: Seek, groups: list[Group], most: int) -> list[Candidate]:
        """Return the first groups with a place, in a random order."""
        shuffled = self._rng.sample(groups, len(groups))
        # Those whose head has ended come last.
        shuffled.sort(key=self._has_ended)
        return draw_candidates(
            seek.profile,
            seek.model,
            self._candidates(seek, shuffled),
            prompt_tokens=seek.prompt_tokens,
            limit_seconds=FIRST_EVENT_SHARE * seek.objective,
            most=most,
        )

    def _candidates(self, seek: Seek, groups: list[Group]) -> Iterator[Candidate]:
        for group in groups:
            yield Candidate(
                key=_key_of(group),
                load=self._directory.loads.load_of(group, seek.profile),
                is_leaving=group.is_leaving,
                has_ended=self._has_ended(group),
            )

    def _has_ended(self, group: Group) -> bool:
        head = group.head
        return head is not None and self._quarantine.has_ended(head.process)


def _key_of(group: Group) -> str:
    return f"{group.name}/{group.epoch}"
