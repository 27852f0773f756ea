"""Watch the groups that streams are on, and move streams away from silent ones."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.messages import GroupBroken, SilenceQuestion, Suspicion
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.outcomes import Reason
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.stream_work import ActiveStream
from mallowpond.node.streams import StreamService
from mallowpond.state.fleet import BreakCause, Group, GroupKey
from mallowpond.state.placement import pass_seconds, silent_seconds
from mallowpond.state.silence import (
    GroupSilence,
    PeerQuery,
    SilenceVerdict,
    classify_silence,
    has_advanced,
    seconds_until_due,
)

log = structlog.get_logger()

# Pause between two looks, in seconds: a small part of the shortest gap targets.
MIN_CHECK_INTERVAL_SECONDS = 0.02
# Longest pause between two looks, in seconds: while no group can have been silent long
# enough, as most of 195 hosts find most of the time. A stream that begins meanwhile is
# not due to be asked about for longer.
MAX_CHECK_INTERVAL_SECONDS = 0.06
# Events of a stream from a group after which its pace is taken as known.
MIN_PACE_EVENTS = 2
# A look that comes later than it was due by more shows that this process stood still:
# what looks like a group's silence then is its own, so all groups get a new start.
STALLED_SECONDS = 0.08
# Time for which a group that only this host cannot reach gets none of its streams, in
# seconds: a connection that fell silent is replaced by the next stream's.
UNREACHABLE_SECONDS = 1.0


class GroupWatch:
    """Suspect groups by the silence of all streams on them."""

    def __init__(
        self,
        *,
        streams: StreamService,
        directory: Directory,
        peers: PeerNetwork,
        clock: Clock,
        metrics: NodeMetrics,
        stall_seconds: float,
    ) -> None:
        self._streams = streams
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._stall_seconds = stall_seconds
        self._due_at = clock.now()
        self._interval = MIN_CHECK_INTERVAL_SECONDS
        self._silence_counts_from = clock.now()
        self._doubts: dict[GroupKey, PeerQuery] = {}
        self.on_suspect: list[Callable[[GroupKey], None]] = []
        directory.on_broken.append(self._on_broken)
        peers.on_suspicion.append(self._on_suspicion)
        peers.on_group_broken.append(self._on_group_broken)
        peers.on_silence_question.append(self._on_silence_question)
        peers.on_advance.append(self._on_advance)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            if not self._streams.has_streams.is_set():
                # A host at rest has nothing to look at.
                await self._streams.has_streams.wait()
                self._due_at = self._clock.now() + self._interval
            await self._clock.sleep(self._interval)
            self.check()

    def check(self) -> None:
        """Judge every group that has streams of this host."""
        now = self._clock.now()
        if now - self._due_at > STALLED_SECONDS:
            self._silence_counts_from = now
        self._interval = MAX_CHECK_INTERVAL_SECONDS
        if self._directory.consume_resumed():
            self._streams.placement.wake_all()
        by_group: dict[GroupKey, list[ActiveStream]] = defaultdict(list)
        for stream in self._streams.active:
            if stream.move_reason is None:
                by_group[stream.key].append(stream)
        # A question of long ago says nothing of the streams that came since.
        self._doubts = {k: d for k, d in self._doubts.items() if k in by_group}
        for key, streams in by_group.items():
            quiet = self._quiet(key, streams, now)
            if self._is_excluded(key):
                self._move_from_slow(streams)
            else:
                self._judge(key, streams, quiet)
                self._interval = min(self._interval, seconds_until_due(quiet))
        self._interval = max(self._interval, MIN_CHECK_INTERVAL_SECONDS)
        self._due_at = now + self._interval

    def _judge(
        self, key: GroupKey, streams: list[ActiveStream], quiet: GroupSilence
    ) -> None:
        now = self._clock.now()
        match classify_silence(quiet, self._doubts.get(key), now):
            case SilenceVerdict.SOUND:
                self._doubts.pop(key, None)
                self._move_from_slow(streams)
            case SilenceVerdict.ASK:
                self._doubts[key] = PeerQuery(asked_at=now)
                self._peers.ask_group_progress(key, quiet.silent_seconds)
            case SilenceVerdict.SUSPECT:
                del self._doubts[key]
                self._suspect(key, streams, quiet)
            case SilenceVerdict.LEAVE:
                del self._doubts[key]
                self._leave_unreachable(key, streams, quiet)

    def _on_silence_question(self, question: SilenceQuestion) -> bool:
        """Answer a peer that takes a group for silent."""
        key = (question.group, question.epoch)
        if key not in self._directory.groups:
            return False
        own_silence = self._clock.now() - self._directory.loads.work(key).last_event_at
        return has_advanced(own_silence=own_silence, peer_silence=question.silent)

    def _on_advance(self, key: GroupKey) -> None:
        doubt = self._doubts.get(key)
        if doubt is not None:
            self._doubts[key] = replace(doubt, advanced_at=self._clock.now())

    def _quiet(
        self, key: GroupKey, streams: list[ActiveStream], now: float
    ) -> GroupSilence:
        work = streams[0].work
        load = self._directory.loads.load_of(streams[0].group, work.profile)
        # Tokens that other hosts' prompts still hold are part of the load.
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
        self, key: GroupKey, streams: list[ActiveStream], quiet: GroupSilence
    ) -> None:
        self._metrics.suspicions.labels("own").inc()
        log.info(
            "groups: suspected",
            group=key[0],
            silent=round(quiet.silent_seconds, 3),
            predicted=round(quiet.predicted_gap, 3),
            allowed=quiet.allowed_gap,
            streams=len(streams),
        )
        self._exclude_suspected(key)
        self._move(streams)
        self._peers.broadcast_suspicion(key)

    def _leave_unreachable(
        self, key: GroupKey, streams: list[ActiveStream], quiet: GroupSilence
    ) -> None:
        """Move the streams of a group that advances for other hosts."""
        self._metrics.suspicions.labels("unreached").inc()
        log.info(
            "groups: unreached",
            group=key[0],
            silent=round(quiet.silent_seconds, 3),
            predicted=round(quiet.predicted_gap, 3),
            streams=len(streams),
        )
        self._exclude(key, UNREACHABLE_SECONDS)
        self._move(streams)

    def _move(self, streams: list[ActiveStream]) -> None:
        """Move the streams that may be sent once more; the others stay.

        A suspicion may be wrong: a stream that can go nowhere else is better off
        where its group may still advance.
        """
        for stream in streams:
            if self._streams.can_move(stream):
                stream.move(Reason.SILENT_GROUP)

    def _move_from_slow(self, streams: list[ActiveStream]) -> None:
        """Move streams from a group whose every event comes late.

        At a twelfth of its pace a group lives, so it is never suspected, and its
        streams would end past their callers' time.
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

    def _is_excluded(self, key: GroupKey) -> bool:
        return self._directory.loads.work(key).excluded_until > self._clock.now()

    def _exclude_suspected(self, key: GroupKey) -> None:
        # The group reports that it broke only after the stall time, so until then
        # it would be sent new streams again.
        work = self._directory.loads.work(key)
        work.suspicions += 1
        self._directory.suspend_group(key, self._clock.now() + self._stall_seconds)
        for notify in self.on_suspect:
            notify(key)

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        """Take a peer's suspicion unless this host saw the group advance since."""
        key = (suspicion.group, suspicion.epoch)
        if suspicion.cleared:
            self.clear(key)
            return
        if suspicion.closing:
            self.exclude_closing(key)
            return
        streams = self._streams_on(key)
        if self._is_making_progress(key, streams):
            log.info("groups: suspicion not shared", group=key[0])
            return
        self._metrics.suspicions.labels("peer").inc()
        self._exclude_suspected(key)
        self._move(streams)

    def _streams_on(self, key: GroupKey) -> list[ActiveStream]:
        return [s for s in self._streams.active if s.key == key and not s.moved]

    def _is_making_progress(self, key: GroupKey, streams: list[ActiveStream]) -> bool:
        """Tell whether a group showed an event here too lately to be silent."""
        if not streams:
            return False
        quiet = self._quiet(key, streams, self._clock.now())
        return quiet.silent_seconds < max(
            0.5 * quiet.predicted_gap, MIN_CHECK_INTERVAL_SECONDS
        )

    def _on_group_broken(self, message: GroupBroken) -> None:
        """Take a peer's word that a formation serves no more, and pass it to no one."""
        group = self._directory.groups.get((message.group, message.epoch))
        if group is None or group.head is None:
            return
        if group.head.process == message.head:
            self._directory.mark_broken(group, message.cause, is_known_to_peers=True)

    def _on_broken(
        self, group: Group, cause: BreakCause, is_known_to_peers: bool
    ) -> None:
        """Move the streams of a formation that serves no more, and tell the peers.

        A head that closes turns streams away while those that run there end well, so
        after a refusal only those leave that show no event. What ran on a process that
        is gone never goes on there: it leaves to wait in line where no place is free.
        """
        streams = self._streams_on(group.key)
        if cause is BreakCause.RESTARTED:
            for stream in filter(self._streams.can_resume, streams):
                stream.move(Reason.RESTARTED)
        elif not self._is_making_progress(group.key, streams):
            self._move(streams)
        if not is_known_to_peers:
            self._peers.broadcast_group_broken(group, cause)
        self._metrics.suspicions.labels(cause.value).inc()
        for notify in self.on_suspect:
            notify(group.key)

    def exclude_closing(self, key: GroupKey) -> None:
        """Send no new streams to a group that is closed or taken apart.

        The list shows it up to a poll later, and each stream sent meanwhile is turned
        away and waits for a place anew.
        """
        self._exclude(key, self._stall_seconds)

    def _exclude(self, key: GroupKey, seconds: float) -> None:
        self._directory.suspend_group(key, self._clock.now() + seconds)

    def clear(self, key: GroupKey) -> None:
        """Trust a group again whose members were all found alive."""
        self._directory.resume_group(key)
