"""Routes of a gateway: usable groups, and the configuration version in use."""

from dataclasses import dataclass, field

from mallowpond.protocol.declaration_file import parse_document
from mallowpond.protocol.peer import Routes
from mallowpond.state.declarations import Declaration
from mallowpond.state.rows import GroupRow


@dataclass(kw_only=True)
class RouteTable:
    """The latest routes and the times until which they are valid.

    A group may be used while its permit is valid. All times are on this gateway's clock
    and count from the send of the poll, so that a slow answer or a frozen gateway only
    ever shortens a validity. `permit_seconds` counts from when the controller last
    confirmed that all members of the group had it loaded.
    """

    permit_seconds: float
    config_version: int = 0
    routes_version: int = 0
    declaration: Declaration = field(default_factory=Declaration)
    groups: dict[str, GroupRow] = field(default_factory=dict)
    _config_assured_until: float = 0.0
    _permit_until: dict[tuple[str, int], float] = field(default_factory=dict)
    _revoked_at: dict[tuple[str, int], float] = field(default_factory=dict)
    _excluded: frozenset[str] = frozenset()

    def update(self, routes: Routes, asked_at: float) -> None:
        """Apply the answer to a poll that was sent at `asked_at`."""
        if routes.config_version < self.config_version:
            # The answer is from another controller that has not applied the latest
            # version yet. An accepted version must never revert, so it is ignored.
            return
        self._update_config(routes, asked_at)
        if routes.groups is not None:
            self.groups = {group.group: group for group in routes.groups}
            self.routes_version = routes.routes_version
        self._excluded = frozenset(routes.excluded_hosts)
        # Groups with an age of their own; `seen_age` covers all others.
        exceptions = {(s.group, s.generation): s.age for s in routes.exceptions}
        for group in self.groups.values():
            key = (group.group, group.generation)
            age = exceptions.get(key, routes.seen_age)
            if age is not None:
                self._extend_permit(key, asked_at - age)
        self._drop_expired_permits(asked_at)

    def revoke(self, group: str, generation: int, now: float) -> None:
        """Stop using a group until it is confirmed again after `now`."""
        key = (group, generation)
        self._permit_until.pop(key, None)
        self._revoked_at[key] = now

    def is_config_assured(self, now: float) -> bool:
        """Return whether a controller's assurance of the version in force still holds.

        The time granted to a version also counts for a newer one that replaces it.
        """
        return now < self._config_assured_until

    def serving(self, deployment: str, now: float) -> list[GroupRow]:
        """Return the groups of a deployment that may get new requests."""
        return [
            group
            for group in self.groups.values()
            if group.deployment == deployment and self.is_serving(group, now)
        ]

    def is_serving(self, group: GroupRow, now: float) -> bool:
        """Return whether a group has a valid permit and no excluded host."""
        until = self._permit_until.get((group.group, group.generation), 0.0)
        return now < until and self._excluded.isdisjoint(group.hosts)

    def _update_config(self, routes: Routes, asked_at: float) -> None:
        if routes.config_text is not None:
            declaration = parse_document(routes.config_text)
            if declaration is None:
                return
            self.declaration = declaration
            self.config_version = routes.config_version
        if routes.config_left is None or routes.config_version != self.config_version:
            return
        self._config_assured_until = max(
            self._config_assured_until, asked_at + routes.config_left
        )

    def _extend_permit(self, key: tuple[str, int], seen_at: float) -> None:
        # A controller that has not noticed the failure yet still reports its last
        # confirmation of the group, which must not reinstate the permit.
        if seen_at <= self._revoked_at.get(key, 0.0):
            return
        until = seen_at + self.permit_seconds
        self._permit_until[key] = max(until, self._permit_until.get(key, until))

    def _drop_expired_permits(self, now: float) -> None:
        kept = {k: until for k, until in self._permit_until.items() if until > now}
        self._permit_until = kept
        oldest = now - self.permit_seconds
        self._revoked_at = {k: at for k, at in self._revoked_at.items() if at > oldest}
