"""Wire one node: meet callers, serve, tell peers, plan groups when it is its turn."""

import asyncio
import random
import socket
from collections.abc import Awaitable
from contextlib import AsyncExitStack

import structlog
from prometheus_client import generate_latest

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.store import new_id
from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.calls import CallService
from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.configuration_sharing import ConfigurationSharing
from mallowpond.node.directory import Directory
from mallowpond.node.dispatcher import Dispatcher, ServedModel
from mallowpond.node.dispatcher_client import DispatcherClient
from mallowpond.node.fanout import Fanout
from mallowpond.node.ingress import Ingress
from mallowpond.node.leadership import Leadership
from mallowpond.node.messages import Heartbeat, decode_loads, encode_loads
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.planner import GroupPlanner
from mallowpond.node.ports import NodePorts
from mallowpond.node.quarantine import Quarantine
from mallowpond.node.quarantine_sharing import QuarantineSharing
from mallowpond.node.rate_limits import RateLimits
from mallowpond.node.readers import Readers
from mallowpond.node.serving_parts import ServingParts
from mallowpond.node.settings import NodeSettings
from mallowpond.node.streams import StreamService
from mallowpond.node.target_availability import TargetAvailability
from mallowpond.node.traffic import TrafficSeen
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.node.watch import GroupWatch
from mallowpond.state.retry_window import RetryWindow
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer

log = structlog.get_logger()

# Time after a stop in which new requests are still served, in seconds: the balancer
# asks once a second and takes a node out after two misses.
LAME_DUCK_SECONDS = 3.2
# Time in which a node that has just started reads what it needs before it serves
# callers that already wait, and the pause between two looks, in seconds: two answers of
# the store take 0.01 s, and a store that is down must not keep them.
STARTUP_READ_SECONDS = 0.25
STARTUP_POLL_SECONDS = 0.005
# Part of the grace time that is kept back for closing, in seconds.
CLOSING_SECONDS = 0.7
DRAIN_CHECK_SECONDS = 0.05
# Time before the end in which streams that still wait are refused, in seconds: closed
# with their host, requests that no engine had seen got no answer.
REFUSE_WAITING_SECONDS = 0.2


class Node:
    """Run everything of one entry host."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        ports: NodePorts,
        clock: Clock,
        seed: int = 0,
        metrics: NodeMetrics | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._clock = clock
        self._rng = random.Random(seed) if seed else random.SystemRandom()
        self._incarnation = new_id(self._rng)
        self._stack = AsyncExitStack()
        self._budgets: dict[str, RetryWindow] = {}
        self._traffic = TrafficSeen(seen=not settings.first_start)
        self.metrics = metrics or NodeMetrics()
        unreadable_log = UnreadableLog(counter=self.metrics.unreadable)
        self.configuration = ConfigurationFollower(
            source=ports.source, clock=clock, revoke_seconds=settings.bounds.revoke
        )
        self.directory = Directory(source=ports.source, clock=clock)
        self.peers = PeerNetwork(
            name=settings.name,
            incarnation=self._incarnation,
            address=f"{settings.address}:{settings.peer_port}",
            table=ports.table,
            clock=clock,
            make_heartbeat=self._describe,
            unreadable_log=unreadable_log,
        )
        quarantine = Quarantine(clock=clock, metrics=self.metrics)
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
        availability = TargetAvailability(
            rate_limits=self.rate_limits, directory=self.directory, clock=clock
        )
        parts = ServingParts(
            directory=self.directory,
            targets=ports.targets,
            callers=ports.callers,
            clock=clock,
            metrics=self.metrics,
            budget=self._budget,
            hosts=lambda: self.peers.host_count,
            rng=self._rng,
            quarantine=quarantine,
            availability=availability,
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
        )
        self.watch = GroupWatch(
            streams=self.streams,
            directory=self.directory,
            peers=self.peers,
            clock=clock,
            metrics=self.metrics,
            stall_seconds=settings.bounds.stall,
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
        )
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
        )
        self.dispatcher = Dispatcher(
            name=settings.name,
            peers=self.peers,
            directory=self.directory,
            selector=self.streams.placement.selector,
            clock=clock,
            find_model=self._find_model,
            is_dispatcher=lambda: self.readers.dispatcher == settings.name,
        )
        self.dispatcher_client = DispatcherClient(
            name=settings.name,
            peers=self.peers,
            directory=self.directory,
            dispatcher=self.dispatcher,
            clock=clock,
            dispatching_host=lambda: self.readers.dispatcher,
        )
        self.streams.placement.dispatcher_client = self.dispatcher_client
        self.streams.on_end.append(self._on_slot_freed)
        self.dispatcher_client.on_unused_grant.append(self._on_slot_freed)
        self.readers.grant_number = lambda: self.dispatcher_client.grant_number
        self.sharing = ConfigurationSharing(
            name=settings.name,
            peers=self.peers,
            readers=self.readers,
            fanout=self.fanout,
            configuration=self.configuration,
        )
        self.readers.after_digest.append(self.streams.placement.wake_all)
        self.configuration.on_new_version.append(self._publish_version)
        self.leadership.on_acquired.append(
            lambda: self.peers.broadcast(self._describe())
        )
        self.peers.on_heartbeat.append(self._on_heartbeat)
        self.peers.on_target_healthy.append(self.directory.record_healthy)
        self.peers.on_work.append(lambda work: self.dispatcher.wake())
        self.directory.on_change.append(self.dispatcher.wake)
        self._readiness = HttpServer(handler=self._answer_readiness)
        self._metrics_server = HttpServer(handler=self._answer_metrics)

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come to this node."""
        return self.configuration.is_confirmed and not self.ingress.is_stopping

    async def start(self) -> None:
        """Listen, and follow the platform."""
        self._stack.push_async_callback(self.planner.close)
        self._stack.callback(self.peers.close)
        await self.peers.start(self._settings.peer_port)
        await self._listen(self._readiness, self._settings.readiness)
        await self._start_metrics()
        self._spawn(self.configuration.run())
        self._spawn(self.directory.run())
        if self._listener is not None:
            await self._await_first_read()
        await self._listen(self.ingress.server, self._settings.callers, self._listener)
        for work in (
            self.peers.run_heartbeats(),
            self.peers.run_candidate_heartbeats(),
            self.peers.run_node_rows(),
            self.watch.run(),
            self.leadership.run(),
            self.readers.run(),
            self.planner.run(),
            self.rate_limits.run(),
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
        """Wait until the store has told what callers need, but not for long.

        Callers already wait on the socket: answered some milliseconds sooner, each of
        them would be refused for want of a configuration.
        """
        limit = self._clock.now() + STARTUP_READ_SECONDS
        while self._clock.now() < limit:
            if self.configuration.configuration and self.directory.targets:
                return
            await self._clock.sleep(STARTUP_POLL_SECONDS)

    async def drain(self) -> None:
        """Tell the balancer, serve on for a moment, then finish what is in progress."""
        self.ingress.is_stopping = True
        await self._release_lease()
        self.peers.broadcast(self._describe())
        log.info("node: draining", in_flight=self.ingress.in_flight)
        grace = self._settings.bounds.grace
        started = self._clock.now()
        lame_duck_until = started + min(LAME_DUCK_SECONDS, 0.5 * grace)
        limit = started + grace - CLOSING_SECONDS
        self.ingress.shutdown_at = self.streams.placement.shutdown_at = limit
        while self._clock.now() < lame_duck_until:
            await self._clock.sleep(DRAIN_CHECK_SECONDS)
            await self._release_lease()
        # New connections go to other hosts by now; those of before still come here.
        self.ingress.server.keep_no_connections()
        # Asked of the server: a request that it has just read is not in flight yet, and
        # one that was overlooked was passed on and cut off 3 ms later.
        while self.ingress.server.is_busy and self._clock.now() < limit:
            if self._clock.now() >= limit - REFUSE_WAITING_SECONDS:
                self.streams.placement.end_waits()
            await self._clock.sleep(DRAIN_CHECK_SECONDS)
            await self._release_lease()
        self.ingress.server.refuse_more()
        log.info("node: drained", in_flight=self.ingress.in_flight)

    async def _release_lease(self) -> None:
        """Stop planning if another node can take over.

        While the store is away none can, and groups that lose a member would stay
        down until it is back.
        """
        if self.configuration.is_store_reachable:
            await self.leadership.release()

    async def close(self) -> None:
        """Close every socket and stop every task."""
        # Together: each may wait for its last bytes, and one after another they took
        # longer than what is kept of the grace time.
        servers = (self.ingress.server, self._readiness, self._metrics_server)
        await asyncio.gather(*(server.close() for server in servers))
        await self._stack.aclose()
        log.info("node: stopped", name=self._settings.name)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(_log_failure)
        self._stack.push_async_callback(cancel_task, task)

    async def _start_metrics(self) -> None:
        if not self._settings.metrics_port:
            return
        self._stack.push_async_callback(self._metrics_server.close)
        try:
            await self._metrics_server.start(
                self._settings.address, self._settings.metrics_port
            )
        except OSError as error:
            # Serving callers goes before being watched.
            log.warning("node: no metrics address", error=str(error))

    def _can_plan(self) -> bool:
        return self.configuration.is_store_reachable and not self.ingress.is_stopping

    def _budget(self, service: str) -> RetryWindow:
        bounds = self._settings.bounds
        if service not in self._budgets:
            self._budgets[service] = RetryWindow(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_seconds=bounds.retry_window,
            )
        return self._budgets[service]

    def _describe(self) -> Heartbeat:
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
            loads=encode_loads(self.directory.loads.own_loads()),
            grant_number=self.dispatcher_client.grant_number,
        )

    def _find_model(self, service: str, model: str) -> ServedModel | None:
        """Return the timing and model of a service, None if it is not declared."""
        known = self.configuration.configuration
        declared = known and known.services.get(service)
        if not declared or declared.profile is None:
            return None
        spec = declared.profile.model(model)
        return None if spec is None else (declared.profile, spec)

    def _on_slot_freed(self) -> None:
        """Tell whoever counts places that this host holds one less."""
        self.readers.send_work_to_dispatcher()
        self.dispatcher.wake()

    def _publish_version(self) -> None:
        """Tell a newer version at once; in a large fleet only the readers do."""
        if not self.peers.is_large_fleet:
            self.peers.broadcast(self._describe())
        elif self.readers.is_reader:
            self.readers.step()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._traffic.seen = self._traffic.seen or heartbeat.traffic
        self.directory.loads.record_peer_loads(
            heartbeat.node, decode_loads(heartbeat), heartbeat.grant_number
        )
        # Places that other hosts' streams freed are known only from here: without
        # this a stream waited until one of this host's own ended.
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
) -> Node:
    """Build a node from its settings and ports."""
    return Node(
        settings=settings,
        ports=ports,
        clock=clock,
        seed=seed,
        metrics=metrics,
        listener=listener,
    )
