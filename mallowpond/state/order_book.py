"""Keep what was ordered of each process of a target until its effect shows.

A target may start again under its `id`; the new process holds nothing and counts its
orders anew. So all that is kept here belongs to one process and ends with it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from mallowpond.state.fleet import GroupKey, GroupPhase, Process, Target
from mallowpond.state.formation_view import (
    Close,
    Join,
    Leave,
    Open,
    Stage,
    Step,
)

# Time until the effect of an order that was taken must show in the list, in seconds:
# engines report a change at once, and the list is read a few times a second.
EFFECT_SECONDS = 1.5
# Time that an order may wait for its turn and its answer, in seconds: a weak host takes
# some seconds for the first groups of a large fleet.
TURN_SECONDS = 10.0
# Pause before an order that did not fit or got lost is given again, in seconds.
AGAIN_SECONDS = 0.3
# Time after which a load that does not show is given up, in seconds: some times the
# longest declared load, since loads share the weight store.
LOAD_SECONDS = 60.0
# Time after an order within which a target's report may not show it, in seconds: a
# few times the usual lag of reports.
REPORT_LAG_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class Pending:
    """Remember an order until its effect shows."""

    step: Step
    until: float


@dataclass(frozen=True, kw_only=True)
class Joined:
    """Remember the group that a process was ordered into."""

    key: GroupKey
    at: float


@dataclass(frozen=True, kw_only=True)
class Load:
    """Remember a load of weights that does not show yet."""

    model: str
    at: float


@dataclass(kw_only=True)
class _Record:
    """Hold what is known of one process; `least_count` is surely reached."""

    count: int | None = None
    least_count: int = 0
    pending: Pending | None = None
    left: GroupKey | None = None
    joined: Joined | None = None
    ordered_at: float = float("-inf")
    load: Load | None = None


class OrderBook:
    """Remember orders by the process that they were given to."""

    def __init__(self) -> None:
        self._records: dict[Process, _Record] = {}

    def reset(self) -> None:
        """Forget everything."""
        self._records.clear()

    # -- what is under way ---------------------------------------------------

    @property
    def busy(self) -> frozenset[str]:
        """Return the targets that have an order under way."""
        return frozenset(p.id for p, r in self._records.items() if r.pending)

    @property
    def loading(self) -> dict[str, str]:
        """Return the models that targets were told to load and do not show yet."""
        return {p.id: r.load.model for p, r in self._records.items() if r.load}

    def is_busy(self, target: Target) -> bool:
        """Tell whether a process has an order under way."""
        record = self._records.get(target.process)
        return record is not None and record.pending is not None

    def begin(self, step: Step, now: float) -> None:
        """Note an order that is about to be given."""
        record = self._record(step.target)
        record.pending = Pending(step=step, until=now + TURN_SECONDS)
        if loads_weights(step):
            record.load = Load(model=step.model, at=now)

    def release_later(self, step: Step, now: float) -> None:
        """Free the process for another order after a moment."""
        record = self._record(step.target)
        record.pending = Pending(step=step, until=now + AGAIN_SECONDS)
        record.load = None

    def end(self, target: Target) -> None:
        """Free the process for another order now."""
        self._record(target).pending = None

    def record_taken(self, step: Step, now: float) -> None:
        """Note that a process has taken an order."""
        record = self._record(step.target)
        record.ordered_at = now
        if isinstance(step, Leave):
            # It takes effect at once: the list need not be waited for.
            record.left = (step.group, step.epoch)
            record.joined = None
            record.pending = None
            return
        if isinstance(step, Join):
            record.joined = Joined(key=(step.group, step.epoch), at=now)
            record.left = None
        record.pending = Pending(step=step, until=now + EFFECT_SECONDS)

    def joined(self, target: Target) -> GroupKey | None:
        """Return the group that a process has joined here and not left."""
        record = self._records.get(target.process)
        return record.joined.key if record and record.joined else None

    def without_left_group(self, target: Target) -> Target:
        """Return a target without the group that it left before the list shows it."""
        record, member = self._records.get(target.process), target.membership
        if record is None or member is None:
            return target
        if record.left != (member.group, member.epoch):
            return target
        return replace(target, membership=None)

    def shows_last_order(self, target: Target, now: float) -> bool:
        """Tell whether a process's report surely shows its last order."""
        record = self._records.get(target.process)
        return record is None or now - record.ordered_at > REPORT_LAG_SECONDS

    # -- counts --------------------------------------------------------------

    def count(self, target: Target) -> int | None:
        """Return how many orders a process has begun, None when it must be asked."""
        record = self._records.get(target.process)
        return None if record is None else record.count

    def record_report(self, target: Target, orders: int, *, now: float) -> bool:
        """Take a process's own count; return False when it is out of date.

        Within one process the count never falls: a lower one was told late, and an
        order that goes by it would be refused. Another process starts anew; where
        targets tell no start, so does one whose report must show the last order.
        """
        record = self._record(target)
        may_be_another = target.born is None and self.shows_last_order(target, now)
        if orders < record.least_count and not may_be_another:
            return False
        record.count = record.least_count = orders
        return True

    def raise_min_count(self, target: Target, orders: int) -> None:
        """Note a count that a process told beside: later ones may not be lower."""
        record = self._record(target)
        record.least_count = max(record.least_count, orders)
        if record.count is not None and record.count < orders:
            record.count = None

    def record_begun(self, step: Step, *, expected: int, is_sure: bool) -> None:
        """Count an order on top of those that it expected before it.

        Reports lag, so the count is kept here: with an old one the next join would be
        refused and its whole group would wait.
        """
        record = self._record(step.target)
        if expected + 1 < record.least_count:
            return
        record.count = expected + 1
        if is_sure:
            record.least_count = max(record.least_count, expected + 1)

    def invalidate_count(self, target: Target) -> None:
        """Have the process asked before its next order."""
        self._record(target).count = None

    # -- what the list shows -------------------------------------------------

    def reconcile(
        self, targets: Mapping[str, Target], *, now: float, shows_orders: bool
    ) -> None:
        """Drop what the list shows to be done, and all of processes that ended.

        `shows_orders` is false while the list is away: it then shows nothing of what
        was ordered since.
        """
        present = {target.process: target for target in targets.values()}
        self._records = {p: r for p, r in self._records.items() if p in present}
        for process, record in self._records.items():
            _settle(record, present[process], now=now, shows_orders=shows_orders)

    def _record(self, target: Target) -> _Record:
        return self._records.setdefault(target.process, _Record())


def loads_weights(step: Step) -> bool:
    """Tell whether an order has weights loaded from their store."""
    return isinstance(step, Stage) or (isinstance(step, Join) and step.loads)


def _settle(record: _Record, target: Target, *, now: float, shows_orders: bool) -> None:
    pending, joined, load = record.pending, record.joined, record.load
    if pending and (_shows(target, pending.step) or now > pending.until):
        record.pending = None
    shown_free = shows_orders and target.membership is None
    if joined and shown_free and now - joined.at > EFFECT_SECONDS:
        record.joined = None
    if load and (_has_loaded(target, load.model) or now - load.at > LOAD_SECONDS):
        record.load = None


def _shows(target: Target, step: Step) -> bool:
    """Tell whether a target's entry shows that an order took effect."""
    member = target.membership
    match step:
        case Join():
            return member is not None and member.epoch >= step.epoch
        case Open():
            return member is not None and (
                member.epoch != step.epoch
                or member.phase in (GroupPhase.OPEN, GroupPhase.BROKEN)
            )
        case Close():
            return member is None or (
                member.epoch != step.epoch or member.phase is not GroupPhase.OPEN
            )
        case Leave():
            return member is None or member.epoch != step.epoch
        case Stage():
            return step.model in target.staged


def _has_loaded(target: Target, model: str) -> bool:
    if model in target.staged:
        return True
    member = target.membership
    return member is not None and member.phase is not GroupPhase.JOINING
