"""Find answers that ended early although the engines that began them lived.

Engines that pause answer nothing for a while and then go on; their answers must not be
ended before the time limit of the request.
"""

from collections import defaultdict
from collections.abc import Iterator

from mallowpond.standins.observatory_engine import (
    FATAL_BODY,
    FATAL_PART,
    STALL_SECONDS,
)
from soak.records import (
    CallerRecord,
    Ending,
    EnginePause,
    JournalEntry,
    RequestKind,
    Run,
)

# Kinds of faults in which all engines, or a share of them, pause repeatedly.
PAUSE_ALL_KIND = "engines_pause_all"
PAUSE_SHARE_KIND = "engines_pause_share"
PAUSE_KINDS = (PAUSE_ALL_KIND, PAUSE_SHARE_KIND)
# Shortest timeout of the streams' route in any configuration, in seconds.
SHORT_STREAM_SECONDS = 5.5
# Time before its limit from which an answer has ended too early, in seconds.
EARLY_SECONDS = 0.3
# Time after a pause for which it may still cause an end, in seconds.
AFTER_PAUSE_SECONDS = 3.0
# Time by which the end of a process may be noticed too late, in seconds.
NOTICE_SECONDS = 0.5
UNSERVED_STATUSES = (502, 504)
# Disturbances that may end an answer of their own node, or one of any node.
OWN_NODE_KINDS = ("node_kill", "node_pause", "node_stop_and_pause")
ANY_NODE_KINDS = ("engine_link",)


def find_lost_answers(run: Run) -> Iterator[str]:
    """Find requests that failed early while an engine that had begun them lived."""
    runs, breaks = _by_attempt(run, "run"), _by_attempt(run, "broken off")
    for record in _early_failures(run):
        for entry in runs[record.attempt]:
            is_broken_off = any(
                end.engine == entry.engine and entry.at <= end.at <= record.ended_at
                for end in breaks[record.attempt]
            )
            if not is_broken_off and not _has_ended(run, entry, record.ended_at):
                how = record.status if record.ending is Ending.WHOLE else "cut"
                left = _time_limit(record) - record.ended_at
                yield (
                    f"{record.attempt}: lost ({record.kind.value}, {how}, node "
                    f"{record.node}) {left:.2f} s before its limit, begun by "
                    f"{entry.engine}"
                )
                break


def find_ordered_ends(run: Run) -> Iterator[str]:
    """Find requests that failed since their group was broken by an order only.

    No process of the group had ended or paused for longer than the head tolerates.
    """
    breaks = _by_attempt(run, "broken off")
    for record in _early_failures(run):
        for entry in breaks[record.attempt]:
            since = entry.at - AFTER_PAUSE_SECONDS
            if (
                entry.at <= record.ended_at
                and not _has_ended(run, entry, entry.at, since)
                and _longest_pause(run, entry, since) <= STALL_SECONDS
                and _was_ordered(run, entry)
            ):
                yield (
                    f"{record.attempt}: ended by an order ({record.kind.value}, node "
                    f"{record.node}) to {entry.group_key} at {entry.engine}"
                )
                break


def _early_failures(run: Run) -> Iterator[CallerRecord]:
    """Yield the requests that failed early beside a pause that may be the cause."""
    for record in run.callers:
        is_failure = record.status in UNSERVED_STATUSES or record.ending in (
            Ending.CUT,
            Ending.NONE,
        )
        is_early = record.ended_at <= _time_limit(record) - EARLY_SECONDS
        is_beside = any(
            len(pause.engines) > 1
            and pause.began_at < record.ended_at
            and pause.ended_at > record.sent_at - AFTER_PAUSE_SECONDS
            for pause in run.pauses
        )
        if is_failure and is_early and is_beside and not _is_excused(run, record):
            yield record


def _time_limit(record: CallerRecord) -> float:
    if record.kind is RequestKind.STREAM:
        return min(record.deadline, record.sent_at + SHORT_STREAM_SECONDS)
    return record.deadline


def _is_excused(run: Run, record: CallerRecord) -> bool:
    """Return whether another fault may have ended the answer."""
    is_fatal = record.content.startswith(FATAL_BODY.decode()) or any(
        part.startswith(FATAL_PART) for part in record.parts[:-1]
    )
    is_disturbed = any(
        d.began_at < record.ended_at
        and d.ended_at > record.sent_at
        and (
            d.kind in ANY_NODE_KINDS
            or (d.kind in OWN_NODE_KINDS and d.node == record.node)
        )
        for d in run.disturbances
    )
    is_cut = any(
        record.node in cut.nodes
        and cut.began_at < record.ended_at
        and cut.ended_at > record.sent_at
        for cut in run.cuts
    )
    is_revoked = any(
        revocation.key == record.key
        and revocation.accepted_at - NOTICE_SECONDS < record.ended_at
        and revocation.restored_at > record.sent_at
        for revocation in run.revocations
    )
    return is_fatal or is_disturbed or is_cut or is_revoked


def _by_attempt(run: Run, event: str) -> dict[str, list[JournalEntry]]:
    entries: dict[str, list[JournalEntry]] = defaultdict(list)
    for entry in run.notes:
        if entry.event == event:
            entries[entry.values["attempt"]].append(entry)
    return entries


def _processes(entry: JournalEntry) -> set[str]:
    """Return the engines of the entry's group, or its own engine."""
    return {entry.engine, *(entry.values.get("members") or ())}


def _has_ended(
    run: Run, entry: JournalEntry, until: float, since: float | None = None
) -> bool:
    """Return whether a process of the group ended, by default since the entry."""
    start = entry.at if since is None else since
    return any(
        end.engine in _processes(entry) and start <= end.at <= until + NOTICE_SECONDS
        for end in run.engine_ends
    )


def _longest_pause(run: Run, entry: JournalEntry, since: float) -> float:
    """Return the longest time before the entry without all of its group's members."""

    def is_relevant(pause: EnginePause) -> bool:
        return (
            bool(pause.engines & _processes(entry))
            and pause.began_at < entry.at
            and pause.ended_at > since
        )

    longest, began, ended = 0.0, 0.0, 0.0
    for pause in sorted(filter(is_relevant, run.pauses), key=lambda p: p.began_at):
        began = pause.began_at if pause.began_at > ended else began
        ended = max(ended, pause.ended_at)
        longest = max(longest, ended - began)
    return longest


def _was_ordered(run: Run, entry: JournalEntry) -> bool:
    """Return whether a member was ordered out of the group just before the entry."""
    since = entry.at - AFTER_PAUSE_SECONDS
    return any(
        other.engine in _processes(entry)
        and since < other.at <= entry.at
        and (
            (other.event == "leave" and other.group_key == entry.group_key)
            or (
                other.event == "join"
                and other.group_key != entry.group_key
                and tuple(other.values["before"] or ()) == entry.group_key
            )
        )
        for other in run.notes
    )
