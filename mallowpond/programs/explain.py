"""Explain what happened to a request, group or version, from the log lines of nodes.

A node is the process that serves callers on an entry host, where requests arrive.
"""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

# Time before a subject's first line and after its last one in which lines about its
# groups, targets and hosts are included, in seconds: slightly more than `stall`, the
# time without progress after which a group's failure is reported.
CONTEXT_SECONDS = 5.0
# Prefixes of events that concern a whole host and so all requests on it. Readers are
# the hosts that read the store for the others.
HOST_EVENTS = (
    "configuration:",
    "node:",
    "readers: changed",
    "targets: list",
    "logs:",
)
# Fields that name the request, group or target that a line is about; `head` is the
# target that takes a group's requests.
SUBJECTS = ("request", "group", "target", "head")
SEND_EVENTS = ("stream: sent", "call: sent")
HIDDEN = {"event", "timestamp", "level"}
# What to look at, by the reason for which a request was refused or cut off. The key of
# `unknown_key` is the caller's API key. `held_back`: the request is quarantined.
# `budget_used`: this host's part of the service's retry budget is spent. `maybe_run`:
# the request must not run twice.
HINTS = {
    "overloaded": "no place in time: compare `running` with `open` in planner: model",
    "evacuated": "only evacuated data centres are left: see evacuation: begun",
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
class LogLine:
    """A log line; `at` is the Unix time in seconds by the clock of its host."""

    host: str
    at: float
    event: str
    fields: dict[str, Any]

    def is_about(self, names: set[str]) -> bool:
        """Return whether the line is about one of these requests, groups or targets."""
        return any(self.fields.get(subject) in names for subject in SUBJECTS)


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """The log lines about one subject in order of time, and a one-line summary."""

    lines: tuple[LogLine, ...]
    summary: str


@dataclass(kw_only=True)
class LogFiles:
    """The lines of several log files; `unreadable` counts those not parsable."""

    lines: list[LogLine] = field(default_factory=list)
    unreadable: int = 0

    def read(self, host: str, rows: Iterable[str]) -> None:
        """Add the lines of one host; text before a line's JSON object is ignored."""
        for row in rows:
            if row.strip():
                self._add_row(host, row)

    def _add_row(self, host: str, row: str) -> None:
        try:
            fields = json.loads(row[row.index("{") :])
            at = datetime.fromisoformat(fields["timestamp"]).timestamp()
            line = LogLine(host=host, at=at, event=fields["event"], fields=fields)
        except (ValueError, KeyError, TypeError):
            self.unreadable += 1
            return
        self.lines.append(line)

    @classmethod
    def from_paths(cls, paths: Iterable[Path]) -> "LogFiles":
        """Read files and sort their lines; the stem of each file's name is its host."""
        files = cls()
        for path in paths:
            with path.open(errors="replace") as rows:
                files.read(path.stem, rows)
        files.sort()
        return files

    def sort(self) -> None:
        """Sort the lines of all hosts by time."""
        self.lines.sort(key=lambda line: line.at)


def explain_request(lines: Iterable[LogLine], request: str) -> Explanation | None:
    """Return the lines of a request and of its groups, targets and hosts.

    None if no line names the request.
    """
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
    context = _within_context(lines, own)
    selected = [
        line
        for line in context
        if line in own
        or ("request" not in line.fields and line.is_about(names))
        or (line.host in hosts and line.event.startswith(HOST_EVENTS))
    ]
    return Explanation(lines=tuple(selected), summary=_summarize_request(own))


def explain_group(lines: Iterable[LogLine], group: str) -> Explanation | None:
    """Return the lines of a group and its members, without those of single requests.

    None if no line names the group.
    """
    lines = tuple(lines)
    own = [line for line in lines if line.fields.get("group") == group]
    if not own:
        return None
    members: set[str] = set()
    for line in own:
        members |= set(line.fields.get("members") or ())
    about = {group, *members}
    selected = [
        line
        for line in _within_context(lines, own)
        if "request" not in line.fields and line.is_about(about)
    ]
    streams = sum(line.event == "stream: sent" for line in own)
    broken = [line for line in selected if line.event == "groups: broken"]
    cause = f", broken ({broken[-1].fields.get('cause')})" if broken else ""
    summary = f"{len(members)} members ordered, {streams} sends of streams{cause}"
    return Explanation(lines=tuple(selected), summary=summary)


def explain_fingerprint(
    lines: Iterable[LogLine], fingerprint: str
) -> Explanation | None:
    """Return the lines of a request's fingerprint, which all its retries share.

    They show its sends, the targets that ended under it, and its quarantine. None if no
    line has the fingerprint.
    """
    selected = tuple(x for x in lines if x.fields.get("fingerprint") == fingerprint)
    if not selected:
        return None
    by_event: dict[str, list[LogLine]] = defaultdict(list)
    for line in selected:
        by_event[line.event].append(line)
    sent = [line for event in SEND_EVENTS for line in by_event[event]]
    ended = {line.fields.get("target") for line in by_event["quarantine: target ended"]}
    quarantine_hosts = {line.host for line in by_event["quarantine: held back"]}
    refused = len(by_event["quarantine: refused"])
    summary = f"{len(sent)} sends, {len(ended)} targets ended, "
    summary += f"held back on {len(quarantine_hosts)} hosts, {refused} refused"
    return Explanation(lines=selected, summary=summary)


def explain_part(lines: Iterable[LogLine], part: str) -> Explanation | None:
    """Return the lines of all requests whose prompts contain a part.

    They show the sends of these requests, the targets that ended under them, and the
    quarantines of the part. None if no request with the part was sent.
    """
    lines = tuple(lines)
    sent = [
        line
        for line in lines
        if line.event in SEND_EVENTS and part in (line.fields.get("parts") or ())
    ]
    if not sent:
        return None
    fingerprints = {line.fields.get("fingerprint") for line in sent}
    requests = {line.fields.get("request") for line in sent}
    selected = tuple(
        line
        for line in lines
        if line.fields.get("fingerprint") in fingerprints
        or line.fields.get("request") in requests
        or _part_id(line) == part
    )
    ended = {
        line.fields.get("target")
        for line in selected
        if line.event == "quarantine: target ended"
    }
    served = sum(line.event == "stream: served" for line in selected)
    summary = f"{len(sent)} sends of {len(fingerprints)} requests, "
    summary += f"{len(ended)} targets ended, {served} streams answered completely, "
    hosts = {x.host for x in selected if x.event == "quarantine: part held back"}
    refused = sum(
        line.event == "quarantine: refused" and _part_id(line) == part
        for line in selected
    )
    summary += f"held back on {len(hosts)} hosts, {refused} refused"
    return Explanation(lines=selected, summary=summary)


def _part_id(line: LogLine) -> str:
    """Return the id of the part that a line is about, without its scope."""
    return str(line.fields.get("part") or "").rpartition(":")[2]


def explain_version(lines: Iterable[LogLine], version: int) -> Explanation | None:
    """Return the lines of events "configuration: ..." that name a version.

    The summary takes the first such line of each host as the time at which the version
    came into force there. None if no line names the version.
    """
    selected = tuple(
        line
        for line in lines
        if line.event.startswith("configuration:")
        and line.fields.get("version") == version
    )
    if not selected:
        return None
    first = {line.host: line.at for line in reversed(selected)}
    spread = max(first.values()) - min(first.values())
    return Explanation(
        lines=selected, summary=f"in force on {len(first)} hosts within {spread:.3f} s"
    )


def render(explanation: Explanation) -> Iterator[str]:
    """Yield the lines, each with the seconds since the first one, and the summary."""
    start = explanation.lines[0].at
    width = max(len(line.host) for line in explanation.lines)
    for line in explanation.lines:
        fields = " ".join(
            f"{name}={_format_value(value)}"
            for name, value in line.fields.items()
            if name not in HIDDEN
        )
        yield f"{line.at - start:9.3f}  {line.host:{width}}  {line.event}  {fields}"
    yield f"=> {explanation.summary}"


def _within_context(lines: Iterable[LogLine], own: list[LogLine]) -> Iterator[LogLine]:
    start, end = own[0].at - CONTEXT_SECONDS, own[-1].at + CONTEXT_SECONDS
    return (line for line in lines if start <= line.at <= end)


def _summarize_request(own: list[LogLine]) -> str:
    end_events = [line for line in own if line.event.startswith("ingress:")]
    if not end_events:
        return "no ending is logged: its host died, or left the line out"
    last = end_events[-1]
    reason = last.fields.get("reason")
    outcome = last.event.removeprefix("ingress: ")
    status = last.fields.get("status")
    text = f"{outcome} with {status}" if status else outcome
    if reason is None:
        return f"{text}, {len(end_events)} ending(s)"
    hint = HINTS.get(str(reason))
    forecast = [x for x in own if x.event == "placement: refused by forecast"]
    if forecast and outcome == "refused":
        inputs = forecast[-1].fields
        hint = f"by forecast: wait {inputs.get('wait')} s, "
        hint += f"patience {inputs.get('patience')} s"
    return f"{text}: {reason}" + (f" ({hint})" if hint else "")


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
