"""Whether any request has arrived yet, here or at a peer."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class TrafficSeen:
    """Set by the first request: loading weights is cheap only before it."""

    seen: bool = False
