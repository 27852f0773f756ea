"""Stand-ins for the platform and its engines, for tests and experiments."""

__all__ = [
    "engine",
    "platform",
]
