"""Gateway program: admits requests of callers and sends them to targets."""

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
