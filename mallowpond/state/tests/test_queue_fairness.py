"""The order of the placement queue: as before without workspaces, fair with them."""

import random
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.state.placement_queue import PlacementQueue, QueueEntry, WaitState
from mallowpond.state.tests.sorted_queue import SortedQueue

# Steps of a queue without workspaces. Times are sums of tenths, which are not exact as
# floating-point numbers, so that deadlines and clock meet with rounding errors.
TENTHS = st.integers(0, 40)
ADD = st.tuples(
    st.just("add"), st.integers(0, 2), TENTHS, st.integers(1, 60), st.booleans()
)
DISCARD = st.tuples(st.just("discard"), st.integers(0, 30))
GRANT = st.tuples(st.just("grant"))
CLOCK = st.tuples(st.just("clock"), st.integers(1, 15))


@settings(max_examples=400, deadline=None)
@given(st.lists(st.one_of(ADD, ADD, DISCARD, GRANT, CLOCK), max_size=60))
def test_without_workspaces_the_order_is_that_of_the_sorted_queue(steps):
    """Guard against another order in the deployments without contested slots."""
    queue, reference = PlacementQueue(), SortedQueue()
    now = 0.0
    for asker, step in enumerate(steps):
        match step:
            case ("add", priority, on_time, patience, has_begun):
                entry = QueueEntry(
                    priority=priority,
                    objective_deadline=now + on_time / 10,
                    queued_at=now,
                    deadline=now + patience / 10,
                    has_begun=has_begun,
                )
                expected = reference.has_entry_ahead_of(entry, now)
                assert queue.has_entry_ahead_of(entry, now) == expected
                assert queue.ahead_of(entry) == reference.ahead_of(entry)
                queue.record_arrival(entry, now)
                queue.add(asker, entry)
                reference.add(asker, entry)
                queue.add(asker, replace(entry, priority=0))
            case ("discard", number):
                queue.discard(number)
                reference.discard(number)
            case ("grant",):
                first = next(reference.in_order(now), None)
                if first is not None:
                    queue.record_grant(reference.entry_of(first))
                    queue.discard(first)
                    reference.discard(first)
            case ("clock", tenths):
                now += tenths / 10
        order = list(reference.in_order(now))
        assert list(queue.in_order(now)) == order
        assert [queue.position_of(a, now) for a in order] == list(range(len(order)))
        assert queue.expired(now) == reference.expired(now)
        assert len(queue) == len(reference)


def entry_at(now, workspace="", **more):
    """Return an entry that is on time for a second and waits for five."""
    values = {
        "priority": 1,
        "objective_deadline": now + 1.0,
        "queued_at": now,
        "deadline": now + 5.0,
        "workspace": workspace,
        "tokens": 100.0,
    }
    return QueueEntry(**{**values, **more})


def grant_first(queue, entries, now):
    """Grant a slot to the first stream and return its entry, None if none waits."""
    asker = next(queue.in_order(now), None)
    if asker is None:
        return None
    queue.record_grant(entries[asker])
    queue.discard(asker)
    return entries[asker]


LOADS = st.lists(st.integers(1, 12), min_size=2, max_size=5)


@settings(max_examples=25, deadline=None)
@given(LOADS, st.integers(0, 1_000_000), st.sampled_from((0.2, 1.0)), st.integers(3, 8))
def test_no_workspace_is_starved_and_no_slot_withheld(loads, seed, on_time, slots):
    """Guard against a workspace that gets less than half of its equal share.

    Workspace i adds `loads[i]` streams in a tick of 0.1 s, and `slots` of all are
    granted. In each ten seconds, each one that asked for at least half of an equal
    share gets that, less the streams that may be ahead at either end.
    """
    rng = random.Random(seed)
    queue, entries = PlacementQueue(), {}
    granted, asked = [], []
    for tick in range(150):
        now = tick / 10
        for asker in queue.expired(now):
            queue.discard(asker)
        arrivals = [w for w, load in enumerate(loads) for _ in range(load)]
        rng.shuffle(arrivals)
        for workspace in arrivals:
            asker = len(entries)
            tokens = rng.choice((50.0, 100.0, 200.0))
            entries[asker] = entry_at(
                now,
                f"w{workspace}",
                objective_deadline=now + on_time,
                tokens=tokens,
            )
            queue.record_arrival(entries[asker], now)
            queue.add(asker, entries[asker])
        served = Counter()
        waiting = len(queue)
        for count in range(slots):
            entry = grant_first(queue, entries, now)
            assert (entry is None) == (count >= waiting)
            if entry is not None:
                served[entry.workspace] += entry.tokens
        granted.append(served)
        asked.append(loads)
    for start in range(0, 51, 25):
        window = sum(granted[start : start + 100], Counter())
        share = sum(window.values()) / len(loads)
        for workspace, load in enumerate(loads):
            # At least 50 tokens a stream were asked for.
            wanted = min(share, 100 * load * 50.0)
            assert window[f"w{workspace}"] >= wanted / 2 - 6 * 200.0


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.integers(1, 300), min_size=8, max_size=120),
    st.lists(st.integers(1, 300), min_size=8, max_size=120),
)
def test_the_lead_over_a_workspace_that_waits_is_at_most_the_largest_request(a, b):
    """Guard against grants that favour one of two workspaces without a bound."""
    queue, entries = PlacementQueue(), {}
    for workspace, requests in (("a", a), ("b", b)):
        for tokens in requests:
            entries[len(entries)] = entry_at(0.0, workspace, tokens=float(tokens))
            queue.add(len(entries) - 1, entries[len(entries) - 1])
    received, left = Counter(), Counter(a=len(a), b=len(b))
    while left["a"] and left["b"]:
        entry = grant_first(queue, entries, 0.0)
        received[entry.workspace] += entry.tokens
        left[entry.workspace] -= 1
        assert abs(received["a"] - received["b"]) <= max(*a, *b)


def test_idle_time_builds_up_no_credit():
    """Guard against a workspace that is idle and then takes all slots."""
    queue, entries = PlacementQueue(), {}
    for asker in range(300):
        entries[asker] = entry_at(0.0, "busy")
        queue.add(asker, entries[asker])
    for _ in range(100):
        grant_first(queue, entries, 0.0)
    for asker in range(300, 500):
        entries[asker] = entry_at(0.0, "idle")
        queue.add(asker, entries[asker])
    served = Counter(grant_first(queue, entries, 0.0).workspace for _ in range(100))
    assert abs(served["busy"] - served["idle"]) <= 1


def test_grants_without_contest_build_up_no_debt():
    """Guard against a workspace that waits for what it received while slots were free.

    Grants at once count as service, but an idle workspace is raised by the next one.
    """
    queue, entries = PlacementQueue(), {}
    for number in range(1_000):
        queue.record_grant(entry_at(0.0, "small" if number % 100 == 0 else "large"))
    for asker in range(200):
        entries[asker] = entry_at(0.0, ("small", "large")[asker % 2])
        queue.add(asker, entries[asker])
    served = Counter(grant_first(queue, entries, 0.0).workspace for _ in range(100))
    assert served["large"] >= 40


def test_a_workspace_that_fills_the_queue_does_not_delay_another_one():
    """Guard against a burst whose aged streams go before all others' new ones."""
    for age in (0.0, 2.0, 4.0):
        queue, entries = PlacementQueue(), {}
        for asker in range(2_000):
            entries[asker] = entry_at(0.0, "large")
            queue.add(asker, entries[asker])
        for _ in range(50):
            grant_first(queue, entries, age)
        for asker in range(2_000, 2_005):
            entries[asker] = entry_at(age, "small")
            queue.add(asker, entries[asker])
        served = [grant_first(queue, entries, age).workspace for _ in range(20)]
        assert served.count("small") == 5, age


def test_urgent_streams_go_first_whatever_their_workspace_received():
    queue = PlacementQueue()
    for _ in range(50):
        queue.record_grant(entry_at(0.0, "large", priority=0))
    queue.add("new", entry_at(0.0, "small"))
    queue.add("urgent", entry_at(0.0, "large", priority=0))
    queue.add("begun", entry_at(0.0, "large", priority=2, has_begun=True))
    assert list(queue.in_order(0.0)) == ["begun", "urgent", "new"]


def test_a_kept_place_goes_before_new_streams_of_its_state_and_urgency():
    """Guard against callers that honour their return time and lose to new ones."""
    queue = PlacementQueue()
    kept = entry_at(0.0, "a", has_place=True)
    queue.add("urgent", entry_at(0.0, "b", priority=0))
    queue.add("kept", kept)
    queue.add("new", entry_at(0.0, "b"))
    queue.add("newest", entry_at(0.0, "a"))
    assert list(queue.in_order(0.0))[:2] == ["urgent", "kept"]
    assert queue.position_of("kept", 0.0) == 1
    # Without workspaces too.
    queue = PlacementQueue()
    queue.add("kept", replace(kept, workspace=""))
    queue.add("new", entry_at(0.0))
    assert list(queue.in_order(0.0)) == ["kept", "new"]
    assert queue.has_entry_ahead_of(entry_at(0.0), 0.0)


def test_kept_places_give_no_unbounded_lead():
    """Guard against a workspace that is refused often and so holds most places."""
    queue, entries = PlacementQueue(), {}
    for asker in range(400):
        is_large = asker < 300
        entries[asker] = entry_at(
            0.0, "large" if is_large else "small", has_place=is_large
        )
        queue.add(asker, entries[asker])
    served = Counter(grant_first(queue, entries, 0.0).workspace for _ in range(100))
    assert served["small"] >= 45


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 1), st.sampled_from((0.5, 1.0))),
        min_size=1,
        max_size=60,
    ),
    st.integers(0, 30),
)
def test_positions_of_requests_of_equal_size_are_those_of_the_order(streams, grants):
    """Guard against an admission by a position that the stream does not have."""
    queue, entries = PlacementQueue(), {}
    for asker, (workspace, priority, on_time) in enumerate(streams):
        entries[asker] = entry_at(
            0.0, f"w{workspace}", priority=priority, objective_deadline=on_time
        )
        queue.add(asker, entries[asker])
    for _ in range(min(grants, len(streams) - 1)):
        grant_first(queue, entries, 0.0)
    order = list(queue.in_order(0.0))
    assert [queue.position_of(asker, 0.0) for asker in order] == list(range(len(order)))
    # Whoever is first has nobody ahead; a new stream does not change the queue.
    assert queue.has_entry_ahead_of(entry_at(0.0, "w0", priority=2), 0.0)
    assert list(queue.in_order(0.0)) == order


def replay(queue, seconds=5.0, slots_per_second=160, seed=1):
    """Return the shares on time and served at all, by workspace.

    24 workspaces send 1.5 times as many streams as get slots; the first one sends ten
    times as many as each of the others.
    """
    rng = random.Random(seed)
    entries, asked = {}, Counter()
    on_time, served = Counter(), Counter()
    rate = 1.5 * slots_per_second
    tick = 1.0 / slots_per_second
    now = 0.0
    next_arrival = rng.expovariate(rate)
    while now < seconds or len(queue):
        now += tick
        while next_arrival <= min(now, seconds):
            workspace = rng.choices(range(24), [10] + [1] * 23)[0]
            asker = len(entries)
            entries[asker] = entry_at(
                next_arrival,
                f"w{workspace}",
                objective_deadline=next_arrival + 0.25,
                deadline=next_arrival + 2.0,
            )
            asked[workspace] += 1
            queue.record_arrival(entries[asker], next_arrival)
            queue.add(asker, entries[asker])
            next_arrival += rng.expovariate(rate)
        for asker in queue.expired(now):
            queue.discard(asker)
        entry = grant_first(queue, entries, now)
        if entry is not None:
            workspace = int(entry.workspace[1:])
            served[workspace] += 1
            on_time[workspace] += entry.state(now) is WaitState.ON_TIME
    return (
        [on_time[w] / asked[w] for w in range(24)],
        [served[w] / asked[w] for w in range(24)],
    )


def test_a_burst_of_one_workspace_leaves_the_others_on_time():
    """Guard against a burst that makes the streams of all workspaces late.

    Compared with the order that knows no workspaces on the same arrivals.
    """
    before_on_time, before_served = replay(SortedQueue())
    on_time, served = replay(PlacementQueue())
    assert min(served[1:]) > min(before_served[1:])
    assert sum(on_time[1:]) > sum(before_on_time[1:])
    assert min(served[1:]) >= 0.95
    assert served[0] >= 0.25


def test_a_lasting_excess_of_one_workspace_is_served_by_a_quarter_of_the_mean():
    """Guard against equal shares that serve almost nothing of a large workspace.

    With equal weights it had 0.15 of its streams served, and all together 0.72. The
    others must keep their share all the same.
    """
    _, served = replay(PlacementQueue(), seconds=20.0)
    mean = (10 * served[0] + sum(served[1:])) / 33
    assert served[0] >= mean / 4
    assert min(served[1:]) >= mean
