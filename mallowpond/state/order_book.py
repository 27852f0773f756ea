"""Track the orders given to each process until the target list shows their effect.

A target may restart under its `id`. The new process has no state and counts its orders
from zero, so every record here belongs to one process and is dropped with it.

A process may accept an order without beginning it, if it is fulfilled already. It
counts the orders that it has begun. An order carries the count that the planner
expects; the process rejects it if its count differs.
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

# Time within which the list must show the effect of an accepted order, in seconds:
# engines report a change at once, and the list is read a few times per second.
EFFECT_SECONDS = 1.5
# Time for which an order may wait to be sent and answered, in seconds: a slow host
# needs some seconds for the first groups of a large fleet.
ORDER_TIMEOUT_SECONDS = 10.0
# Pause before an order that was rejected or lost may be repeated, in seconds.
RETRY_PAUSE_SECONDS = 0.3
# Time after which a load that the list does not show is given up, in seconds: several
# times the longest declared load, since loads share the weight store.
LOAD_TIMEOUT_SECONDS = 60.0
# Time after an order within which a target's report need not show it, in seconds: a
# few times the usual lag of reports.
REPORT_LAG_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class Pending:
    """An order under way; at time `until` the planner stops waiting for it."""

    step: Step
    until: float


@dataclass(frozen=True, kw_only=True)
class Joined:
    """The group that a process was ordered to join, and when."""

    key: GroupKey
    at: float


@dataclass(frozen=True, kw_only=True)
class Load:
    """A weight load that the list does not show yet, and when it was ordered."""

    model: str
    at: float


@dataclass(kw_only=True)
class _Record:
    """State of one process.

    count: number of orders that it has begun, None if unknown.
    min_count: lower bound on the count.
    pending: the order under way.
    left, joined: the groups that it last left and joined by an order of this planner.
    ordered_at: time at which it last accepted an order.
    load: the weight load that the list does not show yet.
    """

    count: int | None = None
    min_count: int = 0
    pending: Pending | None = None
    left: GroupKey | None = None
    joined: Joined | None = None
    ordered_at: float = float("-inf")
    load: Load | None = None


class OrderBook:
    """The orders under way and the order counts, by process."""

    def __init__(self) -> None:
        self._records: dict[Process, _Record] = {}

    def reset(self) -> None:
        """Drop all records."""
        self._records.clear()

    # -- orders under way ----------------------------------------------------

    @property
    def busy(self) -> frozenset[str]:
        """Return the ids of targets that have an order under way."""
        return frozenset(p.id for p, r in self._records.items() if r.pending)

    @property
    def loading(self) -> dict[str, str]:
        """Return the models being loaded, by target id."""
        return {p.id: r.load.model for p, r in self._records.items() if r.load}

    def is_busy(self, target: Target) -> bool:
        """Return whether a process has an order under way."""
        record = self._records.get(target.process)
        return record is not None and record.pending is not None

    def begin(self, step: Step, now: float) -> None:
        """Record an order that is about to be given."""
        record = self._record(step.target)
        record.pending = Pending(step=step, until=now + ORDER_TIMEOUT_SECONDS)
        if loads_weights(step):
            record.load = Load(model=step.model, at=now)

    def release_later(self, step: Step, now: float) -> None:
        """Drop an order that was rejected or lost; another may follow after a pause."""
        record = self._record(step.target)
        record.pending = Pending(step=step, until=now + RETRY_PAUSE_SECONDS)
        record.load = None

    def end(self, target: Target) -> None:
        """End the order under way, so that another one may follow at once."""
        self._record(target).pending = None

    def record_accepted(self, step: Step, now: float) -> None:
        """Record that a process has accepted an order."""
        record = self._record(step.target)
        record.ordered_at = now
        if isinstance(step, Leave):
            # It takes effect at once, so there is no need to wait for the list.
            record.left = (step.group, step.epoch)
            record.joined = None
            record.pending = None
            return
        if isinstance(step, Join):
            record.joined = Joined(key=(step.group, step.epoch), at=now)
            record.left = None
        record.pending = Pending(step=step, until=now + EFFECT_SECONDS)

    def joined(self, target: Target) -> GroupKey | None:
        """Return the group that a process was ordered into and has not left."""
        record = self._records.get(target.process)
        return record.joined.key if record and record.joined else None

    def without_left_group(self, target: Target) -> Target:
        """Return a target without its listed group if it has left that group."""
        record, member = self._records.get(target.process), target.membership
        if record is None or member is None:
            return target
        if record.left != (member.group, member.epoch):
            return target
        return replace(target, membership=None)

    def shows_last_order(self, target: Target, now: float) -> bool:
        """Return whether a report of the process certainly shows its last order."""
        record = self._records.get(target.process)
        return record is None or now - record.ordered_at > REPORT_LAG_SECONDS

    # -- counts --------------------------------------------------------------

    def count(self, target: Target) -> int | None:
        """Return how many orders a process has begun, None if it must be asked."""
        record = self._records.get(target.process)
        return None if record is None else record.count

    def record_report(self, target: Target, orders: int, *, now: float) -> bool:
        """Record the count that a process reports; return False if it is out of date.

        Within one process the count never falls. A lower one comes from a delayed
        report, and an order based on it would be rejected. A new process counts from
        zero. Where targets report no start time, a lower count is taken for that of a
        new process if the report must show the last order.
        """
        record = self._record(target)
        may_be_new = target.born is None and self.shows_last_order(target, now)
        if orders < record.min_count and not may_be_new:
            return False
        record.count = record.min_count = orders
        return True

    def raise_min_count(self, target: Target, orders: int) -> None:
        """Record the count in a probe's report; later ones must not be lower."""
        record = self._record(target)
        record.min_count = max(record.min_count, orders)
        if record.count is not None and record.count < orders:
            record.count = None

    def record_begun(self, step: Step, *, expected: int, has_begun: bool) -> None:
        """Count an order that was accepted with the count `expected`.

        Reports lag behind, so the planner counts by itself: with an old count the next
        join would be rejected, and its whole group would wait. If `has_begun` is
        false, the order was fulfilled already, and the process may not have counted it.
        """
        record = self._record(step.target)
        if expected + 1 < record.min_count:
            return
        record.count = expected + 1
        if has_begun:
            record.min_count = max(record.min_count, expected + 1)

    def invalidate_count(self, target: Target) -> None:
        """Drop the count, so that the process is asked before its next order."""
        self._record(target).count = None

    # -- effects in the list -------------------------------------------------

    def reconcile(
        self, targets: Mapping[str, Target], *, now: float, is_settled: bool
    ) -> None:
        """Drop orders that the list shows to have taken effect, and ended processes.

        `is_settled` is false during and just after an outage of the store: the list
        then need not show the effects of orders given since.
        """
        listed = {target.process: target for target in targets.values()}
        self._records = {p: r for p, r in self._records.items() if p in listed}
        for process, record in self._records.items():
            _reconcile(record, listed[process], now=now, is_settled=is_settled)

    def _record(self, target: Target) -> _Record:
        return self._records.setdefault(target.process, _Record())


def loads_weights(step: Step) -> bool:
    """Return whether an order makes its target load weights from their store."""
    return isinstance(step, Stage) or (isinstance(step, Join) and step.loads)


def _reconcile(
    record: _Record, target: Target, *, now: float, is_settled: bool
) -> None:
    pending, joined, load = record.pending, record.joined, record.load
    if pending and (_shows(target, pending.step) or now > pending.until):
        record.pending = None
    shown_free = is_settled and target.membership is None
    if joined and shown_free and now - joined.at > EFFECT_SECONDS:
        record.joined = None
    if load and (
        _has_loaded(target, load.model) or now - load.at > LOAD_TIMEOUT_SECONDS
    ):
        record.load = None


def _shows(target: Target, step: Step) -> bool:
    """Return whether a target's entry shows that an order took effect."""
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
