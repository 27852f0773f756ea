"""Add up the loads that peers report and the slots granted to them since."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from mallowpond.state.fleet import GroupKey

# Time for which a peer's reported loads count, in seconds.
PEER_LOAD_TTL_SECONDS = 1.5
# Time for which a grant counts although its host does not report a stream for it, in
# seconds: enough for a datagram to that host and its next report.
GRANT_TTL_SECONDS = 0.5

# Running streams and tokens still to be prefilled, by group.
LoadsByGroup = dict[GroupKey, tuple[int, float]]


@dataclass(frozen=True, kw_only=True)
class PeerReport:
    """One peer's reported loads by group."""

    received_at: float
    loads: LoadsByGroup = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Grant:
    """A slot granted to a stream of another host.

    `number` is the dispatcher's count of grants to that host, `tokens` the prompt to be
    prefilled, `at` the time of the grant.
    """

    number: int
    key: GroupKey
    tokens: float
    at: float


class PeerLoads:
    """Sums of the peers' reported loads and of grants not yet in those reports."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerReport] = {}
        self._running: Counter[GroupKey] = Counter()
        self._prefill: Counter[GroupKey] = Counter()
        self._grants: dict[str, deque[Grant]] = defaultdict(deque)
        # Time and host of each grant, oldest first.
        self._grant_times: deque[tuple[float, str]] = deque()
        # Groups that run fewer streams than before; None while nobody asks for them.
        self._freed: set[GroupKey] | None = None

    def take_freed(self) -> set[GroupKey]:
        """Return the groups that may run fewer streams since the last call."""
        freed, self._freed = self._freed, set()
        return freed or set()

    def total(self, key: GroupKey, now: float) -> tuple[int, float]:
        """Return the peers' running streams on a group and their tokens to prefill."""
        self._expire_peers(now)
        self._expire_grants(now)
        return self._running[key], max(0.0, self._prefill[key])

    def record(
        self, name: str, loads: LoadsByGroup, grant_number: int, now: float
    ) -> None:
        """Record a peer's loads, which include its grants up to `grant_number`."""
        self._remove(name)
        # Kept in order of the latest report, oldest first, for expiry.
        self._peers[name] = PeerReport(received_at=now, loads=loads)
        for key, (running, prefill) in loads.items():
            self._add(key, running, prefill)
        self.settle(name, grant_number, now)

    def grant(self, name: str, grant: Grant) -> None:
        """Count a slot granted to a peer until its loads include the stream."""
        self._grants[name].append(grant)
        self._grant_times.append((grant.at, name))
        self._add(grant.key, 1, grant.tokens)

    def settle(self, name: str, grant_number: int, now: float) -> None:
        """Stop counting a peer's grants up to a number, and expired ones."""
        grants = self._grants[name]
        while grants and (
            grants[0].number <= grant_number or now - grants[0].at > GRANT_TTL_SECONDS
        ):
            grant = grants.popleft()
            self._add(grant.key, -1, -grant.tokens)

    def _expire_peers(self, now: float) -> None:
        while self._peers:
            name = next(iter(self._peers))
            if now - self._peers[name].received_at <= PEER_LOAD_TTL_SECONDS:
                return
            self._remove(name)

    def _expire_grants(self, now: float) -> None:
        while self._grant_times and now - self._grant_times[0][0] > GRANT_TTL_SECONDS:
            self.settle(self._grant_times.popleft()[1], 0, now)

    def _remove(self, name: str) -> None:
        known = self._peers.pop(name, None)
        if known is not None:
            for key, (running, prefill) in known.loads.items():
                self._add(key, -running, -prefill)

    def _add(self, key: GroupKey, running: int, prefill: float) -> None:
        if running < 0 and self._freed is not None:
            self._freed.add(key)
        self._running[key] += running
        self._prefill[key] += prefill
        if not self._running[key]:
            del self._running[key], self._prefill[key]
