"""Decode the platform's documents into the product's types."""

from collections.abc import Mapping
from typing import Any

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
    KeyHolder,
    Repeat,
    Route,
    Service,
    SiteConfiguration,
)

REPEATS = {
    "idempotent": Repeat.IDEMPOTENT,
    "non_idempotent": Repeat.ONCE,
    "stream": Repeat.STREAM,
}
MILLISECONDS = 0.001


def configuration(document: Mapping[str, Any]) -> SiteConfiguration:
    """Decode the operator's configuration."""
    limits = document.get("limits") or {}
    tenants = document.get("tenants")
    return SiteConfiguration(
        version=int(document["version"]),
        routes=tuple(_route(route) for route in document.get("routes") or ()),
        services={s["name"]: _service(s) for s in document.get("services") or ()},
        keys=_keys(tenants or ()),
        uses_keys=bool(tenants),
        limits=CallerLimits(
            header_bytes=int(limits.get("max_header_bytes", 16384)),
            body_bytes=int(limits.get("max_body_bytes", 4 * 1024 * 1024)),
            header_seconds=limits.get("header_timeout_ms", 3000) * MILLISECONDS,
            idle_seconds=limits.get("idle_timeout_ms", 15000) * MILLISECONDS,
        ),
    )


def _route(route: Mapping[str, Any]) -> Route:
    # A route names either one service or several with weights.
    backends = route.get("backends") or [{"service": route.get("service", "")}]
    return Route(
        name=route["name"],
        host=route["host"].lower(),
        prefix=route["prefix"],
        repeat=REPEATS.get(route.get("kind", ""), Repeat.ONCE),
        backends=tuple(
            Backend(service=b["service"], weight=float(b.get("weight", 1)))
            for b in backends
        ),
        timeout_seconds=route.get("timeout_ms", 0) * MILLISECONDS,
        objective_seconds=route.get("slo_ms", 0) * MILLISECONDS,
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("max_attempts", 1)),
        needs_key=not route.get("no_auth", False),
        resumable=bool(route.get("can_resume", False)),
        gap_seconds=route.get("gap_target_ms", 0) * MILLISECONDS,
    )


def _service(service: Mapping[str, Any]) -> Service:
    engine = service.get("engine")
    return Service(
        name=service["name"],
        max_connections=int(service.get("max_conns", 0)),
        health_path=service.get("health_path") or "/",
        profile=None if engine is None else _profile(engine),
    )


def _profile(engine: Mapping[str, Any]) -> EngineProfile:
    usual = engine.get("usual") or {}
    return EngineProfile(
        slots=int(engine.get("slots", 1)),
        models=tuple(_model(model) for model in engine.get("models") or ()),
        stride=int(engine.get("stride", 1)),
        step_seconds=engine.get("step_ms", 0.0) * MILLISECONDS,
        request_seconds=engine.get("per_seq_ms", 0.0) * MILLISECONDS,
        context_seconds_per_k=engine.get("context_per_k", 0.0) * MILLISECONDS,
        read_tokens_per_second=float(engine.get("read_per_s") or 1.0),
        loads_per_second=float(engine.get("loads_per_s", 0.0)),
        loads_at_once=int(engine.get("loads_at_once", 1)),
        usual_prompt_tokens=float(usual.get("prompt", 0.0)),
        usual_answer_tokens=float(usual.get("answer", 0.0)),
        far_factor=float(engine.get("far_x") or 1.0),
    )


def _model(model: Mapping[str, Any]) -> ModelSpec:
    return ModelSpec(
        name=model["name"],
        size=int(model.get("size", 1)),
        share=float(model.get("share", 1.0)),
        pace=float(model.get("pace", 1.0)),
        load_seconds=float(model.get("load_s", 0.0)),
        warm_seconds=float(model.get("warm_s", 0.0)),
    )


def _keys(tenants: Any) -> dict[str, KeyHolder]:
    keys = {}
    for tenant in tenants:
        holder = KeyHolder(
            workspace=tenant["name"], priority=int(tenant.get("priority", 0))
        )
        keys |= {key: holder for key in tenant.get("api_keys") or ()}
    return keys


def target(identifier: str, row: Mapping[str, Any]) -> Target:
    """Decode an engine's entry in the list, or the same fields of its report."""
    models = row.get("models") or ()
    return Target(
        id=identifier,
        service=row.get("service", ""),
        address=row.get("address", ""),
        data_centre=row.get("zone", ""),
        slots=int(row.get("slots", 0)),
        draining=row.get("state", "ready") == "draining",
        domain=str(row.get("domain", "")),
        model=models[0]["name"] if models else "",
        staged=tuple(_staged(entry) for entry in row.get("staged") or ()),
        membership=_membership(row.get("group")),
        born=int(row.get("born", 0)),
    )


def _staged(entry: Any) -> str:
    return entry if isinstance(entry, str) else entry["name"]


def _membership(group: Mapping[str, Any] | None) -> Membership | None:
    if not group or not group.get("name"):
        return None
    return Membership(
        group=group["name"],
        epoch=int(group["epoch"]),
        rank=int(group.get("rank", 0)),
        phase=GroupPhase(group["state"]),
    )
