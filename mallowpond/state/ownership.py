"""Rendezvous hashing: all hosts with the same members agree on who owns a key."""

from bisect import bisect
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest

# Number of cached scores: those of a few keys for all hosts of a fleet, as hosts rank
# their peers many times a second.
CACHED_SCORES = 4096


def _score(member: str, key: str) -> int:
    digest = blake2b(f"{member}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=CACHED_SCORES)
def rendezvous_score(member: str, key: str) -> int:
    """Return the score of `member` for `key`, from a cache."""
    return _score(member, key)


def owner_of(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest score for `key`, None without members."""
    scored = ((rendezvous_score(member, key), member) for member in members)
    return max(scored, default=(0, None))[1]


def ranked_owners(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their score for `key`."""
    return sorted(members, key=lambda m: rendezvous_score(m, key), reverse=True)


def first_owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members with the highest scores for a rarely used key.

    The scores are not cached: they would evict those that are needed all the time.
    """
    return nlargest(count, members, key=lambda m: _score(m, key))


def uniform_score(member: str, key: str) -> float:
    """Return a fixed number from 0 to below 1 for a member and a rarely used key."""
    return _score(member, key) / 2.0**64


class HashRing:
    """Members in the order of their hashes, to find the owners of many keys.

    A change of one member changes the owners of a few keys only, as with rendezvous
    hashing, which takes one hash for each member and key: 0.5 ms a key in a fleet of
    380 hosts.
    """

    def __init__(self, members: Iterable[str]) -> None:
        self.members = frozenset(members)
        self._points = sorted((_score(member, ""), member) for member in self.members)

    def owners(self, key: str, count: int) -> frozenset[str]:
        """Return the `count` members that follow the key, all if they are fewer."""
        points = self._points
        if not points:
            return frozenset()
        first = bisect(points, (_score("", key), ""))
        following = range(first, first + min(count, len(points)))
        return frozenset(points[index % len(points)][1] for index in following)


def ranked_by_capacity(key: str, members: Mapping[str, float]) -> list[str]:
    """Return the members in descending order of capacity, then of score for `key`.

    `members` maps each member to its number of cores. Work that one host does for the
    whole fleet must go to a host with enough of them: a weak host reads answers too
    late and takes healthy targets for lost.
    """
    return sorted(
        members,
        key=lambda m: (members[m], rendezvous_score(m, key)),
        reverse=True,
    )
