"""Mirror the platform's list of targets, and derive the groups from it.

"The list" is the one that the store holds; "listed" means in the list as this host
last read it or received its changes. An entry lapses when its target did not renew it
in time and announced no stop; the target may still run. A target that leaves is about
to shut down; it need not be a member of a group.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from math import inf
from types import MappingProxyType

import structlog

from mallowpond.coordination.ports import Clock, Unavailable
from mallowpond.node.group_loads import GroupLoads
from mallowpond.node.peer_loads import LoadsByGroup
from mallowpond.node.ports import HistoryLost, SiteSource, TargetsRead
from mallowpond.state.broken_groups import BrokenGroups
from mallowpond.state.ended_processes import EndedProcesses
from mallowpond.state.evacuations import can_form_group
from mallowpond.state.fleet import (
    BreakCause,
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Process,
    Target,
    assemble_groups,
    ids_without_start_time,
)
from mallowpond.state.restored_list import RemovedProcesses, merge_restored
from mallowpond.state.revision import era_of, is_later_era, version_of

log = structlog.get_logger()

# Interval between reads of the list, in seconds. Half the time after which a target
# that leaves must get no more work would do for these, but groups open and break
# faster.
POLL_SECONDS = 0.5
# The same for the planner while orders are in progress, in seconds: the list shows when
# they have taken effect.
PLANNER_POLL_SECONDS = 0.2
# The same for the standby reader, in seconds. Most of what it would broadcast the first
# reader has broadcast before; it takes over when the first one fails.
STANDBY_POLL_SECONDS = 1.0
# The same while the list cannot be read, in seconds, for hosts that need not retry
# often: the hosts that do send digests as soon as they can read it.
LOST_POLL_SECONDS = 1.5
# Interval between checks whether the list must be read, in seconds: a host that missed
# the change by which a target leaves detects that well within the 2 s allowed for it.
CHECK_SECONDS = 0.1
# Time after the end of an outage of the store, in seconds, within which live targets
# have written their lapsed entries again.
RELISTING_SECONDS = 2.2
# Interval between full reads of the list, in seconds: a feed of changes may have missed
# one.
FULL_READ_SECONDS = 10.0
# Revision that reads the whole list.
FROM_START = 0
# The same for a follower, in seconds. The readers make full reads themselves and
# broadcast what they find, and a read of a large list takes several calls to the store.
FOLLOWER_FULL_READ_SECONDS = 120.0
# Silence of the readers after which a host reads the list itself, in seconds: the time
# of several digests.
READERS_SILENCE_SECONDS = 0.7
# Time after which a change that a digest announced counts as lost, in seconds: a large
# one comes in many datagrams, which are relayed within each data centre.
MISSED_CHANGE_SECONDS = 0.6
# Time for which a lapsed target is kept, in seconds, and the time after a successful
# probe for which it may get new streams: targets are probed once a second.
LAPSED_RETENTION_SECONDS = 15.0
PROBED_HEALTHY_SECONDS = 1.6


class Directory:
    """Mirror of the platform's list of targets, and which of them may get work.

    Readers poll the list; followers apply the changes that readers broadcast. An entry
    that disappears while it belongs to a group is kept as lapsed, as its target may
    only be cut off from the store. A group gets no new streams while it is excluded,
    for a limited time, or marked as broken, until the list shows it open again.
    """

    def __init__(self, *, source: SiteSource, clock: Clock) -> None:
        self._source = source
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self._groups: dict[GroupKey, Group] = {}
        self._members: dict[GroupKey, set[str]] = {}
        self.loads = GroupLoads(clock=clock)
        self._broken = BrokenGroups()
        self._readmit_at = inf
        self._revision = 0
        self._full_read_at = float("-inf")
        self._lost_at: float | None = None
        self._regained_at = float("-inf")
        self._awaiting_return: set[str] = set()
        self._healthy_at: dict[Process, float] = {}
        self._ended = EndedProcesses()
        self._evacuated: frozenset[str] = frozenset()
        self._lapsed_at: dict[str, float] = {}
        self._removed = RemovedProcesses()
        # Whether this host leaves it to the readers to read the list whole.
        self._awaits_difference = False
        # Whether entries of a restored store were overridden by known ones.
        self._is_restored_doubtful = False
        self.newest_target_at = float("-inf")
        # Revision of the last change of the list, 0 before the first read.
        self.last_change = 0
        self._read_at = float("-inf")
        self._digest_at = float("-inf")
        self._behind_since: float | None = None
        self.poll_seconds = POLL_SECONDS
        self.is_reader: Callable[[], bool] = lambda: True
        self.should_retry_often: Callable[[], bool] = lambda: True
        self.is_standby: Callable[[], bool] = lambda: False
        self.on_change_read: list[Callable[[TargetsRead, int], None]] = []
        self.on_change: list[Callable[[], None]] = []
        # Called with the entries of each read or change, before they are applied; the
        # flag says whether they are the first that this host knows.
        self.on_listed: list[Callable[[Collection[Target], bool], None]] = []
        self.on_broken: list[Callable[[Group, BreakCause, bool], None]] = []

    # -- queries -------------------------------------------------------------

    @property
    def targets(self) -> dict[str, Target]:
        """Return every listed or lapsed target by its identifier."""
        return self._targets

    @property
    def groups(self) -> dict[GroupKey, Group]:
        """Return every formation by its key, as its members' entries show it."""
        return self._groups

    @property
    def is_settled(self) -> bool:
        """Return whether an entry that is missing from the list will stay so.

        False during an outage of the store and shortly after it.
        """
        if self._lost_at is not None:
            return False
        return self._clock.now() - self._regained_at > RELISTING_SECONDS

    @property
    def revision(self) -> int:
        """Return the revision of the list up to which changes were applied."""
        return self._revision

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self._by_service.get(service, {}).values()
            if not (target.draining or target.lapsed)
            and target.data_centre not in self._evacuated
        ]

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose targets get nothing new."""
        return self._evacuated

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Give nothing new to the targets of these data centres, and only of these.

        Work in progress there goes on.
        """
        if data_centres == self._evacuated:
            return
        self._evacuated = data_centres
        for notify in self.on_change:
            notify()

    def is_evacuated(self, group: Group) -> bool:
        """Return whether any member of a group is in an evacuated data centre."""
        return not self._evacuated.isdisjoint(group.data_centres)

    def has_evacuated_targets(self, service: str) -> bool:
        """Return whether a service has targets that only an evacuation excludes."""
        return any(
            target.data_centre in self._evacuated
            and not (target.draining or target.lapsed)
            for target in self._by_service.get(service, {}).values()
        )

    def is_model_evacuated(self, service: str, model: ModelSpec) -> bool:
        """Return whether evacuations have left nothing that may serve a model.

        Nothing is left if no group elsewhere serves it or is being formed, and none can
        be formed from free targets without a load.
        """
        if not self._evacuated or not self.has_evacuated_targets(service):
            return False
        for group in self._groups.values():
            if group.model != model.name or group.members[0].service != service:
                continue
            is_gone = group.phase in (None, GroupPhase.BROKEN)
            if not (is_gone or group.key in self._broken or self.is_evacuated(group)):
                return False
        return not can_form_group(self.all_targets(service), model, self._evacuated)

    def drop_lapsed(self, identifier: str) -> None:
        """Drop a lapsed target that a probe found dead."""
        target = self._targets.get(identifier)
        if target is None or not target.lapsed:
            return
        self._lapsed_at.pop(identifier, None)
        self._replace_targets(
            {k: t for k, t in self._targets.items() if k != identifier}
        )

    def all_targets(self, service: str) -> tuple[Target, ...]:
        """Return every listed or lapsed target of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def serving_groups(self, service: str, model: str) -> list[Group]:
        """Return the groups of a model that may get new streams."""
        now = self._clock.now()
        evacuated = self._evacuated
        return [
            group
            for group in self._groups.values()
            if group.model == model
            and group.phase is GroupPhase.OPEN
            and group.head is not None
            and group.head.service == service
            and not group.head.draining
            and group.key not in self._broken
            and (not evacuated or evacuated.isdisjoint(group.data_centres))
            and self.loads.work(group.key).excluded_until <= now
            and self._is_head_usable(group, now)
        ]

    def count_open_groups(self, service: str) -> int:
        """Return the number of open groups of a service, over all models."""
        return sum(
            group.phase is GroupPhase.OPEN
            and group.head is not None
            and group.head.service == service
            and group.key not in self._broken
            and not self.is_evacuated(group)
            for group in self._groups.values()
        )

    def domains_of_groups(self, service: str) -> set[str]:
        """Return the domains of the heads of a service's open groups."""
        return {
            group.head.domain or group.head.data_centre
            for group in self._groups.values()
            if group.phase is GroupPhase.OPEN
            and group.head is not None
            and group.head.service == service
        }

    def exclude_group(self, key: GroupKey, until: float) -> None:
        """Exclude a group from new streams until the time `until`."""
        work = self.loads.work(key)
        work.excluded_until = max(work.excluded_until, until)
        self._readmit_at = min(self._readmit_at, work.excluded_until)

    def readmit_group(self, key: GroupKey) -> None:
        """End the exclusion of a group from new streams."""
        work, now = self.loads.work(key), self._clock.now()
        work.excluded_until = min(work.excluded_until, now)
        self._readmit_at = min(self._readmit_at, now)

    def consume_readmitted(self) -> bool:
        """Return whether an exclusion has ended since the last call.

        Nothing else wakes the waiting streams then: without this check, streams that
        were moved because of a suspicion were cut off although groups had free slots.
        """
        now = self._clock.now()
        if now < self._readmit_at:
            return False
        ends = (work.excluded_until for work in self.loads.all_work())
        self._readmit_at = min((end for end in ends if end > now), default=inf)
        return True

    def is_broken(self, key: GroupKey) -> bool:
        """Return whether a formation is marked as no longer serving."""
        return key in self._broken

    def mark_broken(
        self, group: Group, cause: BreakCause, *, is_known_to_peers: bool = False
    ) -> None:
        """Exclude a formation from new streams until the list shows it open again.

        With `is_known_to_peers` the peers need no message about it. The call is ignored
        if `group` has another head process than the one known here.
        """
        known = self._groups.get(group.key)
        if known is None or known.head is None or group.head is None:
            return
        if group.key in self._broken or known.head.process != group.head.process:
            return
        self._record_broken(known, cause, is_known_to_peers=is_known_to_peers)

    def _record_broken(
        self, group: Group, cause: BreakCause, *, is_known_to_peers: bool
    ) -> None:
        self._broken.add(group, self._clock.now())
        self.loads.forget_pace(group.key)
        log.warning(
            "groups: broken",
            group=group.name,
            epoch=group.epoch,
            head=group.head.id if group.head else None,
            cause=cause.value,
        )
        for notify in self.on_broken:
            notify(group, cause, is_known_to_peers)

    def _is_head_usable(self, group: Group, now: float) -> bool:
        """Return whether the head is listed, or was found healthy lately.

        A head that is cut off from the store still serves, while one that leaves must
        not get new streams. Both are missing from the list; only a health check tells
        them apart. Without it, a partition of a few heads would disable their groups.
        """
        assert group.head is not None
        if not group.head.lapsed:
            return True
        healthy_at = self._healthy_at.get(group.head.process, float("-inf"))
        return now - healthy_at < PROBED_HEALTHY_SECONDS

    def record_healthy(self, identifier: str) -> None:
        """Record that a health check found a lapsed target healthy and not leaving."""
        now = self._clock.now()
        recent = {
            p: t
            for p, t in self._healthy_at.items()
            if now - t < PROBED_HEALTHY_SECONDS
        }
        target = self._targets.get(identifier)
        if target is not None and target.lapsed:
            recent[target.process] = now
        self._healthy_at = recent

    # -- reading -----------------------------------------------------------

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            if self._must_read():
                await self.refresh()
            await self._clock.sleep(CHECK_SECONDS)

    def read_soon(self) -> None:
        """Make a host that reads the list for others read it without delay."""
        if self.is_reader():
            self._read_at = float("-inf")

    def _must_read(self) -> bool:
        """Return whether this host is due to read the list from the store."""
        now = self._clock.now()
        behind = self._behind_since
        if behind is not None and now - behind > MISSED_CHANGE_SECONDS:
            return now - self._read_at > MISSED_CHANGE_SECONDS
        if now - self._read_at < self._pause_seconds - 0.5 * CHECK_SECONDS:
            return False
        if self.is_reader() or self.poll_seconds < POLL_SECONDS:
            return True
        if now - self._digest_at > READERS_SILENCE_SECONDS:
            return True
        return now - self._full_read_at > FOLLOWER_FULL_READ_SECONDS

    @property
    def _pause_seconds(self) -> float:
        """Return the interval between reads of the list, in seconds."""
        if self._lost_at is None:
            is_usual = self.poll_seconds >= POLL_SECONDS
            if is_usual and self.is_standby():
                return STANDBY_POLL_SECONDS
            return self.poll_seconds
        return POLL_SECONDS if self.should_retry_often() else LOST_POLL_SECONDS

    def apply_digest(
        self,
        last_change: int,
        loads: LoadsByGroup,
        paces: Mapping[GroupKey, tuple[float, int]] = MappingProxyType({}),
    ) -> None:
        """Apply a reader's digest: its last change, the fleet's loads and slow groups.

        A `last_change` above the known revision shows that a change is missing here.
        """
        now = self._clock.now()
        self._digest_at = now
        if last_change <= self._revision:
            self._behind_since = None
            self._record_regained(now)
            self._drop_missing()
        elif self._behind_since is None:
            self._behind_since = now
        if loads and not self.is_reader():
            self.loads.record_totals(loads)
            self.loads.paces.record_published(
                {key: slowness for key, (slowness, _) in paces.items()}, now
            )

    def apply_change(self, read: TargetsRead, *, previous: int) -> None:
        """Apply the changes of the list after revision `previous`, sent by a reader.

        They are ignored if this host lacks earlier changes; it then reads the list.
        Changes that lead to a later era of the store are those to the reader's list.
        """
        if previous > self._revision or read.revision <= self._revision:
            return
        if self._full_read_at == float("-inf"):
            return
        if is_later_era(read.revision, previous):
            if era_of(previous) != era_of(self._revision):
                return
            self._regained_at = self._clock.now()
        self._apply_read(read)
        self._awaits_difference = False
        self._revision = read.revision
        self.last_change = max(self.last_change, read.revision)

    async def refresh(self) -> bool:
        """Read the list or its changes; return whether it could be read."""
        now = self._clock.now()
        self._read_at = now
        self._drop_missing()
        limit = FULL_READ_SECONDS if self.is_reader() else FOLLOWER_FULL_READ_SECONDS
        due = now - self._full_read_at > limit
        due = due or (self._is_restored_doubtful and self.is_settled)
        answer = await self._source.targets(FROM_START if due else self._revision)
        if isinstance(answer, HistoryLost):
            log.warning("targets: history lost", revision=self._revision)
            self._regained_at = now
            if not (self.is_reader() or self._awaits_difference):
                # If every host of a large fleet read it, the store would refuse most.
                self._awaits_difference, self._digest_at = True, now
                return False
            answer = await self._source.targets(FROM_START)
        match answer:
            case Unavailable(reason=reason):
                if self._lost_at is None:
                    self._lost_at = now
                    log.warning("targets: list lost", reason=reason)
                return False
            case HistoryLost():
                return False
        self._record_regained(now)
        if answer.revision < self._revision:
            # A reader's change arrived while the answer was in flight: applying the
            # answer would bring back the state before that change.
            return True
        if answer.whole:
            self._full_read_at = now
            self._awaits_difference = False
            self._is_restored_doubtful = False
        before = self._targets
        is_restored = is_later_era(answer.revision, self._revision)
        if is_restored:
            answer = self._merge_restored(answer, now)
        self._apply_read(answer, is_copy=is_restored)
        self._revision = answer.revision
        self._behind_since = None
        if answer.whole:
            is_change = self._targets != before or not self.last_change
            # Followers compare their revisions with that of the last change.
            is_change = is_change or is_restored
        else:
            is_change = bool(answer.targets or answer.removed or answer.unreadable)
        if is_change:
            self._publish_change(
                _difference(before, answer) if answer.whole else answer
            )
        return True

    def _merge_restored(self, answer: TargetsRead, now: float) -> TargetsRead:
        """Merge the list of a store that came back from a copy with the known one."""
        self._regained_at = now
        merged = merge_restored(self._targets, answer.targets, self._removed)
        self._is_restored_doubtful = merged.is_doubtful
        log.warning(
            "targets: list restored",
            era=era_of(answer.revision),
            version=version_of(answer.revision),
            known=len(self._targets),
            copied=len(answer.targets),
            kept=len(merged.targets),
            doubtful=merged.is_doubtful,
        )
        return replace(answer, targets=merged.targets)

    def _record_regained(self, now: float) -> None:
        if self._lost_at is not None:
            log.info("targets: list regained", away=round(now - self._lost_at, 3))
            self._lost_at = None
            self._regained_at = now

    def _publish_change(self, answer: TargetsRead) -> None:
        """Record the last change, and notify listeners unless it is the first read."""
        previous = self.last_change
        self.last_change = max(self.last_change, answer.revision)
        if previous:
            for notify in self.on_change_read:
                notify(answer, previous)

    def apply_report(self, target: Target) -> None:
        """Apply what a target reports about itself when it is probed.

        A restart is recorded at once, as the list shows the old entry for some seconds;
        the new process gets no work before the list shows it. Other changes are applied
        only while the list cannot be read.
        """
        known = self._targets.get(target.id)
        if known is None or target.process in self._ended:
            return
        if target.process != known.process:
            self._record_ended(known)
            return
        if self._lost_at is None:
            return
        updated = replace(
            known,
            model=target.model,
            staged=target.staged,
            membership=target.membership,
        )
        if updated != known:
            self._replace_targets({**self._targets, target.id: updated})

    def _record_ended(self, target: Target) -> None:
        """Record that a process has ended, before the list shows it."""
        if target.process in self._ended:
            return
        self._ended.add(target.process, self._clock.now())
        log.warning("targets: restarted", target=target.id, born=target.born)
        membership = target.membership
        group = membership and self._groups.get((membership.group, membership.epoch))
        if group:
            self._record_broken(group, BreakCause.RESTARTED, is_known_to_peers=False)

    def count_present(self, processes: Collection[Process]) -> int:
        """Count the processes that are listed and not known to have ended."""
        listed = (self._targets.get(process.id) for process in processes)
        present = {t.process for t in listed if t is not None}
        return sum(p in present and p not in self._ended for p in processes)

    @property
    def is_list_lost(self) -> bool:
        """Return whether the list cannot be read now."""
        return self._lost_at is not None

    def _drop_missing(self) -> None:
        """Drop entries that did not return after an outage or lapsed long ago."""
        limit = self._clock.now() - LAPSED_RETENTION_SECONDS
        for identifier in [i for i, at in self._lapsed_at.items() if at < limit]:
            del self._lapsed_at[identifier]
            self._awaiting_return.add(identifier)
        if not self._awaiting_return or not self.is_settled:
            return
        log.info(
            "targets: lapsed entries dropped", targets=sorted(self._awaiting_return)
        )
        gone, self._awaiting_return = self._awaiting_return, set()
        self._replace_targets({k: t for k, t in self._targets.items() if k not in gone})

    def _apply_read(self, read: TargetsRead, *, is_copy: bool = False) -> None:
        found = dict(self._targets)
        listed = {target.id: target for target in read.targets}
        incomplete = ids_without_start_time(
            listed, found | listed if read.whole else found
        )
        for identifier in incomplete:
            log.warning("targets: start time missing", target=identifier)
            del listed[identifier]
        unreadable = incomplete.union(read.unreadable)
        gone = set(read.removed)
        if read.whole:
            gone |= set(found) - set(listed)
        gone -= set(listed)
        for notify in self.on_listed:
            notify(listed.values(), not found)
        # Equal entries stay the same objects: changes are detected by identity.
        found.update({k: t for k, t in listed.items() if found.get(k) != t})
        for identifier in unreadable:
            # Its target did not fall silent, so the entry has not lapsed. If it were
            # kept as lapsed, a health check at the address in its last readable entry
            # would bring the target back into use.
            found.pop(identifier, None)
        if not self.is_settled:
            # Entries lapse during an outage of the store although their targets live.
            # A node that removed them would have no targets when the store returns.
            self._awaiting_return |= gone
            gone = set()
        self._awaiting_return -= set(listed)
        for identifier in (*listed, *unreadable):
            self._lapsed_at.pop(identifier, None)
        for identifier in gone:
            self._remove(found, identifier)
        self._replace_targets(found)
        if not is_copy:
            self._reinstate_groups(listed.values(), is_change=not read.whole)

    def _reinstate_groups(self, listed: Collection[Target], *, is_change: bool) -> None:
        """Readmit broken groups whose heads the list shows open again.

        A group of which the list shows a member process that has ended is marked as
        broken.
        """
        if not is_change:
            self._ended.readmit(listed, asked_at=self._read_at)
        for target in listed:
            membership = target.membership
            group = membership and self._groups.get(
                (membership.group, membership.epoch)
            )
            if not group:
                continue
            if any(member.process in self._ended for member in group.members):
                if group.key not in self._broken:
                    self._record_broken(
                        group, BreakCause.RESTARTED, is_known_to_peers=True
                    )
                continue
            if group.head is None or group.head.id != target.id:
                continue
            is_readmitted = self._broken.readmit(
                group, is_change=is_change, asked_at=self._read_at
            )
            if is_readmitted:
                log.info("groups: reopened", group=group.name, epoch=group.epoch)

    def _remove(self, found: dict[str, Target], identifier: str) -> None:
        target = found.get(identifier)
        if target is None or target.lapsed:
            return
        if target.draining or target.membership is None:
            del found[identifier]
            return
        self._lapsed_at[identifier] = self._clock.now()
        found[identifier] = replace(target, lapsed=True)
        log.info("targets: lapsed", target=identifier)

    def _replace_targets(self, found: dict[str, Target]) -> None:
        """Replace the list; reassemble only the groups of targets that changed.

        Changes come several times a second, and each affects few groups.
        """
        known = self._targets
        changed = [k for k, t in found.items() if known.get(k) is not t]
        gone = known.keys() - found.keys()
        if not changed and not gone:
            return
        self._log_changes(found, changed, gone)
        self._removed.record([known[k].process for k in gone], self._clock.now())
        restarted = [
            (known[k], found[k])
            for k in changed
            if k in known and known[k].process != found[k].process
        ]
        broken = self._groups_of(earlier for earlier, _ in restarted)
        now = self._clock.now()
        for earlier, later in restarted:
            self._ended.replace(earlier.process, later.process, now)
        self._targets = found
        self._regroup([known[k] for k in (*changed, *gone) if k in known])
        self._regroup([found[k] for k in changed])
        for identifier in (*changed, *gone):
            if identifier in known:
                self._by_service[known[identifier].service].pop(identifier, None)
        for identifier in changed:
            target = found[identifier]
            self._by_service.setdefault(target.service, {})[identifier] = target
        self.loads.forget_idle(self._groups)
        self._broken.prune(self._groups)
        for group in broken:
            self._record_broken(group, BreakCause.RESTARTED, is_known_to_peers=True)
        for notify in self.on_change:
            notify()

    def _groups_of(self, targets: Iterable[Target]) -> list[Group]:
        """Return the known groups that these targets belong to, without repeats."""
        memberships = [t.membership for t in targets if t.membership is not None]
        keys = dict.fromkeys((m.group, m.epoch) for m in memberships)
        return [self._groups[key] for key in keys if key in self._groups]

    def _regroup(self, targets: Collection[Target]) -> None:
        """Reassemble the groups that these targets belonged or belong to."""
        affected = dict.fromkeys(
            t.group_key for t in targets if t.group_key is not None
        )
        for target in targets:
            if target.group_key is not None:
                self._members.setdefault(target.group_key, set()).add(target.id)
        for key in affected:
            members = self._members[key]
            present = [self._targets[m] for m in members if m in self._targets]
            group = assemble_groups(present).get(key)
            if group is not None:
                self._groups[key] = group
            else:
                self._groups.pop(key, None)
                del self._members[key]

    def _log_changes(
        self, found: dict[str, Target], changed: Iterable[str], gone: Iterable[str]
    ) -> None:
        """Log each change on a reader, and counts of changes on other hosts.

        In a large fleet, each change logged by each host would crowd out other lines.
        """
        if not self.is_reader():
            self._log_counts(found, changed, gone)
            return
        for identifier in gone:
            log.info("targets: gone", target=identifier)
        for identifier in changed:
            target, known = found[identifier], self._targets.get(identifier)
            if known is None:
                log.info("targets: new", target=identifier, service=target.service)
                self.newest_target_at = self._clock.now()
            elif known.process != target.process:
                log.info(
                    "targets: process replaced",
                    target=identifier,
                    before=known.born,
                    born=target.born,
                )
            elif known.draining != target.draining:
                log.info("targets: draining", target=identifier)
            elif known.membership != target.membership:
                member = target.membership
                log.info(
                    "targets: membership",
                    target=identifier,
                    group=member.group if member else None,
                    phase=member.phase.value if member else None,
                )

    def _log_counts(
        self, found: dict[str, Target], changed: Iterable[str], gone: Collection[str]
    ) -> None:
        pairs = [(self._targets.get(key), found[key]) for key in changed]
        new = sum(known is None for known, _ in pairs)
        if new:
            self.newest_target_at = self._clock.now()
        known_pairs = [(known, target) for known, target in pairs if known is not None]
        log.info(
            "targets: changed",
            new=new,
            gone=len(gone),
            memberships=sum(k.membership != t.membership for k, t in known_pairs),
            draining=sum(k.draining != t.draining for k, t in known_pairs),
            restarted=sum(k.process != t.process for k, t in known_pairs),
            listed=len(found),
        )


def _difference(before: dict[str, Target], read: TargetsRead) -> TargetsRead:
    """Convert a full read to a list of changes since `before`."""
    listed = {target.id for target in read.targets}
    gone = before.keys() - listed - set(read.unreadable)
    return TargetsRead(
        revision=read.revision,
        targets=tuple(t for t in read.targets if before.get(t.id) != t),
        removed=tuple(sorted(i for i in gone if not before[i].lapsed)),
        unreadable=read.unreadable,
    )
