"""Stateful test of one node's streams while engines restart under their ids."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field, replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mallowpond.node.messages import GroupBroken
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Answered, CutOff, Refusal
from mallowpond.node.tests.fakes import (
    BROKEN,
    ROUTE,
    FakeExchange,
    FakeResponse,
    event,
    full,
    listing,
    make_rig,
    misdirected,
)
from mallowpond.node.tests.test_watch import STALL_SECONDS, FakePeers
from mallowpond.node.watch import GroupWatch
from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import BreakCause, GroupPhase, Membership, Target
from mallowpond.transport.http_client import End

GROUPS = ("a", "b")
ENGINES = tuple(f"{group}{rank}" for group in GROUPS for rank in (0, 1))
# Start times of an engine's processes in their order: clocks may also be set back.
STARTS = (0, 7, 3, 9, 1, 8, 2, 6, 4, 5)
LONGER_THAN_DEADLINES = 6.0

groups = st.sampled_from(GROUPS)
engines = st.sampled_from(ENGINES)


class FakeLoop(asyncio.SelectorEventLoop):
    """An event loop that takes its time from a fake clock."""

    clock = None

    def time(self):
        """Return the time."""
        return self.clock.time if self.clock else 0.0


@dataclass(kw_only=True)
class Run:
    """A request in progress on one process; its response waits for `end`."""

    target: Target
    script: list
    event: int
    resumed: asyncio.Future

    def end(self, *events):
        """Continue the response with these events."""
        if not self.resumed.done():
            self.script.extend(events)
            self.resumed.set_result(None)


@dataclass(kw_only=True)
class Platform:
    """The current state of the engines, and the entries that they have listed."""

    current: dict
    listed: list = field(default_factory=list)
    starts: dict = field(default_factory=lambda: defaultdict(int))

    @property
    def version(self):
        """Return the version of the newest entry."""
        return len(self.listed)

    def register(self, engine):
        """Add an engine's current state to the list."""
        self.listed.append(self.current[engine])

    def entries(self, until):
        """Return the entries by id as of a version of the list."""
        return {target.id: target for target in self.listed[:until]}

    def restart(self, engine):
        """Restart an engine, which loses its membership."""
        self.starts[engine] = (self.starts[engine] + 1) % len(STARTS)
        born = STARTS[self.starts[engine]]
        self.current[engine] = replace(self.current[engine], born=born, membership=None)

    def set_membership(self, engine, **changes):
        """Change an engine's membership."""
        known = self.current[engine]
        membership = replace(known.membership, **changes)
        self.current[engine] = replace(known, membership=membership)

    def holds_open_group(self, engine):
        """Return whether an engine is the head of an open group."""
        membership = self.current[engine].membership
        return (
            membership and membership.rank == 0 and membership.phase is GroupPhase.OPEN
        )

    def is_complete(self, group):
        """Return whether both members of a group belong to the same formation."""
        memberships = [self.current[f"{group}{rank}"].membership for rank in (0, 1)]
        return all(memberships) and memberships[0].epoch == memberships[1].epoch


class Restarts(RuleBasedStateMachine):
    """Engines restart while groups open and close and streams run, in any order.

    The node learns of restarts from the list, from reports, from its peers and from the
    answers to its streams: late, repeatedly or with gaps. It must send no stream to a
    group known to be unusable, and report correctly whether a request ran.
    """

    def __init__(self):
        super().__init__()
        self.loop = FakeLoop()
        self.rig = self.loop.run_until_complete(make_rig(*GROUPS, slack=0.0))
        self.loop.clock = self.rig.clock
        self.directory = self.rig.directory
        self.platform = Platform(current=dict(self.directory.targets))
        for engine in ENGINES:
            self.platform.register(engine)
        self.read_list(self.platform.listed, self.platform.version)
        self.rig.targets.send = self.answer
        self.peers = FakePeers()
        GroupWatch(
            streams=self.rig.service,
            directory=self.directory,
            peers=self.peers,
            clock=self.rig.clock,
            metrics=NodeMetrics(),
            stall_seconds=STALL_SECONDS,
        )
        self.epoch = 1
        self.runs = defaultdict(list)
        self.in_progress = []
        self.served = {}
        self.refused = {}
        self.just_refused = {}
        self.refused_requests = set()
        self.incomplete_groups = set()
        self.ended = {}
        self.reports = []

    def run_ready_tasks(self):
        """Run all tasks that do not wait for a later time."""

        async def yield_repeatedly():
            for _ in range(60):
                await asyncio.sleep(0)

        self.loop.run_until_complete(yield_repeatedly())
        # Streams sent at the same time do not know each other's answers yet.
        self.refused |= self.just_refused
        self.just_refused = {}
        self.refused_requests = set()

    # -- engines -------------------------------------------------------------

    async def answer(self, target, request, **more):
        """Answer a stream as the current process of its target would."""
        key = (target.membership.group, target.membership.epoch)
        group = self.directory.groups[key]
        assert key not in self.refused, "sent to a group that had refused"
        assert (request.id, key) not in self.refused_requests, "sent there once more"
        assert all(m.process not in self.ended for m in group.members), "had ended"
        is_complete = len(group.members) == 2
        assert is_complete or key not in self.incomplete_groups, "sent without a member"
        current = self.platform.current[target.id]
        membership = current.membership
        if membership and membership.phase is GroupPhase.BROKEN:
            return full()
        if not self.platform.holds_open_group(target.id):
            self.just_refused[key] = (self.rig.clock.now(), target)
            self.refused_requests.add((request.id, key))
            return misdirected()
        self.runs[request.id].append(current.process)
        run = Run(
            target=current,
            script=[],
            event=int(more["last_event"] or 0) + 1,
            resumed=self.loop.create_future(),
        )
        run.script.append(run.resumed)
        self.in_progress.append(run)
        return FakeResponse(script=run.script)

    @rule(engine=engines, connections_hang=st.booleans())
    def restart(self, engine, connections_hang):
        """Restart an engine; its connections hang, or break at once."""
        before = self.platform.current[engine].process
        self.platform.restart(engine)
        if not connections_hang:
            for run in self.in_progress:
                if run.target.process == before:
                    run.end(BROKEN)
        self.run_ready_tasks()

    @rule(group=groups)
    def form(self, group):
        """Have the members of a group join a new formation."""
        self.epoch += 1
        for rank in (0, 1):
            engine = f"{group}{rank}"
            known = self.platform.current[engine]
            membership = Membership(
                group=group, epoch=self.epoch, rank=rank, phase=GroupPhase.READY
            )
            self.platform.current[engine] = replace(known, membership=membership)

    @rule(group=groups)
    def open(self, group):
        """Open a group that is ready."""
        if self.platform.is_complete(group):
            self.platform.set_membership(f"{group}0", phase=GroupPhase.OPEN)

    @rule(group=groups)
    def form_and_list(self, group):
        """Form and open a group again, and list its members."""
        self.form(group)
        self.open(group)
        for rank in (0, 1):
            self.platform.register(f"{group}{rank}")

    @rule(group=groups, phase=st.sampled_from([GroupPhase.READY, GroupPhase.BROKEN]))
    def stop_group(self, group, phase):
        """Close a group, or have its head report it as broken."""
        head = f"{group}0"
        if self.platform.holds_open_group(head):
            self.platform.set_membership(head, phase=phase)

    @rule(group=groups)
    def close_briefly(self, group):
        """Close a group, send a stream, and open the group again without listing it."""
        self.stop_group(group, GroupPhase.READY)
        self.send_stream(resumable=True)
        self.open(group)

    # -- streams -------------------------------------------------------------

    @rule(resumable=st.booleans())
    def send_stream(self, resumable):
        """Send a caller's stream."""
        route = replace(ROUTE, resumable=resumable)
        work = self.rig.work(FakeExchange(), route)
        number = len(self.served)
        work.request = replace(work.request, id=str(number))
        serving = self.rig.service.serve(work)
        self.served[str(number)] = (route, self.loop.create_task(serving))
        self.run_ready_tasks()

    @precondition(lambda self: self.in_progress)
    @rule(data=st.data(), is_complete=st.booleans())
    def end_response(self, data, is_complete):
        """Complete a response, or cut it off."""
        run = data.draw(st.sampled_from(self.in_progress))
        self.in_progress.remove(run)
        if is_complete and self.platform.current[run.target.id].process == (
            run.target.process
        ):
            run.end(event(run.event), End())
        else:
            run.end(BROKEN)
        self.run_ready_tasks()

    # -- list changes, reports and peer messages -----------------------------

    @rule(engine=engines)
    def register(self, engine):
        """Have an engine list its current state."""
        self.platform.register(engine)

    def expect_entries(self, targets, *, is_full_list):
        """Update the expected refusals and ended processes for these entries."""
        now = self.rig.clock.now()
        for target in targets:
            known = self.directory.targets.get(target.id)
            for key, (at, refused) in list(self.refused.items()):
                if refused.id != target.id:
                    continue
                is_late = now - at > STALE_ENTRY_SECONDS
                if not is_full_list or is_late or target != refused:
                    del self.refused[key]
            if known is not None and known.process != target.process:
                self.ended[known.process] = now
                if known.membership is not None:
                    membership = known.membership
                    self.incomplete_groups.add((membership.group, membership.epoch))
                self.ended.pop(target.process, None)
            elif is_full_list and now - self.ended.get(target.process, now) > (
                STALE_ENTRY_SECONDS
            ):
                del self.ended[target.process]

    @rule(data=st.data())
    def forward_changes(self, data):
        """Forward some of the changes that the node lacks."""
        known = self.directory._revision
        if self.platform.version == known:
            return
        self.forward_until(data.draw(st.integers(known + 1, self.platform.version)))

    def forward_until(self, until):
        """Forward the changes up to a version."""
        known = self.directory._revision
        changed = {t.id: t for t in self.platform.listed[known:until]}
        self.expect_entries(changed.values(), is_full_list=False)
        change = listing(*changed.values(), revision=until, whole=False)
        self.directory.apply_change(change, previous=known)
        self.run_ready_tasks()

    @rule()
    def apply_all_changes(self):
        """Forward every change that the node lacks."""
        known = self.directory._revision
        if self.platform.version > known:
            self.forward_until(self.platform.version)

    @rule(data=st.data(), is_gap=st.booleans())
    def forward_stale_change(self, data, is_gap):
        """Forward a known change again, or one after a gap of lost changes."""
        known = self.directory._revision
        before = dict(self.directory.targets)
        if is_gap and self.platform.version > known + 1:
            until, previous = self.platform.version, known + 1
        else:
            until = data.draw(st.integers(1, known))
            previous = until - 1
        change = listing(self.platform.listed[until - 1], revision=until, whole=False)
        self.directory.apply_change(change, previous=previous)
        assert self.directory.targets == before

    @rule()
    def read_full_list(self):
        """Read the full list."""
        entries = self.platform.entries(self.platform.version).values()
        self.expect_entries(entries, is_full_list=True)
        self.read_list(entries, self.platform.version)
        self.run_ready_tasks()

    @rule(data=st.data())
    def read_outdated_list(self, data):
        """Read a full list that is older than the changes already applied."""
        before, read_at = dict(self.directory.targets), self.directory._full_read_at
        until = data.draw(st.integers(0, self.directory._revision - 1))
        self.read_list(self.platform.entries(until).values(), until)
        self.directory._full_read_at = read_at
        assert self.directory.targets == before

    def read_list(self, entries, version):
        """Have the node read a full list."""
        self.rig.source.listed.append(listing(*entries, revision=version))
        self.directory._full_read_at = float("-inf")
        self.loop.run_until_complete(self.directory.refresh())

    @rule(engine=engines, is_late=st.booleans())
    def query_report(self, engine, is_late):
        """Query an engine's report; the answer may arrive later."""
        listed = self.directory.targets.get(engine)
        self.reports.append((listed, self.platform.current[engine]))
        if not is_late:
            self.handle_report()

    @rule(engine=engines)
    def restart_and_report(self, engine):
        """Restart an engine, and query its report at once."""
        self.restart(engine, connections_hang=True)
        self.query_report(engine, is_late=False)

    @rule(engine=engines, is_listed=st.booleans())
    def restart_one_member(self, engine, is_listed):
        """Restart an engine, known from the list or its report, and list the head."""
        if is_listed:
            self.restart(engine, connections_hang=True)
            self.register(engine)
            self.apply_all_changes()
        else:
            self.restart_and_report(engine)
        self.register(f"{engine[0]}0")
        self.apply_all_changes()
        self.send_stream(resumable=True)

    @rule(engine=engines)
    def restart_while_reporting(self, engine):
        """Restart an engine and form its group while its report is in transit."""
        self.query_report(engine, is_late=True)
        self.restart(engine, connections_hang=True)
        self.form_and_list(engine[0])
        self.apply_all_changes()
        self.handle_report()

    @precondition(lambda self: self.reports)
    @rule()
    def handle_report(self):
        """Apply a report, unless the list shows another process since the query."""
        asked, answered = self.reports.pop()
        listed = self.directory.targets.get(answered.id)
        if asked is None or listed is None:
            return
        if answered.process in self.ended:
            serving = self.directory.serving_groups("engines", "m")
            self.directory.apply_report(answered)
            assert self.directory.serving_groups("engines", "m") == serving
            return
        if asked.process != listed.process:
            return
        if answered.process != listed.process and answered.process not in self.ended:
            self.ended.setdefault(listed.process, self.rig.clock.now())
        self.directory.apply_report(answered)
        self.run_ready_tasks()

    @rule(group=groups, epoch=st.integers(1, 5))
    def handle_peer_message(self, group, epoch):
        """Receive a peer's message that the head known for a group refused a stream."""
        (on_group_broken,) = self.peers.on_group_broken
        known = self.directory.groups.get((group, epoch))
        if known is None or known.head is None:
            return
        message = GroupBroken(
            node="n",
            group=group,
            epoch=epoch,
            head=known.head.process,
            cause=BreakCause.REFUSED,
        )
        on_group_broken(message)
        self.refused.setdefault(known.key, (self.rig.clock.now(), known.head))
        self.run_ready_tasks()

    @rule(seconds=st.sampled_from([0.1, 1.1, LONGER_THAN_DEADLINES]))
    def let_time_pass(self, seconds):
        """Advance the clock."""
        self.rig.clock.time += seconds
        self.run_ready_tasks()

    # -- invariants ----------------------------------------------------------

    @invariant()
    def answers_match_executions(self):
        """Compare the answers to callers with the executions of their requests."""
        for request, (route, task) in self.served.items():
            runs = self.runs[request]
            assert route.resumable or len(runs) <= 1, "ran twice"
            if not task.done():
                continue
            match task.result():
                case Refusal(status=503, retry_after=after):
                    assert not runs, "reported as not run"
                    assert after > 0
                case Refusal() | CutOff() | Answered():
                    assert runs, "reported as possibly run"

    @invariant()
    def work_is_counted(self):
        """Compare the counted streams with those in progress."""
        counted = sum(work.running for work in self.directory.loads._work.values())
        assert counted == len(self.rig.service.active)

    def teardown(self):
        """Check that complete open groups get streams again, whatever has happened."""
        for engine in ENGINES:
            self.platform.register(engine)
        self.let_time_pass(LONGER_THAN_DEADLINES)
        self.read_full_list()
        for group in GROUPS:
            if not self.platform.is_complete(group):
                continue
            if self.platform.holds_open_group(f"{group}0"):
                serving = self.directory.serving_groups("engines", "m")
                assert group in {g.name for g in serving}
        self.answers_match_executions()
        for _, task in self.served.values():
            task.cancel()
        self.run_ready_tasks()
        self.loop.close()


TestRestarts = Restarts.TestCase
TestRestarts.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
