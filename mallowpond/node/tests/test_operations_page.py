"""The operators' page and the code name the same events."""

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2]
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
LEVELS = {"debug", "info", "warning", "error", "exception"}


def events_of(path):
    """Return the events that a module logs."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if isinstance(owner, ast.Name) and owner.id == "log":
            if node.func.attr in LEVELS:
                yield ast.literal_eval(node.args[0])


def test_the_page_lists_every_event_and_no_other():
    """Symptom: a line in the logs that no page explains.

    Sequence: an event is added or renamed in the code only.
    Cause: nothing compared the page with the code.
    """
    modules = [*PACKAGE.glob("node/*.py"), *PACKAGE.glob("platform/*.py")]
    logged = {event for path in modules for event in events_of(path)}
    table = PAGE.read_text().partition("## Every event")[2].partition("## Alarms")[0]
    listed = set(re.findall(r"`(\w+: [^`]+)`", table))
    assert listed == logged
