"""Select the group for a stream by the known load of every group."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace
from math import inf

from mallowpond.node.directory import Directory
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.state.first_event import FirstEventDelay
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec, Target
from mallowpond.state.placement import (
    DRAWN_GROUPS,
    UNREPORTED_STREAMS,
    Candidate,
    GroupLoad,
    choose_group,
    draw_candidates,
    pass_seconds,
    serves_late,
    unreported_streams,
)

# Share of the objective that a group's predicted first event may take. Less makes
# streams wait although groups that span domains could serve them in time.
FIRST_EVENT_SHARE = 1.0
# Groups with a free slot that are drawn at random where all load is known: the best of
# so many is hardly worse than the best of all.
DRAWN_GROUPS_EXACT = 10
# The same where the groups drawn are known to have a free slot and each question to the
# dispatcher must take under 0.1 ms.
DRAWN_GROUPS_FREE = 4
# Lower bound of the time for which a stream is expected to hold its slot, in seconds.
MIN_HOLD_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class SlotRequest:
    """Describes the slot that a stream needs.

    `objective` is the time allowed until the first event, in seconds; groups whose
    names are in `avoided` are not selected. `gap_objective` is the longest gap between
    events with which it is on time, 0 if not known. Unless it `accepts_late`, it goes
    only to groups that keep that gap, while any does; with `may_probe` it may go to a
    slow group to show its pace. `answer_tokens` is the
    largest answer, 0 if unknown; the caller waits until `ends_at`, on this host's
    clock.
    """

    service: str
    profile: EngineProfile
    model: ModelSpec
    prompt_tokens: float
    objective: float
    avoided: frozenset[str] = frozenset()
    gap_objective: float = 0.0
    accepts_late: bool = True
    may_probe: bool = False
    fingerprint: str = ""
    answer_tokens: float = 0.0
    ends_at: float = inf

    def without(self, groups: Collection[str]) -> "SlotRequest":
        """Return a copy that avoids these groups too."""
        return replace(self, avoided=self.avoided.union(groups))


class GroupSelector:
    """Selects groups of a directory for streams."""

    def __init__(
        self,
        *,
        directory: Directory,
        quarantine: Quarantine,
        budgets: RetryBudgets,
        hosts: Callable[[], int],
        rng: random.Random,
        is_cold: Callable[[Target], bool] = lambda target: False,
    ) -> None:
        self._directory = directory
        self._is_target_cold = is_cold
        self._quarantine = quarantine
        self._budgets = budgets
        self._hosts = hosts
        self._rng = rng
        self._delays: dict[tuple[str, str], FirstEventDelay] = defaultdict(
            FirstEventDelay
        )

    def delay(self, service: str, model: str) -> FirstEventDelay:
        """Return the learned delay of a model's first events beyond the prediction."""
        return self._delays[(service, model)]

    def select_by_reports(self, request: SlotRequest) -> Group | None:
        """Select a group by load reports, which are some tenths of a second old.

        Where other hosts may have sent many streams since, the choice is between a few
        groups drawn at random, so that not all hosts pick the same one.
        """
        unreported = unreported_streams(
            own_per_second=self._budgets.first_sends_per_second(request.service),
            hosts=self._hosts(),
            age_seconds=self._directory.loads.load_age,
            groups=self._directory.count_open_groups(request.service),
        )
        groups = self._groups(request)
        if unreported < UNREPORTED_STREAMS:
            candidates = list(self._candidates(request, groups))
        else:
            candidates = self._draw(request, groups, DRAWN_GROUPS)
        return self._select(request, groups, candidates)

    def select_exact(self, request: SlotRequest) -> Group | None:
        """Select a group where the load of all hosts is known exactly."""
        groups = self._groups(request)
        candidates = self._draw(request, groups, DRAWN_GROUPS_EXACT)
        if request.gap_objective and self._directory.loads.paces.has_slow:
            on_time = [c for c in candidates if not self._serves_late(request, c)]
            probe = self.find_probe(request, groups) if on_time else None
            if probe is not None:
                return probe
            slow = self._directory.loads.paces.slow
            if on_time or (
                not request.accepts_late and any(g.key not in slow for g in groups)
            ):
                candidates = on_time
        return self._select(request, groups, candidates)

    def _serves_late(self, request: SlotRequest, candidate: Candidate) -> bool:
        return serves_late(
            request.profile, request.model, candidate.load, request.gap_objective
        )

    def without_late(self, request: SlotRequest, groups: list[Group]) -> list[Group]:
        """Return the groups that keep the gap objective."""
        candidates = self._candidates(request, groups, is_shared=True)
        pairs = zip(groups, candidates, strict=True)
        return [group for group, c in pairs if not self._serves_late(request, c)]

    def find_probe(self, request: SlotRequest, groups: list[Group]) -> Group | None:
        """Return a slow group without streams whose pace was not observed lately."""
        paces, now = self._directory.loads.paces, self._directory.loads.now()
        if not request.may_probe:
            return None
        for group in groups:
            if not paces.is_probe_due(group.key, now):
                continue
            if group.is_leaving or self._has_ended(group) or self._is_cold(group):
                continue
            if group.name in request.avoided:
                continue
            if self._directory.loads.load(group.key).running == 0:
                paces.record_probe(group.key, now)
                return group
        return None

    def select_from(self, request: SlotRequest, groups: list[Group]) -> Group | None:
        """Select one of a few groups in random order; the load is known exactly."""
        usable = [g for g in groups if g.name not in request.avoided]
        usable.sort(key=self._has_ended)
        candidates = draw_candidates(
            request.profile,
            request.model,
            self._candidates(request, usable, is_shared=True),
            prompt_tokens=request.prompt_tokens,
            limit_seconds=FIRST_EVENT_SHARE * request.objective,
            count=DRAWN_GROUPS_FREE,
            gap_limit=request.gap_objective,
        )
        return self._select(request, usable, candidates)

    def hold_seconds(self, profile: EngineProfile, model: ModelSpec) -> float:
        """Return the typical time for which a stream holds its slot, in seconds."""
        load = GroupLoad(running=profile.slots)
        passes = profile.typical_answer_tokens / max(1, profile.stride)
        return max(MIN_HOLD_SECONDS, passes * pass_seconds(profile, model, load))

    def _groups(self, request: SlotRequest) -> list[Group]:
        groups = self._directory.serving_groups(request.service, request.model.name)
        return [g for g in groups if g.name not in request.avoided]

    def _select(
        self, request: SlotRequest, groups: list[Group], candidates: list[Candidate]
    ) -> Group | None:
        chosen = choose_group(
            request.profile,
            request.model,
            candidates,
            prompt_tokens=request.prompt_tokens,
            limit_seconds=FIRST_EVENT_SHARE * request.objective,
            delay_seconds=self.delay(request.service, request.model.name).typical,
            gap_limit=request.gap_objective,
        )
        if chosen is None:
            return None
        return next(group for group in groups if _key_of(group) == chosen.key)

    def _draw(
        self, request: SlotRequest, groups: list[Group], limit: int
    ) -> list[Candidate]:
        """Return up to `limit` groups with a free slot, drawn at random."""
        shuffled = self._rng.sample(groups, len(groups))
        # Groups whose head process has ended come last, after those with a cold head.
        shuffled.sort(key=lambda g: (self._has_ended(g), self._is_cold(g)))
        return draw_candidates(
            request.profile,
            request.model,
            self._candidates(request, shuffled, is_shared=True),
            prompt_tokens=request.prompt_tokens,
            limit_seconds=FIRST_EVENT_SHARE * request.objective,
            count=limit,
            gap_limit=request.gap_objective,
        )

    def _candidates(
        self, request: SlotRequest, groups: list[Group], *, is_shared: bool = False
    ) -> Iterator[Candidate]:
        loads = self._directory.loads
        load_of = loads.shared_load_of if is_shared else loads.load_of
        for group in groups:
            yield Candidate(
                key=_key_of(group),
                load=load_of(group, request.profile),
                is_leaving=group.is_leaving,
                has_ended=self._has_ended(group),
                is_cold=self._is_cold(group),
            )

    def _has_ended(self, group: Group) -> bool:
        head = group.head
        return head is not None and self._quarantine.has_ended(head.process)

    def _is_cold(self, group: Group) -> bool:
        head = group.head
        return head is not None and self._is_target_cold(head)


def _key_of(group: Group) -> str:
    return f"{group.name}/{group.epoch}"
