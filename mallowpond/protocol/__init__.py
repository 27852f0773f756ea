"""Formats of messages, files and the query language, and their codecs."""

__all__ = [
    "caller",
    "declaration_file",
    "engine",
    "peer",
    "problems",
    "query",
    "strict",
]
