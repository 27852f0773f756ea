"""How the dispatcher learns that groups are slow, and uses them again."""

from collections import Counter
from dataclasses import dataclass, field

import cbor2
import pytest
from structlog.testing import capture_logs

from mallowpond.node.dispatcher import LATE_WAIT_SECONDS, RequestId
from mallowpond.node.group_loads import GroupLoads
from mallowpond.node.group_selector import SlotRequest
from mallowpond.node.messages import (
    LoadColumns,
    PlaceVerdict,
    Work,
    decode_loads,
    decode_paces,
    encode_loads,
    read_message,
)
from mallowpond.node.messages import write_message as encode
from mallowpond.node.tests.fakes import MODEL, PROFILE, FakeClock
from mallowpond.node.tests.test_dispatcher import two_hosts
from mallowpond.state.placement import pass_seconds
from mallowpond.state.placement_queue import QueueEntry

GROUPS = tuple("abcdefghij")
SLOW_GROUPS = frozenset("abcd")
SLOW_FROM, SLOW_UNTIL, END = 2.0, 11.0, 20.0
STEP = 0.025
HOSTS = 8
OTHER = ("b", 1)
GAP_OBJECTIVE = 0.2


@dataclass
class Stream:
    """A stream of a host on a group, with its remaining events."""

    host: int
    key: tuple
    next_event: float
    sent_at: float
    last_at: float | None = None
    left: int = 14


@dataclass
class Replay:
    """Hosts that get slots from one dispatcher while groups are slow."""

    site: object
    shares: bool
    lost: int = 0
    streams: list = field(default_factory=list)
    grants: list = field(default_factory=list)

    def __post_init__(self):
        self.clock = self.site.rig_a.clock
        self.begin = self.clock.time
        self.loads = [GroupLoads(clock=self.clock) for _ in range(HOSTS)]
        self.granted = Counter()
        self.reports = self.asked = 0

    @property
    def time(self):
        """Return the seconds since the replay began."""
        return self.clock.time - self.begin

    def pace(self, key):
        """Return the real slowness of a group now."""
        is_slow = key[0] in SLOW_GROUPS and SLOW_FROM <= self.time < SLOW_UNTIL
        return 12.0 if is_slow else 1.0

    def ask(self):
        """Ask the dispatcher for a slot for the next stream."""
        self.asked += 1
        number = self.asked
        host, now = number % HOSTS, self.clock.time
        entry = QueueEntry(
            priority=1 + number % 2,
            objective_deadline=now + 0.1,
            queued_at=now,
            deadline=now + 1.0,
        )
        request = SlotRequest(
            service="engines",
            profile=PROFILE,
            model=MODEL,
            prompt_tokens=100.0,
            objective=0.25,
            gap_objective=GAP_OBJECTIVE,
        )
        asker = RequestId(node=f"h{host}", number=number)
        answer = self.site.dispatcher.request_slot(asker, request, entry)
        if answer.verdict is PlaceVerdict.GRANTED:
            self.start(host, answer.group)

    def start(self, host, name):
        """Start a granted stream."""
        key, now = (name, 1), self.clock.time
        self.grants.append((self.time, name))
        self.granted[host] += 1
        self.loads[host].work(key).running += 1
        first = now + 0.1 * self.pace(key)
        self.streams.append(Stream(host, key, first, now))

    def step(self):
        """Deliver due events, and report the hosts' loads."""
        self.clock.time += STEP
        # The lists of the two hosts have clocks of their own.
        self.site.rig_b.directory._clock.time = self.clock.time
        for stream in list(self.streams):
            if stream.next_event > self.clock.time:
                continue
            self._deliver(stream)
        for host, loads in enumerate(self.loads):
            self.reports += 1
            if self.lost and self.reports % self.lost:
                continue
            paces = loads.own_paces() if self.shares else {}
            work = Work(node=f"h{host}", loads=encode_loads(loads.own_loads(), paces))
            work = read_message(encode(work))
            known = self.site.rig_b.directory.loads
            count = self.granted[host]
            known.record_peer_loads(work.node, decode_loads(work), count)
            known.record_peer_paces(work.node, decode_paces(work))
            published = known.all_paces([(group, 1) for group in GROUPS])
            loads.paces.record_published(published, self.clock.time)
        self.site.dispatcher.wake()
        answers, self.site.network_b.sent = self.site.network_b.sent, []
        for answer in answers:
            if answer.verdict is PlaceVerdict.GRANTED:
                self.start(answer.number % HOSTS, answer.group)

    def _deliver(self, stream):
        loads, now = self.loads[stream.host], self.clock.time
        work = loads.work(stream.key)
        load = loads.load(stream.key)
        if stream.last_at is not None:
            predicted = pass_seconds(PROFILE, MODEL, load)
            loads.record_gap(stream.key, now - stream.last_at, predicted)
        work.last_event_at = stream.last_at = now
        stream.left -= 1
        stream.next_event = now + 0.0420001 * self.pace(stream.key)
        gap = pass_seconds(PROFILE, MODEL, loads.load(stream.key))
        is_moved = stream.left < 13 and gap > GAP_OBJECTIVE
        if not stream.left or is_moved:
            self.streams.remove(stream)
            work.running -= 1
        if is_moved:
            self.ask()


async def replay(*, shares, lost=0, is_contested=False):
    """Replay two in five groups that turn 12 times slow for 9 s."""
    site = await two_hosts(*GROUPS, is_contested=is_contested)
    run = Replay(site, shares, lost)
    while run.time < END:
        for _ in range(4):
            run.step()
            run.ask()
        run.step()
    return run


def to_slow(run, begin, end):
    """Return the share of grants between two times that went to the slow groups."""
    names = [name for at, name in run.grants if begin <= at < end]
    return sum(name in SLOW_GROUPS for name in names) / len(names)


@pytest.mark.parametrize("is_contested", [False, True])
async def test_streams_avoid_slow_groups_and_return_within_two_seconds(is_contested):
    """Guard against late streams as the dispatcher has none of its own to learn from.

    Two in five groups turn 12 times slow for 9 s.
    """
    alone = await replay(shares=False, is_contested=is_contested)
    shared = await replay(shares=True, is_contested=is_contested)
    assert to_slow(alone, SLOW_FROM + 1.0, SLOW_UNTIL) > 0.15
    assert to_slow(shared, SLOW_FROM + 1.0, SLOW_UNTIL) < 0.07
    for name in SLOW_GROUPS:
        later = [at for at, n in shared.grants if n == name and at > SLOW_UNTIL]
        assert min(later) < SLOW_UNTIL + 2.0
    # Once they have recovered, they get their part again.
    assert to_slow(shared, SLOW_UNTIL + 2.0, END) > 0.25


async def test_lost_reports_delay_what_the_dispatcher_learns_but_no_more():
    """Guard against slow groups that fill up again as one report of two is lost."""
    shared = await replay(shares=True, lost=2)
    assert to_slow(shared, SLOW_FROM + 1.5, SLOW_UNTIL) < 0.1
    assert to_slow(shared, SLOW_UNTIL + 2.0, END) > 0.2


async def slow_group(*groups, is_contested=False):
    """Return two hosts, and a report by a third that group `a` is slow."""
    site = await two_hosts(*groups, is_contested=is_contested)
    site.rig_b.directory.loads.record_peer_paces("c", {("a", 1): (12.0, 2)})
    return site


def question(site, number=1):
    """Return a question for a slot and its place in the queue."""
    now = site.rig_a.clock.time
    request = SlotRequest(
        service="engines",
        profile=PROFILE,
        model=MODEL,
        prompt_tokens=100.0,
        objective=0.25,
        gap_objective=GAP_OBJECTIVE,
    )
    entry = QueueEntry(
        priority=1, objective_deadline=now + 0.1, queued_at=now, deadline=now + 2.0
    )
    return RequestId(node="a", number=number), request, entry


@pytest.mark.parametrize("is_contested", [False, True])
async def test_a_stream_waits_a_short_time_rather_than_go_where_it_is_late(
    is_contested,
):
    """Guard against late streams while a slot on pace may come free, and lost ones.

    The only group on pace is full. After a short wait, late is better than lost.
    """
    site = await slow_group("a", "b", is_contested=is_contested)
    full = {OTHER: (PROFILE.slots + 1, 0.0)}
    site.rig_b.directory.loads.record_peer_loads("c", full)
    answer = site.dispatcher.request_slot(*question(site))
    assert answer.verdict is PlaceVerdict.WAITING
    site.rig_a.clock.time += LATE_WAIT_SECONDS
    site.dispatcher.wake()
    assert site.network_b.sent[-1].group == "a"


async def test_where_all_groups_are_slow_no_stream_waits_for_another():
    site = await slow_group("a")
    answer = site.dispatcher.request_slot(*question(site))
    assert answer.verdict is PlaceVerdict.GRANTED


async def test_a_new_dispatcher_goes_by_the_readers_digest():
    """Guard against slow groups that fill up when the dispatcher is lost."""
    site = await two_hosts("a", "b")
    directory = site.rig_b.directory
    directory.is_reader = lambda: False
    directory.apply_digest(1, {("a", 1): (1, 0.0)}, {("a", 1): (12.0, 1)})
    answers = [site.dispatcher.request_slot(*question(site, n)) for n in range(3)]
    assert {answer.group for answer in answers} == {"b"}


async def test_the_log_gives_what_the_hosts_observed():
    site = await two_hosts("a", "b")
    with capture_logs() as logs:
        site.rig_b.directory.loads.record_peer_paces("c", {("a", 1): (12.0, 2)})
    (line,) = [entry for entry in logs if entry["event"] == "pace: changed"]
    assert (line["group"], line["slow"], line["observed"]) == ("a", True, [12.0])


def observed(*gaps, pace=0.05):
    """Return the loads of a host that saw these gaps, as multiples of the pace."""
    loads = GroupLoads(clock=FakeClock())
    loads.work(OTHER).running = 1
    for gap in gaps:
        loads.record_gap(OTHER, gap * pace, pace * loads.load(OTHER).slowness)
        loads.work(OTHER).last_event_at = loads.now()
    return loads


def test_a_host_reports_a_slow_group_within_two_gaps_and_its_recovery_too():
    assert observed(1.0, 1.0, 1.0).own_paces() == {}
    assert observed(1.0, 12.0, 12.0).own_paces()[OTHER] == pytest.approx(12.0)
    slow = observed(12.0, 12.0, 12.0, 1.0, 1.0)
    assert slow.own_paces()[OTHER] == pytest.approx(1.0)


def test_a_late_first_event_shows_slowness_where_no_gap_did():
    loads = observed()
    for _ in range(3):
        loads.record_first_event(OTHER, 3.0, 0.25)
        loads._clock.time += 1.1
    assert 2.0 < loads.work(OTHER).slowness <= 6.0
    on_pace = observed(1.0, 1.0)
    on_pace.record_first_event(OTHER, 3.0, 0.25)
    assert on_pace.work(OTHER).slowness == pytest.approx(1.0)


def test_a_report_of_slow_groups_is_read_as_it_was_sent():
    loads = {OTHER: (2, 100.0), ("c", 4): (1, 0.0)}
    work = Work(node="h", loads=encode_loads(loads, {OTHER: 11.96}))
    assert read_message(encode(work)) == work
    assert decode_paces(work) == {OTHER: (12.0, 2)}


def test_without_slow_groups_a_datagram_is_the_same_as_before():
    work = Work(node="h", loads=encode_loads({OTHER: (2, 100.0)}))
    plain = ["Work", ["h", [["b"], [1], [2], [100]], 0]]
    assert encode(work) == cbor2.dumps(plain)


def test_a_column_of_slowness_of_another_length_is_rejected():
    columns = LoadColumns(
        groups=("b",), epochs=(1,), running=(2,), prefill_tokens=(0,), slowness=(9, 9)
    )
    assert not columns.has_equal_columns
    assert not isinstance(read_message(encode(Work(node="h", loads=columns))), Work)
