"""Sum up the work of each model, for the planner and for its log."""

import structlog

from mallowpond.node.directory import Directory
from mallowpond.state.fleet import EngineProfile, Group, GroupPhase, Target
from mallowpond.state.formation_view import FormationView

log = structlog.get_logger()

# Weight of the declared share of a model against the running streams: those rise at
# once when a model has too few groups, but say little while few streams run.
DECLARED_WEIGHT = 0.5
LEAST_SEEN_WORK = 10.0


# Fullness of a model that no open group serves, while its requests are refused or wait:
# what runs on no group says nothing. Read as no need, groups that lost a member would
# stay down beside their free survivors.
UNSERVED_FULLNESS = 1.0


def demand(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return each model's share of the work, half as declared, half as seen.

    Work is counted by the engines that it takes, as the declared shares are. While a
    model has no open group its work is not seen, and the declared shares hold alone.
    """
    running: dict[str, float] = {}
    for model in profile.models:
        groups = _open_groups(directory, model.name)
        if not groups:
            return {}
        streams = sum(directory.loads.load(group.key).running for group in groups)
        running[model.name] = float(model.size * streams)
    total = sum(running.values())
    if total < LEAST_SEEN_WORK:
        return {}
    return {
        model.name: DECLARED_WEIGHT * model.share
        + (1.0 - DECLARED_WEIGHT) * running[model.name] / total
        for model in profile.models
    }


def utilization(directory: Directory, profile: EngineProfile) -> dict[str, float]:
    """Return how full each model's groups are, with what waits here."""
    fullness = {}
    for model in profile.models:
        groups = _open_groups(directory, model.name)
        running = sum(directory.loads.load(group.key).running for group in groups)
        places = len(groups) * profile.slots
        fullness[model.name] = running / places if places else UNSERVED_FULLNESS
    return fullness


def _open_groups(directory: Directory, model: str) -> list[Group]:
    return [
        group
        for group in directory.groups.values()
        if group.model == model and group.phase is GroupPhase.OPEN
    ]


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
