"""Sockets: HTTP by h11, links between our processes by websockets."""

__all__ = [
    "engine_client",
    "headers",
    "http_client",
    "http_server",
    "peer_link",
    "table_client",
]
