"""Decide what a host that was told to stop still takes.

The load pattern: hosts are stopped in turn, faster than each one ends, until every
host of a data centre is stopping. The balancer then has no other host for those
callers, and sends them to hosts that say they are not ready. A host that took all of
them would cut off, at the end of its grace time, each stream that it had begun late;
one that refused all of them would leave the callers of a data centre unserved for
seconds. So it takes what it will surely finish, and refuses the rest as not run.
"""

# Time beyond that of its longest answer that must be left for a stream, in seconds: it
# may have to move once, waits 1.2 s for a place from its last event on, and has its
# prompt read again, some tens of milliseconds.
MOVE_SECONDS = 1.3


def can_finish(*, longest_seconds: float, seconds_left: float) -> bool:
    """Tell whether a request that is begun now ends before the host does.

    `longest_seconds` is the time of the longest answer that it may get, to which one
    move is added; a wider margin refuses many that would end well.
    """
    return longest_seconds + MOVE_SECONDS <= seconds_left
