"""Forecast when the next slots of a model's groups become free.

A burst of 1.7 times the usual arrivals lasts for 3 to 4 s on full groups, and a lost
data centre takes a third of the groups away for 2 s. In both cases streams wait for
slots, and each must be queued or refused by whether it can be served within its
patience. The mean wait over all slots ignores the pace of each group, groups that open
soon, and new streams that go ahead of late ones.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp, inf

from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.placement import GroupLoad, pass_seconds, prefill_seconds
from mallowpond.state.placement_queue import QueueEntry

# Weight of a new sample in the moving averages of answer length and pace: a host of a
# large fleet ends about two streams a second.
ANSWER_SMOOTHING = 0.05
# Bounds of the learnt ratio of observed to declared duration of an answer.
PACE_RANGE = (0.5, 4.0)
# Lower bound of the time for which a stream holds its slot, in seconds.
MIN_HOLD_SECONDS = 0.05
# Time constant of the moving average of arrivals, in seconds: bursts last 3 to 4 s.
ARRIVAL_SECONDS = 1.0
# Interval to which the times at which groups open are rounded up, in seconds, and the
# largest number of such times. They bound the cost of a look-up; groups that open after
# the last time count as opening with it in the sum, which is beyond any patience.
OPENING_STEP_SECONDS = 0.1
MAX_OPENING_STEPS = 32
# Time for which a stream waits for the first sign of a group that forms, in seconds: an
# order of the planner and a read of the list.
NO_GROUP_SECONDS = 0.3
# Time before a late stream goes ahead of those on time in which it must have a slot in
# sight, in seconds: two reviews of the queue.
DECISION_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class OpenSlots:
    """An open group: its running streams, and seconds for which a stream holds a slot.

    `slots` is the largest number of streams that it runs at the same time.
    """

    running: int
    slots: int
    hold_seconds: float


@dataclass(frozen=True, kw_only=True)
class FormingSlots:
    """A group that opens at the time `opens_at`, with all its slots free."""

    opens_at: float
    slots: int
    hold_seconds: float


@dataclass(kw_only=True)
class AnswerLengths:
    """Learnt length and pace of a model's answers.

    Starts from the profile's typical answer. `pace` is the ratio of the observed
    duration of answers to the one predicted from the declared timing.
    """

    tokens: float
    pace: float = 1.0

    def record(self, *, tokens: float, seconds: float, predicted: float) -> None:
        """Add one complete answer: its length, and its observed and predicted time."""
        self.tokens += ANSWER_SMOOTHING * (tokens - self.tokens)
        if predicted > 0.0:
            low, high = PACE_RANGE
            ratio = min(high, max(low, seconds / predicted))
            self.pace += ANSWER_SMOOTHING * (ratio - self.pace)


@dataclass(kw_only=True)
class ArrivalRate:
    """Moving average of the arrivals per second, weighted by age."""

    _weight: float = 0.0
    _at: float = -inf

    def record(self, now: float) -> None:
        """Count one arrival."""
        self._weight = self._decayed(now) + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the recent arrivals per second."""
        return self._decayed(now) / ARRIVAL_SECONDS

    def _decayed(self, now: float) -> float:
        if self._weight == 0.0:
            return 0.0
        return self._weight * exp(-max(0.0, now - self._at) / ARRIVAL_SECONDS)


def hold_seconds(
    profile: EngineProfile,
    model: ModelSpec,
    *,
    running: int,
    slowness: float,
    prompt_tokens: float,
    answer_tokens: float,
) -> float:
    """Predict for how long a stream holds its slot on a group with this load."""
    load = GroupLoad(running=running, slowness=slowness)
    prefill = prefill_seconds(profile, model, prompt_tokens, slowness)
    passes = answer_tokens / max(1, profile.stride)
    seconds = prefill + passes * pass_seconds(profile, model, load)
    return max(MIN_HOLD_SECONDS, seconds)


class SlotForecast:
    """When the slots of one model become free, as known at the time `at`.

    Slots of open groups that are in use become free at the rate slots / hold time, as
    the running streams are at any point of their answers. Those of a group that opens
    are free at once, and used ones become free from half a hold time later, on average.
    """

    def __init__(
        self,
        *,
        at: float,
        open_groups: Iterable[OpenSlots],
        forming: Sequence[FormingSlots] = (),
    ) -> None:
        self.at = at
        self.slots = 0
        self.free = 0
        # Slots that become free per second on the groups that are open now.
        self.rate = 0.0
        for group in open_groups:
            self.slots += group.slots
            self.free += max(0, group.slots - group.running)
            self.rate += group.slots / group.hold_seconds
        self.forming = len(forming)
        self._steps = _opening_steps(at, forming)

    @property
    def has_groups(self) -> bool:
        """Return whether any group is open or about to open."""
        return self.slots > 0 or bool(self._steps)

    def wait_for(
        self, position: float, *, now: float | None = None, overtaking: float = 0.0
    ) -> float:
        """Return the seconds until a slot is free for the stream at a queue position.

        `position` is the number of streams that wait ahead of it, `overtaking` the
        rate at which later streams go ahead of it. Infinite if none becomes free.
        """
        now = self.at if now is None else now
        needed = position + 1.0
        count, rate, since = float(self.free), self.rate, 0.0
        elapsed = max(0.0, now - self.at)
        for step_at, slots, step_rate in self._steps:
            seconds = _crossing(needed - count, rate - overtaking)
            if since + seconds <= step_at:
                return max(0.0, since + seconds - elapsed)
            count += (rate - overtaking) * (step_at - since) + slots
            rate += step_rate
            since = step_at
        return max(0.0, since + _crossing(needed - count, rate - overtaking) - elapsed)


def _crossing(missing: float, rate: float) -> float:
    """Return the seconds until `missing` slots have become free at a rate."""
    if missing <= 0.0:
        return 0.0
    return missing / rate if rate > 0.0 else inf


def _opening_steps(
    at: float, forming: Sequence[FormingSlots]
) -> list[tuple[float, float, float]]:
    """Return the seconds, new free slots and new rate of each step, in order.

    Each group gives two steps: its free slots when it opens, and its rate half a hold
    time later.
    """
    steps: dict[int, tuple[float, float]] = {}

    def add(seconds: float, slots: float, rate: float) -> None:
        number = -int(-max(0.0, seconds) // OPENING_STEP_SECONDS)
        number = min(MAX_OPENING_STEPS - 1, number)
        known_slots, known_rate = steps.get(number, (0.0, 0.0))
        steps[number] = (known_slots + slots, known_rate + rate)

    for group in forming:
        opens = group.opens_at - at
        add(opens, float(group.slots), 0.0)
        add(opens + group.hold_seconds / 2.0, 0.0, group.slots / group.hold_seconds)
    return [
        (number * OPENING_STEP_SECONDS, slots, rate)
        for number, (slots, rate) in sorted(steps.items())
    ]


def forecast_wait(
    forecast: SlotForecast,
    entry: QueueEntry,
    *,
    position: float,
    now: float,
    arrivals: float,
) -> float:
    """Return the seconds until a stream in the queue gets a slot.

    New streams, `arrivals` per second, can be on time and go ahead of a late one. They
    count from shortly before a late stream has little patience left. Until then it may
    wait, as the burst may end: refused as soon as arrivals exceeded the slots, 8 % of
    the streams of a burst were refused although a slot came free in time.
    """
    is_overtaken = (
        entry.objective_deadline <= now
        and not entry.has_begun
        and entry.is_aged(now + DECISION_SECONDS)
    )
    overtaking = arrivals if is_overtaken else 0.0
    return forecast.wait_for(position, now=now, overtaking=overtaking)


def has_chance(
    forecast: SlotForecast,
    entry: QueueEntry,
    *,
    wait: float,
    now: float,
    model: ModelSpec,
    service_seconds: float = 0.0,
    ends_at: float = inf,
) -> bool:
    """Return whether a stream can get a slot within its patience and be served in time.

    `wait` is its forecast wait; the caller waits until `ends_at` for the whole answer.
    A stream that has begun is never given up. Without any group, one may form for the
    queued streams, unless that takes longer than the stream can wait.
    """
    if entry.has_begun:
        return True
    if not forecast.has_groups:
        is_new = now - entry.queued_at < NO_GROUP_SECONDS
        return is_new or now + model.warm_seconds <= entry.deadline
    return now + wait <= entry.deadline and now + wait + service_seconds <= ends_at
