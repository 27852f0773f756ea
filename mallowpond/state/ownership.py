"""Rendezvous hashing: who owns what, given the same members."""

from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from heapq import nlargest

# Weights that are kept: a few keys over all hosts of a fleet, which rank their peers
# many times a second.
KEPT_SCORES = 4096


def _score(member: str, key: str) -> int:
    digest = blake2b(f"{member}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=KEPT_SCORES)
def rendezvous_score(member: str, key: str) -> int:
    """Return the weight of `member` for `key`."""
    return _score(member, key)


def owner_of(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight for `key`."""
    scored = ((rendezvous_score(member, key), member) for member in members)
    return max(scored, default=(0, None))[1]


def ranked_owners(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by falling weight for `key`."""
    return sorted(members, key=lambda m: rendezvous_score(m, key), reverse=True)


def first_owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the members with the highest weights for a key that is asked for seldom.

    Its weights are not kept: they would push out those that are needed all the time.
    """
    return nlargest(count, members, key=lambda m: _score(m, key))


def ranked_by_capacity(key: str, members: Mapping[str, float]) -> list[str]:
    """Return the members, those with the most cores first, then by weight for `key`.

    What one host does for a whole fleet goes to a host that can bear it: a weak one
    reads answers too late and takes sound targets for lost.
    """
    return sorted(
        members,
        key=lambda m: (members[m], rendezvous_score(m, key)),
        reverse=True,
    )
