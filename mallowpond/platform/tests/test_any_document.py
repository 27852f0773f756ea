"""Decoding of arbitrary input: it never raises, and never yields partial results."""

import base64
import json
from dataclasses import fields

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.node.ports import EngineReport
from mallowpond.platform import documents, rows
from mallowpond.platform.tests.test_documents import DOCUMENT
from mallowpond.platform.tests.test_engines import REPORT
from mallowpond.platform.tests.test_entries import ENTRY
from mallowpond.platform.tests.test_store import VALID_ROW, parsed_targets
from mallowpond.state.decoding import DecodeFault, Unreadable, decode, parse_json
from mallowpond.state.fleet import GroupPhase, Target
from mallowpond.state.rows import LeaseRow
from mallowpond.state.site_configuration import SiteConfiguration

LISTED = documents.decode_target("i-1", ENTRY)
TEXTS = st.text(max_size=6) | st.sampled_from(
    [
        "",
        "ready",
        "draining",
        "open",
        "i-1",
        "10.0.0.1:80",
        "a\nb",
        "\ud800",
        "x" * 2000,
    ]
)
NUMBERS = st.integers() | st.floats() | st.sampled_from([2**53 + 1, 10**400, -1, True])
SCALARS = st.none() | st.booleans() | NUMBERS | TEXTS


def nested(scalars):
    """Return a strategy for nested lists and dictionaries of these scalars."""
    return st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=4), inner, max_size=3)
        ),
        max_leaves=8,
    )


VALUES = nested(SCALARS)
CBOR = nested(st.none() | st.booleans() | NUMBERS | st.text(max_size=6))
BYTES = st.binary(max_size=60) | VALUES.map(lambda v: json.dumps(v).encode())
CASES = settings(max_examples=200, deadline=None, derandomize=True)


@st.composite
def with_one_change(draw, document, depth=0):
    """Draw the document with one field at any depth replaced or removed."""
    if not document or not isinstance(document, dict | list):
        return draw(SCALARS | VALUES)
    if depth and draw(st.integers(0, 3)) == 0:
        return draw(VALUES)
    if isinstance(document, list):
        place = draw(st.integers(0, len(document) - 1))
        item = draw(with_one_change(document[place], depth + 1))
        return [*document[:place], item, *document[place + 1 :]]
    name = draw(st.sampled_from(sorted(document)))
    if draw(st.integers(0, 5)) == 0:
        return {k: v for k, v in document.items() if k != name}
    return {**document, name: draw(with_one_change(document[name], depth + 1))}


def assert_valid(target):
    """Check that every field of a target has a valid value."""
    assert isinstance(target, Target)
    for name in ("id", "service", "address", "data_centre"):
        value = getattr(target, name)
        assert isinstance(value, str)
        assert value.strip()
        assert value.isprintable()
    assert target.id.isascii()
    assert 1 <= int(target.address.rpartition(":")[2]) <= 65535
    for number in (target.slots, 0 if target.born is None else target.born):
        assert type(number) is int
        assert 0 <= number <= 2**53
    assert all(isinstance(text, str) for text in (target.domain, target.model))
    assert all(isinstance(text, str) and text for text in target.staged)
    if target.membership is not None:
        assert target.membership.group
        assert isinstance(target.membership.phase, GroupPhase)
        for number in (target.membership.epoch, target.membership.rank):
            assert type(number) is int
            assert 0 <= number <= 2**53


@CASES
@given(TEXTS | VALUES, VALUES, with_one_change(ENTRY))
def test_an_entry_is_a_whole_target_or_none(key, value, entry):
    for found in (
        documents.decode_target(key, ENTRY),
        documents.decode_target("i-1", value),
        documents.decode_target("i-1", entry),
    ):
        if not isinstance(found, Unreadable):
            assert_valid(found)


@CASES
@given(VALUES | with_one_change(REPORT))
def test_a_report_is_whole_or_none(value):
    found = documents.decode_report(LISTED, value)
    if not isinstance(found, Unreadable):
        assert isinstance(found, EngineReport)
        assert type(found.orders) is int
        assert found.orders >= 0
        assert_valid(found.target)
    assert isinstance(documents.decode_born(value), int | None | Unreadable)


@CASES
@given(VALUES | with_one_change(DOCUMENT))
def test_a_configuration_is_whole_or_none(value):
    found = documents.decode_configuration(value)
    if isinstance(found, Unreadable):
        return
    assert isinstance(found, SiteConfiguration)
    assert type(found.version) is int
    for route in found.routes:
        for field in fields(route):
            number = getattr(route, field.name)
            assert not isinstance(number, int | float) or 0 <= number <= 2**53
        assert route.prefix.isprintable()
    assert all(found.keys)
    assert "" not in found.keys


@CASES
@given(st.lists(VALUES | with_one_change(VALID_ROW), max_size=3), st.integers(0, 3))
def test_good_entries_hold_beside_any_others(others, place):
    answer = {"rows": [*others[:place], VALID_ROW, *others[place:]], "ver": 40}
    found = parsed_targets(json.dumps(answer).encode())
    if any(isinstance(row, dict) and row.get("key") == "i-2" for row in others):
        return
    assert found.revision == 40
    assert documents.decode_target("i-2", ENTRY) in found.targets
    for target in found.targets:
        assert_valid(target)
        assert target.id not in found.unreadable


@CASES
@given(BYTES)
def test_any_bytes_are_an_answer_or_none(data):
    for read in (
        rows.decode_answer,
        rows.decode_committed_version,
        rows.decode_conflicting_keys,
    ):
        read(data)
    document = parse_json(data)
    assert not isinstance(documents.decode_target("i-1", document), Target)
    assert not isinstance(decode(document, LeaseRow), LeaseRow)
    value = base64.b64encode(data).decode()
    answer = {"rows": [{**VALID_ROW, "key": "i-1", "value": value}], "ver": 4}
    found = parsed_targets(json.dumps(answer).encode())
    assert (found.targets, found.unreadable) == ((), ("i-1",))


@CASES
@given(
    VALUES | with_one_change(json.loads(json.dumps({"rows": [VALID_ROW], "ver": 4})))
)
def test_any_answer_is_read_or_none(value):
    found = rows.decode_answer(json.dumps(value).encode())
    if not isinstance(found, Unreadable):
        assert type(found.version) is int
        assert all(isinstance(row.key, str) for row in found.rows)


@CASES
@given(VALUES | with_one_change({"holder": "b", "incarnation": "b/1", "fence": 3}))
def test_a_lease_is_whole_or_none(value):
    found = decode(value, LeaseRow)
    if not isinstance(found, Unreadable):
        assert isinstance(found.holder, str)
        assert type(found.fence) is int
        assert found.fence >= 0


@CASES
@given(CBOR.map(cbor2.dumps))
def test_cbor_is_no_json(data):
    assert isinstance(documents.decode_target("i-1", parse_json(data)), Unreadable)


def test_a_value_nested_too_deep_is_unreadable():
    assert parse_json(b"[" * 100_000) == Unreadable(fault=DecodeFault.BYTES)
