"""Elect the node that plans groups, by a lease row with a fencing number."""

import random
from collections.abc import Callable

import structlog

from mallowpond.coordination.ports import (
    Clock,
    Committed,
    Conflict,
    Row,
    TableService,
    Unavailable,
    UnreadableRow,
)
from mallowpond.coordination.store import (
    TypedPut,
    commit_and_resolve,
    new_id,
    transaction,
)
from mallowpond.node.messages import Heartbeat
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.store_era import KnownEra
from mallowpond.node.unreadable import UnreadableLog
from mallowpond.state.decoding import DecodeFault, Unreadable, decode
from mallowpond.state.fences import highest_fence, next_fence
from mallowpond.state.ownership import ranked_by_capacity
from mallowpond.state.revision import era_of
from mallowpond.state.rows import LeaseRow

log = structlog.get_logger()

LEASE_KEY = "leases/planner"
LEASE_NAME = "planner"
# Interval between two checks of which node should plan, in seconds.
CHECK_SECONDS = 0.2
# Interval between two renewals, in seconds, and the time after which a lease that was
# not renewed expires: three renewals and the longest usual response time.
RENEW_SECONDS = 1.5
LEASE_SECONDS = 5.0
# Time without a renewal after which a lease is taken from a host of which no heartbeat
# was received, in seconds: one renewal and a few checks. A host that has just started
# lacks the heartbeats of some others. When heartbeats alone decided, the lease changed
# its holder five times in a second at a fleet's start and ended with a host that had
# half a core.
UNRENEWED_SECONDS = RENEW_SECONDS + 0.5
# Maximum age of a renewal that proves that the lease is held, in seconds: less than the
# second without heartbeats after which another node takes over.
CONFIRMED_SECONDS = 0.8
# Time after its start in which a node only waits for a planner's heartbeat, in seconds.
DISCOVERY_SECONDS = 0.6


class Leadership:
    """Acquires, renews and gives up the planner's lease for this node.

    A node acquires the lease when none of its live peers plans and it ranks first by
    capacity. Each new holder writes a higher fencing number. Engines that check fencing
    refuse the orders of earlier holders; without such checks the lease has to expire
    before another node acquires it. `has_links` returns whether this node has links to
    the targets; a node without them hands over to one that has.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        table: TableService,
        peers: PeerNetwork,
        clock: Clock,
        rng: random.Random,
        checks_fencing: bool,
        can_plan: Callable[[], bool],
        has_links: Callable[[], bool] = lambda: True,
        cores: float = 0.0,
        era: KnownEra | None = None,
        unreadable_log: UnreadableLog | None = None,
    ) -> None:
        self._unreadable_log = unreadable_log or UnreadableLog()
        self._name = name
        self._cores = cores
        self._incarnation = incarnation
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._checks_fencing = checks_fencing
        self._can_plan = can_plan
        self._has_links = has_links
        self._era = era or KnownEra()
        self._era.on_restored.append(self._suspend)
        self._fence = 0
        # Whether the store was restored since this node wrote its lease.
        self._is_suspended = False
        self._version = 0
        self._renewed_at = float("-inf")
        self._started_at = clock.now()
        # The lease row's version, and the time at which it was first seen.
        self._unchanged_since: tuple[int, float] | None = None
        self.on_acquired: list[Callable[[], None]] = []
        # Called when this node goes on planning with another fencing number.
        self.on_reclaimed: list[Callable[[], None]] = []

    @property
    def fence(self) -> int:
        """Return the fencing number for orders, 0 while this node may not plan."""
        if self._fence == 0 or self._is_suspended:
            return 0
        age = self._clock.now() - self._renewed_at
        if age < LEASE_SECONDS or self._checks_fencing:
            return self._fence
        return 0

    @property
    def renewal_age(self) -> float:
        """Return the seconds since the last renewal that succeeded was sent."""
        return self._clock.now() - self._renewed_at

    async def run(self) -> None:
        """Acquire, renew and give up the lease until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(CHECK_SECONDS)

    async def step(self) -> None:
        """Check once which node should plan, and renew or acquire the lease if due."""
        now = self._clock.now()
        if self._fence:
            if self._is_superseded():
                self.step_down("a peer plans with a higher fencing number")
            elif not self._has_links() and self._planning_candidates():
                self.step_down("this node has no links to the targets")
            elif self._is_suspended or now - self._renewed_at >= RENEW_SECONDS:
                await self.renew()
            return
        if self._should_acquire(now):
            await self._acquire()

    def step_down(self, reason: str) -> None:
        """Stop planning without changing the lease row."""
        if self._fence:
            log.warning("planner: stepped down", fence=self._fence, reason=reason)
        self._fence = 0
        self._is_suspended = False

    def _suspend(self) -> None:
        """Stop orders until the lease stands in the restored store, too."""
        self._is_suspended = self._fence > 0

    async def release(self) -> None:
        """Stop planning, so that another node can take over without delay."""
        if self._fence:
            self.step_down("this node is stopping")

    def _is_superseded(self) -> bool:
        """Return whether a live peer plans with a higher fencing number."""
        return any(p.heartbeat.planning > self._fence for p in self._peers.live)

    def _should_acquire(self, now: float) -> bool:
        if not self._can_plan() or not self._has_links():
            return False
        if now - self._started_at < DISCOVERY_SECONDS:
            return False
        candidates = self._planning_candidates()
        if any(heartbeat.planning for heartbeat in candidates):
            return False
        cores = {self._name: self._cores, **{h.node: h.cores for h in candidates}}
        return ranked_by_capacity(LEASE_NAME, cores)[0] == self._name

    def _planning_candidates(self) -> list[Heartbeat]:
        """Return the heartbeats of the live peers that could plan."""
        heartbeats = (peer.heartbeat for peer in self._peers.live)
        return [heartbeat for heartbeat in heartbeats if heartbeat.can_plan]

    async def _acquire(self) -> None:
        row = await self._table.read(LEASE_KEY)
        if isinstance(row, Unavailable):
            log.warning("planner: lease read failed", reason=row.reason)
            return
        if row is not None and not self._can_take_over(row.version, _decode_lease(row)):
            return
        fence, version = self._next_fence(row), row.version if row else 0
        if await self._write(fence, version):
            self._fence = fence
            self._log_acquired(fence)
            for notify in self.on_acquired:
                notify()

    def _next_fence(self, row: Row | UnreadableRow | None) -> int:
        """Return a fencing number that is higher than all earlier ones.

        A peer's number counts only if the row may be older than its lease: datagrams
        may name any number.
        """
        if row is None:
            return next_fence(last=self._fence, era=self._era.current)
        lease, limit = _decode_lease(row), highest_fence(row.version)
        last = limit if isinstance(lease, Unreadable) else lease.fence
        planner = self._peers.last_planner
        if planner is not None and planner.heartbeat.planning <= limit:
            last = max(last, planner.heartbeat.planning)
        return next_fence(last=max(last, self._fence), era=era_of(row.version))

    async def _reclaim(self) -> None:
        """Write the lease into the restored store, with a number of its era.

        Only as long as the lease is valid: until then no other node has taken it, and
        a row of the copy tells at most of an earlier holder.
        """
        if self.renewal_age > LEASE_SECONDS:
            self.step_down("the lease expired before the store was restored")
            return
        row = await self._table.read(LEASE_KEY)
        if isinstance(row, Unavailable):
            log.warning("planner: lease read failed", reason=row.reason)
            return
        previous, fence = self._fence, self._next_fence(row)
        if not await self._write(fence, row.version if row else 0):
            return
        self._fence, self._is_suspended = fence, False
        log.info("planner: lease reclaimed", fence=fence, previous=previous)
        for notify in self.on_reclaimed:
            notify()

    def _log_acquired(self, fence: int) -> None:
        """Log the lease's new holder and the last heartbeat of the previous planner."""
        last = self._peers.last_planner
        log.info(
            "planner: lease taken",
            fence=fence,
            last=last and last.heartbeat.node,
            silent=last and round(self._clock.now() - last.heard_at, 3),
            reached_store=last and last.heartbeat.store,
            stopped=last and last.heartbeat.stopping,
        )

    def _can_take_over(self, version: int, lease: LeaseRow | Unreadable) -> bool:
        """Return whether the lease can be taken from its holder safely.

        Engines that check fencing refuse the orders of an earlier holder. Without such
        checks its lease has to expire first: the row's version must stay the same for
        the whole time limit. An unreadable lease may be held by any node, so it has to
        expire in both cases.
        """
        limit = LEASE_SECONDS + RENEW_SECONDS
        if self._checks_fencing and isinstance(lease, LeaseRow):
            if self._is_holder_gone(lease):
                return True
            limit = UNRENEWED_SECONDS
        now = self._clock.now()
        if self._unchanged_since is None or self._unchanged_since[0] != version:
            self._unchanged_since = (version, now)
            if isinstance(lease, Unreadable):
                self._unreadable_log.record("lease", LEASE_KEY, lease)
            return False
        return now - self._unchanged_since[1] > limit

    def _is_holder_gone(self, lease: LeaseRow) -> bool:
        """Return whether the holder is this host or is known not to plan any more."""
        if lease.holder == self._name:
            return True
        return self._peers.has_stopped_planning(lease.holder, lease.incarnation)

    async def confirm(self) -> bool:
        """Renew the lease and return whether this node is known to hold it."""
        await self.renew()
        return self._fence > 0 and self.renewal_age < CONFIRMED_SECONDS

    async def renew(self) -> None:
        """Renew the lease, and step down if another node has taken it.

        Without fencing checks, this node also steps down when its lease has expired.
        """
        if self._is_suspended:
            await self._reclaim()
            return
        if not await self._write(self._fence, self._version):
            age = self._clock.now() - self._renewed_at
            if age > LEASE_SECONDS and not self._checks_fencing:
                self.step_down("the lease could not be renewed")

    async def _write(self, fence: int, expect: int) -> bool:
        sent_at, era = self._clock.now(), self._era.current
        lease = LeaseRow(holder=self._name, incarnation=self._incarnation, fence=fence)
        put = TypedPut(key=LEASE_KEY, value=lease, expect=expect)
        change = transaction(new_id(self._rng), put)
        outcome = await commit_and_resolve(self._table, change)
        match outcome:
            case Committed(version=version) if era_of(version) != era:
                # The check was that of a row which another node may have replaced.
                log.warning("planner: store restored during a write", fence=fence)
            case Conflict() if self._is_suspended and self._era.current != era:
                log.warning("planner: store restored during a write", fence=fence)
            case Committed(version=version):
                self._version = version
                self._renewed_at = sent_at
                return True
            case Conflict():
                self.step_down("another node holds the lease")
            case _:
                log.warning("planner: lease write failed", reason=outcome.reason)
        return False


def _decode_lease(row: Row | UnreadableRow) -> LeaseRow | Unreadable:
    if isinstance(row, UnreadableRow):
        return Unreadable(fault=DecodeFault.BYTES)
    lease = decode(row.value, LeaseRow)
    if isinstance(lease, LeaseRow) and lease.fence > highest_fence(row.version):
        return Unreadable(fault=DecodeFault.RANGE, field="fence")
    return lease
