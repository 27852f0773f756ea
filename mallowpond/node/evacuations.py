"""Hold the evacuations that this host knows of, from the store and from its peers."""

from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.state.evacuations import (
    HELD_SECONDS,
    EvacuationChanges,
    Evacuations,
    HeldEvacuations,
)
from mallowpond.state.revision import is_later_era

log = structlog.get_logger()


class KnownEvacuations:
    """The newest evacuations that this host has read or was sent.

    What it knew before the store came back from a copy holds beside the copy for some
    seconds.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known = Evacuations()
        self._held = HeldEvacuations()
        self._data_centres: frozenset[str] = frozenset()
        self._was_any_seen = False
        # Called when other data centres than before are evacuated, with whether this
        # host itself read that from the store.
        self.on_change: list[Callable[[bool], None]] = []

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the data centres to whose engines nothing new may be sent."""
        return self._data_centres

    @property
    def to_share(self) -> Evacuations:
        """Return what peers are to be told, the default while none was ever seen.

        After the first evacuation it is always told, with its revision: otherwise a
        host that missed the withdrawal would never learn of it.
        """
        return self._known if self._was_any_seen else Evacuations()

    def apply_read(self, changes: EvacuationChanges, revision: int) -> None:
        """Apply what this host read from the store, complete up to `revision`."""
        self._was_any_seen |= bool(changes.begun or changes.ended)
        self._held = self._held.after(changes)
        self._adopt(self._known.after(changes, revision), is_read=True)

    def apply_received(self, received: Evacuations) -> None:
        """Adopt what a peer sent, if it comes from a newer read of the store."""
        if received.revision == 0:
            return
        self._was_any_seen = True
        self._adopt(self._known.merged_with(received), is_read=False)

    def _adopt(self, found: Evacuations, *, is_read: bool) -> None:
        now = self._clock.now()
        if is_later_era(found.revision, self._known.revision):
            self._held = HeldEvacuations(
                data_centres=self._data_centres, until=now + HELD_SECONDS
            )
        self._known = found
        before = self._data_centres
        self._data_centres = self._held.at(now).union(found.data_centres)
        if self._data_centres == before:
            return
        source = "store" if is_read else "peer"
        for name in sorted(self._data_centres - before):
            log.warning(
                "evacuation: begun",
                data_centre=name,
                revision=found.revision,
                source=source,
            )
        for name in sorted(before - self._data_centres):
            log.warning(
                "evacuation: ended",
                data_centre=name,
                revision=found.revision,
                source=source,
            )
        for notify in self.on_change:
            notify(is_read)
