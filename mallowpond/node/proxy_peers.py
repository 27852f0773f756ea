"""Know which peers may be asked to carry connections to targets."""

import random

from mallowpond.coordination.ports import Clock
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.proxy_choice import rank_proxies

# Time for which a peer that opened no tunnel is not asked again, in seconds.
AVOIDED_SECONDS = 1.0
# Time for which the peers that may be asked are listed, in seconds.
LISTED_SECONDS = 0.1


class ProxyPeers:
    """The live peers that have links to the targets, as far as this host knows."""

    def __init__(self, *, peers: PeerNetwork, clock: Clock, rng: random.Random) -> None:
        self._peers = peers
        self._clock = clock
        self._rng = rng
        # Time until which a peer is asked only if there is no other, by its name.
        self._avoided: dict[str, float] = {}
        # By service, and in each by data centre.
        self._listed: dict[str, dict[str, list[str]]] = {}
        self._listed_at = float("-inf")

    def choose(self, service: str, data_centre: str) -> list[str]:
        """Return a few peers to ask for a target of a service, in this order.

        Those that are stopping or lately opened no tunnel are asked only if there is no
        other.
        """
        now = self._clock.now()
        if now - self._listed_at > LISTED_SECONDS:
            self._listed, self._listed_at = {}, now
        if service not in self._listed:
            self._listed[service] = self._list(service, now)
        return rank_proxies(self._listed[service], data_centre, self._rng)

    def avoid(self, name: str) -> None:
        """Ask a peer for a short time only if there is no other."""
        self._avoided[name] = self._clock.now() + AVOIDED_SECONDS
        self._listed_at = float("-inf")

    def can_carry(self, service: str, name: str) -> bool:
        """Return whether a peer is live, not stopping, and reaches a service."""
        heartbeat = self._peers.live_heartbeat(name)
        if heartbeat is None or heartbeat.stopping:
            return False
        return service not in heartbeat.without_links

    def address_of(self, name: str) -> str | None:
        """Return the address of a peer, None if it is not known."""
        return self._peers.address_of(name)

    def _list(self, service: str, now: float) -> dict[str, list[str]]:
        """Return the peers that may be asked for a service, by data centre."""
        self._avoided = {name: at for name, at in self._avoided.items() if at > now}
        linked = [
            peer.heartbeat
            for peer in self._peers.live
            if service not in peer.heartbeat.without_links
        ]
        usable = [
            heartbeat
            for heartbeat in linked
            if not heartbeat.stopping and heartbeat.node not in self._avoided
        ]
        found: dict[str, list[str]] = {}
        for heartbeat in usable or linked:
            found.setdefault(heartbeat.data_centre, []).append(heartbeat.node)
        return found
