"""Ports for processes that tests start, outside the ephemeral range."""

import os
import socket
from collections.abc import Iterator
from itertools import cycle

FIRST_PORT = 10000
# The kernel assigns ports from here on to outgoing connections. Such a port can be free
# when it is chosen and taken by a connection before the process listens on it.
FIRST_EPHEMERAL_PORT = 32768
# Size of the block of ports of one test process; a fleet of a hundred uses fewer.
PORTS_PER_PROCESS = 400


def free_ports() -> Iterator[int]:
    """Yield ports on which nothing listens, from a block chosen by the process id."""
    blocks = (FIRST_EPHEMERAL_PORT - FIRST_PORT) // PORTS_PER_PROCESS
    first = FIRST_PORT + os.getpid() % blocks * PORTS_PER_PROCESS
    for port in cycle(range(first, first + PORTS_PER_PROCESS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port
