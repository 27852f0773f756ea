"""Check the records of a run against the guarantees of the system.

Each check yields a line for each violation; the check of rate limits yields at most one
for an engine. Checks of time limits skip what happened close to a fault that may
explain it, except that of revoked keys, which applies during any fault. A disturbance
is an injected fault as recorded. An attempt is the id of one request as sent by a
caller; retries have the same content and other ids. In the journals, `arrival` means
that an engine received a request, and `run` that it began to run it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from mallowpond.platform import headers as names
from mallowpond.standins.observatory_engine import (
    FATAL_BODY,
    FATAL_PART,
    call_body,
    event_bytes,
)
from soak.losses import find_lost_answers, find_ordered_ends
from soak.records import (
    CallerRecord,
    Ending,
    JournalEntry,
    RequestKind,
    Revocation,
    Run,
)

GROUP_SIZE = 3
# Limits until no request is served with a revoked key or sent to a draining engine, in
# seconds.
REVOKE_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Limit until a change of the configuration is in force at every node, in seconds.
APPLY_SECONDS = 1.5
# Limit until no request or health check reaches an engine of an evacuated data centre,
# in seconds, and the disturbances that keep a node from learning of the evacuation.
EVACUATE_SECONDS = 5.0
UNINFORMED_KINDS = ("node", "store", "stall", "engine_restart_unheard")
# Time that links, timers and a busy machine may add to a limit, in seconds.
SLACK_SECONDS = 0.5
# Time by which a node may end an answer before its caller's deadline, in seconds: the
# request header carries the remaining time in whole milliseconds.
ROUNDING_SECONDS = 0.02
# Time after a disturbance during which time limits are not checked, in seconds.
RECOVERY_SECONDS = 3.0
# Time within which every node knows that another process has replaced an engine's
# entry, or that an engine has started, in seconds: several reads of the engine list and
# their latency.
PROPAGATION_SECONDS = 2.5
# Fault kinds: an engine announces a rate limit; an engine asks its callers for backoff.
RATE_LIMIT_KIND = "engine_need"
BACKOFF_KIND = "engine_shedding"
# A data centre is evacuated: its engines get nothing new.
EVACUATION_KIND = "evacuation"
# Nodes lose their links to the engines.
CUT_KINDS = ("links_some", "links_data_centre", "links_planner")
# Most new connections go to one node.
SKEW_KIND = "skew"
# Kinds of faults in which the store comes back from a copy. `twice`: two times in a
# row. `unheard`: the nodes' links to the store are cut meanwhile, and a key is revoked
# before they return. `lost`: a revocation, an evacuation and the stop of an engine are
# in the lost seconds. `ended`: the end of an evacuation is. `planner`: the planner is
# killed just before, and the members of a group in the lost seconds.
RESTORED_KIND = "store_restored"
RESTORED_TWICE_KIND = "store_restored_twice"
RESTORED_UNHEARD_KIND = "store_restored_unheard"
RESTORED_LOST_KIND = "store_restored_lost"
RESTORED_ENDED_KIND = "store_restored_ended"
RESTORED_PLANNER_KIND = "store_restored_planner"
RESTORED_START_KIND = "store_restored_start"
# Open connections to the store fall silent for good.
SILENCE_KIND = "store_silence"
RESTORED_KINDS = (
    RESTORED_KIND,
    RESTORED_TWICE_KIND,
    RESTORED_UNHEARD_KIND,
    RESTORED_LOST_KIND,
    RESTORED_ENDED_KIND,
    RESTORED_PLANNER_KIND,
    RESTORED_START_KIND,
)
# Many large bodies are sent to one node at the same time.
LARGE_BODIES_KIND = "large_bodies"
# Many callers of one node read large answers slowly.
SLOW_READERS_KIND = "slow_readers"
# Engines answer some requests of a node without end. A caller asks a node for a tunnel.
ENDLESS_KIND = "endless_answers"
CONNECT_KIND = "connect"
# Crowds of clients that misbehave come to a node.
CROWD_KIND = "crowd"
# Statuses and reason of requests that find no room.
NO_ROOM_STATUSES = (408, 503)
NO_ROOM_TEXT = b"bodies_exceed_memory"
# Time after the start of a skew from which as many requests must be served as before,
# in seconds, the share of the rate before, and the number of requests from which this
# is checked in both intervals.
SKEW_SECONDS = 3.0
SKEW_SERVED_SHARE = 0.75
MIN_SKEW_REQUESTS = 20
# Disturbances that must not affect any request.
NO_EFFECT_KINDS = ("reconfigure", "history", "foreign_entry")
# Disturbances that must not cut off an answer in progress.
NO_CUT_KINDS = (
    "node_stop",
    RATE_LIMIT_KIND,
    BACKOFF_KIND,
    EVACUATION_KIND,
    LARGE_BODIES_KIND,
    SLOW_READERS_KIND,
    ENDLESS_KIND,
    CONNECT_KIND,
    *NO_EFFECT_KINDS,
)
# Time after the last disturbance after which every request must be served, in seconds:
# groups are formed again, and restarted nodes know the others.
FULL_RECOVERY_SECONDS = 5.0
# A period in which the soak process itself was blocked, and with it every link. It may
# cut off an answer; time limits of seconds are still checked.
STALL_KIND = "stall"
# Disturbances that do not affect the nodes' reads of the engine list.
LIST_READABLE_KINDS = (
    "engine_kill",
    "engine_kill_pair",
    "engine_kill_domain",
    "engine_stop",
    "engine_restart",
    "engine_restart_twice",
    "engine_restart_forming",
    RATE_LIMIT_KIND,
    BACKOFF_KIND,
    EVACUATION_KIND,
    "foreign_entry_of_engine",
    "revoke",
    "revoke_all",
    STALL_KIND,
    *NO_EFFECT_KINDS,
)
# Time after its deadline within which a request must have ended, in seconds.
OVERDUE_SECONDS = 1.0
# Time after SIGTERM within which a node has ended, in seconds: 1 s more than its grace
# period.
STOP_SECONDS = 9.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Number of engines that one request may crash before it is quarantined, and how often
# it may still reach engines after the quarantine has spread.
FATAL_CRASHES = 3
MAX_FATAL_SENDS = 3
FATAL_KIND = "fatal_request"
# Number of engines that requests with one part may crash before it is quarantined, and
# the time after that in which further ones may still be sent, in seconds. Then as many
# may reach engines as of one request.
PART_CRASHES = 5
PART_SECONDS = 3.0
FATAL_PART_KIND = "fatal_part"
FATAL_KINDS = (FATAL_KIND, FATAL_PART_KIND)
# Time after the quarantine of a part from which sound streams that share other parts
# or the key of its requests are served as on a calm day, in seconds, the share of them
# that must be, and the number of them from which this is checked.
PART_BYSTANDER_SECONDS = 6.0
PART_SERVED_SHARE = 0.9
MIN_PART_BYSTANDERS = 20
# Time after an engine announces a rate limit until it is checked, and the window in
# which its requests are counted, both in seconds. Nodes that know the limit may send up
# to a multiple of it, and a fixed number of requests more.
LIMIT_GRACE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_ALLOWANCE = 5
# Requests that a cold engine may get in any one second, from all nodes together.
COLD_BOUND = 4
# Number of requests that a node may send to an engine that asked it for backoff.
MAX_BACKOFF_REQUESTS = 2
# Marks requests that were sent, and not served, while a fatal request was being sent.
BYSTANDER_TEXT = "beside a fatal request"
# Time after nodes have lost their links to the engines from which their callers must be
# served, in seconds, and the share of the other nodes' rate of served requests at which
# they must be. Below it, so many failures are allowed, and one in so many requests.
CUT_SECONDS = 3.0
CUT_SERVED_SHARE = 2.0 / 3.0
CUT_ALLOWED_FAILURES = 10
CUT_ALLOWED_FAILURE_EVERY = 50
WORKSPACES = {"key-a": "a", "key-b": "b"}


def find_violations(run: Run, *, timed: bool = True) -> list[str]:
    """Return a line for each violation; `timed` includes the time limits.

    `run.notes` are the entries of the engines' journals, which call workspaces tenants.
    """
    checks = (
        _check_answers,
        _check_at_most_once,
        _check_refusals,
        _check_workspaces,
        _check_complete_groups,
        _check_single_group,
        _check_formations,
        _check_misdirected,
        _check_containment,
        _check_part_containment,
        _check_part_bystanders,
        _check_bystanders,
        _check_exhaustion,
        _check_large_bodies,
    )
    if timed:
        checks += (
            _check_deadlines,
            _check_revoked_keys,
            _check_changes_in_time,
            _check_draining_targets,
            _check_graceful_stops,
            _check_group_openings,
            _check_foreign_entries,
            _check_unaffected_requests,
            _check_rate_limits,
            _check_backoffs,
            _check_cold_engines,
            _check_announced_stops,
            _check_evacuations,
            _check_cut_nodes,
            _check_skews,
            find_lost_answers,
            find_ordered_ends,
        )
    return [line for check in checks for line in check(run)]


def _expected_body(record: CallerRecord) -> bytes:
    if record.kind is not RequestKind.STREAM:
        return call_body(record.attempt, is_large=record.is_answer_large)
    numbers = range(1, record.events + 1)
    return b"".join(event_bytes(record.attempt, number) for number in numbers)


def _check_answers(run: Run) -> Iterator[str]:
    """Find answers with events that are missing, repeated or of another request."""
    for record in run.callers:
        if record.status != 200:
            continue
        expected = _expected_body(record)
        if record.headers.get(names.ATTEMPT) != record.attempt:
            yield f"{record.attempt}: the answer belongs to another request"
        if record.ending is Ending.WHOLE and record.body != expected:
            yield f"{record.attempt}: ended as whole, but is not"
        if not expected.startswith(record.body):
            yield f"{record.attempt}: events missing, doubled or mixed"


def _run_entries(run: Run) -> Iterator[JournalEntry]:
    return (entry for entry in run.notes if entry.event == "run")


def _check_at_most_once(run: Run) -> Iterator[str]:
    """Find requests of kind ONCE that ran more than once."""
    once = {r.attempt for r in run.callers if r.kind is RequestKind.ONCE}
    counts = Counter(entry.values["attempt"] for entry in _run_entries(run))
    for attempt in once:
        if counts[attempt] > 1:
            yield f"{attempt}: ran {counts[attempt]} times"


def _check_refusals(run: Run) -> Iterator[str]:
    """Find requests of kind ONCE that ran although they were refused."""
    ran = {entry.values["attempt"] for entry in _run_entries(run)}
    for record in run.callers:
        refused = record.status in NOT_RUN_STATUSES
        if refused and record.kind is RequestKind.ONCE and record.attempt in ran:
            yield f"{record.attempt}: answered {record.status}, and it ran"


def _check_workspaces(run: Run) -> Iterator[str]:
    """Find requests run for a wrong workspace, or passed on with the caller's key."""
    by_attempt = {r.attempt: r for r in run.callers}
    for entry in _run_entries(run):
        record = by_attempt.get(entry.values["attempt"])
        if record is None:
            yield f"{entry.values['attempt']}: no caller sent it"
        elif entry.values["tenant"] != WORKSPACES[record.key]:
            yield f"{record.attempt}: ran for workspace {entry.values['tenant']}"
        if entry.values["has_key"]:
            yield f"{entry.values['attempt']}: its key was passed on"


def _check_deadlines(run: Run) -> Iterator[str]:
    """Find requests that ended long after their deadline, or were never answered."""
    for record in run.callers:
        end = record.deadline + OVERDUE_SECONDS
        is_held = record.ending is Ending.HELD or record.ended_at > end
        if is_held and _is_node_undisturbed(
            run, record.node, record.sent_at - RECOVERY_SECONDS, end
        ):
            yield f"{record.attempt}: held beyond its deadline"


def _check_revoked_keys(run: Run) -> Iterator[str]:
    """Find requests that ran although their API key was revoked."""
    for revocation in run.revocations:
        for record in _ran_with_revoked_key(run, revocation, REVOKE_SECONDS):
            yield f"{record.attempt}: ran with a key that was taken away"


def _check_changes_in_time(run: Run) -> Iterator[str]:
    """Find requests that ran by a configuration replaced long before.

    Connections to the store that fall silent excuse nothing, as new ones work.
    """
    seconds = APPLY_SECONDS + SLACK_SECONDS
    for revocation in run.revocations:
        start = revocation.accepted_at - RECOVERY_SECONDS
        end = revocation.accepted_at + seconds
        if _is_disturbed(run, start, end, except_for=(SILENCE_KIND, *NO_EFFECT_KINDS)):
            continue
        for record in _ran_with_revoked_key(run, revocation, seconds):
            yield f"{record.attempt}: ran by a replaced configuration"


def _ran_with_revoked_key(
    run: Run, revocation: Revocation, seconds: float
) -> Iterator[CallerRecord]:
    """Find requests sent `seconds` after their key was revoked that ran."""
    by_attempt = {r.attempt: r for r in run.callers}
    for entry in _run_entries(run):
        record = by_attempt.get(entry.values["attempt"])
        if record is None or record.key != revocation.key:
            continue
        # Its node may have read a late request when the key was valid again.
        ends = revocation.restored_at
        ends -= SLACK_SECONDS if entry.at > revocation.restored_at else 0.0
        if revocation.accepted_at + seconds < record.sent_at < ends:
            yield record


def _check_complete_groups(run: Run) -> Iterator[str]:
    """Find requests that ran in a group of which a member was not ready."""
    ready: set[tuple[str, tuple[str, int]]] = set()
    for entry in run.notes:
        if entry.event == "state" and entry.values["state"] == "ready":
            ready.add((entry.engine, entry.group_key))
        if entry.event != "run" or entry.group_key is None:
            continue
        members = entry.values["members"]
        missing = [m for m in members if (m, entry.group_key) not in ready]
        if len(members) != GROUP_SIZE or missing:
            yield f"{entry.values['attempt']}: ran in a group that is not whole"


def _check_single_group(run: Run) -> Iterator[str]:
    """Find engines that left a serving group, whose head still ran, for another one.

    The head is the group's first member, which takes its requests.
    """
    head_states: dict[tuple[str, int], tuple[str, str]] = {}
    for entry in run.notes:
        if entry.event == "state" and entry.engine == entry.values["members"][0]:
            head_states[entry.group_key] = (entry.engine, entry.values["state"])
        if entry.event == "leave":
            head_states.pop(entry.group_key, None)
        if entry.event == "start":
            # A new process has no group, even if its engine id is a known one.
            head_states = {k: v for k, v in head_states.items() if v[0] != entry.engine}
        if entry.event == "join" and entry.values["before"] is not None:
            before = tuple(entry.values["before"])
            head, state = head_states.get(before, ("", ""))
            is_other = before != entry.group_key and head != entry.engine
            if (
                is_other
                and state in ("open", "closing")
                and _is_active_after(run, head, entry.at)
            ):
                yield (
                    f"{entry.engine}: joined {entry.group_key} "
                    f"while {before} was {state}"
                )


def _check_formations(run: Run) -> Iterator[str]:
    """Find two formations under one name and epoch, which two planners ordered."""
    members: dict[tuple[str, int], list[str]] = {}
    for entry in run.notes:
        if entry.event == "join" and entry.group_key is not None:
            known = members.setdefault(entry.group_key, entry.values["members"])
            if known != entry.values["members"]:
                yield f"{entry.engine}: {entry.group_key} ordered with other members"


def _is_active_after(run: Run, engine: str, at: float) -> bool:
    """Return whether the journal of an engine has entries after a time."""
    return any(entry.engine == engine and entry.at > at for entry in run.notes)


def _check_draining_targets(run: Run) -> Iterator[str]:
    """Find requests to an engine long after the store accepted its draining state."""
    by_attempt = {r.attempt: r for r in run.callers}
    accepted: dict[str, float] = {}
    for entry in run.notes:
        if entry.event == "draining accepted":
            accepted[entry.engine] = entry.at
        if entry.event == "start":
            accepted.pop(entry.engine, None)
        since = accepted.get(entry.engine)
        if entry.event != "run" or since is None:
            continue
        record = by_attempt.get(entry.values["attempt"])
        is_late = entry.at > since + DRAIN_SECONDS + SLACK_SECONDS
        undisturbed_from = since - RECOVERY_SECONDS
        if (
            record
            and is_late
            and _is_node_undisturbed(
                run,
                record.node,
                undisturbed_from,
                entry.at,
                known_since=since + DRAIN_SECONDS,
            )
        ):
            yield f"{record.attempt}: sent to an engine that leaves"


def _check_group_openings(run: Run) -> Iterator[str]:
    """Find groups that opened although a member had restarted and not rejoined."""
    ready: dict[tuple[str, tuple[str, int]], float] = {}
    started: dict[str, float] = {}
    for entry in run.notes:
        if entry.event == "start":
            started[entry.engine] = entry.at
        if entry.event != "state":
            continue
        if entry.values["state"] == "ready":
            ready[entry.engine, entry.group_key] = entry.at
        if entry.values["state"] != "open":
            continue
        for member in entry.values["members"]:
            since = started.get(member, 0.0)
            is_known = since < entry.at - PROPAGATION_SECONDS
            if is_known and ready.get((member, entry.group_key), -1.0) < since:
                if _is_list_readable(run, since - RECOVERY_SECONDS, entry.at):
                    yield f"{entry.engine}: opened {entry.group_key} without {member}"


def _check_foreign_entries(run: Run) -> Iterator[str]:
    """Find requests sent because of an engine entry that another writer replaced."""
    for entry in _run_entries(run):
        for foreign in run.foreign:
            since = foreign.written_at + PROPAGATION_SECONDS
            if entry.engine != foreign.key or not since < entry.at < foreign.until:
                continue
            if _is_list_readable(run, foreign.written_at - RECOVERY_SECONDS, entry.at):
                yield f"{entry.values['attempt']}: sent by an entry of another writer"


def _check_unaffected_requests(run: Run) -> Iterator[str]:
    """Find requests that failed during disturbances that must not affect any."""
    # Foreign entries under the id of no engine, new configurations, losses of the
    # store's history.
    changes = [d for d in run.disturbances if d.kind in NO_EFFECT_KINDS]
    for record in run.callers:
        if record.status == 200 and record.ending is Ending.WHOLE:
            continue
        is_during_change = any(
            d.began_at < record.sent_at < d.ended_at + 1.0 for d in changes
        )
        start = record.sent_at - FULL_RECOVERY_SECONDS
        if is_during_change and _is_undisturbed(run, start, record.ended_at):
            yield f"{record.attempt}: not served beside an entry of no engine"


def _check_exhaustion(run: Run) -> Iterator[str]:
    """Find nodes that exceeded their memory or their descriptors."""
    for found in run.exhaustions:
        yield f"node {found.node}: {found.what} exceeded, {found.used} used"


def _check_large_bodies(run: Run) -> Iterator[str]:
    """Find large requests without an answer, and small ones refused for them."""
    for record in run.callers:
        if not record.padding:
            if NO_ROOM_TEXT in record.body:
                yield f"{record.attempt}: refused for large ones"
            continue
        if record.status in NO_ROOM_STATUSES and record.ending is Ending.WHOLE:
            if record.status == 503 and names.RETRY_AFTER not in record.headers:
                yield f"{record.attempt}: refused without a time to come back"
            continue
        start = record.sent_at - RECOVERY_SECONDS
        is_calm = _is_node_undisturbed(run, record.node, start, record.ended_at)
        if is_calm and record.ending is not Ending.WHOLE:
            yield f"{record.attempt}: a large request got no whole answer"


def _check_misdirected(run: Run) -> Iterator[str]:
    """Find requests meant for an engine that exists only in a foreign entry."""
    engines = {entry.engine for entry in run.notes}
    for entry in run.notes:
        intended = entry.values.get("wanted")
        if entry.event == "misdirected" and intended not in engines:
            yield f"{entry.engine}: got what was meant for {intended!r}"


def _check_containment(run: Run) -> Iterator[str]:
    """Find requests that still reach engines long after they crashed several."""
    by_attempt = {record.attempt: record for record in run.callers}
    crash_times: dict[str, list[float]] = defaultdict(list)
    for entry in run.notes:
        if entry.event == "crash":
            crash_times[by_attempt[entry.values["attempt"]].content].append(entry.at)
    for content, times in crash_times.items():
        if len(times) < FATAL_CRASHES:
            continue
        since = sorted(times)[FATAL_CRASHES - 1] + RECOVERY_SECONDS
        late_sends = {
            record.attempt
            for record in (
                by_attempt.get(entry.values["attempt"]) for entry in _run_entries(run)
            )
            if record is not None
            and record.content == content
            and record.sent_at > since
            and not _was_disturbed(run, record.node, record.sent_at)
        }
        if len(late_sends) > MAX_FATAL_SENDS:
            yield (
                f"{content}: ended {len(times)} engines, "
                f"sent {len(late_sends)} times more"
            )


def _part_crashes(run: Run) -> dict[str, list[float]]:
    """Return the times at which engines crashed under requests with each fatal part."""
    parts = {r.attempt: r.parts[:-1] for r in run.callers}
    fatal = {part for sent in run.fatal_parts for part in sent.parts}
    crashes: dict[str, list[float]] = defaultdict(list)
    for entry in run.notes:
        if entry.event == "crash":
            for part in fatal.intersection(parts[entry.values["attempt"]]):
                crashes[part].append(entry.at)
    return crashes


def _check_part_containment(run: Run) -> Iterator[str]:
    """Find fatal parts that still reach engines long after they crashed several."""
    by_attempt = {record.attempt: record for record in run.callers}
    for part, times in _part_crashes(run).items():
        if len(times) < PART_CRASHES:
            continue
        since = sorted(times)[PART_CRASHES - 1] + PART_SECONDS
        late_sends = [
            entry.values["attempt"]
            for entry in run.notes
            if entry.event == "arrival"
            and (record := by_attempt.get(entry.values["attempt"])) is not None
            and part in record.parts
            and record.sent_at > since
            and not _was_disturbed(run, record.node, record.sent_at)
        ]
        if len(late_sends) > MAX_FATAL_SENDS:
            yield (
                f"part {part}: ended {len(times)} engines, "
                f"sent {len(late_sends)} times more"
            )


def _check_part_bystanders(run: Run) -> Iterator[str]:
    """Find sound streams that are not served beside a quarantined part.

    They share a key or sound parts with the requests that crash engines.
    """
    crashes = _part_crashes(run)
    for sent in run.fatal_parts:
        times = [at for p in sent.parts for at in sorted(crashes[p])[:PART_CRASHES]]
        since = max(times, default=sent.began_at) + PART_BYSTANDER_SECONDS
        beside = [
            record
            for record in run.callers
            if since < record.sent_at < sent.ended_at
            and record.kind is RequestKind.STREAM
            and record.is_first_attempt
            and not any(part.startswith(FATAL_PART) for part in record.parts[:-1])
            and sent.companions.intersection((*record.parts, record.key))
            and not _is_disturbed(
                run,
                record.sent_at - FULL_RECOVERY_SECONDS,
                record.ended_at,
                except_for=(FATAL_PART_KIND, *NO_EFFECT_KINDS),
            )
        ]
        served = sum(_is_served(record) for record in beside)
        if len(beside) >= MIN_PART_BYSTANDERS:
            if served < PART_SERVED_SHARE * len(beside):
                yield (
                    f"beside parts {list(sent.parts)}: served {served} of "
                    f"{len(beside)} sound streams at the first attempt"
                )


def _check_rate_limits(run: Run) -> Iterator[str]:
    """Find engines that got more requests than their announced rate limit."""
    for engine in {entry.engine for entry in run.notes if entry.event == "rate limit"}:
        entries = [entry for entry in run.notes if entry.engine == engine]
        limit_entry: JournalEntry | None = None
        for entry in entries:
            if entry.event == "rate limit":
                limit_entry = entry if entry.values["limit"] is not None else None
            elif entry.event == "start":
                limit_entry = None
            elif entry.event == "arrival" and limit_entry is not None:
                found = _find_excess(run, entries, limit_entry, entry.at)
                if found:
                    yield found
                    break


def _find_excess(
    run: Run, entries: list[JournalEntry], limit_entry: JournalEntry, at: float
) -> str | None:
    """Return a violation if the window that ends at `at` holds too many requests.

    Counted are the requests of those nodes that were undisturbed and have sent a
    request since the announcement.
    """
    if at < limit_entry.at + LIMIT_GRACE_SECONDS:
        return None
    nodes = {record.attempt: record.node for record in run.callers}
    first_seen: dict[int, float] = {}
    counts: Counter[int] = Counter()
    for entry in entries:
        node = nodes.get(entry.values.get("attempt", ""))
        if entry.event != "arrival" or node is None or entry.at > at:
            continue
        if _was_disturbed(run, node, at):
            continue
        if entry.at > limit_entry.at:
            first_seen.setdefault(node, entry.at)
        counts[node] += entry.at > at - LIMIT_WINDOW_SECONDS
    count = sum(
        counts[n] for n, since in first_seen.items() if since < at - SLACK_SECONDS
    )
    limit = limit_entry.values["limit"]
    if count <= LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * limit + LIMIT_ALLOWANCE:
        return None
    return f"{limit_entry.engine}: named {limit} a second, got {count} requests"


def _check_backoffs(run: Run) -> Iterator[str]:
    """Find nodes that kept sending to an engine that asked them for backoff.

    `turned away` in the journal: the engine refused a request and asked for backoff.
    """
    nodes = {record.attempt: record.node for record in run.callers}
    arrived: dict[tuple[str, int | None], list[float]] = defaultdict(list)
    for entry in run.notes:
        if entry.event == "arrival":
            arrived[entry.engine, nodes.get(entry.values["attempt"])].append(entry.at)
    starts: dict[str, list[float]] = defaultdict(list)
    for entry in run.notes:
        if entry.event == "start":
            starts[entry.engine].append(entry.at)
    for entry in run.notes:
        node = nodes.get(entry.values.get("attempt", ""))
        if entry.event != "turned away" or node is None:
            continue
        # A restart under the same id ends the backoff: the new process asked for none.
        later = [at for at in starts[entry.engine] if at > entry.at]
        end = min([entry.at + entry.values["seconds"], *later])
        since = entry.at + SLACK_SECONDS
        count = sum(since < at < end for at in arrived[entry.engine, node])
        if count > MAX_BACKOFF_REQUESTS and not _was_disturbed(run, node, end):
            yield f"{entry.engine}: asked node {node} for backoff, got {count} requests"


def _check_cold_engines(run: Run) -> Iterator[str]:
    """Find cold engines that got more requests in one second than the bound.

    An engine with a new id must never get more. Nodes hear of one that started again
    under its id, or is cold again, from the list: they have PROPAGATION_SECONDS.
    """
    arrivals: dict[str, list[float]] = defaultdict(list)
    known: set[str] = set()
    for entry in run.notes:
        if entry.event == "arrival":
            arrivals[entry.engine].append(entry.at)
    for entry in run.notes:
        if entry.event != "cold":
            continue
        delay = PROPAGATION_SECONDS if entry.engine in known else 0.0
        known.add(entry.engine)
        end = entry.at + entry.values["seconds"]
        times = [at for at in arrivals[entry.engine] if entry.at + delay < at < end]
        counts = (sum(at <= t < at + 1.0 for t in times) for at in times)
        most = max(counts, default=0)
        if most > COLD_BOUND:
            yield f"{entry.engine}: cold, got {most} requests in a second"


def _check_announced_stops(run: Run) -> Iterator[str]:
    """Find requests from a node to an engine whose answers announced its stop."""
    by_attempt = {record.attempt: record for record in run.callers}
    leaving: set[str] = set()
    first_seen: dict[tuple[str, int], float] = {}
    for entry in run.notes:
        if entry.event == "draining":
            leaving.add(entry.engine)
        if entry.event == "start":
            leaving.discard(entry.engine)
            first_seen = {k: at for k, at in first_seen.items() if k[0] != entry.engine}
        record = by_attempt.get(entry.values.get("attempt", ""))
        if entry.event != "arrival" or record is None or entry.engine not in leaving:
            continue
        since = first_seen.setdefault(
            (entry.engine, record.node), entry.at + SLACK_SECONDS
        )
        is_late = record.sent_at > since + DRAIN_SECONDS
        if is_late and not _was_disturbed(run, record.node, entry.at):
            yield f"{record.attempt}: sent to {entry.engine}, which had said it leaves"


def _check_evacuations(run: Run) -> Iterator[str]:
    """Find what reached engines of a data centre long after it was evacuated."""
    nodes = {record.attempt: record.node for record in run.callers}
    data_centres = {
        entry.engine: entry.values.get("data_centre")
        for entry in run.notes
        if entry.event == "start"
    }
    for entry in run.notes:
        if entry.event not in ("arrival", "health check"):
            continue
        # A health check does not tell which node sent it.
        node = nodes.get(entry.values.get("attempt", ""))
        for evacuation in run.evacuations:
            since = evacuation.accepted_at + EVACUATE_SECONDS + SLACK_SECONDS
            if data_centres.get(entry.engine) != evacuation.data_centre:
                continue
            if since < entry.at < evacuation.ended_at and not any(
                d.kind.startswith(UNINFORMED_KINDS)
                and not (d.kind in RESTORED_KINDS and d.began_at > since)
                and (node is None or d.node in (None, node))
                and d.began_at < entry.at
                and d.ended_at > evacuation.accepted_at - RECOVERY_SECONDS
                for d in run.disturbances
            ):
                what = entry.values.get("attempt", entry.event)
                yield f"{what}: reached {entry.engine}, whose data centre is evacuated"


def _was_disturbed(run: Run, node: int, at: float) -> bool:
    """Return whether this node had a disturbance of its own just before a time.

    Disturbances without a node are not considered.
    """
    return any(
        d.node == node and d.began_at < at and d.ended_at > at - RECOVERY_SECONDS
        for d in run.disturbances
    )


def _check_bystanders(run: Run) -> Iterator[str]:
    """Find requests that were never served because another one crashed engines.

    These requests are the bystanders of the fatal one.
    """
    fatal = [d for d in run.disturbances if d.kind == FATAL_KIND]
    by_content: dict[str, list[CallerRecord]] = defaultdict(list)
    for record in run.callers:
        # A request that must not be repeated may fail with its engine; its caller is
        # told that the outcome is unknown.
        if record.kind is not RequestKind.ONCE:
            by_content[record.content].append(record)
    for content, records in by_content.items():
        if any(r.status == 200 and r.ending is Ending.WHOLE for r in records):
            continue
        start, end = records[0].sent_at, records[-1].ended_at
        is_during_fatal = any(d.began_at < start and end < d.ended_at for d in fatal)
        is_otherwise_undisturbed = not _is_disturbed(
            run,
            start - FULL_RECOVERY_SECONDS,
            end,
            except_for=(FATAL_KIND, *NO_EFFECT_KINDS),
        )
        is_fatal = content.startswith(FATAL_BODY.decode())
        if (
            len(records) > 1
            and is_during_fatal
            and is_otherwise_undisturbed
            and not is_fatal
        ):
            yield f"{content}: asked {len(records)} times {BYSTANDER_TEXT}"


def _check_graceful_stops(run: Run) -> Iterator[str]:
    """Find answers that a planned stop of their node cut off."""
    ran = {entry.values["attempt"] for entry in _run_entries(run)}
    stops = [d for d in run.disturbances if d.kind == "node_stop"]
    by_node: dict[int, list[float]] = defaultdict(list)
    for stop in stops:
        if stop.node is not None:
            by_node[stop.node].append(stop.began_at)
    for record in run.callers:
        is_cut = record.ending in (Ending.CUT, Ending.NONE)
        if not is_cut or record.ended_at > record.deadline - ROUNDING_SECONDS:
            # The answer was not cut off, or its deadline ended it and not the stop.
            continue
        span = record.sent_at - RECOVERY_SECONDS, record.ended_at
        is_after_stop = any(
            at - SLACK_SECONDS < record.ended_at < at + STOP_SECONDS
            for at in by_node[record.node]
        )
        if record.attempt in ran and is_after_stop and _is_without_cuts(run, *span):
            yield f"{record.attempt}: cut off by a planned stop"


def _check_cut_nodes(run: Run) -> Iterator[str]:
    """Find cuts in which the callers of cut nodes were served far less than others."""
    for cut in run.cuts:
        start, end = cut.began_at + CUT_SECONDS, cut.ended_at
        sent = [
            r
            for r in run.callers
            if start < r.sent_at < end
            and _is_node_undisturbed(
                run, r.node, r.sent_at - RECOVERY_SECONDS, r.ended_at, CUT_KINDS
            )
        ]
        served = {True: 0, False: 0}
        count = {True: 0, False: 0}
        for record in sent:
            is_cut = record.node in cut.nodes
            if not is_cut and _is_cut(run, record):
                continue
            count[is_cut] += 1
            served[is_cut] += record.status == 200 and record.ending is Ending.WHOLE
        failed = count[True] - served[True]
        allowed = CUT_ALLOWED_FAILURES + len(sent) / CUT_ALLOWED_FAILURE_EVERY
        expected = CUT_SERVED_SHARE * served[False] / max(1, count[False])
        if failed > allowed and served[True] < expected * count[True]:
            yield (
                f"nodes {list(cut.nodes)} without links to the engines served "
                f"{served[True]} of {count[True]}, the others {served[False]} of "
                f"{count[False]}"
            )


def _check_skews(run: Run) -> Iterator[str]:
    """Find intervals in which requests failed as most came to one node."""
    for skew in run.skews:
        before = _first_attempts(run, skew.began_at - RECOVERY_SECONDS, skew.began_at)
        during = _first_attempts(run, skew.began_at + SKEW_SECONDS, skew.ended_at)
        if min(len(before), len(during)) < MIN_SKEW_REQUESTS:
            continue
        served = [sum(_is_served(r) for r in records) for records in (before, during)]
        expected = SKEW_SERVED_SHARE * served[0] / len(before)
        if served[1] < expected * len(during):
            yield (
                f"most connections at one node: served {served[1]} of {len(during)} "
                f"at the first attempt, {served[0]} of {len(before)} before"
            )


def _first_attempts(run: Run, start: float, end: float) -> list[CallerRecord]:
    """Return the first attempts of an interval that a node has read.

    Without those beside disturbances other than a planned stop.
    """
    return [
        record
        for record in run.callers
        if start < record.sent_at < end
        and record.is_first_attempt
        and not (record.status == 0 and record.ending is Ending.NONE)
        and not _is_disturbed(
            run,
            record.sent_at - FULL_RECOVERY_SECONDS,
            record.ended_at,
            except_for=("node_stop", *NO_EFFECT_KINDS),
        )
    ]


def _is_served(record: CallerRecord) -> bool:
    return record.status == 200 and record.ending is Ending.WHOLE


def _is_cut(run: Run, record: CallerRecord) -> bool:
    """Return whether a request's node had no links to the engines meanwhile."""
    return any(
        record.node in cut.nodes
        and cut.began_at < record.ended_at
        and cut.ended_at > record.sent_at
        for cut in run.cuts
    )


def _is_without_cuts(run: Run, start: float, end: float) -> bool:
    """Return whether the interval has only disturbances that must not cut answers."""
    return not _is_disturbed(run, start, end, except_for=NO_CUT_KINDS)


def _is_undisturbed(run: Run, start: float, end: float) -> bool:
    """Return whether the interval has only disturbances without effect."""
    return not _is_disturbed(run, start, end, except_for=NO_EFFECT_KINDS)


def _is_node_undisturbed(
    run: Run,
    node: int,
    start: float,
    end: float,
    except_for: tuple[str, ...] = (),
    known_since: float = float("inf"),
) -> bool:
    """Return whether the node had no disturbance, nor the fleet one that may affect it.

    Stalls and kinds that cut off no answer count only if they are of this node. All
    others without a node count, such as engine faults. What the node has known since a
    time holds also when the store comes back from a copy after that.
    """
    return not any(
        d.began_at < end and d.ended_at > start
        for d in run.disturbances
        if d.node in (None, node)
        and d.kind not in except_for
        and not (d.kind in RESTORED_KINDS and d.began_at > known_since)
        and (d.kind not in (STALL_KIND, *NO_CUT_KINDS) or d.node == node)
    )


def _is_list_readable(run: Run, start: float, end: float) -> bool:
    """Return whether all nodes could read the engine list throughout."""
    return not _is_disturbed(run, start, end, except_for=LIST_READABLE_KINDS)


def _is_disturbed(
    run: Run, start: float, end: float, *, except_for: tuple[str, ...]
) -> bool:
    return any(
        d.began_at < end and d.ended_at > start
        for d in run.disturbances
        if d.kind not in except_for
    )
