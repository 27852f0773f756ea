"""Divide the rate limit of a target among the hosts that send to it.

An overloaded target names in its answers how many requests a second it takes from all
hosts together. Asking the other hosts before each send would take a round trip, and the
limit would depend on answers that may be late or lost. Instead a few hosts share the
rate, and each enforces its part alone with a token bucket.
"""

from collections import deque
from collections.abc import Callable, Collection, Container
from dataclasses import dataclass, field
from math import floor, inf

from mallowpond.state.fleet import Process
from mallowpond.state.ownership import first_owners

# Minimum number of hosts that share a rate; higher rates have one host for each request
# a second. Each host may send at any moment within its part, so too many of them would
# exceed a low rate together.
MIN_SHARERS = 3
# Minimum rate in requests a second: a target that gets no request has no answer in
# which to lift its limit.
MIN_RATE = 0.1
# Capacity of the token bucket as a time at the host's rate, in seconds; it is at least
# one request.
BUCKET_SECONDS = 1.0
# Window in which a host's sends to a target are counted, those before the limit was
# named included, in seconds; and the multiple of its part of the rate that it may send
# in the window. A host whose earlier sends exceed that waits until they have left the
# window: with the bucket alone, a target that got ten requests a second and named one
# a second got 13 in four seconds.
WINDOW_SECONDS = 4.0
WINDOW_FACTOR = 1.5
# Time without any update from a target after which its limit expires, in seconds.
LIMIT_EXPIRY_SECONDS = 60.0
# Interval at which a rate is divided anew, in seconds: until then, hosts that join or
# leave are ignored.
RESHARE_SECONDS = 1.0
# Relative change of a limit from which it is published to other hosts.
SIGNIFICANT_CHANGE = 0.1
# Maximum number of targets with a recorded limit.
MAX_TARGETS = 1000


@dataclass(frozen=True, kw_only=True)
class TargetLimit:
    """The rate limit that a target named `age` seconds ago, None if it names none.

    The age of a limit counts from the arrival of the answer that names it. The age of
    its absence counts from the moment at which the request was sent, because answers
    may overtake each other.
    """

    process: Process
    limit: float | None
    age: float


@dataclass(kw_only=True)
class _Share:
    """Token bucket with this host's part of one target's rate."""

    limit: float | None
    named_at: float
    refilled_at: float
    updated_at: float
    # Requests a second, and requests that may be sent now.
    rate: float = 0.0
    tokens: float = 0.0
    divided_at: float = -inf
    # Times of this host's sends within the window, oldest first.
    sent: deque[float] = field(default_factory=deque)

    def seconds_until_token(self, now: float) -> float:
        """Return the seconds until the bucket holds a token, infinity if never."""
        self.refill(now)
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate else inf

    def seconds_until_window(self, now: float) -> float:
        """Return the seconds until the window leaves room for one more request."""
        self.drop_old(now)
        allowed = max(1, floor(WINDOW_FACTOR * WINDOW_SECONDS * self.rate))
        if len(self.sent) < allowed:
            return 0.0
        return self.sent[len(self.sent) - allowed] + WINDOW_SECONDS - now

    def drop_old(self, now: float) -> None:
        """Drop the sends that have left the window."""
        while self.sent and self.sent[0] + WINDOW_SECONDS <= now:
            self.sent.popleft()

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        capacity = max(1.0, self.rate * BUCKET_SECONDS)
        gained = self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(capacity, self.tokens + gained)
        self.refilled_at = now


def host_rate(
    host: str, process: Process, hosts: Collection[str], limit: float
) -> float:
    """Return the part of a target's rate that `host` may use, 0 if it has none."""
    rate = max(MIN_RATE, limit)
    count = max(MIN_SHARERS, floor(rate))
    sharers = first_owners(process.id, hosts, count)
    return rate / len(sharers) if host in sharers else 0.0


class RateLimitShares:
    """This host's parts of the rate limits that targets have named."""

    def __init__(self, *, host: str) -> None:
        self._host = host
        self._shares: dict[Process, _Share] = {}
        # All sends of this host within the window, to any target, oldest first: a
        # target that names its first limit counts what it got before.
        self._sent: deque[tuple[float, Process]] = deque()

    @property
    def has_entries(self) -> bool:
        """Return whether any limit, or its absence, is recorded."""
        return bool(self._shares)

    @property
    def limits(self) -> dict[Process, float]:
        """Return the limits that are in force."""
        return {p: s.limit for p, s in self._shares.items() if s.limit is not None}

    def update(self, named: TargetLimit, now: float) -> bool:
        """Apply a limit unless it is outdated; return whether to publish the change."""
        known = self._shares.get(named.process)
        named_at = now - named.age
        if known is None:
            if len(self._shares) >= MAX_TARGETS:
                return False
            # The bucket starts empty: requests sent just before count too.
            self._shares[named.process] = _Share(
                limit=named.limit,
                named_at=named_at,
                refilled_at=now,
                updated_at=now,
                sent=deque(at for at, to in self._sent if to == named.process),
            )
            return named.limit is not None
        if named_at < known.named_at:
            return False
        before = known.limit
        known.named_at, known.updated_at, known.limit = named_at, now, named.limit
        if before == named.limit:
            return False
        if before is None:
            known.tokens, known.refilled_at = 0.0, now
        known.divided_at = -inf
        if before is None or named.limit is None:
            return True
        return abs(named.limit - before) > SIGNIFICANT_CHANGE * before

    def is_limited(self, process: Process) -> bool:
        """Return whether a limit of a target is in force."""
        known = self._shares.get(process)
        return known is not None and known.limit is not None

    def seconds_until(
        self, process: Process, hosts: Callable[[], Collection[str]], now: float
    ) -> float:
        """Return the seconds until this host may send to a target, 0 if it may now.

        Infinity if it has no part of the rate. `hosts` returns all hosts that send to
        the target.
        """
        share = self._shares.get(process)
        if share is None or share.limit is None:
            return 0.0
        if now - share.updated_at > LIMIT_EXPIRY_SECONDS:
            del self._shares[process]
            return 0.0
        if now - share.divided_at > RESHARE_SECONDS:
            share.rate = host_rate(self._host, process, hosts(), share.limit)
            share.divided_at = now
        return max(share.seconds_until_token(now), share.seconds_until_window(now))

    def retry_seconds(self, process: Process) -> float:
        """Return the interval between sends of all hosts to a target, in seconds."""
        share = self._shares.get(process)
        if share is None or share.limit is None:
            return 0.0
        return 1.0 / max(MIN_RATE, share.limit)

    def record_sent(self, process: Process, now: float) -> None:
        """Count a request that this host sends to a target."""
        while self._sent and self._sent[0][0] + WINDOW_SECONDS <= now:
            self._sent.popleft()
        self._sent.append((now, process))
        share = self._shares.get(process)
        if share is not None:
            share.refill(now)
            share.tokens -= 1.0
            share.drop_old(now)
            share.sent.append(now)

    def latest(self, process: Process, now: float) -> TargetLimit | None:
        """Return the latest limit of a target, to publish to other hosts."""
        share = self._shares.get(process)
        if share is None:
            return None
        age = max(0.0, now - share.named_at)
        return TargetLimit(process=process, limit=share.limit, age=age)

    def prune(self, listed: Container[Process], now: float) -> None:
        """Drop processes that are not listed any more, and limits lifted long ago."""
        self._shares = {
            process: share
            for process, share in self._shares.items()
            if process in listed
            and (
                share.limit is not None or now - share.updated_at < LIMIT_EXPIRY_SECONDS
            )
        }
