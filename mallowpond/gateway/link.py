"""Link of a gateway to one controller at a time, with failover to the next."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from itertools import count

import structlog

from mallowpond.coordination.ports import Clock
from mallowpond.gateway.routes import RouteTable
from mallowpond.protocol.peer import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
    CrashReport,
    FinishAsk,
    GatewayHello,
    QuotaAnswer,
    QuotaAsk,
    Routes,
    RoutesAsk,
    SuspectGroup,
    VoidAsk,
)
from mallowpond.state.crash_ledger import CrashRecord
from mallowpond.state.part_ledger import PartRecord
from mallowpond.transport.peer_link import LinkClosed, PeerLink, open_link

log = structlog.get_logger()
REATTACH_DELAY_SECONDS = 0.2
# Time without an answer after which the controller is given up, in seconds.
SILENT_SECONDS = 1.5
# Time for which a call waits for a link while none is attached, in seconds.
ATTACH_WAIT_SECONDS = 1.0
# Maximum crash reports that wait to be sent; the oldest are dropped.
MAX_UNREPORTED = 200


class ControllerLink:
    """Polls routes and sends claims and quota leases over one link at a time."""

    def __init__(
        self,
        *,
        gateway: str,
        controllers: tuple[str, ...],
        routes: RouteTable,
        clock: Clock,
        poll_seconds: float,
        on_change: Callable[[], None],
        on_quarantine: Callable[
            [tuple[CrashRecord, ...], tuple[PartRecord, ...]], None
        ],
    ) -> None:
        self._gateway = gateway
        self._controllers = controllers
        self._routes = routes
        self._clock = clock
        self._poll_seconds = poll_seconds
        self._on_change = on_change
        self._on_quarantine = on_quarantine
        self._quarantine_version = 0
        # Records that were not sent to any controller yet, newest last.
        self._unreported: dict[str, CrashRecord | PartRecord] = {}
        self._link: PeerLink | None = None
        self._attached = asyncio.Event()
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._numbers = count(1)
        self._polled_at: dict[int, float] = {}
        self._last_answer_at = 0.0

    @property
    def is_attached(self) -> bool:
        """Return whether a controller is attached."""
        return self._link is not None

    async def run(self) -> None:
        """Attach to the controllers in turn, moving on whenever a link closes."""
        index = 0
        while True:
            address = self._controllers[index % len(self._controllers)]
            try:
                await self._attach(address)
            except* (LinkClosed, TimeoutError):
                pass
            self._fail_calls()
            index += 1
            await self._clock.sleep(REATTACH_DELAY_SECONDS)

    async def ask_claim(
        self, ask: ClaimAsk | FinishAsk | VoidAsk, timeout: float
    ) -> ClaimVerdict:
        """Send a claim, finish or void and return the verdict.

        `CLAIM_UNKNOWN` if no answer arrived within `timeout` seconds,
        `STORE_UNAVAILABLE` if no controller is attached.
        """
        answer = await self._call(ask, timeout)
        if isinstance(answer, ClaimAnswer):
            return answer.result
        return answer

    async def ask_quota(self, ask: QuotaAsk, timeout: float) -> QuotaAnswer | None:
        """Lease quota units; None without an answer within `timeout` seconds."""
        answer = await self._call(ask, timeout)
        return answer if isinstance(answer, QuotaAnswer) else None

    async def report_suspect(self, group: str, generation: int) -> None:
        """Report a group that failed a dispatch, if a controller is attached."""
        if self._link is None:
            return
        try:
            await self._link.send(SuspectGroup(group=group, generation=generation))
        except LinkClosed:
            return

    def report_crash(self, record: CrashRecord | PartRecord) -> None:
        """Queue a crash record, which is sent before the next poll."""
        self._unreported.pop(record.key, None)
        self._unreported[record.key] = record
        if len(self._unreported) > MAX_UNREPORTED:
            del self._unreported[next(iter(self._unreported))]

    async def _call(
        self, ask: ClaimAsk | FinishAsk | VoidAsk | QuotaAsk, timeout: float
    ) -> ClaimAnswer | QuotaAnswer | ClaimVerdict:
        link = await self._current_link()
        if link is None:
            return ClaimVerdict.STORE_UNAVAILABLE
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        try:
            async with asyncio.timeout(timeout):
                await link.send(replace(ask, call=number))
                return await future
        except (LinkClosed, TimeoutError):
            # The controller may have committed the claim although no answer arrived.
            return ClaimVerdict.CLAIM_UNKNOWN
        finally:
            self._pending_calls.pop(number, None)

    async def _current_link(self) -> PeerLink | None:
        """Return the link, waiting a short time for one if none is attached."""
        try:
            async with asyncio.timeout(ATTACH_WAIT_SECONDS):
                await self._attached.wait()
        except TimeoutError:
            return None
        return self._link

    async def _attach(self, address: str) -> None:
        async with AsyncExitStack() as stack:
            link = await open_link(address, stack)
            await link.send(GatewayHello(gateway=self._gateway))
            self._link = link
            self._attached.set()
            stack.callback(self._detach)
            self._last_answer_at = self._clock.now()
            log.info("gateway: attached", controller=address)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._poll(link))
                tasks.create_task(self._receive(link))

    def _detach(self) -> None:
        self._link = None
        self._attached.clear()
        self._polled_at.clear()
        # Each controller counts its own versions.
        self._quarantine_version = 0
        log.info("gateway: detached")

    async def _poll(self, link: PeerLink) -> None:
        while True:
            number = next(self._numbers)
            self._polled_at[number] = self._clock.now()
            ask = RoutesAsk(
                sequence=number,
                known_config=self._routes.config_version,
                known_routes=self._routes.routes_version,
                known_held=self._quarantine_version,
            )
            await self._report_crashes(link)
            await link.send(ask)
            await self._clock.sleep(self._poll_seconds)
            # A frozen controller keeps its socket open. Without this limit, all permits
            # would expire although another controller could renew them.
            if self._clock.now() - self._last_answer_at > SILENT_SECONDS:
                raise LinkClosed("the controller is silent")

    async def _report_crashes(self, link: PeerLink) -> None:
        records = tuple(self._unreported.values())
        if not records:
            return
        report = CrashReport(
            records=tuple(r for r in records if isinstance(r, CrashRecord)),
            parts=tuple(r for r in records if isinstance(r, PartRecord)),
        )
        await link.send(report)
        self._unreported = {
            request: record
            for request, record in self._unreported.items()
            if record not in records
        }

    async def _receive(self, link: PeerLink) -> None:
        while True:
            message = await link.receive()
            match message:
                case Routes(sequence=number):
                    asked_at = self._polled_at.pop(number, None)
                    if asked_at is None:
                        continue
                    self._last_answer_at = self._clock.now()
                    self._routes.update(message, asked_at)
                    if message.held is not None:
                        self._quarantine_version = message.held_version
                        self._on_quarantine(message.held, message.held_parts)
                    self._on_change()
                    if message.leaving:
                        self._leave_controller()
                case ClaimAnswer(call=number) | QuotaAnswer(call=number):
                    future = self._pending_calls.get(number)
                    if future is not None and not future.done():
                        future.set_result(message)

    def _leave_controller(self) -> None:
        """Detach from a leaving controller once it has answered every call."""
        self._attached.clear()
        if not self._pending_calls:
            raise LinkClosed("the controller is leaving")

    def _fail_calls(self) -> None:
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(LinkClosed("the link closed"))
