"""Sockets: HTTP by h11, links between our processes by websockets."""
