"""Listen for callers before the rest of the program is loaded.

Loading takes some tenths of a second. While an entry host (one that takes callers'
requests) starts again after it was killed, the kernel would refuse its callers'
connections, and most callers try only twice. On a listening socket connections wait in
the backlog until the host can answer. A shorter start reduced the failed requests from
2.4% to 0.9% in a test that ends with a failure of all hosts (one run each).
"""

import os
import socket
import tomllib

from mallowpond.state.buffer_sizes import RECEIVE_BUFFER_BYTES

# Environment variable with the path of the settings file that the node starts with.
SETTINGS_VARIABLE = "MALLOWPOND_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/mallowpond/local.conf"
# Connections that may wait for the program: some seconds of a host's usual load.
BACKLOG = 1024


def settings_path() -> str:
    """Return the path of the settings file that the platform wrote."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def listen_for_callers() -> socket.socket | None:
    """Open the callers' socket, non-blocking; return None if that fails.

    Errors in the settings or the address are reported later: by the validation of the
    settings, and by the node, which then opens the socket itself.
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
        # Connections inherit it, so it bounds what waits there unread.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener
