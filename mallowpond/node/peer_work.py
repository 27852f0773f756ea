"""Add up the work that peers tell, and the places that they were given since."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from mallowpond.state.fleet import GroupKey

# Time that peers' figures of a group's work count, in seconds.
PEER_LOAD_SECONDS = 1.5
# Time for which a place that was given away counts although its host does not tell of a
# stream there, in seconds: what a datagram there and the next word of that host take.
GRANT_SECONDS = 0.5

# Streams and tokens still to be read, by group.
LoadsByGroup = dict[GroupKey, tuple[int, float]]


@dataclass(frozen=True, kw_only=True)
class PeerLoad:
    """Hold one peer's figures of its work by group."""

    heard_at: float
    loads: LoadsByGroup = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Grant:
    """Hold a place that was given to another host's stream, by the giver's count."""

    number: int
    key: GroupKey
    tokens: float
    at: float


class PeerWork:
    """Add up what peers tell of their work, and the places they were given since."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerLoad] = {}
        self._running: Counter[GroupKey] = Counter()
        self._reading: Counter[GroupKey] = Counter()
        self._grants: dict[str, deque[Grant]] = defaultdict(deque)
        # When each grant was given and to whom, the oldest first.
        self._given: deque[tuple[float, str]] = deque()

    def of(self, key: GroupKey, now: float) -> tuple[int, float]:
        """Return all peers' streams on a group, and their tokens to be read."""
        self._forget_silent(now)
        self._forget_given(now)
        return self._running[key], max(0.0, self._reading[key])

    def note(
        self, name: str, loads: LoadsByGroup, grant_number: int, now: float
    ) -> None:
        """Take a peer's figures, which hold the places up to number `grant_number`."""
        self._drop(name)
        # Least lately heard first.
        self._peers[name] = PeerLoad(heard_at=now, loads=loads)
        for key, (running, reading) in loads.items():
            self._add(key, running, reading)
        self.settle(name, grant_number, now)

    def grant(self, name: str, grant: Grant) -> None:
        """Count a place that is given to a peer until the peer tells of it."""
        self._grants[name].append(grant)
        self._given.append((grant.at, name))
        self._add(grant.key, 1, grant.tokens)

    def settle(self, name: str, grant_number: int, now: float) -> None:
        """Count the places up to a number no more, nor those given long ago."""
        grants = self._grants[name]
        while grants and (
            grants[0].number <= grant_number or now - grants[0].at > GRANT_SECONDS
        ):
            grant = grants.popleft()
            self._add(grant.key, -1, -grant.tokens)

    def _forget_silent(self, now: float) -> None:
        while self._peers:
            name = next(iter(self._peers))
            if now - self._peers[name].heard_at <= PEER_LOAD_SECONDS:
                return
            self._drop(name)

    def _forget_given(self, now: float) -> None:
        while self._given and now - self._given[0][0] > GRANT_SECONDS:
            self.settle(self._given.popleft()[1], 0, now)

    def _drop(self, name: str) -> None:
        known = self._peers.pop(name, None)
        if known is not None:
            for key, (running, reading) in known.loads.items():
                self._add(key, -running, -reading)

    def _add(self, key: GroupKey, running: int, reading: float) -> None:
        self._running[key] += running
        self._reading[key] += reading
        if not self._running[key]:
            del self._running[key], self._reading[key]
