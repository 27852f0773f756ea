"""Stand-ins for the platform and the engines, for tests and trials."""

__all__ = [
    "engine",
    "platform",
]
