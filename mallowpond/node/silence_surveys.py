"""Ask a random sample of a service's targets whether they are silent in common.

The planner probes only targets that are suspected, so what it sees of the fleet by its
probes alone is always worse than the fleet is.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.node.directory import Directory
from mallowpond.node.ports import EngineReport
from mallowpond.node.target_links import domain_of
from mallowpond.state.fleet import Target
from mallowpond.state.fleet_silence import FleetSilence, SilenceSurvey, draw_sample

log = structlog.get_logger()

# Interval between two surveys while a common silence lasts, in seconds.
SURVEY_INTERVAL_SECONDS = 0.2
# Time above which an answer to a survey counts as late, in seconds: about half of a
# query's timeout. Then the silence of a probed target may have ended meanwhile too.
LATE_ANSWER_SECONDS = 0.075
# Share of the targets whose entries must be listed for a lapsed entry to tell anything
# of its target: entries of nearly all lapse when nearly all pause.
LISTED_SHARE = 0.5


@dataclass(kw_only=True)
class _ServiceSurveys:
    """The surveys of one service; the last one began at `began_at`."""

    silence: FleetSilence = field(default_factory=FleetSilence)
    last: SilenceSurvey | None = None
    has_late_answers: bool = False
    began_at: float = float("-inf")
    running: asyncio.Future[None] | None = None


class SilenceSurveys:
    """Surveys the targets of each service, and tells what their silence is worth.

    `ask` sends a target a query; `is_lost` returns whether a target is known to be
    lost, so that its silence says nothing new.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        ask: Callable[[Target], Awaitable[EngineReport | Unavailable]],
        is_lost: Callable[[Target], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._ask = ask
        self._is_lost = is_lost
        self._clock = clock
        self._rng = rng
        self._services: dict[str, _ServiceSurveys] = defaultdict(_ServiceSurveys)

    @property
    def is_any_held(self) -> bool:
        """Return whether the targets of any service are silent in common."""
        now = self._clock.now()
        return any(s.silence.is_held(now) for s in self._services.values())

    def is_held(self, service: str) -> bool:
        """Return whether silence is held against no target of a service now."""
        return self._services[service].silence.is_held(self._clock.now())

    def was_held_within(self, service: str, seconds: float) -> bool:
        """Return whether a common silence lasts, or ended in the last `seconds`."""
        silence = self._services[service].silence
        return silence.was_held_within(seconds, self._clock.now())

    def is_evidence(self, target: Target, since: float) -> bool:
        """Return whether a target's silence since a time is evidence against it."""
        if target.lapsed and self._are_most_listed(target.service):
            return True
        silence = self._services[target.service].silence
        return silence.is_evidence(since=since, now=self._clock.now())

    def has_late_answers(self, service: str) -> bool:
        """Return whether a target answered the last survey late."""
        return self._services[service].has_late_answers

    def counts(self, service: str) -> dict[str, int]:
        """Return the numbers of the last survey, as they are logged."""
        last = self._services[service].last
        if last is None:
            return {}
        return {
            "sampled": last.targets,
            "sample_silent": last.silent,
            "sampled_domains": last.domains,
            "sample_silent_domains": last.silent_domains,
        }

    def reset(self) -> None:
        """Drop the findings; a survey that runs is not recorded."""
        self._services.clear()

    async def complete(self, service: str, since: float) -> None:
        """Wait for a survey of a service that began after a time; start it if needed.

        Concurrent callers share one survey.
        """
        while True:
            surveys = self._services[service]
            if surveys.running is None and surveys.began_at >= since:
                return
            if surveys.running is None:
                surveys.began_at = self._clock.now()
                surveys.running = asyncio.ensure_future(self._survey(service, surveys))
            await asyncio.shield(surveys.running)

    def is_due(self, service: str) -> bool:
        """Return whether a common silence lasts and its next survey is due."""
        surveys = self._services[service]
        if surveys.silence.began_at is None or surveys.running is not None:
            return False
        return self._clock.now() - surveys.began_at >= SURVEY_INTERVAL_SECONDS

    async def _survey(self, service: str, surveys: _ServiceSurveys) -> None:
        began = surveys.began_at
        try:
            sample = draw_sample(self._population(service), self._rng)
            answers = await asyncio.gather(
                *(
                    self._ask_timed(domain, target)
                    for domain, targets in sample.items()
                    for target in targets
                )
            )
        finally:
            surveys.running = None
        # A refused connection is neither a silence nor an answer.
        silent = [a.domain for a in answers if a.is_silent]
        answered = [a.domain for a in answers if a.is_answered]
        surveys.last = SilenceSurvey(
            targets=len(silent) + len(answered),
            silent=len(silent),
            domains=len({*silent, *answered}),
            silent_domains=len({*silent}),
        )
        last_answer = max((a.seconds for a in answers if a.is_answered), default=0.0)
        surveys.has_late_answers = last_answer > LATE_ANSWER_SECONDS
        self._record(service, surveys, asked_at=began, answered_at=began + last_answer)

    def _record(
        self,
        service: str,
        surveys: _ServiceSurveys,
        *,
        asked_at: float,
        answered_at: float,
    ) -> None:
        now, silence = self._clock.now(), surveys.silence
        before = silence.began_at
        assert surveys.last is not None
        silence.record(surveys.last, asked_at=asked_at, answered_at=answered_at)
        if (before is None) == (silence.began_at is None):
            return
        counts = self.counts(service)
        age = round(now - asked_at, 3)
        if before is None:
            log.warning(
                "planner: common silence", service=service, survey_age=age, **counts
            )
        else:
            log.info(
                "planner: common silence over",
                service=service,
                seconds=round(now - before, 3),
                survey_age=age,
                **counts,
            )

    async def _ask_timed(self, domain: str, target: Target) -> "_Answer":
        began = self._clock.now()
        report = await self._ask(target)
        return _Answer(
            domain=domain,
            is_answered=not isinstance(report, Unavailable),
            is_silent=isinstance(report, Unavailable) and report.is_silent,
            seconds=self._clock.now() - began,
        )

    def _population(self, service: str) -> dict[str, list[Target]]:
        """Return the targets that may answer, by domain."""
        targets = [
            target
            for target in self._directory.all_targets(service)
            if not self._is_lost(target)
        ]
        if self._are_most_listed(service):
            targets = [target for target in targets if not target.lapsed]
        by_domain: dict[str, list[Target]] = defaultdict(list)
        for target in targets:
            by_domain[domain_of(target)].append(target)
        return by_domain

    def _are_most_listed(self, service: str) -> bool:
        """Return whether the list is complete and shows most targets as renewed."""
        targets = self._directory.all_targets(service)
        listed = sum(not target.lapsed for target in targets)
        return self._directory.is_settled and listed >= LISTED_SHARE * len(targets)


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """Outcome of one query, and how long it took."""

    domain: str
    is_answered: bool
    is_silent: bool
    seconds: float
