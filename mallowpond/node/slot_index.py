"""Keep the groups of one model that have free slots, and the forecast of their slots.

A question to the dispatcher must take under 0.1 ms with 500 groups. The groups are
examined together at intervals only; in between, those that peers report to run fewer
streams are added, and full ones are dropped when they are drawn.
"""

import random
from collections.abc import Iterable
from itertools import islice
from math import inf

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.group_selector import GroupSelector, SlotRequest
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Target,
)
from mallowpond.state.placement import DEFAULT_CONTEXT_TOKENS, QUEUE_BEYOND_SLOTS
from mallowpond.state.slot_forecast import (
    AnswerLengths,
    FormingSlots,
    OpenSlots,
    SlotForecast,
    hold_seconds,
)

# Least interval between two examinations of all groups, in seconds, and the part of it
# for each group: some microseconds each, so that they take about 2 % of a core.
REFRESH_SECONDS = 0.05
REFRESH_SECONDS_PER_GROUP = 0.0005
# The same while no stream waits, in seconds: no forecast is needed, and reports name
# the groups with a slot less in use.
IDLE_REFRESH_SECONDS = 0.25
# Groups with a free slot that are drawn for one question. Some may have become full
# since, are avoided by the asking host, or have a backlog of prompts.
DRAWN_GROUPS = 12
# Usable ones of them that are examined further: the best of so many is hardly worse
# than the best of all.
EXAMINED_GROUPS = 5
# Time from a member that is ready until its group is shown as open, in seconds: an
# order of the planner, and a read of the list.
OPENING_SECONDS = 0.4


class SlotIndex:
    """The groups of one model that may get streams, as of the last examination."""

    def __init__(
        self,
        *,
        directory: Directory,
        selector: GroupSelector,
        clock: Clock,
        rng: random.Random,
        service: str,
        profile: EngineProfile,
        model: ModelSpec,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._rng = rng
        self._service = service
        self._profile = profile
        self._model = model
        self._serving: dict[GroupKey, Group] = {}
        # Groups that may have a free slot: a list to draw from, and positions in it.
        self._free: list[Group] = []
        self._free_at: dict[GroupKey, int] = {}
        # When each member that still joins was first seen to do so.
        self._joining_since: dict[tuple[GroupKey, str], float] = {}
        self._opened: set[GroupKey] = set()
        self._refresh_at = -inf
        self.forecast = SlotForecast(at=-inf, open_groups=())

    @property
    def has_free(self) -> bool:
        """Return whether any group may have a free slot."""
        return bool(self._free)

    @property
    def open_groups(self) -> int:
        """Return the number of groups that may get streams."""
        return len(self._serving)

    @property
    def free_slots(self) -> int:
        """Return how many slots are free, without room in the queues of engines."""
        loads = self._directory.loads
        return sum(
            max(0, self._profile.slots - loads.load(group.key).running)
            for group in self._free
        )

    def invalidate(self) -> None:
        """Examine all groups at the next use: the list has changed."""
        self._refresh_at = -inf

    def add_freed(self, keys: Iterable[GroupKey]) -> None:
        """Add groups that may have a slot less in use."""
        for key in keys:
            group = self._serving.get(key)
            if group is not None:
                self._add_free(group)

    def select(self, request: SlotRequest) -> Group | None:
        """Return a group with a free slot, drawn at random; None if none is found."""
        drawn = self._draw(self._free)
        if request.gap_objective and self._directory.loads.paces.has_slow:
            on_pace = self._on_pace(drawn) or self._draw(self._on_pace(self._free))
            probe = self._selector.find_probe(request, drawn) if on_pace else None
            if probe is not None:
                return probe
            if on_pace:
                drawn = on_pace
            elif not request.accepts_late and self._has_on_pace():
                drawn = drawn[:EXAMINED_GROUPS]
                drawn = self._selector.without_late(request, drawn)
        found = (
            group
            for group in drawn
            if group.name not in request.avoided and self._keep_if_usable(group)
        )
        usable = list(islice(found, EXAMINED_GROUPS))
        return self._selector.select_from(request, usable) if usable else None

    def _draw(self, groups: list[Group]) -> list[Group]:
        return self._rng.sample(groups, min(DRAWN_GROUPS, len(groups)))

    def _on_pace(self, groups: Iterable[Group]) -> list[Group]:
        """Return the groups that the hosts do not agree to be slow."""
        slow = self._directory.loads.paces.slow
        return [group for group in groups if group.key not in slow]

    def _has_on_pace(self) -> bool:
        return not self._serving.keys() <= self._directory.loads.paces.slow

    def refresh_if_old(self, answers: AnswerLengths) -> None:
        """Examine all groups if that was not done for long."""
        age = self._clock.now() - self.forecast.at
        if age >= IDLE_REFRESH_SECONDS or self._refresh_at == -inf:
            self.refresh(answers)

    def refresh(self, answers: AnswerLengths) -> SlotForecast:
        """Examine all groups if that is due, and return the forecast."""
        now = self._clock.now()
        if now >= self._refresh_at:
            self._examine(now, answers)
            interval = REFRESH_SECONDS_PER_GROUP * len(self._directory.groups)
            self._refresh_at = now + max(REFRESH_SECONDS, interval)
        return self.forecast

    def _examine(self, now: float, answers: AnswerLengths) -> None:
        groups = self._directory.serving_groups(self._service, self._model.name)
        self._serving = {group.key: group for group in groups}
        self._free, self._free_at = [], {}
        open_slots = []
        for group in groups:
            load = self._directory.loads.shared_load_of(group, self._profile)
            if load.running < self._capacity:
                self._add_free(group)
            if not group.is_leaving:
                open_slots.append(
                    OpenSlots(
                        running=load.running,
                        slots=self._profile.slots,
                        hold_seconds=self._hold(answers, load.slowness),
                    )
                )
        self.forecast = SlotForecast(
            at=now, open_groups=open_slots, forming=self._forming(now, answers)
        )

    def _forming(self, now: float, answers: AnswerLengths) -> list[FormingSlots]:
        """Return the groups that are about to open.

        A group that was open and is ready again has been closed, and does not count.
        """
        known = self._directory.groups
        self._opened &= known.keys()
        forming = []
        since: dict[tuple[GroupKey, str], float] = {}
        for key, group in known.items():
            if group.model != self._model.name:
                continue
            if group.phase in (GroupPhase.OPEN, GroupPhase.CLOSING):
                self._opened.add(key)
            if key in self._opened or self._directory.is_broken(key):
                continue
            members = group.members
            if members[0].service != self._service or group.is_leaving:
                continue
            if any(_phase(member) is GroupPhase.BROKEN for member in members):
                continue
            opens_at = now
            for member in members:
                if _phase(member) is GroupPhase.JOINING:
                    started = self._joining_since.get((key, member.id), now)
                    since[key, member.id] = started
                    opens_at = max(opens_at, started + self._join_seconds(member))
            if len(members) < self._model.size:
                opens_at = max(opens_at, now + self._model.warm_seconds)
            slowness = self._profile.cross_domain_factor if group.spans_domains else 1.0
            forming.append(
                FormingSlots(
                    opens_at=opens_at + OPENING_SECONDS,
                    slots=self._profile.slots,
                    hold_seconds=self._hold(answers, slowness),
                )
            )
        self._joining_since = since
        return forming

    def _join_seconds(self, member: Target) -> float:
        if self._model.name in member.staged:
            return self._model.warm_seconds
        return self._model.load_seconds

    def _hold(self, answers: AnswerLengths, slowness: float) -> float:
        prompt = self._profile.typical_prompt_tokens or DEFAULT_CONTEXT_TOKENS
        return answers.pace * hold_seconds(
            self._profile,
            self._model,
            running=self._profile.slots,
            slowness=slowness,
            prompt_tokens=prompt,
            answer_tokens=answers.tokens,
        )

    @property
    def _capacity(self) -> int:
        return self._profile.slots + QUEUE_BEYOND_SLOTS

    def _keep_if_usable(self, group: Group) -> bool:
        """Return whether a group drawn is usable; drop it from the free ones if not."""
        loads = self._directory.loads
        if (
            self._directory.groups.get(group.key) is group
            and not self._directory.is_broken(group.key)
            and loads.work(group.key).excluded_until <= self._clock.now()
            and loads.load(group.key).running < self._capacity
        ):
            return True
        self._drop_free(group.key)
        return False

    def _add_free(self, group: Group) -> None:
        if group.key not in self._free_at:
            self._free_at[group.key] = len(self._free)
            self._free.append(group)

    def _drop_free(self, key: GroupKey) -> None:
        position = self._free_at.pop(key)
        last = self._free.pop()
        if last.key != key:
            self._free[position] = last
            self._free_at[last.key] = position


def _phase(member: Target) -> GroupPhase | None:
    return None if member.membership is None else member.membership.phase
