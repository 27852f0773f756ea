"""Decide what becomes of the groups that stand: keep, open, close or take apart."""

from mallowpond.state.fleet import (
    Group,
    GroupKey,
    GroupPhase,
    ModelSpec,
    Target,
)
from mallowpond.state.formation_view import (
    Close,
    Formation,
    FormationView,
    Leave,
    Open,
    Step,
    make_join,
    needs_load,
)
from mallowpond.state.processes import has_restarted

# Time that a group serves on with a member, not its head, that is about to stop, in
# seconds: the member stays up to 10 s while the head has work, the streams that run
# need 2 s to end, and the others are kept back in case the list told late.
LEAVING_MEMBER_SECONDS = 6.0
# Time that members get to join beyond the declared load time, as a multiple of it:
# loads share the weight store and may wait for one another.
JOIN_PATIENCE_FACTOR = 3.0
JOIN_PATIENCE_SECONDS = 4.0
# Time that a group without all its members may look ready, in seconds.
INCOMPLETE_SECONDS = 2.0


class GroupUpkeep:
    """Give standing groups the orders that they need.

    `served` counts the groups of each model that serve or soon will; `reserved` are
    the targets of formations under way, whether they have joined or not: free for
    another group, they would be ordered into two at once.
    """

    def __init__(self, view: FormationView, groups: dict[GroupKey, Group]) -> None:
        self._view = view
        self._groups = groups
        self._listed = {target.id: target for target in view.targets}
        self._held = self._held_by_earlier_groups()
        self.steps: list[Step] = []
        self.served = {model.name: 0.0 for model in view.profile.models}
        self.reserved: set[str] = set()

    def may_join(self, target: Target) -> bool:
        """Tell whether a target may be ordered into a group now."""
        view = self._view
        if target.draining or target.lapsed or target.id in self._held:
            return False
        return target.id not in view.lost and target.id not in view.busy

    def _held_by_earlier_groups(self) -> frozenset[str]:
        """Return targets whose earlier process's group may still serve.

        Joined to another group before that head has left, a target would stand in two
        groups by its id, of which the first is not broken yet.
        """
        return frozenset(
            process.id
            for key, seen in self._view.seen.items()
            if key in self._groups and _may_serve(self._groups[key])
            for process in seen
            if has_restarted((process,), self._listed)
        )

    def keep(self, group: Group) -> bool:
        """Tell whether a group's members stay in it; order what it needs."""
        model = self._view.profile.model(group.model)
        if model is None:
            return True
        match group.phase:
            case GroupPhase.OPEN:
                return self._keep_open(group, model)
            case GroupPhase.CLOSING:
                if self._has_lost(group):
                    # Its work never ends, so it would keep its members until the
                    # stall time has passed.
                    self._dissolve(group)
                else:
                    self._count(group, model)
                return True
            case GroupPhase.BROKEN:
                return False
            case GroupPhase.READY | GroupPhase.JOINING:
                return self._keep_forming(group, model)
            case None:
                return self._keep_headless(group)

    def _count(self, group: Group, model: ModelSpec) -> None:
        if model.name in self.served:
            self.served[model.name] += 1.0

    def _keep_open(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        lost = self._has_lost(group)
        missing = len(group.members) < model.size and view.is_settled
        leaving = self._must_close_soon(group)
        unwanted = lost or group.key in view.repeatedly_suspected
        if not (unwanted or missing or group.is_leaving):
            self._count(group, model)
            return True
        if not (unwanted or leaving or self._can_replace(group, model)):
            # A missing member may only be cut off from the platform's list, and a
            # leaving one stays while its head has work: the group serves on until
            # the member is known to be dead, must go, or can be replaced at once.
            self._count(group, model)
            return True
        if not lost and group.key not in view.repeatedly_suspected:
            self.order_close(group, head, evict=False)
            return True
        self._dissolve(group)
        return True

    def _must_close_soon(self, group: Group) -> bool:
        """Tell whether a member is about to go, whatever work the head has.

        Work that comes to a leaving head is late for the bound of a leaving target;
        other members of a group may leave while it serves.
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
        """Tell whether a member has started again: it holds nothing of the group."""
        if key in self._view.disclaimed:
            return True
        return has_restarted(self._view.seen.get(key, ()), self._listed)

    def _has_lost(self, group: Group) -> bool:
        """Tell whether a member is dead, or has started again since it joined."""
        if self.has_restarted(group.key):
            return True
        known = self._view.formations.get(group.key)
        members = {member.id for member in group.members}
        if known is not None:
            members |= set(known.members)
        return bool(members & self._view.lost)

    def _can_replace(self, group: Group, model: ModelSpec) -> bool:
        """Tell whether the domain has free targets with the weights at hand."""
        domain = group.members[0].domain
        ready = [
            target
            for target in self._view.targets
            if target.domain == domain
            and target.membership is None
            and self.may_join(target)
            and not needs_load(target, model)
        ]
        staying = sum(not member.draining for member in group.members)
        return len(ready) >= model.size - staying

    def order_close(self, group: Group, head: Target, *, evict: bool) -> None:
        """Close a group once its head takes an order."""
        if head.id not in self._view.busy and head.id not in self._view.lost:
            step = Close(target=head, group=group.name, epoch=group.epoch, evict=evict)
            self.steps.append(step)

    def _dissolve(self, group: Group) -> None:
        """Let every member leave; each is free once it has left.

        A head may be opening, or open behind a partition, while the list shows it
        ready or not at all: a member that joined another group without having left
        this one would stand in two groups at once.
        """
        view = self._view
        for member in group.members:
            if member.id not in view.busy and member.id not in view.lost:
                self.steps.append(
                    Leave(target=member, group=group.name, epoch=group.epoch)
                )

    def _keep_forming(self, group: Group, model: ModelSpec) -> bool:
        view = self._view
        head = group.head
        assert head is not None
        known = view.formations.get(group.key)
        whole = len(group.members) == model.size
        gone = known is not None and any(
            m not in {t.id for t in view.targets} or m in view.lost
            for m in known.members
        )
        lost = any(t.id in view.lost for t in group.members)
        gone = gone or self._has_moved_on(known) or self.has_restarted(group.key)
        unwanted = group.key in view.repeatedly_suspected | view.closed
        if lost or gone or group.is_leaving or unwanted:
            self._dissolve(group)
            return True
        if whole and all(_is_ready(t) for t in group.members):
            self._count(group, model)
            if head.id not in view.busy:
                self.steps.append(
                    Open(target=head, group=group.name, epoch=group.epoch)
                )
            return True
        started = (
            known.ordered_at if known else view.first_seen.get(group.key, view.now)
        )
        patience = JOIN_PATIENCE_SECONDS + JOIN_PATIENCE_FACTOR * model.load_seconds
        if known is None and all(_is_ready(t) for t in group.members):
            patience = INCOMPLETE_SECONDS
        if view.now - started > patience:
            self._dissolve(group)
            return True
        self._count(group, model)
        if known is not None:
            self.reserved |= set(known.members)
            self._order_missing_joins(group, known, model)
        return True

    def _has_moved_on(self, known: Formation | None) -> bool:
        """Tell whether a member stands in another group that is not broken."""
        if known is None:
            return False
        return any(
            self._stands_elsewhere(target, known)
            for target in self._view.targets
            if target.id in known.members
        )

    def _stands_elsewhere(self, target: Target, known: Formation) -> bool:
        member = target.membership
        if member is None or (member.group, member.epoch) == known.key:
            return False
        group = self._groups.get((member.group, member.epoch))
        is_broken = group is not None and group.phase is GroupPhase.BROKEN
        # Out of a broken group a member is joined without leaving it first.
        return member.epoch > known.epoch or not is_broken

    def _order_missing_joins(
        self, group: Group, known: Formation, model: ModelSpec
    ) -> None:
        """Order joins again that got lost on their way."""
        view = self._view
        present = {member.id for member in group.members}
        for target in view.targets:
            if target.id not in known.members or target.id in present:
                continue
            if target.id in view.busy:
                continue
            self.steps.append(make_join(target, known, model))

    def _keep_headless(self, group: Group) -> bool:
        """Free the members of a group whose head is not listed."""
        known = self._view.formations.get(group.key)
        if known is not None and not self.has_restarted(group.key):
            listed = any(t.id == known.members[0] for t in self._view.targets)
            waited = self._view.now - known.ordered_at
            lost = any(m in self._view.lost for m in known.members)
            if listed and not lost and waited < JOIN_PATIENCE_SECONDS:
                # The head has not joined yet: the group is still forming.
                model = self._view.profile.model(known.model)
                if model is not None and not self._has_moved_on(known):
                    self._count(group, model)
                    self.reserved |= set(known.members)
                    self._order_missing_joins(group, known, model)
                    return True
        self._dissolve(group)
        return True


def _may_serve(group: Group) -> bool:
    return group.phase not in (None, GroupPhase.BROKEN)


def _is_ready(target: Target) -> bool:
    assert target.membership is not None
    return target.membership.phase is GroupPhase.READY
