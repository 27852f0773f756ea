"""Draw faults from a seed, and bring them about from outside the processes."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass, field

import structlog

from soak.fleet import Fleet, Member
from soak.proxy import Link
from soak.records import Disturbance, Revocation

log = structlog.get_logger()

KINDS = (
    "node_kill",
    "node_stop",
    "node_stop_all",
    "node_pause",
    "node_stop_and_pause",
    "engine_kill",
    "engine_kill_pair",
    "engine_stop",
    "engine_pause",
    "engine_link",
    "store_link",
    "store_pause",
    "history",
    "revoke",
    "reconfigure",
)
LINKS = (Link.SLOW, Link.RESET, Link.SILENT, Link.ONE_WAY)
LONGEST_SECONDS = 4.0
MEAN_PAUSE_SECONDS = 1.2
# Pause between the stops of a series, in seconds: shorter than a stop takes.
SERIES_SECONDS = 1.0
# Time after a kill or stop until a node serves and knows its peers, in seconds.
SETTLE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """Say what goes wrong, when, how long, and with which draw of its target."""

    at: float
    kind: str
    seconds: float
    draw: int
    link: Link


def draw_faults(rng: random.Random, seconds: float) -> tuple[Fault, ...]:
    """Return the faults of one run; they overlap and come in series."""
    faults = []
    at = rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
    while at < seconds:
        fault = Fault(
            at=at,
            kind=rng.choice(KINDS),
            seconds=rng.uniform(0.2, LONGEST_SECONDS),
            draw=rng.randrange(1_000_000),
            link=rng.choice(LINKS),
        )
        faults.append(fault)
        at += rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
    return tuple(faults)


@dataclass(kw_only=True)
class Injector:
    """Carry out faults on a fleet, and remember what was done."""

    fleet: Fleet
    disturbances: list[Disturbance] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Bring about every fault at its time; return when the last has ended."""
        began = time.monotonic()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
            log.info("soak: fault", kind=fault.kind, seconds=round(fault.seconds, 1))
            tasks.append(asyncio.create_task(self._bring_about(fault)))
        await asyncio.gather(*tasks)

    async def _bring_about(self, fault: Fault) -> None:
        fleet = self.fleet
        number = fault.draw % len(fleet.nodes)
        engine = fleet.engines[fault.draw % len(fleet.engines)]
        began = time.monotonic()
        kind, node = fault.kind, None
        match fault.kind:
            case "node_kill":
                node = number
                fleet.nodes[number].signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "node_stop":
                node = number
                await self._stop_node(number)
            case "node_stop_all":
                kind = "node_stop"
                await self._stop_all()
                return
            case "node_pause":
                node = number
                await self._pause(fleet.nodes[number], fault.seconds)
            case "node_stop_and_pause":
                node = number
                fleet.stop(fleet.nodes[number])
                await self._pause(fleet.nodes[number], fault.seconds)
                await self._until_back(fleet.nodes[number])
            case "engine_kill":
                engine.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "engine_kill_pair":
                for member in (
                    engine,
                    fleet.engines[fault.draw // 7 % len(fleet.engines)],
                ):
                    member.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "engine_stop":
                fleet.stop(engine)
                await self._until_back(engine)
            case "engine_pause":
                await self._pause(engine, fault.seconds)
            case "engine_link":
                link = fleet.engine_links[fault.draw % len(fleet.engine_links)]
                link.set(fault.link)
                await asyncio.sleep(fault.seconds)
                link.set(Link.SOUND)
            case "store_link":
                node = number
                fleet.store_links[number].set(fault.link)
                await asyncio.sleep(fault.seconds)
                fleet.store_links[number].set(Link.SOUND)
            case "store_pause":
                fleet.signal_store(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                fleet.signal_store(signal.SIGCONT)
            case "history":
                await fleet.drop_history()
            case "revoke":
                await self._revoke(fault.seconds)
            case "reconfigure":
                await fleet.configure()
        self._note(kind, began, node)

    async def _stop_node(self, number: int) -> None:
        member = self.fleet.nodes[number]
        self.fleet.stop(member)
        await self._until_back(member)

    async def _stop_all(self) -> None:
        async def stop(number: int) -> None:
            await asyncio.sleep(number * SERIES_SECONDS)
            began = time.monotonic()
            await self._stop_node(number)
            self._note("node_stop", began, number)

        numbers = range(len(self.fleet.nodes))
        await asyncio.gather(*(stop(number) for number in numbers))

    async def _pause(self, member: Member, seconds: float) -> None:
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        member.signal(signal.SIGCONT)

    async def _until_back(self, member: Member) -> None:
        while member.stopping_since is not None and member.wanted:
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _revoke(self, seconds: float) -> None:
        if "key-b" not in self.fleet.keys:
            return
        self.fleet.keys.discard("key-b")
        accepted = await self.fleet.configure()
        accepted_at = time.monotonic()
        await asyncio.sleep(seconds + 2.0)
        self.fleet.keys.add("key-b")
        restored_at = time.monotonic()
        while not await self.fleet.configure():
            await asyncio.sleep(0.1)
        if accepted:
            revocation = Revocation(
                key="key-b", accepted_at=accepted_at, restored_at=restored_at
            )
            self.revocations.append(revocation)

    def _note(self, kind: str, began: float, node: int | None) -> None:
        self.disturbances.append(
            Disturbance(kind=kind, began_at=began, ended_at=time.monotonic(), node=node)
        )
