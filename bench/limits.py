"""Simulate overload and measure goodput, fairness and quota by admission policy."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from itertools import count

from bench.report import Report
from mallowpond.state.admission import FairQueue, ServiceTime, refuse_if_late
from mallowpond.state.quota import Chunk, chunk_size, grantable_units
from mallowpond.state.retry import RetryBudget

SLOTS = 64
SERVICE_SECONDS = 0.5
DEADLINE_SECONDS = 3.0
DURATION_SECONDS = 60.0
LARGE_SHARE = 0.6
BACKOFF_SECONDS = 1.0
MAX_ATTEMPTS = 4
WORKSPACES = 10


@dataclass(kw_only=True)
class Counts:
    """Counts of the requests of one trial by outcome.

    `useful` requests ended before their deadline, `late` ones after it.
    `worst_small_share` is the lowest useful share among the small workspaces.
    """

    useful: int = 0
    late: int = 0
    refused: int = 0
    sent: int = 0
    attempts: int = 0
    first_attempts: int = 0
    worst_small_share: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a request; `number` starts at 1."""

    workspace: int
    number: int
    deadline: float


@dataclass(frozen=True, kw_only=True)
class Served:
    """Event: the end of an attempt that was served for `seconds`."""

    attempt: Attempt
    seconds: float


@dataclass(frozen=True, kw_only=True)
class GroupLoss:
    """Event: a third of the slots is lost."""


@dataclass(kw_only=True)
class Trial:
    """Simulation of one offered load with one admission policy."""

    policy: str
    rng: random.Random
    slots: int = SLOTS
    free: int = SLOTS
    counts: Counts = field(default_factory=Counts)
    _queue: FairQueue = field(default_factory=FairQueue)
    _waiting: dict[int, Attempt] = field(default_factory=dict)
    _fifo: deque[Attempt] = field(default_factory=deque)
    _service: ServiceTime = field(
        default_factory=lambda: ServiceTime(seconds=SERVICE_SECONDS)
    )
    _budget: RetryBudget = field(default_factory=RetryBudget)
    _events: list = field(default_factory=list)
    _sequence: count = field(default_factory=count)
    _offered: list[int] = field(default_factory=lambda: [0] * WORKSPACES)
    _served: list[int] = field(default_factory=lambda: [0] * WORKSPACES)

    def run(self, offered: float, seconds: float, lose_third: bool) -> Counts:
        """Offer a multiple of the capacity and return the counts."""
        self._draw_arrivals(offered * SLOTS / SERVICE_SECONDS, seconds)
        if lose_third:
            self._push(seconds / 2, GroupLoss())
        while self._events:
            now, _, event = heapq.heappop(self._events)
            match event:
                case GroupLoss():
                    self.slots -= SLOTS // 3
                    self.free -= SLOTS // 3
                case Attempt():
                    self._admit(event, now)
                case Served():
                    self._finish(event, now)
        shares = [s / a for s, a in zip(self._served, self._offered, strict=True) if a]
        self.counts.worst_small_share = min(shares[1:], default=1.0)
        return self.counts

    def _draw_arrivals(self, rate: float, seconds: float) -> None:
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(rate)
            is_large = self.rng.random() < LARGE_SHARE
            workspace = 0 if is_large else self.rng.randrange(1, WORKSPACES)
            deadline = at + DEADLINE_SECONDS
            self._push(at, Attempt(workspace=workspace, number=1, deadline=deadline))

    def _push(self, at: float, event: Attempt | Served | GroupLoss) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), event))

    def _admit(self, attempt: Attempt, now: float) -> None:
        self.counts.attempts += 1
        if attempt.number == 1:
            self.counts.first_attempts += 1
            self._offered[attempt.workspace] += 1
            self._budget.record_request()
        if self.free > 0:
            self._send(attempt, now)
        elif self._is_refused(attempt, now):
            self._refuse(attempt, now)
        else:
            self._wait(attempt)

    def _is_refused(self, attempt: Attempt, now: float) -> bool:
        match self.policy:
            case "ours":
                refused = refuse_if_late(
                    ahead=self._queue.ahead_of(str(attempt.workspace), 1.0),
                    slots=self.slots,
                    service_seconds=self._service.upper_bound,
                    remaining=attempt.deadline - now,
                )
                return refused is not None
            case "fixed limit":
                return len(self._fifo) >= SLOTS
        return False

    def _refuse(self, attempt: Attempt, now: float) -> None:
        self.counts.refused += 1
        # Only the policy "ours" limits retries to a budget.
        may_retry = self.policy != "ours" or self._budget.try_spend()
        if attempt.number < MAX_ATTEMPTS and may_retry:
            at = now + BACKOFF_SECONDS * self.rng.random()
            deadline = at + DEADLINE_SECONDS
            self._push(
                at, replace(attempt, number=attempt.number + 1, deadline=deadline)
            )

    def _wait(self, attempt: Attempt) -> None:
        if self.policy != "ours":
            self._fifo.append(attempt)
            return
        ticket = self._queue.push(
            workspace=str(attempt.workspace), share=1.0, deadline=attempt.deadline
        )
        self._waiting[ticket.number] = attempt

    def _send(self, attempt: Attempt, now: float) -> None:
        self.free -= 1
        self.counts.sent += 1
        seconds = self.rng.expovariate(1 / SERVICE_SECONDS)
        self._push(now + seconds, Served(attempt=attempt, seconds=seconds))

    def _finish(self, served: Served, now: float) -> None:
        self.free += 1
        self._service.record(served.seconds)
        if now <= served.attempt.deadline:
            self.counts.useful += 1
            self._served[served.attempt.workspace] += 1
        else:
            self.counts.late += 1
        while self.free > 0:
            attempt = self._next()
            if attempt is None:
                return
            if (
                self.policy == "ours"
                and now + self._service.upper_bound > attempt.deadline
            ):
                self.counts.refused += 1
            else:
                self._send(attempt, now)

    def _next(self) -> Attempt | None:
        if self.policy != "ours":
            return self._fifo.popleft() if self._fifo else None
        ticket = self._queue.pop()
        return None if ticket is None else self._waiting.pop(ticket.number)


def run(*, smallest: bool) -> list[Report]:
    """Measure goodput and fairness by policy, and the overshoot of quotas."""
    seconds = 5.0 if smallest else DURATION_SECONDS
    loads = (2.0,) if smallest else (0.5, 1.0, 2.0, 5.0)
    reports = [_goodput(f"Offered {x} of capacity", x, seconds, False) for x in loads]
    reports.append(_goodput("Offered 0.9, a third of groups lost", 0.9, seconds, True))
    reports.append(_quota((7,) if smallest else (7, 380)))
    return reports


def _goodput(title: str, offered: float, seconds: float, lose: bool) -> Report:
    rows = []
    for policy in ("no limit", "fixed limit", "ours"):
        trial = Trial(policy=policy, rng=random.Random(11))
        counts = trial.run(offered, seconds, lose)
        capacity = SLOTS / SERVICE_SECONDS * seconds
        row = (
            policy,
            counts.useful / capacity,
            counts.late / max(1, counts.sent),
            counts.refused / max(1, counts.attempts),
            counts.attempts / max(1, counts.first_attempts) - 1,
            counts.worst_small_share,
        )
        rows.append(row)
    columns = (
        "policy",
        "goodput (of capacity)",
        "late of sent",
        "refused of tries",
        "retries per fresh",
        "worst small workspace served",
    )
    return Report(title=title, columns=columns, rows=tuple(rows))


def _quota(nodes: tuple[int, ...]) -> Report:
    """Spend a budget through leased chunks; a node crashes every 10,000 steps."""
    rows = []
    for size in nodes:
        rng = random.Random(5)
        budget, leased, spent, forfeited, leases = 1_000_000, 0, 0, 0, 0
        chunks = [Chunk(period=1, units=0)] * size
        for step in range(200_000):
            node = rng.randrange(size)
            units = rng.randrange(1, 64)
            rest = chunks[node].spend(units)
            if rest is None:
                rate = 32 * 1000 / size
                wanted = chunk_size(budget=budget, recent_per_second=rate, needed=units)
                got = grantable_units(
                    budget=budget, leased=leased, wanted=wanted, needed=units
                )
                if got is None:
                    break
                leased, leases = leased + got, leases + 1
                rest = Chunk(period=1, units=chunks[node].units + got).spend(units)
            chunks[node] = rest or chunks[node]
            spent += units
            if step % 10_000 == 9_999:
                forfeited += chunks[node].units
                chunks[node] = Chunk(period=1, units=0)
        row = (
            size,
            spent / budget,
            max(0, spent - budget),
            forfeited / budget,
            leases,
        )
        rows.append(row)
    columns = (
        "nodes",
        "spent of budget",
        "overshoot (units)",
        "forfeited by crashes",
        "leases",
    )
    return Report(
        title="A budget of a million units", columns=columns, rows=tuple(rows)
    )
