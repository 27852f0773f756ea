"""Draw faults from a seed and inject them from outside the processes."""

import asyncio
import random
import signal
import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from typing import Any

import structlog

from mallowpond.standins.observatory_engine import (
    FATAL_BODY,
    FATAL_PART,
    new_engine_id,
)
from mallowpond.standins.observatory_operator import (
    INVALID_IDS,
    WorkspaceForm,
    foreign_values,
)
from soak import pauses, restores
from soak.callers import FIRST_PARTS, SECOND_PARTS, Callers, FatalChoice
from soak.crowds import CrowdKind, running_crowd
from soak.fleet import DATA_CENTRES, Fleet, ManagedProcess
from soak.judge import (
    BACKOFF_KIND,
    CONNECT_KIND,
    CROWD_KIND,
    ENDLESS_KIND,
    EVACUATION_KIND,
    FATAL_PART_KIND,
    LARGE_BODIES_KIND,
    RATE_LIMIT_KIND,
    RESTORED_ENDED_KIND,
    RESTORED_KINDS,
    RESTORED_LOST_KIND,
    RESTORED_PLANNER_KIND,
    RESTORED_START_KIND,
    RESTORED_TWICE_KIND,
    RESTORED_UNHEARD_KIND,
    REVOKE_SECONDS,
    SILENCE_KIND,
    SKEW_KIND,
    SLOW_READERS_KIND,
    WORKSPACES,
)
from soak.losses import PAUSE_KINDS
from soak.proxy import LinkMode, Proxy
from soak.records import (
    Disturbance,
    EnginePause,
    Evacuation,
    FatalParts,
    ForeignEntry,
    LinkCut,
    RequestKind,
    Revocation,
    Skew,
)

log = structlog.get_logger()

# A kind that starts with `node`, `engine` or `store` disturbs such a process or its
# link. `history`: the store discards its history of changes.
DRAW_1_KINDS = (
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
# Later versions of the draw add kinds, so that seeds of older ones keep their faults.
# `node_stop_series`: all nodes stop, while the configuration changes and stopping nodes
# get further signals. `engine_restart_unheard`: a restart while a store link is
# impaired. `foreign_entry`: another process writes an entry under an id that is no
# engine's; `foreign_entry_of_engine`: it replaces the entry of an engine.
DRAW_2_KINDS = (
    "node_stop_series",
    "engine_restart",
    "engine_restart_twice",
    "engine_restart_forming",
    "engine_restart_unheard",
    "foreign_entry",
    "foreign_entry_of_engine",
)
# A request that crashes each engine that runs it, sent repeatedly.
DRAW_3_KINDS = ("fatal_request",)
# An engine that announces a rate limit in its answers; one that asks for backoff.
DRAW_4_KINDS = (RATE_LIMIT_KIND, BACKOFF_KIND)
# A data centre is evacuated for some time; two may be at once.
DRAW_5_KINDS = (EVACUATION_KIND,)
# Nodes lose their links to all engines, while the store, peers and callers reach them:
# some nodes, all of a data centre, or the planner's and others.
DRAW_6_KINDS = ("links_some", "links_data_centre", "links_planner")
# Streams with parts that crash engines, no two of them alike. `Fault.draw` chooses
# between the first part, one in the middle, and two such parts in different streams.
# Most new connections go to one node; in half of the draws it stops meanwhile. All
# engines of a domain are killed.
DRAW_7_KINDS = (FATAL_PART_KIND, SKEW_KIND, "engine_kill_domain")
# The store comes back from a copy that is some seconds old.
DRAW_8_KINDS = tuple(k for k in RESTORED_KINDS if k != RESTORED_START_KIND)
# All engines, or a share of them, pause repeatedly beside new configurations.
DRAW_9_KINDS = PAUSE_KINDS
# Open connections to the store fall silent for good, repeatedly, as a key is revoked.
DRAW_10_KINDS = (SILENCE_KIND,)
# Many large bodies at once, some of them sent slowly or to a node that stops. Many
# large answers at once, read slowly. A node starts as the store comes back from a copy
# that lacks a revocation. No workspace, or none with a key, is left, or the
# configuration does not name workspaces. The head of a group is silent for a moment as
# a node stops. Engines answer without end. A caller asks for a tunnel.
DRAW_11_KINDS = (
    LARGE_BODIES_KIND,
    SLOW_READERS_KIND,
    RESTORED_START_KIND,
    "revoke_all",
    "node_stop_and_silence",
    ENDLESS_KIND,
    CONNECT_KIND,
)
# A crowd of clients that misbehave comes to a node. `Fault.draw` chooses what they do.
DRAW_12_KINDS = (CROWD_KIND,)
# From draw version 2 on, a seed chooses one of these probabilities, with which each
# kind may occur in its run. With few kinds there are undisturbed periods, in which the
# time limits are checked.
KIND_SHARES = (0.15, 0.3, 0.6, 1.0)
NEWEST_DRAW = 12
LINK_FAULTS = (LinkMode.SLOW, LinkMode.RESET, LinkMode.SILENT, LinkMode.ONE_WAY)
# How nodes lose their links to the engines, chosen by `Fault.draw`.
CUT_MODES = (LinkMode.SILENT, LinkMode.RESET, LinkMode.NO_NEW)
SERIES_KINDS = ("node_stop_all", "node_stop_series")
MAX_FAULT_SECONDS = 4.0
MEAN_PAUSE_SECONDS = 1.2
# Pause between the stops of `node_stop_all`, in seconds; shorter than the duration of a
# stop. `node_stop_series` spreads its stops over the duration of the fault.
SERIES_PAUSE_SECONDS = 1.0
# Time after a kill or stop until a node serves and knows its peers, in seconds.
SETTLE_SECONDS = 2.0
# Timeout and interval of the polls for an engine that joins a group, in seconds.
MAX_FORMING_SECONDS = 3.0
FORMING_POLL_SECONDS = 0.02
# Number of large bodies that are sent at once, and the time that each takes, in
# seconds; in half of the draws every third one arrives later than is allowed.
LARGE_BODIES = 44
BODY_SECONDS = 1.0
SLOW_BODY_SECONDS = 6.0
# Number of answers without end that are asked for at once.
ENDLESS_ANSWERS = 8
# Number of callers that read slowly, and the time before they read, in seconds.
SLOW_READERS = 24
READING_DELAY_SECONDS = 0.5
# Crowds that are drawn, their number of clients, and the time for which they stay at
# least, in seconds.
CROWDS = (
    CrowdKind.LARGE_CHUNKS,
    CrowdKind.BYTE_CHUNKS,
    CrowdKind.BARE_AHEAD,
    CrowdKind.SHORT_BODIES,
    CrowdKind.SMALL_SHORT_BODIES,
    CrowdKind.SILENT,
    CrowdKind.OPEN_HEADS,
    CrowdKind.MANY_FIELDS,
    CrowdKind.TRICKLE,
)
CROWD_CLIENTS = 60
MIN_CROWD_SECONDS = 3.0
# Time from the first large body to the stop of their node, in seconds.
STOP_AMID_BODIES_SECONDS = 0.3
# Time after the stop of a node in which streams still come, and then the silence of a
# head, in seconds: a moment that no rule takes for a failure.
SILENCE_LEAD_SECONDS = 4.5
HEAD_SILENCE_SECONDS = 1.0
# Minimum lifetime of a foreign entry, in seconds: longer than the limit after which
# nothing may be sent to the engine whose entry it replaces.
MIN_FOREIGN_SECONDS = 3.5
# Minimum time for which a request that crashes its engines is sent repeatedly, in
# seconds: longer than the time after which it may reach only a few more engines.
MIN_FATAL_SECONDS = 6.0
# Minimum time for which streams with parts that crash engines are sent, in seconds:
# longer than the time after which they may reach only a few more engines.
MIN_FATAL_PART_SECONDS = 8.0
# Minimum time for which most new connections go to one node, in seconds: longer than
# the time after which its callers must be served as before.
MIN_SKEW_SECONDS = 6.0
# Minimum time for which an engine asks for fewer requests, in seconds: longer than the
# delay until a rate limit is checked plus its window, and longer than two backoffs.
MIN_REDUCED_LOAD_SECONDS = 8.0
# Minimum time for which nodes lose their links to the engines, in seconds: longer than
# the limit after which their callers must be served.
MIN_CUT_SECONDS = 6.0
# Pause between two silences of the connections to the store, in seconds.
SILENCE_PAUSE_SECONDS = 0.4
# Minimum time for which a data centre is evacuated, in seconds: longer than the limit
# after which nothing may be sent there.
MIN_EVACUATION_SECONDS = 7.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault to inject, `at` seconds after the start of the run.

    `seconds` is its duration; some kinds add a minimum to it, and others, such as a
    kill, do not use it. `draw` is a random number; its remainder chooses the target of
    the fault. `link` is the mode of the link, for kinds that change one.
    """

    at: float
    kind: str
    seconds: float
    draw: int
    link: LinkMode = LinkMode.SLOW


def draw_kinds(rng: random.Random, draw: int) -> tuple[str, ...]:
    """Choose the kinds of faults of one run by version `draw` of this procedure."""
    if draw == 1:
        return DRAW_1_KINDS
    share = rng.choice(KIND_SHARES)
    kinds = DRAW_1_KINDS + DRAW_2_KINDS
    kinds += DRAW_3_KINDS if draw > 2 else ()
    kinds += DRAW_4_KINDS if draw > 3 else ()
    kinds += DRAW_5_KINDS if draw > 4 else ()
    kinds += DRAW_6_KINDS if draw > 5 else ()
    kinds += DRAW_7_KINDS if draw > 6 else ()
    kinds += DRAW_8_KINDS if draw > 7 else ()
    kinds += DRAW_9_KINDS if draw > 8 else ()
    kinds += DRAW_10_KINDS if draw > 9 else ()
    kinds += DRAW_11_KINDS if draw > 10 else ()
    kinds += DRAW_12_KINDS if draw > 11 else ()
    return tuple(k for k in kinds if rng.random() < share) or DRAW_2_KINDS


def draw_faults(
    rng: random.Random, seconds: float, kinds: tuple[str, ...]
) -> tuple[Fault, ...]:
    """Draw the faults of one run, ordered by time; they may overlap."""
    faults = []
    at = rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
    while at < seconds:
        fault = Fault(
            at=at,
            kind=rng.choice(kinds),
            seconds=rng.uniform(0.2, MAX_FAULT_SECONDS),
            draw=rng.randrange(1_000_000),
            link=rng.choice(LINK_FAULTS),
        )
        faults.append(fault)
        at += rng.expovariate(1.0 / MEAN_PAUSE_SECONDS)
    return tuple(faults)


@dataclass(kw_only=True)
class Injector:
    """Injects faults into a fleet and records each one with its times."""

    fleet: Fleet
    callers: Callers
    disturbances: list[Disturbance] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    foreign: list[ForeignEntry] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    cuts: list[LinkCut] = field(default_factory=list)
    fatal_parts: list[FatalParts] = field(default_factory=list)
    skews: list[Skew] = field(default_factory=list)
    pauses: list[EnginePause] = field(default_factory=list)
    _began_at: float = 0.0
    _evacuated: set[str] = field(default_factory=set)
    # Nodes that have no links to the engines now.
    _cut: set[int] = field(default_factory=set)

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Inject every fault at its time; return when the last has ended."""
        self._began_at = time.monotonic()
        tasks = []
        for fault in faults:
            at = self._began_at + fault.at
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            self._record_lateness(fault.at)
            log.info("soak: fault", kind=fault.kind, seconds=round(fault.seconds, 1))
            tasks.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    def _record_lateness(self, planned: float) -> None:
        """Let callers go on for longer if what was planned for a time happens now."""
        lateness = time.monotonic() - self._began_at - planned
        self.callers.lateness = max(self.callers.lateness, lateness)

    async def _inject(self, fault: Fault) -> None:
        began = time.monotonic()
        number = fault.draw % len(self.fleet.nodes)
        match fault.kind.partition("_")[0]:
            case "node" if fault.kind in SERIES_KINDS:
                # Each stop of the series is recorded on its own.
                await self._stop_series(fault)
                return
            case "node":
                await self._disturb_node(fault, self.fleet.nodes[number])
            case _ if fault.kind == SKEW_KIND:
                await self._skew_connections(fault)
                return
            case _ if fault.kind == FATAL_PART_KIND:
                await self._send_fatal_parts(fault)
            case "fatal":
                await self._send_fatal_request(fault)
            case kind if kind == EVACUATION_KIND:
                await self._evacuate(fault)
            case _ if fault.kind == LARGE_BODIES_KIND:
                await self._send_large_bodies(fault, number)
                return
            case _ if fault.kind == SLOW_READERS_KIND:
                delays = SLOW_READERS * [READING_DELAY_SECONDS]
                await self.callers.read_slowly(number, delays)
            case _ if fault.kind == ENDLESS_KIND:
                await self.callers.ask_without_end(number, ENDLESS_ANSWERS)
            case _ if fault.kind == CONNECT_KIND:
                await self.callers.send_connect(number)
            case _ if fault.kind == CROWD_KIND:
                await self._send_crowd(fault, number)
            case "links":
                await self._cut_engine_links(fault)
                return
            case _ if fault.kind in RESTORED_KINDS:
                await self._restore_store(fault)
                self._record_disturbance(fault.kind, began, None)
                return
            case _ if fault.kind in PAUSE_KINDS:
                # Each pause of the series is recorded on its own.
                await self._pause_engines(fault)
                return
            case "engine":
                number = fault.draw % len(self.fleet.engines)
                await self._disturb_engine(fault, self.fleet.engines[number])
            case _:
                await self._disturb_store(fault, number)
        is_single_node = fault.kind.startswith("node") or fault.kind == "store_link"
        self._record_disturbance(fault.kind, began, number if is_single_node else None)

    async def _send_fatal_request(self, fault: Fault) -> None:
        kinds = list(RequestKind)
        await self.callers.send_repeatedly(
            kind=kinds[fault.draw % len(kinds)],
            body=f"{FATAL_BODY.decode()}{fault.draw}",
            until=time.monotonic() + MIN_FATAL_SECONDS + fault.seconds,
        )
        await asyncio.sleep(SETTLE_SECONDS)

    async def _send_fatal_parts(self, fault: Fault) -> None:
        choices = _fatal_choices(fault.draw)
        parts = {p for c in choices for p in c.parts if p.startswith(FATAL_PART)}
        others = {p for c in choices for p in (*c.parts, c.key)} - parts - {""}
        began = time.monotonic()
        seconds = max(MIN_FATAL_PART_SECONDS, fault.seconds)
        await self.callers.send_with_parts(choices, began + seconds)
        self.fatal_parts.append(
            FatalParts(
                parts=tuple(sorted(parts)),
                companions=frozenset(others),
                began_at=began,
                ended_at=time.monotonic(),
            )
        )
        await asyncio.sleep(SETTLE_SECONDS)

    async def _send_large_bodies(self, fault: Fault, number: int) -> None:
        """Send large bodies to one node; in a third of the draws it stops meanwhile."""
        variant = fault.draw // len(self.fleet.nodes)
        seconds = [
            SLOW_BODY_SECONDS if variant % 2 and place % 3 == 0 else BODY_SECONDS
            for place in range(LARGE_BODIES)
        ]
        began = time.monotonic()
        sending = asyncio.create_task(self.callers.send_large(number, seconds))
        if variant % 3 == 2:
            node = self.fleet.nodes[number]
            await asyncio.sleep(STOP_AMID_BODIES_SECONDS)
            self.fleet.stop(node)
            await self._wait_until_restarted(node)
            self._record_disturbance("node_stop", began, number)
        await sending
        self._record_disturbance(fault.kind, began, None)

    async def _send_crowd(self, fault: Fault, number: int) -> None:
        """Let a crowd of clients that complete no valid request come to a node."""
        kind = CROWDS[fault.draw // len(self.fleet.nodes) % len(CROWDS)]
        port = self.fleet.node_ports[number][0]
        async with running_crowd(kind=kind, clients=CROWD_CLIENTS, port=port):
            await asyncio.sleep(MIN_CROWD_SECONDS + fault.seconds)

    async def _skew_connections(self, fault: Fault) -> None:
        """Send most new connections to one node, which stops in half of the draws."""
        number = fault.draw // 2 % len(self.fleet.nodes)
        seconds = max(MIN_SKEW_SECONDS, fault.seconds)
        began = time.monotonic()
        self.callers.favoured_node = number
        await asyncio.sleep(seconds / 2.0)
        if fault.draw % 2:
            self.fleet.stop(self.fleet.nodes[number])
            stopped_at = time.monotonic()
        await asyncio.sleep(seconds / 2.0)
        self.callers.favoured_node = None
        self.skews.append(Skew(began_at=began, ended_at=time.monotonic()))
        if fault.draw % 2:
            await self._wait_until_restarted(self.fleet.nodes[number])
            self._record_disturbance("node_stop", stopped_at, number)

    async def _disturb_node(self, fault: Fault, node: ManagedProcess) -> None:
        match fault.kind:
            case "node_kill":
                node.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "node_stop":
                self.fleet.stop(node)
                await self._wait_until_restarted(node)
            case "node_pause":
                await self._pause([node], fault.seconds)
            case "node_stop_and_silence":
                self.fleet.stop(node)
                await asyncio.sleep(min(SILENCE_LEAD_SECONDS, fault.seconds))
                head = await self._choose_head_or_plain(2 * fault.draw)
                await self._pause([head], HEAD_SILENCE_SECONDS)
                await self._wait_until_restarted(node)
            case "node_stop_and_pause":
                self.fleet.stop(node)
                await self._pause([node], fault.seconds)
                await self._wait_until_restarted(node)

    async def _disturb_engine(self, fault: Fault, engine: ManagedProcess) -> None:
        engines = self.fleet.engines
        match fault.kind:
            case "engine_kill":
                engine.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "engine_kill_pair":
                for managed in (engine, engines[fault.draw // 7 % len(engines)]):
                    managed.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "engine_kill_domain":
                count = self.fleet.shape.engines_per_domain
                first = fault.draw % self.fleet.shape.domains * count
                for managed in engines[first : first + count]:
                    managed.signal(signal.SIGKILL)
                await asyncio.sleep(SETTLE_SECONDS)
            case "engine_stop":
                self.fleet.stop(engine)
                await self._wait_until_restarted(engine)
            case "engine_pause":
                await self._pause([engine], fault.seconds)
            case "engine_link":
                link = self.fleet.engine_links[engines.index(engine)]
                await self._impair_link(link, fault)
            case "engine_restart":
                await self._restart(self._choose_plain_or_grouped(fault.draw))
            case "engine_restart_twice":
                chosen = self._choose_plain_or_grouped(fault.draw)
                await self.fleet.restart(chosen)
                await asyncio.sleep(fault.seconds / 4.0)
                await self._restart(chosen)
            case "engine_restart_forming":
                await self._restart_while_forming(fault.draw)
            case "engine_restart_unheard":
                await self._restart_while_cut_off(fault)
            # No run draws this kind; tests inject it.
            case "engine_stop_head_or_plain":
                engine = await self._choose_head_or_plain(fault.draw)
                self.fleet.stop(engine)
                await self._wait_until_restarted(engine)
            case kind if kind == RATE_LIMIT_KIND:
                await self._reduce_load(fault, signal.SIGUSR1)
            case kind if kind == BACKOFF_KIND:
                await self._reduce_load(fault, signal.SIGUSR2)

    async def _cut_engine_links(self, fault: Fault) -> None:
        """Cut nodes, but never all, from the engines; `node` means the nodes' links."""
        fleet, began = self.fleet, time.monotonic()
        nodes = list(range(len(fleet.nodes)))
        match fault.kind:
            case "links_data_centre":
                first = fault.draw % len(DATA_CENTRES)
                cut = nodes[first :: len(DATA_CENTRES)]
            case "links_planner":
                planner = await fleet.planner()
                cut = [planner] if planner is not None else nodes[:1]
            case _:
                cut = [nodes[fault.draw % len(nodes)]]
        cut = [node for node in cut if node not in self._cut]
        if len(cut) + len(self._cut) == len(nodes):
            cut = cut[1:]
        if not cut:
            return
        self._cut.update(cut)
        mode = CUT_MODES[fault.draw // 7 % len(CUT_MODES)]
        log.info("soak: nodes cut from engines", nodes=cut, mode=mode.value)
        fleet.cut_engine_links(cut, mode)
        await asyncio.sleep(MIN_CUT_SECONDS + fault.seconds)
        healed_at = time.monotonic()
        fleet.cut_engine_links(cut, LinkMode.SOUND)
        self._cut.difference_update(cut)
        self.cuts.append(LinkCut(nodes=tuple(cut), began_at=began, ended_at=healed_at))
        await asyncio.sleep(SETTLE_SECONDS)
        for node in cut:
            self._record_disturbance(fault.kind, began, node)

    async def _disturb_store(self, fault: Fault, number: int) -> None:
        fleet = self.fleet
        match fault.kind:
            case "store_link":
                await self._impair_link(fleet.store_links[number], fault)
            case kind if kind == SILENCE_KIND:
                await self._silence_store_connections(fault)
            case "store_pause":
                fleet.signal_store(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                fleet.signal_store(signal.SIGCONT)
            case "history":
                await fleet.drop_history()
            case "revoke":
                await self._revoke(fault.seconds)
            case "revoke_all":
                await self._revoke_all(fault)
            case "reconfigure":
                await fleet.configure()
            case "foreign_entry":
                await self._write_foreign_entry(fault, None)
            case "foreign_entry_of_engine":
                engine = fleet.engines[fault.draw % len(fleet.engines)]
                await self._write_foreign_entry(fault, engine)

    async def _silence_store_connections(self, fault: Fault) -> None:
        """Silence connections of all nodes but one, or of all, as a key is revoked."""
        links = list(self.fleet.store_links)
        if fault.draw % 2:
            links.pop(fault.draw // 2 % len(links))
        for link in links:
            link.silence_open_connections()
        revoking = asyncio.create_task(self._revoke(fault.seconds))
        for _ in range(fault.draw // 8 % 3):
            await asyncio.sleep(SILENCE_PAUSE_SECONDS)
            for link in links:
                link.silence_open_connections()
        await revoking

    async def _restore_store(self, fault: Fault) -> None:
        """Let the store come back from a copy, with what the kind of fault adds."""
        fleet, draw = self.fleet, fault.draw
        match fault.kind:
            case kind if kind == RESTORED_UNHEARD_KIND:
                restores.cut_store_links(fleet, fault.link)
                await restores.restore_once(fleet, draw)
                revoking = asyncio.create_task(
                    self._revoke(
                        restores.UNHEARD_SECONDS + fault.seconds, repeats_write=True
                    )
                )
                await asyncio.sleep(restores.UNHEARD_SECONDS)
                restores.cut_store_links(fleet, LinkMode.SOUND)
                unheard = restores.away_seconds(draw) + restores.UNHEARD_SECONDS
                self._record_lateness(fault.at + unheard)
                await revoking
            case kind if kind == RESTORED_LOST_KIND:
                changes = [
                    asyncio.create_task(change)
                    for change in (
                        self._revoke(fault.seconds),
                        self._evacuate(fault),
                        self._disturb_engine(
                            replace(fault, kind="engine_stop"),
                            self._choose_plain_or_grouped(draw),
                        ),
                    )
                ]
                await asyncio.sleep(restores.LOST_SECONDS)
                await restores.restore_once(fleet, draw)
                await asyncio.gather(*changes)
            case kind if kind == RESTORED_ENDED_KIND:
                evacuating = asyncio.create_task(self._evacuate(fault))
                await asyncio.sleep(max(MIN_EVACUATION_SECONDS, fault.seconds))
                await asyncio.sleep(restores.LOST_SECONDS)
                await restores.restore_once(fleet, draw)
                await evacuating
            case kind if kind == RESTORED_START_KIND:
                await self._start_as_store_returns(fault)
            case kind if kind == RESTORED_PLANNER_KIND:
                await restores.kill_planner_and_head(fleet, draw)
                await restores.restore_once(fleet, draw)
            case kind if kind == RESTORED_TWICE_KIND:
                await restores.restore_once(fleet, draw)
                await asyncio.sleep(fault.seconds / 4.0)
                await restores.restore_once(fleet, draw // 9)
            case _:
                await restores.restore_once(fleet, draw)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _start_as_store_returns(self, fault: Fault) -> None:
        """Start a node as the store comes back from a copy that lacks a revocation."""
        node = self.fleet.nodes[fault.draw // 2 % len(self.fleet.nodes)]
        began = time.monotonic()
        revoking = asyncio.create_task(
            self._revoke(restores.START_SECONDS + fault.seconds, repeats_write=True)
        )
        await asyncio.sleep(REVOKE_SECONDS - restores.MAX_AWAY_SECONDS)
        node.should_run = False
        node.signal(signal.SIGKILL)
        await restores.restore_once(
            self.fleet,
            fault.draw,
            age=restores.START_AGE,
            rewrite_seconds=restores.START_REWRITE_SECONDS,
        )
        await asyncio.sleep(restores.START_DELAY_SECONDS)
        node.start()
        node.should_run = True
        await revoking
        number = self.fleet.nodes.index(node)
        self._record_disturbance("node_kill", began, number)

    async def _impair_link(self, link: Proxy, fault: Fault) -> None:
        link.set_mode(fault.link)
        await asyncio.sleep(fault.seconds)
        link.set_mode(LinkMode.SOUND)

    def _choose_plain_or_grouped(self, draw: int) -> ManagedProcess:
        # Half of the draws choose plain engines, which join no group and are few: only
        # they get the requests that must not be repeated.
        engines, plain = self.fleet.engines, self.fleet.grouped_engine_count
        half = engines[plain:] if draw % 2 else engines[:plain]
        return half[draw // 2 % len(half)]

    async def _restart(self, engine: ManagedProcess) -> None:
        await self.fleet.restart(engine)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _restart_while_forming(self, draw: int) -> None:
        """Kill an engine of a group, and restart one while it joins the next group."""
        fleet = self.fleet
        fleet.engines[draw % fleet.grouped_engine_count].signal(signal.SIGKILL)
        limit = time.monotonic() + MAX_FORMING_SECONDS
        while time.monotonic() < limit:
            entries = await fleet.engine_entries()
            joining = [
                engine
                for engine in fleet.engines
                if _group_state(entries.get(engine.id)) == "joining"
            ]
            if joining:
                await fleet.restart(joining[draw // 7 % len(joining)])
                break
            await asyncio.sleep(FORMING_POLL_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _restart_while_cut_off(self, fault: Fault) -> None:
        """Restart an engine while its store link, or that of a node, is impaired."""
        fleet = self.fleet
        number = fault.draw // 2
        index = number % len(fleet.engines)
        link = fleet.engine_store_links[index]
        if fault.draw % 2:
            link = fleet.store_links[number % len(fleet.nodes)]
        link.set_mode(fault.link)
        await asyncio.sleep(fault.seconds / 2.0)
        await fleet.restart(fleet.engines[index])
        await asyncio.sleep(fault.seconds / 2.0)
        link.set_mode(LinkMode.SOUND)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _choose_head_or_plain(self, draw: int) -> ManagedProcess:
        """Choose the head of an open group or a plain engine, by the draw.

        The head is the member that accepts the requests of its group.
        """
        entries = await self.fleet.engine_entries()
        plain = self.fleet.engines[self.fleet.grouped_engine_count :]
        heads = [
            engine
            for engine in self.fleet.engines
            if _group_state(entries.get(engine.id)) == "open"
        ]
        choice = plain if draw % 2 or not heads else heads
        return choice[draw // 2 % len(choice)]

    async def _reduce_load(self, fault: Fault, signal_number: signal.Signals) -> None:
        """Make a head or a plain engine ask for fewer requests for some time.

        The first signal turns this on, the second one off.
        """
        engine = await self._choose_head_or_plain(fault.draw)
        process = engine.process
        engine.signal(signal_number)
        await asyncio.sleep(MIN_REDUCED_LOAD_SECONDS + fault.seconds)
        if engine.process is process:
            engine.signal(signal_number)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _write_foreign_entry(
        self, fault: Fault, engine: ManagedProcess | None
    ) -> None:
        entries = await self.fleet.engine_entries()
        if not entries:
            return
        key = INVALID_IDS[fault.draw % len(INVALID_IDS)]
        if engine is not None:
            key = engine.id
        elif fault.draw % 3:
            key = new_engine_id()
        known = list(entries.values())
        template = entries.get(key, known[fault.draw // 3 % len(known)])
        values = foreign_values(template)
        value = values[fault.draw // 5 % len(values)]
        seconds = MIN_FOREIGN_SECONDS + fault.seconds
        requested_at = time.monotonic()
        if await self.fleet.write_foreign(key, value, seconds):
            log.info("soak: foreign entry", key=key, value=value)
            entry = ForeignEntry(
                key=key, written_at=time.monotonic(), until=requested_at + seconds
            )
            self.foreign.append(entry)
            await asyncio.sleep(seconds)

    async def _evacuate(self, fault: Fault) -> None:
        data_centre = DATA_CENTRES[fault.draw % len(DATA_CENTRES)]
        if data_centre in self._evacuated:
            return
        self._evacuated.add(data_centre)
        accepted = await self.fleet.evacuate(data_centre)
        accepted_at = time.monotonic()
        await asyncio.sleep(max(MIN_EVACUATION_SECONDS, fault.seconds))
        ended_at = time.monotonic()
        while not await self.fleet.end_evacuation(data_centre):
            await asyncio.sleep(0.1)
        self._evacuated.discard(data_centre)
        if accepted:
            evacuation = Evacuation(
                data_centre=data_centre, accepted_at=accepted_at, ended_at=ended_at
            )
            self.evacuations.append(evacuation)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _stop_series(self, fault: Fault) -> None:
        """Stop all nodes in turn, each before the earlier ones are back."""
        if fault.kind == "node_stop_all":
            await self._stop_all(SERIES_PAUSE_SECONDS)
            return
        await asyncio.gather(
            self._stop_all(fault.seconds / len(self.fleet.nodes)),
            self._signal_again(fault.seconds),
        )

    async def _signal_again(self, seconds: float) -> None:
        """Write a configuration, and send SIGHUP and SIGTERM to stopping nodes."""
        await asyncio.sleep(seconds / 2.0)
        await self.fleet.configure()
        for node in self.fleet.nodes:
            if node.stopping_since is not None:
                node.signal(signal.SIGHUP)
                node.signal(signal.SIGTERM)

    async def _stop_all(self, pause: float) -> None:
        async def stop(number: int) -> None:
            await asyncio.sleep(number * pause)
            began = time.monotonic()
            self.fleet.stop(self.fleet.nodes[number])
            await self._wait_until_restarted(self.fleet.nodes[number])
            self._record_disturbance("node_stop", began, number)

        numbers = range(len(self.fleet.nodes))
        await asyncio.gather(*(stop(number) for number in numbers))

    async def _pause(self, paused: Sequence[ManagedProcess], seconds: float) -> None:
        engines = frozenset(managed.id for managed in paused if managed.id)
        began = time.monotonic()
        with ExitStack() as stack:
            for managed in paused:
                stack.enter_context(managed.paused())
            await asyncio.sleep(seconds)
        if engines:
            pause = EnginePause(
                engines=engines, began_at=began, ended_at=time.monotonic()
            )
            self.pauses.append(pause)

    async def _pause_engines(self, fault: Fault) -> None:
        """Pause engines several times, each time just after a new configuration."""
        fleet = self.fleet
        series = pauses.draw_series(
            kind=fault.kind,
            draw=fault.draw,
            seconds=fault.seconds,
            engines=len(fleet.engines),
        )
        for number, pause in enumerate(series):
            ends_at = time.monotonic() + pause.interval
            changing = asyncio.create_task(pauses.change_configuration(fleet, number))
            await asyncio.sleep(pauses.CHANGE_LEAD_SECONDS)
            began = time.monotonic()
            await self._pause([fleet.engines[n] for n in pause.engines], pause.seconds)
            self._record_disturbance(fault.kind, began, None)
            await changing
            await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
        await pauses.restore_configuration(fleet)

    async def _wait_until_restarted(self, managed: ManagedProcess) -> None:
        while managed.stopping_since is not None and managed.should_run:
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_SECONDS)

    async def _revoke(self, seconds: float, *, repeats_write: bool = False) -> None:
        if "key-b" not in self.fleet.active_keys:
            return
        self.fleet.active_keys.discard("key-b")
        accepted = await self.fleet.configure()
        while repeats_write and not accepted:
            await asyncio.sleep(0.1)
            accepted = await self.fleet.configure()
        accepted_at = time.monotonic()
        await asyncio.sleep(seconds + 2.0)
        self.fleet.active_keys.add("key-b")
        restored_at = time.monotonic()
        while not await self.fleet.configure():
            await asyncio.sleep(0.1)
        if accepted:
            revocation = Revocation(
                key="key-b", accepted_at=accepted_at, restored_at=restored_at
            )
            self.revocations.append(revocation)

    async def _revoke_all(self, fault: Fault) -> None:
        """Take all keys away, or all workspaces, or the field that names them."""
        fleet = self.fleet
        if fleet.active_keys != set(WORKSPACES):
            return
        form = tuple(WorkspaceForm)[fault.draw % len(WorkspaceForm)]
        fleet.active_keys.clear()
        fleet.settings = replace(fleet.settings, workspaces=form)
        accepted = await fleet.configure()
        accepted_at = time.monotonic()
        await asyncio.sleep(fault.seconds + REVOKE_SECONDS)
        fleet.active_keys.update(WORKSPACES)
        fleet.settings = replace(fleet.settings, workspaces=WorkspaceForm.LISTED)
        restored_at = time.monotonic()
        while not await fleet.configure():
            await asyncio.sleep(0.1)
        if accepted:
            self.revocations += [
                Revocation(key=key, accepted_at=accepted_at, restored_at=restored_at)
                for key in WORKSPACES
            ]

    def _record_disturbance(self, kind: str, began: float, node: int | None) -> None:
        self.disturbances.append(
            Disturbance(kind=kind, began_at=began, ended_at=time.monotonic(), node=node)
        )


def _fatal_choices(draw: int) -> list[FatalChoice]:
    """Choose the shared parts of streams that crash engines.

    Each stream has sound parts beside the deadly one, and all of a choice share a key.
    """
    fatal = f"{FATAL_PART}{draw:06x}"
    first, second = FIRST_PARTS[draw // 3 % 3], SECOND_PARTS[draw // 9 % 2]
    begin = FatalChoice(parts=(fatal, second), key="key-a")
    middle = FatalChoice(parts=(first, fatal, second), key="key-a")
    match draw % 3:
        case 0:
            return [begin]
        case 1:
            return [middle]
        case _:
            other = f"{FATAL_PART}{draw + 1:06x}"
            return [middle, FatalChoice(parts=(other, second))]


def _group_state(entry: dict[str, Any] | None) -> str | None:
    return ((entry or {}).get("group") or {}).get("state")
