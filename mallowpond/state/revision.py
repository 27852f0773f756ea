"""Order versions of the store, which may come back from an older copy of itself.

It then gives versions out again, in a higher era. A revision is one number with the era
in its high bits: any revision of a later era is the higher one, and reads can go on
only from a revision of the same era.
"""

VERSION_BITS = 48
MAX_VERSION = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << 14) - 1


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version that was given out in an era."""
    return era << VERSION_BITS | version


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> VERSION_BITS


def version_of(revision: int) -> int:
    """Return the store's own version of a revision."""
    return revision & MAX_VERSION


def is_later_era(revision: int, known: int) -> bool:
    """Return whether the store was restored between two revisions; 0 means none."""
    return known > 0 and era_of(revision) > era_of(known)
