"""Watch what the processes of the nodes hold, as the platform does."""

import asyncio
import os
import signal
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import structlog

from soak.fleet import Fleet
from soak.records import Exhaustion

log = structlog.get_logger()

POLL_SECONDS = 0.02
# State of a socket that listens, in the list of the kernel.
LISTENING = "0A"
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
            memory, descriptors = resources_of(pid)
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


def resources_of(pid: int) -> tuple[int, int]:
    """Return the bytes that count as a process's memory, and its open descriptors.

    Raises OSError or ValueError if it has ended.
    """
    inodes = open_inodes(pid)
    return private_bytes(pid) + unread_bytes(inodes), len(inodes)


def open_inodes(pid: int) -> list[str]:
    """Return what each descriptor of a process refers to, sockets by their inode."""
    folder = f"/proc/{pid}/fd"
    found = []
    for name in os.listdir(folder):
        with suppress(FileNotFoundError):
            # It may have been closed since.
            found.append(os.readlink(f"{folder}/{name}"))
    return found


def unread_bytes(inodes: list[str]) -> int:
    """Return the bytes that sockets of TCP have received and nobody has read."""
    sockets = {n[len("socket:[") : -1] for n in inodes if n.startswith("socket:[")}
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in sockets and fields[3] != LISTENING:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


def private_bytes(pid: int) -> int:
    """Return the resident memory of a process without the pages of its files."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return (int(fields[1]) - int(fields[2])) * PAGE_BYTES
