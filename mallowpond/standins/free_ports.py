"""Draw ports for processes that tests start, where nothing else will take them."""

import os
import socket
from collections.abc import Iterator
from itertools import cycle

FIRST_PORT = 10000
# From here on the kernel gives ports to connections: one of these that was free when it
# was drawn was taken by a connection before its process listened on it.
FIRST_EPHEMERAL_PORT = 32768
# Ports of one process that starts others: more than a fleet of a hundred uses.
PORTS_A_PROCESS = 400


def free_ports() -> Iterator[int]:
    """Yield ports that nothing listens on, from a part that is this process's own."""
    blocks = (FIRST_EPHEMERAL_PORT - FIRST_PORT) // PORTS_A_PROCESS
    first = FIRST_PORT + os.getpid() % blocks * PORTS_A_PROCESS
    for port in cycle(range(first, first + PORTS_A_PROCESS)):
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port
