"""Offer more than the groups can serve, and count what is useful."""

import heapq
import random
from dataclasses import dataclass

from bench.report import Report
from mallowpond.state.limits import FairQueue, ServiceTime, judge_wait
from mallowpond.state.quota import Chunk, chunk_size, grant
from mallowpond.state.retry import RetryBudget

PLACES = 64
SERVICE_SECONDS = 0.5
DEADLINE_SECONDS = 3.0
SECONDS = 60.0
LARGE_SHARE = 0.6
BACK_OFF_SECONDS = 1.0
MAX_TRIES = 4


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


def trial(policy: str, offered: float, seconds: float, lose_third: bool) -> Outcome:
    """Replay one offered load through one admission policy."""
    rng = random.Random(11)
    out = Outcome()
    queue, fifo = FairQueue(), []
    service, budget = ServiceTime(seconds=SERVICE_SECONDS), RetryBudget()
    events: list = []
    number = free = PLACES
    served, asked = [0] * 10, [0] * 10
    waiting: dict[int, tuple[float, int]] = {}
    rate = offered * PLACES / SERVICE_SECONDS

    def push(at, kind, data):
        nonlocal number
        number += 1
        heapq.heappush(events, (at, number, kind, data))

    at = 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        workspace = 0 if rng.random() < LARGE_SHARE else rng.randrange(1, 10)
        push(at, "ask", (workspace, 1, at + DEADLINE_SECONDS))
    if lose_third:
        push(seconds / 2, "lose", None)

    def begin(now, workspace, deadline):
        nonlocal free
        free -= 1
        out.sent += 1
        took = rng.expovariate(1 / SERVICE_SECONDS)
        push(now + took, "done", (workspace, deadline, took))

    places = PLACES
    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == "lose":
            places -= PLACES // 3
            free -= PLACES // 3
        elif kind == "ask":
            workspace, tries, deadline = data
            out.tries += 1
            if tries == 1:
                out.fresh += 1
                asked[workspace] += 1
                budget.note_fresh()
            if free > 0:
                begin(now, workspace, deadline)
                continue
            refused = False
            if policy == "ours":
                refused = judge_wait(
                    ahead=queue.ahead_of(str(workspace), 1.0),
                    places=places,
                    service_seconds=service.cautious,
                    remaining=deadline - now,
                )
            elif policy == "fixed limit":
                refused = len(fifo) >= PLACES
            if refused:
                out.refused += 1
                # Callers ask again; ours are told when, and the gateway's own retries
                # are held to their budget.
                may = policy != "ours" or budget.try_spend()
                if tries < MAX_TRIES and may:
                    again = now + BACK_OFF_SECONDS * rng.random()
                    push(again, "ask", (workspace, tries + 1, again + DEADLINE_SECONDS))
            elif policy == "ours":
                ticket = queue.push(
                    workspace=str(workspace), share=1.0, deadline=deadline
                )
                waiting[ticket.number] = (deadline, workspace)
            else:
                fifo.append((deadline, workspace))
        else:
            workspace, deadline, took = data
            free += 1
            service.note(took)
            if now <= deadline:
                out.useful += 1
                served[workspace] += 1
            else:
                out.late += 1
            while free > 0:
                if policy == "ours":
                    ticket = queue.pop()
                    if ticket is None:
                        break
                    deadline, workspace = waiting.pop(ticket.number)
                    if now + service.cautious > deadline:
                        out.refused += 1
                        continue
                elif fifo:
                    deadline, workspace = fifo.pop(0)
                else:
                    break
                begin(now, workspace, deadline)
    shares = [s / a for s, a in zip(served, asked, strict=True) if a][1:]
    out.worst_small = min(shares, default=1.0)
    return out


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
        out = trial(policy, offered, seconds, lose)
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
    for count in nodes:
        rng = random.Random(5)
        budget, leased, spent, forfeited, leases = 1_000_000, 0, 0, 0, 0
        chunks = [Chunk(period=1, units=0)] * count
        for step in range(200_000):
            node = rng.randrange(count)
            units = rng.randrange(1, 64)
            rest = chunks[node].spend(units)
            if rest is None:
                rate = 32 * 1000 / count
                wanted = chunk_size(budget=budget, recent_per_second=rate, needed=units)
                got = grant(budget=budget, leased=leased, wanted=wanted, needed=units)
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
            count,
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
