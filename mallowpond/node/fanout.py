"""Tell a whole fleet, each other data centre through one of its hosts.

Told to each host by the readers alone, the sums of work of a large fleet would fill the
readers' links, most of it between data centres.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from mallowpond.node.messages import ConfigurationPart, Digest, ListChange
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.ownership import ranked_by_capacity

# What orders the hosts of a data centre that have the same processor time.
RELAY_KEY = "relay"
# Silence after which a host is not asked to tell others on, in seconds: three times the
# pause between two tellings of its work.
RELAY_SILENCE_SECONDS = 0.7
# Changes of which parts are kept while others are missing.
MAX_INCOMPLETE_MESSAGES = 4
# Parts of one message, at most: 2,400 targets, or 640 KB of a configuration.
MAX_PARTS = 40

RelayedMessage = Digest | ListChange | ConfigurationPart
Part = TypeVar("Part", ListChange, ConfigurationPart)


class Fanout:
    """Send a message to every host, and pass on what came for this data centre."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        peers: PeerNetwork,
        readers: Callable[[], list[str]],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._peers = peers
        self._readers = readers

    def broadcast(self, message: RelayedMessage) -> None:
        """Tell every host, those of other data centres through one of theirs."""
        if not self._peers.is_large_fleet:
            self._peers.broadcast(message)
            return
        centres = self._peers.nodes_by_data_centre()
        near = [*centres.pop(self._data_centre, ()), *centres.pop("", ())]
        self._peers.send_to(message, near)
        relays = [self.choose_relay(nodes) for nodes in centres.values()]
        self._peers.send_to(replace(message, pass_on=True), relays)

    def choose_relay(self, nodes: list[str]) -> str:
        """Return the host of a data centre that tells the others there.

        Each reader has another one, so that one death silences neither.
        """
        heard = [
            n for n in nodes if self._peers.has_heard_from(n, RELAY_SILENCE_SECONDS)
        ]
        cores = {node: self._peers.cores_of(node) for node in heard or nodes}
        ranked = ranked_by_capacity(RELAY_KEY, cores)
        readers = self._readers()
        number = readers.index(self._name) if self._name in readers else 0
        return ranked[number % len(ranked)]

    def relay(self, message: RelayedMessage) -> None:
        """Tell this data centre what was sent to this host for all of it."""
        if not message.pass_on:
            return
        near = self._peers.nodes_by_data_centre().get(self._data_centre, ())
        told = [node for node in near if node != message.node]
        self._peers.send_to(replace(message, pass_on=False), told)


class PartCollector:
    """Keep the parts of messages until all of one are here.

    Taken one by one, a lost part would leave a host with a state of two moments, and it
    would take itself for up to date.
    """

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, int], dict[int, Part]] = {}

    def add(self, message: Part, number: int) -> list[Part] | None:
        """Return all parts of a numbered message once the last of them is here."""
        if message.parts > MAX_PARTS or message.part >= message.parts:
            return None
        key = (message.node, number)
        if (
            key not in self._incomplete
            and len(self._incomplete) >= MAX_INCOMPLETE_MESSAGES
        ):
            del self._incomplete[min(self._incomplete, key=lambda kept: kept[1])]
        known = self._incomplete.setdefault(key, {})
        known[message.part] = message
        if len(known) < message.parts:
            return None
        del self._incomplete[key]
        return [known[part] for part in sorted(known)]

    def __len__(self) -> int:
        return len(self._incomplete)
