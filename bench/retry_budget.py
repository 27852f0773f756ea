"""Replay the decision on repeated sends by ways to divide the retry budget.

No processes run: hosts are killed, started and cut off at set times, and each makes
every repeat that its window grants, or those of streams that lose their groups.
"""

import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.report import Report
from mallowpond.state.retry_window import RetryWindow

HOSTS = 8
RATIO, SLACK, WINDOW = 0.2, 134.0, 10.0
# Requests per second.
RATES = (15.0, 68.0)
STEP_SECONDS = 0.05
SECONDS = 60.0
# Time after which a silent host counts as gone, and the longest time from a granted
# repeat to its arrival, in seconds.
GONE_SECONDS = 1.0
ARRIVAL_SECONDS = 0.5
# Repeats that streams want at once as a domain with its groups falls.
WANTED = 40
FALL_AT = 30.0


@dataclass(kw_only=True)
class Host:
    """One host: its window, when its process started, and whom it heard when."""

    number: int
    started_at: float = 0.0
    is_running: bool = True
    window: RetryWindow = field(default_factory=lambda: new_window(WINDOW))
    heard_at: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Way:
    """A way to divide the fixed part of the budget.

    divisor: number of hosts that it is divided by, 0 for none of it.
    held_seconds: time for which a repeat counts.
    """

    name: str
    divisor: Callable[[Host, float], int]
    held_seconds: float = WINDOW


def new_window(seconds: float) -> RetryWindow:
    """Return an empty window in which repeats count for some seconds."""
    return RetryWindow(ratio=RATIO, slack=SLACK, window_seconds=seconds)


def _heard_within(seconds: float) -> Callable[[Host, float], int]:
    return lambda host, now: (
        1 + sum(now - at < seconds for at in host.heard_at.values())
    )


def _known(host: Host, now: float) -> int:
    return 1 + len(host.heard_at)


def _after_a_window(host: Host, now: float) -> int:
    is_first = host.started_at == 0.0
    return _known(host, now) if is_first or now - host.started_at >= WINDOW + 1.0 else 0


WAYS = (
    Way(name="live hosts", divisor=_heard_within(GONE_SECONDS)),
    Way(name="heard in a window", divisor=_heard_within(WINDOW)),
    Way(name="all known", divisor=_known),
    Way(name="all known, start waits", divisor=_after_a_window),
    Way(name="the same, held", divisor=_after_a_window, held_seconds=WINDOW + 1.0),
)


@dataclass(frozen=True, kw_only=True)
class Scene:
    """Kills as (host, from, to), and an interval without contact among hosts."""

    name: str
    kills: tuple[tuple[int, float, float], ...] = ()
    cut: tuple[float, float] = (0.0, 0.0)


SCENES = (
    Scene(name="calm"),
    Scene(
        name="five killed, back in 2 s", kills=tuple((n, 24.0, 26.0) for n in range(5))
    ),
    Scene(name="five dead", kills=tuple((n, 10.0, SECONDS) for n in range(5))),
    Scene(
        name="each killed in turn",
        kills=tuple((n, 22.0 + n, 23.0 + n) for n in range(8)),
    ),
    Scene(
        name="all killed, back in 2 s", kills=tuple((n, 24.0, 26.0) for n in range(8))
    ),
    Scene(name="cut for 3 s", cut=(24.0, 27.0)),
    Scene(name="cut for 20 s", cut=(25.0, 45.0)),
)


@dataclass(kw_only=True)
class Replay:
    """One run of a scene by one way."""

    scene: Scene
    way: Way
    takes_all: bool
    requests_per_second: float
    requests: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    granted: int = 0

    def run(self, seconds: float) -> None:
        """Run the scene for some seconds."""
        rng, now = random.Random(3), 0.0
        hosts = [self._started(number, 0.0) for number in range(HOSTS)]
        for host in hosts:
            host.heard_at = {n: 0.0 for n in range(HOSTS) if n != host.number}
        wanted = dict.fromkeys(range(HOSTS), 0)
        while now < seconds:
            now += STEP_SECONDS
            self._change(hosts, now)
            running = [host for host in hosts if host.is_running]
            for _ in range(int(self.requests_per_second * now) - len(self.requests)):
                self.requests.append(now)
                if running:
                    rng.choice(running).window.record_first_send(now)
            if abs(now - FALL_AT) < STEP_SECONDS / 2.0 and running:
                for _ in range(WANTED):
                    wanted[rng.choice(running).number] += 1
            for host in running:
                while self.takes_all or wanted[host.number]:
                    wanted[host.number] -= 1
                    if not self._try_repeat(host, now):
                        break
                    self.granted += 1
                    self.arrivals.append(now + rng.uniform(0.0, ARRIVAL_SECONDS))

    def _try_repeat(self, host: Host, now: float) -> bool:
        divisor = self.way.divisor(host, now)
        if divisor:
            return host.window.try_repeat(now, divisor)
        # No host has so many others that its part would be nothing but this.
        return host.window.try_repeat(now, 1_000_000)

    def _started(self, number: int, now: float) -> Host:
        window = new_window(self.way.held_seconds)
        return Host(number=number, started_at=now, window=window)

    def _change(self, hosts: list[Host], now: float) -> None:
        for number, begin, end in self.scene.kills:
            if abs(now - begin) < STEP_SECONDS / 2.0:
                hosts[number].is_running = False
            elif abs(now - end) < STEP_SECONDS / 2.0:
                # It reads the rows of all hosts.
                hosts[number] = self._started(number, now)
                hosts[number].heard_at = {n: 0.0 for n in range(HOSTS) if n != number}
        if self.scene.cut[0] <= now < self.scene.cut[1]:
            return
        for host in hosts:
            for other in hosts:
                if other is not host and other.is_running:
                    host.heard_at[other.number] = now

    def worst_use(self) -> float:
        """Return the largest part of what is allowed that arrived in any window."""
        arrivals = sorted(self.arrivals)
        return max(
            (
                (bisect_right(arrivals, at + WINDOW) - n) / self._allowed(at)
                for n, at in enumerate(arrivals)
                if at > WINDOW
            ),
            default=0.0,
        )

    def _allowed(self, start: float) -> float:
        most = max(
            bisect_right(self.requests, begin + WINDOW)
            - bisect_left(self.requests, begin)
            for begin in (start, start - WINDOW, start - WINDOW / 2.0)
        )
        return RATIO * most + SLACK


def _cell(scene: Scene, way: Way, rate: float) -> str:
    greedy, fall = (
        Replay(scene=scene, way=way, takes_all=takes_all, requests_per_second=rate)
        for takes_all in (True, False)
    )
    greedy.run(SECONDS)
    fall.run(SECONDS)
    return f"{greedy.worst_use():.2f} / {fall.granted / WANTED:.2f}"


def run(*, smallest: bool) -> list[Report]:
    """Replay every scene by every way, or the first ones at the smallest size."""
    scenes, ways = (SCENES[:2], WAYS[:1]) if smallest else (SCENES, WAYS)
    return [
        Report(
            title=(
                f"{rate:g} requests a second: worst use of what is allowed if every "
                f"grant is used / share granted of {WANTED} repeats wanted at once"
            ),
            columns=("scene", *(way.name for way in ways)),
            rows=tuple(
                (scene.name, *(_cell(scene, way, rate) for way in ways))
                for scene in scenes
            ),
            notes=(
                f"{HOSTS} hosts, ratio {RATIO}, fixed part {SLACK:g}, window "
                f"{WINDOW:g} s; wanted at {FALL_AT:g} s.",
            ),
        )
        for rate in RATES
    ]
