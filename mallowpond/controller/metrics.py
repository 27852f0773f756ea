"""Prometheus metrics of a controller."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class ControllerMetrics:
    """Registers every metric of a controller in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.heartbeats = Counter(
            "mallowpond_heartbeats",
            "Renewals of the member row by result.",
            ["result"],
            registry=self.registry,
        )
        self.table_failures = Counter(
            "mallowpond_table_failures",
            "Reads of the table service that failed.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "mallowpond_config_version",
            "Configuration version in force on this node.",
            registry=self.registry,
        )
        self.assured = Gauge(
            "mallowpond_config_assured",
            "1 while the version in force is known.",
            registry=self.registry,
        )
        self.assurance_source = Counter(
            "mallowpond_assurance_checks",
            "Checks of the version in force by what vouched for it.",
            ["source"],
            registry=self.registry,
        )
        self.groups = Gauge(
            "mallowpond_groups",
            "Groups by deployment and state.",
            ["deployment", "state"],
            registry=self.registry,
        )
        self.group_downtime = Counter(
            "mallowpond_group_downtime_seconds",
            "Seconds for which declared groups did not serve, summed.",
            ["deployment"],
            registry=self.registry,
        )
        self.stranded = Gauge(
            "mallowpond_stranded_accelerators",
            "Accelerators idle because no group can be formed of them.",
            registry=self.registry,
        )
        self.tainted = Gauge(
            "mallowpond_tainted_hosts",
            "Hosts kept out of groups by an older holder's open order.",
            registry=self.registry,
        )
        self.claims = Counter(
            "mallowpond_claims",
            "Claims, finishes and voids by verdict.",
            ["verdict"],
            registry=self.registry,
        )
        self.claim_transactions = Counter(
            "mallowpond_claim_transactions",
            "Transactions that claims were committed in.",
            registry=self.registry,
        )
        self.loop_failures = Counter(
            "mallowpond_loop_failures",
            "Unexpected failures of a background loop.",
            ["loop"],
            registry=self.registry,
        )
