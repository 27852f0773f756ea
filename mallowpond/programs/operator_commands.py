"""Implementation of the operator's commands as calls to a controller."""

import difflib
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import typer

from mallowpond.protocol.declaration_file import Fault, Faults, parse_declaration
from mallowpond.transport.http_client import CallFailed, HttpClient

APPLY_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True)
class Done:
    """The controller accepted the call; `document` is its decoded JSON response."""

    document: Any


@dataclass(frozen=True, kw_only=True)
class OperatorRefused:
    """The controller refused the command."""

    reason: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class Unreachable:
    """The controller did not answer, or its address is invalid."""

    reason: str


Reply = Done | OperatorRefused | Unreachable


def check_file(file: Path) -> str | Faults:
    """Check a declaration file; return a summary of what it declares."""
    try:
        source = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Faults(faults=(Fault(path="", message=str(error)),))
    declaration = parse_declaration(source)
    if isinstance(declaration, Faults):
        return declaration
    return (
        f"{len(declaration.deployments)} deployments, "
        f"{len(declaration.workspaces)} workspaces, "
        f"{len(declaration.services)} services, {len(declaration.kinds)} kinds"
    )


async def apply_file(
    controller: str, file: Path, expect: int, author: str, *, quiet: bool
) -> Reply:
    """Apply a file; unless `quiet`, first print its diff from the version in force."""
    source = file.read_text(encoding="utf-8")
    current = await _call(controller, "GET", "/v1/declaration", b"")
    if not isinstance(current, Done):
        return current
    if not quiet:
        typer.echo(diff(current.document["source"], source))
    target = f"/v1/apply?expect={expect}&author={author}"
    return await _call(controller, "POST", target, source.encode())


async def run_statement(controller: str, statement: str) -> Reply:
    """Send a statement of the query and command language to a controller."""
    return await _call(controller, "POST", "/v1/statement", statement.encode())


def diff(old: str, new: str) -> str:
    """Return a unified diff of two declarations."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "to apply", lineterm=""
    )
    return "\n".join(lines) or "No difference."


def render(document: Any, *, as_json: bool) -> str:
    """Return a table as aligned text, and any other answer as JSON."""
    if as_json or "columns" not in document:
        return json.dumps(document)
    cells = [document["columns"]]
    cells += [[_format_cell(cell) for cell in row] for row in document["rows"]]
    widths = [max(len(row[n]) for row in cells) for n in range(len(cells[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(cell: Any) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)


async def _call(controller: str, method: str, target: str, body: bytes) -> Reply:
    address = controller.removeprefix("http://").rstrip("/")
    http = HttpClient(connect_seconds=3.0)
    try:
        response = await http.fetch(
            address, method, target, body=body, timeout=APPLY_SECONDS
        )
    except ValueError:
        return Unreachable(reason=f"{controller!r} is not IP:PORT")
    finally:
        await http.close()
    match response:
        case CallFailed(reason=reason):
            return Unreachable(reason=reason)
        case (200, data):
            return Done(document=json.loads(data))
        case (_, data):
            problem = json.loads(data)
            return OperatorRefused(reason=problem["reason"], detail=problem["detail"])
