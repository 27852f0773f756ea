"""Decide which requests a stopping host still admits.

In a rolling stop, hosts may be stopped faster than each one ends, until every host of a
data centre is stopping. The balancer then has no other host for the callers there, and
sends them to hosts that report not ready. A host that admitted all of them would cut
off the streams that began late at the end of its grace period; one that refused all of
them would leave the callers of a data centre unserved for seconds. So it admits the
requests that it can finish for certain, and refuses the others as not run.
"""

# Time that a stream needs beyond that of its longest answer, in seconds: it may have to
# move once, which takes a wait of 1.2 s for a slot from its last event on, and some
# tens of milliseconds to repeat the prefill of its prompt.
MOVE_SECONDS = 1.3


def can_finish(*, longest_seconds: float, seconds_left: float) -> bool:
    """Return whether a request that begins now ends before the host stops.

    `longest_seconds` is the time of the longest answer that it may get, to which one
    move is added. A wider margin would refuse many requests that would complete.
    """
    return longest_seconds + MOVE_SECONDS <= seconds_left
