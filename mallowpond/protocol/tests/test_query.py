"""The query and command language: statements, faults, queries over tables."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowpond.protocol.query import (
    Condition,
    DrainHost,
    Order,
    QueryFault,
    RestoreGroup,
    RestoreHost,
    Show,
    StopGroup,
    Table,
    parse_statement,
    run_show,
)

HOSTS = Table(
    name="hosts",
    columns=("host", "domain", "accelerators", "reachable"),
    rows=(("h1", "a", 8, True), ("h2", "b", 4, False), ("h3", "a", 16, True)),
)


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        ("show hosts", Show(table="hosts")),
        ("SHOW hosts ORDER BY host", Show(table="hosts", order=Order(column="host"))),
        ("drain host entry-1.dc", DrainHost(host="entry-1.dc")),
        ("stop group meteor-1a", StopGroup(group="meteor-1a")),
        ("restore host h1", RestoreHost(host="h1")),
        ("restore group g1", RestoreGroup(group="g1")),
        (
            'show hosts where domain = "a b" and accelerators >= 8',
            Show(
                table="hosts",
                conditions=(
                    Condition(column="domain", operator="=", value="a b"),
                    Condition(column="accelerators", operator=">=", value=8.0),
                ),
            ),
        ),
    ],
)
def test_statements(text, statement):
    assert parse_statement(text) == statement


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("", 1, "'show'"),
        ("shwo hosts", 1, "'show'"),
        ("show", 5, "a name"),
        ("show hosts where", 17, "a name"),
        ("show hosts where domain", 24, "one of = != < <= > >="),
        ("drain group g", 7, "'host'"),
        ("show hosts limit 5", 12, "'where'"),
    ],
)
def test_fault_names_the_column_and_what_was_expected(text, column, expected):
    fault = parse_statement(text)
    assert isinstance(fault, QueryFault)
    assert fault.column == column
    assert expected in fault.expected


def show(text):
    return run_show(parse_statement(text), HOSTS)


def names(table):
    return [row[0] for row in table.rows]


def test_conditions_filter():
    assert names(show("show hosts where domain = a")) == ["h1", "h3"]
    assert names(show("show hosts where accelerators < 10 and domain = a")) == ["h1"]
    assert names(show("show hosts where reachable = false")) == ["h2"]


def test_order_sorts_numbers_as_numbers():
    ordered = show("show hosts order by accelerators desc")
    assert names(ordered) == ["h3", "h1", "h2"]


def test_unknown_column_names_those_there_are():
    fault = show("show hosts where rack = 1")
    assert fault.found == "rack"
    assert fault.expected == HOSTS.columns


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text())
def test_any_text_is_parsed_or_refused(text):
    parse_statement(text)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.sampled_from('show where order by and = < h1 3 "x'.split())))
def test_any_words_are_parsed_or_refused(words):
    parse_statement(" ".join(words))
