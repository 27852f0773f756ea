"""Prometheus metrics of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


class GatewayMetrics:
    """Registers every metric of a gateway in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "mallowpond_requests",
            "Requests by workspace and how they ended.",
            ["workspace", "result"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "mallowpond_refusals",
            "Refusals by reason and outcome.",
            ["reason", "outcome"],
            registry=self.registry,
        )
        self.retries = Counter(
            "mallowpond_retries",
            "Retries by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.broken_streams = Counter(
            "mallowpond_broken_streams",
            "Streams that ended visibly broken.",
            registry=self.registry,
        )
        self.clients_gone = Counter(
            "mallowpond_clients_gone",
            "Callers that left before their answer was whole.",
            registry=self.registry,
        )
        self.chunks = Counter(
            "mallowpond_chunks",
            "Parts of streams that were forwarded.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "mallowpond_requests_in_flight",
            "Requests being served now.",
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "mallowpond_first_byte_seconds",
            "Time from a request's arrival to its answer's first byte.",
            registry=self.registry,
        )
        self.pending_voids = Gauge(
            "mallowpond_pending_voids",
            "Withdrawn attempts that the table does not know of yet.",
            registry=self.registry,
        )
