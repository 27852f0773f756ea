"""Controller program: manages members, configuration, groups and claims."""

__all__ = [
    "links",
    "metrics",
    "operator_api",
    "peers",
    "service",
    "tables",
]
