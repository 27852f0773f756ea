"""Decoding of list entries by other writers: never raises, never partial."""

import json

import pytest

from mallowpond.platform import documents
from mallowpond.state.fleet import Target

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": 1,
    "slots": 13,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1_733_184_000_000,
    "domain": "d1",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "staged": ["m"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
}
GROUP = ENTRY["group"]
ABSENT = object()


def with_field(name, value):
    """Return the entry with one field changed, or removed if it is ABSENT."""
    if value is ABSENT:
        return {k: v for k, v in ENTRY.items() if k != name}
    return {**ENTRY, name: value}


def with_group_field(name, value):
    """Return the entry with one field of its group changed, or removed if ABSENT."""
    if value is ABSENT:
        return with_field("group", {k: v for k, v in GROUP.items() if k != name})
    return with_field("group", {**GROUP, name: value})


REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "sequence",
)
PLACEMENT_FIELDS = ("domain", "models", "staged")
BAD_TEXTS = (7, None, True, [], {}, "", "a\nb", "x" * 2000)
BAD_COUNTS = ("x", "4", None, True, 1.5, [], {}, -1, 2**60, float("nan"), float("inf"))

BAD_FIELDS = [
    *((name, ABSENT) for name in REQUIRED + PLACEMENT_FIELDS),
    *((name, value) for name in ("service", "zone") for value in BAD_TEXTS),
    *(("address", value) for value in (*BAD_TEXTS, "10.0.0.1", "a:b", ":80")),
    *(
        ("address", value)
        for value in ("h:0", "h:65536", "h:-1", "h h:80", "é:80", "a..b:80")
    ),
    *(("version", value) for value in (None, True, [], {}, "a\nb", float("inf"))),
    *((name, v) for name in ("slots", "sequence", "born") for v in BAD_COUNTS),
    ("slots", 0),
    *(("state", value) for value in ("gone", "Ready", "", 7, None, True, ["ready"])),
    *(("cold_left_ms", v) for v in ("x", None, True, -1, 1e300, float("inf"))),
    *(("domain", value) for value in (None, True, 1.5, [], {}, "a\nb")),
    *(("models", value) for value in (5, "m", None, {}, ["m"], [5], [{}], [None])),
    *(("models", [{"name": value}]) for value in BAD_TEXTS),
    *(("staged", value) for value in (5, "m", None, {}, [5], [None], [""], [{}])),
    *(("group", value) for value in (5, "g", True, [], [1])),
]
BAD_GROUP_FIELDS = [
    *((name, ABSENT) for name in ("name", "epoch", "rank", "state")),
    *(("name", value) for value in (7, None, True, [], {}, "a\nb")),
    *((name, value) for name in ("epoch", "rank") for value in BAD_COUNTS),
    *(("state", value) for value in ("gone", "", 7, None, True, ["open"])),
]


def test_a_whole_entry_is_a_target():
    target = documents.decode_target("i-1", ENTRY)
    assert isinstance(target, Target)
    assert (target.born, target.slots, target.domain) == (1_733_184_000_000, 13, "d1")


@pytest.mark.parametrize(("name", "value"), BAD_FIELDS)
def test_an_entry_with_a_bad_field_is_no_target(name, value):
    """One invalid entry must not hide changes of the list, or attract requests.

    Another writer put an entry into the list in which a field was missing, of another
    type, out of range, or had an unknown value. Decoding it raised and so failed the
    whole answer, or the value was used unchecked and requests were sent by it.
    """
    assert not isinstance(
        documents.decode_target("i-1", with_field(name, value)), Target
    )


@pytest.mark.parametrize(("name", "value"), BAD_GROUP_FIELDS)
def test_an_entry_with_a_bad_group_is_no_target(name, value):
    found = documents.decode_target("i-1", with_group_field(name, value))
    assert not isinstance(found, Target)


@pytest.mark.parametrize("row", [None, 7, "x", True, [], [1], {}, [ENTRY]])
def test_what_is_no_entry_at_all_is_no_target(row):
    assert not isinstance(documents.decode_target("i-1", row), Target)


@pytest.mark.parametrize(
    "key", ["", " ", "a b", "a\n", "é", "x" * 129, "a/b", 7, None, "i-"]
)
def test_an_entry_under_a_key_that_is_no_id_is_no_target(key):
    assert not isinstance(documents.decode_target(key, ENTRY), Target)


@pytest.mark.parametrize(
    "changes",
    [
        {"group": None},
        {"group": {}},
        {"group": ABSENT},
        {"group": {"name": "", "epoch": 0, "rank": 0, "state": ""}},
        {"models": []},
        {"staged": []},
        {"staged": [{"name": "m"}]},
        {"version": "2.1"},
        {"cold_left_ms": 12.5},
        {"domain": 3},
        {"state": "draining"},
        {"born": ABSENT},
        {"address": "engine-1.example:80"},
        {"later": {"x": 1}},
        {name: ABSENT for name in (*PLACEMENT_FIELDS, "group")},
    ],
)
def test_what_may_differ_between_whole_entries_makes_none_unreadable(changes):
    entry = {k: v for k, v in {**ENTRY, **changes}.items() if v is not ABSENT}
    assert isinstance(
        documents.decode_target("i-1", json.loads(json.dumps(entry))), Target
    )


def test_a_cold_time_that_counts_down_changes_no_target():
    """Guards against a change of the list at each refresh of a cold engine's entry."""
    targets = [
        documents.decode_target("i-1", {**ENTRY, "cold_left_ms": left})
        for left in (5200, 4000.5, 0)
    ]
    assert [target.cold_seconds for target in targets] == [5.2, 4.0005, 0.0]
    assert targets[0] == targets[1] == targets[2]
