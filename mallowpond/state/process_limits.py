"""Divide the memory and the descriptors of a process among what its load takes.

The load pattern: callers, targets and hosts together, each within its own limit, take
more than the process has, which is then killed or can open no connection any more.
"""

from dataclasses import dataclass

# Memory of the program, and of what it knows of the fleet, in bytes.
PROGRAM_BYTES = 64 * 10**6
# Part of the memory that load may take in any case: a limit below that of the program
# is taken for a mistake.
MIN_LOAD_SHARE = 0.25
# Parts of the memory for load that bodies, connections of callers and tunnels may take.
PAYLOAD_MEMORY_SHARE = 2.0 / 3.0
CALLER_MEMORY_SHARE = 0.25
TUNNEL_MEMORY_SHARE = 1.0 - PAYLOAD_MEMORY_SHARE - CALLER_MEMORY_SHARE
# Bytes that a connection of a caller takes beside bodies: its objects, what was read of
# a request that is not awaited, and what its buffers hold.
CONNECTION_BYTES = 32 * 1024
# A tunnel has two connections, with larger buffers.
TUNNEL_BYTES = 128 * 1024
# Connections to a listener beside that for callers; they count with the program.
SIDE_CONNECTIONS = 8
# Parts of the descriptors. A tunnel takes two, and the rest is for requests to targets
# in progress, the store and files.
CALLER_SHARE = 0.35
IDLE_SHARE = 0.15
TUNNEL_SHARE = 0.05


@dataclass(frozen=True, kw_only=True)
class ProcessLimits:
    """What may be held or open at one time.

    payload_bytes: bodies of requests and of answers that are kept whole, with copies.
    caller_connections, idle_connections, tunnels: connections from callers, unused ones
    to targets, and those that are carried for other hosts.
    """

    payload_bytes: int
    caller_connections: int
    idle_connections: int
    tunnels: int


def divide_limits(*, memory_bytes: float, descriptors: int) -> ProcessLimits:
    """Return the limits of a process by its memory and its descriptors."""
    load_bytes = max(MIN_LOAD_SHARE * memory_bytes, memory_bytes - PROGRAM_BYTES)
    caller_bytes = CALLER_MEMORY_SHARE * load_bytes
    tunnel_bytes = TUNNEL_MEMORY_SHARE * load_bytes
    return ProcessLimits(
        payload_bytes=int(PAYLOAD_MEMORY_SHARE * load_bytes),
        caller_connections=int(
            min(CALLER_SHARE * descriptors, caller_bytes / CONNECTION_BYTES)
        ),
        idle_connections=int(IDLE_SHARE * descriptors),
        tunnels=int(min(TUNNEL_SHARE * descriptors, tunnel_bytes / TUNNEL_BYTES)),
    )


# Limits of a process that is not told what it has.
DEFAULT_LIMITS = divide_limits(memory_bytes=300e6, descriptors=1024)
