"""Requests that a server has read, and why it could not read one."""

from dataclasses import dataclass

MAX_HEADER_BYTES = 16384
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on the memory and time that one client may take.

    `idle_seconds` bounds the wait for a request's first byte, `receive_seconds` the
    time from there to its end, `send_seconds` each wait for the send buffer to drain.
    """

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = 4 * 1024 * 1024
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0
    send_seconds: float = 30.0


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    header_list: Headers = ()

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, kw_only=True)
class BadInput:
    """Why a request could not be read, and the status to answer it with."""

    status: int
    reason: str
    detail: str
    retry_after: float | None = None
