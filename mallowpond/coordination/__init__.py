"""State shared through the table service: membership, configuration, claims, groups."""

__all__ = [
    "claims",
    "clock",
    "configuration",
    "group_rows",
    "groups",
    "health",
    "keys",
    "leases",
    "membership",
    "orders",
    "ports",
    "quotas",
    "store",
    "tasks",
]
