"""Reports of heads that ended under their streams, from the stream to the planner."""

from types import SimpleNamespace

import pytest

from mallowpond.coordination.ports import Unavailable
from mallowpond.node.ended_heads import REPORT_DELAYS, EndedHeadReports
from mallowpond.node.messages import EndedHeads, read_message, write_message
from mallowpond.node.tests.fakes import (
    BROKEN,
    UNREACHABLE,
    FakeExchange,
    FakeResponse,
    answer,
    event,
    make_rig,
    misdirected,
    open_group,
)
from mallowpond.node.tests.test_planner import Rig as PlannerRig
from mallowpond.state.formation_view import Leave

DELAY = REPORT_DELAYS[0] + 0.01


class FakePeers:
    """Records the reports; host `p` plans."""

    def __init__(self):
        self.sent = []
        self.on_ended_heads = []
        heartbeat = SimpleNamespace(node="p", planning=3)
        self.last_planner = SimpleNamespace(heartbeat=heartbeat)

    def send_to(self, message, nodes):
        """Record a message and who gets it."""
        self.sent.append((message, tuple(nodes)))


class ReportRig:
    """The reports of a host `a` that serves streams on two groups."""

    def __init__(self, streams, *, is_planning=False):
        self.streams, self.peers, self.probed = streams, FakePeers(), []
        self.is_planning = is_planning
        self.reports = EndedHeadReports(
            name="a",
            directory=streams.directory,
            peers=self.peers,
            clock=streams.clock,
            is_planning=lambda: self.is_planning,
            probe=lambda process, reporter: self.probed.append((process.id, reporter)),
        )
        streams.service.on_head_ended.append(self.reports.record)

    def advance(self, seconds):
        """Advance the clock and send what is due."""
        self.streams.clock.time += seconds
        self.reports.send_due()


async def report_rig(first_answer, **more):
    """Return a rig after a stream that was sent to `a`, and then served by `b`."""
    streams = await make_rig("a", "b")
    streams.targets.script("a0", first_answer)
    streams.targets.script("b0", answer(1, 2), answer(1, 2))
    streams.directory.loads.work(("b", 1)).running = 1
    rig = ReportRig(streams, **more)
    await streams.service.serve(streams.work(FakeExchange()))
    return rig


def broken():
    """Return an answer that breaks off after an event."""
    return FakeResponse(script=[event(1), BROKEN])


@pytest.mark.parametrize(
    "failure",
    [broken(), BROKEN, UNREACHABLE],
    ids=["in its answer", "before its answer", "not connected"],
)
async def test_a_head_that_ends_under_a_stream_is_reported_to_the_planner(failure):
    """Guards against groups that stay open until the entry of their head lapses.

    Every host saw the connections close, and the planner learnt it from the list: 1.8 s
    later in the median, in which new streams failed and the survivors stood idle.
    """
    rig = await report_rig(failure)
    rig.advance(DELAY)
    ((report, nodes),) = rig.peers.sent
    assert nodes == ("p",)
    assert [process.id for process in report.heads] == ["a0"]
    assert read_message(write_message(report)) == report


async def test_a_head_that_refuses_or_misdirects_a_stream_is_not_reported():
    """Guards against probes of heads that have just answered."""
    rig = await report_rig(misdirected())
    rig.advance(DELAY)
    assert rig.peers.sent == []


async def test_a_head_whose_other_streams_go_on_is_not_reported():
    """Guards against probes for each single connection that is lost."""
    rig = await report_rig(broken())
    work = rig.streams.directory.loads.work(("a", 1))
    rig.streams.clock.time += 0.02
    work.last_event_at = rig.streams.clock.now()
    rig.advance(DELAY)
    rig.advance(REPORT_DELAYS[1] + 0.1)
    assert rig.peers.sent == []


async def test_a_head_that_its_group_is_closed_for_is_not_reported():
    """Guards against probes of heads that end their streams by the planner's order."""
    streams = await make_rig("a", "b")
    streams.targets.script("a0", broken())
    streams.targets.script("b0", answer(1, 2))
    streams.directory.loads.work(("b", 1)).running = 1
    streams.directory.loads.work(("a", 1)).closing_until = streams.clock.now() + 4.0
    rig = ReportRig(streams)
    await streams.service.serve(streams.work(FakeExchange()))
    rig.advance(DELAY)
    assert rig.peers.sent == []


async def test_a_report_is_sent_once_more_to_a_planner_that_has_changed():
    """Guards against a lost datagram, or a planner that ended with the head."""
    rig = await report_rig(broken())
    rig.advance(DELAY)
    rig.peers.last_planner.heartbeat.node = "q"
    rig.advance(REPORT_DELAYS[1] + 0.01)
    assert [nodes for _, nodes in rig.peers.sent] == [("p",), ("q",)]
    rig.advance(1.0)
    assert len(rig.peers.sent) == 2


async def test_the_planner_probes_what_it_and_others_report():
    rig = await report_rig(broken(), is_planning=True)
    rig.advance(DELAY)
    assert (rig.probed, rig.peers.sent) == ([("a0", "a")], [])
    (head,) = [t.process for t in open_group("b") if t.id == "b0"]
    for notify in rig.peers.on_ended_heads:
        notify(EndedHeads(node="c", heads=(head,)))
    assert rig.probed[1:] == [("b0", "c")]
    rig.is_planning = False
    for notify in rig.peers.on_ended_heads:
        notify(EndedHeads(node="c", heads=(head,)))
    assert len(rig.probed) == 2


async def test_a_group_is_dissolved_as_soon_as_its_head_is_reported_and_silent():
    """Guards against members that stand idle until the entry of their head lapses."""
    rig = PlannerRig(*open_group("g"))
    rig.source.listed.extend([rig.source.listed[0]] * 50)
    await rig.steps(10)
    rig.targets.reports["g0"] = Unavailable(reason="refused")
    await rig.steps(3)
    assert rig.orders_of(Leave) == []
    head = rig.directory.targets["g0"].process
    rig.planner.probe_head(head, "c")
    await rig.steps(3)
    assert {leave.target.id for leave in rig.orders_of(Leave)} == {"g1"}


async def test_a_head_that_answers_is_probed_at_intervals_and_keeps_its_group():
    """Guards against a probe for each report while connections are reset."""
    rig = PlannerRig(*open_group("g"))
    rig.source.listed.extend([rig.source.listed[0]] * 50)
    await rig.steps(10)
    asked, report = [], rig.targets.report

    async def counted(target):
        asked.append(target.id)
        return await report(target)

    rig.targets.report = counted
    head = rig.directory.targets["g0"].process
    for _ in range(10):
        rig.planner.probe_head(head, "c")
        await rig.steps(1)
    assert asked == ["g0"] * 2
    assert rig.orders_of(Leave) == []
