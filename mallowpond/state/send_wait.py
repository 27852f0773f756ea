"""Decide when a send whose target is silent is doubted, and when it is given up.

A target that is silent may still answer, and its answer is lost with the send. So doubt
allows another target to be asked beside it, and only the deadline ends the send.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class SendWait:
    """The wait for the next bytes of one send; times are in seconds.

    since: when the wait began.
    limit: the wait after which the target counts as silent.
    sought_at: when a target was last sought to be asked beside this one.
    """

    since: float
    limit: float
    sought_at: float = float("-inf")

    @property
    def silent_at(self) -> float:
        """Return when the target counts as silent."""
        return self.since + self.limit

    @property
    def seek_at(self) -> float:
        """Return when another target is to be sought."""
        return max(self.silent_at, self.sought_at + self.limit)

    def ends_at(self, deadline: float) -> float:
        """Return when the send is given up.

        An answer that advances may go on after the deadline.
        """
        return max(self.silent_at, deadline)

    def due_at(self, deadline: float, *, may_seek: bool) -> float:
        """Return when something is to be done if nothing comes until then."""
        ends_at = self.ends_at(deadline)
        return min(ends_at, self.seek_at) if may_seek else ends_at
