"""Decode the platform's documents into the types of `mallowpond.state`.

The private classes declare each document as the platform writes it: field names,
types, and defaults of optional fields.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from mallowpond.node.ports import EngineReport
from mallowpond.state.decoding import (
    Address,
    DecodeFault,
    HeaderText,
    Identifier,
    Name,
    Path,
    Positive,
    Unreadable,
    decode,
)
from mallowpond.state.fleet import (
    EngineProfile,
    GroupPhase,
    Membership,
    ModelSpec,
    Target,
)
from mallowpond.state.site_configuration import (
    Backend,
    CallerLimits,
    KeyOwner,
    RepeatPolicy,
    Route,
    Service,
    SiteConfiguration,
)

REPEAT_POLICIES = {
    "idempotent": RepeatPolicy.IDEMPOTENT,
    "non_idempotent": RepeatPolicy.ONCE,
    "stream": RepeatPolicy.STREAM,
}
SECONDS_PER_MILLISECOND = 0.001
# Fields of an entry or report that may be text or a number of this type.
NUMERIC_FIELDS = {"domain": int, "version": float}


# -- the configuration -------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class _Backend:
    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class _Route:
    name: str
    host: str
    prefix: str
    kind: str = ""
    service: str = ""
    backends: tuple[_Backend, ...] = ()
    timeout_ms: float = 0.0
    slo_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    no_auth: bool = False
    can_resume: bool = False
    gap_target_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Model:
    name: str
    size: float = 1.0
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Usual:
    prompt: float = 0.0
    answer: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Engine:
    slots: float = 1.0
    models: tuple[_Model, ...] = ()
    stride: float = 1.0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    loads_per_s: float = 0.0
    loads_at_once: float = 1.0
    usual: _Usual = _Usual()
    far_x: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Service:
    name: str
    max_conns: float = 0.0
    health_path: Path = Path("")
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Limits:
    max_header_bytes: float = 16384.0
    max_body_bytes: float = 4.0 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, kw_only=True)
class _Tenant:
    name: HeaderText
    # An empty key would admit callers that send an empty one.
    api_keys: tuple[Name, ...] = ()
    priority: int = 0


@dataclass(frozen=True, kw_only=True)
class _Configuration:
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # With an empty list every key is unknown; without the field no keys are asked for.
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(document: Any) -> SiteConfiguration | Unreadable:
    """Decode the operator's configuration; one invalid field makes all unreadable."""
    decoded = decode(document, _Configuration)
    if isinstance(decoded, Unreadable):
        return decoded
    limits = decoded.limits
    return SiteConfiguration(
        version=decoded.version,
        routes=tuple(_route(route) for route in decoded.routes),
        services={service.name: _service(service) for service in decoded.services},
        keys=_keys(decoded.tenants or ()),
        uses_keys=decoded.tenants is not None,
        limits=CallerLimits(
            header_bytes=int(limits.max_header_bytes),
            body_bytes=int(limits.max_body_bytes),
            header_seconds=limits.header_timeout_ms * SECONDS_PER_MILLISECOND,
            idle_seconds=limits.idle_timeout_ms * SECONDS_PER_MILLISECOND,
        ),
    )


def _route(route: _Route) -> Route:
    # A route names either one service or several with weights.
    backends = route.backends or (_Backend(service=route.service),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        repeat=REPEAT_POLICIES.get(route.kind, RepeatPolicy.ONCE),
        backends=tuple(Backend(service=b.service, weight=b.weight) for b in backends),
        timeout_seconds=route.timeout_ms * SECONDS_PER_MILLISECOND,
        objective_seconds=route.slo_ms * SECONDS_PER_MILLISECOND,
        priority=route.priority,
        max_attempts=route.max_attempts,
        needs_key=not route.no_auth,
        resumable=route.can_resume,
        gap_objective_seconds=route.gap_target_ms * SECONDS_PER_MILLISECOND,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=int(service.max_conns),
        health_path=service.health_path or "/",
        profile=None if engine is None else _profile(engine),
        cold_seconds=service.cold_s,
        cold_per_second=service.cold_per_s,
    )


def _profile(engine: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=int(engine.slots),
        models=tuple(_model(model) for model in engine.models),
        stride=int(engine.stride),
        step_seconds=engine.step_ms * SECONDS_PER_MILLISECOND,
        request_seconds=engine.per_seq_ms * SECONDS_PER_MILLISECOND,
        context_seconds_per_k=engine.context_per_k * SECONDS_PER_MILLISECOND,
        prefill_tokens_per_second=engine.read_per_s or 1.0,
        loads_per_second=engine.loads_per_s,
        loads_at_once=int(engine.loads_at_once),
        typical_prompt_tokens=engine.usual.prompt,
        typical_answer_tokens=engine.usual.answer,
        cross_domain_factor=engine.far_x or 1.0,
    )


def _model(model: _Model) -> ModelSpec:
    return ModelSpec(
        name=model.name,
        size=int(model.size),
        share=model.share,
        pace=model.pace,
        load_seconds=model.load_s,
        warm_seconds=model.warm_s,
    )


def _keys(tenants: tuple[_Tenant, ...]) -> dict[str, KeyOwner]:
    keys = {}
    for tenant in tenants:
        owner = KeyOwner(workspace=tenant.name, priority=tenant.priority)
        keys |= {key: owner for key in tenant.api_keys}
    return keys


# -- rows that this system writes --------------------------------------------


@dataclass(frozen=True, kw_only=True)
class OwnRow:
    """Value of a row that this system wrote, and the transaction that wrote it."""

    value: Any
    transaction: str


def decode_own_row(document: Any) -> OwnRow | Unreadable:
    """Decode a row of this system's own tables; its value must be an object."""
    decoded = decode(document, OwnRow)
    if isinstance(decoded, OwnRow) and not isinstance(decoded.value, Mapping):
        return Unreadable(fault=DecodeFault.TYPE, field="value")
    return decoded


# -- entries and reports of engines ------------------------------------------


class _State(str, Enum):
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True)
class _Group:
    name: Name
    epoch: int
    rank: int
    state: GroupPhase


@dataclass(frozen=True, kw_only=True)
class _Named:
    name: Name


@dataclass(frozen=True, kw_only=True)
class _Entry:
    service: Name
    address: Address
    zone: Name
    version: str
    slots: Positive
    state: _State
    cold_left_ms: float
    sequence: int
    # Start time of the process; engines of some platforms do not publish it.
    born: int | None = None
    # Targets of services without models have none of these.
    domain: str | None = None
    models: tuple[_Named, ...] | None = None
    staged: tuple[Name, ...] | None = None
    group: _Group | None = None


@dataclass(frozen=True, kw_only=True)
class _Report:
    sequence: int
    models: tuple[_Named, ...]
    staged: tuple[Name, ...]
    born: int | None = None
    group: _Group | None = None
    stage: str = ""
    busy: bool = False
    queued: float = 0.0
    running: float = 0.0
    kv_used: float = 0.0
    kv_total: float = 0.0
    handles: float = 0.0
    pace: float = 1.0


@dataclass(frozen=True, kw_only=True)
class _Born:
    born: int


@dataclass(frozen=True, kw_only=True)
class _Key:
    id: Identifier


def is_identifier(key: Any) -> bool:
    """Return whether a key is a valid engine id."""
    return isinstance(decode({"id": key}, _Key), _Key)


def decode_target(identifier: Any, row: Any) -> Target | Unreadable:
    """Decode an engine's entry in the list of targets.

    One missing or invalid field makes the whole entry unreadable.
    """
    key = decode({"id": identifier}, _Key)
    if isinstance(key, Unreadable):
        return key
    entry = decode(_normalized(row), _Entry)
    if isinstance(entry, Unreadable):
        return entry
    if "born" in row and entry.born is None:
        return Unreadable(fault=DecodeFault.TYPE, field="born")
    missing = _missing_placement_field(entry)
    if missing:
        return Unreadable(fault=DecodeFault.MISSING, field=missing)
    return Target(
        id=key.id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.slots,
        draining=entry.state is _State.DRAINING,
        domain=entry.domain or "",
        model=_first_model(entry.models or ()),
        staged=entry.staged or (),
        membership=_membership(entry.group),
        born=entry.born,
        cold_seconds=entry.cold_left_ms * SECONDS_PER_MILLISECOND,
    )


def decode_report(listed: Target, document: Any) -> EngineReport | Unreadable:
    """Decode an engine's report; its other fields stay as in its list entry."""
    decoded = decode(_normalized(document), _Report)
    if isinstance(decoded, Unreadable):
        return decoded
    if decoded.born is None and "born" in document:
        return Unreadable(fault=DecodeFault.TYPE, field="born")
    if decoded.born is None and listed.born is not None:
        return Unreadable(fault=DecodeFault.MISSING, field="born")
    # In a report `sequence` counts orders; in the list it counts heartbeats.
    return EngineReport(
        orders=decoded.sequence,
        pace=decoded.pace,
        target=replace(
            listed,
            model=_first_model(decoded.models),
            staged=decoded.staged,
            membership=_membership(decoded.group),
            # Without a start time in the list, there is nothing to compare this one to.
            born=None if listed.born is None else decoded.born,
        ),
    )


def decode_born(document: Any) -> int | None | Unreadable:
    """Decode the process start time in the body of a health answer, None if absent."""
    if not isinstance(document, Mapping) or "born" not in document:
        return None
    decoded = decode(document, _Born)
    return decoded if isinstance(decoded, Unreadable) else decoded.born


def _normalized(row: Any) -> Any:
    """Return an entry or report with variants of a field replaced by one form.

    A domain or version may be a number, a staged model an object with a name, and the
    group of an engine without one may be an empty object or have an empty name.
    """
    if not isinstance(row, Mapping):
        return row
    normalized = dict(row)
    for name, kind in NUMERIC_FIELDS.items():
        if not isinstance(decode(normalized.get(name), kind), Unreadable):
            normalized[name] = str(normalized[name])
    staged = normalized.get("staged")
    if isinstance(staged, list):
        normalized["staged"] = [
            s.get("name") if isinstance(s, dict) else s for s in staged
        ]
    group = normalized.get("group")
    if group == {} or (isinstance(group, dict) and group.get("name") == ""):
        normalized["group"] = None
    return normalized


def _missing_placement_field(entry: _Entry) -> str:
    """Return a placement field that an engine with models lacks, "" if none.

    Without this check the planner would treat such an engine as free and without a
    domain, and order it into a group.
    """
    places = {"domain": entry.domain, "models": entry.models, "staged": entry.staged}
    missing = [name for name, value in places.items() if value is None]
    carries_no_model = not entry.models and not entry.group
    if carries_no_model and {"domain", "staged"} <= set(missing):
        return ""
    return missing[0] if missing else ""


def _first_model(models: tuple[_Named, ...]) -> str:
    return models[0].name if models else ""


def _membership(group: _Group | None) -> Membership | None:
    if group is None:
        return None
    return Membership(
        group=group.name, epoch=group.epoch, rank=group.rank, phase=group.state
    )
