"""What the planner concludes from engines that are silent together, in virtual time."""

import asyncio
import random
from collections import defaultdict, deque

import pytest
import structlog

from mallowpond.coordination.ports import Unavailable
from mallowpond.emulator.virtual_time import VirtualClock, run_in_virtual_time
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.planner import GroupPlanner
from mallowpond.node.ports import EngineReport, OrderLost
from mallowpond.node.settings import NodeBounds
from mallowpond.node.tests.engine_model import Fleet, ModelSource
from mallowpond.node.tests.fakes import PROFILE, FakeSource, make_availability
from mallowpond.node.tests.test_planner import (
    FakeLeadership,
    FakePeers,
    FakeWatch,
    other_host,
)
from mallowpond.node.traffic import TrafficSeen
from mallowpond.state.fleet import GroupPhase
from mallowpond.state.formation_view import Leave
from mallowpond.state.site_configuration import Service, SiteConfiguration

# Time that an answer takes, and timeouts of queries and orders, in seconds.
ROUND_TRIP_SECONDS = 0.001
QUERY_SECONDS = 0.15
ORDER_SECONDS = 0.5
# Silence of a group after which a host suspects it, the interval between its
# suspicions, and the number of hosts that suspect it.
SUSPECTED_AFTER_SECONDS = 0.2
SUSPICION_INTERVAL_SECONDS = 0.3
HOSTS = 4
# Time within which a target is lost once its group is suspected, in seconds: two
# queries, and the wait of many targets' queries for one another.
LOST_SECONDS = 0.5
MANY_LOST_SECONDS = 2.0
TICK_SECONDS = 0.1
FOREVER = float("inf")


class PausingTargets:
    """Engines that answer late or never while they pause; some refuse connections."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.awake_at = defaultdict(float)
        self.refusing = set()
        self.asked = []
        self.orders = []

    def pause(self, names, seconds):
        """Have engines stand still for `seconds`."""
        until = asyncio.get_running_loop().time() + seconds
        self.awake_at.update(dict.fromkeys(names, until))

    def is_awake(self, name):
        """Return whether an engine runs now."""
        now = asyncio.get_running_loop().time()
        return name not in self.refusing and self.awake_at[name] <= now

    async def _await_answer(self, name, timeout):
        """Return None when an engine has answered, else why it did not."""
        loop = asyncio.get_running_loop()
        if name in self.refusing:
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            return Unavailable(reason="refused")
        left = max(self.awake_at[name] - loop.time(), 0.0) + ROUND_TRIP_SECONDS
        await asyncio.sleep(min(left, timeout))
        if left > timeout:
            return Unavailable(reason="timeout", is_silent=True)
        return None

    async def report(self, target):
        """Return an engine's state if it answers in time."""
        self.asked.append(target.id)
        failure = await self._await_answer(target.id, QUERY_SECONDS)
        if failure is not None:
            return failure
        engine = self.fleet.engines[target.id]
        return EngineReport(orders=engine.count, target=engine.target())

    async def is_healthy(self, target, path, on_cold=None):
        """Return whether an engine answers in time."""
        failure = await self._await_answer(target.id, QUERY_SECONDS)
        return True if failure is None else failure

    async def order(self, step, *, fence, expected):
        """Give an engine an order, which it reads when it runs again."""
        loop = asyncio.get_running_loop()
        self.orders.append((loop.time(), step))
        failure = await self._await_answer(step.target.id, ORDER_SECONDS)
        if failure is None:
            return self.fleet.receive(step, fence=fence, expected=expected)
        if failure.is_silent and self.awake_at[step.target.id] < FOREVER:

            def receive():
                self.fleet.receive(step, fence=fence, expected=expected)

            loop.call_at(self.awake_at[step.target.id], receive)
        return OrderLost(reason=failure.reason)


class Rig:
    """A planner of engines in several domains: open groups of two, and free ones."""

    def __init__(self, *, domains=3, groups=3, free=2, **more):
        self.clock = VirtualClock()
        self.fleet = Fleet(enforces_fences=True)
        for number in range(domains):
            self._add_domain(f"d{number}", groups, free)
        self.targets = PausingTargets(self.fleet)
        service = Service(name="engines", max_connections=10, profile=PROFILE)
        configuration = SiteConfiguration(
            version=1, routes=(), services={"engines": service}
        )
        self.configuration = ConfigurationFollower(
            source=FakeSource(configurations=deque([configuration])),
            clock=self.clock,
            bounds=NodeBounds(revoke=5.0),
        )
        source = ModelSource(self.fleet)
        self.directory = Directory(source=source, clock=self.clock)
        self.watch, self.peers = FakeWatch(), FakePeers()
        # A peer finds the same engines silent.
        self.peers.live = [other_host()]
        self.peers.liveness = defaultdict(bool)
        self.planner = GroupPlanner(
            configuration=self.configuration,
            directory=self.directory,
            targets=self.targets,
            leadership=FakeLeadership(),
            peers=self.peers,
            watch=self.watch,
            clock=self.clock,
            metrics=NodeMetrics(),
            stall_seconds=4.0,
            traffic_seen=TrafficSeen(seen=True),
            availability=make_availability(self.directory, self.clock),
            **more,
        )
        self.lost = {}
        self.regained = []
        self._logs = []
        self._silent_since = {}

    def _add_domain(self, domain, groups, free):
        for number in range(groups):
            group = f"{domain}g{number}"
            members = (f"{group}a", f"{group}b")
            for rank, name in enumerate(members):
                self.fleet.add(name, domain=domain)
                engine = self.fleet.engines[name]
                engine.group, engine.epoch, engine.members = group, 1, members
                engine.model, engine.count = "m", 2
                engine.phase = GroupPhase.READY if rank else GroupPhase.OPEN
                self.fleet.publish(name)
        for number in range(free):
            self.fleet.add(f"{domain}f{number}", domain=domain)

    @property
    def names(self):
        """Return the ids of all engines."""
        return sorted(self.fleet.engines)

    def names_in(self, *domains):
        """Return the ids of the engines of these domains."""
        engines = self.fleet.engines.values()
        return sorted(e.id for e in engines if e.domain in domains)

    def members_in(self, *domains):
        """Return the ids of the engines of these domains that are in groups."""
        return [name for name in self.names_in(*domains) if "g" in name]

    def draw(self, share, seed):
        """Return the ids of a random share of all engines."""
        count = round(share * len(self.names))
        return random.Random(seed).sample(self.names, count)

    async def run(self, seconds):
        """Plan for a time, while hosts suspect the groups that are silent."""
        until = self.clock.now() + seconds
        while self.clock.now() < until - TICK_SECONDS / 2:
            self._advance_engines()
            self._suspect_silent()
            await self.directory.refresh()
            await self.planner.plan_once()
            await asyncio.sleep(TICK_SECONDS)
            self._read_logs()

    def _advance_engines(self):
        for name, engine in self.fleet.engines.items():
            if not self.targets.is_awake(name):
                continue
            if engine.phase in (GroupPhase.JOINING, GroupPhase.CLOSING):
                engine.phase = GroupPhase.READY
            if self.fleet.listed.get(name) != engine.target():
                self.fleet.publish(name)
        self.fleet.stall()

    def _suspect_silent(self):
        now = self.clock.now()
        for key, group in self.directory.groups.items():
            if all(self.targets.is_awake(member.id) for member in group.members):
                self._silent_since.pop(key, None)
                continue
            since = self._silent_since.setdefault(key, now)
            if now - since >= SUSPECTED_AFTER_SECONDS:
                self._silent_since[key] = (
                    now - SUSPECTED_AFTER_SECONDS + SUSPICION_INTERVAL_SECONDS
                )
                for _ in range(HOSTS):
                    self.watch.on_suspect[0](key)

    def _read_logs(self):
        for entry in self._logs:
            if entry["event"] == "planner: target lost":
                self.lost.setdefault(entry["target"], self.clock.now())
            if entry["event"] == "planner: target regained":
                self.regained.append(entry["target"])
        self._logs.clear()

    @property
    def orders(self):
        """Return the orders that were sent."""
        return [step for _, step in self.targets.orders]


def scene(run, **more):
    """Run a scene in virtual time on a rig that has settled; return the rig."""

    async def play():
        rig = Rig(**more)
        await rig.configuration.step()
        with structlog.testing.capture_logs() as logs:
            rig._logs = logs
            await rig.run(2.0)
            # Free engines of a domain may have formed a group.
            rig.targets.orders.clear()
            await run(rig)
            await rig.planner.close()
        return rig

    return run_in_virtual_time(play())


FLEETS = [
    {"domains": 3, "groups": 1, "free": 2},
    {"domains": 3, "groups": 3, "free": 1},
    {"domains": 12, "groups": 5, "free": 2},
]


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seconds", [0.25, 0.4, 1.2, 3.0])
def test_a_pause_of_all_engines_loses_none(fleet, seconds):
    """Guards against live groups that are dissolved after a pause of all engines."""

    async def run(rig):
        rig.targets.pause(rig.names, seconds)
        await rig.run(seconds + 4.0)

    rig = scene(run, **fleet)
    assert rig.lost == {}
    assert rig.orders == []


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seed", range(1, 6))
def test_a_pause_of_most_engines_of_every_domain_loses_none(fleet, seed):
    """Guards against live groups that are dissolved after a pause of most engines."""

    async def run(rig):
        # A fleet of few engines has domains in which none pauses.
        spread = [f"d{number}g0a" for number in range(fleet["domains"])]
        rig.targets.pause({*rig.draw(0.6, seed), *spread}, 1.1)
        await rig.run(4.0)

    rig = scene(run, **fleet)
    assert rig.lost == {}
    assert rig.orders == []


@pytest.mark.parametrize("fleet", FLEETS)
def test_pauses_one_after_the_other_lose_no_engine(fleet):
    """Guards against suspicions that add up from one pause to the next."""

    async def run(rig):
        for seconds in (1.2, 0.5, 1.3, 0.7, 1.0):
            rig.targets.pause(rig.names, seconds)
            await rig.run(seconds + 0.6)
        await rig.run(4.0)

    rig = scene(run, **fleet)
    assert rig.lost == {}
    assert rig.orders == []


def test_a_group_whose_members_answer_but_which_stays_silent_is_formed_anew():
    """Guards against a group whose members cannot reach one another."""

    async def run(rig):
        for _ in range(9):
            for _ in range(HOSTS):
                rig.watch.on_suspect[0](("d1g0", 1))
            await rig.run(0.3)

    rig = scene(run)
    assert rig.lost == {}
    leaves = {step.target.id for step in rig.orders if isinstance(step, Leave)}
    assert leaves == {"d1g0a", "d1g0b"}


@pytest.mark.parametrize("fleet", FLEETS)
def test_one_silent_engine_is_lost_at_once(fleet):
    async def run(rig):
        rig.targets.pause(["d1g0b"], FOREVER)
        await rig.run(SUSPECTED_AFTER_SECONDS + LOST_SECONDS)

    rig = scene(run, **fleet)
    assert set(rig.lost) == {"d1g0b"}
    leaves = [step for step in rig.orders if isinstance(step, Leave)]
    assert {step.target.id for step in leaves} == {"d1g0a"}


def test_lost_engines_are_probed_on_without_the_others():
    """Guards against queries to the fleet for as long as an engine stays dead."""

    async def run(rig):
        rig.targets.pause(["d1g0b"], FOREVER)
        await rig.run(2.0)
        rig.targets.asked.clear()
        await rig.run(5.0)

    rig = scene(run)
    assert set(rig.lost) == set(rig.targets.asked) == {"d1g0b"}


def test_a_silent_engine_in_every_domain_is_lost_at_once():
    dead = [f"d{number}g0b" for number in range(3)]

    async def run(rig):
        rig.targets.pause(dead, FOREVER)
        await rig.run(SUSPECTED_AFTER_SECONDS + LOST_SECONDS)

    rig = scene(run)
    assert set(rig.lost) == set(dead)


@pytest.mark.parametrize("fleet", FLEETS)
def test_a_dark_domain_is_lost_at_once(fleet):
    async def run(rig):
        rig.targets.pause(rig.names_in("d1"), FOREVER)
        await rig.run(SUSPECTED_AFTER_SECONDS + LOST_SECONDS)

    rig = scene(run, **fleet)
    assert set(rig.lost) >= set(rig.members_in("d1"))
    assert set(rig.lost) <= set(rig.names_in("d1"))


@pytest.mark.parametrize(("domains", "dark"), [(2, 1), (3, 2), (4, 2), (12, 6)])
def test_half_of_the_domains_dark_are_lost_at_once(domains, dark):
    dark_domains = [f"d{number}" for number in range(dark)]

    async def run(rig):
        rig.targets.pause(rig.names_in(*dark_domains), FOREVER)
        await rig.run(SUSPECTED_AFTER_SECONDS + MANY_LOST_SECONDS)

    rig = scene(run, domains=domains)
    assert set(rig.lost) >= set(rig.members_in(*dark_domains))
    assert set(rig.lost) <= set(rig.names_in(*dark_domains))


def test_an_engine_that_stays_silent_after_a_pause_of_all_is_lost():
    """Guards against a dead engine that is taken for one of those that paused."""

    async def run(rig):
        rig.targets.pause(rig.names, 1.2)
        rig.targets.pause(["d1g0b"], FOREVER)
        await rig.run(1.2)
        rig.lost_in_pause = dict(rig.lost)
        await rig.run(1.0)

    rig = scene(run)
    assert rig.lost_in_pause == {}
    assert set(rig.lost) == {"d1g0b"}
    assert {step.target.id for step in rig.orders} >= {"d1g0a"}
    ended = [step.group for step in rig.orders if isinstance(step, Leave)]
    assert set(ended) == {"d1g0"}


@pytest.mark.parametrize("seconds", [0.42, 0.47, 0.49])
def test_an_engine_that_wakes_a_little_after_the_others_is_not_lost(seconds):
    """Guards against an engine that is lost for the last moment of a pause."""

    async def run(rig):
        rig.targets.pause(rig.names, seconds)
        rig.targets.pause(["d1g0b"], seconds + 0.05)
        await rig.run(3.0)

    rig = scene(run)
    assert rig.lost == {}
    assert rig.orders == []


def test_an_engine_that_refuses_connections_is_lost_in_a_pause_of_all():
    """Guards against a known death that is held for a silence."""

    async def run(rig):
        rig.targets.pause(rig.names, 1.2)
        rig.targets.refusing.add("d1g0b")
        await rig.run(SUSPECTED_AFTER_SECONDS + LOST_SECONDS)
        rig.lost_in_pause = dict(rig.lost)
        await rig.run(1.0)

    rig = scene(run)
    assert set(rig.lost_in_pause) == set(rig.lost) == {"d1g0b"}
    # The other member is ordered to leave once it answers.
    leaves = [step for step in rig.orders if isinstance(step, Leave)]
    assert {step.target.id for step in leaves} == {"d1g0a"}
    assert len(leaves) == len(rig.orders)


def test_engines_that_are_silent_for_good_are_lost_in_the_end():
    """Guards against a fleet that is dead and never counts as such."""

    async def run(rig):
        rig.targets.pause(rig.names_in("d0", "d1", "d2"), FOREVER)
        await rig.run(8.0)

    rig = scene(run)
    assert set(rig.lost) >= set(rig.members_in("d0", "d1", "d2"))


def test_an_engine_whose_entry_lapses_in_a_pause_of_all_is_lost():
    """Guards against a dead engine that keeps its place while the others pause."""

    async def run(rig):
        rig.targets.pause(rig.names, 3.0)
        rig.targets.pause(["d1g0b"], FOREVER)
        await rig.run(1.0)
        rig.fleet.expire("d1g0b")
        await rig.run(1.0)

    rig = scene(run)
    assert set(rig.lost) == {"d1g0b"}


def test_entries_that_lapse_together_in_a_pause_lose_no_engine():
    """Guards against a pause that is longer than the engines' entries last."""

    async def run(rig):
        rig.targets.pause(rig.names, 3.0)
        await rig.run(1.0)
        for name in rig.names:
            rig.fleet.expire(name)
        await rig.run(5.0)

    rig = scene(run)
    assert rig.lost == {}
    assert rig.orders == []


def test_free_engines_form_no_group_while_nearly_all_are_silent():
    """Guards against orders that are planned on what a pause shows of the fleet."""

    async def run(rig):
        rig.targets.pause(rig.names, 1.2)
        await rig.run(0.8)
        for number in range(3):
            rig.fleet.add(f"d0f{number}", domain="d0")
        await rig.run(0.4)
        rig.orders_in_pause = rig.orders
        await rig.run(2.0)

    rig = scene(run, free=0)
    assert rig.orders_in_pause == []
    assert {step.target.domain for step in rig.orders} == {"d0"}
    assert not any(isinstance(step, Leave) for step in rig.orders)
