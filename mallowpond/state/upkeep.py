"""Plan the orders that open, close or dissolve existing groups."""

from collections.abc import Iterable

from mallowpond.state.fleet import (
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Target,
)
from mallowpond.state.formation_view import (
    Close,
    EndCause,
    Formation,
    FormationView,
    Leave,
    Open,
    Step,
    make_join,
    needs_load,
)
from mallowpond.state.processes import has_restarted

# Time for which a group goes on serving after a member other than the head announced
# its stop, in seconds. Such a member stays for up to 10 s while the head has work; the
# running streams need 2 s to end, and the other 2 s allow for a late list entry.
LEAVING_MEMBER_SECONDS = 6.0
# Members may take this multiple of the declared load time to join, plus
# `JOIN_PATIENCE_SECONDS`, since loads share the weight store and wait for one another.
JOIN_PATIENCE_FACTOR = 3.0
JOIN_PATIENCE_SECONDS = 4.0
# Time for which an incomplete group of unknown origin may look ready, in seconds.
INCOMPLETE_SECONDS = 2.0
# Time within which a head that was ordered to end its streams does so, in seconds.
# After it, all members leave; at a twelfth of their pace the streams take too long.
EVICTION_SECONDS = 1.0


class GroupUpkeep:
    """Collects the orders that existing groups need.

    steps: the orders so far.
    served: number of groups per model that serve or will do so soon.
    reserved: ids of all members of formations that are being formed, joined or not.
        Used for another group, they would be ordered into two groups at once.
    """

    def __init__(self, view: FormationView, groups: dict[GroupKey, Group]) -> None:
        self._view = view
        self._groups = groups
        self._listed = {target.id: target for target in view.targets}
        self._in_earlier_groups = self._ids_in_earlier_groups()
        self.steps: list[Step] = []
        self.served = {model.name: 0.0 for model in view.profile.models}
        self.reserved: set[str] = set()

    def can_join(self, target: Target) -> bool:
        """Return whether a target can be ordered into a group now."""
        view = self._view
        if target.draining or target.lapsed or target.id in self._in_earlier_groups:
            return False
        if target.data_centre in view.evacuated:
            return False
        return target.id not in view.lost and target.id not in view.busy

    def _ids_in_earlier_groups(self) -> frozenset[str]:
        """Return the ids of restarted targets whose former group may still serve.

        If such a target joined another group before the head of the former one has
        left, its id would be in two groups, and the first is not broken yet.
        """
        return frozenset(
            process.id
            for key, seen in self._view.seen.items()
            if key in self._groups and _may_serve(self._groups[key])
            for process in seen
            if has_restarted((process,), self._listed)
        )

    def maintain(self, group: Group) -> bool:
        """Order what a group needs; return whether its members stay reserved for it."""
        model = self._view.profile.model(group.model)
        if model is None:
            return True
        if self._is_dissolved_for_slowness(group):
            self.dissolve_slow(group)
            return True
        match group.phase:
            case GroupPhase.OPEN:
                return self._maintain_open(group, model)
            case GroupPhase.CLOSING:
                if self._has_lost(group):
                    # Its work never ends, so it would keep its members until the
                    # stall timeout.
                    self._dissolve(group, EndCause.LOST_MEMBER)
                else:
                    self._count_served(group, model)
                return True
            case GroupPhase.BROKEN:
                return False
            case GroupPhase.READY | GroupPhase.JOINING:
                return self._maintain_forming(group, model)
            case None:
                return self._maintain_headless(group)

    def dissolve_lost(self) -> None:
        """Dissolve the groups that have lost a member, and order nothing else."""
        for group in self._groups.values():
            is_known = self._view.profile.model(group.model) is not None
            is_whole = group.phase is GroupPhase.BROKEN or not self._has_lost(group)
            if is_known and not is_whole:
                self._dissolve(group, EndCause.LOST_MEMBER)

    def has_evacuated(self, identifiers: Iterable[str]) -> bool:
        """Return whether any of these targets is in an evacuated data centre."""
        listed = map(self._listed.get, identifiers)
        return any(t and t.data_centre in self._view.evacuated for t in listed)

    def is_evacuated(self, group: Group) -> bool:
        """Return whether a member, listed or ordered, is in an evacuated data centre.

        Such a group gets no work. It is kept as it is, so that it serves again at once
        when the evacuation ends, but does not count as served until then.
        """
        if not self._view.evacuated.isdisjoint(group.data_centres):
            return True
        formation = self._view.formations.get(group.key)
        return formation is not None and self.has_evacuated(formation.members)

    def _count_served(self, group: Group, model: ModelSpec) -> None:
        if model.name in self.served and not self.is_evacuated(group):
            self.served[model.name] += 1.0

    def _maintain_open(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        lost = self._has_lost(group)
        missing = len(group.members) < model.size and view.is_settled
        leaving = self._must_close_soon(group)
        unwanted = lost or group.key in view.repeatedly_suspected
        if not (unwanted or missing or group.is_leaving):
            self._count_served(group, model)
            return True
        if not (unwanted or leaving or self._can_replace(group, model)):
            # A missing member may only be cut off from the list, and a leaving one
            # stays while its head has work. So the group goes on serving until the
            # member is known to be dead, must go, or can be replaced at once.
            self._count_served(group, model)
            return True
        if not lost and group.key not in view.repeatedly_suspected:
            cause = EndCause.MISSING_MEMBER if missing else EndCause.LEAVING_MEMBER
            self.order_close(group, head, evict=False, cause=cause)
            return True
        cause = EndCause.LOST_MEMBER if lost else EndCause.SUSPECTED
        self._dissolve(group, cause)
        return True

    def _must_close_soon(self, group: Group) -> bool:
        """Return whether a member will stop soon even if the head still has work.

        A leaving head must stop within a bound, so it gets no more work. Other members
        stay for a while, so the group may go on serving.
        """
        if group.head is not None and group.head.draining:
            return True
        now, since = self._view.now, self._view.leaving_since
        return any(
            now - since.get(member.id, now) > LEAVING_MEMBER_SECONDS
            for member in group.members
            if member.draining
        )

    def has_restarted(self, key: GroupKey) -> bool:
        """Return whether a member restarted or denies its membership.

        It then has no state of the formation.
        """
        if key in self._view.disclaimed:
            return True
        return has_restarted(self._view.seen.get(key, ()), self._listed)

    def _has_lost(self, group: Group) -> bool:
        """Return whether a member is lost, or restarted since it joined."""
        if self.has_restarted(group.key):
            return True
        formation = self._view.formations.get(group.key)
        members = {member.id for member in group.members}
        if formation is not None:
            members |= set(formation.members)
        return bool(members & self._view.lost)

    def _can_replace(self, group: Group, model: ModelSpec) -> bool:
        """Return whether the domain has enough free targets that need no load."""
        domain = group.members[0].domain
        ready = [
            target
            for target in self._view.targets
            if target.domain == domain
            and target.membership is None
            and self.can_join(target)
            and not needs_load(target, model)
            and not self._view.is_slow(target.id)
        ]
        staying = sum(not member.draining for member in group.members)
        return len(ready) >= model.size - staying

    def order_close(
        self, group: Group, head: Target, *, evict: bool, cause: EndCause
    ) -> None:
        """Order a group to close, unless its head is lost or has an order under way."""
        if head.id not in self._view.busy and head.id not in self._view.lost:
            self.steps.append(
                Close(
                    target=head,
                    group=group.name,
                    epoch=group.epoch,
                    evict=evict,
                    cause=cause,
                )
            )

    def _dissolve(self, group: Group, cause: EndCause) -> None:
        """Order every member to leave; each is free once it has left.

        While the list shows a head as ready, or not at all, it may be opening, or open
        behind a partition. A member that joined another group without leaving this one
        would be in two groups at once.
        """
        view = self._view
        for member in group.members:
            if member.id not in view.busy and member.id not in view.lost:
                self.steps.append(
                    Leave(
                        target=member,
                        group=group.name,
                        epoch=group.epoch,
                        cause=cause,
                    )
                )

    def _is_dissolved_for_slowness(self, group: Group) -> bool:
        """Return whether a group with slow members needs orders to be dissolved."""
        since = self._view.dissolving.get(group.key)
        if since is None or group.phase is GroupPhase.BROKEN:
            return False
        is_closing = group.phase is GroupPhase.CLOSING
        return not is_closing or self._view.now - since > EVICTION_SECONDS

    def dissolve_slow(self, group: Group) -> None:
        """Dissolve a group with slow members, once its head has ended its streams.

        Its streams go on at other groups. A head that leaves with streams would end
        them too, but the list shows a closing head to a planner that takes over.
        """
        known = self._view.regrouping
        has_streams = known is not None and known.streams.get(group.key, 0) > 0
        head = group.head
        is_open = group.phase is GroupPhase.OPEN and not self._has_lost(group)
        if head is not None and is_open and has_streams:
            self.order_close(group, head, evict=True, cause=EndCause.SLOW_MEMBER)
        else:
            self._dissolve(group, EndCause.SLOW_MEMBER)

    def _maintain_forming(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        formation = view.formations.get(group.key)
        is_complete = len(group.members) == model.size
        gone = formation is not None and any(
            m not in {t.id for t in view.targets} or m in view.lost
            for m in formation.members
        )
        lost = any(t.id in view.lost for t in group.members)
        gone = (
            gone
            or self._has_member_elsewhere(formation)
            or self.has_restarted(group.key)
        )
        unwanted = group.key in view.repeatedly_suspected | view.closed
        if lost or gone or group.is_leaving or unwanted:
            cause = EndCause.LEAVING_MEMBER if group.is_leaving else EndCause.CLOSED
            self._dissolve(group, EndCause.LOST_MEMBER if lost or gone else cause)
            return True
        if self.is_evacuated(group) and not group.data_centres <= view.evacuated:
            # It cannot be completed, and would hold its members elsewhere.
            self._dissolve(group, EndCause.EVACUATED)
            return True
        if is_complete and self.is_evacuated(group):
            return True
        if is_complete and all(_is_ready(t) for t in group.members):
            self._count_served(group, model)
            if head.id not in view.busy:
                self.steps.append(
                    Open(target=head, group=group.name, epoch=group.epoch)
                )
            return True
        started = (
            formation.ordered_at
            if formation
            else view.first_seen.get(group.key, view.now)
        )
        patience = JOIN_PATIENCE_SECONDS + JOIN_PATIENCE_FACTOR * model.load_seconds
        if formation is None and all(_is_ready(t) for t in group.members):
            patience = INCOMPLETE_SECONDS
        if view.now - started > patience:
            self._dissolve(group, EndCause.INCOMPLETE)
            return True
        self._count_served(group, model)
        if formation is not None:
            self.reserved |= set(formation.members)
            self._order_missing_joins(group, formation, model)
        return True

    def _has_member_elsewhere(self, formation: Formation | None) -> bool:
        """Return whether a member is in another group that prevents this formation."""
        if formation is None:
            return False
        return any(
            self._is_elsewhere(target, formation)
            for target in self._view.targets
            if target.id in formation.members
        )

    def _is_elsewhere(self, target: Target, formation: Formation) -> bool:
        member = target.membership
        if member is None or (member.group, member.epoch) == formation.key:
            return False
        group = self._groups.get((member.group, member.epoch))
        is_broken = group is not None and group.phase is GroupPhase.BROKEN
        # A target can join directly from a broken group, without leaving it first.
        return member.epoch > formation.epoch or not is_broken

    def _order_missing_joins(
        self, group: Group, formation: Formation, model: ModelSpec
    ) -> None:
        """Repeat the joins of targets that are not listed as members and not busy."""
        view = self._view
        if self.has_evacuated(formation.members):
            return
        joined = {member.id for member in group.members}
        for target in view.targets:
            if target.id not in formation.members or target.id in joined:
                continue
            if target.id in view.busy:
                continue
            self.steps.append(make_join(target, formation, model))

    def _maintain_headless(self, group: Group) -> bool:
        """Dissolve a group whose head is not listed, unless the head may still join."""
        formation = self._view.formations.get(group.key)
        if formation is not None and not self.has_restarted(group.key):
            listed = any(t.id == formation.members[0] for t in self._view.targets)
            waited = self._view.now - formation.ordered_at
            lost = any(m in self._view.lost for m in formation.members)
            if listed and not lost and waited < JOIN_PATIENCE_SECONDS:
                # The head has not joined yet: the group is still forming.
                model = self._view.profile.model(formation.model)
                if model is not None and not self._has_member_elsewhere(formation):
                    self._count_served(group, model)
                    self.reserved |= set(formation.members)
                    self._order_missing_joins(group, formation, model)
                    return True
        self._dissolve(group, EndCause.HEADLESS)
        return True


def _may_serve(group: Group) -> bool:
    return group.phase not in (None, GroupPhase.BROKEN)


def _is_ready(target: Target) -> bool:
    assert target.membership is not None
    return target.membership.phase is GroupPhase.READY
