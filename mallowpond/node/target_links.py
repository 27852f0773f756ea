"""Open this host's connections to the targets, through peers where its links fail.

A link is the network path between this host and a target. A connection through a peer,
the proxy, is a tunnel.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import zip_longest

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.metrics import NodeMetrics
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.proxy_peers import ProxyPeers
from mallowpond.state.fleet import Target
from mallowpond.state.link_health import (
    CHECKED_TARGETS,
    FleetSize,
    LinkHealth,
    LinkSummary,
)
from mallowpond.transport.connect_race import Attempt, ConnectRace, abort_opened
from mallowpond.transport.connector import (
    Connected,
    ConnectFailed,
    Connector,
    LinkActivity,
)
from mallowpond.transport.tunnel import TunnelAnswer, TunnelConnector, open_through

log = structlog.get_logger()

# Timeout for opening a connection to a target by all ways together, in seconds: some
# tens of round trips. A host that is down does not answer at all.
CONNECT_SECONDS = 0.25
# Time for which a direct connection may take to open before a peer is asked, and the
# time after which the next peer is asked, in seconds: several round trips each.
HEAD_START_SECONDS = 0.05
STAGGER_SECONDS = 0.03
# Time for which a target that only peers reach is asked for at once by both ways, and
# for which one that no peer reaches is not asked for again, in seconds.
ONLY_BY_PROXY_SECONDS = 1.0
UNREACHED_SECONDS = 1.0
# Number of peers that must not reach a target before they are not asked again.
MIN_REFUSALS = 2
# Silence on all direct connections, while a request waits, after which the links are
# checked, in seconds; the interval between two looks at it; and the minimum pause
# between two checks: a single request may wait that long for its first byte.
SILENCE_SECONDS = 0.15
MONITOR_SECONDS = 0.05
CHECK_PAUSE_SECONDS = 1.0
# Number of targets that a check must reach directly before silence of another counts.
MIN_CONFIRMED = 2
# Interval between two checks whether lost links are restored, in seconds.
RESTORE_SECONDS = 1.0
# Interval between two log lines about failed connections, in seconds.
LOG_SECONDS = 1.0


class TargetLinks:
    """Opens connections to targets, and judges this host's links by their outcomes.

    `direct` opens connections to targets and peers without a proxy.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        peers: PeerNetwork,
        clock: Clock,
        metrics: NodeMetrics,
        rng: random.Random,
        direct: Connector,
    ) -> None:
        self._directory = directory
        self._proxies = ProxyPeers(peers=peers, clock=clock, rng=rng)
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._direct = direct
        # By service: a host may lose its links to the targets of some services only.
        self._services: dict[str, _ServiceLinks] = defaultdict(_ServiceLinks)
        self._lost: frozenset[str] = frozenset()
        self._logged_at = float("-inf")
        # Times until which targets, by id, are in these states.
        self._only_by_proxy: dict[str, float] = {}
        self._unreached: dict[str, float] = {}
        # Listed targets by address; None while the list has changed.
        self._by_address: dict[str, Target] | None = None
        self._tunnel_activity = LinkActivity()
        # Called when the links were lost or restored.
        self.on_change: list[Callable[[], None]] = []
        directory.on_change.append(self._forget_targets)

    @property
    def lost(self) -> frozenset[str]:
        """Return the services to whose targets this host has lost its links."""
        return self._lost

    def is_lost(self, service: str) -> bool:
        """Return whether this host has lost its links to the targets of a service."""
        return service in self._lost

    def is_listed(self, address: str) -> bool:
        """Return whether a listed target has this address."""
        return self._find(address) is not None

    def has_link(self, address: str) -> bool:
        """Return whether this host has links to the service of a listed target."""
        target = self._find(address)
        return target is not None and not self.is_lost(target.service)

    def heard_within(self, service: str, seconds: float) -> bool:
        """Return whether a target was heard directly in the last `seconds`."""
        return self._services[service].activity.seconds_since_heard < seconds

    async def run(self) -> None:
        """Check the links when they are silent or lost, until cancelled."""
        while True:
            await self._clock.sleep(MONITOR_SECONDS)
            now = self._clock.now()
            for service, links in list(self._services.items()):
                if self.is_lost(service):
                    if now - links.checked_at >= RESTORE_SECONDS:
                        await self._try_direct(service)
                    continue
                silence = links.activity.longest_silence()
                if silence is None or silence.seconds < SILENCE_SECONDS:
                    continue
                if now - links.checked_at >= CHECK_PAUSE_SECONDS:
                    await self.confirm(service)

    # -- connections ---------------------------------------------------------

    async def connect(self, address: str) -> Connected | ConnectFailed:
        """Open a connection to a target, directly or through a peer."""
        target = self._find(address)
        if target is None:
            return await self._direct.connect(address)
        if self.is_lost(target.service):
            proxies = self._choose_proxies(target)
            return await self._race(target, proxies, is_direct=not proxies)
        return await self._race(target, None, is_direct=True)

    async def connect_directly(self, address: str) -> Connected | ConnectFailed:
        """Open a connection to a target for a peer, without a proxy."""
        opened = await self._direct.connect(address)
        target = self._find(address)
        if target is not None:
            self._record(target, opened, by_peer=False)
        return opened

    async def _race(
        self, target: Target, proxies: list[str] | None, *, is_direct: bool
    ) -> Connected | ConnectFailed:
        """Try the ways one after the other, each a little later than the one before.

        The peers to ask are chosen only when one is needed, if they are not given.
        """
        race, began = ConnectRace(), self._clock.now()
        ends_at, pause = began + CONNECT_SECONDS, 0.0
        direct: Attempt | None = None
        proxy_of: dict[Attempt, str] = {}
        winner: Attempt | None = None
        refusals = 0
        if is_direct:
            direct = race.start(self._direct.connect(target.address))
            if self._only_by_proxy.get(target.id, 0.0) <= began:
                pause = HEAD_START_SECONDS
        try:
            while True:
                for attempt in await race.wait(pause):
                    if isinstance(attempt.result(), Connected):
                        if winner is None or attempt is direct:
                            winner = attempt
                    elif attempt is not direct:
                        refusals += self._is_refusal(attempt, proxy_of[attempt])
                if winner is not None:
                    break
                if proxies is None:
                    proxies = self._choose_proxies(target)
                left = ends_at - self._clock.now()
                if left > 0.0 and proxies:
                    name = proxies.pop(0)
                    proxy_of[race.start(self._open_tunnel(name, target, left))] = name
                    pause = min(left, STAGGER_SECONDS)
                elif left > 0.0 and race.is_pending:
                    pause = left
                elif direct is not None and not direct.done():
                    # Its own timeout does not end it because this process was blocked.
                    pause = CONNECT_SECONDS
                else:
                    break
        except BaseException:
            race.close()
            raise
        race.close(winner, direct)
        if refusals >= MIN_REFUSALS and winner is None:
            self._unreached[target.id] = self._clock.now() + UNREACHED_SECONDS
        return self._settle(target, direct, winner, began)

    def _settle(
        self,
        target: Target,
        direct: Attempt | None,
        winner: Attempt | None,
        began: float,
    ) -> Connected | ConnectFailed:
        """Record the outcome of a race, and return it."""
        is_proxied = winner is not None and winner is not direct
        if direct is not None and direct.done():
            if is_proxied:
                abort_opened(direct)
            self._record(target, direct.result(), by_peer=is_proxied)
        elif direct is not None:
            # A tunnel overtook it; its outcome shows later whether the link works.
            direct.add_done_callback(
                partial(self._record_late, target, by_peer=is_proxied)
            )
        if winner is not None and not is_proxied:
            return replace(
                winner.result(),
                activity=self._services[target.service].activity,
                may_reuse=partial(self._may_reuse_direct, target.service),
            )
        if winner is not None:
            opened = winner.result()
            if direct is not None:
                until = self._clock.now() + ONLY_BY_PROXY_SECONDS
                self._only_by_proxy[target.id] = until
            self._metrics.tunnels.labels("opened").inc()
            self._log_failure(target, direct, opened.proxy, began)
            return opened
        self._log_failure(target, direct, None, began)
        if direct is not None and direct.done():
            return direct.result()
        return ConnectFailed(reason="connect timeout")

    def _record_late(self, target: Target, direct: Attempt, *, by_peer: bool) -> None:
        abort_opened(direct)
        if not direct.cancelled() and direct.exception() is None:
            self._record(target, direct.result(), by_peer=by_peer)

    def _is_refusal(self, attempt: Attempt, name: str) -> bool:
        """Return whether a peer with links did not reach the target either."""
        match attempt.result():
            case TunnelAnswer.UNREACHED:
                self._metrics.tunnels.labels("unreached").inc()
                return True
            case _:
                self._metrics.tunnels.labels("failed").inc()
                self._proxies.avoid(name)
                return False

    async def _open_tunnel(
        self, name: str, target: Target, seconds: float
    ) -> Connected | ConnectFailed | TunnelAnswer:
        address = self._proxies.address_of(name)
        if address is None:
            return ConnectFailed(reason="unknown peer")
        connector = TunnelConnector(
            name=name,
            proxy=address,
            connector=self._direct,
            activity=self._tunnel_activity,
        )
        opened = await open_through(connector, target.address, seconds)
        if isinstance(opened, Connected):
            may_reuse = partial(self._may_reuse_tunnel, name, target)
            return replace(opened, may_reuse=may_reuse)
        return opened

    def _choose_proxies(self, target: Target) -> list[str]:
        """Return the peers to ask, none if they lately did not reach the target."""
        if self._unreached.get(target.id, 0.0) > self._clock.now():
            return []
        return self._proxies.choose(target.service, target.data_centre)

    def _may_reuse_direct(self, service: str) -> bool:
        """Return whether direct connections still work, as far as is known.

        Where only new ones fail, those that are open live on.
        """
        if self._services[service].activity.is_reset:
            return False
        return not self.is_lost(service) or self.heard_within(service, SILENCE_SECONDS)

    def _may_reuse_tunnel(self, name: str, target: Target) -> bool:
        """Return whether a tunnel is still the best way to a target."""
        proxied_until = self._only_by_proxy.get(target.id, 0.0)
        if not (self.is_lost(target.service) or proxied_until > self._clock.now()):
            return False
        return self._proxies.can_carry(target.service, name)

    # -- the state of the links ----------------------------------------------

    async def confirm(self, service: str, since: float = float("inf")) -> bool:
        """Return whether this host reaches targets of a service itself.

        The result of a check that began after `since` is used again, as is one that is
        running.
        """
        if self.is_lost(service):
            return False
        links = self._services[service]
        running = links.confirming
        if running is None or (running.done() and links.checked_at < since):
            running = links.confirming = asyncio.ensure_future(self._confirm(service))
        return await asyncio.shield(running)

    async def _confirm(self, service: str) -> bool:
        """Return whether enough targets of a small sample are reached directly."""
        links, race = self._services[service], ConnectRace()
        links.checked_at = self._clock.now()
        sample = self._draw_targets(service, CHECKED_TARGETS)
        missing = min(MIN_CONFIRMED, len(sample))
        for target in sample:
            race.start(self.connect(target.address))
        try:
            while race.is_pending and missing:
                for attempt in await race.wait(CONNECT_SECONDS):
                    opened = attempt.result()
                    missing -= isinstance(opened, Connected) and not opened.proxy
            return missing <= 0
        finally:
            race.close()

    async def _try_direct(self, service: str) -> None:
        """Open direct connections to a few targets while the links are lost."""
        links = self._services[service]
        links.checked_at = self._clock.now()
        sample = self._draw_targets(service, CHECKED_TARGETS)
        opened = await asyncio.gather(
            *(self.connect_directly(target.address) for target in sample)
        )
        connections = [each for each in opened if isinstance(each, Connected)]
        for connection in connections:
            connection.writer.transport.abort()
        reached = len(connections)
        links.health.record_check(reached=reached, failed=len(sample) - reached)
        self._notify_change()

    def _draw_targets(self, service: str, count: int) -> list[Target]:
        """Return a few random targets, each of another domain where possible."""
        self._index_targets()
        by_domain = self._services[service].by_domain
        domains = self._rng.sample(sorted(by_domain), len(by_domain))
        columns = [
            self._rng.sample(targets, min(count, len(targets)))
            for targets in (by_domain[domain] for domain in domains)
        ]
        rows = zip_longest(*columns)
        return [target for row in rows for target in row if target is not None][:count]

    def _record(
        self, target: Target, opened: Connected | ConnectFailed, *, by_peer: bool
    ) -> None:
        """Record the outcome of a direct connection."""
        now, domain = self._clock.now(), domain_of(target)
        self._index_targets()
        links = self._services[target.service]
        match opened:
            case Connected():
                self._only_by_proxy.pop(target.id, None)
                links.health.record_reached(target.id, domain, now)
            case ConnectFailed():
                links.health.record_unreached(
                    target.id, domain, now, links.size, by_peer=by_peer
                )
        self._notify_change()

    def _notify_change(self) -> None:
        """Log and announce that links were lost or restored, if any were."""
        lost = frozenset(s for s, links in self._services.items() if links.is_lost)
        if lost == self._lost:
            return
        changed, self._lost = lost ^ self._lost, lost
        for service in sorted(changed):
            self._log_change(service)
        for notify in self.on_change:
            notify()

    def _find(self, address: str) -> Target | None:
        self._index_targets()
        return self._by_address.get(address) if self._by_address is not None else None

    def _index_targets(self) -> None:
        if self._by_address is not None:
            return
        targets = self._directory.targets.values()
        self._by_address = {target.address: target for target in targets}
        for links in self._services.values():
            links.by_domain.clear()
        for target in targets:
            by_domain = self._services[target.service].by_domain
            by_domain.setdefault(domain_of(target), []).append(target)

    def _forget_targets(self) -> None:
        self._by_address = None
        now = self._clock.now()
        for until in (self._only_by_proxy, self._unreached):
            for name in [name for name, at in until.items() if at <= now]:
                del until[name]

    def _log_change(self, service: str) -> None:
        links = self._services[service]
        counts = _counts(links.health.summary(self._clock.now()))
        self._metrics.links_lost.labels(service).set(links.is_lost)
        heard = round(links.activity.seconds_since_heard, 3)
        if links.is_lost:
            log.warning("links: lost", service=service, heard=heard, **counts)
        else:
            log.info("links: restored", service=service, heard=heard, **counts)

    def _log_failure(
        self, target: Target, direct: Attempt | None, proxy: str | None, began: float
    ) -> None:
        now = self._clock.now()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        reason = "not tried"
        if direct is not None:
            reason = direct.result().reason if direct.done() else "silent"
        log.info(
            "links: target unreached",
            target=target.id,
            direct=reason,
            proxy=proxy,
            seconds=round(now - began, 3),
            lost=self.is_lost(target.service),
            **_counts(self._services[target.service].health.summary(now)),
        )


@dataclass(kw_only=True)
class _ServiceLinks:
    """The links to the targets of one service.

    `activity` is that of its direct connections; `checked_at` is when a check of the
    links last began.
    """

    health: LinkHealth = field(default_factory=LinkHealth)
    activity: LinkActivity = field(default_factory=LinkActivity)
    by_domain: dict[str, list[Target]] = field(default_factory=dict)
    confirming: asyncio.Future[bool] | None = None
    checked_at: float = float("-inf")

    @property
    def is_lost(self) -> bool:
        # A service without targets has no links to lose.
        return self.health.is_lost and bool(self.by_domain)

    @property
    def size(self) -> FleetSize:
        return FleetSize(
            targets=sum(map(len, self.by_domain.values())), domains=len(self.by_domain)
        )


def _counts(summary: LinkSummary) -> dict[str, int]:
    return {
        "unreached": summary.unreached,
        "unreached_domains": summary.unreached_domains,
        "reached_by_peers": summary.reached_by_peers,
        "reached": summary.reached,
        "reached_domains": summary.reached_domains,
    }


def domain_of(target: Target) -> str:
    """Return the failure domain of a target, its data centre if it names none."""
    return target.domain or target.data_centre
