"""Sum up the work of each model, for the planner and for its log."""

import structlog

from mallowpond.node.directory import Directory
from mallowpond.state.fleet import EngineProfile, GroupPhase, Target
from mallowpond.state.formation_view import FormationView

log = structlog.get_logger()

# Weight of the declared share of a model against the running streams: those rise at
# once when a model has too few groups, but say little while few streams run.
DECLARED_WEIGHT = 0.5
LEAST_SEEN_WORK = 10.0


def demand(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return each model's share of the work, half as declared, half as seen.

    Work is counted by the engines that it takes, as the declared shares are.
    """
    running = {model.name: 0.0 for model in profile.models}
    sizes = {model.name: model.size for model in profile.models}
    for group in directory.groups.values():
        if group.model in running:
            streams = directory.loads.load(group.key).running
            running[group.model] += sizes[group.model] * streams
    total = sum(running.values())
    if total < LEAST_SEEN_WORK:
        return {}
    return {
        model.name: DECLARED_WEIGHT * model.share
        + (1.0 - DECLARED_WEIGHT) * running[model.name] / total
        for model in profile.models
    }


def pressure(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return how full each model's groups are, with what waits here."""
    fullness = {}
    for model in profile.models:
        groups = [
            group
            for group in directory.groups.values()
            if group.model == model.name and group.phase is GroupPhase.OPEN
        ]
        running = sum(directory.loads.load(g.key).running for g in groups)
        fullness[model.name] = running / max(1, len(groups) * profile.slots)
    return fullness


def log_summary(directory: Directory, view: FormationView) -> None:
    """Log what runs where, for whoever asks later why there was no place."""
    for model in view.profile.models:
        groups = [g for g in directory.groups.values() if g.model == model.name]
        open_groups = [g for g in groups if g.phase is GroupPhase.OPEN]
        loads = [directory.loads.load(g.key) for g in open_groups]
        log.info(
            "planner: model",
            model=model.name,
            open=len(open_groups),
            far=sum(group.is_far for group in open_groups),
            others=[
                f"{g.name}:{g.phase.value if g.phase else 'headless'}"
                for g in groups
                if g.phase is not GroupPhase.OPEN
            ],
            running=sum(load.running for load in loads),
            reading=round(sum(load.reading_tokens for load in loads)),
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
