"""Schedule repeated sends of each message, as datagrams get lost."""

import asyncio
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from mallowpond.coordination.ports import Clock
from mallowpond.coordination.tasks import sleep_until_event

# Pause between two rounds of sends, in seconds. The size of a round is bounded, so this
# bounds the rate.
ROUND_SECONDS = 0.1

Key = TypeVar("Key", bound=Hashable)


class ResendSchedule(Generic[Key]):
    """Schedule of sends: each key is due once after each of the delays.

    `delays` are those before each send of one key, in seconds, and `max_batch` is how
    many keys one round sends at most.
    """

    def __init__(
        self, *, clock: Clock, delays: tuple[float, ...], max_batch: int
    ) -> None:
        self._clock = clock
        self._delays = delays
        self._max_batch = max_batch
        # When each key is sent next, and which of its sends that is, counted from 1.
        self._due: dict[Key, tuple[float, int]] = {}
        self._added = asyncio.Event()

    def __contains__(self, key: Key) -> bool:
        return key in self._due

    def __len__(self) -> int:
        return len(self._due)

    def add(self, key: Key, *, first_delay: float | None = None) -> None:
        """Schedule all sends of a key from now on, in place of those that are left.

        The first one is due after `first_delay` seconds, by default the first delay.
        """
        delay = self._delays[0] if first_delay is None else first_delay
        self._due[key] = (self._clock.now() + delay, 1)
        self._added.set()

    def drop(self, key: Key) -> None:
        """Cancel the sends of a key that are left."""
        self._due.pop(key, None)

    def take_due(self) -> list[Key]:
        """Return at most one batch of due keys, and schedule their next sends."""
        now = self._clock.now()
        due = [key for key, (at, _) in self._due.items() if at <= now]
        for key in due[: self._max_batch]:
            times = self._due.pop(key)[1]
            if times < len(self._delays):
                self._due[key] = (now + self._delays[times], times + 1)
        return due[: self._max_batch]

    async def run(self, send_due: Callable[[], None]) -> None:
        """Call `send_due` whenever a key is due, until cancelled."""
        while True:
            self._added.clear()
            if not self._due:
                await self._added.wait()
                continue
            seconds = min(at for at, _ in self._due.values()) - self._clock.now()
            if seconds > 0.0:
                await sleep_until_event(self._clock, seconds, self._added)
                continue
            send_due()
            await self._clock.sleep(ROUND_SECONDS)
