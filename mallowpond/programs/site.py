"""A complete system on one event loop in one process, on free loopback ports."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from hashlib import sha256

from mallowpond.controller.operator_api import Accepted
from mallowpond.controller.service import Controller
from mallowpond.controller.service import build as build_controller
from mallowpond.coordination.clock import MonotonicClock
from mallowpond.coordination.configuration import ProposalRefused
from mallowpond.coordination.ports import Clock, Host, Ports
from mallowpond.gateway.service import Gateway
from mallowpond.gateway.service import build as build_gateway
from mallowpond.settings import (
    ControllerSettings,
    ControllerTimings,
    GatewaySettings,
    GatewayTimings,
)
from mallowpond.standins.engine import EngineStandin
from mallowpond.standins.platform import PlatformStandin
from mallowpond.transport.engine_client import EngineClient
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.table_client import TableClient

LOOPBACK = "127.0.0.1"
API_KEY = "demo-key"
POLL_SECONDS = 0.02
FAST_CONTROLLER = ControllerTimings(
    heartbeat=0.1,
    lease=0.6,
    watch=0.1,
    silent=0.6,
    host_list=0.2,
    assurance=1.5,
    abort=3.0,
    drain_settle=0.6,
    table_timeout=0.5,
    engine_timeout=0.3,
)
FAST_GATEWAY = GatewayTimings(
    routes=0.05, permit=1.0, claim=1.0, first_byte=5.0, between_chunks=2.0
)


@dataclass(frozen=True, kw_only=True)
class SiteShape:
    """Number of servers of each kind in a site, and options of its engines.

    The engines are divided evenly among the fabric `domains`. `step_seconds` is the
    time that an engine takes for each word of an answer.
    """

    engines: int = 8
    domains: int = 2
    controllers: int = 1
    gateways: int = 1
    checks_fencing: bool = True
    step_seconds: float = 0.005


@dataclass(kw_only=True)
class Site:
    """A complete system of stand-ins, controllers and gateways; a context manager."""

    shape: SiteShape = SiteShape()
    controller_timings: ControllerTimings = FAST_CONTROLLER
    gateway_timings: GatewayTimings = FAST_GATEWAY
    clock: Clock = field(default_factory=MonotonicClock)
    engines: list[EngineStandin] = field(default_factory=list)
    controllers: list[Controller] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def __aenter__(self) -> "Site":
        hosts = [await self._start_engine(n) for n in range(self.shape.engines)]
        hosts += [_entry_host(n) for n in range(self.shape.controllers)]
        self.platform = PlatformStandin(hosts=tuple(hosts))
        await self.platform.server.start(LOOPBACK, 0)
        self._stack.push_async_callback(self.platform.server.close)
        for number in range(self.shape.controllers):
            await self._start_controller(number)
        for number in range(self.shape.gateways):
            await self._start_gateway(number)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    @property
    def gateway_address(self) -> str:
        """Return the address of the first gateway."""
        return f"{LOOPBACK}:{self.gateways[0].port}"

    async def apply(self, source: str) -> Accepted | ProposalRefused:
        """Apply a declaration through the first controller once it is ready."""
        controller = self.controllers[0]
        await self.until(lambda: controller.is_ready)
        await self.until(lambda: controller.membership.cell is not None)
        expect = controller.configuration.applied.version
        return await controller.api.apply_source(source, expect, "site")

    async def until_serving(self, deployment: str, groups: int) -> None:
        """Wait until each gateway can route to at least this many groups."""
        for gateway in self.gateways:
            await self.until(
                lambda g=gateway: (
                    g.is_ready
                    and len(g.routes.serving(deployment, self.clock.now())) >= groups
                )
            )

    async def until(self, reached, seconds: float = 30.0) -> None:
        """Poll until `reached()` is true; raise TimeoutError after `seconds`."""
        async with asyncio.timeout(seconds):
            while not reached():
                await asyncio.sleep(POLL_SECONDS)

    async def _start_engine(self, number: int) -> Host:
        name = f"engine{number}"
        engine = EngineStandin(
            host=name,
            incarnation="1",
            checks_fencing=self.shape.checks_fencing,
            step_seconds=self.shape.step_seconds,
        )
        await engine.start(LOOPBACK, 0)
        self._stack.push_async_callback(engine.close)
        self.engines.append(engine)
        per_domain = self.shape.engines // self.shape.domains
        return Host(
            name=name,
            address=f"{LOOPBACK}:{engine.server.port}",
            domain=f"fabric{number // per_domain}",
            data_centre="dc1",
            accelerators=8,
            incarnation="1",
        )

    async def _start_controller(self, number: int) -> None:
        http = HttpClient()
        self._stack.push_async_callback(http.close)
        address = f"{LOOPBACK}:{self.platform.server.port}"
        timings = self.controller_timings
        table = TableClient(http=http, address=address, timeout=timings.table_timeout)
        ports = Ports(
            table=table,
            host_list=table,
            engines=EngineClient(http=http, timeout=timings.engine_timeout),
            clock=self.clock,
            seed=number + 1,
        )
        settings = ControllerSettings(
            name=f"controller{number}",
            cell="demo",
            host=f"entry{number}",
            platform=address,
            timings=timings,
        )
        controller = build_controller(settings=settings, ports=ports)
        self._stack.push_async_callback(controller.close)
        await controller.start()
        self.controllers.append(controller)

    async def _start_gateway(self, number: int) -> None:
        addresses = [c.peer_address for c in self.controllers]
        offset = number % len(addresses)
        settings = GatewaySettings(
            name=f"gateway{number}",
            controllers=tuple(addresses[offset:] + addresses[:offset]),
            timings=self.gateway_timings,
        )
        gateway = build_gateway(settings=settings, clock=self.clock, seed=number + 1)
        self._stack.push_async_callback(gateway.close)
        await gateway.start()
        self.gateways.append(gateway)


def _entry_host(number: int) -> Host:
    return Host(
        name=f"entry{number}",
        address="",
        domain="",
        data_centre="dc1",
        accelerators=0,
        incarnation="boot-1",
    )


def key_hash(key: str) -> str:
    """Return the hash of an API key in the form that declarations contain."""
    return sha256(key.encode()).hexdigest()
