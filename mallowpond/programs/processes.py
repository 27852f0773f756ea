"""Run each program until its `stop` event is set.

Controllers use a platform with a table service and a host list. Nodes run on the
observatory platform, which has a store and engines of its own kind.
"""

import asyncio
import signal

import structlog

from mallowpond.controller.service import build as build_controller
from mallowpond.coordination.clock import MonotonicClock
from mallowpond.coordination.ports import Ports
from mallowpond.coordination.tasks import cancel_task
from mallowpond.gateway.service import build as build_gateway
from mallowpond.settings import (
    ControllerSettings,
    EngineStandinSettings,
    GatewaySettings,
    PlatformStandinSettings,
)
from mallowpond.standins.engine import EngineStandin
from mallowpond.standins.observatory_engine import EngineOptions, ObservatoryEngine
from mallowpond.standins.observatory_store import ObservatoryStore, StoreOptions
from mallowpond.standins.platform import PlatformStandin
from mallowpond.transport.engine_client import EngineClient
from mallowpond.transport.http_client import HttpClient
from mallowpond.transport.table_client import TableClient

log = structlog.get_logger()


async def run_gateway(settings: GatewaySettings, stop: asyncio.Event) -> None:
    """Run a gateway; on a stop, finish the requests in progress first."""
    gateway = build_gateway(settings=settings, clock=MonotonicClock())
    await gateway.start()
    try:
        await stop.wait()
        await gateway.drain()
    finally:
        await gateway.close()


async def run_controller(settings: ControllerSettings, stop: asyncio.Event) -> None:
    """Run a controller; on a stop, leave the membership first.

    It also ends, without leaving, when another process has replaced it.
    """
    http = HttpClient()
    table = TableClient(
        http=http, address=settings.platform, timeout=settings.timings.table_timeout
    )
    engines = EngineClient(http=http, timeout=settings.timings.engine_timeout)
    ports = Ports(table=table, host_list=table, engines=engines, clock=MonotonicClock())
    controller = build_controller(settings=settings, ports=ports)
    await controller.start()
    try:
        stopping = asyncio.create_task(stop.wait())
        replaced = asyncio.create_task(controller.replaced.wait())
        await asyncio.wait({stopping, replaced}, return_when=asyncio.FIRST_COMPLETED)
        if stop.is_set():
            await controller.leave()
            await controller.drain()
        stopping.cancel()
        replaced.cancel()
    finally:
        await controller.close()
        await http.close()


async def run_platform(settings: PlatformStandinSettings, stop: asyncio.Event) -> None:
    """Run the stand-in for the platform's table service and host list."""
    platform = PlatformStandin(hosts=settings.hosts)
    await platform.server.start(settings.address, settings.port)
    log.info("platform: started", port=platform.server.port)
    await stop.wait()
    await platform.server.close()


async def run_engine(settings: EngineStandinSettings, stop: asyncio.Event) -> None:
    """Run the stand-in for an engine that takes orders from controllers."""
    engine = EngineStandin(
        host=settings.host,
        incarnation=settings.incarnation,
        checks_fencing=settings.checks_fencing,
        step_seconds=settings.step_seconds,
    )
    await engine.start(settings.address, settings.port)
    log.info("engine: started", host=settings.host, port=engine.server.port)
    await stop.wait()
    await engine.close()


async def run_observatory_store(options: StoreOptions, stop: asyncio.Event) -> None:
    """Run the stand-in for the store that nodes use."""
    store = ObservatoryStore()
    await store.server.start(options.host, options.port)
    expiry = asyncio.create_task(store.run_expiry())
    await stop.wait()
    await cancel_task(expiry)
    await store.server.close()


async def run_observatory_engine(options: EngineOptions, stop: asyncio.Event) -> None:
    """Run the stand-in for an engine that takes requests from nodes."""
    engine = ObservatoryEngine(options=options)
    await engine.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, engine.toggle_rate_limit)
    loop.add_signal_handler(signal.SIGUSR2, engine.toggle_shedding)
    await stop.wait()
    await engine.drain()
    await engine.close()
