"""How hosts get slots from the dispatcher, and place streams without its answer."""

import asyncio
import random

import pytest
from structlog.testing import capture_logs

from mallowpond.node import dispatcher_client
from mallowpond.node.dispatcher import Dispatcher, RequestId
from mallowpond.node.dispatcher_client import UNRESPONSIVE_SECONDS, DispatcherClient
from mallowpond.node.group_loads import GroupLoads
from mallowpond.node.group_selector import SlotRequest
from mallowpond.node.messages import (
    PlaceAnswer,
    PlaceQuestion,
    PlaceVerdict,
    Work,
    decode_loads,
    encode_loads,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, Reason
from mallowpond.node.peer_loads import GRANT_TTL_SECONDS, PEER_LOAD_TTL_SECONDS
from mallowpond.node.slot_admission import SlotAdmission
from mallowpond.node.tests.fakes import (
    MODEL,
    PROFILE,
    FakeClock,
    FakeExchange,
    FakeResponse,
    answer,
    make_rig,
)
from mallowpond.state.placement_queue import QueueEntry

GROUP = ("a", 1)


class FakeNetwork:
    """Delivers messages between two hosts at once unless it is cut."""

    def __init__(self, name):
        self.name, self.other, self.is_cut = name, None, False
        self.on_place_question, self.on_place_answer = [], []
        self.sent = []

    def send_to(self, message, nodes):
        """Deliver a message to the other host."""
        self.sent.append(message)
        if self.is_cut or self.other is None or self.other.name not in nodes:
            return
        match message:
            case PlaceQuestion():
                listeners = self.other.on_place_question
            case PlaceAnswer():
                listeners = self.other.on_place_answer
        for notify in listeners:
            notify(message)


class TwoHosts:
    """Two hosts, of which `b` is the dispatcher."""

    def __init__(self, rig_a, rig_b, *, is_contested=False):
        self.is_contested = is_contested
        self.dispatching = "b"
        self.rig_a, self.rig_b = rig_a, rig_b
        self.network_a, self.network_b = FakeNetwork("a"), FakeNetwork("b")
        self.network_a.other, self.network_b.other = self.network_b, self.network_a
        self.dispatcher, self.dispatcher_client_b = self._host(rig_b, self.network_b)
        self.dispatcher_a, self.dispatcher_client = self._host(rig_a, self.network_a)

    def _host(self, rig, network):
        placement = rig.service.placement
        if self.is_contested:
            placement.admission = SlotAdmission(
                directory=rig.directory,
                selector=placement.selector,
                clock=rig.clock,
                metrics=NodeMetrics(),
                rng=random.Random(1),
            )
        dispatcher = Dispatcher(
            name=network.name,
            peers=network,
            directory=rig.directory,
            selector=rig.service.placement.selector,
            clock=rig.clock,
            find_model=lambda service, model: (PROFILE, MODEL),
            is_dispatcher=lambda: network.name == self.dispatching,
            admission=placement.admission,
        )
        dispatcher_client = DispatcherClient(
            name=network.name,
            peers=network,
            directory=rig.directory,
            dispatcher=dispatcher,
            clock=rig.clock,
            dispatching_host=lambda: self.dispatching,
            contested_slots=self.is_contested,
        )
        rig.service.placement.dispatcher_client = dispatcher_client
        return dispatcher, dispatcher_client

    def report_loads(self):
        """Report the loads of `a` to `b`, and wake its queues."""
        loads = self.rig_a.directory.loads.own_loads()
        work = Work(
            node="a",
            loads=encode_loads(loads),
            grant_number=self.dispatcher_client.grant_number,
        )
        self.rig_b.directory.loads.record_peer_loads(
            "a", decode_loads(work), work.grant_number
        )
        self.dispatcher.wake()


async def two_hosts(*groups, is_contested=False):
    """Return two hosts that know these open groups."""
    rig_a, rig_b = await make_rig(*groups), await make_rig(*groups)
    rig_b.clock = rig_a.clock
    return TwoHosts(rig_a, rig_b, is_contested=is_contested)


async def run_pending_tasks():
    """Run the event loop until all tasks wait."""
    for _ in range(20):
        await asyncio.sleep(0)


def delayed_answer():
    """Return a future, and a response that goes on when the future is done."""
    future = asyncio.get_running_loop().create_future()
    return future, FakeResponse(script=[future, *answer(1).script])


async def test_hosts_that_know_nothing_of_each_other_do_not_fill_the_same_group():
    """By old reports alone, all hosts sent streams to the group that was best then."""
    site = await two_hosts("a", "b", "c")
    futures = []
    for rig in (site.rig_a, site.rig_b):
        for name in "abc":
            future, response = delayed_answer()
            futures.append(future)
            rig.targets.script(f"{name}0", response)
    tasks = []
    for _ in range(3):
        for rig in (site.rig_a, site.rig_b):
            if len(tasks) < 3:
                work = rig.work(FakeExchange())
                tasks.append(asyncio.create_task(rig.service.serve(work)))
                await run_pending_tasks()
    sent = [name for rig in (site.rig_a, site.rig_b) for name, _ in rig.targets.sends]
    assert sorted(sent) == ["a0", "b0", "c0"]
    for future in futures:
        future.set_result(None)
    await asyncio.gather(*tasks)


async def test_a_stream_waits_at_the_dispatcher_and_goes_when_a_place_frees():
    site = await two_hosts("a")
    site.rig_a.targets.script("a0", answer(1))
    full = {GROUP: (PROFILE.slots + 1, 0.0)}
    site.rig_b.directory.loads.record_peer_loads("c", full)
    serving = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    await run_pending_tasks()
    assert site.rig_a.targets.sends == []
    site.rig_b.directory.loads.record_peer_loads("c", {})
    site.dispatcher.wake()
    assert await serving == Answered(status=200, target="a0")


async def test_without_an_answer_a_host_goes_by_its_own_view():
    """Streams must not be lost with a dispatcher that is gone or cut off."""
    site = await two_hosts("a")
    site.network_a.is_cut = True
    site.rig_a.targets.script("a0", answer(1), answer(1), answer(1))
    for _ in range(2):
        outcome = await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
        assert outcome == Answered(status=200, target="a0")
    # Only one request was sent: each unanswered one delays its stream.
    assert len(site.network_a.sent) == 1
    site.rig_a.clock.time += UNRESPONSIVE_SECONDS
    site.network_a.is_cut = False
    await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    assert len(site.network_a.sent) == 2
    assert site.dispatcher_client.grant_number == 1


async def test_a_place_that_nobody_takes_is_free_again():
    """A slot that is granted after its caller left must not stay counted."""
    site = await two_hosts("a")
    site.dispatcher_client.on_unused_grant.append(site.report_loads)
    full = {GROUP: (PROFILE.slots + 1, 0.0)}
    site.rig_b.directory.loads.record_peer_loads("c", full)
    serving = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    await run_pending_tasks()
    serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    site.rig_b.directory.loads.record_peer_loads("c", {})
    site.dispatcher.wake()
    granted = site.network_b.sent[-1]
    assert granted.verdict is PlaceVerdict.GRANTED
    assert site.dispatcher_client.grant_number == granted.grant_number
    assert site.rig_b.directory.loads.load(GROUP).running == 0


@pytest.mark.parametrize("ending", ["end_waits", "cancel"])
async def test_a_grant_that_arrives_as_the_wait_ends_is_released(ending):
    """A slot whose grant was received but not yet read stayed counted as used."""
    site = await two_hosts("a")
    site.dispatcher_client.on_unused_grant.append(site.report_loads)
    full = {GROUP: (PROFILE.slots + 1, 0.0)}
    site.rig_b.directory.loads.record_peer_loads("c", full)
    serving = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    await run_pending_tasks()
    if ending == "end_waits":
        site.rig_a.service.placement.end_waits()
    site.rig_b.directory.loads.record_peer_loads("c", {})
    site.dispatcher.wake()
    assert site.rig_b.directory.loads.load(GROUP).running == 1
    if ending == "cancel":
        serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    assert site.rig_a.targets.sends == []
    assert site.rig_b.directory.loads.load(GROUP).running == 0


async def test_a_grant_at_a_host_that_has_ended_all_waits_is_released():
    """A stopping host ended the wait of a stream whose slot it had just got."""
    site = await two_hosts("a")
    site.dispatcher_client.on_unused_grant.append(site.report_loads)
    site.rig_a.service.placement.end_waits()
    await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    assert site.network_b.sent[-1].verdict is PlaceVerdict.GRANTED
    assert site.rig_b.directory.loads.load(GROUP).running == 0


async def test_who_cannot_be_placed_in_time_is_refused_at_once():
    """Callers must not wait for a slot that the queue length rules out in time."""
    site = await two_hosts("a")
    site.rig_b.directory.loads.record_peer_loads("c", {GROUP: (PROFILE.slots + 1, 0.0)})
    waiting = []
    for _ in range(60):
        work = site.rig_a.work(FakeExchange())
        waiting.append(asyncio.create_task(site.rig_a.service.serve(work)))
    await run_pending_tasks()
    rejected = [task.result() for task in waiting if task.done()]
    assert rejected
    assert all(o.status == 503 and o.reason is Reason.OVERLOADED for o in rejected)
    assert all(o.retry_after > 0 for o in rejected)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


@pytest.mark.parametrize(
    ("groups", "reason"), [("a", Reason.OVERLOADED), ("", Reason.NO_GROUP)]
)
async def test_who_waited_in_vain_is_not_told_to_come_back_at_once(groups, reason):
    """A caller's only retry must not come before anything can have changed."""
    site = await two_hosts(*groups)
    site.rig_b.directory.loads.record_peer_loads("c", {GROUP: (PROFILE.slots + 1, 0.0)})
    work = site.rig_a.work(FakeExchange())
    serving = asyncio.create_task(site.rig_a.service.serve(work))
    await run_pending_tasks()
    site.rig_a.clock.time += 2.0
    async with asyncio.timeout(3.0):
        outcome = await serving
    assert (outcome.status, outcome.reason) == (503, reason)
    assert outcome.retry_after > 0.5


async def test_a_group_that_only_the_asker_avoids_is_not_named():
    """A stream must not be sent back to the group that it was moved from."""
    site = await two_hosts("a", "b")
    site.rig_a.directory.exclude_group(GROUP, site.rig_a.clock.now() + 9.0)
    site.rig_a.targets.script("b0", *(answer(1) for _ in range(4)))
    for _ in range(4):
        outcome = await site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
        assert outcome == Answered(status=200, target="b0")
    questions = [m for m in site.network_a.sent if isinstance(m, PlaceQuestion)]
    assert [question.avoided for question in questions] == [("a",)] * 4


async def test_the_dispatchers_own_streams_count_once():
    """The dispatcher must not count its own streams and their grants both."""
    site = await two_hosts("a")
    future, response = delayed_answer()
    site.rig_b.targets.script("a0", response)
    work = site.rig_b.work(FakeExchange())
    serving = asyncio.create_task(site.rig_b.service.serve(work))
    await run_pending_tasks()
    assert site.rig_b.directory.loads.load(GROUP).running == 1
    future.set_result(None)
    assert await serving == Answered(status=200, target="a0")


async def test_a_stopping_host_ends_the_waits_at_the_dispatcher_too():
    """Requests must not stay unanswered when their host shuts down."""
    site = await two_hosts("a")
    site.rig_b.directory.loads.record_peer_loads("c", {GROUP: (PROFILE.slots + 1, 0.0)})
    serving = asyncio.create_task(
        site.rig_a.service.serve(site.rig_a.work(FakeExchange()))
    )
    await run_pending_tasks()
    site.rig_a.service.placement.end_waits()
    async with asyncio.timeout(1.0):
        outcome = await serving
    assert outcome.status == 503
    assert outcome.retry_after > 0.5


def test_a_place_counts_until_its_host_tells_of_the_stream():
    """Between two reports a stream must be counted exactly once."""
    clock = FakeClock()
    loads = GroupLoads(clock=clock)
    loads.record_grant("a", 1, GROUP, 100.0)
    loads.record_grant("a", 2, GROUP, 100.0)
    assert loads.load(GROUP).running == 2
    loads.record_peer_loads("a", {GROUP: (1, 50.0)}, 1)
    assert loads.load(GROUP).running == 2
    assert loads.load(GROUP).prefill_tokens == 150.0
    loads.record_peer_loads("a", {GROUP: (2, 0.0)}, 2)
    assert loads.load(GROUP).running == 2
    assert loads.load(GROUP).prefill_tokens == 0.0


@pytest.mark.parametrize("reports", [True, False])
def test_a_place_of_a_host_that_is_gone_is_free_again(reports):
    """Slots that were granted to a host must not stay counted when it is gone."""
    clock = FakeClock()
    loads = GroupLoads(clock=clock)
    loads.record_grant("a", 1, GROUP, 100.0)
    if reports:
        loads.record_peer_loads("a", {GROUP: (1, 0.0)}, 1)
    clock.time += max(GRANT_TTL_SECONDS, PEER_LOAD_TTL_SECONDS) + 0.1
    assert loads.load(GROUP).running == 0


async def test_a_stream_whose_answer_was_lost_asks_again(monkeypatch):
    """A stream must not wait on for an answer that was lost."""
    monkeypatch.setattr(dispatcher_client, "RENEW_SECONDS", 0.01)
    site = await two_hosts("a")
    site.rig_a.targets.script("a0", answer(1))
    site.rig_b.directory.loads.record_peer_loads("c", {GROUP: (PROFILE.slots + 1, 0.0)})
    work = site.rig_a.work(FakeExchange())
    serving = asyncio.create_task(site.rig_a.service.serve(work))
    await run_pending_tasks()
    site.network_b.is_cut = True
    site.rig_b.directory.loads.record_peer_loads("c", {})
    site.dispatcher.wake()
    site.network_b.is_cut = False
    # Well before the caller's patience ends.
    async with asyncio.timeout(0.9):
        assert await serving == Answered(status=200, target="a0")


async def test_slots_granted_at_once_count_as_service_of_their_workspace():
    """Guard against a workspace that filled all slots and still goes before others."""
    site = await two_hosts("a")
    work = site.rig_b.work(FakeExchange())
    request = SlotRequest(
        service=work.service,
        profile=PROFILE,
        model=MODEL,
        prompt_tokens=100.0,
        objective=10.0,
    )
    now = site.rig_b.clock.now()

    def ask(number, workspace):
        entry = QueueEntry(
            priority=1,
            objective_deadline=now + 10.0,
            queued_at=now,
            deadline=now + 20.0,
            workspace=workspace,
            tokens=100.0,
        )
        request_id = RequestId(node="b", number=number)
        return site.dispatcher.request_slot(request_id, request, entry).verdict

    verdicts = {n: ask(n, "large") for n in range(PROFILE.slots + 2)}
    waiting = [n for n, verdict in verdicts.items() if verdict is PlaceVerdict.WAITING]
    assert verdicts[0] is verdicts[1] is PlaceVerdict.GRANTED and waiting
    for number in waiting:
        site.dispatcher.cancel(RequestId(node="b", number=number))
    assert ask(100, "small") is PlaceVerdict.WAITING
    # The newest of those on time, which would go first without workspaces.
    assert ask(101, "large") is PlaceVerdict.WAITING
    granted = []
    site.dispatcher.on_own_answer.append(lambda answer: granted.append(answer.number))
    with capture_logs() as lines:
        site.dispatcher.wake()
    contested = [e for e in lines if e["event"] == "placement: slots contested"]
    assert [e["waiting"] for e in contested] == [{"small": 1, "large": 1}]
    assert contested[0]["lead"] == {"small": 0, "large": 100}
    site.rig_b.directory.loads.settle_grants("b", 1)
    site.dispatcher.wake()
    assert granted[0] == 100
