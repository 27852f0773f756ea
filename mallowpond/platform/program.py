"""Run a node on the platform."""

import asyncio
import gc
import signal
import socket
import sys
from pathlib import Path

import structlog

from mallowpond.coordination.clock import BootClock
from mallowpond.node.logs import set_up_node_logs
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.ports import NodePorts
from mallowpond.node.service import build
from mallowpond.node.settings import NodeSettings
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.platform.call_counts import CallCounts
from mallowpond.platform.callers import PlatformCallerProtocol
from mallowpond.platform.early_listener import settings_path
from mallowpond.platform.engines import PlatformEngines
from mallowpond.platform.features import apply_guarantees
from mallowpond.platform.store import PlatformStore
from mallowpond.protocol.declaration_file import Faults
from mallowpond.settings import load_settings
from mallowpond.state.payload_memory import PayloadMemory
from mallowpond.transport.http_client import HttpClient

log = structlog.get_logger()
# Timeout for opening a connection to the store, in seconds: some tens of round trips.
# A host that is down does not answer at all.
CONNECT_TIMEOUT_SECONDS = 0.25
EXIT_USAGE = 2
# Thresholds of the three garbage collector generations. The program and the list of
# targets stay in memory for good, and traversing them with lower thresholds took 5% of
# the processor time that a node used (0.231 -> 0.220 of a core at 25 streams per second
# on loopback, one run each).
GC_THRESHOLDS = (20_000, 50, 100)


def _reload(path: Path, running: NodeSettings) -> None:
    """Reload the settings; an invalid file changes nothing and is logged."""
    settings = load_settings(path, NodeSettings)
    if isinstance(settings, Faults):
        faults = [f"{fault.path}: {fault.message}" for fault in settings.faults]
        log.error("node: reload refused", path=str(path), faults=faults)
        return
    settings = apply_guarantees(settings)
    set_up_node_logs(settings.log, BootClock())
    changed = [n for n, v in vars(settings).items() if v != getattr(running, n)]
    # Only the log settings take effect: addresses and the limits in `bounds` must not
    # change while requests are in progress.
    log.info("node: reloaded", changed=changed, in_force=["log"])


async def run_node(
    settings: NodeSettings, path: Path, listener: socket.socket | None = None
) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it.

    `listener` is the callers' socket if it is already open.
    """
    limits = settings.process_limits
    memory = PayloadMemory(max_bytes=limits.payload_bytes)
    log.info("node: limits", memory_mb=settings.memory_mb, **vars(limits))
    http = HttpClient(
        connect_seconds=CONNECT_TIMEOUT_SECONDS, memory=memory, process_limits=limits
    )
    # Only connections to engines may lead through other hosts, so these have a client
    # of their own.
    engines = HttpClient(memory=memory, process_limits=limits)
    metrics = NodeMetrics()
    unreadable_log = UnreadableLog(counter=metrics.unreadable)
    counts = CallCounts(clock=BootClock(), metric=metrics.store_calls)
    store = PlatformStore(
        http=http, address=settings.store, unreadable_log=unreadable_log, counts=counts
    )
    # The store is both the source of what others write, the configuration and the list
    # of targets, and the table of the rows that nodes write.
    ports = NodePorts(
        callers=PlatformCallerProtocol(),
        source=store,
        targets=PlatformEngines(http=engines, unreadable_log=unreadable_log),
        table=store,
    )
    node = build(
        settings=settings,
        ports=ports,
        clock=BootClock(),
        metrics=metrics,
        listener=listener,
        memory=memory,
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
    try:
        await node.start()
        await stop.wait()
        await node.drain()
    finally:
        await node.close()
        await engines.close()
        await http.close()


def main(listener: socket.socket | None = None) -> None:
    """Load the settings that the platform wrote, and run a node.

    Exits with EXIT_USAGE if the settings are invalid.
    """
    path = Path(settings_path())
    settings = load_settings(path, NodeSettings)
    if isinstance(settings, Faults):
        for fault in settings.faults:
            print(f"{path}: {fault.path}: {fault.message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = apply_guarantees(settings)
    set_up_node_logs(settings.log, BootClock())
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    # The command disables collection during the imports.
    gc.enable()
    asyncio.run(run_node(settings, path, listener))
