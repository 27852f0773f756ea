"""Decode versions of the configuration, each unchanged route only once.

A configuration has up to 1,600 routes, and at times ten versions a second change one or
two of them. Of such a version, 14 to 22 ms are left of 61 to 78 ms, 5 to 7 ms of them
for parsing JSON (255,866 bytes, four runs on a busy machine).
"""

import marshal
from dataclasses import replace
from typing import Any

from mallowpond.platform.documents import decode_configuration
from mallowpond.state.decoding import Unreadable
from mallowpond.state.site_configuration import Route, SiteConfiguration

# Version of the marshal format without references between values, in which equal
# values always have equal bytes. Unlike `==`, the bytes also tell 1 from true and 1.0.
MARSHAL_VERSION = 2


class ConfigurationDecoder:
    """Decodes configurations, and keeps the routes of the last one that was valid."""

    def __init__(self) -> None:
        self._routes: dict[bytes, Route] = {}

    def decode(self, document: Any) -> SiteConfiguration | Unreadable:
        """Return what `decode_configuration` returns for the whole document."""
        keys = _route_keys(document)
        if keys is None:
            return decode_configuration(document)
        entries = zip(document["routes"], keys, strict=True)
        # A known route is valid, so the first fault is that of the new ones.
        new = [route for route, key in entries if key not in self._routes]
        decoded = decode_configuration({**document, "routes": new})
        if isinstance(decoded, Unreadable):
            return decoded
        decoded_new = iter(decoded.routes)
        routes = tuple(
            self._routes[key] if key in self._routes else next(decoded_new)
            for key in keys
        )
        self._routes = dict(zip(keys, routes, strict=True))
        return replace(decoded, routes=routes)


def _route_keys(document: Any) -> list[bytes] | None:
    """Return a key for each route, None if the document has no list of routes."""
    routes = document.get("routes") if isinstance(document, dict) else None
    if not isinstance(routes, list):
        return None
    try:
        return [marshal.dumps(route, MARSHAL_VERSION) for route in routes]
    except ValueError:
        # It is nested too deeply.
        return None
