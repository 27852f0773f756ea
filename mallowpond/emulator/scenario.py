"""Describe loads on the placing of streams, and count what came of them."""

from dataclasses import dataclass

from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.site_configuration import Backend, RepeatPolicy, Route

SERVICE = "engines"
MODEL = "m"
# Time that a datagram takes, and a request or an answer between host and engine.
WAY_SECONDS = 0.002


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Describe a load; rates are a second, times in seconds.

    With `restart_at` all hosts are gone from then on for `away`; who came meanwhile
    comes back while they start. With `replaced_every` a group closes and another one
    opens empty, after each such time.
    """

    name: str
    hosts: int
    groups: int
    rate: float
    seconds: float = 12.0
    prompt_tokens: float = 674.0
    prompt_spread: float = 0.89
    events: float = 28.0
    events_spread: float = 0.7
    most_events: int = 70
    restart_at: float | None = None
    away: float = 1.2
    replaced_every: float | None = None
    uses_dispatcher: bool = True


PROFILE = EngineProfile(
    slots=10,
    models=(ModelSpec(name=MODEL, size=1, pace=0.6, share=1.0),),
    stride=6,
    step_seconds=0.0078,
    request_seconds=0.0000947,
    prefill_tokens_per_second=45_900.0,
    typical_prompt_tokens=674.0,
    typical_answer_tokens=168.0,
)
FIRST_EVENT_SECONDS = 0.11
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    repeat=RepeatPolicy.STREAM,
    backends=(Backend(service=SERVICE, weight=1),),
    timeout_seconds=6.0,
    objective_seconds=0.303,
    max_attempts=2,
    resumable=True,
    gap_objective_seconds=0.2,
)


@dataclass(kw_only=True)
class SimulationResult:
    """Count what became of the streams of one play."""

    streams: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    gaps: int = 0
    # Stream-seconds beyond the slots of groups, and those of them beside which a slot
    # was free on another group.
    beyond: float = 0.0
    beside: float = 0.0
