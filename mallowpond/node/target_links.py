"""Open this host's connections to the targets, and judge its links by them."""

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.state.fleet import Target
from mallowpond.state.link_health import FleetSize, LinkHealth
from mallowpond.transport.connector import Connected, ConnectFailed, Connector

log = structlog.get_logger()

# Interval between two log lines about failed connections, in seconds.
LOG_SECONDS = 1.0


class TargetLinks:
    """Opens connections to targets, and tracks which of them this host reaches."""

    def __init__(
        self, *, directory: Directory, clock: Clock, direct: Connector
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._direct = direct
        self._health = LinkHealth()
        self._logged_at = float("-inf")
        # Listed targets by address; None while the list has changed since.
        self._by_address: dict[str, Target] | None = None
        self._fleet = FleetSize(targets=0, domains=0)
        directory.on_change.append(self._forget_addresses)

    async def connect(self, address: str) -> Connected | ConnectFailed:
        """Open a connection to a target, and record the outcome."""
        began = self._clock.now()
        opened = await self._direct.connect(address)
        target = self._find(address)
        if target is None:
            return opened
        now, domain = self._clock.now(), domain_of(target)
        match opened:
            case Connected():
                self._health.record_reached(target.id, domain, now, self._fleet)
            case ConnectFailed():
                self._health.record_unreached(
                    target.id, domain, now, self._fleet, by_peer=False
                )
                self._log_failure(target, opened, now - began)
        return opened

    def _find(self, address: str) -> Target | None:
        if self._by_address is None:
            targets = self._directory.targets.values()
            self._by_address = {target.address: target for target in targets}
            domains = {domain_of(target) for target in targets}
            self._fleet = FleetSize(targets=len(targets), domains=len(domains))
        return self._by_address.get(address)

    def _forget_addresses(self) -> None:
        self._by_address = None

    def _log_failure(
        self, target: Target, failed: ConnectFailed, seconds: float
    ) -> None:
        now = self._clock.now()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        summary = self._health.summary(now)
        log.info(
            "links: target unreached",
            target=target.id,
            reason=failed.reason,
            refused=failed.is_refused,
            seconds=round(seconds, 3),
            unreached=summary.unreached,
            unreached_domains=summary.unreached_domains,
            reached=summary.reached,
            reached_domains=summary.reached_domains,
        )


def domain_of(target: Target) -> str:
    """Return the failure domain of a target, its data centre if it names none."""
    return target.domain or target.data_centre
