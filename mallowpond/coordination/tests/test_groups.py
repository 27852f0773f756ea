"""A group serves only when complete, and no host is in two groups."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mallowpond.coordination.ports import HostState, OrderAction
from mallowpond.coordination.tests.fakes import (
    LEASE_SECONDS,
    FakeClock,
    FakeEngine,
    FakeEngines,
    RecordingTable,
    make_controller,
    make_hosts,
    step_all,
)
from mallowpond.state.declarations import Declaration, Deployment
from mallowpond.state.rows import GroupState

HOSTS = ("h0", "h1", "h2", "h3", "h4")


def declaration(replicas=1, size=3, checks_fencing=True):
    deployment = Deployment(
        name="meteor",
        model="m",
        replicas=replicas,
        hosts_per_group=size,
        checks_fencing=checks_fencing,
    )
    return Declaration(deployments=(deployment,))


class Site:
    """Controllers, engines, hosts and the clock of one test."""

    def __init__(self, *, controllers="a", checks_fencing=True, size=3, replicas=1):
        self.clock, self.table = FakeClock(), RecordingTable()
        engines = {h: FakeEngine(host=h, checks_fencing=checks_fencing) for h in HOSTS}
        self.engines = FakeEngines(engines=engines)
        self.controllers = [
            make_controller(n, self.table, self.clock, self.engines)
            for n in controllers
        ]
        self.declaration = declaration(replicas, size, checks_fencing)
        self.hosts = make_hosts(*HOSTS) + make_hosts("entry-a", "entry-b", domain="")

    async def start(self):
        await step_all(*self.controllers)
        return self

    async def tick(self, *controllers, times=1, seconds=0.5):
        for _ in range(times):
            for controller in controllers or self.controllers:
                await controller.step()
                await controller.plan(self.declaration, self.hosts)
            self.clock.time += seconds

    async def tick_until_ordered(self):
        """Tick until the first load orders are sent."""
        while not self.engines.sent_orders:
            await self.tick()

    @property
    def owner(self):
        return next(n for n in self.controllers if n.lease.current)

    @property
    def groups(self):
        return list(self.controllers[0].groups.groups().values())

    def states(self):
        return [g.state for g in self.groups]


async def test_group_is_ready_only_when_every_member_has_confirmed():
    site = await Site().start()
    site.engines.engines["h1"].can_load = False
    await site.tick(times=8)
    assert site.states() == [GroupState.LOADING]
    # It was never stored as ready, not even between two steps.
    written = [p.value["state"] for p in site.table.written if "/group/" in p.key]
    assert "ready" not in written
    site.engines.engines["h1"].can_load = True
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
    engine.restart(keeps_placement=True)


async def loses_its_place(engine):
    engine.order = None


@pytest.mark.parametrize(
    "fault", [dies, returns_as_if_nothing_happened, returns_claiming_its_old_place]
)
@pytest.mark.parametrize("phase", ["forming", "loading", "ready"])
async def test_lost_member_is_replaced_and_the_group_waits_for_all(fault, phase):
    """A group must not serve with a member that has nothing loaded.

    A member dies or restarts while its group forms, loads or serves. The group would
    serve without it if READY depended on the number of hosts and not on what each
    member confirmed.
    """
    site = await Site().start()
    await site.tick_until_ordered()
    (group,) = site.groups
    lost = site.engines.engines[group.hosts[1]]
    lost.can_load = phase == "ready"
    await site.tick(times={"forming": 0, "loading": 2, "ready": 4}[phase])
    assert (site.states() == [GroupState.READY]) == (phase == "ready")
    await fault(lost)
    await site.tick(times=1)
    age = site.controllers[0].watch.confirmed_age(site.groups[0])
    assert age is None or age >= 0.5
    lost.can_load = True
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
    site.engines.engines["h1"].restart(keeps_placement=True)
    await site.owner.watch.poll(site.hosts)
    assert site.owner.watch.confirmed_age(group) is None


async def test_group_that_waits_for_its_lost_member_is_not_ready():
    """A group with a dead member must count as down and not as serving.

    A member dies and its domain has no replacement. The group counts as serving if its
    row stays READY until a repair can be planned.
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


@pytest.mark.parametrize("outage", [empty_list, everyone_silent])
async def test_planner_that_sees_nobody_takes_no_group_apart(outage):
    """A planner must not delete every group at once, since all must then load again.

    The planner has not read the host list yet, or is cut off from the engines. A group
    with no visible member must not be treated as one without members.
    """
    site = await ready_site()
    before = site.groups
    hosts = site.hosts
    await outage(site)
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
    await site.tick_until_ordered()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    await site.tick(other, times=20)
    assert other.lease.current
    groups = list(other.groups.groups().values())
    assert [g.state for g in groups] == [GroupState.READY]


async def test_owner_whose_lease_lapsed_writes_and_sends_nothing():
    """Two planners must not send orders to the same hosts.

    The owner is paused for longer than the lease and resumes in the middle of a step.
    It must not rely on the lease row, which it has not read again.
    """
    site = await Site(controllers="ab").start()
    await site.tick_until_ordered()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    site.clock.time += LEASE_SECONDS
    await site.tick(other, times=16)
    sent, commits = len(site.engines.sent_orders), site.table.version
    await paused.plan(site.declaration, site.hosts)
    assert len(site.engines.sent_orders) == sent
    assert site.table.version == commits


async def test_table_refuses_an_older_holders_write():
    site = await Site(controllers="ab").start()
    await site.tick_until_ordered()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    await site.tick(other, times=16)
    # The worst case: the former holder considers its lease still valid.
    paused.membership._renewed_at = site.clock.now()
    before = {k: r.version for k, r in site.table._rows.items() if "/host/" in k}
    await paused.plan(site.declaration, site.hosts)
    after = {k: r.version for k, r in site.table._rows.items() if "/host/" in k}
    assert after == before


async def test_older_holder_cannot_bind_hosts_that_nobody_touched():
    """Two planners must not form more groups together than declared.

    The former holder resumes, considers its lease valid, and finds unassigned hosts. It
    succeeds if only the rows of the hosts are checked and not the row of the lease.
    """
    site = await Site(controllers="ab", size=2).start()
    await site.tick_until_ordered()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    site.clock.time += LEASE_SECONDS
    await site.tick(other, times=16)
    await paused.watch.poll(site.hosts)
    paused.membership._renewed_at = site.clock.now()
    site.declaration = declaration(replicas=2, size=2)
    before = len(other.groups.groups())
    await paused.groups.tick(declaration=site.declaration, hosts=site.hosts)
    await other.shared.refresh()
    assert len(other.groups.groups()) == before


async def test_table_refuses_a_new_group_under_an_older_lease():
    """A former holder must not form more groups than declared on unassigned hosts.

    A holder is paused before its first plan; another takes over and plans. The first
    one resumes, considers its lease valid, and sees only unassigned hosts. It succeeds
    if nothing in its transaction depends on the lease.
    """
    site = await Site(controllers="ab", size=2).start()
    while not any(n.lease.current for n in site.controllers):
        await site.tick()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    site.clock.time += LEASE_SECONDS
    await site.tick(other, times=16)
    untouched = make_hosts("h2", "h3", "h4")
    await paused.watch.poll(untouched)
    paused.membership._renewed_at = site.clock.now()
    await paused.groups.tick(declaration=site.declaration, hosts=untouched)
    await other.shared.refresh()
    assert len(other.groups.groups()) == 1


async def test_planner_that_cannot_read_does_not_bind_a_host_twice():
    """A host must not be in two groups of one planner.

    The answer to a commit is lost and the table cannot be read afterwards, so the
    planner plans again from the rows that it read before. The host gets a second group
    if its row is written without a check of its version.
    """
    site = await Site(size=2).start()
    (controller,) = site.controllers
    await site.tick()
    await controller.step()
    controller.table_link.lose_answers, controller.table_link.reads_cut = 1, True
    await controller.plan(site.declaration, site.hosts)
    await controller.plan(site.declaration, site.hosts)
    controller.table_link.reads_cut = False
    await controller.shared.refresh()
    bound = [h for g in controller.groups.groups().values() for h in g.hosts]
    assert len(bound) == len(set(bound)) == 2


async def test_lost_commit_answer_does_not_bind_hosts_twice():
    site = await Site().start()
    site.controllers[0].table_link.lose_answers = 50
    await site.tick(times=8)
    site.controllers[0].table_link.lose_answers = 0
    await site.tick(times=8)
    assert site.states() == [GroupState.READY]
    bound = [h for g in site.groups for h in g.hosts]
    assert len(bound) == len(set(bound)) == 3


async def pause_owner_before_sending(checks_fencing):
    """Return a site whose owner is paused after storing orders, and these orders.

    The engines lose the orders, as if these had not been sent yet.
    """
    site = await Site(controllers="ab", checks_fencing=checks_fencing).start()
    await site.tick_until_ordered()
    paused = site.owner
    (other,) = [n for n in site.controllers if n is not paused]
    late_orders = [
        (h, o) for h, o in site.engines.sent_orders if o.action is OrderAction.LOAD
    ]
    for host, _ in late_orders:
        site.engines.engines[host].restart()
        site.engines.engines[host].incarnation = "1"
    return site, paused, other, late_orders


async def test_late_order_is_refused_where_engines_check_fencing():
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=True
    )
    await site.tick(other, times=24)
    statuses = {h: site.engines.engines[h].status() for h, _ in late_orders}
    for host, order in late_orders:
        await site.engines.order(host, order)
    assert {h: site.engines.engines[h].status() for h, _ in late_orders} == statuses


async def test_host_is_kept_out_where_engines_ignore_fencing():
    """A host whose engine ignores fencing must not join two groups.

    The owner stores an order and is paused; another process takes the lease over and
    assigns the host to a new group; the former owner resumes and sends its order. The
    engine ignores the fencing number, and no wait rules out that the order arrives.
    """
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=False
    )
    await site.tick(other, times=24)
    tainted = {host for host, _ in late_orders}
    assert set(other.groups.tainted) == tainted
    assert len(tainted) == 3
    assert GroupState.READY not in [g.state for g in site.groups]
    sent_since = {host for host, _ in site.engines.sent_orders[len(late_orders) :]}
    assert tainted.isdisjoint(sent_since)


async def test_tainted_host_is_freed_when_the_old_holder_withdraws():
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=False
    )
    await site.tick(other, times=24)
    await site.tick(paused, other, times=20)
    assert other.groups.tainted == ()
    states = [g.state for g in other.groups.groups().values()]
    assert states == [GroupState.READY]


async def test_tainted_host_is_freed_when_the_old_holders_host_is_replaced():
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=False
    )
    await site.tick(other, times=24)
    gone = f"entry-{paused.name}"
    site.hosts = tuple(h for h in site.hosts if h.name != gone)
    await site.tick(other, times=10)
    assert other.groups.tainted == ()


async def test_host_list_that_was_never_read_frees_nothing():
    """A host with an earlier holder's open order must not join another group.

    A controller starts, takes the planner's lease, and plans before it has read the
    platform's list. A holder's host missing from an empty list must not count as gone.
    """
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=False
    )
    await site.tick(other, times=24)
    listed_hosts, site.hosts = site.hosts, ()
    await site.tick(other, times=3)
    site.hosts = listed_hosts
    await site.tick(other, times=3)
    assert set(other.groups.tainted) == {host for host, _ in late_orders}


async def test_tainted_host_is_freed_when_its_engine_shows_the_order_done():
    site, paused, other, late_orders = await pause_owner_before_sending(
        checks_fencing=False
    )
    await site.tick(other, times=24)
    for host, order in late_orders:
        await site.engines.order(host, order)
    await site.tick(other, times=4)
    assert other.groups.tainted == ()


async def test_leaving_host_is_drained_before_its_group_is_taken_apart():
    site = await ready_site()
    (group,) = site.groups
    head = site.engines.engines[group.head.host]
    head.in_flight = 1
    site.hosts = tuple(
        make_hosts(h.name)[0].__class__(**{**vars(h), "state": HostState.LEAVING})
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
    for controller in site.controllers:
        object.__setattr__(controller.groups._timings, "max_loading_hosts", 2)
    await site.tick(times=4)
    assert site.groups == []


class GroupMachine(RuleBasedStateMachine):
    """Two planners on one table; engines that die, restart and get late orders."""

    def __init__(self):
        super().__init__()
        import asyncio

        self.loop = asyncio.new_event_loop()
        self.site = Site(controllers="ab", size=2, replicas=2)
        self.run(self.site.start())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def teardown(self):
        self.loop.close()

    planners = st.integers(0, 1)
    hosts = st.sampled_from(HOSTS)

    @rule(planner=planners)
    def step(self, planner):
        self.run(self.site.controllers[planner].step())

    @rule(planner=planners)
    def plan(self, planner):
        self.run(
            self.site.controllers[planner].plan(self.site.declaration, self.site.hosts)
        )

    @rule(planner=planners, lost=st.integers(0, 2))
    def lose_answers(self, planner, lost):
        self.site.controllers[planner].table_link.lose_answers = lost

    @rule(planner=planners, cut=st.booleans())
    def cut(self, planner, cut):
        self.site.controllers[planner].table_link.cut = cut

    @rule(host=hosts, silent=st.booleans())
    def silence(self, host, silent):
        self.site.engines.engines[host].silent = silent

    @rule(host=hosts)
    def restart(self, host):
        self.site.engines.engines[host].restart()

    @rule(index=st.integers(0, 30))
    def late_order(self, index):
        """The network delivers a copy of an earlier order."""
        if self.site.engines.sent_orders:
            host, order = self.site.engines.sent_orders[
                index % len(self.site.engines.sent_orders)
            ]
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
        """In a group confirmed now, every member has the group's generation."""
        for controller in self.site.controllers:
            for group in controller.groups.groups().values():
                age = controller.watch.confirmed_age(group)
                if age is None or age > 0.0:
                    continue
                for member in group.members:
                    seen = controller.watch.recent_status(member.host)
                    assert seen.generation == group.generation


TestGroupMachine = GroupMachine.TestCase
TestGroupMachine.settings = settings(
    max_examples=40, stateful_step_count=40, derandomize=True, deadline=None
)
