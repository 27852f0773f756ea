"""Decide which connections of callers make room when there are too many.

The load pattern: clients open many connections and send nothing, a part of a request,
or requests whose answers they do not read. Each keeps its place until its time limit,
and other callers find none.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain, islice
from typing import Generic, TypeVar

from mallowpond.state.payload_memory import STALLED_SECONDS

# Time without progress in sending from which an answer counts as unread, in seconds.
UNREAD_SECONDS = 2.0

C = TypeVar("C", bound=Hashable)


class Activity(Enum):
    """What a connection does.

    REFUSED: its request was refused, and the rest of it is discarded. UNFINISHED: it
    has sent no request yet, or only a part of one. IDLE: all of its requests have been
    answered. BUSY: a request is being served. SENDING: an answer waits for its reader.
    """

    REFUSED = "refused"
    UNFINISHED = "unfinished"
    IDLE = "idle"
    BUSY = "busy"
    SENDING = "sending"


@dataclass(kw_only=True)
class CallerPlaces(Generic[C]):
    """Records what each connection does, and since when it has made no progress.

    max_places: number of connections beyond which some are ended for others.
    """

    max_places: int
    _activities: dict[C, Activity] = field(default_factory=dict)
    # By activity, with the time of the last progress; least recent first.
    _since: dict[Activity, dict[C, float]] = field(
        default_factory=lambda: {activity: {} for activity in Activity}
    )

    @property
    def excess(self) -> int:
        """Return how many connections there are beyond the limit."""
        return len(self._activities) - self.max_places

    def record(self, connection: C, activity: Activity, now: float) -> None:
        """Record that a connection begins an activity, or makes progress in it."""
        previous = self._activities.get(connection)
        if previous is not None:
            del self._since[previous][connection]
        self._activities[connection] = activity
        self._since[activity][connection] = now

    def remove(self, connection: C) -> None:
        """Forget a connection that is ended."""
        activity = self._activities.pop(connection, None)
        if activity is not None:
            del self._since[activity][connection]

    def stalled(self, now: float) -> Iterator[C]:
        """Yield connections with an unfinished request and no recent progress."""
        yield from self._older(Activity.UNFINISHED, now - STALLED_SECONDS)

    def take_stuck(self, now: float) -> list[tuple[C, Activity]]:
        """Return connections to end so that the limit holds, and count them no more.

        Each is returned with its activity. What has made the least progress goes first.
        A request that is being served may have reached a target, so its connection
        stays, and so do unfinished requests that make progress.
        """
        stuck = chain(
            self._since[Activity.REFUSED],
            self.stalled(now),
            self._since[Activity.IDLE],
            self._older(Activity.SENDING, now - UNREAD_SECONDS),
        )
        return self._take(stuck, self.excess)

    def take_unfinished(self, count: int, *, but: C) -> list[tuple[C, Activity]]:
        """Return up to `count` connections without a complete request, except one."""
        unfinished = (c for c in self._since[Activity.UNFINISHED] if c is not but)
        return self._take(unfinished, count)

    def _take(self, candidates: Iterator[C], count: int) -> list[tuple[C, Activity]]:
        chosen = list(islice(candidates, max(0, count)))
        taken = [(connection, self._activities[connection]) for connection in chosen]
        for connection in chosen:
            self.remove(connection)
        return taken

    def _older(self, activity: Activity, limit: float) -> Iterator[C]:
        """Yield connections whose last progress in an activity is not after `limit`."""
        for connection, since in self._since[activity].items():
            if since > limit:
                return
            yield connection
