"""Groups: whole or not serving, and no host in two."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mallowpond.coordination.ports import HostState, OrderAction
from mallowpond.coordination.tests.fakes import (
    LEASE,
    FakeClock,
    FakeEngine,
    FakeEngines,
    RecordingTable,
    listed,
    make_controller,
    settle,
)
from mallowpond.state.declarations import Declaration, Deployment
from mallowpond.state.rows import GroupState

HOSTS = ("h0", "h1", "h2", "h3", "h4")


def declaration(replicas=1, size=3, checks_fencing=True):
    one = Deployment(
        name="meteor",
        model="m",
        replicas=replicas,
        hosts_per_group=size,
        checks_fencing=checks_fencing,
    )
    return Declaration(deployments=(one,))


class Site:
    """Hold controllers, engines and the clock of one test."""

    def __init__(self, *, controllers="a", checks_fencing=True, size=3, replicas=1):
        self.clock, self.table = FakeClock(), RecordingTable()
        engines = {h: FakeEngine(host=h, checks_fencing=checks_fencing) for h in HOSTS}
        self.engines = FakeEngines(engines=engines)
        self.nodes = [
            make_controller(n, self.table, self.clock, self.engines)
            for n in controllers
        ]
        self.declaration = declaration(replicas, size, checks_fencing)
        self.hosts = listed(*HOSTS) + listed("entry-a", "entry-b", domain="")

    async def start(self):
        await settle(*self.nodes)
        return self

    async def tick(self, *nodes, times=1, seconds=0.5):
        for _ in range(times):
            for node in nodes or self.nodes:
                await node.step()
                await node.plan(self.declaration, self.hosts)
            self.clock.time += seconds

    async def until_ordered(self):
        """Tick until the first load orders went out."""
        while not self.engines.log:
            await self.tick()

    @property
    def owner(self):
        return next(n for n in self.nodes if n.lease.current)

    @property
    def groups(self):
        return list(self.nodes[0].groups.groups().values())

    def states(self):
        return [g.state for g in self.groups]


async def test_group_is_ready_only_when_every_member_has_confirmed():
    site = await Site().start()
    site.engines.engines["h1"].loads = False
    await site.tick(times=8)
    assert site.states() == [GroupState.LOADING]
    # Not even between two steps was it ever called ready.
    written = [p.value["state"] for p in site.table.written if "/group/" in p.key]
    assert "ready" not in written
    site.engines.engines["h1"].loads = True
    await site.tick(times=3)
    assert site.states() == [GroupState.READY]


async def ready_site(**options):
    site = await Site(**options).start()
    await site.tick(times=6)
    assert GroupState.READY in site.states()
    return site


async def dies(engine):
    engine.silent = True


async def returns_as_if_nothing_happened(engine):
    engine.restart()


async def returns_claiming_its_old_place(engine):
    engine.restart(keeps_place=True)


async def loses_its_place(engine):
    engine.order = None


@pytest.mark.parametrize(
    "fault", [dies, returns_as_if_nothing_happened, returns_claiming_its_old_place]
)
@pytest.mark.parametrize("phase", ["forming", "loading", "ready"])
async def test_lost_member_is_replaced_and_the_group_waits_for_all(fault, phase):
    """
    Symptom: a group serves with a member that holds nothing.
    Events: a member dies or restarts while forming, loading or serving.
    Cause: READY looked at the number of hosts and not at who confirmed what.
    """
    site = await Site().start()
    await site.until_ordered()
    (group,) = site.groups
    lost = site.engines.engines[group.hosts[1]]
    lost.loads = phase == "ready"
    await site.tick(times={"forming": 0, "loading": 2, "ready": 4}[phase])
    assert (site.states() == [GroupState.READY]) == (phase == "ready")
    await fault(lost)
    await site.tick(times=1)
    age = site.nodes[0].watch.confirmed_age(site.groups[0])
    assert age is None or age >= 0.5
    lost.loads = True
    await site.tick(times=12)
    (repaired,) = site.groups
    assert repaired.state is GroupState.READY
    for member in repaired.members:
        status = site.engines.engines[member.host].status()
        assert (status.group, status.generation) == (
            repaired.group,
            repaired.generation,
        )
        assert status.incarnation == member.incarnation


async def test_engine_that_lost_its_place_breaks_the_group():
    site = await ready_site()
    (group,) = site.groups
    await loses_its_place(site.engines.engines[group.hosts[2]])
    await site.owner.watch.poll(site.hosts[:5])
    assert site.owner.watch.confirmed_age(group) is None
    await site.tick(times=8)
    assert site.states() == [GroupState.READY]
    assert site.groups[0].generation == group.generation + 1


async def test_sight_of_a_group_ends_when_a_member_returns_as_another():
    site = await ready_site()
    (group,) = site.groups
    site.engines.engines["h1"].restart(keeps_place=True)
    await site.owner.watch.poll(site.hosts)
    assert site.owner.watch.confirmed_age(group) is None


async def test_group_that_waits_for_its_lost_member_is_not_ready():
    """
    Symptom: a group with a dead member is counted as serving; its downtime is not.
    Events: a member dies and its domain has no replacement. Cause: the row stayed
    READY until a repair could be planned.
    """
    site = await ready_site(size=5)
    (group,) = site.groups
    site.engines.engines["h1"].silent = True
    await site.tick(times=8)
    assert site.states() == [GroupState.BROKEN]
    assert site.groups[0].hosts == group.hosts
    site.engines.engines["h1"].silent = False
    await site.tick(times=3)
    assert site.states() == [GroupState.READY]


async def empty_list(site):
    site.hosts = ()


async def everyone_silent(site):
    for engine in site.engines.engines.values():
        engine.silent = True


@pytest.mark.parametrize("blindness", [empty_list, everyone_silent])
async def test_planner_that_sees_nobody_takes_no_group_apart(blindness):
    """
    Symptom: every group is deleted at once, and has to be loaded anew.
    Events: a planner has not read the host list yet, or is cut off from the engines.
    Cause: a group none of whose members can be seen was taken for one without members.
    """
    site = await ready_site()
    before = site.groups
    hosts = site.hosts
    await blindness(site)
    await site.tick(times=10)
    assert [g.hosts for g in site.groups] == [g.hosts for g in before]
    site.hosts = hosts
    for engine in site.engines.engines.values():
        engine.silent = False
    await site.tick(times=3)
    assert [g.generation for g in site.groups] == [g.generation for g in before]
    assert site.states() == [GroupState.READY]


async def test_dark_domain_takes_its_groups_down_and_brings_them_back():
    site = await ready_site()
    for engine in site.engines.engines.values():
        engine.silent = True
    await site.tick(times=8)
    assert GroupState.READY not in site.states()
    for engine in site.engines.engines.values():
        engine.silent = False
    await site.tick(times=10)
    assert site.states() == [GroupState.READY]


async def test_owner_frozen_during_assembly_is_taken_over():
    site = await Site(controllers="ab").start()
    await site.until_ordered()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    await site.tick(other, times=20)
    assert other.lease.current
    groups = list(other.groups.groups().values())
    assert [g.state for g in groups] == [GroupState.READY]


async def test_owner_whose_lease_lapsed_writes_and_sends_nothing():
    """
    Symptom: two planners order the same hosts.
    Events: the owner freezes for longer than the lease and wakes mid-step.
    Cause: it went by the lease row, which it had not read again.
    """
    site = await Site(controllers="ab").start()
    await site.until_ordered()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    site.clock.time += LEASE
    await site.tick(other, times=16)
    sent, commits = len(site.engines.log), site.table.version
    await frozen.plan(site.declaration, site.hosts)
    assert len(site.engines.log) == sent
    assert site.table.version == commits


async def test_table_refuses_an_older_holders_write():
    site = await Site(controllers="ab").start()
    await site.until_ordered()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    await site.tick(other, times=16)
    # The worst case: the old holder believes that its lease is still good.
    frozen.membership._renewed_at = site.clock.now()
    before = {k: r.version for k, r in site.table._rows.items() if "/host/" in k}
    await frozen.plan(site.declaration, site.hosts)
    after = {k: r.version for k, r in site.table._rows.items() if "/host/" in k}
    assert after == before


async def test_older_holder_cannot_bind_hosts_that_nobody_touched():
    """
    Symptom: two planners form groups side by side, more than declared.
    Events: the old holder wakes, believes in its lease, and finds untouched hosts.
    Cause: only the rows of the hosts were checked, not the lease's.
    """
    site = await Site(controllers="ab", size=2).start()
    await site.until_ordered()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    site.clock.time += LEASE
    await site.tick(other, times=16)
    await frozen.watch.poll(site.hosts)
    frozen.membership._renewed_at = site.clock.now()
    site.declaration = declaration(replicas=2, size=2)
    before = len(other.groups.groups())
    await frozen.groups.tick(declaration=site.declaration, hosts=site.hosts)
    await other.shared.refresh()
    assert len(other.groups.groups()) == before


async def test_table_refuses_a_new_group_under_an_older_lease():
    """
    Symptom: more groups than declared, on hosts that nobody else wanted.
    Events: a holder freezes before its first plan; another takes over and plans; the
    first wakes, still believes in its lease, and sees only untouched hosts.
    Cause: nothing in its transaction depends on the lease.
    """
    site = await Site(controllers="ab", size=2).start()
    while not any(n.lease.current for n in site.nodes):
        await site.tick()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    site.clock.time += LEASE
    await site.tick(other, times=16)
    untouched = listed("h2", "h3", "h4")
    await frozen.watch.poll(untouched)
    frozen.membership._renewed_at = site.clock.now()
    await frozen.groups.tick(declaration=site.declaration, hosts=untouched)
    await other.shared.refresh()
    assert len(other.groups.groups()) == 1


async def test_planner_that_cannot_read_does_not_bind_a_host_twice():
    """
    Symptom: a host stands in two groups of one planner.
    Events: a commit's answer is lost and the table cannot be read afterwards; the
    planner plans again on what it knew before.
    Cause: the host's row was written without a check of its version.
    """
    site = await Site(size=2).start()
    (node,) = site.nodes
    await site.tick()
    await node.step()
    node.line.lose_answers, node.line.reads_cut = 1, True
    await node.plan(site.declaration, site.hosts)
    await node.plan(site.declaration, site.hosts)
    node.line.reads_cut = False
    await node.shared.refresh()
    bound = [h for g in node.groups.groups().values() for h in g.hosts]
    assert len(bound) == len(set(bound)) == 2


async def test_lost_commit_answer_does_not_bind_hosts_twice():
    site = await Site().start()
    site.nodes[0].line.lose_answers = 50
    await site.tick(times=8)
    site.nodes[0].line.lose_answers = 0
    await site.tick(times=8)
    assert site.states() == [GroupState.READY]
    bound = [h for g in site.groups for h in g.hosts]
    assert len(bound) == len(set(bound)) == 3


async def orphaned_intent(checks_fencing):
    """Let the owner write an order down and freeze before it is sent."""
    site = await Site(controllers="ab", checks_fencing=checks_fencing).start()
    await site.until_ordered()
    frozen = site.owner
    (other,) = [n for n in site.nodes if n is not frozen]
    late = [(h, o) for h, o in site.engines.log if o.action is OrderAction.LOAD]
    for host, _ in late:
        site.engines.engines[host].restart()
        site.engines.engines[host].incarnation = "1"
    return site, frozen, other, late


async def test_late_order_is_refused_where_engines_check_fencing():
    site, frozen, other, late = await orphaned_intent(checks_fencing=True)
    await site.tick(other, times=24)
    held = {h: site.engines.engines[h].status() for h, _ in late}
    for host, order in late:
        await site.engines.order(host, order)
    assert {h: site.engines.engines[h].status() for h, _ in late} == held


async def test_host_is_kept_out_where_engines_ignore_fencing():
    """
    Symptom: a host stands in two groups.
    Events: the owner writes an order down and freezes; another takes the lease over
    and gives the host to a new group; the old owner wakes and sends its order.
    Cause: the engine ignores the fencing number, and no wait rules the order out.
    """
    site, frozen, other, late = await orphaned_intent(checks_fencing=False)
    await site.tick(other, times=24)
    tainted = {host for host, _ in late}
    assert set(other.groups.tainted) == tainted
    assert len(tainted) == 3
    assert GroupState.READY not in [g.state for g in site.groups]
    sent_since = {host for host, _ in site.engines.log[len(late) :]}
    assert tainted.isdisjoint(sent_since)


async def test_tainted_host_is_freed_when_the_old_holder_withdraws():
    site, frozen, other, late = await orphaned_intent(checks_fencing=False)
    await site.tick(other, times=24)
    await site.tick(frozen, other, times=20)
    assert other.groups.tainted == ()
    states = [g.state for g in other.groups.groups().values()]
    assert states == [GroupState.READY]


async def test_tainted_host_is_freed_when_the_old_holders_host_is_replaced():
    site, frozen, other, late = await orphaned_intent(checks_fencing=False)
    await site.tick(other, times=24)
    gone = f"entry-{frozen.name}"
    site.hosts = tuple(h for h in site.hosts if h.name != gone)
    await site.tick(other, times=10)
    assert other.groups.tainted == ()


async def test_host_list_that_was_never_read_frees_nothing():
    """
    Symptom: a host with an older holder's open order joins another group.
    Events: a controller starts, takes the planner's lease, and plans before it has
    read the platform's list. Cause: a host missing from an empty list counted as gone.
    """
    site, frozen, other, late = await orphaned_intent(checks_fencing=False)
    await site.tick(other, times=24)
    listed_hosts, site.hosts = site.hosts, ()
    await site.tick(other, times=3)
    site.hosts = listed_hosts
    await site.tick(other, times=3)
    assert set(other.groups.tainted) == {host for host, _ in late}


async def test_tainted_host_is_freed_when_its_engine_shows_the_order_done():
    site, frozen, other, late = await orphaned_intent(checks_fencing=False)
    await site.tick(other, times=24)
    for host, order in late:
        await site.engines.order(host, order)
    await site.tick(other, times=4)
    assert other.groups.tainted == ()


async def test_leaving_host_is_drained_before_its_group_is_taken_apart():
    site = await ready_site()
    (group,) = site.groups
    head = site.engines.engines[group.head.host]
    head.in_flight = 1
    site.hosts = tuple(
        listed(h.name)[0].__class__(**{**vars(h), "state": HostState.LEAVING})
        if h.name == group.hosts[1]
        else h
        for h in site.hosts
    )
    await site.tick(times=10)
    assert site.groups[0].state is GroupState.DRAINING
    assert head.status().group == group.group
    head.in_flight = 0
    await site.tick(times=10)
    (fresh,) = site.groups
    assert fresh.state is GroupState.READY
    assert group.hosts[1] not in fresh.hosts


async def test_loading_is_paced():
    site = await Site(replicas=1).start()
    for node in site.nodes:
        object.__setattr__(node.groups._timings, "max_loading_hosts", 2)
    await site.tick(times=4)
    assert site.groups == []


class GroupMachine(RuleBasedStateMachine):
    """Two planners, one table, engines that die, restart and get late orders."""

    def __init__(self):
        super().__init__()
        import asyncio

        self.loop = asyncio.new_event_loop()
        self.site = Site(controllers="ab", size=2, replicas=2)
        self.run(self.site.start())

    def run(self, work):
        return self.loop.run_until_complete(work)

    def teardown(self):
        self.loop.close()

    nodes = st.integers(0, 1)
    hosts = st.sampled_from(HOSTS)

    @rule(node=nodes)
    def step(self, node):
        self.run(self.site.nodes[node].step())

    @rule(node=nodes)
    def plan(self, node):
        self.run(self.site.nodes[node].plan(self.site.declaration, self.site.hosts))

    @rule(node=nodes, lost=st.integers(0, 2))
    def lose_answers(self, node, lost):
        self.site.nodes[node].line.lose_answers = lost

    @rule(node=nodes, cut=st.booleans())
    def cut(self, node, cut):
        self.site.nodes[node].line.cut = cut

    @rule(host=hosts, silent=st.booleans())
    def silence(self, host, silent):
        self.site.engines.engines[host].silent = silent

    @rule(host=hosts)
    def restart(self, host):
        self.site.engines.engines[host].restart()

    @rule(place=st.integers(0, 30))
    def late_order(self, place):
        """The network delivers a copy of an old order."""
        if self.site.engines.log:
            host, order = self.site.engines.log[place % len(self.site.engines.log)]
            self.run(self.site.engines.order(host, order))

    @rule(seconds=st.sampled_from([0.5, 1.0, 4.0]))
    def wait(self, seconds):
        self.site.clock.time += seconds

    @invariant()
    def no_host_stands_in_two_groups(self):
        rows = self.site.table._rows
        groups = [r.value for k, r in rows.items() if "/group/" in k]
        bound = [m["host"] for g in groups for m in g["members"]]
        assert len(bound) == len(set(bound))

    @invariant()
    def whole_groups_hold_one_generation(self):
        """What a planner takes for whole has every member where it says."""
        for node in self.site.nodes:
            for group in node.groups.groups().values():
                age = node.watch.confirmed_age(group)
                if age is None or age > 0.0:
                    continue
                for member in group.members:
                    seen = node.watch.recent_status(member.host)
                    assert seen.generation == group.generation


TestGroupMachine = GroupMachine.TestCase
TestGroupMachine.settings = settings(
    max_examples=40, stateful_step_count=40, derandomize=True, deadline=None
)
