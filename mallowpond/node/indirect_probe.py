"""Probe a target through other hosts, where this one may be at fault itself.

An indirect probe keeps a host whose own network or event loop is slow from declaring
healthy targets dead.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from itertools import count
from typing import Any

from mallowpond.node.messages import LivenessAnswer, LivenessQuestion
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.ownership import ranked_by_capacity

# Timeout of a peer's answer, in seconds: the peer probes the target up to twice, and
# each probe may have to wait until the peer's call gate admits it.
ANSWER_TIMEOUT_SECONDS = 0.6
# Peers asked one after the other before this host's own result counts.
MAX_ASKED_HOSTS = 2


class IndirectProbe:
    """Asks peers to probe a target, and probes targets for peers.

    `probe` returns whether a target is alive, None if that is not known; `spawn` runs a
    coroutine in the background.
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        probe: Callable[[str], Awaitable[bool | None]],
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
    ) -> None:
        self._peers = peers
        self._probe = probe
        self._spawn = spawn
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[bool]] = {}
        peers.on_liveness_question.append(self._on_question)
        peers.on_liveness_answer.append(self._on_answer)

    async def is_alive(self, target: str) -> bool | None:
        """Return whether a peer finds a target alive, None if no peer could answer."""
        for node in self._others()[:MAX_ASKED_HOSTS]:
            alive = await self._ask(node, target)
            if alive is not None:
                return alive
        return None

    def _others(self) -> list[str]:
        heartbeats = [peer.heartbeat for peer in self._peers.live]
        available = [h for h in heartbeats if not (h.stopping or h.without_links)]
        return ranked_by_capacity("opinion", {h.node: h.cores for h in available})

    async def _ask(self, node: str, target: str) -> bool | None:
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        self._peers.ask_liveness(node, number, target)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _on_question(self, question: LivenessQuestion) -> None:
        self._spawn(self._probe_and_answer(question))

    async def _probe_and_answer(self, question: LivenessQuestion) -> None:
        alive = await self._probe(question.target)
        if alive is not None:
            self._peers.answer_liveness(question, alive)

    def _on_answer(self, answer: LivenessAnswer) -> None:
        pending = self._pending.get(answer.number)
        if pending is not None and not pending.done():
            pending.set_result(answer.alive)
