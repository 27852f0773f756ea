"""Watch what the processes of the nodes hold, as the platform does."""

import asyncio
import os
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import structlog

from soak.fleet import Fleet
from soak.records import Exhaustion

log = structlog.get_logger()

POLL_SECONDS = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(kw_only=True)
class ResourceWatch:
    """Kills nodes that exceed their memory; records these, and too many descriptors."""

    fleet: Fleet
    exhaustions: list[Exhaustion] = field(default_factory=list)
    # Largest memory and number of descriptors of any node.
    peak_bytes: int = 0
    peak_descriptors: int = 0

    async def watch(self) -> None:
        """Poll the processes until cancelled."""
        while True:
            for number, node in enumerate(self.fleet.nodes):
                if node.is_running and node.process is not None:
                    self._check(number, node.process.pid)
            await asyncio.sleep(POLL_SECONDS)

    def _check(self, number: int, pid: int) -> None:
        shape = self.fleet.shape
        try:
            memory = private_bytes(pid)
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, ValueError):
            # It has just ended.
            return
        self.peak_bytes = max(self.peak_bytes, memory)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        for what, used, limit in (
            ("memory", memory, 1e6 * shape.memory_mb),
            ("descriptors", descriptors, shape.descriptors),
        ):
            if used <= limit:
                continue
            log.warning("soak: node exhausted", node=number, what=what, used=used)
            self.exhaustions.append(
                Exhaustion(node=number, what=what, used=used, at=time.monotonic())
            )
            self.fleet.nodes[number].signal(signal.SIGKILL)


def private_bytes(pid: int) -> int:
    """Return the resident memory of a process without the pages of its files."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return (int(fields[1]) - int(fields[2])) * PAGE_BYTES
