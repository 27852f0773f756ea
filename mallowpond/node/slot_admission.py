"""Admit streams by a forecast of the slots of their model's groups.

The dispatcher holds one `ModelLine` for each model. It decides whether a stream is
queued or refused, and when a refused caller comes back.
"""

import random
from dataclasses import dataclass, replace
from math import isfinite

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.group_selector import GroupSelector, SlotRequest
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.slot_index import SlotIndex
from mallowpond.state.fleet import EngineProfile, Group, ModelSpec
from mallowpond.state.placement_queue import QueueEntry
from mallowpond.state.return_schedule import ReturnSchedule
from mallowpond.state.slot_forecast import (
    AnswerLengths,
    ArrivalRate,
    SlotForecast,
    forecast_wait,
    has_chance,
    hold_seconds,
)

log = structlog.get_logger()

# Least interval between two reviews of a queue, in seconds, and the part of it for each
# queued stream: some microseconds each, so that reviews take a few percent of a core.
REVIEW_SECONDS = 0.1
REVIEW_SECONDS_PER_STREAM = 0.0001
# Late streams leave as many slots free as new streams take in this time, in seconds.
# Without it each slot that becomes free goes to a late stream, and in a lasting
# overload nearly all new streams become late in the queue.
HEADROOM_SECONDS = 0.05
# Least share of the slots that callers who come back may use, where new streams take
# all of them: new streams can be on time, those that come back cannot.
RETURN_SHARE = 0.05
# Interval between two return times while no group is open, in seconds.
NO_GROUP_SPACING_SECONDS = 0.05
# Largest wait that is told to a host, in seconds.
MAX_WAIT_SECONDS = 60.0
# Work of a token of the answer relative to one of the prompt.
ANSWER_TOKEN_COST = 2.0

LineKey = tuple[str, str]


def token_cost(prompt_tokens: float, answer_tokens: float) -> float:
    """Return the work that a stream asks for, in prompt tokens."""
    return prompt_tokens + ANSWER_TOKEN_COST * answer_tokens


@dataclass(frozen=True, kw_only=True)
class ForecastRefusal:
    """A stream has no chance; its caller comes back after `retry_after` seconds."""

    wait: float
    retry_after: float


class SlotAdmission:
    """The lines of all models, and what this host learns of their answers."""

    def __init__(
        self,
        *,
        directory: Directory,
        selector: GroupSelector,
        clock: Clock,
        metrics: NodeMetrics,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._lines: dict[LineKey, ModelLine] = {}
        directory.on_change.append(self.invalidate)
        # Starts the record of groups that run fewer streams.
        directory.loads.take_freed()

    def line(self, request: SlotRequest) -> "ModelLine":
        """Return the line of a request's model."""
        return self.line_of(request.service, request.profile, request.model)

    def line_of(
        self, service: str, profile: EngineProfile, model: ModelSpec
    ) -> "ModelLine":
        """Return the line of a model; a changed profile or model starts a new one."""
        key = (service, model.name)
        line = self._lines.get(key)
        if line is None or line.profile != profile or line.model != model:
            index = SlotIndex(
                directory=self._directory,
                selector=self._selector,
                clock=self._clock,
                rng=self._rng,
                service=service,
                profile=profile,
                model=model,
            )
            line = ModelLine(
                profile=profile,
                model=model,
                index=index,
                clock=self._clock,
                metrics=self._metrics,
            )
            self._lines[key] = line
        return line

    def known_line(self, key: LineKey) -> "ModelLine | None":
        """Return the line of a service's model by their names."""
        return self._lines.get(key)

    def add_freed(self) -> None:
        """Take note of the groups where peers run fewer streams."""
        freed = self._directory.loads.take_freed()
        if freed:
            for line in self._lines.values():
                line.index.add_freed(freed)

    def invalidate(self) -> None:
        """Examine all groups at the next use."""
        for line in self._lines.values():
            line.index.invalidate()


class ModelLine:
    """Decides on the streams of one model by its forecast."""

    def __init__(
        self,
        *,
        profile: EngineProfile,
        model: ModelSpec,
        index: SlotIndex,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self.profile = profile
        self.model = model
        self.index = index
        self._clock = clock
        self._metrics = metrics
        self.answers = AnswerLengths(tokens=profile.typical_answer_tokens)
        self._arrivals = ArrivalRate()
        self._returns = ReturnSchedule()
        self._review_at = float("-inf")
        self._expired_places = 0

    @property
    def may_have_free(self) -> bool:
        """Return whether any group may have a free slot."""
        self.forecast()
        return self.index.has_free

    def forecast(self) -> SlotForecast:
        """Return the current forecast."""
        return self.index.refresh(self.answers)

    def select(self, request: SlotRequest) -> Group | None:
        """Return a group with a free slot for a stream, None if none is found."""
        self.index.refresh_if_old(self.answers)
        return self.index.select(request)

    def has_room_for_late(self) -> bool:
        """Return whether a late stream leaves slots for the new ones to come."""
        arrivals = self._arrivals.per_second(self._clock.now())
        return self.index.free_slots > HEADROOM_SECONDS * arrivals

    def refused_before(
        self, request: SlotRequest, asker: object
    ) -> ForecastRefusal | None:
        """Return the same refusal again for a request whose answer was lost."""
        now = self._clock.now()
        place = self._returns.refused_before(request.fingerprint, asker, now)
        if place is None:
            return None
        seconds = max(0.01, place.at - now)
        return ForecastRefusal(wait=seconds, retry_after=seconds)

    def arrive(self, request: SlotRequest, entry: QueueEntry) -> QueueEntry:
        """Count a new stream; return its entry, with its place if it came back."""
        now = self._clock.now()
        has_place = bool(request.fingerprint) and self._returns.claim(
            request.fingerprint, now
        )
        if has_place:
            self._metrics.return_places.labels("used").inc()
            return replace(entry, has_place=True)
        self._arrivals.record(now)
        return entry

    def must_review(self, waiting: int) -> bool:
        """Return whether the queue must be gone through now."""
        now = self._clock.now()
        if now < self._review_at:
            return False
        self._review_at = now + max(REVIEW_SECONDS, REVIEW_SECONDS_PER_STREAM * waiting)
        return True

    def record_expired(self) -> None:
        """Count a stream whose wait ended without a slot or a refusal."""
        self._metrics.forecast_refusals.labels("expired").inc()

    def decide(
        self,
        asker: object,
        request: SlotRequest,
        entry: QueueEntry,
        *,
        position: int,
        waiting: int,
        is_full: bool = False,
    ) -> ForecastRefusal | None:
        """Return the refusal of a queued stream that has no chance, else None.

        `position` streams wait ahead of it, of `waiting` others in all.
        """
        now = self._clock.now()
        forecast = self.forecast()
        arrivals = self._arrivals.per_second(now)
        wait = forecast_wait(
            forecast, entry, position=position, now=now, arrivals=arrivals
        )
        if not is_full and has_chance(
            forecast,
            entry,
            wait=wait,
            now=now,
            model=self.model,
            service_seconds=self._service_seconds(request),
            ends_at=request.ends_at,
        ):
            return None
        returns = self._reserve(asker, request, forecast, arrivals, waiting)
        when = "arrival" if entry.queued_at == now else "review"
        self._metrics.forecast_refusals.labels(when).inc()
        log.info(
            "placement: no slot by forecast",
            fingerprint=request.fingerprint,
            model=self.model.name,
            when=when,
            position=position,
            waiting=waiting,
            wait=round(wait, 3) if isfinite(wait) else None,
            patience=round(entry.deadline - now, 3),
            late=entry.objective_deadline <= now,
            rate=round(forecast.rate, 1),
            arrivals=round(arrivals, 1),
            open=self.index.open_groups,
            forming=forecast.forming,
            answer=round(self.answers.tokens),
            retry_after=round(returns.retry_after, 3),
            places=len(self._returns),
        )
        return replace(returns, wait=min(MAX_WAIT_SECONDS, wait))

    def _reserve(
        self,
        asker: object,
        request: SlotRequest,
        forecast: SlotForecast,
        arrivals: float,
        waiting: int,
    ) -> ForecastRefusal:
        """Choose when a refused caller comes back: where new streams leave slots."""
        now = self._clock.now()
        ahead = waiting + self._returns.outstanding(now)
        overtaking = min(arrivals, (1.0 - RETURN_SHARE) * forecast.rate)
        left = forecast.rate - overtaking
        known = self._returns.reserve(
            request.fingerprint,
            asker,
            now=now,
            wait=forecast.wait_for(ahead, now=now, overtaking=overtaking),
            spacing=1.0 / left if left > 0.0 else NO_GROUP_SPACING_SECONDS,
            seconds_left=request.ends_at - now if isfinite(request.ends_at) else 0.0,
        )
        places = self._metrics.return_places
        places.labels("kept" if known.has_place else "none").inc()
        places.labels("expired").inc(self._returns.expired - self._expired_places)
        self._expired_places = self._returns.expired
        return ForecastRefusal(wait=0.0, retry_after=known.seconds)

    def _service_seconds(self, request: SlotRequest) -> float:
        """Predict for how long the stream itself will run, at the declared pace."""
        tokens = self.answers.tokens
        if request.answer_tokens:
            tokens = min(tokens, request.answer_tokens)
        return hold_seconds(
            self.profile,
            self.model,
            running=self.profile.slots,
            slowness=1.0,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=tokens,
        )
