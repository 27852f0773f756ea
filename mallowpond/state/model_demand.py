"""Track how many slots each model has in use: averages and peak of the last seconds.

The load pattern: the work of the models differs from their declared shares for minutes,
while waves with a period of 11 to 15 s and bursts of 3 to 6 s pass sooner than weights
are loaded. A longer average tells the former from the latter.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

SHORT_SECONDS = 2.0
LONG_SECONDS = 8.0
# Period of the longest wave of the load that is expected, in seconds.
WAVE_SECONDS = 15.0


@dataclass(frozen=True, kw_only=True)
class ModelDemand:
    """Slots of one model in use: averages over three windows, and the peak.

    short, long, wave: averages over `SHORT_SECONDS`, `LONG_SECONDS`, `WAVE_SECONDS`.
    peak: largest number within `WAVE_SECONDS`.
    """

    short: float = 0.0
    long: float = 0.0
    wave: float = 0.0
    peak: float = 0.0

    @property
    def lasting(self) -> float:
        """Return the slots in use that are no passing peak, the smallest average."""
        return min(self.short, self.long, self.wave)


class DemandTracker:
    """Samples of the slots in use of each model over the last `WAVE_SECONDS`."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, dict[str, float]]] = deque()
        self._since: float | None = None

    def reset(self) -> None:
        """Drop all samples."""
        self._samples.clear()
        self._since = None

    def record(self, running: Mapping[str, float], now: float) -> None:
        """Record the slots in use by model; they count until the next sample."""
        if self._samples and now <= self._samples[-1][0]:
            return
        if self._samples and now - self._samples[-1][0] > SHORT_SECONDS:
            # Nothing is known of a pause as long as the shortest window.
            self.reset()
        if self._since is None:
            self._since = now
        self._samples.append((now, dict(running)))
        # One sample from before the window is kept: its value holds at the start of it.
        while len(self._samples) > 1 and self._samples[1][0] <= now - WAVE_SECONDS:
            self._samples.popleft()

    def covered_seconds(self, now: float) -> float:
        """Return for how long samples have been recorded without a pause."""
        return 0.0 if self._since is None else now - self._since

    def covers_wave(self, now: float) -> bool:
        """Return whether the samples cover the whole of the longest window."""
        return self.covered_seconds(now) >= WAVE_SECONDS

    def demand(self, model: str, now: float) -> ModelDemand:
        """Return the averages and the peak of one model."""
        values = [(at, running.get(model, 0.0)) for at, running in self._samples]
        return ModelDemand(
            short=_average(values, now, SHORT_SECONDS),
            long=_average(values, now, LONG_SECONDS),
            wave=_average(values, now, WAVE_SECONDS),
            peak=max((value for _, value in values), default=0.0),
        )


def _average(values: list[tuple[float, float]], now: float, window: float) -> float:
    """Return the time-weighted average; the newest value counts from its sample on."""
    start, end, total, seconds = now - window, now, 0.0, 0.0
    for at, value in reversed(values):
        duration = end - max(at, start)
        if duration > 0.0:
            total += value * duration
            seconds += duration
            end = max(at, start)
        if at <= start:
            break
    if seconds > 0.0:
        return total / seconds
    return values[-1][1] if values else 0.0
