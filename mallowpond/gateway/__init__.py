"""The program that meets callers."""

__all__ = [
    "claims",
    "dispatch",
    "gate",
    "link",
    "metrics",
    "pools",
    "quotas",
    "reading",
    "relay",
    "routes",
    "service",
    "serving",
]
