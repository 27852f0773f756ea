"""Whether any request came yet, here or at a peer."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class TrafficSeen:
    """Remember the first request: weights load cheaply only before it."""

    seen: bool = False
