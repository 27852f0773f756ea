"""Choose the one node that plans: a lease row whose number fences orders."""

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
    commit_settled,
    new_id,
    transaction,
)
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.unreadable import UnreadableNotes
from mallowpond.state.decoding import DecodeFault, Unreadable, decode
from mallowpond.state.ownership import ranked_by_capacity
from mallowpond.state.rows import LeaseRow

log = structlog.get_logger()

LEASE_KEY = "leases/planner"
LEASE_NAME = "planner"
# Pause between two looks at who should plan, in seconds.
CHECK_SECONDS = 0.2
# Pause between two renewals, in seconds, and the time after which a lease that was
# not renewed has lapsed: three renewals and the longest usual answer.
RENEW_SECONDS = 1.5
LEASE_SECONDS = 5.0
# Time without a renewal after which a lease is taken from a host that was not heard of,
# in seconds: one renewal and a few looks. A host that has just started has not heard
# all others; going by heartbeats alone, at a fleet's start the lease changed hands five
# times in a second and ended with a host of half of a core.
UNRENEWED_SECONDS = RENEW_SECONDS + 0.5
# Age up to which a renewal shows that the lease is held, in seconds: less than the
# second of silence after which another node takes it.
CONFIRMED_SECONDS = 0.8
# Time after its start within which a node waits to hear of a planner, in seconds.
DISCOVERY_SECONDS = 0.6


class Leadership:
    """Hold the planner's lease while this node should plan."""

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
        may_plan: Callable[[], bool],
        cores: float = 0.0,
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._name = name
        self._cores = cores
        self._incarnation = incarnation
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._checks_fencing = checks_fencing
        self._may_plan = may_plan
        self._fence = 0
        self._version = 0
        self._renewed_at = float("-inf")
        self._started_at = clock.now()
        self._unchanged_since: tuple[int, float] | None = None
        self.on_acquired: list[Callable[[], None]] = []

    @property
    def fence(self) -> int:
        """Return the fencing number to give orders with, 0 while not the planner."""
        if self._fence == 0:
            return 0
        age = self._clock.now() - self._renewed_at
        if age < LEASE_SECONDS or self._checks_fencing:
            return self._fence
        return 0

    @property
    def renewal_age(self) -> float:
        """Return the seconds since the lease was surely held."""
        return self._clock.now() - self._renewed_at

    async def run(self) -> None:
        """Take, renew and give up until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(CHECK_SECONDS)

    async def step(self) -> None:
        """Look once at who should plan."""
        now = self._clock.now()
        if self._fence:
            if self._is_superseded():
                self.step_down("a peer plans with a higher number")
            elif now - self._renewed_at >= RENEW_SECONDS:
                await self.renew()
            return
        if self._should_acquire(now):
            await self._acquire()

    def step_down(self, reason: str) -> None:
        """Stop planning; the row stays as it is."""
        if self._fence:
            log.warning("planner: stepped down", fence=self._fence, reason=reason)
        self._fence = 0

    async def release(self) -> None:
        """Stop planning and let another node take over at once."""
        if self._fence:
            self.step_down("this node stops")

    def _is_superseded(self) -> bool:
        return any(p.heartbeat.planning > self._fence for p in self._peers.live)

    def _should_acquire(self, now: float) -> bool:
        if not self._may_plan() or now - self._started_at < DISCOVERY_SECONDS:
            return False
        able = [p.heartbeat for p in self._peers.live]
        able = [h for h in able if h.store and not h.stopping]
        if any(heartbeat.planning for heartbeat in able):
            return False
        cores = {self._name: self._cores, **{h.node: h.cores for h in able}}
        return ranked_by_capacity(LEASE_NAME, cores)[0] == self._name

    async def _acquire(self) -> None:
        row = await self._table.read(LEASE_KEY)
        if isinstance(row, Unavailable):
            log.warning("planner: lease not read", reason=row.reason)
            return
        fence, version = 1, 0
        if row is not None:
            lease = _decode_lease(row)
            if not self._can_take_over(row.version, lease):
                return
            fence, version = _next_fence(row.version, lease), row.version
        if await self._write(fence, version):
            self._fence = fence
            self._log_acquired(fence)
            for notify in self.on_acquired:
                notify()

    def _log_acquired(self, fence: int) -> None:
        """Log what this node took the lease for: the last planner as it was heard."""
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
        """Tell whether the holder can do no harm any more.

        Engines that check fencing refuse an old holder; elsewhere its lease has to
        lapse, seen by a row that does not change. A lease that cannot be read may be
        held by anyone, and lapses in the same way wherever it is.
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
                self._notes.note("lease", LEASE_KEY, lease)
            return False
        return now - self._unchanged_since[1] > limit

    def _is_holder_gone(self, lease: LeaseRow) -> bool:
        if lease.holder == self._name:
            return True
        return self._peers.has_stopped_planning(lease.holder, lease.incarnation)

    async def confirm(self) -> bool:
        """Renew the lease; tell whether it is surely held."""
        await self.renew()
        return self._fence > 0 and self.renewal_age < CONFIRMED_SECONDS

    async def renew(self) -> None:
        """Renew the lease, and learn by it whether another node took it."""
        if not await self._write(self._fence, self._version):
            age = self._clock.now() - self._renewed_at
            if age > LEASE_SECONDS and not self._checks_fencing:
                self.step_down("the lease could not be renewed")

    async def _write(self, fence: int, expect: int) -> bool:
        asked_at = self._clock.now()
        lease = LeaseRow(holder=self._name, incarnation=self._incarnation, fence=fence)
        put = TypedPut(key=LEASE_KEY, value=lease, expect=expect)
        change = transaction(new_id(self._rng), put)
        outcome = await commit_settled(self._table, change)
        match outcome:
            case Committed(version=version):
                self._version = version
                self._renewed_at = asked_at
                return True
            case Conflict():
                self.step_down("another node holds the lease")
            case _:
                log.warning("planner: lease not written", reason=outcome.reason)
        return False


def _decode_lease(row: Row | UnreadableRow) -> LeaseRow | Unreadable:
    if isinstance(row, UnreadableRow):
        return Unreadable(fault=DecodeFault.BYTES)
    lease = decode(row.value, LeaseRow)
    if isinstance(lease, LeaseRow) and lease.fence > row.version:
        # Each number was the next one, written by a change of its own, and each change
        # raises the version: no holder wrote this.
        return Unreadable(fault=DecodeFault.RANGE, field="fence")
    return lease


def _next_fence(version: int, lease: LeaseRow | Unreadable) -> int:
    """Return a number that is higher than all before it.

    Where the last one cannot be read, the version of its row stands for it: a number
    is never higher than the version at which it was written.
    """
    return version + 1 if isinstance(lease, Unreadable) else lease.fence + 1
