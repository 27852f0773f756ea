"""What callers saw and what engines did, as the checks read it."""

import json
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any


class RequestKind(str, Enum):
    """Name the kinds of requests."""

    STREAM = "stream"
    ONCE = "once"
    AGAIN = "again"


class Ending(str, Enum):
    """Say how an answer ended for its caller."""

    WHOLE = "whole"
    CUT = "cut"
    NONE = "none"
    HELD = "held"


@dataclass(kw_only=True)
class CallerRecord:
    """Hold one request as its caller saw it; times are those of one host's clock."""

    attempt: str
    kind: RequestKind
    key: str
    node: int
    events: int
    sent_at: float
    deadline: float
    is_kept: bool = False
    # The request's body, which stays the same when its caller sends it again.
    content: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ending: Ending = Ending.NONE
    ended_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class JournalEntry:
    """Hold one line of an engine's journal."""

    at: float
    engine: str
    event: str
    values: dict[str, Any]

    @property
    def group_key(self) -> tuple[str, int] | None:
        """Return the group that the line is about."""
        group = self.values.get("group")
        return None if group is None else (group, self.values["epoch"])


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """Say what was done to which process, and when; `node` None means all nodes."""

    kind: str
    began_at: float
    ended_at: float
    node: int | None = None


@dataclass(frozen=True, kw_only=True)
class Revocation:
    """Say when a key was taken away, and when it was given back."""

    key: str
    accepted_at: float
    restored_at: float


@dataclass(frozen=True, kw_only=True)
class ForeignEntry:
    """Say from when to when an entry of another writer stood under a key."""

    key: str
    written_at: float
    until: float


@dataclass(frozen=True, kw_only=True)
class Run:
    """Hold all that one run left behind."""

    callers: tuple[CallerRecord, ...]
    notes: tuple[JournalEntry, ...]
    disturbances: tuple[Disturbance, ...]
    revocations: tuple[Revocation, ...]
    foreign: tuple[ForeignEntry, ...] = ()
    longest_stall: float = 0.0


def write_run(run: Run, path: Path) -> None:
    """Write what callers saw and what was done, for who traces a failed run."""
    kept = {name: value for name, value in asdict(run).items() if name != "notes"}
    path.write_text(json.dumps(kept, indent=1, default=repr))


def read_journals(folder: Path) -> tuple[JournalEntry, ...]:
    """Return the lines of every journal in a folder, by time.

    A killed engine may leave its last line half written.
    """
    notes = []
    for path in folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            try:
                values = json.loads(line)
            except ValueError:
                continue
            notes.append(
                JournalEntry(
                    at=values.pop("at"),
                    engine=values.pop("engine"),
                    event=values.pop("event"),
                    values=values,
                )
            )
    return tuple(sorted(notes, key=lambda note: note.at))
