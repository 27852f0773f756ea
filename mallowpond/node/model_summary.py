"""Summarize the load of each model for the planner and its log."""

import structlog

from mallowpond.node.directory import Directory
from mallowpond.state.fleet import (
    EngineProfile,
    Group,
    GroupKey,
    GroupPhase,
    Target,
)
from mallowpond.state.formation_view import FormationView

log = structlog.get_logger()

# Weight of a model's declared share against its share of running streams: those rise at
# once when a model has too few groups, but say little while few streams run.
DECLARED_WEIGHT = 0.5
# Running streams, weighted by group size, below which only declared shares are used.
MIN_OBSERVED_WORK = 10.0


# Utilization assumed for a model without an open group: its requests are refused or
# wait, so no stream runs. Counted as no demand, groups that lost a member were not
# formed anew although the surviving targets were free.
UNSERVED_UTILIZATION = 1.0


def demand(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return each model's share of the load by name, half declared, half observed.

    Load is weighted by the engines of a group, as the declared shares are. The result
    is empty, so that declared shares apply, while some model has no open group, whose
    load cannot be observed, or too few streams run.
    """
    running: dict[str, float] = {}
    for model in profile.models:
        groups = _open_groups(directory, model.name)
        if not groups:
            return {}
        streams = sum(directory.loads.load(group.key).running for group in groups)
        running[model.name] = float(model.size * streams)
    total = sum(running.values())
    if total < MIN_OBSERVED_WORK:
        return {}
    return {
        model.name: DECLARED_WEIGHT * model.share
        + (1.0 - DECLARED_WEIGHT) * running[model.name] / total
        for model in profile.models
    }


def utilization(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return the share of each model's slots in use, by model name."""
    result = {}
    for model in profile.models:
        groups = _open_groups(directory, model.name)
        running = sum(directory.loads.load(group.key).running for group in groups)
        slots = len(groups) * profile.slots
        result[model.name] = running / slots if slots else UNSERVED_UTILIZATION
    return result


def streams(directory: Directory) -> dict[GroupKey, int]:
    """Return the running streams of each group that is listed open and not broken."""
    return {
        key: directory.loads.load(key).running
        for key, group in directory.groups.items()
        if group.phase is GroupPhase.OPEN and not directory.is_broken(key)
    }


def running(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return the running streams of each model, those of closing groups included."""
    totals = {model.name: 0.0 for model in profile.models}
    for group in directory.groups.values():
        if group.model in totals:
            totals[group.model] += directory.loads.load(group.key).running
    return totals


def _open_groups(directory: Directory, model: str) -> list[Group]:
    return [
        group
        for group in directory.groups.values()
        if group.model == model
        and group.phase is GroupPhase.OPEN
        and not directory.is_broken(group.key)
        and not directory.is_evacuated(group)
    ]


def log_summary(directory: Directory, view: FormationView) -> None:
    """Log the groups, loads and targets, which explain later why no slot was free."""
    for model in view.profile.models:
        groups = [g for g in directory.groups.values() if g.model == model.name]
        evacuated = [g for g in groups if directory.is_evacuated(g)]
        open_groups = [
            g
            for g in groups
            if g.phase is GroupPhase.OPEN and not directory.is_evacuated(g)
        ]
        loads = [directory.loads.load(g.key) for g in open_groups]
        log.info(
            "planner: model",
            model=model.name,
            open=len(open_groups),
            evacuated=len(evacuated),
            far=sum(group.spans_domains for group in open_groups),
            others=[
                f"{g.name}:{g.phase.value if g.phase else 'headless'}"
                for g in groups
                if g.phase is not GroupPhase.OPEN
            ],
            running=sum(load.running for load in loads),
            reading=round(sum(load.prefill_tokens for load in loads)),
            slowness=[round(load.slowness, 1) for load in loads],
        )
    free = [t for t in view.targets if t.membership is None]
    log.info(
        "planner: targets",
        listed=len(view.targets),
        lost=len(view.lost),
        free=_by_domain(free, view),
        loading=len(view.loading),
    )


def _by_domain(targets: list[Target], view: FormationView) -> dict[str, list[str]]:
    domains: dict[str, list[str]] = {}
    for target in targets:
        models = domains.setdefault(target.domain, [])
        state = "free"
        for name, known in (
            ("lost", view.lost),
            ("busy", view.busy),
            ("loading", view.loading),
        ):
            if target.id in known:
                state = name
        if target.draining:
            state = "draining"
        models.append(f"{state}:{'+'.join(target.staged)}")
    return {domain: sorted(models) for domain, models in domains.items()}
