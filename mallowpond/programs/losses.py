"""Count, from nodes' log lines, which requests were late or unserved, and why.

What is worth most to callers is an answer within its objective. Each stream that missed
it, and each attempt that got no answer, is put down to one cause, the earliest that its
own lines show; the errors of predicted first events and the suspicions stand beside it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median

from mallowpond.programs.explain import Line

# Wait for a place that is longer than scheduling and timers explain, in seconds.
WAITED_SECONDS = 0.02
# Statuses of answers that a target gave and that do not count as served.
FAILED_STATUS = 500


@dataclass(kw_only=True)
class Losses:
    """Hold the counts of one set of log files; errors are in seconds, by model."""

    streams: int = 0
    late: Counter[str] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    suspicions: Counter[str] = field(default_factory=Counter)
    errors: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


def count_losses(lines: Iterable[Line]) -> Losses:
    """Sort every request of the lines by what became of it."""
    losses = Losses()
    sends: dict[str, Line] = {}
    for line in lines:
        request = str(line.fields.get("request"))
        match line.event:
            case "stream: sent":
                sends[request] = line
            case "stream: served":
                losses.streams += 1
                sent = sends.get(request)
                _note_error(losses, line, sent)
                cause = _why_late(line, sent)
                if cause is not None:
                    losses.late[cause] += 1
            case "ingress: refused" | "ingress: cut off":
                outcome = line.event.removeprefix("ingress: ")
                losses.unserved[f"{outcome}: {line.fields.get('reason')}"] += 1
            case "ingress: answered":
                if int(line.fields.get("status") or 0) >= FAILED_STATUS:
                    losses.unserved["answered: the target failed"] += 1
            case "groups: suspected" | "groups: unreached" | "groups: slow":
                losses.suspicions[line.event.removeprefix("groups: ")] += 1
            case "planner: suspicion cleared":
                losses.suspicions["cleared: all members answer"] += 1
    return losses


def _was_undisturbed(served: Line) -> bool:
    fields = served.fields
    return fields.get("sends") == 1 and fields.get("waited", 0.0) <= WAITED_SECONDS


def _predicted(sent: Line) -> float:
    return float(sent.fields["predicted"]) + float(sent.fields.get("delay", 0.0))


def _note_error(losses: Losses, served: Line, sent: Line | None) -> None:
    if sent is None or not _was_undisturbed(served):
        return
    error = float(served.fields["first_event"]) - _predicted(sent)
    losses.errors[str(served.fields.get("model"))].append(error)


def _why_late(served: Line, sent: Line | None) -> str | None:
    """Return why a stream missed its objective or its allowed gap, if it did."""
    fields = served.fields
    moved = fields.get("sends", 1) > 1
    if fields["first_event"] > fields["objective"]:
        if moved:
            return "first event: moved before it"
        if fields.get("waited", 0.0) > WAITED_SECONDS:
            return "first event: waited for a place"
        if sent is not None and _predicted(sent) > fields["objective"]:
            return "first event: sent though predicted late"
        return "first event: later than predicted"
    allowed = fields.get("allowed_gap")
    if allowed and fields["longest_gap"] > allowed:
        return "gap: moved in the middle" if moved else "gap: slow group"
    return None


def render_losses(losses: Losses) -> Iterator[str]:
    """Write the counts, a line each."""
    yield f"streams served      {losses.streams}"
    yield f"  late              {losses.late.total()}"
    yield from _rows(losses.late)
    yield f"attempts unserved   {losses.unserved.total()}"
    yield from _rows(losses.unserved)
    yield f"suspicions          {losses.suspicions.total()}"
    yield from _rows(losses.suspicions)
    yield "first event, seen less predicted (median, seconds)"
    for model, errors in sorted(losses.errors.items()):
        yield f"  {median(errors):8.3f}  {model}, {len(errors)} streams"


def _rows(counts: Counter[str]) -> Iterator[str]:
    for name, count in counts.most_common():
        yield f"  {count:8}  {name}"
