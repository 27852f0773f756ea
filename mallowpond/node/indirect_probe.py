"""Ask another host whether a target lives, where this one doubts itself."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from itertools import count
from typing import Any

from mallowpond.node.messages import LivenessAnswer, LivenessQuestion
from mallowpond.node.peers import PeerNetwork
from mallowpond.state.ownership import ranked_by_capacity

# Time that a host has to answer, in seconds: two questions of its own to the target,
# and its turn for them.
ANSWER_TIMEOUT_SECONDS = 0.6
# Hosts that are asked one after the other before this one's own finding counts.
MAX_ASKED_HOSTS = 2


class IndirectProbe:
    """Ask the strongest other hosts, and answer them."""

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        look: Callable[[str], Awaitable[bool | None]],
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
    ) -> None:
        self._peers = peers
        self._look = look
        self._spawn = spawn
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[bool]] = {}
        peers.on_liveness_question.append(self._on_question)
        peers.on_liveness_answer.append(self._on_answer)

    async def sees(self, target: str) -> bool | None:
        """Return whether another host finds a target alive, None if none could tell."""
        for node in self._others()[:MAX_ASKED_HOSTS]:
            found = await self._ask(node, target)
            if found is not None:
                return found
        return None

    def _others(self) -> list[str]:
        able = [p.heartbeat for p in self._peers.live if not p.heartbeat.stopping]
        return ranked_by_capacity("opinion", {h.node: h.cores for h in able})

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
        alive = await self._look(question.target)
        if alive is not None:
            self._peers.answer_liveness(question, alive)

    def _on_answer(self, answer: LivenessAnswer) -> None:
        waiting = self._pending.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.alive)
