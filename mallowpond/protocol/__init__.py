"""Messages and documents, and how they are encoded."""

__all__ = [
    "caller",
    "declaration_file",
    "engine",
    "peer",
    "problems",
    "query",
    "strict",
]
