"""Measure the operations of the placement queue, sorted at each grant or in bands."""

import random
from collections.abc import Callable
from itertools import islice
from time import perf_counter

from bench.report import Report
from mallowpond.state.placement_queue import PlacementQueue, QueueEntry
from mallowpond.state.tests.sorted_queue import SortedQueue

WAITING = 5_000
WORKSPACES = 24
# Requests that the dispatcher tries for one free slot.
TRIED = 4
Queue = PlacementQueue | SortedQueue


def _entry(rng: random.Random, now: float, workspaces: int) -> QueueEntry:
    workspace = f"w{rng.randrange(workspaces)}" if workspaces else ""
    return QueueEntry(
        priority=rng.randrange(2),
        objective_deadline=now + rng.uniform(0.2, 1.0),
        queued_at=now,
        deadline=now + 5.0,
        has_begun=rng.random() < 0.02,
        workspace=workspace,
        tokens=rng.uniform(100.0, 2_000.0),
        has_place=bool(workspaces) and rng.random() < 0.1,
    )


def _fill(queue: Queue, waiting: int, workspaces: int) -> dict[int, QueueEntry]:
    """Add streams over 4.8 s, so that all states occur."""
    rng = random.Random(3)
    entries = {}
    for number in range(waiting):
        now = 4.8 * number / waiting
        entries[number] = _entry(rng, now, workspaces)
        queue.add(number, entries[number])
    return entries


def _steps(
    queue: Queue, entries: dict[int, QueueEntry], workspaces: int
) -> dict[str, Callable[[int, float], None]]:
    """Return the measured operations; each takes a new number and the time."""
    rng = random.Random(5)

    def grant(number: int, now: float) -> None:
        for asker in queue.expired(now):
            queue.discard(asker)
        first = next(islice(queue.in_order(now), TRIED))
        queue.record_grant(entries[first])
        queue.discard(first)

    def add(number: int, now: float) -> None:
        queue.add(number, entries[number])

    for number in range(len(entries), 2 * len(entries)):
        entries[number] = _entry(rng, 4.8, workspaces)
    return {
        "has_entry_ahead_of": lambda n, now: queue.has_entry_ahead_of(entries[n], now),
        "ahead_of": lambda n, now: queue.ahead_of(entries[n]),
        "add": add,
        "position_of": lambda n, now: queue.position_of(n, now),
        "next and grant": grant,
        "next of 4": lambda n, now: list(islice(queue.in_order(now), TRIED)),
        "discard": lambda n, now: queue.discard(n - 1),
    }


def _measure(queue: Queue, waiting: int, workspaces: int) -> dict[str, float]:
    """Return the mean microseconds of each operation on a full queue."""
    entries = _fill(queue, waiting, workspaces)
    steps = _steps(queue, entries, workspaces)
    seconds = dict.fromkeys(steps, 0.0)
    rounds = 20 if isinstance(queue, SortedQueue) else 400
    for index in range(rounds):
        number = waiting + index
        now = 4.8 + 1e-4 * index
        for name, step in steps.items():
            start = perf_counter()
            step(number, now)
            seconds[name] += perf_counter() - start
    start = perf_counter()
    list(queue.in_order(now))
    whole = {"whole order": (perf_counter() - start) * 1e6}
    return {name: s / rounds * 1e6 for name, s in seconds.items()} | whole


def run(*, smallest: bool) -> list[Report]:
    """Measure both queues in one run, the new one also without workspaces."""
    waiting = 200 if smallest else WAITING
    sorted_each_time = _measure(SortedQueue(), waiting, 0)
    without = _measure(PlacementQueue(), waiting, 0)
    with_workspaces = _measure(PlacementQueue(), waiting, WORKSPACES)
    rows = tuple(
        (name, sorted_each_time[name], without[name], with_workspaces[name])
        for name in without
    )
    columns = ("us", "sorted", "bands", f"bands, {WORKSPACES} workspaces")
    return [
        Report(title=f"Queue of {waiting} streams", columns=columns, rows=rows),
    ]
