"""Detect failed and slow groups by their streams, and move the streams away."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.common_silences import CommonSilences, SilentGroup
from mallowpond.node.directory import Directory
from mallowpond.node.messages import GroupBroken, SilenceQuestion, Suspicion
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.stream_work import ActiveStream
from mallowpond.node.streams import StreamService
from mallowpond.node.target_links import TargetLinks
from mallowpond.state.fleet import BreakCause, Group, GroupKey
from mallowpond.state.placement import pass_seconds, silent_seconds
from mallowpond.state.silence import (
    OWN_SILENCE_FACTOR,
    GroupSilence,
    PeerQuery,
    SilenceVerdict,
    classify_silence,
    has_advanced,
    seconds_until_due,
    silence_limit,
)

log = structlog.get_logger()

# Interval between two checks, in seconds: a small part of the shortest gap objectives.
MIN_CHECK_INTERVAL_SECONDS = 0.02
# Longest interval between two checks, in seconds, while no group can have been silent
# long enough to be suspected. In a fleet of 195 hosts that holds for most of them most
# of the time. A stream that begins meanwhile cannot have been silent for too long
# before the next check.
MAX_CHECK_INTERVAL_SECONDS = 0.06
# Events that a stream must have got from a group before the group's pace is judged.
MIN_PACE_EVENTS = 2
# Delay of a check, in seconds, beyond which this process itself counts as stalled: it
# may not have read the groups' events, so the silence of all groups is counted anew.
STALLED_SECONDS = 0.08
# Time for which a group that only this host cannot reach gets none of its streams, in
# seconds; the next stream opens a new connection in place of the silent one.
UNREACHABLE_SECONDS = 1.0


# Time for which a silence that nearly all groups share moves no stream, in seconds.
# After it a stream has little to lose by a second send to any group.
MAX_COMMON_SECONDS = 1.5
# Time within which bytes of any target show that open connections live on, in seconds.
LIVE_SECONDS = 0.15


class GroupWatch:
    """Failure detector for groups: suspects those on which all streams are silent.

    Before it suspects a group it asks the other hosts whether they see progress there.
    Streams of suspected, broken, slow or unreachable groups are moved where possible;
    suspicions and broken groups are broadcast to the peers. `stall_seconds` is the time
    after which a group that makes no progress reports its failure itself; a suspected
    group is excluded for as long.
    """

    def __init__(
        self,
        *,
        streams: StreamService,
        directory: Directory,
        peers: PeerNetwork,
        clock: Clock,
        metrics: NodeMetrics,
        stall_seconds: float,
        links: TargetLinks | None = None,
    ) -> None:
        self._links = links
        self._streams = streams
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._stall_seconds = stall_seconds
        self._due_at = clock.now()
        self._interval = MIN_CHECK_INTERVAL_SECONDS
        self._silence_counts_from = clock.now()
        self._queries: dict[GroupKey, PeerQuery] = {}
        self._common = CommonSilences(
            directory=directory, peers=peers, clock=clock, metrics=metrics
        )
        self._common_ended_at = float("-inf")
        # When the groups that are excluded on a suspicion were suspected.
        self._suspected: dict[GroupKey, float] = {}
        # Groups that only this host did not reach, and until when it excludes them.
        self._unreached: dict[GroupKey, float] = {}
        self._confirmations: set[asyncio.Task[None]] = set()
        # Called when a group is suspected or broken.
        self.on_suspect: list[Callable[[GroupKey], None]] = []
        directory.on_broken.append(self._on_broken)
        peers.on_suspicion.append(self._on_suspicion)
        peers.on_group_broken.append(self._on_group_broken)
        peers.on_silence_question.append(self._on_silence_question)
        peers.on_advance.append(self._on_advance)
        if links is not None:
            links.on_change.append(self._on_links_changed)

    async def run(self) -> None:
        """Check the groups until cancelled."""
        while True:
            if not self._streams.has_streams.is_set():
                # Without streams there is nothing to check.
                await self._streams.has_streams.wait()
                self._due_at = self._clock.now() + self._interval
            await self._clock.sleep(self._interval)
            self.check()

    def check(self) -> None:
        """Check every group that has streams of this host for silence and slowness."""
        now = self._clock.now()
        if now - self._due_at > STALLED_SECONDS:
            self._silence_counts_from = now
        self._interval = MAX_CHECK_INTERVAL_SECONDS
        if self._directory.consume_readmitted():
            self._streams.placement.wake_all()
        by_group: dict[GroupKey, list[ActiveStream]] = defaultdict(list)
        for stream in self._streams.active:
            if not stream.is_dropped:
                by_group[stream.key].append(stream)
        # An earlier query does not apply to streams that were sent since.
        self._queries = {k: q for k, q in self._queries.items() if k in by_group}
        self._readmit_advancing(now)
        silences = {
            key: self._measure_silence(key, streams, now)
            for key, streams in by_group.items()
        }
        if self._update_common(by_group, silences):
            # Groups that are still silent are judged from now on.
            self._silence_counts_from = self._common_ended_at = now
            self._queries.clear()
        else:
            for key, streams in by_group.items():
                settled = [s for s in streams if s.move_reason is None]
                if settled:
                    self._evaluate(key, settled, silences[key])
        self._interval = max(self._interval, MIN_CHECK_INTERVAL_SECONDS)
        self._due_at = now + self._interval

    def _update_common(
        self,
        by_group: dict[GroupKey, list[ActiveStream]],
        silences: dict[GroupKey, GroupSilence],
    ) -> bool:
        """Find silences that nearly all groups share; return whether one has ended."""
        now, loads = self._clock.now(), self._directory.loads
        watched = []
        for key, streams in by_group.items():
            last_event_at = loads.work(key).last_event_at
            since = max(last_event_at, self._silence_counts_from)
            group = SilentGroup(
                group=streams[0].group,
                service=streams[0].work.service,
                silence=silences[key],
                heard_seconds=now - since if last_event_at else None,
            )
            watched.append(group)
        has_ended = self._common.update(watched)
        for service in {group.service for group in watched}:
            if self._common.is_common(service):
                self._streams.ignore_silence(service, now)
        return has_ended

    def _readmit_advancing(self, now: float) -> None:
        """Use suspected groups again that have sent an event since."""
        for key, suspected_at in list(self._suspected.items()):
            work = self._directory.loads.work(key)
            if work.excluded_until <= now:
                del self._suspected[key]
            elif work.last_event_at > suspected_at:
                log.info("groups: suspicion ended by event", group=key[0])
                self.clear(key)
                self._peers.broadcast_suspicion(key, cleared=True)

    def _record_late(
        self, key: GroupKey, streams: list[ActiveStream], now: float
    ) -> None:
        """Record that no first event came although it is long overdue."""
        oldest = min(streams, key=lambda stream: stream.sent_at)
        allowed = self._streams.allowed_first_event(oldest)
        if oldest.last_event_at is None and now - oldest.sent_at > 2.0 * allowed:
            self._directory.loads.record_first_event(key, now - oldest.sent_at, allowed)

    def _evaluate(
        self, key: GroupKey, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        """Judge one group by its silence and its pace."""
        if self._common.is_common(streams[0].work.service):
            self._evaluate_common(key, streams, silence)
            return
        self._record_late(key, streams, self._clock.now())
        if self._is_excluded(key):
            self._move_from_slow(streams)
        else:
            self._evaluate_alone(key, streams, silence)
            self._interval = min(self._interval, seconds_until_due(silence))

    def _evaluate_alone(
        self, key: GroupKey, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        """Judge a group that others do not share the silence of."""
        now = self._clock.now()
        match classify_silence(silence, self._queries.get(key), now):
            case SilenceVerdict.SOUND:
                self._queries.pop(key, None)
                self._move_from_slow(streams)
                self._move_from_silent_connections(streams, silence)
            case SilenceVerdict.ASK:
                self._queries[key] = PeerQuery(asked_at=now)
                self._peers.ask_group_progress(key, silence.silent_seconds)
            case SilenceVerdict.SUSPECT if self._is_isolated(streams[0].work.service):
                del self._queries[key]
                self._leave_unreachable(key, streams, silence)
            case SilenceVerdict.SUSPECT:
                del self._queries[key]
                self._suspect(key, streams, silence)
            case SilenceVerdict.LEAVE:
                del self._queries[key]
                self._leave_unreachable(key, streams, silence)

    def _evaluate_common(
        self, key: GroupKey, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        """Judge a group that is silent as nearly all others are.

        That says nothing against it. It is left if it advances for other hosts, and
        after a long silence any group may serve its streams.
        """
        now, service = self._clock.now(), streams[0].work.service
        query = self._queries.get(key)
        match classify_silence(silence, query, now):
            case SilenceVerdict.ASK:
                self._queries[key] = PeerQuery(asked_at=now)
                self._peers.ask_group_progress(key, silence.silent_seconds)
            case SilenceVerdict.LEAVE:
                del self._queries[key]
                self._leave_unreachable(key, streams, silence)
        if self._common.seconds(service) > MAX_COMMON_SECONDS:
            self._move(streams)

    def _on_silence_question(self, question: SilenceQuestion) -> bool:
        """Return whether this host saw progress of a group that is silent at a peer."""
        key = (question.group, question.epoch)
        if key not in self._directory.groups:
            return False
        own_silence = self._clock.now() - self._directory.loads.work(key).last_event_at
        return has_advanced(own_silence=own_silence, peer_silence=question.silent)

    def _on_advance(self, key: GroupKey) -> None:
        """Record that a peer sees progress of a group."""
        query = self._queries.get(key)
        if query is not None:
            self._queries[key] = replace(query, advanced_at=self._clock.now())

    def _measure_silence(
        self, key: GroupKey, streams: list[ActiveStream], now: float
    ) -> GroupSilence:
        """Return how long a group has been silent here, and how long it may be."""
        work = streams[0].work
        load = self._directory.loads.load_of(streams[0].group, work.profile)
        # The load includes the prompt tokens of other hosts that are to be prefilled.
        predicted = silent_seconds(work.profile, work.model, load)
        oldest = min(stream.sent_at for stream in streams)
        since = max(
            self._directory.loads.work(key).last_event_at,
            oldest,
            self._silence_counts_from,
        )
        delay = self._streams.placement.delay(work.service, work.model.name)
        return GroupSilence(
            silent_seconds=now - since,
            predicted_gap=predicted,
            allowed_gap=min(stream.allowed_gap for stream in streams),
            first_event_seconds=max(
                s.predicted + delay.upper_bound * s.slowness for s in streams
            ),
            has_running=any(stream.events for stream in streams),
        )

    def _suspect(
        self, key: GroupKey, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        self._metrics.suspicions.labels("own").inc()
        service = streams[0].work.service
        summary = self._common.summary(service)
        log.info(
            "groups: suspected",
            group=key[0],
            silent=round(silence.silent_seconds, 3),
            predicted=round(silence.predicted_gap, 3),
            allowed=silence.allowed_gap,
            streams=len(streams),
            watched=summary.groups,
            silent_groups=summary.silent,
        )
        self._exclude_suspected(key)
        self._move(streams)
        links = self._links
        if links is None or links.heard_within(service, silence.silent_seconds):
            self._peers.broadcast_suspicion(key, silent=silence.silent_seconds)
            return
        # All targets are as silent as this one, so the links may be at fault.
        since = self._clock.now() - silence.silent_seconds
        task = asyncio.ensure_future(
            self._confirm_suspicion(key, service, links, since)
        )
        self._confirmations.add(task)
        task.add_done_callback(self._confirmations.discard)

    async def _confirm_suspicion(
        self, key: GroupKey, service: str, links: TargetLinks, silent_since: float
    ) -> None:
        """Report a suspicion to the peers if this host reaches targets itself."""
        if await links.confirm(service):
            silent = self._clock.now() - silent_since
            self._peers.broadcast_suspicion(key, silent=silent)
        elif links.is_lost(service):
            # Peers reach the group for this host.
            self.clear(key)
        else:
            self._exclude_unreached(key)

    def _is_isolated(self, service: str) -> bool:
        """Return whether this host has lost its links to the targets of a service."""
        return self._links is not None and self._links.is_lost(service)

    def _on_links_changed(self) -> None:
        """Move silent streams when the links are lost, and use all groups again.

        The groups that were left as unreached are reached through peers, as are those
        that fell silent with the links.
        """
        if self._links is None or not self._links.lost:
            return
        for key in self._unreached:
            self.clear(key)
        self._unreached.clear()
        for stream in list(self._streams.active):
            service = stream.work.service
            if not stream.is_direct or not self._is_isolated(service):
                continue
            # If any target is heard, only new connections fail.
            is_silent = not self._links.heard_within(service, LIVE_SECONDS)
            if is_silent and self._streams.can_resume(stream):
                stream.move(Reason.LINKS_LOST)

    def _leave_unreachable(
        self, key: GroupKey, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        """Leave a group that makes progress for other hosts but not for this one."""
        self._metrics.suspicions.labels("unreached").inc()
        log.info(
            "groups: unreached",
            group=key[0],
            silent=round(silence.silent_seconds, 3),
            predicted=round(silence.predicted_gap, 3),
            streams=len(streams),
        )
        is_isolated = self._is_isolated(streams[0].work.service)
        if not is_isolated or any(s.is_direct is False for s in streams):
            self._exclude_unreached(key)
        self._move(streams)

    def _exclude_unreached(self, key: GroupKey) -> None:
        """Exclude a group for a short time, or until the links are known to be lost."""
        now = self._clock.now()
        self._unreached = {k: at for k, at in self._unreached.items() if at > now}
        self._unreached[key] = now + UNREACHABLE_SECONDS
        self._directory.readmit_group(key)
        self._exclude(key, UNREACHABLE_SECONDS)

    def _move(self, streams: list[ActiveStream]) -> None:
        """Move the streams that another group can take now; the others stay.

        A suspicion may be wrong: a stream without an alternative is better off on a
        group that may still make progress.
        """
        for stream in streams:
            if self._streams.can_move(stream):
                stream.move(Reason.SILENT_GROUP)

    def _move_from_slow(self, streams: list[ActiveStream]) -> None:
        """Move streams from a group whose pace makes every event late.

        A group at a twelfth of its pace still sends events and is never suspected, but
        its streams would end past their deadlines.
        """
        for stream in streams:
            work = stream.work
            if stream.events < MIN_PACE_EVENTS:
                continue
            load = self._directory.loads.load_of(stream.group, work.profile)
            gap = pass_seconds(work.profile, work.model, load)
            if gap > stream.allowed_gap and self._streams.can_move(stream):
                log.info(
                    "groups: slow",
                    request=work.request.id,
                    group=stream.group.name,
                    gap=round(gap, 3),
                    allowed=stream.allowed_gap,
                )
                stream.move(Reason.SLOW_TARGET)

    def _move_from_silent_connections(
        self, streams: list[ActiveStream], silence: GroupSilence
    ) -> None:
        """Move streams that get no events although their group advances here.

        Each pass has an event for every running stream, so their connection is dead,
        or the target has set them aside.
        """
        now = self._clock.now()
        limit = OWN_SILENCE_FACTOR * silence_limit(silence)
        for stream in streams:
            if stream.last_event_at is None or stream.is_forwarding:
                continue
            silent_since = max(stream.last_event_at, self._silence_counts_from)
            if now - silent_since > limit and self._streams.can_move(stream):
                log.info(
                    "groups: connection silent",
                    request=stream.work.request.id,
                    group=stream.group.name,
                    silent=round(now - silent_since, 3),
                    limit=round(limit, 3),
                )
                stream.move(Reason.SILENT_GROUP)

    def _is_excluded(self, key: GroupKey) -> bool:
        return self._directory.loads.work(key).excluded_until > self._clock.now()

    def _exclude_suspected(self, key: GroupKey) -> None:
        # The group itself reports the failure only after the stall time; until then it
        # would get new streams.
        work = self._directory.loads.work(key)
        work.suspicions += 1
        self._suspected[key] = self._clock.now()
        self._directory.exclude_group(key, self._clock.now() + self._stall_seconds)
        for notify in self.on_suspect:
            notify(key)

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        """Adopt a peer's suspicion unless the group makes progress here."""
        key = (suspicion.group, suspicion.epoch)
        if suspicion.cleared:
            self.clear(key)
            return
        if suspicion.closing:
            self.exclude_closing(key)
            return
        streams = self._streams_on(key)
        is_common = any(self._common.is_common(s.work.service) for s in streams)
        began_at = self._clock.now() - suspicion.silent
        is_old = suspicion.silent > 0.0 and began_at < self._common_ended_at
        if is_common or is_old or self._is_making_progress(key, streams):
            log.info(
                "groups: peer suspicion ignored",
                group=key[0],
                common=is_common,
                silent=round(suspicion.silent, 3),
            )
            return
        self._metrics.suspicions.labels("peer").inc()
        self._exclude_suspected(key)
        self._move(streams)

    def _streams_on(self, key: GroupKey) -> list[ActiveStream]:
        return [s for s in self._streams.active if s.key == key and not s.move_reason]

    def _is_making_progress(self, key: GroupKey, streams: list[ActiveStream]) -> bool:
        """Return whether a group sent an event here too recently to be silent."""
        if not streams:
            return False
        silence = self._measure_silence(key, streams, self._clock.now())
        return silence.silent_seconds < max(
            0.5 * silence.predicted_gap, MIN_CHECK_INTERVAL_SECONDS
        )

    def _on_group_broken(self, message: GroupBroken) -> None:
        """Mark a formation broken that a peer reported; do not broadcast it again."""
        group = self._directory.groups.get((message.group, message.epoch))
        if group is None or group.head is None:
            return
        if group.head.process == message.head:
            self._directory.mark_broken(group, message.cause, is_known_to_peers=True)

    def _on_broken(
        self, group: Group, cause: BreakCause, is_known_to_peers: bool
    ) -> None:
        """Move the streams of a broken formation, and broadcast it to the peers.

        A closing head rejects new streams while running ones complete, so after a
        refusal only streams without recent events are moved. Streams on a process that
        is gone never continue there: they leave even if they have to queue for a slot.
        """
        streams = self._streams_on(group.key)
        if cause is BreakCause.RESTARTED:
            for stream in [s for s in self._streams.active if s.key == group.key]:
                if stream.move_reason is not None or self._streams.can_resume(stream):
                    stream.move(Reason.RESTARTED)
        elif not self._is_making_progress(group.key, streams):
            self._move(streams)
        if not is_known_to_peers:
            self._peers.broadcast_group_broken(group, cause)
        self._metrics.suspicions.labels(cause.value).inc()
        for notify in self.on_suspect:
            notify(group.key)

    def exclude_closing(self, key: GroupKey) -> None:
        """Send no new streams to a group that is closing or being dissolved.

        The list shows that up to one poll later, and each stream sent meanwhile would
        be rejected and have to be placed again.
        """
        until = self._clock.now() + self._stall_seconds
        self._directory.loads.work(key).closing_until = until
        self._directory.exclude_group(key, until)

    def _exclude(self, key: GroupKey, seconds: float) -> None:
        self._directory.exclude_group(key, self._clock.now() + seconds)

    def clear(self, key: GroupKey) -> None:
        """End the suspicion of a group that was found alive."""
        self._suspected.pop(key, None)
        if self._directory.loads.work(key).closing_until <= self._clock.now():
            self._directory.readmit_group(key)
