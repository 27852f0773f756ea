"""State of a stream while it is served, of each send of it, and how a send ended.

While the group of each send is in doubt, the stream may be sent to another group too.
The first of them that delivers goes on.
"""

import asyncio
from dataclasses import dataclass, field
from functools import cached_property

from mallowpond.gateway.relay import StreamProgress
from mallowpond.node.outcomes import Reason, Refusal
from mallowpond.node.ports import CallerRequest
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    ModelSpec,
    Process,
)
from mallowpond.state.payload_memory import Hold
from mallowpond.state.site_configuration import Route
from mallowpond.transport.http_server import Exchange


@dataclass(kw_only=True)
class StreamWork:
    """The state of one stream while it is served, across all its sends.

    Times are seconds of the monotonic clock; `waited` and `longest_gap` are durations
    in seconds. `last_event_id` is the id after which another group resumes the stream.
    """

    request: CallerRequest
    route: Route
    service: str
    profile: EngineProfile
    model: ModelSpec
    workspace: str | None
    priority: int
    deadline: float
    exchange: Exchange
    # Complete events that were forwarded to the caller.
    events: int = 0
    last_event_id: str | None = None
    sent_to: list[Process] = field(default_factory=list)
    not_run_sends: int = 0
    sends: int = 0
    # In the order of their start; all but the last one are in doubt.
    in_progress: list["ActiveStream"] = field(default_factory=list)
    # Wait for a slot of another group while all sends are in doubt.
    placing: asyncio.Task[Group | Refusal] | None = None
    # Set when a send has ended or is in doubt, and when a wait for a slot has ended.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    failed: "FailedAnswer | None" = None
    waited: float = 0.0
    started_at: float = 0.0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    # Memory of the bytes that wait to be forwarded, and of a failed answer.
    hold: Hold | None = None

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint that the request shares with its retries."""
        return self.request.fingerprint(self.workspace)

    @cached_property
    def parts(self) -> tuple[str, ...]:
        """Return the keys of the parts of its prompt that other requests share."""
        return self.request.part_keys(self.service, self.model.name)

    @property
    def live_sends(self) -> list["ActiveStream"]:
        """Return the sends in progress that were not cancelled for another one."""
        return [stream for stream in self.in_progress if not stream.is_dropped]

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has part of the answer."""
        return self.last_event_at is not None

    @property
    def prompt_tokens(self) -> float:
        """Return the tokens to prefill: the prompt and the answer written so far."""
        written = self.events * self.profile.stride
        return float(self.request.prompt_tokens + written)


@dataclass(kw_only=True, eq=False)
class ActiveStream:
    """A send of a stream to a group while it is in progress."""

    work: StreamWork
    group: Group
    sent_at: float
    # Seconds from `sent_at` to the first event, predicted from the declared timing.
    predicted: float = 0.0
    # Slowness of the group when the stream was sent, at least 1.
    slowness: float = 1.0
    task: asyncio.Task["AttemptEnd"] | None = None
    # Why another group should go on with the stream, None while there is no doubt.
    move_reason: Reason | None = None
    # Whether another group may be looked for now; False for a while after that failed.
    is_move_due: bool = False
    # Whether the end of its head's process was recorded.
    is_end_recorded: bool = False
    # Whether it was cancelled as another send delivers the answer.
    is_dropped: bool = False
    progress: StreamProgress = field(default_factory=StreamProgress)
    # When its group, which was in doubt, has sent events for long enough.
    recovers_at: float | None = None
    # Complete events that wait until it is known whether this send goes on.
    held: list[bytes] = field(default_factory=list)
    # Whether it waits for the caller to read.
    is_forwarding: bool = False
    # Counted in the group's load until the first event.
    prefill_tokens: float = 0.0
    last_event_at: float | None = None
    events: int = 0
    # Whether it was sent on a direct connection; None while none is open.
    is_direct: bool | None = None

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that were received and are not forwarded yet."""
        return self.progress.partial_bytes + sum(map(len, self.held))

    def record_connected(self, proxy: str) -> None:
        """Record through which peer the stream was sent, "" for a direct connection."""
        self.is_direct = not proxy

    @property
    def key(self) -> GroupKey:
        """Return the group's key."""
        return self.group.key

    @property
    def allowed_gap(self) -> float:
        """Return the longest silence with which the stream is on time, in seconds."""
        route = self.work.route
        if self.last_event_at is None and self.work.first_event_at is None:
            return route.objective_seconds
        return route.gap_objective_seconds or route.objective_seconds

    @property
    def yields(self) -> bool:
        """Return whether events of this send do not end the doubt.

        A slow group sends events too, and one that has lost a member may have sent its
        last ones before that.
        """
        return self.move_reason in (Reason.SLOW_TARGET, Reason.RESTARTED)

    def move(self, reason: Reason) -> None:
        """Let another group go on with the stream if that delivers first."""
        is_certain = reason is Reason.RESTARTED and self.move_reason is not reason
        if self.move_reason is None or is_certain:
            self.move_reason = reason
            self.look_for_group()

    def look_for_group(self) -> None:
        """Let another group be looked for while this send is in doubt."""
        self.is_move_due = self.move_reason is not None
        self.work.changed.set()

    def end_doubt(self) -> None:
        """Let the stream go on at this group alone."""
        self.move_reason = None
        self.is_move_due = False
        self.recovers_at = None


@dataclass(frozen=True, kw_only=True)
class CompleteAnswer:
    """The group's answer ended normally.

    Without a marked end, by a length or chunks, the target may have crashed there.
    """

    status: int
    target: str
    has_marked_end: bool


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The group proved that it did not run the request."""

    reason: Reason


@dataclass(frozen=True, kw_only=True)
class Interrupted:
    """The answer broke off or failed, or the time limit came."""

    reason: Reason


@dataclass(frozen=True, kw_only=True)
class FailedAnswer:
    """The engine ran the request and answered with an error status."""

    status: int
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


AttemptEnd = CompleteAnswer | NotRun | Interrupted | FailedAnswer
