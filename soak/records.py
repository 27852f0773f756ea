"""Records of a run: what callers observed, and the journals of the engines."""

import json
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any


class RequestKind(str, Enum):
    """Kind of a request, which decides its path and whether it may be repeated."""

    STREAM = "stream"
    ONCE = "once"
    AGAIN = "again"


class Ending(str, Enum):
    """How an answer ended for its caller.

    WHOLE: received completely. CUT: ended after its status line. NONE: the connection
    ended without an answer. HELD: nothing was received before the caller gave up.
    """

    WHOLE = "whole"
    CUT = "cut"
    NONE = "none"
    HELD = "held"


@dataclass(kw_only=True)
class CallerRecord:
    """One request as observed by its caller; all times are of one host's clock."""

    attempt: str
    kind: RequestKind
    key: str
    node: int
    events: int
    sent_at: float
    deadline: float
    is_kept: bool = False
    is_first_attempt: bool = True
    # Request body; the retries of a request have the same one.
    content: str = ""
    # Bytes that follow it in the body, and the time over which these are sent.
    padding: int = 0
    # Whether the answer is large, and the time before any of it is read.
    is_answer_large: bool = False
    reading_delay: float = 0.0
    sending_seconds: float = 0.0
    # Ids of the parts of the prompt; the last one is the request's own.
    parts: tuple[str, ...] = ()
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ending: Ending = Ending.NONE
    ended_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class JournalEntry:
    """One line of the journal of an engine."""

    at: float
    engine: str
    event: str
    values: dict[str, Any]

    @property
    def group_key(self) -> tuple[str, int] | None:
        """Return the name and epoch of the group that the entry concerns, if any."""
        group = self.values.get("group")
        return None if group is None else (group, self.values["epoch"])


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """An injected fault; `node` is None if it does not concern a single node."""

    kind: str
    began_at: float
    ended_at: float
    node: int | None = None


@dataclass(frozen=True, kw_only=True)
class Revocation:
    """The interval for which an API key was revoked."""

    key: str
    accepted_at: float
    restored_at: float


@dataclass(frozen=True, kw_only=True)
class ForeignEntry:
    """The interval for which the store held an entry of another writer under a key."""

    key: str
    written_at: float
    until: float


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """An evacuation, from when the store accepted it to the request to end it."""

    data_centre: str
    accepted_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class LinkCut:
    """The interval for which nodes had no links to any engine."""

    nodes: tuple[int, ...]
    began_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class Skew:
    """The interval in which most new connections went to one node."""

    began_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class EnginePause:
    """The interval for which these engines' processes were stopped by a signal."""

    engines: frozenset[str]
    began_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class EngineEnd:
    """The end of an engine's process, noticed at `at`, up to a poll after it."""

    engine: str
    at: float


@dataclass(frozen=True, kw_only=True)
class FatalParts:
    """The interval for which requests with parts that crash engines were sent.

    `companions` are the sound parts and the keys that some of these requests have.
    """

    parts: tuple[str, ...]
    companions: frozenset[str]
    began_at: float
    ended_at: float


@dataclass(frozen=True, kw_only=True)
class Exhaustion:
    """A node exceeded what its host gives it of `what`, and was killed."""

    node: int
    what: str
    used: int
    at: float


@dataclass(frozen=True, kw_only=True)
class Run:
    """All records of one run, as the checks read them."""

    callers: tuple[CallerRecord, ...]
    notes: tuple[JournalEntry, ...]
    disturbances: tuple[Disturbance, ...]
    revocations: tuple[Revocation, ...]
    foreign: tuple[ForeignEntry, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    cuts: tuple[LinkCut, ...] = ()
    fatal_parts: tuple[FatalParts, ...] = ()
    skews: tuple[Skew, ...] = ()
    pauses: tuple[EnginePause, ...] = ()
    engine_ends: tuple[EngineEnd, ...] = ()
    exhaustions: tuple[Exhaustion, ...] = ()
    longest_stall: float = 0.0
    peak_bytes: int = 0
    peak_descriptors: int = 0


def write_run(run: Run, path: Path) -> None:
    """Write the records of a failed run, without the journals, as JSON."""
    fields = {name: value for name, value in asdict(run).items() if name != "notes"}
    path.write_text(json.dumps(fields, indent=1, default=repr))


def read_journals(folder: Path) -> tuple[JournalEntry, ...]:
    """Return the entries of all journals in a folder, ordered by time.

    Skips lines that are not JSON: a killed engine may leave its last one incomplete.
    """
    entries = []
    for path in folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            try:
                values = json.loads(line)
            except ValueError:
                continue
            entries.append(
                JournalEntry(
                    at=values.pop("at"),
                    engine=values.pop("engine"),
                    event=values.pop("event"),
                    values=values,
                )
            )
    return tuple(sorted(entries, key=lambda entry: entry.at))
