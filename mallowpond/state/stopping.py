"""Decide what a host that was told to stop still takes.

The load pattern: hosts are stopped in turn, faster than each one ends, until every
host of a data centre is stopping. The balancer then has no other host for those
callers, and sends them to hosts that say they are not ready. A host that took all of
them would cut off, at the end of its grace time, each stream that it had begun late;
one that refused all of them would leave the callers of a data centre unserved for
seconds. So it takes what it will surely finish, and refuses the rest as not run.
"""

# Multiple of the expected time that must be left: a stream may wait for a place, move
# once, and then have its prompt read again by a group across domains.
FINISH_FACTOR = 3.0


def can_finish(*, expected_seconds: float, seconds_left: float) -> bool:
    """Tell whether a request that is begun now ends before the host does."""
    return FINISH_FACTOR * expected_seconds <= seconds_left
