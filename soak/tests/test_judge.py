"""Tests that each check of the soak reports its violation, and nothing else."""

from dataclasses import replace

import pytest

from mallowpond.standins.observatory_engine import call_body, event_bytes
from soak.judge import find_violations
from soak.records import (
    CallerRecord,
    Disturbance,
    Ending,
    EngineEnd,
    EnginePause,
    Evacuation,
    FatalParts,
    ForeignEntry,
    JournalEntry,
    LinkCut,
    RequestKind,
    Revocation,
    Run,
    Skew,
)

MEMBERS = ["e0", "e1", "e2"]


def entry(event, at=10.0, engine="e0", **values):
    """Return an entry of the journal of an engine."""
    return JournalEntry(at=at, engine=engine, event=event, values=values)


def run_entry(attempt="q", at=10.1, engine="p0", **values):
    """Return the journal entry of an engine that runs a request."""
    place = {"group": None, "epoch": None, "members": None}
    expected = {"attempt": attempt, "tenant": "a", "has_key": False, **place, **values}
    return entry("run", at=at, engine=engine, **expected)


def record(kind=RequestKind.ONCE, **more):
    """Return a request with a complete answer; `more` replaces fields."""
    body = call_body("q")
    if kind is RequestKind.STREAM:
        body = event_bytes("q", 1) + event_bytes("q", 2)
    answered = CallerRecord(
        attempt="q",
        kind=kind,
        key="key-a",
        node=0,
        events=2,
        sent_at=10.0,
        deadline=11.5,
        status=200,
        headers={"x-mallowpond-attempt-id": "q"},
        body=body,
        ending=Ending.WHOLE,
        ended_at=10.2,
    )
    return replace(answered, **more)


def run_of(*records, notes=(), disturbances=(), revocations=(), foreign=()):
    """Return a run with these records."""
    return Run(
        callers=records,
        notes=tuple(notes),
        disturbances=disturbances,
        revocations=revocations,
        foreign=foreign,
    )


READY = [
    entry("state", 9.0, e, group="g", epoch=1, state="ready", members=MEMBERS)
    for e in MEMBERS
]
OPEN = entry("state", 9.1, group="g", epoch=1, state="open", members=MEMBERS)
IN_GROUP = {"group": "g", "epoch": 1, "members": MEMBERS, "engine": "e0"}
REVOKED = Revocation(key="key-a", accepted_at=5.0, restored_at=20.0)
SILENCED = Disturbance(kind="store_silence", began_at=4.0, ended_at=7.0)
RESTORED_KEY = replace(REVOKED, restored_at=10.02)
STORE_RESTORED = Disturbance(kind="store_restored", began_at=8.0, ended_at=9.0)
JOINED = entry("join", 10.0, "e1", group="h", epoch=2, members=["e1"], before=["g", 1])
OTHER_MEMBERS = {**JOINED.values, "members": ["e2"]}
LEAVING = entry("draining accepted", 5.0, "p0")
STOPPED = Disturbance(kind="node_stop", began_at=9.9, ended_at=14.0, node=0)
REFUSED = {"status": 503, "headers": {}, "body": b""}
UNREAD = {"status": 0, "headers": {}, "body": b"", "ending": Ending.NONE}
CUT = {"ending": Ending.CUT, "body": event_bytes("q", 1)}
RECONFIGURED = Disturbance(kind="reconfigure", began_at=9.8, ended_at=9.9)
KILLED = Disturbance(kind="engine_kill", began_at=9.0, ended_at=11.0)
STALLED = Disturbance(kind="stall", began_at=9.95, ended_at=10.1)
RESTARTED = entry("start", 9.05, "e1", born=2)
REJOINED = entry("state", 9.5, "e1", group="g", epoch=1, state="ready", members=MEMBERS)
LEFT = entry("leave", 12.0, group="g", epoch=1)
REOPENED = entry("state", 13.0, group="g", epoch=1, state="open", members=MEMBERS)
FOREIGN = ForeignEntry(key="p0", written_at=5.0, until=12.0)
NO_ENGINE = Disturbance(kind="foreign_entry", began_at=9.0, ended_at=12.0)
STORE_CUT = Disturbance(kind="store_link", began_at=4.0, ended_at=6.0, node=1)
MISDIRECTED = entry("misdirected", wanted="no id")
FATAL_BESIDE = Disturbance(kind="fatal_request", began_at=0.0, ended_at=60.0)
RESTARTED_NODE = Disturbance(kind="node_kill", began_at=19.0, ended_at=21.0, node=0)
FAILED = {"status": 502, "headers": {}, "body": b""}


def fatal(*times):
    """Return the records and entries of a request that crashes engines at `times`."""
    records = [
        record(
            **FAILED,
            attempt=f"f{at}",
            content="fatal 1",
            sent_at=at,
            ended_at=at,
            deadline=at + 1.5,
        )
        for at in times
    ]
    lines = [run_entry(f"f{at}", at) for at in times]
    lines += [entry("crash", at + 0.1, attempt=f"f{at}") for at in times]
    return records, lines


def fatal_run(*times, **more):
    """Return a run with a request that crashes engines at `times`."""
    records, lines = fatal(*times)
    return run_of(*records, notes=lines, **more)


def resent(*, sent_at, **more):
    """Return one attempt of a request that its caller sends several times."""
    times = {"sent_at": sent_at, "ended_at": sent_at, "deadline": sent_at + 1.5}
    return record(RequestKind.AGAIN, content="c", **times, **more)


FATAL_PARTS = FatalParts(
    parts=("dead1",),
    companions=frozenset({"a0", "key-a"}),
    began_at=10.0,
    ended_at=60.0,
)


def part_run(*times, served=0, failed=0, beside=30.0, **more):
    """Return a run with streams of a part that crash engines at `times`.

    Sound streams that share another part are sent from `beside` seconds on.
    """
    records = [
        record(
            RequestKind.STREAM,
            **FAILED,
            attempt=f"f{at}",
            parts=("a0", "dead1", f"f{at}"),
            sent_at=at,
            ended_at=at,
            deadline=at + 1.5,
        )
        for at in times
    ]
    notes = [entry("arrival", at, attempt=f"f{at}") for at in times]
    notes += [entry("crash", at + 0.1, attempt=f"f{at}") for at in times]
    for number in range(served + failed):
        at = beside + number / 10.0
        sound = record(
            RequestKind.STREAM,
            attempt=f"s{number}",
            parts=("a0", f"s{number}"),
            sent_at=at,
            ended_at=at + 0.2,
            deadline=at + 1.5,
            headers={"x-mallowpond-attempt-id": f"s{number}"},
            body=event_bytes(f"s{number}", 1) + event_bytes(f"s{number}", 2),
        )
        records.append(sound if number < served else replace(sound, **REFUSED))
    run = run_of(*records, notes=notes, **more)
    return replace(run, fatal_parts=(FATAL_PARTS,))


def skewed_run(*, served, failed, unread=0):
    """Return a run whose requests were all served before a skew, then only some."""

    def sent(at, **more):
        return record(sent_at=at, ended_at=at + 0.1, deadline=at + 1.5, **more)

    kinds = [{}] * served + [REFUSED] * failed + [UNREAD] * unread
    records = [sent(10.0 + n / 10) for n in range(25)]
    records += [sent(16.0 + n / 10, **kind) for n, kind in enumerate(kinds)]
    skew = Skew(began_at=12.7, ended_at=30.0)
    return replace(run_of(*records), skews=(skew,))


VALID_RUNS = [
    skewed_run(served=24, failed=7),
    skewed_run(served=24, failed=0, unread=30),
    # Found at the fifth end, and tried a few times later.
    part_run(10.0, 11.0, 12.0, 12.5, 13.0, 13.5, 14.0, 30.0, 40.0, 50.0),
    part_run(10.0, 11.0, 12.0, 12.5, 30.0, 31.0, 32.0, 33.0),
    part_run(10.0, 11.0, 12.0, served=28, failed=2),
    part_run(10.0, 11.0, 12.0, served=10, failed=9),
    part_run(10.0, 11.0, 12.0, failed=30, beside=13.0),
    # Sent until the hosts know that it crashes engines, and a few times after.
    fatal_run(10.0, 11.0, 12.0, 12.5, 13.0, 14.0, 15.0, 20.0, 20.1, 20.2),
    fatal_run(10.0, 11.0, 20.0, 20.1, 20.2),
    fatal_run(
        10.0,
        11.0,
        12.0,
        *(20.0 + n / 10 for n in range(4)),
        disturbances=(RESTARTED_NODE,),
    ),
    run_of(
        resent(sent_at=10.0, **FAILED),
        resent(sent_at=11.0, **REFUSED),
        resent(sent_at=12.0),
        notes=[run_entry(), run_entry()],
        disturbances=(FATAL_BESIDE,),
    ),
    run_of(record(), notes=[run_entry()]),
    run_of(record(RequestKind.STREAM), notes=[*READY, OPEN, run_entry(**IN_GROUP)]),
    run_of(record(**REFUSED)),
    run_of(record(RequestKind.AGAIN), notes=[run_entry(), run_entry()]),
    run_of(record(**CUT, kind=RequestKind.STREAM), notes=[run_entry()]),
    run_of(
        record(**CUT, kind=RequestKind.STREAM, ended_at=11.49),
        notes=[run_entry()],
        disturbances=(STOPPED,),
    ),
    # The kill of an engine, not the stop, may have cut off the answer.
    run_of(
        record(**CUT, kind=RequestKind.STREAM),
        notes=[run_entry()],
        disturbances=(STOPPED, KILLED),
    ),
    run_of(
        record(**CUT, kind=RequestKind.STREAM),
        notes=[run_entry()],
        disturbances=(STOPPED, STALLED),
    ),
    # A member that restarted just before the group opened, or has rejoined.
    run_of(notes=[*READY, RESTARTED, OPEN]),
    run_of(
        notes=[
            *READY,
            RESTARTED,
            REJOINED,
            REOPENED,
        ]
    ),
    # The restart of a head under the same id ends its group.
    run_of(
        notes=[
            *READY,
            OPEN,
            entry("start", 9.5),
            JOINED,
            LEFT,
        ]
    ),
    run_of(record(), notes=[LEAVING, entry("start", 9.0, "p0"), run_entry()]),
    # Before nodes know of the foreign entry, and after the engine's own replaced it.
    run_of(record(), notes=[run_entry(at=7.0)], foreign=(FOREIGN,)),
    run_of(record(), notes=[run_entry(at=12.5)], foreign=(FOREIGN,)),
    run_of(
        record(), notes=[run_entry()], foreign=(FOREIGN,), disturbances=(STORE_CUT,)
    ),
    run_of(record(**REFUSED), disturbances=(NO_ENGINE, KILLED)),
    run_of(notes=[entry("start", 1.0, "e9"), entry("misdirected", wanted="e9")]),
    # The key may have been valid again when its node read the request.
    run_of(record(), notes=[run_entry()], revocations=(RESTORED_KEY,)),
    # The store lost the announcement before the nodes had to know it.
    run_of(
        record(),
        notes=[LEAVING, run_entry()],
        disturbances=(replace(STORE_RESTORED, began_at=6.5),),
    ),
]
VIOLATIONS = [
    ("4 times more", fatal_run(10.0, 11.0, 12.0, *(20.0 + n / 10 for n in range(4)))),
    ("sent 4 times more", part_run(*(10.0 + n / 5 for n in range(5)), 20, 30, 40, 50)),
    ("served 26 of 30", part_run(10.0, 11.0, 12.0, served=26, failed=4)),
    ("served 0 of 20", part_run(10.0, failed=20)),
    ("served 20 of 30 at the first", skewed_run(served=20, failed=10)),
    (
        "beside a fatal request",
        run_of(
            resent(sent_at=10.0, **FAILED),
            resent(sent_at=11.0, **REFUSED),
            disturbances=(FATAL_BESIDE,),
        ),
    ),
    ("another request", run_of(record(headers={}), notes=[run_entry()])),
    ("is not", run_of(record(body=b""), notes=[run_entry()])),
    ("missing, doubled", run_of(record(**{**CUT, "body": b"x"}), notes=[run_entry()])),
    ("ran 2 times", run_of(record(), notes=[run_entry(), run_entry()])),
    ("and it ran", run_of(record(**REFUSED), notes=[run_entry()])),
    ("no caller", run_of(notes=[run_entry()])),
    ("for workspace", run_of(record(), notes=[run_entry(tenant="b")])),
    ("key was passed", run_of(record(), notes=[run_entry(has_key=True)])),
    ("held beyond", run_of(record(ended_at=14.0), notes=[run_entry()])),
    ("taken away", run_of(record(), notes=[run_entry()], revocations=(REVOKED,))),
    ("by a replaced", run_of(record(), notes=[run_entry()], revocations=(REVOKED,))),
    (
        "by a replaced",
        run_of(
            record(sent_at=7.2),
            notes=[run_entry()],
            revocations=(REVOKED,),
            disturbances=(SILENCED,),
        ),
    ),
    (
        "taken away",
        run_of(record(), notes=[run_entry(at=10.01)], revocations=(RESTORED_KEY,)),
    ),
    (
        "taken away",
        run_of(record(sent_at=9.4), notes=[run_entry()], revocations=(RESTORED_KEY,)),
    ),
    (
        "that leaves",
        run_of(record(), notes=[LEAVING, run_entry()], disturbances=(STORE_RESTORED,)),
    ),
    (
        "with other members",
        run_of(
            notes=[JOINED, replace(JOINED, values={**JOINED.values, "members": []})]
        ),
    ),
    ("not whole", run_of(record(), notes=[*READY[:2], OPEN, run_entry(**IN_GROUP)])),
    (
        "while",
        run_of(
            notes=[
                *READY,
                OPEN,
                JOINED,
                entry(
                    "run",
                    11.0,
                    attempt="z",
                    tenant="a",
                    has_key=False,
                    members=MEMBERS,
                    group="g",
                    epoch=1,
                ),
            ]
        ),
    ),
    ("that leaves", run_of(record(), notes=[LEAVING, run_entry()])),
    (
        "planned stop",
        run_of(
            record(**CUT, kind=RequestKind.STREAM),
            notes=[run_entry()],
            disturbances=(STOPPED,),
        ),
    ),
    (
        "planned stop",
        run_of(
            record(**CUT, kind=RequestKind.STREAM),
            notes=[run_entry()],
            disturbances=(STOPPED, RECONFIGURED),
        ),
    ),
    (
        "ran 2 times",
        run_of(
            record(),
            notes=[run_entry(born=1), entry("start", 10.15, "p0"), run_entry(born=2)],
        ),
    ),
    (
        "held beyond",
        run_of(record(ended_at=14.0), notes=[run_entry()], disturbances=(STALLED,)),
    ),
    (
        "another writer",
        run_of(
            record(), notes=[run_entry()], foreign=(FOREIGN,), disturbances=(STALLED,)
        ),
    ),
    ("without e1", run_of(notes=[*READY, RESTARTED, REOPENED])),
    ("another writer", run_of(record(), notes=[run_entry()], foreign=(FOREIGN,))),
    (
        "another writer",
        run_of(
            record(),
            notes=[run_entry()],
            foreign=(FOREIGN,),
            disturbances=(RECONFIGURED,),
        ),
    ),
    ("entry of no engine", run_of(record(**REFUSED), disturbances=(NO_ENGINE,))),
    ("meant for 'no id'", run_of(notes=[MISDIRECTED])),
]


@pytest.mark.parametrize("run", VALID_RUNS)
def test_a_run_that_kept_its_promises_passes(run):
    assert find_violations(run) == []


@pytest.mark.parametrize(("expected", "run"), VIOLATIONS)
def test_every_breach_is_seen(expected, run):
    assert any(expected in line for line in find_violations(run))


def rate_limited_run(*arrivals, limit=1.0, node=0, disturbances=()):
    """Return a run of an engine that announces a limit at 10 s, then gets requests."""
    notes = [entry("rate limit", at=10.0, engine="p0", limit=limit)]
    records = []
    for number, at in enumerate((10.1, *arrivals)):
        notes.append(entry("arrival", at=at, engine="p0", attempt=f"q{number}"))
        notes.append(run_entry(attempt=f"q{number}", at=at))
        records.append(
            record(
                attempt=f"q{number}",
                node=node,
                headers={"x-mallowpond-attempt-id": f"q{number}"},
                body=call_body(f"q{number}"),
            )
        )
    return run_of(*records, notes=notes, disturbances=disturbances)


def test_requests_beyond_a_rate_limit_are_seen():
    at_once = [13.5] * 11
    assert any(
        "named 1.0" in line for line in find_violations(rate_limited_run(*at_once))
    )


def cold_run(*arrivals, starts=(10.0,)):
    """Return a run of an engine that is cold for 6 s after each of its starts."""
    notes = [entry("cold", at=at, engine="p0", seconds=6.0) for at in starts]
    notes += [
        entry("arrival", at=at, engine="p0", attempt=f"q{number}")
        for number, at in enumerate(arrivals)
    ]
    return run_of(notes=sorted(notes, key=lambda n: n.at))


def test_requests_beyond_the_bound_of_a_cold_engine_are_seen():
    for run in (cold_run(*[10.1] * 5), cold_run(*[13.0] * 5, starts=(8.0, 10.0))):
        assert any("cold, got 5" in line for line in find_violations(run))


def test_requests_that_a_cold_engine_takes_are_no_breach():
    assert find_violations(cold_run(*[10.1] * 4, *[11.2] * 4)) == []
    # Once it is warm, and before nodes can know that it started again.
    assert find_violations(cold_run(*[16.1] * 30)) == []
    assert find_violations(cold_run(*[11.0] * 30, starts=(1.0, 10.0))) == []


def test_requests_that_a_rate_limit_allows_are_no_breach():
    assert find_violations(rate_limited_run(*[13.5] * 10)) == []
    # Before the limit is checked, and after it has ended.
    assert find_violations(rate_limited_run(*[11.0] * 30)) == []
    over = rate_limited_run(*[14.0] * 30)
    ended = entry("rate limit", at=13.9, engine="p0", limit=None)
    notes = sorted([*over.notes, ended], key=lambda n: n.at)
    assert find_violations(replace(over, notes=tuple(notes))) == []


def test_a_host_that_was_disturbed_is_excused_from_a_rate_limit():
    killed = Disturbance(kind="node_kill", began_at=12.0, ended_at=13.0, node=0)
    assert find_violations(rate_limited_run(*[13.5] * 30, disturbances=[killed])) == []


def backoff_run(*arrivals, disturbances=()):
    """Return a run of an engine that asks a node for 3 s of backoff at 10 s."""
    first = entry("turned away", at=10.0, engine="p0", attempt="q", seconds=3.0)
    later = [entry("arrival", at=at, engine="p0", attempt="q") for at in arrivals]
    notes = (first, run_entry(), *later)
    return run_of(record(), notes=notes, disturbances=disturbances)


def test_requests_within_a_backoff_are_seen():
    lines = find_violations(backoff_run(10.6, 11.0, 12.9))
    assert any("asked node 0 for backoff" in line for line in lines)


def test_requests_beside_a_backoff_are_no_breach():
    # Requests in flight, two more, and those after the backoff.
    assert find_violations(backoff_run(10.1, 10.4, 11.0, 12.0, 13.1, 13.2)) == []
    killed = Disturbance(kind="node_kill", began_at=11.0, ended_at=12.0, node=0)
    many = backoff_run(10.6, 11.0, 12.9, disturbances=[killed])
    assert find_violations(many) == []


def draining_run(sent_at, disturbances=()):
    """Return a run of a draining engine from which a node has an answer at 10 s."""
    notes = (
        entry("draining", at=9.0, engine="p0"),
        entry("arrival", at=10.0, engine="p0", attempt="q0"),
        run_entry(attempt="q0", at=10.0),
        entry("arrival", at=sent_at + 0.1, engine="p0", attempt="q1"),
        run_entry(attempt="q1", at=sent_at + 0.1),
    )
    records = [
        record(
            attempt=attempt,
            sent_at=at,
            headers={"x-mallowpond-attempt-id": attempt},
            body=call_body(attempt),
        )
        for attempt, at in (("q0", 9.9), ("q1", sent_at))
    ]
    return run_of(*records, notes=notes, disturbances=disturbances)


def test_a_request_to_an_engine_that_said_it_leaves_is_seen():
    assert any("said it leaves" in line for line in find_violations(draining_run(13.0)))
    assert find_violations(draining_run(12.4)) == []
    killed = Disturbance(kind="node_kill", began_at=11.0, ended_at=12.0, node=0)
    assert find_violations(draining_run(13.0, disturbances=[killed])) == []


def test_a_backoff_ends_with_the_process_that_asked_for_it():
    run = backoff_run(11.1, 11.2, 12.9)
    restarted = entry("start", at=11.0, engine="p0")
    notes = tuple(sorted([*run.notes, restarted], key=lambda n: n.at))
    assert find_violations(replace(run, notes=notes)) == []
    other = replace(restarted, engine="p1")
    notes = tuple(sorted([*run.notes, other], key=lambda n: n.at))
    assert find_violations(replace(run, notes=notes)) != []


EVACUATED = Evacuation(data_centre="b", accepted_at=10.0, ended_at=18.0)


@pytest.mark.parametrize(
    ("at", "data_centre", "kind", "is_violation"),
    [
        (16.0, "b", "engine_kill", True),
        (15.0, "b", "engine_kill", False),
        (18.1, "b", "engine_kill", False),
        (16.0, "a", "engine_kill", False),
        (16.0, "b", "store_pause", False),
    ],
)
@pytest.mark.parametrize("event", ["arrival", "health check"])
def test_what_reaches_an_evacuated_data_centre_is_found(
    at, data_centre, kind, is_violation, event
):
    run = Run(
        callers=(),
        notes=(
            entry("start", 1.0, data_centre=data_centre),
            entry(event, at, **({"attempt": "q"} if event == "arrival" else {})),
        ),
        disturbances=(Disturbance(kind=kind, began_at=11.0, ended_at=11.5),),
        revocations=(),
        evacuations=(EVACUATED,),
    )
    found = [line for line in find_violations(run) if "evacuated" in line]
    assert bool(found) == is_violation


MEMBERS_PAUSED = EnginePause(engines=frozenset(MEMBERS), began_at=10.2, ended_at=11.1)
LONG_PAUSE = replace(MEMBERS_PAUSED, ended_at=11.3)
# The pauses of two members, which together last longer than a head tolerates.
MEMBER_PAUSES = (
    EnginePause(engines=frozenset({"e1", "e9"}), began_at=10.0, ended_at=10.8),
    EnginePause(engines=frozenset({"e2", "e9"}), began_at=10.7, ended_at=11.2),
)
NESTED_PAUSES = (
    EnginePause(engines=frozenset({"e1", "e9"}), began_at=10.0, ended_at=11.2),
    EnginePause(engines=frozenset({"e2", "e9"}), began_at=10.3, ended_at=10.8),
)
HEAD_RUNS = run_entry(**IN_GROUP)
BROKEN_OFF = entry(
    "broken off", 11.35, attempt="q", reason="member lost", group="g", epoch=1
)
BROKEN_OFF = replace(BROKEN_OFF, values={**BROKEN_OFF.values, "members": MEMBERS})
ORDERED_OFF = replace(BROKEN_OFF, values={**BROKEN_OFF.values, "reason": "order"})
JOINED_OTHER = entry(
    "join", 11.2, "e1", group="h", epoch=2, members=["e1"], before=["g", 1]
)
HEAD_LEFT = entry("leave", 11.3, group="g", epoch=1)
FAILED_EARLY = {**FAILED, "ending": Ending.WHOLE}
REFUSED_EARLY = {**REFUSED, "ending": Ending.WHOLE}
ENDS_EARLY = {"kind": RequestKind.STREAM, "deadline": 13.0, "ended_at": 11.5}


def paused_run(*notes, pause=MEMBERS_PAUSED, disturbances=(), more=None, **fields):
    """Return a run of one request, which is cut off, beside a pause of engines.

    `more` replaces fields of the run, `fields` those of the request.
    """
    request = record(**{**CUT, **ENDS_EARLY, **fields})
    notes = sorted([*READY, OPEN, *notes], key=lambda note: note.at)
    run = run_of(request, notes=notes, disturbances=disturbances)
    return replace(run, **{"pauses": (pause,), **(more or {})})


def node_disturbance(kind, node=0):
    """Return a disturbance of a node while the request of `paused_run` runs."""
    return Disturbance(kind=kind, began_at=10.5, ended_at=12.0, node=node)


LOST_RUNS = [
    paused_run(HEAD_RUNS),
    paused_run(HEAD_RUNS, **FAILED_EARLY),
    paused_run(HEAD_RUNS, **{**FAILED_EARLY, "status": 504}),
    paused_run(HEAD_RUNS, **UNREAD),
    paused_run(HEAD_RUNS, ended_at=12.7),
    paused_run(run_entry(), **FAILED_EARLY, kind=RequestKind.ONCE),
    paused_run(run_entry(), **FAILED_EARLY, kind=RequestKind.AGAIN),
    # The second engine ended the stream, while the first one lived.
    paused_run(
        HEAD_RUNS,
        run_entry(at=10.9, engine="e5", group="h", epoch=1, members=["e5"]),
        replace(BROKEN_OFF, engine="e5"),
    ),
    # The head marked its group as broken once the stream had left it.
    paused_run(HEAD_RUNS, replace(BROKEN_OFF, at=11.6)),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("node_kill", node=1),)),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("node_stop"),)),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("store_pause", None),)),
    # Processes of other groups, or of this one before the request.
    paused_run(HEAD_RUNS, more={"engine_ends": (EngineEnd(engine="e5", at=11.0),)}),
    paused_run(HEAD_RUNS, more={"engine_ends": (EngineEnd(engine="e0", at=9.0),)}),
]
KEPT_RUNS = [
    paused_run(),
    paused_run(**REFUSED_EARLY),
    paused_run(HEAD_RUNS, **REFUSED_EARLY),
    paused_run(HEAD_RUNS, ended_at=12.75),
    paused_run(HEAD_RUNS, deadline=20.0, ended_at=15.3),
    paused_run(HEAD_RUNS, BROKEN_OFF, pause=LONG_PAUSE),
    paused_run(HEAD_RUNS, more={"engine_ends": (EngineEnd(engine="e0", at=11.0),)}),
    paused_run(HEAD_RUNS, more={"engine_ends": (EngineEnd(engine="e2", at=11.9),)}),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("node_kill"),)),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("node_pause"),)),
    paused_run(HEAD_RUNS, disturbances=(node_disturbance("engine_link", None),)),
    paused_run(
        HEAD_RUNS, more={"cuts": (LinkCut(nodes=(0,), began_at=11.0, ended_at=14.0),)}
    ),
    paused_run(HEAD_RUNS, more={"revocations": (REVOKED,)}),
    paused_run(HEAD_RUNS, content="fatal 1"),
    paused_run(HEAD_RUNS, parts=("a0", "dead1", "q")),
    # Only one engine pauses, or the pause is long over.
    paused_run(HEAD_RUNS, pause=replace(MEMBERS_PAUSED, engines=frozenset({"e0"}))),
    paused_run(HEAD_RUNS, pause=replace(MEMBERS_PAUSED, began_at=6.0, ended_at=6.9)),
]
ORDERED_RUNS = [
    paused_run(HEAD_RUNS, HEAD_LEFT, ORDERED_OFF),
    paused_run(HEAD_RUNS, JOINED_OTHER, BROKEN_OFF),
    paused_run(HEAD_RUNS, JOINED_OTHER, BROKEN_OFF, **FAILED_EARLY),
]
UNORDERED_RUNS = [
    # No order, another reason for it, or a stream that has a whole answer.
    paused_run(HEAD_RUNS, BROKEN_OFF),
    paused_run(HEAD_RUNS, replace(JOINED_OTHER, engine="e5"), BROKEN_OFF),
    paused_run(HEAD_RUNS, JOINED_OTHER, BROKEN_OFF, pause=LONG_PAUSE),
    paused_run(HEAD_RUNS, HEAD_LEFT, ORDERED_OFF, pause=LONG_PAUSE),
    paused_run(HEAD_RUNS, JOINED_OTHER, BROKEN_OFF, more={"pauses": MEMBER_PAUSES}),
    paused_run(HEAD_RUNS, JOINED_OTHER, BROKEN_OFF, more={"pauses": NESTED_PAUSES}),
    paused_run(
        HEAD_RUNS,
        JOINED_OTHER,
        BROKEN_OFF,
        more={"engine_ends": (EngineEnd(engine="e2", at=9.9),)},
    ),
    paused_run(HEAD_RUNS, HEAD_LEFT, ORDERED_OFF, ended_at=12.75),
    run_of(record(RequestKind.STREAM), notes=[*READY, OPEN, HEAD_RUNS, ORDERED_OFF]),
]


@pytest.mark.parametrize("run", LOST_RUNS)
def test_an_answer_that_ends_while_its_engine_lives_is_found(run):
    assert sum("q: lost" in line for line in find_violations(run)) == 1


@pytest.mark.parametrize("run", KEPT_RUNS)
def test_an_answer_that_its_engine_or_another_fault_ends_is_no_loss(run):
    assert not any("q: lost" in line for line in find_violations(run))


@pytest.mark.parametrize("run", ORDERED_RUNS)
def test_a_stream_that_an_order_ends_is_found(run):
    lines = find_violations(run)
    assert sum("q: ended by an order" in line for line in lines) == 1
    assert not any("q: lost" in line for line in lines)


@pytest.mark.parametrize("run", UNORDERED_RUNS)
def test_a_stream_whose_group_lost_a_member_is_not_ended_by_an_order(run):
    lines = find_violations(run)
    assert not any("by an order" in line or "q: lost" in line for line in lines)
