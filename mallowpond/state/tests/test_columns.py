"""Columns of integers and names are checked at once, as strictly as one by one."""

from dataclasses import dataclass

import pytest

from mallowpond.state.decoding import (
    LARGEST_NUMBER,
    LONGEST_TEXT,
    DecodeFault,
    Name,
    Unreadable,
    decode_compact,
)


@dataclass(frozen=True, kw_only=True)
class Columns:
    """Two columns, as messages have them."""

    numbers: tuple[int, ...]
    names: tuple[Name, ...]


@pytest.mark.parametrize("numbers", [[], [0], [3, LARGEST_NUMBER], (1, 2)])
@pytest.mark.parametrize("names", [[], ["a"], ["b" * LONGEST_TEXT, "é"]])
def test_valid_columns_are_decoded(numbers, names):
    """Guards against valid loads that are rejected, and fields that get mixed up."""
    decoded = decode_compact([numbers, names], Columns)
    assert decoded == Columns(numbers=tuple(numbers), names=tuple(names))
    assert hash(decoded) == hash(Columns(numbers=tuple(numbers), names=tuple(names)))


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        (-1, DecodeFault.RANGE),
        (LARGEST_NUMBER + 1, DecodeFault.RANGE),
        (True, DecodeFault.TYPE),
        (1.0, DecodeFault.TYPE),
        (float("nan"), DecodeFault.TYPE),
        ("1", DecodeFault.TYPE),
        (None, DecodeFault.TYPE),
        ([1], DecodeFault.TYPE),
    ],
)
@pytest.mark.parametrize("others", [[], [1, 2]])
def test_one_invalid_number_makes_the_message_unreadable(value, fault, others):
    """Guards against a check of a whole column that lets a value pass."""
    found = decode_compact([[*others, value], []], Columns)
    assert found == Unreadable(fault=fault, field="numbers")


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        ("", DecodeFault.RANGE),
        ("a\n", DecodeFault.RANGE),
        ("\ud800", DecodeFault.RANGE),
        ("a" * (LONGEST_TEXT + 1), DecodeFault.RANGE),
        (b"a", DecodeFault.TYPE),
        (1, DecodeFault.TYPE),
        (None, DecodeFault.TYPE),
    ],
)
@pytest.mark.parametrize("others", [[], ["a", "b"]])
def test_one_invalid_name_makes_the_message_unreadable(value, fault, others):
    """Guards against a check of a whole column that lets a name pass."""
    found = decode_compact([[], [*others, value]], Columns)
    assert found == Unreadable(fault=fault, field="names")
