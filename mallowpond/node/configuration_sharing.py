"""Distribute the configuration among hosts, so that few read it from the store.

If every host read every version, a fleet of 195 hosts would make 195 calls to the store
per version, and at times a dozen versions come within four seconds. A host that the
store rejects, or that starts during an outage, would have no configuration until then.
"""

import zlib

import structlog

from mallowpond.node.configuration import ConfigurationFollower
from mallowpond.node.fanout import MAX_PARTS, Fanout, PartCollector
from mallowpond.node.messages import (
    ConfigurationPart,
    ConfigurationQuestion,
    decompress,
)
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.readers import Readers

log = structlog.get_logger()

# Bytes of a compressed configuration per datagram: below the limit of UDP, and small
# enough for the queue of a link.
PART_BYTES = 16 * 1024
# Largest configuration that is decompressed: four times the largest that the store
# accepts. A malicious datagram could decompress to more.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class ConfigurationSharing:
    """Broadcast newer configurations, and adopt those that other hosts send."""

    def __init__(
        self,
        *,
        name: str,
        peers: PeerNetwork,
        readers: Readers,
        fanout: Fanout,
        configuration: ConfigurationFollower,
    ) -> None:
        self._name = name
        self._peers = peers
        self._readers = readers
        self._fanout = fanout
        self._configuration = configuration
        self._parts = PartCollector()
        configuration.on_new_version.append(self._broadcast)
        configuration.request_document = self._request_document
        configuration.request_document_of = self._request_document_of
        peers.on_configuration_part.append(self._on_part)
        peers.on_configuration_question.append(self._on_question)

    def _broadcast(self) -> None:
        if self._readers.is_reader:
            for part in self._split():
                self._fanout.broadcast(part)

    def _request_document(self) -> None:
        """Ask the top-ranked hosts for the configuration that this one lacks."""
        question = ConfigurationQuestion(node=self._name)
        self._peers.send_to(question, self._readers.top_ranked_peers)

    def _request_document_of(self, node: str) -> None:
        """Ask a host for the newer configuration that it has."""
        self._peers.send_to(ConfigurationQuestion(node=self._name), (node,))

    def _on_question(self, question: ConfigurationQuestion) -> None:
        for part in self._split():
            self._peers.send_to(part, (question.node,))

    def _split(self) -> list[ConfigurationPart]:
        """Return the configuration in parts; none if it needs too many of them."""
        known = self._configuration.configuration
        if known is None or not self._configuration.document:
            return []
        data = zlib.compress(self._configuration.document)
        pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
        if len(pieces) > MAX_PARTS:
            return []
        return [
            ConfigurationPart(
                node=self._name,
                version=known.version,
                data=piece,
                part=number,
                parts=len(pieces),
                evacuations=self._configuration.evacuations.to_share,
            )
            for number, piece in enumerate(pieces)
        ]

    def _on_part(self, message: ConfigurationPart) -> None:
        self._fanout.relay(message)
        # Before the configuration: with that, a host that has just started would send
        # requests.
        self._configuration.evacuations.apply_received(message.evacuations)
        known = self._configuration.configuration
        if known is not None and message.version <= known.version:
            return
        parts = self._parts.add(message, message.version)
        if parts is None:
            return
        document = decompress(b"".join(part.data for part in parts), MAX_DOCUMENT_BYTES)
        if document is None:
            log.warning("configuration: parts unreadable", version=message.version)
            return
        self._configuration.handle_document(message.version, document)
