"""Count, from the log lines of nodes, which requests were late or unserved, and why.

Callers value most a response whose first event arrives within its objective, the
latency target. Each stream that missed it is attributed to one cause that its own lines
show: first a move to another group, then a wait for a slot, then a predicted time above
the objective when it was sent. A request without a response, or with a status of
`MIN_FAILED_STATUS` or above, counts as unserved. Errors of the predicted times of first
events, and suspected group failures, are reported as well.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median

from mallowpond.programs.explain import LogLine

# Longest wait for a slot that scheduling and timers alone explain, in seconds.
MAX_SCHEDULING_SECONDS = 0.02
# Lowest status of a target's response that doesn't count as served.
MIN_FAILED_STATUS = 500


@dataclass(kw_only=True)
class Losses:
    """Counts of one set of log files.

    `late` counts served streams by cause. `unserved` counts attempts by cause, one for
    each log line of an unserved one, so a caller's retry counts again. `suspicions`
    counts suspected group failures by cause, and how many were cleared.
    `prediction_errors` are the observed minus the predicted times of first events in
    seconds, by model.
    """

    streams: int = 0
    late: Counter[str] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    suspicions: Counter[str] = field(default_factory=Counter)
    prediction_errors: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )


def count_losses(lines: Iterable[LogLine]) -> Losses:
    """Count the requests in the lines by outcome and cause."""
    losses = Losses()
    sends: dict[str, LogLine] = {}
    for line in lines:
        request = str(line.fields.get("request"))
        match line.event:
            case "stream: sent":
                sends[request] = line
            case "stream: served":
                losses.streams += 1
                sent = sends.get(request)
                _record_prediction_error(losses, line, sent)
                cause = _late_cause(line, sent)
                if cause is not None:
                    losses.late[cause] += 1
            case "ingress: refused" | "ingress: cut off":
                outcome = line.event.removeprefix("ingress: ")
                losses.unserved[f"{outcome}: {line.fields.get('reason')}"] += 1
            case "ingress: answered":
                if int(line.fields.get("status") or 0) >= MIN_FAILED_STATUS:
                    losses.unserved["answered: the target failed"] += 1
            case "groups: suspected" | "groups: unreached" | "groups: slow":
                losses.suspicions[line.event.removeprefix("groups: ")] += 1
            case "planner: suspicion cleared":
                losses.suspicions["cleared: all members answer"] += 1
    return losses


def _was_undisturbed(served: LogLine) -> bool:
    fields = served.fields
    return (
        fields.get("sends") == 1 and fields.get("waited", 0.0) <= MAX_SCHEDULING_SECONDS
    )


def _predicted_first_event(sent: LogLine) -> float:
    # `delay` is the usual excess of the first event's time over the declared timing,
    # scaled for slow groups.
    return float(sent.fields["predicted"]) + float(sent.fields.get("delay", 0.0))


def _record_prediction_error(
    losses: Losses, served: LogLine, sent: LogLine | None
) -> None:
    if sent is None or not _was_undisturbed(served):
        return
    error = float(served.fields["first_event"]) - _predicted_first_event(sent)
    losses.prediction_errors[str(served.fields.get("model"))].append(error)


def _late_cause(served: LogLine, sent: LogLine | None) -> str | None:
    """Return why a stream missed its objective or its allowed gap, or None."""
    fields = served.fields
    was_moved = fields.get("sends", 1) > 1
    if fields["first_event"] > fields["objective"]:
        if was_moved:
            return "first event: moved before it"
        if fields.get("waited", 0.0) > MAX_SCHEDULING_SECONDS:
            return "first event: waited for a place"
        if sent is not None and _predicted_first_event(sent) > fields["objective"]:
            return "first event: sent though predicted late"
        return "first event: later than predicted"
    allowed = fields.get("allowed_gap")
    if allowed and fields["longest_gap"] > allowed:
        return "gap: moved in the middle" if was_moved else "gap: slow group"
    return None


def render_losses(losses: Losses) -> Iterator[str]:
    """Yield the counts as lines of text."""
    yield f"streams served      {losses.streams}"
    yield f"  late              {losses.late.total()}"
    yield from _render_counts(losses.late)
    yield f"attempts unserved   {losses.unserved.total()}"
    yield from _render_counts(losses.unserved)
    yield f"suspicions          {losses.suspicions.total()}"
    yield from _render_counts(losses.suspicions)
    yield "first event, seen less predicted (median, seconds)"
    for model, errors in sorted(losses.prediction_errors.items()):
        yield f"  {median(errors):8.3f}  {model}, {len(errors)} streams"


def _render_counts(counts: Counter[str]) -> Iterator[str]:
    for name, count in counts.most_common():
        yield f"  {count:8}  {name}"
