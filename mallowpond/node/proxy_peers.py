"""Know which peers may be asked to carry connections to targets."""

import random

from mallowpond.coordination.ports import Clock
from mallowpond.node.messages import Heartbeat
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
        # Time until which a peer is not asked, by its name.
        self._avoided: dict[str, float] = {}
        self._by_data_centre: dict[str, list[str]] = {}
        self._listed_at = float("-inf")

    def choose(self, data_centre: str) -> list[str]:
        """Return a few peers to ask for a target of a data centre, in this order."""
        now = self._clock.now()
        if now - self._listed_at > LISTED_SECONDS:
            self._list(now)
        return rank_proxies(self._by_data_centre, data_centre, self._rng)

    def avoid(self, name: str) -> None:
        """Ask a peer no more for a short time."""
        self._avoided[name] = self._clock.now() + AVOIDED_SECONDS
        self._listed_at = float("-inf")

    def can_carry(self, name: str) -> bool:
        """Return whether a peer is live and has links to the targets."""
        heartbeat = self._peers.live_heartbeat(name)
        return heartbeat is not None and _can_carry(heartbeat)

    def address_of(self, name: str) -> str | None:
        """Return the address of a peer, None if it is not known."""
        return self._peers.address_of(name)

    def _list(self, now: float) -> None:
        self._avoided = {name: at for name, at in self._avoided.items() if at > now}
        self._by_data_centre, self._listed_at = {}, now
        for heartbeat in (peer.heartbeat for peer in self._peers.live):
            if heartbeat.node not in self._avoided and _can_carry(heartbeat):
                names = self._by_data_centre.setdefault(heartbeat.data_centre, [])
                names.append(heartbeat.node)


def _can_carry(heartbeat: Heartbeat) -> bool:
    return not (heartbeat.stopping or heartbeat.without_links)
