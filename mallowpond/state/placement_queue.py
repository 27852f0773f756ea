"""Queue of the streams of a whole fleet that wait for a slot on a group.

A burst, or the loss of several groups at once, fills every slot for seconds. In
first-come order every stream waits for the whole queue, and once that takes longer than
the objective all of them are late. With the newest first, as many streams are on time
as there are slots. Late streams get the remaining slots, and go before all others once
most of their patience is used, so that they are served rather than lost.

Where slots are contested, streams that can be on time go before all late ones: an
answer on time is worth several late ones, and the forecast refuses a late stream that
would wait in vain.

In a burst of one workspace its streams would take nearly all slots and delay those of
the others. Among streams of equal state and urgency, the workspace that has received
least goes first.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from heapq import heappop, heappush
from itertools import chain
from typing import Generic, TypeVar

from mallowpond.state.queue_bands import Band, BandCursor, count_up_to
from mallowpond.state.service_counters import ServiceCounters

# Maximum number of streams in one queue: any more could not be served in time.
MAX_WAITING = 5_000
# Last part of a late stream's patience, as a share, in which it goes before others.
AGED_SHARE = 0.3
# Streams are looked at so many seconds before the time at which they become late or
# aged, as computed: more than the rounding of the computation.
ROUNDING_SECONDS = 1e-6

Asker = TypeVar("Asker")


class WaitState(IntEnum):
    """What is left of a stream's time, in the usual order of grants."""

    AGED = 0
    ON_TIME = 1
    LATE = 2


# Looking these up once is faster than iterating over the class at each step.
STATES = tuple(WaitState)

# Whether the streams of a band have begun, their state, and their priority.
_BandKey = tuple[bool, WaitState, int]
_Cursors = dict[_BandKey, BandCursor]


@dataclass(frozen=True, kw_only=True)
class QueueEntry:
    """Priority and deadlines of a waiting stream, on the dispatcher's clock.

    A slot after `objective_deadline` is too late for the stream's objective; at
    `deadline` it stops waiting. A lower `priority` goes first. A stream that
    `has_begun` needs a slot only for the rest of its answer: behind new streams it
    would be cut off and the work on it lost.

    With contested slots, `workspace` is charged `tokens` for the slot, and a stream
    that `has_place`, as its caller was refused and came back in its time, goes before
    new ones of its state and urgency.
    """

    priority: int
    objective_deadline: float
    queued_at: float
    deadline: float
    has_begun: bool = False
    workspace: str = ""
    tokens: float = 0.0
    has_place: bool = False

    @property
    def patience(self) -> float:
        """Return the maximum waiting time in seconds."""
        return self.deadline - self.queued_at

    def state(self, now: float) -> WaitState:
        """Return the state of the stream."""
        if self.objective_deadline > now:
            return WaitState.ON_TIME
        is_aged = self.deadline - now <= AGED_SHARE * self.patience
        return WaitState.AGED if is_aged else WaitState.LATE

    def is_aged(self, now: float) -> bool:
        """Return whether the stream is late and has little patience left."""
        return self.state(now) is WaitState.AGED

    def next_change(self, state: WaitState) -> float:
        """Return when the stream leaves a state, as far as rounding allows."""
        if state is WaitState.ON_TIME:
            return self.objective_deadline
        return self.deadline - AGED_SHARE * self.patience


@dataclass(kw_only=True)
class _Waiting(Generic[Asker]):
    asker: Asker
    number: int
    entry: QueueEntry
    state: WaitState


@dataclass(kw_only=True)
class PlacementQueue(Generic[Asker]):
    """The waiting streams of one model, keyed by who asked for a slot.

    Times that are passed in do not decrease: an earlier one counts as the latest. With
    `on_time_first` late streams go last, also with little patience left.
    """

    on_time_first: bool = False
    _by_asker: dict[Asker, _Waiting[Asker]] = field(default_factory=dict)
    _by_number: dict[int, _Waiting[Asker]] = field(default_factory=dict)
    _bands: dict[_BandKey, Band] = field(default_factory=dict)
    # By priority.
    _counters: dict[int, ServiceCounters] = field(default_factory=dict)
    # By whether the streams have begun, and priority.
    _counts: Counter[tuple[bool, int]] = field(default_factory=Counter)
    # Times at which streams may change their state, and when they stop waiting.
    _changes: list[tuple[float, int]] = field(default_factory=list)
    _deadlines: list[tuple[float, int]] = field(default_factory=list)
    _next_number: int = 0
    _now: float = float("-inf")

    def __len__(self) -> int:
        return len(self._by_asker)

    def __contains__(self, asker: Asker) -> bool:
        return asker in self._by_asker

    def add(self, asker: Asker, entry: QueueEntry) -> None:
        """Add a stream; one that waits already keeps its entry and position."""
        if asker in self._by_asker:
            return
        self._advance(entry.queued_at)
        waiting = _Waiting(
            asker=asker,
            number=self._next_number,
            entry=entry,
            state=entry.state(self._now),
        )
        self._next_number += 1
        self._by_asker[asker] = self._by_number[waiting.number] = waiting
        self._counts[(entry.has_begun, entry.priority)] += 1
        self._join(entry, waiting.state)
        self._insert(waiting)
        self._schedule(waiting)
        heappush(self._deadlines, (entry.deadline, waiting.number))

    def entry_of(self, asker: Asker) -> QueueEntry:
        """Return the entry of a stream that waits."""
        return self._by_asker[asker].entry

    def discard(self, asker: Asker) -> None:
        """Remove a stream if it waits."""
        waiting = self._by_asker.pop(asker, None)
        if waiting is None:
            return
        del self._by_number[waiting.number]
        self._counts[(waiting.entry.has_begun, waiting.entry.priority)] -= 1
        self._extract(waiting)
        if len(self._deadlines) > 2 * len(self._by_number) + MAX_WAITING:
            self._drop_removed()

    def record_arrival(self, entry: QueueEntry, now: float) -> None:
        """Count a new stream, whether it is granted a slot, queued, or refused."""
        counters = self._counters_of(entry.priority)
        counters.record_arrival(entry.workspace, entry.tokens, now)

    def record_grant(self, entry: QueueEntry) -> None:
        """Count the service of a stream that gets a slot.

        To be called before the stream is discarded, and for streams that get their slot
        without waiting too.
        """
        self._join(entry, entry.state(self._now))
        self._counters_of(entry.priority).charge(entry.workspace, entry.tokens)

    def has_entry_ahead_of(self, entry: QueueEntry, now: float) -> bool:
        """Return whether some waiting stream goes before a new one."""
        if not self._by_asker:
            return False
        self._advance(now)
        state = entry.state(self._now)
        counters = self._counters_of(entry.priority)
        before = counters.received.get(entry.workspace)
        new = _Waiting(asker=None, number=self._next_number, entry=entry, state=state)
        self._join(entry, state)
        self._insert(new)
        is_ahead = next(self._numbers_in_order()) != new.number
        self._extract(new)
        if before is None:
            counters.received.pop(entry.workspace, None)
        else:
            counters.received[entry.workspace] = before
        return is_ahead

    def expired(self, now: float) -> list[Asker]:
        """Return who asked for the streams whose deadline has passed."""
        numbers = []
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            found.append(heappop(self._deadlines))
            if found[-1][1] in self._by_number:
                numbers.append(found[-1][1])
            else:
                found.pop()
        # They wait until they are discarded.
        for item in found:
            heappush(self._deadlines, item)
        return [self._by_number[number].asker for number in sorted(numbers)]

    def ahead_of(self, entry: QueueEntry) -> int:
        """Return how many streams would go before this one once it is late."""
        return sum(
            count
            for (has_begun, priority), count in self._counts.items()
            if has_begun or (not entry.has_begun and priority <= entry.priority)
        )

    def in_order(self, now: float) -> Iterator[Asker]:
        """Yield who asked, in the order in which slots are granted.

        The order is that of grants to all of them, one after the other. The queue must
        not be changed while it is read.
        """
        self._advance(now)
        for number in self._numbers_in_order():
            yield self._by_number[number].asker

    def leads(self) -> dict[int, dict[str, tuple[int, float]]]:
        """Return how many streams of each workspace wait, and its lead, by priority.

        The lead is by how many tokens its counter is above the lowest that waits.
        """
        sizes: dict[int, Counter[str]] = {}
        for (_, _, priority), band in self._bands.items():
            counts = sizes.setdefault(priority, Counter())
            counts.update({w: lane.size for w, lane in band.lanes.items()})
        result = {}
        for priority, counts in sizes.items():
            received = self._counters_of(priority).received
            lowest = min(received[w] for w in counts)
            result[priority] = {w: (n, received[w] - lowest) for w, n in counts.items()}
        return result

    def position_of(self, asker: Asker, now: float) -> int:
        """Return how many streams go before one that waits.

        It is exact with one workspace. With several it is an estimate from the mean
        tokens of each one's waiting streams.
        """
        self._advance(now)
        waiting = self._by_asker[asker]
        entry = waiting.entry
        counters = self._counters_of(entry.priority)
        own = self._band_of(waiting)
        index = own.index_in_lane(
            entry.workspace, waiting.number, has_place=entry.has_place
        )
        turn = counters.of(entry.workspace)
        turn += index * counters.charge_of(
            entry.workspace, own.lanes[entry.workspace].average
        )
        position = 0
        for (has_begun, state, priority), band in self._bands.items():
            if has_begun != entry.has_begun:
                position += band.size if has_begun else 0
            elif band is own:
                position += index + self._ahead_in_band(waiting, band, turn)
            elif (
                not self.on_time_first
                and priority == entry.priority
                and WaitState.LATE not in (state, waiting.state)
            ):
                # Aged streams go before those on time up to the lead.
                lead = counters.lead if state is WaitState.AGED else -counters.lead
                position += sum(
                    count_up_to(
                        lane,
                        counters.of(workspace),
                        counters.weight_of(workspace),
                        turn + lead,
                    )
                    if workspace != entry.workspace
                    else lane.size * (state is WaitState.AGED)
                    for workspace, lane in band.lanes.items()
                )
            elif self._rank(state, priority) < self._rank(
                waiting.state, entry.priority
            ):
                position += band.size
        return position

    def _ahead_in_band(self, waiting: _Waiting[Asker], band: Band, turn: float) -> int:
        """Return how many streams of other workspaces in a band go before one."""
        entry = waiting.entry
        counters = self._counters_of(entry.priority)
        received = counters.received
        lead = counters.lead
        key = band.key(waiting.number)
        uses_place = (
            entry.has_place
            and received[entry.workspace]
            <= min(map(received.__getitem__, band.lanes)) + lead
        )
        total = 0
        for workspace, lane in band.lanes.items():
            counter = received[workspace]
            if workspace == entry.workspace or counter > turn + lead:
                continue
            weight = counters.weight_of(workspace)
            ahead = band.count_before(lane, counter, weight, turn, key)
            if uses_place:
                ahead = min(ahead, len(lane.placed))
            elif ahead < len(lane.placed):
                placed = count_up_to(lane, counter, weight, turn + lead)
                ahead = max(ahead, min(len(lane.placed), placed))
            total += ahead
        return total

    def _rank(self, state: WaitState, priority: int) -> tuple[bool, WaitState, int]:
        """Return the key that orders bands, lowest first."""
        is_last = self.on_time_first and state is not WaitState.ON_TIME
        return (is_last, state, priority)

    def _numbers_in_order(self) -> Iterator[int]:
        return chain(self._order_of(has_begun=True), self._order_of(has_begun=False))

    def _order_of(self, *, has_begun: bool) -> Iterator[int]:
        """Yield the numbers of streams that have begun, or of the others."""
        keys = [key for key in self._bands if key[0] == has_begun]
        keys.sort(key=lambda key: self._rank(key[1], key[2]))
        workspaces = {w for key in keys for w in self._bands[key].lanes}
        if len(workspaces) == 1:
            for key in keys:
                band = self._bands[key]
                for lane in band.lanes.values():
                    yield from band.numbers_of(lane)
            return
        received: dict[int, dict[str, float]] = {}
        cursors: _Cursors = {}
        while keys:
            chosen = self._choose(keys, cursors, received)
            if chosen is None:
                return
            key, workspace = chosen
            number = cursors[key].take(workspace)
            counts = received[key[2]]
            before = counts[workspace]
            counts[workspace] += self._counters_of(key[2]).charge_of(
                workspace, self._tokens_of(number)
            )
            for state in STATES:
                cursor = cursors.get((has_begun, state, key[2]))
                if cursor is not None:
                    cursor.on_raised(before, workspace)
            yield number

    def _choose(
        self,
        keys: list[_BandKey],
        cursors: _Cursors,
        received: dict[int, dict[str, float]],
    ) -> tuple[_BandKey, str] | None:
        """Return the band and workspace of the stream that goes next.

        Cursors are made when they are needed: for a grant, mostly those of one state.
        """

        def cursor_of(key: _BandKey) -> BandCursor:
            if key not in cursors:
                counters = self._counters_of(key[2])
                if key[2] not in received:
                    received[key[2]] = dict(counters.received)
                cursors[key] = BandCursor(
                    self._bands[key], received[key[2]], counters.lead
                )
            return cursors[key]

        for key in keys:
            has_begun, state, priority = key
            cursor = cursor_of(key)
            workspace = cursor.choose()
            if workspace is None:
                continue
            if state is WaitState.AGED and not self.on_time_first:
                on_time = (has_begun, WaitState.ON_TIME, priority)
                if on_time in self._bands and self._is_too_far_ahead(
                    cursor, cursor_of(on_time), priority
                ):
                    continue
            return key, workspace
        return None

    def _is_too_far_ahead(
        self, aged: BandCursor, on_time: BandCursor, priority: int
    ) -> bool:
        """Return whether aged streams have to wait for those that are on time.

        A workspace that fills the queue has most of the aged streams. If they always
        went first, the other workspaces would get their slots only when late.
        """
        return aged.lowest > on_time.lowest + self._counters_of(priority).lead

    def _tokens_of(self, number: int) -> float:
        waiting = self._by_number.get(number)
        return 0.0 if waiting is None else waiting.entry.tokens

    def _advance(self, now: float) -> None:
        """Move the streams whose state has changed by now."""
        self._now = max(self._now, now)
        unchanged = []
        while self._changes and self._changes[0][0] <= self._now + ROUNDING_SECONDS:
            item = heappop(self._changes)
            waiting = self._by_number.get(item[1])
            if waiting is None:
                continue
            state = waiting.entry.state(self._now)
            if state is waiting.state:
                unchanged.append(item)
                continue
            self._extract(waiting)
            waiting.state = state
            self._insert(waiting)
            self._schedule(waiting)
        for item in unchanged:
            heappush(self._changes, item)

    def _schedule(self, waiting: _Waiting[Asker]) -> None:
        if waiting.state is not WaitState.AGED:
            at = waiting.entry.next_change(waiting.state)
            heappush(self._changes, (at, waiting.number))

    def _drop_removed(self) -> None:
        """Forget the times of streams that no longer wait."""
        self._changes = sorted(i for i in self._changes if i[1] in self._by_number)
        self._deadlines = sorted(i for i in self._deadlines if i[1] in self._by_number)

    def _counters_of(self, priority: int) -> ServiceCounters:
        if priority not in self._counters:
            self._counters[priority] = ServiceCounters()
        return self._counters[priority]

    def _join(self, entry: QueueEntry, state: WaitState) -> None:
        """Raise the counter of a workspace that has nothing waiting in a band."""
        band = self._bands.get((entry.has_begun, state, entry.priority))
        lanes = {} if band is None else band.lanes
        if entry.workspace not in lanes:
            self._counters_of(entry.priority).join(entry.workspace, lanes)

    def _band_of(self, waiting: _Waiting[Asker]) -> Band:
        entry = waiting.entry
        key = (entry.has_begun, waiting.state, entry.priority)
        if key not in self._bands:
            newest_first = waiting.state is WaitState.ON_TIME
            self._bands[key] = Band(newest_first=newest_first)
        return self._bands[key]

    def _insert(self, waiting: _Waiting[Asker]) -> None:
        entry = waiting.entry
        self._band_of(waiting).add(
            entry.workspace,
            waiting.number,
            has_place=entry.has_place,
            tokens=entry.tokens,
        )

    def _extract(self, waiting: _Waiting[Asker]) -> None:
        entry = waiting.entry
        band = self._band_of(waiting)
        band.remove(
            entry.workspace,
            waiting.number,
            has_place=entry.has_place,
            tokens=entry.tokens,
        )
        if band.size == 0:
            del self._bands[(entry.has_begun, waiting.state, entry.priority)]
