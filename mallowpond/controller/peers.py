"""Polling of the other controllers of the cell for their views."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from itertools import count

from mallowpond.coordination.ports import Clock
from mallowpond.protocol.peer import Message, PeerAsk, PeerView
from mallowpond.state.assurance import PeerAnswer
from mallowpond.state.rows import CellRow
from mallowpond.transport.peer_link import LinkClosed, PeerLink, open_link

# Limit for connecting to a peer and receiving its answer, in seconds.
ANSWER_SECONDS = 1.0


class PeerPoller:
    """Keeps a link to each other controller and passes on its answers."""

    def __init__(
        self,
        *,
        member: str,
        clock: Clock,
        on_answer: Callable[[PeerAnswer], None],
        on_cell: Callable[[CellRow], None],
    ) -> None:
        self._member = member
        self._clock = clock
        self._on_answer = on_answer
        self._on_cell = on_cell
        self._links: dict[str, PeerLink] = {}
        self._stacks: dict[str, AsyncExitStack] = {}
        self._sequences = count(1)

    async def poll(self, addresses: dict[str, str]) -> None:
        """Poll every peer once; `addresses` maps member names to addresses."""
        await asyncio.gather(
            *(self._poll_peer(name, address) for name, address in addresses.items())
        )
        for name in list(self._links):
            if name not in addresses:
                await self._drop(name)

    async def close(self) -> None:
        """Close every link."""
        for name in list(self._links):
            await self._drop(name)

    async def _poll_peer(self, name: str, address: str) -> None:
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self._exchange(name, address)
        except (LinkClosed, TimeoutError):
            await self._drop(name)

    async def _exchange(self, name: str, address: str) -> None:
        link = self._links.get(name) or await self._open(name, address)
        sequence = next(self._sequences)
        asked_at = self._clock.now()
        await link.send(PeerAsk(sequence=sequence, member=self._member))
        while True:
            answer: Message = await link.receive()
            if isinstance(answer, PeerView) and answer.sequence == sequence:
                self._on_view(answer, asked_at)
                return

    async def _open(self, name: str, address: str) -> PeerLink:
        stack = AsyncExitStack()
        link = await open_link(address, stack)
        self._stacks[name] = stack
        self._links[name] = link
        return link

    def _on_view(self, view: PeerView, asked_at: float) -> None:
        if view.cell is not None:
            self._on_cell(view.cell)
        answer = PeerAnswer(
            member=view.member,
            asked_at=asked_at,
            epoch=view.cell.epoch if view.cell else 0,
            head_version=view.head_version,
            read_age=view.read_age,
            holds_newer=view.holds_newer,
        )
        self._on_answer(answer)

    async def _drop(self, name: str) -> None:
        self._links.pop(name, None)
        stack = self._stacks.pop(name, None)
        if stack is not None:
            await stack.aclose()
