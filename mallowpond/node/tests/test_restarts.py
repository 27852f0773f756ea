"""Streams of one node while engines start again under their ids."""

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
# Starts of processes, in the order of their starts: clocks are set back too.
STARTS = (0, 7, 3, 9, 1, 8, 2, 6, 4, 5)
LONGER_THAN_DEADLINES = 6.0

groups = st.sampled_from(GROUPS)
engines = st.sampled_from(ENGINES)


class FakeLoop(asyncio.SelectorEventLoop):
    """Take the time from a fake clock."""

    clock = None

    def time(self):
        """Return the time."""
        return self.clock.time if self.clock else 0.0


@dataclass(kw_only=True)
class Run:
    """Hold one request that runs on a process."""

    target: Target
    script: list
    event: int
    going_on: asyncio.Future

    def end(self, *events):
        """Let the answer go on with these events."""
        if not self.going_on.done():
            self.script.extend(events)
            self.going_on.set_result(None)


@dataclass(kw_only=True)
class Platform:
    """Hold what engines are, and what the list shows of them."""

    present: dict
    listed: list = field(default_factory=list)
    starts: dict = field(default_factory=lambda: defaultdict(int))

    @property
    def version(self):
        """Return the version of the newest entry."""
        return len(self.listed)

    def register(self, engine):
        """Write an engine's entry."""
        self.listed.append(self.present[engine])

    def entries(self, until):
        """Return the list as of a version."""
        return {target.id: target for target in self.listed[:until]}

    def restart(self, engine):
        """Start an engine again."""
        self.starts[engine] = (self.starts[engine] + 1) % len(STARTS)
        born = STARTS[self.starts[engine]]
        self.present[engine] = replace(self.present[engine], born=born, membership=None)

    def place(self, engine, **changes):
        """Change an engine's membership."""
        known = self.present[engine]
        place = replace(known.membership, **changes)
        self.present[engine] = replace(known, membership=place)

    def holds_open_group(self, engine):
        """Tell whether an engine takes requests."""
        place = self.present[engine].membership
        return place and place.rank == 0 and place.phase is GroupPhase.OPEN

    def is_whole(self, group):
        """Tell whether both members of a group hold it."""
        places = [self.present[f"{group}{rank}"].membership for rank in (0, 1)]
        return all(places) and places[0].epoch == places[1].epoch


class Restarts(RuleBasedStateMachine):
    """Engines start again at each step of open, close and stream, in any order.

    The node hears of it late, twice, in gaps, by the list, by reports, by its peers
    and by the answers to its streams.
    """

    def __init__(self):
        super().__init__()
        self.loop = FakeLoop()
        self.rig = self.loop.run_until_complete(make_rig(*GROUPS, slack=0.0))
        self.loop.clock = self.rig.clock
        self.directory = self.rig.directory
        self.platform = Platform(present=dict(self.directory.targets))
        for engine in ENGINES:
            self.platform.register(engine)
        self.read(self.platform.listed, self.platform.version)
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
        self.going = []
        self.served = {}
        self.refused = {}
        self.just_refused = {}
        self.turned_away = set()
        self.lost_member = set()
        self.ended = {}
        self.reports = []

    def settle(self):
        """Let everything happen that needs no more time."""

        async def some_rounds():
            for _ in range(60):
                await asyncio.sleep(0)

        self.loop.run_until_complete(some_rounds())
        # Streams that are sent in the same moment do not know of one another's answer.
        self.refused |= self.just_refused
        self.just_refused = {}
        self.turned_away = set()

    # -- engines -------------------------------------------------------------

    async def answer(self, target, request, **more):
        """Answer a stream as the present process of its target would."""
        key = (target.membership.group, target.membership.epoch)
        group = self.directory.groups[key]
        assert key not in self.refused, "sent to a group that had refused"
        assert (request.id, key) not in self.turned_away, "sent there once more"
        assert all(m.process not in self.ended for m in group.members), "had ended"
        is_whole = len(group.members) == 2
        assert is_whole or key not in self.lost_member, "sent without a member"
        present = self.platform.present[target.id]
        place = present.membership
        if place and place.phase is GroupPhase.BROKEN:
            return full()
        if not self.platform.holds_open_group(target.id):
            self.just_refused[key] = (self.rig.clock.now(), target)
            self.turned_away.add((request.id, key))
            return misdirected()
        self.runs[request.id].append(present.process)
        run = Run(
            target=present,
            script=[],
            event=int(more["last_event"] or 0) + 1,
            going_on=self.loop.create_future(),
        )
        run.script.append(run.going_on)
        self.going.append(run)
        return FakeResponse(script=run.script)

    @rule(engine=engines, is_cut=st.booleans())
    def restart(self, engine, is_cut):
        """Start an engine again; its connections hang, or break at once."""
        before = self.platform.present[engine].process
        self.platform.restart(engine)
        if not is_cut:
            for run in self.going:
                if run.target.process == before:
                    run.end(BROKEN)
        self.settle()

    @rule(group=groups)
    def form(self, group):
        """Let the members of a group join a new formation."""
        self.epoch += 1
        for rank in (0, 1):
            engine = f"{group}{rank}"
            known = self.platform.present[engine]
            place = Membership(
                group=group, epoch=self.epoch, rank=rank, phase=GroupPhase.READY
            )
            self.platform.present[engine] = replace(known, membership=place)

    @rule(group=groups)
    def open(self, group):
        """Open a group that is ready."""
        if self.platform.is_whole(group):
            self.platform.place(f"{group}0", phase=GroupPhase.OPEN)

    @rule(group=groups)
    def form_and_list(self, group):
        """Form a group anew, and let its members write their entries."""
        self.form(group)
        self.open(group)
        for rank in (0, 1):
            self.platform.register(f"{group}{rank}")

    @rule(group=groups, phase=st.sampled_from([GroupPhase.READY, GroupPhase.BROKEN]))
    def stop(self, group, phase):
        """Close a group, or let its head find that it is broken."""
        head = f"{group}0"
        if self.platform.holds_open_group(head):
            self.platform.place(head, phase=phase)

    @rule(group=groups)
    def close_for_a_moment(self, group):
        """Close a group while a stream comes, and open it again, unlisted."""
        self.stop(group, GroupPhase.READY)
        self.send(resumable=True)
        self.open(group)

    # -- streams -------------------------------------------------------------

    @rule(resumable=st.booleans())
    def send(self, resumable):
        """Let a caller send a stream."""
        route = replace(ROUTE, resumable=resumable)
        work = self.rig.work(FakeExchange(), route)
        number = len(self.served)
        work.request = replace(work.request, id=str(number))
        serving = self.rig.service.serve(work)
        self.served[str(number)] = (route, self.loop.create_task(serving))
        self.settle()

    @precondition(lambda self: self.going)
    @rule(data=st.data(), is_whole=st.booleans())
    def end_run(self, data, is_whole):
        """End an answer, or break it off."""
        run = data.draw(st.sampled_from(self.going))
        self.going.remove(run)
        if is_whole and self.platform.present[run.target.id].process == (
            run.target.process
        ):
            run.end(event(run.event), End())
        else:
            run.end(BROKEN)
        self.settle()

    # -- what the node hears -------------------------------------------------

    @rule(engine=engines)
    def register(self, engine):
        """Let an engine write its entry."""
        self.platform.register(engine)

    def take(self, targets, *, is_whole):
        """Work out which refusals and ends these entries overrule."""
        now = self.rig.clock.now()
        for target in targets:
            known = self.directory.targets.get(target.id)
            for key, (at, refused) in list(self.refused.items()):
                if refused.id != target.id:
                    continue
                is_late = now - at > STALE_ENTRY_SECONDS
                if not is_whole or is_late or target != refused:
                    del self.refused[key]
            if known is not None and known.process != target.process:
                self.ended[known.process] = now
                if known.membership is not None:
                    place = known.membership
                    self.lost_member.add((place.group, place.epoch))
                self.ended.pop(target.process, None)
            elif is_whole and now - self.ended.get(target.process, now) > (
                STALE_ENTRY_SECONDS
            ):
                del self.ended[target.process]

    @rule(data=st.data())
    def hear(self, data):
        """Pass some of the changes on that the node lacks."""
        known = self.directory._revision
        if self.platform.version == known:
            return
        self.hear_until(data.draw(st.integers(known + 1, self.platform.version)))

    def hear_until(self, until):
        """Pass the changes up to a version on."""
        known = self.directory._revision
        changed = {t.id: t for t in self.platform.listed[known:until]}
        self.take(changed.values(), is_whole=False)
        change = listing(*changed.values(), revision=until, whole=False)
        self.directory.apply_change(change, previous=known)
        self.settle()

    @rule()
    def hear_all(self):
        """Pass every change on that the node lacks."""
        known = self.directory._revision
        if self.platform.version > known:
            self.hear_until(self.platform.version)

    @rule(data=st.data(), is_gap=st.booleans())
    def hear_in_vain(self, data, is_gap):
        """Pass a change on again, or one before which others got lost."""
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
    def read_whole(self):
        """Read the whole list."""
        entries = self.platform.entries(self.platform.version).values()
        self.take(entries, is_whole=True)
        self.read(entries, self.platform.version)
        self.settle()

    @rule(data=st.data())
    def read_in_vain(self, data):
        """Get a whole list that is older than the changes heard meanwhile."""
        before, read_at = dict(self.directory.targets), self.directory._full_read_at
        until = data.draw(st.integers(0, self.directory._revision - 1))
        self.read(self.platform.entries(until).values(), until)
        self.directory._full_read_at = read_at
        assert self.directory.targets == before

    def read(self, entries, version):
        """Let the node read a whole list."""
        self.rig.source.listed.append(listing(*entries, revision=version))
        self.directory._full_read_at = float("-inf")
        self.loop.run_until_complete(self.directory.refresh())

    @rule(engine=engines, is_late=st.booleans())
    def report(self, engine, is_late):
        """Ask an engine what it holds; the answer may come later."""
        listed = self.directory.targets.get(engine)
        self.reports.append((listed, self.platform.present[engine]))
        if not is_late:
            self.hear_report()

    @rule(engine=engines)
    def restart_and_answer(self, engine):
        """Start an engine again, and ask it at once."""
        self.restart(engine, is_cut=True)
        self.report(engine, is_late=False)

    @rule(engine=engines, is_listed=st.booleans())
    def restart_alone(self, engine, is_listed):
        """Start an engine again, known by the list or by its answer; list the head."""
        if is_listed:
            self.restart(engine, is_cut=True)
            self.register(engine)
            self.hear_all()
        else:
            self.restart_and_answer(engine)
        self.register(f"{engine[0]}0")
        self.hear_all()
        self.send(resumable=True)

    @rule(engine=engines)
    def restart_while_answering(self, engine):
        """Start an engine again and form its group, while its answer is under way."""
        self.report(engine, is_late=True)
        self.restart(engine, is_cut=True)
        self.form_and_list(engine[0])
        self.hear_all()
        self.hear_report()

    @precondition(lambda self: self.reports)
    @rule()
    def hear_report(self):
        """Take an answer, unless the list moved on since the question."""
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
        self.settle()

    @rule(group=groups, epoch=st.integers(1, 5))
    def hear_peer(self, group, epoch):
        """Hear of a peer that a head which this node takes for one refused."""
        (hear,) = self.peers.on_group_broken
        known = self.directory.groups.get((group, epoch))
        if known is None or known.head is None:
            return
        told = GroupBroken(
            node="n",
            group=group,
            epoch=epoch,
            head=known.head.process,
            cause=BreakCause.REFUSED,
        )
        hear(told)
        self.refused.setdefault(known.key, (self.rig.clock.now(), known.head))
        self.settle()

    @rule(seconds=st.sampled_from([0.1, 1.1, LONGER_THAN_DEADLINES]))
    def let_pass(self, seconds):
        """Let time pass."""
        self.rig.clock.time += seconds
        self.settle()

    # -- what must hold ------------------------------------------------------

    @invariant()
    def ends_are_true(self):
        """Compare what callers were told with what ran."""
        for request, (route, task) in self.served.items():
            runs = self.runs[request]
            assert route.resumable or len(runs) <= 1, "ran twice"
            if not task.done():
                continue
            match task.result():
                case Refusal(status=503, retry_after=after):
                    assert not runs, "said not to have run"
                    assert after > 0
                case Refusal() | CutOff() | Answered():
                    assert runs, "held for unknown though nothing ran"

    @invariant()
    def work_is_counted(self):
        """Compare the counted streams with those that are under way."""
        counted = sum(work.running for work in self.directory.loads._work.values())
        assert counted == len(self.rig.service.active)

    def teardown(self):
        """Come to rest: whole open groups get streams again, whatever was before."""
        for engine in ENGINES:
            self.platform.register(engine)
        self.let_pass(LONGER_THAN_DEADLINES)
        self.read_whole()
        for group in GROUPS:
            if not self.platform.is_whole(group):
                continue
            if self.platform.holds_open_group(f"{group}0"):
                serving = self.directory.serving_groups("engines", "m")
                assert group in {g.name for g in serving}
        self.ends_are_true()
        for _, task in self.served.values():
            task.cancel()
        self.settle()
        self.loop.close()


TestRestarts = Restarts.TestCase
TestRestarts.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
