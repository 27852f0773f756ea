"""The program that meets callers."""

__all__ = [
    "admission",
    "claims",
    "dispatch",
    "link",
    "metrics",
    "pools",
    "quotas",
    "relay",
    "request_parser",
    "routes",
    "service",
    "serving",
]
