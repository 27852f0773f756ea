"""Find the services whose groups are silent for a cause that they share."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.target_links import domain_of
from mallowpond.state.common_silence import (
    SilenceSummary,
    WatchedGroup,
    is_common,
    summarize_silence,
)
from mallowpond.state.fleet import Group
from mallowpond.state.silence import GroupSilence, is_due

log = structlog.get_logger()


@dataclass(frozen=True, kw_only=True)
class SilentGroup:
    """A group of a service with streams of this host, and its silence."""

    group: Group
    service: str
    silence: GroupSilence


class CommonSilences:
    """The services of which nearly all groups are silent together for this host."""

    def __init__(self, *, directory: Directory, metrics: NodeMetrics) -> None:
        self._directory = directory
        self._metrics = metrics
        # When the silence was found, by service.
        self._found_at: dict[str, float] = {}
        self._summaries: dict[str, SilenceSummary] = {}

    def is_common(self, service: str) -> bool:
        """Return whether nearly all groups of a service are silent together."""
        return service in self._found_at

    def seconds(self, service: str, now: float) -> float:
        """Return for how long the silence of a service is known to be common."""
        return now - self._found_at.get(service, now)

    def has_advancing(self, service: str) -> bool:
        """Return whether some group of a service advances while others are due."""
        summary = self._summaries.get(service)
        return summary is not None and summary.silent < summary.groups

    def update(self, groups: Iterable[SilentGroup], now: float) -> bool:
        """Judge the silence of the watched groups; return whether one has ended."""
        by_service: dict[str, list[SilentGroup]] = defaultdict(list)
        for group in groups:
            by_service[group.service].append(group)
        has_ended = False
        for service in by_service.keys() | self._found_at.keys():
            was_common = service in self._found_at
            if self._judge(service, by_service.get(service, [])):
                self._found_at.setdefault(service, now)
            else:
                found_at = self._found_at.pop(service, now)
            if was_common != (service in self._found_at):
                self._log_change(service, 0.0 if not was_common else now - found_at)
                has_ended = has_ended or was_common
        return has_ended

    def _judge(self, service: str, groups: list[SilentGroup]) -> bool:
        due = [g.silence.silent_seconds for g in groups if is_due(g.silence)]
        if not due:
            self._summaries.pop(service, None)
            return False
        watched = [
            WatchedGroup(
                domain=domain_of(g.group.members[0]),
                silent_seconds=g.silence.silent_seconds,
            )
            for g in groups
            if g.silence.has_running or is_due(g.silence)
        ]
        summary = self._summaries[service] = summarize_silence(watched, min(due))
        domains = self._directory.domains_of_groups(service)
        return is_common(
            summary,
            groups=self._directory.count_open_groups(service),
            domains=len(domains),
        )

    def _log_change(self, service: str, seconds: float) -> None:
        summary = self._summaries.get(service)
        counts = (
            {}
            if summary is None
            else {
                "watched": summary.groups,
                "domains": summary.domains,
                "silent_groups": summary.silent,
            }
        )
        if service in self._found_at:
            self._metrics.common_silences.labels(service).inc()
            log.warning("groups: silent together", service=service, **counts)
        else:
            log.info(
                "groups: heard again",
                service=service,
                seconds=round(seconds, 3),
                **counts,
            )
