"""Follow the era of the store, which rises when it comes back from a copy."""

from collections.abc import Callable

import structlog

log = structlog.get_logger()


class KnownEra:
    """The newest era that the store or a peer has named."""

    def __init__(self) -> None:
        self._current: int | None = None
        # Called when the store was restored after this host knew an era of it.
        self.on_restored: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Return the newest era, 0 before any is known."""
        return self._current or 0

    def observe(self, era: int, *, source: str = "store") -> None:
        """Record an era, and notify listeners if it follows another one."""
        previous = self._current
        if previous is not None and era <= previous:
            return
        self._current = era
        if previous is None:
            return
        log.warning("era: store restored", era=era, previous=previous, source=source)
        for notify in self.on_restored:
            notify()
