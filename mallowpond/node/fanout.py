"""Broadcast messages to a fleet, through one relay host per remote data centre.

If the readers sent the load of a large fleet to each host themselves, it would fill
their links, mostly those between data centres.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from mallowpond.node.messages import ConfigurationPart, Digest, ListChange
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.ownership import ranked_by_capacity

# Key that ranks the hosts of a data centre that have the same processor capacity.
RELAY_KEY = "relay"
# Silence after which a host is not chosen as relay, in seconds: three times the
# interval at which it sends its load.
RELAY_SILENCE_SECONDS = 0.7
# Messages that may wait for missing parts at one time.
MAX_INCOMPLETE_MESSAGES = 4
# Maximum parts of one message: 2,400 targets, or 640 KB of a configuration.
MAX_PARTS = 40

RelayedMessage = Digest | ListChange | ConfigurationPart
Part = TypeVar("Part", ListChange, ConfigurationPart)


class Fanout:
    """Broadcast messages to all hosts, and relay those sent for this data centre."""

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
        """Send a message to every host.

        In a large fleet, hosts of other data centres get it from a relay of their own.
        """
        if not self._peers.is_large_fleet:
            self._peers.broadcast(message)
            return
        centres = self._peers.nodes_by_data_centre()
        near = [*centres.pop(self._data_centre, ()), *centres.pop("", ())]
        self._peers.send_to(message, near)
        relays = [self.choose_relay(nodes) for nodes in centres.values()]
        self._peers.send_to(replace(message, pass_on=True), relays)

    def choose_relay(self, nodes: list[str]) -> str:
        """Return the host of a data centre that relays messages to the others there.

        Each reader uses a different relay, so that the failure of one host does not
        cut off both.
        """
        recent = [
            n for n in nodes if self._peers.has_heard_from(n, RELAY_SILENCE_SECONDS)
        ]
        cores = {node: self._peers.cores_of(node) for node in recent or nodes}
        ranked = ranked_by_capacity(RELAY_KEY, cores)
        readers = self._readers()
        number = readers.index(self._name) if self._name in readers else 0
        return ranked[number % len(ranked)]

    def relay(self, message: RelayedMessage) -> None:
        """Send a message on to this data centre if its sender asked for that."""
        if not message.pass_on:
            return
        near = self._peers.nodes_by_data_centre().get(self._data_centre, ())
        receivers = [node for node in near if node != message.node]
        self._peers.send_to(replace(message, pass_on=False), receivers)


class PartCollector:
    """Collect the parts of split messages until a message is complete.

    If parts were applied one by one, a lost part would leave a host with a mixture of
    two states that it takes for up to date.
    """

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, int], dict[int, Part]] = {}

    def add(self, message: Part, number: int) -> list[Part] | None:
        """Add a part; return all parts, in order, once message `number` is complete.

        `number` identifies the message among those of its sender, and the one with
        the lowest number is dropped if too many are incomplete.
        """
        if message.parts > MAX_PARTS or message.part >= message.parts:
            return None
        key = (message.node, number)
        if (
            key not in self._incomplete
            and len(self._incomplete) >= MAX_INCOMPLETE_MESSAGES
        ):
            del self._incomplete[min(self._incomplete, key=lambda entry: entry[1])]
        known = self._incomplete.setdefault(key, {})
        known[message.part] = message
        if len(known) < message.parts:
            return None
        del self._incomplete[key]
        return [known[part] for part in sorted(known)]

    def __len__(self) -> int:
        return len(self._incomplete)
