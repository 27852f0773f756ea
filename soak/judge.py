"""Check the promises on what a run left behind."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import FATAL_BODY, call_body, event_bytes
from soak.records import CallerRecord, Ending, Kind, Note, Run

GROUP_SIZE = 3
REVOKE_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Time that links, timers and a busy machine may add to a bound, in seconds.
SLACK_SECONDS = 0.5
# Time by which a node may end an answer before its caller's deadline, in seconds: it
# is told whole milliseconds that are left.
TIMER_SECONDS = 0.02
# Time after a disturbance in which a bound in time does not hold, in seconds.
CALM_SECONDS = 3.0
# Time after it was written at which an entry of another writer, or a start of an
# engine, is known to every node, in seconds: some reads of the list, and their way.
NEWS_SECONDS = 2.5
NEED_KIND = "engine_need"
SHED_KIND = "engine_shedding"
# Disturbances beside which every request is served all the same.
DISREGARDED = ("reconfigure", "history", "foreign_entry")
# Disturbances after which an answer that was under way has to end whole.
HARMLESS = ("node_stop", NEED_KIND, SHED_KIND, *DISREGARDED)
# Time after the last disturbance after which every request is served, in seconds: a
# group is formed again, and hosts that started anew know the others.
SETTLED_SECONDS = 5.0
# A time in which the soak itself stood still, and with it every link. It may cut an
# answer off; bounds of seconds hold all the same.
STALL = "stall"
# Disturbances that leave each node's reads of the list of engines alone.
HEARD = (
    "engine_kill",
    "engine_kill_pair",
    "engine_stop",
    "engine_restart",
    "engine_restart_twice",
    "engine_restart_forming",
    NEED_KIND,
    SHED_KIND,
    "foreign_entry_of_engine",
    "revoke",
    STALL,
    *DISREGARDED,
)
# Time after its deadline at which a request must have ended, in seconds.
HELD_SECONDS = 1.0
# Time after its SIGTERM within which a node has ended, in seconds: its grace and a
# second.
STOP_SECONDS = 9.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Engines that one request may end before it is known for it, and how often it may
# reach engines after a while all the same.
FATAL_ENDINGS = 3
FATAL_RETRIES = 3
FATAL_KIND = "fatal_request"
# Time after an engine first named a rate limit from which on it counts, the window in
# which its requests are counted, and what hosts that know it may send there: a multiple
# of the limit, and a number beyond.
LIMIT_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_BEYOND = 5
# Requests that a node may send to an engine that it was asked to leave alone.
BACKOFF_REQUESTS = 2
BESIDE = "beside a fatal request"
WORKSPACES = {"key-a": "a", "key-b": "b"}


def broken_promises(run: Run, *, timed: bool = True) -> list[str]:
    """Return a line for each broken promise; with `timed`, bounds in time count."""
    checks = (
        _whole_answers,
        _at_most_once,
        _true_refusals,
        _workspaces,
        _whole_groups,
        _one_group,
        _no_such_engines,
        _contained,
        _bystanders,
    )
    if timed:
        checks += (
            _held,
            _revoked_keys,
            _leaving_targets,
            _graceful_stops,
            _whole_openings,
            _foreign_entries,
            _others_hold,
            _rate_limits,
            _backoffs,
            _told_of_leaving,
        )
    return [line for check in checks for line in check(run)]


def _expected(record: CallerRecord) -> bytes:
    if record.kind is not Kind.STREAM:
        return call_body(record.attempt)
    numbers = range(1, record.events + 1)
    return b"".join(event_bytes(record.attempt, number) for number in numbers)


def _whole_answers(run: Run) -> Iterator[str]:
    for record in run.callers:
        if record.status != 200:
            continue
        whole = _expected(record)
        if record.headers.get(names.ATTEMPT) != record.attempt:
            yield f"{record.attempt}: the answer belongs to another request"
        if record.ending is Ending.WHOLE and record.body != whole:
            yield f"{record.attempt}: ended as whole, but is not"
        if not whole.startswith(record.body):
            yield f"{record.attempt}: events missing, doubled or mixed"


def _runs(run: Run) -> Iterator[Note]:
    return (note for note in run.notes if note.event == "run")


def _at_most_once(run: Run) -> Iterator[str]:
    once = {r.attempt for r in run.callers if r.kind is Kind.ONCE}
    counts = Counter(note.values["attempt"] for note in _runs(run))
    for attempt in once:
        if counts[attempt] > 1:
            yield f"{attempt}: ran {counts[attempt]} times"


def _true_refusals(run: Run) -> Iterator[str]:
    ran = {note.values["attempt"] for note in _runs(run)}
    for record in run.callers:
        refused = record.status in NOT_RUN_STATUSES
        if refused and record.kind is Kind.ONCE and record.attempt in ran:
            yield f"{record.attempt}: answered {record.status}, and it ran"


def _workspaces(run: Run) -> Iterator[str]:
    by_attempt = {r.attempt: r for r in run.callers}
    for note in _runs(run):
        record = by_attempt.get(note.values["attempt"])
        if record is None:
            yield f"{note.values['attempt']}: no caller sent it"
        elif note.values["tenant"] != WORKSPACES[record.key]:
            yield f"{record.attempt}: ran for workspace {note.values['tenant']}"
        if note.values["has_key"]:
            yield f"{note.values['attempt']}: its key was passed on"


def _held(run: Run) -> Iterator[str]:
    for record in run.callers:
        end = record.deadline + HELD_SECONDS
        is_held = record.ending is Ending.HELD or record.ended_at > end
        if is_held and _is_calm(run, record.node, record.sent_at - CALM_SECONDS, end):
            yield f"{record.attempt}: held beyond its deadline"


def _revoked_keys(run: Run) -> Iterator[str]:
    sent = {r.attempt: r for r in run.callers}
    for note in _runs(run):
        record = sent.get(note.values["attempt"])
        for revocation in run.revocations:
            begins = revocation.accepted_at + REVOKE_SECONDS
            if record is None or record.key != revocation.key:
                continue
            if begins < record.sent_at < revocation.restored_at:
                yield f"{record.attempt}: ran with a key that was taken away"


def _whole_groups(run: Run) -> Iterator[str]:
    ready: set[tuple[str, tuple[str, int]]] = set()
    for note in run.notes:
        if note.event == "state" and note.values["state"] == "ready":
            ready.add((note.engine, note.key))
        if note.event != "run" or note.key is None:
            continue
        members = note.values["members"]
        missing = [m for m in members if (m, note.key) not in ready]
        if len(members) != GROUP_SIZE or missing:
            yield f"{note.values['attempt']}: ran in a group that is not whole"


def _one_group(run: Run) -> Iterator[str]:
    phase: dict[tuple[str, int], tuple[str, str]] = {}
    for note in run.notes:
        if note.event == "state" and note.engine == note.values["members"][0]:
            phase[note.key] = (note.engine, note.values["state"])
        if note.event == "leave":
            phase.pop(note.key, None)
        if note.event == "start":
            # A process that starts holds nothing, also under a known id.
            phase = {k: v for k, v in phase.items() if v[0] != note.engine}
        if note.event == "join" and note.values["before"] is not None:
            before = tuple(note.values["before"])
            head, state = phase.get(before, ("", ""))
            is_other = before != note.key and head != note.engine
            if is_other and state in ("open", "closing") and _lives(run, head, note.at):
                yield f"{note.engine}: joined {note.key} while {before} was {state}"


def _lives(run: Run, engine: str, at: float) -> bool:
    """Tell whether an engine does anything after a moment."""
    return any(note.engine == engine and note.at > at for note in run.notes)


def _leaving_targets(run: Run) -> Iterator[str]:
    sent = {r.attempt: r for r in run.callers}
    accepted: dict[str, float] = {}
    for note in run.notes:
        if note.event == "draining accepted":
            accepted[note.engine] = note.at
        if note.event == "start":
            accepted.pop(note.engine, None)
        since = accepted.get(note.engine)
        if note.event != "run" or since is None:
            continue
        record = sent.get(note.values["attempt"])
        is_late = note.at > since + DRAIN_SECONDS + SLACK_SECONDS
        calm_from = since - CALM_SECONDS
        if record and is_late and _is_calm(run, record.node, calm_from, note.at):
            yield f"{record.attempt}: sent to an engine that leaves"


def _whole_openings(run: Run) -> Iterator[str]:
    """Find groups that opened long after a member had started anew."""
    ready: dict[tuple[str, tuple[str, int]], float] = {}
    started: dict[str, float] = {}
    for note in run.notes:
        if note.event == "start":
            started[note.engine] = note.at
        if note.event != "state":
            continue
        if note.values["state"] == "ready":
            ready[note.engine, note.key] = note.at
        if note.values["state"] != "open":
            continue
        for member in note.values["members"]:
            since = started.get(member, 0.0)
            is_known = since < note.at - NEWS_SECONDS
            if is_known and ready.get((member, note.key), -1.0) < since:
                if _is_heard(run, since - CALM_SECONDS, note.at):
                    yield f"{note.engine}: opened {note.key} without {member}"


def _foreign_entries(run: Run) -> Iterator[str]:
    for note in _runs(run):
        for entry in run.foreign:
            since = entry.written_at + NEWS_SECONDS
            if note.engine != entry.key or not since < note.at < entry.until:
                continue
            if _is_heard(run, entry.written_at - CALM_SECONDS, note.at):
                yield f"{note.values['attempt']}: sent by an entry of another writer"


def _others_hold(run: Run) -> Iterator[str]:
    """Find what was not served while nothing was wrong but entries of no engine."""
    changes = [d for d in run.disturbances if d.kind in DISREGARDED]
    for record in run.callers:
        if record.status == 200 and record.ending is Ending.WHOLE:
            continue
        is_near = any(d.began_at < record.sent_at < d.ended_at + 1.0 for d in changes)
        start = record.sent_at - SETTLED_SECONDS
        if is_near and _is_undisturbed(run, start, record.ended_at):
            yield f"{record.attempt}: not served beside an entry of no engine"


def _no_such_engines(run: Run) -> Iterator[str]:
    """Find what was sent to an engine that only another writer names."""
    engines = {note.engine for note in run.notes}
    for note in run.notes:
        wanted = note.values.get("wanted")
        if note.event == "misdirected" and wanted not in engines:
            yield f"{note.engine}: got what was meant for {wanted!r}"


def _contained(run: Run) -> Iterator[str]:
    """Find requests that went on to engines long after they had ended some."""
    sent = {record.attempt: record for record in run.callers}
    ended: dict[str, list[float]] = defaultdict(list)
    for note in run.notes:
        if note.event == "crash":
            ended[sent[note.values["attempt"]].content].append(note.at)
    for content, times in ended.items():
        if len(times) < FATAL_ENDINGS:
            continue
        since = sorted(times)[FATAL_ENDINGS - 1] + CALM_SECONDS
        again = {
            record.attempt
            for record in (sent.get(note.values["attempt"]) for note in _runs(run))
            if record is not None
            and record.content == content
            and record.sent_at > since
            and not _was_disturbed(run, record.node, record.sent_at)
        }
        if len(again) > FATAL_RETRIES:
            yield f"{content}: ended {len(times)} engines, sent {len(again)} times more"


def _rate_limits(run: Run) -> Iterator[str]:
    """Find engines that got more than the rate limit that they had named."""
    for engine in {note.engine for note in run.notes if note.event == "rate limit"}:
        notes = [note for note in run.notes if note.engine == engine]
        named: Note | None = None
        for note in notes:
            if note.event == "rate limit":
                named = note if note.values["limit"] is not None else None
            elif note.event == "start":
                named = None
            elif note.event == "arrival" and named is not None:
                found = _excess(run, notes, named, note.at)
                if found:
                    yield found
                    break


def _excess(run: Run, notes: list[Note], named: Note, at: float) -> str | None:
    """Say how many requests an engine got in the window up to a moment, if too many."""
    if at < named.at + LIMIT_SECONDS:
        return None
    nodes = {record.attempt: record.node for record in run.callers}
    told: dict[int, float] = {}
    counts: Counter[int] = Counter()
    for note in notes:
        node = nodes.get(note.values.get("attempt", ""))
        if note.event != "arrival" or node is None or note.at > at:
            continue
        if _was_disturbed(run, node, at):
            continue
        if note.at > named.at:
            told.setdefault(node, note.at)
        counts[node] += note.at > at - LIMIT_WINDOW_SECONDS
    count = sum(counts[n] for n, since in told.items() if since < at - SLACK_SECONDS)
    limit = named.values["limit"]
    if count <= LIMIT_SHARE * LIMIT_WINDOW_SECONDS * limit + LIMIT_BEYOND:
        return None
    return f"{named.engine}: named {limit} a second, got {count} requests"


def _backoffs(run: Run) -> Iterator[str]:
    """Find nodes that sent on to an engine which had asked them for backoff."""
    nodes = {record.attempt: record.node for record in run.callers}
    arrived: dict[tuple[str, int | None], list[float]] = defaultdict(list)
    for note in run.notes:
        if note.event == "arrival":
            arrived[note.engine, nodes.get(note.values["attempt"])].append(note.at)
    starts: dict[str, list[float]] = defaultdict(list)
    for note in run.notes:
        if note.event == "start":
            starts[note.engine].append(note.at)
    for note in run.notes:
        node = nodes.get(note.values.get("attempt", ""))
        if note.event != "turned away" or node is None:
            continue
        # A process that starts anew under the id has asked for nothing.
        later = [at for at in starts[note.engine] if at > note.at]
        end = min([note.at + note.values["seconds"], *later])
        since = note.at + SLACK_SECONDS
        count = sum(since < at < end for at in arrived[note.engine, node])
        if count > BACKOFF_REQUESTS and not _was_disturbed(run, node, end):
            yield f"{note.engine}: asked node {node} for backoff, got {count} requests"


def _told_of_leaving(run: Run) -> Iterator[str]:
    """Find requests to an engine of whose stop its answers had told that node."""
    sent = {record.attempt: record for record in run.callers}
    leaving: set[str] = set()
    told: dict[tuple[str, int], float] = {}
    for note in run.notes:
        if note.event == "draining":
            leaving.add(note.engine)
        if note.event == "start":
            leaving.discard(note.engine)
            told = {k: at for k, at in told.items() if k[0] != note.engine}
        record = sent.get(note.values.get("attempt", ""))
        if note.event != "arrival" or record is None or note.engine not in leaving:
            continue
        since = told.setdefault((note.engine, record.node), note.at + SLACK_SECONDS)
        is_late = record.sent_at > since + DRAIN_SECONDS
        if is_late and not _was_disturbed(run, record.node, note.at):
            yield f"{record.attempt}: sent to {note.engine}, which had said it leaves"


def _was_disturbed(run: Run, node: int, at: float) -> bool:
    """Tell whether a node itself was disturbed just before a moment."""
    return any(
        d.node == node and d.began_at < at and d.ended_at > at - CALM_SECONDS
        for d in run.disturbances
    )


def _bystanders(run: Run) -> Iterator[str]:
    """Find requests that only stood on engines which another one ended."""
    fatal = [d for d in run.disturbances if d.kind == FATAL_KIND]
    by_content: dict[str, list[CallerRecord]] = defaultdict(list)
    for record in run.callers:
        # What may not be repeated is lost with its engine, as its caller is told.
        if record.kind is not Kind.ONCE:
            by_content[record.content].append(record)
    for content, records in by_content.items():
        if any(r.status == 200 and r.ending is Ending.WHOLE for r in records):
            continue
        start, end = records[0].sent_at, records[-1].ended_at
        is_beside = any(d.began_at < start and end < d.ended_at for d in fatal)
        is_alone = not _disturbed_by(
            run, start - SETTLED_SECONDS, end, except_for=(FATAL_KIND, *DISREGARDED)
        )
        is_fatal = content.startswith(FATAL_BODY.decode())
        if len(records) > 1 and is_beside and is_alone and not is_fatal:
            yield f"{content}: asked {len(records)} times {BESIDE}"


def _graceful_stops(run: Run) -> Iterator[str]:
    ran = {note.values["attempt"] for note in _runs(run)}
    stops = [d for d in run.disturbances if d.kind == "node_stop"]
    by_node: dict[int, list[float]] = defaultdict(list)
    for stop in stops:
        if stop.node is not None:
            by_node[stop.node].append(stop.began_at)
    for record in run.callers:
        is_cut = record.ending in (Ending.CUT, Ending.NONE)
        if not is_cut or record.ended_at > record.deadline - TIMER_SECONDS:
            # What was too slow for its caller was not cut off by the stop.
            continue
        lasted = record.sent_at - CALM_SECONDS, record.ended_at
        is_near = any(
            at - SLACK_SECONDS < record.ended_at < at + STOP_SECONDS
            for at in by_node[record.node]
        )
        if record.attempt in ran and is_near and _is_planned(run, *lasted):
            yield f"{record.attempt}: cut off by a planned stop"


def _is_planned(run: Run, start: float, end: float) -> bool:
    """Tell whether nothing happened but what may cut no answer off."""
    return not _disturbed_by(run, start, end, except_for=HARMLESS)


def _is_undisturbed(run: Run, start: float, end: float) -> bool:
    """Tell whether nothing happened but what every process may disregard."""
    return not _disturbed_by(run, start, end, except_for=DISREGARDED)


def _is_calm(run: Run, node: int, start: float, end: float) -> bool:
    """Tell whether neither a node nor what all nodes share was disturbed."""
    return not any(
        d.began_at < end and d.ended_at > start
        for d in run.disturbances
        if d.node in (None, node)
        and (d.kind not in (STALL, *HARMLESS) or d.node == node)
    )


def _is_heard(run: Run, start: float, end: float) -> bool:
    """Tell whether nothing kept a node from the list of engines."""
    return not _disturbed_by(run, start, end, except_for=HEARD)


def _disturbed_by(
    run: Run, start: float, end: float, *, except_for: tuple[str, ...]
) -> bool:
    return any(
        d.began_at < end and d.ended_at > start
        for d in run.disturbances
        if d.kind not in except_for
    )
