"""Find the services whose groups are silent for a cause that they share.

A host with a few streams sees too few groups to tell. So it also asks some peers for
the silences of the groups that they watch, as soon as one of its own is due.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.messages import SilencesAnswer, WatchedSilence
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.target_links import domain_of
from mallowpond.state.common_silence import (
    SilenceSummary,
    WatchedGroup,
    is_common,
    summarize_silence,
)
from mallowpond.state.fleet import Group, GroupKey
from mallowpond.state.silence import ADVANCE_SHARE, GroupSilence, is_due

log = structlog.get_logger()

# Time for which a peer's answer is used, and the interval between two questions while a
# group is due, in seconds.
ANSWER_VALID_SECONDS = 0.25
ASK_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class SilentGroup:
    """A group of a service with streams of this host.

    `heard_seconds` is the time since its last event here, None if there was none.
    """

    group: Group
    service: str
    silence: GroupSilence
    heard_seconds: float | None

    @property
    def is_watched(self) -> bool:
        """Return whether its silence tells anything."""
        return self.silence.has_running or is_due(self.silence)

    @property
    def seconds(self) -> float:
        """Return the time since its last event, also if it had no stream since."""
        if self.heard_seconds is None:
            return self.silence.silent_seconds
        return self.heard_seconds


@dataclass(frozen=True, kw_only=True)
class _Told:
    """The silence of a group as a peer told it."""

    silent: float
    at: float


@dataclass(frozen=True, kw_only=True)
class _CommonSilence:
    """A silence of nearly all groups; it began before it was found."""

    began_at: float
    found_at: float


class CommonSilences:
    """The services of which nearly all groups are silent together."""

    def __init__(
        self,
        *,
        directory: Directory,
        peers: PeerNetwork,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._common: dict[str, _CommonSilence] = {}
        self._summaries: dict[str, SilenceSummary] = {}
        self._own: list[SilentGroup] = []
        self._told: dict[GroupKey, _Told] = {}
        self._asked_at = float("-inf")
        peers.on_silences_question.append(self._list_own)
        peers.on_silences_answer.append(self._on_answer)

    def is_common(self, service: str) -> bool:
        """Return whether nearly all groups of a service are silent together."""
        return service in self._common

    def seconds(self, service: str) -> float:
        """Return for how long the silence of a service is known to be common."""
        common = self._common.get(service)
        return 0.0 if common is None else self._clock.now() - common.found_at

    def summary(self, service: str) -> SilenceSummary:
        """Return the counts of the last check in which a group of a service was due."""
        return self._summaries.get(
            service, SilenceSummary(groups=0, domains=0, silent=0)
        )

    def update(self, groups: Iterable[SilentGroup]) -> bool:
        """Judge the silence of the groups; return whether a common one has ended."""
        now, self._own = self._clock.now(), list(groups)
        self._told = {
            key: told
            for key, told in self._told.items()
            if now - told.at < ANSWER_VALID_SECONDS
        }
        by_service: dict[str, list[SilentGroup]] = defaultdict(list)
        for group in self._own:
            by_service[group.service].append(group)
        has_ended = False
        for service in by_service.keys() | self._common.keys():
            common = self._common.get(service)
            began_at = self._judge(service, by_service.get(service, []))
            if began_at is not None and common is None:
                self._common[service] = _CommonSilence(began_at=began_at, found_at=now)
                self._log_begin(service)
            elif began_at is None and common is not None:
                del self._common[service]
                self._log_end(service, now - common.found_at)
                has_ended = True
        return has_ended

    def _judge(self, service: str, groups: list[SilentGroup]) -> float | None:
        """Return when the common silence of a service began, None if there is none."""
        now = self._clock.now()
        due = [group.seconds for group in groups if is_due(group.silence)]
        if not due:
            return None
        common = self._common.get(service)
        seconds = min(due) if common is None else now - common.began_at
        if now - self._asked_at >= ASK_INTERVAL_SECONDS:
            self._asked_at = now
            self._peers.ask_silences()
        summary = summarize_silence(
            list(self._watched(service, groups, seconds)), seconds
        )
        self._summaries[service] = summary
        found = is_common(
            summary,
            groups=self._directory.count_open_groups(service),
            domains=len(self._directory.domains_of_groups(service)),
        )
        return now - seconds if found else None

    def _watched(
        self, service: str, groups: list[SilentGroup], seconds: float
    ) -> Iterable[WatchedGroup]:
        """Return the groups that this host or a peer watches, given one's silence."""
        now = self._clock.now()
        silent: dict[GroupKey, float] = {}
        for group in groups:
            if group.is_watched or group.seconds < ADVANCE_SHARE * seconds:
                silent[group.group.key] = group.seconds
        for key, told in self._told.items():
            known = self._directory.groups.get(key)
            if known is None or known.head is None or known.head.service != service:
                continue
            told_seconds = told.silent + now - told.at
            silent[key] = min(told_seconds, silent.get(key, told_seconds))
        for key, group_seconds in silent.items():
            known = self._directory.groups.get(key)
            if known is not None:
                yield WatchedGroup(
                    domain=domain_of(known.members[0]), silent_seconds=group_seconds
                )

    def _list_own(self) -> tuple[WatchedSilence, ...]:
        """Return the silences of the groups that this host watches."""
        now, loads = self._clock.now(), self._directory.loads
        told = []
        for watched in self._own:
            group, seconds = watched.group, watched.seconds
            if not watched.is_watched:
                continue
            if watched.heard_seconds is not None:
                seconds = min(seconds, now - loads.work(group.key).last_event_at)
            told.append(
                WatchedSilence(
                    group=group.name, epoch=group.epoch, silent=round(seconds, 3)
                )
            )
        return tuple(told)

    def _on_answer(self, answer: SilencesAnswer) -> None:
        now = self._clock.now()
        for silence in answer.silences:
            key = (silence.group, silence.epoch)
            told = self._told.get(key)
            if told is None or silence.silent <= told.silent + now - told.at:
                self._told[key] = _Told(silent=silence.silent, at=now)

    def _log_begin(self, service: str) -> None:
        self._metrics.common_silences.labels(service).inc()
        log.warning("groups: silent together", service=service, **self._counts(service))

    def _log_end(self, service: str, seconds: float) -> None:
        log.info(
            "groups: heard again",
            service=service,
            seconds=round(seconds, 3),
            **self._counts(service),
        )

    def _counts(self, service: str) -> dict[str, int]:
        summary = self.summary(service)
        return {
            "watched": summary.groups,
            "domains": summary.domains,
            "silent_groups": summary.silent,
            "told": len(self._told),
        }
