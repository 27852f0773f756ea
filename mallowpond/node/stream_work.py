"""One stream while it is served, each of its sends, and how a send ended."""

import asyncio
from dataclasses import dataclass, field
from functools import cached_property

from mallowpond.gateway.relay import StreamProgress
from mallowpond.node.outcomes import Reason
from mallowpond.node.ports import CallerRequest
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    ModelSpec,
    Process,
)
from mallowpond.state.site_configuration import Route
from mallowpond.transport.http_server import Exchange


@dataclass(kw_only=True)
class StreamWork:
    """Hold the state of one stream while it is served."""

    request: CallerRequest
    route: Route
    service: str
    profile: EngineProfile
    model: ModelSpec
    workspace: str | None
    priority: int
    deadline: float
    exchange: Exchange
    progress: StreamProgress = field(default_factory=StreamProgress)
    last_event: str | None = None
    sent_to: list[Process] = field(default_factory=list)
    not_run: int = 0
    sends: int = 0
    sent_at: float = 0.0
    waited: float = 0.0
    started_at: float = 0.0
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0

    @cached_property
    def fingerprint(self) -> str:
        """Return what the request shares with its returns."""
        return self.request.fingerprint(self.workspace)

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller has part of the answer."""
        return self.last_event_at is not None

    @property
    def prompt_tokens(self) -> float:
        """Return the tokens that a group reads first, those written so far too."""
        written = self.progress.events * self.profile.stride
        return float(self.request.prompt_tokens + written)


@dataclass(kw_only=True, eq=False)
class ActiveStream:
    """Watch one stream's send to one group."""

    work: StreamWork
    group: Group
    sent_at: float
    # Time of its first event by the declared timing, in seconds from `sent_at`.
    predicted: float = 0.0
    # By what factor its group was slow then.
    slowness: float = 1.0
    task: asyncio.Task["AttemptEnd"] | None = None
    moved: Reason | None = None
    reading: float = 0.0
    last_event_at: float | None = None
    events: int = 0

    @property
    def key(self) -> GroupKey:
        """Return the group's key."""
        return self.group.key

    @property
    def allowed_gap(self) -> float:
        """Return the silence that leaves the stream on time, in seconds."""
        route = self.work.route
        if self.last_event_at is None and self.work.first_event_at is None:
            return route.objective_seconds
        return route.gap_objective_seconds or route.objective_seconds

    def move(self, reason: Reason) -> None:
        """Stop the send; the stream goes on at another group."""
        if self.moved is None and self.task is not None:
            self.moved = reason
            self.task.cancel()


@dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """The group's answer ended as it should."""

    status: int


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The group proved that it did not run the request."""

    reason: Reason


@dataclass(frozen=True, kw_only=True)
class Interrupted:
    """The answer broke off, failed, or the stream was moved away."""

    reason: Reason


@dataclass(frozen=True, kw_only=True)
class FailedAnswer:
    """The engine ran the request and answered with a failure of its own."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


AttemptEnd = WholeAnswer | NotRun | Interrupted | FailedAnswer
