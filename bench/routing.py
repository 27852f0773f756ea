"""Simulate policies that choose a group for each request.

Two of them use delayed load reports of the groups. "ours" is the `Balancer` of this
project, which knows the requests that it started and finished itself.
"""

import heapq
import random
from dataclasses import dataclass, field

from bench.report import Report
from mallowpond.state.balancer import Balancer
from mallowpond.state.ownership import owner_of

SERVICE_SECONDS = 0.1
SLOTS = 8
PREFIXES = 200
UTILIZATION = 0.75
# Share of the service time that a hit in the prefix cache saves.
HIT_SAVED_SHARE = 0.3
CACHED_PREFIXES = 30
STRAGGLER_FACTOR = 5.0
POLICIES = ("random", "round robin", "least reported", "two choices", "ours")


@dataclass(kw_only=True)
class Trial:
    """Simulation of arrivals at groups with a few slots and a FIFO queue each."""

    policy: str
    groups: int
    # Interval of the load reports, in seconds.
    lag: float
    straggler: bool
    requests: int
    rng: random.Random
    waits: list[float] = field(default_factory=list)
    hits: int = 0
    straggler_requests: int = 0

    def run(self) -> tuple[float, float, float]:
        """Return the p99 wait in service times, the share of prefix hits, and the load
        of the straggler relative to a fair share.
        """
        names = [f"g{n}" for n in range(self.groups)]
        slots = {g: [0.0] * SLOTS for g in names}
        cached: dict[str, list[int]] = {g: [] for g in names}
        in_flight = dict.fromkeys(names, 0)
        reported = dict.fromkeys(names, 0)
        balancer = Balancer(rng=self.rng)
        events: list = []
        rate = UTILIZATION * self.groups * SLOTS / SERVICE_SECONDS
        now, next_report, turn = 0.0, 0.0, 0
        for number in range(self.requests):
            now += self.rng.expovariate(rate)
            while events and events[0][0] <= now:
                at, _, group, latency = heapq.heappop(events)
                in_flight[group] -= 1
                balancer.finish(group, now=at, latency=latency)
            if now >= next_report:
                reported = dict(in_flight)
                next_report = now + self.lag
            prefix = min(int(self.rng.paretovariate(1.1)), PREFIXES)
            group = self._choose(names, reported, balancer, prefix, turn, now)
            turn += 1
            in_flight[group] += 1
            balancer.start(group)
            service = self.rng.expovariate(1 / SERVICE_SECONDS)
            if prefix in cached[group]:
                self.hits += 1
                service *= 1 - HIT_SAVED_SHARE
                cached[group].remove(prefix)
            cached[group] = [prefix, *cached[group][: CACHED_PREFIXES - 1]]
            if self.straggler and group == "g0":
                service *= STRAGGLER_FACTOR
                self.straggler_requests += number > self.requests // 2
            begin = max(now, heapq.heappop(slots[group]))
            heapq.heappush(slots[group], begin + service)
            self.waits.append(begin - now)
            done = begin + service
            heapq.heappush(events, (done, number, group, done - now))
        ordered = sorted(self.waits[self.requests // 10 :])
        return (
            ordered[int(len(ordered) * 0.99)] / SERVICE_SECONDS,
            self.hits / self.requests,
            self.straggler_requests / (self.requests / 2) * self.groups,
        )

    def _choose(self, names, reported, balancer, prefix, turn, now) -> str:
        match self.policy:
            case "random":
                return self.rng.choice(names)
            case "round robin":
                return names[turn % len(names)]
            case "least reported":
                return min(names, key=lambda g: (reported[g], g))
            case "two choices":
                one, other = self.rng.sample(names, 2)
                return min(one, other, key=lambda g: reported[g])
        chosen = balancer.choose(names, now=now, limit=10_000, prefix=str(prefix))
        return chosen or owner_of(str(prefix), names) or names[0]


def run(*, smallest: bool) -> list[Report]:
    """Compare the policies by report interval, number of groups, and with a straggler.

    smallest: run few cases with few requests.
    """
    requests = 2_000 if smallest else 20_000
    lags = (0.5,) if smallest else (0.1, 0.5, 2.0)
    reports = [
        _report(f"8 groups, reports lag {lag} s", 8, lag, False, requests)
        for lag in lags
    ]
    reports.append(_report("8 groups, one 5 times slower", 8, 0.5, True, requests))
    if not smallest:
        reports.append(_report("3 groups", 3, 0.5, False, requests))
        reports.append(_report("60 groups", 60, 0.5, False, requests))
    return reports


def _report(title: str, groups: int, lag: float, straggler: bool, requests: int):
    rows = []
    for policy in POLICIES:
        trial = Trial(
            policy=policy,
            groups=groups,
            lag=lag,
            straggler=straggler,
            requests=requests,
            rng=random.Random(7),
        )
        rows.append((policy, *trial.run()))
    columns = (
        "policy",
        "p99 wait (service times)",
        "prefix hits",
        "straggler's load (fair = 1)",
    )
    return Report(title=title, columns=columns, rows=tuple(rows))
