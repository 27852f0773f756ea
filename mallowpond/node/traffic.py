"""Record whether any request has arrived yet, here or at a peer."""

from dataclasses import dataclass


@dataclass(kw_only=True)
class TrafficSeen:
    """`seen` is set by the first request; before it, weight loads delay no request."""

    seen: bool = False
