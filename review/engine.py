"""Run one stand-in of an engine as a process of its own, from a file with options."""

import asyncio
import json
import sys
from pathlib import Path

from mallowpond.standins.observatory_engine import EngineOptions, ObservatoryEngine


async def main() -> None:
    """Serve until the process is killed."""
    options = json.loads(Path(sys.argv[1]).read_text())
    engine = ObservatoryEngine(options=EngineOptions(**options))
    await engine.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
