"""The controller process: wires its parts and runs their loops."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace

import structlog

from mallowpond.controller.links import LinkService
from mallowpond.controller.metrics import ControllerMetrics
from mallowpond.controller.operator_api import OperatorApi
from mallowpond.controller.peers import PeerPoller
from mallowpond.controller.quarantine import ControllerQuarantine
from mallowpond.controller.tables import Tables
from mallowpond.coordination.claims import ClaimCommitter
from mallowpond.coordination.configuration import Configuration
from mallowpond.coordination.groups import (
    GroupManager,
    GroupTimings,
    excluded_hosts,
)
from mallowpond.coordination.health import EngineWatch
from mallowpond.coordination.keys import SHARED
from mallowpond.coordination.leases import NamedLease
from mallowpond.coordination.membership import (
    MemberIdentity,
    Membership,
    RenewalResult,
)
from mallowpond.coordination.ports import Host, Ports, Unavailable
from mallowpond.coordination.quotas import QuotaLeaser
from mallowpond.coordination.store import TableView, new_id
from mallowpond.coordination.tasks import cancel_task
from mallowpond.protocol.declaration_file import parse_document
from mallowpond.protocol.peer import GroupLastSeen, PeerAsk, PeerView, Routes, RoutesAsk
from mallowpond.settings import ControllerSettings
from mallowpond.state.assurance import Assured
from mallowpond.state.ownership import owner_of
from mallowpond.state.rows import GroupRow, GroupState, Holder
from mallowpond.transport.http_server import Exchange, HttpRequest, HttpServer
from mallowpond.transport.peer_link import PeerLink, serve_links

log = structlog.get_logger()
PLANNER_LEASE = "planner"
DRAIN_LIMIT_SECONDS = 3.0
# Age up to which the confirmation that all members of a group have loaded their part of
# the model counts as recent, in intervals of the engine watch.
RECENT_POLLS = 2.0
DRAIN_CHECK_SECONDS = 0.05


class Controller:
    """One controller; `ports` are its interfaces to table, hosts, engines and clock."""

    def __init__(self, *, settings: ControllerSettings, ports: Ports) -> None:
        self._settings = settings
        self._ports = ports
        self._clock = ports.clock
        self._rng = random.Random(ports.seed) if ports.seed else random.SystemRandom()
        self._incarnation = self._draw_id()
        self._shared = TableView(table=ports.table, prefix=SHARED)
        self._hosts: tuple[Host, ...] = ()
        self._routes_version = 1
        self._ready_groups: tuple[GroupRow, ...] = ()
        self._stack = AsyncExitStack()
        self._leaving = False
        self._built = asyncio.Event()
        self._poll_now = asyncio.Event()
        self._downtime_counted_at: float | None = None
        self.metrics = ControllerMetrics()
        self.replaced = asyncio.Event()

    async def start(self) -> None:
        """Start listening, build the parts and start the loops."""
        timings = self._settings.timings
        self._links_port = await serve_links(
            self._serve_link,
            self._settings.address,
            self._settings.peer_port,
            self._stack,
        )
        self._api_server = HttpServer(
            handler=self._handle_operator,
            process_limits=self._settings.process_limits,
        )
        self._stack.push_async_callback(self._api_server.close)
        await self._api_server.start(
            self._settings.address, self._settings.operator_port
        )
        self._build()
        self._built.set()
        self._stack.push_async_callback(self._peers.close)
        self._spawn("claims", self._claims.run())
        self._spawn("table", self._every(timings.heartbeat, "table", self._table_step))
        self._spawn("hosts", self._every(timings.host_list, "hosts", self._read_hosts))
        self._spawn("watch", self._every(timings.watch, "watch", self._watch_step))
        self._spawn("suspects", self._every(0.0, "suspects", self._suspect_step))
        self._spawn("peers", self._every(timings.heartbeat, "peers", self._peer_step))
        self._spawn("groups", self._every(timings.heartbeat, "groups", self._plan_step))
        log.info("controller: started", name=self._settings.name)

    @property
    def peer_address(self) -> str:
        """Return the address for gateways and other controllers."""
        return f"{self._settings.address}:{self._links_port}"

    @property
    def operator_address(self) -> str:
        """Return the address of the operator API."""
        return f"{self._settings.address}:{self._api_server.port}"

    @property
    def is_ready(self) -> bool:
        """Return whether the configuration is assured and no leave has begun."""
        assured = isinstance(self.configuration.assurance(), Assured)
        return assured and not self._leaving

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return the host list of the platform as last read."""
        return self._hosts

    async def leave(self) -> None:
        """Release the planner lease and leave the membership.

        Open work goes on; `drain` waits for it.
        """
        self._leaving = True
        log.info("controller: leaving", name=self._settings.name)
        await self._lease.release()
        applied = self.configuration.applied.version
        await self.membership.leave(
            applied=applied, prepared=self.configuration.prepared
        )

    async def drain(self) -> None:
        """Wait until all gateways have detached and all requests are answered.

        Gives up after `DRAIN_LIMIT_SECONDS`.
        """
        limit = self._clock.now() + DRAIN_LIMIT_SECONDS
        while self._clock.now() < limit:
            # Operations on claims of once-only requests are awaited too. An operator
            # whose request was cut off could not know whether the change is in force.
            is_busy = self._claims.unanswered or self._api_server.is_busy
            if not self._links.gateways and not is_busy:
                return
            await self._clock.sleep(DRAIN_CHECK_SECONDS)

    async def close(self) -> None:
        """Stop every loop and close every socket."""
        await self._stack.aclose()

    def _build(self) -> None:
        settings, ports = self._settings, self._ports
        identity = MemberIdentity(
            name=settings.name,
            cell=settings.cell,
            address=self.peer_address,
            operator_address=self.operator_address,
            incarnation=self._incarnation,
        )
        self.membership = Membership(
            identity=identity,
            table=ports.table,
            clock=ports.clock,
            shared=self._shared,
            lease_seconds=settings.timings.lease,
            draw_id=self._draw_id,
        )
        self.configuration = Configuration(
            table=ports.table,
            clock=ports.clock,
            shared=self._shared,
            membership=self.membership,
            parse=parse_document,
            draw_id=self._draw_id,
            assurance_seconds=settings.timings.assurance,
            abort_seconds=settings.timings.abort,
        )
        self._build_groups()
        self._claims = ClaimCommitter(
            table=ports.table,
            member=settings.name,
            draw_id=self._draw_id,
            live_gateways=self._live_gateways,
            on_transaction=self.metrics.claim_transactions.inc,
        )
        self.quarantine = ControllerQuarantine(
            table=ports.table,
            shared=self._shared,
            clock=ports.clock,
            draw_id=self._draw_id,
        )
        self._links = LinkService(
            routes=self._answer_routes,
            view=self._answer_view,
            claims=self._claims,
            quotas=QuotaLeaser(table=ports.table, draw_id=self._draw_id),
            on_suspect=self._poll_now.set,
            on_crash=self.quarantine.on_report,
            metrics=self.metrics,
        )
        self._peers = PeerPoller(
            member=settings.name,
            clock=ports.clock,
            on_answer=self.configuration.record_peer_answer,
            on_cell=self.membership.adopt_cell,
        )
        self.tables = Tables(
            configuration=self.configuration,
            membership=self.membership,
            groups=self.groups,
            watch=self.watch,
            shared=self._shared,
            hosts=lambda: self._hosts,
        )
        self.api = OperatorApi(
            configuration=self.configuration,
            groups=self.groups,
            tables=self.tables,
            metrics=self.metrics,
            is_ready=lambda: self.is_ready,
            hosts=lambda: self.hosts,
        )

    def _build_groups(self) -> None:
        settings, ports = self._settings, self._ports
        timings = settings.timings
        self._lease = NamedLease(
            name=PLANNER_LEASE,
            table=ports.table,
            clock=ports.clock,
            shared=self._shared,
            membership=self.membership,
            draw_id=self._draw_id,
        )
        self.watch = EngineWatch(
            engines=ports.engines, clock=ports.clock, silent_seconds=timings.silent
        )
        self.groups = GroupManager(
            table=ports.table,
            clock=ports.clock,
            engines=ports.engines,
            shared=self._shared,
            lease=self._lease,
            watch=self.watch,
            holder=self._holder,
            draw_id=self._draw_id,
            timings=GroupTimings(
                drain_settle=timings.drain_settle,
                drain_limit=timings.drain_limit,
                forming_limit=timings.forming_limit,
                max_loading_hosts=settings.max_loading_hosts,
            ),
        )

    @property
    def is_planner(self) -> bool:
        """Return whether this controller holds the planner lease now."""
        return self._lease.current is not None

    @property
    def shared(self) -> TableView:
        """Return this controller's view of the rows shared by all controllers."""
        return self._shared

    # -- loops ---------------------------------------------------------------

    async def _table_step(self) -> None:
        asked_at = self._clock.now()
        if not await self._shared.refresh() or not await self.membership.refresh():
            self.metrics.table_failures.inc()
            return
        self.configuration.after_read(asked_at)
        await self.quarantine.step()
        if self._leaving:
            return
        result = await self.membership.renew(
            applied=self.configuration.applied.version,
            prepared=self.configuration.prepared,
            gateways=self._links.gateways,
        )
        self.metrics.heartbeats.labels(result=result.value).inc()
        if result is RenewalResult.REPLACED:
            log.error("controller: another process took this name, stopping")
            self.replaced.set()
            return
        if self._owns_epoch():
            await self.membership.advance_epoch()
        await self.configuration.advance_proposal()

    def _owns_epoch(self) -> bool:
        # One controller of the cell advances the epoch of its membership.
        if self.membership.cell is None:
            return True
        owner = owner_of("epoch", self.membership.eligible_owners())
        return owner == self._settings.name

    async def _read_hosts(self) -> None:
        hosts = await self._ports.host_list.hosts()
        if not isinstance(hosts, Unavailable):
            self._hosts = hosts

    async def _watch_step(self) -> None:
        await self.watch.poll(self._hosts)

    async def _suspect_step(self) -> None:
        """Poll the engines at once when a gateway reports a suspect group."""
        await self._poll_now.wait()
        self._poll_now.clear()
        await self._watch_step()
        await self._clock.sleep(self._settings.timings.watch / 4)

    async def _peer_step(self) -> None:
        own_name = self._settings.name
        members = self.membership.members()
        await self._peers.poll(
            {n: m.address for n, m in members.items() if n != own_name}
        )

    async def _plan_step(self) -> None:
        if self._leaving:
            return
        declaration = self.configuration.applied.declaration
        if isinstance(self.configuration.assurance(), Assured):
            await self.groups.tick(declaration=declaration, hosts=self._hosts)
        self._update_metrics()

    def _update_metrics(self) -> None:
        now = self._clock.now()
        elapsed = now - (self._downtime_counted_at or now)
        self._downtime_counted_at = now
        metrics = self.metrics
        applied = self.configuration.applied
        metrics.config_version.set(applied.version)
        assurance = self.configuration.assurance()
        metrics.assured.set(isinstance(assurance, Assured))
        source = assurance.source.value if isinstance(assurance, Assured) else "none"
        metrics.assurance_source.labels(source=source).inc()
        groups = list(self.groups.groups().values())
        for deployment in applied.declaration.deployments:
            of_deployment = [g for g in groups if g.deployment == deployment.name]
            for state in GroupState:
                count = sum(g.state is state for g in of_deployment)
                metrics.groups.labels(deployment.name, state.value).set(count)
            ready = sum(g.state is GroupState.READY for g in of_deployment)
            down = max(0, deployment.replicas - ready)
            if self.is_planner:
                metrics.group_downtime.labels(deployment.name).inc(down * elapsed)
        metrics.stranded.set(self.groups.stranded)
        metrics.tainted.set(len(self.groups.tainted))

    # -- answers -------------------------------------------------------------

    def _answer_routes(self, ask: RoutesAsk) -> Routes:
        self._refresh_routes()
        applied = self.configuration.applied
        assurance = self.configuration.assurance()
        config_left = None
        if isinstance(assurance, Assured):
            config_left = assurance.until - self._clock.now()
        excluded = excluded_hosts(applied.declaration, self._hosts)
        seen_age, exceptions = self._confirmed_ages()
        knows_text = ask.known_config == applied.version
        knows_quarantine = ask.known_held == self.quarantine.version
        knows_groups = ask.known_routes == self._routes_version
        return Routes(
            sequence=ask.sequence,
            config_version=applied.version,
            config_left=config_left,
            config_text=None if knows_text else applied.text,
            routes_version=self._routes_version,
            groups=None if knows_groups else self._ready_groups,
            seen_age=seen_age,
            exceptions=exceptions,
            excluded_hosts=tuple(sorted(excluded)),
            leaving=self._leaving,
            held_version=self.quarantine.version,
            held=None if knows_quarantine else self.quarantine.published(),
            held_parts=() if knows_quarantine else self.quarantine.published_parts(),
        )

    def _refresh_routes(self) -> None:
        groups = self.groups.groups().values()
        ready = tuple(g for g in groups if g.state is GroupState.READY)
        if ready != self._ready_groups:
            self._ready_groups = ready
            # Random instead of counted: a gateway that changes controllers must not
            # mistake the new controller's routes for those it has from the old one.
            self._routes_version = self._rng.getrandbits(48)

    def _confirmed_ages(self) -> tuple[float, tuple[GroupLastSeen, ...]]:
        """Return the largest age of a recent confirmation, and the exceptions.

        The exceptions are the ready groups that were not confirmed recently, each with
        an age of its own.
        """
        recent = self._settings.timings.watch * RECENT_POLLS
        seen_age, exceptions = 0.0, []
        for group in self._ready_groups:
            age = self.watch.confirmed_age(group)
            if age is not None and age <= recent:
                seen_age = max(seen_age, age)
                continue
            last_seen = GroupLastSeen(
                group=group.group, generation=group.generation, age=age
            )
            exceptions.append(last_seen)
        return seen_age, tuple(exceptions)

    def _answer_view(self, ask: PeerAsk) -> PeerView:
        read = self.configuration.head_read
        age = self._clock.now() - read.asked_at if read else None
        return PeerView(
            sequence=ask.sequence,
            member=self._settings.name,
            incarnation=self._incarnation,
            cell=self.membership.latest_cell,
            head_version=read.version if read else 0,
            read_age=age,
            holds_newer=bool(self.configuration.prepared),
        )

    async def _handle_operator(self, request: HttpRequest, exchange: Exchange) -> None:
        await self._built.wait()
        await self.api.handle(request, exchange)

    async def _serve_link(self, link: PeerLink) -> None:
        # The sockets are opened before the parts exist, as these need the port numbers.
        await self._built.wait()
        await self._links.serve(link)

    # -- helpers -------------------------------------------------------------

    def _live_gateways(self) -> frozenset[str]:
        return self.membership.live_gateways() | set(self._links.gateways)

    def _holder(self) -> Holder:
        host = self._settings.host
        listed = {h.name: h.incarnation for h in self._hosts}
        return Holder(
            member=self._settings.name,
            incarnation=self._incarnation,
            host=host,
            host_incarnation=listed.get(host, ""),
        )

    def _draw_id(self) -> str:
        return new_id(self._rng)

    def _spawn(self, name: str, work: Awaitable[None]) -> None:
        task = asyncio.create_task(work, name=name)
        self._stack.push_async_callback(cancel_task, task)

    async def _every(
        self, seconds: float, name: str, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except Exception:
                # If a loop ended, heartbeats or planning would stop for good in a
                # process that looks alive; the counter makes the failure visible.
                self.metrics.loop_failures.labels(loop=name).inc()
                log.exception("controller: loop step failed", loop=name)
            await self._clock.sleep(seconds)


def build(*, settings: ControllerSettings, ports: Ports) -> Controller:
    """Build a controller from its settings and ports."""
    return Controller(settings=replace(settings), ports=ports)
