"""Tests that the operators' page lists the events that the code logs."""

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2]
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
LEVELS = {"debug", "info", "warning", "error", "exception"}


def logged_events(path):
    """Yield the events that a module logs."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if isinstance(owner, ast.Name) and owner.id == "log":
            if node.func.attr in LEVELS:
                yield ast.literal_eval(node.args[0])


def test_the_page_lists_every_event_and_no_other():
    """The logs had an event that no page explained.

    An event had been added or renamed in the code only, and nothing compared the page
    with the code.
    """
    modules = [*PACKAGE.glob("node/*.py"), *PACKAGE.glob("platform/*.py")]
    logged = {event for path in modules for event in logged_events(path)}
    table = PAGE.read_text().partition("## Every event")[2].partition("## Alarms")[0]
    listed = set(re.findall(r"`(\w+: [^`]+)`", table))
    assert listed == logged
