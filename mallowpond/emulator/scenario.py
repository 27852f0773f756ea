"""Scenarios of the placement simulation, and the result of a run."""

from dataclasses import dataclass

from mallowpond.state.fleet import EngineProfile, ModelSpec
from mallowpond.state.site_configuration import Backend, RepeatPolicy, Route

SERVICE = "engines"
MODEL = "m"
# One-way delay of datagrams between hosts, and of requests to targets, in seconds.
ONE_WAY_SECONDS = 0.002


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load and faults of one simulation run, with all times in seconds.

    rate: arrivals of streams in the whole fleet, per second.
    prompt_tokens, events: mean prompt length and mean number of events of a stream.
    prompt_spread, events_spread: coefficients of variation of these.
    max_events: upper bound of the events of a stream.
    restart_at: time at which all hosts stop, None for never.
    outage_seconds: time from that stop until the hosts start again; callers that arrive
        meanwhile wait and are served as the hosts start.
    replacement_interval: seconds after which one group closes and an empty one opens.
    uses_dispatcher: whether a dispatcher grants slots; otherwise each host chooses
        groups by the loads that the hosts report to each other.
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
    max_events: int = 70
    restart_at: float | None = None
    outage_seconds: float = 1.2
    replacement_interval: float | None = None
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
    """Counts of the streams of one simulation run, by their outcome.

    in_time: streams that met both latency objectives of the route.
    late: streams whose first event missed its objective.
    unserved: streams that were refused for good.
    gaps: streams with a punctual first event but a gap above its objective.
    excess_seconds: stream-seconds of streams in excess of the slots of their group.
    avoidable_excess_seconds: those while another group had a free slot.
    """

    streams: int = 0
    in_time: int = 0
    late: int = 0
    unserved: int = 0
    gaps: int = 0
    excess_seconds: float = 0.0
    avoidable_excess_seconds: float = 0.0
