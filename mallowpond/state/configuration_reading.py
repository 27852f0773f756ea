"""Decide how often the configuration is read and confirmed, and when a path is left.

The load pattern: two readers poll the store for a fleet of 3 to 380 hosts, and their
connections fall silent, or they themselves are killed, cut off or slowed, together and
again while others take over. Each wait is a share of the smallest bound in force, so
that a host leaves what does not confirm anything new long before it would have to
refuse requests.
"""

from collections import deque
from dataclasses import dataclass

# Longest wait of a poll at the store, in seconds, and its largest shares of the bounds
# for a change and for revoked keys. An answer confirms the version as of the time when
# it left the store. Shorter waits make more calls.
LONG_POLL_SECONDS = 1.5
LONG_POLL_SHARE = 0.3
APPLY_POLL_SHARE = 0.75
# Interval between version questions to the readers, in seconds.
QUESTION_INTERVAL_SECONDS = 0.5
# Age of the knowledge from which a host looks for another path, as a share of the
# smallest bound. It is above the half of a poll plus the interval of two digests.
OLD_SHARE = 0.5
# The standby looks at this share of that age: if the polls of both readers end at the
# same time, only its poll is given up, and the next ones end in turn.
STANDBY_OLD_SHARE = 0.85
# Time by which hosts that do not read the store for others look later, as a share of
# that bound: usually a reader has sent them the change by then. In a large fleet their
# reads are spread at this rate.
FOLLOWER_SHARE = 0.03
FOLLOWER_READS_PER_SECOND = 2000.0
# Largest part of the bound over which the reads of followers are spread.
MAX_SPREAD_SHARE = 0.06
# Timeout of the first two attempts on a path in doubt as a share of the bound, and the
# longest timeout in seconds. The timeout follows a store that answers slowly.
ATTEMPT_SHARE = 0.13
MAX_ATTEMPT_SECONDS = 1.0
SHORT_ATTEMPTS = 2
SLOWNESS_FACTOR = 4.0
# Share of a poll below which the standby does not shift its next one.
MIN_POLL_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class ReadingPace:
    """Waits that follow from the bounds of a deployment, in seconds.

    poll: wait of a poll at the store, of each of two readers.
    question: interval between questions to the readers.
    old: age of the knowledge from which it is taken for outdated.
    attempt: timeout of the first attempts beyond the wait.
    bound: the smallest bound.
    """

    poll: float
    question: float
    old: float
    attempt: float
    bound: float

    @classmethod
    def for_bounds(cls, *, apply: float, revoke: float) -> "ReadingPace":
        """Return the pace for the bounds for a change and for revoked keys."""
        bound = min(apply, revoke)
        poll = min(
            LONG_POLL_SECONDS, APPLY_POLL_SHARE * apply, LONG_POLL_SHARE * revoke
        )
        return cls(
            poll=poll,
            question=min(QUESTION_INTERVAL_SECONDS, poll),
            old=OLD_SHARE * bound,
            attempt=min(MAX_ATTEMPT_SECONDS, ATTEMPT_SHARE * bound),
            bound=bound,
        )

    def poll_wait(
        self, *, now: float, other_read_at: float | None, is_standby: bool
    ) -> float:
        """Return how long the next poll of a reader may wait at the store.

        The polls of two readers end in turn, so that one of them confirms the version
        every half of a poll; a reader alone waits half as long. `other_read_at` is when
        the other reader last read the store, None if it is not known.
        """
        half = 0.5 * self.poll
        if other_read_at is None or now - other_read_at > self.poll + self.attempt:
            return half
        if not is_standby:
            return self.poll
        wait = (other_read_at + half - now) % self.poll
        return self.poll if wait < MIN_POLL_SHARE * self.poll else wait

    def old_after(
        self, *, is_reader: bool, is_standby: bool, host_count: int, share: float
    ) -> float:
        """Return the age of the knowledge from which a host reads the store itself.

        `share` is the host's own place in the order of the followers, from 0 to 1.
        """
        if is_reader:
            return STANDBY_OLD_SHARE * self.old if is_standby else self.old
        spread = min(
            MAX_SPREAD_SHARE * self.bound, host_count / FOLLOWER_READS_PER_SECOND
        )
        return self.old + FOLLOWER_SHARE * self.bound + share * spread

    def attempt_timeout(self, *, attempts: int, last_seconds: float) -> float:
        """Return the time for an answer beyond the wait at the store.

        `attempts` counts the failed ones before it, and `last_seconds` is how long the
        store took for its last answer beyond the wait.
        """
        if attempts >= SHORT_ATTEMPTS:
            return MAX_ATTEMPT_SECONDS
        slow = SLOWNESS_FACTOR * last_seconds
        return min(MAX_ATTEMPT_SECONDS, max(self.attempt, slow))


# Time for which exchanges with a peer tell the offset of its clock, in seconds, and the
# number of spans that this is divided into: clocks drift apart.
EXCHANGE_SECONDS = 30.0
EXCHANGE_SPANS = 3


class PeerClocks:
    """Converts times of peers' clocks to this host's, never to a later time.

    A peer's clock counts from the start of its process: with the offset of a process
    that has ended, a time of its successor counts as too early.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, deque[tuple[float, float]]] = {}

    def record(self, peer: str, *, asked_at: float, answered_at: float) -> None:
        """Record an exchange, asked by this host's clock and answered by the peer's."""
        spans = self._offsets.setdefault(peer, deque(maxlen=EXCHANGE_SPANS))
        offset = asked_at - answered_at
        if spans and asked_at - spans[-1][0] < EXCHANGE_SECONDS / EXCHANGE_SPANS:
            began_at, known = spans[-1]
            spans[-1] = (began_at, max(known, offset))
        else:
            spans.append((asked_at, offset))

    def convert(self, peer: str, at: float, *, now: float) -> float | None:
        """Return a time of a peer's clock by this host's, None if it is not known."""
        spans = self._offsets.get(peer, ())
        recent = [offset for began, offset in spans if now - began < EXCHANGE_SECONDS]
        return min(now, at + max(recent)) if recent else None
