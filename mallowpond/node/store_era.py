"""Follow the era of the store, which rises when it comes back from a copy."""

from collections.abc import Callable

import structlog

log = structlog.get_logger()


class KnownEra:
    """The newest era that the store or a peer has named, 0 while none has."""

    def __init__(self) -> None:
        self._current = 0
        # Called when the store was restored after this host knew an era of it.
        self.on_restored: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Return the newest era."""
        return self._current

    def observe(self, era: int, *, source: str = "store") -> None:
        """Record an era, and notify listeners if it follows another one."""
        if era <= self._current:
            return
        previous, self._current = self._current, era
        if not previous:
            return
        log.warning("era: store restored", era=era, previous=previous, source=source)
        for notify in self.on_restored:
            notify()
