"""Run one of the project's stand-ins as a process: `standin.py store|engine FILE`.

FILE holds the options of the stand-in as JSON. The scripts start this because the
command line of the project needs packages that the build of the deploy file lacks.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path

from mallowpond.standins.observatory_engine import EngineOptions, ObservatoryEngine
from mallowpond.standins.observatory_store import ObservatoryStore, StoreOptions


async def run_store(options: StoreOptions, stop: asyncio.Event) -> None:
    """Run the store until `stop` is set."""
    store = ObservatoryStore()
    await store.server.start(options.host, options.port)
    expiry = asyncio.create_task(store.run_expiry())
    await stop.wait()
    expiry.cancel()
    await store.server.close()


async def run_engine(options: EngineOptions, stop: asyncio.Event) -> None:
    """Run an engine until `stop` is set; it then drains and ends."""
    engine = ObservatoryEngine(options=options)
    await engine.start()
    await stop.wait()
    await engine.drain()
    await engine.close()


async def main(kind: str, path: Path) -> None:
    """Run the stand-in that is asked for until SIGTERM."""
    options = json.loads(path.read_text())
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    if kind == "store":
        await run_store(StoreOptions(**options), stop)
    else:
        await run_engine(EngineOptions(**options), stop)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], Path(sys.argv[2])))
