"""Parser of the operators' query and command language, and queries over tables."""

import operator
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from importlib.resources import files

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedEOF

Cell = str | int | float | bool | None
OPERATORS: dict[str, Callable[[Cell, Cell], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


@dataclass(frozen=True, kw_only=True)
class Table:
    """A table of named columns."""

    name: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


@dataclass(frozen=True, kw_only=True)
class Condition:
    """Keeps the rows for which comparing the cell in `column` with `value` is true."""

    column: str
    operator: str
    value: Cell


@dataclass(frozen=True, kw_only=True)
class Order:
    """Sorts rows by a column."""

    column: str
    descending: bool = False


@dataclass(frozen=True, kw_only=True)
class Show:
    """Query: filter and sort the rows of a table."""

    table: str
    conditions: tuple[Condition, ...] = ()
    order: Order | None = None


@dataclass(frozen=True, kw_only=True)
class DrainHost:
    """Command: take a host out of every group, gracefully."""

    host: str


@dataclass(frozen=True, kw_only=True)
class StopGroup:
    """Command: stop a group, gracefully; its replica is formed again elsewhere."""

    group: str


@dataclass(frozen=True, kw_only=True)
class RestoreHost:
    """Command: let a drained host join groups again."""

    host: str


@dataclass(frozen=True, kw_only=True)
class RestoreGroup:
    """Command: remove a group from the stopped ones; a drain that began goes on."""

    group: str


Command = DrainHost | StopGroup | RestoreHost | RestoreGroup
Statement = Show | Command


@dataclass(frozen=True, kw_only=True)
class QueryFault:
    """A syntax error or an unknown column, and what was expected instead.

    `column` is the position of the character in the statement, from 1; it is 0 if a
    column of the table is unknown.
    """

    column: int
    found: str
    expected: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return the fault as one line of text."""
        expected = ", ".join(self.expected)
        return f"column {self.column}: found {self.found!r}, expected {expected}"


class _Builder(Transformer):
    def start(self, parts):
        return parts[0]

    def show(self, parts):
        name, conditions, order = parts
        return Show(table=str(name), conditions=conditions or (), order=order)

    def where(self, parts):
        return tuple(parts)

    def condition(self, parts):
        column, compare, value = parts
        return Condition(column=str(column), operator=str(compare), value=value)

    def order(self, parts):
        column, direction = parts
        descending = direction is not None and direction.lower() == "desc"
        return Order(column=str(column), descending=descending)

    def drain(self, parts):
        return DrainHost(host=str(parts[0]))

    def stop(self, parts):
        return StopGroup(group=str(parts[0]))

    def restore_host(self, parts):
        return RestoreHost(host=str(parts[0]))

    def restore_group(self, parts):
        return RestoreGroup(group=str(parts[0]))

    def text(self, parts):
        return str(parts[0])[1:-1]

    def number(self, parts):
        return float(parts[0])

    def word(self, parts):
        return str(parts[0])


@cache
def _parser() -> Lark:
    grammar = files("mallowpond.protocol").joinpath("query.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse_statement(text: str) -> Statement | QueryFault:
    """Parse one statement."""
    try:
        return _Builder().transform(_parser().parse(text))
    except UnexpectedInput as error:
        return _fault(text, error)


def run_show(show: Show, table: Table) -> Table | QueryFault:
    """Return the table filtered and sorted, or a fault for an unknown column."""
    for column in _used_columns(show):
        if column not in table.columns:
            return QueryFault(column=0, found=column, expected=table.columns)
    rows = table.rows
    for condition in show.conditions:
        index = table.columns.index(condition.column)
        rows = tuple(row for row in rows if _matches(row[index], condition))
    if show.order is not None:
        index = table.columns.index(show.order.column)
        rows = tuple(
            sorted(
                rows, key=lambda r: _sort_key(r[index]), reverse=show.order.descending
            )
        )
    return Table(name=table.name, columns=table.columns, rows=rows)


def _used_columns(show: Show) -> list[str]:
    used = [condition.column for condition in show.conditions]
    return used + ([show.order.column] if show.order else [])


def _matches(cell: Cell, condition: Condition) -> bool:
    compare = OPERATORS[condition.operator]
    if isinstance(cell, bool):
        return compare(str(cell).lower(), str(condition.value).lower())
    if isinstance(cell, int | float) and isinstance(condition.value, int | float):
        return compare(cell, condition.value)
    return compare(str(cell), str(condition.value))


def _sort_key(cell: Cell) -> tuple[int, float, str]:
    if isinstance(cell, int | float):
        return (0, float(cell), "")
    return (1, 0.0, str(cell))


def _fault(text: str, error: UnexpectedInput) -> QueryFault:
    token = getattr(error, "token", None)
    is_end = isinstance(error, UnexpectedEOF) or (
        isinstance(token, Token) and token.type == "$END"
    )
    column = len(text) + 1 if is_end else max(1, error.column)
    found = "the end" if is_end else text[column - 1 :].split(" ")[0]
    names = getattr(error, "expected", None) or getattr(error, "allowed", None) or ()
    expected = tuple(sorted(_describe_terminal(name) for name in names))
    return QueryFault(column=column, found=found, expected=expected)


def _describe_terminal(terminal: str) -> str:
    descriptions = {
        "NAME": "a name",
        "OPERATOR": "one of = != < <= > >=",
        "$END": "the end",
    }
    descriptions |= {"ESCAPED_STRING": "a quoted text", "SIGNED_NUMBER": "a number"}
    return descriptions.get(terminal, f"'{terminal.lower()}'")
