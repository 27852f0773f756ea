"""Prometheus metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Bucket bounds of the histograms, in seconds: around the objectives of interactive
# streams.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)


class NodeMetrics:
    """The metrics of one node, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

        def counter(name: str, text: str, *labels: str) -> Counter:
            return Counter(name, text, labels, registry=self.registry)

        def histogram(name: str, text: str) -> Histogram:
            return Histogram(name, text, registry=self.registry, buckets=BUCKETS)

        self.requests = counter("mallowpond_requests", "Requests by end", "end")
        self.refusals = counter("mallowpond_refusals", "Refusals", "reason")
        self.retries = counter("mallowpond_retries", "Sends once more", "reason")
        self.budget = counter("mallowpond_retry_budget", "Repeats asked for", "end")
        self.suspicions = counter("mallowpond_suspicions", "Groups suspected", "origin")
        self.common_silences = counter(
            "mallowpond_common_silences",
            "Times that nearly all groups fell silent together",
            "service",
        )
        self.orders = counter("mallowpond_orders", "Orders to engines", "kind", "end")
        self.swaps = counter("mallowpond_swaps", "Groups moved to a model", "action")
        self.regroupings = counter(
            "mallowpond_regroupings", "Groups dissolved for slow members", "model"
        )
        self.consolidations = counter(
            "mallowpond_consolidations", "Groups across domains closed", "reason"
        )
        self.clients_gone = counter("mallowpond_clients_gone", "Callers that left")
        self.bad_input = counter("mallowpond_bad_input", "Unreadable", "reason")
        self.ended_for_others = counter(
            "mallowpond_ended_for_others",
            "Connections of callers that made room for others",
            "activity",
        )
        self.unreadable = counter(
            "mallowpond_unreadable", "Documents left out", "kind", "fault"
        )
        self.store_calls = counter(
            "mallowpond_store_calls", "Calls to the store", "table", "call"
        )
        self.forecast_refusals = counter(
            "mallowpond_forecast_refusals", "Streams without a chance", "when"
        )
        self.return_places = counter(
            "mallowpond_return_places", "Times to come back", "place"
        )
        self.first_event = histogram("mallowpond_first_event_seconds", "First event")
        self.event_gap = histogram("mallowpond_event_gap_seconds", "Gap between events")
        self.refusal_seconds = histogram("mallowpond_refuse_seconds", "Time to refuse")
        self.waiting = Gauge(
            "mallowpond_waiting", "Requests that wait", registry=self.registry
        )
        self.in_flight = Gauge(
            "mallowpond_in_flight", "Requests being served", registry=self.registry
        )
        self.quarantined = Gauge(
            "mallowpond_held_back", "Requests held back", registry=self.registry
        )
        self.quarantined_parts = Gauge(
            "mallowpond_held_back_parts",
            "Parts of prompts whose requests are held back",
            registry=self.registry,
        )
        self.rate_limited = Gauge(
            "mallowpond_rate_limited_targets",
            "Targets that named a rate limit",
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "mallowpond_evacuated_data_centres",
            "Data centres whose engines get nothing new",
            registry=self.registry,
        )
        self.evacuation_changes = counter(
            "mallowpond_evacuation_changes", "Evacuations begun or ended"
        )
        self.slow_groups = Gauge(
            "mallowpond_slow_groups",
            "Groups that the hosts agree to be slow",
            registry=self.registry,
        )
        self.pace_changes = counter(
            "mallowpond_pace_changes", "Groups that turned slow or recovered", "to"
        )
        self.cold = Gauge(
            "mallowpond_cold_targets",
            "Targets that have just started",
            registry=self.registry,
        )
        self.cold_sends = counter("mallowpond_cold_sends", "Requests to cold targets")
        self.payload_bytes = Gauge(
            "mallowpond_payload_bytes",
            "Bytes of bodies that are held",
            registry=self.registry,
        )
        self.payload_limit = Gauge(
            "mallowpond_payload_limit_bytes",
            "Bytes of bodies that may be held",
            registry=self.registry,
        )
        self.links_lost = Gauge(
            "mallowpond_links_lost",
            "Whether this host has lost its links to the targets of a service",
            ("service",),
            registry=self.registry,
        )
        self.tunnels = counter(
            "mallowpond_tunnels", "Connections to targets asked of peers", "end"
        )
        self.carried_tunnels = Gauge(
            "mallowpond_carried_tunnels",
            "Connections to targets carried for peers",
            registry=self.registry,
        )
        self.endings = counter("mallowpond_targets_ended", "Broken off by their target")
        self.configuration_doubts = counter(
            "mallowpond_configuration_doubts",
            "Times that a source of the configuration was left",
            "source",
        )
        self.configuration_age = Gauge(
            "mallowpond_configuration_age_seconds",
            "Age of the last confirmation",
            registry=self.registry,
        )
