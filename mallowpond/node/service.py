"""Assemble the components of one node, start them, drain them and close them."""

import asyncio
import random
import socket
from collections.abc import Awaitable
from contextlib import AsyncExitStack
from dataclasses import replace

import structlog
from prometheus_client import generate_latest

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.store import new_id
from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.calls import CallService
from mallowpond.node.cold_limits import ColdLimits
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.configuration_sharing import ConfigurationSharing
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Dispatcher, ServedModel
from mallowpond.node.dispatcher_client import DispatcherClient
from mallowpond.node.ended_heads import EndedHeadReports
from mallowpond.node.fanout import Fanout
from mallowpond.node.ingress import Ingress
from mallowpond.node.leadership import Leadership
from mallowpond.node.messages import (
    Heartbeat,
    decode_loads,
    decode_paces,
    encode_loads,
)
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.planner import GroupPlanner
from mallowpond.node.ports import NodePorts
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.quarantine_sharing import QuarantineSharing
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.readers import Readers
from mallowpond.node.retry_budgets import RetryBudgets
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.settings import NodeSettings
from mallowpond.node.slot_admission import SlotAdmission
from mallowpond.node.store_era import KnownEra
from mallowpond.node.streams import StreamService
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.node.target_links import CONNECT_SECONDS, TargetLinks
from mallowpond.node.traffic import TrafficSeen
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.node.watch import GroupWatch
from mallowpond.state.group_pace import PaceChange
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.state.process_limits import SIDE_CONNECTIONS
from mallowpond.state.site_configuration import Service
from mallowpond.transport.connector import DirectConnector
from mallowpond.transport.http_server import (
    Exchange,
    HttpRequest,
    HttpServer,
    ServerLimits,
)
from mallowpond.transport.tunnel import TunnelServer

log = structlog.get_logger()

# Time after the start of a drain in which new requests are still served, in seconds:
# the load balancer checks the readiness once a second, and sends a node no more callers
# after two failed checks.
LAME_DUCK_SECONDS = 3.2
# Longest time that a node that has just started waits for its first reads before it
# serves callers that have already connected, and the interval between two checks, in
# seconds: two answers of the store take 0.01 s, and callers must not wait for a store
# that is down.
STARTUP_READ_SECONDS = 0.25
STARTUP_POLL_SECONDS = 0.005
# Part of the grace time that is reserved for closing, in seconds.
CLOSING_SECONDS = 0.7
DRAIN_CHECK_SECONDS = 0.05
# Limits of requests for the readiness and the metrics, which have no body.
SIDE_LIMITS = ServerLimits(body_bytes=1024)
# Time before the end of the drain from which streams that still wait for a slot are
# refused, in seconds: otherwise a request that waited until its host closed, and that
# no engine had received, got no answer at all.
REFUSE_WAITING_SECONDS = 0.2


class Node:
    """Runs all components of one entry host.

    It serves callers, exchanges state with its peers, and plans the groups while it
    holds the planner's lease. Call `start`, then `drain` and `close` to stop it.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        ports: NodePorts,
        clock: Clock,
        seed: int = 0,
        metrics: NodeMetrics | None = None,
        listener: socket.socket | None = None,
        memory: PayloadMemory | None = None,
    ) -> None:
        self._settings = settings
        limits = settings.process_limits
        memory = memory or PayloadMemory(max_bytes=limits.payload_bytes)
        self._listener = listener
        self._clock = clock
        # Seeded once by the system: with a call to the system for each random number,
        # the random order of 25 groups took 34 us in place of 9.
        self._rng = random.Random(seed or None)
        self._incarnation = new_id(self._rng)
        self._stack = AsyncExitStack()
        self.era = KnownEra()
        ports.source.on_newer_era.append(self.era.observe)
        self._traffic = TrafficSeen(seen=not settings.first_start)
        self.metrics = metrics or NodeMetrics()
        unreadable_log = UnreadableLog(counter=self.metrics.unreadable)
        self.configuration = ConfigurationFollower(
            source=ports.source, clock=clock, bounds=settings.bounds
        )
        self.directory = Directory(source=ports.source, clock=clock)
        self.peers = PeerNetwork(
            name=settings.name,
            incarnation=self._incarnation,
            address=f"{settings.address}:{settings.peer_port}",
            table=ports.table,
            clock=clock,
            make_heartbeat=self._build_heartbeat,
            unreadable_log=unreadable_log,
        )
        self.links = TargetLinks(
            directory=self.directory,
            peers=self.peers,
            clock=clock,
            metrics=self.metrics,
            rng=self._rng,
            direct=DirectConnector(
                connect_seconds=CONNECT_SECONDS,
                source=settings.address if settings.binds_source else "",
            ),
        )
        ports.targets.use_connector(self.links)
        self.tunnels = TunnelServer(
            connect=self.links.connect_directly,
            may_connect=self._may_tunnel,
            has_link=self.links.has_link,
            max_tunnels=limits.tunnels,
        )
        self.metrics.carried_tunnels.set_function(lambda: self.tunnels.count)
        self.links.on_change.append(self._on_links_changed)
        quarantine = Quarantine(clock=clock, metrics=self.metrics, host=settings.name)
        self.quarantine_sharing = QuarantineSharing(
            name=settings.name,
            quarantine=quarantine,
            peers=self.peers,
            table=ports.table,
            clock=clock,
            store_clock=self.configuration.store_clock,
            rng=self._rng,
            unreadable_log=unreadable_log,
        )
        self.rate_limits = RateLimits(
            name=settings.name,
            directory=self.directory,
            clock=clock,
            metrics=self.metrics,
            peers=self.peers,
        )
        self.cold_limits = ColdLimits(
            name=settings.name,
            directory=self.directory,
            clock=clock,
            metrics=self.metrics,
            bounds=settings.bounds,
            find_service=self._find_service,
            has_traffic=lambda: self._traffic.seen,
            peers=self.peers,
        )
        availability = TargetAvailability(
            rate_limits=self.rate_limits,
            directory=self.directory,
            clock=clock,
            cold_limits=self.cold_limits,
        )
        parts = ServingParts(
            directory=self.directory,
            targets=ports.targets,
            callers=ports.callers,
            clock=clock,
            metrics=self.metrics,
            budgets=RetryBudgets(
                bounds=settings.bounds,
                peers=self.peers,
                clock=clock,
                metrics=self.metrics,
            ),
            hosts=lambda: self.peers.host_count,
            rng=self._rng,
            quarantine=quarantine,
            availability=availability,
            memory=memory,
        )
        self.streams = StreamService(parts=parts)
        self.ingress = Ingress(
            callers=ports.callers,
            configuration=self.configuration,
            streams=self.streams,
            calls=CallService(parts=parts),
            clock=clock,
            metrics=self.metrics,
            rng=self._rng,
            traffic=self._traffic,
            memory=memory,
            process_limits=limits,
            checks_keys=settings.checks_keys,
        )
        self.metrics.payload_bytes.set_function(lambda: memory.held_bytes)
        self.metrics.payload_limit.set(memory.max_bytes)
        self.watch = GroupWatch(
            streams=self.streams,
            directory=self.directory,
            peers=self.peers,
            clock=clock,
            metrics=self.metrics,
            stall_seconds=settings.bounds.stall,
            links=self.links,
        )
        self.leadership = Leadership(
            name=settings.name,
            incarnation=self._incarnation,
            table=ports.table,
            peers=self.peers,
            clock=clock,
            rng=self._rng,
            checks_fencing=settings.bounds.checks_fencing,
            cores=settings.cores,
            can_plan=self._can_plan,
            has_links=lambda: not self.links.lost,
            era=self.era,
            unreadable_log=unreadable_log,
        )
        self.planner = GroupPlanner(
            configuration=self.configuration,
            directory=self.directory,
            targets=ports.targets,
            leadership=self.leadership,
            peers=self.peers,
            watch=self.watch,
            clock=clock,
            metrics=self.metrics,
            stall_seconds=settings.bounds.stall,
            traffic_seen=self._traffic,
            availability=availability,
            rebalance=settings.planning.rebalance,
            regroup_slow=settings.planning.regroup_slow,
            links=self.links,
            rng=self._rng,
        )
        self.ended_heads = EndedHeadReports(
            name=settings.name,
            directory=self.directory,
            peers=self.peers,
            clock=clock,
            is_planning=lambda: self.leadership.fence > 0,
            probe=self.planner.probe_head,
            has_links=lambda: not self.links.lost,
        )
        self.streams.on_head_ended.append(self.ended_heads.record)
        self.fanout = Fanout(
            name=settings.name,
            data_centre=settings.data_centre,
            peers=self.peers,
            readers=lambda: self.readers.names,
        )
        self.readers = Readers(
            name=settings.name,
            peers=self.peers,
            configuration=self.configuration,
            directory=self.directory,
            clock=clock,
            is_stopping=lambda: self.ingress.is_stopping,
            is_planning=lambda: self.leadership.fence > 0,
            fanout=self.fanout,
            cores=settings.cores,
            era=self.era,
        )
        if settings.contested_slots:
            self.streams.placement.admission = SlotAdmission(
                directory=self.directory,
                selector=self.streams.placement.selector,
                clock=clock,
                metrics=self.metrics,
                rng=self._rng,
            )
        self.dispatcher = Dispatcher(
            name=settings.name,
            peers=self.peers,
            directory=self.directory,
            selector=self.streams.placement.selector,
            clock=clock,
            find_model=self._find_model,
            is_dispatcher=lambda: self.readers.dispatcher == settings.name,
            admission=self.streams.placement.admission,
        )
        self.dispatcher_client = DispatcherClient(
            name=settings.name,
            peers=self.peers,
            directory=self.directory,
            dispatcher=self.dispatcher,
            clock=clock,
            dispatching_host=lambda: self.readers.dispatcher,
            contested_slots=settings.contested_slots,
        )
        self.streams.placement.dispatcher_client = self.dispatcher_client
        self.streams.on_end.append(self._on_slot_freed)
        self.dispatcher_client.on_unused_grant.append(self._on_slot_freed)
        self.readers.grant_number = lambda: self.dispatcher_client.grant_number
        self.configuration_sharing = ConfigurationSharing(
            name=settings.name,
            peers=self.peers,
            readers=self.readers,
            fanout=self.fanout,
            configuration=self.configuration,
        )
        self.era.on_restored.append(self.peers.rewrite_row)
        self.era.on_restored.append(self.quarantine_sharing.rewrite)
        self.era.on_restored.append(self.directory.read_soon)
        self.readers.after_digest.append(self.streams.placement.wake_all)
        self.configuration.on_new_version.append(self._publish_version)
        self.configuration.on_doubt.append(
            lambda doubt: self.metrics.configuration_doubts.labels(doubt.value).inc()
        )
        self.configuration.evacuations.on_change.append(self._apply_evacuations)
        self.leadership.on_acquired.append(
            lambda: self.peers.broadcast(self._build_heartbeat())
        )
        self.peers.on_heartbeat.append(self._on_heartbeat)
        self.directory.loads.paces.on_change.append(self._count_pace_change)
        self.peers.on_target_healthy.append(self.directory.record_healthy)
        self.peers.on_work.append(lambda work: self.dispatcher.wake())
        self.directory.on_change.append(self.dispatcher.wake)
        # Their connections and requests count as those of callers do.
        side_limits = replace(limits, caller_connections=SIDE_CONNECTIONS)
        self._readiness, self._metrics_server = (
            HttpServer(
                handler=handler,
                limits=SIDE_LIMITS,
                memory=memory,
                process_limits=side_limits,
            )
            for handler in (self._answer_readiness, self._answer_metrics)
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send new callers to this node."""
        return self.configuration.is_confirmed and not self.ingress.is_stopping

    async def start(self) -> None:
        """Start the servers and the background tasks.

        With an inherited listener, on which callers may already wait, the first reads
        of the configuration and the targets are awaited for a short time.
        """
        self._stack.push_async_callback(self.planner.close)
        self._stack.callback(self.peers.close)
        await self.peers.start(self._settings.peer_port)
        await self._start_tunnels()
        await self._listen(self._readiness, self._settings.readiness)
        await self._start_metrics_server()
        self._spawn(self.configuration.run())
        self._spawn(self.directory.run())
        if self._listener is not None:
            await self._await_first_read()
        await self._listen(self.ingress.server, self._settings.callers, self._listener)
        for work in (
            self.links.run(),
            self.tunnels.run(),
            self.peers.run_heartbeats(),
            self.peers.run_candidate_heartbeats(),
            self.peers.run_node_rows(),
            self.watch.run(),
            self.leadership.run(),
            self.readers.run(),
            self.planner.run(),
            self.rate_limits.run(),
            self.cold_limits.run(),
            self.ended_heads.run(),
            self.quarantine_sharing.run_sending(),
            self.quarantine_sharing.run_querying(),
            self.quarantine_sharing.run_writing(),
            self.quarantine_sharing.run_reading(),
        ):
            self._spawn(work)
        log.info("node: started", name=self._settings.name)

    async def _listen(
        self, server: HttpServer, address: str, listener: socket.socket | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self._stack.push_async_callback(server.close)
        await server.start(host, int(port), listener)

    async def _await_first_read(self) -> None:
        """Wait for a configuration and targets, for a limited time.

        Callers already wait on the socket. Without this wait, each of them would be
        refused for lack of a configuration that arrives some milliseconds later.
        """
        limit = self._clock.now() + STARTUP_READ_SECONDS
        while self._clock.now() < limit:
            if self.configuration.configuration and self.directory.targets:
                return
            await self._clock.sleep(STARTUP_POLL_SECONDS)

    async def drain(self) -> None:
        """Fail the readiness check, then finish the requests in progress.

        New requests are served until the balancer has stopped sending them. The drain
        ends when no request is in progress, or shortly before the grace time ends.
        """
        self.ingress.is_stopping = True
        await self._release_lease()
        self.peers.broadcast(self._build_heartbeat())
        log.info("node: draining", in_flight=self.ingress.in_flight)
        grace = self._settings.bounds.grace
        started_at = self._clock.now()
        lame_duck_until = started_at + min(LAME_DUCK_SECONDS, 0.5 * grace)
        limit = started_at + grace - CLOSING_SECONDS
        self.ingress.shutdown_at = self.streams.placement.shutdown_at = limit
        while self._clock.now() < lame_duck_until:
            await self._clock.sleep(DRAIN_CHECK_SECONDS)
            await self._release_lease()
        # The balancer now sends new connections to other hosts, but connections opened
        # before the drain still bring requests.
        self.ingress.server.disable_keep_alive()
        self.tunnels.drain()
        # The server is checked instead of `in_flight`, which does not count a request
        # that was just read: one such request was forwarded and cut off 3 ms later.
        while self._is_busy and self._clock.now() < limit:
            if self._clock.now() >= limit - REFUSE_WAITING_SECONDS:
                self.streams.placement.end_waits()
            await self._clock.sleep(DRAIN_CHECK_SECONDS)
            await self._release_lease()
        self.ingress.server.refuse_new_requests()
        log.info("node: drained", in_flight=self.ingress.in_flight)

    @property
    def _is_busy(self) -> bool:
        """Return whether requests of callers or peers are in progress."""
        return self.ingress.server.is_busy or self.tunnels.is_busy

    async def _release_lease(self) -> None:
        """Stop planning if another node can take over.

        None can while the store is unreachable: without a planner, groups that lose a
        member would stay down until then.
        """
        if self.configuration.is_store_reachable:
            await self.leadership.release()

    async def close(self) -> None:
        """Close every socket and stop every task."""
        # Closed concurrently: each server may wait for its last bytes to be sent, and
        # one after another they took longer than the time reserved for closing.
        servers = (self.ingress.server, self._readiness, self._metrics_server)
        await asyncio.gather(*(server.close() for server in servers))
        await self._stack.aclose()
        log.info("node: stopped", name=self._settings.name)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(_log_failure)
        self._stack.push_async_callback(cancel_task, task)

    async def _start_metrics_server(self) -> None:
        if not self._settings.metrics_port:
            return
        self._stack.push_async_callback(self._metrics_server.close)
        try:
            await self._metrics_server.start(
                self._settings.address, self._settings.metrics_port
            )
        except OSError as error:
            # Serving callers has priority over monitoring.
            log.warning("node: metrics server not started", error=str(error))

    async def _start_tunnels(self) -> None:
        """Listen for peers without links, on the port number of the datagrams."""
        self._stack.callback(self.tunnels.close)
        port = self._settings.peer_port
        try:
            await self.tunnels.start(self._settings.address, port)
        except OSError as error:
            # This host serves its own callers without it.
            log.warning("node: tunnels not started", error=str(error))

    def _may_tunnel(self, ip: str, address: str) -> bool:
        """Return whether a host may have a tunnel to an address."""
        return self.peers.is_known_host(ip) and self.links.is_listed(address)

    def _can_plan(self) -> bool:
        return self.configuration.is_store_reachable and not self.ingress.is_stopping

    def _build_heartbeat(self) -> Heartbeat:
        known = self.configuration.configuration
        return Heartbeat(
            node=self._settings.name,
            incarnation=self._incarnation,
            address=f"{self._settings.address}:{self._settings.peer_port}",
            version=known.version if known else 0,
            sure=self.configuration.is_confirmed,
            store=self.configuration.is_store_reachable,
            stopping=self.ingress.is_stopping,
            planning=self.leadership.fence,
            traffic=self._traffic.seen,
            interval=self.peers.interval,
            data_centre=self._settings.data_centre,
            cores=self._settings.cores,
            loads=encode_loads(
                self.directory.loads.own_loads(), self.directory.loads.own_paces()
            ),
            grant_number=self.dispatcher_client.grant_number,
            evacuations=self.configuration.evacuations.to_share,
            without_links=tuple(sorted(self.links.lost)),
        )

    def _find_service(self, service: str) -> Service | None:
        known = self.configuration.configuration
        return known.services.get(service) if known else None

    def _find_model(self, service: str, model: str) -> ServedModel | None:
        """Return a service's engine profile and one of its models, None if unknown."""
        known = self.configuration.configuration
        declared = known and known.services.get(service)
        if not declared or declared.profile is None:
            return None
        spec = declared.profile.model(model)
        return None if spec is None else (declared.profile, spec)

    def _on_slot_freed(self) -> None:
        """Inform the dispatcher that this host uses one slot less."""
        self.readers.send_work_to_dispatcher()
        if self.streams.placement.admission is not None:
            self.streams.placement.admission.invalidate()
        self.dispatcher.wake()

    def _on_links_changed(self) -> None:
        """Tell the peers at once whether this host has links to the targets."""
        if self.links.lost:
            # The silence of the links looked like slow groups.
            self.directory.loads.forget_own_paces()
        self.peers.broadcast(self._build_heartbeat())

    def _count_pace_change(self, change: PaceChange) -> None:
        self.metrics.slow_groups.set(len(self.directory.loads.paces.slow))
        self.metrics.pace_changes.labels("slow" if change.is_slow else "well").inc()

    def _apply_evacuations(self, is_read: bool) -> None:
        """Stop or resume sends to data centres, and tell peers at once.

        In a large fleet only hosts that read the store do that. Their digests, and the
        heartbeats of all hosts, repeat it.
        """
        evacuated = self.configuration.evacuations.data_centres
        self.metrics.evacuated.set(len(evacuated))
        self.metrics.evacuation_changes.inc()
        self.directory.evacuate(evacuated)
        if is_read or not self.peers.is_large_fleet:
            self.peers.broadcast(self._build_heartbeat())
        if is_read and self.readers.is_reader:
            self.readers.step()

    def _publish_version(self) -> None:
        """Announce a newer version at once; in a large fleet only readers do."""
        if not self.peers.is_large_fleet:
            self.peers.broadcast(self._build_heartbeat())
        elif self.readers.is_reader:
            self.readers.step()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._traffic.seen = self._traffic.seen or heartbeat.traffic
        self.directory.loads.record_peer_loads(
            heartbeat.node, decode_loads(heartbeat), heartbeat.grant_number
        )
        self.directory.loads.record_peer_paces(heartbeat.node, decode_paces(heartbeat))
        # Only heartbeats show slots freed by other hosts' streams. Without this wake,
        # a stream waited until one of this host's own streams ended.
        self.streams.placement.wake_all()
        self.dispatcher.wake()

    async def _answer_readiness(self, request: HttpRequest, exchange: Exchange) -> None:
        if self.is_ready:
            await exchange.respond(200, b"ready\n", content_type="text/plain")
        else:
            await exchange.respond(503, b"not ready\n", content_type="text/plain")

    async def _answer_metrics(self, request: HttpRequest, exchange: Exchange) -> None:
        confirmation = self.configuration.confirmation
        if confirmation is not None:
            age = confirmation.age(self._clock.now())
            self.metrics.configuration_age.set(age)
        text = generate_latest(self.metrics.registry)
        await exchange.respond(200, text, content_type="text/plain")


def _log_failure(task: asyncio.Future[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("node: task failed", error=repr(task.exception()))


def build(
    *,
    settings: NodeSettings,
    ports: NodePorts,
    clock: Clock,
    seed: int = 0,
    metrics: NodeMetrics | None = None,
    listener: socket.socket | None = None,
    memory: PayloadMemory | None = None,
) -> Node:
    """Build a node from its settings and ports, without starting it.

    With a `seed` other than 0 its random choices are reproducible. `listener` is an
    already bound socket for callers, to use in place of the configured address.
    `memory` counts the bodies that other components of the process hold, too.
    """
    return Node(
        settings=settings,
        ports=ports,
        clock=clock,
        seed=seed,
        metrics=metrics,
        listener=listener,
        memory=memory,
    )
