"""Read the era of the store from its answers."""

from collections.abc import Callable

import structlog

from mallowpond.platform import headers as names
from mallowpond.state.revision import MAX_ERA

log = structlog.get_logger()


class StoreEras:
    """The newest era that an answer of the store named, 0 while none names one."""

    def __init__(self) -> None:
        self._newest = 0
        self._is_known = False
        # Called with the era of the first answer, and with each newer one.
        self.on_newer: list[Callable[[int], None]] = []

    @property
    def newest(self) -> int:
        """Return the newest era."""
        return self._newest

    def record(self, headers: dict[str, str], known: int) -> int | None:
        """Return the era of an answer, None if a newer one began before it arrived.

        `known` is the newest era at the time of the question. A missing, invalid or
        lower one counts as that era.
        """
        era = _decode_era(headers.get(names.STORE_ERA))
        if era is not None and era < known:
            log.warning("store: era invalid", era=era, known=known)
        if era is None or era < known:
            era = known
        if era < self._newest:
            return None
        if era > self._newest or not self._is_known:
            log.info("store: era", era=era, previous=self._newest)
            self._newest, self._is_known = era, True
            for notify in self.on_newer:
                notify(era)
        return era


def _decode_era(text: str | None) -> int | None:
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    if len(text) > len(str(MAX_ERA)) or int(text) > MAX_ERA:
        return None
    return int(text)
