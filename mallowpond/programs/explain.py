"""Tell the story of a request, a group or a configuration from nodes' log lines."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

# Time before the first and after the last line of a story in which what else happened
# to its groups, targets and hosts belongs to it, in seconds: the stall time of a group
# and a little, since a loss shows up to that much later.
CONTEXT_SECONDS = 5.0
# Prefixes of events that concern a whole host, and so each request on it.
HOST_EVENTS = (
    "configuration:",
    "node:",
    "readers: changed",
    "targets: list",
    "logs:",
)
# Fields that say which group, target or request a line is about.
SUBJECTS = ("request", "group", "target", "head")
HIDDEN = {"event", "timestamp", "level"}
# What to look at after each reason of a refused or broken request.
HINTS = {
    "overloaded": "no place in time: compare `running` with `open` in planner: model",
    "no_group": "no group served the model: see planner: model and planner: forming",
    "configuration_unsure": "the store or the readers were away for this host",
    "no_configuration": "the host had started and not read a configuration yet",
    "stopping": "the host was told to stop and had too little time left",
    "unknown_key": "the version in force on this host did not hold the key",
    "no_route": "the version in force on this host had no such route",
    "attempts_used": "each engine that the route allows broke off or fell silent",
    "held_back": "targets ended under it: see explain --fingerprint",
    "budget_used": "the repeats that all hosts share were used up",
    "misdirected": "the head answered that it holds no such group",
    "timeout": "its time was used up",
    "maybe_run": "an engine may have run it, and it may run once only",
}


@dataclass(frozen=True, kw_only=True)
class Line:
    """Hold one log line; `at` is the time of day of its host, in seconds."""

    host: str
    at: float
    event: str
    fields: dict[str, Any]

    def is_about(self, names: set[str]) -> bool:
        """Tell whether a group, target or request of these names is its subject."""
        return any(self.fields.get(subject) in names for subject in SUBJECTS)


@dataclass(frozen=True, kw_only=True)
class Story:
    """Hold the lines of one subject in time order, and what they come to."""

    lines: tuple[Line, ...]
    verdict: str


@dataclass(kw_only=True)
class LogFiles:
    """Hold the lines of some files; `unreadable` counts those that are none."""

    lines: list[Line] = field(default_factory=list)
    unreadable: int = 0

    def read(self, host: str, rows: Iterable[str]) -> None:
        """Add the lines of one host; what stands before the object is ignored."""
        for row in rows:
            if row.strip():
                self._add(host, row)

    def _add(self, host: str, row: str) -> None:
        try:
            fields = json.loads(row[row.index("{") :])
            at = datetime.fromisoformat(fields["timestamp"]).timestamp()
            line = Line(host=host, at=at, event=fields["event"], fields=fields)
        except (ValueError, KeyError, TypeError):
            self.unreadable += 1
            return
        self.lines.append(line)

    @classmethod
    def of(cls, paths: Iterable[Path]) -> "LogFiles":
        """Read files that are named after their hosts."""
        files = cls()
        for path in paths:
            with path.open(errors="replace") as rows:
                files.read(path.stem, rows)
        files.sort()
        return files

    def sort(self) -> None:
        """Put the lines of all hosts into the order of their times of day."""
        self.lines.sort(key=lambda line: line.at)


def explain_request(lines: Iterable[Line], request: str) -> Story | None:
    """Return a request's lines with what happened to its groups, targets and hosts."""
    lines = tuple(lines)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    names = {
        str(line.fields[s])
        for line in own
        for s in ("group", "target")
        if s in line.fields
    }
    hosts = {line.host for line in own}
    context = _near(lines, own)
    told = [
        line
        for line in context
        if line in own
        or ("request" not in line.fields and line.is_about(names))
        or (line.host in hosts and line.event.startswith(HOST_EVENTS))
    ]
    return Story(lines=tuple(told), verdict=_verdict(own))


def explain_group(lines: Iterable[Line], group: str) -> Story | None:
    """Return a group's lines, and those of its members from its forming on."""
    lines = tuple(lines)
    own = [line for line in lines if line.fields.get("group") == group]
    if not own:
        return None
    members: set[str] = set()
    for line in own:
        members |= set(line.fields.get("members") or ())
    about = {group, *members}
    told = [
        line
        for line in _near(lines, own)
        if "request" not in line.fields and line.is_about(about)
    ]
    streams = sum(line.event == "stream: sent" for line in own)
    broken = [line for line in told if line.event == "groups: broken"]
    cause = f", broken ({broken[-1].fields.get('cause')})" if broken else ""
    verdict = f"{len(members)} members ordered, {streams} sends of streams{cause}"
    return Story(lines=tuple(told), verdict=verdict)


def explain_fingerprint(lines: Iterable[Line], fingerprint: str) -> Story | None:
    """Return each return of a request, its targets that ended, and its hold."""
    told = tuple(x for x in lines if x.fields.get("fingerprint") == fingerprint)
    if not told:
        return None
    by_event: dict[str, list[Line]] = defaultdict(list)
    for line in told:
        by_event[line.event].append(line)
    sent = by_event["stream: sent"] + by_event["call: sent"]
    ended = {line.fields.get("target") for line in by_event["quarantine: target ended"]}
    held = {line.host for line in by_event["quarantine: held back"]}
    refused = len(by_event["quarantine: refused"])
    verdict = f"{len(sent)} sends, {len(ended)} targets ended, "
    verdict += f"held back on {len(held)} hosts, {refused} refused"
    return Story(lines=told, verdict=verdict)


def explain_version(lines: Iterable[Line], version: int) -> Story | None:
    """Return when a configuration came into force on each host."""
    told = tuple(
        line
        for line in lines
        if line.event.startswith("configuration:")
        and line.fields.get("version") == version
    )
    if not told:
        return None
    first = {line.host: line.at for line in reversed(told)}
    spread = max(first.values()) - min(first.values())
    return Story(
        lines=told, verdict=f"in force on {len(first)} hosts within {spread:.3f} s"
    )


def render(story: Story) -> Iterator[str]:
    """Write a story, a line each, with seconds since its first line."""
    start = story.lines[0].at
    width = max(len(line.host) for line in story.lines)
    for line in story.lines:
        fields = " ".join(
            f"{name}={_plain(value)}"
            for name, value in line.fields.items()
            if name not in HIDDEN
        )
        yield f"{line.at - start:9.3f}  {line.host:{width}}  {line.event}  {fields}"
    yield f"=> {story.verdict}"


def _near(lines: Iterable[Line], own: list[Line]) -> Iterator[Line]:
    start, end = own[0].at - CONTEXT_SECONDS, own[-1].at + CONTEXT_SECONDS
    return (line for line in lines if start <= line.at <= end)


def _verdict(own: list[Line]) -> str:
    ends = [line for line in own if line.event.startswith("ingress:")]
    if not ends:
        return "no ending is logged: its host died, or left the line out"
    last = ends[-1]
    reason = last.fields.get("reason")
    outcome = last.event.removeprefix("ingress: ")
    status = last.fields.get("status")
    told = f"{outcome} with {status}" if status else outcome
    if reason is None:
        return f"{told}, {len(ends)} ending(s)"
    hint = HINTS.get(str(reason))
    return f"{told}: {reason}" + (f" ({hint})" if hint else "")


def _plain(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
