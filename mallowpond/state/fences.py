"""Number the holders of a lease, so that no number is ever given out twice.

A holder takes the number after the one in the lease's row. When the store comes back
from a copy, that row may lack the last holders, so each era has numbers of its own.
"""

from mallowpond.state.revision import era_of, version_of

# Numbers of one era: far more than holders can follow each other in one.
FENCES_PER_ERA = 1_000_000


def highest_fence(revision: int) -> int:
    """Return the highest number that a row of this revision can hold.

    Each holder writes the next number in a transaction of its own, which also raises
    the version, so in an era no number is higher than the version of its row.
    """
    return era_of(revision) * FENCES_PER_ERA + version_of(revision)


def next_fence(*, last: int, era: int) -> int:
    """Return the number after `last`, at least the first one of an era."""
    return max(last, era * FENCES_PER_ERA) + 1
