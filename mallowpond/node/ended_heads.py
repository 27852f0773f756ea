"""Report heads that ended under their streams to the planner, which probes them.

The list shows the end of a target only when its entry lapses, a second or more later.
Until then its group looks open: it is granted streams that fail at once, and the other
members stay out of new groups.
"""

from collections.abc import Callable, Iterable

from mallowpond.coordination.ports import Clock
from mallowpond.node.directory import Directory
from mallowpond.node.messages import EndedHeads
from mallowpond.node.peers import PeerNetwork
from mallowpond.node.resend_schedule import ResendSchedule
from mallowpond.state.fleet import Group, GroupKey, Process

# Delays before the two sends of a report, in seconds. During the first one, an event of
# another stream shows that the head runs and only one connection was lost. The second
# send makes up for a lost datagram or a planner that was just replaced.
REPORT_DELAYS = (0.05, 0.25)
# Maximum number of heads in one message: when connections are reset at many targets,
# the reports of all hosts reach the planner at the same time.
MAX_HEADS_PER_MESSAGE = 20


class EndedHeadReports:
    """Reports the heads that ended for this host's streams; passes on others' reports.

    `probe` starts the planner's probe of a head, and `is_planning` returns whether this
    host is the planner. Without links to the targets, which `has_links` returns, this
    host reports none: its connections end for another reason.
    """

    def __init__(
        self,
        *,
        name: str,
        directory: Directory,
        peers: PeerNetwork,
        clock: Clock,
        is_planning: Callable[[], bool],
        probe: Callable[[Process, str], None],
        has_links: Callable[[], bool] = lambda: True,
    ) -> None:
        self._name = name
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._is_planning = is_planning
        self._probe = probe
        self._has_links = has_links
        self._schedule: ResendSchedule[Process] = ResendSchedule(
            clock=clock, delays=REPORT_DELAYS, max_batch=MAX_HEADS_PER_MESSAGE
        )
        # When each scheduled head seemed to end, and the group that it served.
        self._ended: dict[Process, tuple[GroupKey, float]] = {}
        peers.on_ended_heads.append(self._on_report)

    def record(self, group: Group) -> None:
        """Schedule a report that a group's head closed or refused a connection."""
        if group.head is None or group.head.process in self._schedule:
            return
        self._ended[group.head.process] = (group.key, self._clock.now())
        self._schedule.add(group.head.process)

    async def run(self) -> None:
        """Send the reports when they are due, until cancelled."""
        await self._schedule.run(self.send_due)

    def send_due(self) -> None:
        """Report the heads that are due and showed no sign of life since they ended."""
        due = self._schedule.take_due()
        silent = [
            process
            for process in due
            if self._has_links() and not self._has_advanced(process)
        ]
        for process in set(due).difference(silent):
            self._schedule.drop(process)
        self._ended = {p: e for p, e in self._ended.items() if p in self._schedule}
        if not silent:
            return
        planner = self._peers.last_planner
        if self._is_planning():
            self._probe_all(silent, self._name)
        elif planner is not None:
            report = EndedHeads(node=self._name, heads=tuple(silent))
            self._peers.send_to(report, (planner.heartbeat.node,))

    def _has_advanced(self, process: Process) -> bool:
        key, ended_at = self._ended[process]
        return self._directory.loads.work(key).last_event_at > ended_at

    def _on_report(self, report: EndedHeads) -> None:
        if self._is_planning():
            self._probe_all(report.heads, report.node)

    def _probe_all(self, heads: Iterable[Process], reporter: str) -> None:
        for process in heads:
            self._probe(process, reporter)
