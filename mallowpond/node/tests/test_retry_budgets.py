"""The retry budget of all hosts while they stop, start and lose each other."""

import asyncio
import random
from bisect import bisect_left, bisect_right

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.emulator.virtual_time import VirtualClock, run_in_virtual_time
from mallowpond.node.messages import Heartbeat
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.node.settings import NodeBounds
from mallowpond.standins.platform import MemoryTable

BOUNDS = NodeBounds(retry_ratio=0.2, retry_slack=134.0, retry_window=10.0)
HOSTS = 8
REQUESTS_PER_SECOND = 15.0
# Time from a granted repeat to its arrival at the target, in seconds.
MAX_ARRIVAL_SECONDS = 0.5
# Requests begin, and hosts want every repeat that they may make, after this time.
SETTLED_SECONDS = 14.0
STEP_SECONDS = 0.05
DATAGRAM_SECONDS = 0.001


class ReplayHost:
    """One host with its peers and budgets; a start gives it a new process."""

    def __init__(self, fleet, number):
        self._fleet, self._number = fleet, number
        self.name, self.address = f"n{number}", f"127.0.0.1:{number + 1}"
        self._starts = 0
        self._tasks = []
        self.budgets = None

    def start(self):
        """Start a new process, which knows nothing of the earlier one."""
        self._starts += 1
        clock = VirtualClock()
        self.peers = PeerNetwork(
            name=self.name,
            incarnation=str(self._starts),
            address=self.address,
            table=self._fleet.table,
            clock=clock,
            make_heartbeat=self._heartbeat,
        )
        self.peers._transport = self
        self.budgets = RetryBudgets(
            bounds=BOUNDS, peers=self.peers, clock=clock, metrics=NodeMetrics()
        )
        self._tasks = [
            asyncio.create_task(self.peers.run_heartbeats()),
            asyncio.create_task(self.peers.run_node_rows()),
        ]

    async def kill(self):
        """End the process at once."""
        self.budgets = None
        for task in self._tasks:
            await cancel_task(task)

    def sendto(self, data, address):
        """Send a datagram to the host at an address."""
        self._fleet.deliver(self._number, address[1] - 1, data)

    def _heartbeat(self):
        return Heartbeat(
            node=self.name,
            incarnation=str(self._starts),
            address=self.address,
            version=1,
            sure=True,
            store=True,
            stopping=False,
            planning=0,
        )


class Fleet:
    """Hosts that make every repeat that their budgets grant."""

    def __init__(self, count=HOSTS):
        self.table = MemoryTable()
        self.hosts = [ReplayHost(self, number) for number in range(count)]
        self._rng = random.Random(3)
        self.is_cut = False
        self.requests = []
        self.arrivals = []

    def deliver(self, sender, receiver, data):
        """Deliver a datagram to a running host unless the hosts are cut off."""
        host = self.hosts[receiver]
        if host.budgets is None or self.is_cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            DATAGRAM_SECONDS, host.peers.datagram_received, data, ("127.0.0.1", 1)
        )

    async def run(self, seconds):
        """Send requests and every granted repeat for some seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(STEP_SECONDS)
            now = loop.time()
            running = [host for host in self.hosts if host.budgets is not None]
            if running and self._rng.random() < REQUESTS_PER_SECOND * STEP_SECONDS:
                self.requests.append(now)
                self._rng.choice(running).budgets.record_first_send("s")
            for host in running:
                while host.budgets.try_repeat(
                    "s", request="q", reason=Reason.BROKEN_STREAM
                ):
                    delay = self._rng.uniform(0.0, MAX_ARRIVAL_SECONDS)
                    self.arrivals.append(now + delay)

    def worst_use(self):
        """Return the largest part of what is allowed that arrived in any window."""
        arrivals, window = sorted(self.arrivals), BOUNDS.retry_window
        return max(
            (bisect_right(arrivals, at + window) - number) / self._allowed(at)
            for number, at in enumerate(arrivals)
        )

    def _allowed(self, start):
        """Return how many repeats may arrive in the window that starts at a time.

        Requests are counted in that window, the one before it or half a window before.
        """
        window = BOUNDS.retry_window
        most = max(
            bisect_right(self.requests, begin + window)
            - bisect_left(self.requests, begin)
            for begin in (start, start - window, start - window / 2.0)
        )
        return BOUNDS.retry_ratio * most + BOUNDS.retry_slack


async def started_fleet(**more):
    """Return a fleet whose hosts know each other and have served for a while."""
    fleet = Fleet(**more)
    for host in fleet.hosts:
        host.start()
    await asyncio.sleep(SETTLED_SECONDS)
    await fleet.run(12.0)
    return fleet


async def kill_five_together(fleet):
    """Kill five hosts at once; they are back two seconds later."""
    for host in fleet.hosts[:5]:
        await host.kill()
    await fleet.run(2.0)
    for host in fleet.hosts[:5]:
        host.start()


async def kill_in_turn(fleet):
    """Kill each host for a second, one after the other."""
    for host in fleet.hosts:
        await host.kill()
        await fleet.run(1.0)
        host.start()


async def cut_all(fleet, seconds=3.0):
    """Cut all hosts from each other, while all are at work."""
    fleet.is_cut = True
    await fleet.run(seconds)
    fleet.is_cut = False


async def cut_for_long(fleet):
    """Cut all hosts from each other for longer than a window."""
    await cut_all(fleet, 25.0)


async def kill_all_while_cut(fleet):
    """Kill all hosts at once; they start while they are cut from each other."""
    for host in fleet.hosts:
        await host.kill()
    fleet.is_cut = True
    for host in fleet.hosts:
        host.start()
    await fleet.run(14.0)
    fleet.is_cut = False


async def start_without_the_store(fleet):
    """Restart all hosts in turn while the store is away and they are cut off."""
    fleet.table.faults = replace_down(fleet.table.faults, True)
    fleet.is_cut = True
    for host in fleet.hosts:
        await host.kill()
        host.start()
    await fleet.run(14.0)
    fleet.table.faults = replace_down(fleet.table.faults, False)
    fleet.is_cut = False


def replace_down(faults, down):
    """Return the faults with the store away or back."""
    return type(faults)(down=down)


async def add_two(fleet):
    """Start two hosts that were never known before."""
    for number in (HOSTS, HOSTS + 1):
        host = ReplayHost(fleet, number)
        fleet.hosts.append(host)
        host.start()
        await fleet.run(1.0)


SCENES = (
    kill_five_together,
    kill_in_turn,
    cut_all,
    cut_for_long,
    kill_all_while_cut,
    start_without_the_store,
    add_two,
)


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
def test_hosts_that_change_keep_within_the_retry_budget(scene):
    """Guards against parts of the budget that are given out again in one window."""

    async def run():
        fleet = await started_fleet()
        await scene(fleet)
        await fleet.run(14.0)
        return fleet.worst_use()

    assert run_in_virtual_time(run()) <= 1.0


def test_hosts_that_do_not_change_use_most_of_the_retry_budget():
    """Guards against a budget that refuses repeats which it could serve."""

    async def run():
        fleet = await started_fleet()
        await fleet.run(15.0)
        return fleet.worst_use()

    assert 0.7 <= run_in_virtual_time(run()) <= 1.0
