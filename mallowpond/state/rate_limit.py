"""Share the request rate that a target takes among the hosts that send to it.

The load pattern: a target in need says in its answers how many requests a second it
takes from all hosts together. Asking one another before each send would take a round
trip, and the limit would rest on answers that may be late or lost. A few hosts share
the rate instead, and each keeps its part by itself.
"""

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass
from math import floor, inf

from mallowpond.state.fleet import Process
from mallowpond.state.ownership import first_owners

# Hosts that share a rate, at least; beyond them one for each request a second. Each may
# send at any moment within its part, so many of them would exceed a low rate together.
MIN_SHARERS = 3
# Lowest rate that is kept, in requests a second: a target that gets nothing has no
# answer in which to say that its limit is over.
MIN_RATE = 0.1
# Time for which an unused part adds up, in seconds: one request may always add up.
BUCKET_SECONDS = 1.0
# Time without any word of a target after which its limit is forgotten, in seconds.
LIMIT_EXPIRY_SECONDS = 60.0
# Time for which a part of a rate is kept although hosts come and go, in seconds.
RESHARE_SECONDS = 1.0
# Relative change of a limit from which others are told of it.
SIGNIFICANT_CHANGE = 0.1
# Targets of which limits are kept, at most.
MAX_TARGETS = 1000


@dataclass(frozen=True, kw_only=True)
class TargetLimit:
    """Say which rate a target named `age` seconds ago; None says that it names none.

    A limit counts from the arrival of the answer that names it, and its absence from
    the moment at which that answer was asked for: answers may overtake each other.
    """

    process: Process
    limit: float | None
    age: float


@dataclass(kw_only=True)
class _Share:
    """Count down what this host may send to one target."""

    limit: float | None
    said_at: float
    counted_at: float
    heard_at: float
    # Requests a second, and requests that may be sent now.
    rate: float = 0.0
    credit: float = 0.0
    shared_out_at: float = -inf

    def settle(self, now: float) -> None:
        """Add what has come up since the last look."""
        most = max(1.0, self.rate * BUCKET_SECONDS)
        gained = self.rate * max(0.0, now - self.counted_at)
        self.credit = min(most, self.credit + gained)
        self.counted_at = now


def host_rate(
    host: str, process: Process, hosts: Collection[str], limit: float
) -> float:
    """Return the part of a target's rate that one of its hosts keeps."""
    rate = max(MIN_RATE, limit)
    count = max(MIN_SHARERS, floor(rate))
    sharers = first_owners(process.id, hosts, count)
    return rate / len(sharers) if host in sharers else 0.0


class RateLimitShares:
    """Tell when one host may send to targets that named a rate limit."""

    def __init__(self, *, host: str) -> None:
        self._host = host
        self._shares: dict[Process, _Share] = {}

    @property
    def has_entries(self) -> bool:
        """Tell whether anything is known of any limit."""
        return bool(self._shares)

    @property
    def limits(self) -> dict[Process, float]:
        """Return the limits that are in force."""
        return {p: s.limit for p, s in self._shares.items() if s.limit is not None}

    def update(self, said: TargetLimit, now: float) -> bool:
        """Take the newest word of a target; tell whether it is news."""
        known = self._shares.get(said.process)
        said_at = now - said.age
        if known is None:
            if len(self._shares) >= MAX_TARGETS:
                return False
            # Nothing may be sent at once: what was sent just before counts too.
            self._shares[said.process] = _Share(
                limit=said.limit, said_at=said_at, counted_at=now, heard_at=now
            )
            return said.limit is not None
        if said_at < known.said_at:
            return False
        before = known.limit
        known.said_at, known.heard_at, known.limit = said_at, now, said.limit
        if before == said.limit:
            return False
        if before is None:
            known.credit, known.counted_at = 0.0, now
        known.shared_out_at = -inf
        if before is None or said.limit is None:
            return True
        return abs(said.limit - before) > SIGNIFICANT_CHANGE * before

    def is_limited(self, process: Process) -> bool:
        """Tell whether a target names a limit."""
        known = self._shares.get(process)
        return known is not None and known.limit is not None

    def seconds_until(
        self, process: Process, hosts: Callable[[], Collection[str]], now: float
    ) -> float:
        """Return how long this host may send a target nothing.

        Infinity where it has no part of the rate.
        """
        share = self._shares.get(process)
        if share is None or share.limit is None:
            return 0.0
        if now - share.heard_at > LIMIT_EXPIRY_SECONDS:
            del self._shares[process]
            return 0.0
        if now - share.shared_out_at > RESHARE_SECONDS:
            share.rate = host_rate(self._host, process, hosts(), share.limit)
            share.shared_out_at = now
        share.settle(now)
        if share.credit >= 1.0:
            return 0.0
        return (1.0 - share.credit) / share.rate if share.rate else inf

    def retry_seconds(self, process: Process) -> float:
        """Return how often any host may send to a target, in seconds."""
        share = self._shares.get(process)
        if share is None or share.limit is None:
            return 0.0
        return 1.0 / max(MIN_RATE, share.limit)

    def record_sent(self, process: Process, now: float) -> None:
        """Count a request that this host sends to a target."""
        share = self._shares.get(process)
        if share is not None:
            share.settle(now)
            share.credit -= 1.0

    def latest(self, process: Process, now: float) -> TargetLimit | None:
        """Return what is known of a target, for other hosts."""
        share = self._shares.get(process)
        if share is None:
            return None
        age = max(0.0, now - share.said_at)
        return TargetLimit(process=process, limit=share.limit, age=age)

    def prune(self, listed: Container[Process], now: float) -> None:
        """Forget the processes that are not listed any more, and what is long over."""
        self._shares = {
            process: share
            for process, share in self._shares.items()
            if process in listed
            and (share.limit is not None or now - share.heard_at < LIMIT_EXPIRY_SECONDS)
        }
