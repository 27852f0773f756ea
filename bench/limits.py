"""Offer more than the groups can serve, and count what is useful."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from itertools import count

from bench.report import Report
from mallowpond.state.admission import FairQueue, ServiceTime, refuse_if_late
from mallowpond.state.quota import Chunk, chunk_size, grantable_units
from mallowpond.state.retry import RetryBudget

PLACES = 64
SERVICE_SECONDS = 0.5
DEADLINE_SECONDS = 3.0
SECONDS = 60.0
LARGE_SHARE = 0.6
BACK_OFF_SECONDS = 1.0
MAX_TRIES = 4
WORKSPACES = 10


@dataclass(kw_only=True)
class Outcome:
    """Count what became of the requests of one trial."""

    useful: int = 0
    late: int = 0
    refused: int = 0
    sent: int = 0
    tries: int = 0
    fresh: int = 0
    worst_small: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Ask:
    """Hold one try of one request."""

    workspace: int
    tries: int
    deadline: float


@dataclass(frozen=True, kw_only=True)
class Served:
    """Hold a request that was sent and how long it took."""

    ask: Ask
    took: float


@dataclass(frozen=True, kw_only=True)
class LoseGroups:
    """Take a third of the places away."""


@dataclass(kw_only=True)
class Trial:
    """Replay one offered load through one admission policy."""

    policy: str
    rng: random.Random
    slots: int = PLACES
    free: int = PLACES
    out: Outcome = field(default_factory=Outcome)
    _queue: FairQueue = field(default_factory=FairQueue)
    _waiting: dict[int, Ask] = field(default_factory=dict)
    _fifo: deque[Ask] = field(default_factory=deque)
    _service: ServiceTime = field(
        default_factory=lambda: ServiceTime(seconds=SERVICE_SECONDS)
    )
    _budget: RetryBudget = field(default_factory=RetryBudget)
    _events: list = field(default_factory=list)
    _numbers: count = field(default_factory=count)
    _asked: list[int] = field(default_factory=lambda: [0] * WORKSPACES)
    _served: list[int] = field(default_factory=lambda: [0] * WORKSPACES)

    def run(self, offered: float, seconds: float, lose_third: bool) -> Outcome:
        """Offer a multiple of the capacity and return what became of it."""
        self._draw_arrivals(offered * PLACES / SERVICE_SECONDS, seconds)
        if lose_third:
            self._push(seconds / 2, LoseGroups())
        while self._events:
            now, _, event = heapq.heappop(self._events)
            match event:
                case LoseGroups():
                    self.slots -= PLACES // 3
                    self.free -= PLACES // 3
                case Ask():
                    self._take_in(event, now)
                case Served():
                    self._end(event, now)
        shares = [s / a for s, a in zip(self._served, self._asked, strict=True) if a]
        self.out.worst_small = min(shares[1:], default=1.0)
        return self.out

    def _draw_arrivals(self, rate: float, seconds: float) -> None:
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(rate)
            is_large = self.rng.random() < LARGE_SHARE
            workspace = 0 if is_large else self.rng.randrange(1, WORKSPACES)
            deadline = at + DEADLINE_SECONDS
            self._push(at, Ask(workspace=workspace, tries=1, deadline=deadline))

    def _push(self, at: float, event: Ask | Served | LoseGroups) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _take_in(self, ask: Ask, now: float) -> None:
        self.out.tries += 1
        if ask.tries == 1:
            self.out.fresh += 1
            self._asked[ask.workspace] += 1
            self._budget.record_request()
        if self.free > 0:
            self._send(ask, now)
        elif self._is_refused(ask, now):
            self._refuse(ask, now)
        else:
            self._wait(ask)

    def _is_refused(self, ask: Ask, now: float) -> bool:
        match self.policy:
            case "ours":
                refused = refuse_if_late(
                    ahead=self._queue.ahead_of(str(ask.workspace), 1.0),
                    slots=self.slots,
                    service_seconds=self._service.upper_bound,
                    remaining=ask.deadline - now,
                )
                return refused is not None
            case "fixed limit":
                return len(self._fifo) >= PLACES
        return False

    def _refuse(self, ask: Ask, now: float) -> None:
        self.out.refused += 1
        # Retries of ours are held to their budget; the baselines' callers just retry.
        may_retry = self.policy != "ours" or self._budget.try_spend()
        if ask.tries < MAX_TRIES and may_retry:
            at = now + BACK_OFF_SECONDS * self.rng.random()
            deadline = at + DEADLINE_SECONDS
            self._push(at, replace(ask, tries=ask.tries + 1, deadline=deadline))

    def _wait(self, ask: Ask) -> None:
        if self.policy != "ours":
            self._fifo.append(ask)
            return
        ticket = self._queue.push(
            workspace=str(ask.workspace), share=1.0, deadline=ask.deadline
        )
        self._waiting[ticket.number] = ask

    def _send(self, ask: Ask, now: float) -> None:
        self.free -= 1
        self.out.sent += 1
        took = self.rng.expovariate(1 / SERVICE_SECONDS)
        self._push(now + took, Served(ask=ask, took=took))

    def _end(self, served: Served, now: float) -> None:
        self.free += 1
        self._service.record(served.took)
        if now <= served.ask.deadline:
            self.out.useful += 1
            self._served[served.ask.workspace] += 1
        else:
            self.out.late += 1
        while self.free > 0:
            ask = self._next()
            if ask is None:
                return
            if self.policy == "ours" and now + self._service.upper_bound > ask.deadline:
                self.out.refused += 1
            else:
                self._send(ask, now)

    def _next(self) -> Ask | None:
        if self.policy != "ours":
            return self._fifo.popleft() if self._fifo else None
        ticket = self._queue.pop()
        return None if ticket is None else self._waiting.pop(ticket.number)


def run(*, smallest: bool) -> list[Report]:
    """Measure goodput and fairness by policy, and quota overshoot."""
    seconds = 5.0 if smallest else SECONDS
    loads = (2.0,) if smallest else (0.5, 1.0, 2.0, 5.0)
    reports = [_goodput(f"Offered {x} of capacity", x, seconds, False) for x in loads]
    reports.append(_goodput("Offered 0.9, a third of groups lost", 0.9, seconds, True))
    reports.append(_quota((7,) if smallest else (7, 380)))
    return reports


def _goodput(title: str, offered: float, seconds: float, lose: bool) -> Report:
    rows = []
    for policy in ("no limit", "fixed limit", "ours"):
        trial = Trial(policy=policy, rng=random.Random(11))
        out = trial.run(offered, seconds, lose)
        capacity = PLACES / SERVICE_SECONDS * seconds
        row = (
            policy,
            out.useful / capacity,
            out.late / max(1, out.sent),
            out.refused / max(1, out.tries),
            out.tries / max(1, out.fresh) - 1,
            out.worst_small,
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
    """Spend a budget through chunks on many nodes; a tenth of them crash."""
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
