"""Sockets: HTTP over h11, links between processes over websockets."""

__all__ = [
    "engine_client",
    "headers",
    "http_client",
    "http_server",
    "peer_link",
    "table_client",
]
